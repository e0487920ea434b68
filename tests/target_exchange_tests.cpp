#include "support/response_forms.hpp"
#include "support/retry_tokens.hpp"
#include "support/run.hpp"

#include <teaseltally/net/caller_server.hpp>
#include <teaseltally/net/target_node.hpp>
#include <teaseltally/request_policy.hpp>

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

/// A target that answers each request with the next scripted response and records the request headers.
class scripted_target {
public:
    explicit scripted_target(asio::io_context& io) : acceptor_(io, any_port)
    {
        asio::co_spawn(io, accept(), asio::detached);
    }
    /// Adds a response to the script.
    /// @param bytes response as sent.
    /// @param reset whether the connection is reset afterwards; it stays open otherwise.
    /// @param delay time from the request until the response is sent.
    void enqueue_response(std::string bytes, bool reset = false, milliseconds delay = {})
    {
        script_.push_back({std::move(bytes), reset, delay});
    }
    /// Adds the last response of a connection to the script.
    /// @param reset whether the connection is reset afterwards; it is closed otherwise.
    void enqueue_last_response(std::string bytes, bool reset)
    {
        script_.push_back({std::move(bytes), reset, {}, !reset});
    }
    /// Makes the target send a refusal once more when its request comes again over the same connection,
    /// before the next scripted response.
    void repeat_refusals() { repeats_refusals_ = true; }
    [[nodiscard]] tcp_endpoint local_endpoint() const { return acceptor_.local_endpoint(); }
    [[nodiscard]] std::size_t requests() const { return requests_.size(); }
    [[nodiscard]] const std::string& request(std::size_t index) const { return requests_.at(index); }

private:
    struct scripted_response {
        std::string bytes;
        bool reset;
        milliseconds delay;
        bool closes = false;
    };

    static std::string id_in(const std::string& message)
    {
        const auto begin = message.find("tt-request-id: ");
        return begin == std::string::npos ? "" : message.substr(begin, message.find("\r\n", begin) - begin);
    }

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
        std::map<std::string, std::string> refusals;
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
            const auto id = id_in(requests_.back());
            if (repeats_refusals_ && refusals.contains(id))
                co_await asio::async_write(socket, asio::buffer(refusals[id]), as_result);
            if (next.bytes.find("tt-not-executed") != std::string::npos)
                refusals[id] = next.bytes;
            co_await sleep_for(next.delay);
            co_await asio::async_write(socket, asio::buffer(next.bytes), as_result);
            if (next.reset) {
                // Only an explicit close resets the connection; the destructor of a socket clears the linger
                // option.
                socket.set_option(asio::socket_base::linger(true, 0));
                socket.close();
                co_return;
            }
            if (next.closes)
                co_return;
        }
    }

    asio::ip::tcp::acceptor acceptor_;
    std::deque<scripted_response> script_;
    std::vector<std::string> requests_;
    bool repeats_refusals_ = false;
};

