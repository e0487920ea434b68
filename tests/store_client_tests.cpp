#include "../platform/store_client.hpp"
#include "../platform/topic_follower.hpp"
#include "support/run.hpp"

#include <boost/asio/detached.hpp>
#include <deque>
#include <doctest/doctest.h>

using namespace teaseltally;
using namespace teaseltally::platform;
using namespace teaseltally::test;

namespace {

std::string big_endian(std::uint64_t value)
{
    std::string bytes;
    for (int shift = 56; shift >= 0; shift -= 8)
        bytes += static_cast<char>(value >> static_cast<unsigned>(shift) & 0xffU);
    return bytes;
}

http_response page(std::uint64_t end, const std::string& records = {})
{
    return make_response(200, big_endian(end) + big_endian(0) + records);
}

/// Returns a response of an era of the store.
http_response of_era(std::uint64_t era, http_response response)
{
    response.set("Store-Era", std::to_string(era));
    return response;
}

const std::string newest_page = R"({"items":[{"key":"a","value":"b25l","offset":4}],"more":false,"end":5})";

/// Store that records the requests and returns scripted responses in order. After the last scripted response
/// it responds with 503.
struct scripted_store {
    explicit scripted_store(asio::io_context& io)
        : server(io.get_executor(), any_port, {},
                 [this](http_request request) { return answer(std::move(request)); }),
          connections(io.get_executor(), {}), client(connections, server.local_endpoint())
    {
    }

    asio::awaitable<http_response> answer(http_request request)
    {
        requests.emplace_back(request.target());
        if (script.empty())
            co_return make_response(503, "");
        auto next = std::move(script.front());
        script.pop_front();
        co_return next;
    }

    std::deque<http_response> script;
    std::vector<std::string> requests;
    http_server server;
    http_client connections;
    store_client client;
};

} // namespace

TEST_CASE("each response to a read is mapped to records or to a store error")
{
    struct read_case {
        const char* name;
        http_response answer;
        std::optional<store_error> read_error;
    };
    for (const auto& expected : std::vector<read_case>{
             {"a record", page(8, encode_keyed_record("a", "one")), std::nullopt},
             {"no record", page(7), std::nullopt},
             {"deleted records", make_response(410, R"({"first":9})"), store_error::log_truncated},
             {"overload", make_response(429, ""), store_error::unavailable},
             {"outage", make_response(503, ""), store_error::unavailable},
             {"short body", make_response(200, "123"), store_error::malformed},
             {"cut record", page(8, encode_keyed_record("a", "one").substr(0, 5)), store_error::malformed}}) {
        INFO(std::string{expected.name});
        asio::io_context io(1);
        scripted_store store(io);
        store.script.push_back(expected.answer);
        read_outcome outcome = store_error::unknown;
        run(io, [&]() -> asio::awaitable<void> {
            std::string topic = "keyed.t";
            outcome = co_await store.client.read(std::move(topic), {0, 7}, milliseconds{0});
        });
        const auto* read_error = std::get_if<store_error>(&outcome);
        CHECK((read_error == nullptr ? std::nullopt : std::optional{*read_error}) == expected.read_error);
        REQUIRE(store.requests.size() == 1);
        CHECK(store.requests.front() == "/api/log-read?topic=keyed.t&part=0&from=7");
    }
}

