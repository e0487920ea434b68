#include <teaseltally/net/message_reader.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <stdexcept>

namespace teaseltally {
namespace {

namespace http = boost::beast::http;
constexpr auto as_result = boost::asio::as_tuple(boost::asio::use_awaitable);
constexpr std::size_t min_read_bytes = 512;
constexpr std::size_t max_read_bytes = 64U << 10U;

} // namespace

template <bool IsRequest>
typename message_reader<IsRequest>::result message_reader<IsRequest>::read_bytes()
{
    const auto limit = budget_.max_buffer_bytes();
    const auto held = buffer_.size();
    if (budget_.is_exceeded(body_bytes()) || held >= limit)
        co_return framing_limit_error;
    buffer_.max_size(limit);
    const auto size =
        std::min({std::max(min_read_bytes, buffer_.capacity() - held), max_read_bytes, limit - held});
    const auto [failed, count] = co_await stream_.async_read_some(buffer_.prepare(size), as_result);
    buffer_.commit(count);
    budget_.on_read(count);
    if (failed != boost::asio::error::eof)
        co_return failed;
    if (!parser_.got_some())
        co_return http::error::end_of_stream;
    boost::system::error_code incomplete;
    parser_.put_eof(incomplete);
    co_return incomplete;
}

template <bool IsRequest>
boost::system::error_code message_reader<IsRequest>::parse()
{
    boost::system::error_code failed = http::error::need_more;
    if (buffer_.size() == 0)
        return failed;
    try {
        buffer_.consume(parser_.put(buffer_.data(), failed));
    }
    catch (const std::length_error&) {
        // A field whose name or value exceeds 64 KB.
        failed = framing_limit_error;
    }
    return failed;
}

template <bool IsRequest>
typename message_reader<IsRequest>::result message_reader<IsRequest>::read_header()
{
    parser_.eager(false);
    while (!parser_.is_header_done()) {
        auto failed = parse();
        if (failed == http::error::need_more)
            failed = co_await read_bytes();
        if (failed)
            co_return failed;
    }
    co_return boost::system::error_code{};
}

template <bool IsRequest>
typename message_reader<IsRequest>::result message_reader<IsRequest>::read_some()
{
    parser_.eager(true);
    const auto before = body_bytes();
    while (!parser_.is_done() && body_bytes() == before) {
        auto failed = parse();
        if (failed == http::error::need_more && !parser_.is_done() && body_bytes() == before)
            failed = co_await read_bytes();
        if (failed && failed != http::error::need_more)
            co_return failed;
    }
    co_return boost::system::error_code{};
}

template <bool IsRequest>
typename message_reader<IsRequest>::result message_reader<IsRequest>::read_rest()
{
    while (!parser_.is_done())
        if (const auto failed = co_await read_some())
            co_return failed;
    co_return boost::system::error_code{};
}

template class message_reader<true>;
template class message_reader<false>;

} // namespace teaseltally
