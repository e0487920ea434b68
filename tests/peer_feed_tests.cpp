#include "support/run.hpp"

#include <teaseltally/json.hpp>
#include <teaseltally/net/peer_feed.hpp>

#include <algorithm>
#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>
#include <functional>
#include <list>

using namespace teaseltally;
using namespace teaseltally::test;

namespace {

feed_member member(const std::string& name, const tcp_endpoint& at, unsigned capacity = 0)
{
    return {name, "a", "127.0.0.1:" + std::to_string(at.port()), capacity};
}

/// An instance that has all streams and serves them to others.
struct feeding_instance {
    explicit feeding_instance(asio::io_context& io)
        : client(io.get_executor(), {}),
          feed(io.get_executor(), client, {"self", "a", ""}, known, [](stream_kind, const stream_delta&) {}),
          server(io.get_executor(), any_port, {},
                 [this](http_request request) { return feed.handle_request(std::move(request)); })
    {
        for (auto& stream : known) {
            stream.apply_snapshot({{"k", "v", {0, 3}}}, {0, 4});
            stream.mark_caught_up(boot_clock::now(), {0, 4});
        }
    }

    peer_feed::streams known;
    http_client client;
    peer_feed feed;
    http_server server;
};

/// Runs the feed of an instance "x" until it sends its first request to another instance.
/// @param capacity capacity of the instance.
/// @param others identifiers and capacities of the other instances; those whose identifier begins with "b"
/// are in another data centre if `remote` is set.
/// @returns the identifier of the instance that receives the first request; empty if the instance reads the
/// store first.
std::string first_followed_instance(unsigned capacity,
                                    const std::vector<std::pair<std::string, unsigned>>& others,
                                    bool remote = false)
{
    asio::io_context io(1);
    std::string followed;
    std::list<http_server> servers;
    std::vector<feed_member> members;
    for (const auto& [name, other_capacity] : others) {
        servers.emplace_back(io.get_executor(), any_port, http_server_limits{},
                             [&, as = name](http_request) -> asio::awaitable<http_response> {
                                 followed = as;
                                 io.stop();
                                 co_return make_response(200, "");
                             });
        members.push_back(member(name, servers.back().local_endpoint(), other_capacity));
        if (remote && name.starts_with("b"))
            members.back().data_centre = "b";
    }
    peer_feed::streams known;
    http_client client(io.get_executor(), {});
    peer_feed feed(io.get_executor(), client, {"x", "a", "", capacity}, known,
                   [](stream_kind, const stream_delta&) {});
    feed.set_members(members);
    asio::co_spawn(io, feed.run(), asio::detached);
    io.poll();
    if (feed.reads_store())
        return {};
    io.run();
    return followed;
}

/// Returns a large value that resembles a table.
/// @param changed row that differs from one version to the next.
std::string large_value(const std::string& changed, std::size_t rows = 2000)
{
    std::string value = "{\"version\":\"" + changed + "\",\"rows\":[";
    for (std::size_t row = 0; row < rows; ++row)
        value += "[\"r" + std::to_string(row) + "\",\"h.example\",\"/" +
                 (row == rows / 2 ? changed : std::to_string(row)) + "/\",\"2000ms\"],";
    return value + "[]]}";
}

/// An instance that applies what it receives.
struct following_streams {
    following_streams(asio::io_context& io, feed_member self)
        : context(io), client(io.get_executor(), {}),
          feed(io.get_executor(), client, std::move(self), known,
               [this](stream_kind kind, const stream_delta& delta) {
                   auto& stream = known[static_cast<std::size_t>(kind)];
                   if (delta.snapshot)
                       stream.apply_snapshot(delta.records, delta.next);
                   stream.mark_caught_up(boot_clock::now() - delta.age, delta.next);
                   feed.notify_followers();
               })
    {
    }
    /// Records that a read of the store confirmed all streams.
    void confirm(time_point sent_at)
    {
        for (auto& stream : known) {
            stream.apply_snapshot({{"k", "v", {0, 3}}}, {0, 4});
            stream.mark_caught_up(sent_at, {0, 4});
        }
        feed.notify_followers();
    }
    /// Runs the feed and a coroutine that reads the store in its place, until `stop` is called. The
    /// coroutines refer to the feed and have to end before it.
    template <typename Reader>
    void run(Reader reader)
    {
        asio::co_spawn(context, feed.run(), asio::bind_cancellation_slot(stops[0].slot(), asio::detached));
        asio::co_spawn(context, std::move(reader),
                       asio::bind_cancellation_slot(stops[1].slot(), asio::detached));
    }
    void stop()
    {
        for (auto& stopped : stops)
            stopped.emit(asio::cancellation_type::all);
    }

