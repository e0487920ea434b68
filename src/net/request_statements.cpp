#include <teaseltally/log_line.hpp>
#include <teaseltally/net/request_router.hpp>

#include <algorithm>

namespace teaseltally {
namespace {

/// Minimum time that a caller is told to wait.
constexpr milliseconds min_retry_after{50};
/// Time after which a caller may return if nothing is known of the move of its key.
constexpr milliseconds key_move_retry_time{500};
/// Maximum number of targets for which permits are requested together.
constexpr std::size_t max_permit_targets = 32;
/// The returns of callers after a rest are spread over its length divided by this, so that at most three
/// times the usual number of requests arrives.
constexpr int return_spread_divisor = 2;
/// Time after which a caller may return if other processes respond at the addresses of all targets. It is
/// that of the first check who responds there.
constexpr milliseconds confirmation_retry_time{500};
/// Time after which a caller may return if all targets are evacuated. Evacuations last for seconds at least.
constexpr milliseconds evacuation_retry_time{1000};
constexpr std::string_view limit_cause = "rate limits of the targets reached";
constexpr std::string_view cold_cause = "the targets are cold";
constexpr std::string_view other_process_cause = "another process responds at the address of the target";

} // namespace

void request_router::record_statement(const routed_request& request, const routed_attempt& attempt)
{
    auto& statements = attempt.target->statements();
    statements.on_request_ended(attempt.started);
    const auto& result = attempt.result;
    const auto& statement = result.statement;
    // Another target may have responded to a misdirected request.
    const bool responded = result.response.result_int() != 0 && result.connected && !result.held_back;
    if (!responded || result.status == exchange_status::misdirected)
        return;
    for (const auto& [header, value] : statement.rejected)
        if (statements.record_rejected(header))
            log_(log_line("target_statement_rejected")
                     .add("target", attempt.target->entry().id)
                     .add("header", header)
                     .add("value", value)
                     .text());
    if (statement.rest && statement.rest->count() > 0)
        log_(log_line("target_rest")
                 .add("id", request.id)
                 .add("target", attempt.target->entry().id)
                 .add("rest_ms", statement.rest->count())
                 .add("sends", request.sends)
                 .text());
    if (result.status == exchange_status::answered)
        statements.on_executed();
    statements.apply(statement, attempt.started, boot_clock::now());
    if (statement.leaving)
        publish_leaving(*attempt.target);
    record_rate_limit(attempt);
}

void request_router::record_leaving(const std::string& incarnation)
{
    const auto found = targets_.find(std::string_view{incarnation}.substr(0, incarnation.rfind('@')));
    if (found == targets_.end() || found->second->incarnation() != incarnation)
        return;
    found->second->statements().mark_leaving(boot_clock::now());
    publish_leaving(*found->second);
}

void request_router::publish_leaving(target_node& target)
{
    target.close_idle(boot_clock::now(), true);
    const auto registered = targets_.find(target.entry().id);
    if (registered == targets_.end() || registered->second.get() != &target || target.entry().draining ||
        !leaving_targets_.insert(target.incarnation()).second)
        return;
    log_(log_line("target_leaving").add("target", target.entry().id).text());
}

void request_router::record_rate_limit(const routed_attempt& attempt)
{
    if (permits_ == nullptr)
        return;
    const auto& incarnation = attempt.target->incarnation();
    const auto& result = attempt.result;
    const auto& statement = result.statement.rate_limit;
    // Only a response to an executed request is sure to name the limit if there is one.
    if (!statement.present && result.status != exchange_status::answered)
        return;
    if (!permits_->on_response(incarnation, statement, attempt.started, boot_clock::now()))
        return;
    log_(log_line("target_limit")
             .add("target", attempt.target->entry().id)
             .add("per_s", statement.per_s ? std::to_string(*statement.per_s) : "none")
             .text());
    report_limit_(incarnation);
}

const std::string* request_router::lacking_permit(const target_node& target, time_point now) const
{
    if (permits_ == nullptr)
        return nullptr;
    for (const auto* name : {&target.incarnation(), &target.cold_permit()})
        if (!permits_->has_permit(*name, now))
            return name;
    return nullptr;
}

bool request_router::may_get_permit(const routed_request& request, const target_node& target,
                                    time_point now) const
{
    if (lacking_permit(target, now) == nullptr)
        return true;
    const bool running =
        std::ranges::any_of(request.attempts, [](const auto& attempt) { return !attempt->ended; });
    return !running && !is_held_back(target, now);
}

std::vector<std::string> request_router::limited_targets(const routed_request& request,
                                                         const service_state& state,
                                                         const target_node& preferred)
{
    const auto now = boot_clock::now();
    std::vector<std::string> names;
    if (!request.key)
        for (const auto& target : state.targets)
            if (target.get() != &preferred && target->is_usable() && has_capacity(*target, false) &&
                !is_held_back(*target, now))
                if (const auto* name = lacking_permit(*target, now))
                    names.push_back(*name);
    std::ranges::shuffle(names, random_);
    names.resize(std::min(names.size(), max_permit_targets - 1));
    const auto* first = lacking_permit(preferred, now);
    names.insert(names.begin(), first == nullptr ? preferred.incarnation() : *first);
    return names;
}

bool request_router::is_held_back(const target_node& target, time_point now) const
{
    const auto* name = lacking_permit(target, now);
    return name != nullptr && now < permits_->held_back_until(*name);
}

std::optional<request_router::hold_back> request_router::hold_back_of(const target_node& target,
                                                                      time_point now) const
{
    std::optional<hold_back> held;
    if (const auto* name = lacking_permit(target, now);
        name != nullptr && now < permits_->held_back_until(*name))
        held = {permits_->held_back_until(*name) - now,
                {},
                name == &target.cold_permit() ? cold_cause : limit_cause};
    const auto& statements = target.statements();
    if (statements.is_resting(now) && (!held || statements.rest_until() - now > held->wait))
        held = {statements.rest_until() - now, statements.rest_length() / return_spread_divisor,
                "the targets have asked for rest"};
    if (statements.unconfirmed_since())
        held = {confirmation_retry_time, confirmation_retry_time, other_process_cause};
    return held;
}

std::optional<request_router::hold_back> request_router::hold_back_of(const routed_request& request,
                                                                      const service_state& state) const
{
    const auto now = boot_clock::now();
    const hold_back evacuated{evacuation_retry_time, evacuation_retry_time,
                              "the data centres of the targets are evacuated"};
    if (request.key) {
        if (const auto owner = owner_of(request))
            return hold_back_of(*owner, now);
        // While a range moves, a request waits for its new owner only if it can be sent there afterwards.
        const auto new_owner = owner_of(request, false);
        const bool has_usable = std::ranges::any_of(state.targets, &target_node::is_usable);
        if (!new_owner && !has_usable && !recorded_owner_of(request, false) &&
            std::ranges::any_of(state.targets, &target_node::is_evacuated))
            return evacuated;
        if (!new_owner)
            return hold_back_of_move(request, now);
        if (const auto held = hold_back_of_grant(request, state, now))
            return held;
        if (const auto held = hold_back_of(*new_owner, now))
            return held;
        const auto* lacking = lacking_permit(*new_owner, now);
        if (lacking == nullptr)
            return std::nullopt;
        return hold_back{{}, {}, lacking == &new_owner->cold_permit() ? cold_cause : limit_cause};
    }
    std::optional<hold_back> first;
    for (const auto& target : state.targets) {
        if (target->is_leaving())
            continue;
        if (target->is_evacuated()) {
            first = first.value_or(evacuated);
            continue;
        }
        const auto held = hold_back_of(*target, now);
        if (!held)
            return std::nullopt;
        if (!first || held->wait < first->wait)
            first = held;
    }
    return first;
}

std::optional<request_router::hold_back> request_router::hold_back_of_grant(const routed_request& request,
                                                                            const service_state& state,
                                                                            time_point now) const
{
    const auto* range = range_of(request);
    if (range == nullptr)
        return std::nullopt;
    if (const auto expired_at = former_grants_end(*ownership_, *range);
        expired_at && *expired_at > now && *expired_at + state.service_time / 2 > request.deadline)
        return hold_back{*expired_at - now, key_move_retry_time,
                         "the former owner of the key may hold it for longer than the deadline"};
    const auto refused_since =
        range_refusals_.refused_since({request.service, range->keys.first, range->fence}, now);
    if (refused_since && now - *refused_since >= max_handover_time)
        return hold_back{key_move_retry_time, key_move_retry_time,
                         "the owner of the key has no grant for it"};
    return std::nullopt;
}

std::optional<request_router::hold_back> request_router::hold_back_of_move(const routed_request& request,
                                                                           time_point now) const
{
    const auto owner = recorded_owner_of(request, false);
    const auto unusable_since = owner ? owner->unusable_since(now) : std::nullopt;
    if (!unusable_since || now - *unusable_since < max_handover_time)
        return std::nullopt;
    const std::string_view cause = owner->is_leaving() ? "the owner of the key is leaving"
                                   : owner->is_evacuated()
                                       ? "the data centre of the owner of the key is evacuated"
                                       : other_process_cause;
    return hold_back{key_move_retry_time, key_move_retry_time, cause};
}

http_response request_router::make_hold_back_response(routed_request& request, const hold_back& held)
{
    auto response = make_failure_response(request, std::string{held.cause}, {});
    std::uniform_int_distribution<std::int64_t> spread(0, held.spread.count());
    const auto wait = held.wait + microseconds{spread(random_)};
    if (!request.may_have_executed)
        response.set(boost::beast::http::field::retry_after,
                     format_seconds(std::max(std::chrono::ceil<milliseconds>(wait), min_retry_after)));
    return response;
}

} // namespace teaseltally
