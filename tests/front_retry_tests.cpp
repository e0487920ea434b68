#include "support/front_deployment.hpp"
#include "support/soak_judge.hpp"

#include <csignal>
#include <doctest/doctest.h>
#include <random>
#include <sstream>

using namespace teaseltally;
using namespace teaseltally::test;

namespace {

constexpr milliseconds restart_delay{100};
constexpr unsigned default_seed = 1;

/// Returns the seed of the choices, which can be set from outside.
unsigned seed()
{
    const auto* text = std::getenv("TEASELTALLY_SEED");
    return text == nullptr ? default_seed : static_cast<unsigned>(std::stoul(text));
}

/// A deployment whose targets fail so often that all retry tokens are spent.
class retry_test {
public:
    /// @param limit limit on retries that the instances are told and that the run is judged by.
    retry_test(std::size_t fronts, const retry_limit& limit, const target_behaviour& behaviour)
        : site({.behaviour = behaviour,
                .fronts = fronts,
                .bounds = {{"budget-slack", limit.slack}, {"retry-budget-ratio", limit.ratio}},
                .data_centres = {"a", "b", "c"}}),
          random(seed())
    {
        history_.retries = limit;
        for (const auto& target : site.targets)
            target->observe_arrivals(
                [this](target_arrival arrival) { history_.arrivals.push_back(std::move(arrival)); });
    }

    /// Sends requests to all instances in turn until `stop` is called.
    void start_load(double per_second) { asio::co_spawn(site.io, send_load(per_second), asio::detached); }
    void stop() { stopped_ = true; }
    /// Makes the targets execute and refuse all requests for random times in turn, so that tokens are saved
    /// and spent.
    void start_failures() { asio::co_spawn(site.io, alternate_failures(), asio::detached); }
    milliseconds random_time(int least, int most)
    {
        return milliseconds{std::uniform_int_distribution<int>(least, most)(random)};
    }
    void restart(std::size_t front)
    {
        site.fronts[front]->kill();
        site.fronts[front]->start();
    }
    asio::awaitable<void> pause(std::size_t front, milliseconds duration)
    {
        site.fronts[front]->signal(SIGSTOP);
        co_await sleep_for(duration);
        site.fronts[front]->signal(SIGCONT);
    }
    /// Stops an instance as the platform does and starts it again.
    asio::awaitable<void> replace(std::size_t front)
    {
        site.fronts[front]->signal(SIGTERM);
        while (!site.fronts[front]->has_ended())
            co_await sleep_for(restart_delay);
        restart(front);
    }
    /// Checks the arrivals of the whole run against the limit.
    void check() const
    {
        const auto peaks = retry_peaks(history_);
        const auto found = peaks.find("s");
        const auto peak = found == peaks.end() ? retry_peak{} : found->second;
        std::set<std::string> arrived;
        for (const auto& arrival : history_.arrivals)
            arrived.insert(arrival.request_id);
        MESSAGE("seed " << seed() << ": " << history_.calls.size() << " requests, " << arrived.size()
                        << " arrived, with " << history_.arrivals.size() - arrived.size()
                        << " repeats; closest to the limit in 10 s: " << peak.arrivals << " of " << peak.limit
                        << "; smallest number of instances told: " << least_told_count());
        CHECK(peak.arrivals <= peak.limit);
        CHECK(arrived.size() > history_.calls.size() / 2);
    }

