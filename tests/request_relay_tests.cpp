#include "support/response_forms.hpp"
#include "support/retry_tokens.hpp"
#include "support/run.hpp"

#include <teaseltally/knowledge/target_reachability.hpp>
#include <teaseltally/net/request_router.hpp>

#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <doctest/doctest.h>

using namespace teaseltally;
using namespace teaseltally::test;
namespace http = boost::beast::http;

namespace {

/// Retries of a service for each request, and the number in excess of that.
constexpr double retry_ratio = 0.2;
constexpr double retry_burst = 64;

/// What a target does with a request.
enum class target_reaction { answer, refuse, reset, stay_silent };

/// Target that reacts to all requests in the same way.
class reacting_target {
public:
    reacting_target(asio::io_context& io, target_reaction reaction)
        : acceptor_(io, any_port), reaction_(reaction)
    {
        asio::co_spawn(io, accept(), asio::detached);
    }
    [[nodiscard]] tcp_endpoint endpoint() const { return acceptor_.local_endpoint(); }

    /// Sends bytes instead of a response and then ends the connection.
    /// @param reset whether the connection is reset; it is closed otherwise.
    void send_instead(std::string bytes, bool reset)
    {
        sent_instead_ = std::move(bytes);
        resets_ = reset;
    }

    /// Refuses new connections from now on.
    void stop_listening() { acceptor_.close(); }

    std::vector<http_request> requests;
    std::size_t closed = 0;
    /// Number of requests after which the target answers each one.
    std::size_t answers_after = std::numeric_limits<std::size_t>::max();

private:
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
        boost::beast::flat_buffer buffer;
        while (true) {
            http_request request;
            if (const auto [failed, size] = co_await http::async_read(socket, buffer, request, as_result);
                failed) {
                ++closed;
                co_return;
            }
            requests.push_back(request);
            if (sent_instead_)
                co_await asio::async_write(socket, asio::buffer(*sent_instead_), as_result);
            if (sent_instead_ && !resets_)
                co_return;
            const auto reaction = requests.size() > answers_after ? target_reaction::answer : reaction_;
            if (reaction == target_reaction::reset || sent_instead_) {
                socket.set_option(asio::socket_base::linger(true, 0));
                socket.close();
                co_return;
            }
            if (reaction == target_reaction::stay_silent) {
                // Nor does it answer later ones on this connection.
                while (!std::get<0>(co_await http::async_read(socket, buffer, request, as_result)))
                    requests.push_back(std::exchange(request, {}));
                ++closed;
                co_return;
            }
            auto response = make_response(reaction == target_reaction::refuse ? 503 : 200, "done");
            if (reaction == target_reaction::refuse)
                response.set("tt-not-executed", "1");
            response.set("tt-request-id", request["tt-request-id"]);
            response.set("tt-signature", "s");
            response.prepare_payload();
            co_await http::async_write(socket, response, as_result);
        }
    }

    asio::ip::tcp::acceptor acceptor_;
    target_reaction reaction_;
    std::optional<std::string> sent_instead_;
    bool resets_ = false;
};

/// Router of one instance with the relay to another one.
struct relaying_instance {
    relaying_instance(asio::io_context& io, execution_semantics semantics, std::string name)
        : client(io.get_executor(), {}), relay(client, name, "a"),
          router(io.get_executor(), {"a", retry_ratio, retry_burst, {}}, [](const std::string&) {}),
          peers(io.get_executor(), any_port, {},
                [this](http_request request) { return answer(std::move(request)); })
    {
        routing_configuration configured;
        configured.version = 1;
        route added;
        added.name = "r";
        added.host = "h.example";
        added.prefix = "/";
        added.semantics = semantics;
        added.timeout = milliseconds{1500};
        added.target_latency = milliseconds{1000};
        added.max_attempts = 2;
        added.backends.push_back({"s", 1});
        configured.routes.push_back(added);
        configured.services["s"] = {"s", "/health", 1000, false};
        router.configure(std::move(configured));
        router.set_instance_count(1);
        router.set_relay(relay);
    }

