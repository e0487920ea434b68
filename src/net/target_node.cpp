#include <teaseltally/net/message_framing.hpp>
#include <teaseltally/net/message_reader.hpp>
#include <teaseltally/net/socket_state.hpp>
#include <teaseltally/net/statement_reader.hpp>
#include <teaseltally/net/target_node.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/write.hpp>

#include <sys/socket.h>
#include <utility>

namespace teaseltally {
namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;
constexpr auto as_result = asio::as_tuple(asio::use_awaitable);

/// Time for which an idle connection is kept if the target sends no Keep-Alive timeout. According to the site
/// documentation, targets close idle connections after 10 s.
constexpr milliseconds default_idle_timeout{5000};
/// Time before the Keep-Alive timeout of the target from which an idle connection is not reused.
constexpr milliseconds idle_close_margin{1200};
/// Time limit for connecting to a target.
constexpr milliseconds connect_timeout{400};
/// Time limit for reading a response that the target sent before the write of the request failed.
constexpr milliseconds early_response_timeout{100};
/// Maximum time in which a target that has ended its side of a connection acknowledges no byte of a request.
constexpr milliseconds max_acknowledgement_pause{1000};
constexpr milliseconds acknowledgement_check_interval{5};
/// Maximum size of a response body.
constexpr std::size_t max_response_bytes = 16U << 20U;
/// Maximum number of responses to other requests that one exchange skips; after one more, it fails.
constexpr int max_mismatched_responses = 4;

/// Returns whether an idle connection is closed or has unexpected bytes to read.
bool is_stale(asio::ip::tcp::socket& socket)
{
    char byte = 0;
    const auto count = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return !(count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK));
}

std::chrono::steady_clock::duration remaining_time(time_point deadline)
{
    return std::max<microseconds>(deadline - boot_clock::now(), microseconds{0});
}

/// Returns the time for which the connection may stay idle after a response.
milliseconds usable_idle_time(const target_statement& statement)
{
    if (!statement.idle_timeout)
        return default_idle_timeout;
    return std::max(*statement.idle_timeout - idle_close_margin, milliseconds{0});
}

connection_failure failure_of(const error_code& ec)
{
    if (ec == beast::error::timeout)
        return connection_failure::timed_out;
    if (ec == asio::error::connection_refused)
        return connection_failure::refused;
    if (ec == asio::error::operation_aborted || ec == asio::error::bad_descriptor)
        return connection_failure::abandoned;
    const bool lost = ec == asio::error::connection_reset || ec == asio::error::broken_pipe ||
                      ec == asio::error::eof || ec == http::error::end_of_stream ||
                      ec == http::error::partial_message;
    return lost ? connection_failure::lost : connection_failure::none;
}

/// Waits until a target has received the whole request after it has ended its side of the connection. A
/// target that closes a connection before it has read the request sends the same end as one that reads on,
/// and a reset only when further bytes of the request arrive.
/// @returns the error, or nothing if the target has received the whole request.
asio::awaitable<error_code> confirm_request_received(asio::ip::tcp::socket& socket, time_point deadline)
{
    std::optional<std::size_t> known;
    auto give_up_at = deadline;
    for (auto bytes = unacknowledged_bytes(socket); bytes != 0U; bytes = unacknowledged_bytes(socket)) {
        if (!bytes)
            co_return asio::error::connection_reset;
        const auto now = boot_clock::now();
        if (std::exchange(known, bytes) != bytes)
            give_up_at = std::min(deadline, now + max_acknowledgement_pause);
        if (now >= give_up_at)
            co_return beast::error::timeout;
        co_await sleep_for(acknowledgement_check_interval);
    }
    co_return error_code{};
}

/// Reads responses until one belongs to the request, or too many belong to other requests.
class response_reader {
public:
    /// @param deadline time by which the response must be complete.
    /// @param aborted error with which writing the request ended.
    response_reader(target_connection& connection, const target_request& request, const header_names& headers,
                    message_memory& memory, time_point deadline, error_code aborted)
        : connection_(connection), request_id_(request[headers.request_id]), headers_(headers),
          memory_(memory), is_head_request_(request.method() == http::verb::head), deadline_(deadline),
          aborted_(aborted)
    {
    }

