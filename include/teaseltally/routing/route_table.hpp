#pragma once

#include <teaseltally/types.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

/// @file
/// Routes, services and caller limits of one configuration version, and the lookup of the route of a request.

namespace teaseltally {

/// Execution semantics of the requests of a route: whether a request may be executed more than once.
enum class execution_semantics {
    /// A request may be executed more than once, so it can be sent again after an unknown outcome.
    idempotent,
    /// A request must not be sent again once a target may have executed it.
    at_most_once
};

/// One of the services among which a route divides its requests.
struct route_backend {
    /// Name of the service.
    std::string service;
    /// Share of the route's requests, relative to the weights of the other backends.
    unsigned weight = 1;
    bool operator==(const route_backend&) const = default;
};

/// Maps the requests of a host and path prefix to services.
struct route {
    /// Name of the route in the configuration.
    std::string name;
    /// Host that the route applies to, without a port.
    std::string host;
    /// Path prefix; begins and ends with a slash.
    std::string prefix;
    /// Whether the requests may be executed more than once.
    execution_semantics semantics = execution_semantics::at_most_once;
    /// Maximum time from the arrival of a request to its response.
    milliseconds timeout{0};
    /// Latency objective: a response within this time is of full use to the caller.
    milliseconds target_latency{0};
    /// Priority among the routes of a service; 0 is the highest.
    unsigned priority = 0;
    /// Maximum number of attempts at one request, not counting those that could not connect. The router
    /// allows one more if an attempt showed that its target did not execute the request.
    unsigned max_attempts = 1;
    /// Services that share the requests of the route.
    std::vector<route_backend> backends;
    bool operator==(const route&) const = default;
};

/// Definition of one service.
struct service_definition {
    /// Name that the backends of routes refer to.
    std::string name;
    /// Path of the health check of the service's targets.
    std::string health_path;
    /// Maximum number of connections that one target accepts from all instances together.
    unsigned max_connections = 64;
    /// Whether each request carries a key whose state is owned by exactly one target.
    bool keyed = false;
    bool operator==(const service_definition&) const = default;
};

/// Limits on the requests and connections of callers.
struct caller_limits {
    /// Maximum size of a request's header in bytes.
    std::size_t header_bytes = 16'384;
    /// Maximum size of a request's body in bytes.
    std::size_t body_bytes = 1U << 20U;
    /// Maximum time in which a caller has to send the header of a request.
    milliseconds header_timeout{3000};
    /// Time after which an idle connection is closed; also the maximum time for reading a request body.
    milliseconds idle_timeout{15'000};
    bool operator==(const caller_limits&) const = default;
};

/// One version of the routing configuration published by the operator.
struct routing_configuration {
    /// Version number; a later publication has a higher one.
    std::uint64_t version = 0;
    /// Routes in the order in which they were published.
    std::vector<route> routes;
    /// Service definitions by name.
    std::map<std::string, service_definition, std::less<>> services;
    /// Limits that apply to all callers.
    caller_limits limits;
    bool operator==(const routing_configuration&) const = default;
};

/// Finds the route of a request. The lookup time depends on the length of the path, not on the number of
/// routes.
class route_table {
public:
    /// Builds the index of a configuration.
    /// @param configured configuration; of several routes with the same host and prefix, the first is used.
    explicit route_table(routing_configuration configured);

    /// Returns the configuration that the table was built from.
    [[nodiscard]] const routing_configuration& configured() const noexcept { return configured_; }

    /// Returns the route of a host with the longest prefix that the path starts with.
    /// @param host value of the Host header; the port and the case of letters are ignored.
    /// @param path path of the request, without its query.
    /// @returns the route, or null if none matches.
    [[nodiscard]] const route* find(std::string_view host, std::string_view path) const;

    /// Returns the definition of a service, or null if the configuration has none of this name.
    [[nodiscard]] const service_definition* find_service(std::string_view name) const;

private:
    using prefix_index = std::unordered_map<std::string, std::size_t>;
    routing_configuration configured_;
    /// Indices into `configured_.routes` by path prefix, for each host in lower case and without a port.
    std::unordered_map<std::string, prefix_index> hosts_;
};

} // namespace teaseltally