    /// Gives all keys of the service to a target.
    void assign_all(const std::string& id)
    {
        auto configured = router.table()->configured();
        ++configured.version;
        configured.services["s"].keyed = true;
        router.configure(std::move(configured));
        assignment owners;
        owners.assign({0, last_key}, {id, 0, ""}, 1, {});
        owned.apply(boot_clock::now(), "service/s", encode(owners), {0, 0});
        router.set_ownership(owned);
    }
    void add_target(const std::string& id, const tcp_endpoint& endpoint, const std::string& data_centre = "a")
    {
        router.update_target(
            {id, "s", "127.0.0.1:" + std::to_string(endpoint.port()), data_centre, 4, false, {}, 0, 1});
    }
    /// Applies a newer configuration with a further route, of another host.
    void add_route(const std::string& host)
    {
        auto configured = router.table()->configured();
        ++configured.version;
        auto added = configured.routes[0];
        added.name = host;
        added.host = host;
        configured.routes.push_back(std::move(added));
        router.configure(std::move(configured));
    }
    void follow(const std::string& name, const relaying_instance& other)
    {
        const auto port = std::to_string(other.peers.local_endpoint().port());
        relay.set_members({{name, "a", "127.0.0.1:" + port, 0}});
    }
    asio::awaitable<http_response> answer(http_request request)
    {
        auto received = decode_relayed_request(std::move(request));
        if (!received)
            co_return make_response(400, "malformed\n");
        co_return co_await router.serve_relayed(std::move(*received));
    }

    ownership_log owned;
    http_client client;
    request_relay relay;
    request_router router;
    http_server peers;
};

/// An instance that cannot reach its targets, and another one that can.
struct relay_fixture {
    relay_fixture(execution_semantics semantics, target_reaction reaction)
        : target(io, reaction), isolated(io, semantics, "n1"), other(io, semantics, "n2")
    {
        asio::ip::tcp::acceptor closed(io, any_port);
        unused = closed.local_endpoint();
        closed.close();
        isolated.add_target("t1", unused);
        isolated.add_target("t2", unused);
        isolated.follow("n2", other);
        other.follow("n1", isolated);
        save_retry_token(io, isolated.router);
        save_retry_token(io, other.router);
    }
    static asio::awaitable<void> isolate(relaying_instance& instance)
    {
        instance.router.record_order_outcome("t1", false);
        instance.router.record_order_outcome("t2", false);
        instance.router.check_links();
        co_await sleep_for(milliseconds{500});
        REQUIRE(instance.router.is_isolated());
    }
    std::shared_ptr<routed_request> make_routed(const std::string& body = {}, const std::string& id = "q")
    {
        auto message = make_request(http::verb::put, "/work/item?n=1", body);
        message.set(http::field::host, "h.example");
        message.set("tt-request-id", id);
        message.set("tt-deadline-ms", "1000");
        message.set("tt-key", "7");
        message.prepare_payload();
        return std::make_shared<routed_request>(io.get_executor(), std::move(message),
                                                asio::ip::make_address("127.0.0.7"), boot_clock::now());
    }

    asio::io_context io;
    reacting_target target;
    relaying_instance isolated;
    relaying_instance other;
    tcp_endpoint unused;
};

} // namespace

TEST_CASE("a relayed request reaches the target unchanged, and its response the caller")
{
    relay_fixture site(execution_semantics::at_most_once, target_reaction::answer);
    site.other.add_target("t1", site.target.endpoint());
    run(site.io, [&]() -> asio::awaitable<void> {
        co_await relay_fixture::isolate(site.isolated);
        const auto response = co_await site.isolated.router.serve(site.make_routed("body"));
        REQUIRE(response.has_value());
        CHECK(response->result_int() == 200);
        CHECK(response->body() == "done");
        CHECK((*response)["tt-relay-status"].empty());
    });
    REQUIRE(site.target.requests.size() == 1);
    const auto& received = site.target.requests.front();
    CHECK(received.method() == http::verb::put);
    CHECK(received.target() == "/work/item?n=1");
    CHECK(received.body() == "body");
    CHECK(received["tt-request-id"] == "q");
    CHECK(std::stoi(std::string{received["tt-deadline-ms"]}) < 1000);
    CHECK(std::ranges::none_of(
        received, [](const auto& field) { return field.name_string().starts_with("tt-relay"); }));
}

