#pragma once

#include <teaseltally/ownership/range_manager.hpp>

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

/// @file
/// Simulation of coordinators, an ownership log and targets in virtual time with injected faults. It records
/// each time step at which two targets hold the same key, and each grant with a fencing token that is not
/// above those of the key's other holders.

namespace teaseltally::test {

/// Fault probabilities from 0 to 1, for each append or order unless stated otherwise, and the clock error of
/// targets.
struct ownership_faults {
    /// An append is applied, and its response is lost.
    double append_answer_lost = 0;
    /// An append is not applied, and the coordinator is told so.
    double append_refused = 0;
    /// An append gets no response and is applied 1 to 6 s later if its condition still holds.
    double append_delayed = 0;
    /// An order is carried out, and its response is lost.
    double order_answer_lost = 0;
    /// A grant gets no response and is carried out 2 to 5 s later.
    double order_delayed = 0;
    /// An order does not arrive at the target, and the coordinator is told so.
    double order_not_sent = 0;
    /// In each second, an instance is paused for 0.5 to 15 s.
    double pause = 0;
    /// In each second, an instance is killed and starts again with a new session after 0.2 to 3 s.
    double kill = 0;
    /// In each second, an instance hands its role over for 0.2 to 6 s, ends and starts again as after `kill`.
    double stop = 0;
    /// In each second, an instance loses its connection to the log for 1 to 15 s.
    double log_unreachable = 0;
    /// In each second, an instance loses its connection to a random target for 1 to 15 s.
    double target_unreachable = 0;
    /// In each second, an instance loses its connections to all targets for 1 to 15 s and detects that after
    /// 1 s.
    double links_lost = 0;
    /// In each second, a target crashes and starts again with another id after 0.5 to 6 s.
    double crash = 0;
    /// In each second, a target begins to drain.
    double drain = 0;
    /// In each second, a target begins to drain, ends 3 s later and starts again with the same id 0.1 to 0.5
    /// s after that.
    double restart = 0;
    /// In each second, the registration of a target that lives is removed for 1 to 8 s.
    double lapse = 0;
    /// In each second, the store goes away for 0.3 to 2 s and comes back in the next era from a copy that is
    /// 0.5 to 4 s old. Instances notice the era up to 1.5 s after each other.
    double store_return = 0;
    /// Whether what makes a return hard comes with it: a target that drains, or a coordinator that loses the
    /// log, in the seconds that are lost, and instances that end at the return or soon after.
    bool store_drill = false;
    /// Whether instances ask the process named in the claim every 0.5 s whether it coordinates.
    bool coordinator_reports = false;
    /// Real duration of a grant at a target, relative to its nominal duration; the protocol allows at
    /// most 1.02.
    double clock_slowdown = 1.02;
};

/// One simulation run.
class ownership_simulation {
public:
    /// Constructs a simulation of instances and targets.
    /// @param seed seed of the random faults and delays.
    /// @param coordinators number of instances that can coordinate.
    /// @param targets number of targets.
    /// @param guards safety checks of the instances.
    ownership_simulation(std::uint64_t seed, ownership_faults faults, unsigned coordinators, unsigned targets,
                         ownership_guards guards = {});
    ~ownership_simulation();
    ownership_simulation(const ownership_simulation&) = delete;
    ownership_simulation& operator=(const ownership_simulation&) = delete;
    ownership_simulation(ownership_simulation&&) = delete;
    ownership_simulation& operator=(ownership_simulation&&) = delete;