    asio::io_context& context;
    peer_feed::streams known;
    http_client client;
    peer_feed feed;
    std::array<asio::cancellation_signal, 2> stops;
};

/// An instance that follows another one and counts the bytes that it receives.
struct following_instance {
    /// @param change_response changes the responses of the other instance.
    following_instance(
        asio::io_context& io, feeding_instance& other,
        std::function<void(http_response&)> change_response = [](http_response&) {})
        : context(io), client(io.get_executor(), {}),
          feed(io.get_executor(), client, {"z", "a", ""}, known,
               [this](stream_kind kind, const stream_delta& delta) {
                   auto& stream = known[static_cast<std::size_t>(kind)];
                   if (delta.snapshot)
                       stream.apply_snapshot(delta.records, delta.next);
                   else
                       for (const auto& record : delta.records)
                           stream.apply(record, true);
                   stream.mark_caught_up(boot_clock::now() - delta.age, delta.next);
               }),
          relay(io.get_executor(), any_port, {},
                [&other, this, change_response](http_request request) -> asio::awaitable<http_response> {
                    auto response = co_await other.feed.handle_request(std::move(request));
                    change_response(response);
                    received.push_back(response.body().size());
                    co_return response;
                })
    {
        feed.set_members({member("a", relay.local_endpoint())});
        asio::co_spawn(io, feed.run(), asio::bind_cancellation_slot(stop.slot(), asio::detached));
    }
    ~following_instance()
    {
        // The requests that are in progress refer to both instances.
        stop.emit(asio::cancellation_type::all);
        context.run_for(milliseconds{50});
    }
    following_instance(const following_instance&) = delete;
    following_instance& operator=(const following_instance&) = delete;
    following_instance(following_instance&&) = delete;
    following_instance& operator=(following_instance&&) = delete;
    /// Runs until the value of the key "k" of the configuration is as expected.
    /// @returns the bytes that were received, the largest response first.
    std::vector<std::size_t> run_until(const std::string& expected)
    {
        received.clear();
        const auto until = hang_deadline();
        const auto has_value = [&] {
            const auto* record = known[0].find("k");
            return record != nullptr && record->value == expected;
        };
        while (!has_value() && boot_clock::now() < until)
            context.run_for(milliseconds{5});
        CHECK(has_value());
        std::ranges::sort(received, std::greater{});
        return received;
    }

    asio::io_context& context;
    peer_feed::streams known;
    http_client client;
    peer_feed feed;
    http_server relay;
    asio::cancellation_signal stop;
    std::vector<std::size_t> received;
};

} // namespace

TEST_CASE("an instance without a snapshot of a stream receives its records from the instance that it follows")
{
    asio::io_context io(1);
    feeding_instance other(io);
    peer_feed::streams known;
    http_client client(io.get_executor(), {});
    std::vector<stream_delta> deltas;
    peer_feed feed(io.get_executor(), client, {"z", "a", ""}, known,
                   [&](stream_kind, const stream_delta& delta) { deltas.push_back(delta); });
    bool answered = false;
    run(io, [&]() -> asio::awaitable<void> {
        answered = co_await feed.follow_stream(member("x", other.server.local_endpoint()).address,
                                               stream_kind::targets);
    });
    CHECK(answered);
    REQUIRE(deltas.size() == 1);
    CHECK(deltas[0].snapshot);
    CHECK(deltas[0].next == log_position{0, 4});
    CHECK(deltas[0].records == std::vector<stream_record>{{"k", "v", {0, 3}}});
}

