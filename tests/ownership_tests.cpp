#include "support/fake_cluster.hpp"

#include <doctest/doctest.h>

using namespace teaseltally;

TEST_CASE("the execution checker reports overlapping executions of a key at two targets")
{
    const auto at = [](std::int64_t ms) { return time_point{milliseconds{ms}}; };
    const std::vector<fake::execution> overlapping{{"a", 1, 1, epoch{5}, at(10), at(30)},
                                                   {"b", 1, 2, epoch{6}, at(20), at(40)}};
    CHECK(fake::check_executions(overlapping).size() == 1);
}

TEST_CASE("the execution checker reports an execution whose epoch is lower than that of an earlier execution")
{
    const auto at = [](std::int64_t ms) { return time_point{milliseconds{ms}}; };
    const std::vector<fake::execution> falling{{"a", 1, 1, epoch{7}, at(10), at(20)},
                                               {"b", 1, 2, epoch{6}, at(20), at(40)}};
    CHECK(fake::check_executions(falling).size() == 1);
}

TEST_CASE("the execution checker reports a request that is executed twice")
{
    const auto at = [](std::int64_t ms) { return time_point{milliseconds{ms}}; };
    const std::vector<fake::execution> twice{{"a", 1, 1, epoch{5}, at(10), at(20)},
                                             {"a", 1, 1, epoch{5}, at(20), at(40)}};
    CHECK(fake::check_executions(twice).size() == 1);
}
