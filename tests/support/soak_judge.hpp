#pragma once

#include "support/fake_target.hpp"

#include <map>
#include <string>
#include <vector>

/// @file
/// Checks what callers and targets saw on their sockets against the promises of the system.

namespace teaseltally::test {

/// One attempt of a caller, which has an id of its own.
struct soak_call {
    std::string id;
    std::string service;
    /// Whether the request may be executed once at most.
    bool at_most_once = false;
    std::size_t front = 0;
    time_point sent{};
    /// Time of the answer or of the end of the connection; the time at which the caller left if there was
    /// neither.
    time_point ended{};
    milliseconds deadline{};
    /// Status of the complete answer; 0 if there was none.
    unsigned status = 0;
    /// Whether the connection ended without a complete answer.
    bool was_cut = false;
    /// Whether the process was killed or paused between `sent` and `ended`.
    bool process_disturbed = false;
};

/// Limit on the arrivals beyond the first of each request.
struct retry_limit {
    double ratio = 0.2;
    double slack = 50;
    milliseconds window{10'000};
};

/// A span in which an instance was disturbed: it was killed, paused, stopped, starting, or cut off.
struct disturbed_span {
    asio::ip::address instance;
    time_point from{};
    time_point to{};
};

/// What a run is judged by.
struct soak_history {
    std::vector<soak_call> calls;
    std::vector<target_run> runs;
    std::vector<target_arrival> arrivals;
    retry_limit retries;
    unsigned max_attempts = 2;
    std::vector<disturbed_span> disturbed = {};
};

/// One broken promise.
struct soak_finding {
    /// Name of the rule, as on the pages of the users' platform.
    std::string rule;
    std::string text;
};

/// A span in which the most arrivals beyond the first reached a service, compared with its limit.
struct retry_peak {
    double arrivals = 0;
    double limit = 0;
    time_point until{};
};

/// Returns whether a status promises that the request was not executed and will not be.
[[nodiscard]] bool promises_no_execution(unsigned status);

/// Returns for each service the window that comes closest to its limit, or exceeds it most.
[[nodiscard]] std::map<std::string, retry_peak> retry_peaks(const soak_history& history);

/// Returns the broken promises: REFUSED, TWICE, LOST, and BUDGET in all its forms: retries, targets of a
/// request, time handed on, requests that end targets, and targets that ask for rest.
[[nodiscard]] std::vector<soak_finding> judge(const soak_history& history);

} // namespace teaseltally::test
