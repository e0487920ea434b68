#pragma once

#include <boost/beast/http/error.hpp>

#include <cstddef>
#include <string>

/// @file
/// What the framing of a message may take while the message is read.

namespace teaseltally {

/// Counts the bytes that are read for a message, and bounds those that are not its body: start line, header,
/// empty lines, sizes and extensions of chunks, trailer fields and interim responses, whatever form they
/// have.
class framing_budget {
public:
    /// Number of bytes that framing may take besides the largest header.
    static constexpr std::size_t allowance_bytes = 16U << 10U;
    /// Number of bytes of framing allowed for each byte of the body: a chunk of one byte takes five.
    static constexpr std::size_t bytes_per_body_byte = 8;

    /// @param max_header_bytes largest header that is accepted.
    /// @param buffered_bytes number of bytes that were read before and may belong to the message.
    explicit framing_budget(std::size_t max_header_bytes, std::size_t buffered_bytes = 0) noexcept
        : max_bytes_(max_header_bytes + allowance_bytes), read_bytes_(buffered_bytes)
    {
    }

    /// Counts bytes that were read.
    void on_read(std::size_t bytes) noexcept { read_bytes_ += bytes; }
    /// Returns whether more was read than the message may take.
    /// @param body_bytes number of bytes of the body that were delivered.
    [[nodiscard]] bool is_exceeded(std::size_t body_bytes) const noexcept
    {
        return read_bytes_ > max_bytes_ + (1 + bytes_per_body_byte) * body_bytes;
    }
    /// Returns the largest size of the buffer that holds bytes which are not parsed yet. Text that the parser
    /// takes only as a whole, such as a line or the trailers, cannot be longer.
    [[nodiscard]] std::size_t max_buffer_bytes() const noexcept { return max_bytes_; }
    /// Returns the number of bytes read.
    [[nodiscard]] std::size_t read_bytes() const noexcept { return read_bytes_; }

private:
    std::size_t max_bytes_;
    std::size_t read_bytes_;
};

/// Error of a message whose framing takes more than it may.
inline constexpr auto framing_limit_error = boost::beast::http::error::buffer_overflow;

/// Returns whether a message was given up because of the size of its header or of its framing.
[[nodiscard]] inline bool is_framing_excess(const boost::system::error_code& failed)
{
    return failed == framing_limit_error || failed == boost::beast::http::error::header_limit;
}

/// Returns the cause of a failure to read a message, for logs and responses.
[[nodiscard]] inline std::string describe_read_failure(const boost::system::error_code& failed)
{
    return failed == framing_limit_error ? "the framing of the message is too large" : failed.message();
}

} // namespace teaseltally
