#pragma once

#include <teaseltally/ownership/assignment.hpp>
#include <teaseltally/ownership/target_speed.hpp>
#include <teaseltally/types.hpp>

#include <map>
#include <optional>
#include <string>
#include <string_view>

/// @file
/// What instances tell the coordinator of their traffic. Reports are summed on the way, so that the
/// coordinator hears from few instances.

namespace teaseltally {

/// Requests by key and the speed of keyed targets, seen since the last report.
struct traffic_report {
    std::map<std::string, std::map<key_number, unsigned>, std::less<>> requests;
    std::map<std::string, speed_report, std::less<>> speeds;

    /// Adds what another report saw.
    void merge(const traffic_report& other);
};

/// Report of an instance and of those that report to it.
struct instance_report {
    std::string instance;
    /// Number of instances whose traffic is summed, the sender included.
    unsigned instance_count = 1;
    /// Session of the coordinator that is meant; nothing if the report is for whoever relays it.
    std::optional<std::uint64_t> coordinator;
    traffic_report traffic;
};

/// Writes a report as a message.
[[nodiscard]] std::string encode(const instance_report& report);
/// Reads a report.
/// @returns the report, or nothing if the message is malformed.
[[nodiscard]] std::optional<instance_report> decode_report(std::string_view text);

/// Sums the reports of other instances.
class report_aggregator {
public:
    /// Takes in the report of another instance.
    void add(const instance_report& report, time_point now);
    /// @returns the traffic taken in since the last call.
    [[nodiscard]] traffic_report extract_traffic();
    /// @returns this instance and all that were heard of lately, directly or through others.
    [[nodiscard]] unsigned instance_count(time_point now) const;

private:
    struct reporter_state {
        unsigned instance_count = 1;
        time_point received_at{};
    };
    std::map<std::string, reporter_state, std::less<>> reporters_;
    traffic_report pending_;
};

} // namespace teaseltally
