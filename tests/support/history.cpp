#include "history.hpp"

#include <algorithm>
#include <sstream>
#include <tuple>
#include <utility>

namespace history {
namespace {

std::map<std::string, std::string> read_fields(std::istringstream& words)
{
    std::map<std::string, std::string> fields;
    for (std::string word; words >> word;) {
        const auto equals = word.find('=');
        if (equals != std::string::npos)
            fields[word.substr(0, equals)] = word.substr(equals + 1);
    }
    return fields;
}

bool is_commit(const std::string& kind)
{
    return kind == "commit" || kind == "keyed-commit";
}

} // namespace

void read_callers(const std::string& text, recorded_history& recorded)
{
    std::istringstream lines(text);
    for (std::string line; std::getline(lines, line);) {
        std::istringstream words(line);
        std::string event;
        std::int64_t at = 0;
        if (!(words >> event >> at))
            continue;
        auto fields = read_fields(words);
        auto& entry = recorded.invocations[fields["id"]];
        if (event == "invoke") {
            entry.service = fields["service"];
            entry.key = fields["key"];
            entry.kind = fields["what"];
            entry.invoked = at;
        }
        else {
            entry.answered = at;
            entry.answer = fields["what"];
        }
    }
}

void read_target(const std::string& text, recorded_history& recorded)
{
    std::istringstream lines(text);
    std::map<std::string, std::vector<std::size_t>> open_executions;
    for (std::string line; std::getline(lines, line);) {
        std::istringstream words(line);
        std::string event;
        std::string target;
        std::int64_t at = 0;
        if (!(words >> event >> target >> at))
            continue;
        auto fields = read_fields(words);
        auto& unfinished = open_executions[fields["request"]];
        if (event == "start") {
            unfinished.push_back(recorded.executions.size());
            recorded.executions.push_back({target, fields["request"], fields["item"],
                                           fields["epoch"].empty() ? 0 : std::stoull(fields["epoch"]), at, at,
                                           false});
        }
        else if (!unfinished.empty()) {
            recorded.executions[unfinished.back()].end = at;
            recorded.executions[unfinished.back()].cancelled = event == "cancelled";
            unfinished.pop_back();
        }
    }
}

std::vector<std::string> check_single_owner(const recorded_history& all)
{
    using sort_key = std::tuple<std::string, std::string, std::int64_t>;
    std::vector<std::pair<sort_key, const execution*>> ordered;
    for (const auto& current : all.executions) {
        const auto caller = all.invocations.find(current.request);
        if (!current.item.empty() && caller != all.invocations.end())
            ordered.emplace_back(sort_key{caller->second.service, caller->second.key, current.start},
                                 &current);
    }
    std::ranges::sort(ordered, {}, [](const auto& entry) { return entry.first; });
    std::vector<std::string> violations;
    const execution* latest_ending = nullptr;
    std::pair<std::string, std::string> key;
    for (const auto& [at, current] : ordered) {
        const std::pair current_key{std::get<0>(at), std::get<1>(at)};
        if (current_key != std::exchange(key, current_key))
            latest_ending = nullptr;
        if (latest_ending != nullptr && current->start < latest_ending->end &&
            current->target != latest_ending->target)
            violations.push_back("key " + current_key.second + " of " + current_key.first +
                                 " was executed at " + latest_ending->target + " and " + current->target +
                                 " at the same time (requests " + latest_ending->request + ", " +
                                 current->request + ")");
        if (latest_ending == nullptr || current->end > latest_ending->end)
            latest_ending = current;
    }
    return violations;
}

std::vector<std::string> check_at_most_once(const recorded_history& all)
{
    std::map<std::string, int> executions;
    for (const auto& current : all.executions)
        ++executions[current.request];
    std::vector<std::string> violations;
    for (const auto& [request, count] : executions) {
        const auto caller = all.invocations.find(request);
        if (caller != all.invocations.end() && is_commit(caller->second.kind) && count > 1)
            violations.push_back("commit " + request + " was executed " + std::to_string(count) + " times");
    }
    return violations;
}

std::vector<std::string> check_answers(const recorded_history& all)
{
    std::map<std::string, bool> finished;
    for (const auto& current : all.executions)
        finished[current.request] = finished[current.request] || !current.cancelled;
    std::vector<std::string> violations;
    for (const auto& [id, caller] : all.invocations) {
        const auto found = finished.find(id);
        if (caller.answer == "not_run" && found != finished.end())
            violations.push_back("request " + id + " was answered not_run but was executed");
        if (caller.answer == "done" && (found == finished.end() || !found->second))
            violations.push_back("request " + id + " was answered done but was not executed to the end");
    }
    return violations;
}

std::vector<std::string> check_all(const recorded_history& all)
{
    auto violations = check_single_owner(all);
    for (auto* check : {&check_at_most_once, &check_answers}) {
        auto found = (*check)(all);
        violations.insert(violations.end(), found.begin(), found.end());
    }
    return violations;
}

} // namespace history
