#include "support/front_deployment.hpp"
#include "support/link_proxy.hpp"
#include "support/soak_judge.hpp"

#include <teaseltally/count_guard.hpp>

#include <csignal>
#include <doctest/doctest.h>
#include <random>
#include <sstream>

using namespace teaseltally;
using namespace teaseltally::test;

namespace {

/// Instances without links to targets, which pass on all requests; the others receive them.
constexpr std::size_t sender_count = 2;
constexpr std::size_t receiver_count = 4;
constexpr std::size_t relay_target_count = 6;
constexpr std::uint16_t proxy_service = 5;
constexpr unsigned deadline_ms = 1500;
constexpr milliseconds patience{4000};
constexpr milliseconds sender_interval{12};
constexpr milliseconds receiver_interval{60};
constexpr milliseconds trouble_time{8000};
/// Time in which what was given up may still be executed.
constexpr milliseconds settling_time{2500};

std::uint64_t first_seed()
{
    const char* text = std::getenv("TEASELTALLY_RELAY_SEED");
    return text == nullptr ? 1 : std::strtoull(text, nullptr, 10);
}

std::uint64_t seed_count()
{
    const char* text = std::getenv("TEASELTALLY_RELAY_SEEDS");
    return text == nullptr ? 1 : std::strtoull(text, nullptr, 10);
}

/// Callers of instances that pass on their requests, and what they and the targets saw.
class relay_play {
public:
    relay_play(bool at_most_once, bool keyed, std::uint64_t seed)
        : site({.semantics = at_most_once ? "unsafe" : "safe",
                .behaviour = behaviour_for(keyed),
                .fronts = sender_count + receiver_count,
                .targets = 0}),
          at_most_once_(at_most_once), random_(seed), disturbed_(site.fronts.size()),
          open_calls_(site.fronts.size())
    {
        for (std::size_t index = 0; index < relay_target_count; ++index) {
            const auto host = static_cast<std::uint8_t>(first_target_host + index);
            auto behaviour = behaviour_for(keyed);
            behaviour.registered_endpoint = fixed_endpoint(host, proxy_service);
            proxies_.push_back(
                std::make_unique<link_proxy>(site.io, *behaviour.registered_endpoint, fixed_endpoint(host)));
            site.add_target(behaviour);
            site.targets.back()->observe_arrivals(
                [this](target_arrival arrival) { arrivals_.push_back(std::move(arrival)); });
        }
    }

    asio::awaitable<void> start()
    {
        co_await site.start();
        std::vector<std::size_t> senders;
        for (std::size_t front = 0; front < sender_count; ++front)
            senders.push_back(front);
        site.set_target_links(senders, target_links::refused, open_connections::reset);
        for (std::size_t front = 0; front < site.fronts.size(); ++front)
            asio::co_spawn(site.io, send_calls(front), asio::detached);
        co_await sleep_for(milliseconds{1500});
    }
    /// Disturbs receivers and targets in overlapping series.
    asio::awaitable<void> disturb()
    {
        for (std::size_t front = sender_count; front < site.fronts.size(); ++front)
            asio::co_spawn(site.io, disturb_receiver(front, random_()), asio::detached);
        asio::co_spawn(site.io, freeze_targets(random_()), asio::detached);
        co_await sleep_for(trouble_time);
        ended_ = true;
        while (disturbers_ > 0)
            co_await sleep_for(milliseconds{20});
    }
    asio::awaitable<void> stop()
    {
        stopped_ = true;
        while (callers_ > 0)
            co_await sleep_for(milliseconds{20});
        co_await sleep_for(settling_time);
    }
    /// Freezes an instance for a time; its own callers' requests count as disturbed from then on.
    asio::awaitable<void> pause(std::size_t front, milliseconds duration)
    {
        mark_disturbed(front);
        site.fronts[front]->signal(SIGSTOP);
        co_await sleep_for(duration);
        site.fronts[front]->signal(SIGCONT);
    }
    [[nodiscard]] soak_history history() const { return {calls_, site.runs, arrivals_, {}, 2}; }
    /// Returns how many requests of undisturbed instances reached a target longer than a time after their
    /// answers.
    [[nodiscard]] std::size_t arrivals_after_answer(milliseconds tolerance) const
    {
        std::map<std::string, time_point> answered;
        for (const auto& call : calls_)
            if (!call.process_disturbed)
                answered[call.id] = call.ended;
        return static_cast<std::size_t>(std::ranges::count_if(arrivals_, [&](const target_arrival& arrival) {
            const auto found = answered.find(arrival.request_id);
            return found != answered.end() && arrival.at > found->second + tolerance;
        }));
    }
    [[nodiscard]] std::map<unsigned, std::size_t> statuses() const
    {
        std::map<unsigned, std::size_t> counts;
        for (const auto& call : calls_)
            if (call.front < sender_count)
                ++counts[call.status];
        return counts;
    }

