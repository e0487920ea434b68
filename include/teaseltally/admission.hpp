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
/// Admission to one target: exact slots, a bounded queue, early shedding and adaptive concurrency.

namespace teaseltally {

/// Names a request that waits or runs.
enum class admission_id : std::uint64_t {};

/// What an arriving request is told.
struct admitted {};
struct queued {
    admission_id id{};
};
struct shed {
    /// When it is worth asking again.
    milliseconds retry_after{};
};
using admission_decision = std::variant<admitted, queued, shed>;

/// Limits of one target's admission.
struct admission_limits {
    std::uint32_t slots = 1;
    std::uint32_t queue = 64;
    /// Grow and shrink the used slots with the observed service time.
    bool adaptive = false;
};

/// Admits requests to a target, earliest deadline first within a priority. Late-tolerant work gives way,
/// but after `max_consecutive_prompt` prompt requests in a row one late-tolerant request is taken.
class admission_queue {
public:
    explicit admission_queue(admission_limits limits) : limits_(limits), usable_slots_(limits.slots) {}

    /// Asks for a slot.
    [[nodiscard]] admission_decision admit(work_priority priority, time_point deadline, time_point now);

    /// Gives a slot back.
    /// @param service_time time that the request held it.
    /// @param refused whether the target shed the request itself.
    void release_slot(microseconds service_time, bool target_refused, time_point now);

    /// Gives a slot back that was not used.
    void release_unused_slot();

    /// Takes the next request that may run now.
    /// @returns its id, if a slot is free and something waits whose deadline can be made.
    [[nodiscard]] std::optional<admission_id> start_next(time_point now);

    /// Takes the requests whose deadline can no longer be made.
    [[nodiscard]] std::vector<admission_id> remove_expired(time_point now);

    /// Removes a waiting request whose caller went away.
    void cancel(admission_id id);

    /// Starts anew with few slots, for a target that just came up.
    void slow_start();

    /// Changes the limits.
    void set_limits(admission_limits limits);

    [[nodiscard]] std::uint32_t running() const noexcept { return running_; }
    [[nodiscard]] std::size_t waiting() const noexcept { return waiting_.size(); }
    [[nodiscard]] microseconds mean_service_time() const noexcept { return mean_service_time_; }
    /// @returns slots that may be used at present.
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
