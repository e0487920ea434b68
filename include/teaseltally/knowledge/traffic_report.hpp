#pragma once

#include <teaseltally/ownership/assignment.hpp>
#include <teaseltally/ownership/target_speed.hpp>
#include <teaseltally/types.hpp>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

/// @file
/// Reports of instances to the coordinator about their traffic. Instances that relay reports sum them, so
/// that the coordinator receives reports from few instances.

namespace teaseltally {

/// Requests by key and speeds of keyed targets, observed since the last report, and targets that are leaving.
struct traffic_report {
    /// Number of requests by service and key number.
    std::map<std::string, std::map<key_number, unsigned>, std::less<>> requests;
    /// Speed samples by target id.
    std::map<std::string, speed_report, std::less<>> speeds;

    /// Incarnations of targets that have said that they are leaving although their registrations do not.
    std::set<std::string, std::less<>> leaving;

    /// Adds the content of another report.
    void merge(const traffic_report& other);
};

/// Report of one instance that also covers the instances that report to it.
struct instance_report {
    /// Identifier of the sender.
    std::string instance;
    /// Number of instances whose traffic is summed, including the sender.
    unsigned instance_count = 1;
    /// Session of the coordinator that the report is addressed to; nothing if the receiver is to relay the
    /// report.
    std::optional<std::uint64_t> coordinator;
    /// Traffic of all these instances.
    traffic_report traffic;
};

/// Answer to a report.
struct report_answer {
    /// Number of instances, as counted by the coordinator; nothing if it is not known.
    std::optional<unsigned> instance_count;
    /// Incarnations of targets that are leaving, as in `traffic_report`.
    std::set<std::string, std::less<>> leaving;
};

/// Returns the answer to a report as a JSON message.
[[nodiscard]] std::string encode(const report_answer& answer);
/// Parses the answer to a report.
/// @returns the answer, or nothing if any part of the message is malformed.
[[nodiscard]] std::optional<report_answer> decode_report_answer(std::string_view text);

/// Returns the report as a JSON message.
[[nodiscard]] std::string encode(const instance_report& report);
/// Parses the message of a report.
/// @returns the report, or nothing if any part of the message is malformed.
[[nodiscard]] std::optional<instance_report> decode_report(std::string_view text);

/// Sums the reports of other instances for the next report of this one.
class report_aggregator {
public:
    /// Adds the report of another instance.
    void add(const instance_report& report, time_point now);
    /// Removes and returns the traffic added since the last call.
    [[nodiscard]] traffic_report extract_traffic();
    /// Returns the number of instances that have reported within the last 15 s, directly or through others,
    /// including this one.
    [[nodiscard]] unsigned instance_count(time_point now) const;

private:
    /// Last report of one instance.
    struct reporter_state {
        unsigned instance_count = 1;
        time_point received_at{};
    };
    std::map<std::string, reporter_state, std::less<>> reporters_;
    traffic_report pending_;
};

} // namespace teaseltally
