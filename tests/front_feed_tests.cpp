#include "support/front_deployment.hpp"

#include <csignal>
#include <doctest/doctest.h>

using namespace teaseltally;
using namespace teaseltally::test;

namespace {

/// Bounds of the users' pages: `config-apply`, and the time after which a target that has left gets no
/// request (rule DRAIN).
constexpr milliseconds configuration_time{2000};
constexpr milliseconds drain_time{2000};
constexpr milliseconds probe_interval{20};
/// The first instance by name, which reads the store for all.
constexpr std::size_t reader = 0;

deployment_options three_data_centres(bool keyed, std::size_t fronts = 6)
{
    deployment_options options;
    options.behaviour.keyed = keyed;
    options.fronts = fronts;
    options.data_centres = {"a", "b", "c"};
    return options;
}

/// Returns the reads of the store by each instance.
std::vector<std::size_t> reads_of(const deployment& site)
{
    std::vector<std::size_t> reads;
    for (std::size_t front = 0; front < site.fronts.size(); ++front)
        reads.push_back(site.store.calls(front).reads);
    return reads;
}

/// Returns the numbers of the instances from one on.
std::vector<std::size_t> instances_from(const deployment& site, std::size_t first)
{
    std::vector<std::size_t> instances;
    for (std::size_t front = first; front < site.fronts.size(); ++front)
        instances.push_back(front);
    return instances;
}

/// Waits until an instance serves a route.
/// @returns the time from `since`.
asio::awaitable<milliseconds> time_until_served(deployment& site, std::size_t front, std::string route,
                                                time_point since)
{
    const auto until = since + milliseconds{6000};
    unsigned status = 0;
    for (unsigned probe = 0; status != 200 && boot_clock::now() < until; ++probe) {
        caller_request request{"probe-" + route + std::to_string(front) + "-" + std::to_string(probe)};
        request.path = "/" + route + "/x";
        request.patience = milliseconds{500};
        status = (co_await call(site.fronts[front]->callers(), std::move(request))).status;
        if (status != 200)
            co_await sleep_for(probe_interval);
    }
    co_return std::chrono::duration_cast<milliseconds>(boot_clock::now() - since);
}

/// Adds a route and checks that the given instances serve it in time.
asio::awaitable<void> check_configuration_time(deployment& site, std::string route,
                                               std::vector<std::size_t> fronts)
{
    const auto since = boot_clock::now();
    site.add_route(route);
    std::size_t pending = fronts.size();
    std::map<std::size_t, milliseconds> times;
    for (const auto front : fronts)
        asio::co_spawn(
            site.io,
            [&, front]() -> asio::awaitable<void> {
                times[front] = co_await time_until_served(site, front, route, since);
                --pending;
            },
            asio::detached);
    while (pending > 0)
        co_await sleep_for(probe_interval);
    for (const auto& served : times) {
        CAPTURE(route);
        CAPTURE(served.first);
        CHECK(served.second <= configuration_time);
    }
}

/// Ways in which the reader of the store stops to be one.
enum class reader_failure { ended, frozen, refused, silent };

} // namespace

// Guards against calls to the store that grow with the number of data centres.
TEST_CASE("in calm operation one instance of the deployment reads the store")
{
    deployment site(three_data_centres(true));
    run(site.io, [&]() -> asio::awaitable<void> {
        co_await site.start();
        co_await sleep_for(milliseconds{1500});
        const auto before = reads_of(site);
        constexpr milliseconds calm{4000};
        co_await sleep_for(calm);
        const auto after = reads_of(site);
        CHECK(after[reader] > before[reader]);
        // Intervals of 0.8, 1.2, 1.5 and 4 s for the targets, the configuration, the crashes and the members,
        // one more read of each, and three of the ownership when the coordinator is late.
        CHECK(after[reader] - before[reader] <= 6 + 5 + 4 + 2 + 3);
        for (std::size_t front = 1; front < after.size(); ++front) {
            CAPTURE(front);
            CHECK(after[front] == before[front]);
        }
        MESSAGE((after[reader] - before[reader]) << " reads in " << calm.count() << " ms");
        // The others hear from the reader.
        co_await check_configuration_time(site, "calm", instances_from(site, 0));
    });
}

