#include <teaseltally/ownership/range_manager.hpp>

#include <algorithm>

namespace teaseltally {
namespace {

/// Capacity of a target whose rate limit is lower, in requests per second; capacities must not be zero.
constexpr double min_limited_capacity = 0.1;

/// Service time assumed while that of no target is known.
constexpr double default_service_us = 200'000;
constexpr double us_per_s = 1e6;
/// Another instance takes over without waiting for `takeover_timeout` after this number of consecutive
/// reports that the process named in the claim does not coordinate.
constexpr unsigned reports_to_take_over = 2;

/// Returns the keys that two overlapping ranges have in common.
key_range overlap_of(key_range left, key_range right)
{
    return {std::max(left.first, right.first), std::min(left.last, right.last)};
}

bool same_incarnation(const target_incarnation& left, const target_incarnation& right)
{
    return left.id == right.id && left.start_unix_ms == right.start_unix_ms;
}

} // namespace

void range_manager::record_load(std::string_view service, key_number key, double requests)
{
    auto found = loads_.find(service);
    if (found == loads_.end())
        found = loads_.emplace(std::string{service}, service_load{}).first;
    found->second.short_term.add(key, requests);
    found->second.long_term.add(key, requests);
}

void range_manager::record_coordinator_report(std::uint64_t session, bool is_coordinator)
{
    if (is_coordinator || session != reported_session_)
        not_coordinator_reports_ = 0;
    reported_session_ = session;
    if (!is_coordinator)
        ++not_coordinator_reports_;
}

void range_manager::record_speed_report(std::string_view target, const speed_report& report)
{
    auto found = speeds_.find(target);
    if (found == speeds_.end())
        found = speeds_.emplace(std::string{target}, target_speed{}).first;
    found->second.add(report);
}

std::vector<ownership_action> range_manager::tick(time_point now, const ownership_view& view)
{
    std::vector<ownership_action> actions;
    if (first_tick_ == time_point{})
        first_tick_ = last_tick_ = now;
    for (auto& [service, load] : loads_) {
        load.short_term.decay(now - last_tick_);
        load.long_term.decay(now - last_tick_);
    }
    last_tick_ = now;
    for (auto& [id, speed] : speeds_)
        if (const auto* entry = view.directory.find(id))
            speed.tick(now, entry->slots);
    if (reread_after_ && view.last_read_sent_at > *reread_after_)
        reread_after_.reset();
    if (!is_coordinator_) {
        watch_coordinator(now, view, actions);
        return actions;
    }
    if (!append_pending_ && view.log.claim() && view.log.claim()->session != self_.session) {
        step_down();
        return actions;
    }
    if (!append_pending_ && !targets_reachable_) {
        resign(now, view, actions);
        return actions;
    }
    if (!append_pending_)
        reconcile(now, view);
    if (!append_pending_ && !reread_after_)
        plan(now, view, actions);
    if (now < authority_until_)
        send_orders(now, actions);
    return actions;
}

void range_manager::watch_coordinator(time_point now, const ownership_view& view,
                                      std::vector<ownership_action>& actions)
{
    if (append_pending_ || reread_after_ || !targets_reachable_ ||
        now - view.last_read_sent_at > timing_.heartbeat_interval * 2)
        return;
    const auto& claim = view.log.claim();
    if (claim && claim->session == self_.session && !claim->resigned && !resigned_) {
        begin_term(now, view);
        return;
    }
    const auto silent_since = std::max(first_tick_, view.log.last_record_at());
    const bool no_coordinator =
        !claim || claim->resigned || claim->session == self_.session ||
        (claim->session == reported_session_ && not_coordinator_reports_ >= reports_to_take_over);
    const auto silence_limit = no_coordinator ? jitter_ : timing_.takeover_timeout + jitter_;
    if (now - silent_since < silence_limit)
        return;
    append_pending_ = true;
    predecessor_last_record_at_ = silent_since;
    append_sent_ = now;
    append_order order;
    order.records.push_back(claim_record(now, view.log));
    order.expected_end = view.log.position();
    actions.push_back(std::move(order));
}

append_order::record range_manager::claim_record(time_point now, const ownership_log& log,
                                                 bool resigned) const
{
    auto claim = self_;
    claim.resigned = resigned;
    claim.log_time = log.log_time(now);
    return {std::string{ownership_log::claim_key}, encode(claim)};
}

void range_manager::begin_term(time_point now, const ownership_view& view)
{
    is_coordinator_ = true;
    term_ = view.log.term();
    authority_until_ = append_sent_ + timing_.authority_duration;
    predecessor_grants_expire_at_ = predecessor_last_record_at_ + max_stale_authority();
    last_append_ = now;
    ranges_.clear();
    first_reconcile_ = true;
    reconciled_position_ = 0;
}

milliseconds range_manager::max_stale_authority() const noexcept
{
    return timing_.authority_duration + timing_.order_timeout + max_grant_lifetime();
}

void range_manager::step_down()
{
    is_coordinator_ = false;
    ranges_.clear();
    authority_until_ = {};
}

void range_manager::resign(time_point now, const ownership_view& view, std::vector<ownership_action>& actions)
{
    step_down();
    resigned_ = true;
    append_pending_ = true;
    append_order order;
    order.records.push_back(claim_record(now, view.log, true));
    order.expected_end = view.log.position();
    actions.push_back(std::move(order));
}

void range_manager::on_append_completed(time_point now, append_status status)
{
    append_pending_ = false;
    if (status == append_status::done) {
        resigned_ = false;
        authority_until_ = std::max(authority_until_, append_sent_ + timing_.authority_duration);
        last_append_ = now;
        return;
    }
    reread_after_ = now;
}

void range_manager::reconcile(time_point now, const ownership_view& view)
{
    if (view.log.position() == reconciled_position_)
        return;
    reconciled_position_ = view.log.position();
    for (const auto& [service, committed] : view.log.services())
        ranges_[service] = reconcile_service(now, view.log, committed, ranges_[service], first_reconcile_);
    first_reconcile_ = false;
}

range_manager::service_ranges range_manager::reconcile_service(time_point now, const ownership_log& log,
                                                               const assignment& committed,
                                                               const service_ranges& before,
                                                               bool first_reconcile) const
{
    service_ranges next;
    for (const auto& range : committed.ranges()) {
        const auto kept = std::ranges::find_if(before, [&](const managed_range& old) {
            return old.recorded_fence == range.fence && same_incarnation(old.owner, range.owner) &&
                   old.keys.first <= range.keys.first && range.keys.last <= old.keys.last;
        });
        if (kept != before.end()) {
            next.push_back(*kept);
            next.back().keys = range.keys;
            continue;
        }
        managed_range added;
        added.keys = range.keys;
        added.owner = range.owner;
        added.recorded_fence = range.fence;
        added.fence = std::max(range.fence, term_);
        added.former_grants = former_grants_of(log, range, before, first_reconcile);
        added.latest_grant_expiry = first_reconcile ? predecessor_grants_expire_at_ : time_point{};
        added.next_grant_at = now;
        next.push_back(std::move(added));
    }
    return next;
}

std::vector<range_manager::former_grant> range_manager::former_grants_of(const ownership_log& log,
                                                                         const owned_range& range,
                                                                         const service_ranges& before,
                                                                         bool first_reconcile) const
{
    std::vector<former_grant> former;
    if (first_reconcile) {
        for (const auto& earlier : range.former_owners)
            former.push_back({earlier.incarnation,
                              range.keys,
                              log.latest_reassignment_time(range, earlier) + max_stale_authority(),
                              0,
                              {},
                              false});
        return former;
    }
    for (const auto& old : before) {
        if (!old.keys.overlaps(range.keys))
            continue;
        if (!same_incarnation(old.owner, range.owner) && old.latest_grant_expiry != time_point{} &&
            !old.owner_terminated)
            former.push_back(
                {old.owner, overlap_of(old.keys, range.keys), old.latest_grant_expiry, 0, {}, false});
        for (const auto& earlier : old.former_grants)
            if (!earlier.ended && !same_incarnation(earlier.incarnation, range.owner) &&
                earlier.keys.overlaps(range.keys))
                former.push_back({earlier.incarnation,
                                  overlap_of(earlier.keys, range.keys),
                                  earlier.expires_by,
                                  0,
                                  {},
                                  false});
    }
    return former;
}

bool range_manager::is_unavailable(time_point now, const std::string& service, std::string_view target) const
{
    const auto found = ranges_.find(service);
    return found != ranges_.end() && std::ranges::any_of(found->second, [&](const managed_range& range) {
               return range.owner.id == target && (range.owner_terminated || is_failing(now, range));
           });
}

double range_manager::average_service_us(const ownership_view& view, const std::string& service) const
{
    double sum = 0;
    double known_targets = 0;
    for (const auto& [id, speed] : speeds_) {
        const auto* entry = view.directory.find(id);
        const auto service_time = speed.service_time();
        if (entry == nullptr || entry->service != service || !service_time)
            continue;
        sum += static_cast<double>(service_time->count());
        ++known_targets;
    }
    return known_targets > 0 ? sum / known_targets : default_service_us;
}

std::vector<balance_target> range_manager::candidates(time_point now, const ownership_view& view,
                                                      const std::string& service) const
{
    const auto average_us = average_service_us(view, service);
    std::vector<balance_target> targets;
    for (const auto& [id, entry] : view.directory.entries()) {
        if (entry.service != service || view.is_leaving(entry))
            continue;
        if (is_unavailable(now, service, id))
            continue;
        const auto speed = speeds_.find(id);
        const auto service_time = speed == speeds_.end() ? std::nullopt : speed->second.service_time();
        const double time_us = service_time ? static_cast<double>(service_time->count()) : average_us;
        double capacity = entry.slots * us_per_s / time_us;
        if (const auto* limit = view.rate_limits == nullptr
                                    ? nullptr
                                    : view.rate_limits->find(incarnation_name(id, entry.start_unix_ms)))
            capacity = std::min(capacity, std::max(*limit->per_s, min_limited_capacity));
        targets.push_back({{entry.id, entry.start_unix_ms, entry.address}, capacity});
    }
    return targets;
}

std::optional<assignment> range_manager::plan_service(time_point now, const ownership_view& view,
                                                      const std::string& service, std::uint64_t fence)
{
    const auto targets = candidates(now, view, service);
    if (targets.empty())
        return std::nullopt;
    const auto* committed = view.log.find(service);
    assignment next = committed == nullptr ? assignment{} : *committed;
    const auto& managed = ranges_[service];
    const auto state_of = [&](const owned_range& range) {
        const auto found = std::ranges::find_if(managed, [&](const managed_range& candidate) {
            return candidate.keys.first == range.keys.first;
        });
        return found == managed.end() ? nullptr : &*found;
    };
    const auto needs_owner = [&](const owned_range& range) {
        const auto* entry = view.directory.find(range.owner.id);
        const auto* state = state_of(range);
        if (state != nullptr &&
            (state->owner_terminated || (is_failing(now, *state) && state->latest_grant_expiry < now)))
            return true;
        if (entry == nullptr)
            return view.directory_complete;
        return view.is_leaving(*entry) || entry->service != service ||
               entry->start_unix_ms != range.owner.start_unix_ms;
    };
    std::vector<balance_move> moves;
    if (next.empty())
        moves = distribute_by_capacity(targets);
    else
        moves = place_unowned_ranges(next, targets, loads_[service].short_term, needs_owner);
    if (moves.empty() && now >= next_balance_at_)
        moves = rebalance(now, service, next, targets);
    bool cleared = false;
    next.clear_former_owners([&](const owned_range& range) {
        const auto* state = state_of(range);
        const bool ended = !range.former_owners.empty() && state != nullptr && state->confirmed_until > now &&
                           std::ranges::all_of(state->former_grants, [&](const former_grant& grant) {
                               return grant.ended || grant.expires_by < now;
                           });
        cleared = cleared || ended;
        return ended;
    });
    for (const auto& candidate : managed)
        if (candidate.fence_conflict)
            moves.push_back({candidate.keys, candidate.owner});
    for (const auto& move : moves)
        next.assign(move.keys, move.to, fence, view.log.log_time(now));
    if (moves.empty() && !cleared)
        return std::nullopt;
    return next;
}

std::vector<balance_move> range_manager::rebalance(time_point now, const std::string& service,
                                                   const assignment& current,
                                                   const std::vector<balance_target>& targets)
{
    rebalance_limits limits;
    auto& next_dominant_move_at = next_dominant_move_times_[service];
    limits.allow_dominant_key_moves = now >= next_dominant_move_at;
    const auto& load = loads_[service];
    auto moves = rebalance_load(current, targets, load.short_term, limits);
    if (moves.empty())
        moves = rebalance_load(current, targets, load.long_term, limits);
    if (std::ranges::any_of(moves, [](const balance_move& move) { return move.keys.size() == 1; }))
        next_dominant_move_at = now + timing_.dominant_key_cooldown;
    return moves;
}

void range_manager::plan(time_point now, const ownership_view& view, std::vector<ownership_action>& actions)
{
    append_order order;
    order.expected_end = view.log.position();
    for (const auto& service : view.keyed_services) {
        const auto fence = order.expected_end + order.records.size();
        if (const auto next = plan_service(now, view, service, fence))
            order.records.push_back({std::string{ownership_log::service_prefix} + service, encode(*next)});
    }
    if (now >= next_balance_at_)
        next_balance_at_ = now + timing_.balance_interval;
    if (order.records.empty() && now - last_append_ >= timing_.heartbeat_interval)
        order.records.push_back(claim_record(now, view.log));
    if (order.records.empty())
        return;
    append_pending_ = true;
    append_sent_ = now;
    actions.push_back(std::move(order));
}

bool range_manager::is_failing(time_point now, const managed_range& range) const
{
    return range.failing_since && now - *range.failing_since >= timing_.failure_timeout;
}

std::vector<range_manager::owner_load> range_manager::owner_loads(time_point now, const ownership_view& view,
                                                                  const std::string& service) const
{
    std::vector<owner_load> result;
    const auto measured = loads_.find(service);
    const auto* owners = view.log.find(service);
    if (measured == loads_.end() || owners == nullptr)
        return result;
    for (const auto& target : candidates(now, view, service)) {
        owner_load owner{target.incarnation.id, 0, target.capacity};
        for (const auto& range : owners->ranges())
            if (range.owner.id == owner.target)
                owner.requests_per_s += measured->second.short_term.rate(range.keys);
        result.push_back(std::move(owner));
    }
    return result;
}

} // namespace teaseltally
