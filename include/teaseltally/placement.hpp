#pragma once

#include <teaseltally/types.hpp>

#include <span>
#include <vector>

/// @file
/// Placement of slots and hot keys on targets.

namespace teaseltally {

/// A target that slots may be placed on.
struct placement_target {
    target_id id{};
    /// Work that the target can carry, in the unit of the loads.
    double capacity = 1.0;
    double load = 0.0;
    /// Share of the capacity that is used while the target starts slowly.
    double usable_share = 1.0;

    [[nodiscard]] double utilisation() const noexcept { return load / (capacity * usable_share); }
};

/// A slot or hot key that may be moved.
struct placement_item {
    /// Slot number, or key hash if `hot`.
    std::uint64_t slot_or_key = 0;
    bool hot = false;
    target_id owner = no_target;
    epoch owner_epoch{};
    double load = 0.0;
};

/// A proposed move.
struct placement_move {
    placement_item item;
    target_id to = no_target;
};

/// When and how far load is levelled.
struct balance_limits {
    /// Ratio of the highest utilisation to the mean above which moves begin.
    double start_ratio = 1.25;
    /// Ratio at which they end.
    double stop_ratio = 1.10;
    /// Mean utilisation of the whole capacity below which nothing is moved.
    double min_utilisation = 0.05;
    std::size_t max_moves = 16;
};

/// Places items that have no usable owner, each on the least utilised target.
/// @param items what to place.
/// @param targets where to; their loads are counted on.
/// @returns one move for each item; none if there are no targets.
[[nodiscard]] std::vector<placement_move> place_items(std::span<const placement_item> items,
                                                      std::vector<placement_target> targets);

/// Levels load with few moves: each takes the largest item of the most utilised target that the least
/// utilised one can take without becoming the most utilised itself.
/// @param items slots and hot keys with their observed load.
/// @param targets targets with their observed load.
/// @param limits bounds and budget.
/// @returns the moves; none while the highest utilisation is within the bound.
[[nodiscard]] std::vector<placement_move> balance_items(std::vector<placement_item> items,
                                                        std::vector<placement_target> targets,
                                                        const balance_limits& limits);

} // namespace teaseltally