std::string signed_response(const std::string& id, const std::string& body = "hello")
{
    return "HTTP/1.1 200 OK\r\ntt-request-id: " + id +
           "\r\ntt-signature: s\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

const std::string truncated_response = signed_response("q").substr(0, signed_response("q").size() - 2);

const std::string refusal_response =
    "HTTP/1.1 503 Busy\r\ntt-request-id: q\r\ntt-not-executed: 1\r\nContent-Length: 0\r\n\r\n";

struct exchange_case {
    const char* name;
    std::string bytes;
    bool reset;
    exchange_status expected_status;
};

/// Sends one request to a target.
/// @returns how the exchange ended, and the number of connections that are open afterwards.
std::pair<exchange_status, std::size_t> exchange_once(asio::io_context& io, const scripted_target& target)
{
    auto node = std::make_shared<target_node>(io.get_executor(), target_entry{}, target.local_endpoint(),
                                              microseconds{1000});
    auto request = std::make_shared<target_request>(http::verb::get, "/", 11);
    const header_names headers;
    request->set(headers.request_id, "q");
    message_memory memory(1U << 20U);
    exchange_result result;
    run(io, [&]() -> asio::awaitable<void> {
        auto connection = node->acquire(boot_clock::now(), 4);
        result = co_await exchange_with_target(node, request, headers, std::move(connection), hang_deadline(),
                                               memory);
    });
    return {result.status, node->open_connections()};
}

/// A router and its caller server, with one route to one service of scripted targets.
struct router_fixture {
    /// @param saves_token whether the router has served requests that pay for a retry.
    explicit router_fixture(execution_semantics semantics, double retry_burst = 1000,
                            unsigned max_attempts = 2, unsigned max_connections = 1000,
                            bool saves_token = true)
        : router(io.get_executor(), {"a", 0.2, retry_burst, {}},
                 [this](const std::string& line) { log_lines.push_back(line); }),
          callers(io.get_executor(), any_port, 100, router)
    {
        routing_configuration configured;
        configured.version = 1;
        route added;
        added.name = "r";
        added.host = "h.example";
        added.prefix = "/";
        added.semantics = semantics;
        added.timeout = milliseconds{3000};
        added.target_latency = milliseconds{1000};
        added.max_attempts = max_attempts;
        added.backends.push_back({"s", 1});
        configured.routes.push_back(added);
        configured.services["s"] = {"s", "/health", max_connections, false};
        router.configure(std::move(configured));
        router.set_instance_count(1);
        if (saves_token)
            save_retry_token(io, router);
        log_lines.clear();
    }

    scripted_target& add_target()
    {
        targets.push_back(std::make_unique<scripted_target>(io));
        const auto port = std::to_string(targets.back()->local_endpoint().port());
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

    asio::awaitable<http_response> exchange(std::string id)
    {
        http_client client(io.get_executor(), {});
        auto request = make_request(http::verb::get, "/x");
        request.set(http::field::host, "h.example");
        request.set("tt-request-id", id);
        request.set("tt-deadline-ms", "2000");
        auto outcome =
            co_await client.exchange(callers.local_endpoint(), std::move(request), hang_deadline());
        co_return std::get<http_response>(std::move(outcome));
    }
    http_response send_request(const std::string& id)
    {
        http_response response;
        run(io, [&]() -> asio::awaitable<void> { response = co_await exchange(id); });
        return response;
    }

    asio::io_context io{1};
    std::vector<std::string> log_lines;
    request_router router;
    caller_server callers;
    std::vector<std::unique_ptr<scripted_target>> targets;
};

} // namespace

// Guards against passing on a truncated response, a response to another request or one of an intermediary.
TEST_CASE("only a complete response signed by the target counts as answered")
{
    const std::vector<exchange_case> cases{
        {"signed response", signed_response("q"), false, exchange_status::answered},
        {"response to another request first", signed_response("other") + signed_response("q"), false,
         exchange_status::answered},
        {"response delimited by the end of its connection",
         "HTTP/1.1 200 OK\r\ntt-request-id: q\r\ntt-signature: s\r\nConnection: close\r\n\r\nhel", true,
         exchange_status::outcome_unknown},
        {"truncated response", truncated_response, true, exchange_status::outcome_unknown},
        {"bytes that are not HTTP", "hello\r\n\r\n", true, exchange_status::outcome_unknown},
        {"connection reset before any bytes", "", true, exchange_status::outcome_unknown},
        {"response without a signature", "HTTP/1.1 200 OK\r\ntt-request-id: q\r\nContent-Length: 0\r\n\r\n",
         false, exchange_status::outcome_unknown},
        {"response without a request id", "HTTP/1.1 200 OK\r\ntt-signature: s\r\nContent-Length: 0\r\n\r\n",
         false, exchange_status::outcome_unknown},
        {"response with an encoded body",
         "HTTP/1.1 200 OK\r\ntt-request-id: q\r\ntt-signature: s\r\nContent-Encoding: gzip\r\n"
         "Content-Length: 0\r\n\r\n",
         false, exchange_status::outcome_unknown},
        {"signed error response",
         "HTTP/1.1 500 Oops\r\ntt-request-id: q\r\ntt-signature: s\r\nContent-Length: 0\r\n\r\n", false,
         exchange_status::answered},
        {"refusal without execution", refusal_response, false, exchange_status::not_executed},
        {"misdirected request", "HTTP/1.1 421 No\r\ntt-request-id: q\r\nContent-Length: 0\r\n\r\n", false,
         exchange_status::misdirected},
        {"signed misdirection, which the target must have executed",
         "HTTP/1.1 421 No\r\ntt-request-id: q\r\ntt-signature: s\r\nContent-Length: 0\r\n\r\n", false,
         exchange_status::answered},
        {"body beyond the memory for responses", signed_response("q", std::string(2U << 20U, 'x')), false,
         exchange_status::outcome_unknown},
        {"refusal without a request id",
         "HTTP/1.1 503 Busy\r\ntt-not-executed: 1\r\nContent-Length: 0\r\n\r\n", false,
         exchange_status::outcome_unknown}};
    for (const auto& example : cases) {
        INFO(std::string{example.name});
        asio::io_context io(1);
        scripted_target target(io);
        target.enqueue_response(example.bytes, example.reset);
        const auto [status, open_connections] = exchange_once(io, target);
        CHECK(status == example.expected_status);
        if (example.expected_status == exchange_status::outcome_unknown)
            CHECK(open_connections == 0);
    }
}

// Guards against a success whose body a target cut off (MIXED).
TEST_CASE("a response that ends at any byte counts as answered only if it is whole")
{
    for (const auto& form : response_forms()) {
        for (std::size_t size = 0; size <= form.bytes.size(); ++size) {
            for (const bool reset : {false, true}) {
                INFO(form.name << ", " << size << " bytes" << (reset ? ", reset" : ", closed"));
                asio::io_context io(1);
                scripted_target target(io);
                target.enqueue_last_response(form.bytes.substr(0, size), reset);
                const auto status = exchange_once(io, target).first;
                if (status != exchange_status::answered)
                    CHECK(status == exchange_status::outcome_unknown);
                const bool is_whole = size >= form.whole_size && !(form.ends_with_connection && reset);
                // A reset may overtake the bytes before it.
                if (!reset || !is_whole)
                    CHECK((status == exchange_status::answered) == is_whole);
            }
        }
    }
}

// Guards against requests that were being connected when their target asked for rest or left.
TEST_CASE("a request is not written to a target that asked for rest, left or was evacuated in the meantime")
{
    for (const std::string change : {"rest", "leaving", "evacuated"}) {
        CAPTURE(change);
        const bool leaving = change == "leaving";
        asio::io_context io(1);
        scripted_target target(io);
        auto node = std::make_shared<target_node>(io.get_executor(), target_entry{}, target.local_endpoint(),
                                                  microseconds{1000});
        auto request = std::make_shared<target_request>(http::verb::get, "/", 11);
        const header_names headers;
        request->set(headers.request_id, "q");
        message_memory memory(1U << 20U);
        exchange_result result;
        run(io, [&]() -> asio::awaitable<void> {
            auto connection = node->acquire(boot_clock::now(), 4);
            target_statement statement;
            statement.leaving = leaving;
            statement.rest = change == "rest" ? milliseconds{5000} : milliseconds{0};
            node->statements().apply(statement, boot_clock::now(), boot_clock::now());
            if (change == "evacuated")
                node->set_evacuation(evacuation{boot_clock::now(), boot_clock::now()});
            result = co_await exchange_with_target(node, request, headers, std::move(connection),
                                                   hang_deadline(), memory);
        });
        CHECK(result.held_back);
        CHECK(result.status == exchange_status::not_executed);
        CHECK(target.requests() == 0);
    }
}

// Guards against a second execution: a target whose response was lost or truncated may have executed the
// request.
TEST_CASE("an at-most-once request is sent again only if it was not executed")
{
    struct at_most_once_case {
        const char* name;
        std::string bytes;
        bool reset;
        unsigned status;
        std::size_t sends;
    };
    for (const auto& example : std::vector<at_most_once_case>{
             {"connection reset without a response", "", true, 502, 1},
             {"truncated response", truncated_response, true, 502, 1},
             {"refusal without execution", refusal_response, false, 200, 2},
             {"refusal without a request id",
              "HTTP/1.1 503 Busy\r\ntt-not-executed: 1\r\nContent-Length: 0\r\n\r\n", false, 502, 1}}) {
        INFO(std::string{example.name});
        router_fixture fixture(execution_semantics::at_most_once);
        auto& target = fixture.add_target();
        target.enqueue_response(example.bytes, example.reset);
        target.enqueue_response(signed_response("q"));
        const auto response = fixture.send_request("q");
        CHECK(response.result_int() == example.status);
        CHECK(fixture.requests() == example.sends);
        if (example.status != 200)
            CHECK(response["tt-signature"].empty());
    }
}

// Guards against a promise that a request was not executed, or its second execution, because a target sent an
// earlier refusal of it once more (REFUSED, TWICE): connections forgot which requests they had carried.
TEST_CASE("a repeated refusal is not taken for the response to a later attempt, whatever came in between")
{
    struct repeat_case {
        std::string status;
        unsigned requests_in_between;
        unsigned max_connections;
    };
    // Requests that earn the retry tokens of two further attempts.
    constexpr unsigned earning_requests = 14;
    for (const auto& example : std::vector<repeat_case>{{"503 Busy", 1, 1000},
                                                        {"503 Busy", 2, 1000},
                                                        {"429 Busy", 1, 1000},
                                                        {"503 Busy", 1, 2},
                                                        {"503 Busy", 0, 2}}) {
        INFO(example.status << ", " << example.requests_in_between << " requests in between, "
                            << example.max_connections << " connections");
        constexpr milliseconds delay{60};
        router_fixture fixture(execution_semantics::at_most_once, 1000, 3, example.max_connections);
        auto& target = fixture.add_target();
        target.repeat_refusals();
        for (unsigned count = 0; count < earning_requests; ++count) {
            const auto id = "earning-" + std::to_string(count);
            target.enqueue_response(signed_response(id));
            CHECK(fixture.send_request(id).result_int() == 200);
        }
        const auto refusal = "HTTP/1.1 " + example.status +
                             "\r\ntt-request-id: q\r\ntt-not-executed: 1\r\nContent-Length: 0\r\n\r\n";
        target.enqueue_response(refusal);
        target.enqueue_response(refusal, false, 2 * delay);
        for (unsigned count = 0; count < example.requests_in_between; ++count)
            target.enqueue_response(signed_response(std::to_string(count)));
        target.enqueue_response(signed_response("q"), false, delay);
        target.enqueue_response(refusal);
        std::optional<http_response> response;
        run(fixture.io, [&]() -> asio::awaitable<void> {
            asio::co_spawn(
                fixture.io, [&]() -> asio::awaitable<void> { response = co_await fixture.exchange("q"); },
                asio::detached);
            // The second attempt is at the target, and the connection of the first one is idle.
            co_await sleep_for(delay);
            for (unsigned count = 0; count < example.requests_in_between; ++count)
                CHECK((co_await fixture.exchange(std::to_string(count))).result_int() == 200);
            const auto until = hang_deadline();
            while (!response && boot_clock::now() < until)
                co_await sleep_for(milliseconds{5});
        });
        REQUIRE(response);
        CHECK(response->result_int() == 200);
        CHECK(target.requests() == earning_requests + 3 + example.requests_in_between);
    }
}

TEST_CASE("an idempotent request is sent again after a lost response")
{
    router_fixture fixture(execution_semantics::idempotent);
    auto& target = fixture.add_target();
    target.enqueue_response("", true);
    target.enqueue_response(signed_response("q"));
    CHECK(fixture.send_request("q").result_int() == 200);
    CHECK(fixture.requests() == 2);
}

TEST_CASE("a request is sent no more often than the max_attempts of its route")
{
    router_fixture fixture(execution_semantics::idempotent);
    for (int index = 0; index < 3; ++index)
        for (int sends = 0; sends < 3; ++sends) {
            if (sends == 0)
                fixture.add_target();
            fixture.targets.back()->enqueue_response("", true);
        }
    CHECK(fixture.send_request("q").result_int() == 502);
    CHECK(fixture.requests() == 2);
}

// Guards against requests that fail because another process responds at the address of a registration.
TEST_CASE("a target at whose address another process responds gets no request until it responds itself")
{
    router_fixture fixture(execution_semantics::at_most_once);
    auto& target = fixture.add_target();
    const auto id = "i" + std::to_string(target.local_endpoint().port());
    const std::string misdirected =
        "HTTP/1.1 421 No\r\ntt-request-id: q\r\ntt-not-executed: 1\r\ntt-target-id: other\r\nContent-Length: "
        "0\r\n\r\n";
    const auto health = [](const std::string& responding) {
        return "HTTP/1.1 200 OK\r\ntt-target-id: " + responding + "\r\nContent-Length: 0\r\n\r\n";
    };
    target.enqueue_response(misdirected);
    for (int count = 0; count < 3; ++count) {
        const auto sent_at = boot_clock::now();
        const auto refused = fixture.send_request("q");
        CHECK(boot_clock::now() - sent_at < milliseconds{150});
        CHECK(refused.result_int() == 503);
        CHECK(!refused[http::field::retry_after].empty());
    }
    CHECK(target.requests() == 1);
    CHECK(fixture.router.unconfirmed_targets() == std::set<std::string, std::less<>>{id + "@0"});
    target.enqueue_response(health("other"));
    target.enqueue_response(health(id));
    target.enqueue_response(signed_response("r"));
    run(fixture.io, [&]() -> asio::awaitable<void> { co_await sleep_for(milliseconds{700}); });
    REQUIRE(target.requests() == 2);
    CHECK(target.request(1).starts_with("GET /health "));
    CHECK(fixture.send_request("r").result_int() == 503);
    run(fixture.io, [&]() -> asio::awaitable<void> { co_await sleep_for(milliseconds{1000}); });
    CHECK(fixture.send_request("r").result_int() == 200);
    CHECK(fixture.router.unconfirmed_targets().empty());
    CHECK(target.requests() == 4);
}

// Guards against requests to an address because of an answer about its identity that is none.
TEST_CASE("a broken answer does not confirm the identity of a target")
{
    struct identity_case {
        const char* name;
        std::string start;
        std::string end;
        bool reset = false;
        bool confirms = false;
    };
    const std::string ok = "HTTP/1.1 200 OK\r\n";
    const std::string length = "Content-Length: 0\r\n\r\n";
    const std::string early = "HTTP/1.1 103 Early\r\n\r\n";
    const std::vector<identity_case> cases{
        {"whole", ok, length, false, true},
        {"to the end of the connection", ok, "\r\nhello", false, true},
        {"to the end of the connection, reset", ok, "\r\nhello", true},
        {"status 000", "HTTP/1.1 000 X\r\n", length},
        {"a field name with a blank", ok, "X Odd: v\r\n" + length},
        {"a folded field line", ok, " X-Odd: v\r\n" + length},
        {"another transfer coding", ok, "Transfer-Encoding: gzip\r\n\r\nhello"},
        {"a length and a transfer coding", ok, "Transfer-Encoding: gzip\r\n" + length},
        {"after an interim response", early + ok, length, false, true},
        {"an interim response alone", early, ""},
        {"another target after an interim response", early + ok + "tt-target-id: other\r\n", length}};
    for (const auto& example : cases) {
        INFO(std::string{example.name});
        router_fixture fixture(execution_semantics::at_most_once);
        auto& target = fixture.add_target();
        const auto id = "i" + std::to_string(target.local_endpoint().port());
        target.enqueue_response("HTTP/1.1 421 No\r\ntt-request-id: q\r\ntt-not-executed: 1\r\n"
                                "tt-target-id: other\r\nContent-Length: 0\r\n\r\n");
        CHECK(fixture.send_request("q").result_int() == 503);
        target.enqueue_last_response(example.start + "tt-target-id: " + id + "\r\n" + example.end,
                                     example.reset);
        run(fixture.io, [&]() -> asio::awaitable<void> { co_await sleep_for(milliseconds{700}); });
        CHECK(target.requests() == 2);
        CHECK(fixture.router.unconfirmed_targets().empty() == example.confirms);
    }
}

// Guards against retries and hedged attempts that reach a target which has asked for rest.
TEST_CASE("neither a new request, a retry nor a hedged attempt is sent to a target that rests")
{
    router_fixture fixture(execution_semantics::idempotent);
    auto& resting = fixture.add_target();
    resting.enqueue_response("HTTP/1.1 503 Busy\r\ntt-request-id: q\r\ntt-not-executed: 1\r\nRetry-After: "
                             "30\r\nContent-Length: 0\r\n\r\n");
    for (int count = 0; count < 3; ++count) {
        const auto sent_at = boot_clock::now();
        const auto refused = fixture.send_request("q");
        CHECK(boot_clock::now() - sent_at < milliseconds{150});
        CHECK(refused.result_int() == 503);
        CHECK(std::stod(std::string{refused[http::field::retry_after]}) > 29);
    }
    CHECK(resting.requests() == 1);
    // A target that does not answer, so that a hedged attempt is due.
    auto& silent = fixture.add_target();
    CHECK(fixture.send_request("r").result_int() == 504);
    CHECK(silent.requests() >= 1);
    CHECK(resting.requests() == 1);
}

TEST_CASE("each attempt with an unknown outcome is logged with the fingerprint that equal requests share")
{
    router_fixture fixture(execution_semantics::at_most_once);
    auto& target = fixture.add_target();
    for (const char* id : {"first", "second"}) {
        target.enqueue_response("", true);
        CHECK(fixture.send_request(id).result_int() == 502);
    }
    std::vector<std::string> fingerprints;
    for (const auto& line : fixture.log_lines)
        if (line.starts_with("event=attempt_lost")) {
            CHECK(line.find("target=i" + std::to_string(target.local_endpoint().port())) !=
                  std::string::npos);
            const auto begin = line.find("fingerprint=");
            fingerprints.push_back(line.substr(begin, line.find(' ', begin) - begin));
        }
    REQUIRE(fingerprints.size() == 2);
    CHECK(fingerprints[0] == fingerprints[1]);
}

namespace {

/// A router with a quarantine, whose requests come from 127.0.0.1.
struct quarantine_fixture : router_fixture {
    explicit quarantine_fixture(execution_semantics semantics) : router_fixture(semantics)
    {
        router.set_quarantine(quarantine, [this](std::uint64_t fingerprint) -> asio::awaitable<bool> {
            ++claims;
            const auto record = quarantine.next_trial(fingerprint, boot_clock::now());
            co_return record&& quarantine.apply(*record, boot_clock::now());
        });
    }
    /// Records that `count` targets ended while they ran the request that `send_request` sends.
    void record_crashes(unsigned count)
    {
        const auto fingerprints =
            crash_fingerprints_of("127.0.0.1", {"h.example", "GET", "/x", std::string_view{}, ""});
        for (unsigned target = 0; target < count; ++target) {
            const auto name = "ended-" + std::to_string(target);
            for (const auto fingerprint : {fingerprints.content, fingerprints.caller})
                quarantine.on_attempt_lost(name, fingerprint, boot_clock::now());
            CHECK(quarantine.on_target_ended(name, boot_clock::now()));
        }
    }
    crash_quarantine quarantine{"x", {3, milliseconds{60'000}}};
    unsigned claims = 0;
};

} // namespace

TEST_CASE("a quarantined request is refused at once with the time until its quarantine ends")
{
    for (const auto semantics : {execution_semantics::idempotent, execution_semantics::at_most_once}) {
        quarantine_fixture fixture(semantics);
        auto& target = fixture.add_target();
        target.enqueue_response(signed_response("q"));
        fixture.record_crashes(3);
        const auto sent_at = boot_clock::now();
        const auto response = fixture.send_request("q");
        CHECK(boot_clock::now() - sent_at < milliseconds{500});
        CHECK(response.result_int() == 503);
        const auto retry_after = std::stod(std::string{response[http::field::retry_after]});
        CHECK(retry_after > 55);
        CHECK(retry_after <= 60);
        CHECK(fixture.requests() == 0);
    }
}

// Guards against a retry that ends one more target in the same attempt of a caller.
TEST_CASE("a request after which all but one of the tolerated targets ended is not sent again")
{
    for (const unsigned crashes : {1U, 2U}) {
        CAPTURE(crashes);
        quarantine_fixture fixture(execution_semantics::idempotent);
        auto& target = fixture.add_target();
        target.enqueue_response("", true);
        target.enqueue_response(signed_response("q"));
        fixture.record_crashes(crashes);
        CHECK(fixture.send_request("q").result_int() == (crashes == 1 ? 200 : 502));
        CHECK(fixture.requests() == (crashes == 1 ? 2 : 1));
    }
}

// Guards against a quarantine of requests that only had the same key as a lethal one.
TEST_CASE("a quarantined request that completed before gets one trial, which clears it or not")
{
    for (const bool completes : {false, true}) {
        CAPTURE(completes);
        quarantine_fixture fixture(execution_semantics::idempotent);
        auto& target = fixture.add_target();
        target.enqueue_response(signed_response("q"));
        CHECK(fixture.send_request("q").result_int() == 200);
        fixture.record_crashes(3);
        target.enqueue_response(completes ? signed_response("q") : "", !completes);
        target.enqueue_response(signed_response("q"));
        CHECK(fixture.send_request("q").result_int() == (completes ? 200 : 502));
        CHECK(fixture.send_request("q").result_int() == (completes ? 200 : 503));
        CHECK(fixture.claims == 1);
        CHECK(fixture.requests() == (completes ? 3 : 2));
    }
}

TEST_CASE("a request that a target completes is cleared of earlier crashes")
{
    quarantine_fixture fixture(execution_semantics::idempotent);
    fixture.add_target().enqueue_response(signed_response("q"));
    fixture.record_crashes(2);
    CHECK(fixture.send_request("q").result_int() == 200);
    CHECK(fixture.quarantine.extract_changes().front().value == std::nullopt);
}

// Guards the rule BUDGET: the crash of a target was forgotten when its successor accepted a connection for
// it, so that a lethal request ended further targets.
TEST_CASE("a connection over which nothing was sent does not show that a crashed target lives")
{
    constexpr std::uint64_t lethal = 77;
    // The moment at which the target is left alone passes through all steps of the request.
    for (int steps = 0; steps < 60; ++steps) {
        quarantine_fixture fixture(execution_semantics::idempotent);
        auto& target = fixture.add_target();
        target.enqueue_response(signed_response("q"));
        const auto incarnation = incarnation_name("i" + std::to_string(target.local_endpoint().port()), 0);
        fixture.quarantine.on_attempt_lost(incarnation, lethal, boot_clock::now());
        CHECK(fixture.quarantine.on_target_ended(incarnation, boot_clock::now()));
        http_client client(fixture.io.get_executor(), {});
        asio::co_spawn(
            fixture.io,
            [&]() -> asio::awaitable<void> {
                auto request = make_request(http::verb::get, "/x");
                request.set(http::field::host, "h.example");
                request.set("tt-request-id", "q");
                static_cast<void>(co_await client.exchange(fixture.callers.local_endpoint(),
                                                           std::move(request), hang_deadline()));
            },
            asio::detached);
        for (int step = 0; step < steps; ++step)
            fixture.io.run_one_for(milliseconds{1});
        fixture.router.record_other_process(incarnation);
        fixture.io.run_for(milliseconds{30});
        if (fixture.requests() == 0)
            CHECK(fixture.quarantine.crashes(lethal) == 1);
    }
}

// Guards against targets whose end is not noticed because their connections hang instead of being reset.
TEST_CASE(
    "a target that is removed after it left a request unanswered counts as crashed unless it was draining")
{
    enum class removal { deregistered, deregistered_while_draining, replaced_at_its_address, restarted };
    for (const auto how : {removal::deregistered, removal::deregistered_while_draining,
                           removal::replaced_at_its_address, removal::restarted}) {
        CAPTURE(static_cast<int>(how));
        quarantine_fixture fixture(execution_semantics::at_most_once);
        const auto& target = fixture.add_target();
        const auto port = std::to_string(target.local_endpoint().port());
        CHECK(fixture.send_request("q").result_int() == 504);
        const target_entry entry{"i" + port, "s", "127.0.0.1:" + port, "a", 4, false, {}, 0, 2};
        auto changed = entry;
        switch (how) {
        case removal::deregistered:
            break;
        case removal::deregistered_while_draining:
            changed.draining = true;
            fixture.router.update_target(changed);
            break;
        case removal::replaced_at_its_address:
            changed.id = "other";
            fixture.router.update_target(changed);
            break;
        case removal::restarted:
            changed.start_unix_ms = 5;
            fixture.router.update_target(changed);
            break;
        }
        if (how == removal::deregistered || how == removal::deregistered_while_draining)
            fixture.router.remove_target(entry.id);
        CHECK(fixture.quarantine.extract_changes().size() ==
              (how == removal::deregistered_while_draining ? 0 : 1));
    }
}

// Guards against a full retry budget after each restart: processes that restart often exceeded the shared
// limit.
TEST_CASE("instances that restart again and again do not exceed the retry budget")
{
    constexpr double ratio = 0.2;
    constexpr double burst = 40;
    constexpr unsigned restarts = 10;
    constexpr unsigned requests_per_run = 20;
    std::size_t repeats = 0;
    for (unsigned run = 0; run < restarts; ++run) {
        router_fixture fixture(execution_semantics::idempotent, burst, 2, 1000, false);
        // Each target fails once, after which it is not chosen for a while.
        for (unsigned index = 0; index < 2 * requests_per_run; ++index)
            fixture.add_target().enqueue_response("", true);
        for (unsigned request = 0; request < requests_per_run; ++request)
            static_cast<void>(fixture.send_request("q"));
        repeats += fixture.requests() - std::min<std::size_t>(fixture.requests(), requests_per_run);
    }
    CHECK(static_cast<double>(repeats) <= burst + ratio * restarts * requests_per_run);
}

// Guards against a busy loop from the time when a further hedged attempt would be due until the deadline.
TEST_CASE("a request whose attempts do not end wakes the process only at intervals")
{
    router_fixture fixture(execution_semantics::idempotent);
    for (int index = 0; index < 2; ++index)
        fixture.add_target();
    http_client client(fixture.io.get_executor(), {});
    bool answered = false;
    auto exchange = [&]() -> asio::awaitable<void> {
        auto request = make_request(http::verb::get, "/x");
        request.set(http::field::host, "h.example");
        request.set("tt-request-id", "q");
        request.set("tt-deadline-ms", "2500");
        auto outcome =
            co_await client.exchange(fixture.callers.local_endpoint(), std::move(request), hang_deadline());
        CHECK(std::get<http_response>(outcome).result_int() == 504);
        answered = true;
    };
    asio::co_spawn(fixture.io, std::move(exchange), asio::detached);
    std::size_t handlers = 0;
    while (!answered)
        handlers += fixture.io.run_one();
    CHECK(fixture.requests() == 2);
    // The deadline is 50 intervals of 50 ms away, and each wakes two or three handlers.
    CHECK(handlers < 400);
}

TEST_CASE("a request that no target executed is answered with status 503 and retry-after")
{
    router_fixture fixture(execution_semantics::at_most_once);
    auto& target = fixture.add_target();
    for (int sends = 0; sends < 6; ++sends)
        target.enqueue_response(refusal_response);
    const auto response = fixture.send_request("q");
    CHECK(response.result_int() == 503);
    CHECK(std::stod(std::string{response[http::field::retry_after]}) > 0);
}

TEST_CASE("a target receives the remaining time, the id of the expected target and the caller's headers")
{
    router_fixture fixture(execution_semantics::idempotent);
    auto& target = fixture.add_target();
    target.enqueue_response(signed_response("q"));
    CHECK(fixture.send_request("q").body() == "hello");
    const auto& sent = target.request(0);
    CHECK(sent.find("tt-expected-target: i" + std::to_string(target.local_endpoint().port())) !=
          std::string::npos);
    CHECK(sent.find("Host: h.example") != std::string::npos);
    const auto at = sent.find("tt-deadline-ms: ");
    REQUIRE(at != std::string::npos);
    const int remaining_ms = std::stoi(sent.substr(at + 15));
    CHECK(remaining_ms > 0);
    CHECK(remaining_ms <= 2000);
}

TEST_CASE(
    "a request without an id is answered with status 400; a router without a routing configuration answers "
    "with status 503")
{
    router_fixture fixture(execution_semantics::idempotent);
    CHECK(fixture.send_request("").result_int() == 400);
    asio::io_context io(1);
    request_router empty(io.get_executor(), {"a", 0.2, 10, {}}, [](const std::string&) {});
    std::optional<http_response> response;
    run(io, [&]() -> asio::awaitable<void> {
        auto message = make_request(http::verb::get, "/");
        auto request = std::make_shared<routed_request>(io.get_executor(), std::move(message),
                                                        asio::ip::address{}, boot_clock::now());
        response = co_await empty.serve(request);
    });
    REQUIRE(response);
    CHECK(response->result_int() == 503);
}

// Guards against executing a request that its caller has already abandoned.
TEST_CASE("a request that is read after its caller has disconnected is sent to no target")
{
    router_fixture fixture(execution_semantics::idempotent);
    auto& target = fixture.add_target();
    target.enqueue_response(signed_response("q"));
    {
        asio::io_context caller_io;
        asio::ip::tcp::socket caller(caller_io);
        caller.connect(fixture.callers.local_endpoint());
        const std::string text = "GET /x HTTP/1.1\r\nHost: h.example\r\ntt-request-id: early\r\n\r\n";
        asio::write(caller, asio::buffer(text));
    }
    CHECK(fixture.send_request("q").result_int() == 200);
    CHECK(target.requests() == 1);
    CHECK(target.request(0).find("early") == std::string::npos);
}

TEST_CASE("after the start of a drain each response closes its connection")
{
    router_fixture fixture(execution_semantics::idempotent);
    auto& target = fixture.add_target();
    target.enqueue_response(signed_response("q"));
    target.enqueue_response(signed_response("q"));
    CHECK(fixture.send_request("q").keep_alive());
    fixture.callers.drain();
    const auto response = fixture.send_request("q");
    CHECK(response.result_int() == 200);
    CHECK(!response.keep_alive());
}

// Guards the rule CONFIG: a version that the store lost when it came back from a copy and that was written
// anew with other content was ignored.
TEST_CASE("a configuration is replaced by a higher version, or by one of its version with other content")
{
    router_fixture fixture(execution_semantics::idempotent);
    routing_configuration later;
    later.version = 7;
    CHECK(fixture.router.configure(later));
    later.version = 6;
    CHECK(!fixture.router.configure(later));
    later.version = 7;
    CHECK(!fixture.router.configure(later));
    CHECK(fixture.router.table()->configured().version == 7);
    later.limits.body_bytes = 5;
    CHECK(fixture.router.configure(later));
    CHECK(fixture.router.table()->configured().version == 7);
    CHECK(fixture.router.table()->configured().limits.body_bytes == 5);
    later.version = 6;
    later.limits.body_bytes = 6;
    CHECK(!fixture.router.configure(later));
    CHECK(fixture.router.table()->configured().limits.body_bytes == 5);
}

// Guards the rule DENIED: an instance that lags answers that a route which is in force does not exist.
TEST_CASE("while a newer configuration may be in force a request without a route is refused with 503")
{
    router_fixture fixture(execution_semantics::idempotent);
    routing_configuration later;
    later.version = 7;
    fixture.router.configure(later);
    CHECK(fixture.send_request("q").result_int() == 404);
    bool is_outdated = true;
    fixture.router.set_outdated_check([&] { return is_outdated; });
    const auto response = fixture.send_request("q");
    CHECK(response.result_int() == 503);
    CHECK(response[http::field::retry_after] == "0.500");
    is_outdated = false;
    CHECK(fixture.send_request("q").result_int() == 404);
}

// Guards the rule LOST: a stopping instance closed connections whose request it had read, or had not yet
// read.
TEST_CASE("a request that is complete only after the server has closed its idle connections is refused")
{
    const std::string text = "GET /x HTTP/1.1\r\nHost: h.example\r\ntt-request-id: q\r\n\r\n";
    for (const std::size_t sent_before : {std::size_t{20}, text.size()}) {
        router_fixture stopping(execution_semantics::idempotent);
        asio::ip::tcp::socket caller(stopping.io);
        std::string received;
        run(stopping.io, [&]() -> asio::awaitable<void> {
            co_await caller.async_connect(stopping.callers.local_endpoint(), as_result);
            while (stopping.callers.open_connections() == 0)
                co_await sleep_for(milliseconds{1});
            co_await sleep_for(milliseconds{5});
            boost::system::error_code ignored;
            asio::write(caller, asio::buffer(text.data(), sent_before), ignored);
            if (sent_before < text.size())
                co_await sleep_for(milliseconds{5});
            stopping.callers.close_idle();
            asio::write(caller, asio::buffer(text.data() + sent_before, text.size() - sent_before), ignored);
            std::array<char, 4096> buffer{};
            while (true) {
                const auto [failed, count] = co_await caller.async_read_some(asio::buffer(buffer), as_result);
                if (failed)
                    break;
                received.append(buffer.data(), count);
            }
        });
        CHECK(received.starts_with("HTTP/1.1 503"));
        CHECK(received.find("Connection: close") != std::string::npos);
        CHECK(received.find("Retry-After: 0.050") != std::string::npos);
        CHECK(stopping.requests() == 0);
    }
}

/// Sends bytes to a caller server on a new connection and returns what comes back until the connection ends.
std::string exchange_bytes(router_fixture& fixture, const std::string& bytes)
{
    std::string received;
    run(fixture.io, [&]() -> asio::awaitable<void> {
        boost::beast::tcp_stream stream(fixture.io);
        stream.expires_after(std::chrono::seconds{5});
        co_await stream.async_connect(fixture.callers.local_endpoint(), as_result);
        co_await asio::async_write(stream, asio::buffer(bytes), as_result);
        std::array<char, 4096> buffer{};
        while (true) {
            const auto [failed, count] = co_await stream.async_read_some(asio::buffer(buffer), as_result);
            if (failed)
                break;
            received.append(buffer.data(), count);
        }
    });
    return received;
}

// Guards against request smuggling (UNASKED): the body of a request whose end is ambiguous is executed as
// another request.
TEST_CASE("a request whose end is ambiguous is refused, and nothing of its body is executed")
{
    const std::string hidden =
        "POST /hidden HTTP/1.1\r\nHost: h.example\r\ntt-request-id: hidden\r\nContent-Length: 0\r\n\r\n";
    const auto length = std::to_string(hidden.size());
    for (const auto& fields :
         std::vector<std::string>{"Transfer-Encoding: xchunked",
                                  "Transfer-Encoding: gzip",
                                  "Transfer-Encoding: identity",
                                  "Transfer-Encoding: gzip, chunked",
                                  "Transfer-Encoding: chunked, identity",
                                  "Transfer-Encoding: chunked, chunked",
                                  "Transfer-Encoding: chunked;q=1",
                                  "Transfer-Encoding: \"chunked\"",
                                  "Transfer-Encoding:",
                                  "Transfer-Encoding: ,chunked",
                                  "Transfer-Encoding : xchunked",
                                  "Transfer-Encoding: xchunked\r\nTransfer-Encoding: chunked",
                                  "Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip",
                                  "Transfer-Encoding: gzip\r\nContent-Length: " + length,
                                  "Content-Length: " + length + "\r\nTransfer-Encoding: chunked",
                                  "Transfer-Encoding: chunked\r\nContent-Length: " + length,
                                  "Content-Length: 0, " + length,
                                  "Content-Length: 0\r\nContent-Length: " + length,
                                  "Content-Length: +0",
                                  "Content-Length: -1",
                                  "Content-Length: 0x0",
                                  "Content-Length: 0 0",
                                  "Content-Length:",
                                  "Content-Length: 0;",
                                  "Content-Length: 99999999999999999999999",
                                  "Content-Length : 0"}) {
        CAPTURE(fields);
        router_fixture fixture(execution_semantics::at_most_once);
        auto& target = fixture.add_target();
        auto bytes = std::string{"POST /x HTTP/1.1\r\nHost: h.example\r\ntt-request-id: q\r\n"};
        bytes.append(fields).append("\r\n\r\n").append(hidden);
        const auto received = exchange_bytes(fixture, bytes);
        CHECK(received.starts_with("HTTP/1.1 400"));
        CHECK(received.find("HTTP/1.1", 1) == std::string::npos);
        CHECK(target.requests() == 0);
    }
}

// Guards against a line that becomes part of the field before it (RFC 9112, 5.2), and may hide a length.
TEST_CASE("a request with a folded field line is refused, and nothing of its body is executed")
{
    const std::string head = "POST /x HTTP/1.1\r\nHost: h.example\r\ntt-request-id: q\r\n";
    const auto chunks = head + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\nx: 1\r\n";
    const auto with_length = head + "Content-Length: 2\r\n";
    for (const std::string line : {" x: 1", "\tx: 1", " Content-Length: 99", " ", "\t"})
        for (const auto& bytes : {head + line + "\r\nContent-Length: 0\r\n\r\n", head + line + "\r\n\r\n",
                                  with_length + line + "\r\n\r\nab", chunks + line + "\r\n\r\n"}) {
            CAPTURE(bytes);
            router_fixture fixture(execution_semantics::at_most_once);
            auto& target = fixture.add_target();
            const auto received = exchange_bytes(fixture, bytes);
            CHECK(received.starts_with("HTTP/1.1 400"));
            CHECK(received.find("HTTP/1.1", 1) == std::string::npos);
            CHECK(target.requests() == 0);
        }
}

// Guards against trailer fields that reach the target beside the header fields of their name.
TEST_CASE("trailer fields of a request are not passed on as header fields")
{
    router_fixture fixture(execution_semantics::idempotent);
    auto& target = fixture.add_target();
    target.enqueue_response(signed_response("q"));
    const auto received = exchange_bytes(
        fixture, "POST /x HTTP/1.1\r\nHost: h.example\r\ntt-request-id: q\r\nConnection: close\r\n"
                 "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\ntt-request-id: other\r\nx: 1\r\n\r\n");
    CHECK(received.starts_with("HTTP/1.1 200"));
    REQUIRE(target.requests() == 1);
    CHECK(target.request(0).find("other") == std::string::npos);
    CHECK(target.request(0).find("x: 1") == std::string::npos);
    CHECK(target.request(0).find("Content-Length: 2") != std::string::npos);
}

// Guards against responses that are framed twice on their way to the caller, or whose trailer fields stand
// for header fields.
TEST_CASE("a response with an unknown transfer coding is not passed on, and trailer fields are dropped")
{
    const std::string head = "HTTP/1.1 200 OK\r\ntt-request-id: q\r\ntt-signature: s\r\n";
    for (const std::string fields : {"Transfer-Encoding: gzip\r\n\r\nhello",
                                     "Transfer-Encoding: gzip, chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
                                     "Transfer-Encoding: xchunked\r\nContent-Length: 5\r\n\r\nhello"}) {
        CAPTURE(fields);
        router_fixture fixture(execution_semantics::at_most_once);
        fixture.add_target().enqueue_last_response(head + fields, false);
        CHECK(fixture.send_request("q").result_int() == 502);
    }
    router_fixture fixture(execution_semantics::at_most_once);
    fixture.add_target().enqueue_response(
        head + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\ntt-request-id: other\r\nx: 1\r\n\r\n");
    const auto response = fixture.send_request("q");
    CHECK(response.result_int() == 200);
    CHECK(response.body() == "hello");
    CHECK(response["x"].empty());
    CHECK(response.count("tt-request-id") == 1);
}

// Guards against a failure, and a second execution, for a response whose header exceeds the default of the
// parser.
TEST_CASE("a response with a large header is passed on")
{
    router_fixture fixture(execution_semantics::idempotent);
    fixture.add_target().enqueue_response("HTTP/1.1 200 OK\r\ntt-request-id: q\r\ntt-signature: s\r\nx: " +
                                          std::string(20'000, 'x') + "\r\nContent-Length: 2\r\n\r\nab");
    const auto response = fixture.send_request("q");
    CHECK(response.result_int() == 200);
    CHECK(fixture.requests() == 1);
}

// Guards against retries without limit: attempts that could not connect must not refill the retry budget.
TEST_CASE("refused connections do not refill the retry budget")
{
    // The bucket holds one retry token, which refused connections must not replace.
    router_fixture fixture(execution_semantics::idempotent, 0);
    scripted_target* live_target = nullptr;
    for (int index = 0; index < 3; ++index) {
        asio::ip::tcp::acceptor closed_acceptor(fixture.io, any_port);
        const auto port = std::to_string(closed_acceptor.local_endpoint().port());
        fixture.router.update_target({"gone" + port, "s", "127.0.0.1:" + port, "a", 4, false, {}, 0, 1});
    }
    live_target = &fixture.add_target();
    constexpr int request_count = 20;
    for (int index = 0; index < 4 * request_count; ++index)
        live_target->enqueue_response(refusal_response);
    for (int index = 0; index < request_count; ++index)
        CHECK(fixture.send_request("q").result_int() == 503);
    // One attempt per request, the token held at first, and 0.2 x 0.75 of a token per request.
    CHECK(live_target->requests() <= request_count + 1 + request_count * 15 / 100);
}

// Guards against an abandoned request that arrives late: closing without a reset would leave its bytes in
// flight.
TEST_CASE("a connection that is not reused is closed with a reset")
{
    asio::io_context io(1);
    asio::ip::tcp::acceptor acceptor(io, any_port);
    boost::system::error_code read_result;
    asio::co_spawn(
        io,
        [&]() -> asio::awaitable<void> {
            auto [failed, socket] = co_await acceptor.async_accept(as_result);
            asio::streambuf buffer;
            co_await asio::async_read_until(socket, buffer, "\r\n\r\n", as_result);
            const std::string text = "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
            co_await asio::async_write(socket, asio::buffer(text), as_result);
            const auto [read_failed, count] = co_await asio::async_read(socket, buffer, as_result);
            read_result = read_failed;
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
    CHECK(read_result == asio::error::connection_reset);
}

namespace {

/// A router whose permits nobody issues.
struct permits_fixture : router_fixture {
    permits_fixture() : router_fixture(execution_semantics::idempotent)
    {
        router.set_permits(
            permits,
            [this](std::vector<std::string> incarnations) -> asio::awaitable<void> {
                ++requested;
                const auto now = boot_clock::now();
                if (!issuer_answers)
                    permits.on_issuer_unreachable(now);
                else
                    for (const auto& incarnation : incarnations)
                        permits.on_grant({incarnation, {1, now}, 0, milliseconds{500}}, now);
                co_return;
            },
            [this](const std::string&) { ++reported; });
    }
    static std::string incarnation_of(const scripted_target& target)
    {
        return "i" + std::to_string(target.local_endpoint().port()) + "@0";
    }
    void limit(const scripted_target& target)
    {
        const auto now = boot_clock::now();
        permits.on_response(incarnation_of(target), {true, 1}, now, now);
    }
    permit_holder permits;
    /// Whether the issuer answers that there are no permits.
    bool issuer_answers = false;
    unsigned requested = 0;
    unsigned reported = 0;
};

} // namespace

TEST_CASE("a request whose targets are all limited is refused at once with the time until a permit")
{
    permits_fixture fixture;
    fixture.limit(fixture.add_target());
    const auto sent_at = boot_clock::now();
    const auto response = fixture.send_request("q");
    CHECK(boot_clock::now() - sent_at < milliseconds{100});
    CHECK(response.result_int() == 503);
    CHECK(std::stod(std::string{response[http::field::retry_after]}) > 0);
    CHECK(fixture.requests() == 0);
}

// Guards against refusals that come late: one exchange with the issuer for each limited target.
TEST_CASE("permits for all limited targets are requested together")
{
    permits_fixture fixture;
    fixture.issuer_answers = true;
    for (int count = 0; count < 6; ++count)
        fixture.limit(fixture.add_target());
    CHECK(fixture.send_request("q").result_int() == 503);
    CHECK(fixture.requested == 1);
}

// Guards against a limit that is attributed to a target that has left its address to another.
TEST_CASE("a limit in a response of another target than the expected one does not count")
{
    for (const auto* status : {"421 No", "503 Full"}) {
        permits_fixture fixture;
        const auto& target = fixture.add_target();
        fixture.targets.front()->enqueue_response(
            "HTTP/1.1 " + std::string{status} +
            "\r\ntt-request-id: q\r\ntt-not-executed: 1\r\ntt-rate-limit: "
            "2\r\nContent-Length: 0\r\n\r\n");
        static_cast<void>(fixture.send_request("q"));
        const bool refused_by_target = std::string_view{status}.starts_with("503");
        CHECK(fixture.reported == (refused_by_target ? 1 : 0));
        CHECK(fixture.permits.is_limited(fixture.incarnation_of(target)) == refused_by_target);
    }
}

// Guards against a response that waits for the permit of a hedged attempt.
TEST_CASE("no permits are requested while an attempt is running")
{
    permits_fixture fixture;
    fixture.add_target();
    fixture.limit(fixture.add_target());
    CHECK(fixture.send_request("q").result_int() == 504);
    CHECK(fixture.requests() == 1);
    CHECK(fixture.requested <= 1);
}
