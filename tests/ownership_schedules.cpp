// Runs simulated coordinators and targets with seeded faults, among them returns of the store from an older
// copy, and expects that no key is held twice, that fencing tokens rise and that all keys are held in the
// end. With --disable, one safety check is disabled and a violation is expected: a check that can be disabled
// without a violation is not covered by the simulation.

#include "support/ownership_simulation.hpp"

#include <array>
#include <gflags/gflags.h>
#include <iostream>

DEFINE_uint64(first, 1, "first seed");
DEFINE_uint64(count, 20, "number of seeds");
DEFINE_bool(lapses, false, "whether registrations of targets that live are removed for a while");
DEFINE_bool(returns, true, "whether the store returns from older copies");
DEFINE_bool(restarts, false, "whether targets drain and start again with the same ids");
DEFINE_bool(stops, false, "whether instances hand their role over and end");
DEFINE_int32(disable, -1, "index of the safety check to disable; -1 disables none");

namespace {

using namespace teaseltally;
using namespace teaseltally::test;

constexpr unsigned instance_count = 3;
constexpr unsigned target_count = 6;
constexpr milliseconds faulty_time{30'000};
/// Time for the longest fault to end, the takeover that follows it and the wait for grants of earlier terms.
constexpr milliseconds recovery_time{45'000};

struct safety_check {
    const char* name;
    bool ownership_guards::*enabled;
};

constexpr std::array<safety_check, 7> safety_checks{{
    {"fencing tokens rise with the era", &ownership_guards::era_in_fences},
    {"records are ordered by the era in which they were written", &ownership_guards::era_in_record_order},
    {"only a coordinator that no other can have succeeded keeps its term",
     &ownership_guards::continuity_check},
    {"the first coordinator of an era excludes all holders", &ownership_guards::holder_sweep},
    {"assignments are written again in a new era", &ownership_guards::assignments_rewritten},
    {"grants whose end is recorded are not renewed", &ownership_guards::renewals_suspended},
    {"a coordinator that another may have succeeded grants keys only to known processes",
     &ownership_guards::contested_grants_bound},
}};

/// Returns the faults of a seed; four sets of faults take turns, with and without reports on coordinators.
ownership_faults faults_of(std::uint64_t seed)
{
    ownership_faults faults;
    faults.store_return = FLAGS_returns ? 0.06 : 0;
    faults.lapse = FLAGS_lapses ? 0.04 : 0;
    faults.stop = FLAGS_stops ? 0.05 : 0;
    faults.restart = FLAGS_restarts ? 0.02 : 0;
    faults.log_unreachable = FLAGS_restarts ? 0.05 : 0;
    faults.store_drill = seed % 8 < 6;
    faults.coordinator_reports = seed / 4 % 2 == 1;
    if (seed % 4 == 0)
        return faults;
    faults.kill = 0.1;
    faults.drain = 0.01;
    faults.crash = 0.01;
    if (seed % 4 == 1)
        return faults;
    faults.append_delayed = 0.2;
    faults.pause = 0.04;
    faults.target_unreachable = 0.05;
    if (seed % 4 == 2)
        return faults;
    faults.kill = 0.03;
    faults.append_delayed = 0.05;
    faults.append_answer_lost = faults.append_refused = 0.05;
    faults.order_answer_lost = faults.order_delayed = faults.order_not_sent = 0.05;
    faults.log_unreachable = FLAGS_restarts ? 0.05 : 0.02;
    faults.links_lost = 0.02;
    return faults;
}

std::string violation_of(std::uint64_t seed, const ownership_guards& guards)
{
    ownership_simulation simulation(seed, faults_of(seed), instance_count, target_count, guards);
    constexpr key_number hot_key = 700;
    simulation.set_hot(hot_key, 30);
    simulation.run(faulty_time);
    simulation.clear_faults();
    simulation.run(recovery_time);
    if (!simulation.violations().empty())
        return simulation.violations().front();
    return simulation.held_key_fraction() == 1.0 ? "" : "some keys are held by no target in the end";
}

} // namespace

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    ownership_guards guards;
    const bool disables = FLAGS_disable >= 0;
    if (disables)
        guards.*safety_checks.at(static_cast<std::size_t>(FLAGS_disable)).enabled = false;
    std::size_t broken_seeds = 0;
    for (std::uint64_t seed = FLAGS_first; seed < FLAGS_first + FLAGS_count; ++seed) {
        const auto violation = violation_of(seed, guards);
        if (violation.empty())
            continue;
        ++broken_seeds;
        std::cout << "seed " << seed << ": " << violation << "\n";
        if (disables)
            break;
    }
    std::cout << (disables ? safety_checks.at(static_cast<std::size_t>(FLAGS_disable)).name : "all checks")
              << (disables ? ", disabled" : "") << ": " << broken_seeds << " seeds broken\n";
    return (broken_seeds > 0) == disables ? 0 : 1;
}
