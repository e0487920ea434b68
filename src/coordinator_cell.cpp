#include <teaseltally/coordinator.hpp>
#include <teaseltally/log_line.hpp>

#include <algorithm>

// Membership of the cell: heartbeats, elections, hand-overs and voter sets.

namespace teaseltally {
namespace {

/// Silence after which a member counts as failed for elections.
constexpr milliseconds suspect_after{1500};
/// Silence after which a voter is removed from its set.
constexpr milliseconds remove_after{5000};
/// Silence of a majority after which a member challenges its cell.
constexpr milliseconds challenge_after{6000};
/// Time that a challenged cell has to answer.
constexpr milliseconds challenge_patience{3000};
/// Head start of each rank over the next in an election.
constexpr milliseconds rank_delay{150};
constexpr milliseconds claim_backoff{250};
/// Time for which others leave a resigned target to its named successor.
constexpr milliseconds successor_grace{400};
constexpr milliseconds hand_over_interval{300};
/// Time for which a leaving voter stays in its set, so that its successors can claim.
constexpr milliseconds leave_delay{1000};
/// How long a better ranked member must have been heard before it is handed targets.
constexpr milliseconds settle_time{2500};
constexpr milliseconds least_beat_interval{2000};
constexpr std::size_t max_cell_voters = 7;

bool contains(std::span<const session_id> sessions, session_id wanted)
{
    return std::ranges::find(sessions, wanted) != sessions.end();
}

term next_term(term known)
{
    return term{number(known) + 1};
}

} // namespace

const voter_group_state* coordinator::cell() const
{
    const auto found = state_.voter_groups().find(cell_name_);
    return found == state_.voter_groups().end() ? nullptr : &found->second;
}

bool coordinator::votes() const
{
    const auto* own = cell();
    return own != nullptr && contains(own->voters, settings_.session);
}

bool coordinator::alive(session_id session, time_point now) const
{
    if (session == settings_.session)
        return !stopping_;
    const auto found = heard_.find(session);
    return found != heard_.end() && !found->second.leaving_since && now < found->second.last + suspect_after;
}

void coordinator::adopt_cell(time_point now)
{
    const auto* own = cell();
    if (own == nullptr || own->since <= adopted_)
        return;
    adopted_ = own->since;
    unheard_since_ = now;
    voter_.adopt_voter_set(own->since, now);
    holder_.adopt_voter_set(own->since, own->voters, now);
    if (own->reset_at != reset_epoch_) {
        reset_epoch_ = own->reset_at;
        reset_seen_ = now;
    }
    heartbeat_due_ = true;
}

void coordinator::heartbeat(time_point now)
{
    const auto* own = cell();
    if (own == nullptr || !joined())
        return;
    heartbeat_at_ = now;
    heartbeat_due_ = false;
    ++heartbeat_sequence_;
    lease_request request;
    request.from = settings_.session;
    request.cell = cell_name_;
    request.voters = own->since;
    request.sequence = heartbeat_sequence_;
    request.position = state_.position();
    request.leaving = stopping_;
    request.claims = holder_.make_claims(heartbeat_sequence_, now);
    for (const session_id voter : own->voters) {
        if (voter != settings_.session)
            actions_.emplace_back(send_action{voter, request});
    }
    if (votes())
        receive_reply(make_reply(request, now), now);
}

lease_reply coordinator::make_reply(const lease_request& request, time_point now)
{
    lease_reply reply;
    reply.from = settings_.session;
    reply.cell = cell_name_;
    reply.voters = adopted_;
    reply.sequence = request.sequence;
    reply.position = state_.position();
    if (own_beat_) {
        reply.beat = own_beat_->at;
        reply.beat_age = std::chrono::ceil<milliseconds>(now - own_beat_->sent);
    }
    if (votes())
        reply.answers = voter_.answer(request, now);
    return reply;
}

void coordinator::receive_request(const lease_request& request, time_point now)
{
    auto& peer = heard_[request.from];
    if (now >= peer.last + suspect_after)
        peer.first = now;
    peer.last = now;
    if (!request.leaving)
        peer.leaving_since.reset();
    else if (!peer.leaving_since)
        peer.leaving_since = now;
    if (request.cell != cell_name_)
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
        auto& peer = heard_[reply.from];
        if (now >= peer.last + suspect_after)
            peer.first = now;
        peer.last = now;
        peer.voters = std::max(peer.voters, reply.voters);
        peer.position = std::max(peer.position, reply.position);
    }
    if (reply.cell != cell_name_)
        return;
    if (reply.sequence == heartbeat_sequence_ && reply.beat != no_epoch) {
        const beat_proof proof{reply.beat, heartbeat_at_ - reply.beat_age};
        if (!proof_ || proof.sent > proof_->sent)
            proof_ = proof;
    }
    holder_.receive(reply, now);
    for (const auto& answer : reply.answers) {
        auto& highest = highest_terms_[answer.target];
        highest = std::max(highest, answer.highest);
        if (answer.holder != no_session && answer.holder != settings_.session)
            dispatcher_hints_[answer.target] = answer.holder;
        if (!holder_.granted(answer.target) || held_.contains(answer.target))
            continue;
        held_.insert(answer.target);
        const auto token = holder_.token(answer.target).value_or(dispatcher_token{});
        const auto offered = offered_.find(answer.target);
        const bool direct = offered != offered_.end();
        const bool clean = direct && offered->second.clean;
        const auto* service = state_.settings_of(state_.targets()[number(answer.target)].service);
        const milliseconds wait = service == nullptr || clean ? milliseconds{} : service->max_deadline;
        predecessor_until_[answer.target] = now + wait + settings_.lease.margin;
        actions_.emplace_back(dispatcher_action{answer.target, true, token,
                                                direct ? std::optional{offered->second.term} : std::nullopt});
        offered_.erase(answer.target);
        decide(log_line("dispatcher")
                   .add("target", state_.targets()[number(answer.target)].name)
                   .add("held", 1)
                   .add("voters", token.voter_set)
                   .add("term", token.term)
                   .text());
    }
}