TEST_CASE("each response to an append is mapped to an append status")
{
    struct append_case {
        const char* name;
        http_response answer;
        append_status status;
    };
    for (const auto& expected : std::vector<append_case>{
             {"done", make_response(200, R"({"offset":7,"end":8})"), append_status::done},
             {"a record was appended before", make_response(412, R"({"end":9})"), append_status::stale},
             {"overload", make_response(429, ""), append_status::not_applied},
             {"outage", make_response(503, ""), append_status::not_applied},
             {"the store is full", make_response(507, ""), append_status::not_applied},
             {"a response without an offset", make_response(200, "{}"), append_status::unknown},
             {"a response that is no object", make_response(200, "[7]"), append_status::unknown}}) {
        INFO(std::string{expected.name});
        asio::io_context io(1);
        scripted_store store(io);
        store.script.push_back(expected.answer);
        append_outcome outcome;
        run(io, [&]() -> asio::awaitable<void> {
            std::string topic = "keyed.t";
            std::vector<append_order::record> records;
            records.push_back({"a", "one"});
            outcome = co_await store.client.append(std::move(topic), log_position{0, 7}, std::move(records));
        });
        CHECK(outcome.status == expected.status);
        REQUIRE(store.requests.size() == 1);
        CHECK(store.requests.front() == "/api/log-append?topic=keyed.t&part=0&as-of=7");
    }
}

TEST_CASE("the status of an append is unknown without a response and not_applied without a connection")
{
    asio::io_context io(1);
    asio::ip::tcp::acceptor silent(io, any_port);
    http_client connections(io.get_executor(), {});
    const auto append_to = [&](const tcp_endpoint& at) {
        store_client client(connections, at);
        append_outcome outcome;
        run(io, [&]() -> asio::awaitable<void> {
            std::string topic = "keyed.t";
            std::vector<append_order::record> records;
            records.push_back({"a", "one"});
            outcome = co_await client.append(std::move(topic), log_position{0, 7}, std::move(records));
        });
        return outcome.status;
    };
    CHECK(append_to(silent.local_endpoint()) == append_status::unknown);
    const auto closed = silent.local_endpoint();
    silent.close();
    CHECK(append_to(closed) == append_status::not_applied);
}

// Guards against calls that cost something and show nowhere, refused ones above all.
TEST_CASE("calls are counted by purpose, refused and unanswered ones apart")
{
    asio::io_context io(1);
    {
        scripted_store store(io);
        CHECK(store.client.calls().take_line().empty());
        store.script = {page(7), make_response(429, ""), make_response(200, newest_page),
                        make_response(200, R"({"offset":7,"end":8})")};
        run(io, [&]() -> asio::awaitable<void> {
            for (int read = 0; read < 2; ++read) {
                std::string topic = "keyed.t";
                static_cast<void>(co_await store.client.read(std::move(topic), {0, 7}, milliseconds{0}));
            }
            std::string topic = "keyed.t";
            static_cast<void>(co_await store.client.read_newest(std::move(topic)));
            std::vector<append_order::record> records;
            records.push_back({"a", "one"});
            topic = "keyed.u";
            static_cast<void>(co_await store.client.append(topic, std::nullopt, std::move(records)));
        });
        CHECK(store.client.calls().take_line() == "event=store_calls calls=4 refused=1 unanswered=0 "
                                                  "keyed.t.newest=1 keyed.t.read=2 keyed.t.read.failed=1 "
                                                  "keyed.u.append=1");
        CHECK(store.client.calls().take_line().empty());
    }
    asio::ip::tcp::acceptor closed_acceptor(io, any_port);
    const auto closed = closed_acceptor.local_endpoint();
    closed_acceptor.close();
    http_client connections(io.get_executor(), {});
    store_client client(connections, closed);
    run(io, [&]() -> asio::awaitable<void> {
        std::string topic = "keyed.t";
        static_cast<void>(co_await client.read_newest(std::move(topic)));
    });
    CHECK(client.calls().take_line() ==
          "event=store_calls calls=1 refused=0 unanswered=1 keyed.t.newest=1 keyed.t.newest.failed=1");
}

