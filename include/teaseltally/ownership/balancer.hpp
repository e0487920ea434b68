#pragma once

#include <teaseltally/ownership/assignment.hpp>

#include <functional>
#include <span>
#include <vector>

/// @file
/// Where ranges go: the first spread, ranges without an owner, and hot ranges that are split and moved.

namespace teaseltally {

/// Requests a second for each key of one service, averaged over a short time.
class key_load {
public:
    /// Time constants of the averages in seconds: one that follows keys that become hot, and one for loads
    /// of a few requests a second.
    static constexpr double short_window_s = 1.0;
    static constexpr double long_window_s = 5.0;

    explicit key_load(double window_s = short_window_s)
        : window_s_(window_s), rates_(std::size_t{last_key} + 1)
    {
    }

    /// Adds requests that were seen since the last call of `decay`.
    void add(key_number key, double requests) { rates_[key] += static_cast<float>(requests); }
    /// Ages what was seen.
    /// @param elapsed time since the last call.
    void decay(microseconds elapsed);
    /// @returns requests a second on the keys.
    [[nodiscard]] double rate(key_range keys) const;
    [[nodiscard]] double rate(key_number key) const { return rates_[key] / window_s_; }
    [[nodiscard]] double window_s() const noexcept { return window_s_; }

private:
    double window_s_;
    std::vector<float> rates_;
};

/// The load of one service's keys, averaged over a short and over a longer time.
struct service_load {
    key_load short_term{key_load::short_window_s};
    key_load long_term{key_load::long_window_s};
};

/// A target that may own keys.
struct balance_target {
    target_incarnation incarnation;
    /// Requests a second that it can answer.
    double capacity = 1;
};

/// Keys and their next owner.
struct balance_move {
    key_range keys;
    target_incarnation to;
    bool operator==(const balance_move&) const = default;
};

/// Divides all keys among targets by capacity, in one range each.
[[nodiscard]] std::vector<balance_move> distribute_by_capacity(std::span<const balance_target> targets);

/// Limits of one round of balancing.
struct rebalance_limits {
    /// Load of the busiest target, relative to its capacity, below which nothing moves.
    double min_utilisation = 0.55;
    /// Difference to the idlest target below which nothing moves.
    double min_utilisation_difference = 0.2;
    /// Greatest number of moves.
    std::size_t max_moves = 6;
    /// Whether a key that dominates its owner may move to a faster target.
    bool allow_dominant_key_moves = true;
};

/// Gives ranges whose owners are gone to the least busy targets, cut into pieces of bounded load.
/// @param current the assignment.
/// @param targets targets that may own keys.
/// @param load the keys' load.
/// @param vacated whether a range needs a new owner.
[[nodiscard]] std::vector<balance_move>
place_unowned_ranges(const assignment& current, std::span<const balance_target> targets, const key_load& load,
                     const std::function<bool(const owned_range&)>& needs_owner);

/// Moves narrow ranges from busy targets to idle ones.
[[nodiscard]] std::vector<balance_move> rebalance_load(const assignment& current,
                                                       std::span<const balance_target> targets,
                                                       const key_load& load, const rebalance_limits& limits);

} // namespace teaseltally
