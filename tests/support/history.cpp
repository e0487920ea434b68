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

void read_callers(const std::string& text, records& into)
{
    std::istringstream lines(text);
    for (std::string line; std::getline(lines, line);) {
        std::istringstream words(line);
        std::string event;
        std::int64_t at = 0;
        if (!(words >> event >> at))
            continue;
        auto fields = read_fields(words);
        auto& entry = into.invocations[fields["id"]];
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

void read_target(const std::string& text, records& into)
{
    std::istringstream lines(text);
    std::map<std::string, std::vector<std::size_t>> open;
    for (std::string line; std::getline(lines, line);) {
        std::istringstream words(line);
        std::string event;
        std::string target;
        std::int64_t at = 0;
        if (!(words >> event >> target >> at))
            continue;
        auto fields = read_fields(words);
        auto& waiting = open[fields["request"]];
        if (event == "start") {
            waiting.push_back(into.runs.size());
            into.runs.push_back({target, fields["request"], fields["item"],
                                 fields["epoch"].empty() ? 0 : std::stoull(fields["epoch"]), at, at, false});
        }
        else if (!waiting.empty()) {
            into.runs[waiting.back()].end = at;
            into.runs[waiting.back()].cancelled = event == "cancelled";
            waiting.pop_back();
        }
    }
}

std::vector<std::string> check_single_owner(const records& all)
{
    using place = std::tuple<std::string, std::string, std::int64_t>;
    std::vector<std::pair<place, const run*>> ordered;
    for (const auto& each : all.runs) {
        const auto caller = all.invocations.find(each.request);
        if (!each.item.empty() && caller != all.invocations.end())
            ordered.emplace_back(place{caller->second.service, caller->second.key, each.start}, &each);
    }
    std::ranges::sort(ordered, {}, [](const auto& entry) { return entry.first; });
    std::vector<std::string> broken;
    const run* longest = nullptr;
    std::pair<std::string, std::string> key;
    for (const auto& [at, each] : ordered) {
        const std::pair here{std::get<0>(at), std::get<1>(at)};
        if (here != std::exchange(key, here))
            longest = nullptr;
        if (longest != nullptr && each->start < longest->end && each->target != longest->target)
            broken.push_back("key " + here.second + " of " + here.first + " ran at " + longest->target +
                             " and " + each->target + " at once (requests " + longest->request + ", " +
                             each->request + ")");
        if (longest == nullptr || each->end > longest->end)
            longest = each;
    }
    return broken;
}

std::vector<std::string> check_at_most_once(const records& all)
{
    std::map<std::string, int> runs;
    for (const auto& each : all.runs)
        ++runs[each.request];
    std::vector<std::string> broken;
    for (const auto& [request, count] : runs) {
        const auto caller = all.invocations.find(request);
        if (caller != all.invocations.end() && is_commit(caller->second.kind) && count > 1)
            broken.push_back("commit " + request + " ran " + std::to_string(count) + " times");
    }
    return broken;
}

std::vector<std::string> check_answers(const records& all)
{
    std::map<std::string, bool> finished;
    for (const auto& each : all.runs)
        finished[each.request] = finished[each.request] || !each.cancelled;
    std::vector<std::string> broken;
    for (const auto& [id, caller] : all.invocations) {
        const auto ran = finished.find(id);
        if (caller.answer == "not_run" && ran != finished.end())
            broken.push_back("request " + id + " was answered not_run but ran");
        if (caller.answer == "done" && (ran == finished.end() || !ran->second))
            broken.push_back("request " + id + " was answered done but did not run to its end");
    }
    return broken;
}

std::vector<std::string> check_all(const records& all)
{
    auto broken = check_single_owner(all);
    for (auto* check : {&check_at_most_once, &check_answers}) {
        auto more = (*check)(all);
        broken.insert(broken.end(), more.begin(), more.end());
    }
    return broken;
}

} // namespace history
