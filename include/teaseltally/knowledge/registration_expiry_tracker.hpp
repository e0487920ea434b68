#pragma once

#include <teaseltally/types.hpp>

#include <map>
#include <optional>
#include <string>
#include <vector>

/// @file
/// Tells targets that left from targets whose registration lapsed while the store was away.

namespace teaseltally {

/// Times of the judgement.
struct registration_expiry_timing {
    /// Time of failing calls that counts as an outage.
    milliseconds outage_threshold{1200};
    /// How long after an outage removals are taken for lapses.
    milliseconds post_outage_window{1000};
    /// Time in which lapsed targets register again (the platform states about two seconds).
    milliseconds reregistration_time{2300};
};

/// Keeps targets that were removed beside an outage until they had time to come back.
class registration_expiry_tracker {
public:
    explicit registration_expiry_tracker(registration_expiry_timing timing = {}) : timing_(timing) {}

    /// Notes a call of the store that failed.
    void on_call_failure(time_point now);
    /// Notes a read that succeeded.
    /// @param sent when it was sent.
    /// @returns whether it ended an outage.
    bool on_read_success(time_point sent, time_point now);
    /// Notes that another instance reads the store, whatever happened here.
    /// @param age age of what it knows.
    void on_peer_read(milliseconds age);
    [[nodiscard]] bool in_outage(time_point now) const;

    /// Judges the removal of a registration.
    /// @param outage_over when the last outage ended, as far as any instance knows.
    /// @returns whether the target is gone; if not, it is kept as lapsed.
    [[nodiscard]] bool on_removal(const std::string& target, time_point now, time_point last_outage_end);
    /// Notes that a target registered.
    void on_registration(const std::string& target) { reregistration_deadlines_.erase(target); }
    /// Takes the targets that did not come back.
    [[nodiscard]] std::vector<std::string> extract_expired(time_point now);
    /// @returns whether no target is kept as lapsed.
    [[nodiscard]] bool empty() const noexcept { return reregistration_deadlines_.empty(); }

private:
    registration_expiry_timing timing_;
    /// When the first of the calls failed that have failed since the last success.
    std::optional<time_point> failing_since_;
    /// Until when lapsed targets are kept.
    std::map<std::string, time_point> reregistration_deadlines_;
};

} // namespace teaseltally
