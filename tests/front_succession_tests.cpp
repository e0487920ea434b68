#include "support/front_deployment.hpp"
#include "support/ownership_history.hpp"

#include <teaseltally/ownership/range_manager.hpp>

#include <csignal>
#include <doctest/doctest.h>

using namespace teaseltally;
using namespace teaseltally::test;

namespace {

/// When a drained target ends: at once when it has released its keys, or only when it has refused a grant.
enum class target_end { after_release, after_refusal };

/// Time within which a successor moves the keys of a draining target: the takeover and a release.
constexpr milliseconds longest_move{6000};
/// Time for which a coordinator may grant keys after the store has last answered it.
constexpr milliseconds authority = ownership_timing{}.authority_duration;
constexpr milliseconds sample_interval{2};

/// Returns whether a target has refused a grant because of its fencing token since a time.
bool has_refused_grant(const fake_target& target, time_point since)
{
    return std::ranges::any_of(target.key_events(), [since](const key_event& event) {
        return event.kind == key_event_kind::grant && !event.accepted && event.at > since;
    });
}

/// Waits until a condition holds, but not longer than a given time.
template <typename Condition>
asio::awaitable<void> wait_until(Condition condition, milliseconds longest)
{
    const auto end = boot_clock::now() + longest;
    while (!condition() && boot_clock::now() < end)
        co_await sleep_for(sample_interval);
}

/// Waits until an instance has just written to the store. If it is cut off then, it asks other instances
/// shortly before it has a successor, and not for a while after.
asio::awaitable<void> wait_for_record(const deployment& site, std::size_t front)
{
    constexpr milliseconds answer_time{50};
    const auto known = site.store.calls(front).writes;
    co_await wait_until([&] { return site.store.calls(front).writes != known; },
                        2 * ownership_timing{}.heartbeat_interval);
    co_await sleep_for(answer_time);
}

deployment_options make_options(std::size_t fronts)
{
    deployment_options options;
    options.fronts = fronts;
    options.targets = 5;
    options.behaviour.keyed = true;
    options.behaviour.keeps_id = true;
    options.behaviour.restart_delay = milliseconds{150};
    return options;
}

/// Makes the store ignore the coordinator, and a target drain, end and start again with the same id after a
/// successor has moved its keys. Expects that no key is held by two targets.
/// @param replaced whether the other instances are replaced by some that the coordinator can't know.
void check_restart(target_end end, bool replaced)
{
    const std::size_t first_fronts = replaced ? 3 : 4;
    deployment site(make_options(replaced ? 2 * first_fronts - 1 : first_fronts));
    auto& target = *site.targets[0];
    bool released = false;
    run(site.io, [&]() -> asio::awaitable<void> {
        // The first instance becomes the coordinator. It is the first of the members, which asks others last.
        site.fronts[0]->start();
        co_await site.wait_until_ready(0);
        co_await sleep_for(milliseconds{1000});
        for (std::size_t front = 1; front < first_fronts; ++front)
            site.fronts[front]->start();
        for (std::size_t front = 1; front < first_fronts; ++front)
            co_await site.wait_until_ready(front);
        for (std::size_t front = 0; front < first_fronts; ++front)
            site.start_load(front, milliseconds{50});
        co_await sleep_for(milliseconds{4000});
        REQUIRE(target.holds_any());
        const auto former = site.coordinator();
        co_await wait_for_record(site, former);
        const auto cut_at = boot_clock::now();
        site.store.set_access(former, store_access::silent);
        for (std::size_t front = 0; replaced && front < first_fronts; ++front)
            if (front != former)
                site.fronts[front]->kill();
        for (std::size_t front = first_fronts; front < site.fronts.size(); ++front)
            site.fronts[front]->start();
        co_await sleep_for(milliseconds{300});
        target.report_draining();
        co_await wait_until([&] { return !target.holds_any(); }, longest_move);
        released = !target.holds_any();
        const auto released_at = boot_clock::now();
        if (end == target_end::after_refusal)
            co_await wait_until([&] { return has_refused_grant(target, released_at); },
                                ownership_timing{}.renewal_interval);
        MESSAGE("released " << (released_at - cut_at) / milliseconds{1} << " ms after the cut, ended "
                            << (boot_clock::now() - cut_at) / milliseconds{1});
        target.end();
        co_await sleep_for(cut_at + authority + milliseconds{500} - boot_clock::now());
        site.store.set_access(former, store_access::served);
        co_await sleep_for(milliseconds{2000});
        site.stop_load();
        co_await sleep_for(milliseconds{2200});
    });
    std::vector<key_event> events;
    for (const auto& each : site.targets)
        events.insert(events.end(), each->key_events().begin(), each->key_events().end());
    const auto findings = check_ownership(events);
    for (const auto& example : findings.examples)
        MESSAGE(example);
    CHECK(released);
    CHECK(findings.keys_at_two == 0);
    CHECK(findings.keys_with_old_fence == 0);
}

} // namespace

// Guards against two targets that hold a key (OWNER): a coordinator that had been succeeded granted its keys
// to a target that had forgotten their fencing tokens by a restart.
TEST_CASE("a restarted target gets no keys from a coordinator that can learn of its successor")
{
    for (const auto end : {target_end::after_release, target_end::after_refusal}) {
        CAPTURE(static_cast<int>(end));
        check_restart(end, false);
    }
}

// Guards against the same where the coordinator can't learn of its successor before its authority ends.
TEST_CASE("a restarted target gets no keys from a coordinator that knows no other instance")
{
    for (const auto end : {target_end::after_release, target_end::after_refusal}) {
        CAPTURE(static_cast<int>(end));
        check_restart(end, true);
    }
}
