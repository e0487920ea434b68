#include <teaseltally/lease.hpp>

#include <teaseltally/cluster_state.hpp>

#include <algorithm>

namespace teaseltally {
namespace {

/// Heartbeats whose sending time is remembered.
constexpr std::size_t max_remembered_heartbeats = 64;

} // namespace

void lease_voter::adopt(epoch voters, time_point now)
{
    if (voters <= voters_)
        return;
    voters_ = voters;
    if (guards_.wait_after_adoption)
        renewals_only_until_ = now + timings_.duration;
}

bool lease_voter::grants(const support& present, session_id from, const lease_claim& claim,
                         time_point now) const
{
    const bool supported = present.holder == from && present.term == claim.term && now < present.until;
    if (supported)
        return true;
    const bool free = now >= present.until || !guards_.single_holder;
    if (claim.renewal)
        return free;
    return free && now >= renewals_only_until_ && claim.term > present.highest;
}

std::vector<lease_answer> lease_voter::answer(const lease_request& request, time_point now)
{
    std::vector<lease_answer> answers;
    if (guards_.voter_set_epoch && request.voters != voters_)
        return answers;
    for (const auto& claim : request.claims) {
        support& present = supports_[claim.target];
        const bool granted = grants(present, request.from, claim, now);
        if (granted) {
            present.holder = request.from;
            present.term = claim.term;
            present.highest = std::max(present.highest, claim.term);
            present.until = now + timings_.duration;
        }
        const session_id holder = now < present.until ? present.holder : no_session;
        answers.push_back({claim.target, claim.term, granted, holder, present.highest});
    }
    return answers;
}

void lease_voter::resigned(const lease_resign& resign)
{
    const auto found = supports_.find(resign.target);
    if (found == supports_.end())
        return;
    support& present = found->second;
    if (present.holder == resign.from && present.term == resign.term)
        present.until = time_point{};
}

session_id lease_voter::holder(target_id target, time_point now) const
{
    const auto found = supports_.find(target);
    return found != supports_.end() && now < found->second.until ? found->second.holder : no_session;
}

term lease_voter::highest(target_id target) const
{
    const auto found = supports_.find(target);
    return found == supports_.end() ? term{} : found->second.highest;
}

void lease_holder::adopt(epoch voters, std::span<const session_id> members, time_point now)
{
    if (voters <= voters_)
        return;
    for (auto& [target, right] : rights_) {
        right.earlier_until = supported_until(right);
        right.support.clear();
    }
    std::erase_if(rights_,
                  [&](const auto& entry) { return !entry.second.won || entry.second.earlier_until <= now; });
    voters_ = voters;
    members_.assign(members.begin(), members.end());
    sent_.clear();
}

void lease_holder::claim(target_id target, term term, time_point now)
{
    right fresh;
    fresh.term = term;
    fresh.claimed_at = now;
    rights_[target] = fresh;
}

std::optional<term> lease_holder::drop(target_id target)
{
    const auto found = rights_.find(target);
    if (found == rights_.end())
        return std::nullopt;
    const term dropped = found->second.term;
    rights_.erase(found);
    return dropped;
}

std::vector<lease_claim> lease_holder::make_claims(std::uint64_t sequence, time_point now)
{
    std::vector<lease_claim> claims;
    for (const auto& [target, right] : rights_) {
        if (!right.won || holds(target, now))
            claims.push_back({target, right.term, right.won});
    }
    sent_[sequence] = now;
    if (sent_.size() > max_remembered_heartbeats)
        sent_.erase(sent_.begin());
    return claims;
}

std::optional<time_point> lease_holder::sent_at(std::uint64_t sequence) const
{
    const auto found = sent_.find(sequence);
    return found == sent_.end() ? std::nullopt : std::optional{found->second};
}

void lease_holder::receive(const lease_reply& reply, time_point now)
{
    const auto sent = sent_at(reply.sequence);
    if (!sent || (guards_.voter_set_epoch && reply.voters != voters_))
        return;
    if (std::ranges::find(members_, reply.from) == members_.end())
        return;
    for (const auto& answer : reply.answers) {
        const auto found = rights_.find(answer.target);
        if (found == rights_.end() || !answer.granted || answer.term != found->second.term)
            continue;
        right& held = found->second;
        auto& supported = held.support[reply.from];
        supported = std::max(supported, *sent);
        if (held.won)
            continue;
        held.required_position = std::max(held.required_position, reply.position);
        if (now < supported_until(held)) {
            held.won = true;
            held.token = {voters_, held.term};
        }
    }
}

time_point lease_holder::supported_until(const right& right) const
{
    std::vector<time_point> times;
    for (const session_id member : members_) {
        const auto found = right.support.find(member);
        times.push_back(found == right.support.end() ? time_point{} : found->second);
    }
    if (times.empty())
        return right.earlier_until;
    const auto decisive = times.begin() + static_cast<std::ptrdiff_t>(majority(times.size()) - 1);
    std::nth_element(times.begin(), decisive, times.end(), std::greater<>{});
    const time_point until =
        *decisive == time_point{} ? time_point{} : *decisive + timings_.duration - timings_.margin;
    return std::max(until, right.earlier_until);
}

bool lease_holder::holds(target_id target, time_point now) const
{
    const auto found = rights_.find(target);
    if (found == rights_.end() || !found->second.won)
        return false;
    return !guards_.lapse || now < supported_until(found->second);
}

time_point lease_holder::valid_until(target_id target) const
{
    const auto found = rights_.find(target);
    return found == rights_.end() || !found->second.won ? time_point{} : supported_until(found->second);
}

std::optional<dispatcher_token> lease_holder::token(target_id target) const
{
    const auto found = rights_.find(target);
    if (found == rights_.end() || !found->second.won)
        return std::nullopt;
    return found->second.token;
}

epoch lease_holder::required_position(target_id target) const
{
    const auto found = rights_.find(target);
    return found == rights_.end() ? epoch{} : found->second.required_position;
}

std::vector<target_id> lease_holder::lapsed(time_point now) const
{
    std::vector<target_id> out;
    for (const auto& [target, right] : rights_) {
        const bool over = right.won ? (guards_.lapse && now >= supported_until(right))
                                    : now >= right.claimed_at + timings_.claim_timeout;
        if (over)
            out.push_back(target);
    }
    return out;
}

std::vector<target_id> lease_holder::targets() const
{
    std::vector<target_id> out;
    for (const auto& [target, right] : rights_)
        out.push_back(target);
    return out;
}

bool lease_holder::won(target_id target) const
{
    const auto found = rights_.find(target);
    return found != rights_.end() && found->second.won;
}

} // namespace teaseltally