// Guards against callers that wait for their deadlines, or get 502 after two resets 5 ms apart, since the
// only target that can execute their requests could not queue them.
TEST_CASE(
    "a request that the full owner of its key resets or leaves unanswered is sent there again if it may run "
    "twice")
{
    constexpr milliseconds first_back_off{150};
    for (const auto reaction : {target_reaction::reset, target_reaction::stay_silent})
        for (const auto semantics : {execution_semantics::idempotent, execution_semantics::at_most_once}) {
            const bool repeatable = semantics == execution_semantics::idempotent;
            CAPTURE(repeatable);
            CAPTURE(static_cast<int>(reaction));
            relay_fixture site(semantics, reaction);
            site.target.answers_after = 1;
            site.other.add_target("t1", site.target.endpoint());
            site.other.assign_all("t1");
            const auto began = boot_clock::now();
            run(site.io, [&]() -> asio::awaitable<void> {
                const auto response = co_await site.other.router.serve(site.make_routed());
                REQUIRE(response.has_value());
                CHECK(response->result_int() != 503);
                CHECK((response->result_int() == 200) == repeatable);
            });
            CHECK(site.target.requests.size() == (repeatable ? 2 : 1));
            if (repeatable)
                CHECK(boot_clock::now() - began >= first_back_off);
        }
}

// Guards against a second run of a request whose outcome is unknown to the instance that passed it on.
TEST_CASE("a relayed request that may run once is not repeated, and its caller gets no promise")
{
    for (const auto reaction : {target_reaction::reset, target_reaction::stay_silent}) {
        relay_fixture site(execution_semantics::at_most_once, reaction);
        site.other.add_target("t1", site.target.endpoint());
        run(site.io, [&]() -> asio::awaitable<void> {
            co_await relay_fixture::isolate(site.isolated);
            const auto response = co_await site.isolated.router.serve(site.make_routed());
            REQUIRE(response.has_value());
            CHECK(response->result_int() >= 502);
            CHECK(response->result_int() != 503);
        });
        CHECK(site.target.requests.size() == 1);
    }
}

// Guards against a success whose body a target cut off, passed on by another instance as whole (MIXED).
TEST_CASE("a relayed response that ends at any byte reaches the caller only if it is whole")
{
    relay_fixture site(execution_semantics::at_most_once, target_reaction::answer);
    run(site.io, [&]() -> asio::awaitable<void> {
        co_await relay_fixture::isolate(site.isolated);
        for (const auto& form : response_forms()) {
            for (std::size_t size = 0; size <= form.bytes.size(); ++size) {
                for (const bool reset : {false, true}) {
                    INFO(form.name << ", " << size << " bytes" << (reset ? ", reset" : ", closed"));
                    site.target.send_instead(form.bytes.substr(0, size), reset);
                    // A target that has just registered is not in back-off after an earlier failure.
                    site.other.add_target("t3", site.target.endpoint());
                    const auto response = co_await site.isolated.router.serve(site.make_routed());
                    site.other.router.remove_target("t3");
                    REQUIRE(response.has_value());
                    const bool is_whole = size >= form.whole_size && !(form.ends_with_connection && reset);
                    const auto status = response->result_int();
                    if (status != 200)
                        CHECK(status == 502);
                    else
                        CHECK(response->body() ==
                              (form.ends_with_connection
                                   ? form.bytes.substr(form.whole_size, size - form.whole_size)
                                   : "hello"));
                    // A reset may overtake the bytes before it.
                    if (!reset || !is_whole)
                        CHECK((status == 200) == is_whole);
                }
            }
        }
    });
}

