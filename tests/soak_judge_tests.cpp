#include "support/soak_judge.hpp"

#include <doctest/doctest.h>

#include <algorithm>

using namespace teaseltally;
using namespace teaseltally::test;

namespace {

const time_point start{microseconds{1'000'000'000}};

soak_call call_at(milliseconds sent, const std::string& id, unsigned status, bool at_most_once = true)
{
    soak_call call{id, "s", at_most_once};
    call.sent = start + sent;
    call.ended = call.sent + milliseconds{30};
    call.deadline = milliseconds{2000};
    call.status = status;
    return call;
}

target_arrival arrival_at(milliseconds at, const std::string& id)
{
    return {"s", "t1", id, start + at, milliseconds{0}};
}

target_run run_at(milliseconds at, const std::string& id, const std::string& target = "t1")
{
    target_run run;
    run.target = target;
    run.request_id = id;
    run.arrived = start + at;
    run.started = run.arrived;
    return run;
}

std::size_t count_rule(const soak_history& history, const std::string& rule)
{
    return static_cast<std::size_t>(std::ranges::count(judge(history), rule, &soak_finding::rule));
}

/// A second of requests, each executed once and answered.
soak_history kept_promises()
{
    soak_history history;
    history.retries = {0.2, 2, milliseconds{10'000}};
    for (unsigned index = 0; index < 100; ++index) {
        const milliseconds at{index * 10};
        const auto id = std::to_string(index);
        history.calls.push_back(call_at(at, id, 200));
        history.arrivals.push_back(arrival_at(at + milliseconds{1}, id));
        history.runs.push_back(run_at(at + milliseconds{2}, id));
    }
    return history;
}

} // namespace

// Guards against a soak that cannot fail.
TEST_CASE("the judge of the soak finds each broken promise, and none in a proper history")
{
    auto history = kept_promises();
    CHECK(judge(history).empty());
    SUBCASE("a request that was refused and executed")
    {
        for (const unsigned status : {408U, 421U, 429U, 503U}) {
            history.calls[7].status = status;
            CHECK(count_rule(history, "REFUSED") == 1);
        }
        history.calls[7].status = 502;
        CHECK(judge(history).empty());
    }
    SUBCASE("a request that was refused and is executed later")
    {
        history.calls[7].status = 503;
        history.runs[7] = run_at(milliseconds{9000}, "7");
        CHECK(count_rule(history, "REFUSED") == 1);
    }
    SUBCASE("a request that may be repeated may have been executed")
    {
        history.calls[7] = call_at(milliseconds{70}, "7", 503, false);
        history.runs.push_back(run_at(milliseconds{90}, "7", "t2"));
        CHECK(judge(history).empty());
    }
    SUBCASE("a request that was executed twice")
    {
        history.runs.push_back(run_at(milliseconds{90}, "7"));
        CHECK(count_rule(history, "TWICE") == 1);
    }
    SUBCASE("repeats up to the limit, and one more")
    {
        for (unsigned index = 0; index < 22; ++index)
            history.arrivals.push_back(arrival_at(milliseconds{1000}, std::to_string(index)));
        CHECK(judge(history).empty());
        history.arrivals.push_back(arrival_at(milliseconds{10'900}, "50"));
        CHECK(count_rule(history, "BUDGET") == 1);
    }
    SUBCASE("repeats in two windows")
    {
        for (unsigned index = 0; index < 22; ++index)
            history.arrivals.push_back(arrival_at(milliseconds{1000}, std::to_string(index)));
        history.arrivals.push_back(arrival_at(milliseconds{11'100}, "50"));
        CHECK(judge(history).empty());
    }
    SUBCASE("repeats after the requests of an earlier window")
    {
        for (unsigned index = 0; index < 22; ++index)
            history.arrivals.push_back(arrival_at(milliseconds{14'000}, std::to_string(index)));
        CHECK(judge(history).empty());
        for (unsigned index = 22; index < 44; ++index)
            history.arrivals.push_back(arrival_at(milliseconds{34'000}, std::to_string(index)));
        CHECK(count_rule(history, "BUDGET") == 1);
    }
    SUBCASE("requests executed by more targets than their routes allow")
    {
        for (unsigned index = 0; index < 4; ++index)
            for (const auto* target : {"t2", "t3"}) {
                history.calls[index].at_most_once = false;
                history.runs.push_back(run_at(milliseconds{500}, std::to_string(index), target));
            }
        CHECK(count_rule(history, "BUDGET") == 1);
        history.runs.pop_back();
        CHECK(judge(history).empty());
    }
    SUBCASE("arrivals with more time than is left")
    {
        for (unsigned index = 0; index < 25; ++index)
            history.arrivals[index].time_left = milliseconds{2600};
        CHECK(count_rule(history, "BUDGET") == 1);
    }
    SUBCASE("requests to a target that has asked for rest")
    {
        history.runs[0].rest_asked = start;
        history.runs[0].rest = milliseconds{520};
        CHECK(judge(history).empty());
        history.runs[0].rest = milliseconds{600};
        CHECK(count_rule(history, "BUDGET") == 1);
        history.disturbed.push_back({{}, start, start + milliseconds{1}});
        CHECK(judge(history).empty());
    }
    SUBCASE("a request that ended three targets and comes again")
    {
        const auto send = [&](milliseconds at, const std::string& target) {
            history.runs.push_back(run_at(at, "lethal", target));
            history.runs.back().lethal = true;
        };
        for (const auto* target : {"a", "b", "c"})
            send(milliseconds{100}, target);
        for (const long at : {3099L, 3101L, 3200L, 3300L})
            send(milliseconds{at}, "c");
        CHECK(judge(history).empty());
        send(milliseconds{3400}, "c");
        CHECK(count_rule(history, "BUDGET") == 1);
        history.disturbed.push_back({{}, start + milliseconds{390}, start + milliseconds{410}});
        CHECK(judge(history).empty());
    }
    SUBCASE("connections that an instance closes without an answer")
    {
        for (unsigned index = 0; index < 4; ++index) {
            history.calls[index].status = 0;
            history.calls[index].was_cut = true;
        }
        CHECK(count_rule(history, "LOST") == 1);
        history.calls[0].process_disturbed = true;
        CHECK(judge(history).empty());
    }
}