TEST_CASE("read_newest reads all pages and returns the end offset of the first page")
{
    asio::io_context io(1);
    scripted_store store(io);
    store.script.push_back(
        make_response(200, R"({"items":[{"key":"a","value":"b25l","offset":4}],"more":true,"end":5})"));
    store.script.push_back(
        make_response(200, R"({"items":[{"key":"b","value":"b25l","offset":6}],"more":false,"end":7})"));
    read_outcome outcome = store_error::unknown;
    run(io, [&]() -> asio::awaitable<void> {
        std::string topic = "keyed.t";
        outcome = co_await store.client.read_newest(std::move(topic));
    });
    REQUIRE(std::holds_alternative<keyed_page>(outcome));
    CHECK(std::get<keyed_page>(outcome).records.size() == 2);
    // A record that is appended between the requests for two pages must not be missed, so reading continues
    // from the end offset of the first page.
    CHECK(std::get<keyed_page>(outcome).next == log_position{0, 5});
    CHECK(store.requests[1] == "/api/log-newest?topic=keyed.t&part=0&after=a");
}

TEST_CASE(
    "a follower reads the newest records again after a truncation, and waits for records only while reads "
    "succeed")
{
    read_retry_queue retries;
    asio::io_context io(1);
    scripted_store store(io);
    store.script.push_back(make_response(200, newest_page));
    store.script.push_back(page(5));
    store.script.push_back(make_response(503, ""));
    store.script.push_back(page(6, encode_keyed_record("a", "two")));
    store.script.push_back(make_response(410, ""));
    store.script.push_back(make_response(200, newest_page));
    std::optional<log_position> position;
    std::vector<std::uint64_t> records;
    unsigned failures = 0;
    topic_handler handler{[&] { return position; },
                          [&]() -> asio::awaitable<void> {
                              if (store.requests.size() >= 6)
                                  io.stop();
                              co_return;
                          },
                          [&](const keyed_page& all) { position = all.next; },
                          [&](const stream_record& record) { records.push_back(record.position.offset); },
                          [&](time_point, log_position next) { position = next; },
                          [&] { ++failures; }};
    const auto polling = configuration_polling(milliseconds{2000});
    asio::co_spawn(io, follow_topic(store.client, retries, "keyed.t", polling, handler), asio::detached);
    io.run();
    REQUIRE(store.requests.size() == 6);
    CHECK(store.requests[0] == "/api/log-newest?topic=keyed.t&part=0");
    CHECK(store.requests[1] == "/api/log-read?topic=keyed.t&part=0&from=5&wait-ms=1200");
    CHECK(store.requests[3] == "/api/log-read?topic=keyed.t&part=0&from=5");
    CHECK(store.requests[4] == "/api/log-read?topic=keyed.t&part=0&from=6&wait-ms=1200");
    CHECK(store.requests[5] == "/api/log-newest?topic=keyed.t&part=0");
    CHECK(records == std::vector<std::uint64_t>{5});
    CHECK(failures == 1);
}

// Guards against readers that follow a topic no more because another writer left an odd key in it.
TEST_CASE("a page of the newest records that ends with an odd key is continued")
{
    asio::io_context io(1);
    scripted_store store(io);
    store.script = {
        make_response(200,
                      R"({"items":[{"key":"a b&x=\r\n%/+","value":"b25l","offset":4}],"more":true,"end":5})"),
        make_response(200, newest_page)};
    read_outcome outcome = store_error::unknown;
    run(io, [&]() -> asio::awaitable<void> {
        std::string topic = "keyed.t";
        outcome = co_await store.client.read_newest(std::move(topic));
    });
    CHECK(std::holds_alternative<keyed_page>(outcome));
    REQUIRE(store.requests.size() == 2);
    CHECK(store.requests[1] == "/api/log-newest?topic=keyed.t&part=0&after=a%20b%26x%3D%0D%0A%25%2F%2B");
}