// When the followed instance fails, the streams would grow stale while the next instances are tried.
TEST_CASE("an instance whose source fails reads the store in time unless another one provides the streams")
{
    constexpr milliseconds max_age{1650};
    constexpr milliseconds provision_time{350};
    // Timers and processor time of a busy machine.
    constexpr milliseconds tolerance{250};
    for (const auto age : std::vector<std::optional<milliseconds>>{milliseconds{0}, milliseconds{1250},
                                                                   milliseconds{5000}, std::nullopt})
        for (const bool provides : {false, true}) {
            CAPTURE(age.value_or(milliseconds{-1}).count());
            CAPTURE(provides);
            asio::io_context io(1);
            asio::ip::tcp::acceptor closed_acceptor(io, any_port);
            const auto closed_endpoint = closed_acceptor.local_endpoint();
            closed_acceptor.close();
            feeding_instance second(io);
            http_server server(io.get_executor(), any_port, {},
                               [&](http_request request) -> asio::awaitable<http_response> {
                                   if (!provides)
                                       co_await sleep_for(milliseconds{5000});
                                   for (auto& stream : second.known)
                                       stream.mark_caught_up(boot_clock::now(), {0, 4});
                                   co_return co_await second.feed.handle_request(std::move(request));
                               });
            following_streams follower(io, {"c", "a", ""});
            if (age)
                follower.confirm(boot_clock::now() - *age);
            follower.feed.set_members({member("a", closed_endpoint), member("b", server.local_endpoint())});
            const auto start = boot_clock::now();
            std::optional<time_point> read_at;
            follower.run([&]() -> asio::awaitable<void> {
                co_await follower.feed.wait_until_reader();
                read_at = boot_clock::now();
            });
            io.run_for(milliseconds{2000});
            const auto read = read_at;
            follower.stop();
            io.run_for(milliseconds{50});
            CHECK(read.has_value() != provides);
            if (read)
                CHECK(*read <=
                      std::max(start + provision_time, start - age.value_or(max_age) + max_age) + tolerance);
        }
}

// Guards against five reads of the store by each instance whenever the one that reads for all fails.
TEST_CASE("if the reader of a deployment fails, one other instance reads the store and all stay up to date")
{
    // Streams older than this have missed what the store accepted 2 s ago.
    constexpr milliseconds max_age{2000};
    asio::io_context io(1);
    std::list<following_streams> instances;
    std::list<http_server> servers;
    std::vector<feed_member> members;
    for (const auto& [name, data_centre] : std::vector<std::pair<std::string, std::string>>{
             {"a1", "a"}, {"a2", "a"}, {"a3", "a"}, {"b1", "b"}, {"b2", "b"}, {"c1", "c"}, {"c2", "c"}}) {
        auto& added = instances.emplace_back(io, feed_member{name, data_centre, ""});
        servers.emplace_back(io.get_executor(), any_port, http_server_limits{}, [&](http_request request) {
            return added.feed.handle_request(std::move(request));
        });
        members.push_back(member(name, servers.back().local_endpoint()));
        members.back().data_centre = data_centre;
    }
    bool first_reads = true;
    std::map<const following_streams*, unsigned> reads;
    milliseconds oldest{0};
    for (auto& instance : instances) {
        instance.feed.set_members(members);
        instance.confirm(boot_clock::now());
        instance.run([&]() -> asio::awaitable<void> {
            while (true) {
                co_await instance.feed.wait_until_reader();
                if (&instance != &instances.front() || first_reads) {
                    ++reads[&instance];
                    instance.confirm(boot_clock::now());
                }
                co_await sleep_for(milliseconds{500});
            }
        });
    }
    io.run_for(milliseconds{1500});
    CHECK(reads.size() == 1);
    reads.clear();
    first_reads = false;
    const auto until = boot_clock::now() + milliseconds{3000};
    while (boot_clock::now() < until) {
        io.run_for(milliseconds{20});
        for (auto& instance : instances) {
            const auto age = boot_clock::now() - instance.known[1].last_read_sent();
            oldest = std::max(oldest, std::chrono::duration_cast<milliseconds>(age));
        }
    }
    const auto readers = reads;
    for (auto& instance : instances)
        instance.stop();
    io.run_for(milliseconds{50});
    CHECK(readers.size() == 1);
    CHECK(readers.contains(&*std::next(instances.begin())));
    CHECK(oldest <= max_age);
}

