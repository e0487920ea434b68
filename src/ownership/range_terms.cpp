#include <teaseltally/ownership/range_manager.hpp>

#include <algorithm>

namespace teaseltally {
namespace {

/// Another instance takes over without waiting for `takeover_timeout` after this number of consecutive
/// reports that the process named in the claim does not coordinate.
constexpr unsigned reports_to_take_over = 2;

/// Time after the sending of a claim before which another instance cannot have received this number of
/// reports of the claim's process, which begins its term only when it knows that the claim was appended.
constexpr milliseconds min_time_to_reports{200};

/// Time from the beginning of a term for which a coordinator that hands over waits for its first grants. It
/// needs open connections to the targets to renew them if no other instance can take over.
constexpr milliseconds max_handover_delay{1000};

/// Interval at which the registered targets are noted.
constexpr milliseconds target_note_interval{1000};

} // namespace

void range_manager::note_era(time_point now, const ownership_view& view)
{
    const auto era = view.log.position().era;
    if (view.last_read_sent_at == time_point{} || (noticed_era_ && era <= *noticed_era_))
        return;
    noticed_era_ = era;
    era_noticed_at_ = now;
    // Another instance claims the role after it has read nothing new for the takeover timeout. What it wrote
    // may be lost, but it cannot have written anything if less time has passed since this coordinator's last
    // record. The claim alone does not count: until others know that this instance coordinates, they may
    // claim the role at once. So they may when it hands the role over.
    continuous_ = is_coordinator_ && !hands_over_ && now < authority_until_ && confirmed_append_sent_ &&
                  now < end_of_uncontested_time(*confirmed_append_sent_);
    continuous_ = continuous_ || !guards_.continuity_check;
}

void range_manager::note_targets(time_point now, const ownership_view& view)
{
    if (now - targets_noted_at_ < target_note_interval)
        return;
    targets_noted_at_ = now;
    for (const auto& [id, entry] : view.directory.entries())
        if (std::ranges::find(view.keyed_services, entry.service) != view.keyed_services.end())
            known_targets_.insert_or_assign(
                incarnation_name(id, entry.start_unix_ms),
                known_target{entry.service, {id, entry.start_unix_ms, entry.address}, now});
    // While a sweep may still begin or last, that of an era noticed now would need them.
    std::erase_if(known_targets_, [&](const auto& known) {
        return known.second.registered_until + 2 * max_stale_authority() < now;
    });
    std::erase_if(unresponsive_targets_, [&](const std::string& id) {
        return std::ranges::none_of(known_targets_,
                                    [&](const auto& known) { return known.second.incarnation.id == id; });
    });
}

bool range_manager::is_reported_idle(const coordinator_claim& claim) const noexcept
{
    return claim.session == reported_session_ && not_coordinator_reports_ >= reports_to_take_over;
}

bool range_manager::may_claim_at_once(const ownership_log& log) const
{
    // A copy may lack the claim of a coordinator that lives. It claims the new era first.
    if (log.begins_era() && !log.knows_earlier_era())
        return false;
    const auto& claim = log.claim();
    return !claim || claim->resigned || claim->session == self_.session || is_reported_idle(*claim);
}

bool range_manager::needs_sweep(const ownership_log& log) const
{
    if (!guards_.holder_sweep)
        return false;
    return log.begins_era() || (log.claim() && log.claim()->unsettled) ||
           (guards_.assignments_rewritten && log.has_assignment_of_earlier_era());
}

void range_manager::watch_coordinator(time_point now, const ownership_view& view,
                                      std::vector<ownership_action>& actions)
{
    if (append_pending_ || reread_after_ || !targets_reachable_ ||
        now - view.last_read_sent_at > timing_.heartbeat_interval * 2)
        return;
    note_reports(now, view.log);
    const auto& claim = view.log.claim();
    if (claim && claim->session == self_.session && !claim->resigned && !resigned_ &&
        !view.log.begins_era()) {
        begin_term(now, view);
        return;
    }
    if (hands_over_)
        return;
    const auto silent_since = std::max({first_tick_, view.log.last_record_at(), era_noticed_at_});
    const auto silence_limit = may_claim_at_once(view.log) ? jitter_ : timing_.takeover_timeout + jitter_;
    if (now - silent_since < silence_limit)
        return;
    append_pending_ = true;
    earlier_grants_expire_at_ = earlier_grants_expiry(silent_since, view.log);
    append_sent_ = now;
    append_order order;
    order.expected_end = view.log.position();
    auto next = make_claim(now, view.log);
    next.unsettled = needs_sweep(view.log);
    add_claim(now, next, order);
    if (view.log.begins_era() || view.log.has_assignment_of_earlier_era())
        append_assignments(view.log, order, next.log_time);
    actions.push_back(std::move(order));
}

void range_manager::note_reports(time_point now, const ownership_log& log)
{
    const auto& claim = log.claim();
    // The same process may coordinate again, or learn only then that its claim was appended.
    if (log.term() != reported_term_ || log.last_record_at() != reported_record_at_) {
        reported_term_ = log.term();
        reported_record_at_ = log.last_record_at();
        not_coordinator_reports_ = 0;
        reported_ended_ = false;
    }
    const auto note = [now](std::optional<time_point>& since, bool reported) {
        if (!reported)
            since.reset();
        else if (!since)
            since = now;
    };
    note(reported_idle_since_, claim && is_reported_idle(*claim));
    note(reported_ended_since_, claim && reported_ended_ && claim->session == reported_session_);
}

time_point range_manager::earlier_grants_expiry(time_point silent_since, const ownership_log& log) const
{
    const auto without_report = silent_since + max_stale_authority();
    const auto last_grants_expiry = [&](time_point ended_at) {
        return ended_at + timing_.order_timeout + max_grant_lifetime();
    };
    // The process of the lost era's last known claim sends no more grants. That another one has claimed the
    // role after it, in the lost seconds, and is cut off by now, is not ruled out; it could only renew grants
    // of targets that answer it and not this instance.
    if (log.begins_era())
        return reported_idle_since_ ? last_grants_expiry(std::max(era_noticed_at_, *reported_idle_since_))
                                    : without_report;
    const auto term_began_at = log.latest_term_begin();
    if (!reported_ended_since_ || !term_began_at)
        return without_report;
    // A coordinator before the last one may have been cut off from the log and have kept its authority.
    const auto older_grants_expiry = *term_began_at + max_stale_authority();
    return std::min(without_report,
                    std::max(older_grants_expiry, last_grants_expiry(*reported_ended_since_)));
}

void range_manager::note_claim(const ownership_log& log) noexcept
{
    if (log.claim() && log.claim()->session == self_.session && log.claim()->log_time == last_claim_.log_time)
        appended_claim_ = last_claim_;
}

milliseconds range_manager::log_time(time_point now, const ownership_log& log) const
{
    const auto read = log.log_time(now);
    const auto& claim = log.claim();
    if (!claim || claim->session != self_.session || claim->log_time != appended_claim_.log_time)
        return read;
    const auto elapsed = std::chrono::duration_cast<milliseconds>(now - appended_claim_.sent_at);
    return std::max(read, claim->log_time + elapsed - elapsed / ownership_log::clock_error_divisor);
}

coordinator_claim range_manager::make_claim(time_point now, const ownership_log& log) const
{
    auto claim = self_;
    claim.log_time = log_time(now, log);
    claim.era = log.position().era;
    claim.fence_origin = log.next_fence_origin();
    claim.unsettled = sweep_.is_active();
    claim.resigned = hands_over_;
    claim.began = is_coordinator_ ? term_began_ : claim.log_time;
    return claim;
}

void range_manager::add_claim(time_point now, const coordinator_claim& claim, append_order& order)
{
    last_claim_ = {claim.log_time, now};
    order.records.push_back({std::string{ownership_log::claim_key}, encode(claim)});
}

std::uint64_t range_manager::fence_at(log_position position, std::int64_t origin) const
{
    return guards_.era_in_fences ? fence_of(position, origin) : position.offset;
}

void range_manager::append_assignments(const ownership_log& log, append_order& order,
                                       std::optional<milliseconds> former_owners_from) const
{
    if (!guards_.assignments_rewritten)
        return;
    for (const auto& [service, known] : log.services()) {
        auto written = known;
        if (former_owners_from)
            written.restart_former_owners(*former_owners_from);
        order.records.push_back(
            {std::string{ownership_log::service_prefix} + service, encode(written, order.expected_end.era)});
    }
}

bool range_manager::has_ungranted_range() const
{
    return std::ranges::any_of(ranges_, [](const auto& service) {
        return std::ranges::any_of(service.second, [](const managed_range& range) {
            return range.confirmed_until == time_point{} && !range.owner_terminated;
        });
    });
}

void range_manager::plan_handover(time_point now, const ownership_view& view, append_order& order)
{
    // A further record would delay the other instances, which wait for their jitter since the last one.
    if (view.log.claim()->resigned || (now < began_at_ + max_handover_delay && has_ungranted_range()))
        return;
    uncontested_until_ = std::min(uncontested_until_, now);
    order.records.push_back({std::string{ownership_log::claim_key}, encode(make_claim(now, view.log))});
}

void range_manager::plan_rewriting(time_point now, const ownership_log& log, append_order& order)
{
    add_claim(now, make_claim(now, log), order);
    append_assignments(log, order, std::nullopt);
}

void range_manager::begin_term(time_point now, const ownership_view& view)
{
    is_coordinator_ = true;
    continuous_ = true;
    term_ = view.log.term();
    term_fence_ = fence_at(term_, view.log.next_fence_origin());
    authority_until_ = append_sent_ + timing_.authority_duration;
    const bool begins_uncontested = now < append_sent_ + min_time_to_reports;
    uncontested_until_ = begins_uncontested ? end_of_uncontested_time(append_sent_) : time_point{};
    confirmed_append_sent_.reset();
    term_began_ = view.log.claim()->began.value_or(view.log.claim()->log_time);
    // Otherwise the next record has to show first that no other instance has claimed the role.
    last_append_ = begins_uncontested ? now : time_point{};
    began_at_ = now;
    ranges_.clear();
    unresponsive_targets_.clear();
    first_reconcile_ = true;
    reconciled_position_ = {};
    if (view.log.claim()->unsettled && guards_.holder_sweep)
        sweep_.begin(earlier_grants_expire_at_, term_fence_);
}

time_point range_manager::end_of_uncontested_time(time_point append_sent) const noexcept
{
    return append_sent + timing_.takeover_timeout -
           timing_.takeover_timeout / ownership_log::clock_error_divisor;
}

milliseconds range_manager::max_stale_authority() const noexcept
{
    return timing_.authority_duration + timing_.order_timeout + max_grant_lifetime();
}

void range_manager::step_down()
{
    is_coordinator_ = false;
    sweep_.end();
    ranges_.clear();
    authority_until_ = {};
    uncontested_until_ = {};
}

void range_manager::resign(time_point now, const ownership_view& view, std::vector<ownership_action>& actions)
{
    auto claim = make_claim(now, view.log);
    claim.resigned = true;
    claim.unsettled = claim.unsettled || needs_sweep(view.log);
    step_down();
    resigned_ = true;
    append_pending_ = true;
    append_order order;
    add_claim(now, claim, order);
    order.expected_end = view.log.position();
    actions.push_back(std::move(order));
}

void range_manager::on_append_completed(time_point now, append_status status)
{
    append_pending_ = false;
    if (status == append_status::done) {
        resigned_ = false;
        authority_until_ = std::max(authority_until_, append_sent_ + timing_.authority_duration);
        last_append_ = now;
        if (!is_coordinator_)
            return;
        confirmed_append_sent_ = append_sent_;
        if (!hands_over_)
            uncontested_until_ = std::max(uncontested_until_, end_of_uncontested_time(append_sent_));
        resume_withheld(now);
        return;
    }
    if (status == append_status::not_applied)
        for (auto& [service, ranges] : ranges_)
            for (auto& range : ranges)
                if (range.suspended_at == append_sent_)
                    range.suspended_at.reset();
    reread_after_ = now;
}

void range_manager::sweep_holders(time_point now, const ownership_view& view,
                                  std::vector<ownership_action>& actions)
{
    if (!sweep_.is_active())
        return;
    std::set<std::string, std::less<>> services(view.keyed_services.begin(), view.keyed_services.end());
    for (const auto& [service, owners] : view.log.services()) {
        services.insert(service);
        for (const auto& range : owners.ranges()) {
            sweep_.add_target(service, range.owner, &owners);
            for (const auto& former : range.former_owners)
                sweep_.add_target(service, former.incarnation, &owners);
        }
    }
    for (const auto& [id, entry] : view.directory.entries())
        if (services.contains(entry.service))
            sweep_.add_target(entry.service, {entry.id, entry.start_unix_ms, entry.address},
                              view.log.find(entry.service));
    // One whose registration lapsed may hold keys that it was given in the lost records.
    for (const auto& [name, known] : known_targets_)
        if (services.contains(known.service) &&
            known.registered_until + max_stale_authority() >= era_noticed_at_)
            sweep_.add_target(known.service, known.incarnation, view.log.find(known.service));
    if (sweep_.is_complete(now)) {
        sweep_.end();
        return;
    }
    const auto registered_at = era_noticed_at_ + timing_.registration_return;
    sweep_.set_directory_current(view.directory_read_sent_at.value_or(now) >= registered_at);
    if (view.directory_complete)
        exclude_refusing(view.directory);
    for (const auto& service : services)
        for (auto& order : sweep_.due_orders(now, service, view.log.find(service), next_order_id_))
            actions.emplace_back(std::move(order));
}

void range_manager::exclude_refusing(const target_directory& directory)
{
    const auto is_registered = [&](const target_incarnation& target) {
        const auto* entry = directory.find(target.id);
        return entry != nullptr && entry->start_unix_ms == target.start_unix_ms;
    };
    sweep_.exclude_refusing(is_registered);
    if (!sweep_.is_directory_current())
        return;
    for (auto& [service, ranges] : ranges_)
        for (auto& range : ranges)
            for (auto& grant : range.former_grants)
                grant.ended = grant.ended || (grant.refuses && !is_registered(grant.incarnation));
}

std::size_t range_manager::range_count() const
{
    std::size_t count = 0;
    for (const auto& [service, ranges] : ranges_)
        count += ranges.size();
    return count;
}

} // namespace teaseltally
