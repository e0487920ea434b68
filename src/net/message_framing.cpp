#include <teaseltally/net/message_framing.hpp>

#include <boost/beast/core/string.hpp>

#include <iterator>

namespace teaseltally {

std::optional<std::string_view> find_framing_error(const boost::beast::http::fields& fields, unsigned version)
{
    namespace http = boost::beast::http;
    constexpr unsigned http_1_1 = 11;
    const auto [first, last] = fields.equal_range(http::field::transfer_encoding);
    if (first == last)
        return std::nullopt;
    if (version < http_1_1)
        return "transfer coding in a message of an earlier version than HTTP/1.1";
    if (std::next(first) != last)
        return "more than one transfer-encoding header";
    if (!boost::beast::iequals(first->value(), "chunked"))
        return "transfer coding other than chunked";
    if (fields.count(http::field::content_length) > 0)
        return "both a transfer coding and a content length";
    return std::nullopt;
}

} // namespace teaseltally
