#pragma once

#include <teaseltally/net/framing_budget.hpp>
#include <teaseltally/net/message_memory.hpp>
#include <teaseltally/net/notifier.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <algorithm>

/// @file
/// Reading of messages from outside within a framing budget and an account of memory.

namespace teaseltally {

/// Error of a message that was given up so that others have memory.
inline const boost::system::error_code message_memory_error =
    make_error_code(boost::system::errc::not_enough_memory);

/// Size from which the C library returns a buffer to the system as soon as it is freed, and does not occupy
/// memory before it is written (see `return_large_buffers`).
inline constexpr std::size_t mapped_buffer_bytes = 64U << 10U;

/// Returns the memory that a string with a capacity occupies if a number of its bytes have been written.
[[nodiscard]] inline std::size_t occupied_bytes(std::size_t written, std::size_t capacity) noexcept
{
    constexpr std::size_t page_bytes = 4096;
    return capacity < mapped_buffer_bytes ? capacity : std::min(capacity, written + page_bytes);
}

/// Frees a buffer that has grown while a large message was read.
inline void shrink_large_buffer(boost::beast::flat_buffer& buffer)
{
    constexpr std::size_t kept_bytes = 4096;
    if (buffer.size() == 0 && buffer.capacity() > kept_bytes)
        buffer.shrink_to_fit();
}

/// Reads one message from a connection. Whoever reads messages from outside uses it, so that no form of
/// framing can take memory without a bound.
/// @tparam IsRequest whether the message is a request.
template <bool IsRequest>
class message_reader {
public:
    using parser_type = boost::beast::http::parser<IsRequest, boost::beast::http::string_body>;
    using result = boost::asio::awaitable<boost::system::error_code>;

    /// The parameters must outlive the reader.
    /// @param stream connection; the caller sets its time limits.
    /// @param buffer bytes that were read from the connection and are not parsed yet.
    /// @param parser parser of the message.
    /// @param budget budget of the message; that of a response also covers the interim ones before it.
    /// @param memory account of the bytes that the message holds; null counts nothing.
    /// @param purpose what the bytes are counted for.
    message_reader(boost::beast::tcp_stream& stream, boost::beast::flat_buffer& buffer, parser_type& parser,
                   framing_budget& budget, message_memory* memory = nullptr,
                   memory_purpose purpose = memory_purpose::reading_requests)
        : stream_(stream), buffer_(buffer), parser_(parser), budget_(budget),
          hold_(memory, purpose, [this] { on_memory(); })
    {
    }

    /// Makes the end of the connection count as an error, after a write to it has failed because the
    /// connection was aborted. The write takes the error from the socket, and reads then return what had
    /// arrived and an end like an orderly one.
    /// @param aborted error of the write.
    void set_aborted(boost::system::error_code aborted) { aborted_ = aborted; }
    /// Returns whether the message is complete only because its connection has ended.
    [[nodiscard]] bool ended_with_connection() const noexcept { return ended_with_connection_; }
    /// Reads the header, and rejects invalid statuses and messages whose end is not certain (see
    /// `find_framing_error`).
    /// @returns the error, or nothing once the header is complete.
    [[nodiscard]] result read_header();
    /// Reads until more of the body has arrived or the message is complete. Other bytes are no progress, so
    /// that a time limit for each call also ends a message that consists of framing.
    /// @returns the error, or nothing.
    [[nodiscard]] result read_some();
    /// Reads the rest of the message.
    /// @returns the error, or nothing once the message is complete.
    [[nodiscard]] result read_rest();
    /// Returns the memory of the complete message, which the reader no longer counts.
    [[nodiscard]] memory_reservation release_memory();

private:
    /// Ends a wait for memory, or the read of a message that was given up.
    void on_memory();
    /// Prepares the body for further bytes, and counts them.
    /// @param bytes number of bytes that are not in the body yet.
    /// @returns whether there is memory for them.
    [[nodiscard]] bool try_reserve(std::size_t bytes);
    /// Waits until there is memory for further bytes.
    [[nodiscard]] result wait_for_memory(std::size_t bytes);
    /// Parses the bytes in the buffer. Folded field lines are an error: a field that is passed on would
    /// differ from the one that was sent, and they may hide a length or a transfer coding.
    /// @returns the error, `need_more` if more bytes are needed, or nothing.
    [[nodiscard]] boost::system::error_code parse();
    /// Reads bytes from the connection unless the budget is exceeded.
    [[nodiscard]] result read_bytes();
    [[nodiscard]] std::size_t body_bytes() const { return parser_.get().body().size(); }

    boost::beast::tcp_stream& stream_;
    boost::beast::flat_buffer& buffer_;
    parser_type& parser_;
    framing_budget& budget_;
    boost::system::error_code aborted_;
    bool ended_with_connection_ = false;
    std::size_t header_bytes_ = 0;
    message_hold hold_;
    /// Set while the message waits for memory.
    notifier* waiting_ = nullptr;
};

extern template class message_reader<true>;
extern template class message_reader<false>;

} // namespace teaseltally
