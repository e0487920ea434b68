#include <teaseltally/ownership/range_manager.hpp>

#include <algorithm>

namespace teaseltally {

bool range_manager::grant_in_flight(std::string_view target, key_range keys) const
{
    return std::ranges::any_of(open_grants_, [&](const auto& open) {
        return open.second.target == target && open.second.keys.overlaps(keys);
    });
}

void range_manager::release_former(time_point now, managed_range& range, std::vector<ownership_action>& out)
{
    for (auto& hold : range.former) {
        if (hold.ended || hold.until < now || hold.open_order != 0 || now < hold.next_try ||
            grant_in_flight(hold.life.id, hold.keys))
            continue;
        hold.open_order = next_order_++;
        out.push_back(release_order{hold.open_order, hold.life, hold.keys, range.fence});
    }
}

void range_manager::send_orders(time_point now, std::vector<ownership_action>& out)
{
    for (auto& [service, ranges] : ranges_) {
        for (auto& range : ranges) {
            release_former(now, range, out);
            const bool free = std::ranges::all_of(
                range.former, [&](const former_hold& hold) { return hold.ended || hold.until < now; });
            if (!free || range.owner_gone || range.open_order != 0 || now < range.next_grant)
                continue;
            range.open_order = next_order_++;
            range.open_since = now;
            range.hold_before = range.hold_until;
            range.hold_until = std::max(range.hold_until, now + timing_.order_timeout + longest_hold());
            open_grants_.emplace(range.open_order, open_grant{range.owner.id, range.keys});
            out.push_back(grant_order{range.open_order, range.owner, range.keys, range.fence, timing_.hold,
                                      range.handover});
        }
    }
}

void range_manager::ordered(time_point now, std::uint64_t id, order_end end, std::string handover)
{
    open_grants_.erase(id);
    for (auto& [service, ranges] : ranges_) {
        for (auto& range : ranges) {
            ordered_former(now, range, id, end, handover);
            if (range.open_order == id)
                ordered_grant(now, range, end);
        }
    }
}

void range_manager::ordered_former(time_point now, managed_range& range, std::uint64_t id, order_end end,
                                   const std::string& handover) const
{
    for (auto& hold : range.former) {
        if (hold.open_order != id)
            continue;
        hold.open_order = 0;
        hold.next_try = now + timing_.release_retry;
        if (end != order_end::done && end != order_end::gone)
            continue;
        hold.ended = true;
        range.handover = range.former.size() == 1 ? handover : "";
    }
}

void range_manager::ordered_grant(time_point now, managed_range& range, order_end end) const
{
    range.open_order = 0;
    if (end == order_end::done)
        range.failing_since.reset();
    else if (!range.failing_since)
        range.failing_since = now;
    range.next_grant = now + (end == order_end::done ? timing_.renew_every : timing_.order_retry);
    switch (end) {
    case order_end::done:
        range.held_until = range.open_since + timing_.hold;
        range.hold_until = now + longest_hold();
        range.handover.clear();
        break;
    case order_end::not_sent:
        range.hold_until = range.hold_before;
        break;
    case order_end::gone:
        range.owner_gone = true;
        break;
    case order_end::conflict:
        range.outfenced = true;
        range.hold_until = range.hold_before;
        break;
    case order_end::unknown:
        range.hold_until = std::max(range.hold_until, now + longest_hold());
        break;
    }
}

} // namespace teaseltally
