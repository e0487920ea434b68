#include <teaseltally/log_line.hpp>
#include <teaseltally/net/request_router.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <array>
#include <cmath>

namespace teaseltally {
namespace {

namespace http = boost::beast::http;

/// Weight of one sample in the moving averages of a service.
constexpr double moving_average_weight = 0.1;
constexpr double us_per_s = 1e6;

/// Returns whether a status tells callers that their request was not and will not be executed.
bool promises_no_execution(unsigned status)
{
    constexpr std::array<unsigned, 4> promises{408, 421, 429, 503};
    return std::ranges::find(promises, status) != promises.end();
}

/// Returns host and path of a request, for the log.
std::string request_path(const http_request& message)
{
    return std::string{message[http::field::host]} + std::string{message.target()};
}

bool is_hop_by_hop(const http_request::const_iterator::value_type& field)
{
    switch (field.name()) {
    case http::field::connection:
    case http::field::keep_alive:
    case http::field::proxy_connection:
    case http::field::proxy_authenticate:
    case http::field::proxy_authorization:
    case http::field::te:
    case http::field::trailer:
    case http::field::transfer_encoding:
    case http::field::upgrade:
    case http::field::content_length:
    case http::field::expect:
        return true;
    default:
        return false;
    }
}

} // namespace

std::shared_ptr<const target_request> request_router::build_target_request(const routed_request& request,
                                                                           const target_node& target) const
{
    auto message = std::make_shared<target_request>();
    message->version(11);
    message->method_string(request.message.method_string());
    message->target(request.message.target());
    const auto connection_tokens = request.message[http::field::connection];
    for (const auto& field : request.message) {
        if (is_hop_by_hop(field) || http::token_list{connection_tokens}.exists(field.name_string()))
            continue;
        const auto name = field.name_string();
        if (boost::beast::iequals(name, settings_.headers.deadline_ms) ||
            boost::beast::iequals(name, settings_.headers.expected_target))
            continue;
        message->insert(field.name(), name, field.value());
    }
    const auto remaining = std::chrono::duration_cast<milliseconds>(request.deadline - boot_clock::now());
    message->set(settings_.headers.deadline_ms, std::to_string(std::max<std::int64_t>(remaining.count(), 1)));
    message->set(settings_.headers.expected_target, target.entry().id);
    const auto& body = request.message.body();
    message->body() = {body.data(), body.size()};
    const bool has_body = request.message.has_content_length() || request.message.chunked();
    if (has_body || !body.empty())
        message->content_length(body.size());
    return message;
}

void request_router::start_attempt(const std::shared_ptr<routed_request>& request,
                                   std::shared_ptr<target_node> target,
                                   std::unique_ptr<target_connection> connection)
{
    const auto now = boot_clock::now();
    auto attempt = std::make_shared<routed_attempt>();
    attempt->target = std::move(target);
    attempt->stream = &connection->stream;
    attempt->connection = connection->number;
    attempt->started = now;
    if (const auto* range = request->key ? range_of(*request) : nullptr) {
        attempt->range = range_assignment{request->service, range->keys.first, range->fence};
        range_refusals_.on_sent(*attempt->range, now);
    }
    auto& load = attempt->target->load();
    attempt->occupancy = load.occupancy(now) + 1;
    load.on_request_sent(now);
    attempt->target->statements().on_request_sent(now);
    reachability_.on_request_sent(now);
    ++request->sends;
    request->attempts.push_back(attempt);
    asio::co_spawn(executor_, run_attempt(request, attempt, std::move(connection)), asio::detached);
}

asio::awaitable<void> request_router::run_attempt(std::shared_ptr<routed_request> request,
                                                  std::shared_ptr<routed_attempt> attempt,
                                                  std::unique_ptr<target_connection> connection)
{
    const auto message = build_target_request(*request, *attempt->target);
    attempt->result = co_await exchange_with_target(attempt->target, message, settings_.headers,
                                                    std::move(connection), request->deadline, memory_);
    attempt->stream = nullptr;
    attempt->ended = true;
    attempt->ended_at = boot_clock::now();
    record_attempt_end(*request, *attempt);
    request->wake.notify();
}

void request_router::record_speed_sample(const routed_attempt& attempt, microseconds service_time)
{
    const auto& load = attempt.target->load();
    const bool saturated = attempt.result.statement.load && attempt.result.statement.load->waiting > 0;
    auto& samples = traffic_.speeds[attempt.target->entry().id];
    ++samples.answers;
    if (saturated)
        ++samples.saturated;
    if (saturated || attempt.occupancy > load.slots())
        return;
    ++samples.unqueued;
    samples.unqueued_total += service_time;
}

void request_router::record_attempt_end(const routed_request& request, routed_attempt& attempt)
{
    const auto now = boot_clock::now();
    auto& load = attempt.target->load();
    load.on_request_ended();
    reachability_.on_request_ended();
    auto& state = state_of(request.service);
    const auto& result = attempt.result;
    if (!result.connected)
        reachability_.on_connection_failed(attempt.target->entry().id);
    else if (result.status != exchange_status::outcome_unknown || result.failure == connection_failure::none)
        record_contact();
    if (result.statement.load)
        load.on_load_report(now, *result.statement.load);
    if (attempt.range && result.connected && !result.held_back) {
        if (result.status == exchange_status::misdirected)
            range_refusals_.on_refused(*attempt.range, attempt.started, now);
        else if (result.status != exchange_status::outcome_unknown)
            range_refusals_.on_accepted(*attempt.range);
    }
    if (!state.waiting.empty()) {
        const auto interval =
            std::min(static_cast<double>((now - state.last_attempt_ended_at).count()), us_per_s);
        state.drain_interval_us += (interval - state.drain_interval_us) * moving_average_weight;
    }
    state.last_attempt_ended_at = now;
    switch (result.status) {
    case exchange_status::answered: {
        const auto service_time = load.on_response(now, now - attempt.started, attempt.occupancy);
        if (request.key)
            record_speed_sample(attempt, service_time);
        const auto difference = static_cast<double>((load.service_time() - state.service_time).count());
        state.service_time += microseconds{std::llround(difference * moving_average_weight)};
        break;
    }
    case exchange_status::not_executed:
        if (!result.connected)
            load.on_failure(now);
        else if (!result.held_back)
            load.on_refusal(now, request.key && !result.statement.load);
        break;
    case exchange_status::misdirected:
        record_misdirection(request, attempt);
        break;
    case exchange_status::outcome_unknown:
        if (!result.stale_connection && !request.caller_disconnected)
            load.on_failure(now);
        log_lost_attempt(request, attempt);
        break;
    }
    record_statement(request, attempt);
    record_crash_evidence(request, attempt);
    wake_waiting(state);
}

void request_router::log_lost_attempt(const routed_request& request, const routed_attempt& attempt) const
{
    log_(log_line("attempt_lost")
             .add("id", request.id)
             .add("fingerprint", request.fingerprints.caller)
             .add("caller", request.caller.to_string())
             .add("method", request.message.method_string())
             .add("path", request_path(request.message))
             .add("target", attempt.target->entry().id)
             .add("reason", attempt.result.reason)
             .add("sends", request.sends)
             .add("took_ms",
                  std::chrono::duration_cast<milliseconds>(attempt.ended_at - attempt.started).count())
             .text());
}

std::optional<http_response> request_router::handle_result(routed_request& request, routed_attempt& attempt)
{
    attempt.handled = true;
    auto& result = attempt.result;
    switch (result.status) {
    case exchange_status::answered:
        request.cause = "answered";
        request.relay_outcome = relay_status::answered;
        if (request.matched_route->semantics == execution_semantics::at_most_once &&
            promises_no_execution(result.response.result_int())) {
            request.may_have_executed = true;
            return make_failure_response(request,
                                         "the target executed the request and answered with status " +
                                             std::to_string(result.response.result_int()),
                                         {});
        }
        return std::move(result.response);
    case exchange_status::not_executed:
        if (!result.connected || result.held_back)
            --request.sends;
        request.cause = result.connected ? "target refused the request" : "target unreachable";
        return std::nullopt;
    case exchange_status::misdirected:
        request.cause = "misdirected";
        return std::nullopt;
    case exchange_status::outcome_unknown:
        request.may_have_executed = true;
        request.relay_outcome = relay_status::outcome_unknown;
        ++request.unknown_outcomes;
        request.cause = "outcome unknown: " + result.reason;
        if (request.matched_route->semantics == execution_semantics::at_most_once)
            return make_failure_response(request, request.cause, {});
        return std::nullopt;
    }
    return std::nullopt;
}

} // namespace teaseltally