void coordinator::receive_resign(const lease_resign& resign, time_point now)
{
    if (resign.cell != cell_name_)
        return;
    voter_.receive_resign(resign);
    dispatcher_hints_.erase(resign.target);
    auto& highest = highest_terms_[resign.target];
    highest = std::max(highest, resign.term);
    if (resign.successor == settings_.session && votes() && !stopping_) {
        offered_[resign.target] = resign;
        holder_.claim(resign.target, next_term(std::max(highest, voter_.highest_term(resign.target))), now);
        claim_after_[resign.target] = now + settings_.lease.claim_timeout + claim_backoff;
        heartbeat(now);
    }
    else if (resign.successor != no_session)
        claim_after_[resign.target] = now + successor_grace;
}

std::vector<session_id> coordinator::ranked_voters(target_id target, time_point now) const
{
    std::vector<session_id> ranked;
    const auto* own = cell();
    if (own == nullptr)
        return ranked;
    std::ranges::copy_if(own->voters, std::back_inserter(ranked),
                         [&](session_id s) { return alive(s, now); });
    const std::string& name = state_.targets()[number(target)].name;
    std::ranges::sort(ranked, std::greater<>{},
                      [&](session_id s) { return rendezvous_rank(name, number(s)); });
    return ranked;
}

/// @returns the dispatcher of a target of this cell as its votes and heartbeats show it, or `no_session`.
session_id coordinator::known_dispatcher(target_id target, time_point now) const
{
    if (dispatches(target, now))
        return settings_.session;
    if (state_.voter_group_of(target) != cell_name_)
        return no_session;
    if (const auto holder = voter_.holder(target, now); holder != settings_.session && alive(holder, now))
        return holder;
    const auto hint = dispatcher_hints_.find(target);
    return hint != dispatcher_hints_.end() && alive(hint->second, now) ? hint->second : no_session;
}

std::vector<session_id> coordinator::possible_dispatchers(target_id target, time_point now) const
{
    std::vector<session_id> out;
    if (const auto found = state_.voter_groups().find(state_.voter_group_of(target));
        found != state_.voter_groups().end())
        out = found->second.voters;
    const std::string& name = state_.targets()[number(target)].name;
    std::ranges::sort(out, std::greater<>{}, [&](session_id s) { return rendezvous_rank(name, number(s)); });
    if (const auto known = known_dispatcher(target, now); known != no_session) {
        std::erase(out, known);
        out.insert(out.begin(), known);
    }
    return out;
}

session_id coordinator::likely_dispatcher(target_id target, time_point now) const
{
    if (const auto known = known_dispatcher(target, now); known != no_session)
        return known;
    const auto possible = possible_dispatchers(target, now);
    return possible.empty() ? no_session : possible.front();
}

/// Lists the targets whose dispatcher this cell chooses.
void coordinator::list_cell_targets()
{
    if (cell_targets_at_ == state_.configured_at() && cell_targets_of_ == cell_name_)
        return;
    cell_targets_at_ = state_.configured_at();
    cell_targets_of_ = cell_name_;
    cell_targets_.clear();
    for (std::uint32_t index = 0; index < state_.targets().size(); ++index) {
        const target_id target{index};
        if (state_.settings_of(target) != nullptr && state_.voter_group_of(target) == cell_name_)
            cell_targets_.push_back(target);
    }
}

