#pragma once

#include <teaseltally/coordinator.hpp>
#include <teaseltally/metrics.hpp>
#include <teaseltally/net/http.hpp>
#include <teaseltally/request_policy.hpp>

#include <functional>
#include <string>

/// @file
/// Objects that the network components of an instance share.

namespace teaseltally {

/// Function that writes one log line.
using log_sink = std::function<void(const std::string&)>;

/// Shared objects of an instance. They outlive all components that refer to them.
struct instance_context {
    /// Executor with one thread, on which all components run.
    asio::any_io_executor executor;
    /// Coordinator of this instance.
    coordinator& local_coordinator;
    /// Client for requests to other instances.
    http_client& peer_client;
    /// Client for requests to targets.
    http_client& target_client;
    /// Metrics of this instance.
    metrics& instance_metrics;
    /// Fingerprints of requests after which targets crashed.
    quarantine_table& quarantine;
    /// Receives the log lines of all components.
    log_sink log;
    /// Performs the pending actions of the coordinator. To be called after each change of its state.
    std::function<void()> perform_actions;
};

/// Request that is routed to a target.
struct request_task {
    /// Service that the caller addressed.
    service_id service{};
    /// Target of the current attempt.
    target_id target{};
    /// Hash of the shard key; has no meaning for a service without keys.
    key_hash key{};
    /// Identifier of the request, unique across all instances.
    std::string request_id;
    /// Idempotency key of the caller; empty if there is none.
    std::string idempotency_key;
    /// Whether the request may be executed more than once.
    bool idempotent = false;
    /// Whether the dispatcher of the key's home target has already checked the idempotency key.
    bool idempotency_checked = false;
    /// Position of the control stream that the sender had applied when it chose the target. The dispatcher
    /// must have applied the stream at least up to this position.
    epoch min_position{};
    /// Time after which the target no longer executes the request.
    time_point deadline{};
    /// Hash of method, path and body.
    std::uint64_t fingerprint = 0;
    /// Request as received, without hop-by-hop headers and the headers that routing sets.
    http_request request;
};

/// Outcome of a request.
struct request_outcome {
    /// Result; its class states whether a target may have executed the request.
    result_code code{};
    /// Response of the target, if `code` is `done`.
    http_response response;
    /// Session that may be the dispatcher of the target, or `no_session`.
    session_id suggested_dispatcher{};
    /// Suggested time until a retry; zero if there is none.
    milliseconds retry_after{};
};

/// Returns the address and peer port of a session, or nothing if the session is unknown or its address is
/// invalid.
[[nodiscard]] std::optional<tcp_endpoint> peer_endpoint(const cluster_state& state, session_id session);

} // namespace teaseltally
