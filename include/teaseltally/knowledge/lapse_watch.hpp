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
struct lapse_timing {
    /// Time of failing calls that counts as an outage.
    milliseconds outage_gap{1200};
    /// How long after an outage removals are taken for lapses.
    milliseconds outage_shadow{1000};
    /// Time in which lapsed targets register again (the platform states about two seconds).
    milliseconds return_time{2300};
};

/// Keeps targets that were removed beside an outage until they had time to come back.
class lapse_watch {
public:
    explicit lapse_watch(lapse_timing timing = {}) : timing_(timing) {}

    /// Notes a call of the store that failed.
    void call_failed(time_point now);
    /// Notes a read that succeeded.
    /// @param sent when it was sent.
    /// @returns whether it ended an outage.
    bool read_succeeded(time_point sent, time_point now);
    /// Notes that another instance reads the store, whatever happened here.
    /// @param age age of what it knows.
    void another_reads(milliseconds age);
    [[nodiscard]] bool in_outage(time_point now) const;

    /// Judges the removal of a registration.
    /// @param outage_over when the last outage ended, as far as any instance knows.
    /// @returns whether the target is gone; if not, it is kept as lapsed.
    [[nodiscard]] bool removed(const std::string& target, time_point now, time_point outage_over);
    /// Notes that a target registered.
    void registered(const std::string& target) { lapsed_.erase(target); }
    /// Takes the targets that did not come back.
    [[nodiscard]] std::vector<std::string> take_gone(time_point now);
    /// @returns whether no target is kept as lapsed.
    [[nodiscard]] bool empty() const noexcept { return lapsed_.empty(); }

private:
    lapse_timing timing_;
    /// When the first of the calls failed that have failed since the last success.
    std::optional<time_point> failing_since_;
    /// Until when lapsed targets are kept.
    std::map<std::string, time_point> lapsed_;
};

} // namespace teaseltally
