#pragma once

#include <teaseltally/types.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
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

/// Routes in the order in which they were published. Versions of a configuration share the routes in which
/// they do not differ.
class route_list {
public:
    /// A route with the digest of its host and prefix, by which a table finds it.
    struct entry {
        route value;
        std::uint64_t digest = 0;
        bool operator==(const entry&) const = default;
    };

    /// Appends a route.
    /// @returns its entry, which other lists may share.
    const std::shared_ptr<const entry>& push_back(route added);
    /// Appends the entry of another list.
    void push_back(std::shared_ptr<const entry> added) { entries_.push_back(std::move(added)); }
    void reserve(std::size_t count) { entries_.reserve(count); }
    [[nodiscard]] std::size_t size() const noexcept { return entries_.size(); }
    [[nodiscard]] const route& operator[](std::size_t index) const { return entries_[index]->value; }
    /// Returns the digest of the host and prefix of a route.
    [[nodiscard]] std::uint64_t digest(std::size_t index) const { return entries_[index]->digest; }
    /// Compares the routes, not their addresses.
    [[nodiscard]] bool operator==(const route_list& other) const;

private:
    std::vector<std::shared_ptr<const entry>> entries_;
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
    /// Time for which a target is cold after a start; 0 if targets are never cold.
    milliseconds cold_start{0};
    /// Requests per second that a cold target takes; 0 if they are not limited.
    double cold_per_s = 0;
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
    route_list routes;
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
    /// Returns the slot of a host and prefix, or the free one where it would be.
    [[nodiscard]] std::size_t slot_of(std::string_view host, std::string_view prefix,
                                      std::uint64_t digest) const;

    routing_configuration configured_;
    /// Hash table with open addressing: indices into `configured_.routes` plus 1, and 0 in free slots. Its
    /// size is a power of two.
    std::vector<std::uint32_t> slots_;
};

} // namespace teaseltally
