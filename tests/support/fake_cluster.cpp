#include "fake_cluster.hpp"

#include <algorithm>
#include <functional>
#include <iostream>
#include <limits>

namespace fake {
namespace {

constexpr std::uint64_t slot_count = 6;
constexpr milliseconds tick_interval{25};
/// Time after the start of draining for which a target may still receive new requests, 3 s in the
/// coordinator. One tick is added because a node acts only once in each tick.
constexpr milliseconds drain_dispatch_time{3000 + 25};
constexpr microseconds min_delay{300};
constexpr microseconds max_delay{30'000};
const std::vector<std::string> data_centres{"east", "west"};

std::string base_document(milliseconds isolation_grace, milliseconds max_deadline)
{
    std::string text = "[deployment]\nname = fake\nseed = 1\n";
    for (const auto& name : data_centres)
        text += "[data_centre." + name + "]\nregion = r\n";
    text += "[service.ledger]\nkeyed = true\nslots = " + std::to_string(slot_count) +
            "\ndeadline_ms = 500\nmax_deadline_ms = " + std::to_string(max_deadline.count()) +
            "\nisolation_grace_ms = " + std::to_string(isolation_grace.count()) + "\n";
    for (std::size_t index = 0; index < 4; ++index) {
        const std::string number_text = std::to_string(index);
        text += "[target.t" + number_text + "]\nservice = ledger\ndata_centre = " + data_centres[index % 2] +
                "\naddress = 127.0.0.1:1\nslots = 4\nchecks_grants = " + (index < 2 ? "true" : "false") +
                "\n";
    }
    return text;
}

/// A target that may check grants, freeze or be down.
struct fake_target {
    std::string name;
    bool checks_grants = false;
    dispatcher_token token;
    /// Lowest epoch that is accepted for each slot ("0:" and its number) and hot key ("1:" and its hash).
    std::map<std::string, epoch> min_epochs;
    std::vector<execution> running;
    time_point frozen_until{};
    time_point down_until{};
};

/// An instance with its coordinator; the coordinator is null while the instance is stopped.
struct node {
    std::size_t index = 0;
    std::string data_centre;
    std::unique_ptr<coordinator> core;
    time_point paused_until{};
    time_point restart_at{};
    /// Rate of this node's clock relative to simulated time.
    double clock_rate = 1.0;
    epoch highest_position{};
    std::uint64_t highest_version = 0;
    std::map<target_id, time_point> failing_since;
    /// Time at which this node learned that a target is draining, by its own clock.
    std::map<target_id, time_point> draining_since;
};

struct event {
    time_point at;
    std::uint64_t order;
    std::function<void()> callback;
    bool operator>(const event& other) const { return std::tie(at, order) > std::tie(other.at, other.order); }
};

class cluster {
public:
    explicit cluster(const schedule& plan) : plan_(plan), random_(plan.seed)
    {
        const auto documents =
            configuration_documents{base_document(plan.isolation_grace, plan.max_deadline), {}};
        log_.push_back(encode({session_id{1}, ++operator_sequence_, configuration_publish{0, documents}}));
        for (std::size_t index = 0; index < 4; ++index) {
            targets_.emplace_back();
            targets_.back().name = "t" + std::to_string(index);
            targets_.back().checks_grants = index < 2;
        }
        for (std::size_t index = 0; index < plan.nodes_per_data_centre * data_centres.size(); ++index) {
            nodes_.emplace_back();
            nodes_.back().index = index;
            nodes_.back().data_centre = data_centres[index % data_centres.size()];
            restart(nodes_.back());
        }
        if (plan.stale_voter_pair)
            script_stale_voter_pair();
    }

    schedule_result finish()
    {
        const auto end = now_ + plan_.duration;
        while (now_ < end) {
            if (now_ >= next_fault_at_)
                start_faults();
            advance();
        }
        for (auto& violation : check_executions(history_))
            add_violation(std::move(violation));
        compare_states();
        result_.executions = history_.size();
        measure_gaps();
        return std::move(result_);
    }

private:
    double random_fraction() { return std::uniform_real_distribution<>(0, 1)(random_); }
    std::uint64_t random_below(std::uint64_t count) { return random_() % count; }
    microseconds random_delay()
    {
        const auto span = static_cast<double>((max_delay - min_delay).count());
        const double skewed = random_fraction() * random_fraction() * random_fraction();
        return min_delay + microseconds{static_cast<std::int64_t>(span * skewed)};
    }

    void add_violation(std::string violation)
    {
        if (result_.violations.size() < 5)
            result_.violations.push_back("seed " + std::to_string(plan_.seed) + ": " + std::move(violation));
    }

    void trace(const std::string& line) const
    {
        if (plan_.trace)
            std::cout << now_.time_since_epoch().count() / 1000 << " " << line << "\n";
    }

    void call_at(time_point when, std::function<void()> callback)
    {
        events_.push({when, ++order_, std::move(callback)});
    }

    [[nodiscard]] time_point clock_of(const node& member) const
    {
        const auto elapsed = now_.time_since_epoch().count();
        return time_point{
            microseconds{static_cast<std::int64_t>(static_cast<double>(elapsed) * member.clock_rate)}};
    }

    [[nodiscard]] time_point true_time(const node& member, time_point local_time) const
    {
        return time_point{microseconds{static_cast<std::int64_t>(
            static_cast<double>(local_time.time_since_epoch().count()) / member.clock_rate)}};
    }

    [[nodiscard]] bool is_running(const node& member) const
    {
        return member.core && now_ >= member.paused_until;
    }

    void restart(node& restarted)
    {
        coordinator_settings settings;
        settings.session = session_id{++next_session_ * 1000 + restarted.index};
        settings.instance = "n" + std::to_string(restarted.index);
        settings.data_centre = restarted.data_centre;
        settings.address = "127.0.0.1";
        settings.guards = plan_.guards;
        restarted.core = std::make_unique<coordinator>(settings);
        restarted.clock_rate = 0.98 + 0.04 * random_fraction();
        restarted.highest_position = {};
        restarted.highest_version = 0;
        restarted.failing_since.clear();
        restarted.draining_since.clear();
    }

    [[nodiscard]] node* node_of(session_id session)
    {
        const auto found = std::ranges::find_if(
            nodes_, [&](const node& n) { return n.core && n.core->settings().session == session; });
        return found == nodes_.end() ? nullptr : &*found;
    }

    [[nodiscard]] bool is_partitioned(std::size_t left, std::size_t right) const
    {
        return now_ < partition_until_ && partition_sides_[left] != partition_sides_[right];
    }
    [[nodiscard]] bool is_log_unreachable(std::size_t index) const
    {
        return now_ < log_outage_until_ || (now_ < partition_until_ && log_unreachable_[index]);
    }
    [[nodiscard]] bool is_target_unreachable(const node& from, const fake_target& to) const
    {
        return now_ < to.down_until || (now_ < partition_until_ && targets_unreachable_[from.index]);
    }

    void advance()
    {
        now_ += tick_interval;
        while (!events_.empty() && events_.top().at <= now_) {
            const auto callback = events_.top().callback;
            events_.pop();
            callback();
        }
        for (auto& each : nodes_) {
            if (!each.core && now_ >= each.restart_at)
                restart(each);
            if (!is_running(each))
                continue;
            send_requests(each);
            read_log(each);
            probe_targets(each);
            each.core->tick(clock_of(each));
            perform_actions(each);
            check_progress(each);
            if (each.core->stopped()) {
                each.core.reset();
                each.restart_at = now_ + milliseconds{random_below(2000)};
            }
        }
    }

    void read_log(node& reader)
    {
        if (is_log_unreachable(reader.index) || random_fraction() < 0.3)
            return;
        for (std::uint64_t offset = number(reader.core->state().position()) + 1; offset <= log_.size();
             ++offset) {
            reader.core->apply_record(epoch{offset}, log_[offset - 1], clock_of(reader));
            update_drain_times(reader);
        }
    }

    void check_progress(node& each)
    {
        const auto& state = each.core->state();
        if (state.position() < each.highest_position)
            add_violation("node " + std::to_string(each.index) + " position decreased from " +
                          std::to_string(number(each.highest_position)) + " to " +
                          std::to_string(number(state.position())));
        if (state.version() < each.highest_version)
            add_violation("node " + std::to_string(each.index) + " configuration version decreased from " +
                          std::to_string(each.highest_version) + " to " + std::to_string(state.version()));
        each.highest_position = state.position();
        each.highest_version = state.version();
    }

    /// Observes targets as a dispatcher does: a target that fails for 1.2 s counts as down, which stands for
    /// two failed probes in a row.
    void probe_targets(node& each)
    {
        for (std::uint32_t index = 0; index < each.core->state().targets().size(); ++index) {
            const target_id target{index};
            const auto& probed = targets_[index];
            if (!each.core->is_dispatcher(target, clock_of(each))) {
                each.failing_since.erase(target);
                continue;
            }
            const bool failing = is_target_unreachable(each, probed) || now_ < probed.frozen_until;
            if (!failing) {
                each.failing_since.erase(target);
                each.core->record_target_condition(target, target_condition::up);
            }
            else if (now_ >= each.failing_since.try_emplace(target, now_).first->second + milliseconds{1200})
                each.core->record_target_condition(target, target_condition::down);
        }
    }

    void perform_actions(node& from)
    {
        for (auto& action : from.core->take_actions()) {
            if (const auto* sent = std::get_if<send_action>(&action))
                send(from, *sent);
            else if (const auto* appended = std::get_if<append_action>(&action))
                append(from, appended->record);
            else if (const auto* revoke = std::get_if<revoke_action>(&action))
                send_revoke(from, *revoke);
            else if (const auto* log_event = std::get_if<log_event_action>(&action))
                trace("node " + std::to_string(from.index) + " session " +
                      std::to_string(number(from.core->settings().session)) + " " + log_event->line);
            else if (const auto* change = std::get_if<dispatcher_action>(&action))
                result_.dispatcher_changes += change->held ? 1 : 0;
        }
    }

    void send(node& from, const send_action& sent)
    {
        const std::string text = encode(sent.message);
        const int copies = 1 + (random_fraction() < plan_.message_duplication ? 1 : 0);
        for (int copy = 0; copy < copies; ++copy) {
            if (random_fraction() < plan_.message_loss)
                continue;
            deliver(now_ + random_delay(), from.index, sent.to, text);
        }
    }

    void deliver(time_point when, std::size_t from, session_id to, const std::string& text)
    {
        call_at(when, [this, from, to, text] {
            auto* receiver = node_of(to);
            if (receiver == nullptr || is_partitioned(from, receiver->index))
                return;
            if (!is_running(*receiver)) {
                deliver(receiver->paused_until + microseconds{1}, from, to, text);
                return;
            }
            const auto message = decode_notification(text);
            if (failure(message) != nullptr) {
                add_violation("message cannot be decoded: " + text);
                return;
            }
            receiver->core->receive(std::get<peer_message>(message), clock_of(*receiver));
            perform_actions(*receiver);
        });
    }

    void append(node& from, const std::string& record)
    {
        const auto session = from.core->settings().session;
        call_at(now_ + random_delay(), [this, session, record, index = from.index] {
            if (!is_log_unreachable(index)) {
                log_.push_back(record);
                if (plan_.duplicate_appends && random_fraction() < 0.05)
                    call_at(now_ + random_delay() * 40, [this, record] { log_.push_back(record); });
            }
            if (auto* author = node_of(session))
                author->core->append_finished(clock_of(*author));
        });
    }

    void send_revoke(node& from, const revoke_action& revoke)
    {
        const auto session = from.core->settings().session;
        call_at(now_ + random_delay(), [this, session, revoke] {
            auto* author = node_of(session);
            auto& target = targets_[number(revoke.target)];
            if (author == nullptr || is_target_unreachable(*author, target) || now_ < target.frozen_until)
                return;
            if (plan_.targets_check_tokens && revoke.token < target.token)
                return;
            target.token = std::max(target.token, revoke.token);
            bool idle = true;
            for (const auto& entry : revoke.entries) {
                auto& min_epoch =
                    target.min_epochs[std::to_string(entry.hot) + ":" + std::to_string(entry.slot_or_key)];
                min_epoch = std::max(min_epoch, entry.since);
                idle = idle && std::ranges::none_of(target.running, [&](const execution& run) {
                           return run.end > now_ && (entry.hot ? run.key == entry.slot_or_key
                                                               : run.key % slot_count == entry.slot_or_key);
                       });
            }
            if (!idle || !is_running(*author))
                return;
            author->core->mark_revoked(revoke.entries);
        });
    }

    /// Sends requests for a few keys to the owners that the node knows.
    void send_requests(node& each)
    {
        for (int tries = 0; tries < 4 && each.core->state().version() > 0; ++tries)
            dispatch(each, key_hash{random_below(slot_count * 2)});
    }

    /// Updates `draining_since` of a node. It must be called after each record, since a target may stop and
    /// resume draining between two ticks.
    void update_drain_times(node& reader) const
    {
        const auto& state = reader.core->state();
        for (std::uint32_t index = 0; index < state.targets().size(); ++index) {
            const target_id target{index};
            const auto* settings = state.settings_of(target);
            if (settings != nullptr && settings->draining)
                reader.draining_since.try_emplace(target, clock_of(reader));
            else
                reader.draining_since.erase(target);
        }
    }

    /// Checks that a draining target receives no new request once `drain_dispatch_time` has passed on the
    /// clock of its dispatcher.
    void check_draining(const node& from, target_id target)
    {
        const auto since = from.draining_since.find(target);
        if (since != from.draining_since.end() && clock_of(from) > since->second + drain_dispatch_time)
            add_violation("t" + std::to_string(number(target)) +
                          " received a new request after draining for the dispatch time");
    }

    /// Checks that no other running node holds the lease on the same target. A reset of the voter group
    /// permits two holders.
    void check_single_dispatcher(const node& from, target_id target)
    {
        for (const auto& other : nodes_) {
            if (&other == &from || !is_running(other) || !other.core->is_dispatcher(target, clock_of(other)))
                continue;
            const auto group = other.core->state().voter_group_of(target);
            if (was_reset(from, group) || was_reset(other, group))
                continue;
            add_violation("nodes " + std::to_string(from.index) + " and " + std::to_string(other.index) +
                          " dispatch to t" + std::to_string(number(target)) + " at the same time");
        }
    }

    [[nodiscard]] static bool was_reset(const node& member, const std::string& group)
    {
        const auto found = member.core->state().voter_groups().find(group);
        return found != member.core->state().voter_groups().end() && found->second.reset_at != no_epoch;
    }

    void dispatch(node& from, key_hash key)
    {
        const service_id service{0};
        const auto owner = from.core->state().ownership(service, key).owner;
        if (owner == no_target || is_target_unreachable(from, targets_[number(owner)]))
            return;
        const auto local_now = clock_of(from);
        const milliseconds limit{100 +
                                 random_below(static_cast<std::uint64_t>(plan_.max_deadline.count() - 100))};
        const time_point local_deadline = local_now + limit;
        const auto outcome =
            from.core->begin({owner, service, key, from.core->state().position(), local_deadline}, local_now);
        const auto* permit = std::get_if<dispatch_permit>(&outcome);
        if (permit == nullptr)
            return;
        check_single_dispatcher(from, owner);
        check_draining(from, owner);
        const bool is_delayed = random_fraction() < plan_.delayed_writes;
        const auto arrival = now_ + random_delay() +
                             (is_delayed ? microseconds{milliseconds{random_below(6000)}} : microseconds{0});
        const auto session = from.core->settings().session;
        const auto deadline = true_time(from, local_deadline);
        const auto request = ++next_request_;
        call_at(arrival, [this, permit = *permit, owner, key, deadline, session, request] {
            deliver_request(permit, owner, key, deadline, session, request);
        });
    }

    void deliver_request(const dispatch_permit& permit, target_id owner, key_hash key, time_point deadline,
                         session_id session, std::uint64_t request)
    {
        auto& target = targets_[number(owner)];
        if (now_ < target.frozen_until) {
            call_at(target.frozen_until, [this, permit, owner, key, deadline, session, request] {
                deliver_request(permit, owner, key, deadline, session, request);
            });
            return;
        }
        const std::uint64_t slot_or_key = permit.hot ? number(key) : number(permit.slot.slot);
        const auto min_epoch =
            target.min_epochs[std::to_string(permit.hot) + ":" + std::to_string(slot_or_key)];
        const bool fenced = target.checks_grants && plan_.targets_check_tokens &&
                            (permit.token < target.token || permit.owner_epoch < min_epoch);
        const bool refused = fenced || now_ >= deadline || now_ < target.down_until;
        if (!refused) {
            if (target.checks_grants)
                target.token = std::max(target.token, permit.token);
            const auto end =
                std::min(deadline, now_ + milliseconds{5 + random_below(static_cast<std::uint64_t>(
                                                               plan_.max_execution_time.count()))});
            const execution run{target.name, number(key), request, permit.owner_epoch, now_, end};
            target.running.push_back(run);
            history_.push_back(run);
            trace("execute " + target.name + " key " + std::to_string(run.key) + " epoch " +
                  std::to_string(number(run.owner_epoch)) + " by " + std::to_string(number(session)) +
                  " until " + std::to_string(run.end.time_since_epoch().count() / 1000));
            std::erase_if(target.running, [&](const execution& e) { return e.end <= now_; });
        }
        const auto done = refused ? now_ : target.running.back().end;
        call_at(done + random_delay(), [this, ticket = permit.ticket, session] {
            auto* author = node_of(session);
            if (author == nullptr)
                return;
            const bool lost = random_fraction() < plan_.message_loss;
            author->core->finish(ticket, !lost, clock_of(*author));
        });
    }

    void start_faults()
    {
        next_fault_at_ = now_ + milliseconds{700 + random_below(2500)};
        const double total_weight = plan_.kills + plan_.pauses + plan_.partitions + plan_.log_outages +
                                    plan_.drains + plan_.target_faults + plan_.graceful_stops +
                                    plan_.single_log_accesses + plan_.partial_log_outages +
                                    plan_.pauses_after_release;
        double roll = random_fraction() * total_weight;
        const auto is_selected = [&](double weight) { return (roll -= weight) < 0; };
        auto& victim = nodes_[random_below(nodes_.size())];
        if (is_selected(plan_.kills)) {
            trace("kill node " + std::to_string(victim.index));
            victim.core.reset();
            victim.restart_at = now_ + milliseconds{random_below(4000)};
        }
        else if (is_selected(plan_.pauses))
            pause(victim);
        else if (is_selected(plan_.partitions))
            start_partition();
        else if (is_selected(plan_.log_outages))
            log_outage_until_ = now_ + milliseconds{500 + random_below(6000)};
        else if (is_selected(plan_.drains))
            publish_drain(random_below(4));
        else if (is_selected(plan_.graceful_stops)) {
            trace("stop node " + std::to_string(victim.index));
            if (is_running(victim))
                victim.core->stop(clock_of(victim));
        }
        else if (is_selected(plan_.single_log_accesses))
            start_single_log_access();
        else if (is_selected(plan_.partial_log_outages))
            start_partial_log_outage();
        else if (is_selected(plan_.pauses_after_release))
            start_pause_after_release();
        else {
            auto& target = targets_[random_below(targets_.size())];
            if (random_fraction() < 0.5)
                target.frozen_until = now_ + milliseconds{500 + random_below(5000)};
            else
                target.down_until = now_ + milliseconds{500 + random_below(5000)};
        }
    }

    void pause(node& victim)
    {
        victim.paused_until = now_ + milliseconds{100 + random_below(7000)};
        trace("pause node " + std::to_string(victim.index) + " until " +
              std::to_string(victim.paused_until.time_since_epoch().count() / 1000));
    }

    /// Lets only one instance of a data centre reach the log. The other instances of the data centre reach
    /// each other and the targets, but not that instance.
    void start_single_log_access()
    {
        trace("island");
        partition_until_ = now_ + milliseconds{18'000};
        next_fault_at_ = now_ + milliseconds{19'000};
        const auto data_centre = random_below(2);
        const auto connected = data_centre + 2 * random_below(plan_.nodes_per_data_centre);
        for (std::size_t index = 0; index < nodes_.size(); ++index) {
            const bool in_data_centre = index % 2 == data_centre;
            partition_sides_[index] = in_data_centre ? (index == connected ? 1 : 2) : 0;
            log_unreachable_[index] = in_data_centre && index != connected;
            targets_unreachable_[index] = false;
        }
        for (const int wait : {12'500, 14'000, 15'500})
            call_at(now_ + milliseconds{wait},
                    [this, data_centre] { publish_drain(data_centre + 2 * random_below(2)); });
    }

    /// Drains a target while its dispatcher is the only member of its data centre that reaches the log, and
    /// pauses the dispatcher 1.5 s later, after it has released slots.
    void start_pause_after_release()
    {
        const auto target = random_below(targets_.size());
        const auto found = std::ranges::find_if(nodes_, [&](const node& n) {
            return is_running(n) &&
                   n.core->is_dispatcher(target_id{static_cast<std::uint32_t>(target)}, clock_of(n));
        });
        if (found == nodes_.end())
            return;
        trace("pause after release: t" + std::to_string(target) + " at node " + std::to_string(found->index));
        partition_until_ = now_ + milliseconds{9000};
        next_fault_at_ = now_ + milliseconds{10'000};
        for (std::size_t index = 0; index < nodes_.size(); ++index) {
            partition_sides_[index] = 0;
            log_unreachable_[index] = index % 2 == target % 2 && index != found->index;
            targets_unreachable_[index] = false;
        }
        publish_drain(target);
        call_at(now_ + milliseconds{1500},
                [this, victim = &*found] { victim->paused_until = now_ + milliseconds{8000}; });
    }

    /// Nodes 0, 2 and 4 vote. Node 0 is isolated and removed from the voter set, and node 6 joins it. Then
    /// nodes 0 and 2, a majority of the old set, are separated from nodes 4 and 6, a majority of the new set.
    void script_stale_voter_pair()
    {
        const auto start_time = now_;
        next_fault_at_ = now_ + plan_.duration;
        nodes_[6].core.reset();
        nodes_[6].restart_at = start_time + milliseconds{16'000};
        call_at(start_time + milliseconds{7000}, [this] {
            partition_until_ = now_ + milliseconds{20'000};
            partition_sides_[0] = 1;
            log_unreachable_[0] = true;
        });
        call_at(start_time + milliseconds{20'000}, [this] {
            partition_sides_[0] = partition_sides_[2] = 1;
            partition_sides_[4] = partition_sides_[6] = 0;
        });
    }

    void start_partial_log_outage()
    {
        trace("partial log outage");
        partition_until_ = now_ + milliseconds{1000 + random_below(5000)};
        for (std::size_t index = 0; index < nodes_.size(); ++index) {
            partition_sides_[index] = 0;
            log_unreachable_[index] = random_fraction() < 0.3;
            targets_unreachable_[index] = false;
        }
        call_at(now_ + milliseconds{random_below(1000)}, [this] { publish_drain(random_below(4)); });
        call_at(now_ + milliseconds{random_below(2500)},
                [this] { nodes_[random_below(nodes_.size())].paused_until = now_ + milliseconds{3000}; });
    }

    void start_partition()
    {
        trace("partition");
        partition_until_ = now_ + milliseconds{500 + random_below(8000)};
        const bool by_data_centre = random_fraction() < 0.4;
        for (std::size_t index = 0; index < nodes_.size(); ++index) {
            partition_sides_[index] = by_data_centre ? index % 2 : random_below(2);
            log_unreachable_[index] = by_data_centre ? index % 2 == 0 : random_fraction() < 0.3;
            targets_unreachable_[index] = !by_data_centre && random_fraction() < 0.2;
        }
    }

    /// Appends two competing configurations that expect the same version. Each of them drains the target with
    /// a probability of 0.7.
    void publish_drain(std::size_t target)
    {
        cluster_state state;
        for (std::uint64_t offset = 1; offset <= log_.size(); ++offset) {
            const auto record = decode_record(log_[offset - 1], "log");
            (void)state.apply(epoch{offset}, std::get<control_record>(record));
        }
        for (int writer = 0; writer < 2; ++writer) {
            configuration_documents documents{base_document(plan_.isolation_grace, plan_.max_deadline), {}};
            if (random_fraction() < 0.7)
                documents.overlays["drain.ini"] =
                    "[target.t" + std::to_string(target) + "]\ndraining = true\n";
            log_.push_back(encode(
                {session_id{1}, ++operator_sequence_, configuration_publish{state.version(), documents}}));
        }
    }

    /// Checks that every node has the state that results from applying the log up to its position.
    void compare_states()
    {
        std::vector<node*> nodes_by_position;
        for (auto& each : nodes_) {
            if (each.core)
                nodes_by_position.push_back(&each);
        }
        std::ranges::sort(nodes_by_position, {}, [](const node* n) { return n->core->state().position(); });
        cluster_state state;
        state.set_guards(plan_.guards.fold);
        std::uint64_t offset = 1;
        for (const node* each : nodes_by_position) {
            for (; offset <= number(each->core->state().position()); ++offset) {
                const auto record = decode_record(log_[offset - 1], "log");
                const auto outcome = state.apply(epoch{offset}, std::get<control_record>(record));
                result_.moves += std::holds_alternative<slot_move>(std::get<control_record>(record).body) &&
                                         outcome.code == result_code::ok
                                     ? outcome.applied
                                     : 0;
            }
            if (!(state == each->core->state()))
                add_violation("node " + std::to_string(each->index) +
                              " differs from a replay of the log at position " +
                              std::to_string(number(state.position())));
        }
    }

    void measure_gaps()
    {
        std::map<std::uint64_t, time_point> last_starts;
        for (const auto& run : history_) {
            auto& previous_start = last_starts[run.key % slot_count];
            if (previous_start != time_point{})
                result_.longest_gap = std::max(result_.longest_gap, run.start - previous_start);
            previous_start = run.start;
        }
    }

    schedule plan_;
    std::mt19937_64 random_;
    time_point now_{microseconds{10'000'000}};
    std::priority_queue<event, std::vector<event>, std::greater<>> events_;
    std::uint64_t order_ = 0;
    std::vector<std::string> log_;
    std::uint64_t operator_sequence_ = 0;
    std::vector<node> nodes_;
    std::vector<fake_target> targets_;
    std::vector<execution> history_;
    schedule_result result_;
    std::uint64_t next_session_ = 1;
    std::uint64_t next_request_ = 0;
    time_point next_fault_at_{microseconds{18'000'000}};
    time_point log_outage_until_{};
    time_point partition_until_{};
    std::vector<std::uint64_t> partition_sides_ = std::vector<std::uint64_t>(16);
    std::vector<bool> log_unreachable_ = std::vector<bool>(16);
    std::vector<bool> targets_unreachable_ = std::vector<bool>(16);
};

} // namespace

std::vector<std::string> check_executions(std::vector<execution> executions)
{
    std::vector<std::string> violations;
    std::ranges::stable_sort(executions, [](const execution& left, const execution& right) {
        return std::tie(left.key, left.start) < std::tie(right.key, right.start);
    });
    const execution* longest = nullptr;
    const execution* newest = nullptr;
    std::set<std::uint64_t> requests;
    for (const auto& run : executions) {
        if (longest != nullptr && longest->key != run.key) {
            longest = nullptr;
            newest = nullptr;
        }
        if (longest != nullptr && run.start < longest->end && run.target != longest->target)
            violations.push_back("key " + std::to_string(run.key) + " executed at " + longest->target +
                                 " and " + run.target + " at the same time; start in microseconds: " +
                                 std::to_string(run.start.time_since_epoch().count()));
        if (newest != nullptr && run.owner_epoch < newest->owner_epoch && run.target != newest->target)
            violations.push_back("key " + std::to_string(run.key) + " epoch decreased from " +
                                 std::to_string(number(newest->owner_epoch)) + " to " +
                                 std::to_string(number(run.owner_epoch)));
        if (!requests.insert(run.request).second)
            violations.push_back("request " + std::to_string(run.request) + " executed twice");
        if (longest == nullptr || run.end > longest->end)
            longest = &run;
        if (newest == nullptr || run.owner_epoch >= newest->owner_epoch)
            newest = &run;
    }
    return violations;
}

void set_single_fault(schedule& plan, double schedule::*fault)
{
    for (double schedule::*each :
         {&schedule::kills, &schedule::pauses, &schedule::partitions, &schedule::log_outages,
          &schedule::drains, &schedule::target_faults, &schedule::graceful_stops,
          &schedule::single_log_accesses, &schedule::partial_log_outages, &schedule::pauses_after_release})
        plan.*each = each == fault ? 1.0 : 0.0;
}

schedule_result run_schedule(const schedule& plan)
{
    return cluster(plan).finish();
}

} // namespace fake
