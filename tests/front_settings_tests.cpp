#include "support/front_deployment.hpp"

#include <doctest/doctest.h>

using namespace teaseltally;
using namespace teaseltally::test;

// Guards against grants that last longer than the targets of the installation accept.
TEST_CASE("no grant lasts longer than the installation allows")
{
    constexpr milliseconds hold_max{4000};
    deployment_options options;
    options.behaviour.keyed = true;
    options.bounds["hold-max"] = std::to_string(hold_max.count()) + "ms";
    deployment site(options);
    milliseconds longest{0};
    run(site.io, [&]() -> asio::awaitable<void> {
        co_await site.start();
        co_await sleep_for(milliseconds{4000});
    });
    for (const auto& target : site.targets)
        for (const auto& event : target->key_events())
            if (event.kind == key_event_kind::grant)
                longest = std::max(longest, event.hold);
    MESSAGE("the longest grant lasts " << longest.count() << " ms");
    CHECK(longest.count() > 0);
    CHECK(longest <= hold_max);
}

// Guards against more retries than the installation allows (BUDGET).
TEST_CASE("retries stay within the budget of the installation")
{
    constexpr double ratio = 0.1;
    constexpr double slack = 8;
    constexpr int calm_requests = 300;
    constexpr int failing_requests = 200;
    deployment_options options{"safe", {}, 2, 8};
    options.bounds["retry-budget-ratio"] = ratio;
    options.bounds["budget-slack"] = slack;
    deployment site(options);
    std::size_t answered = 0;
    const auto send = [&](const std::string& name, int count) -> asio::awaitable<void> {
        for (int index = 0; index < count; ++index) {
            caller_request request{name + std::to_string(index)};
            const auto front = static_cast<std::size_t>(index) % site.fronts.size();
            const auto answer = co_await call(site.fronts[front]->callers(), std::move(request));
            answered += answer.status == 200 ? 1U : 0U;
        }
    };
    run(site.io, [&]() -> asio::awaitable<void> {
        co_await site.start();
        co_await send("calm-", calm_requests);
        for (const auto& target : site.targets)
            target->set_failure(target_failure::reset);
        co_await send("failing-", failing_requests);
    });
    const auto arrivals = static_cast<double>(std::ranges::count_if(
        site.runs, [](const target_run& run) { return run.request_id.starts_with("failing-"); }));
    const double retries = arrivals - failing_requests;
    MESSAGE(retries << " retries for " << failing_requests << " requests; " << answered << " answered");
    CHECK(retries > 0);
    CHECK(retries <= ratio * failing_requests + slack);
}
