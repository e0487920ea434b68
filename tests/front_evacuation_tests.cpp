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

// Guards against the requests that a target gets which has just started, as many as a warm one (15 to 17 in a
// second where 14 are allowed, in one deployment).
TEST_CASE(
    "targets that start while there is traffic, or return from an evacuation, are filled within the bound")
{
    constexpr unsigned cold_per_s = 4;
    constexpr std::ptrdiff_t allowed = 14;
    constexpr milliseconds cold_start{4000};
    for (const bool paced : {true, false}) {
        CAPTURE(paced);
        auto options = options_for(false);
        options.targets = 4;
        options.bounds["evacuation"] = "5s";
        if (paced) {
            options.bounds["cold-overage"] = 1.5;
            options.bounds["cold-slack"] = 8;
        }
        deployment site(options);
        site.change_configuration([&](Json::Value& changed) {
            auto& services = changed["services"];
            services["columns"].append("cold-start");
            services["columns"].append("cold-per-s");
            services["rows"][0].append(std::to_string(cold_start.count()) + "ms");
            services["rows"][0].append(cold_per_s);
        });
        time_point restarted{};
        time_point evacuated{};
        time_point returned{};
        run(site.io, [&]() -> asio::awaitable<void> {
            co_await site.start();
            start_load(site, front_count);
            co_await sleep_for(milliseconds{3000});
            site.targets[0]->end();
            co_await sleep_for(milliseconds{1000});
            restarted = boot_clock::now();
            co_await sleep_for(cold_start);
            evacuated = boot_clock::now();
            for (const char* key : {"evacuate/a", "evacuate/b"})
                site.store.put("keyed.op", key, "requested");
            co_await sleep_for(milliseconds{3000});
            returned = boot_clock::now();
            for (const char* key : {"evacuate/a", "evacuate/b"})
                site.store.put("keyed.op", key, std::nullopt);
            co_await sleep_for(cold_start);
            site.stop_load();
            co_await sleep_for(milliseconds{2200});
        });
        // The pacing ends `cold_start` after an instance knows of the start.
        const auto most_in_second = [&](std::size_t index, time_point from) {
            std::vector<time_point> arrivals;
            for (const auto& run : site.runs)
                if (run.target == site.targets[index]->id() && run.arrived >= from &&
                    run.arrived < from + cold_start - milliseconds{500})
                    arrivals.push_back(run.arrived);
            std::ranges::sort(arrivals);
            std::ptrdiff_t most = 0;
            for (auto first = arrivals.begin(); first != arrivals.end(); ++first)
                most = std::max(
                    most, std::upper_bound(first, arrivals.end(), *first + std::chrono::seconds{1}) - first);
            return most;
        };
        const auto after_start = most_in_second(0, restarted - milliseconds{500});
        std::ptrdiff_t after_return = 0;
        for (std::size_t index = 0; index < site.targets.size(); ++index)
            after_return = std::max(after_return, most_in_second(index, returned + milliseconds{200}));
        const auto warm = answers_between(site, restarted, evacuated - milliseconds{200});
        const auto cold = answers_between(site, evacuated + milliseconds{2500}, time_point::max());
        MESSAGE(std::string{paced ? "paced" : "not paced"}
                << ": at most " << after_start << " in a second after the start, " << after_return
                << " after the return; served " << warm.served << " of " << warm.sent << ", then "
                << cold.served << " of " << cold.sent << ", refused late " << cold.refused_late);
        CHECK((after_start <= allowed) == paced);
        CHECK((after_return <= allowed) == paced);
        CHECK(after_return > 0);
        CHECK(warm.share() >= 0.99);
        CHECK(cold.refused_late == 0);
        CHECK(cold.refused_without_time == 0);
    }
}