TEST_CASE("an instance with more capacity is followed first, and among equals the first by identifier")
{
    CHECK(first_followed_instance(100, {{"a", 100}, {"z", 500}}) == "z");
    CHECK(first_followed_instance(100, {{"a", 100}, {"b", 100}}) == "a");
    CHECK(precedes({"a", "a", "", 2}, {"b", "a", "", 2}));
    CHECK(!precedes({"a", "a", "", 1}, {"b", "a", "", 2}));
}

// Guards against one reader of the store for each data centre, and against cycles over data centres.
TEST_CASE("the first instance of a data centre follows the first of the deployment if that precedes it")
{
    CHECK(first_followed_instance(100, {{"b2", 200}, {"b1", 300}, {"z", 50}}, true) == "b1");
    CHECK(first_followed_instance(100, {{"b1", 300}, {"a", 200}}, true) == "a");
    CHECK(first_followed_instance(100, {{"b1", 100}, {"y", 100}}, true) == "b1");
    CHECK(first_followed_instance(100, {{"b1", 50}, {"y", 100}}, true).empty());
    CHECK(first_followed_instance(100, {}, true).empty());
}

// Guards against streams that grow older with each hop of the tree.
TEST_CASE("a follower gets an answer as soon as the targets of the other instance are more recent")
{
    asio::io_context io(1);
    feeding_instance other(io);
    const auto confirm = [&](milliseconds age) {
        for (auto& stream : other.known)
            stream.mark_caught_up(boot_clock::now() - age, {0, 4});
        other.feed.notify_followers();
    };
    const auto answer_time = [&](const char* age, std::optional<milliseconds> confirmed_after) {
        confirm(milliseconds{0});
        const auto sent_at = boot_clock::now();
        time_point answered_at{};
        run(io, [&]() -> asio::awaitable<void> {
            asio::steady_timer timer(io);
            if (confirmed_after) {
                timer.expires_after(*confirmed_after);
                timer.async_wait([&](boost::system::error_code) { confirm(milliseconds{0}); });
            }
            auto request = make_request(boost::beast::http::verb::post, "/feed", "[4,4,4,4,4]");
            if (*age != '\0')
                request.set("Stream-Age", age);
            const auto response = co_await other.feed.handle_request(std::move(request));
            CHECK(response.result_int() == 200);
            answered_at = boot_clock::now();
        });
        return answered_at - sent_at;
    };
    constexpr milliseconds long_poll{390};
    CHECK(answer_time("700", std::nullopt) < milliseconds{100});
    CHECK(answer_time("0", std::nullopt) >= long_poll);
    const auto after_read = answer_time("0", milliseconds{200});
    CHECK(after_read >= milliseconds{200});
    CHECK(after_read < milliseconds{300});
    // Earlier versions name no age.
    CHECK(answer_time("", std::nullopt) >= long_poll);
    CHECK(answer_time("", milliseconds{200}) < milliseconds{300});
}

TEST_CASE("with fan_out preceding instances the first of them is followed, and with one more the second")
{
    std::vector<std::pair<std::string, unsigned>> preceding;
    while (preceding.size() < peer_feed::fan_out)
        preceding.emplace_back("n" + std::to_string(100 + preceding.size()), 0);
    CHECK(first_followed_instance(0, preceding) == "n100");
    preceding.emplace_back("n" + std::to_string(100 + preceding.size()), 0);
    CHECK(first_followed_instance(0, preceding) == "n101");
}

TEST_CASE("a feed with no instance to follow does not read the store before it is started, but does then")
{
    asio::io_context io(1);
    peer_feed::streams known;
    http_client client(io.get_executor(), {});
    peer_feed feed(io.get_executor(), client, {"c", "a", ""}, known, [](stream_kind, const stream_delta&) {});
    CHECK(!feed.started());
    CHECK(!feed.reads_store());
    asio::co_spawn(io, feed.run(), asio::detached);
    io.poll();
    CHECK(feed.started());
    CHECK(feed.reads_store());
}

