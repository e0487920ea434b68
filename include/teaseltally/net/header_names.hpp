#pragma once

#include <string>

/// @file
/// Names of the headers that instances exchange with callers and targets.

namespace teaseltally {

/// The product's own names; an adapter to a platform replaces them by the platform's.
struct header_names {
    /// Id of one request, echoed by the target.
    std::string request_id = "tt-request-id";
    /// Milliseconds that the caller still waits.
    std::string deadline_ms = "tt-deadline-ms";
    /// Key of a request to a keyed service, a number.
    std::string key = "tt-key";
    /// Id of the target that the request is meant for.
    std::string expected_target = "tt-expected-target";
    /// The target's mark on its own answers.
    std::string signature = "tt-signature";
    /// Running and waiting requests and slots of a target.
    std::string load = "tt-load";
    /// States that the target did not execute the request.
    std::string not_executed = "tt-not-executed";
};

} // namespace teaseltally
