#include "support/run.hpp"

#include <teaseltally/net/caller_server.hpp>
#include <teaseltally/net/target_node.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

#include <deque>

using namespace teaseltally;
using namespace teaseltally::test;
namespace http = boost::beast::http;

namespace {

/// A target that answers each request with the next of its scripted answers and notes what it was sent.
class scripted_target {
public:
    explicit scripted_target(asio::io_context& io) : acceptor_(io, any_port)
    {
        asio::co_spawn(io, accept(), asio::detached);
    }
    /// @param bytes what to answer; a reset follows if `reset` is set, the connection stays open otherwise.
    void expect(std::string bytes, bool reset = false) { script_.push_back({std::move(bytes), reset}); }
    [[nodiscard]] tcp_endpoint local() const { return acceptor_.local_endpoint(); }
    [[nodiscard]] std::size_t requests() const { return requests_.size(); }
    [[nodiscard]] const std::string& request(std::size_t index) const { return requests_.at(index); }

private:
    struct answer {
        std::string bytes;
        bool reset;
    };

    asio::awaitable<void> accept()
    {
        while (true) {
            auto [failed, socket] = co_await acceptor_.async_accept(as_result);
            if (failed)
                co_return;
            asio::co_spawn(acceptor_.get_executor(), serve(std::move(socket)), asio::detached);
        }
    }

    asio::awaitable<void> serve(asio::ip::tcp::socket socket)
    {
        asio::streambuf buffer;
        while (true) {
            const auto [failed, size] =
                co_await asio::async_read_until(socket, buffer, "\r\n\r\n", as_result);
            if (failed)
                co_return;
            requests_.emplace_back(static_cast<const char*>(buffer.data().data()), size);
            buffer.consume(size);
            if (script_.empty())
                continue;
            const auto next = std::move(script_.front());
            script_.pop_front();
            co_await asio::async_write(socket, asio::buffer(next.bytes), as_result);
            if (next.reset) {
                // Only an explicit close resets; the destructor of a socket takes the linger option back.
                socket.set_option(asio::socket_base::linger(true, 0));
                socket.close();
                co_return;
            }
        }
    }

