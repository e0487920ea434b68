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
/// Several coordinators over a fake log, a fake network and fake targets in virtual time.

namespace fake {

using namespace teaseltally;

/// One execution of a request at a target.
struct execution {
    std::string target;
    std::uint64_t key = 0;
    std::uint64_t request = 0;
    epoch owner_epoch{};
    time_point start{};
    time_point end{};
};

/// What a schedule may do.
struct schedule {
    std::uint64_t seed = 1;
    std::chrono::seconds duration{30};
    coordinator_guards guards;
    /// Tokens that checking targets enforce.
    bool targets_check_tokens = true;
    milliseconds isolation_grace{0};
    double message_loss = 0.05;
    double message_duplication = 0.05;
    double kills = 1.0;
    double pauses = 1.0;
    double partitions = 1.0;
    double log_outages = 1.0;
    double drains = 1.0;
    double target_faults = 1.0;
    /// Graceful stops.
    double graceful_stops = 1.0;
    /// Times in which one instance alone of a data centre keeps the log.
    double single_log_accesses = 0.5;
    /// Times in which single instances do not read the log.
    double partial_log_outages = 0.5;
    /// Moves whose dispatcher stops right after its release while the rest of its cell lacks the log.
    double stops_after_release = 0.5;
    /// One member is cut off, its cell changes by one leaver and one joiner, and the cut then changes sides.
    bool stale_voter_pair = false;
    std::size_t nodes_per_data_centre = 3;
    milliseconds max_deadline{700};
    /// Longest execution of a request.
    milliseconds max_execution_time{150};
    /// Chance of a long pause between the check and the write of one request.
    double delayed_writes = 0.02;
    bool duplicate_appends = true;
    /// Print decisions, faults and executions.
    bool trace = false;
};

/// What a schedule showed.
struct schedule_result {
    std::vector<std::string> violations;
    std::size_t executions = 0;
    std::size_t moves = 0;
    std::size_t dispatcher_changes = 0;
    /// Longest time for which no request of some key was executed.
    microseconds longest_gap{};
};

/// Gives a schedule the weight of one kind of fault only.
void set_single_fault(schedule& plan, double schedule::*fault);

/// Checks that executions of a key never overlap at different targets and that epochs rise.
/// @returns a line for each violation.
[[nodiscard]] std::vector<std::string> check_executions(std::vector<execution> executions);

/// Runs one schedule.
[[nodiscard]] schedule_result run_schedule(const schedule& plan);

} // namespace fake
