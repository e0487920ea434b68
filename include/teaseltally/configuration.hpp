#pragma once

#include <teaseltally/result.hpp>
#include <teaseltally/types.hpp>

#include <map>
#include <string>
#include <string_view>
#include <vector>

/// @file
/// Configuration of a deployment, made of one base document and any number of overlays, and settings of a
/// single instance.

namespace teaseltally {

/// Scheduling priority of a service. Prompt requests run before late-tolerant ones.
enum class work_priority { prompt, late_tolerant };

/// Settings of one service. Callers name the service in the first segment of the request path.
struct service_settings {
    /// Name in the section heading `[service.NAME]`.
    std::string name;
    /// Whether each key is owned by one target.
    bool keyed = false;
    /// Number of slots into which the keys are hashed, 1 to 1048576.
    std::uint32_t slots = 1;
    /// Path prefixes of requests that are idempotent and may therefore be sent to a target again.
    std::vector<std::string> idempotent_paths;
    /// Deadline, counted from arrival, of requests that do not set one; 1 ms to 600 s.
    milliseconds deadline{1000};
    /// Maximum deadline that a caller may request, 1 ms to 600 s.
    milliseconds max_deadline{3000};
    /// Maximum number of requests that wait for one target, 0 to 65536.
    std::uint32_t queue = 64;
    /// Scheduling priority of the service's requests.
    work_priority priority = work_priority::prompt;
    /// Maximum number of retries per hundred requests, 0 to 100.
    std::uint32_t retry_percent = 10;
    /// Whether an idempotent request of an unkeyed service is sent a second time when it takes longer than
    /// the 95th percentile of the service's latency.
    bool hedge = false;
    /// Time without a log heartbeat of a voter group after which other data centres may take over its
    /// slots, 3 s to 24 h. Zero means that its slots stay until the operator declares the data centre lost.
    milliseconds isolation_grace{0};
};

/// Settings of one data centre.
struct data_centre_settings {
    /// Name in the section heading `[data_centre.NAME]`.
    std::string name;
    /// Name of the region.
    std::string region;
    /// Number of voter groups, 1 to 256.
    std::uint32_t cells = 1;
    /// Whether the operator has declared that nothing in this data centre is running any more.
    bool lost = false;
    /// Epoch below which no voter set exists any more, as the operator has declared. A voter group that was
    /// reset at or below this epoch need not wait for dispatchers of its earlier voter sets.
    std::uint64_t voters_gone_before = 0;
};

/// Settings of one target.
struct target_settings {
    /// Name in the section heading `[target.NAME]`.
    std::string name;
    /// Name of the service that the target serves.
    std::string service;
    /// Name of the data centre that the target runs in.
    std::string data_centre;
    /// Address as `IP:PORT`.
    std::string address;
    /// Maximum number of requests that the target executes at a time, 1 to 4096. These slots are concurrent
    /// executions, not the slots into which keys are hashed.
    std::uint32_t slots = 1;
    /// Maximum number of connections that the target accepts, 1 to 4096. It also limits the requests that
    /// the target executes at a time.
    std::uint32_t connections = 100;
    /// Whether the target itself refuses requests for slots and keys that were not granted to it.
    bool checks_grants = false;
    /// Whether the operator is draining the target.
    bool draining = false;
    /// Whether the operator has declared that the target no longer executes anything.
    bool lost = false;
};

/// Limits and timings of the whole deployment.
struct deployment_settings {
    /// Name of the deployment.
    std::string name;
    /// Seed of the key hash, 0 to 2^63 - 1.
    std::uint64_t seed = 0;
    /// Maximum number of slots and keys that balancing moves per minute, 1 to 1048576.
    std::uint32_t churn_per_minute = 64;
    /// Maximum number of hot keys that are assigned separately from their slots, 0 to 4096.
    std::uint32_t hot_keys = 64;
    /// Number of target crashes after which requests with the same fingerprint are refused, 1 to 100.
    std::uint32_t crashes_to_quarantine = 2;
    /// Time after its last crash for which the crash count of a fingerprint is kept, 1 ms to 24 h.
    milliseconds quarantine{60'000};
    /// Time for which the platform retains records, 1 s to 365 days.
    milliseconds retention{3'600'000};
    /// Time for which a duplicate of a request with an idempotency key is recognised, 1 s to 1 h.
    milliseconds mark_window{60'000};
};

/// Texts of the base document and its overlays, as they are published.
struct configuration_documents {
    /// INI text of the base document.
    std::string base;
    /// INI texts of the overlays by file name. They are merged in the order of their names.
    std::map<std::string, std::string> overlays;
    bool operator==(const configuration_documents&) const = default;
};

/// Validated configuration.
struct configuration {
    /// Settings of the section `[deployment]`.
    deployment_settings deployment;
    /// Services in the order of their names.
    std::vector<service_settings> services;
    /// Data centres in the order of their names.
    std::vector<data_centre_settings> data_centres;
    /// Targets in the order of their names.
    std::vector<target_settings> targets;

    /// Returns the service with this name, or null.
    [[nodiscard]] const service_settings* find_service(std::string_view name) const noexcept;
    /// Returns the data centre with this name, or null.
    [[nodiscard]] const data_centre_settings* find_data_centre(std::string_view name) const noexcept;
    /// Returns the target with this name, or null.
    [[nodiscard]] const target_settings* find_target(std::string_view name) const noexcept;
};

/// The configuration, or every error found in its documents.
using parsed_configuration = std::variant<configuration, std::vector<error>>;

/// Merges the overlays over the base document, key by key, and validates the result.
/// @returns the configuration, or every error found, each with file, section, key and value.
[[nodiscard]] parsed_configuration parse_configuration(const configuration_documents& documents);

/// Settings of one instance.
struct instance_settings {
    /// Name of the instance.
    std::string name;
    /// Name of the data centre that the instance runs in.
    std::string data_centre;
    /// IP address on which the instance listens.
    std::string address = "127.0.0.1";
    /// Port for callers; zero lets the system choose.
    std::uint16_t caller_port = 0;
    /// Port for other instances; zero lets the system choose.
    std::uint16_t peer_port = 0;
    /// Port for operators; zero lets the system choose.
    std::uint16_t operator_port = 0;
    /// Address of the platform as `IP:PORT`.
    std::string platform;
    /// Peer addresses as `IP:PORT` from which the state is fetched while the platform is unreachable.
    std::vector<std::string> peers;
    /// Path of the log file.
    std::string log_file;
    /// Lowest level that is logged: `debug`, `info`, `warning` or `error`.
    std::string log_level = "info";
};

/// Parses the settings of an instance.
/// @param text INI text with the section `[instance]`.
/// @param file file name for error messages.
/// @returns the settings, or every error found.
[[nodiscard]] std::variant<instance_settings, std::vector<error>>
parse_instance_settings(const std::string& text, const std::string& file);

} // namespace teaseltally