// Guards against an instance that is left out for seconds after its restart.
TEST_CASE("requests that fail at the same time leave an instance out once")
{
    constexpr std::size_t request_count = 20;
    // The shortest time for which an instance is left out, and a margin.
    constexpr milliseconds left_out_time{700};
    relay_fixture site(execution_semantics::idempotent, target_reaction::answer);
    const feed_member ended{"n3", "a", "127.0.0.1:" + std::to_string(site.unused.port()), 0};
    auto& relay = site.isolated.relay;
    relay.set_members({ended});
    std::size_t completed = 0;
    time_point first_completed_at{};
    run(site.io, [&]() -> asio::awaitable<void> {
        for (std::size_t index = 0; index < request_count; ++index)
            asio::co_spawn(
                site.io,
                [&]() -> asio::awaitable<void> {
                    relayed_request request{make_request(http::verb::get, "/x"),
                                            asio::ip::make_address("127.0.0.7"), "s", 0, 0};
                    static_cast<void>(co_await relay.send(ended, std::move(request),
                                                          boot_clock::now() + milliseconds{1000}));
                    if (completed++ == 0)
                        first_completed_at = boot_clock::now();
                },
                asio::detached);
        co_await sleep_for(milliseconds{50});
        REQUIRE(completed > 0);
        CHECK_FALSE(relay.choose({}, first_completed_at + milliseconds{50}).has_value());
        co_await sleep_for(left_out_time);
        CHECK(completed == request_count);
        CHECK(relay.choose({}, boot_clock::now()).has_value());
    });
}

// Guards against instances without links that refuse all requests since another instance lacks the route of
// one.
TEST_CASE("an instance that lacks the route of one request stays in use for the others")
{
    relay_fixture site(execution_semantics::idempotent, target_reaction::answer);
    site.other.add_target("t1", site.target.endpoint());
    site.isolated.add_route("new.example");
    run(site.io, [&]() -> asio::awaitable<void> {
        co_await relay_fixture::isolate(site.isolated);
        auto early = site.make_routed({}, "early");
        early->message.set(http::field::host, "new.example");
        const auto refused = co_await site.isolated.router.serve(early);
        REQUIRE(refused.has_value());
        CHECK(refused->result_int() == 503);
        CHECK_FALSE((*refused)[http::field::retry_after].empty());
        const auto served = co_await site.isolated.router.serve(site.make_routed());
        REQUIRE(served.has_value());
        CHECK(served->result_int() == 200);
    });
}

// Guards against an instance that is left out since one request ran out of time there while it answered
// others.
TEST_CASE("only an instance that answers nothing is left out when a request runs out of time")
{
    constexpr milliseconds deadline{200};
    for (const bool answers_others : {true, false}) {
        INFO(answers_others);
        asio::io_context io;
        http_client client(io.get_executor(), {});
        request_relay relay(client, "n1", "a");
        http_server peer(io.get_executor(), any_port, {},
                         [&](http_request received) -> asio::awaitable<http_response> {
                             const auto request = decode_relayed_request(std::move(received));
                             if (!answers_others || request->message.target() == "/slow")
                                 co_await sleep_for(2 * deadline);
                             relay_result result;
                             result.status = relay_status::answered;
                             co_return encode_relay_result(std::move(result));
                         });
        const feed_member other{"n2", "a", "127.0.0.1:" + std::to_string(peer.local_endpoint().port()), 0};
        relay.set_members({other});
        const auto send = [&](std::string path) -> asio::awaitable<void> {
            relayed_request request{make_request(http::verb::get, path), asio::ip::make_address("127.0.0.7"),
                                    "s", 0, 0};
            static_cast<void>(co_await relay.send(other, std::move(request), boot_clock::now() + deadline));
        };
        run(io, [&]() -> asio::awaitable<void> {
            asio::co_spawn(io, send("/slow"), asio::detached);
            co_await sleep_for(deadline / 4);
            asio::co_spawn(io, send("/quick"), asio::detached);
            co_await sleep_for(2 * deadline);
            CHECK(relay.choose({}, boot_clock::now()).has_value() == answers_others);
        });
    }
}