// Guards against readers that apply superseded configurations in turn and never reach the newest (CONFIG).
TEST_CASE("a reader that is behind applies the newest record of each key only")
{
    const auto follow = [](std::deque<http_response> script) {
        read_retry_queue retries;
        asio::io_context io(1);
        scripted_store store(io);
        store.script = std::move(script);
        const auto calls = store.script.size();
        std::optional<log_position> position = log_position{0, 5};
        std::vector<std::uint64_t> records;
        topic_handler handler{[&] { return position; },
                              [&]() -> asio::awaitable<void> {
                                  if (store.requests.size() >= calls)
                                      io.stop();
                                  co_return;
                              },
                              [&](const keyed_page&) { records.push_back(0); },
                              [&](const stream_record& record) {
                                  records.push_back(record.position.offset);
                                  position = record.position.after(1);
                              },
                              [&](time_point, log_position next) { position = next; },
                              [] {}};
        const auto polling = configuration_polling(milliseconds{2000});
        asio::co_spawn(io, follow_topic(store.client, retries, "keyed.t", polling, handler), asio::detached);
        io.run();
        return std::pair{records, store.requests};
    };
    const auto two = encode_keyed_record("a", "one") + encode_keyed_record("a", "two");
    CHECK(follow({page(7, two)}).first == std::vector<std::uint64_t>{6});
    // The log is longer than the response: the rest may be as large, so the newest record is read instead.
    const auto* const newest = R"({"items":[{"key":"a","value":"b25l","offset":24}],"more":false,"end":25})";
    const auto [records, requests] = follow({page(25, two), make_response(200, newest), page(25)});
    CHECK(records == std::vector<std::uint64_t>{24});
    REQUIRE(requests.size() == 3);
    CHECK(requests[1] == "/api/log-newest?topic=keyed.t&part=0");
    CHECK(requests[2] == "/api/log-read?topic=keyed.t&part=0&from=25&wait-ms=1200");
}

// After a return of the store from an older copy, offsets are given out again: a record at the requested
// offset is another one than the reader expects.
TEST_CASE("an answer of another era than the requested position is not used, whatever its status")
{
    asio::io_context io(1);
    scripted_store store(io);
    std::vector<std::pair<std::uint64_t, std::uint64_t>> eras;
    store.client.set_era_observer(
        [&](std::uint64_t last, std::uint64_t era) { eras.emplace_back(last, era); });
    const auto record = page(8, encode_keyed_record("a", "one"));
    const auto appended = make_response(200, R"({"offset":7,"end":8})");
    const auto read = [&](http_response answer, std::uint64_t era) {
        store.script.push_back(std::move(answer));
        read_outcome outcome = store_error::unknown;
        run(io, [&]() -> asio::awaitable<void> {
            std::string topic = "keyed.t";
            outcome = co_await store.client.read(std::move(topic), {era, 7}, milliseconds{0});
        });
        return std::holds_alternative<store_error>(outcome) ? std::get<store_error>(outcome)
                                                            : std::optional<store_error>{};
    };
    const auto append = [&](http_response answer, std::optional<log_position> expected_end) {
        store.script.push_back(std::move(answer));
        append_outcome outcome;
        run(io, [&]() -> asio::awaitable<void> {
            std::string topic = "keyed.t";
            std::vector<append_order::record> records;
            records.push_back({"a", "one"});
            outcome = co_await store.client.append(std::move(topic), expected_end, std::move(records));
        });
        return outcome;
    };
    CHECK(!read(of_era(1, record), 1));
    CHECK(append(of_era(1, appended), log_position{1, 7}).position == log_position{1, 7});
    CHECK(read(of_era(2, record), 1) == store_error::era_changed);
    CHECK(read(of_era(2, make_response(410, "")), 1) == store_error::era_changed);
    CHECK(read(of_era(2, make_response(503, "")), 1) == store_error::era_changed);
    CHECK(append(of_era(2, appended), log_position{1, 7}).status == append_status::stale);
    CHECK(read(of_era(1, record), 1) == store_error::era_changed);
    CHECK(append(of_era(1, appended), log_position{1, 7}).status == append_status::stale);
    CHECK(append(of_era(1, appended), std::nullopt).status == append_status::unknown);
    // Without the header, an answer is of the highest era seen.
    CHECK(!read(record, 2));
    CHECK(append(appended, log_position{2, 7}).era == 2);
    CHECK(store.client.era() == 2);
    CHECK(eras == std::vector<std::pair<std::uint64_t, std::uint64_t>>{{1, 2}});
}