// Reports are sent to the followed instance. An instance that is followed only because the store is
// unavailable must not receive them.
TEST_CASE("a preceding instance counts as followed, but not one that is followed as a fallback")
{
    const auto followed = [](const char* name) {
        asio::io_context io(1);
        feeding_instance other(io);
        peer_feed::streams known;
        http_client client(io.get_executor(), {});
        peer_feed feed(io.get_executor(), client, {"m", "a", ""}, known,
                       [&](stream_kind kind, const stream_delta& delta) {
                           auto& stream = known[static_cast<std::size_t>(kind)];
                           stream.apply_snapshot(delta.records, delta.next);
                           stream.mark_caught_up(boot_clock::now(), delta.next);
                       });
        std::optional<std::string> followed_address;
        int feed_requests = 0;
        http_server server(io.get_executor(), any_port, {},
                           [&](http_request request) -> asio::awaitable<http_response> {
                               if (++feed_requests == 1)
                                   co_return co_await other.feed.handle_request(std::move(request));
                               followed_address = feed.followed_address();
                               io.stop();
                               co_return make_response(200, "");
                           });
        feed.set_members({member(name, server.local_endpoint())});
        asio::co_spawn(io, feed.run(), asio::detached);
        io.run();
        return followed_address.has_value();
    };
    CHECK(followed("a"));
    CHECK(!followed("z"));
}

// Guards against an incomplete response from an instance that has just started.
TEST_CASE("a feed request waits while the instance has no snapshot of a requested stream")
{
    asio::io_context io(1);
    feeding_instance other(io);
    other.known[0] = {};
    const auto started_at = boot_clock::now();
    run(io, [&]() -> asio::awaitable<void> {
        auto request = make_request(boost::beast::http::verb::post, "/feed", "[null,null,null,null]");
        static_cast<void>(co_await other.feed.handle_request(std::move(request)));
    });
    CHECK(boot_clock::now() - started_at >= milliseconds{300});
}

// Guards against an upgrade in which the instances of the earlier version can follow no upgraded one.
TEST_CASE("an instance that follows one stream less receives the streams that it requests")
{
    asio::io_context io(1);
    feeding_instance other(io);
    std::optional<http_response> response;
    run(io, [&]() -> asio::awaitable<void> {
        auto request = make_request(boost::beast::http::verb::post, "/feed", "[null,null,null,null]");
        response = co_await other.feed.handle_request(std::move(request));
    });
    REQUIRE(response->result_int() == 200);
    const auto deltas = std::get<Json::Value>(parse_json(response->body(), "response"));
    REQUIRE(deltas.size() == 4);
    for (const auto& delta : deltas)
        CHECK(delta["records"].size() == 1);
}

// Guards against an instance that reads on in the middle of records that it has never seen.
TEST_CASE("a follower of an older era gets a snapshot, and the era of each position")
{
    asio::io_context io(1);
    feeding_instance other(io);
    for (auto& stream : other.known) {
        stream.apply_snapshot({{"k", "w", {1, 1}}, {"l", "w", {1, 0}, true}, {"m", "w", {1, 0}, true}},
                              {1, 2});
        stream.confirm("m");
        stream.mark_caught_up(boot_clock::now(), {1, 2});
    }
    peer_feed::streams known;
    for (auto& stream : known)
        stream.apply_snapshot({{"k", "v", {0, 3}}}, {0, 4});
    http_client client(io.get_executor(), {});
    std::vector<stream_delta> deltas;
    peer_feed feed(io.get_executor(), client, {"z", "a", ""}, known,
                   [&](stream_kind, const stream_delta& delta) { deltas.push_back(delta); });
    run(io, [&]() -> asio::awaitable<void> {
        co_await feed.follow_stream(member("x", other.server.local_endpoint()).address, stream_kind::targets);
    });
    REQUIRE(deltas.size() == 1);
    CHECK(deltas[0].snapshot);
    CHECK(deltas[0].next == log_position{1, 2});
    // A record that is held back stays so at the follower, and an earlier version doesn't see it.
    CHECK(deltas[0].records ==
          std::vector<stream_record>{{"m", "w", {1, 0}}, {"l", "w", {1, 0}, true}, {"k", "w", {1, 1}}});
}

