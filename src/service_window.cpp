#include <teaseltally/service_window.hpp>

namespace teaseltally {
namespace {

constexpr std::int64_t seconds_per_minute = 60;

std::int64_t second_of(time_point now)
{
    return now.time_since_epoch() / std::chrono::seconds{1};
}

} // namespace

service_window::minute& service_window::bucket(time_point now)
{
    const std::int64_t present = second_of(now) / seconds_per_minute;
    minute& found = minutes_[static_cast<std::size_t>(present) % minutes];
    if (found.number != present)
        found = {present, 0, 0};
    return found;
}

void service_window::close_second(time_point now)
{
    const std::int64_t present = second_of(now);
    if (present == second_)
        return;
    if (failed_ && !done_)
        ++bucket(time_point{std::chrono::seconds{second_}}).unavailable;
    second_ = present;
    failed_ = false;
    done_ = false;
}

void service_window::note_answer(result_class answer, time_point now)
{
    close_second(now);
    done_ = done_ || answer == result_class::done;
    failed_ = failed_ || answer == result_class::not_run || answer == result_class::unknown;
}

void service_window::note_moves(std::uint64_t count, time_point now)
{
    bucket(now).moves += count;
}

std::uint64_t service_window::unavailable_seconds(time_point now)
{
    close_second(now);
    const std::int64_t present = second_of(now) / seconds_per_minute;
    std::uint64_t sum = 0;
    for (const auto& each : minutes_)
        sum += each.number > present - static_cast<std::int64_t>(minutes) ? each.unavailable : 0;
    return sum;
}

std::uint64_t service_window::moves(time_point now)
{
    const std::int64_t present = second_of(now) / seconds_per_minute;
    std::uint64_t sum = 0;
    for (const auto& each : minutes_)
        sum += each.number > present - static_cast<std::int64_t>(minutes) ? each.moves : 0;
    return sum;
}

} // namespace teaseltally