    asio::ip::tcp::acceptor acceptor_;
    std::deque<answer> script_;
    std::vector<std::string> requests_;
};

std::string own_answer(const std::string& id, const std::string& body = "hello")
{
    return "HTTP/1.1 200 OK\r\ntt-request-id: " + id +
           "\r\ntt-signature: s\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

const std::string cut_answer = own_answer("q").substr(0, own_answer("q").size() - 2);

const std::string refused =
    "HTTP/1.1 503 Busy\r\ntt-request-id: q\r\ntt-not-executed: 1\r\nContent-Length: 0\r\n\r\n";

struct exchange_case {
    const char* name;
    std::string bytes;
    bool reset;
    exchange_status end;
};

/// A router with one route to one service of scripted targets.
struct small_site {
    explicit small_site(execution_semantics repeat, double retry_slack = 1000)
        : router(io.get_executor(), {"a", 0.2, retry_slack, {}}, [](const std::string&) {}),
          callers(io.get_executor(), any_port, 100, router)
    {
        routing_configuration configured;
        configured.version = 1;
        route added;
        added.name = "r";
        added.host = "h.example";
        added.prefix = "/";
        added.semantics = repeat;
        added.timeout = milliseconds{3000};
        added.target_latency = milliseconds{1000};
        added.max_attempts = 2;
        added.backends.push_back({"s", 1});
        configured.routes.push_back(added);
        configured.services["s"] = {"s", "/health", 1000, false};
        router.configure(std::move(configured));
        router.set_instances(1);
    }

    scripted_target& add_target()
    {
        targets.push_back(std::make_unique<scripted_target>(io));
        const auto port = std::to_string(targets.back()->local().port());
        router.update_target({"i" + port, "s", "127.0.0.1:" + port, "a", 4, false, {}, 0, 1});
        return *targets.back();
    }

    [[nodiscard]] std::size_t requests() const
    {
        std::size_t sum = 0;
        for (const auto& target : targets)
            sum += target->requests();
        return sum;
    }

    http_response ask(const std::string& id)
    {
        http_client client(io.get_executor(), {});
        http_response answer;
        run(io, [&]() -> asio::awaitable<void> {
            auto request = make_request(http::verb::get, "/x");
            request.set(http::field::host, "h.example");
            request.set("tt-request-id", id);
            request.set("tt-deadline-ms", "2000");
            auto outcome = co_await client.exchange(callers.local(), std::move(request), hang_deadline());
            answer = std::get<http_response>(std::move(outcome));
        });
        return answer;
    }

    asio::io_context io{1};
    request_router router;
    caller_server callers;
    std::vector<std::unique_ptr<scripted_target>> targets;
};

} // namespace

TEST_CASE("only the target's own whole answer counts as an answer")
{
    const std::vector<exchange_case> cases{
        {"own answer", own_answer("q"), false, exchange_status::answered},
        {"answer to another request first", own_answer("other") + own_answer("q"), false,
         exchange_status::answered},
        {"answer that ends with its connection",
         "HTTP/1.1 200 OK\r\ntt-request-id: q\r\ntt-signature: s\r\nConnection: close\r\n\r\nhel", true,
         exchange_status::outcome_unknown},
        {"answer cut short", cut_answer, true, exchange_status::outcome_unknown},
        {"bytes that are no answer", "hello\r\n\r\n", true, exchange_status::outcome_unknown},
        {"no bytes", "", true, exchange_status::outcome_unknown},
        {"answer without a signature", "HTTP/1.1 200 OK\r\ntt-request-id: q\r\nContent-Length: 0\r\n\r\n",
         false, exchange_status::outcome_unknown},
        {"answer without an id", "HTTP/1.1 200 OK\r\ntt-signature: s\r\nContent-Length: 0\r\n\r\n", false,
         exchange_status::outcome_unknown},
        {"encoded answer",
         "HTTP/1.1 200 OK\r\ntt-request-id: q\r\ntt-signature: s\r\nContent-Encoding: gzip\r\n"
         "Content-Length: 0\r\n\r\n",
         false, exchange_status::outcome_unknown},
        {"failure of the target's own",
         "HTTP/1.1 500 Oops\r\ntt-request-id: q\r\ntt-signature: s\r\nContent-Length: 0\r\n\r\n", false,
         exchange_status::answered},
        {"not executed", refused, false, exchange_status::not_executed},
        {"another target", "HTTP/1.1 421 No\r\ntt-request-id: q\r\nContent-Length: 0\r\n\r\n", false,
         exchange_status::misdirected},
        {"refusal of nobody's request",
         "HTTP/1.1 503 Busy\r\ntt-not-executed: 1\r\nContent-Length: 0\r\n\r\n", false,
         exchange_status::outcome_unknown}};
    for (const auto& tried : cases) {
        INFO(std::string{tried.name});
        asio::io_context io(1);
        scripted_target target(io);
        target.expect(tried.bytes, tried.reset);
        auto node = std::make_shared<target_node>(io.get_executor(), target_entry{}, target.local(),
                                                  microseconds{1000});
        auto request = std::make_shared<http_request>(make_request(http::verb::get, "/"));
        const header_names headers;
        request->set(headers.request_id, "q");
        exchange_result result;
        run(io, [&]() -> asio::awaitable<void> {
            auto connection = node->acquire(boot_clock::now(), 4);
            result =
                co_await exchange_with_target(node, request, headers, std::move(connection), hang_deadline());
        });
        CHECK(result.status == tried.end);
        if (tried.end == exchange_status::outcome_unknown)
            CHECK(node->open_connections() == 0);
    }
}

TEST_CASE("a request that may run once is sent again only when it was not executed")
{
    struct once_case {
        const char* name;
        std::string bytes;
        bool reset;
        unsigned status;
        std::size_t sends;
    };
    for (const auto& tried : std::vector<once_case>{
             {"reset without an answer", "", true, 502, 1},
             {"answer cut short", cut_answer, true, 502, 1},
             {"not executed", refused, false, 200, 2},
             {"refusal of nobody's request",
              "HTTP/1.1 503 Busy\r\ntt-not-executed: 1\r\nContent-Length: 0\r\n\r\n", false, 502, 1}}) {
        INFO(std::string{tried.name});
        small_site site(execution_semantics::at_most_once);
        auto& first = site.add_target();
        first.expect(tried.bytes, tried.reset);
        first.expect(own_answer("q"));
        const auto answer = site.ask("q");
        CHECK(answer.result_int() == tried.status);
        CHECK(site.requests() == tried.sends);
        if (tried.status != 200)
            CHECK(answer["tt-signature"].empty());
    }
}

TEST_CASE("a request that may be repeated survives a lost answer")
{
    small_site site(execution_semantics::idempotent);
    auto& first = site.add_target();
    first.expect("", true);
    first.expect(own_answer("q"));
    CHECK(site.ask("q").result_int() == 200);
    CHECK(site.requests() == 2);
}

TEST_CASE("a request does not reach more targets than its route allows")
{
    small_site site(execution_semantics::idempotent);
    for (int index = 0; index < 3; ++index)
        for (int sends = 0; sends < 3; ++sends) {
            if (sends == 0)
                site.add_target();
            site.targets.back()->expect("", true);
        }
    CHECK(site.ask("q").result_int() == 502);
    CHECK(site.requests() == 2);
}

TEST_CASE("a refusal says that the request was not run and when to come back")
{
    small_site site(execution_semantics::at_most_once);
    auto& first = site.add_target();
    for (int sends = 0; sends < 6; ++sends)
        first.expect(refused);
    const auto answer = site.ask("q");
    CHECK(answer.result_int() == 503);
    CHECK(std::stod(std::string{answer[http::field::retry_after]}) > 0);
}

TEST_CASE("a target gets the time that is left, the expected id and the caller's own headers")
{
    small_site site(execution_semantics::idempotent);
    auto& first = site.add_target();
    first.expect(own_answer("q"));
    CHECK(site.ask("q").body() == "hello");
    const auto& sent = first.request(0);
    CHECK(sent.find("tt-expected-target: i" + std::to_string(first.local().port())) != std::string::npos);
    CHECK(sent.find("Host: h.example") != std::string::npos);
    const auto at = sent.find("tt-deadline-ms: ");
    REQUIRE(at != std::string::npos);
    const int left = std::stoi(sent.substr(at + 15));
    CHECK(left > 0);
    CHECK(left <= 2000);
}

TEST_CASE("requests that no configuration allows are refused with the right status")
{
    small_site site(execution_semantics::idempotent);
    CHECK(site.ask("").result_int() == 400);
    asio::io_context io(1);
    request_router empty(io.get_executor(), {"a", 0.2, 10, {}}, [](const std::string&) {});
    std::optional<http_response> answer;
    run(io, [&]() -> asio::awaitable<void> {
        auto message = make_request(http::verb::get, "/");
        auto request =
            std::make_shared<routed_request>(io.get_executor(), std::move(message), boot_clock::now());
        answer = co_await empty.serve(request);
    });
    REQUIRE(answer);
    CHECK(answer->result_int() == 503);
}

TEST_CASE("a request whose caller has left when it is read reaches no target")
{
    small_site site(execution_semantics::idempotent);
    auto& first = site.add_target();
    first.expect(own_answer("q"));
    {
        asio::io_context caller_io;
        asio::ip::tcp::socket caller(caller_io);
        caller.connect(site.callers.local());
        const std::string text = "GET /x HTTP/1.1\r\nHost: h.example\r\ntt-request-id: early\r\n\r\n";
        asio::write(caller, asio::buffer(text));
    }
    CHECK(site.ask("q").result_int() == 200);
    CHECK(first.requests() == 1);
    CHECK(first.request(0).find("early") == std::string::npos);
}

TEST_CASE("from the stop on, each answer closes its connection")
{
    small_site site(execution_semantics::idempotent);
    auto& first = site.add_target();
    first.expect(own_answer("q"));
    first.expect(own_answer("q"));
    CHECK(site.ask("q").keep_alive());
    site.callers.drain();
    const auto answer = site.ask("q");
    CHECK(answer.result_int() == 200);
    CHECK(!answer.keep_alive());
}

TEST_CASE("a configuration never goes back")
{
    small_site site(execution_semantics::idempotent);
    routing_configuration later;
    later.version = 7;
    CHECK(site.router.configure(later));
    later.version = 6;
    CHECK(!site.router.configure(later));
    later.version = 7;
    CHECK(!site.router.configure(later));
    CHECK(site.router.table()->configured().version == 7);
}

TEST_CASE("connections that cannot be had do not earn further attempts")
{
    // One retry token in all, which refused connections must not renew.
    small_site site(execution_semantics::idempotent, 0);
    scripted_target* live = nullptr;
    for (int index = 0; index < 3; ++index) {
        asio::ip::tcp::acceptor gone(site.io, any_port);
        const auto port = std::to_string(gone.local_endpoint().port());
        site.router.update_target({"gone" + port, "s", "127.0.0.1:" + port, "a", 4, false, {}, 0, 1});
    }
    live = &site.add_target();
    constexpr int asked = 20;
    for (int index = 0; index < 4 * asked; ++index)
        live->expect(refused);
    for (int index = 0; index < asked; ++index)
        CHECK(site.ask("q").result_int() == 503);
    // One send each, the token held at first, and 0.2 x 0.75 of a token for each request.
    CHECK(live->requests() <= asked + 1 + asked * 15 / 100);
}

TEST_CASE("a connection that is not kept ends with a reset")
{
    asio::io_context io(1);
    asio::ip::tcp::acceptor acceptor(io, any_port);
    boost::system::error_code ended;
    asio::co_spawn(
        io,
        [&]() -> asio::awaitable<void> {
            auto [failed, socket] = co_await acceptor.async_accept(as_result);
            asio::streambuf buffer;
            co_await asio::async_read_until(socket, buffer, "\r\n\r\n", as_result);
            const std::string text = "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
            co_await asio::async_write(socket, asio::buffer(text), as_result);
            const auto [read_failed, count] = co_await asio::async_read(socket, buffer, as_result);
            ended = read_failed;
            io.stop();
        },
        asio::detached);
    http_client client(io.get_executor(), {});
    asio::co_spawn(
        io,
        [&]() -> asio::awaitable<void> {
            auto request = make_request(http::verb::get, "/");
            static_cast<void>(
                co_await client.exchange(acceptor.local_endpoint(), std::move(request), hang_deadline()));
        },
        asio::detached);
    io.run();
    CHECK(ended == asio::error::connection_reset);
}
