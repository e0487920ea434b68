#pragma once

#include <teaseltally/ownership/assignment.hpp>
#include <teaseltally/ownership/order_status.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// @file
/// Exclusion of targets that may hold keys which the ownership log does not show.

namespace teaseltally {

/// Maximum number of releases of a sweep to one target that are under way at the same time.
inline constexpr std::size_t max_swept_releases_per_target = 16;

/// Tells a target to release keys.
struct release_order {
    /// Id to pass to `range_manager::on_order_completed`.
    std::uint64_t id = 0;
    /// Target that is to release the keys.
    target_incarnation target;
    /// Keys to release.
    key_range keys;
    /// Fencing token of the range's new owner.
    std::uint64_t fence = 0;
};

/// Excludes, after records of the ownership log were lost, every target as a holder of the keys that the log
/// does not give to it. A target is excluded once it has released the keys, its incarnation has ended, its
/// host refuses connections and it is registered no more, or every grant that it may have received has
/// expired. The sweep lasts until the latter, so that targets which register late are excluded as well. Each
/// target releases the maximal runs of keys that it does not own, so that a sweep needs about as many orders
/// as there are targets and ranges.
class holder_sweep {
public:
    /// Begins a sweep.
    /// @param expires_by time by which every grant that a target may have received has expired.
    /// @param fence fencing token of the releases, above that of every grant to be ended.
    void begin(time_point expires_by, std::uint64_t fence);
    /// Ends the sweep.
    void end() noexcept { active_ = false; }
    /// Returns whether a sweep has begun and not ended.
    [[nodiscard]] bool is_active() const noexcept { return active_; }

    /// Adds a target of a service. The keys that it owns at that time are not swept: if it loses them, it
    /// releases them as any former owner does. A target that is already known is ignored.
    /// @param owners assignment of the service; null if there is none.
    void add_target(const std::string& service, const target_incarnation& target, const assignment* owners);
    /// Returns the releases that are due.
    /// @param owners assignment of the service; null if there is none.
    /// @param next_order_id id of the next order, which is advanced.
    [[nodiscard]] std::vector<release_order> due_orders(time_point now, const std::string& service,
                                                        const assignment* owners,
                                                        std::uint64_t& next_order_id);
    /// Handles the result of an order; an unknown id is ignored.
    /// @param retry_at time of the next attempt if the target neither released the keys nor has ended.
    void on_order_completed(std::uint64_t id, order_status status, time_point retry_at);
    /// Sets whether the targets whose registrations were lost have had time to register again and be known.
    /// No key is free before.
    void set_directory_current(bool current) noexcept { directory_current_ = current; }
    /// Returns whether the targets whose registrations were lost have had that time.
    [[nodiscard]] bool is_directory_current() const noexcept { return directory_current_; }
    /// Excludes the targets that refuse connections and are registered no more; none before the directory is
    /// current. Each alone proves nothing: a
    /// cut may refuse connections, and a target without a registration may serve on.
    /// @param is_registered returns whether an incarnation is registered.
    template <typename Predicate>
    void exclude_refusing(Predicate is_registered)
    {
        if (!directory_current_)
            return;
        for (auto& [service, targets] : targets_)
            for (auto& target : targets)
                if (target.refuses && !is_registered(target.incarnation))
                    target.open.clear();
    }
    /// Returns whether no other target than the owner of keys can hold one of them.
    [[nodiscard]] bool is_free(time_point now, const std::string& service, const target_incarnation& owner,
                               key_range keys) const;
    /// Returns whether every grant that a target may have received has expired.
    [[nodiscard]] bool is_complete(time_point now) const;
    /// Returns the number of targets that are not excluded, or were not when the sweep ended.
    [[nodiscard]] std::size_t remaining_targets() const;
    /// Returns the number of releases of the current or last sweep.
    [[nodiscard]] std::size_t order_count() const noexcept { return order_count_; }

private:
    struct pending_release {
        std::uint64_t id = 0;
        key_range keys;
    };
    struct swept_target {
        target_incarnation incarnation;
        /// Keys that the target may hold although it does not own them.
        std::vector<key_range> open;
        std::vector<pending_release> pending;
        time_point next_release_at{};
        /// Whether the host of the target refused the last order.
        bool refuses = false;
    };

    bool active_ = false;
    bool directory_current_ = false;
    time_point expires_by_{};
    std::uint64_t fence_ = 0;
    std::size_t order_count_ = 0;
    std::map<std::string, std::vector<swept_target>, std::less<>> targets_;
};

} // namespace teaseltally