// Earlier versions name no era. Their updates are used unless they may be of an older one.
TEST_CASE("without an era an update is of the only era there was, and a request of that of the local streams")
{
    asio::io_context io(1);
    http_server earlier(io.get_executor(), any_port, {}, [](http_request) -> asio::awaitable<http_response> {
        const std::string text = R"({"snapshot":true,"next":9,"age":0,"records":[[8,"k","v"]]})";
        co_return make_response(200, "[" + text + "," + text + "," + text + "," + text + "," + text + "]");
    });
    peer_feed::streams known;
    http_client client(io.get_executor(), {});
    std::optional<log_position> received;
    peer_feed feed(io.get_executor(), client, {"z", "a", ""}, known,
                   [&](stream_kind, const stream_delta& delta) { received = delta.next; });
    const auto follow = [&] {
        received.reset();
        run(io, [&]() -> asio::awaitable<void> {
            static_cast<void>(co_await feed.follow_stream(member("x", earlier.local_endpoint()).address,
                                                          stream_kind::targets));
        });
        return received;
    };
    CHECK(follow() == log_position{0, 9});
    known[3].apply_snapshot({}, {1, 4});
    CHECK(follow() == log_position{1, 9});
    known[3].apply_snapshot({}, {2, 4});
    CHECK(!follow());
    // An instance that starts in a later era doesn't know the earlier one.
    known[3] = record_stream{};
    known[3].apply_snapshot({}, {2, 4});
    CHECK(!follow());

    feeding_instance other(io);
    for (auto& stream : other.known)
        stream.apply_snapshot({{"k", "w", {1, 1}}}, {1, 2});
    const auto first_delta = [&](const char* eras) {
        auto request = make_request(boost::beast::http::verb::post, "/feed", "[2,2,2,2,2]");
        if (eras != nullptr)
            request.set("Stream-Eras", eras);
        std::optional<http_response> response;
        run(io, [&]() -> asio::awaitable<void> {
            response = co_await other.feed.handle_request(std::move(request));
        });
        return response->result_int() == 200
                   ? std::get<Json::Value>(parse_json(response->body(), "response"))[0]
                   : Json::Value{};
    };
    CHECK(!first_delta(nullptr)["snapshot"].asBool());
    CHECK(!first_delta("1,1,1,1,1")["snapshot"].asBool());
    CHECK(first_delta("0,1,1,1,1")["snapshot"].asBool());
    for (const char* malformed : {"", "1,1,1,1", "1,1,1,1,x", "1,1,1,1,", "1,1,1,1,1,1"})
        CHECK(first_delta(malformed).isNull());
}

// Guards against followers of an earlier version that never get what was written in a new era below the
// offset that they had reached in the lost one (CONFIG).
TEST_CASE("in a later era a follower that names no era gets a snapshot with each change")
{
    asio::io_context io(1);
    feeding_instance other(io);
    for (auto& stream : other.known)
        stream.apply_snapshot({{"k", "copy", {2, 7}}}, {2, 8});
    const auto write = [&](const char* key, std::uint64_t offset) {
        for (auto& stream : other.known)
            stream.apply({key, "new", {2, offset}}, true);
        other.feed.notify_followers();
    };
    // Answers to a request for all streams from an offset, while a record is written or none.
    const auto delta_from = [&](std::uint64_t offset, std::optional<std::uint64_t> written) {
        const auto text = std::to_string(offset);
        auto request = make_request(boost::beast::http::verb::post, "/feed",
                                    "[" + text + "," + text + "," + text + "," + text + "," + text + "]");
        std::optional<http_response> response;
        asio::steady_timer timer(io, milliseconds{50});
        if (written)
            timer.async_wait([&](boost::system::error_code) { write("l", *written); });
        run(io, [&]() -> asio::awaitable<void> {
            response = co_await other.feed.handle_request(std::move(request));
        });
        REQUIRE(response->result_int() == 200);
        return std::get<Json::Value>(parse_json(response->body(), "response"))[0];
    };
    const auto is_complete = [](const Json::Value& delta) {
        return delta["snapshot"].asBool() && delta["records"].size() == 2;
    };
    // Nothing to say yet: the follower ignores what ends below its offset.
    CHECK(delta_from(9, std::nullopt)["records"].empty());
    // The log reaches the follower's offset, and then passes it.
    const auto reached = delta_from(9, 8);
    CHECK(is_complete(reached));
    CHECK(reached["next"].asUInt64() == 9);
    CHECK(is_complete(delta_from(9, 9)));
    CHECK(delta_from(10, std::nullopt)["records"].empty());
}

