#pragma once

#include <teaseltally/net/http.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <exception>
#include <utility>

/// @file
/// Helpers that run coroutines and servers in tests.

namespace teaseltally::test {

/// Completion token that returns errors as values instead of throwing them.
inline constexpr auto as_result = asio::as_tuple(asio::use_awaitable);

/// Loopback endpoint with port 0, for which the system assigns a free port.
inline const tcp_endpoint any_port{asio::ip::make_address("127.0.0.1"), 0};

/// Runs a coroutine to completion and rethrows its exception. Other work of the I/O context, such as servers,
/// runs until then.
template <typename Work>
void run(asio::io_context& io, Work work)
{
    std::exception_ptr thrown;
    asio::co_spawn(io, std::move(work), [&](std::exception_ptr exception) {
        thrown = exception;
        io.stop();
    });
    io.run();
    io.restart();
    if (thrown)
        std::rethrow_exception(thrown);
}

/// Returns a deadline 20 s from now, so that a test that hangs fails.
inline time_point hang_deadline()
{
    return boot_clock::now() + std::chrono::seconds{20};
}

} // namespace teaseltally::test
