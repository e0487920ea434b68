// Checks histories of callers and targets: single owner, at most once, truth of answers.

#include "support/history.hpp"

#include <fstream>
#include <gflags/gflags.h>
#include <iostream>
#include <sstream>

DEFINE_string(callers, "", "history of the callers");

namespace {

std::string read_file(const std::string& path)
{
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("check_history --callers=FILE TARGET_FILE...");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    history::records all;
    history::read_callers(read_file(FLAGS_callers), all);
    for (int index = 1; index < argc; ++index)
        history::read_target(read_file(argv[index]), all);
    const auto broken = history::check_all(all);
    for (const auto& problem : broken)
        std::cout << problem << "\n";
    std::cout << "history: " << all.invocations.size() << " invocations, " << all.runs.size() << " runs, "
              << broken.size() << " broken guarantees\n";
    return broken.empty() && !all.invocations.empty() && !all.runs.empty() ? 0 : 1;
}
