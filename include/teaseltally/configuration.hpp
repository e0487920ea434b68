#pragma once

#include <teaseltally/result.hpp>
#include <teaseltally/types.hpp>

#include <map>
#include <string>
#include <string_view>
#include <vector>

/// @file
/// The deployment's configuration: one base document and an overlay for each site.

namespace teaseltally {

/// How soon a service's work is due; late-tolerant work gives way to prompt work.
enum class work_priority { prompt, late_tolerant };

/// One service that callers name in the first segment of their path.
struct service_settings {
    std::string name;
    bool keyed = false;
    std::uint32_t slots = 1;
    /// Path prefixes whose requests may be repeated.
    std::vector<std::string> idempotent_paths;
    milliseconds deadline{1000};
    milliseconds max_deadline{3000};
    std::uint32_t queue = 64;
    work_priority priority = work_priority::prompt;
    /// Share of requests that may be retried, in percent.
    std::uint32_t retry_percent = 10;
    bool hedge = false;
    /// Time without proof of life after which other data centres may take over a cell's slots;
    /// zero holds them until the operator declares the loss.
    milliseconds isolation_grace{0};
};

/// One data centre.
struct data_centre_settings {
    std::string name;
    std::string region;
    std::uint32_t cells = 1;
    /// The operator declares that nothing of this data centre runs any more.
    bool lost = false;
    /// The operator declares that every voter set of a lower epoch is gone.
    std::uint64_t voters_gone_before = 0;
};

/// One target.
struct target_settings {
    std::string name;
    std::string service;
    std::string data_centre;
    std::string address;
    std::uint32_t slots = 1;
    std::uint32_t connections = 100;
    bool checks_grants = false;
    bool draining = false;
    /// The operator declares that the target executes nothing any more.
    bool lost = false;
};

/// Limits and timings that hold for the deployment.
struct deployment_settings {
    std::string name;
    std::uint64_t seed = 0;
    std::uint32_t churn_per_minute = 64;
    std::uint32_t hot_keys = 64;
    std::uint32_t crashes_to_quarantine = 2;
    milliseconds quarantine{60'000};
    /// How long the platform keeps records.
    milliseconds retention{3'600'000};
    /// How long a repeat of a request with an idempotency key is recognised.
    milliseconds mark_window{60'000};
};

/// Text of the base and its overlays, keyed by file name; this is what is published.
struct configuration_documents {
    std::string base;
    std::map<std::string, std::string> overlays;
    bool operator==(const configuration_documents&) const = default;
};

/// The checked configuration that results from the documents.
struct configuration {
    deployment_settings deployment;
    std::vector<service_settings> services;
    std::vector<data_centre_settings> data_centres;
    std::vector<target_settings> targets;

    [[nodiscard]] const service_settings* find_service(std::string_view name) const noexcept;
    [[nodiscard]] const data_centre_settings* find_data_centre(std::string_view name) const noexcept;
    [[nodiscard]] const target_settings* find_target(std::string_view name) const noexcept;
};

/// Everything wrong with a set of documents, or the configuration.
using parsed_configuration = std::variant<configuration, std::vector<error>>;

/// Merges the overlays over the base and checks the outcome.
/// @param documents texts in INI form.
/// @returns the configuration, or every fault found, each with file, section, key and value.
[[nodiscard]] parsed_configuration parse_configuration(const configuration_documents& documents);

/// The settings of one instance.
struct instance_settings {
    std::string name;
    std::string data_centre;
    std::string address = "127.0.0.1";
    std::uint16_t caller_port = 0;
    std::uint16_t peer_port = 0;
    std::uint16_t operator_port = 0;
    std::string platform;
    /// Peer ports to ask for the state while the platform is away.
    std::vector<std::string> peers;
    std::string log_file;
    std::string log_level = "info";
};

/// Reads an instance's own settings.
/// @param text INI text with the section `instance`.
/// @param file name for messages.
/// @returns the settings or every fault found.
[[nodiscard]] std::variant<instance_settings, std::vector<error>>
parse_instance_settings(const std::string& text, const std::string& file);

} // namespace teaseltally
