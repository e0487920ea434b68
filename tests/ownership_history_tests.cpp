#include "support/ownership_history.hpp"

#include <doctest/doctest.h>

using namespace teaseltally;
using namespace teaseltally::test;

namespace {

key_event grant(const std::string& incarnation, unsigned from, unsigned to, std::uint64_t fence, int at_ms)
{
    return {key_event_kind::grant,           incarnation,       from, to, fence,
            time_point{milliseconds{at_ms}}, milliseconds{1000}};
}

key_event ending(key_event_kind kind, const std::string& incarnation, unsigned from, unsigned to, int at_ms)
{
    return {kind, incarnation, from, to, 0, time_point{milliseconds{at_ms}}};
}

} // namespace

TEST_CASE("the ownership checker finds keys at two targets and fences that go back")
{
    const auto first = grant("a", 0, 99, 5, 100);
    SUBCASE("grants that overlap in time and keys")
    {
        const auto faults = check_ownership({grant("b", 90, 120, 6, 1000), first});
        CHECK(faults.keys_at_two == 10);
        CHECK(faults.keys_with_old_fence == 0);
        CHECK(faults.examples.size() == 1);
    }
    SUBCASE("a lower or an equal fence at another target, also after the first hold")
    {
        const auto faults = check_ownership({first, grant("b", 0, 9, 4, 5000), grant("c", 50, 59, 5, 5000)});
        CHECK(faults.keys_at_two == 0);
        CHECK(faults.keys_with_old_fence == 20);
    }
    SUBCASE("a renewal while another target holds the keys")
    {
        const auto faults = check_ownership({first, ending(key_event_kind::release, "a", 0, 99, 200),
                                             grant("b", 0, 99, 6, 300), grant("a", 0, 49, 5, 400)});
        CHECK(faults.keys_at_two == 50);
        CHECK(faults.keys_with_old_fence == 50);
    }
}

TEST_CASE("the ownership checker accepts renewals, refused grants and keys that are free")
{
    auto refused = grant("b", 0, 99, 4, 300);
    refused.accepted = false;
    const auto faults =
        check_ownership({grant("a", 0, 99, 5, 100), grant("a", 0, 99, 5, 200), refused,
                         ending(key_event_kind::release, "a", 0, 49, 400), grant("b", 0, 49, 6, 400),
                         ending(key_event_kind::end, "a", 0, 65'535, 500), grant("c", 50, 99, 7, 500),
                         grant("b", 50, 99, 8, 1500)});
    CHECK(faults.keys_at_two == 0);
    CHECK(faults.keys_with_old_fence == 0);
}
