#include <teaseltally/ownership/target_speed.hpp>

#include <algorithm>
#include <cmath>

namespace teaseltally {
namespace {

constexpr microseconds window{1'000'000};
/// Weight of one answer that did not wait.
constexpr double alone_weight = 0.1;
/// Weight of one window in which the target was saturated.
constexpr double saturated_weight = 0.35;
/// Share of answers that must state waiting requests for the window to count as saturated.
constexpr double saturated_share = 0.8;
constexpr unsigned least_answers = 4;

} // namespace

void target_speed::observe(double sample_us, double weight) noexcept
{
    service_us_ = service_us_ <= 0 ? sample_us : service_us_ + (sample_us - service_us_) * weight;
}

void target_speed::add(const speed_report& report) noexcept
{
    answers_ += report.answers;
    saturated_ += report.saturated;
    if (report.alone == 0)
        return;
    const double average = static_cast<double>(report.alone_total.count()) / report.alone;
    observe(average, 1 - std::pow(1 - alone_weight, report.alone));
}

void target_speed::tick(time_point now, unsigned slots) noexcept
{
    if (now - window_start_ < window)
        return;
    const auto elapsed = static_cast<double>((now - window_start_).count());
    if (window_start_ != time_point{} && answers_ >= least_answers &&
        saturated_ >= answers_ * saturated_share)
        observe(elapsed * slots / answers_, saturated_weight);
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