    deployment site;
    std::mt19937 random;

private:
    asio::awaitable<void> send_load(double per_second)
    {
        const auto gap = microseconds{static_cast<std::int64_t>(1e6 / per_second)};
        auto next = boot_clock::now();
        for (std::size_t turn = 0; !stopped_; ++turn) {
            asio::co_spawn(site.io, send(turn % site.fronts.size()), asio::detached);
            next += gap;
            co_await sleep_for(next - boot_clock::now());
        }
    }
    asio::awaitable<void> send(std::size_t front)
    {
        caller_request request{"q" + std::to_string(next_id_++)};
        const auto number = history_.calls.size();
        history_.calls.push_back(
            {.id = request.id, .service = "s", .front = front, .sent = boot_clock::now()});
        const auto answer = co_await call(site.fronts[front]->callers(), std::move(request));
        history_.calls[number].status = answer.status;
    }
    asio::awaitable<void> alternate_failures()
    {
        while (!stopped_) {
            for (const unsigned queue_length : {target_behaviour{}.queue_length, 0U}) {
                for (const auto& target : site.targets)
                    target->set_queue_length(queue_length);
                co_await sleep_for(random_time(500, 4000));
            }
        }
    }
    /// Returns the smallest number of instances that any instance has divided the limit by.
    [[nodiscard]] unsigned least_told_count() const
    {
        constexpr std::string_view name = " instances=";
        auto least = static_cast<unsigned>(site.fronts.size());
        for (const auto& front : site.fronts) {
            std::istringstream output(front->output());
            for (std::string line; std::getline(output, line);)
                if (const auto found = line.find(name);
                    found != std::string::npos && line.find("event=retries") != std::string::npos)
                    least =
                        std::min(least, static_cast<unsigned>(std::stoul(line.substr(found + name.size()))));
        }
        return least;
    }

    soak_history history_;
    std::size_t next_id_ = 0;
    bool stopped_ = false;
};

} // namespace

// Guards against shares of the retry limit that add up to more than the whole while the instance that counts
// the others is paused, ends or is replaced.
TEST_CASE("retries stay within the limit of all instances while the coordinator changes")
{
    retry_test test(8, {0.2, 56}, {.service_time = milliseconds{5}});
    run(test.site.io, [&]() -> asio::awaitable<void> {
        co_await test.site.start();
        test.start_load(300);
        test.start_failures();
        co_await sleep_for(milliseconds{2000});
        for (int round = 0; round < 2; ++round) {
            co_await test.pause(test.site.coordinator(), test.random_time(1000, 4000));
            co_await sleep_for(test.random_time(100, 1500));
            test.restart(test.site.coordinator());
            co_await sleep_for(test.random_time(1000, 4000));
            co_await test.replace(test.site.coordinator());
            co_await sleep_for(test.random_time(100, 1500));
        }
        co_await sleep_for(milliseconds{3000});
        test.stop();
        co_await sleep_for(milliseconds{500});
    });
    test.check();
}

// Guards against tokens that an instance gets with each start.
TEST_CASE("retries stay within the limit of all instances while all are killed again and again")
{
    retry_test test(12, {0.2, 64}, {.queue_length = 0});
    run(test.site.io, [&]() -> asio::awaitable<void> {
        co_await test.site.start();
        test.start_load(18);
        co_await sleep_for(milliseconds{2000});
        for (int round = 0; round < 11; ++round) {
            const auto next = boot_clock::now() + milliseconds{1000};
            for (std::size_t front = 0; front < test.site.fronts.size(); ++front)
                test.restart(front);
            co_await sleep_for(next - boot_clock::now());
        }
        test.stop();
        co_await sleep_for(milliseconds{500});
    });
    test.check();
}

// Guards against shares that add up to more than the whole while instances cannot reach the store.
TEST_CASE("retries stay within the limit of all instances while the store is away or cut off")
{
    retry_test test(8, {0.2, 56}, {.service_time = milliseconds{5}});
    auto& store = test.site.store;
    run(test.site.io, [&]() -> asio::awaitable<void> {
        co_await test.site.start();
        test.start_load(300);
        test.start_failures();
        co_await sleep_for(milliseconds{1000});
        for (std::size_t front = 0; front < 3; ++front)
            store.set_access(test.random() % test.site.fronts.size(), store_access::silent);
        store.set_access(test.site.coordinator(), store_access::silent);
        co_await sleep_for(test.random_time(3000, 5000));
        for (std::size_t front = 0; front < test.site.fronts.size(); ++front)
            store.set_access(front, store_access::served);
        co_await sleep_for(test.random_time(100, 1000));
        store.go_away();
        test.restart(test.site.coordinator());
        co_await sleep_for(test.random_time(1000, 3000));
        store.return_from_copy(milliseconds{3000});
        co_await sleep_for(milliseconds{3000});
        test.stop();
        co_await sleep_for(milliseconds{500});
    });
    test.check();
}