    asio::awaitable<void> read(exchange_result& result)
    {
        int interim = 0;
        framing_budget budget(max_response_header_bytes, connection_.buffer.size());
        for (int mismatched = 0;
             mismatched <= max_mismatched_responses && interim <= max_interim_responses;) {
            http::response_parser<http::string_body> parser;
            const auto failed = co_await read_one(parser, budget, result.memory);
            if (failed) {
                result.stale_connection =
                    connection_.reused && !received_bytes_ && failed != beast::error::timeout;
                result.failure = failure_of(failed);
                result.reason = describe_response_failure(failed, parser.get().result_int());
                co_return;
            }
            const bool self_delimited = !parser.get().need_eof();
            const bool keep_alive = parser.keep_alive();
            result.response = parser.release();
            if (is_interim_status(result.response.result_int())) {
                ++interim;
                continue;
            }
            const auto id = result.response[headers_.request_id];
            if (!id.empty() && id != request_id_) {
                ++mismatched;
                budget = framing_budget(max_response_header_bytes, connection_.buffer.size());
                continue;
            }
            result.status = classify(result, !id.empty());
            reusable_ = self_delimited && keep_alive && connection_.buffer.size() == 0 &&
                        result.status != exchange_status::outcome_unknown;
            co_return;
        }
        result.reason =
            interim > max_interim_responses
                ? "more than " + std::to_string(max_interim_responses) + " interim responses"
                : "more than " + std::to_string(max_mismatched_responses) + " responses to other requests";
    }

    [[nodiscard]] bool reusable() const noexcept { return reusable_; }

private:
    [[nodiscard]] asio::awaitable<error_code> read_one(http::response_parser<http::string_body>& parser,
                                                       framing_budget& budget, memory_reservation& held)
    {
        message_reader<false> reader(connection_.stream, connection_.buffer, parser, budget, &memory_,
                                     memory_purpose::reading_responses);
        reader.set_aborted(aborted_);
        parser.body_limit(max_response_bytes);
        parser.header_limit(max_response_header_bytes);
        parser.skip(is_head_request_);
        const auto header_failed = co_await reader.read_header();
        received_bytes_ = received_bytes_ || budget.read_bytes() > 0;
        if (header_failed)
            co_return header_failed;
        trailer_filter filter(parser);
        if (const auto failed = co_await reader.read_rest())
            co_return failed;
        if (reader.ended_with_connection())
            if (const auto failed = co_await confirm_request_received(connection_.stream.socket(), deadline_))
                co_return failed;
        filter.remove_trailers();
        shrink_large_buffer(connection_.buffer);
        held = reader.release_memory();
        co_return error_code{};
    }

    [[nodiscard]] exchange_status classify(exchange_result& result, bool identified) const
    {
        const auto& response = result.response;
        result.statement = read_statement(response, headers_);
        if (!identified) {
            result.reason =
                "response without the id of the request, status " + std::to_string(response.result_int());
            return exchange_status::outcome_unknown;
        }
        const bool not_executed = !response[headers_.not_executed].empty();
        const bool is_signed = !response[headers_.signature].empty();
        if (response.result() == http::status::misdirected_request && (not_executed || !is_signed))
            return exchange_status::misdirected;
        if (not_executed)
            return exchange_status::not_executed;
        if (!is_signed || !response[http::field::content_encoding].empty()) {
            result.reason = "response without the target's signature or with a content encoding, status " +
                            std::to_string(response.result_int());
            return exchange_status::outcome_unknown;
        }
        return exchange_status::answered;
    }

    target_connection& connection_;
    beast::string_view request_id_;
    const header_names& headers_;
    message_memory& memory_;
    bool is_head_request_;
    time_point deadline_;
    error_code aborted_;
    bool received_bytes_ = false;
    bool reusable_ = false;
};

} // namespace

target_node::target_node(asio::any_io_executor executor, target_entry entry, tcp_endpoint target_endpoint,
                         microseconds expected_service_time, std::shared_ptr<target_statements> statements)
    : executor_(std::move(executor)), entry_(std::move(entry)),
      incarnation_(incarnation_name(entry_.id, entry_.start_unix_ms)),
      cold_permit_(cold_permit_name(incarnation_)), endpoint_(std::move(target_endpoint)),
      load_(entry_.slots, expected_service_time), statements_(std::move(statements))
{
    const auto now = boot_clock::now();
    load_.set_cold_until(now + entry_.cold_remaining);
    if (entry_.draining)
        draining_since_ = now;
}

