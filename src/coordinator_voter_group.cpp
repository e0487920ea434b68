#include <teaseltally/coordinator.hpp>
#include <teaseltally/log_line.hpp>

#include <algorithm>

// Membership of the voter group: heartbeats, elections, hand-overs and voter sets.

namespace teaseltally {
namespace {

/// Time without a message after which a member no longer counts as alive.
constexpr milliseconds failure_timeout{1500};
/// Time without a message after which a voter is removed from the voter set.
constexpr milliseconds removal_timeout{5000};
/// Time without messages of a majority of the voters after which a member challenges its voter group.
constexpr milliseconds challenge_timeout{6000};
/// Time that a challenged voter group has to answer with a log heartbeat.
constexpr milliseconds challenge_answer_time{3000};
/// Delay per rank before a voter claims a target without a dispatcher, so that voters do not compete.
constexpr milliseconds election_rank_delay{150};
constexpr milliseconds claim_retry_delay{250};
/// Time for which only the successor named in a resignation claims the target.
constexpr milliseconds successor_claim_time{400};
constexpr milliseconds hand_over_interval{300};
/// Time for which a leaving voter stays in the voter set, so that its vote counts for claims of its
/// successors.
constexpr milliseconds leaver_removal_delay{1000};
/// Time for which a voter of higher rank must have been alive before targets are handed over to it.
constexpr milliseconds min_successor_uptime{2500};
constexpr milliseconds min_log_heartbeat_interval{2000};
/// Maximum number of voters of a voter group; `cluster_state` enforces the same limit.
constexpr std::size_t max_group_voters = 7;

bool contains(std::span<const session_id> sessions, session_id wanted)
{
    return std::ranges::find(sessions, wanted) != sessions.end();
}

term next_term(term known)
{
    return term{number(known) + 1};
}

} // namespace

const voter_group_state* coordinator::voter_group() const
{
    const auto found = state_.voter_groups().find(group_name_);
    return found == state_.voter_groups().end() ? nullptr : &found->second;
}

bool coordinator::is_voter() const
{
    const auto* group = voter_group();
    return group != nullptr && contains(group->voters, settings_.session);
}

bool coordinator::is_alive(session_id session, time_point now) const
{
    if (session == settings_.session)
        return !stopping_;
    const auto found = peers_.find(session);
    return found != peers_.end() && !found->second.leaving_since &&
           now < found->second.last_received + failure_timeout;
}

void coordinator::adopt_voter_set(time_point now)
{
    const auto* group = voter_group();
    if (group == nullptr || group->since <= adopted_voter_set_)
        return;
    adopted_voter_set_ = group->since;
    silence_counted_from_ = now;
    voter_.adopt_voter_set(group->since, now);
    holder_.adopt_voter_set(group->since, group->voters, now);
    if (group->reset_at != reset_epoch_) {
        reset_epoch_ = group->reset_at;
        reset_seen_at_ = now;
    }
    heartbeat_due_ = true;
}

void coordinator::send_heartbeat(time_point now)
{
    const auto* group = voter_group();
    if (group == nullptr || !joined())
        return;
    heartbeat_sent_at_ = now;
    heartbeat_due_ = false;
    ++heartbeat_sequence_;
    lease_request request;
    request.from = settings_.session;
    request.cell = group_name_;
    request.voters = group->since;
    request.sequence = heartbeat_sequence_;
    request.position = state_.position();
    request.leaving = stopping_;
    request.claims = holder_.make_claims(heartbeat_sequence_, now);
    for (const session_id voter : group->voters) {
        if (voter != settings_.session)
            actions_.emplace_back(send_action{voter, request});
    }
    if (is_voter())
        receive_reply(make_reply(request, now), now);
}

lease_reply coordinator::make_reply(const lease_request& request, time_point now)
{
    lease_reply reply;
    reply.from = settings_.session;
    reply.cell = group_name_;
    reply.voters = adopted_voter_set_;
    reply.sequence = request.sequence;
    reply.position = state_.position();
    if (own_log_heartbeat_) {
        reply.beat = own_log_heartbeat_->at;
        reply.beat_age = std::chrono::ceil<milliseconds>(now - own_log_heartbeat_->sent);
    }
    if (is_voter())
        reply.answers = voter_.answer(request, now);
    return reply;
}

void coordinator::receive_request(const lease_request& request, time_point now)
{
    auto& peer = peers_[request.from];
    if (now >= peer.last_received + failure_timeout)
        peer.alive_since = now;
    peer.last_received = now;
    if (!request.leaving)
        peer.leaving_since.reset();
    else if (!peer.leaving_since)
        peer.leaving_since = now;
    if (request.cell != group_name_)
        return;
    peer.voters = std::max(peer.voters, request.voters);
    peer.position = std::max(peer.position, request.position);
    for (const auto& claim : request.claims) {
        if (claim.renewal)
            dispatcher_hints_[claim.target] = request.from;
    }
    actions_.emplace_back(send_action{request.from, make_reply(request, now)});
}

void coordinator::receive_reply(const lease_reply& reply, time_point now)
{
    if (reply.from != settings_.session) {
        auto& peer = peers_[reply.from];
        if (now >= peer.last_received + failure_timeout)
            peer.alive_since = now;
        peer.last_received = now;
        peer.voters = std::max(peer.voters, reply.voters);
        peer.position = std::max(peer.position, reply.position);
    }
    if (reply.cell != group_name_)
        return;
    if (reply.sequence == heartbeat_sequence_ && reply.beat != no_epoch) {
        const log_heartbeat reported{reply.beat, heartbeat_sent_at_ - reply.beat_age};
        if (!latest_log_heartbeat_ || reported.sent > latest_log_heartbeat_->sent)
            latest_log_heartbeat_ = reported;
    }
    holder_.receive(reply, now);
    for (const auto& answer : reply.answers) {
        auto& highest = highest_terms_[answer.target];
        highest = std::max(highest, answer.highest);
        if (answer.holder != no_session && answer.holder != settings_.session)
            dispatcher_hints_[answer.target] = answer.holder;
        if (!holder_.granted(answer.target) || held_targets_.contains(answer.target))
            continue;
        held_targets_.insert(answer.target);
        const auto token = holder_.token(answer.target).value_or(dispatcher_token{});
        const auto offered = offered_leases_.find(answer.target);
        const bool is_successor = offered != offered_leases_.end();
        const bool clean = is_successor && offered->second.clean;
        const auto* service = state_.settings_of(state_.targets()[number(answer.target)].service);
        const milliseconds wait = service == nullptr || clean ? milliseconds{} : service->max_deadline;
        predecessor_deadlines_[answer.target] = now + wait + settings_.lease.margin;
        actions_.emplace_back(dispatcher_action{
            answer.target, true, token, is_successor ? std::optional{offered->second.term} : std::nullopt});
        offered_leases_.erase(answer.target);
        log_event(log_line("dispatcher")
                      .add("target", state_.targets()[number(answer.target)].name)
                      .add("held", 1)
                      .add("voters", token.voter_set)
                      .add("term", token.term)
                      .text());
    }
}

void coordinator::receive_resign(const lease_resign& resign, time_point now)
{
    if (resign.cell != group_name_)
        return;
    voter_.receive_resign(resign);
    dispatcher_hints_.erase(resign.target);
    auto& highest = highest_terms_[resign.target];
    highest = std::max(highest, resign.term);
    if (resign.successor == settings_.session && is_voter() && !stopping_) {
        offered_leases_[resign.target] = resign;
        holder_.claim(resign.target, next_term(std::max(highest, voter_.highest_term(resign.target))), now);
        next_claim_at_[resign.target] = now + settings_.lease.claim_timeout + claim_retry_delay;
        send_heartbeat(now);
    }
    else if (resign.successor != no_session)
        next_claim_at_[resign.target] = now + successor_claim_time;
}

std::vector<session_id> coordinator::ranked_voters(target_id target, time_point now) const
{
    std::vector<session_id> ranked;
    const auto* group = voter_group();
    if (group == nullptr)
        return ranked;
    std::ranges::copy_if(group->voters, std::back_inserter(ranked),
                         [&](session_id s) { return is_alive(s, now); });
    const std::string& name = state_.targets()[number(target)].name;
    std::ranges::sort(ranked, std::greater<>{},
                      [&](session_id s) { return rendezvous_rank(name, number(s)); });
    return ranked;
}

/// Returns the dispatcher of a target according to this session's own lease, its vote and the heartbeats and
/// votes of others; `no_session` if it is unknown or the target belongs to another voter group.
session_id coordinator::known_dispatcher(target_id target, time_point now) const
{
    if (is_dispatcher(target, now))
        return settings_.session;
    if (state_.voter_group_of(target) != group_name_)
        return no_session;
    if (const auto holder = voter_.holder(target, now); holder != settings_.session && is_alive(holder, now))
        return holder;
    const auto hint = dispatcher_hints_.find(target);
    return hint != dispatcher_hints_.end() && is_alive(hint->second, now) ? hint->second : no_session;
}

std::vector<session_id> coordinator::dispatcher_candidates(target_id target, time_point now) const
{
    std::vector<session_id> candidates;
    if (const auto found = state_.voter_groups().find(state_.voter_group_of(target));
        found != state_.voter_groups().end())
        candidates = found->second.voters;
    const std::string& name = state_.targets()[number(target)].name;
    std::ranges::sort(candidates, std::greater<>{},
                      [&](session_id s) { return rendezvous_rank(name, number(s)); });
    if (const auto dispatcher = known_dispatcher(target, now); dispatcher != no_session) {
        std::erase(candidates, dispatcher);
        candidates.insert(candidates.begin(), dispatcher);
    }
    return candidates;
}

session_id coordinator::likely_dispatcher(target_id target, time_point now) const
{
    if (const auto dispatcher = known_dispatcher(target, now); dispatcher != no_session)
        return dispatcher;
    const auto candidates = dispatcher_candidates(target, now);
    return candidates.empty() ? no_session : candidates.front();
}

/// Lists the targets whose dispatcher this voter group elects.
void coordinator::list_group_targets()
{
    if (group_targets_epoch_ == state_.configured_at() && group_targets_name_ == group_name_)
        return;
    group_targets_epoch_ = state_.configured_at();
    group_targets_name_ = group_name_;
    group_targets_.clear();
    for (std::uint32_t index = 0; index < state_.targets().size(); ++index) {
        const target_id target{index};
        if (state_.settings_of(target) != nullptr && state_.voter_group_of(target) == group_name_)
            group_targets_.push_back(target);
    }
}

/// Returns whether a majority of the voters is alive. A claim is made only then, since it would otherwise
/// fail and only use up a term.
bool coordinator::majority_alive(time_point now) const
{
    const auto* group = voter_group();
    const auto recent_count =
        std::ranges::count_if(group->voters, [&](session_id s) { return is_alive(s, now); });
    return static_cast<std::size_t>(recent_count) >= majority(group->voters.size());
}

void coordinator::claim_unheld_targets(time_point now)
{
    if (!is_voter() || stopping_ || now < voter_.renewals_only_until() || !majority_alive(now))
        return;
    for (const target_id target : group_targets_) {
        if (holder_.token(target) || voter_.holder(target, now) != no_session) {
            unheld_since_.erase(target);
            continue;
        }
        const auto since = unheld_since_.try_emplace(target, now).first->second;
        const auto ranked = ranked_voters(target, now);
        const auto rank = std::ranges::find(ranked, settings_.session) - ranked.begin();
        if (now < since + rank * election_rank_delay || now < next_claim_at_[target])
            continue;
        const term known = std::max(highest_terms_[target], voter_.highest_term(target));
        holder_.claim(target, next_term(known), now);
        next_claim_at_[target] =
            now + settings_.lease.claim_timeout + rank * election_rank_delay + claim_retry_delay;
        heartbeat_due_ = true;
    }
}

/// Abandons claims that have timed out and drops leases that have expired.
void coordinator::drop_expired_leases(time_point now)
{
    for (const target_id target : holder_.expired(now)) {
        const bool was_granted = holder_.granted(target);
        if (!was_granted) {
            resign(target, no_session, false);
            continue;
        }
        holder_.release(target);
        held_targets_.erase(target);
        actions_.emplace_back(dispatcher_action{target, false, {}, {}});
        log_event(log_line("dispatcher")
                      .add("target", state_.targets()[number(target)].name)
                      .add("held", 0)
                      .add("reason", "lease lapsed")
                      .text());
    }
}

void coordinator::resign(target_id target, session_id successor, bool clean)
{
    const auto dropped = holder_.release(target);
    const auto* group = voter_group();
    if (!dropped || group == nullptr)
        return;
    const lease_resign message{settings_.session, group_name_, target, *dropped, successor, clean};
    for (const session_id voter : group->voters) {
        if (voter != settings_.session)
            actions_.emplace_back(send_action{voter, message});
    }
    voter_.receive_resign(message);
    offered_leases_.erase(target);
    if (held_targets_.erase(target) > 0) {
        actions_.emplace_back(dispatcher_action{target, false, {}, {}});
        log_event(log_line("dispatcher")
                      .add("target", state_.targets()[number(target)].name)
                      .add("held", 0)
                      .add("reason", "handed over")
                      .add("successor", successor)
                      .text());
    }
}

/// Hands a lease over to a successor without waiting for requests in flight; they end on the connections of
/// this instance.
void coordinator::hand_over(target_id target, session_id successor, time_point now)
{
    const auto predecessor_deadline = predecessor_deadlines_.find(target);
    const bool clean = !ledger_.is_busy(target) && (predecessor_deadline == predecessor_deadlines_.end() ||
                                                    now >= predecessor_deadline->second);
    next_claim_at_[target] = now + successor_claim_time;
    resign(target, successor, clean);
}

void coordinator::balance_dispatchers(time_point now)
{
    if (stopping_ || !is_voter()) {
        for (const target_id target : holder_.targets()) {
            const auto ranked = ranked_voters(target, now);
            hand_over(target, ranked.empty() ? no_session : ranked.front(), now);
        }
        return;
    }
    if (now < next_hand_over_at_ || now < voter_.renewals_only_until())
        return;
    for (const target_id target : held_targets_) {
        const auto ranked = ranked_voters(target, now);
        if (ranked.empty() || ranked.front() == settings_.session)
            continue;
        const auto& peer = peers_[ranked.front()];
        if (peer.voters != adopted_voter_set_ || now < peer.alive_since + min_successor_uptime)
            continue;
        hand_over(target, ranked.front(), now);
        next_hand_over_at_ = now + hand_over_interval;
        return;
    }
}

bool coordinator::proposes_for_group(time_point now) const
{
    const auto* group = voter_group();
    if (group == nullptr || !is_voter())
        return false;
    const auto outranks = [&](session_id s) {
        return is_alive(s, now) && rendezvous_rank(group_name_, number(s)) >
                                       rendezvous_rank(group_name_, number(settings_.session));
    };
    return stopping_ ? false : std::ranges::none_of(group->voters, outranks);
}

/// Returns the voters that are known to have adopted the current voter set.
std::vector<session_id> coordinator::acknowledged_voters() const
{
    std::vector<session_id> voters;
    for (const session_id voter : voter_group()->voters) {
        const auto found = peers_.find(voter);
        if (voter == settings_.session ||
            (found != peers_.end() && found->second.voters == adopted_voter_set_))
            voters.push_back(voter);
    }
    return voters;
}

std::optional<record_body> coordinator::voter_set_proposal(time_point now) const
{
    const auto* group = voter_group();
    if (group == nullptr || group->voters.empty()) {
        if (stopping_)
            return std::nullopt;
        return voter_change{
            group_name_, group == nullptr ? no_epoch : group->since, settings_.session, true, {}};
    }
    const auto acknowledged = acknowledged_voters();
    const bool has_majority = acknowledged.size() >= majority(group->voters.size());
    if (stopping_ && is_voter() && group->voters.size() == 1 && holder_.targets().empty())
        return voter_change{group_name_, group->since, settings_.session, false, acknowledged};
    if (!proposes_for_group(now) || !has_majority)
        return std::nullopt;
    const auto leave_due = [&](session_id session) {
        const auto found = peers_.find(session);
        return found != peers_.end() && found->second.leaving_since &&
               now >= *found->second.leaving_since + leaver_removal_delay;
    };
    const auto silent = [&](session_id session, time_point since) {
        const auto found = peers_.find(session);
        const time_point last = found == peers_.end() ? since : std::max(since, found->second.last_received);
        return now >= last + removal_timeout;
    };
    for (const session_id voter : group->voters) {
        if (voter != settings_.session && (leave_due(voter) || silent(voter, silence_counted_from_)))
            return voter_change{group_name_, group->since, voter, false, acknowledged};
    }
    for (const auto& [session, member] : state_.sessions()) {
        if (contains(group->voters, session) ||
            voter_group_name(member.description.data_centre, member.description.voter_group) != group_name_)
            continue;
        if (is_alive(session, now) && group->voters.size() < max_group_voters)
            return voter_change{group_name_, group->since, session, true, acknowledged};
        if (leave_due(session) || silent(session, silence_counted_from_))
            return session_leave{session};
    }
    return std::nullopt;
}

/// Proposes to challenge this session's voter group if no majority of its voters sends messages, and to reset
/// it to this session alone if no log heartbeat answers the challenge.
std::optional<record_body> coordinator::reset_proposal(time_point now) const
{
    const auto* group = voter_group();
    if (group == nullptr || group->voters.empty() || stopping_)
        return std::nullopt;
    std::size_t recent_count = 0;
    for (const session_id voter : group->voters) {
        const auto found = peers_.find(voter);
        const bool recent = voter == settings_.session ||
                            (found != peers_.end() && now < found->second.last_received + challenge_timeout);
        recent_count += recent ? 1 : 0;
    }
    if (recent_count >= majority(group->voters.size()) || now < silence_counted_from_ + challenge_timeout)
        return std::nullopt;
    if (group->challenged_at == no_epoch || group->challenged_at <= group->since ||
        group->challenged_at < group->log_heartbeat_at)
        return voter_challenge{group_name_, group->since};
    if (challenge_epoch_ != group->challenged_at || now < challenge_seen_at_ + challenge_answer_time)
        return std::nullopt;
    return voter_reset{group_name_, group->since, group->challenged_at, settings_.session};
}

std::optional<record_body> coordinator::log_heartbeat_proposal(time_point now)
{
    const auto* group = voter_group();
    if (group == nullptr)
        return std::nullopt;
    if (challenge_epoch_ != group->challenged_at) {
        challenge_epoch_ = group->challenged_at;
        challenge_seen_at_ = now;
    }
    if (!is_voter() || stopping_)
        return std::nullopt;
    if (group->challenged_at > group->log_heartbeat_at && group->voters.size() > 1 &&
        acknowledged_voters().size() >= majority(group->voters.size()) && proposes_for_group(now))
        return log_heartbeat_record{group_name_};
    milliseconds min_grace = milliseconds::max();
    for (const target_id target : group_targets_) {
        const auto* service = state_.settings_of(state_.targets()[number(target)].service);
        if (service != nullptr && service->isolation_grace.count() > 0)
            min_grace = std::min(min_grace, service->isolation_grace);
    }
    if (min_grace == milliseconds::max() || !proposes_for_group(now))
        return std::nullopt;
    const milliseconds interval = std::max(min_log_heartbeat_interval, min_grace / 4);
    const bool due =
        !latest_log_heartbeat_ || now >= latest_log_heartbeat_->sent + std::min(interval, min_grace / 3);
    return due ? std::optional<record_body>{log_heartbeat_record{group_name_}} : std::nullopt;
}

bool coordinator::has_recent_log_contact(service_id service, time_point now) const
{
    const auto* settings = state_.settings_of(service);
    if (settings == nullptr || settings->isolation_grace.count() == 0)
        return true;
    return latest_log_heartbeat_ && latest_log_heartbeat_->at <= state_.position() &&
           !state_.relinquished().contains({group_name_, service}) &&
           now < latest_log_heartbeat_->sent + settings->isolation_grace - settings_.lease.margin;
}

/// Returns whether dispatchers of earlier voter sets may still dispatch after a reset, so that only targets
/// that check grants may be served. This ends when the operator declares the earlier voters gone, or when the
/// isolation grace of the service and the lease margin have passed since the reset was seen. For a service
/// without isolation grace, only the declaration ends it.
bool coordinator::requires_fencing(const voter_group_state& group, const service_settings& service,
                                   time_point now) const
{
    if (group.reset_at == no_epoch || !settings_.guards.fencing_after_reset)
        return false;
    const auto* data_centre = state_.settings().find_data_centre(settings_.data_centre);
    if (data_centre != nullptr && data_centre->voters_gone_before >= number(group.reset_at))
        return false;
    return service.isolation_grace.count() == 0 ||
           now < reset_seen_at_ + service.isolation_grace + settings_.lease.margin;
}

} // namespace teaseltally
