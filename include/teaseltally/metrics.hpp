#pragma once

#include <teaseltally/result.hpp>
#include <teaseltally/types.hpp>

#include <map>
#include <memory>
#include <string>
#include <string_view>

/// @file
/// Counters, gauges and latency quantiles of an instance.

namespace teaseltally {

/// Collects the metrics of an instance.
class metrics {
public:
    /// Creates metrics without values.
    metrics();
    ~metrics();
    metrics(const metrics&) = delete;
    metrics& operator=(const metrics&) = delete;
    metrics(metrics&&) = delete;
    metrics& operator=(metrics&&) = delete;

    /// Records a request that received a response.
    /// @param service name of the service, or "-" if it is unknown.
    /// @param latency time from the arrival of the request to its response.
    void record_request(std::string_view service, result_code code, microseconds latency);
    /// Adds to a counter, which starts at zero.
    /// @param name name without the prefix `teaseltally_`.
    void increment(std::string_view name, std::uint64_t amount = 1);
    /// Sets a gauge.
    /// @param name name without the prefix `teaseltally_`.
    void set_gauge(std::string_view name, double value);
    /// Returns the 95th percentile of a service's latency, or zero while fewer than 20 of its requests
    /// have been recorded.
    [[nodiscard]] microseconds latency_p95(std::string_view service) const;
    /// Returns all metrics in the Prometheus text format.
    [[nodiscard]] std::string prometheus_text() const;

private:
    struct service_metrics;
    std::map<std::string, std::unique_ptr<service_metrics>, std::less<>> services_;
    std::map<std::string, std::uint64_t, std::less<>> counters_;
    std::map<std::string, double, std::less<>> gauges_;
};

} // namespace teaseltally
