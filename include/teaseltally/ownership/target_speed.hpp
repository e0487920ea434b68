#pragma once

#include <teaseltally/types.hpp>

#include <optional>

/// @file
/// Estimate of a target's service time from the reports of all instances.

namespace teaseltally {

/// Answers that one instance received from a target since its last report.
struct speed_report {
    /// Number of answers.
    unsigned answers = 0;
    /// Answers that carried the target's report of requests waiting in its queue.
    unsigned saturated = 0;
    /// Answers to requests that did not wait at the target.
    unsigned unqueued = 0;
    /// Sum of the times of the unqueued answers.
    microseconds unqueued_total{0};
};

/// Estimates the service time of a target, which is the time of one answer without queueing. It uses the
/// times of unqueued answers and the rate of answers while the target is saturated.
class target_speed {
public:
    /// Adds the report of an instance.
    void add(const speed_report& report) noexcept;
    /// Evaluates the rate of answers at the end of each window of 1 s.
    /// @param slots number of requests that the target executes concurrently.
    void tick(time_point now, unsigned slots) noexcept;
    /// Returns the estimated service time, at least 1 microsecond, or nothing before the first sample.
    [[nodiscard]] std::optional<microseconds> service_time() const noexcept;

private:
    void observe(double sample_us, double weight) noexcept;

    double service_us_ = 0;
    time_point window_start_{};
    unsigned answers_ = 0;
    unsigned saturated_ = 0;
};

} // namespace teaseltally
