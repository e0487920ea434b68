#include "support/front_deployment.hpp"

#include <csignal>
#include <doctest/doctest.h>

using namespace teaseltally;
using namespace teaseltally::test;

namespace {

/// What became of a request on a connection that was opened before the instance was told to stop.
struct late_request {
    std::string id;
    bool answered = false;
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
}

} // namespace

// Guards against requests that are taken long after SIGTERM and cut off at the end of the process (LOST).
TEST_CASE("a stopping instance answers the requests that it takes, or closes their connections unread")
{
    // Rule LOST of the users' platform: requests sent later than this after SIGTERM must not be cut off.
    constexpr milliseconds last_excused{3000};
    deployment_options options{"unsafe", {}, 2, 4, "8000ms"};
    options.behaviour.service_time = milliseconds{2700};
    deployment site(options);
    std::vector<late_request> requests(8);
    run(site.io, [&]() -> asio::awaitable<void> {
        co_await site.start();
        for (std::size_t index = 0; index < requests.size(); ++index) {
            requests[index].id = "late-" + std::to_string(index);
            const auto delay = last_excused + milliseconds{40 + 60 * static_cast<int>(index)};
            asio::co_spawn(site.io, send_after(site.fronts[0]->callers(), delay, requests[index]),
                           asio::detached);
        }
        site.fronts[0]->signal(SIGTERM);
        co_await sleep_for(milliseconds{9000});
    });
    for (const auto& request : requests) {
        const bool ran = std::ranges::any_of(
            site.runs, [&](const target_run& run) { return run.request_id == request.id; });
        CHECK((request.answered || !ran));
    }
}
