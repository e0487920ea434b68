#include <teaseltally/ownership/holder_sweep.hpp>

#include <algorithm>

namespace teaseltally {
namespace {

bool same_incarnation(const target_incarnation& left, const target_incarnation& right)
{
    return left.id == right.id && left.start_unix_ms == right.start_unix_ms;
}

/// Returns ranges without the keys of another range.
std::vector<key_range> without(const std::vector<key_range>& ranges, key_range removed)
{
    std::vector<key_range> rest;
    for (const auto& range : ranges) {
        if (!range.overlaps(removed)) {
            rest.push_back(range);
            continue;
        }
        if (range.first < removed.first)
            rest.push_back({range.first, static_cast<key_number>(removed.first - 1)});
        if (range.last > removed.last)
            rest.push_back({static_cast<key_number>(removed.last + 1), range.last});
    }
    return rest;
}

std::vector<key_range> without_owned(std::vector<key_range> keys, const target_incarnation& target,
                                     const assignment* owners)
{
    if (owners != nullptr)
        for (const auto& range : owners->ranges())
            if (same_incarnation(range.owner, target))
                keys = without(keys, range.keys);
    return keys;
}

} // namespace

void holder_sweep::begin(time_point expires_by, std::uint64_t fence)
{
    targets_.clear();
    order_count_ = 0;
    active_ = true;
    directory_current_ = false;
    expires_by_ = expires_by;
    fence_ = fence;
}

void holder_sweep::add_target(const std::string& service, const target_incarnation& target,
                              const assignment* owners)
{
    auto& targets = targets_[service];
    if (std::ranges::any_of(
            targets, [&](const swept_target& known) { return same_incarnation(known.incarnation, target); }))
        return;
    targets.push_back({target, without_owned({{0, last_key}}, target, owners), {}, {}, false});
}

std::vector<release_order> holder_sweep::due_orders(time_point now, const std::string& service,
                                                    const assignment* owners, std::uint64_t& next_order_id)
{
    std::vector<release_order> orders;
    const auto found = targets_.find(service);
    if (found == targets_.end())
        return orders;
    for (auto& target : found->second) {
        if (now < target.next_release_at || now > expires_by_)
            continue;
        // Keys that were assigned to the target since are granted to it; a release would end that.
        auto runs = without_owned(target.open, target.incarnation, owners);
        for (const auto& pending : target.pending)
            runs = without(runs, pending.keys);
        for (const auto& run : runs) {
            if (target.pending.size() >= max_swept_releases_per_target)
                break;
            ++order_count_;
            target.pending.push_back({next_order_id, run});
            orders.push_back({next_order_id++, target.incarnation, run, fence_});
        }
    }
    return orders;
}

void holder_sweep::on_order_completed(std::uint64_t id, order_status status, time_point retry_at)
{
    for (auto& [service, targets] : targets_) {
        for (auto& target : targets) {
            const auto found = std::ranges::find(target.pending, id, &pending_release::id);
            if (found == target.pending.end())
                continue;
            const auto keys = found->keys;
            target.pending.erase(found);
            target.refuses = status == order_status::refused;
            if (status == order_status::terminated)
                target.open.clear();
            else if (status == order_status::done)
                target.open = without(target.open, keys);
            else
                target.next_release_at = retry_at;
            return;
        }
    }
}

bool holder_sweep::is_free(time_point now, const std::string& service, const target_incarnation& owner,
                           key_range keys) const
{
    if (!active_ || now > expires_by_)
        return true;
    if (!directory_current_)
        return false;
    const auto found = targets_.find(service);
    if (found == targets_.end())
        return true;
    return std::ranges::all_of(found->second, [&](const swept_target& target) {
        // A release that is on its way to the owner would end a grant that overtakes it.
        if (same_incarnation(target.incarnation, owner))
            return std::ranges::none_of(
                target.pending, [&](const pending_release& pending) { return pending.keys.overlaps(keys); });
        return std::ranges::none_of(target.open, [&](key_range open) { return open.overlaps(keys); });
    });
}

bool holder_sweep::is_complete(time_point now) const
{
    return now > expires_by_;
}

std::size_t holder_sweep::remaining_targets() const
{
    std::size_t remaining = 0;
    for (const auto& [service, targets] : targets_)
        remaining += static_cast<std::size_t>(
            std::ranges::count_if(targets, [](const swept_target& target) { return !target.open.empty(); }));
    return remaining;
}

} // namespace teaseltally