/// A claim without a majority would only use up a term.
bool coordinator::hears_majority(time_point now) const
{
    const auto* own = cell();
    const auto heard = std::ranges::count_if(own->voters, [&](session_id s) { return alive(s, now); });
    return static_cast<std::size_t>(heard) >= majority(own->voters.size());
}

void coordinator::elect(time_point now)
{
    if (!votes() || stopping_ || now < voter_.renewals_only_until() || !hears_majority(now))
        return;
    for (const target_id target : cell_targets_) {
        if (holder_.token(target) || voter_.holder(target, now) != no_session) {
            free_since_.erase(target);
            continue;
        }
        const auto since = free_since_.try_emplace(target, now).first->second;
        const auto ranked = ranked_voters(target, now);
        const auto rank = std::ranges::find(ranked, settings_.session) - ranked.begin();
        if (now < since + rank * rank_delay || now < claim_after_[target])
            continue;
        const term known = std::max(highest_terms_[target], voter_.highest_term(target));
        holder_.claim(target, next_term(known), now);
        claim_after_[target] = now + settings_.lease.claim_timeout + rank * rank_delay + claim_backoff;
        heartbeat_due_ = true;
    }
}

/// Drops claims that failed and rights that lapsed.
void coordinator::settle_rights(time_point now)
{
    for (const target_id target : holder_.expired(now)) {
        const bool won = holder_.granted(target);
        if (!won) {
            resign(target, no_session, false);
            continue;
        }
        holder_.release(target);
        held_.erase(target);
        actions_.emplace_back(dispatcher_action{target, false, {}, {}});
        decide(log_line("dispatcher")
                   .add("target", state_.targets()[number(target)].name)
                   .add("held", 0)
                   .add("reason", "lease lapsed")
                   .text());
    }
}

void coordinator::resign(target_id target, session_id successor, bool clean)
{
    const auto dropped = holder_.release(target);
    const auto* own = cell();
    if (!dropped || own == nullptr)
        return;
    const lease_resign message{settings_.session, cell_name_, target, *dropped, successor, clean};
    for (const session_id voter : own->voters) {
        if (voter != settings_.session)
            actions_.emplace_back(send_action{voter, message});
    }
    voter_.receive_resign(message);
    offered_.erase(target);
    if (held_.erase(target) > 0) {
        actions_.emplace_back(dispatcher_action{target, false, {}, {}});
        decide(log_line("dispatcher")
                   .add("target", state_.targets()[number(target)].name)
                   .add("held", 0)
                   .add("reason", "handed over")
                   .add("successor", successor)
                   .text());
    }
}

/// Gives a right to a successor without a wait. Work in flight ends on this instance's connections.
void coordinator::hand_over(target_id target, session_id successor, time_point now)
{
    const auto waited = predecessor_until_.find(target);
    const bool clean = !ledger_.busy(target) && (waited == predecessor_until_.end() || now >= waited->second);
    claim_after_[target] = now + successor_grace;
    resign(target, successor, clean);
}

void coordinator::balance_dispatchers(time_point now)
{
    if (stopping_ || !votes()) {
        for (const target_id target : holder_.targets()) {
            const auto ranked = ranked_voters(target, now);
            hand_over(target, ranked.empty() ? no_session : ranked.front(), now);
        }
        return;
    }
    if (now < hand_over_at_ || now < voter_.renewals_only_until())
        return;
    for (const target_id target : held_) {
        const auto ranked = ranked_voters(target, now);
        if (ranked.empty() || ranked.front() == settings_.session)
            continue;
        const auto& peer = heard_[ranked.front()];
        if (peer.voters != adopted_ || now < peer.first + settle_time)
            continue;
        hand_over(target, ranked.front(), now);
        hand_over_at_ = now + hand_over_interval;
        return;
    }
}

bool coordinator::proposes_for_cell(time_point now) const
{
    const auto* own = cell();
    if (own == nullptr || !votes())
        return false;
    const auto better = [&](session_id s) {
        return alive(s, now) && rendezvous_rank(cell_name_, number(s)) >
                                    rendezvous_rank(cell_name_, number(settings_.session));
    };
    return stopping_ ? false : std::ranges::none_of(own->voters, better);
}

/// Voters that are known to stand at the present voter set.
std::vector<session_id> coordinator::acknowledged_voters() const
{
    std::vector<session_id> voters;
    for (const session_id voter : cell()->voters) {
        const auto found = heard_.find(voter);
        if (voter == settings_.session || (found != heard_.end() && found->second.voters == adopted_))
            voters.push_back(voter);
    }
    return voters;
}