// Guards against calls to the store that grow with the number of instances that start.
TEST_CASE("a first start takes three calls to the store, and a restart one, while another instance reads it")
{
    deployment site(three_data_centres(true));
    run(site.io, [&]() -> asio::awaitable<void> {
        co_await site.start(1);
        for (std::size_t front = 1; front < site.fronts.size(); ++front)
            site.fronts[front]->start();
        for (std::size_t front = 1; front < site.fronts.size(); ++front)
            co_await site.wait_until_ready(front);
        co_await sleep_for(milliseconds{1500});
        const auto coordinator = site.coordinator();
        for (std::size_t front = 1; front < site.fronts.size(); ++front) {
            CAPTURE(front);
            CHECK(site.store.calls(front).reads == 2);
            // A coordinator appends its claims as well.
            CHECK((front == coordinator || site.store.calls(front).writes == 1));
        }
        const std::size_t restarted = coordinator == 4 ? 5 : 4;
        const auto before = site.store.calls(restarted).all();
        site.fronts[restarted]->kill();
        site.fronts[restarted]->start();
        co_await site.wait_until_ready(restarted);
        co_await sleep_for(milliseconds{1500});
        CHECK(site.store.calls(restarted).all() == before + 1);
    });
}

// Guards against refused calls that grow with the number of instances and topics.
TEST_CASE("while the store is away each instance repeats few calls, and its return is known in time")
{
    constexpr std::size_t fronts = 9;
    // The third instance of each data centre has others before it that repeat their reads more often.
    constexpr std::size_t first_third = 6;
    constexpr milliseconds away{6000};
    // It reads when its streams are 1.65 s old, at least 0.75 s old when the store goes away; then once
    // within 0.5 s, and after that each 0.75 s or more. Two more are on their way at the beginning.
    constexpr std::size_t tolerated_calls = 1 + 1 + 6 + 2;
    deployment site(three_data_centres(false, fronts));
    run(site.io, [&]() -> asio::awaitable<void> {
        co_await site.start();
        co_await sleep_for(milliseconds{1500});
        const auto before = reads_of(site);
        site.store.go_away();
        co_await sleep_for(away);
        const auto after = reads_of(site);
        for (std::size_t front = first_third; front < fronts; ++front) {
            CAPTURE(front);
            MESSAGE((after[front] - before[front]) << " reads by instance " << front);
            CHECK(after[front] - before[front] <= tolerated_calls);
        }
        site.store.return_from_copy(milliseconds{0});
        co_await check_configuration_time(site, "returned", instances_from(site, 0));
    });
}

// Guards against instances that depend on a reader that has ended, or that the store rejects.
TEST_CASE("a configuration and the end of a target are known in time whichever way the reader fails")
{
    for (const auto failure :
         {reader_failure::ended, reader_failure::frozen, reader_failure::refused, reader_failure::silent}) {
        CAPTURE(static_cast<int>(failure));
        // Without keys, any target may get a request.
        deployment site(three_data_centres(false));
        run(site.io, [&]() -> asio::awaitable<void> {
            co_await site.start();
            co_await sleep_for(milliseconds{1500});
            const bool lives = failure == reader_failure::refused || failure == reader_failure::silent;
            if (failure == reader_failure::ended)
                site.fronts[reader]->kill();
            else if (failure == reader_failure::frozen)
                site.fronts[reader]->signal(SIGSTOP);
            else
                site.store.set_access(reader, failure == reader_failure::refused ? store_access::refused
                                                                                 : store_access::silent);
            const auto fronts = instances_from(site, lives ? reader : reader + 1);
            // The registration goes at once; a target that still runs shows who sends it requests.
            const auto& left = *site.targets.front();
            site.store.put("keyed.servers", left.id(), std::nullopt);
            const auto left_at = boot_clock::now();
            co_await check_configuration_time(site, "added", fronts);
            co_await sleep_for(left_at + drain_time - boot_clock::now());
            const auto late_from = boot_clock::now();
            for (unsigned request = 0; request < 120; ++request) {
                caller_request sent{"late-" + std::to_string(request)};
                static_cast<void>(
                    co_await call(site.fronts[fronts[request % fronts.size()]]->callers(), std::move(sent)));
            }
            CHECK(std::ranges::none_of(site.runs, [&](const target_run& run) {
                return run.target.starts_with(left.id()) && run.arrived > late_from;
            }));
            // One of the others reads the store for all.
            co_await check_configuration_time(site, "later", fronts);
            if (failure == reader_failure::frozen)
                site.fronts[reader]->signal(SIGCONT);
        });
    }
}
