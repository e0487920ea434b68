// Checks the histories of callers and targets for violations of three guarantees: each key has one owner at a
// time, each commit is executed at most once, and the answers agree with the executions.

#include "support/history.hpp"

#include <algorithm>
#include <fstream>
#include <gflags/gflags.h>
#include <iostream>
#include <sstream>

DEFINE_string(callers, "", "path of the file with the history of the callers");

namespace {

std::string read_file(const std::string& path)
{
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

/// Prints for each service the ratio of the highest to the mean execution time of its targets, then the
/// number of executions whose request has no `done` answer, and the number of executions per invocation.
void print_statistics(const history::recorded_history& all)
{
    std::size_t undelivered = 0;
    for (const auto& execution : all.executions) {
        const auto caller = all.invocations.find(execution.request);
        undelivered += caller == all.invocations.end() || caller->second.answer != "done" ? 1 : 0;
    }
    std::map<std::string, std::map<std::string, double>> targets;
    for (const auto& execution : all.executions)
        targets[execution.target.substr(0, execution.target.rfind('-'))][execution.target] +=
            double(execution.end - execution.start);
    for (const auto& [service, times] : targets) {
        double sum = 0;
        double highest_time = 0;
        for (const auto& [target, time] : times) {
            sum += time;
            highest_time = std::max(highest_time, time);
        }
        std::cout << "imbalance " << service << " "
                  << (sum > 0 ? highest_time * double(times.size()) / sum : 0.0) << "\n";
    }
    std::cout << "undelivered " << undelivered << "\nattempts "
              << double(all.executions.size()) / std::max<double>(1.0, double(all.invocations.size()))
              << "\n";
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("check_history --callers=FILE TARGET_FILE...");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    history::recorded_history all;
    history::read_callers(read_file(FLAGS_callers), all);
    for (int index = 1; index < argc; ++index)
        history::read_target(read_file(argv[index]), all);
    const auto violations = history::check_all(all);
    for (const auto& violation : violations)
        std::cout << violation << "\n";
    print_statistics(all);
    std::cout << "history: " << all.invocations.size() << " invocations, " << all.executions.size()
              << " runs, " << violations.size() << " broken guarantees\n";
    return violations.empty() && !all.invocations.empty() && !all.executions.empty() ? 0 : 1;
}
