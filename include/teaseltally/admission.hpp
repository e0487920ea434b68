#pragma once

#include <teaseltally/configuration.hpp>
#include <teaseltally/types.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <tuple>
#include <variant>
#include <vector>

/// @file
/// Admission control for one target: a concurrency limit, a bounded queue and early load shedding. In this
/// file a slot is the permission to run one request at the target; it is unrelated to the slots of keys.

namespace teaseltally {

/// Identifies a queued request within its admission queue.
enum class admission_id : std::uint64_t {};

/// The request may run now and occupies a slot.
struct admitted {};
/// The request waits in the queue.
struct queued {
    /// Identifier that `start_next` returns when the request may run.
    admission_id id{};
};
/// The request is refused because the queue is full or its deadline cannot be met.
struct shed {
    /// Time until the requests now waiting are expected to have started; at least 5 ms.
    milliseconds retry_after{};
};
/// Decision of `admission_queue::admit` on an arriving request.
using admission_decision = std::variant<admitted, queued, shed>;

/// Limits of one target.
struct admission_limits {
    /// Maximum number of requests that run at a time.
    std::uint32_t slots = 1;
    /// Maximum number of requests that wait.
    std::uint32_t queue = 64;
    /// Whether the number of usable slots is adapted to the observed service time.
    bool adaptive = false;
};

/// Admits requests to a target, by priority and then by earliest deadline. After 8 prompt requests in a row
/// one late-tolerant request is started, so that late-tolerant work is not starved.
class admission_queue {
public:
    /// Creates an empty queue in which all slots are usable.
    explicit admission_queue(admission_limits limits) : limits_(limits), usable_slots_(limits.slots) {}

    /// Decides on an arriving request.
    /// @param deadline time by which the request has to be finished.
    /// @returns `admitted` if a slot is free and no request waits, `queued` if the deadline can be met after
    /// the expected wait, otherwise `shed`.
    [[nodiscard]] admission_decision admit(work_priority priority, time_point deadline, time_point now);

    /// Releases the slot of a request that has run.
    /// @param service_time time for which the request occupied the slot.
    /// @param target_refused whether the target itself refused the request. The service time is then
    /// ignored, and an adaptive queue reduces its usable slots.
    void release_slot(microseconds service_time, bool target_refused, time_point now);

    /// Releases the slot of a request that was admitted but did not run.
    void release_unused_slot();

    /// Removes the next request from the queue and assigns it a slot.
    /// @returns the identifier of the request; nothing if no slot is free, if no request waits, or if the
    /// deadline of the next request can no longer be met.
    [[nodiscard]] std::optional<admission_id> start_next(time_point now);

    /// Removes the waiting requests whose deadline can no longer be met.
    /// @returns the identifiers of the removed requests.
    [[nodiscard]] std::vector<admission_id> remove_expired(time_point now);

    /// Removes a waiting request, if it is still in the queue.
    void cancel(admission_id id);

    /// Reduces the usable slots to one, for a target that has just started.
    void slow_start();

    /// Changes the limits. If the number of slots changes, all of them become usable.
    void set_limits(admission_limits limits);

    /// Returns the number of occupied slots.
    [[nodiscard]] std::uint32_t running() const noexcept { return running_; }
    /// Returns the number of waiting requests.
    [[nodiscard]] std::size_t waiting() const noexcept { return waiting_.size(); }
    /// Returns the moving average of the service time.
    [[nodiscard]] microseconds mean_service_time() const noexcept { return mean_service_time_; }
    /// Returns the number of slots that may currently be occupied.
    [[nodiscard]] std::uint32_t usable_slots() const noexcept
    {
        return static_cast<std::uint32_t>(usable_slots_);
    }

private:
    using queue_position = std::tuple<work_priority, time_point, admission_id>;

    [[nodiscard]] microseconds expected_wait(std::size_t ahead) const;

    admission_limits limits_;
    double usable_slots_;
    std::uint32_t running_ = 0;
    std::uint32_t consecutive_prompt_ = 0;
    std::uint64_t next_id_ = 1;
    microseconds mean_service_time_{2000};
    microseconds min_service_time_{0};
    std::map<queue_position, bool> waiting_;
};

} // namespace teaseltally
