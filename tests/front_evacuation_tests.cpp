#include "support/front_deployment.hpp"

#include <doctest/doctest.h>

using namespace teaseltally;
using namespace teaseltally::test;

namespace {

/// The bound `evacuation` of the users' platform.
constexpr milliseconds evacuation_bound{5000};
constexpr auto evacuation_key = "evacuate/b";
constexpr milliseconds load_interval{25};

/// Returns the number of requests that reached the targets of data centre "b" in a span of time.
std::ptrdiff_t arrivals_in_b(const deployment& site, time_point from, time_point to)
{
    std::set<std::string> ids;
    for (std::size_t index = 1; index < site.targets.size(); index += 2)
        ids.insert(site.targets[index]->id());
    return std::ranges::count_if(site.runs, [&](const target_run& run) {
        return ids.contains(run.target) && run.arrived >= from && run.arrived < to;
    });
}

deployment_options options_for(bool keyed)
{
    deployment_options options;
    options.targets = 8;
    options.behaviour.keyed = keyed;
    options.behaviour.slots = 4;
    options.behaviour.service_time = milliseconds{30};
    return options;
}

/// Lets callers send requests to all instances that run.
void start_load(deployment& site, std::size_t fronts)
{
    for (std::size_t front = 0; front < fronts; ++front)
        site.start_load(front, load_interval);
}

} // namespace

// Guards against requests to targets of a data centre that is evacuated (13,288 of a day in one deployment),
// by any path, and by an instance that starts meanwhile.
TEST_CASE("an evacuated data centre gets no requests until the evacuation ends")
{
    for (const bool keyed : {false, true}) {
        CAPTURE(keyed);
        auto options = options_for(keyed);
        options.bounds["evacuation"] = "5s";
        deployment site(options);
        time_point begun{};
        time_point ended{};
        run(site.io, [&]() -> asio::awaitable<void> {
            co_await site.start(front_count - 1);
            start_load(site, front_count - 1);
            co_await sleep_for(milliseconds{2000});
            begun = boot_clock::now();
            site.store.put("keyed.op", evacuation_key, "requested");
            co_await sleep_for(evacuation_bound);
            site.fronts.back()->start();
            co_await site.wait_until_ready(front_count - 1);
            site.start_load(front_count - 1, load_interval);
            co_await sleep_for(milliseconds{2000});
            ended = boot_clock::now();
            site.store.put("keyed.op", evacuation_key, std::nullopt);
            co_await sleep_for(milliseconds{4000});
            site.stop_load();
            co_await sleep_for(milliseconds{2200});
        });
        const auto late = arrivals_in_b(site, begun + evacuation_bound, ended);
        const auto during = answers_between(site, begun, ended);
        const auto after = arrivals_in_b(site, ended + milliseconds{2500}, time_point::max());
        MESSAGE("keyed " << keyed << ": " << arrivals_in_b(site, begun + milliseconds{2000}, ended)
                         << " arrivals from 2 s on, " << late << " late; served " << during.served << " of "
                         << during.sent << "; " << after << " arrivals after the end");
        CHECK(late == 0);
        CHECK(during.share() >= 0.99);
        CHECK(during.refused_late == 0);
        if (!keyed)
            CHECK(after > 0);
    }
}

// Guards against instances that send on, or let callers wait, because nobody can move the keys.
TEST_CASE("requests for keys that cannot be moved from an evacuated data centre are refused at once")
{
    auto options = options_for(true);
    options.bounds["evacuation"] = "5s";
    // All targets of the service are in the evacuated data centre.
    options.targets = 0;
    deployment site(options);
    site.add_target(options.behaviour);
    site.store.put("keyed.op", "evacuate/a", "requested");
    time_point begun{};
    run(site.io, [&]() -> asio::awaitable<void> {
        begun = boot_clock::now();
        co_await site.start();
        start_load(site, front_count);
        co_await sleep_for(milliseconds{3000});
        site.stop_load();
        co_await sleep_for(milliseconds{2200});
    });
    const auto answers = answers_between(site, begun + milliseconds{3000}, time_point::max());
    MESSAGE(site.runs.size() << " arrivals; " << answers.refused_late << " of " << answers.sent
                             << " refused late");
    CHECK(site.runs.empty());
    CHECK(answers.sent > 0);
    CHECK(answers.refused_late == 0);
    CHECK(answers.refused_without_time == 0);
}

// Guards against a change for deployments that know no evacuations.
TEST_CASE("the record of an evacuation has no effect without its bound")
{
    deployment site(options_for(false));
    time_point begun{};
    run(site.io, [&]() -> asio::awaitable<void> {
        co_await site.start();
        site.store.put("keyed.op", evacuation_key, "requested");
        co_await sleep_for(milliseconds{2000});
        begun = boot_clock::now();
        start_load(site, front_count);
        co_await sleep_for(milliseconds{1000});
        site.stop_load();
        co_await sleep_for(milliseconds{500});
    });
    CHECK(arrivals_in_b(site, begun, time_point::max()) > 0);
}
