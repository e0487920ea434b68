#include <teaseltally/admission/target_load.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>

namespace teaseltally {
namespace {

/// Time in which a report loses most of its meaning: a few service times of today's targets.
constexpr double report_age_us = 400'000;
/// Weight of one answer in the average service time.
constexpr double service_weight = 0.15;
/// The same for an answer that waited at the target for an unknown part of its time.
constexpr double queued_weight = 0.05;
/// Weight of one answer or refusal in the rate of refusals.
constexpr double refusal_weight = 0.2;
/// How much slower a target answers that has just started (the sheets of both sites).
constexpr double cold_factor = 2.0;
constexpr milliseconds first_pause{150};
constexpr milliseconds longest_pause{2000};
/// A target is stalled after this many service times without an answer, and at least `least_stall`.
constexpr double stall_services = 4.0;
constexpr microseconds least_stall{500'000};
/// Penalty of a target that refuses everything, in service times.
constexpr double refusal_penalty = 4.0;
constexpr unsigned most_doublings = 5;

} // namespace

std::optional<stated_load> parse_stated_load(std::string_view text) noexcept
{
    std::array<unsigned, 3> values{};
    const char* at = text.data();
    const char* const end = at + text.size();
    for (std::size_t index = 0; index < values.size(); ++index) {
        if (index > 0 && (at == end || *at++ != ','))
            return std::nullopt;
        const auto [stop, bad] = std::from_chars(at, end, values[index]);
        if (bad != std::errc{})
            return std::nullopt;
        at = stop;
    }
    if (at != end || values[2] == 0)
        return std::nullopt;
    return stated_load{values[0], values[1], values[2]};
}

void target_load::started(time_point now) noexcept
{
    if (in_flight_++ == 0)
        progress_at_ = now;
}

void target_load::ended() noexcept
{
    if (in_flight_ > 0)
        --in_flight_;
}

microseconds target_load::answered(time_point now, microseconds took, double occupancy_at_start) noexcept
{
    progress_at_ = now;
    failures_ = 0;
    paused_until_ = {};
    const double queueing = std::max(1.0, occupancy_at_start / slots_);
    double sample = static_cast<double>(took.count()) / queueing;
    if (now < cold_until_)
        sample /= cold_factor;
    const bool queued = occupancy_at_start > slots_;
    ++answers_;
    const double weight = std::max(queued ? queued_weight : service_weight, 1.0 / answers_);
    service_us_ += (sample - service_us_) * weight;
    refusal_rate_ -= refusal_rate_ * refusal_weight;
    return microseconds{static_cast<std::int64_t>(sample)};
}

void target_load::refused(time_point now) noexcept
{
    progress_at_ = now;
    refusal_rate_ += (1.0 - refusal_rate_) * refusal_weight;
}

void target_load::failed(time_point now) noexcept
{
    const auto pause = first_pause * (1U << std::min(failures_, most_doublings));
    ++failures_;
    paused_until_ = now + std::min(pause, longest_pause);
}

void target_load::reported(time_point now, const stated_load& report) noexcept
{
    const double total = report.running + report.waiting;
    // The request whose answer carries the report is no longer among those that are running.
    others_ = std::max(0.0, total - std::max(0.0, static_cast<double>(in_flight_) - 1));
    reported_at_ = now;
    slots_ = report.slots;
}

double target_load::occupancy(time_point now) const noexcept
{
    const auto age = static_cast<double>((now - reported_at_).count());
    return in_flight_ + others_ * std::exp(-age / report_age_us);
}

microseconds target_load::expected_answer(time_point now) const noexcept
{
    const double queueing = std::max(1.0, (occupancy(now) + 1) / slots_);
    double expected = service_us_ * queueing * (1 + refusal_rate_ * refusal_penalty);
    if (now < cold_until_)
        expected *= cold_factor;
    return microseconds{static_cast<std::int64_t>(expected)};
}

bool target_load::usable(time_point now) const noexcept
{
    return now >= paused_until_ && !(failures_ > 0 && in_flight_ > 0) && !stalled(now);
}

bool target_load::stalled(time_point now) const noexcept
{
    const microseconds limit{static_cast<std::int64_t>(service_us_ * stall_services)};
    return in_flight_ > 0 && now - progress_at_ > std::max(limit, least_stall);
}

} // namespace teaseltally
