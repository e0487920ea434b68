#pragma once

#include <teaseltally/net/framing_budget.hpp>

#include <boost/beast/http/fields.hpp>

#include <algorithm>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>

/// @file
/// Rules on the ends of HTTP/1.1 messages (RFC 9112, 6 and 7.1.2) that Beast's parser leaves to its user.

namespace teaseltally {

/// Checks whether the end of a message is certain. If it is not, two receivers may take different bytes for
/// its body, and what one takes for the body may be another message to the other one. Beast's parser accepts
/// any transfer coding, and reads a body only if the last one is "chunked".
/// @param fields header of a message that Beast's parser has accepted.
/// @param version version of the message, 11 for HTTP/1.1.
/// @returns the reason to reject the message and to close its connection, or nothing.
[[nodiscard]] std::optional<std::string_view> find_framing_error(const boost::beast::http::fields& fields,
                                                                 unsigned version);

/// Returns whether a status is that of an interim response, which the response to the request follows. 101 is
/// none: no request asks to switch protocols.
[[nodiscard]] constexpr bool is_interim_status(unsigned status) noexcept
{
    return status == 100 || status == 102 || status == 103;
}

/// Returns whether a status is one that a response may have.
[[nodiscard]] constexpr bool is_response_status(unsigned status) noexcept
{
    return is_interim_status(status) || (status >= 200 && status <= 599);
}

/// Maximum number of interim responses before the response to a request.
inline constexpr int max_interim_responses = 8;

/// Returns why a response was given up.
/// @param status status of the response; 0 if it was not read.
[[nodiscard]] inline std::string describe_response_failure(const boost::system::error_code& failed,
                                                           unsigned status)
{
    if (failed != boost::beast::http::error::bad_status)
        return describe_read_failure(failed);
    constexpr std::size_t digits = 3;
    const auto text = std::to_string(status);
    return "invalid status " + std::string(digits - std::min(text.size(), digits), '0') + text;
}

/// Keeps the trailer fields of a chunked message out of its header, to which Beast's parser adds them.
///
/// @code
/// trailer_filter filter(parser);  // The parser has read the header.
/// co_await http::async_read(stream, buffer, parser, as_result);
/// filter.remove_trailers();
/// @endcode
template <typename Parser>
class trailer_filter {
public:
    /// @param parser parser that has read the header of a message; it must outlive the filter.
    explicit trailer_filter(Parser& parser) : parser_(parser)
    {
        if (parser_.chunked())
            header_ = parser_.get().base();
    }
    /// Removes the trailer fields from a complete message.
    void remove_trailers()
    {
        if (header_)
            parser_.get().base() = *header_;
    }

private:
    Parser& parser_;
    std::optional<std::remove_cvref_t<decltype(std::declval<Parser&>().get().base())>> header_;
};

} // namespace teaseltally
