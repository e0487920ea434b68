// Disables one safety check of the protocol at a time and expects the simulation to report a violation. A
// safety check that can be disabled without a violation is not covered by the simulation.

#include "support/fake_cluster.hpp"

#include <functional>
#include <gflags/gflags.h>
#include <iostream>

DEFINE_int32(index, -1, "index of the safety check to disable; -1 lists all safety checks");

namespace {

using namespace teaseltally;

/// A safety check and a function that disables it and sets up faults that then cause a violation.
struct mutation {
    const char* safety_check;
    std::function<void(fake::schedule&)> apply;
};

constexpr std::uint64_t seed_count = 120;

const std::vector<mutation> mutations{
    {"the lease is checked at dispatch",
     [](auto& plan) {
         plan.guards.lease_at_dispatch = false;
         plan.pauses = 8.0;
     }},
    {"a voter supports one holder at a time", [](auto& plan) { plan.guards.lease.single_holder = false; }},
    {"a lease expires",
     [](auto& plan) {
         plan.guards.lease.expiry = false;
         plan.pauses = 8.0;
     }},
    {"only renewals are granted for one lease duration after a new voter set",
     [](auto& plan) {
         plan.guards.lease.wait_after_adoption = false;
         plan.kills = 8.0;
         plan.pauses = 8.0;
     }},
    {"only votes of the same voter set count",
     [](auto& plan) {
         plan.guards.lease.voter_set_epoch = false;
         plan.stale_voter_pair = true;
         plan.nodes_per_data_centre = 4;
     }},
    {"the new owner waits for the release", [](auto& plan) { plan.guards.released_before_serving = false; }},
    {"a release waits for requests in flight", [](auto& plan) { plan.guards.idle_before_release = false; }},
    {"a release waits for the previous dispatcher's deadlines",
     [](auto& plan) {
         plan.guards.predecessor_wait_before_release = false;
         plan.max_deadline = milliseconds{4000};
         plan.max_execution_time = milliseconds{3000};
         plan.drains = 6.0;
         plan.graceful_stops = 8.0;
     }},
    {"a release waits until a majority has applied the move",
     [](auto& plan) {
         plan.guards.majority_applied_before_release = false;
         fake::set_single_fault(plan, &fake::schedule::pauses_after_release);
     }},
    {"a dispatcher serves only after it has applied the records that the granting voters had applied",
     [](auto& plan) {
         plan.guards.caught_up_before_serving = false;
         fake::set_single_fault(plan, &fake::schedule::partial_log_outages);
     }},
    {"after a reset only targets that check grants are served",
     [](auto& plan) {
         plan.guards.fencing_after_reset = false;
         fake::set_single_fault(plan, &fake::schedule::single_log_accesses);
     }},
    {"requests are dispatched only if the voter group reached the log within the isolation grace",
     [](auto& plan) {
         plan.guards.log_contact_before_dispatch = false;
         plan.isolation_grace = milliseconds{3000};
         plan.partitions = 20.0;
     }},
    {"a target refuses fencing tokens below the highest one it has received",
     [](auto& plan) {
         plan.targets_check_tokens = false;
         fake::set_single_fault(plan, &fake::schedule::single_log_accesses);
     }},
};

} // namespace

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (FLAGS_index < 0 || static_cast<std::size_t>(FLAGS_index) >= mutations.size()) {
        for (std::size_t index = 0; index < mutations.size(); ++index)
            std::cout << index << " " << mutations[index].safety_check << "\n";
        return FLAGS_index < 0 ? 0 : 2;
    }
    const auto& tested = mutations[static_cast<std::size_t>(FLAGS_index)];
    for (std::uint64_t seed = 1; seed <= seed_count; ++seed) {
        fake::schedule plan;
        plan.seed = seed;
        tested.apply(plan);
        const auto result = fake::run_schedule(plan);
        if (result.violations.empty())
            continue;
        std::cout << "without \"" << tested.safety_check << "\": " << result.violations.front() << "\n";
        return 0;
    }
    std::cout << "no violation found without \"" << tested.safety_check << "\" in " << seed_count
              << " seeds\n";
    return 1;
}