// Guards against changes of thousands of routes, each of which cost every follower the whole table (CONFIG).
TEST_CASE("a follower gets changes of a large value as differences, and the whole in a request of its own")
{
    asio::io_context io(1);
    feeding_instance other(io);
    std::uint64_t offset = 4;
    const auto write = [&](const std::string& value) {
        other.known[0].apply({"k", value, {0, offset++}}, true);
        other.feed.notify_followers();
        return value;
    };
    std::string last = write(large_value("v0"));
    following_instance follower(io, other);
    const auto first = follower.run_until(last);
    REQUIRE(first.size() > 1);
    CHECK(first[0] > last.size());
    CHECK(first[1] < 4096);
    CHECK(!follower.feed.is_behind(stream_kind::configuration));
    // One of an earlier version names no digest, and takes the whole in one response.
    std::optional<http_response> earlier;
    run(io, [&]() -> asio::awaitable<void> {
        auto request = make_request(boost::beast::http::verb::post, "/feed", "[null,4,4,4,4]");
        earlier = co_await other.feed.handle_request(std::move(request));
    });
    const auto updates = std::get<Json::Value>(parse_json(earlier->body(), "response"));
    CHECK(updates[0]["records"][0][2] == last);
    CHECK(follower.run_until(last = write(large_value("v1"))).front() < 4096);
    // However many versions it lacks, it gets what lies between.
    for (int version = 2; version < 12; ++version)
        last = write(large_value("v" + std::to_string(version)));
    CHECK(follower.run_until(last).front() < 8192);
    // The follower serves its own followers in the same way.
    CHECK(follower.known[0].differences_since("k", text_digest(large_value("v5"))).size() == 6);
    // Without the versions in between there is no difference.
    other.known[0] = {};
    other.known[0].apply_snapshot({{"k", large_value("w", 3000), {0, offset}}}, {0, offset + 1});
    const auto whole = follower.run_until(large_value("w", 3000));
    CHECK(whole[0] > 3000);
    CHECK(whole[1] < 4096);
}

// Guards against a follower that answers by a text which no version had.
TEST_CASE("differences that do not lead to their digest are dropped, and the whole value is requested")
{
    asio::io_context io(1);
    feeding_instance other(io);
    other.known[0].apply({"k", large_value("v0"), {0, 4}}, true);
    int spoiled = 0;
    following_instance follower(io, other, [&](http_response& response) {
        for (auto at = response.body().find("/v1/"); at != std::string::npos && response.body().size() < 4096;
             at = response.body().find("/v1/")) {
            response.body()[at + 2] = '2';
            ++spoiled;
        }
    });
    follower.run_until(large_value("v0"));
    other.known[0].apply({"k", large_value("v1"), {0, 5}}, true);
    other.feed.notify_followers();
    CHECK(follower.run_until(large_value("v1")).front() > 4096);
    CHECK(spoiled == 1);
}

// Guards against a source that is left, and read past, because the store was read while it answered.
TEST_CASE("differences from a value that has changed since the request are passed over")
{
    asio::io_context io(1);
    feeding_instance other(io);
    other.known[0].apply({"k", large_value("v0"), {0, 4}}, true);
    following_instance* receiver = nullptr;
    following_instance follower(io, other, [&](http_response& response) {
        if (response.body().find("/v1/") != std::string::npos && response.body().size() < 4096)
            receiver->known[0].apply({"k", large_value("v2"), {0, 6}}, true);
    });
    receiver = &follower;
    follower.run_until(large_value("v0"));
    other.known[0].apply({"k", large_value("v1"), {0, 5}}, true);
    other.feed.notify_followers();
    follower.run_until(large_value("v2"));
    other.known[0].apply({"k", large_value("v2"), {0, 6}}, true);
    other.known[0].apply({"k", large_value("v3"), {0, 7}}, true);
    other.feed.notify_followers();
    CHECK(follower.run_until(large_value("v3")).front() < 4096);
    CHECK(!follower.feed.reads_store());
}

