#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

/// @file
/// Checkers for the histories that callers and targets write.

namespace history {

/// A request of a caller and its answer. Times are in microseconds of the clock of the process that wrote
/// them.
struct invocation {
    std::string service;
    std::string key;
    /// Kind of the request, such as `commit`.
    std::string kind;
    std::int64_t invoked = 0;
    std::int64_t answered = 0;
    /// Class of the answer; empty if there was none.
    std::string answer;
};

/// An execution of a request at a target. Times are in microseconds of the clock of the target.
struct execution {
    std::string target;
    std::string request;
    /// Slot (`s` and number) or hot key (`k` and hash) under which it was dispatched.
    std::string item;
    std::uint64_t epoch = 0;
    std::int64_t start = 0;
    std::int64_t end = 0;
    bool cancelled = false;
};

/// History of all callers and targets of a run.
struct recorded_history {
    /// Requests by their id.
    std::map<std::string, invocation> invocations;
    /// Executions in the order in which the histories of the targets were read.
    std::vector<execution> executions;
};

/// Adds the history of callers to `recorded`.
void read_callers(const std::string& text, recorded_history& recorded);
/// Adds the history of a target to `recorded`. An execution without an end gets its start time as its end,
/// since the target process was killed during it.
void read_target(const std::string& text, recorded_history& recorded);

/// Finds overlapping executions of requests for one key at different targets.
/// @returns a description of each violation.
[[nodiscard]] std::vector<std::string> check_single_owner(const recorded_history& all);
/// Finds commits that were executed more than once.
/// @returns a description of each violation.
[[nodiscard]] std::vector<std::string> check_at_most_once(const recorded_history& all);
/// Finds requests that were answered `not_run` but were executed, or `done` but were not executed to the
/// end.
/// @returns a description of each violation.
[[nodiscard]] std::vector<std::string> check_answers(const recorded_history& all);

/// Runs every checker.
/// @returns a description of each violation.
[[nodiscard]] std::vector<std::string> check_all(const recorded_history& all);

} // namespace history
