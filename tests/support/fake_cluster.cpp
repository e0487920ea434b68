#include "fake_cluster.hpp"

#include <algorithm>
#include <functional>
#include <iostream>
#include <limits>

namespace fake {
namespace {

constexpr std::uint64_t slot_count = 6;
constexpr milliseconds step{25};
/// A leaving target gets no new work after this time; one step more, since nodes act once a step.
constexpr milliseconds drain_limit{3000 + 25};
constexpr microseconds least_delay{300};
constexpr microseconds most_delay{30'000};
const std::vector<std::string> data_centres{"east", "west"};

std::string base_document(milliseconds grace, milliseconds max_deadline)
{
    std::string text = "[deployment]\nname = fake\nseed = 1\n";
    for (const auto& name : data_centres)
        text += "[data_centre." + name + "]\nregion = r\n";
    text += "[service.ledger]\nkeyed = true\nslots = " + std::to_string(slot_count) +
            "\ndeadline_ms = 500\nmax_deadline_ms = " + std::to_string(max_deadline.count()) +
            "\nisolation_grace_ms = " + std::to_string(grace.count()) + "\n";
    for (std::size_t index = 0; index < 4; ++index) {
        const std::string number_text = std::to_string(index);
        text += "[target.t" + number_text + "]\nservice = ledger\ndata_centre = " + data_centres[index % 2] +
                "\naddress = 127.0.0.1:1\nslots = 4\nchecks_grants = " + (index < 2 ? "true" : "false") +
                "\n";
    }
    return text;
}

struct fake_target {
    std::string name;
    bool checks = false;
    dispatcher_token token;
    std::map<std::string, epoch> floors;
    std::vector<execution> running;
    time_point frozen_until{};
    time_point down_until{};
};

struct node {
    std::size_t index = 0;
    std::string data_centre;
    std::unique_ptr<coordinator> core;
    time_point paused_until{};
    time_point dead_until{};
    /// Rate of this node's clock relative to true time.
    double rate = 1.0;
    epoch highest_position{};
    std::uint64_t highest_version = 0;
    std::map<target_id, time_point> failing_since;
    /// When this node first knew that a target is leaving, by its own clock.
    std::map<target_id, time_point> leaving_since;
};

struct event {
    time_point at;
    std::uint64_t order;
    std::function<void()> happen;
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
            targets_.back().checks = index < 2;
        }
        for (std::size_t index = 0; index < plan.nodes_per_data_centre * data_centres.size(); ++index) {
            nodes_.emplace_back();
            nodes_.back().index = index;
            nodes_.back().data_centre = data_centres[index % data_centres.size()];
            restart(nodes_.back());
        }
        if (plan.stale_pair)
            script_stale_pair();
    }

    findings finish()
    {
        const auto end = now_ + plan_.length;
        while (now_ < end) {
            if (now_ >= quiet_until_)
                start_faults();
            advance();
        }
        for (auto& problem : check_executions(history_))
            report(std::move(problem));
        compare_states();
        found_.executions = history_.size();
        measure_gaps();
        return std::move(found_);
    }

private:
    double chance() { return std::uniform_real_distribution<>(0, 1)(random_); }
    std::uint64_t pick(std::uint64_t count) { return random_() % count; }
    microseconds delay()
    {
        const auto span = static_cast<double>((most_delay - least_delay).count());
        const double skewed = chance() * chance() * chance();
        return least_delay + microseconds{static_cast<std::int64_t>(span * skewed)};
    }

    void report(std::string problem)
    {
        if (found_.broken.size() < 5)
            found_.broken.push_back("seed " + std::to_string(plan_.seed) + ": " + std::move(problem));
    }

    void trace(const std::string& line) const
    {
        if (plan_.trace)
            std::cout << now_.time_since_epoch().count() / 1000 << " " << line << "\n";
    }

    void at(time_point when, std::function<void()> happen)
    {
        events_.push({when, ++order_, std::move(happen)});
    }

    [[nodiscard]] time_point clock_of(const node& of) const
    {
        const auto elapsed = now_.time_since_epoch().count();
        return time_point{microseconds{static_cast<std::int64_t>(static_cast<double>(elapsed) * of.rate)}};
    }

