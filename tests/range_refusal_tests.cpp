#include <teaseltally/ownership/assignment.hpp>
#include <teaseltally/ownership/range_refusals.hpp>

#include <deque>
#include <doctest/doctest.h>

using namespace teaseltally;

// Guards against hundreds of requests that reach an owner before its grant: each is an arrival in vain and
// costs a retry token that other requests then lack.
TEST_CASE("after a refusal one request in a time shows whether the owner of a range has its grant")
{
    range_refusals refusals;
    const range_assignment range{"ledger", 100, 7};
    time_point now{std::chrono::seconds{10}};
    unsigned arrivals = 0;
    // 200 requests a second for a range whose grant comes 3 s late; a refusal takes 5 ms.
    std::deque<time_point> sent;
    const auto granted_at = now + milliseconds{3000};
    for (; now < granted_at; now += milliseconds{5}) {
        for (; !sent.empty() && now - sent.front() >= milliseconds{5}; sent.pop_front())
            refusals.on_refused(range, sent.front(), now);
        if (!refusals.may_send(range, now))
            continue;
        refusals.on_sent(range, now);
        sent.push_back(now);
        ++arrivals;
    }
    CHECK(arrivals <= 8);
    CHECK(refusals.refused_since(range, now) == time_point{std::chrono::seconds{10}} + milliseconds{5});
    // Within the longest pause a request finds the grant, and the others follow at once.
    now += milliseconds{800};
    REQUIRE(refusals.may_send(range, now));
    refusals.on_sent(range, now);
    CHECK_FALSE(refusals.may_send(range, now));
    CHECK_FALSE(refusals.refused_since(range, now));
    refusals.on_accepted(range);
    CHECK(refusals.may_send(range, now));
    // A later assignment of the keys is not held back.
    refusals.on_refused(range, now, now);
    CHECK_FALSE(refusals.may_send(range, now));
    CHECK(refusals.may_send({"ledger", 100, 8}, now));
    refusals.remove_expired(now + std::chrono::seconds{10});
    CHECK(refusals.may_send(range, now));
}

// Guards against requests that are sent to the new owner of keys while a former one that does not answer may
// hold them: the new one refuses all of them until then.
TEST_CASE("the grants of former owners end when the last of them is known to have expired")
{
    ownership_log log;
    assignment owners;
    owners.assign({0, 999}, {"t1", 0, "10.0.0.1:80"}, 1, {});
    owners.assign({0, 999}, {"t2", 0, "10.0.0.2:80"}, 2, milliseconds{50});
    const auto applied_at = time_point{std::chrono::seconds{10}};
    const auto apply = [&](std::uint64_t offset) {
        log.apply(applied_at, std::string{ownership_log::service_prefix} + "ledger", encode(owners),
                  {0, offset});
        return former_grants_end(log, *log.find("ledger")->find(5));
    };
    CHECK_FALSE(apply(2));
    owners.set_grants_left(2, milliseconds{50}, [](key_range, const target_incarnation&) {
        return std::optional{milliseconds{6000}};
    });
    CHECK(apply(3) == applied_at + milliseconds{6000});
    owners.clear_former_owners([](const owned_range&) { return true; });
    CHECK_FALSE(apply(4));
}