TEST_CASE("pages of the newest records are not used together if they are of different eras")
{
    for (const std::uint64_t second_era : {1U, 2U}) {
        asio::io_context io(1);
        scripted_store store(io);
        const auto* const first = R"({"items":[{"key":"a","value":"b25l","offset":4}],"more":true,"end":5})";
        store.script = {of_era(1, make_response(200, first)),
                        of_era(second_era, make_response(200, newest_page))};
        read_outcome outcome = store_error::unknown;
        run(io, [&]() -> asio::awaitable<void> {
            std::string topic = "keyed.t";
            outcome = co_await store.client.read_newest(std::move(topic));
        });
        if (second_era == 2)
            CHECK(std::get<store_error>(outcome) == store_error::era_changed);
        else
            CHECK(std::get<keyed_page>(outcome).records.front().position == log_position{1, 4});
    }
}

namespace {

/// Follows topics for a time.
/// @param applied whether snapshots are applied.
/// @param topics number of topics; all have the same position.
/// @param late_topics number of topics that are followed after 100 ms.
/// @returns the requests.
std::vector<std::string> follow_for(milliseconds time, std::deque<http_response> script, bool applied,
                                    int topics = 1, int late_topics = 0, bool others_retry = false)
{
    read_retry_queue retries;
    retries.set_others_retry(others_retry);
    asio::io_context io(1);
    scripted_store store(io);
    store.script = std::move(script);
    std::optional<log_position> position = log_position{1, 9};
    topic_handler handler{[&] { return position; },
                          []() -> asio::awaitable<void> { co_return; },
                          [&](const keyed_page& all) {
                              if (applied)
                                  position = all.next;
                          },
                          [](const stream_record&) {},
                          [](time_point, log_position) {},
                          [] {}};
    const auto follow = [&](int count) {
        for (int topic = 0; topic < count; ++topic)
            asio::co_spawn(
                io,
                follow_topic(store.client, retries, "keyed.t", {milliseconds{0}, milliseconds{500}}, handler),
                asio::detached);
    };
    follow(topics);
    asio::steady_timer later(io, milliseconds{100});
    later.async_wait([&](boost::system::error_code) { follow(late_topics); });
    io.run_for(time);
    return store.requests;
}

} // namespace

TEST_CASE("after a new era the newest records are read once, and reading goes on from there")
{
    const auto requests = follow_for(milliseconds{300},
                                     {of_era(2, page(20, encode_keyed_record("a", "one"))),
                                      of_era(2, make_response(200, newest_page)), of_era(2, page(5))},
                                     true);
    CHECK(requests == std::vector<std::string>{"/api/log-read?topic=keyed.t&part=0&from=9",
                                               "/api/log-newest?topic=keyed.t&part=0",
                                               "/api/log-read?topic=keyed.t&part=0&from=5"});
}