    [[nodiscard]] time_point true_time(const node& of, time_point local) const
    {
        return time_point{microseconds{
            static_cast<std::int64_t>(static_cast<double>(local.time_since_epoch().count()) / of.rate)}};
    }

    [[nodiscard]] bool runs(const node& of) const { return of.core && now_ >= of.paused_until; }

    void restart(node& which)
    {
        coordinator_settings settings;
        settings.session = session_id{++next_session_ * 1000 + which.index};
        settings.instance = "n" + std::to_string(which.index);
        settings.data_centre = which.data_centre;
        settings.address = "127.0.0.1";
        settings.guards = plan_.guards;
        which.core = std::make_unique<coordinator>(settings);
        which.rate = 0.98 + 0.04 * chance();
        which.highest_position = {};
        which.highest_version = 0;
        which.failing_since.clear();
        which.leaving_since.clear();
    }

    [[nodiscard]] node* node_of(session_id session)
    {
        const auto found = std::ranges::find_if(
            nodes_, [&](const node& n) { return n.core && n.core->settings().session == session; });
        return found == nodes_.end() ? nullptr : &*found;
    }

    [[nodiscard]] bool cut(std::size_t left, std::size_t right) const
    {
        return now_ < cut_until_ && side_[left] != side_[right];
    }
    [[nodiscard]] bool cut_from_log(std::size_t index) const
    {
        return now_ < outage_until_ || (now_ < cut_until_ && log_cut_[index]);
    }
    [[nodiscard]] bool cut_from_target(const node& from, const fake_target& to) const
    {
        return now_ < to.down_until || (now_ < cut_until_ && target_cut_[from.index]);
    }

    void advance()
    {
        now_ += step;
        while (!events_.empty() && events_.top().at <= now_) {
            const auto happen = events_.top().happen;
            events_.pop();
            happen();
        }
        for (auto& each : nodes_) {
            if (!each.core && now_ >= each.dead_until)
                restart(each);
            if (!runs(each))
                continue;
            offer_requests(each);
            read_log(each);
            observe_targets(each);
            each.core->tick(clock_of(each));
            act(each);
            watch_progress(each);
            if (each.core->stopped()) {
                each.core.reset();
                each.dead_until = now_ + milliseconds{pick(2000)};
            }
        }
    }

    void read_log(node& reader)
    {
        if (cut_from_log(reader.index) || chance() < 0.3)
            return;
        for (std::uint64_t offset = number(reader.core->state().position()) + 1; offset <= log_.size();
             ++offset) {
            reader.core->observe(epoch{offset}, log_[offset - 1], clock_of(reader));
            note_leaving(reader);
        }
    }

    void watch_progress(node& each)
    {
        const auto& state = each.core->state();
        if (state.position() < each.highest_position)
            report("position went back");
        if (state.version() < each.highest_version)
            report("configuration went back");
        each.highest_position = state.position();
        each.highest_version = state.version();
    }

    /// Probes as a dispatcher would: two failures in a row count as down.
    void observe_targets(node& each)
    {
        for (std::uint32_t index = 0; index < each.core->state().targets().size(); ++index) {
            const target_id target{index};
            const auto& probed = targets_[index];
            if (!each.core->dispatches(target, clock_of(each))) {
                each.failing_since.erase(target);
                continue;
            }
            const bool failing = cut_from_target(each, probed) || now_ < probed.frozen_until;
            if (!failing) {
                each.failing_since.erase(target);
                each.core->observe_target(target, target_condition::up);
            }
            else if (now_ >= each.failing_since.try_emplace(target, now_).first->second + milliseconds{1200})
                each.core->observe_target(target, target_condition::down);
        }
    }

    void act(node& from)
    {
        for (auto& action : from.core->take_actions()) {
            if (const auto* sent = std::get_if<send_action>(&action))
                send(from, *sent);
            else if (const auto* appended = std::get_if<append_action>(&action))
                append(from, appended->record);
            else if (const auto* revoke = std::get_if<revoke_action>(&action))
                send_revoke(from, *revoke);
            else if (const auto* decision = std::get_if<decision_action>(&action))
                trace("node " + std::to_string(from.index) + " session " +
                      std::to_string(number(from.core->settings().session)) + " " + decision->line);
            else if (const auto* right = std::get_if<dispatcher_action>(&action))
                found_.takeovers += right->held ? 1 : 0;
        }
    }