void target_node::update(target_entry entry, time_point now)
{
    if (entry.cold_remaining.count() > 0)
        load_.set_cold_until(now + entry.cold_remaining);
    load_.set_slots(entry.slots);
    if (entry.draining && !entry_.draining)
        draining_since_ = now;
    entry_ = std::move(entry);
}

std::unique_ptr<target_connection> target_node::acquire(time_point now, unsigned limit,
                                                        std::span<const std::uint64_t> excluded)
{
    for (auto index = idle_connections_.size(); index-- > 0;) {
        if (std::ranges::find(excluded, idle_connections_[index]->number) != excluded.end())
            continue;
        auto connection = std::move(idle_connections_[index]);
        idle_connections_.erase(idle_connections_.begin() + static_cast<std::ptrdiff_t>(index));
        if (now < connection->expires_at && !is_stale(connection->stream.socket())) {
            connection->reused = true;
            return connection;
        }
        --open_connections_;
    }
    if (open_connections_ >= limit && has_idle_connection()) {
        idle_connections_.erase(idle_connections_.begin());
        --open_connections_;
    }
    if (open_connections_ >= limit)
        return nullptr;
    ++open_connections_;
    auto connection = std::make_unique<target_connection>(executor_);
    connection->number = ++last_connection_number_;
    return connection;
}

void target_node::release(std::unique_ptr<target_connection> connection)
{
    idle_connections_.push_back(std::move(connection));
}

void target_node::discard(std::unique_ptr<target_connection> connection)
{
    connection.reset();
    --open_connections_;
}

void target_node::close_idle(time_point now, bool all)
{
    const auto before = idle_connections_.size();
    std::erase_if(idle_connections_,
                  [&](const auto& connection) { return all || connection->expires_at <= now; });
    open_connections_ -= static_cast<unsigned>(before - idle_connections_.size());
}

asio::awaitable<exchange_result> exchange_with_target(std::shared_ptr<target_node> node,
                                                      std::shared_ptr<const target_request> request,
                                                      const header_names& headers,
                                                      std::unique_ptr<target_connection> connection,
                                                      time_point deadline, message_memory& memory)
{
    exchange_result result;
    auto& stream = connection->stream;
    if (!connection->reused) {
        stream.expires_after(
            std::min<std::chrono::steady_clock::duration>(remaining_time(deadline), connect_timeout));
        if (const auto [failed] = co_await stream.async_connect(node->endpoint(), as_result); failed) {
            result.status = exchange_status::not_executed;
            result.failure = failure_of(failed);
            result.reason = "cannot connect: " + failed.message();
            node->record_connection(false, boot_clock::now());
            node->discard(std::move(connection));
            co_return result;
        }
        configure_client_socket(stream.socket());
        node->record_connection(true, boot_clock::now());
    }
    result.connected = true;
    if (const auto now = boot_clock::now();
        !node->is_usable_owner(now) || node->statements().is_resting(now)) {
        result.status = exchange_status::not_executed;
        result.held_back = true;
        result.reason =
            "the target has asked for rest, is leaving, is evacuated or does not respond at its address";
        stream.expires_never();
        connection->expires_at = now + default_idle_timeout;
        node->release(std::move(connection));
        co_return result;
    }
    stream.expires_after(remaining_time(deadline));
    http::request_serializer<http::span_body<const char>> serializer{*request};
    const auto [write_failed, written] = co_await http::async_write(stream, serializer, as_result);
    if (write_failed)
        stream.expires_after(early_response_timeout);
    response_reader reader(*connection, *request, headers, memory, deadline, write_failed);
    co_await reader.read(result);
    if (reader.reusable() && !write_failed) {
        stream.expires_never();
        connection->expires_at = boot_clock::now() + usable_idle_time(result.statement);
        node->release(std::move(connection));
    }
    else
        node->discard(std::move(connection));
    co_return result;
}

} // namespace teaseltally
