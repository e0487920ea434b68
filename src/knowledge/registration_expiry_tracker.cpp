#include <teaseltally/knowledge/registration_expiry_tracker.hpp>

namespace teaseltally {

void registration_expiry_tracker::on_call_failure(time_point now)
{
    if (!failing_since_)
        failing_since_ = now;
}

bool registration_expiry_tracker::on_read_success(time_point sent, time_point now)
{
    if (failing_since_ && sent <= *failing_since_)
        return false;
    const bool ended = in_outage(now);
    failing_since_.reset();
    peer_read_at_.reset();
    return ended;
}

void registration_expiry_tracker::on_peer_read(milliseconds age, time_point now)
{
    if (age >= timing_.outage_threshold)
        return;
    // A read that others sent before the calls of this instance failed may precede an outage.
    const auto sent = now - age;
    if (peer_read_at_ || (failing_since_ && sent > *failing_since_))
        peer_read_at_ = sent;
    failing_since_.reset();
}

bool registration_expiry_tracker::in_outage(time_point now) const
{
    const bool others_read = peer_read_at_ && now - *peer_read_at_ <= timing_.peer_read_validity;
    return failing_since_ && now - *failing_since_ > timing_.outage_threshold && !others_read;
}

bool registration_expiry_tracker::on_removal(const std::string& target, time_point now,
                                             time_point last_outage_end)
{
    if (!in_outage(now) && now - last_outage_end >= timing_.post_outage_window)
        return true;
    reregistration_deadlines_.emplace(target, now + timing_.reregistration_time);
    return false;
}

std::vector<std::string> registration_expiry_tracker::extract_expired(time_point now)
{
    std::vector<std::string> expired;
    if (in_outage(now))
        return expired;
    std::erase_if(reregistration_deadlines_, [&](const auto& entry) {
        if (now < entry.second)
            return false;
        expired.push_back(entry.first);
        return true;
    });
    return expired;
}

} // namespace teaseltally
