#include <teaseltally/count_guard.hpp>
#include <teaseltally/log_line.hpp>
#include <teaseltally/net/request_router.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace teaseltally {
namespace {

constexpr auto as_result = asio::as_tuple(asio::use_awaitable);

/// Number of targets that are probed to decide whether the links are lost.
constexpr std::size_t probed_targets = 3;
/// Time limit for the connection of a probe, as for that of a request.
constexpr milliseconds probe_timeout{400};
/// Time for which connections that failed are not tried again if other instances can be asked.
constexpr milliseconds unreachable_time{1000};
/// Time for which requests are not passed on after another instance could not reach their target either.
constexpr milliseconds relay_backoff{1000};
/// Maximum number of instances that a request is passed to, one after the other.
constexpr std::size_t max_asked_instances = 8;

} // namespace

void request_router::record_contact()
{
    const bool was_isolated = is_isolated();
    reachability_.on_contact(boot_clock::now());
    if (!was_isolated)
        return;
    log_(log_line("targets_reached").text());
    for (auto& [name, state] : services_)
        wake_waiting(state);
}

void request_router::record_order_outcome(const std::string& target, bool answered)
{
    if (answered)
        record_contact();
    else
        reachability_.on_connection_failed(target);
}

void request_router::check_links()
{
    const auto now = boot_clock::now();
    if (probing_links_ || now < next_link_probe_at_ || targets_.empty() || !reachability_.needs_probe(now))
        return;
    probing_links_ = true;
    next_link_probe_at_ = now + link_probe_interval;
    asio::co_spawn(executor_, probe_links(), asio::detached);
}

asio::awaitable<void> request_router::probe_links()
{
    const auto sent_at = boot_clock::now();
    std::vector<std::shared_ptr<target_node>> probed;
    std::vector<std::shared_ptr<target_node>> all;
    for (const auto& [id, node] : targets_)
        all.push_back(node);
    std::ranges::sample(all, std::back_inserter(probed), probed_targets, random_);
    for (const auto& node : probed)
        asio::co_spawn(executor_, probe_link(node->endpoint()), asio::detached);
    co_await sleep_for(probe_timeout + milliseconds{10});
    probing_links_ = false;
    if (reachability_.on_probes_failed(sent_at))
        begin_isolation();
}

asio::awaitable<void> request_router::probe_link(tcp_endpoint endpoint)
{
    boost::beast::tcp_stream stream(executor_);
    stream.expires_after(probe_timeout);
    const auto [failed] = co_await stream.async_connect(endpoint, as_result);
    if (!failed)
        record_contact();
}

void request_router::begin_isolation()
{
    log_(log_line("targets_lost").add("targets", targets_.size()).text());
    const auto now = boot_clock::now();
    // The idle connections may stay silent after the links are back.
    for (auto& [id, node] : targets_)
        node->close_idle(now, true);
    for (auto& [name, state] : services_)
        for (auto* request : state.waiting)
            request->wake.notify();
}

std::string request_router::relay_backoff_name(const routed_request& request) const
{
    if (!request.key)
        return request.service;
    const auto owner = owner_of(request);
    return owner ? owner->incarnation() : std::string{};
}

bool request_router::should_relay(const routed_request& request, service_state& state)
{
    if (relay_ == nullptr || request.is_relayed || request.is_trial)
        return false;
    if (is_isolated())
        return true;
    const auto now = boot_clock::now();
    const auto is_unreachable = [&](const target_node& target) {
        return now - target.connection_failed_at() < unreachable_time && !target.has_idle_connection();
    };
    if (const auto backoff = relay_backoffs_.find(relay_backoff_name(request));
        backoff != relay_backoffs_.end() && now < backoff->second)
        return false;
    if (request.key) {
        const auto owner = owner_of(request);
        // Another instance must not send what the target has asked this one not to send.
        return owner && is_unreachable(*owner) && !owner->statements().is_resting(now);
    }
    const auto unreachable =
        std::ranges::count_if(state.targets, [&](const auto& target) { return is_unreachable(*target); });
    return unreachable * 2 > static_cast<std::ptrdiff_t>(state.targets.size()) &&
           choose_target(request, state) == nullptr;
}

bool request_router::start_relay(const std::shared_ptr<routed_request>& request)
{
    if (request->asked_instances.size() >= max_asked_instances)
        return false;
    const auto peer = relay_->choose(request->asked_instances, boot_clock::now());
    if (!peer)
        return false;
    auto& state = state_of(request->service);
    pay_for_send(*request, state);
    dequeue(*request, state);
    request->asked_instances.insert(peer->instance);
    auto attempt = std::make_shared<relay_attempt>();
    attempt->instance = peer->instance;
    request->relay = attempt;
    // The handler keeps the cancellation signal alive for as long as the coroutine uses it.
    asio::co_spawn(executor_, run_relay(request, attempt, *peer),
                   asio::bind_cancellation_slot(attempt->cancel.slot(), [attempt](std::exception_ptr) {}));
    return true;
}