// Guards against an instance that serves again and is still left out, since it was starting when it was
// asked.
TEST_CASE("an instance that restarts is asked again soon and expected back, one without links is not")
{
    constexpr milliseconds restart_time{150};
    asio::io_context io;
    http_client client(io.get_executor(), {});
    request_relay relay(client, "n1", "a");
    relay_result answer;
    http_server peer(io.get_executor(), any_port, {}, [&](http_request) -> asio::awaitable<http_response> {
        co_return encode_relay_result(answer);
    });
    const feed_member other{"n2", "a", "127.0.0.1:" + std::to_string(peer.local_endpoint().port()), 0};
    relay.set_members({other});
    const auto send = [&](relay_status status, bool starting) -> asio::awaitable<void> {
        answer.status = status;
        answer.starting = starting;
        relayed_request request{make_request(http::verb::get, "/x"), asio::ip::make_address("127.0.0.7"), "s",
                                0, 0};
        static_cast<void>(
            co_await relay.send(other, std::move(request), boot_clock::now() + milliseconds{1000}));
    };
    run(io, [&]() -> asio::awaitable<void> {
        co_await send(relay_status::declined, true);
        CHECK_FALSE(relay.is_return_expected(boot_clock::now()));
        co_await send(relay_status::answered, false);
        const auto ended_at = boot_clock::now();
        co_await send(relay_status::declined, true);
        CHECK_FALSE(relay.choose({}, ended_at + restart_time / 2).has_value());
        CHECK(relay.choose({}, boot_clock::now() + restart_time).has_value());
        CHECK(relay.is_return_expected(boot_clock::now()));
        CHECK_FALSE(relay.is_return_expected(ended_at + milliseconds{2000}));
        co_await sleep_for(restart_time);
        co_await send(relay_status::declined, false);
        CHECK_FALSE(relay.is_return_expected(boot_clock::now()));
        CHECK_FALSE(relay.choose({}, boot_clock::now() + restart_time).has_value());
    });
}

// Guards against the incident RECOVER: half of the relayed requests went to instances that a cut had made
// silent.
TEST_CASE("relayed requests are served although most other instances accept no connections")
{
    constexpr double tolerated_ratio = 2.0 / 3;
    constexpr milliseconds interval{20};
    relay_fixture site(execution_semantics::at_most_once, target_reaction::answer);
    site.other.add_target("t1", site.target.endpoint());
    // Nobody accepts, and a full queue makes the kernel ignore further connections.
    asio::ip::tcp::acceptor silent(site.io, any_port.protocol());
    silent.bind(any_port);
    silent.listen(0);
    std::vector<asio::ip::tcp::socket> queued;
    for (int index = 0; index < 4; ++index) {
        queued.emplace_back(site.io);
        queued.back().async_connect(silent.local_endpoint(), asio::detached);
    }
    const auto address_of = [](const tcp_endpoint& endpoint) {
        return "127.0.0.1:" + std::to_string(endpoint.port());
    };
    std::vector<feed_member> members{{"n2", "a", address_of(site.other.peers.local_endpoint()), 0}};
    for (const auto* name : {"n3", "n4", "n5"})
        members.push_back({name, "a", address_of(silent.local_endpoint()), 0});
    site.isolated.relay.set_members(members);
    std::size_t sent = 0;
    std::size_t served = 0;
    const auto send = [&](std::string id) -> asio::awaitable<void> {
        const auto response = co_await site.isolated.router.serve(site.make_routed({}, id));
        served += response && response->result_int() == 200 ? 1 : 0;
    };
    run(site.io, [&]() -> asio::awaitable<void> {
        co_await relay_fixture::isolate(site.isolated);
        for (; sent < 200; ++sent) {
            asio::co_spawn(site.io, send("q" + std::to_string(sent)), asio::detached);
            co_await sleep_for(interval);
        }
        co_await sleep_for(milliseconds{1200});
    });
    MESSAGE(served << " of " << sent << " served");
    CHECK(static_cast<double>(served) >= tolerated_ratio * static_cast<double>(sent));
}

