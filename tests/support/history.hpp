#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

/// @file
/// Checkers of the histories that callers and targets write.

namespace history {

/// What a caller asked and was told.
struct invocation {
    std::string service;
    std::string key;
    std::string kind;
    std::int64_t invoked = 0;
    std::int64_t answered = 0;
    /// Class of the answer; empty if there was none.
    std::string answer;
};

/// One execution at a target.
struct execution {
    std::string target;
    std::string request;
    std::string item;
    std::uint64_t epoch = 0;
    std::int64_t start = 0;
    std::int64_t end = 0;
    bool cancelled = false;
};

struct recorded_history {
    std::map<std::string, invocation> invocations;
    std::vector<execution> executions;
};

/// Reads a caller's history.
void read_callers(const std::string& text, recorded_history& recorded);
/// Reads a target's history. A run without an end counts as ended at its start: its process was killed.
void read_target(const std::string& text, recorded_history& recorded);

/// Executions of a key at different targets overlap.
[[nodiscard]] std::vector<std::string> check_single_owner(const recorded_history& all);
/// A commit was executed more than once.
[[nodiscard]] std::vector<std::string> check_at_most_once(const recorded_history& all);
/// A caller was told "not run" of something that ran, or "done" of something that did not.
[[nodiscard]] std::vector<std::string> check_answers(const recorded_history& all);

/// Runs every checker.
[[nodiscard]] std::vector<std::string> check_all(const recorded_history& all);

} // namespace history
