#include <teaseltally/service_window.hpp>

namespace teaseltally {
namespace {

constexpr std::int64_t seconds_per_minute = 60;

std::int64_t to_seconds(time_point now)
{
    return now.time_since_epoch() / std::chrono::seconds{1};
}

} // namespace

service_window::minute_bucket& service_window::bucket(time_point now)
{
    const std::int64_t current = to_seconds(now) / seconds_per_minute;
    minute_bucket& entry = buckets_[static_cast<std::size_t>(current) % bucket_count];
    if (entry.number != current)
        entry = {current, 0, 0};
    return entry;
}

void service_window::close_second(time_point now)
{
    const std::int64_t current = to_seconds(now);
    if (current == current_second_)
        return;
    if (has_failure_ && !has_success_)
        ++bucket(time_point{std::chrono::seconds{current_second_}}).unavailable;
    current_second_ = current;
    has_failure_ = false;
    has_success_ = false;
}

void service_window::add_answer(result_class answer, time_point now)
{
    close_second(now);
    has_success_ = has_success_ || answer == result_class::done;
    has_failure_ = has_failure_ || answer == result_class::not_run || answer == result_class::unknown;
}

void service_window::add_moves(std::uint64_t count, time_point now)
{
    bucket(now).moves += count;
}

std::uint64_t service_window::unavailable_seconds(time_point now)
{
    close_second(now);
    const std::int64_t current = to_seconds(now) / seconds_per_minute;
    std::uint64_t sum = 0;
    for (const auto& entry : buckets_)
        sum += entry.number > current - static_cast<std::int64_t>(bucket_count) ? entry.unavailable : 0;
    return sum;
}

std::uint64_t service_window::moves(time_point now)
{
    const std::int64_t current = to_seconds(now) / seconds_per_minute;
    std::uint64_t sum = 0;
    for (const auto& entry : buckets_)
        sum += entry.number > current - static_cast<std::int64_t>(bucket_count) ? entry.moves : 0;
    return sum;
}

} // namespace teaseltally
