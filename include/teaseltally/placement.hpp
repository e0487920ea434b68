#pragma once

#include <teaseltally/types.hpp>

#include <span>
#include <vector>

/// @file
/// Placement of slots and hot keys on targets and balancing of their load.

namespace teaseltally {

/// A target that accepts slots.
struct placement_target {
    /// Index of the target.
    target_id id{};
    /// Load that the target can carry, in the unit of the loads.
    double capacity = 1.0;
    /// Load that the target carries.
    double load = 0.0;
    /// Share of the capacity that may be used, in (0, 1]. It is below 1 during the slow start of a target.
    double usable_share = 1.0;

    /// Returns the load relative to the usable capacity; above 1 if the target is overloaded.
    [[nodiscard]] double utilisation() const noexcept { return load / (capacity * usable_share); }
};

/// A slot or hot key that may be placed or moved.
struct placement_item {
    /// Slot number, or key hash if `hot`.
    std::uint64_t slot_or_key = 0;
    /// Whether this is a hot key.
    bool hot = false;
    /// Current owner, or `no_target`.
    target_id owner = no_target;
    /// Epoch at which the owner received the slot or hot key; a move is rejected if that epoch has changed.
    epoch owner_epoch{};
    /// Observed load, in the unit of the target's capacity.
    double load = 0.0;
};

/// A proposed move of a slot or hot key to a target.
struct placement_move {
    /// Slot or hot key to move.
    placement_item item;
    /// New owner.
    target_id to = no_target;
};

/// Bounds of load balancing.
struct balance_limits {
    /// Ratio of the highest to the mean utilisation above which moves start.
    double start_ratio = 1.25;
    /// Ratio of the highest to the mean utilisation at which moves stop.
    double stop_ratio = 1.10;
    /// Total load divided by the total capacity (regardless of `placement_target::usable_share`) below which
    /// nothing is moved.
    double min_utilisation = 0.05;
    /// Maximum number of moves that one call of `balance_items` returns.
    std::size_t max_moves = 16;
};

/// Places slots and hot keys that need an owner, each on the target whose load relative to its full capacity
/// is lowest once the item is added. Ties are broken by rendezvous hashing. An item without load counts as a
/// load of 1.
/// @param targets targets to place them on, with the load that they carry already.
/// @returns one move for each item; none if there are no targets.
[[nodiscard]] std::vector<placement_move> place_items(std::span<const placement_item> items,
                                                      std::vector<placement_target> targets);

/// Balances load with few moves. Each move transfers a slot or hot key from the most to the least utilised
/// target: the item with the highest load among those whose move leaves both targets below the current
/// highest utilisation. Any slot is preferred to a hot key.
/// @param items slots and hot keys with their observed load.
/// @param targets targets with their observed load.
/// @returns the moves; none while the ratio of the highest to the mean utilisation is at most
/// `limits.start_ratio`, or the total utilisation is below `limits.min_utilisation`.
[[nodiscard]] std::vector<placement_move> balance_items(std::vector<placement_item> items,
                                                        std::vector<placement_target> targets,
                                                        const balance_limits& limits);

} // namespace teaseltally