    void send(node& from, const send_action& sent)
    {
        const std::string text = encode(sent.message);
        const int copies = 1 + (chance() < plan_.duplication ? 1 : 0);
        for (int copy = 0; copy < copies; ++copy) {
            if (chance() < plan_.loss)
                continue;
            deliver(now_ + delay(), from.index, sent.to, text);
        }
    }

    void deliver(time_point when, std::size_t from, session_id to, const std::string& text)
    {
        at(when, [this, from, to, text] {
            auto* receiver = node_of(to);
            if (receiver == nullptr || cut(from, receiver->index))
                return;
            if (!runs(*receiver)) {
                deliver(receiver->paused_until + microseconds{1}, from, to, text);
                return;
            }
            const auto message = decode_notification(text);
            if (failure(message) != nullptr) {
                report("message does not decode: " + text);
                return;
            }
            receiver->core->receive(std::get<peer_message>(message), clock_of(*receiver));
            act(*receiver);
        });
    }

    void append(node& from, const std::string& record)
    {
        const auto session = from.core->settings().session;
        at(now_ + delay(), [this, session, record, index = from.index] {
            if (!cut_from_log(index)) {
                log_.push_back(record);
                if (plan_.repeat_appends && chance() < 0.05)
                    at(now_ + delay() * 40, [this, record] { log_.push_back(record); });
            }
            if (auto* author = node_of(session))
                author->core->append_finished(clock_of(*author));
        });
    }

    void send_revoke(node& from, const revoke_action& revoke)
    {
        const auto session = from.core->settings().session;
        at(now_ + delay(), [this, session, revoke] {
            auto* author = node_of(session);
            auto& target = targets_[number(revoke.target)];
            if (author == nullptr || cut_from_target(*author, target) || now_ < target.frozen_until)
                return;
            if (plan_.target_tokens && revoke.token < target.token)
                return;
            target.token = std::max(target.token, revoke.token);
            bool idle = true;
            for (const auto& entry : revoke.entries) {
                auto& floor = target.floors[std::to_string(entry.hot) + ":" + std::to_string(entry.item)];
                floor = std::max(floor, entry.since);
                idle = idle && std::ranges::none_of(target.running, [&](const execution& run) {
                           return run.end > now_ &&
                                  (entry.hot ? run.key == entry.item : run.key % slot_count == entry.item);
                       });
            }
            if (!idle || !runs(*author))
                return;
            author->core->revoked(revoke.entries);
        });
    }

    /// A running node tries a few keys wherever it believes their owner to be.
    void offer_requests(node& each)
    {
        for (int tries = 0; tries < 4 && each.core->state().version() > 0; ++tries)
            dispatch(each, key_hash{pick(slot_count * 2)});
    }

    /// Follows each record, since a target may stay and leave again between two steps.
    void note_leaving(node& reader) const
    {
        const auto& state = reader.core->state();
        for (std::uint32_t index = 0; index < state.targets().size(); ++index) {
            const target_id target{index};
            const auto* settings = state.settings_of(target);
            if (settings != nullptr && settings->draining)
                reader.leaving_since.try_emplace(target, clock_of(reader));
            else
                reader.leaving_since.erase(target);
        }
    }

    /// A leaving target gets no new work a few seconds after its dispatcher knows of it.
    void check_drain(const node& from, target_id target)
    {
        const auto since = from.leaving_since.find(target);
        if (since != from.leaving_since.end() && clock_of(from) > since->second + drain_limit)
            report("t" + std::to_string(number(target)) + " got new work though it is leaving");
    }

    /// Without a reset, no other running node may hold the right to the same target.
    void check_single_dispatcher(const node& from, target_id target)
    {
        for (const auto& other : nodes_) {
            if (&other == &from || !runs(other) || !other.core->dispatches(target, clock_of(other)))
                continue;
            const auto cell = other.core->state().voter_group_of(target);
            if (was_reset(from, cell) || was_reset(other, cell))
                continue;
            report("nodes " + std::to_string(from.index) + " and " + std::to_string(other.index) +
                   " dispatch to t" + std::to_string(number(target)) + " at once");
        }
    }

