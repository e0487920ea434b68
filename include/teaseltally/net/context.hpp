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
    coordinator& decisions;
    /// Connections to peers.
    http_client& client;
    /// Connections to targets.
    http_client& targets;
    metrics& measured;
    quarantine_table& quarantine;
    log_sink log;
    /// Carries out the actions that the coordinator has decided.
    std::function<void()> act;
};

/// A request on its way to a target.
struct work_order {
    service_id service{};
    target_id target{};
    key_hash key{};
    std::string request_id;
    /// Empty if the caller gave none.
    std::string idempotency_key;
    bool idempotent = false;
    /// The repeat table was asked already, by the dispatcher of the key's home target.
    bool marked = false;
    epoch relied_on{};
    time_point deadline{};
    std::uint64_t fingerprint = 0;
    http_request request;
};

/// The end of an order.
struct work_result {
    result_code code{};
    http_response response;
    /// Who may know better, or `no_session`.
    session_id holder{};
    milliseconds retry_after{};
};

/// @returns the address of a session's peer port, if the session is known.
[[nodiscard]] std::optional<tcp_endpoint> peer_endpoint(const cluster_state& state, session_id session);

} // namespace teaseltally