asio::awaitable<void> request_router::run_relay(std::shared_ptr<routed_request> request,
                                                std::shared_ptr<relay_attempt> attempt, feed_member to)
{
    const auto remaining = std::chrono::duration_cast<milliseconds>(request->deadline - boot_clock::now());
    // The targets of these attempts may execute the request, whatever becomes of it elsewhere.
    const auto running = static_cast<unsigned>(
        std::ranges::count_if(request->attempts, [](const auto& earlier) { return !earlier->ended; }));
    const auto& body = request->message.body();
    relayed_request relayed{http_request{request->message.base()},
                            request->caller,
                            request->service,
                            request->sends,
                            request->unknown_outcomes + running,
                            std::span<const char>{body}};
    relayed.message.set(settings_.headers.deadline_ms,
                        std::to_string(std::max<std::int64_t>(remaining.count(), 1)));
    auto result = co_await relay_->send(std::move(to), std::move(relayed), request->deadline);
    attempt->result = std::move(result);
    // They are counted where they were made, when they end.
    attempt->result.unknown_outcomes -= std::min(running, attempt->result.unknown_outcomes);
    attempt->ended = true;
    request->wake.notify();
}

std::optional<http_response> request_router::handle_relay_result(routed_request& request)
{
    auto& attempt = *request.relay;
    attempt.handled = true;
    auto& result = attempt.result;
    request.sends = std::max(request.sends, result.sends);
    request.unknown_outcomes = std::max(request.unknown_outcomes, result.unknown_outcomes);
    switch (result.status) {
    case relay_status::answered:
        request.cause = "answered through another instance";
        return std::move(result.response);
    case relay_status::refused:
        request.cause = "refused by another instance";
        // The target of an attempt that still runs here may execute the request.
        request.may_have_executed = request.may_have_executed || request.has_running_attempt();
        if (request.may_have_executed)
            return make_failure_response(request, request.cause, {});
        return std::move(result.response);
    case relay_status::declined:
        request.cause = "declined by another instance";
        return std::nullopt;
    case relay_status::target_unreachable:
        request.cause = "target unreachable through another instance";
        relay_backoffs_[relay_backoff_name(request)] = boot_clock::now() + relay_backoff;
        return std::nullopt;
    case relay_status::outcome_unknown:
        request.may_have_executed = true;
        request.cause = "outcome unknown at another instance";
        if (request.matched_route->semantics == execution_semantics::at_most_once)
            return make_failure_response(request, request.cause, {});
        return std::nullopt;
    }
    return std::nullopt;
}

std::optional<http_response> request_router::decline(routed_request& request) const
{
    if (!request.is_relayed || request.has_running_attempt() || request.may_have_executed)
        return std::nullopt;
    const bool failed_to_connect = !request.attempts.empty() && !request.attempts.back()->result.connected;
    if (is_isolated())
        request.relay_outcome = relay_status::declined;
    else if (request.key && failed_to_connect)
        request.relay_outcome = relay_status::target_unreachable;
    else
        return std::nullopt;
    return make_failure_response(request, "targets unreachable", link_probe_interval);
}

asio::awaitable<http_response> request_router::serve_relayed(relayed_request received)
{
    const count_guard in_progress(relayed_in_progress_);
    relay_result result;
    result.sends = received.sends;
    result.unknown_outcomes = received.unknown_outcomes;
    if (declines_relayed_) {
        result.response = make_response(503, "the instance is stopping\n");
        co_return encode_relay_result(std::move(result));
    }
    auto request = std::make_shared<routed_request>(executor_, std::move(received.message), received.caller,
                                                    boot_clock::now());
    request->is_relayed = true;
    request->service = std::move(received.service);
    request->sends = request->earlier_sends = received.sends;
    request->unknown_outcomes = received.unknown_outcomes;
    auto response = co_await serve(request);
    if (request->matched_route == nullptr)
        request->relay_outcome = relay_status::declined;
    else if (request->relay_outcome == relay_status::refused && request->may_have_executed)
        request->relay_outcome = relay_status::outcome_unknown;
    result.status = request->relay_outcome;
    result.starting = table_ == nullptr;
    result.route_missing = table_ != nullptr && request->matched_route == nullptr;
    if (response)
        result.response = std::move(*response);
    result.sends = request->sends;
    result.unknown_outcomes = request->unknown_outcomes;
    co_return encode_relay_result(std::move(result));
}

} // namespace teaseltally
