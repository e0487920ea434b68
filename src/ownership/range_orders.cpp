#include <teaseltally/ownership/range_manager.hpp>

#include <algorithm>
#include <utility>

namespace teaseltally {
namespace {

/// Returns by how much a grant is renewed before the end of the interval, up to a fifth of it. Grants that
/// were sent together would otherwise be renewed together from then on.
milliseconds renewal_spread(std::uint64_t order, milliseconds interval)
{
    constexpr std::uint64_t golden_ratio = 0x9e3779b97f4a7c15;
    constexpr unsigned high_bits = 54;
    constexpr int steps = 1 << (64 - high_bits);
    return interval * static_cast<int>((order * golden_ratio) >> high_bits) / (5 * steps);
}

} // namespace

bool range_manager::has_pending_grant(std::string_view target, key_range keys) const
{
    return std::ranges::any_of(pending_grants_, [&](const auto& pending) {
        return pending.second.target == target && pending.second.keys.overlaps(keys);
    });
}

range_manager::order_count_table range_manager::count_pending_orders() const
{
    order_count_table counts;
    for (const auto& [id, grant] : pending_grants_)
        ++counts[grant.target].grants;
    for (const auto& [id, target] : pending_releases_)
        ++counts[target].releases;
    return counts;
}

std::size_t range_manager::order_limit(const std::string& target, std::size_t limit,
                                       bool to_unresponsive) const
{
    if (!unresponsive_targets_.contains(target))
        return limit;
    return to_unresponsive ? 1 : 0;
}

void range_manager::release_former(time_point now, managed_range& range, bool to_unresponsive,
                                   order_count_table& pending, std::vector<ownership_action>& actions)
{
    for (auto& grant : range.former_grants) {
        if (grant.ended || grant.expires_by < now || grant.pending_order != 0 ||
            now < grant.next_release_at || has_pending_grant(grant.incarnation.id, grant.keys))
            continue;
        const auto& target = grant.incarnation.id;
        auto& releases = pending[target].releases;
        if (releases >= order_limit(target, max_releases_per_target, to_unresponsive)) {
            waiting_targets_.insert(target);
            ++waiting_orders_;
            continue;
        }
        ++releases;
        grant.pending_order = next_order_id_++;
        pending_releases_.emplace(grant.pending_order, target);
        actions.push_back(release_order{grant.pending_order, grant.incarnation, grant.keys, range.fence});
    }
}

bool range_manager::is_grant_due(time_point now, const std::string& service, const managed_range& range) const
{
    // A process that has refused a fencing token refuses it for good; only another one would take it.
    if (range.owner_terminated || range.fence_conflict || range.pending_order != 0 ||
        now < range.next_grant_at || (range.suspended_at && guards_.renewals_suspended))
        return false;
    const bool former_grants_ended = std::ranges::all_of(range.former_grants, [&](const former_grant& grant) {
        return grant.ended || grant.expires_by < now;
    });
    // A grant that is known to be in force is renewed also while a target that registered late is swept.
    return former_grants_ended &&
           (range.confirmed_until >= now || sweep_.is_free(now, service, range.owner, range.keys));
}

void range_manager::send_grant(time_point now, managed_range& range, std::vector<ownership_action>& actions)
{
    range.pending_order = next_order_id_++;
    range.last_grant_sent_at = now;
    range.previous_grant_expiry = range.latest_grant_expiry;
    range.latest_grant_expiry =
        std::max(range.latest_grant_expiry, now + timing_.order_timeout + max_grant_lifetime());
    pending_grants_.emplace(range.pending_order, pending_grant{range.owner.id, range.keys, term_fence_});
    actions.push_back(grant_order{range.pending_order, range.owner, range.keys, range.fence,
                                  timing_.grant_duration, range.handover});
}

void range_manager::send_orders(time_point now, bool to_unresponsive, std::vector<ownership_action>& actions)
{
    order_freed_ = false;
    waiting_targets_.clear();
    waiting_orders_ = 0;
    const auto max_grants =
        now < uncontested_until_ ? max_grants_per_target : max_contested_grants_per_target;
    auto pending = count_pending_orders();
    std::vector<managed_range*> due;
    for (auto& [service, ranges] : ranges_)
        for (auto& range : ranges) {
            release_former(now, range, to_unresponsive, pending, actions);
            if (is_grant_due(now, service, range))
                due.push_back(&range);
        }
    // Keys without a holder first, then in the order in which the grants lapse.
    std::ranges::stable_sort(due, {}, [now](const managed_range* range) {
        return std::pair{std::max(range->confirmed_until, now), range->next_grant_at};
    });
    for (auto* range : due) {
        const auto& target = range->owner.id;
        auto& grants = pending[target].grants;
        if (grants >= order_limit(target, max_grants, to_unresponsive)) {
            waiting_targets_.insert(target);
            ++waiting_orders_;
            continue;
        }
        ++grants;
        send_grant(now, *range, actions);
    }
}

bool range_manager::may_send_grant(time_point now, std::uint64_t id, time_point accepted_by) const
{
    const auto pending = pending_grants_.find(id);
    if (!is_coordinator_ || now >= authority_until_ || pending == pending_grants_.end() ||
        pending->second.term_fence != term_fence_)
        return false;
    return accepted_by < uncontested_until_ || !guards_.contested_grants_bound;
}

void range_manager::resume_withheld(time_point now)
{
    for (auto& [service, ranges] : ranges_)
        for (auto& range : ranges)
            if (std::exchange(range.withheld, false))
                range.next_grant_at = now;
}

std::vector<ownership_action> range_manager::follow_up_orders(time_point now)
{
    std::vector<ownership_action> actions;
    // A target that does not answer gets one order for each tick.
    if (order_freed_ && is_coordinator_ && now < authority_until_)
        send_orders(now, false, actions);
    return actions;
}

void range_manager::note_answer(const std::string& target, order_status status, bool is_release)
{
    order_freed_ = order_freed_ || waiting_targets_.contains(target);
    if (status == order_status::withheld)
        return;
    if (status == order_status::done || status == order_status::conflict ||
        status == order_status::terminated)
        unresponsive_targets_.erase(target);
    // A release has no answer in time if the work in progress takes longer.
    else if (!is_release || status != order_status::unknown)
        unresponsive_targets_.insert(target);
}

void range_manager::on_order_completed(time_point now, std::uint64_t id, order_status status,
                                       std::string handover)
{
    if (const auto grant = pending_grants_.extract(id))
        note_answer(grant.mapped().target, status, false);
    if (const auto release = pending_releases_.extract(id))
        note_answer(release.mapped(), status, true);
    sweep_.on_order_completed(id, status, now + timing_.release_retry_delay);
    for (auto& [service, ranges] : ranges_) {
        for (auto& range : ranges) {
            complete_release(now, range, id, status, handover);
            if (range.pending_order == id)
                complete_grant(now, range, status);
        }
    }
}

void range_manager::complete_release(time_point now, managed_range& range, std::uint64_t id,
                                     order_status status, const std::string& handover) const
{
    for (auto& grant : range.former_grants) {
        if (grant.pending_order != id)
            continue;
        grant.pending_order = 0;
        grant.next_release_at = now + timing_.release_retry_delay;
        grant.refuses = status == order_status::refused;
        if (status != order_status::done && status != order_status::terminated)
            continue;
        grant.ended = true;
        range.handover = range.former_grants.size() == 1 ? handover : "";
    }
}

void range_manager::complete_grant(time_point now, managed_range& range, order_status status) const
{
    const auto spread = renewal_spread(range.pending_order, timing_.renewal_interval);
    range.pending_order = 0;
    range.withheld = status == order_status::withheld;
    if (range.withheld) {
        range.latest_grant_expiry = range.previous_grant_expiry;
        range.next_grant_at = now + timing_.withheld_retry_delay;
        return;
    }
    // A target that refuses a fencing token responds.
    if (status == order_status::done || status == order_status::conflict)
        range.failing_since.reset();
    else if (!range.failing_since)
        range.failing_since = now;
    range.next_grant_at =
        now + (status == order_status::done ? timing_.renewal_interval - spread : timing_.order_retry_delay);
    switch (status) {
    case order_status::done:
        range.confirmed_until = range.last_grant_sent_at + timing_.grant_duration;
        range.latest_grant_expiry = now + max_grant_lifetime();
        range.handover.clear();
        range.follows_conflict = false;
        break;
    case order_status::not_sent:
    case order_status::refused:
    case order_status::withheld:
        range.latest_grant_expiry = range.previous_grant_expiry;
        break;
    case order_status::terminated:
        range.owner_terminated = true;
        break;
    case order_status::conflict:
        range.fence_conflict = true;
        range.latest_grant_expiry = range.previous_grant_expiry;
        break;
    case order_status::unknown:
        range.latest_grant_expiry = std::max(range.latest_grant_expiry, now + max_grant_lifetime());
        break;
    }
}

} // namespace teaseltally
