#pragma once

#include <teaseltally/coordinator.hpp>
#include <teaseltally/metrics.hpp>
#include <teaseltally/net/http.hpp>
#include <teaseltally/request_policy.hpp>

#include <functional>
#include <string>

/// @file
/// What the network parts of one instance share.

namespace teaseltally {

/// Writes one log line.
using log_sink = std::function<void(const std::string&)>;

/// Shared parts of an instance; they outlive everything that refers to them.
struct instance_context {
    asio::any_io_executor executor;
    coordinator& local_coordinator;
    /// Connections to peers.
    http_client& peer_client;
    /// Connections to targets.
    http_client& target_client;
    metrics& instance_metrics;
    quarantine_table& quarantine;
    log_sink log;
    /// Carries out the actions that the coordinator has decided.
    std::function<void()> perform_actions;
};

/// A request on its way to a target.
struct request_task {
    service_id service{};
    target_id target{};
    key_hash key{};
    std::string request_id;
    /// Empty if the caller gave none.
    std::string idempotency_key;
    bool idempotent = false;
    /// The repeat table was asked already, by the dispatcher of the key's home target.
    bool idempotency_checked = false;
    epoch min_position{};
    time_point deadline{};
    std::uint64_t fingerprint = 0;
    http_request request;
};

/// The end of an order.
struct request_outcome {
    result_code code{};
    http_response response;
    /// Who may know better, or `no_session`.
    session_id suggested_dispatcher{};
    milliseconds retry_after{};
};

/// @returns the address of a session's peer port, if the session is known.
[[nodiscard]] std::optional<tcp_endpoint> peer_endpoint(const cluster_state& state, session_id session);

} // namespace teaseltally
