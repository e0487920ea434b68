#pragma once

#include <teaseltally/types.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

/// @file
/// Routes, services and limits of one configuration version, and the lookup of a request's route.

namespace teaseltally {

/// Whether a request may be executed more than once.
enum class execution_semantics { idempotent, at_most_once };

/// One service among which a route divides its requests.
struct route_backend {
    std::string service;
    /// Share of the route's requests, relative to the weights of the other parts.
    unsigned weight = 1;
    bool operator==(const route_backend&) const = default;
};

/// One rule that maps requests to services.
struct route {
    std::string name;
    /// Host that the rule applies to, without a port.
    std::string host;
    /// Path prefix, which begins and ends with a slash.
    std::string prefix;
    execution_semantics semantics = execution_semantics::at_most_once;
    /// Longest time that a caller is kept waiting.
    milliseconds timeout{0};
    /// Time within which an answer is of full use to its caller.
    milliseconds target_latency{0};
    /// Rank among the routes of a service; 0 is the highest.
    unsigned priority = 0;
    /// Greatest number of targets that one request may be sent to.
    unsigned max_attempts = 1;
    std::vector<route_backend> backends;
    bool operator==(const route&) const = default;
};

/// Properties of one service.
struct service_definition {
    std::string name;
    /// Path of the targets' health check.
    std::string health_path;
    /// Greatest number of connections that one target accepts from all instances.
    unsigned max_connections = 64;
    /// Whether each request belongs to a key that one target owns.
    bool keyed = false;
    bool operator==(const service_definition&) const = default;
};

/// Limits on what callers may send.
struct caller_limits {
    std::size_t header_bytes = 16'384;
    std::size_t body_bytes = 1U << 20U;
    milliseconds header_timeout{3000};
    milliseconds idle_timeout{15'000};
    bool operator==(const caller_limits&) const = default;
};

/// One version of what the operator configured.
struct routing_configuration {
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::map<std::string, service_definition, std::less<>> services;
    caller_limits limits;
};

/// Finds the route of a request in time that does not depend on the number of routes.
class route_table {
public:
    explicit route_table(routing_configuration configured);

    [[nodiscard]] const routing_configuration& configured() const noexcept { return configured_; }

    /// Finds the route with the longest prefix that begins the path.
    /// @param host value of the Host header; a port is ignored, as is case.
    /// @param path path of the request, without its query.
    /// @returns the route, or null.
    [[nodiscard]] const route* find(std::string_view host, std::string_view path) const;

    /// @returns the service's rules, or null.
    [[nodiscard]] const service_definition* find_service(std::string_view name) const;

private:
    using prefix_index = std::unordered_map<std::string, std::size_t>;
    routing_configuration configured_;
    std::unordered_map<std::string, prefix_index> hosts_;
};

} // namespace teaseltally