    [[nodiscard]] static bool was_reset(const node& of, const std::string& cell)
    {
        const auto found = of.core->state().voter_groups().find(cell);
        return found != of.core->state().voter_groups().end() && found->second.reset_at != no_epoch;
    }

    void dispatch(node& from, key_hash key)
    {
        const service_id service{0};
        const auto owner = from.core->state().ownership(service, key).owner;
        if (owner == no_target || cut_from_target(from, targets_[number(owner)]))
            return;
        const auto local = clock_of(from);
        const milliseconds limit{100 + pick(static_cast<std::uint64_t>(plan_.max_deadline.count() - 100))};
        const time_point local_deadline = local + limit;
        const auto verdict =
            from.core->begin({owner, service, key, from.core->state().position(), local_deadline}, local);
        const auto* permit = std::get_if<dispatch_permit>(&verdict);
        if (permit == nullptr)
            return;
        check_single_dispatcher(from, owner);
        check_drain(from, owner);
        const bool late = chance() < plan_.late_writes;
        const auto arrival =
            now_ + delay() + (late ? microseconds{milliseconds{pick(6000)}} : microseconds{0});
        const auto session = from.core->settings().session;
        const auto deadline = true_time(from, local_deadline);
        const auto request = ++next_request_;
        at(arrival, [this, permit = *permit, owner, key, deadline, session, request] {
            arrive(permit, owner, key, deadline, session, request);
        });
    }

    void arrive(const dispatch_permit& permit, target_id owner, key_hash key, time_point deadline,
                session_id session, std::uint64_t request)
    {
        auto& target = targets_[number(owner)];
        if (now_ < target.frozen_until) {
            at(target.frozen_until, [this, permit, owner, key, deadline, session, request] {
                arrive(permit, owner, key, deadline, session, request);
            });
            return;
        }
        const std::uint64_t item = permit.hot ? number(key) : number(permit.slot.slot);
        const auto floor = target.floors[std::to_string(permit.hot) + ":" + std::to_string(item)];
        const bool fenced = target.checks && plan_.target_tokens &&
                            (permit.token < target.token || permit.owner_since < floor);
        const bool refused = fenced || now_ >= deadline || now_ < target.down_until;
        if (!refused) {
            if (target.checks)
                target.token = std::max(target.token, permit.token);
            const auto end = std::min(
                deadline,
                now_ + milliseconds{5 + pick(static_cast<std::uint64_t>(plan_.longest_work.count()))});
            const execution run{target.name, number(key), request, permit.owner_since, now_, end};
            target.running.push_back(run);
            history_.push_back(run);
            trace("execute " + target.name + " key " + std::to_string(run.key) + " epoch " +
                  std::to_string(number(run.since)) + " by " + std::to_string(number(session)) + " until " +
                  std::to_string(run.end.time_since_epoch().count() / 1000));
            std::erase_if(target.running, [&](const execution& e) { return e.end <= now_; });
        }
        const auto done = refused ? now_ : target.running.back().end;
        at(done + delay(), [this, ticket = permit.ticket, session] {
            auto* author = node_of(session);
            if (author == nullptr)
                return;
            const bool lost = chance() < plan_.loss;
            author->core->finish(ticket, !lost, clock_of(*author));
        });
    }

    void start_faults()
    {
        quiet_until_ = now_ + milliseconds{700 + pick(2500)};
        const double all = plan_.kills + plan_.pauses + plan_.partitions + plan_.outages + plan_.drains +
                           plan_.target_faults + plan_.stops + plan_.islands + plan_.log_cuts +
                           plan_.ambushes;
        double roll = chance() * all;
        const auto falls = [&](double weight) { return (roll -= weight) < 0; };
        auto& victim = nodes_[pick(nodes_.size())];
        if (falls(plan_.kills)) {
            trace("kill node " + std::to_string(victim.index));
            victim.core.reset();
            victim.dead_until = now_ + milliseconds{pick(4000)};
        }
        else if (falls(plan_.pauses))
            pause(victim);
        else if (falls(plan_.partitions))
            start_partition();
        else if (falls(plan_.outages))
            outage_until_ = now_ + milliseconds{500 + pick(6000)};
        else if (falls(plan_.drains))
            publish_drain(pick(4));
        else if (falls(plan_.stops)) {
            trace("stop node " + std::to_string(victim.index));
            if (runs(victim))
                victim.core->stop(clock_of(victim));
        }
        else if (falls(plan_.islands))
            start_island();
        else if (falls(plan_.log_cuts))
            start_log_cut();
        else if (falls(plan_.ambushes))
            start_ambush();
        else {
            auto& target = targets_[pick(targets_.size())];
            if (chance() < 0.5)
                target.frozen_until = now_ + milliseconds{500 + pick(5000)};
            else
                target.down_until = now_ + milliseconds{500 + pick(5000)};
        }
    }

