#pragma once

#include <teaseltally/types.hpp>

#include <optional>

/// @file
/// How fast one target answers, from what all instances saw.

namespace teaseltally {

/// What one instance saw of a target since its last report.
struct speed_report {
    unsigned answers = 0;
    /// Answers with which the target stated that requests wait there.
    unsigned saturated = 0;
    /// Answers that did not wait, and the time that they took together.
    unsigned unqueued = 0;
    microseconds unqueued_total{0};
};

/// Estimates the time of one answer without waiting: from answers that did not wait, and from the rate of
/// answers while the target was saturated.
class target_speed {
public:
    /// Takes in a report.
    void add(const speed_report& report) noexcept;
    /// Evaluates the rate of answers when a window has passed.
    /// @param slots requests that the target executes at a time.
    void tick(time_point now, unsigned slots) noexcept;
    /// @returns the time of one answer, if any is known.
    [[nodiscard]] std::optional<microseconds> service_time() const noexcept;

private:
    void observe(double sample_us, double weight) noexcept;

    double service_us_ = 0;
    time_point window_start_{};
    unsigned answers_ = 0;
    unsigned saturated_ = 0;
};

} // namespace teaseltally
