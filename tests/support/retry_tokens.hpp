#pragma once

#include "run.hpp"

#include <teaseltally/net/request_router.hpp>

#include <boost/asio/io_context.hpp>

/// @file
/// Retry tokens of routers under test.

namespace teaseltally::test {

/// Lets a router serve requests until it has a retry token for the service of a host. They reach no target,
/// as their deadlines have passed.
inline void save_retry_token(asio::io_context& io, request_router& router)
{
    // At 0.75 x 0.2 of a token for each request.
    constexpr int requests_per_retry = 7;
    run(io, [&]() -> asio::awaitable<void> {
        for (int count = 0; count < requests_per_retry; ++count) {
            auto request = make_request(boost::beast::http::verb::get, "/x");
            request.set(boost::beast::http::field::host, "h.example");
            request.set("tt-request-id", "overdue");
            request.set("tt-deadline-ms", "0");
            request.set("tt-key", "7");
            auto routed =
                std::make_shared<routed_request>(io.get_executor(), std::move(request),
                                                 asio::ip::make_address("127.0.0.1"), boot_clock::now());
            static_cast<void>(co_await router.serve(std::move(routed)));
        }
    });
}

} // namespace teaseltally::test
