#pragma once

#include <teaseltally/net/http.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <exception>
#include <utility>

/// @file
/// Support for coroutines in tests.

namespace teaseltally::test {

/// Completion token that returns errors as values instead of throwing them.
inline constexpr auto as_result = asio::as_tuple(asio::use_awaitable);

/// Loopback address with a port that the system assigns.
inline const tcp_endpoint any_port{asio::ip::make_address("127.0.0.1"), 0};

/// Runs a coroutine to completion on an executor that also runs servers, and rethrows its exception.
template <typename Work>
void run(asio::io_context& io, Work work)
{
    std::exception_ptr thrown;
    asio::co_spawn(io, std::move(work), [&](std::exception_ptr problem) {
        thrown = problem;
        io.stop();
    });
    io.run();
    io.restart();
    if (thrown)
        std::rethrow_exception(thrown);
}

/// Returns a deadline 20 s ahead, which only a test that hangs reaches.
inline time_point hang_deadline()
{
    return boot_clock::now() + std::chrono::seconds{20};
}

} // namespace teaseltally::test
