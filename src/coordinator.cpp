#include <teaseltally/coordinator.hpp>

#include <teaseltally/log_line.hpp>

#include <algorithm>
#include <utility>

namespace teaseltally {
namespace {

/// Time after the start of draining for which a target still receives new requests of keyed services, so that
/// its slots can move to other targets first.
constexpr milliseconds drain_dispatch_time{3000};
constexpr milliseconds append_retry_interval{1000};
constexpr milliseconds rejected_append_delay{200};

} // namespace

coordinator::coordinator(coordinator_settings settings)
    : settings_(std::move(settings)), voter_(settings_.lease, settings_.guards.lease),
      holder_(settings_.lease, settings_.guards.lease)
{
    state_.set_guards(settings_.guards.fold);
}

void coordinator::apply_record(epoch at, std::string_view record, time_point now)
{
    const auto decoded = decode_record(record, "control:" + std::to_string(number(at)));
    if (const auto* decode_error = failure(decoded)) {
        state_.skip(at);
        log_event(
            log_line("record_skipped").add("offset", at).add("problem", to_string(*decode_error)).text());
        return;
    }
    const auto& parsed = std::get<control_record>(decoded);
    const bool is_new = at > state_.position();
    const auto outcome = state_.apply(at, parsed);
    if (!is_new)
        return;
    const bool is_own = parsed.session == settings_.session;
    if (is_own && pending_append_ && parsed.sequence >= pending_append_->sequence) {
        if (pending_append_->is_heartbeat && outcome.code == result_code::ok)
            own_log_heartbeat_ = log_heartbeat{at, pending_append_->first_sent};
        if (outcome.code != result_code::ok)
            next_proposal_at_ = now + rejected_append_delay;
        pending_append_.reset();
    }
    log_event(log_line("record")
                  .add("offset", at)
                  .add("author", parsed.session)
                  .add("kind", parsed.body.index())
                  .add("outcome", name_of(outcome.code))
                  .add("applied", outcome.applied)
                  .text());
    if (outcome.code == result_code::ok)
        on_state_changed(now);
    if (outcome.code == result_code::ok)
        count_moves(at, parsed.body, outcome.applied);
}

/// Adds the accepted moves of a record to `move_counts_` and logs each of them.
void coordinator::count_moves(epoch at, const record_body& body, std::size_t applied)
{
    const auto log_placement = [&](service_id service, std::string_view kind, auto item, target_id to) {
        log_event(log_line("placement")
                      .add("service", service)
                      .add(kind, item)
                      .add("epoch", at)
                      .add("target", state_.targets()[number(to)].name)
                      .text());
    };
    if (const auto* move = std::get_if<slot_move>(&body)) {
        move_counts_[move->service] += applied;
        for (const auto& entry : move->slots) {
            if (state_.services()[number(move->service)].slots[number(entry.slot)].since == at)
                log_placement(move->service, "slot", entry.slot, entry.to);
        }
    }
    else if (const auto* key = std::get_if<key_move>(&body)) {
        ++move_counts_[key->service];
        log_placement(key->service, "key", key->key, key->to);
    }
}

bool coordinator::restore(const cluster_state& state, time_point now)
{
    if (state.position() <= state_.position())
        return false;
    state_ = state;
    state_.set_guards(settings_.guards.fold);
    if (pending_append_ && state_.last_sequence(settings_.session) >= pending_append_->sequence)
        pending_append_.reset();
    on_state_changed(now);
    log_event(log_line("restored").add("position", state_.position()).text());
    return true;
}

/// Updates the members that are derived from the state: voter group, voter set, log heartbeats, draining and
/// accepting targets, and direct releases.
void coordinator::on_state_changed(time_point now)
{
    ownership_changed_ = true;
    if (const auto self = state_.sessions().find(settings_.session); self != state_.sessions().end()) {
        group_index_ = self->second.description.voter_group;
        group_name_ = voter_group_name(settings_.data_centre, group_index_);
        adopt_voter_set(now);
        list_group_targets();
    }
    for (const auto& [name, group] : state_.voter_groups()) {
        auto& seen = log_heartbeats_seen_[name];
        if (seen.at != group.log_heartbeat_at)
            seen = {group.log_heartbeat_at, now};
    }
    for (std::uint32_t index = 0; index < state_.targets().size(); ++index) {
        const target_id target{index};
        const auto* settings = state_.settings_of(target);
        if (settings != nullptr && settings->draining)
            draining_since_.try_emplace(target, now);
        else
            draining_since_.erase(target);
        if (state_.accepts_slots(target))
            accepting_since_.try_emplace(target, now);
        else
            accepting_since_.erase(target);
    }
    std::erase_if(direct_releases_,
                  [&](const auto& entry) { return is_release_obsolete(entry.first, entry.second); });
}

/// Returns whether a release that was received as a message is obsolete: its record has been applied, or the
/// hot key has a newer owner or no override any more. A release for an epoch that has not been applied yet is
/// not obsolete.
bool coordinator::is_release_obsolete(const owned_item& item, epoch owner_epoch) const
{
    if (owner_epoch > state_.position())
        return false;
    const auto& [service, reference] = item;
    const auto& [hot, slot_or_key] = reference;
    if (!hot)
        return !state_.unreleased().contains({service, slot_id{static_cast<std::uint32_t>(slot_or_key)}});
    const auto found = state_.hot_keys().find({service, key_hash{slot_or_key}});
    return found == state_.hot_keys().end() || found->second.since != owner_epoch || found->second.released();
}

void coordinator::receive(const peer_message& message, time_point now)
{
    if (const auto* request = std::get_if<lease_request>(&message))
        receive_request(*request, now);
    else if (const auto* reply = std::get_if<lease_reply>(&message))
        receive_reply(*reply, now);
    else if (const auto* resign = std::get_if<lease_resign>(&message))
        receive_resign(*resign, now);
    else if (const auto* notice = std::get_if<release_notice>(&message)) {
        for (const auto& entry : notice->entries)
            direct_releases_[{entry.service, {entry.hot, entry.slot_or_key}}] = entry.since;
    }
    else if (const auto* report = std::get_if<load_report>(&message)) {
        loads_[report->target] = *report;
        loads_received_at_[report->target] = now;
    }
}

void coordinator::append_finished(time_point now)
{
    if (!pending_append_)
        return;
    pending_append_->in_flight = false;
    pending_append_->retry_at = now + append_retry_interval;
}

void coordinator::mark_revoked(std::span<const release_entry> entries)
{
    for (const auto& entry : entries)
        revoked_items_[{entry.service, {entry.hot, entry.slot_or_key}}] = entry.since;
}

void coordinator::broadcast(const peer_message& message)
{
    for (const auto& [session, member] : state_.sessions()) {
        if (session != settings_.session)
            actions_.emplace_back(send_action{session, message});
    }
}

void coordinator::record_grant(target_id target, time_point until)
{
    auto& expiry = grant_expiries_[target];
    expiry = std::max(expiry, until);
}

void coordinator::record_target_condition(target_id target, target_condition condition)
{
    observed_conditions_[target] = condition;
}

void coordinator::stop(time_point now)
{
    stopping_ = true;
    heartbeat_due_ = true;
    tick(now);
}

bool coordinator::stopped() const
{
    return stopping_ && holder_.targets().empty() && !is_voter();
}

void coordinator::tick(time_point now)
{
    ledger_.remove_expired(now, settings_.lease.margin);
    drop_expired_leases(now);
    claim_unheld_targets(now);
    balance_dispatchers(now);
    if (heartbeat_due_ || now >= heartbeat_sent_at_ + settings_.lease.heartbeat)
        send_heartbeat(now);
    release_idle(now);
    report_loads(now);
    propose(now);
}

std::vector<coordinator_action> coordinator::take_actions()
{
    return std::exchange(actions_, {});
}

void coordinator::log_event(std::string line)
{
    actions_.emplace_back(log_event_action{std::move(line)});
}

bool coordinator::is_behind() const
{
    return std::ranges::any_of(held_targets_, [&](target_id target) {
        return state_.position() < holder_.required_position(target);
    });
}

bool coordinator::is_dispatcher(target_id target, time_point now) const
{
    return holder_.holds(target, now);
}

std::optional<dispatch_refusal> coordinator::check(const dispatch_request& request, time_point now) const
{
    const auto* target = state_.settings_of(request.target);
    const auto* service = state_.settings_of(request.service);
    if (target == nullptr || service == nullptr || state_.targets()[number(request.target)].lost)
        return dispatch_refusal{result_code::not_run_no_owner};
    const bool leased = settings_.guards.lease_at_dispatch ? holder_.holds(request.target, now)
                                                           : holder_.granted(request.target);
    if (!leased)
        return dispatch_refusal{result_code::not_run_not_dispatcher, likely_dispatcher(request.target, now)};
    const epoch required_position = std::max(request.min_position, holder_.required_position(request.target));
    if (settings_.guards.caught_up_before_serving && state_.position() < required_position)
        return dispatch_refusal{result_code::not_run_behind, settings_.session};
    const voter_group_state* own_group = voter_group();
    if (own_group == nullptr || (!target->checks_grants && settings_.guards.fencing_after_reset &&
                                 requires_fencing(*own_group, *service, now)))
        return dispatch_refusal{result_code::not_run_no_owner};
    if (settings_.guards.log_contact_before_dispatch && !has_recent_log_contact(request.service, now))
        return dispatch_refusal{result_code::not_run_no_owner};
    if (const auto since = draining_since_.find(request.target);
        since != draining_since_.end() && (!service->keyed || now >= since->second + drain_dispatch_time))
        return dispatch_refusal{result_code::not_run_draining, settings_.session};
    if (!service->keyed)
        return std::nullopt;
    const slot_state& owned = state_.ownership(request.service, request.key);
    if (owned.owner != request.target)
        return dispatch_refusal{result_code::not_run_moved};
    if (owned.released() || !settings_.guards.released_before_serving)
        return std::nullopt;
    const bool hot = state_.hot_keys().contains({request.service, request.key});
    const std::uint64_t slot_or_key =
        hot ? number(request.key) : number(state_.slot_of(request.service, request.key));
    const auto direct_release = direct_releases_.find({request.service, {hot, slot_or_key}});
    if (direct_release != direct_releases_.end() && direct_release->second == owned.since)
        return std::nullopt;
    return dispatch_refusal{result_code::not_run_moving, settings_.session};
}

std::variant<dispatch_permit, dispatch_refusal> coordinator::begin(const dispatch_request& request,
                                                                   time_point now)
{
    if (auto refusal = check(request, now))
        return *refusal;
    dispatch_permit permit;
    permit.token = holder_.token(request.target).value_or(dispatcher_token{});
    if (state_.services()[number(request.service)].keyed) {
        permit.slot = {request.service, state_.slot_of(request.service, request.key)};
        permit.owner_epoch = state_.ownership(request.service, request.key).since;
        permit.hot = state_.hot_keys().contains({request.service, request.key});
    }
    permit.ticket = ledger_.begin(
        {request.target, request.service, permit.slot.slot, request.key, request.deadline, now, false});
    return permit;
}

void coordinator::finish(ticket_id ticket, bool known_ended, time_point now)
{
    ledger_.finish(ticket, known_ended, now);
}

void coordinator::propose(time_point now)
{
    if (pending_append_) {
        if (pending_append_->in_flight || now < pending_append_->retry_at)
            return;
        pending_append_->in_flight = true;
        actions_.emplace_back(append_action{pending_append_->record});
        return;
    }
    if (now < next_proposal_at_)
        return;
    auto body = next_proposal(now);
    if (!body)
        return;
    ++append_sequence_;
    const bool is_heartbeat = std::holds_alternative<log_heartbeat_record>(*body);
    pending_append_ = pending_append{
        append_sequence_, encode({settings_.session, append_sequence_, std::move(*body)}), now, {}, true,
        is_heartbeat};
    actions_.emplace_back(append_action{pending_append_->record});
}

std::optional<record_body> coordinator::next_proposal(time_point now)
{
    if (!joined()) {
        if (stopping_ || state_.version() == 0)
            return std::nullopt;
        return session_join{settings_.instance, settings_.data_centre, group_index_, settings_.address,
                            settings_.peer_port};
    }
    if (auto body = release_proposal())
        return body;
    if (auto body = log_heartbeat_proposal(now))
        return body;
    if (auto body = voter_set_proposal(now))
        return body;
    if (auto body = reset_proposal(now))
        return body;
    if (auto body = target_condition_proposal(now))
        return body;
    if (auto body = evacuation_proposal(now))
        return body;
    if (stopping_)
        return is_voter() ? std::nullopt : std::optional<record_body>{session_leave{settings_.session}};
    if (auto body = relinquish_proposal(now))
        return body;
    if (auto body = placement_proposal(now))
        return body;
    return balance_proposal(now);
}

} // namespace teaseltally
