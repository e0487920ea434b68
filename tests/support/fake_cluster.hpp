#pragma once

#include <teaseltally/coordinator.hpp>

#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

/// @file
/// Simulation of several coordinators with a fake log, a fake network and fake targets in virtual time.

namespace fake {

using namespace teaseltally;

/// Execution of a request by a target, in simulated time.
struct execution {
    std::string target;
    std::uint64_t key = 0;
    std::uint64_t request = 0;
    /// Epoch at which the target became owner of the key, as its dispatcher saw it.
    epoch owner_epoch{};
    time_point start{};
    time_point end{};
};

/// Parameters of a simulation run. The members from `kills` to `pauses_after_release` are the relative
/// frequencies of the faults that they name.
struct schedule {
    /// Seed of all random choices.
    std::uint64_t seed = 1;
    std::chrono::seconds duration{30};
    /// Safety checks of all coordinators.
    coordinator_guards guards;
    /// Whether targets that check grants refuse fencing tokens below the highest one they have received.
    bool targets_check_tokens = true;
    /// Isolation grace of the service; zero disables it.
    milliseconds isolation_grace{0};
    /// Probability that a message or the response of a target is lost.
    double message_loss = 0.05;
    /// Probability that a message is sent twice.
    double message_duplication = 0.05;
    double kills = 1.0;
    double pauses = 1.0;
    double partitions = 1.0;
    double log_outages = 1.0;
    double drains = 1.0;
    double target_faults = 1.0;
    /// Graceful stops of instances.
    double graceful_stops = 1.0;
    /// Periods in which only one instance of a data centre reaches the log.
    double single_log_accesses = 0.5;
    /// Periods in which each instance is cut off from the log with a probability of 0.3.
    double partial_log_outages = 0.5;
    /// Moves whose dispatcher pauses just after its release while the rest of its voter group does not reach
    /// the log.
    double pauses_after_release = 0.5;
    /// Scripted fault: one member is isolated, its voter group loses one member and gains another, and the
    /// partition then changes sides.
    bool stale_voter_pair = false;
    std::size_t nodes_per_data_centre = 3;
    /// Maximum deadline of a request, counted from its dispatch.
    milliseconds max_deadline{700};
    /// Upper bound of the random part of the execution time of a request, to which 5 ms are added.
    milliseconds max_execution_time{150};
    /// Probability of a long pause between the check and the write of a request.
    double delayed_writes = 0.02;
    /// Whether appends may be repeated in the log.
    bool duplicate_appends = true;
    /// Whether log events, faults and executions are printed.
    bool trace = false;
};

/// Result of a simulation run.
struct schedule_result {
    /// One line for each violation; only the first five are kept.
    std::vector<std::string> violations;
    std::size_t executions = 0;
    std::size_t moves = 0;
    std::size_t dispatcher_changes = 0;
    /// Longest time between the starts of two consecutive executions for the same slot.
    microseconds longest_gap{};
};

/// Sets the relative frequency of one kind of fault to 1 and of all others to 0.
void set_single_fault(schedule& plan, double schedule::*fault);

/// Checks that executions of a key never overlap at different targets, that the owner epoch of a key never
/// decreases when another target executes it, and that no request is executed twice.
/// @returns a line for each violation.
[[nodiscard]] std::vector<std::string> check_executions(std::vector<execution> executions);

/// Runs one schedule and returns its result.
[[nodiscard]] schedule_result run_schedule(const schedule& plan);

} // namespace fake
