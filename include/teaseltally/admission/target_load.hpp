#pragma once

#include <teaseltally/types.hpp>

#include <optional>
#include <string_view>

/// @file
/// How busy and how sound one target is, as one instance sees it.

namespace teaseltally {

/// What a target states of itself with an answer.
struct reported_load {
    unsigned running = 0;
    unsigned waiting = 0;
    unsigned slots = 1;
    bool operator==(const reported_load&) const = default;
};

/// Parses "RUNNING,WAITING,SLOTS".
/// @param text value of the load header.
/// @returns the report, or nothing if it is malformed.
[[nodiscard]] std::optional<reported_load> parse_reported_load(std::string_view text) noexcept;

/// Load, speed and soundness of one target from its answers and from this instance's own requests.
class target_load {
public:
    /// @param slots requests that the target executes at a time.
    /// @param expected_service time that one request takes before any was seen.
    target_load(unsigned slots, microseconds expected_service)
        : slots_(slots == 0 ? 1 : slots), service_us_(static_cast<double>(expected_service.count()))
    {
    }

    /// Notes a request that is sent.
    void on_request_sent(time_point now) noexcept;
    /// Notes that a request ended in any way.
    void on_request_ended() noexcept;
    /// Notes a whole answer.
    /// @param took time since the request was sent.
    /// @param occupancy_at_start requests at the target when it was sent, itself included.
    /// @returns the time that the request took without waiting for others at the target.
    microseconds on_response(time_point now, microseconds latency, double occupancy_at_start) noexcept;
    /// Notes a refusal that states that the request was not executed.
    void on_refusal(time_point now) noexcept;
    /// Notes a connection that failed or an answer that did not come.
    void on_failure(time_point now) noexcept;
    /// Takes in what the target states.
    void on_load_report(time_point now, const reported_load& report) noexcept;

    /// @returns requests expected at the target, those of other instances included.
    [[nodiscard]] double occupancy(time_point now) const noexcept;
    /// @returns time after which one more request is expected to be answered.
    [[nodiscard]] microseconds expected_latency(time_point now) const noexcept;
    /// @returns whether requests may be sent: not after failures, until a pause is over.
    [[nodiscard]] bool usable(time_point now) const noexcept;
    /// @returns whether requests are outstanding and none has made progress for long.
    [[nodiscard]] bool stalled(time_point now) const noexcept;

    [[nodiscard]] unsigned slots() const noexcept { return slots_; }
    [[nodiscard]] unsigned in_flight() const noexcept { return in_flight_; }
    [[nodiscard]] microseconds service_time() const noexcept
    {
        return microseconds{static_cast<std::int64_t>(service_us_)};
    }
    void set_slots(unsigned slots) noexcept { slots_ = slots == 0 ? 1 : slots; }
    /// Expects slower answers until a time, as after a start.
    void set_cold_until(time_point until) noexcept { cold_until_ = until; }

private:
    unsigned slots_;
    double service_us_;
    /// Answers seen; the first ones weigh more.
    double response_count_ = 0;
    unsigned in_flight_ = 0;
    double external_occupancy_ = 0;
    time_point reported_at_{};
    time_point last_progress_at_{};
    time_point cold_until_{};
    time_point backoff_until_{};
    unsigned consecutive_failures_ = 0;
    double refusal_rate_ = 0;
};

} // namespace teaseltally
