#include "ownership_world.hpp"

#include <algorithm>

namespace teaseltally::test {
namespace {

constexpr milliseconds step_time{50};
constexpr milliseconds transit{5};
constexpr auto service = "ledger";

} // namespace

struct ownership_world::node {
    std::uint64_t session = 0;
    std::unique_ptr<range_manager> manager;
    ownership_log log;
    std::uint64_t position = 0;
    time_point read_sent{};
    time_point paused_until{};
    time_point dead_until{};
    time_point cut_until{};
    /// Targets that it does not reach, and until when.
    std::map<std::string, time_point> unreached;
};

struct ownership_world::target {
    struct held {
        key_range keys;
        std::uint64_t fence;
        time_point until;
    };
    target_life life;
    bool alive = true;
    bool draining = false;
    /// Nobody answers at its address.
    bool dark = false;
    std::vector<held> holds;
    std::vector<std::uint64_t> seen = std::vector<std::uint64_t>(std::size_t{last_key} + 1);
};

ownership_world::ownership_world(std::uint64_t seed, ownership_faults faults, unsigned coordinators,
                                 unsigned targets)
    : random_(seed), faults_(faults)
{
    for (unsigned index = 0; index < targets; ++index) {
        targets_.push_back(std::make_unique<target>());
        targets_.back()->life = {"t" + std::to_string(next_target_), 0,
                                 "10.0.0." + std::to_string(next_target_) + ":80"};
        ++next_target_;
        const auto& life = targets_.back()->life;
        directory_.update({life.id, service, life.address, "a", 4, false, {}, 0, 1}, ++directory_position_);
    }
    for (unsigned index = 0; index < coordinators; ++index) {
        nodes_.push_back(std::make_unique<node>());
        nodes_.back()->dead_until = now_;
    }
}

ownership_world::~ownership_world() = default;

bool ownership_world::chance(double probability)
{
    return std::uniform_real_distribution<double>(0, 1)(random_) < probability;
}

milliseconds ownership_world::between(int low, int high)
{
    return milliseconds{std::uniform_int_distribution<int>(low, high)(random_)};
}

void ownership_world::later(milliseconds delay, std::function<void()> run)
{
    events_.push_back({now_ + delay, std::move(run)});
}

ownership_world::target* ownership_world::find(const std::string& id)
{
    const auto found =
        std::ranges::find_if(targets_, [&](const auto& item) { return item->life.id == id && item->alive; });
    return found == targets_.end() ? nullptr : found->get();
}

bool ownership_world::reaches(const node& from, const std::string& id) const
{
    if (const auto found = from.unreached.find(id); found != from.unreached.end() && now_ < found->second)
        return false;
    return std::ranges::none_of(targets_,
                                [&](const auto& item) { return item->life.id == id && item->dark; });
}

void ownership_world::split(const std::string& target, milliseconds duration)
{
    for (auto& each : nodes_)
        if (each->manager && each->manager->coordinates())
            each->cut_until = now_ + duration;
        else
            each->unreached[target] = now_ + duration;
}

void ownership_world::set_hot(key_number key, double requests_per_s)
{
    hot_[key] = requests_per_s;
}

void ownership_world::run(milliseconds duration)
{
    const auto end = now_ + duration;
    while (now_ < end)
        step();
}

void ownership_world::step()
{
    now_ += step_time;
    std::vector<event> due;
    std::erase_if(events_, [&](event& item) {
        if (item.at > now_)
            return false;
        due.push_back(std::move(item));
        return true;
    });
    std::ranges::stable_sort(due, {}, &event::at);
    for (auto& item : due)
        item.run();
    if (now_ >= next_second_) {
        next_second_ = now_ + std::chrono::seconds{1};
        inject();
    }
    for (auto& each : nodes_)
        tick_node(*each);
    check();
}

void ownership_world::inject()
{
    for (auto& each : nodes_) {
        if (chance(faults_.pause))
            each->paused_until = now_ + between(500, 15'000);
        if (chance(faults_.kill)) {
            each->manager.reset();
            each->dead_until = now_ + between(200, 3000);
        }
        if (chance(faults_.part))
            each->unreached[targets_[random_() % targets_.size()]->life.id] = now_ + between(1000, 15'000);
        if (chance(faults_.cut))
            each->cut_until = now_ + between(1000, 15'000);
    }
    for (auto& item : targets_) {
        if (item->alive && !item->draining && chance(faults_.crash))
            restart_target(*item);
        else if (item->alive && !item->draining && chance(faults_.drain))
            start_drain(item->life.id);
    }
}

void ownership_world::start_drain(const std::string& id)
{
    if (auto* leaving = find(id)) {
        leaving->draining = true;
        directory_.update({id, service, leaving->life.address, "a", 4, true, {}, 0, 2},
                          ++directory_position_);
    }
}

void ownership_world::lose_target(const std::string& id)
{
    auto* lost = find(id);
    lost->alive = false;
    lost->dark = true;
    lost->holds.clear();
    directory_.remove(id, ++directory_position_);
}

void ownership_world::kill_coordinator()
{
    for (auto& each : nodes_)
        if (each->manager && each->manager->coordinates() && each->cut_until <= now_) {
            each->manager.reset();
            each->dead_until = now_ + milliseconds{500};
        }
}

void ownership_world::cut_log(milliseconds duration)
{
    for (auto& each : nodes_)
        each->cut_until = now_ + duration;
}

void ownership_world::restart_target(target& ended)
{
    ended.alive = false;
    ended.holds.clear();
    const auto old = ended.life;
    later(between(500, 6000), [this, old, &ended] {
        directory_.remove(old.id, ++directory_position_);
        ended.life.id = "t" + std::to_string(next_target_++);
        ended.alive = true;
        ended.draining = false;
        std::ranges::fill(ended.seen, 0);
        directory_.update({ended.life.id, service, ended.life.address, "a", 4, false, {}, 0, 1},
                          ++directory_position_);
    });
}

void ownership_world::tick_node(node& each)
{
    if (now_ < each.dead_until || now_ < each.paused_until)
        return;
    if (!each.manager) {
        each.session = next_session_++;
        each.log = ownership_log{};
        each.position = 0;
        each.manager = std::make_unique<range_manager>(
            coordinator_claim{"n" + std::to_string(each.session), each.session, "10.1.0.1:1"},
            ownership_timing{}, between(0, 500));
    }
    read_log(each);
    for (const auto& [key, rate] : hot_)
        each.manager->note_load(service, key, rate * 0.05);
    const ownership_view view{each.log, directory_, keyed_, each.read_sent, true};
    for (auto& action : each.manager->tick(now_, view))
        act(each, std::move(action));
}

void ownership_world::read_log(node& each)
{
    if (now_ < each.cut_until)
        return;
    for (; each.position < log_.size(); ++each.position)
        each.log.apply(now_, log_[each.position].key, log_[each.position].value, each.position);
    each.log.set_position(each.position);
    each.read_sent = now_;
}

void ownership_world::act(node& from, ownership_action action)
{
    if (auto* appended = std::get_if<append_order>(&action))
        append(from, std::move(*appended));
    else if (const auto* granted = std::get_if<grant_order>(&action))
        grant(from, *granted);
    else
        release(from, std::get<release_order>(action));
}

bool ownership_world::apply_append(const append_order& order)
{
    if (order.as_of != log_.size())
        return false;
    log_.insert(log_.end(), order.records.begin(), order.records.end());
    return true;
}

void ownership_world::append(node& from, append_order order)
{
    const auto session = from.session;
    auto end = append_end::not_done;
    if (now_ < from.cut_until || chance(faults_.append_refused))
        end = append_end::not_done;
    else if (chance(faults_.append_late)) {
        end = append_end::unknown;
        later(between(1000, 6000), [this, order] { apply_append(order); });
    }
    else if (const bool applied = apply_append(order); chance(faults_.append_answer_lost))
        end = append_end::unknown;
    else
        end = applied ? append_end::done : append_end::stale;
    later(end == append_end::unknown ? milliseconds{900} : transit, [this, &from, session, end] {
        if (!from.manager || from.session != session)
            return;
        if (end == append_end::done)
            read_log(from);
        from.manager->appended(now_, end);
    });
}

void ownership_world::answer(node& to, std::uint64_t session, std::uint64_t order, order_end end,
                             std::string handover)
{
    if (to.manager && to.session == session)
        to.manager->ordered(now_, order, end, std::move(handover));
}

order_end ownership_world::apply_grant(const grant_order& order, time_point arrival)
{
    auto* at = find(order.to.id);
    if (at == nullptr)
        return order_end::gone;
    for (std::uint32_t key = order.keys.first; key <= order.keys.last; ++key)
        if (at->seen[key] > order.fence)
            return order_end::conflict;
    std::fill(at->seen.begin() + order.keys.first, at->seen.begin() + order.keys.last + 1, order.fence);
    const auto hold = std::chrono::duration_cast<microseconds>(order.hold * faults_.slow_clock);
    at->holds.push_back({order.keys, order.fence, arrival + hold});
    return order_end::done;
}

void ownership_world::grant(node& from, const grant_order& order)
{
    const auto session = from.session;
    if (!reaches(from, order.to.id) || chance(faults_.order_not_sent)) {
        later(transit,
              [this, &from, session, order] { answer(from, session, order.id, order_end::not_sent, {}); });
        return;
    }
    if (chance(faults_.order_late)) {
        const auto arrival = now_;
        later(between(2000, 5000), [this, order, arrival] { apply_grant(order, arrival); });
        later(milliseconds{1000},
              [this, &from, session, order] { answer(from, session, order.id, order_end::unknown, {}); });
        return;
    }
    const auto end = apply_grant(order, now_);
    const bool lost = chance(faults_.order_answer_lost);
    later(lost ? milliseconds{1000} : transit, [this, &from, session, order, end, lost] {
        answer(from, session, order.id, lost ? order_end::unknown : end, {});
    });
}

void ownership_world::release(node& from, const release_order& order)
{
    const auto session = from.session;
    auto* at = find(order.at.id);
    auto end = order_end::done;
    if (!reaches(from, order.at.id) || (at != nullptr && chance(faults_.order_not_sent)))
        end = order_end::not_sent;
    else if (at == nullptr)
        end = order_end::gone;
    else {
        for (std::uint32_t key = order.keys.first; key <= order.keys.last; ++key)
            at->seen[key] = std::max(at->seen[key], order.fence);
        std::vector<target::held> rest;
        for (const auto& hold : at->holds) {
            if (!hold.keys.overlaps(order.keys)) {
                rest.push_back(hold);
                continue;
            }
            if (hold.keys.first < order.keys.first)
                rest.push_back({{hold.keys.first, static_cast<key_number>(order.keys.first - 1)},
                                hold.fence,
                                hold.until});
            if (hold.keys.last > order.keys.last)
                rest.push_back(
                    {{static_cast<key_number>(order.keys.last + 1), hold.keys.last}, hold.fence, hold.until});
        }
        at->holds = std::move(rest);
        if (chance(faults_.order_answer_lost))
            end = order_end::unknown;
    }
    later(end == order_end::unknown ? milliseconds{1000} : between(20, 300),
          [this, &from, session, order, end] { answer(from, session, order.id, end, "h"); });
}

void ownership_world::check()
{
    struct holding {
        key_range keys;
        const target* by;
    };
    std::vector<holding> all;
    for (const auto& item : targets_) {
        std::erase_if(item->holds, [&](const target::held& hold) { return hold.until <= now_; });
        for (const auto& hold : item->holds)
            all.push_back({hold.keys, item.get()});
    }
    std::ranges::sort(all, {}, [](const holding& item) { return item.keys.first; });
    std::uint32_t reach = 0;
    const target* reached_by = nullptr;
    for (const auto& item : all) {
        if (reached_by != nullptr && item.by != reached_by && item.keys.first < reach)
            violations_.push_back("key " + std::to_string(item.keys.first) + " is held by " +
                                  reached_by->life.id + " and " + item.by->life.id);
        if (item.keys.last + 1U > reach) {
            reach = item.keys.last + 1U;
            reached_by = item.by;
        }
    }
}

std::string ownership_world::holder(key_number key) const
{
    for (const auto& item : targets_)
        if (item->alive &&
            std::ranges::any_of(item->holds, [&](const auto& hold) { return hold.keys.contains(key); }))
            return item->life.id;
    return {};
}

double ownership_world::held_share() const
{
    std::vector<bool> held(std::size_t{last_key} + 1);
    for (const auto& item : targets_)
        if (item->alive)
            for (const auto& hold : item->holds)
                std::fill(held.begin() + hold.keys.first, held.begin() + hold.keys.last + 1, true);
    return static_cast<double>(std::ranges::count(held, true)) / (last_key + 1.0);
}

} // namespace teaseltally::test
