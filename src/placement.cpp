#include <teaseltally/placement.hpp>

#include <algorithm>
#include <string>

namespace teaseltally {
namespace {

/// Returns the mean utilisation of the usable capacity, or of the full capacity if `full_capacity` is set.
double mean_utilisation(std::span<const placement_target> targets, bool full_capacity)
{
    double load = 0.0;
    double capacity = 0.0;
    for (const auto& target : targets) {
        load += target.load;
        capacity += target.capacity * (full_capacity ? 1.0 : target.usable_share);
    }
    return capacity > 0.0 ? load / capacity : 0.0;
}

bool less_utilised(const placement_target& left, const placement_target& right)
{
    return left.utilisation() < right.utilisation();
}

/// Finds the item of `from` with the highest load whose move to `to` leaves both targets below the current
/// utilisation of `from`. Any slot is preferred to a hot key.
/// @returns the item, or null if there is none.
placement_item* best_item(std::span<placement_item> items, const placement_target& from,
                          const placement_target& to)
{
    placement_item* best = nullptr;
    for (auto& item : items) {
        if (item.owner != from.id || item.load <= 0.0)
            continue;
        const double to_utilisation = (to.load + item.load) / (to.capacity * to.usable_share);
        const double from_utilisation = (from.load - item.load) / (from.capacity * from.usable_share);
        if (std::max(to_utilisation, from_utilisation) >= from.utilisation())
            continue;
        const bool fits_better =
            best == nullptr || (best->hot && !item.hot) ||
            (best->hot == item.hot && item.load > best->load && to_utilisation <= from.utilisation());
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
            return rendezvous_rank(std::to_string(item.slot_or_key), number(target.id));
        };
        const double added_load = item.load > 0.0 ? item.load : 1.0;
        auto& chosen = *std::ranges::min_element(targets, [&](const auto& left, const auto& right) {
            const double after_left = (left.load + added_load) / left.capacity;
            const double after_right = (right.load + added_load) / right.capacity;
            return after_left != after_right ? after_left < after_right : rank(left) > rank(right);
        });
        chosen.load += added_load;
        moves.push_back({item, chosen.id});
    }
    return moves;
}

std::vector<placement_move> balance_items(std::vector<placement_item> items,
                                          std::vector<placement_target> targets, const balance_limits& limits)
{
    std::vector<placement_move> moves;
    const double mean = mean_utilisation(targets, false);
    if (targets.size() < 2 || mean_utilisation(targets, true) < limits.min_utilisation)
        return moves;
    const auto most_utilised = [&] { return std::ranges::max_element(targets, less_utilised); };
    if (most_utilised()->utilisation() <= mean * limits.start_ratio)
        return moves;
    while (moves.size() < limits.max_moves && most_utilised()->utilisation() > mean * limits.stop_ratio) {
        auto& from = *most_utilised();
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
