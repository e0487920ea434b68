#include <teaseltally/coordinator.hpp>
#include <teaseltally/log_line.hpp>

#include <algorithm>

// Ownership: releases, evacuation, placement and load balancing.

namespace teaseltally {
namespace {

constexpr std::size_t max_moves_per_record = 256;
constexpr milliseconds release_notice_interval{500};
constexpr milliseconds revoke_retry_interval{300};
constexpr milliseconds load_report_interval{1000};
constexpr milliseconds load_report_lifetime{5000};
constexpr milliseconds balance_interval{1000};
/// Time for which the load must be imbalanced before moves are proposed, so that short peaks cause no moves.
constexpr milliseconds min_imbalance_time{3000};
/// Delay per proposer rank before an instance proposes to place or relinquish slots, so that instances do not
/// propose the same change at once.
constexpr milliseconds proposer_rank_delay{3000};
/// Maximum time for which a placement waits until the voter groups of all accepting targets serve them.
constexpr milliseconds first_placement_wait{3000};
/// Number of instances that load reports are sent to: the first proposers by rank.
constexpr std::size_t load_report_recipients = 2;
/// Time after which the usable share of a target that came up reaches 1; it rises linearly.
constexpr milliseconds slow_start_duration{30'000};
/// Usable share of a target that just came up.
constexpr double slow_start_min_share = 0.2;
/// Window to which the setting `churn_per_minute` applies.
constexpr std::chrono::minutes churn_window{1};
/// Capacity of a slot of a target, in busy milliseconds per second.
constexpr double busy_ms_per_slot = 1000.0;

std::uint64_t placement_rank(session_id session)
{
    return rendezvous_rank("placement", number(session));
}

} // namespace

std::size_t coordinator::proposer_rank() const
{
    const auto own_rank = placement_rank(settings_.session);
    return static_cast<std::size_t>(std::ranges::count_if(
        state_.sessions(), [&](const auto& entry) { return placement_rank(entry.first) > own_rank; }));
}

/// Returns whether no earlier dispatcher of the previous owner can still have or send requests to it: this
/// session holds its lease and has applied the required records, the deadlines of the earlier dispatcher have
/// passed, and a majority of the voters has applied the move.
bool coordinator::may_release(target_id previous, epoch owner_epoch, time_point now) const
{
    if (!holder_.holds(previous, now) || state_.position() < holder_.required_position(previous))
        return false;
    if (const auto until = predecessor_deadlines_.find(previous);
        settings_.guards.predecessor_wait_before_release && until != predecessor_deadlines_.end() &&
        now < until->second)
        return false;
    return !settings_.guards.majority_applied_before_release || majority_applied(owner_epoch);
}

/// Returns whether a majority of the voters is known to have applied the record that assigned the current
/// owner.
bool coordinator::majority_applied(epoch owner_epoch) const
{
    std::size_t applied_count = 0;
    for (const session_id voter : voter_group()->voters) {
        const auto found = peers_.find(voter);
        const bool has_applied = voter == settings_.session ||
                                 (found != peers_.end() && found->second.voters == adopted_voter_set_ &&
                                  found->second.position >= owner_epoch);
        applied_count += has_applied ? 1 : 0;
    }
    return applied_count >= majority(voter_group()->voters.size());
}

/// Makes a heartbeat due at once if a release waits for a majority of the voters to apply the move. The
/// replies contain the positions of the voters.
void coordinator::request_voter_positions(target_id previous, epoch owner_epoch, time_point now)
{
    if (holder_.holds(previous, now) && !majority_applied(owner_epoch))
        heartbeat_due_ = true;
}

/// Returns whether the previous owner can no longer execute requests for an entry. A target that checks
/// grants must have confirmed the revocation, or it must be down, its last grant must have expired, and no
/// dispatcher of an earlier voter set may be active. For a target that does not check grants, only the last
/// of these conditions applies.
bool coordinator::is_fenced(target_id previous, const release_entry& entry, time_point now)
{
    const auto* target = state_.settings_of(previous);
    if (target == nullptr)
        return false;
    const auto* service = state_.settings_of(entry.service);
    const bool earlier_dispatcher_possible =
        voter_group() != nullptr && service != nullptr && requires_fencing(*voter_group(), *service, now);
    if (!target->checks_grants)
        return !earlier_dispatcher_possible;
    const auto revocation = revoked_items_.find({entry.service, {entry.hot, entry.slot_or_key}});
    if (revocation != revoked_items_.end() && revocation->second == entry.since)
        return true;
    const auto granted = grant_expiries_.find(previous);
    const bool grant_expired =
        granted == grant_expiries_.end() || now >= granted->second + settings_.lease.margin;
    return grant_expired && state_.targets()[number(previous)].condition == target_condition::down &&
           !earlier_dispatcher_possible;
}

void coordinator::release_idle(time_point now)
{
    std::map<target_id, std::vector<release_entry>> to_revoke;
    std::vector<release_entry> released;
    const auto consider_release = [&](target_id previous, const release_entry& entry, bool busy) {
        request_voter_positions(previous, entry.since, now);
        if (!may_release(previous, entry.since, now) || (busy && settings_.guards.idle_before_release))
            return;
        if (is_fenced(previous, entry, now))
            released.push_back(entry);
        else if (to_revoke[previous].size() < max_moves_per_record)
            to_revoke[previous].push_back(entry);
    };
    for (const auto& ref : state_.unreleased()) {
        if (released.size() >= max_moves_per_record)
            break;
        const auto& slot = state_.services()[number(ref.service)].slots[number(ref.slot)];
        if (held_targets_.contains(slot.previous_owner))
            consider_release(slot.previous_owner, {ref.service, number(ref.slot), false, slot.since},
                             ledger_.is_slot_busy(slot.previous_owner, ref));
    }
    for (const auto& [key, slot] : state_.hot_keys()) {
        if (!slot.released() && held_targets_.contains(slot.previous_owner))
            consider_release(slot.previous_owner, {key.service, number(key.key), true, slot.since},
                             ledger_.is_key_busy(slot.previous_owner, key.service, key.key));
    }
    for (auto& [target, entries] : to_revoke) {
        const auto* target_config = state_.settings_of(target);
        if (target_config == nullptr || !target_config->checks_grants ||
            now < revoke_sent_at_[target] + revoke_retry_interval)
            continue;
        revoke_sent_at_[target] = now;
        actions_.emplace_back(
            revoke_action{target, holder_.token(target).value_or(dispatcher_token{}), std::move(entries)});
    }
    const bool changed = released != releasable_;
    releasable_ = std::move(released);
    if (releasable_.empty() || (!changed && now < notice_sent_at_ + release_notice_interval))
        return;
    notice_sent_at_ = now;
    std::map<std::string, release_notice> notices;
    for (const auto& entry : releasable_) {
        const auto& slot = entry.hot ? state_.hot_keys().at({entry.service, key_hash{entry.slot_or_key}})
                                     : state_.services()[number(entry.service)].slots[entry.slot_or_key];
        notices[state_.voter_group_of(slot.owner)].entries.push_back(entry);
        log_event(log_line("release")
                      .add("service", entry.service)
                      .add(entry.hot ? "key" : "slot", entry.slot_or_key)
                      .add("epoch", entry.since)
                      .add("target", state_.targets()[number(slot.owner)].name)
                      .text());
    }
    for (auto& [name, notice] : notices) {
        notice.from = settings_.session;
        const auto found = state_.voter_groups().find(name);
        if (found == state_.voter_groups().end())
            continue;
        for (const session_id voter : found->second.voters) {
            if (voter == settings_.session)
                receive(notice, now);
            else
                actions_.emplace_back(send_action{voter, notice});
        }
    }
}

std::optional<record_body> coordinator::release_proposal()
{
    if (releasable_.empty())
        return std::nullopt;
    const auto& first = releasable_.front();
    if (first.hot)
        return key_released{first.service, key_hash{first.slot_or_key}, first.since};
    slots_released body{first.service, {}};
    for (const auto& entry : releasable_) {
        if (!entry.hot && entry.service == first.service)
            body.slots.push_back({slot_id{static_cast<std::uint32_t>(entry.slot_or_key)}, entry.since});
    }
    return body;
}

/// Returns whether one more target of a service may be reported down. At most half of the targets of a
/// service may be reported down: if more seem to be, the connection of this instance is the more likely
/// cause.
bool coordinator::may_report_down(service_id service) const
{
    std::size_t configured_count = 0;
    std::size_t down = 0;
    for (const auto& target : state_.targets()) {
        if (target.service != service || !target.configured)
            continue;
        ++configured_count;
        down += target.condition == target_condition::down ? 1 : 0;
    }
    return 2 * (down + 1) <= configured_count;
}

std::optional<record_body> coordinator::target_condition_proposal(time_point now) const
{
    for (const auto& [target, condition] : observed_conditions_) {
        const auto& known = state_.targets()[number(target)];
        const bool is_doubtful = condition == target_condition::down && !may_report_down(known.service);
        if (known.condition != condition && holder_.holds(target, now) && !is_doubtful)
            return target_report{target, known.reported_at, condition};
    }
    return std::nullopt;
}

std::vector<placement_target> coordinator::accepting_targets(service_id service) const
{
    std::vector<placement_target> targets;
    for (std::uint32_t index = 0; index < state_.targets().size(); ++index) {
        const target_id target{index};
        if (state_.targets()[index].service == service && state_.accepts_slots(target) && is_served(target))
            targets.push_back({target, static_cast<double>(state_.settings_of(target)->slots), 0.0, 1.0});
    }
    return targets;
}

/// Returns whether a target's voter group has voters and has not relinquished the target's service.
bool coordinator::is_served(target_id target) const
{
    const std::string name = state_.voter_group_of(target);
    const auto found = state_.voter_groups().find(name);
    return found != state_.voter_groups().end() && !found->second.voters.empty() &&
           !state_.relinquished().contains({name, state_.targets()[number(target)].service});
}

/// Returns a move of slots to accepting targets, or nothing if there are none. The number of slots that a
/// target owns counts as its load.
std::optional<record_body> coordinator::make_move(service_id service, std::span<const placement_item> items)
{
    auto targets = accepting_targets(service);
    for (auto& target : targets) {
        target.load = static_cast<double>(
            std::ranges::count_if(state_.services()[number(service)].slots,
                                  [&](const slot_state& s) { return s.owner == target.id; }));
    }
    slot_move body{service, {}};
    for (const auto& move : place_items(items, std::move(targets)))
        body.slots.push_back(
            {slot_id{static_cast<std::uint32_t>(move.item.slot_or_key)}, move.item.owner_epoch, move.to});
    if (body.slots.empty())
        return std::nullopt;
    return body;
}

/// Returns whether slots of an owner must be placed on another target: there is no owner, it is lost, or its
/// voter group has relinquished the service. No release is awaited in these cases.
bool coordinator::needs_placement(target_id owner) const
{
    if (owner == no_target)
        return true;
    const auto& target = state_.targets()[number(owner)];
    return target.lost || state_.relinquished().contains({state_.voter_group_of(owner), target.service});
}

/// Proposes to move slots and hot keys away from held targets that accept no slots, such as draining ones.
std::optional<record_body> coordinator::evacuation_proposal(time_point now)
{
    std::set<service_id> services;
    std::set<target_id> evacuated_targets;
    for (const target_id target : held_targets_) {
        if (!state_.accepts_slots(target) && holder_.holds(target, now)) {
            evacuated_targets.insert(target);
            services.insert(state_.targets()[number(target)].service);
        }
    }
    for (const auto& [key, slot] : state_.hot_keys()) {
        if (!slot.released() || !evacuated_targets.contains(slot.owner))
            continue;
        const auto home_slot =
            state_.services()[number(key.service)].slots[number(state_.slot_of(key.service, key.key))];
        if (home_slot.owner != no_target && home_slot.owner != slot.owner &&
            state_.accepts_slots(home_slot.owner))
            return key_move{key.service, key.key, slot.since, home_slot.owner};
    }
    for (const service_id service : services) {
        std::vector<placement_item> items;
        const auto& slots = state_.services()[number(service)].slots;
        for (std::size_t index = 0; index < slots.size() && items.size() < max_moves_per_record; ++index) {
            const auto& slot = slots[index];
            if (slot.released() && evacuated_targets.contains(slot.owner))
                items.push_back({index, false, slot.owner, slot.since, 0.0});
        }
        if (auto body = items.empty() ? std::nullopt : make_move(service, items))
            return body;
    }
    return std::nullopt;
}

/// Returns whether `is_served` holds for every target of a service that accepts slots.
bool coordinator::every_group_served(service_id service) const
{
    for (std::uint32_t index = 0; index < state_.targets().size(); ++index) {
        const target_id target{index};
        if (state_.targets()[index].service == service && state_.accepts_slots(target) && !is_served(target))
            return false;
    }
    return true;
}

/// Proposes to place slots that have no owner, whose owner is lost or whose voter group relinquished them.
std::optional<record_body> coordinator::placement_proposal(time_point now)
{
    if (!ownership_changed_ && placement_needed_since_ == time_point{})
        return std::nullopt;
    ownership_changed_ = false;
    for (std::uint32_t index = 0; index < state_.services().size(); ++index) {
        const service_id service{index};
        if (accepting_targets(service).empty())
            continue;
        std::vector<placement_item> items;
        const auto& slots = state_.services()[index].slots;
        for (std::size_t slot = 0; slot < slots.size() && items.size() < max_moves_per_record; ++slot) {
            if (slots[slot].released() && needs_placement(slots[slot].owner))
                items.push_back({slot, false, slots[slot].owner, slots[slot].since, 0.0});
        }
        if (items.empty())
            continue;
        if (placement_needed_since_ == time_point{})
            placement_needed_since_ = now;
        if (now < placement_needed_since_ + proposer_rank_delay * proposer_rank() ||
            (!every_group_served(service) && now < placement_needed_since_ + first_placement_wait))
            return std::nullopt;
        ownership_changed_ = true;
        return make_move(service, items);
    }
    placement_needed_since_ = time_point{};
    return std::nullopt;
}

/// Lists the accepting targets of a service, and their slots and hot keys for which a load was reported.
/// @returns whether every accepting target has a load report that is younger than `load_report_lifetime`.
bool coordinator::collect_loads(service_id service, std::vector<placement_target>& targets,
                                std::vector<placement_item>& items, time_point now)
{
    const auto& slots = state_.services()[number(service)].slots;
    if (slots.empty())
        return false;
    targets = accepting_targets(service);
    for (auto& target : targets) {
        const auto report = loads_.find(target.id);
        if (report == loads_.end() || now >= loads_received_at_[target.id] + load_report_lifetime)
            return false;
        const double ramp_share = static_cast<double>((now - accepting_since_[target.id]) / milliseconds{1}) /
                                  static_cast<double>(slow_start_duration.count());
        target.capacity *= busy_ms_per_slot;
        target.usable_share = std::clamp(ramp_share, slow_start_min_share, 1.0);
        target.load = report->second.load;
        for (const auto& entry : report->second.slots) {
            if (entry.slot_or_key < slots.size() && slots[entry.slot_or_key].released() &&
                slots[entry.slot_or_key].owner == target.id)
                items.push_back({entry.slot_or_key, false, target.id, slots[entry.slot_or_key].since,
                                 double(entry.load)});
        }
        for (const auto& entry : report->second.keys) {
            const auto& owned = state_.ownership(service, key_hash{entry.slot_or_key});
            if (owned.released() && owned.owner == target.id)
                items.push_back({entry.slot_or_key, true, target.id, owned.since, double(entry.load)});
        }
    }
    return true;
}

/// Proposes moves that balance the load of one service.
std::optional<record_body> coordinator::balance_service(service_id service, const balance_limits& limits,
                                                        time_point now)
{
    std::vector<placement_target> targets;
    std::vector<placement_item> items;
    if (!collect_loads(service, targets, items, now))
        return std::nullopt;
    const auto moves = balance_items(std::move(items), std::move(targets), limits);
    if (moves.empty()) {
        imbalanced_since_.erase(service);
        return std::nullopt;
    }
    if (now < imbalanced_since_.try_emplace(service, now).first->second + min_imbalance_time)
        return std::nullopt;
    if (const auto& first = moves.front(); first.item.hot) {
        recent_move_times_.push_back(now);
        return key_move{service, key_hash{first.item.slot_or_key}, first.item.owner_epoch, first.to};
    }
    slot_move body{service, {}};
    for (const auto& move : moves) {
        if (move.item.hot)
            continue;
        body.slots.push_back(
            {slot_id{static_cast<std::uint32_t>(move.item.slot_or_key)}, move.item.owner_epoch, move.to});
        recent_move_times_.push_back(now);
    }
    return body;
}

/// Proposes to move a hot key without reported load back to the owner of its slot if the number of hot keys
/// is at least three quarters of the limit `hot_keys`.
std::optional<record_body> coordinator::key_demotion_proposal(service_id service) const
{
    if (4 * state_.hot_keys().size() < 3 * std::size_t{state_.settings().deployment.hot_keys})
        return std::nullopt;
    for (const auto& [key, owned] : state_.hot_keys()) {
        const auto& home_slot =
            state_.services()[number(key.service)].slots[number(state_.slot_of(key.service, key.key))];
        if (key.service != service || !owned.released() || !home_slot.released() ||
            !state_.accepts_slots(home_slot.owner))
            continue;
        const auto report = loads_.find(owned.owner);
        const bool hot = report != loads_.end() &&
                         std::ranges::any_of(report->second.keys, [&key = key](const load_entry& load) {
                             return load.slot_or_key == number(key.key) && load.load > 0;
                         });
        if (!hot)
            return key_move{key.service, key.key, owned.since, home_slot.owner};
    }
    return std::nullopt;
}

/// Proposes moves that balance the observed load, within the setting `churn_per_minute`. Only the first
/// proposer by rank does so.
std::optional<record_body> coordinator::balance_proposal(time_point now)
{
    if (now < balance_checked_at_ + balance_interval || proposer_rank() != 0)
        return std::nullopt;
    balance_checked_at_ = now;
    while (!recent_move_times_.empty() && recent_move_times_.front() + churn_window < now)
        recent_move_times_.pop_front();
    const std::size_t allowed = state_.settings().deployment.churn_per_minute;
    if (recent_move_times_.size() >= allowed)
        return std::nullopt;
    balance_limits limits;
    limits.max_moves = std::min(limits.max_moves, allowed - recent_move_times_.size());
    for (std::uint32_t index = 0; index < state_.services().size(); ++index) {
        if (auto body = key_demotion_proposal(service_id{index}))
            return body;
        if (auto body = balance_service(service_id{index}, limits, now))
            return body;
    }
    return std::nullopt;
}

/// Proposes that another voter group relinquishes a service once the last log heartbeat of that group is
/// older than the isolation grace of the service.
std::optional<record_body> coordinator::relinquish_proposal(time_point now)
{
    for (const auto& [name, seen] : log_heartbeats_seen_) {
        if (name == group_name_ || seen.at == no_epoch)
            continue;
        for (std::uint32_t index = 0; index < state_.services().size(); ++index) {
            const service_id service{index};
            const auto* settings = state_.settings_of(service);
            if (settings == nullptr || settings->isolation_grace.count() == 0 ||
                state_.relinquished().contains({name, service}))
                continue;
            const auto wait =
                settings->isolation_grace + settings_.lease.margin + proposer_rank_delay * proposer_rank();
            if (now >= seen.sent + wait)
                return voter_group_relinquish{name, service, seen.at};
        }
    }
    return std::nullopt;
}

void coordinator::report_loads(time_point now)
{
    if (now < loads_reported_at_ + load_report_interval)
        return;
    loads_reported_at_ = now;
    ledger_.update_averages(now);
    std::vector<session_id> proposers;
    for (const auto& [session, member] : state_.sessions())
        proposers.push_back(session);
    std::ranges::sort(proposers, std::greater<>{}, placement_rank);
    if (proposers.size() > load_report_recipients)
        proposers.resize(load_report_recipients);
    for (const target_id target : held_targets_) {
        auto report = ledger_.report(target);
        report.from = settings_.session;
        for (const session_id proposer : proposers) {
            if (proposer == settings_.session)
                receive(report, now);
            else
                actions_.emplace_back(send_action{proposer, report});
        }
    }
}

} // namespace teaseltally
