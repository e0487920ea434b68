#include "ownership_simulation.hpp"

#include <algorithm>

namespace teaseltally::test {
namespace {

constexpr milliseconds step_duration{50};
constexpr milliseconds network_delay{5};
constexpr auto service = "ledger";

} // namespace

struct ownership_simulation::simulated_instance {
    std::uint64_t session = 0;
    std::unique_ptr<range_manager> manager;
    ownership_log log;
    std::uint64_t position = 0;
    time_point read_sent{};
    time_point paused_until{};
    time_point stopped_until{};
    time_point log_unreachable_until{};
    time_point links_lost_until{};
    /// Time from which this instance knows that its links are lost.
    time_point links_known_lost_from{};
    /// Time until which this instance cannot reach a target, by target id.
    std::map<std::string, time_point> unreachable_targets;
};

struct ownership_simulation::simulated_target {
    struct granted_range {
        key_range keys;
        std::uint64_t fence;
        time_point until;
    };
    target_incarnation incarnation;
    bool alive = true;
    bool draining = false;
    /// Whether no process responds at the target's address.
    bool unreachable = false;
    std::vector<granted_range> grants;
    std::vector<std::uint64_t> highest_fences = std::vector<std::uint64_t>(std::size_t{last_key} + 1);
};

ownership_simulation::ownership_simulation(std::uint64_t seed, ownership_faults faults, unsigned coordinators,
                                           unsigned targets)
    : random_(seed), faults_(faults)
{
    for (unsigned index = 0; index < targets; ++index) {
        targets_.push_back(std::make_unique<simulated_target>());
        targets_.back()->incarnation = {"t" + std::to_string(next_target_), 0,
                                        "10.0.0." + std::to_string(next_target_) + ":80"};
        ++next_target_;
        const auto& incarnation = targets_.back()->incarnation;
        directory_.update({incarnation.id, service, incarnation.address, "a", 4, false, {}, 0, 1},
                          ++directory_position_);
    }
    for (unsigned index = 0; index < coordinators; ++index) {
        instances_.push_back(std::make_unique<simulated_instance>());
        instances_.back()->stopped_until = now_;
    }
}

ownership_simulation::~ownership_simulation() = default;

bool ownership_simulation::occurs(double probability)
{
    return std::uniform_real_distribution<double>(0, 1)(random_) < probability;
}

milliseconds ownership_simulation::random_duration(int low, int high)
{
    return milliseconds{std::uniform_int_distribution<int>(low, high)(random_)};
}

void ownership_simulation::schedule(milliseconds delay, std::function<void()> run)
{
    events_.push_back({now_ + delay, std::move(run)});
}

ownership_simulation::simulated_target* ownership_simulation::find(const std::string& id)
{
    const auto found = std::ranges::find_if(
        targets_, [&](const auto& target) { return target->incarnation.id == id && target->alive; });
    return found == targets_.end() ? nullptr : found->get();
}

bool ownership_simulation::reaches(const simulated_instance& from, const std::string& id) const
{
    if (now_ < from.links_lost_until)
        return false;
    if (const auto found = from.unreachable_targets.find(id);
        found != from.unreachable_targets.end() && now_ < found->second)
        return false;
    return std::ranges::none_of(
        targets_, [&](const auto& target) { return target->incarnation.id == id && target->unreachable; });
}

void ownership_simulation::cut_links(simulated_instance& instance, milliseconds duration) const
{
    constexpr milliseconds detection_time{1000};
    instance.links_lost_until = now_ + duration;
    instance.links_known_lost_from = now_ + detection_time;
}

void ownership_simulation::cut_links_of_coordinator(milliseconds duration)
{
    for (auto& instance : instances_)
        if (instance->manager && instance->manager->is_coordinator())
            cut_links(*instance, duration);
}

void ownership_simulation::isolate_coordinator(const std::string& target, milliseconds duration)
{
    for (auto& instance : instances_)
        if (instance->manager && instance->manager->is_coordinator())
            instance->log_unreachable_until = now_ + duration;
        else
            instance->unreachable_targets[target] = now_ + duration;
}

void ownership_simulation::set_hot(key_number key, double requests_per_s)
{
    hot_key_rates_[key] = requests_per_s;
}

void ownership_simulation::run(milliseconds duration)
{
    const auto run_until = now_ + duration;
    while (now_ < run_until)
        step();
}

void ownership_simulation::step()
{
    now_ += step_duration;
    std::vector<event> due;
    std::erase_if(events_, [&](event& pending) {
        if (pending.due_at > now_)
            return false;
        due.push_back(std::move(pending));
        return true;
    });
    std::ranges::stable_sort(due, {}, &event::due_at);
    for (auto& due_event : due)
        due_event.run();
    if (now_ >= next_fault_time_) {
        next_fault_time_ = now_ + std::chrono::seconds{1};
        inject_faults();
    }
    for (auto& instance : instances_)
        tick_instance(*instance);
    check_grants();
}

void ownership_simulation::inject_faults()
{
    for (auto& instance : instances_) {
        if (occurs(faults_.pause))
            instance->paused_until = now_ + random_duration(500, 15'000);
        if (occurs(faults_.kill)) {
            instance->manager.reset();
            instance->stopped_until = now_ + random_duration(200, 3000);
        }
        if (occurs(faults_.target_unreachable))
            instance->unreachable_targets[targets_[random_() % targets_.size()]->incarnation.id] =
                now_ + random_duration(1000, 15'000);
        if (occurs(faults_.links_lost))
            cut_links(*instance, random_duration(1000, 15'000));
        if (occurs(faults_.log_unreachable))
            instance->log_unreachable_until = now_ + random_duration(1000, 15'000);
    }
    for (auto& target : targets_) {
        if (target->alive && !target->draining && occurs(faults_.crash))
            restart_target(*target);
        else if (target->alive && !target->draining && occurs(faults_.drain))
            start_drain(target->incarnation.id);
    }
}

void ownership_simulation::start_drain(const std::string& id)
{
    if (auto* target = find(id)) {
        target->draining = true;
        directory_.update({id, service, target->incarnation.address, "a", 4, true, {}, 0, 2},
                          ++directory_position_);
    }
}

void ownership_simulation::fail_target(const std::string& id)
{
    auto* target = find(id);
    target->alive = false;
    target->unreachable = true;
    target->grants.clear();
    directory_.remove(id, ++directory_position_);
}

void ownership_simulation::kill_coordinator()
{
    for (auto& instance : instances_)
        if (instance->manager && instance->manager->is_coordinator() &&
            instance->log_unreachable_until <= now_) {
            instance->manager.reset();
            instance->stopped_until = now_ + milliseconds{500};
        }
}

void ownership_simulation::disconnect_log(milliseconds duration)
{
    for (auto& instance : instances_)
        instance->log_unreachable_until = now_ + duration;
}

void ownership_simulation::restart_target(simulated_target& target)
{
    target.alive = false;
    target.grants.clear();
    const auto previous = target.incarnation;
    schedule(random_duration(500, 6000), [this, previous, &target] {
        directory_.remove(previous.id, ++directory_position_);
        target.incarnation.id = "t" + std::to_string(next_target_++);
        target.alive = true;
        target.draining = false;
        std::ranges::fill(target.highest_fences, 0);
        directory_.update(
            {target.incarnation.id, service, target.incarnation.address, "a", 4, false, {}, 0, 1},
            ++directory_position_);
    });
}

void ownership_simulation::tick_instance(simulated_instance& instance)
{
    if (now_ < instance.stopped_until || now_ < instance.paused_until)
        return;
    if (!instance.manager) {
        instance.session = next_session_++;
        instance.log = ownership_log{};
        instance.position = 0;
        instance.manager = std::make_unique<range_manager>(
            coordinator_claim{"n" + std::to_string(instance.session), instance.session, "10.1.0.1:1"},
            ownership_timing{}, random_duration(0, 500));
    }
    read_log(instance);
    for (const auto& [key, rate] : hot_key_rates_)
        instance.manager->record_load(service, key, rate * 0.05);
    instance.manager->set_targets_reachable(now_ < instance.links_known_lost_from ||
                                            now_ >= instance.links_lost_until);
    const ownership_view view{instance.log, directory_, keyed_services_, instance.read_sent, true};
    for (auto& action : instance.manager->tick(now_, view))
        execute(instance, std::move(action));
}

void ownership_simulation::read_log(simulated_instance& instance)
{
    if (now_ < instance.log_unreachable_until)
        return;
    for (; instance.position < log_.size(); ++instance.position)
        instance.log.apply(now_, log_[instance.position].key, log_[instance.position].value,
                           instance.position);
    instance.log.set_position(instance.position);
    instance.read_sent = now_;
}

void ownership_simulation::execute(simulated_instance& from, ownership_action action)
{
    if (auto* appended = std::get_if<append_order>(&action))
        append(from, std::move(*appended));
    else if (const auto* granted = std::get_if<grant_order>(&action))
        grant(from, *granted);
    else
        release(from, std::get<release_order>(action));
}

bool ownership_simulation::apply_append(const append_order& order)
{
    if (order.expected_end != log_.size())
        return false;
    log_.insert(log_.end(), order.records.begin(), order.records.end());
    return true;
}

void ownership_simulation::append(simulated_instance& from, append_order order)
{
    const auto session = from.session;
    auto status = append_status::not_applied;
    if (now_ < from.log_unreachable_until || occurs(faults_.append_refused))
        status = append_status::not_applied;
    else if (occurs(faults_.append_delayed)) {
        status = append_status::unknown;
        schedule(random_duration(1000, 6000), [this, order] { apply_append(order); });
    }
    else if (const bool applied = apply_append(order); occurs(faults_.append_answer_lost))
        status = append_status::unknown;
    else
        status = applied ? append_status::done : append_status::stale;
    schedule(status == append_status::unknown ? milliseconds{900} : network_delay,
             [this, &from, session, status] {
                 if (!from.manager || from.session != session)
                     return;
                 if (status == append_status::done)
                     read_log(from);
                 from.manager->on_append_completed(now_, status);
             });
}

void ownership_simulation::complete_order(simulated_instance& to, std::uint64_t session, std::uint64_t order,
                                          order_status status, std::string handover)
{
    if (to.manager && to.session == session)
        to.manager->on_order_completed(now_, order, status, std::move(handover));
}

order_status ownership_simulation::apply_grant(const grant_order& order, time_point arrival)
{
    auto* target = find(order.target.id);
    if (target == nullptr)
        return order_status::terminated;
    for (std::uint32_t key = order.keys.first; key <= order.keys.last; ++key)
        if (target->highest_fences[key] > order.fence)
            return order_status::conflict;
    std::fill(target->highest_fences.begin() + order.keys.first,
              target->highest_fences.begin() + order.keys.last + 1, order.fence);
    const auto duration = std::chrono::duration_cast<microseconds>(order.duration * faults_.clock_slowdown);
    target->grants.push_back({order.keys, order.fence, arrival + duration});
    return order_status::done;
}

void ownership_simulation::grant(simulated_instance& from, const grant_order& order)
{
    const auto session = from.session;
    if (!reaches(from, order.target.id) || occurs(faults_.order_not_sent)) {
        schedule(network_delay, [this, &from, session, order] {
            complete_order(from, session, order.id, order_status::not_sent, {});
        });
        return;
    }
    if (occurs(faults_.order_delayed)) {
        const auto arrival = now_;
        schedule(random_duration(2000, 5000), [this, order, arrival] { apply_grant(order, arrival); });
        schedule(milliseconds{1000}, [this, &from, session, order] {
            complete_order(from, session, order.id, order_status::unknown, {});
        });
        return;
    }
    const auto status = apply_grant(order, now_);
    const bool answer_lost = occurs(faults_.order_answer_lost);
    schedule(answer_lost ? milliseconds{1000} : network_delay,
             [this, &from, session, order, status, answer_lost] {
                 complete_order(from, session, order.id, answer_lost ? order_status::unknown : status, {});
             });
}

void ownership_simulation::release(simulated_instance& from, const release_order& order)
{
    const auto session = from.session;
    auto* target = find(order.target.id);
    auto status = order_status::done;
    if (!reaches(from, order.target.id) || (target != nullptr && occurs(faults_.order_not_sent)))
        status = order_status::not_sent;
    else if (target == nullptr)
        status = order_status::terminated;
    else {
        for (std::uint32_t key = order.keys.first; key <= order.keys.last; ++key)
            target->highest_fences[key] = std::max(target->highest_fences[key], order.fence);
        std::vector<simulated_target::granted_range> remaining;
        for (const auto& granted : target->grants) {
            if (!granted.keys.overlaps(order.keys)) {
                remaining.push_back(granted);
                continue;
            }
            if (granted.keys.first < order.keys.first)
                remaining.push_back({{granted.keys.first, static_cast<key_number>(order.keys.first - 1)},
                                     granted.fence,
                                     granted.until});
            if (granted.keys.last > order.keys.last)
                remaining.push_back({{static_cast<key_number>(order.keys.last + 1), granted.keys.last},
                                     granted.fence,
                                     granted.until});
        }
        target->grants = std::move(remaining);
        if (occurs(faults_.order_answer_lost))
            status = order_status::unknown;
    }
    schedule(status == order_status::unknown ? milliseconds{1000} : random_duration(20, 300),
             [this, &from, session, order, status] { complete_order(from, session, order.id, status, "h"); });
}

void ownership_simulation::check_grants()
{
    struct held_range {
        key_range keys;
        const simulated_target* target;
    };
    std::vector<held_range> grants;
    for (const auto& target : targets_) {
        std::erase_if(target->grants,
                      [&](const simulated_target::granted_range& granted) { return granted.until <= now_; });
        for (const auto& granted : target->grants)
            grants.push_back({granted.keys, target.get()});
    }
    std::ranges::sort(grants, {}, [](const held_range& held) { return held.keys.first; });
    std::uint32_t covered_until = 0;
    const simulated_target* covered_by = nullptr;
    for (const auto& current : grants) {
        if (covered_by != nullptr && current.target != covered_by && current.keys.first < covered_until)
            violations_.push_back("key " + std::to_string(current.keys.first) + " is held by " +
                                  covered_by->incarnation.id + " and " + current.target->incarnation.id);
        if (current.keys.last + 1U > covered_until) {
            covered_until = current.keys.last + 1U;
            covered_by = current.target;
        }
    }
}

std::string ownership_simulation::holder(key_number key) const
{
    for (const auto& target : targets_)
        if (target->alive && std::ranges::any_of(target->grants, [&](const auto& granted) {
                return granted.keys.contains(key);
            }))
            return target->incarnation.id;
    return {};
}

double ownership_simulation::held_key_fraction() const
{
    std::vector<bool> held(std::size_t{last_key} + 1);
    for (const auto& target : targets_)
        if (target->alive)
            for (const auto& granted : target->grants)
                std::fill(held.begin() + granted.keys.first, held.begin() + granted.keys.last + 1, true);
    return static_cast<double>(std::ranges::count(held, true)) / (last_key + 1.0);
}

} // namespace teaseltally::test