    deployment site;

private:
    static target_behaviour behaviour_for(bool keyed)
    {
        target_behaviour behaviour;
        behaviour.keyed = keyed;
        behaviour.slots = 1;
        behaviour.queue_length = 1;
        behaviour.service_time = milliseconds{25};
        return behaviour;
    }
    void mark_disturbed(std::size_t front)
    {
        disturbed_[front] = true;
        for (auto* call : open_calls_[front])
            call->process_disturbed = true;
    }
    asio::awaitable<void> send_calls(std::size_t front)
    {
        std::mt19937_64 random(random_());
        while (!stopped_) {
            asio::co_spawn(site.io, record_call(front, static_cast<unsigned>(random() % 65'536)),
                           asio::detached);
            co_await sleep_for(front < sender_count ? sender_interval : receiver_interval);
        }
    }
    asio::awaitable<void> record_call(std::size_t front, unsigned key)
    {
        const count_guard caller(callers_);
        soak_call call{"call-" + std::to_string(next_id_++), "s", at_most_once_, front};
        call.sent = boot_clock::now();
        call.deadline = milliseconds{deadline_ms};
        call.process_disturbed = disturbed_[front];
        open_calls_[front].insert(&call);
        co_await exchange(call, key);
        open_calls_[front].erase(&call);
        call.ended = boot_clock::now();
        calls_.push_back(std::move(call));
    }
    asio::awaitable<void> exchange(soak_call& call, unsigned key)
    {
        boost::beast::tcp_stream stream(site.io);
        stream.expires_after(patience);
        if (const auto [failed] =
                co_await stream.async_connect(site.fronts[call.front]->callers(), as_result);
            failed)
            co_return;
        caller_request sent{call.id};
        sent.key = key;
        const auto request = message_of(sent, deadline_ms);
        boost::beast::flat_buffer buffer;
        http_response response;
        auto [failed, size] = co_await http::async_write(stream, request, as_result);
        if (!failed)
            std::tie(failed, size) = co_await http::async_read(stream, buffer, response, as_result);
        call.was_cut = failed && failed != boost::beast::error::timeout;
        call.status = failed ? 0 : response.result_int();
    }
    asio::awaitable<void> disturb_receiver(std::size_t front, std::uint64_t seed)
    {
        const count_guard disturber(disturbers_);
        std::mt19937_64 random(seed);
        mark_disturbed(front);
        while (!ended_) {
            co_await sleep_for(milliseconds{static_cast<std::int64_t>(100 + random() % 1200)});
            const milliseconds duration{static_cast<std::int64_t>(200 + random() % 2800)};
            switch (random() % 4) {
            case 0:
                co_await restart(front, milliseconds{static_cast<std::int64_t>(random() % 500)});
                break;
            case 1:
                site.fronts[front]->signal(SIGTERM);
                co_await sleep_for(duration);
                co_await restart(front, milliseconds{0});
                break;
            case 2:
                co_await pause(front, duration);
                co_await restart(front, milliseconds{0});
                break;
            default:
                co_await pause(front, duration);
                break;
            }
        }
    }
    asio::awaitable<void> restart(std::size_t front, milliseconds down)
    {
        site.fronts[front]->kill();
        co_await sleep_for(down);
        site.fronts[front]->start();
    }
    asio::awaitable<void> freeze_targets(std::uint64_t seed)
    {
        const count_guard disturber(disturbers_);
        std::mt19937_64 random(seed);
        link_condition frozen;
        frozen.holds_requests = frozen.holds_responses = true;
        while (!ended_) {
            auto& proxy = *proxies_[random() % proxies_.size()];
            frozen.delivers_abandoned = random() % 2 == 0;
            proxy.set_condition(frozen);
            co_await sleep_for(milliseconds{static_cast<std::int64_t>(100 + random() % 1500)});
            proxy.set_condition({});
            co_await sleep_for(milliseconds{static_cast<std::int64_t>(random() % 500)});
        }
    }

    bool at_most_once_;
    std::mt19937_64 random_;
    std::vector<bool> disturbed_;
    /// Requests that have no answer yet, by instance.
    std::vector<std::set<soak_call*>> open_calls_;
    std::vector<std::unique_ptr<link_proxy>> proxies_;
    std::vector<target_arrival> arrivals_;
    std::vector<soak_call> calls_;
    bool ended_ = false;
    bool stopped_ = false;
    std::size_t callers_ = 0;
    std::size_t disturbers_ = 0;
    std::uint64_t next_id_ = 0;
};

void check(const relay_play& test, const std::string& name)
{
    const auto history = test.history();
    const auto findings = judge(history);
    const auto statuses = test.statuses();
    std::ostringstream report;
    report << name << ":";
    for (const auto& [status, count] : statuses)
        report << " " << status << ": " << count;
    for (const auto& [service, peak] : retry_peaks(history))
        report << ", at most " << peak.arrivals << " repeats in 10 s, " << peak.limit << " allowed";
    report << ", " << std::ranges::count_if(history.runs, [](const auto& run) { return !run.started; })
           << " of " << history.runs.size() << " arrivals not executed";
    for (const auto& finding : findings)
        report << "\n  " << finding.rule << ": " << finding.text;
    MESSAGE(report.str());
    CHECK(findings.empty());
    REQUIRE(statuses.contains(200));
}

/// Plays the seeds of the environment, without keys and with keys.
void play(bool at_most_once)
{
    for (auto seed = first_seed(); seed < first_seed() + seed_count(); ++seed)
        for (const bool keyed : {false, true}) {
            relay_play test(at_most_once, keyed, seed);
            run(test.site.io, [&]() -> asio::awaitable<void> {
                co_await test.start();
                co_await test.disturb();
                co_await test.stop();
            });
            check(test, std::string{at_most_once ? "once only" : "repeatable"} + (keyed ? ", keyed" : "") +
                            ", seed " + std::to_string(seed));
        }
}

} // namespace

// Guards against the incident REFUSED: promises that rest on what one instance knows of a request that it has
// passed on.
TEST_CASE("no promise is broken while instances that are passed requests freeze, stop and end")
{
    play(true);
}

// Guards against the incident BUDGET: repeats of requests that were passed on and that no instance has paid
// for, and requests that get more time from an instance that thaws than their callers have.
TEST_CASE("the retry budget holds while instances that are passed requests freeze, stop and end")
{
    play(false);
}

// Guards against requests that a frozen instance sends to targets after its thaw, although the instance that
// passed them on has answered their callers (GONE).
TEST_CASE("an instance that thaws sends no target the requests that were given up meanwhile")
{
    constexpr milliseconds frozen_time{4000};
    constexpr milliseconds tolerance{500};
    for (const bool at_most_once : {true, false}) {
        INFO(at_most_once);
        relay_play test(at_most_once, false, 1);
        run(test.site.io, [&]() -> asio::awaitable<void> {
            co_await test.start();
            for (std::size_t front = sender_count; front < test.site.fronts.size(); ++front)
                asio::co_spawn(test.site.io, test.pause(front, frozen_time), asio::detached);
            co_await sleep_for(frozen_time + milliseconds{1000});
            co_await test.stop();
        });
        const auto late = test.arrivals_after_answer(tolerance);
        MESSAGE(late << " requests reached a target after their answers");
        CHECK(late == 0);
        check(test, at_most_once ? "once only" : "repeatable");
    }
}
