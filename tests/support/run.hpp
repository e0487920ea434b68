#pragma once

#include <teaseltally/net/http.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <exception>
#include <utility>

/// @file
/// Runs coroutines in tests.

namespace teaseltally::test {

inline constexpr auto as_result = asio::as_tuple(asio::use_awaitable);

/// Loopback with a port from the system.
inline const tcp_endpoint any_port{asio::ip::make_address("127.0.0.1"), 0};

/// Runs a coroutine to its end on an executor that also runs servers.
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

/// @returns a time far enough ahead that only a test that hangs reaches it.
inline time_point hang_deadline()
{
    return boot_clock::now() + std::chrono::seconds{20};
}

} // namespace teaseltally::test
