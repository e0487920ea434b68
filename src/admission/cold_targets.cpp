#include <teaseltally/admission/cold_targets.hpp>

#include <algorithm>

namespace teaseltally {
namespace {

/// Requests in the worst second for each request per second for which permits are issued: those that the
/// issuer has saved up, and those of 1.5 s, as permits are held for up to 0.5 s. Instances that cannot reach
/// the issuer add 1.5 s of their parts.
constexpr double requests_per_issued = 3.325;
/// Time after which a start is forgotten if the configuration does not say what it means.
constexpr milliseconds max_unknown_time{60'000};
/// Interval at which limits in force are stated again. It is less than the time after which the issuer of
/// permits forgets them.
constexpr milliseconds restatement_interval{20'000};

} // namespace

double paced_rate(double cold_per_s, const cold_bounds& bounds) noexcept
{
    return std::min(cold_per_s, (cold_per_s * bounds.overage + bounds.slack) / requests_per_issued);
}

cold_targets::cold_target& cold_targets::entry_of(const std::string& incarnation, const std::string& service)
{
    auto& target = targets_[incarnation];
    target.service = service;
    return target;
}

void cold_targets::on_start(const std::string& incarnation, const std::string& service, time_point at)
{
    if (!bounds_.is_set())
        return;
    auto& target = entry_of(incarnation, service);
    target.started_at = std::max(target.started_at.value_or(at), at);
}

void cold_targets::on_statement(const std::string& incarnation, const std::string& service, time_point until)
{
    if (!bounds_.is_set())
        return;
    auto& target = entry_of(incarnation, service);
    target.stated_until = std::max(target.stated_until, until);
}

std::vector<cold_targets::limit_change> cold_targets::update(time_point now, const service_lookup& service_of)
{
    std::vector<limit_change> changes;
    for (auto element = targets_.begin(); element != targets_.end();) {
        auto& [incarnation, target] = *element;
        const auto service = service_of(target.service);
        auto until = target.stated_until;
        if (target.started_at)
            until = std::max<time_point>(until, *target.started_at + service.duration);
        std::optional<double> limit;
        if (now < until && service.per_s > 0)
            limit = paced_rate(service.per_s, bounds_);
        if (limit != target.limit || (limit && now - target.limit_stated_at >= restatement_interval)) {
            changes.push_back({cold_permit_name(incarnation), {limit, now}});
            target.limit_stated_at = now;
        }
        target.limit = limit;
        const bool is_known = service.duration.count() > 0 || !target.started_at;
        const bool has_ended = now >= until && (is_known || now >= *target.started_at + max_unknown_time);
        element = has_ended ? targets_.erase(element) : std::next(element);
    }
    return changes;
}

std::size_t cold_targets::paced_count() const noexcept
{
    return static_cast<std::size_t>(std::ranges::count_if(
        targets_, [](const auto& element) { return element.second.limit.has_value(); }));
}

} // namespace teaseltally