// Guards against streams that count as older or more recent than they are, and against a call for each
// record.
TEST_CASE(
    "a read that waits in vain confirms the end of its wait, and one with records is confirmed after a pause")
{
    asio::io_context io(1);
    constexpr milliseconds wait{400};
    constexpr milliseconds pause{300};
    constexpr milliseconds record_pause{150};
    std::vector<std::string> requests;
    std::vector<time_point> arrivals;
    http_server server(io.get_executor(), any_port, {},
                       [&](http_request request) -> asio::awaitable<http_response> {
                           requests.emplace_back(request.target());
                           arrivals.push_back(boot_clock::now());
                           const auto turn = requests.size();
                           if (turn == 1 || turn == 5)
                               co_await sleep_for(wait);
                           co_return turn == 2 || turn == 3 ? page(turn + 4, encode_keyed_record("a", "one"))
                                                            : page(turn == 1 ? 5 : 7);
                       });
    http_client connections(io.get_executor(), {});
    store_client client(connections, server.local_endpoint());
    read_retry_queue retries;
    log_position position{0, 5};
    std::vector<time_point> confirmed;
    topic_handler handler{[&] { return std::optional{position}; },
                          []() -> asio::awaitable<void> { co_return; },
                          [](const keyed_page&) {},
                          [](const stream_record&) {},
                          [&](time_point at, log_position end) {
                              confirmed.push_back(at);
                              position = end;
                          },
                          [] {}};
    asio::co_spawn(io, follow_topic(client, retries, "keyed.t", {wait, pause, false, record_pause}, handler),
                   asio::detached);
    while (confirmed.size() < 5)
        io.run_one_for(milliseconds{100});
    const std::string target = "/api/log-read?topic=keyed.t&part=0&from=";
    requests.resize(5);
    CHECK(requests == std::vector<std::string>{target + "5&wait-ms=400", target + "5&wait-ms=400",
                                               target + "6", target + "7", target + "7&wait-ms=400"});
    CHECK(confirmed[0] >= arrivals[0] + milliseconds{200});
    CHECK(confirmed[0] <= arrivals[0] + wait);
    CHECK(confirmed[1] <= arrivals[1]);
    CHECK(confirmed[3] <= arrivals[3]);
    CHECK(arrivals[2] - arrivals[1] >= record_pause);
    CHECK(arrivals[3] - arrivals[2] >= pause);
    CHECK(arrivals[4] - arrivals[3] < pause);
    CHECK(confirmed[4] >= arrivals[4] + milliseconds{200});
}

// Guards against reads in a loop while the newest records don't lead to a position that the store accepts.
TEST_CASE("while the store is away or refuses each position the pauses between reads increase")
{
    std::deque<http_response> refused;
    for (int round = 0; round < 1000; ++round) {
        refused.push_back(of_era(1, make_response(410, "")));
        refused.push_back(of_era(1, make_response(200, newest_page)));
    }
    // A store that is away is asked after 250 ms and then each 500 ms, each less a random quarter at most.
    const auto failed = follow_for(milliseconds{1500}, {100, of_era(1, make_response(503, ""))}, true).size();
    CHECK(failed >= 4);
    CHECK(failed <= 5);
    // If others repeat their reads as well, after 500 ms and then each second.
    const auto rare =
        follow_for(milliseconds{1500}, {100, of_era(1, make_response(503, ""))}, true, 1, 0, true).size();
    CHECK(rare >= 2);
    CHECK(rare <= 3);
    for (const bool applied : {false, true}) {
        const auto requests = follow_for(milliseconds{1500}, refused, applied).size();
        CHECK(requests >= 2);
        CHECK(requests <= 10);
    }
}

// Guards against calls in an outage that grow with the number of topics.
TEST_CASE("while the store is away one topic is read at a time, and all are read at once when it answers")
{
    constexpr int topics = 5;
    const auto refusal = of_era(1, make_response(503, ""));
    const auto failed = follow_for(milliseconds{1500}, {100, refusal}, true, topics).size();
    CHECK(failed >= topics + 3);
    CHECK(failed <= topics + 4);
    // The store's answer to the first one is known when the others begin.
    CHECK(follow_for(milliseconds{1500}, {100, refusal}, true, 1, topics - 1).size() <= 1 + 4);
    std::deque<http_response> script(topics + 1, refusal);
    for (int call = 0; call < 10 * topics; ++call)
        script.push_back(of_era(1, page(9)));
    // The second turn comes within 750 ms; the pause after a successful read is 500 ms.
    CHECK(follow_for(milliseconds{1000}, script, true, topics).size() == 2 * topics + 1);
}
