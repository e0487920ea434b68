#include <teaseltally/ownership/target_speed.hpp>

#include <algorithm>
#include <cmath>

namespace teaseltally {
namespace {

/// Time over which the rate of answers is measured.
constexpr microseconds window_length{1'000'000};
/// Weight of one unqueued answer in the moving average.
constexpr double unqueued_weight = 0.1;
/// Weight of one window in which the target was saturated in the moving average.
constexpr double saturated_window_weight = 0.35;
/// Share of answers that must report waiting requests for a window to count as saturated.
constexpr double min_saturated_share = 0.8;
/// Minimum number of answers from which the rate of a window is computed.
constexpr unsigned min_answers = 4;

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
    const double average = static_cast<double>(report.unqueued_total.count()) / report.unqueued;
    observe(average, 1 - std::pow(1 - unqueued_weight, report.unqueued));
}

void target_speed::tick(time_point now, unsigned slots) noexcept
{
    if (now - window_start_ < window_length)
        return;
    const auto elapsed = static_cast<double>((now - window_start_).count());
    if (window_start_ != time_point{} && answers_ >= min_answers &&
        saturated_ >= answers_ * min_saturated_share)
        observe(elapsed * slots / answers_, saturated_window_weight);
    window_start_ = now;
    answers_ = saturated_ = 0;
}

std::optional<microseconds> target_speed::service_time() const noexcept
{
    if (service_us_ <= 0)
        return std::nullopt;
    return microseconds{std::max<std::int64_t>(1, std::llround(service_us_))};
}

} // namespace teaseltally
