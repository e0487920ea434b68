#include <teaseltally/admission/target_load.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>

namespace teaseltally {
namespace {

/// Minimum time constant of the exponential decay of a load report: a few service times of fast targets. A
/// report of a queue that takes longer to be executed decays in that time.
constexpr double min_report_decay_us = 400'000;
/// Number of requests per slot assumed at a target that counts as full.
constexpr double full_requests_per_slot = 3.0;
/// Factor on an instance's equal share of the requests at a target, since callers are not spread evenly over
/// the instances.
constexpr double share_allowance = 2.0;
/// Weight of one response in the average service time.
constexpr double sample_weight = 0.15;
/// Weight of the response to a request that was queued at the target, since its queueing time is unknown.
constexpr double queued_sample_weight = 0.05;
/// Weight of one response or refusal in the refusal rate.
constexpr double refusal_weight = 0.2;
/// Ratio of the service time after a start to the normal one, according to the data sheets of both sites.
constexpr double cold_factor = 2.0;
constexpr milliseconds initial_backoff{150};
constexpr milliseconds max_backoff{2000};
/// Time without a response or refusal after which a target is stalled, in service times; at least
/// `min_stall_time`.
constexpr double stall_service_times = 4.0;
constexpr microseconds min_stall_time{500'000};
/// Amount by which the expected latency of a target that refuses all requests is increased, as a multiple of
/// its latency without refusals.
constexpr double refusal_penalty = 4.0;
constexpr unsigned max_backoff_doublings = 5;
/// Time constant of the exponential decay of a reported duration of work, which changes many times a second.
constexpr double duration_decay_us = 100'000;
/// Weight of one report in the average duration.
constexpr double duration_weight = 0.05;
constexpr double percent = 100;

} // namespace

std::optional<reported_load> parse_reported_load(std::string_view text) noexcept
{
    constexpr std::size_t required = 3;
    std::array<unsigned, required + 1> values{0, 0, 0, reported_load{}.duration_percent};
    const char* position = text.data();
    const char* const end = position + text.size();
    for (std::size_t index = 0; index < values.size() && (index < required || position != end); ++index) {
        if (index > 0 && (position == end || *position++ != ','))
            return std::nullopt;
        const auto [parsed_end, code] = std::from_chars(position, end, values[index]);
        if (code != std::errc{})
            return std::nullopt;
        position = parsed_end;
    }
    if (position != end || values[2] == 0 || values[3] == 0)
        return std::nullopt;
    return reported_load{values[0], values[1], values[2], values[3]};
}

void target_load::on_request_sent(time_point now) noexcept
{
    if (in_flight_++ == 0)
        last_progress_at_ = now;
}

void target_load::on_request_ended() noexcept
{
    if (in_flight_ > 0)
        --in_flight_;
}

microseconds target_load::on_response(time_point now, microseconds latency,
                                      double occupancy_at_start) noexcept
{
    last_progress_at_ = now;
    consecutive_failures_ = 0;
    backoff_until_ = {};
    const double queueing = std::max(1.0, occupancy_at_start / slots_);
    double sample = static_cast<double>(latency.count()) / queueing;
    if (now < cold_until_)
        sample /= cold_factor;
    sample /= relative_duration(now);
    const bool queued = occupancy_at_start > slots_;
    ++response_count_;
    const double weight = std::max(queued ? queued_sample_weight : sample_weight, 1.0 / response_count_);
    service_us_ += (sample - service_us_) * weight;
    refusal_rate_ -= refusal_rate_ * refusal_weight;
    return microseconds{static_cast<std::int64_t>(sample)};
}

void target_load::on_refusal(time_point now, bool is_full) noexcept
{
    last_progress_at_ = now;
    if (is_full && occupancy(now) < slots_ * full_requests_per_slot)
        set_external_occupancy(now, slots_ * full_requests_per_slot - in_flight_);
    refusal_rate_ += (1.0 - refusal_rate_) * refusal_weight;
}

void target_load::on_failure(time_point now) noexcept
{
    // Requests that fail together show one failure.
    if (now < backoff_until_)
        return;
    const auto backoff = initial_backoff * (1U << std::min(consecutive_failures_, max_backoff_doublings));
    ++consecutive_failures_;
    backoff_until_ = now + std::min(backoff, max_backoff);
}

void target_load::on_load_report(time_point now, const reported_load& report) noexcept
{
    const double total = report.running + report.waiting;
    // The target no longer counts the request whose response carries the report.
    slots_ = report.slots;
    set_external_occupancy(now, total - std::max(0.0, static_cast<double>(in_flight_) - 1));
    duration_ = report.duration_percent / percent;
    duration_at_ = now;
    average_duration_ += (duration_ - average_duration_) * duration_weight;
}

double target_load::relative_duration(time_point now) const noexcept
{
    const auto age = static_cast<double>((now - duration_at_).count());
    return 1 + (duration_ / average_duration_ - 1) * std::exp(-age / duration_decay_us);
}

void target_load::set_external_occupancy(time_point now, double requests) noexcept
{
    external_occupancy_ = std::max(0.0, requests);
    report_decay_us_ = std::max(min_report_decay_us, service_us_ * external_occupancy_ / slots_);
    reported_at_ = now;
}

double target_load::occupancy(time_point now) const noexcept
{
    const auto age = static_cast<double>((now - reported_at_).count());
    return in_flight_ + external_occupancy_ * std::exp(-age / report_decay_us_);
}

microseconds target_load::queueing_latency(time_point now) const noexcept
{
    const double queueing = std::max(1.0, (occupancy(now) + 1) / slots_);
    const double expected =
        service_us_ * queueing * relative_duration(now) * (now < cold_until_ ? cold_factor : 1);
    return microseconds{static_cast<std::int64_t>(expected)};
}

microseconds target_load::expected_latency(time_point now) const noexcept
{
    const auto expected = static_cast<double>(queueing_latency(now).count());
    return microseconds{static_cast<std::int64_t>(expected * (1 + refusal_rate_ * refusal_penalty))};
}

bool target_load::usable(time_point now) const noexcept
{
    return now >= backoff_until_ && !(consecutive_failures_ > 0 && in_flight_ > 0) && !stalled(now);
}

bool target_load::has_room_in_share(time_point now, unsigned instances) const noexcept
{
    const double equal_share = slots_ * max_requests_per_slot / instances;
    // Requests without progress may have been lost, so that they take no room.
    const double share = std::max(1.0, std::ceil(equal_share * share_allowance)) + (stalled(now) ? 1 : 0);
    return now >= backoff_until_ && in_flight_ + 1 <= share && has_room(now);
}

bool target_load::stalled(time_point now) const noexcept
{
    const microseconds limit{static_cast<std::int64_t>(service_us_ * stall_service_times)};
    return in_flight_ > 0 && now - last_progress_at_ > std::max(limit, min_stall_time);
}

} // namespace teaseltally
