#include <teaseltally/net/message_framing.hpp>
#include <teaseltally/net/message_reader.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <bit>
#include <stdexcept>
#include <string_view>

namespace teaseltally {
namespace {

namespace http = boost::beast::http;
constexpr auto as_result = boost::asio::as_tuple(boost::asio::use_awaitable);
constexpr std::size_t min_read_bytes = 512;
constexpr std::size_t max_read_bytes = 64U << 10U;
/// Interval at which a message that waits for memory makes others give way.
constexpr milliseconds memory_check_interval{50};

/// Returns whether a line begins with a blank or a tab, and so continues the field before it (obs-fold,
/// RFC 9112, 5.2). Beast's parser joins the two.
/// @param fields complete field lines.
bool has_folded_line(std::string_view fields)
{
    for (auto end = fields.find('\n'); end != std::string_view::npos; end = fields.find('\n', end + 1))
        if (end + 1 < fields.size() && (fields[end + 1] == ' ' || fields[end + 1] == '\t'))
            return true;
    return false;
}

} // namespace

template <bool IsRequest>
void message_reader<IsRequest>::on_memory()
{
    if (waiting_ != nullptr)
        waiting_->notify();
    else if (hold_.is_evicted())
        stream_.cancel();
}

template <bool IsRequest>
bool message_reader<IsRequest>::try_reserve(std::size_t bytes)
{
    auto& body = parser_.get().body();
    if (parser_.is_header_done())
        if (const auto remaining = parser_.content_length_remaining())
            bytes = std::min<std::uint64_t>(bytes, *remaining);
    const auto size = body.size() + bytes;
    const auto counted =
        occupied_bytes(size, std::max(size, body.capacity())) + buffer_.capacity() + header_bytes_;
    // Most messages are small, and their strings may grow by themselves.
    if (counted <= message_memory::small_bytes)
        return hold_.try_set(counted, 0, {});
    if (hold_.memory() == nullptr)
        return true;
    const bool grows = parser_.is_header_done() && size > body.capacity();
    if (!hold_.try_set(counted, grows ? body.size() : 0, boot_clock::now()))
        return false;
    if (grows) {
        // A limit that is a power of two is reached without a further copy. The string's own reserve would
        // at least double its capacity.
        std::string larger;
        larger.reserve(std::bit_ceil(size) + max_read_bytes);
        larger.append(body);
        body.swap(larger);
    }
    return true;
}

template <bool IsRequest>
typename message_reader<IsRequest>::result message_reader<IsRequest>::wait_for_memory(std::size_t bytes)
{
    notifier wake(stream_.get_executor());
    waiting_ = &wake;
    while (!hold_.is_evicted() && !try_reserve(bytes)) {
        static_cast<void>(co_await wake.wait_until(boot_clock::now() + memory_check_interval));
        hold_.memory()->make_room(boot_clock::now());
    }
    waiting_ = nullptr;
    co_return hold_.is_evicted() ? message_memory_error : boost::system::error_code{};
}

template <bool IsRequest>
memory_reservation message_reader<IsRequest>::release_memory()
{
    const auto& body = parser_.get().body();
    return hold_.release(occupied_bytes(body.size(), body.capacity()) + header_bytes_);
}

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
    if (!try_reserve(held + size))
        if (const auto no_memory = co_await wait_for_memory(held + size))
            co_return no_memory;
    const auto [failed, count] = co_await stream_.async_read_some(buffer_.prepare(size), as_result);
    buffer_.commit(count);
    budget_.on_read(count);
    if (hold_.is_large()) {
        hold_.on_progress(boot_clock::now());
        if (hold_.is_evicted())
            co_return message_memory_error;
    }
    if (failed != boost::asio::error::eof)
        co_return failed;
    if (aborted_)
        co_return aborted_;
    if (!parser_.got_some())
        co_return http::error::end_of_stream;
    boost::system::error_code incomplete;
    parser_.put_eof(incomplete);
    ended_with_connection_ = !incomplete;
    co_return incomplete;
}

template <bool IsRequest>
boost::system::error_code message_reader<IsRequest>::parse()
{
    boost::system::error_code failed = http::error::need_more;
    if (buffer_.size() == 0)
        return failed;
    const bool in_header = !parser_.is_header_done();
    try {
        do {
            const auto bytes = buffer_.data();
            const auto used = parser_.put(bytes, failed);
            const bool has_trailers = parser_.is_done() && parser_.chunked();
            if ((in_header || has_trailers) &&
                has_folded_line({static_cast<const char*>(bytes.data()), used}))
                failed = http::error::bad_obs_fold;
            buffer_.consume(used);
        } while (!failed && !in_header && !parser_.is_done() && buffer_.size() > 0);
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
    // Without eager parsing, the parser takes the header, each chunk, and the last chunk with the trailers
    // one at a time, so that `parse` can tell field lines from the body.
    parser_.eager(false);
    while (!parser_.is_header_done()) {
        auto failed = parse();
        if (failed == http::error::need_more)
            failed = co_await read_bytes();
        if (failed)
            co_return failed;
    }
    if constexpr (!IsRequest)
        if (!is_response_status(parser_.get().result_int()))
            co_return http::error::bad_status;
    if (find_framing_error(parser_.get(), parser_.get().version()))
        co_return http::error::bad_transfer_encoding;
    header_bytes_ = budget_.read_bytes() - std::min(budget_.read_bytes(), buffer_.size());
    co_return boost::system::error_code{};
}

template <bool IsRequest>
typename message_reader<IsRequest>::result message_reader<IsRequest>::read_some()
{
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
