#pragma once

#include "run.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <string>
#include <vector>

/// @file
/// Responses that a server sends before it has read the request's body.

namespace teaseltally::test {

/// How a server ends the connection after an early response.
enum class connection_end {
    reset,
    reset_after_50_ms,
    reset_after_400_ms,
    /// Reads some of the body first.
    reset_after_256_kb,
    /// Closes the socket with unread bytes, for which the kernel resets the connection.
    close,
    /// Reads the whole body, then sends a FIN.
    fin_after_body,
    /// Sends a FIN at once, and reads on.
    fin_before_body,
    /// Sends a FIN, and closes the socket with unread bytes 50 ms later.
    fin_then_close,
    /// Reads a quarter of the body and all that has arrived, and closes the socket with nothing unread. The
    /// kernel sends a FIN, and a reset only when further bytes arrive.
    close_after_part,
};

/// Bytes of a response, and the end of their connection.
struct early_response {
    std::string bytes;
    connection_end end;
    /// Receives whether the whole body of the request was read; may be null.
    bool* read_all = nullptr;
};

struct named_end {
    std::string name;
    connection_end end;
};

/// Returns the ends with which a response without a length is incomplete.
inline std::vector<named_end> connection_resets()
{
    return {{"reset", connection_end::reset},
            {"reset after 50 ms", connection_end::reset_after_50_ms},
            {"reset after 400 ms", connection_end::reset_after_400_ms},
            {"reset after 256 KB", connection_end::reset_after_256_kb},
            {"closed with unread bytes", connection_end::close},
            {"FIN, then closed with unread bytes", connection_end::fin_then_close}};
}

/// Returns the ends with which a response without a length is whole.
inline std::vector<named_end> orderly_ends()
{
    return {{"FIN after the body", connection_end::fin_after_body},
            {"FIN before the body", connection_end::fin_before_body}};
}

/// Reads from a connection until it ends or a number of bytes has been read.
/// @returns the number of bytes that were read.
inline asio::awaitable<std::size_t> discard_bytes(asio::ip::tcp::socket& socket, std::size_t max_bytes)
{
    std::string discarded(std::size_t{64} << 10U, '\0');
    std::size_t total = 0;
    while (total < max_bytes) {
        const auto [failed, size] = co_await socket.async_read_some(asio::buffer(discarded), as_result);
        if (failed)
            break;
        total += size;
    }
    co_return total;
}

/// Reads a number of bytes and what else has arrived, and closes the socket.
/// @returns the number of bytes that were read.
inline asio::awaitable<std::size_t> close_after(asio::ip::tcp::socket& socket, std::size_t bytes)
{
    auto total = co_await discard_bytes(socket, bytes);
    std::string discarded(std::size_t{1} << 20U, '\0');
    boost::system::error_code drained;
    socket.non_blocking(true);
    while (!drained)
        total += socket.read_some(asio::buffer(discarded), drained);
    socket.close(drained);
    co_return total;
}

/// Ends a connection whose request has been read to the end of its header.
/// @param body_bytes number of bytes of the request's body that have not been read.
/// @returns the number of bytes of the body that were read.
inline asio::awaitable<std::size_t> end_connection(asio::ip::tcp::socket& socket, connection_end end,
                                                   std::size_t body_bytes)
{
    std::size_t read = 0;
    constexpr std::size_t some_bytes = std::size_t{256} << 10U;
    boost::system::error_code ignored;
    const auto send_fin = [&] { socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored); };
    switch (end) {
    case connection_end::reset:
    case connection_end::close:
        break;
    case connection_end::reset_after_50_ms:
        co_await sleep_for(milliseconds{50});
        break;
    case connection_end::reset_after_400_ms:
        co_await sleep_for(milliseconds{400});
        break;
    case connection_end::reset_after_256_kb:
        read = co_await discard_bytes(socket, some_bytes);
        break;
    case connection_end::fin_after_body:
        read = co_await discard_bytes(socket, body_bytes);
        send_fin();
        co_return read;
    case connection_end::fin_before_body:
        send_fin();
        co_return co_await discard_bytes(socket, body_bytes);
    case connection_end::fin_then_close:
        send_fin();
        co_await sleep_for(milliseconds{50});
        break;
    case connection_end::close_after_part:
        co_return co_await close_after(socket, body_bytes / 4);
    }
    const bool resets = end != connection_end::close && end != connection_end::fin_then_close;
    socket.set_option(asio::socket_base::linger(resets, 0), ignored);
    socket.close(ignored);
    co_return read;
}

/// Accepts one connection, responds as soon as the header of its request has been read, and ends it.
inline asio::awaitable<void> respond_early(asio::ip::tcp::acceptor& acceptor, early_response response)
{
    auto socket = co_await acceptor.async_accept(asio::use_awaitable);
    std::string received;
    const auto header_bytes = co_await asio::async_read_until(socket, asio::dynamic_buffer(received),
                                                              "\r\n\r\n", asio::use_awaitable);
    const auto position = received.find("Content-Length: ") + std::string_view{"Content-Length: "}.size();
    const auto body_bytes = std::stoul(received.substr(position));
    co_await asio::async_write(socket, asio::buffer(response.bytes), as_result);
    const auto unread = body_bytes - (received.size() - header_bytes);
    const auto read = co_await end_connection(socket, response.end, unread);
    if (response.read_all != nullptr)
        *response.read_all = read == unread;
}

} // namespace teaseltally::test