std::optional<record_body> coordinator::voter_proposal(time_point now) const
{
    const auto* own = cell();
    if (own == nullptr || own->voters.empty()) {
        if (stopping_)
            return std::nullopt;
        return voter_change{cell_name_, own == nullptr ? no_epoch : own->since, settings_.session, true, {}};
    }
    const auto acknowledged = acknowledged_voters();
    const bool agreed = acknowledged.size() >= majority(own->voters.size());
    if (stopping_ && votes() && own->voters.size() == 1 && holder_.targets().empty())
        return voter_change{cell_name_, own->since, settings_.session, false, acknowledged};
    if (!proposes_for_cell(now) || !agreed)
        return std::nullopt;
    const auto left = [&](session_id session) {
        const auto found = heard_.find(session);
        return found != heard_.end() && found->second.leaving_since &&
               now >= *found->second.leaving_since + leave_delay;
    };
    const auto silent = [&](session_id session, time_point since) {
        const auto found = heard_.find(session);
        const time_point last = found == heard_.end() ? since : std::max(since, found->second.last);
        return now >= last + remove_after;
    };
    for (const session_id voter : own->voters) {
        if (voter != settings_.session && (left(voter) || silent(voter, unheard_since_)))
            return voter_change{cell_name_, own->since, voter, false, acknowledged};
    }
    for (const auto& [session, member] : state_.sessions()) {
        if (contains(own->voters, session) ||
            voter_group_name(member.description.data_centre, member.description.voter_group) != cell_name_)
            continue;
        if (alive(session, now) && own->voters.size() < max_cell_voters)
            return voter_change{cell_name_, own->since, session, true, acknowledged};
        if (left(session) || silent(session, unheard_since_))
            return session_leave{session};
    }
    return std::nullopt;
}

/// Challenges a cell whose majority is silent, and starts it anew if nobody answers.
std::optional<record_body> coordinator::reset_proposal(time_point now) const
{
    const auto* own = cell();
    if (own == nullptr || own->voters.empty() || stopping_)
        return std::nullopt;
    std::size_t heard = 0;
    for (const session_id voter : own->voters) {
        const auto found = heard_.find(voter);
        const bool recent = voter == settings_.session ||
                            (found != heard_.end() && now < found->second.last + challenge_after);
        heard += recent ? 1 : 0;
    }
    if (heard >= majority(own->voters.size()) || now < unheard_since_ + challenge_after)
        return std::nullopt;
    if (own->challenged_at == no_epoch || own->challenged_at <= own->since ||
        own->challenged_at < own->heartbeat_at)
        return voter_challenge{cell_name_, own->since};
    if (challenge_epoch_ != own->challenged_at || now < challenge_seen_ + challenge_patience)
        return std::nullopt;
    return voter_reset{cell_name_, own->since, own->challenged_at, settings_.session};
}

std::optional<record_body> coordinator::beat_proposal(time_point now)
{
    const auto* own = cell();
    if (own == nullptr)
        return std::nullopt;
    if (challenge_epoch_ != own->challenged_at) {
        challenge_epoch_ = own->challenged_at;
        challenge_seen_ = now;
    }
    if (!votes() || stopping_)
        return std::nullopt;
    if (own->challenged_at > own->heartbeat_at && own->voters.size() > 1 &&
        acknowledged_voters().size() >= majority(own->voters.size()) && proposes_for_cell(now))
        return voter_group_heartbeat{cell_name_};
    milliseconds least = milliseconds::max();
    for (const target_id target : cell_targets_) {
        const auto* service = state_.settings_of(state_.targets()[number(target)].service);
        if (service != nullptr && service->isolation_grace.count() > 0)
            least = std::min(least, service->isolation_grace);
    }
    if (least == milliseconds::max() || !proposes_for_cell(now))
        return std::nullopt;
    const milliseconds interval = std::max(least_beat_interval, least / 4);
    const bool due = !proof_ || now >= proof_->sent + std::min(interval, least / 3);
    return due ? std::optional<record_body>{voter_group_heartbeat{cell_name_}} : std::nullopt;
}

bool coordinator::isolation_proven(service_id service, time_point now) const
{
    const auto* settings = state_.settings_of(service);
    if (settings == nullptr || settings->isolation_grace.count() == 0)
        return true;
    return proof_ && proof_->at <= state_.position() &&
           !state_.relinquished().contains({cell_name_, service}) &&
           now < proof_->sent + settings->isolation_grace - settings_.lease.margin;
}

/// After a reset, dispatchers of the earlier voter sets may still be at work until this is over.
bool coordinator::fencing_only(const voter_group_state& cell, const service_settings& service,
                               time_point now) const
{
    if (cell.reset_at == no_epoch || !settings_.guards.reset_needs_fencing)
        return false;
    const auto* data_centre = state_.settings().find_data_centre(settings_.data_centre);
    if (data_centre != nullptr && data_centre->voters_gone_before >= number(cell.reset_at))
        return false;
    return service.isolation_grace.count() == 0 ||
           now < reset_seen_ + service.isolation_grace + settings_.lease.margin;
}

} // namespace teaseltally
