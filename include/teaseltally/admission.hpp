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
using admission_verdict = std::variant<admitted, queued, shed>;

/// Limits of one target's admission.
struct admission_limits {
    std::uint32_t slots = 1;
    std::uint32_t queue = 64;
    /// Grow and shrink the used slots with the observed service time.
    bool adaptive = false;
};

/// Admits requests to a target, earliest deadline first within a priority. Late-tolerant work gives way,
/// but after `fair_turn` prompt requests in a row one late-tolerant request is taken.
class admission_queue {
public:
    explicit admission_queue(admission_limits limits) : limits_(limits), allowed_(limits.slots) {}

    /// Asks for a slot.
    [[nodiscard]] admission_verdict arrive(work_priority priority, time_point deadline, time_point now);

    /// Gives a slot back.
    /// @param service_time time that the request held it.
    /// @param refused whether the target shed the request itself.
    void finish(microseconds service_time, bool refused, time_point now);

    /// Gives a slot back that was not used.
    void give_back();

    /// Takes the next request that may run now.
    /// @returns its id, if a slot is free and something waits whose deadline can be made.
    [[nodiscard]] std::optional<admission_id> next(time_point now);

    /// Takes the requests whose deadline can no longer be made.
    [[nodiscard]] std::vector<admission_id> expired(time_point now);

    /// Removes a waiting request whose caller went away.
    void abandon(admission_id id);

    /// Starts anew with few slots, for a target that just came up.
    void start_slowly();

    /// Changes the limits.
    void configure(admission_limits limits);

    [[nodiscard]] std::uint32_t running() const noexcept { return running_; }
    [[nodiscard]] std::size_t waiting() const noexcept { return waiting_.size(); }
    [[nodiscard]] microseconds mean_service_time() const noexcept { return mean_; }
    /// @returns slots that may be used at present.
    [[nodiscard]] std::uint32_t allowed() const noexcept { return static_cast<std::uint32_t>(allowed_); }

private:
    using place = std::tuple<work_priority, time_point, admission_id>;

    [[nodiscard]] microseconds expected_wait(std::size_t ahead) const;

    admission_limits limits_;
    double allowed_;
    std::uint32_t running_ = 0;
    std::uint32_t prompt_in_a_row_ = 0;
    std::uint64_t next_id_ = 1;
    microseconds mean_{2000};
    microseconds least_{0};
    std::map<place, bool> waiting_;
};

} // namespace teaseltally
