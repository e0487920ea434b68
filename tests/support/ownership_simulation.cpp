#include "ownership_simulation.hpp"

#include <algorithm>

namespace teaseltally::test {
namespace {

constexpr milliseconds step_duration{50};
constexpr milliseconds network_delay{5};
constexpr auto service = "ledger";
/// Low, so that records are written only in order to coalesce ranges.
constexpr std::size_t max_ranges = 48;

} // namespace

struct ownership_simulation::simulated_instance {
    std::uint64_t session = 0;
    std::unique_ptr<range_manager> manager;
    ownership_log log;
    /// Next position to read; none before the first snapshot.
    std::optional<log_position> position;
    time_point read_sent{};
    /// Time until which this instance reads nothing, although it can append.
    time_point reads_late_until{};
    time_point next_report_at{};
    time_point paused_until{};
    time_point stopped_until{};
    time_point log_unreachable_until{};
    time_point links_lost_until{};
    /// Time from which this instance knows that its links are lost.
    time_point links_known_lost_from{};
    /// Time until which this instance cannot reach a target, by target id.
    std::map<std::string, time_point> unreachable_targets;
    /// Open connection to a target.
    struct connection {
        unsigned process = 0;
        time_point accepted_at{};
    };
    /// Connections, by target id.
    std::map<std::string, connection> connections;
};

struct ownership_simulation::simulated_target {
    struct granted_range {
        key_range keys;
        std::uint64_t fence;
        time_point until;
    };
    target_incarnation incarnation;
    /// Number of the process, which rises with each restart.
    unsigned process = 1;
    bool alive = true;
    bool draining = false;
    /// Whether no process responds at the target's address.
    bool unreachable = false;
    /// Whether the host refuses connections.
    bool refuses = false;
    time_point registered_at{};
    /// Sequence number of the last registration after a lapse.
    std::uint64_t sequence = 1;
    std::vector<granted_range> grants;
    std::vector<std::uint64_t> highest_fences = std::vector<std::uint64_t>(std::size_t{last_key} + 1);
};

ownership_simulation::ownership_simulation(std::uint64_t seed, ownership_faults faults, unsigned coordinators,
                                           unsigned targets, ownership_guards guards)
    : random_(seed), faults_(faults), guards_(guards)
{
    for (unsigned index = 0; index < targets; ++index) {
        targets_.push_back(std::make_unique<simulated_target>());
        targets_.back()->incarnation = {"t" + std::to_string(next_target_), 0,
                                        "10.0.0." + std::to_string(next_target_) + ":80"};
        ++next_target_;
        const auto& incarnation = targets_.back()->incarnation;
        directory_.update({incarnation.id, service, incarnation.address, "a", 4, false, {}, 0, 1},
                          {0, ++directory_position_});
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

void ownership_simulation::return_store(milliseconds age, milliseconds outage)
{
    constexpr int max_notice_delay_ms = 1500;
    std::erase_if(log_, [&](const stored_record& record) { return record.written_at > now_ - age; });
    ++store_era_;
    for (auto& instance : instances_) {
        instance->log_unreachable_until = std::max(instance->log_unreachable_until, now_ + outage);
        instance->reads_late_until = now_ + outage + random_duration(0, max_notice_delay_ms);
    }
    for (auto& target : targets_) {
        if (!target->alive || target->draining || target->registered_at <= now_ - age)
            continue;
        directory_.remove(target->incarnation.id, {0, ++directory_position_});
        schedule(outage + random_duration(500, 2000), [this, id = target->incarnation.id] {
            if (const auto* back = find(id))
                directory_.update({id, service, back->incarnation.address, "a", 4, back->draining, {}, 0, 1},
                                  {0, ++directory_position_});
        });
    }
}

void ownership_simulation::kill(simulated_instance& instance, milliseconds duration) const
{
    instance.manager.reset();
    instance.connections.clear();
    instance.stopped_until = now_ + duration;
}

void ownership_simulation::kill_all_instances()
{
    for (auto& instance : instances_)
        kill(*instance, milliseconds{500});
}

void ownership_simulation::drain_for_a_while(const std::string& id)
{
    start_drain(id);
    schedule(milliseconds{8000}, [this, id] {
        if (auto* target = find(id))
            restart_target(*target);
    });
}

void ownership_simulation::begin_drill()
{
    const auto drained = targets_[random_() % targets_.size()]->incarnation.id;
    const bool coordinator_is_cut_off = occurs(0.4);
    const auto drain_delay = coordinator_is_cut_off ? random_duration(2700, 3600) : milliseconds{0};
    const auto return_delay = drain_delay + random_duration(400, 2500);
    const auto outage = random_duration(300, 2000);
    if (coordinator_is_cut_off)
        for (auto& instance : instances_)
            if (instance->manager && instance->manager->is_coordinator())
                instance->log_unreachable_until = now_ + return_delay;
    schedule(drain_delay, [this, drained] { drain_for_a_while(drained); });
    schedule(return_delay, [this, outage] { return_store(random_duration(500, 4000), outage); });
    // Either some instances end at the return, or all of them once one may coordinate the new era.
    if (occurs(0.5))
        schedule(return_delay, [this] {
            for (auto& instance : instances_)
                if (occurs(0.5))
                    kill(*instance, random_duration(200, 1000));
        });
    else if (occurs(0.6))
        schedule(return_delay + outage + random_duration(500, 4000), [this] { kill_all_instances(); });
}

void ownership_simulation::inject_faults()
{
    if (faults_.store_return > 0 && occurs(faults_.store_return)) {
        if (faults_.store_drill)
            begin_drill();
        else {
            // Compilers differ in the order in which they evaluate arguments.
            const auto outage = random_duration(300, 2000);
            return_store(random_duration(500, 4000), outage);
        }
    }
    for (auto& instance : instances_) {
        if (occurs(faults_.pause))
            instance->paused_until = now_ + random_duration(500, 15'000);
        if (occurs(faults_.kill))
            kill(*instance, random_duration(200, 3000));
        if (faults_.stop > 0 && instance->manager && occurs(faults_.stop))
            stop(*instance);
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
        else if (faults_.restart > 0 && target->alive && !target->draining && occurs(faults_.restart)) {
            start_drain(target->incarnation.id);
            constexpr milliseconds drain_time{3000};
            schedule(drain_time, [this, drained = target.get()] { restart_process(*drained); });
        }
        else if (faults_.lapse > 0 && target->alive && !target->draining && occurs(faults_.lapse))
            lose_registration(*target);
    }
}

void ownership_simulation::lose_registration(simulated_target& target)
{
    const auto lost = target.incarnation;
    directory_.remove(lost.id, {0, ++directory_position_});
    schedule(random_duration(1000, 8000), [this, lost, &target] {
        if (target.incarnation == lost && target.alive && !target.draining)
            directory_.update({lost.id, service, lost.address, "a", 4, false, {}, 0, ++target.sequence},
                              {0, ++directory_position_});
    });
}

void ownership_simulation::stop(simulated_instance& instance)
{
    instance.manager->hand_over();
    schedule(random_duration(200, 6000), [this, &instance, session = instance.session] {
        if (instance.manager && instance.session == session)
            kill(instance, random_duration(200, 3000));
    });
}

void ownership_simulation::start_drain(const std::string& id)
{
    if (auto* target = find(id)) {
        target->draining = true;
        directory_.update({id, service, target->incarnation.address, "a", 4, true, {}, 0, 2},
                          {0, ++directory_position_});
    }
}

void ownership_simulation::fail_target(const std::string& id, bool refuses)
{
    auto* target = find(id);
    target->refuses = refuses;
    target->alive = false;
    target->unreachable = true;
    target->grants.clear();
    directory_.remove(id, {0, ++directory_position_});
}

void ownership_simulation::kill_coordinator()
{
    for (auto& instance : instances_)
        if (instance->manager && instance->manager->is_coordinator() &&
            instance->log_unreachable_until <= now_)
            kill(*instance, milliseconds{500});
}

void ownership_simulation::disconnect_log(milliseconds duration)
{
    for (auto& instance : instances_)
        instance->log_unreachable_until = now_ + duration;
}

void ownership_simulation::restart_process(simulated_target& target)
{
    target.alive = false;
    ++target.process;
    target.grants.clear();
    std::ranges::fill(target.highest_fences, 0);
    schedule(random_duration(100, 500), [this, &target] {
        target.alive = true;
        target.draining = false;
        target.registered_at = now_;
        const auto& incarnation = target.incarnation;
        target.incarnation.start_unix_ms = target.process;
        directory_.update(
            {incarnation.id, service, incarnation.address, "a", 4, false, {}, incarnation.start_unix_ms, 1},
            {0, ++directory_position_});
    });
}

bool ownership_simulation::may_send_grant(simulated_instance& from, const grant_order& order)
{
    const auto* target = find(order.target.id);
    if (target == nullptr)
        return true;
    auto& connection = from.connections[order.target.id];
    if (connection.process != target->process && from.manager->may_send_grant(now_, order.id, now_))
        connection = {target->process, now_};
    return connection.process == target->process &&
           from.manager->may_send_grant(now_, order.id, connection.accepted_at);
}

void ownership_simulation::restart_target(simulated_target& target)
{
    target.alive = false;
    ++target.process;
    target.grants.clear();
    const auto previous = target.incarnation;
    schedule(random_duration(500, 6000), [this, previous, &target] {
        directory_.remove(previous.id, {0, ++directory_position_});
        target.incarnation.id = "t" + std::to_string(next_target_++);
        target.alive = true;
        target.draining = false;
        target.registered_at = now_;
        std::ranges::fill(target.highest_fences, 0);
        directory_.update(
            {target.incarnation.id, service, target.incarnation.address, "a", 4, false, {}, 0, 1},
            {0, ++directory_position_});
    });
}

void ownership_simulation::tick_instance(simulated_instance& instance)
{
    if (now_ < instance.stopped_until || now_ < instance.paused_until)
        return;
    if (!instance.manager) {
        instance.session = next_session_++;
        instance.log = ownership_log{guards_};
        instance.position.reset();
        instance.manager = std::make_unique<range_manager>(
            coordinator_claim{"n" + std::to_string(instance.session), instance.session, "10.1.0.1:1"},
            ownership_timing{.max_ranges = max_ranges}, random_duration(0, 500), guards_);
    }
    read_log(instance);
    if (faults_.coordinator_reports && now_ >= instance.next_report_at)
        ask_coordinator(instance);
    for (const auto& [key, rate] : hot_key_rates_)
        instance.manager->record_load(service, key, rate * 0.05);
    instance.manager->set_targets_reachable(now_ < instance.links_known_lost_from ||
                                            now_ >= instance.links_lost_until);
    const ownership_view view{instance.log, directory_, keyed_services_, instance.read_sent, true};
    for (auto& action : instance.manager->tick(now_, view))
        execute(instance, std::move(action));
}

void ownership_simulation::ask_coordinator(simulated_instance& instance)
{
    instance.next_report_at = now_ + milliseconds{500};
    const auto& claim = instance.log.claim();
    if (!claim || claim->session == instance.session)
        return;
    const auto named = std::ranges::find_if(
        instances_, [&](const auto& other) { return other->manager && other->session == claim->session; });
    // A process that is paused does not answer, which says nothing.
    auto report = coordinator_report::ended;
    if (named != instances_.end())
        report = (*named)->manager->is_coordinator() || now_ < (*named)->paused_until
                     ? coordinator_report::coordinates
                     : coordinator_report::idle;
    instance.manager->record_coordinator_report(claim->session, report);
}

void ownership_simulation::read_snapshot(simulated_instance& instance)
{
    std::map<std::string, std::size_t> newest;
    for (std::size_t offset = 0; offset < log_.size(); ++offset)
        newest[log_[offset].content.key] = offset;
    for (const auto& [key, offset] : newest)
        instance.log.apply(now_, key, log_[offset].content.value, {store_era_, offset});
    instance.position = {store_era_, log_.size()};
}

void ownership_simulation::read_log(simulated_instance& instance)
{
    if (now_ < instance.log_unreachable_until || now_ < instance.reads_late_until)
        return;
    if (!instance.position || instance.position->era != store_era_)
        read_snapshot(instance);
    for (auto& position = *instance.position; position.offset < log_.size(); position = position.after(1)) {
        const auto& record = log_[position.offset].content;
        instance.log.apply(now_, record.key, record.value, position);
    }
    instance.log.set_position(*instance.position);
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

append_status ownership_simulation::apply_append(const append_order& order)
{
    if (order.expected_end.offset != log_.size())
        return append_status::stale;
    for (const auto& record : order.records)
        log_.push_back({record, now_});
    return order.expected_end.era == store_era_ ? append_status::done : append_status::stale;
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
    else if (const auto applied = apply_append(order); occurs(faults_.append_answer_lost))
        status = append_status::unknown;
    else
        status = applied;
    schedule(status == append_status::unknown ? milliseconds{900} : network_delay,
             [this, &from, session, status, order = std::move(order)] {
                 if (!from.manager || from.session != session)
                     return;
                 if (status == append_status::done && from.position == order.expected_end) {
                     for (const auto& record : order.records) {
                         from.log.apply(now_, record.key, record.value, *from.position);
                         from.position = from.position->after(1);
                     }
                 }
                 from.manager->on_append_completed(now_, status);
             });
}

void ownership_simulation::complete_order(simulated_instance& to, std::uint64_t session, std::uint64_t order,
                                          order_status status, std::string handover)
{
    if (!to.manager || to.session != session)
        return;
    to.manager->on_order_completed(now_, order, status, std::move(handover));
    if (now_ < to.paused_until)
        return;
    for (auto& action : to.manager->follow_up_orders(now_))
        execute(to, std::move(action));
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
    if (arrival + duration > now_)
        check_fence(order);
    target->grants.push_back({order.keys, order.fence, arrival + duration});
    return order_status::done;
}

void ownership_simulation::check_fence(const grant_order& order)
{
    for (std::uint32_t key = order.keys.first; key <= order.keys.last; ++key) {
        auto& fences = fences_[key];
        if (fences.target != order.target.id && order.fence > fences.highest) {
            fences.highest_of_others = fences.highest;
            fences.target = order.target.id;
        }
        if (fences.target == order.target.id)
            fences.highest = std::max(fences.highest, order.fence);
        const auto others = fences.target == order.target.id ? fences.highest_of_others : fences.highest;
        if (order.fence > others)
            continue;
        violations_.push_back("key " + std::to_string(key) + " is granted to " + order.target.id +
                              " with fence " + std::to_string(order.fence) + " after " +
                              std::to_string(others));
        return;
    }
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
    if (!may_send_grant(from, order)) {
        schedule(network_delay, [this, &from, session, order] {
            complete_order(from, session, order.id, order_status::withheld, {});
        });
        return;
    }
    if (occurs(faults_.order_delayed)) {
        const auto arrival = now_;
        const auto* target = find(order.target.id);
        schedule(random_duration(2000, 5000),
                 [this, order, arrival, process = target == nullptr ? 0 : target->process] {
                     // An order that a process has received ends with it.
                     const auto* receiver = find(order.target.id);
                     if (receiver != nullptr && receiver->process == process)
                         apply_grant(order, arrival);
                 });
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
    if (std::ranges::any_of(targets_, [&](const auto& failed) {
            return failed->refuses && failed->incarnation.id == order.target.id;
        }))
        status = order_status::refused;
    else if (!reaches(from, order.target.id) || (target != nullptr && occurs(faults_.order_not_sent)))
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
