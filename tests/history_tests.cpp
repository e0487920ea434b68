#include "support/history.hpp"

#include <doctest/doctest.h>

namespace {

constexpr auto two_callers = "invoke 100 id=1 service=s key=k what=keyed-commit\n"
                             "answer 300 id=1 service=s key=k what=done\n"
                             "invoke 150 id=2 service=s key=k what=keyed-commit\n"
                             "answer 400 id=2 service=s key=k what=done\n";

history::recorded_history read(const char* callers, std::initializer_list<const char*> targets)
{
    history::recorded_history all;
    history::read_callers(callers, all);
    for (const char* target : targets)
        history::read_target(target, all);
    return all;
}

} // namespace

TEST_CASE("a history without violations passes every checker")
{
    const auto all = read(two_callers, {"start a 110 request=1 item=s1 epoch=3\nend a 200 request=1\n",
                                        "start b 210 request=2 item=s1 epoch=4\nend b 300 request=2\n"});
    CHECK(history::check_all(all).empty());
}

// Two targets that execute requests for the same key at the same time both act as the owner of its state.
TEST_CASE("overlapping executions for one key at two targets are reported as one violation")
{
    const auto all = read(two_callers, {"start a 110 request=1 item=s1 epoch=3\nend a 250 request=1\n",
                                        "start b 210 request=2 item=s1 epoch=4\nend b 300 request=2\n"});
    CHECK(history::check_single_owner(all).size() == 1);
}

TEST_CASE("a commit that was executed twice is reported as one violation")
{
    const auto all = read(two_callers, {"start a 110 request=1 item=s1 epoch=3\nend a 200 request=1\n"
                                        "start a 201 request=1 item=s1 epoch=3\nend a 202 request=1\n",
                                        "start b 210 request=2 item=s1 epoch=4\nend b 300 request=2\n"});
    CHECK(history::check_at_most_once(all).size() == 1);
}

// A not_run answer is false if a target started the request. A done answer is false if no target finished
// the request.
TEST_CASE("not_run answers to started requests and done answers to unfinished requests are reported")
{
    const char* callers = "invoke 100 id=1 service=s key=k what=commit\nanswer 300 id=1 what=not_run\n"
                          "invoke 100 id=2 service=s key=k what=commit\nanswer 300 id=2 what=done\n"
                          "invoke 100 id=3 service=s key=k what=commit\nanswer 300 id=3 what=done\n";
    const auto all = read(callers, {"start a 110 request=1\nend a 200 request=1\n"
                                    "start a 110 request=3\ncancelled a 200 request=3\n"});
    CHECK(history::check_answers(all).size() == 3);
}
