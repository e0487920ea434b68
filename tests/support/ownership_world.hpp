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
/// Coordinators, a log and targets in virtual time, with faults, and a check that a key has one holder.

namespace teaseltally::test {

/// Chances of faults, each from 0 to 1.
struct ownership_faults {
    /// An append is done and its answer lost.
    double append_answer_lost = 0;
    /// An append is not done.
    double append_refused = 0;
    /// An append is done only after seconds, if its condition still holds.
    double append_delayed = 0;
    /// An order is carried out and its answer lost.
    double order_answer_lost = 0;
    /// An order gets no answer and is carried out seconds later.
    double order_delayed = 0;
    /// An order does not arrive.
    double order_not_sent = 0;
    /// Each second: a coordinator is paused for seconds, killed, or cut from the log.
    double pause = 0;
    double kill = 0;
    double log_unreachable = 0;
    /// Each second: a coordinator is cut from a random target for seconds.
    double target_unreachable = 0;
    /// Each second: a target crashes and starts again with another id, or begins to drain.
    double crash = 0;
    double drain = 0;
    /// How much longer a hold lasts by a target's clock; the pages allow 1.02.
    double clock_slowdown = 1.02;
};

/// One run.
class ownership_world {
public:
    ownership_world(std::uint64_t seed, ownership_faults faults, unsigned coordinators, unsigned targets);
    ~ownership_world();
    ownership_world(const ownership_world&) = delete;
    ownership_world& operator=(const ownership_world&) = delete;
    ownership_world(ownership_world&&) = delete;
    ownership_world& operator=(ownership_world&&) = delete;

    /// Advances the time.
    void run(milliseconds duration);
    /// Ends all faults.
    void clear_faults() { faults_ = {.clock_slowdown = faults_.clock_slowdown}; }
    /// Ends a target for good; nobody answers at its address, and its entry goes.
    void fail_target(const std::string& id);
    /// Cuts the coordinator from the log, and all others from a target.
    void isolate_coordinator(const std::string& target, milliseconds duration);
    /// Kills the process that coordinates and reaches the log.
    void kill_coordinator();
    /// Makes a target drain.
    void start_drain(const std::string& id);
    /// Cuts every coordinator from the log.
    void disconnect_log(milliseconds duration);
    /// Tells that a key is requested at a rate.
    void set_hot(key_number key, double requests_per_s);
    /// @returns moments at which a key had two holders, described.
    [[nodiscard]] const std::vector<std::string>& violations() const noexcept { return violations_; }
    /// @returns share of the keys that a live target holds.
    [[nodiscard]] double held_key_fraction() const;
    /// @returns the live target that holds a key; empty if none does.
    [[nodiscard]] std::string holder(key_number key) const;
    /// @returns changes of owner so far.
    [[nodiscard]] std::size_t record_count() const noexcept { return log_.size(); }

private:
    struct simulated_instance;
    struct simulated_target;
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
    bool apply_append(const append_order& order);
    order_status apply_grant(const grant_order& order, time_point arrival);
    void complete_order(simulated_instance& to, std::uint64_t session, std::uint64_t order,
                        order_status status, std::string handover);
    void read_log(simulated_instance& instance);
    void inject_faults();
    void restart_target(simulated_target& target);
    void check_grants();
    [[nodiscard]] bool occurs(double probability);
    [[nodiscard]] milliseconds random_duration(int low, int high);
    [[nodiscard]] bool reaches(const simulated_instance& from, const std::string& id) const;
    [[nodiscard]] simulated_target* find(const std::string& id);
    void schedule(milliseconds delay, std::function<void()> run);

    std::mt19937_64 random_;
    ownership_faults faults_;
    time_point now_{std::chrono::hours{1}};
    std::vector<append_order::record> log_;
    std::vector<std::unique_ptr<simulated_instance>> instances_;
    std::vector<std::unique_ptr<simulated_target>> targets_;
    std::vector<event> events_;
    target_directory directory_;
    std::uint64_t directory_position_ = 0;
    std::vector<std::string> keyed_{"ledger"};
    std::map<key_number, double> hot_;
    std::vector<std::string> violations_;
    std::uint64_t next_session_ = 1;
    unsigned next_target_ = 1;
    time_point next_fault_time_{};
};

} // namespace teaseltally::test
