#pragma once

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <string>
#include <vector>

/// @file
/// Messages whose framing goes on without end.

namespace teaseltally::test {

/// Framing that goes on without end: the start once, then the block again and again.
struct endless_form {
    std::string name;
    std::string start;
    std::string block;
};

/// Returns a block of at least 64 KB that repeats a text.
inline std::string endless_block(const std::string& text)
{
    std::string block;
    while (block.size() < (std::size_t{1} << 16U))
        block += text;
    return block;
}

/// Returns the forms that follow the header of a chunked message.
inline std::vector<endless_form> endless_chunked_forms()
{
    const std::string kilobyte(1000, 'a');
    return {{"extension", "5;x=", endless_block("a")},
            {"trailers", "1\r\nx\r\n0\r\n", endless_block("X-T: " + kilobyte + "\r\n")},
            {"zeros", "", endless_block("0")},
            {"chunks of one byte with extensions", "", endless_block("1;x=" + kilobyte + "\r\nx\r\n")}};
}

/// Sends a head and an endless form.
/// @param max_bytes number of bytes after which it gives up.
/// @returns the number of bytes of the form that were sent until the connection ended.
template <typename Stream>
boost::asio::awaitable<std::size_t> send_endless(Stream& stream, std::string head, endless_form form,
                                                 std::size_t max_bytes)
{
    namespace asio = boost::asio;
    constexpr auto token = asio::as_tuple(asio::use_awaitable);
    head += form.start;
    if (const auto [failed, size] = co_await asio::async_write(stream, asio::buffer(head), token); failed)
        co_return 0;
    std::size_t sent = 0;
    while (sent < max_bytes) {
        const auto [failed, size] = co_await asio::async_write(stream, asio::buffer(form.block), token);
        sent += size;
        if (failed)
            break;
    }
    co_return sent;
}

} // namespace teaseltally::test
