#include <teaseltally/ownership/range_manager.hpp>

#include <algorithm>

namespace teaseltally {
namespace {

/// Time of an answer assumed while no target's is known.
constexpr double default_service_us = 200'000;
constexpr double us_per_s = 1e6;
/// Answers in a row with which a coordinator denies to be one before another takes over at once.
constexpr unsigned denials_to_take_over = 2;

key_range overlap_of(key_range left, key_range right)
{
    return {std::max(left.first, right.first), std::min(left.last, right.last)};
}

bool same_life(const target_life& left, const target_life& right)
{
    return left.id == right.id && left.born == right.born;
}

} // namespace

void range_manager::note_load(std::string_view service, key_number key, double requests)
{
    auto found = loads_.find(service);
    if (found == loads_.end())
        found = loads_.emplace(std::string{service}, service_load{}).first;
    found->second.recent.add(key, requests);
    found->second.lasting.add(key, requests);
}

void range_manager::note_coordinator(std::uint64_t session, bool coordinates)
{
    if (coordinates || session != denied_session_)
        denials_ = 0;
    denied_session_ = session;
    if (!coordinates)
        ++denials_;
}

void range_manager::note_speed(std::string_view target, const speed_report& report)
{
    auto found = speeds_.find(target);
    if (found == speeds_.end())
        found = speeds_.emplace(std::string{target}, target_speed{}).first;
    found->second.add(report);
}

std::vector<ownership_action> range_manager::tick(time_point now, const ownership_view& view)
{
    std::vector<ownership_action> out;
    if (first_tick_ == time_point{})
        first_tick_ = last_tick_ = now;
    for (auto& [service, load] : loads_) {
        load.recent.decay(now - last_tick_);
        load.lasting.decay(now - last_tick_);
    }
    last_tick_ = now;
    for (auto& [id, speed] : speeds_)
        if (const auto* entry = view.directory.find(id))
            speed.tick(now, entry->slots);
    if (unsettled_since_ && view.read_sent > *unsettled_since_)
        unsettled_since_.reset();
    if (!coordinates_) {
        watch_coordinator(now, view, out);
        return out;
    }
    if (!append_open_ && view.log.claim() && view.log.claim()->session != self_.session) {
        step_down();
        return out;
    }
    if (!append_open_)
        reconcile(now, view);
    if (!append_open_ && !unsettled_since_)
        plan(now, view, out);
    if (now < authority_until_)
        send_orders(now, out);
    return out;
}

void range_manager::watch_coordinator(time_point now, const ownership_view& view,
                                      std::vector<ownership_action>& out)
{
    if (append_open_ || unsettled_since_ || now - view.read_sent > timing_.heartbeat * 2)
        return;
    if (view.log.claim() && view.log.claim()->session == self_.session) {
        begin_term(now, view);
        return;
    }
    const auto silent_since = std::max(first_tick_, view.log.heard());
    const bool vacant = !view.log.claim() ||
                        (view.log.claim()->session == denied_session_ && denials_ >= denials_to_take_over);
    const auto patience = vacant ? jitter_ : timing_.takeover_after + jitter_;
    if (now - silent_since < patience)
        return;
    append_open_ = true;
    predecessor_heard_ = silent_since;
    append_sent_ = now;
    append_order order;
    order.records.push_back(claim_record(now, view.log));
    order.as_of = view.log.position();
    out.push_back(std::move(order));
}

append_order::record range_manager::claim_record(time_point now, const ownership_log& log) const
{
    auto claim = self_;
    claim.elapsed = log.elapsed(now);
    return {std::string{ownership_log::claim_key}, encode(claim)};
}

void range_manager::begin_term(time_point now, const ownership_view& view)
{
    coordinates_ = true;
    term_ = view.log.term();
    authority_until_ = append_sent_ + timing_.authority;
    predecessors_until_ = predecessor_heard_ + longest_authority();
    last_append_ = now;
    ranges_.clear();
    adopt_next_ = true;
    reconciled_position_ = 0;
}

milliseconds range_manager::longest_authority() const noexcept
{
    return timing_.authority + timing_.order_timeout + longest_hold();
}

void range_manager::step_down()
{
    coordinates_ = false;
    ranges_.clear();
    authority_until_ = {};
}

void range_manager::appended(time_point now, append_end end)
{
    append_open_ = false;
    if (end == append_end::done) {
        authority_until_ = std::max(authority_until_, append_sent_ + timing_.authority);
        last_append_ = now;
        return;
    }
    unsettled_since_ = now;
}

void range_manager::reconcile(time_point now, const ownership_view& view)
{
    if (view.log.position() == reconciled_position_)
        return;
    reconciled_position_ = view.log.position();
    for (const auto& [service, committed] : view.log.services())
        ranges_[service] = reconciled(now, view.log, committed, ranges_[service], adopt_next_);
    adopt_next_ = false;
}

range_manager::service_ranges range_manager::reconciled(time_point now, const ownership_log& log,
                                                        const assignment& committed,
                                                        const service_ranges& before, bool adopted) const
{
    service_ranges next;
    for (const auto& range : committed.ranges()) {
        const auto kept = std::ranges::find_if(before, [&](const managed_range& old) {
            return old.recorded_fence == range.fence && same_life(old.owner, range.owner) &&
                   old.keys.first <= range.keys.first && range.keys.last <= old.keys.last;
        });
        if (kept != before.end()) {
            next.push_back(*kept);
            next.back().keys = range.keys;
            continue;
        }
        managed_range added;
        added.keys = range.keys;
        added.owner = range.owner;
        added.recorded_fence = range.fence;
        added.fence = std::max(range.fence, term_);
        added.former = former_of(log, range, before, adopted);
        added.hold_until = adopted ? predecessors_until_ : time_point{};
        added.next_grant = now;
        next.push_back(std::move(added));
    }
    return next;
}

std::vector<range_manager::former_hold> range_manager::former_of(const ownership_log& log,
                                                                 const owned_range& range,
                                                                 const service_ranges& before,
                                                                 bool adopted) const
{
    std::vector<former_hold> former;
    if (adopted) {
        for (const auto& earlier : range.former)
            former.push_back(
                {earlier.life, range.keys, log.taken_by(range, earlier) + longest_authority(), 0, {}, false});
        return former;
    }
    for (const auto& old : before) {
        if (!old.keys.overlaps(range.keys))
            continue;
        if (!same_life(old.owner, range.owner) && old.hold_until != time_point{} && !old.owner_gone)
            former.push_back({old.owner, overlap_of(old.keys, range.keys), old.hold_until, 0, {}, false});
        for (const auto& earlier : old.former)
            if (!earlier.ended && !same_life(earlier.life, range.owner) && earlier.keys.overlaps(range.keys))
                former.push_back(
                    {earlier.life, overlap_of(earlier.keys, range.keys), earlier.until, 0, {}, false});
    }
    return former;
}

bool range_manager::has_lost(time_point now, const std::string& service, std::string_view target) const
{
    const auto found = ranges_.find(service);
    return found != ranges_.end() && std::ranges::any_of(found->second, [&](const managed_range& range) {
               return range.owner.id == target && (range.owner_gone || is_failing(now, range));
           });
}

double range_manager::average_service_us(const ownership_view& view, const std::string& service) const
{
    double sum = 0;
    double known = 0;
    for (const auto& [id, speed] : speeds_) {
        const auto* entry = view.directory.find(id);
        const auto time = speed.service_time();
        if (entry == nullptr || entry->service != service || !time)
            continue;
        sum += static_cast<double>(time->count());
        ++known;
    }
    return known > 0 ? sum / known : default_service_us;
}

std::vector<balance_target> range_manager::candidates(time_point now, const ownership_view& view,
                                                      const std::string& service) const
{
    const auto average = average_service_us(view, service);
    std::vector<balance_target> targets;
    for (const auto& [id, entry] : view.directory.entries()) {
        if (entry.service != service || entry.draining)
            continue;
        if (has_lost(now, service, id))
            continue;
        const auto speed = speeds_.find(id);
        const auto known = speed == speeds_.end() ? std::nullopt : speed->second.service_time();
        const double time = known ? static_cast<double>(known->count()) : average;
        targets.push_back({{entry.id, entry.start_unix_ms, entry.address}, entry.slots * us_per_s / time});
    }
    return targets;
}

std::optional<assignment> range_manager::plan_service(time_point now, const ownership_view& view,
                                                      const std::string& service, std::uint64_t fence)
{
    const auto targets = candidates(now, view, service);
    if (targets.empty())
        return std::nullopt;
    const auto* committed = view.log.find(service);
    assignment next = committed == nullptr ? assignment{} : *committed;
    const auto& managed = ranges_[service];
    const auto state_of = [&](const owned_range& range) {
        const auto found = std::ranges::find_if(
            managed, [&](const managed_range& item) { return item.keys.first == range.keys.first; });
        return found == managed.end() ? nullptr : &*found;
    };
    const auto vacated = [&](const owned_range& range) {
        const auto* entry = view.directory.find(range.owner.id);
        const auto* state = state_of(range);
        if (state != nullptr && (state->owner_gone || (is_failing(now, *state) && state->hold_until < now)))
            return true;
        if (entry == nullptr)
            return view.directory_sound;
        return entry->draining || entry->service != service || entry->start_unix_ms != range.owner.born;
    };
    std::vector<balance_move> moves;
    if (next.empty())
        moves = spread_evenly(targets);
    else
        moves = place_vacated(next, targets, loads_[service].recent, vacated);
    if (moves.empty() && now >= next_balance_)
        moves = level(now, service, next, targets);
    bool settled = false;
    next.settle([&](const owned_range& range) {
        const auto* state = state_of(range);
        const bool ended = !range.former.empty() && state != nullptr && state->held_until > now &&
                           std::ranges::all_of(state->former, [&](const former_hold& hold) {
                               return hold.ended || hold.until < now;
                           });
        settled = settled || ended;
        return ended;
    });
    for (const auto& item : managed)
        if (item.outfenced)
            moves.push_back({item.keys, item.owner});
    for (const auto& move : moves)
        next.give(move.keys, move.to, fence, view.log.elapsed(now));
    if (moves.empty() && !settled)
        return std::nullopt;
    return next;
}

std::vector<balance_move> range_manager::level(time_point now, const std::string& service,
                                               const assignment& current,
                                               const std::vector<balance_target>& targets)
{
    level_limits limits;
    auto& next_dominant = next_dominant_[service];
    limits.move_dominant = now >= next_dominant;
    const auto& load = loads_[service];
    auto moves = level_load(current, targets, load.recent, limits);
    if (moves.empty())
        moves = level_load(current, targets, load.lasting, limits);
    if (std::ranges::any_of(moves, [](const balance_move& move) { return move.keys.size() == 1; }))
        next_dominant = now + timing_.dominant_pause;
    return moves;
}

void range_manager::plan(time_point now, const ownership_view& view, std::vector<ownership_action>& out)
{
    append_order order;
    order.as_of = view.log.position();
    for (const auto& service : view.keyed) {
        const auto fence = order.as_of + order.records.size();
        if (const auto next = plan_service(now, view, service, fence))
            order.records.push_back({std::string{ownership_log::service_prefix} + service, encode(*next)});
    }
    if (now >= next_balance_)
        next_balance_ = now + timing_.balance_every;
    if (order.records.empty() && now - last_append_ >= timing_.heartbeat)
        order.records.push_back(claim_record(now, view.log));
    if (order.records.empty())
        return;
    append_open_ = true;
    append_sent_ = now;
    out.push_back(std::move(order));
}

bool range_manager::is_failing(time_point now, const managed_range& range) const
{
    return range.failing_since && now - *range.failing_since >= timing_.failing_after;
}

std::vector<range_manager::target_share> range_manager::shares(time_point now, const ownership_view& view,
                                                               const std::string& service) const
{
    std::vector<target_share> found;
    const auto load = loads_.find(service);
    const auto* owners = view.log.find(service);
    if (load == loads_.end() || owners == nullptr)
        return found;
    for (const auto& target : candidates(now, view, service)) {
        target_share share{target.life.id, 0, target.capacity};
        for (const auto& range : owners->ranges())
            if (range.owner.id == share.target)
                share.requests_per_s += load->second.recent.rate(range.keys);
        found.push_back(std::move(share));
    }
    return found;
}

} // namespace teaseltally
