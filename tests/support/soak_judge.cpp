#include "support/soak_judge.hpp"

#include <algorithm>
#include <array>
#include <set>

namespace teaseltally::test {
namespace {

/// More than this number of requests without an answer, or executed by too many targets, break a promise
/// (rules LOST and BUDGET of the users' platform).
constexpr std::size_t tolerated_calls = 3;
/// More requests with too much time than this, and than a fifth of all, break the rule BUDGET.
constexpr std::size_t tolerated_extensions = 20;
constexpr std::size_t extension_share = 5;
constexpr milliseconds tolerated_extension{500};
/// More than this number of requests to a target that has asked for rest, later than `rest_slack` after it
/// did, break the rule BUDGET.
constexpr std::ptrdiff_t tolerated_in_rest = 2;
constexpr milliseconds rest_slack{500};
/// More than this number of sends of a request, later than `stable_window` after it has ended that many
/// targets.
constexpr std::size_t tolerated_ends = 3;
constexpr std::ptrdiff_t tolerated_late_sends = 3;
constexpr milliseconds stable_window{3000};

std::size_t count_between(const std::vector<time_point>& sorted, time_point from, time_point to)
{
    return static_cast<std::size_t>(std::ranges::lower_bound(sorted, to) -
                                    std::ranges::lower_bound(sorted, from));
}

std::string at(time_point time, time_point start)
{
    return std::to_string(std::chrono::duration_cast<milliseconds>(time - start).count()) + " ms";
}

void check_executions(const soak_history& history, std::vector<soak_finding>& findings, time_point start)
{
    std::map<std::string, std::vector<const target_run*>> executions;
    for (const auto& run : history.runs)
        if (run.started)
            executions[run.request_id].push_back(&run);
    std::size_t over_attempts = 0;
    for (const auto& call : history.calls) {
        const auto found = executions.find(call.id);
        if (found == executions.end())
            continue;
        const auto& runs = found->second;
        std::set<std::string> targets;
        for (const auto* run : runs)
            targets.insert(run->target);
        over_attempts += targets.size() > history.max_attempts ? 1 : 0;
        const auto context = call.id + " sent at " + at(call.sent, start) + " to instance " +
                             std::to_string(call.front) + ", executed at " +
                             at(*runs.front()->started, start) + " by " + runs.front()->target;
        if (call.at_most_once && promises_no_execution(call.status))
            findings.push_back({"REFUSED", context + ", answered " + std::to_string(call.status) + " at " +
                                               at(call.ended, start)});
        if (call.at_most_once && runs.size() > 1)
            findings.push_back(
                {"TWICE", context + ", and at " + at(*runs[1]->started, start) + " by " + runs[1]->target});
    }
    if (over_attempts > tolerated_calls)
        findings.push_back({"BUDGET", std::to_string(over_attempts) +
                                          " requests executed by more targets than their routes allow"});
}

void check_time_left(const soak_history& history, std::vector<soak_finding>& findings)
{
    std::map<std::string, const soak_call*> calls;
    for (const auto& call : history.calls)
        calls.emplace(call.id, &call);
    std::size_t extended = 0;
    for (const auto& arrival : history.arrivals)
        if (const auto found = calls.find(arrival.request_id); found != calls.end()) {
            const auto& call = *found->second;
            // A request that arrives after its answer was held back on a link, or its attempt was given up.
            const bool is_open = !call.process_disturbed && arrival.at <= call.ended;
            const auto latest = call.sent + call.deadline + tolerated_extension;
            extended += is_open && arrival.at + arrival.time_left > latest ? 1 : 0;
        }
    if (extended > tolerated_extensions && extended > history.arrivals.size() / extension_share)
        findings.push_back({"BUDGET", std::to_string(extended) + " arrivals with more time than is left"});
}

void check_answers(const soak_history& history, std::vector<soak_finding>& findings, time_point start)
{
    std::set<std::string> arrived;
    for (const auto& arrival : history.arrivals)
        arrived.insert(arrival.request_id);
    std::map<std::size_t, std::vector<const soak_call*>> cut;
    for (const auto& call : history.calls)
        if (call.was_cut && !call.process_disturbed && arrived.contains(call.id))
            cut[call.front].push_back(&call);
    for (const auto& [front, calls] : cut)
        if (calls.size() > tolerated_calls)
            findings.push_back({"LOST", std::to_string(calls.size()) + " connections of instance " +
                                            std::to_string(front) + " closed without an answer, the first, " +
                                            calls.front()->id + ", at " + at(calls.front()->ended, start)});
}

/// Returns whether an instance was disturbed at some time of a span.
bool was_disturbed(const soak_history& history, const asio::ip::address& instance, time_point from,
                   time_point to)
{
    return std::ranges::any_of(history.disturbed, [&](const disturbed_span& span) {
        return span.instance == instance && span.from <= to && span.to >= from;
    });
}

void check_rests(const soak_history& history, std::vector<soak_finding>& findings, time_point start)
{
    std::set<std::pair<std::string, asio::ip::address>> found;
    for (const auto& asked : history.runs) {
        if (!asked.rest_asked || found.contains({asked.target, asked.from}))
            continue;
        const auto from = *asked.rest_asked + rest_slack;
        const auto until = *asked.rest_asked + asked.rest;
        const auto count = std::ranges::count_if(history.runs, [&](const target_run& run) {
            return run.target == asked.target && run.from == asked.from && run.arrived > from &&
                   run.arrived < until;
        });
        if (count <= tolerated_in_rest || was_disturbed(history, asked.from, *asked.rest_asked, until))
            continue;
        found.emplace(asked.target, asked.from);
        findings.push_back({"BUDGET", std::to_string(count) + " requests of " + asked.from.to_string() +
                                          " reach " + asked.target + ", which asked it for " +
                                          std::to_string(asked.rest.count()) + " ms of rest at " +
                                          at(*asked.rest_asked, start)});
    }
}

void check_lethal(const soak_history& history, std::vector<soak_finding>& findings, time_point start)
{
    std::map<std::string, time_point> ended;
    for (const auto& run : history.runs)
        if (run.lethal && run.started)
            ended.try_emplace(run.target, *run.started);
    if (ended.size() < tolerated_ends)
        return;
    std::vector<time_point> ends;
    ends.reserve(ended.size());
    for (const auto& [target, time] : ended)
        ends.push_back(time);
    std::ranges::sort(ends);
    const auto from = ends[tolerated_ends - 1] + stable_window;
    const auto late = std::ranges::count_if(history.runs, [&](const target_run& run) {
        return run.lethal && run.arrived > from &&
               !was_disturbed(history, run.from, run.arrived - stable_window, run.arrived);
    });
    if (late > tolerated_late_sends)
        findings.push_back({"BUDGET", "a request under which three targets had ended at " +
                                          at(ends[tolerated_ends - 1], start) + " was sent " +
                                          std::to_string(late) + " times more; " +
                                          std::to_string(ended.size()) + " ended in all"});
}

} // namespace

bool promises_no_execution(unsigned status)
{
    constexpr std::array<unsigned, 4> promises{408, 421, 429, 503};
    return std::ranges::find(promises, status) != promises.end();
}

std::map<std::string, retry_peak> retry_peaks(const soak_history& history)
{
    std::map<std::string, std::vector<time_point>> requests;
    for (const auto& call : history.calls)
        requests[call.service].push_back(call.sent);
    std::map<std::string, std::vector<time_point>> repeats;
    std::set<std::string> arrived;
    auto arrivals = history.arrivals;
    std::ranges::sort(arrivals, {}, &target_arrival::at);
    for (const auto& arrival : arrivals)
        if (!arrived.insert(arrival.request_id).second)
            repeats[arrival.service].push_back(arrival.at);
    std::map<std::string, retry_peak> peaks;
    const auto window = history.retries.window;
    for (auto& [service, times] : repeats) {
        auto& sent = requests[service];
        std::ranges::sort(sent);
        for (const auto last : times) {
            const auto until = last + microseconds{1};
            const auto from = until - window;
            const auto most =
                std::max({count_between(sent, from, until), count_between(sent, from - window, from),
                          count_between(sent, from - window / 2, until - window / 2)});
            const retry_peak peak{static_cast<double>(count_between(times, from, until)),
                                  history.retries.ratio * static_cast<double>(most) + history.retries.slack,
                                  until};
            auto& highest = peaks[service];
            if (highest.limit == 0 || peak.arrivals * highest.limit > highest.arrivals * peak.limit)
                highest = peak;
        }
    }
    return peaks;
}

std::vector<soak_finding> judge(const soak_history& history)
{
    std::vector<soak_finding> findings;
    if (history.calls.empty())
        return {{"EMPTY", "no requests"}};
    const auto start = std::ranges::min_element(history.calls, {}, &soak_call::sent)->sent;
    check_executions(history, findings, start);
    check_time_left(history, findings);
    check_answers(history, findings, start);
    check_rests(history, findings, start);
    check_lethal(history, findings, start);
    for (const auto& [service, peak] : retry_peaks(history))
        if (peak.arrivals > peak.limit)
            findings.push_back({"BUDGET", std::to_string(static_cast<unsigned>(peak.arrivals)) +
                                              " arrivals beyond the first at " + service + " until " +
                                              at(peak.until, start) + ", " +
                                              std::to_string(static_cast<unsigned>(peak.limit)) +
                                              " allowed"});
    return findings;
}

} // namespace teaseltally::test
