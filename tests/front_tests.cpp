#include "support/front_deployment.hpp"

#include <doctest/doctest.h>

using namespace teaseltally;
using namespace teaseltally::test;

namespace {

/// @param innocents_served_from time from which all innocent requests must be served.
void check_contained(const deployment& site, time_point innocents_served_from)
{
    CHECK(site.ends() >= tolerated_ends);
    CHECK(site.late_runs() <= tolerated_late_runs);
    const auto [sent, failed] = site.innocents_since(innocents_served_from);
    CHECK(sent > 0);
    CHECK(failed == 0);
}

} // namespace

// Guards against the incident BUDGET: a request that ended three targets was sent on whenever it returned.
TEST_CASE("a request that ended three targets is not sent on, at whichever instance it returns")
{
    struct return_case {
        const char* semantics;
        std::size_t instances;
        bool keyed;
        bool targets_keep_id;
        milliseconds duration;
        bool any_address = false;
    };
    for (const auto& example :
         std::vector<return_case>{{"safe", front_count, false, false, milliseconds{6000}},
                                  {"unsafe", front_count, false, true, milliseconds{6000}},
                                  {"safe", 1, false, false, milliseconds{6000}},
                                  {"safe", front_count, false, false, milliseconds{6000}, true},
                                  {"safe", front_count, true, false, milliseconds{18'000}}}) {
        const std::string name = std::string{example.semantics} + ", " + std::to_string(example.instances) +
                                 " instances" + (example.keyed ? ", keyed" : "") +
                                 (example.targets_keep_id ? ", targets keep their id" : "") +
                                 (example.any_address ? ", from any address" : "");
        INFO(name);
        target_behaviour behaviour;
        behaviour.keyed = example.keyed;
        behaviour.keeps_id = example.targets_keep_id;
        deployment site({example.semantics, behaviour});
        site.lethal_from_any_address = example.any_address;
        run(site.io, [&]() -> asio::awaitable<void> {
            co_await site.start();
            site.start_innocents();
            co_await site.return_lethal(example.duration, example.instances);
            site.stop_innocents();
            co_await sleep_for(milliseconds{100});
        });
        MESSAGE(name << ": " << site.lethal_answers.size() << " returns, " << site.ends() << " ends, "
                     << site.late_runs() << " late runs");
        REQUIRE(!site.lethal_runs().empty());
        check_contained(site, example.keyed ? site.lethal_runs().back() + key_recovery_time
                                            : site.convergence_end());
        for (const auto& answer : site.lethal_answers)
            if (answer.sent > std::max(site.convergence_end(), site.lethal_runs().back())) {
                CHECK(answer.status == 503);
                CHECK_FALSE(answer.retry_after.empty());
            }
    }
}

// Guards against lethal requests that run on late, from the queues of targets that have few slots.
TEST_CASE("a request that ended three targets is not sent on while targets queue requests")
{
    for (const auto patience : {milliseconds{4000}, milliseconds{60}}) {
        INFO("callers leave after " << patience.count() << " ms");
        target_behaviour behaviour;
        behaviour.slots = 1;
        behaviour.queue_length = 8;
        behaviour.service_time = milliseconds{300};
        behaviour.time_to_end = milliseconds{80};
        deployment site({"safe", behaviour});
        site.lethal_patience = patience;
        run(site.io, [&]() -> asio::awaitable<void> {
            co_await site.start();
            site.start_innocents();
            co_await sleep_for(milliseconds{1000});
            co_await site.return_lethal(milliseconds{9000});
            site.stop_innocents();
            co_await sleep_for(milliseconds{100});
        });
        const auto queued = std::ranges::count_if(site.runs, [](const target_run& run) {
            return run.started && *run.started - run.arrived > milliseconds{50};
        });
        MESSAGE(patience.count() << " ms: " << site.lethal_answers.size() << " returns, " << site.ends()
                                 << " ends, " << site.late_runs() << " late runs, " << queued << " queued");
        CHECK(queued > 0);
        CHECK(site.ends() >= tolerated_ends);
        CHECK(site.late_runs() <= tolerated_late_runs);
    }
}

// Guards against an instance that forgets, when it restarts, which requests end targets.
TEST_CASE("instances that restart do not send on a request that ended three targets")
{
    deployment site({});
    run(site.io, [&]() -> asio::awaitable<void> {
        co_await site.start();
        site.start_innocents();
        co_await site.return_lethal(milliseconds{5000});
        for (std::size_t front = 0; front < front_count; ++front) {
            site.fronts[front]->kill();
            site.fronts[front]->start();
            co_await site.wait_until_ready(front);
            co_await site.return_lethal(milliseconds{700});
        }
        for (const auto& front : site.fronts)
            front->kill();
        co_await site.start();
        const auto restarted_at = boot_clock::now();
        co_await site.return_lethal(milliseconds{1500});
        site.stop_innocents();
        co_await sleep_for(milliseconds{100});
        const auto [sent, failed] = site.innocents_since(restarted_at);
        CHECK(sent > 0);
        CHECK(failed == 0);
    });
    MESSAGE(site.lethal_answers.size()
            << " returns, " << site.ends() << " ends, " << site.late_runs() << " late runs");
    CHECK(site.ends() >= tolerated_ends);
    CHECK(site.late_runs() <= tolerated_late_runs);
}

// Guards against ends that stay unknown to others since the instance that saw them can't reach the store.
TEST_CASE("an instance that is cut off from the store shares which requests end targets")
{
    for (const auto access : {store_access::silent, store_access::refused}) {
        INFO(static_cast<int>(access));
        deployment site({});
        run(site.io, [&]() -> asio::awaitable<void> {
            co_await site.start();
            site.start_innocents();
            // The first instance of data centre a reads the store for the others.
            site.store.set_access(0, access);
            co_await sleep_for(milliseconds{500});
            while (site.ends() < tolerated_ends) {
                co_await site.send_lethal(0);
                co_await sleep_for(return_interval);
            }
            co_await site.return_lethal(milliseconds{6000});
            site.store.set_access(0, store_access::served);
            co_await site.return_lethal(milliseconds{1500});
            site.stop_innocents();
            co_await sleep_for(milliseconds{100});
        });
        MESSAGE(site.lethal_answers.size()
                << " returns, " << site.ends() << " ends, " << site.late_runs() << " late runs");
        check_contained(site, site.convergence_end());
    }
}

// Guards against a quarantine of requests that ran beside: their targets end for other reasons.
TEST_CASE("requests that ran on targets that ended by themselves are not refused")
{
    deployment site({});
    run(site.io, [&]() -> asio::awaitable<void> {
        co_await site.start();
        site.start_innocents();
        constexpr int rounds = 6;
        for (int round = 0; round < rounds; ++round) {
            for (std::size_t index = 0; index < 3; ++index)
                site.targets[(static_cast<std::size_t>(round) * 3 + index) % site.targets.size()]->end();
            co_await sleep_for(milliseconds{700});
            for (const auto& target : site.targets)
                target->reset_connections();
            co_await sleep_for(milliseconds{500});
        }
        co_await sleep_for(milliseconds{2000});
        const auto calm_since = boot_clock::now();
        co_await sleep_for(milliseconds{1000});
        site.stop_innocents();
        co_await sleep_for(milliseconds{100});
        const auto [sent, failed] = site.innocents_since(calm_since);
        CHECK(sent > 0);
        CHECK(failed == 0);
    });
    MESSAGE(site.ends() << " ends, " << site.innocent_answers.size() << " innocent requests");
}