// Guards against an instance that stays with a source from which it never gets the configuration.
TEST_CASE("an instance whose source never completes a large value reads the store")
{
    asio::io_context io(1);
    feeding_instance other(io);
    other.known[0].apply({"k", large_value("v0"), {0, 4}}, true);
    unsigned failed = 0;
    following_instance follower(io, other, [&](http_response& response) {
        if (response.body().size() >= (64U << 10U)) {
            response.result(503);
            ++failed;
        }
    });
    bool reads = false;
    run(io, [&]() -> asio::awaitable<void> {
        const auto until = boot_clock::now() + milliseconds{3000};
        while (boot_clock::now() < until && !(failed > 0 && follower.feed.reads_store())) {
            for (std::size_t kind = 1; kind < other.known.size(); ++kind)
                other.known[kind].mark_caught_up(boot_clock::now(), other.known[kind].next());
            co_await sleep_for(milliseconds{20});
        }
        reads = follower.feed.reads_store();
    });
    CHECK(failed > 0);
    CHECK(reads);
    CHECK(follower.feed.is_behind(stream_kind::configuration));
}

// Guards against a dangling waiter when a follower closes its connection during a long poll.
TEST_CASE("the request of a follower that disconnects is removed from the waiting requests")
{
    asio::io_context io(1);
    feeding_instance other(io);
    run(io, [&]() -> asio::awaitable<void> {
        asio::ip::tcp::socket follower(io);
        co_await follower.async_connect(other.server.local_endpoint(), as_result);
        const std::string body = "[4,4,4,4]";
        const std::string text = "POST /feed HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\n" + body;
        co_await asio::async_write(follower, asio::buffer(text), as_result);
        while (other.feed.pending_requests() == 0)
            co_await sleep_for(milliseconds{1});
        follower.close();
        const auto until = hang_deadline();
        while (other.feed.pending_requests() > 0 && boot_clock::now() < until)
            co_await sleep_for(milliseconds{1});
        other.feed.notify_followers();
    });
    CHECK(other.feed.pending_requests() == 0);
}

TEST_CASE("malformed feed requests get status 400, and malformed responses are not applied")
{
    asio::io_context io(1);
    feeding_instance other(io);
    for (const char* text : {"", "{}", "[1,2]", "[1,2,3]", "[1,2,3,4,5,6]"}) {
        unsigned status = 0;
        run(io, [&]() -> asio::awaitable<void> {
            auto request = make_request(boost::beast::http::verb::post, "/feed", text);
            status = (co_await other.feed.handle_request(std::move(request))).result_int();
        });
        CHECK(status == 400);
    }
    for (const char* text : {"", "{}", "[1,2,3,4]", "[1,2,3,4,5]", R"([{},{},{},{}])", R"([{},{},{},{},{}])",
                             R"([{"snapshot":true,"next":-1,"age":0,"records":[]},{},{},{},{}])",
                             R"([{"snapshot":true,"next":1,"age":0,"records":[[1]]},{},{},{},{}])"}) {
        CAPTURE(std::string{text});
        http_server server(
            io.get_executor(), any_port, {},
            [text](http_request) -> asio::awaitable<http_response> { co_return make_response(200, text); });
        peer_feed::streams known;
        http_client client(io.get_executor(), {});
        unsigned applied_deltas = 0;
        peer_feed feed(io.get_executor(), client, {"z", "a", ""}, known,
                       [&](stream_kind, const stream_delta&) { ++applied_deltas; });
        bool answered = true;
        run(io, [&]() -> asio::awaitable<void> {
            answered = co_await feed.follow_stream(member("x", server.local_endpoint()).address,
                                                   stream_kind::configuration);
        });
        CHECK(!answered);
        CHECK(applied_deltas == 0);
    }
}