    /// Runs the simulation for a time span of virtual time.
    void run(milliseconds duration);
    /// Stops the injection of faults. Faults that have begun last until their scheduled end.
    void clear_faults()
    {
        faults_ = {.coordinator_reports = faults_.coordinator_reports,
                   .clock_slowdown = faults_.clock_slowdown};
    }
    /// Stops a target permanently: no process responds at its address, and its directory entry is removed.
    /// @param refuses whether its host refuses connections.
    void fail_target(const std::string& id, bool refuses = false);
    /// Disconnects the coordinator from the log, and all other instances from a target, for a time span. Only
    /// the old coordinator can then renew the grants of the target.
    void isolate_coordinator(const std::string& target, milliseconds duration);
    /// Disconnects the coordinator from all targets for a time span; it detects that after 1 s.
    void cut_links_of_coordinator(milliseconds duration);
    /// Kills each instance that coordinates and is connected to the log. It starts again after 0.5 s.
    void kill_coordinator();
    /// Takes the store away and lets it come back in the next era from an older copy.
    /// @param age age of the copy.
    /// @param outage time for which the store is away.
    void return_store(milliseconds age, milliseconds outage);
    /// Kills all instances. They start again after 0.5 s.
    void kill_all_instances();
    /// Makes a target start to drain.
    void start_drain(const std::string& id);
    /// Disconnects every instance from the log for a time span.
    void disconnect_log(milliseconds duration);
    /// Sets the request rate of a key.
    void set_hot(key_number key, double requests_per_s);
    /// Returns a description of each time step at which two targets held the same key, and of each grant with
    /// a fencing token that was too low.
    [[nodiscard]] const std::vector<std::string>& violations() const noexcept { return violations_; }
    /// Returns the fraction of the keys that live targets hold, 0 to 1.
    [[nodiscard]] double held_key_fraction() const;
    /// Returns the id of the live target that holds a key, or an empty string.
    [[nodiscard]] std::string holder(key_number key) const;
    /// Returns the number of records in the ownership log.
    [[nodiscard]] std::size_t record_count() const noexcept { return log_.size(); }

private:
    struct simulated_instance;
    struct simulated_target;
    struct stored_record {
        append_order::record content;
        time_point written_at;
    };
    /// Highest fencing token with which a key was granted, and that of all other incarnations.
    struct granted_fences {
        std::string target;
        std::uint64_t highest = 0;
        std::uint64_t highest_of_others = 0;
    };
    struct event {
        time_point due_at;
        std::function<void()> run;
    };

    void step();
    void tick_instance(simulated_instance& instance);
    void execute(simulated_instance& from, ownership_action action);
    void append(simulated_instance& from, append_order order);
    void grant(simulated_instance& from, const grant_order& order);
    void release(simulated_instance& from, const release_order& order);
    append_status apply_append(const append_order& order);
    void kill(simulated_instance& instance, milliseconds duration) const;
    void stop(simulated_instance& instance);
    void begin_drill();
    void drain_for_a_while(const std::string& id);
    void read_snapshot(simulated_instance& instance);
    void ask_coordinator(simulated_instance& instance);
    void check_fence(const grant_order& order);
    order_status apply_grant(const grant_order& order, time_point arrival);
    void complete_order(simulated_instance& to, std::uint64_t session, std::uint64_t order,
                        order_status status, std::string handover);
    void read_log(simulated_instance& instance);
    void inject_faults();
    void cut_links(simulated_instance& instance, milliseconds duration) const;
    void restart_target(simulated_target& target);
    /// Ends a target's process, which starts again with the same id.
    void restart_process(simulated_target& target);
    /// Returns whether a grant may be sent over a connection to the target's process, which is opened if
    /// there is none.
    [[nodiscard]] bool may_send_grant(simulated_instance& from, const grant_order& order);
    void lose_registration(simulated_target& target);
    void check_grants();
    [[nodiscard]] bool occurs(double probability);
    [[nodiscard]] milliseconds random_duration(int low, int high);
    [[nodiscard]] bool reaches(const simulated_instance& from, const std::string& id) const;
    [[nodiscard]] simulated_target* find(const std::string& id);
    void schedule(milliseconds delay, std::function<void()> run);

    std::mt19937_64 random_;
    ownership_faults faults_;
    time_point now_{std::chrono::hours{1}};
    ownership_guards guards_;
    std::uint64_t store_era_ = ownership_log::first_era;
    std::vector<stored_record> log_;
    std::vector<granted_fences> fences_ = std::vector<granted_fences>(std::size_t{last_key} + 1);
    std::vector<std::unique_ptr<simulated_instance>> instances_;
    std::vector<std::unique_ptr<simulated_target>> targets_;
    std::vector<event> events_;
    target_directory directory_;
    std::uint64_t directory_position_ = 0;
    std::vector<std::string> keyed_services_{"ledger"};
    std::map<key_number, double> hot_key_rates_;
    std::vector<std::string> violations_;
    std::uint64_t next_session_ = 1;
    unsigned next_target_ = 1;
    time_point next_fault_time_{};
};

} // namespace teaseltally::test
