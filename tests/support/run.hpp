#pragma once

#include <teaseltally/net/http.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <cstdint>
#include <exception>
#include <utility>

/// @file
/// Helpers that run coroutines and servers in tests.

namespace teaseltally::test {

/// Completion token that returns errors as values instead of throwing them.
inline constexpr auto as_result = asio::as_tuple(asio::use_awaitable);

/// Loopback endpoint with port 0, for which the system assigns a free port.
inline const tcp_endpoint any_port{asio::ip::make_address("127.0.0.1"), 0};

/// Returns an endpoint that no other process uses, as an address that is closed and bound again must not be
/// taken in between. Its port is below those that the system assigns.
/// @param host number of the host, 1 to 254; each has a loopback address of its own.
/// @param service number of the port at the host.
tcp_endpoint fixed_endpoint(std::uint8_t host, std::uint16_t service = 0);

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
