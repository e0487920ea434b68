#include "support/front_deployment.hpp"

#include <teaseltally/ownership/range_manager.hpp>

#include <boost/asio/write.hpp>
#include <csignal>
#include <doctest/doctest.h>
#include <sstream>

using namespace teaseltally;
using namespace teaseltally::test;

namespace {

/// What became of a request on a connection that was opened before the instance was told to stop.
struct late_request {
    std::string id;
    bool answered = false;
    unsigned status = 0;
};

/// Opens a connection, waits, and sends a request over it.
asio::awaitable<void> send_after(tcp_endpoint front, milliseconds delay, late_request& request)
{
    boost::beast::tcp_stream stream(co_await asio::this_coro::executor);
    stream.expires_after(std::chrono::seconds{20});
    if (const auto [failed] = co_await stream.async_connect(front, as_result); failed)
        co_return;
    co_await sleep_for(delay);
    const auto message = message_of({request.id}, 8000);
    if (const auto [failed, size] = co_await http::async_write(stream, message, as_result); failed)
        co_return;
    boost::beast::flat_buffer buffer;
    http_response response;
    const auto [failed, size] = co_await http::async_read(stream, buffer, response, as_result);
    request.answered = !failed;
    request.status = failed ? 0 : response.result_int();
}

/// Sends a request with a large body over a connection that has carried one before, the body in two parts.
/// @param delay time after the first request at which the second begins.
/// @param pause time between the parts of its body.
asio::awaitable<void> upload_after(tcp_endpoint front, milliseconds delay, milliseconds pause,
                                   late_request& request)
{
    constexpr std::size_t body_size = 200'000;
    boost::beast::tcp_stream stream(co_await asio::this_coro::executor);
    stream.expires_after(std::chrono::seconds{30});
    boost::beast::flat_buffer buffer;
    if (const auto [failed] = co_await stream.async_connect(front, as_result); failed)
        co_return;
    http_response first;
    const auto earlier = message_of({request.id + "-first"}, 12'000);
    if (const auto [failed, size] = co_await http::async_write(stream, earlier, as_result); failed)
        co_return;
    if (const auto [failed, size] = co_await http::async_read(stream, buffer, first, as_result); failed)
        co_return;
    co_await sleep_for(delay);
    auto message = message_of({request.id}, 12'000);
    message.method(http::verb::post);
    message.body() = std::string(body_size, 'u');
    message.prepare_payload();
    std::ostringstream written;
    written << message;
    const auto text = written.str();
    const std::size_t half = text.size() / 2;
    for (const auto& part : {text.substr(0, half), text.substr(half)}) {
        if (const auto [failed, size] = co_await asio::async_write(stream, asio::buffer(part), as_result);
            failed)
            break;
        co_await sleep_for(pause);
    }
    http_response response;
    const auto [failed, size] = co_await http::async_read(stream, buffer, response, as_result);
    request.answered = !failed;
    request.status = failed ? 0 : response.result_int();
}

/// Restarts an instance a while after its process has ended.
asio::awaitable<void> restart_after_end(deployment& site, std::size_t front)
{
    constexpr milliseconds restart_delay{1000};
    while (!site.fronts[front]->has_ended())
        co_await sleep_for(milliseconds{20});
    co_await sleep_for(restart_delay);
    site.fronts[front]->start();
}

/// Returns how many of the keys of `deployment::start_load` no target holds.
std::size_t unheld_keys(const deployment& site)
{
    constexpr unsigned key_step = 256;
    std::size_t count = 0;
    for (unsigned key = 0; key <= last_key; key += key_step)
        count += std::ranges::none_of(site.targets, [&](const auto& target) { return target->holds(key); });
    return count;
}

/// Returns whether an instance other than the given one says that it coordinates.
bool has_successor(const deployment& site, std::size_t former)
{
    for (std::size_t front = 0; front < site.fronts.size(); ++front) {
        const auto output = site.fronts[front]->output();
        const auto last = output.rfind("coordinates=");
        if (front != former && last != std::string::npos && output.substr(last).starts_with("coordinates=1"))
            return true;
    }
    return false;
}

} // namespace

// Guards against a stopping coordinator that keeps its role and sends no orders until others notice its
// silence.
TEST_CASE("a stopping coordinator hands its role over before it ends")
{
    // As when a target leaves while the coordinator stays (front_statement_tests).
    constexpr double min_served_share = 0.99;
    // Rule DRAIN of the users' platform: time after which a target that leaves gets no request.
    constexpr milliseconds drain_time{2000};
    // Time after SIGTERM until which the instance takes requests, less 100 ms.
    constexpr milliseconds taking_time{2650};
    // Time after which others take over from a coordinator that is silent.
    constexpr milliseconds takeover_timeout = ownership_timing{}.takeover_timeout;
    deployment_options options;
    options.behaviour.keyed = true;
    deployment site(options);
    time_point told_at{};
    time_point succeeded_at{};
    std::vector<late_request> requests(20);
    run(site.io, [&]() -> asio::awaitable<void> {
        co_await site.start();
        for (std::size_t front = 0; front < front_count; ++front)
            site.start_load(front, milliseconds{25});
        co_await sleep_for(milliseconds{3000});
        const auto former = site.coordinator();
        for (std::size_t index = 0; index < requests.size(); ++index) {
            requests[index].id = "open-" + std::to_string(index);
            asio::co_spawn(site.io,
                           send_after(site.fronts[former]->callers(),
                                      milliseconds{125} * static_cast<int>(index + 1), requests[index]),
                           asio::detached);
        }
        co_await sleep_for(milliseconds{100});
        told_at = boot_clock::now();
        site.fronts[former]->signal(SIGTERM);
        site.targets[0]->say_leaving();
        while (succeeded_at == time_point{} && boot_clock::now() < told_at + milliseconds{6000}) {
            co_await sleep_for(milliseconds{20});
            if (has_successor(site, former))
                succeeded_at = boot_clock::now();
        }
        co_await sleep_for(milliseconds{3000});
        site.stop_load();
        co_await sleep_for(milliseconds{2200});
    });
    REQUIRE(succeeded_at != time_point{});
    const auto all = answers_between(site, told_at, told_at + taking_time);
    const auto moved = answers_between(site, told_at + drain_time, told_at + taking_time);
    const auto late =
        std::ranges::count_if(requests, [](const late_request& request) { return request.status != 200; });
    MESSAGE("succeeded after " << (succeeded_at - told_at) / milliseconds{1} << " ms; served " << all.served
                               << " of " << all.sent << ", after the move " << moved.served << " of "
                               << moved.sent << "; failed on open connections: " << late);
    CHECK(succeeded_at - told_at < takeover_timeout);
    CHECK(moved.served == moved.sent);
    CHECK(all.share() >= min_served_share);
    CHECK(late == 0);
}

// Guards against keys that nobody renews while the instances restart one soon after the other.
TEST_CASE("targets keep their keys while all instances restart, the coordinator first")
{
    // Requests in progress delay the ends of the processes, almost to the end of the grace period.
    deployment_options options{"safe", {}, front_count, 8, "8000ms"};
    options.behaviour.service_time = milliseconds{2700};
    options.behaviour.keyed = true;
    deployment site(options);
    std::size_t worst = 0;
    std::vector<late_request> requests(front_count);
    run(site.io, [&]() -> asio::awaitable<void> {
        co_await site.start();
        co_await sleep_for(milliseconds{3000});
        const auto first = site.coordinator();
        REQUIRE(unheld_keys(site) == 0);
        for (std::size_t turn = 0; turn < front_count; ++turn) {
            const auto front = (first + turn) % front_count;
            requests[front].id = "open-" + std::to_string(front);
            asio::co_spawn(site.io,
                           send_after(site.fronts[front]->callers(), milliseconds{2500}, requests[front]),
                           asio::detached);
            site.fronts[front]->signal(SIGTERM);
            asio::co_spawn(site.io, restart_after_end(site, front), asio::detached);
            co_await sleep_for(milliseconds{300});
        }
        for (int sample = 0; sample < 100; ++sample) {
            co_await sleep_for(milliseconds{100});
            worst = std::max(worst, unheld_keys(site));
        }
    });
    MESSAGE("keys without a holder: " << worst);
    CHECK(worst == 0);
    // Otherwise the processes ended early, and nothing was delayed.
    for (const auto& request : requests)
        CHECK(request.status == 200);
}

// Guards against requests that are taken so late after SIGTERM that the instance gives them up at its end,
// with or without an answer (LOST).
TEST_CASE("a stopping instance serves the requests that it takes, or closes their connections unread")
{
    // Rule LOST of the users' platform: requests sent later than this after SIGTERM must not be cut off.
    constexpr milliseconds last_excused{3000};
    // Time in which the connections are accepted before the signal.
    constexpr milliseconds accept_time{20};
    // A process without processor time handles the signal late.
    for (const milliseconds signal_delay : {milliseconds{0}, milliseconds{150}}) {
        CAPTURE(signal_delay.count());
        deployment_options options{"unsafe", {}, 2, 4, "8000ms"};
        options.behaviour.service_time = milliseconds{2700};
        deployment site(options);
        std::vector<late_request> requests(16);
        run(site.io, [&]() -> asio::awaitable<void> {
            co_await site.start();
            for (std::size_t index = 0; index < requests.size(); ++index) {
                requests[index].id = "late-" + std::to_string(index);
                const auto delay =
                    accept_time + last_excused + milliseconds{5 + 30 * static_cast<int>(index)};
                asio::co_spawn(site.io, send_after(site.fronts[0]->callers(), delay, requests[index]),
                               asio::detached);
            }
            co_await sleep_for(accept_time);
            site.fronts[0]->signal(SIGSTOP);
            site.fronts[0]->signal(SIGTERM);
            co_await sleep_for(signal_delay);
            site.fronts[0]->signal(SIGCONT);
            co_await sleep_for(milliseconds{9000});
        });
        for (const auto& request : requests) {
            const bool ran = std::ranges::any_of(
                site.runs, [&](const target_run& run) { return run.request_id == request.id; });
            INFO(request.id << " got " << request.status);
            CHECK((request.status == 200 || !ran));
        }
    }
}

// Guards against requests that come late in the grace over connections in use, or whose bodies do, and that
// are passed on and cut off with no answer at its end (LOST).
TEST_CASE(
    "a stopping instance cuts off no upload, whenever in the grace it begins and however slowly it comes")
{
    constexpr milliseconds tenth_of_grace{600};
    for (const milliseconds pause : {milliseconds{0}, milliseconds{900}}) {
        CAPTURE(pause.count());
        deployment_options options{"unsafe", {}, 2, 4, "12000ms"};
        options.behaviour.service_time = milliseconds{800};
        deployment site(options);
        std::vector<late_request> requests(10);
        run(site.io, [&]() -> asio::awaitable<void> {
            co_await site.start();
            for (std::size_t index = 0; index < requests.size(); ++index) {
                requests[index].id = "upload-" + std::to_string(index);
                asio::co_spawn(site.io,
                               upload_after(site.fronts[0]->callers(),
                                            tenth_of_grace * static_cast<int>(index), pause, requests[index]),
                               asio::detached);
            }
            co_await sleep_for(milliseconds{1000});
            site.fronts[0]->signal(SIGTERM);
            co_await sleep_for(milliseconds{9000});
        });
        std::size_t served = 0;
        for (const auto& request : requests) {
            INFO(request.id << " got " << request.status);
            const bool ran = std::ranges::any_of(
                site.runs, [&](const target_run& run) { return run.request_id == request.id; });
            CHECK((ran ? request.status == 200 : request.status == 503 || !request.answered));
            served += ran ? 1 : 0;
        }
        CHECK(served > 0);
        CHECK(served < requests.size());
    }
}

// Guards against requests whose route allows more time than the process has left, and whose connections are
// closed at its end without an answer (LOST).
TEST_CASE("a stopping instance answers the requests that no target can serve before it ends")
{
    constexpr milliseconds grace{6000};
    for (const std::string semantics : {"safe", "unsafe"}) {
        CAPTURE(semantics);
        deployment_options options{semantics, {}, 1, 1, "8000ms"};
        options.behaviour.service_time = grace + milliseconds{1000};
        options.behaviour.slots = 1;
        deployment site(options);
        std::vector<late_request> requests(6);
        run(site.io, [&]() -> asio::awaitable<void> {
            co_await site.start();
            for (std::size_t index = 0; index < requests.size(); ++index) {
                requests[index].id = "unserved-" + std::to_string(index);
                asio::co_spawn(site.io,
                               send_after(site.fronts[0]->callers(),
                                          milliseconds{100 + 500 * static_cast<int>(index)}, requests[index]),
                               asio::detached);
            }
            co_await sleep_for(milliseconds{800});
            site.fronts[0]->signal(SIGTERM);
            co_await sleep_for(grace + milliseconds{200});
        });
        for (const auto& request : requests) {
            const bool arrived = std::ranges::any_of(
                site.runs, [&](const target_run& run) { return run.request_id == request.id; });
            INFO(request.id << " reached a target: " << arrived);
            CHECK(request.status == (arrived ? 504U : 503U));
        }
    }
}

// Guards against requests that are given up at the end of a default grace period, while the one of the
// installation lasts longer (LOST).
TEST_CASE("a stopping instance waits for answers through the grace period of its installation")
{
    for (const std::string semantics : {"safe", "unsafe"}) {
        CAPTURE(semantics);
        // The requests end between the default grace period, 6 s, and the last sixth of this one.
        deployment_options options{semantics, {}, 2, 8, "8000ms", {{"grace", "10s"}}};
        options.behaviour.service_time = milliseconds{4200};
        deployment site(options);
        std::vector<late_request> requests(8);
        time_point told_at{};
        time_point ended_at{};
        run(site.io, [&]() -> asio::awaitable<void> {
            co_await site.start();
            for (std::size_t index = 0; index < requests.size(); ++index) {
                requests[index].id = "graced-" + std::to_string(index);
                const auto delay = milliseconds{2300 + 50 * static_cast<int>(index)};
                asio::co_spawn(site.io, send_after(site.fronts[0]->callers(), delay, requests[index]),
                               asio::detached);
            }
            told_at = boot_clock::now();
            site.fronts[0]->signal(SIGTERM);
            while (!site.fronts[0]->has_ended() && boot_clock::now() < told_at + milliseconds{11'000})
                co_await sleep_for(milliseconds{20});
            ended_at = boot_clock::now();
        });
        MESSAGE("the process ended after " << (ended_at - told_at) / milliseconds{1} << " ms");
        CHECK(ended_at - told_at < milliseconds{10'000});
        for (const auto& request : requests) {
            INFO(request.id << " got " << request.status);
            CHECK(request.status == 200);
        }
    }
}

// Guards against requests of isolated instances that are cut off at the end of the instance that they were
// passed to.
TEST_CASE("a stopping instance completes the requests that were passed to it, and declines later ones")
{
    deployment_options options{"unsafe", {}, 2, 4, "8000ms"};
    options.behaviour.service_time = milliseconds{450};
    deployment site(options);
    std::vector<late_request> requests(10);
    run(site.io, [&]() -> asio::awaitable<void> {
        co_await site.start();
        site.set_target_links({1}, target_links::silent, open_connections::silent);
        site.start_load(1, milliseconds{100});
        co_await sleep_for(milliseconds{2000});
        site.stop_load();
        // The requests arrive from 2.3 s to 3.2 s after SIGTERM; they are taken for 2.75 s.
        for (std::size_t index = 0; index < requests.size(); ++index) {
            requests[index].id = "relayed-" + std::to_string(index);
            const auto delay = milliseconds{2300 + 100 * static_cast<int>(index)};
            asio::co_spawn(site.io, send_after(site.fronts[1]->callers(), delay, requests[index]),
                           asio::detached);
        }
        site.fronts[0]->signal(SIGTERM);
        co_await sleep_for(milliseconds{5000});
    });
    std::size_t served = 0;
    for (const auto& request : requests) {
        INFO(request.id);
        const bool ran = std::ranges::any_of(
            site.runs, [&](const target_run& run) { return run.request_id == request.id; });
        CHECK(request.status == (ran ? 200U : 503U));
        served += ran ? 1 : 0;
    }
    CHECK(served > 0);
    CHECK(served < requests.size());
}
