#pragma once

#include <teaseltally/result.hpp>
#include <teaseltally/types.hpp>

#include <map>
#include <memory>
#include <string>
#include <string_view>

/// @file
/// Counters and latency distributions.

namespace teaseltally {

/// Collects what an instance did, for each service.
class metrics {
public:
    metrics();
    ~metrics();
    metrics(const metrics&) = delete;
    metrics& operator=(const metrics&) = delete;
    metrics(metrics&&) = delete;
    metrics& operator=(metrics&&) = delete;

    /// Notes an answered request.
    void record_request(std::string_view service, result_code code, microseconds latency);
    /// Adds to a counter.
    void increment(std::string_view name, std::uint64_t amount = 1);
    /// Sets a gauge.
    void set_gauge(std::string_view name, double value);
    /// @returns the 95th percentile of a service's latency, or zero while too few requests were seen.
    [[nodiscard]] microseconds latency_p95(std::string_view service) const;
    /// @returns Prometheus text.
    [[nodiscard]] std::string prometheus_text() const;

private:
    struct service_metrics;
    std::map<std::string, std::unique_ptr<service_metrics>, std::less<>> services_;
    std::map<std::string, std::uint64_t, std::less<>> counters_;
    std::map<std::string, double, std::less<>> gauges_;
};

} // namespace teaseltally
