#include <teaseltally/ownership/range_manager.hpp>

#include <algorithm>

namespace teaseltally {
namespace {

/// Capacity of a target whose rate limit is lower, in requests per second; capacities must not be zero.
constexpr double min_limited_capacity = 0.1;

/// Number of ranges of a service for each move of a rebalancing round. The load of a target may lie in many
/// ranges, each of which takes a move of its own.
constexpr std::size_t ranges_per_move = 20;
/// Number of ranges for each range that must be saved by a record that only coalesces.
constexpr std::size_t max_ranges_per_saved_range = 16;
/// Share of a target's room that is filled with a load that is still rising.
constexpr double surge_fill_share = 0.5;

/// Service time assumed while that of no target is known.
constexpr double default_service_us = 200'000;
constexpr double us_per_s = 1e6;

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
    found->second.surge.add(key, requests);
    found->second.short_term.add(key, requests);
    found->second.long_term.add(key, requests);
}

void range_manager::record_coordinator_report(std::uint64_t session, coordinator_report report)
{
    if (report == coordinator_report::coordinates || session != reported_session_) {
        not_coordinator_reports_ = 0;
        reported_ended_ = false;
    }
    reported_session_ = session;
    reported_ended_ = reported_ended_ || report == coordinator_report::ended;
    if (report != coordinator_report::coordinates)
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
        load.surge.decay(now - last_tick_);
        load.short_term.decay(now - last_tick_);
        load.long_term.decay(now - last_tick_);
    }
    last_tick_ = now;
    for (auto& [id, speed] : speeds_)
        if (const auto* entry = view.directory.find(id))
            speed.tick(now, entry->slots);
    if (reread_after_ && view.last_read_sent_at > *reread_after_)
        reread_after_.reset();
    note_era(now, view);
    note_targets(now, view);
    note_claim(view.log);
    if (!is_coordinator_) {
        watch_coordinator(now, view, actions);
        return actions;
    }
    const bool succeeded = view.log.claim() && view.log.claim()->session != self_.session;
    if (!append_pending_ && (succeeded || (view.log.begins_era() && !continuous_))) {
        step_down();
        return actions;
    }
    if (!append_pending_ && !targets_reachable_) {
        resign(now, view, actions);
        return actions;
    }
    if (!append_pending_)
        reconcile(now, view);
    resume_confirmed(now, view);
    if (!append_pending_ && !reread_after_)
        plan(now, view, actions);
    if (now < authority_until_) {
        sweep_holders(now, view, actions);
        send_orders(now, true, actions);
    }
    return actions;
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
        added.fence = std::max(range.fence, term_fence_);
        added.follows_conflict = std::ranges::any_of(before, [&](const managed_range& old) {
            return old.fence_conflict && old.keys.overlaps(range.keys) && old.owner == range.owner;
        });
        added.former_grants = former_grants_of(log, range, before, first_reconcile);
        added.latest_grant_expiry =
            first_reconcile ? earlier_grants_expire_at_ : latest_grant_expiry_of(before, range);
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
                              std::min(log.latest_reassignment_time(range, earlier) +
                                           earlier.grants_left.value_or(max_stale_authority()),
                                       earlier_grants_expire_at_),
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

time_point range_manager::latest_grant_expiry_of(const service_ranges& before, const owned_range& range)
{
    time_point latest{};
    for (const auto& old : before) {
        if (!old.keys.overlaps(range.keys))
            continue;
        if (same_incarnation(old.owner, range.owner))
            latest = std::max(latest, old.latest_grant_expiry);
        for (const auto& earlier : old.former_grants)
            if (!earlier.ended && same_incarnation(earlier.incarnation, range.owner))
                latest = std::max(latest, earlier.expires_by);
    }
    return latest;
}

void range_manager::resume_confirmed(time_point now, const ownership_view& view)
{
    if (view.unconfirmed == nullptr)
        return;
    for (auto& [service, ranges] : ranges_)
        for (auto& range : ranges) {
            const auto* entry = range.owner_terminated ? view.directory.find(range.owner.id) : nullptr;
            if (entry == nullptr || entry->start_unix_ms != range.owner.start_unix_ms ||
                view.unconfirmed->contains(incarnation_name(entry->id, entry->start_unix_ms)))
                continue;
            range.owner_terminated = false;
            range.failing_since.reset();
            range.next_grant_at = now;
        }
}

std::set<std::string_view> range_manager::unavailable_targets(time_point now, const std::string& service,
                                                              bool ignore_suspended) const
{
    std::set<std::string_view> unavailable;
    if (const auto found = ranges_.find(service); found != ranges_.end())
        for (const auto& range : found->second)
            if (range.owner_terminated ||
                (is_failing(now, range) && !(ignore_suspended && range.suspended_at)))
                unavailable.insert(range.owner.id);
    return unavailable;
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
                                                      const std::string& service, bool ignore_suspended) const
{
    const auto average_us = average_service_us(view, service);
    const auto unavailable = unavailable_targets(now, service, ignore_suspended);
    std::vector<balance_target> targets;
    for (const auto& [id, entry] : view.directory.entries()) {
        if (entry.service != service || view.must_not_own(entry) || unavailable.contains(id))
            continue;
        const auto speed = speeds_.find(id);
        const auto service_time = speed == speeds_.end() ? std::nullopt : speed->second.service_time();
        const double time_us = service_time ? static_cast<double>(service_time->count()) : average_us;
        double capacity = entry.slots * us_per_s / time_us;
        const auto incarnation = incarnation_name(id, entry.start_unix_ms);
        for (const auto& name : {incarnation, cold_permit_name(incarnation)})
            if (const auto* limit = view.rate_limits == nullptr ? nullptr : view.rate_limits->find(name))
                capacity = std::min(capacity, std::max(*limit->per_s, min_limited_capacity));
        targets.push_back({{entry.id, entry.start_unix_ms, entry.address}, capacity});
    }
    return targets;
}

bool range_manager::awaits_registrations(time_point now, const std::string& service, std::size_t targets)
{
    auto& progress = registrations_[service];
    if (progress.targets == 0)
        progress.first_at = now;
    if (targets != progress.targets) {
        progress.targets = targets;
        progress.changed_at = now;
    }
    // Requests that already wait for an owner are worth more than an even distribution.
    return !loads_.contains(service) && now - progress.changed_at < timing_.registration_settling &&
           now - progress.first_at < timing_.max_registration_wait;
}

std::optional<assignment> range_manager::plan_service(time_point now, const ownership_view& view,
                                                      const std::string& service, std::uint64_t fence)
{
    auto targets = candidates(now, view, service, false);
    // Nothing else would show that a target is reached again whose grants are not renewed.
    if (targets.empty())
        targets = candidates(now, view, service, true);
    if (targets.empty())
        return std::nullopt;
    const auto* committed = view.log.find(service);
    assignment next = committed == nullptr ? assignment{} : *committed;
    if (next.empty() && awaits_registrations(now, service, targets.size()))
        return std::nullopt;
    auto& managed = ranges_[service];
    const auto state_of = [&](const owned_range& range) {
        const auto found =
            std::ranges::lower_bound(managed, range.keys.first, {},
                                     [](const managed_range& candidate) { return candidate.keys.first; });
        return found == managed.end() || found->keys.first != range.keys.first ? nullptr : &*found;
    };
    const auto needs_owner = [&](const owned_range& range) {
        const auto* entry = view.directory.find(range.owner.id);
        const auto* state = state_of(range);
        if (state != nullptr &&
            (state->owner_terminated || state->suspended_at ||
             (state->latest_grant_expiry < now && is_owner_failing(now, managed, *state))))
            return true;
        if (entry == nullptr)
            return view.directory_complete;
        return view.must_not_own(*entry) || entry->service != service ||
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
    const auto moved_at = log_time(now, view.log);
    for (const auto& move : moves)
        next.assign(move.keys, move.to, fence, moved_at);
    const bool is_written = !moves.empty() || cleared;
    const bool coalesces =
        is_written || (now >= next_coalescing_at_ && next.ranges().size() > timing_.max_ranges);
    // While a sweep lasts, a new range is granted only when no other target can hold its keys.
    if (coalesces && !sweep_.is_active()) {
        const auto saved = next.coalesce(fence, [&](const owned_range& range) {
            const auto* state = state_of(range);
            return state != nullptr && state->recorded_fence == range.fence &&
                   state->keys.last >= range.keys.last && same_incarnation(state->owner, range.owner) &&
                   is_settled(now, *state) && !needs_owner(range);
        });
        // Few ranges are not worth a record.
        if (!is_written && saved * max_ranges_per_saved_range < next.ranges().size())
            return std::nullopt;
        coalesced_ranges_ += saved;
    }
    else if (!is_written)
        return std::nullopt;
    suspend_renewals(now, view, managed, moves);
    next.set_grants_left(fence, moved_at, [&](key_range keys, const target_incarnation& former) {
        return grants_left(now, managed, keys, former);
    });
    return next;
}

bool range_manager::is_settled(time_point now, const managed_range& range)
{
    return range.confirmed_until > now && range.handover.empty() && !range.failing_since &&
           !range.owner_terminated && !range.fence_conflict && !range.suspended_at &&
           std::ranges::all_of(range.former_grants, [&](const former_grant& grant) {
               return grant.ended || grant.expires_by < now;
           });
}

bool range_manager::is_lost(time_point now, const ownership_view& view, const service_ranges& ranges,
                            const managed_range& range) const
{
    if (range.owner_terminated || is_owner_failing(now, ranges, range))
        return true;
    const auto* entry = view.directory.find(range.owner.id);
    return entry == nullptr ? view.directory_complete : entry->start_unix_ms != range.owner.start_unix_ms;
}

void range_manager::suspend_renewals(time_point now, const ownership_view& view, service_ranges& ranges,
                                     const std::vector<balance_move>& moves) const
{
    for (auto& range : ranges)
        if (std::ranges::any_of(moves,
                                [&](const balance_move& move) {
                                    return move.keys.overlaps(range.keys) &&
                                           !same_incarnation(move.to, range.owner);
                                }) &&
            is_lost(now, view, ranges, range))
            // An earlier append with the grants' end may still be carried out.
            range.suspended_at = range.suspended_at.value_or(now);
}

std::optional<milliseconds> range_manager::grants_left(time_point now, const service_ranges& ranges,
                                                       key_range keys, const target_incarnation& target)
{
    auto expires_by = now;
    for (const auto& range : ranges) {
        if (!range.keys.overlaps(keys))
            continue;
        if (same_incarnation(range.owner, target)) {
            if (!range.suspended_at)
                return std::nullopt;
            if (!range.owner_terminated)
                expires_by = std::max(expires_by, range.latest_grant_expiry);
        }
        for (const auto& grant : range.former_grants)
            if (!grant.ended && same_incarnation(grant.incarnation, target))
                expires_by = std::max(expires_by, grant.expires_by);
    }
    return std::chrono::ceil<milliseconds>(expires_by - now);
}

std::vector<balance_move> range_manager::rebalance(time_point now, const std::string& service,
                                                   const assignment& current,
                                                   const std::vector<balance_target>& targets)
{
    rebalance_limits limits;
    auto& next_dominant_move_at = next_dominant_move_times_[service];
    limits.allow_dominant_key_moves = now >= next_dominant_move_at;
    const auto& load = loads_[service];
    limits.max_moves = std::max(limits.max_moves, current.ranges().size() / ranges_per_move);
    auto surge_limits = limits;
    surge_limits.fill_share = surge_fill_share;
    auto moves = rebalance_load(current, targets, load.surge, surge_limits);
    for (const auto* window : {&load.short_term, &load.long_term})
        if (moves.empty())
            moves = rebalance_load(current, targets, *window, limits);
    if (std::ranges::any_of(moves, [](const balance_move& move) { return move.keys.size() == 1; }))
        next_dominant_move_at = now + timing_.dominant_key_cooldown;
    return moves;
}

void range_manager::plan(time_point now, const ownership_view& view, std::vector<ownership_action>& actions)
{
    append_order order;
    order.expected_end = view.log.position();
    if (view.log.begins_era())
        plan_rewriting(now, view.log, order);
    else if (hands_over_)
        plan_handover(now, view, order);
    else
        plan_assignments(now, view, order);
    if (order.records.empty())
        return;
    append_pending_ = true;
    append_sent_ = now;
    actions.push_back(std::move(order));
}

void range_manager::plan_assignments(time_point now, const ownership_view& view, append_order& order)
{
    auto claim = make_claim(now, view.log);
    const bool settles = view.log.claim()->unsettled && !claim.unsettled;
    const bool raises_fences = fences_are_too_low();
    if (raises_fences)
        --*claim.fence_origin;
    if (raises_fences || settles)
        add_claim(now, claim, order);
    for (const auto& service : view.keyed_services) {
        const auto position = order.expected_end.after(order.records.size());
        const auto fence = fence_at(position, *claim.fence_origin);
        const auto next = plan_service(now, view, service, fence);
        const auto* current = view.log.is_shadowed(service) ? view.log.find(service) : nullptr;
        if (next || current != nullptr)
            order.records.push_back({std::string{ownership_log::service_prefix} + service,
                                     encode(next ? *next : *current, order.expected_end.era)});
    }
    if (now >= next_balance_at_)
        next_balance_at_ = now + timing_.balance_interval;
    if (now >= next_coalescing_at_)
        next_coalescing_at_ = now + timing_.coalescing_interval;
    if (order.records.empty() && now - last_append_ >= timing_.heartbeat_interval)
        add_claim(now, claim, order);
}

bool range_manager::fences_are_too_low() const
{
    // A token given because of a refusal is above all that this log shows. One above those of records that
    // were lost is needed.
    return std::ranges::any_of(ranges_, [](const auto& service) {
        return std::ranges::any_of(service.second, [](const managed_range& range) {
            return range.fence_conflict && range.follows_conflict;
        });
    });
}

bool range_manager::is_failing(time_point now, const managed_range& range) const
{
    return range.failing_since && now - *range.failing_since >= timing_.failure_timeout;
}

bool range_manager::is_owner_failing(time_point now, const service_ranges& ranges,
                                     const managed_range& range) const
{
    return std::ranges::any_of(ranges, [&](const managed_range& other) {
        return is_failing(now, other) && same_incarnation(other.owner, range.owner);
    });
}

std::vector<range_manager::owner_load> range_manager::owner_loads(time_point now, const ownership_view& view,
                                                                  const std::string& service) const
{
    std::vector<owner_load> result;
    const auto measured = loads_.find(service);
    const auto* owners = view.log.find(service);
    if (measured == loads_.end() || owners == nullptr)
        return result;
    for (const auto& target : candidates(now, view, service, false)) {
        owner_load owner{target.incarnation.id, 0, target.capacity};
        for (const auto& range : owners->ranges())
            if (range.owner.id == owner.target)
                owner.requests_per_s += measured->second.short_term.rate(range.keys);
        result.push_back(std::move(owner));
    }
    return result;
}

} // namespace teaseltally
