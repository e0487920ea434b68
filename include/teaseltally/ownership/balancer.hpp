#pragma once

#include <teaseltally/ownership/assignment.hpp>

#include <functional>
#include <span>
#include <vector>

/// @file
/// Placement of key ranges: initial distribution, ranges without an owner, and splitting and moving of ranges
/// whose owners are overloaded.

namespace teaseltally {

/// Request rate of each key of one service as an exponentially decaying average.
class key_load {
public:
    /// Time constant in seconds of the average that detects a rise to many times the usual rate. It is close
    /// to the interval of the reports.
    static constexpr double surge_window_s = 0.3;
    /// Time constant in seconds of the average that detects keys whose rate rises suddenly.
    static constexpr double short_window_s = 1.0;
    /// Time constant in seconds of the average for loads of a few requests per second, at which the short
    /// average varies too much.
    static constexpr double long_window_s = 5.0;

    /// Creates a load of zero for all keys.
    /// @param window_s time constant of the average in seconds, greater than 0.
    explicit key_load(double window_s = short_window_s)
        : window_s_(window_s), rates_(std::size_t{last_key} + 1)
    {
    }

    /// Adds requests.
    /// @param requests number of requests since the last call of `decay`.
    void add(key_number key, double requests) { rates_[key] += static_cast<float>(requests); }
    /// Reduces all rates by the exponential decay over a time span.
    /// @param elapsed time since the last call.
    void decay(microseconds elapsed);
    /// Returns the total rate of a range in requests per second.
    [[nodiscard]] double rate(key_range keys) const;
    /// Returns the rate of a key in requests per second.
    [[nodiscard]] double rate(key_number key) const { return rates_[key] / window_s_; }
    /// Returns the time constant in seconds.
    [[nodiscard]] double window_s() const noexcept { return window_s_; }

private:
    double window_s_;
    std::vector<float> rates_;
};

/// Load of the keys of one service, averaged over windows of different lengths.
struct service_load {
    /// Load over `key_load::surge_window_s`.
    key_load surge{key_load::surge_window_s};
    /// Load over `key_load::short_window_s`.
    key_load short_term{key_load::short_window_s};
    /// Load over `key_load::long_window_s`.
    key_load long_term{key_load::long_window_s};
};

/// A target to which keys can be assigned.
struct balance_target {
    /// Incarnation of the target.
    target_incarnation incarnation;
    /// Requests per second that the target can execute, greater than 0.
    double capacity = 1;
};

/// A planned reassignment of keys.
struct balance_move {
    /// Keys to reassign.
    key_range keys;
    /// New owner.
    target_incarnation to;
    bool operator==(const balance_move&) const = default;
};

/// Maximum number of ranges that a target receives in the first distribution. Narrow ranges distribute the
/// load of a neighbourhood of busy keys over many targets before any load is known.
inline constexpr std::size_t max_first_ranges_per_target = 16;

/// Divides all keys among targets in proportion to their capacity. Each target receives the same number of
/// ranges, fewer if there are many targets, but at least one. Neighbouring ranges have different owners.
/// @param max_ranges maximum number of ranges that a target receives.
/// @returns one entry for each range; none if there are no targets.
[[nodiscard]] std::vector<balance_move>
distribute_by_capacity(std::span<const balance_target> targets,
                       std::size_t max_ranges = max_first_ranges_per_target);

/// Limits of one rebalancing round.
struct rebalance_limits {
    /// Minimum utilisation (load divided by capacity) of a target from which keys are moved.
    double min_utilisation = 0.55;
    /// Minimum difference in utilisation between the most and the least utilised target at which keys are
    /// moved.
    double min_utilisation_difference = 0.2;
    /// Share of the room of a target that is filled at once; lower for a load that is still rising.
    double fill_share = 1;
    /// Maximum number of moves.
    std::size_t max_moves = 6;
    /// Whether a dominant key, one that takes more than 40% of its owner's capacity, may move to a target
    /// that is more than 1.3 times as fast.
    bool allow_dominant_key_moves = true;
};

/// Plans the assignment of ranges without a usable owner to the least utilised targets. Each range is first
/// cut into up to four pieces of similar size.
/// @param needs_owner predicate that returns whether a range needs a new owner.
/// @returns the reassignments; none if there are no targets.
[[nodiscard]] std::vector<balance_move>
place_unowned_ranges(const assignment& current, std::span<const balance_target> targets, const key_load& load,
                     const std::function<bool(const owned_range&)>& needs_owner);

/// Plans moves of narrow ranges from the most to the least utilised targets. A dominant key moves to the
/// target with the largest capacity instead, if `rebalance_limits::allow_dominant_key_moves` is set and that
/// target is fast enough.
/// @returns the reassignments; none if the load is balanced within the limits.
[[nodiscard]] std::vector<balance_move> rebalance_load(const assignment& current,
                                                       std::span<const balance_target> targets,
                                                       const key_load& load, const rebalance_limits& limits);

} // namespace teaseltally
