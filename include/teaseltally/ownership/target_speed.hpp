#pragma once

#include <teaseltally/types.hpp>

#include <optional>

/// @file
/// Estimate of a target's service time from the reports of all instances.

namespace teaseltally {

/// Responses that one instance received from a target since its last report.
struct speed_report {
    /// Number of responses.
    unsigned answers = 0;
    /// Number of responses in which the target reported requests waiting in its queue.
    unsigned saturated = 0;
    /// Number of responses to requests that did not wait at the target.
    unsigned unqueued = 0;
    /// Sum of the service times of the unqueued responses.
    microseconds unqueued_total{0};
};

/// Estimates the service time of a target, that is, the latency of a request that is not queued. It uses the
/// service times of unqueued responses and the rate of responses while the target is saturated.
class target_speed {
public:
    /// Adds the report of an instance.
    void add(const speed_report& report) noexcept;
    /// Updates the estimate from the rate of responses at the end of each window of 1 s.
    /// @param slots number of requests that the target executes concurrently.
    void tick(time_point now, unsigned slots) noexcept;
    /// Returns the estimated service time, at least 1 microsecond, or nothing while there are too few
    /// samples: the first responses are those to the shortest requests.
    [[nodiscard]] std::optional<microseconds> service_time() const noexcept;

private:
    void observe(double sample_us, double weight) noexcept;

    double service_us_ = 0;
    /// Number of unqueued responses, or `min_samples` after a saturated window.
    unsigned samples_ = 0;
    time_point window_start_{};
    unsigned answers_ = 0;
    unsigned saturated_ = 0;
};

} // namespace teaseltally