    void pause(node& victim)
    {
        victim.paused_until = now_ + milliseconds{100 + pick(7000)};
        trace("pause node " + std::to_string(victim.index) + " until " +
              std::to_string(victim.paused_until.time_since_epoch().count() / 1000));
    }

    /// One instance of a data centre keeps the log; the others keep each other and the targets.
    void start_island()
    {
        trace("island");
        cut_until_ = now_ + milliseconds{18'000};
        quiet_until_ = now_ + milliseconds{19'000};
        const auto data_centre = pick(2);
        const auto alone = data_centre + 2 * pick(plan_.nodes_per_data_centre);
        for (std::size_t index = 0; index < nodes_.size(); ++index) {
            const bool here = index % 2 == data_centre;
            side_[index] = here ? (index == alone ? 1 : 2) : 0;
            log_cut_[index] = here && index != alone;
            target_cut_[index] = false;
        }
        for (const int wait : {12'500, 14'000, 15'500})
            at(now_ + milliseconds{wait}, [this, data_centre] { publish_drain(data_centre + 2 * pick(2)); });
    }

    void start_ambush()
    {
        const auto target = pick(targets_.size());
        const auto found = std::ranges::find_if(nodes_, [&](const node& n) {
            return runs(n) && n.core->dispatches(target_id{static_cast<std::uint32_t>(target)}, clock_of(n));
        });
        if (found == nodes_.end())
            return;
        trace("ambush t" + std::to_string(target) + " at node " + std::to_string(found->index));
        cut_until_ = now_ + milliseconds{9000};
        quiet_until_ = now_ + milliseconds{10'000};
        for (std::size_t index = 0; index < nodes_.size(); ++index) {
            side_[index] = 0;
            log_cut_[index] = index % 2 == target % 2 && index != found->index;
            target_cut_[index] = false;
        }
        publish_drain(target);
        at(now_ + milliseconds{1500},
           [this, victim = &*found] { victim->paused_until = now_ + milliseconds{8000}; });
    }

    /// Nodes 0, 2 and 4 vote; 0 is cut off and removed; 6 joins; then 0 and 2 are cut from 4 and 6.
    void script_stale_pair()
    {
        const auto begun = now_;
        quiet_until_ = now_ + plan_.length;
        nodes_[6].core.reset();
        nodes_[6].dead_until = begun + milliseconds{16'000};
        at(begun + milliseconds{7000}, [this] {
            cut_until_ = now_ + milliseconds{20'000};
            side_[0] = 1;
            log_cut_[0] = true;
        });
        at(begun + milliseconds{20'000}, [this] {
            side_[0] = side_[2] = 1;
            side_[4] = side_[6] = 0;
        });
    }

    void start_log_cut()
    {
        trace("log cut");
        cut_until_ = now_ + milliseconds{1000 + pick(5000)};
        for (std::size_t index = 0; index < nodes_.size(); ++index) {
            side_[index] = 0;
            log_cut_[index] = chance() < 0.3;
            target_cut_[index] = false;
        }
        at(now_ + milliseconds{pick(1000)}, [this] { publish_drain(pick(4)); });
        at(now_ + milliseconds{pick(2500)},
           [this] { nodes_[pick(nodes_.size())].paused_until = now_ + milliseconds{3000}; });
    }

    void start_partition()
    {
        trace("partition");
        cut_until_ = now_ + milliseconds{500 + pick(8000)};
        const bool by_data_centre = chance() < 0.4;
        for (std::size_t index = 0; index < nodes_.size(); ++index) {
            side_[index] = by_data_centre ? index % 2 : pick(2);
            log_cut_[index] = by_data_centre ? index % 2 == 0 : chance() < 0.3;
            target_cut_[index] = !by_data_centre && chance() < 0.2;
        }
    }

    /// Two operators race: both build on the version that the log has.
    void publish_drain(std::size_t target)
    {
        cluster_state state;
        for (std::uint64_t offset = 1; offset <= log_.size(); ++offset) {
            const auto record = decode_record(log_[offset - 1], "log");
            (void)state.apply(epoch{offset}, std::get<control_record>(record));
        }
        for (int rival = 0; rival < 2; ++rival) {
            configuration_documents documents{base_document(plan_.isolation_grace, plan_.max_deadline), {}};
            if (chance() < 0.7)
                documents.overlays["drain.ini"] =
                    "[target.t" + std::to_string(target) + "]\ndraining = true\n";
            log_.push_back(encode(
                {session_id{1}, ++operator_sequence_, configuration_publish{state.version(), documents}}));
        }
    }

    /// All nodes must hold the state that the log folds to at their position.
    void compare_states()
    {
        std::vector<node*> order;
        for (auto& each : nodes_) {
            if (each.core)
                order.push_back(&each);
        }
        std::ranges::sort(order, {}, [](const node* n) { return n->core->state().position(); });
        cluster_state state;
        state.set_guards(plan_.guards.fold);
        std::uint64_t offset = 1;
        for (const node* each : order) {
            for (; offset <= number(each->core->state().position()); ++offset) {
                const auto record = decode_record(log_[offset - 1], "log");
                const auto outcome = state.apply(epoch{offset}, std::get<control_record>(record));
                found_.moves += std::holds_alternative<slot_move>(std::get<control_record>(record).body) &&
                                        outcome.code == result_code::ok
                                    ? outcome.applied
                                    : 0;
            }
            if (!(state == each->core->state()))
                report("states differ at position " + std::to_string(number(state.position())));
        }
    }

    void measure_gaps()
    {
        std::map<std::uint64_t, time_point> last;
        for (const auto& run : history_) {
            auto& before = last[run.key % slot_count];
            if (before != time_point{})
                found_.longest_gap = std::max(found_.longest_gap, run.start - before);
            before = run.start;
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
    findings found_;
    std::uint64_t next_session_ = 1;
    std::uint64_t next_request_ = 0;
    time_point quiet_until_{microseconds{18'000'000}};
    time_point outage_until_{};
    time_point cut_until_{};
    std::vector<std::uint64_t> side_ = std::vector<std::uint64_t>(16);
    std::vector<bool> log_cut_ = std::vector<bool>(16);
    std::vector<bool> target_cut_ = std::vector<bool>(16);
};

} // namespace

std::vector<std::string> check_executions(std::vector<execution> executions)
{
    std::vector<std::string> broken;
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
            broken.push_back("key " + std::to_string(run.key) + " executed at " + longest->target + " and " +
                             run.target + " at once at " +
                             std::to_string(run.start.time_since_epoch().count()));
        if (newest != nullptr && run.since < newest->since && run.target != newest->target)
            broken.push_back("key " + std::to_string(run.key) + " epoch fell from " +
                             std::to_string(number(newest->since)) + " to " +
                             std::to_string(number(run.since)));
        if (!requests.insert(run.request).second)
            broken.push_back("request " + std::to_string(run.request) + " executed twice");
        if (longest == nullptr || run.end > longest->end)
            longest = &run;
        if (newest == nullptr || run.since >= newest->since)
            newest = &run;
    }
    return broken;
}

void only(schedule& plan, double schedule::*fault)
{
    for (double schedule::*each :
         {&schedule::kills, &schedule::pauses, &schedule::partitions, &schedule::outages, &schedule::drains,
          &schedule::target_faults, &schedule::stops, &schedule::islands, &schedule::log_cuts,
          &schedule::ambushes})
        plan.*each = each == fault ? 1.0 : 0.0;
}

findings run(const schedule& plan)
{
    return cluster(plan).finish();
}

} // namespace fake
