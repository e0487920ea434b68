#pragma once

#include <teaseltally/types.hpp>

#include <map>
#include <optional>
#include <string>
#include <vector>

/// @file
/// Distinguishes targets that deregistered from targets whose registration expired because the store was
/// unreachable.

namespace teaseltally {

/// Time limits for the classification of removed registrations.
struct registration_expiry_timing {
    /// Time for which calls to the store must fail without a success before the store counts as in an outage.
    milliseconds outage_threshold{1200};
    /// Time after a read by another instance for which the store counts as rejecting this instance only. An
    /// instance asks others once its streams are 1.3 s old, within 0.4 s, and waits 0.4 s for each; two may
    /// know nothing newer.
    milliseconds peer_read_validity{2900};
    /// Time after the end of an outage during which a removal counts as an expiry.
    milliseconds post_outage_window{1000};
    /// Time in which targets with an expired registration register again; the platform states about two
    /// seconds.
    milliseconds reregistration_time{2300};
};

/// Retains targets whose registration was removed during or shortly after an outage of the store until they
/// have had time to register again.
class registration_expiry_tracker {
public:
    /// Creates a tracker without retained targets.
    explicit registration_expiry_tracker(registration_expiry_timing timing = {}) : timing_(timing) {}

    /// Records a failed call to the store.
    void on_call_failure(time_point now);
    /// Records a successful read of the store.
    /// @param sent time when the read was sent; a read sent before the calls began to fail is ignored.
    /// @returns whether the read ended an outage.
    bool on_read_success(time_point sent, time_point now);
    /// Records that another instance can read the store, even if the calls of this instance fail.
    /// @param age age of the other instance's data; ignored unless it is below `outage_threshold`.
    /// @param now time when this instance learned of it.
    void on_peer_read(milliseconds age, time_point now);
    /// Returns whether calls to the store have failed without a success for longer than `outage_threshold`,
    /// and no other instance is known to have read it meanwhile, within `peer_read_validity`.
    [[nodiscard]] bool in_outage(time_point now) const;

    /// Classifies the removal of a registration.
    /// @param last_outage_end end of the last outage that any instance reported.
    /// @returns whether the target deregistered; if not, its registration expired and the target is retained.
    [[nodiscard]] bool on_removal(const std::string& target, time_point now, time_point last_outage_end);
    /// Records that a target registered; it is no longer retained.
    void on_registration(const std::string& target) { reregistration_deadlines_.erase(target); }
    /// Removes and returns the retained targets that did not register again in time; none during an outage.
    [[nodiscard]] std::vector<std::string> extract_expired(time_point now);
    /// Returns whether no target is retained.
    [[nodiscard]] bool empty() const noexcept { return reregistration_deadlines_.empty(); }

private:
    registration_expiry_timing timing_;
    /// Time of the first failed call since the last success; nothing if the last call succeeded.
    std::optional<time_point> failing_since_;
    /// Time of the last read of the store by another instance since the calls of this one began to fail.
    std::optional<time_point> peer_read_at_;
    /// Time until which each target with an expired registration is retained, by target id.
    std::map<std::string, time_point> reregistration_deadlines_;
};

} // namespace teaseltally
