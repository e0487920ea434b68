#include <teaseltally/knowledge/target_reachability.hpp>

#include <algorithm>
#include <utility>

namespace teaseltally {
namespace {

/// Number of targets whose connections must fail before the links are probed: one target may be down.
constexpr std::size_t suspicious_failures = 2;
/// Time without anything from a target after which the links are probed while requests wait.
constexpr milliseconds silence_limit{500};

} // namespace

void target_reachability::on_contact(time_point now)
{
    last_contact_at_ = now;
    failed_targets_.clear();
    isolated_ = false;
}

void target_reachability::on_connection_failed(std::string target)
{
    if (failed_targets_.size() < suspicious_failures)
        failed_targets_.insert(std::move(target));
}

void target_reachability::on_request_sent(time_point now)
{
    if (requests_in_flight_++ == 0)
        waiting_since_ = now;
}

void target_reachability::on_request_ended()
{
    if (requests_in_flight_ > 0)
        --requests_in_flight_;
}

bool target_reachability::on_probes_failed(time_point sent_at)
{
    if (isolated_ || last_contact_at_ > sent_at)
        return false;
    isolated_ = true;
    return true;
}

bool target_reachability::needs_probe(time_point now) const
{
    const bool silent =
        requests_in_flight_ > 0 && now - std::max(last_contact_at_, waiting_since_) > silence_limit;
    return isolated_ || silent || failed_targets_.size() >= suspicious_failures;
}

} // namespace teaseltally