// Guards against retries that nobody pays for, and against retries that both instances pay for from budgets
// of their own (rule BUDGET of the users' platform).
TEST_CASE("all attempts of relayed requests beyond the first stay within the retry budget of all instances")
{
    constexpr unsigned instances = 8;
    constexpr std::size_t request_count = 400;
    relay_fixture site(execution_semantics::idempotent, target_reaction::refuse);
    reacting_target second(site.io, target_reaction::refuse);
    site.other.add_target("t1", site.target.endpoint());
    site.other.add_target("t2", second.endpoint());
    for (auto* instance : {&site.isolated, &site.other})
        instance->router.set_instance_count(instances);
    run(site.io, [&]() -> asio::awaitable<void> {
        co_await relay_fixture::isolate(site.isolated);
        for (std::size_t index = 0; index < request_count; ++index) {
            asio::co_spawn(
                site.io,
                [&site, index]() -> asio::awaitable<void> {
                    static_cast<void>(co_await site.isolated.router.serve(
                        site.make_routed({}, "q" + std::to_string(index))));
                },
                asio::detached);
            co_await sleep_for(milliseconds{5});
        }
        co_await sleep_for(milliseconds{1100});
    });
    std::map<std::string, std::size_t> arrivals;
    for (const auto* target : {&site.target, &second})
        for (const auto& request : target->requests)
            ++arrivals[std::string{request["tt-request-id"]}];
    std::size_t retries = 0;
    for (const auto& [id, count] : arrivals)
        retries += count - 1;
    MESSAGE(arrivals.size() << " requests arrived, with " << retries << " retries");
    CHECK(arrivals.size() > request_count / 2);
    // Each of the instances may have saved up its share of the burst.
    CHECK(static_cast<double>(retries) <= retry_ratio * request_count + 2 * retry_burst / instances);
}

// Guards against requests that run at more targets than their route allows, as the instance that they are
// passed to does not count the attempt that still runs where they come from (BUDGET).
TEST_CASE("an attempt that runs when a request is passed on counts towards the attempts of its route")
{
    relay_fixture site(execution_semantics::idempotent, target_reaction::stay_silent);
    reacting_target second(site.io, target_reaction::reset);
    reacting_target third(site.io, target_reaction::reset);
    site.isolated.router.remove_target("t1");
    site.isolated.router.remove_target("t2");
    site.isolated.add_target("t1", site.target.endpoint());
    site.other.add_target("t2", second.endpoint());
    site.other.add_target("t3", third.endpoint());
    run(site.io, [&]() -> asio::awaitable<void> {
        asio::co_spawn(
            site.io,
            [&site]() -> asio::awaitable<void> {
                static_cast<void>(co_await site.isolated.router.serve(site.make_routed()));
            },
            asio::detached);
        while (site.target.requests.empty())
            co_await sleep_for(milliseconds{5});
        site.target.stop_listening();
        site.isolated.add_target("t2", site.unused);
        co_await relay_fixture::isolate(site.isolated);
        co_await sleep_for(milliseconds{600});
    });
    CHECK(site.target.requests.size() == 1);
    CHECK(second.requests.size() + third.requests.size() == 1);
}

// Guards against a promise that rests on the refusal of another instance alone, while the attempt of the
// instance that asked it still runs at a target (REFUSED).
TEST_CASE("a refusal of another instance promises nothing while an attempt runs where the request came from")
{
    relay_fixture site(execution_semantics::idempotent, target_reaction::stay_silent);
    reacting_target refusing(site.io, target_reaction::refuse);
    site.isolated.router.remove_target("t1");
    site.isolated.router.remove_target("t2");
    site.isolated.add_target("t1", site.target.endpoint());
    site.other.add_target("t2", refusing.endpoint());
    std::optional<http_response> response;
    run(site.io, [&]() -> asio::awaitable<void> {
        asio::co_spawn(
            site.io,
            [&]() -> asio::awaitable<void> {
                response = co_await site.isolated.router.serve(site.make_routed());
            },
            asio::detached);
        while (site.target.requests.empty())
            co_await sleep_for(milliseconds{5});
        site.target.stop_listening();
        site.isolated.add_target("t2", site.unused);
        co_await relay_fixture::isolate(site.isolated);
        co_await sleep_for(milliseconds{800});
    });
    CHECK(site.target.requests.size() == 1);
    CHECK(!refusing.requests.empty());
    REQUIRE(response.has_value());
    CHECK(response->result_int() == 502);
}

// Guards against requests that go from instance to instance.
TEST_CASE(
    "an instance that reaches no target declines relayed requests, and the caller is told when to return")
{
    relay_fixture site(execution_semantics::idempotent, target_reaction::answer);
    site.other.add_target("t1", site.unused);
    site.other.add_target("t2", site.unused);
    run(site.io, [&]() -> asio::awaitable<void> {
        co_await relay_fixture::isolate(site.isolated);
        co_await relay_fixture::isolate(site.other);
        const auto sent_at = boot_clock::now();
        const auto response = co_await site.isolated.router.serve(site.make_routed());
        REQUIRE(response.has_value());
        CHECK(response->result_int() == 503);
        CHECK_FALSE((*response)[http::field::retry_after].empty());
        CHECK(boot_clock::now() - sent_at < milliseconds{100});
    });
}

