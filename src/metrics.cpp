#include <teaseltally/metrics.hpp>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <array>

namespace teaseltally {
namespace {

namespace acc = boost::accumulators;
constexpr std::array quantiles{0.5, 0.95, 0.99, 0.999};
/// Number of requests below which `latency_p95` returns zero.
constexpr std::size_t min_requests_for_quantiles = 20;

using latency_accumulator =
    acc::accumulator_set<double,
                         acc::stats<acc::tag::count, acc::tag::mean, acc::tag::extended_p_square_quantile>>;

} // namespace

struct metrics::service_metrics {
    latency_accumulator latency{acc::extended_p_square_probabilities = quantiles};
    std::map<result_code, std::uint64_t> results;

    [[nodiscard]] double quantile(double probability) const
    {
        return acc::quantile(latency, acc::quantile_probability = probability);
    }
};

metrics::metrics() = default;
metrics::~metrics() = default;

void metrics::record_request(std::string_view service, result_code code, microseconds latency)
{
    auto found = services_.find(service);
    if (found == services_.end())
        found = services_.emplace(std::string{service}, std::make_unique<service_metrics>()).first;
    found->second->latency(static_cast<double>(latency.count()));
    ++found->second->results[code];
}

void metrics::increment(std::string_view name, std::uint64_t amount)
{
    if (const auto found = counters_.find(name); found != counters_.end())
        found->second += amount;
    else
        counters_.emplace(std::string{name}, amount);
}

void metrics::set_gauge(std::string_view name, double value)
{
    gauges_.insert_or_assign(std::string{name}, value);
}

microseconds metrics::latency_p95(std::string_view service) const
{
    constexpr double probability = 0.95;
    const auto found = services_.find(service);
    if (found == services_.end() || acc::count(found->second->latency) < min_requests_for_quantiles)
        return {};
    return microseconds{static_cast<std::int64_t>(found->second->quantile(probability))};
}

std::string metrics::prometheus_text() const
{
    std::string out = "# TYPE teaseltally_requests_total counter\n";
    for (const auto& [service, service_values] : services_) {
        for (const auto& [code, count] : service_values->results) {
            out += "teaseltally_requests_total{service=\"" + service + "\",code=\"" +
                   std::string{name_of(code)} + "\",class=\"" + std::string{name_of(class_of(code))} +
                   "\"} " + std::to_string(count) + "\n";
        }
    }
    out += "# TYPE teaseltally_latency_microseconds summary\n";
    for (const auto& [service, service_values] : services_) {
        if (acc::count(service_values->latency) < min_requests_for_quantiles)
            continue;
        for (const double quantile : quantiles) {
            out += "teaseltally_latency_microseconds{service=\"" + service + "\",quantile=\"" +
                   std::to_string(quantile) + "\"} " + std::to_string(service_values->quantile(quantile)) +
                   "\n";
        }
    }
    for (const auto& [name, value] : counters_)
        out += "teaseltally_" + name + " " + std::to_string(value) + "\n";
    for (const auto& [name, value] : gauges_)
        out += "teaseltally_" + name + " " + std::to_string(value) + "\n";
    return out;
}

} // namespace teaseltally
