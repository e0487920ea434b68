// Runs simulated clusters with seeded faults and checks their execution histories for violations.

#include "support/fake_cluster.hpp"

#include <gflags/gflags.h>
#include <iostream>

DEFINE_uint64(first, 1, "first seed");
DEFINE_uint64(count, 100, "number of seeds");
DEFINE_bool(trace, false, "print log events, faults and executions as they occur");

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::size_t failed_seeds = 0;
    std::size_t executions = 0;
    std::size_t moves = 0;
    std::size_t dispatcher_changes = 0;
    for (std::uint64_t seed = FLAGS_first; seed < FLAGS_first + FLAGS_count; ++seed) {
        fake::schedule plan;
        plan.seed = seed;
        plan.trace = FLAGS_trace;
        if (seed % 3 == 0)
            plan.isolation_grace = teaseltally::milliseconds{4000};
        const auto result = fake::run_schedule(plan);
        for (const auto& violation : result.violations)
            std::cout << violation << "\n";
        failed_seeds += result.violations.empty() ? 0 : 1;
        executions += result.executions;
        moves += result.moves;
        dispatcher_changes += result.dispatcher_changes;
    }
    std::cout << "seeds " << FLAGS_first << " to " << FLAGS_first + FLAGS_count - 1 << ": " << failed_seeds
              << " broken; executions " << executions << ", moves " << moves << ", dispatcher changes "
              << dispatcher_changes << "\n";
    return failed_seeds == 0 && executions > 0 && moves > 0 ? 0 : 1;
}
