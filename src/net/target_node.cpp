#include <teaseltally/net/target_node.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <charconv>
#include <sys/socket.h>

namespace teaseltally {
namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;
constexpr auto as_result = asio::as_tuple(asio::use_awaitable);

/// Idle time of a connection whose target states none; targets close after ten seconds (site sheets).
constexpr milliseconds default_idle{5000};
/// Time by which an idle connection is given up before the target closes it.
constexpr milliseconds idle_margin{1200};
constexpr milliseconds connect_time{400};
/// Time for an answer that was already under way when the write failed.
constexpr milliseconds early_answer_time{100};
constexpr std::size_t largest_answer = 64U << 20U;
constexpr int most_foreign_answers = 4;

bool is_stale(asio::ip::tcp::socket& socket)
{
    char byte = 0;
    const auto count = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return !(count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK));
}

std::chrono::steady_clock::duration time_left(time_point deadline)
{
    return std::max<microseconds>(deadline - boot_clock::now(), microseconds{0});
}

milliseconds idle_time(const http_response& response)
{
    const auto value = response["Keep-Alive"];
    const auto at = value.find("timeout=");
    if (at == beast::string_view::npos)
        return default_idle;
    unsigned seconds = 0;
    const auto digits = value.substr(at + 8);
    if (std::from_chars(digits.data(), digits.data() + digits.size(), seconds).ec != std::errc{})
        return default_idle;
    return std::max(milliseconds{seconds * 1000} - idle_margin, milliseconds{0});
}

/// Reads answers until one that belongs to the request.
class answer_reader {
public:
    answer_reader(target_connection& connection, const http_request& request, const header_names& headers)
        : connection_(connection), request_id_(request[headers.request_id]), headers_(headers),
          head_(request.method() == http::verb::head)
    {
    }

    asio::awaitable<void> read(exchange_result& into)
    {
        for (int foreign = 0; foreign <= most_foreign_answers;) {
            http::response_parser<http::string_body> parser;
            parser.body_limit(largest_answer);
            parser.skip(head_);
            const auto [failed, count] =
                co_await http::async_read(connection_.stream, connection_.buffer, parser, as_result);
            if (failed) {
                into.stale_connection =
                    connection_.reused && count == 0 && foreign == 0 && failed != beast::error::timeout;
                into.reason = failed.message();
                co_return;
            }
            const bool framed = !parser.get().need_eof();
            const bool keep_alive = parser.keep_alive();
            into.response = parser.release();
            if (into.response.result_int() < 200)
                continue;
            const auto id = into.response[headers_.request_id];
            if (!id.empty() && id != request_id_) {
                ++foreign;
                continue;
            }
            into.end = classify(into, !id.empty());
            reusable_ =
                framed && keep_alive && connection_.buffer.size() == 0 && into.end != exchange_end::in_doubt;
            co_return;
        }
        into.reason = "answers to other requests";
    }

    [[nodiscard]] bool reusable() const noexcept { return reusable_; }

private:
    [[nodiscard]] exchange_end classify(exchange_result& result, bool identified) const
    {
        const auto& response = result.response;
        if (const auto text = response[headers_.load]; !text.empty())
            result.load = parse_reported_load({text.data(), text.size()});
        if (!identified) {
            result.reason =
                "answer without the request's id, status " + std::to_string(response.result_int());
            return exchange_end::in_doubt;
        }
        if (response.result() == http::status::misdirected_request)
            return exchange_end::misdirected;
        if (!response[headers_.not_executed].empty())
            return exchange_end::not_executed;
        if (response[headers_.signature].empty() || !response[http::field::content_encoding].empty()) {
            result.reason = "not the target's own answer, status " + std::to_string(response.result_int());
            return exchange_end::in_doubt;
        }
        return exchange_end::answered;
    }

    target_connection& connection_;
    beast::string_view request_id_;
    const header_names& headers_;
    bool head_;
    bool reusable_ = false;
};

} // namespace

target_node::target_node(asio::any_io_executor executor, target_entry entry, tcp_endpoint at,
                         microseconds expected_service)
    : executor_(std::move(executor)), entry_(std::move(entry)), at_(std::move(at)),
      load_(entry_.slots, expected_service)
{
    load_.set_cold_until(boot_clock::now() + entry_.cold_remaining);
}

void target_node::update(target_entry entry, time_point now)
{
    if (entry.cold_remaining.count() > 0)
        load_.set_cold_until(now + entry.cold_remaining);
    load_.set_slots(entry.slots);
    entry_ = std::move(entry);
}

std::unique_ptr<target_connection> target_node::acquire(time_point now, unsigned limit)
{
    while (!idle_.empty()) {
        auto connection = std::move(idle_.back());
        idle_.pop_back();
        if (now < connection->expires && !is_stale(connection->stream.socket())) {
            connection->reused = true;
            return connection;
        }
        --open_;
    }
    if (open_ >= limit)
        return nullptr;
    ++open_;
    return std::make_unique<target_connection>(executor_);
}

void target_node::keep(std::unique_ptr<target_connection> connection)
{
    idle_.push_back(std::move(connection));
}

void target_node::discard(std::unique_ptr<target_connection> connection)
{
    connection.reset();
    --open_;
}

void target_node::close_idle(time_point now, bool all)
{
    const auto before = idle_.size();
    std::erase_if(idle_, [&](const auto& connection) { return all || connection->expires <= now; });
    open_ -= static_cast<unsigned>(before - idle_.size());
}

asio::awaitable<exchange_result> exchange_with_target(std::shared_ptr<target_node> node,
                                                      std::shared_ptr<const http_request> request,
                                                      const header_names& headers,
                                                      std::unique_ptr<target_connection> connection,
                                                      time_point deadline)
{
    exchange_result result;
    auto& stream = connection->stream;
    if (!connection->reused) {
        stream.expires_after(
            std::min<std::chrono::steady_clock::duration>(time_left(deadline), connect_time));
        if (const auto [failed] = co_await stream.async_connect(node->endpoint(), as_result); failed) {
            result.end = exchange_end::not_executed;
            result.reason = "connect: " + failed.message();
            node->discard(std::move(connection));
            co_return result;
        }
        prepare_outgoing(stream.socket());
    }
    result.connected = true;
    stream.expires_after(time_left(deadline));
    http::request_serializer<http::string_body> serializer{*request};
    const auto [write_failed, written] = co_await http::async_write(stream, serializer, as_result);
    if (write_failed)
        stream.expires_after(early_answer_time);
    answer_reader reader(*connection, *request, headers);
    co_await reader.read(result);
    if (reader.reusable() && !write_failed) {
        stream.expires_never();
        connection->expires = boot_clock::now() + idle_time(result.response);
        node->keep(std::move(connection));
    }
    else
        node->discard(std::move(connection));
    co_return result;
}

} // namespace teaseltally
