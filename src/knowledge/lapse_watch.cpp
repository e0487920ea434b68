#include <teaseltally/knowledge/lapse_watch.hpp>

namespace teaseltally {

void lapse_watch::call_failed(time_point now)
{
    if (!failing_since_)
        failing_since_ = now;
}

bool lapse_watch::read_succeeded(time_point sent, time_point now)
{
    if (!failing_since_ || sent <= *failing_since_)
        return false;
    const bool ended = in_outage(now);
    failing_since_.reset();
    return ended;
}

void lapse_watch::another_reads(milliseconds age)
{
    if (age < timing_.outage_gap)
        failing_since_.reset();
}

bool lapse_watch::in_outage(time_point now) const
{
    return failing_since_ && now - *failing_since_ > timing_.outage_gap;
}

bool lapse_watch::removed(const std::string& target, time_point now, time_point outage_over)
{
    if (!in_outage(now) && now - outage_over >= timing_.outage_shadow)
        return true;
    lapsed_.emplace(target, now + timing_.return_time);
    return false;
}

std::vector<std::string> lapse_watch::take_gone(time_point now)
{
    std::vector<std::string> gone;
    if (in_outage(now))
        return gone;
    std::erase_if(lapsed_, [&](const auto& item) {
        if (now < item.second)
            return false;
        gone.push_back(item.first);
        return true;
    });
    return gone;
}

} // namespace teaseltally
