#include <teaseltally/ownership/target_speed.hpp>

#include <algorithm>
#include <cmath>

namespace teaseltally {
namespace {

/// Time over which the rate of responses is measured.
constexpr microseconds window_length{1'000'000};
/// Weight of one unqueued response in the moving average of the service time.
constexpr double unqueued_weight = 0.1;
/// Weight of one saturated window in the moving average of the service time.
constexpr double saturated_window_weight = 0.35;
/// Minimum share of responses with waiting requests at which a window counts as saturated.
constexpr double min_saturated_share = 0.8;
/// Minimum number of responses in a window for its rate to be used.
constexpr unsigned min_answers = 4;
/// Minimum number of unqueued responses for an estimate.
constexpr unsigned min_samples = 4;

} // namespace

void target_speed::observe(double sample_us, double weight) noexcept
{
    service_us_ = service_us_ <= 0 ? sample_us : service_us_ + (sample_us - service_us_) * weight;
}

void target_speed::add(const speed_report& report) noexcept
{
    answers_ += report.answers;
    saturated_ += report.saturated;
    if (report.unqueued == 0)
        return;
    samples_ = std::min(samples_ + report.unqueued, min_samples);
    const double average = static_cast<double>(report.unqueued_total.count()) / report.unqueued;
    observe(average, 1 - std::pow(1 - unqueued_weight, report.unqueued));
}

void target_speed::tick(time_point now, unsigned slots) noexcept
{
    if (now - window_start_ < window_length)
        return;
    const auto elapsed = static_cast<double>((now - window_start_).count());
    if (window_start_ != time_point{} && answers_ >= min_answers &&
        saturated_ >= answers_ * min_saturated_share) {
        observe(elapsed * slots / answers_, saturated_window_weight);
        samples_ = min_samples;
    }
    window_start_ = now;
    answers_ = saturated_ = 0;
}

std::optional<microseconds> target_speed::service_time() const noexcept
{
    if (samples_ < min_samples)
        return std::nullopt;
    return microseconds{std::max<std::int64_t>(1, std::llround(service_us_))};
}

} // namespace teaseltally
