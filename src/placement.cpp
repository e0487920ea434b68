#include <teaseltally/placement.hpp>

#include <algorithm>
#include <string>

namespace teaseltally {
namespace {

/// Mean utilisation of the capacity in use, or of the whole capacity.
double mean_utilisation(std::span<const placement_target> targets, bool whole)
{
    double load = 0.0;
    double capacity = 0.0;
    for (const auto& target : targets) {
        load += target.load;
        capacity += target.capacity * (whole ? 1.0 : target.share);
    }
    return capacity > 0.0 ? load / capacity : 0.0;
}

bool less_utilised(const placement_target& left, const placement_target& right)
{
    return left.utilisation() < right.utilisation();
}

/// Finds the largest item of `from` that leaves `to` below what `from` had.
placement_item* best_item(std::span<placement_item> items, const placement_target& from,
                          const placement_target& to)
{
    placement_item* best = nullptr;
    for (auto& item : items) {
        if (item.owner != from.id || item.load <= 0.0)
            continue;
        const double after = (to.load + item.load) / (to.capacity * to.share);
        const double remaining = (from.load - item.load) / (from.capacity * from.share);
        if (std::max(after, remaining) >= from.utilisation())
            continue;
        const bool fits_better =
            best == nullptr || (best->hot && !item.hot) ||
            (best->hot == item.hot && item.load > best->load && after <= from.utilisation());
        if (fits_better)
            best = &item;
    }
    return best;
}

} // namespace

std::vector<placement_move> place_items(std::span<const placement_item> items,
                                        std::vector<placement_target> targets)
{
    std::vector<placement_move> moves;
    if (targets.empty())
        return moves;
    for (const auto& item : items) {
        const auto rank = [&](const placement_target& target) {
            return rendezvous_rank(std::to_string(item.item), number(target.id));
        };
        const double share = item.load > 0.0 ? item.load : 1.0;
        auto& chosen = *std::ranges::min_element(targets, [&](const auto& left, const auto& right) {
            const double after_left = (left.load + share) / left.capacity;
            const double after_right = (right.load + share) / right.capacity;
            return after_left != after_right ? after_left < after_right : rank(left) > rank(right);
        });
        chosen.load += share;
        moves.push_back({item, chosen.id});
    }
    return moves;
}

std::vector<placement_move> balance_items(std::vector<placement_item> items,
                                          std::vector<placement_target> targets, const balance_limits& limits)
{
    std::vector<placement_move> moves;
    const double mean = mean_utilisation(targets, false);
    if (targets.size() < 2 || mean_utilisation(targets, true) < limits.least_utilisation)
        return moves;
    const auto hottest = [&] { return std::ranges::max_element(targets, less_utilised); };
    if (hottest()->utilisation() <= mean * limits.start_ratio)
        return moves;
    while (moves.size() < limits.budget && hottest()->utilisation() > mean * limits.stop_ratio) {
        auto& from = *hottest();
        auto& to = *std::ranges::min_element(targets, less_utilised);
        placement_item* item = best_item(items, from, to);
        if (item == nullptr)
            break;
        from.load -= item->load;
        to.load += item->load;
        moves.push_back({*item, to.id});
        item->owner = no_target;
    }
    return moves;
}

} // namespace teaseltally
