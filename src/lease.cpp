#include <teaseltally/lease.hpp>

#include <teaseltally/cluster_state.hpp>

#include <algorithm>

namespace teaseltally {
namespace {

/// Maximum number of heartbeats whose sending time is kept; a reply to an older heartbeat is ignored.
constexpr std::size_t max_remembered_heartbeats = 64;

} // namespace

void lease_voter::adopt_voter_set(epoch voter_set, time_point now)
{
    if (voter_set <= voter_set_)
        return;
    voter_set_ = voter_set;
    if (guards_.wait_after_adoption)
        renewals_only_until_ = now + timings_.duration;
}

bool lease_voter::grants(const support& current, session_id from, const lease_claim& claim,
                         time_point now) const
{
    const bool supported = current.holder == from && current.term == claim.term && now < current.until;
    if (supported)
        return true;
    const bool free = now >= current.until || !guards_.single_holder;
    if (claim.renewal)
        return free;
    return free && now >= renewals_only_until_ && claim.term > current.highest_term;
}

std::vector<lease_answer> lease_voter::answer(const lease_request& request, time_point now)
{
    std::vector<lease_answer> answers;
    if (guards_.voter_set_epoch && request.voters != voter_set_)
        return answers;
    for (const auto& claim : request.claims) {
        support& current = supports_[claim.target];
        const bool granted = grants(current, request.from, claim, now);
        if (granted) {
            current.holder = request.from;
            current.term = claim.term;
            current.highest_term = std::max(current.highest_term, claim.term);
            current.until = now + timings_.duration;
        }
        const session_id holder = now < current.until ? current.holder : no_session;
        answers.push_back({claim.target, claim.term, granted, holder, current.highest_term});
    }
    return answers;
}

void lease_voter::receive_resign(const lease_resign& resign)
{
    const auto found = supports_.find(resign.target);
    if (found == supports_.end())
        return;
    support& current = found->second;
    if (current.holder == resign.from && current.term == resign.term)
        current.until = time_point{};
}

session_id lease_voter::holder(target_id target, time_point now) const
{
    const auto found = supports_.find(target);
    return found != supports_.end() && now < found->second.until ? found->second.holder : no_session;
}

term lease_voter::highest_term(target_id target) const
{
    const auto found = supports_.find(target);
    return found == supports_.end() ? term{} : found->second.highest_term;
}

void lease_holder::adopt_voter_set(epoch voter_set, std::span<const session_id> members, time_point now)
{
    if (voter_set <= voter_set_)
        return;
    for (auto& [target, lease] : leases_) {
        lease.previous_set_until = supported_until(lease);
        lease.support.clear();
    }
    std::erase_if(leases_, [&](const auto& entry) {
        return !entry.second.granted || entry.second.previous_set_until <= now;
    });
    voter_set_ = voter_set;
    members_.assign(members.begin(), members.end());
    sent_times_.clear();
}

void lease_holder::claim(target_id target, term term, time_point now)
{
    lease_state claimed;
    claimed.term = term;
    claimed.claimed_at = now;
    leases_[target] = claimed;
}

std::optional<term> lease_holder::release(target_id target)
{
    const auto found = leases_.find(target);
    if (found == leases_.end())
        return std::nullopt;
    const term released_term = found->second.term;
    leases_.erase(found);
    return released_term;
}

std::vector<lease_claim> lease_holder::make_claims(std::uint64_t sequence, time_point now)
{
    std::vector<lease_claim> claims;
    for (const auto& [target, lease] : leases_) {
        if (!lease.granted || holds(target, now))
            claims.push_back({target, lease.term, lease.granted});
    }
    sent_times_[sequence] = now;
    if (sent_times_.size() > max_remembered_heartbeats)
        sent_times_.erase(sent_times_.begin());
    return claims;
}

std::optional<time_point> lease_holder::sent_at(std::uint64_t sequence) const
{
    const auto found = sent_times_.find(sequence);
    return found == sent_times_.end() ? std::nullopt : std::optional{found->second};
}

void lease_holder::receive(const lease_reply& reply, time_point now)
{
    const auto sent = sent_at(reply.sequence);
    if (!sent || (guards_.voter_set_epoch && reply.voters != voter_set_))
        return;
    if (std::ranges::find(members_, reply.from) == members_.end())
        return;
    for (const auto& answer : reply.answers) {
        const auto found = leases_.find(answer.target);
        if (found == leases_.end() || !answer.granted || answer.term != found->second.term)
            continue;
        lease_state& lease = found->second;
        auto& latest_sent_at = lease.support[reply.from];
        latest_sent_at = std::max(latest_sent_at, *sent);
        if (lease.granted)
            continue;
        lease.required_position = std::max(lease.required_position, reply.position);
        if (now < supported_until(lease)) {
            lease.granted = true;
            lease.token = {voter_set_, lease.term};
        }
    }
}

time_point lease_holder::supported_until(const lease_state& lease) const
{
    std::vector<time_point> times;
    for (const session_id member : members_) {
        const auto found = lease.support.find(member);
        times.push_back(found == lease.support.end() ? time_point{} : found->second);
    }
    if (times.empty())
        return lease.previous_set_until;
    const auto majority_sent_at = times.begin() + static_cast<std::ptrdiff_t>(majority(times.size()) - 1);
    std::nth_element(times.begin(), majority_sent_at, times.end(), std::greater<>{});
    const time_point until = *majority_sent_at == time_point{}
                                 ? time_point{}
                                 : *majority_sent_at + timings_.duration - timings_.margin;
    return std::max(until, lease.previous_set_until);
}

bool lease_holder::holds(target_id target, time_point now) const
{
    const auto found = leases_.find(target);
    if (found == leases_.end() || !found->second.granted)
        return false;
    return !guards_.expiry || now < supported_until(found->second);
}

time_point lease_holder::valid_until(target_id target) const
{
    const auto found = leases_.find(target);
    return found == leases_.end() || !found->second.granted ? time_point{} : supported_until(found->second);
}

std::optional<dispatcher_token> lease_holder::token(target_id target) const
{
    const auto found = leases_.find(target);
    if (found == leases_.end() || !found->second.granted)
        return std::nullopt;
    return found->second.token;
}

epoch lease_holder::required_position(target_id target) const
{
    const auto found = leases_.find(target);
    return found == leases_.end() ? epoch{} : found->second.required_position;
}

std::vector<target_id> lease_holder::expired(time_point now) const
{
    std::vector<target_id> out;
    for (const auto& [target, lease] : leases_) {
        const bool has_expired = lease.granted ? (guards_.expiry && now >= supported_until(lease))
                                               : now >= lease.claimed_at + timings_.claim_timeout;
        if (has_expired)
            out.push_back(target);
    }
    return out;
}

std::vector<target_id> lease_holder::targets() const
{
    std::vector<target_id> out;
    for (const auto& [target, lease] : leases_)
        out.push_back(target);
    return out;
}

bool lease_holder::granted(target_id target) const
{
    const auto found = leases_.find(target);
    return found != leases_.end() && found->second.granted;
}

} // namespace teaseltally
