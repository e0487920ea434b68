#pragma once

#include <teaseltally/types.hpp>

#include <optional>
#include <string_view>

/// @file
/// Load and health of one target as observed by one instance.

namespace teaseltally {

/// Load that a target reports in a header of its responses.
struct reported_load {
    /// Number of requests that the target is executing.
    unsigned running = 0;
    /// Number of requests queued at the target.
    unsigned waiting = 0;
    /// Number of requests that the target executes concurrently; at least 1.
    unsigned slots = 1;
    /// How long work takes at present, in percent of the usual time; at least 1.
    unsigned duration_percent = 100;
    bool operator==(const reported_load&) const = default;
};

/// Parses the value of the load header, "RUNNING,WAITING,SLOTS" or "RUNNING,WAITING,SLOTS,DURATION" in
/// decimal.
/// @returns the reported load, or nothing if the text is malformed or the number of slots or the duration is
/// zero.
[[nodiscard]] std::optional<reported_load> parse_reported_load(std::string_view text) noexcept;

/// Estimates load, service time and health of one target from its responses and from the requests of this
/// instance.
class target_load {
public:
    /// Maximum number of requests at a target per slot; further requests wait in the instances.
    static constexpr double max_requests_per_slot = 2.0;

    /// Creates the estimate of a target that has not responded yet.
    /// @param slots number of requests that the target executes concurrently; zero counts as one.
    /// @param expected_service service time assumed until the first response.
    target_load(unsigned slots, microseconds expected_service)
        : slots_(slots == 0 ? 1 : slots), service_us_(static_cast<double>(expected_service.count()))
    {
    }

    /// Records that a request was sent to the target.
    void on_request_sent(time_point now) noexcept;
    /// Records that a request ended, with any outcome.
    void on_request_ended() noexcept;
    /// Records a complete response. Ends the back-off after failures.
    /// @param latency time since the request was sent.
    /// @param occupancy_at_start number of requests at the target when it was sent, including itself.
    /// @returns the estimated service time of the request, that is, its latency without queueing at the
    /// target.
    microseconds on_response(time_point now, microseconds latency, double occupancy_at_start) noexcept;
    /// Records a refusal, which states that the request was not executed.
    /// @param is_full whether the target counts as full, as the only one that can execute the request.
    void on_refusal(time_point now, bool is_full) noexcept;
    /// Records a failed connection or a missing response. Starts or doubles the back-off.
    void on_failure(time_point now) noexcept;
    /// Applies a load report that a response of the target carried.
    void on_load_report(time_point now, const reported_load& report) noexcept;

    /// Returns the estimated number of requests at the target, including those of other instances.
    [[nodiscard]] double occupancy(time_point now) const noexcept;
    /// Returns the expected latency of one more request that the target accepts, including the time that it
    /// is queued.
    [[nodiscard]] microseconds queueing_latency(time_point now) const noexcept;
    /// Returns the expected latency of one more request. It is higher if the target refuses requests, since
    /// they then have to be sent again.
    [[nodiscard]] microseconds expected_latency(time_point now) const noexcept;
    /// Returns whether a request may be sent to the target if no other target can execute it: the target has
    /// room, it is in no back-off, and this instance has no more requests there than its share. Instances
    /// that have had no response yet know nothing of each other's requests; without the share, all of them
    /// together would fill the queue of the target many times.
    /// @param instances number of instances that send requests to the target, at least 1.
    [[nodiscard]] bool has_room_in_share(time_point now, unsigned instances) const noexcept;
    /// Returns whether one more request would find the target with at most `max_requests_per_slot` requests.
    [[nodiscard]] bool has_room(time_point now) const noexcept
    {
        return occupancy(now) + 1 <= slots_ * max_requests_per_slot;
    }
    /// Returns whether requests may be sent. The target must not be stalled nor in back-off after a failure;
    /// after the back-off, one request at a time is allowed until a response arrives.
    [[nodiscard]] bool usable(time_point now) const noexcept;
    /// Returns whether requests are in flight and none of them has progressed for four service times, and for
    /// at least 500 ms.
    [[nodiscard]] bool stalled(time_point now) const noexcept;

    /// Returns the number of requests that the target executes concurrently; at least 1.
    [[nodiscard]] unsigned slots() const noexcept { return slots_; }
    /// Returns the number of requests of this instance that have not ended.
    [[nodiscard]] unsigned in_flight() const noexcept { return in_flight_; }
    /// Returns the average service time of a request, without queueing at the target.
    [[nodiscard]] microseconds service_time() const noexcept
    {
        return microseconds{static_cast<std::int64_t>(service_us_)};
    }
    /// Sets the number of requests that the target executes concurrently; zero counts as one.
    void set_slots(unsigned slots) noexcept { slots_ = slots == 0 ? 1 : slots; }
    /// Sets the time until which twice the latency is expected, because a target is slower after its start.
    void set_cold_until(time_point until) noexcept { cold_until_ = until; }

private:
    void set_external_occupancy(time_point now, double requests) noexcept;
    /// Returns how long work is expected to take, relative to its average.
    [[nodiscard]] double relative_duration(time_point now) const noexcept;

    unsigned slots_;
    double service_us_;
    /// Number of responses; the first ones have more weight in the average service time.
    double response_count_ = 0;
    unsigned in_flight_ = 0;
    /// Number of requests of other instances at the target, according to its last report.
    double external_occupancy_ = 0;
    /// Time constant of the decay of `external_occupancy_`, in microseconds.
    double report_decay_us_ = 1;
    time_point reported_at_{};
    /// Duration of work according to the last report, and the moving average of the reports; 1 is usual.
    double duration_ = 1;
    double average_duration_ = 1;
    time_point duration_at_{};
    /// Time of the last response or refusal, or of the first request after the target was idle.
    time_point last_progress_at_{};
    time_point cold_until_{};
    time_point backoff_until_{};
    unsigned consecutive_failures_ = 0;
    /// Moving average of refusals per response or refusal, from 0 to 1.
    double refusal_rate_ = 0;
};

} // namespace teaseltally
