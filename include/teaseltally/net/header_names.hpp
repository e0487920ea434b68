#pragma once

#include <string>

/// @file
/// Names of the HTTP headers exchanged with callers and targets.

namespace teaseltally {

/// Header names. The defaults are the project's own; a platform adapter replaces them by those of its
/// platform.
struct header_names {
    /// Identifier of the request; the target echoes it in its response.
    std::string request_id = "tt-request-id";
    /// Time until the caller's deadline, in milliseconds.
    std::string deadline_ms = "tt-deadline-ms";
    /// Key number of a request to a keyed service, from 0 to 65535.
    std::string key = "tt-key";
    /// Identifier of the target that the request is addressed to.
    std::string expected_target = "tt-expected-target";
    /// Set by the target on responses of its own, as opposed to those of an intermediary.
    std::string signature = "tt-signature";
    /// Load of the target: numbers of running requests, of queued requests and of slots.
    std::string load = "tt-load";
    /// Set by the target on a response if it did not execute the request.
    std::string not_executed = "tt-not-executed";
    /// Requests per second that the target accepts from all instances together, as a decimal number. Absent
    /// if the target does not limit them.
    std::string rate_limit = "tt-rate-limit";
    /// Set to 1 by a target that is leaving.
    std::string leaving = "tt-leaving";
    /// Identifier of the target that responds, in refusals of misdirected requests and in responses to health
    /// probes.
    std::string target_id = "tt-target-id";
};

} // namespace teaseltally
