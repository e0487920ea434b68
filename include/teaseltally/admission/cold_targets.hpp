#pragma once

#include <teaseltally/admission/target_rate_limits.hpp>

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

/// @file
/// Targets that are cold after a start: which they are, and the limits within which they get requests.

namespace teaseltally {

/// Bounds of the requests that reach a cold target in one second, over all instances: `overage` times the
/// rate that the service states, plus `slack`.
struct cold_bounds {
    double overage = 0;
    double slack = 0;
    /// Returns whether there is a bound, so that cold targets are paced.
    [[nodiscard]] bool is_set() const noexcept { return overage > 0; }
};

/// What the configuration says of the cold targets of a service.
struct cold_service {
    /// Time for which a target is cold after a start.
    milliseconds duration{0};
    /// Requests per second that a cold target takes; 0 if they are not limited.
    double per_s = 0;
};

/// Returns the rate limit for which permits are issued, so that the requests that use them stay within the
/// bounds in any second, also those of instances that issue their own permits.
[[nodiscard]] double paced_rate(double cold_per_s, const cold_bounds& bounds) noexcept;

/// Knows until when targets are cold. The limit of a cold target is one of the limits for which permits are
/// issued, under the name that `cold_permit_name` returns.
class cold_targets {
public:
    /// Returns what the configuration says of a service.
    using service_lookup = std::function<cold_service(std::string_view service)>;

    /// @param bounds bounds of the installation; no target is paced if there are none.
    explicit cold_targets(cold_bounds bounds) : bounds_(bounds) {}

    /// Records that a target started, or may have become cold for another reason.
    void on_start(const std::string& incarnation, const std::string& service, time_point at);
    /// Records that a target has said until when it is cold.
    void on_statement(const std::string& incarnation, const std::string& service, time_point until);
    /// Limit of a target that has begun or ended.
    struct limit_change {
        /// Name of the permits.
        std::string permit;
        rate_limit limit;
    };
    /// Returns the limits that begin or end, and from time to time those that go on. Forgets the targets that
    /// are no longer cold.
    [[nodiscard]] std::vector<limit_change> update(time_point now, const service_lookup& service_of);
    /// Returns the number of targets whose limits have begun and not ended.
    [[nodiscard]] std::size_t paced_count() const noexcept;

private:
    struct cold_target {
        std::string service;
        /// Time of the last start; nothing if only a statement is known.
        std::optional<time_point> started_at;
        time_point stated_until{};
        /// Limit in force; nothing if there is none.
        std::optional<double> limit;
        /// Time when the limit was last returned as a change.
        time_point limit_stated_at{};
    };

    cold_target& entry_of(const std::string& incarnation, const std::string& service);

    cold_bounds bounds_;
    std::map<std::string, cold_target, std::less<>> targets_;
};

} // namespace teaseltally