// Guards against targets that go on with a relayed request whose caller has left.
TEST_CASE("if the caller leaves, the target's connection of a relayed idempotent request is closed")
{
    relay_fixture site(execution_semantics::idempotent, target_reaction::stay_silent);
    site.other.add_target("t1", site.target.endpoint());
    run(site.io, [&]() -> asio::awaitable<void> {
        co_await relay_fixture::isolate(site.isolated);
        auto request = site.make_routed();
        asio::co_spawn(
            site.io,
            [&site, request]() -> asio::awaitable<void> {
                static_cast<void>(co_await site.isolated.router.serve(request));
            },
            asio::detached);
        co_await sleep_for(milliseconds{200});
        CHECK(site.target.requests.size() == 1);
        CHECK(site.target.closed == 0);
        request->on_caller_disconnected();
        co_await sleep_for(milliseconds{200});
        CHECK(site.target.closed == 1);
    });
}

// Guards against requests that wait for a connection to the best target while others are idle: an instance
// that serves for many others needs more connections than its share.
TEST_CASE("a target whose connections are all in use gets no request while another one is free")
{
    relay_fixture site(execution_semantics::at_most_once, target_reaction::stay_silent);
    reacting_target remote(site.io, target_reaction::answer);
    site.other.add_target("t1", site.target.endpoint());
    site.other.add_target("t2", remote.endpoint(), "b");
    // Two connections to each target are the least that an instance may have.
    site.other.router.set_instance_count(1000);
    run(site.io, [&]() -> asio::awaitable<void> {
        for (const auto* id : {"q1", "q2"})
            asio::co_spawn(
                site.io,
                [&site, id]() -> asio::awaitable<void> {
                    static_cast<void>(co_await site.other.router.serve(site.make_routed({}, id)));
                },
                asio::detached);
        co_await sleep_for(milliseconds{100});
        CHECK(site.target.requests.size() == 2);
        const auto sent_at = boot_clock::now();
        const auto response = co_await site.other.router.serve(site.make_routed({}, "q3"));
        REQUIRE(response.has_value());
        CHECK(response->result_int() == 200);
        // Later than that the first target counts as stalled.
        CHECK(boot_clock::now() - sent_at < milliseconds{100});
    });
    CHECK(remote.requests.size() == 1);
}

TEST_CASE("malformed relayed requests are rejected, and malformed results promise nothing")
{
    CHECK_FALSE(decode_relayed_request(make_request(http::verb::post, "/relay")).has_value());
    relayed_request request{make_request(http::verb::get, "/x"), asio::ip::make_address("127.0.0.7"), "s", 1,
                            1};
    auto message = encode_relayed_request(request);
    REQUIRE(decode_relayed_request(message).has_value());
    CHECK(decode_relayed_request(message)->message.method() == http::verb::get);
    message.set("tt-relay-sends", "-1");
    CHECK_FALSE(decode_relayed_request(message).has_value());
    CHECK(decode_relay_result(make_response(503, "")).status == relay_status::outcome_unknown);
}

TEST_CASE(
    "silence and failed connections raise the suspicion, failed probes begin the isolation, contact ends it")
{
    target_reachability links;
    time_point now{std::chrono::hours{1}};
    links.on_contact(now);
    links.on_connection_failed("t1");
    links.on_connection_failed("t1");
    CHECK_FALSE(links.needs_probe(now));
    links.on_connection_failed("t2");
    CHECK(links.needs_probe(now));
    links.on_contact(now);
    CHECK_FALSE(links.needs_probe(now));
    links.on_request_sent(now);
    CHECK_FALSE(links.needs_probe(now + milliseconds{400}));
    CHECK(links.needs_probe(now + milliseconds{600}));
    CHECK_FALSE(links.on_probes_failed(now - milliseconds{1}));
    CHECK(links.on_probes_failed(now + milliseconds{600}));
    CHECK(links.is_isolated());
    links.on_contact(now + milliseconds{900});
    CHECK_FALSE(links.is_isolated());
}
