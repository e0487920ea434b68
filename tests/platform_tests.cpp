#include "../platform/configuration_decoder.hpp"
#include "../platform/instance.hpp"
#include "../platform/settings.hpp"
#include "../platform/store_client.hpp"
#include "../platform/target_orders.hpp"
#include "../platform/topic_follower.hpp"
#include "../platform/wire.hpp"

#include "support/run.hpp"
#include "support/settings_template.hpp"

#include <teaseltally/json.hpp>

#include <boost/asio/detached.hpp>
#include <boost/beast/core/detail/base64.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <set>

using namespace teaseltally;
using namespace teaseltally::platform;

namespace {

const std::string valid_settings = R"([instance]
name = front-a-1
data_centre = a
caller_address = 127.0.0.1:80
ready_address = 10.0.0.1:81
peer_address = 10.0.0.1:82
[platform]
address = 10.0.0.9:1
heartbeat = 870ms
[bounds]
config-apply = 1500ms
grace = 7s
retry-budget-ratio = 0.25
budget-slack = 56
)";

const std::string valid_configuration = R"({"version":"0000000c",
"routes":{"columns":["name","host","path-prefix","kind","timeout","target-latency","priority","backends","max-attempts","service"],
"rows":[["r1","h.example","/a/","safe","1000ms","0.3s",2,[{"service":"x","weight":90},{"service":"y","weight":10}],2,null],
["r2","h.example","/b/","unsafe","1200ms","400ms",1,null,2,"x"]]},
"services":{"columns":["name","health-path","max-connections","protocol","tls","sharded","warm","grants","cold-start","cold-per-s"],
"rows":[["x","/health",110,"h1",false,null,null,null,null,null],["y","/health",110,"h1",false,true,"5s","direct_call","4s",2.5]]},
"limits":{"max-header-bytes":16384,"max-body-bytes":1000,"header-timeout":"3000ms","idle-timeout":"15s"}})";

const std::string valid_target =
    R"({"address":"127.0.0.1:80","born":17,"info":{"service":"x","version":"v1","zone":"a","slots":4},
"status":{"state":"ready","sequence":4,"cold-remaining":"1500ms"}})";

/// Replaces the first occurrence of `from`, which must exist in the text.
std::string replace_text(std::string text, const std::string& from, const std::string& to)
{
    const auto at = text.find(from);
    REQUIRE(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

} // namespace

TEST_CASE("settings are parsed, and bounds of the platform override their defaults")
{
    const auto read = parse_settings(valid_settings, "local");
    REQUIRE(std::holds_alternative<settings>(read));
    const auto& values = std::get<settings>(read);
    CHECK(values.configuration_apply_limit == milliseconds{1500});
    CHECK(values.stop_grace_period == milliseconds{7000});
    CHECK(values.target_report_interval == milliseconds{870});
    CHECK(values.retry_ratio == doctest::Approx(0.25));
    CHECK(values.evacuation_limit.count() == 0);
    CHECK_FALSE(values.cold.is_set());
    CHECK(values.retry_burst == doctest::Approx(56));
    CHECK(!values.memory_mb);
    const auto limited =
        parse_settings(valid_settings + "[limits]\nmemory-mb = 120\nbody-timeout = 2.5s\n", "local");
    REQUIRE(std::holds_alternative<settings>(limited));
    CHECK(std::get<settings>(limited).memory_mb == std::size_t{120});
    CHECK(std::get<settings>(limited).body_timeout == milliseconds{2500});
}

// Guards against bounds of an installation that are rendered in a form that the settings don't read, so that
// defaults apply without a notice (LOST).
TEST_CASE("the settings that the template renders for an installation contain all of its bounds")
{
    auto fields = test::example_fields();
    auto& bounds = fields["bounds"];
    bounds["grace"] = "10s";
    bounds["config-apply"] = "3000ms";
    bounds["hold-max"] = "9000ms";
    bounds["retry-budget-ratio"] = 0.3;
    bounds["budget-slack"] = 630;
    const auto read = parse_settings(test::render_settings(fields), "local");
    REQUIRE(std::holds_alternative<settings>(read));
    const auto& values = std::get<settings>(read);
    CHECK(values.instance == "front-a-1");
    CHECK(values.peer_address == "10.0.0.1:82");
    CHECK(values.descriptors == 4096);
    CHECK(values.memory_mb == std::size_t{260});
    CHECK(!values.body_timeout);
    CHECK(values.stop_grace_period == milliseconds{10'000});
    CHECK(values.configuration_apply_limit == milliseconds{3000});
    CHECK(values.max_grant_duration == milliseconds{9000});
    CHECK(values.retry_ratio == doctest::Approx(0.3));
    CHECK(values.retry_burst == doctest::Approx(630));
    CHECK(values.defaulted.empty());
    CHECK(values.unknown.empty());
}

// Guards against a form of the bounds of one installation that is not read.
TEST_CASE("the bounds of every installation of the users are read")
{
    struct installation {
        const char* name;
        const char* configuration_apply;
        const char* grace;
        int retry_burst;
        milliseconds expected_apply;
        milliseconds expected_grace;
    };
    for (const auto& site : std::vector<installation>{
             {"obmh-gateway", "2000ms", "6s", 56, milliseconds{2000}, milliseconds{6000}},
             {"lysing-gw", "2000ms", "6s", 64, milliseconds{2000}, milliseconds{6000}},
             {"obmh-gateway-grown", "2500ms", "6s", 214, milliseconds{2500}, milliseconds{6000}},
             {"lysing-gw-grown", "2500ms", "6s", 182, milliseconds{2500}, milliseconds{6000}},
             {"obmh-gateway-large", "3000ms", "10s", 630, milliseconds{3000}, milliseconds{10'000}}}) {
        CAPTURE(std::string{site.name});
        auto fields = test::example_fields();
        fields["bounds"]["config-apply"] = site.configuration_apply;
        fields["bounds"]["grace"] = site.grace;
        fields["bounds"]["budget-slack"] = site.retry_burst;
        const auto read = parse_settings(test::render_settings(fields), "local");
        REQUIRE(std::holds_alternative<settings>(read));
        const auto& values = std::get<settings>(read);
        CHECK(values.configuration_apply_limit == site.expected_apply);
        CHECK(values.stop_grace_period == site.expected_grace);
        CHECK(values.retry_burst == doctest::Approx(site.retry_burst));
        CHECK(values.defaulted.empty());
    }
}

TEST_CASE("settings name the keys without a value and the unknown ones, and the defaults apply")
{
    auto fields = test::example_fields();
    fields["bounds"].removeMember("grace");
    const auto text = test::render_settings(fields) + "\n[other]\nkey = 1\n";
    const auto read = parse_settings(text, "local");
    REQUIRE(std::holds_alternative<settings>(read));
    const auto& values = std::get<settings>(read);
    CHECK(values.stop_grace_period == settings{}.stop_grace_period);
    CHECK(values.defaulted == std::vector<std::string>{"bounds.grace"});
    CHECK(values.unknown == std::vector<std::string>{"other.key"});
}

TEST_CASE("errors in settings state the file, section, key and value")
{
    const auto missing = parse_settings(replace_text(valid_settings, "name = front-a-1", "x = 1"), "local");
    REQUIRE(std::holds_alternative<std::vector<error>>(missing));
    CHECK(
        to_string(std::get<std::vector<error>>(missing).front()).find("local: [instance] name is missing") ==
        0);
    const auto bad = parse_settings(replace_text(valid_settings, "grace = 7s", "grace = soon"), "local");
    REQUIRE(std::holds_alternative<std::vector<error>>(bad));
    CHECK(std::get<std::vector<error>>(bad).front().message ==
          "[bounds] grace = \"soon\" is not a duration such as \"1500ms\" or \"2.5s\"");
}

TEST_CASE("bounds out of range are rejected")
{
    for (const std::string bound :
         {"grace = 0s", "config-apply = 0ms", "hold-max = 0ms", "retry-budget-ratio = nan",
          "retry-budget-ratio = -0.1", "budget-slack = inf", "grace = {\"a\":1}"}) {
        CAPTURE(bound);
        const auto key = bound.substr(0, bound.find(' '));
        auto fields = test::example_fields();
        fields["bounds"][key] = bound.substr(key.size() + 3);
        const auto rejected = parse_settings(test::render_settings(fields), "local");
        REQUIRE(std::holds_alternative<std::vector<error>>(rejected));
        CHECK(std::get<std::vector<error>>(rejected).front().message.starts_with("[bounds] " + key));
    }
}

TEST_CASE("settings with too few file descriptors for callers are rejected")
{
    const auto read = parse_settings(valid_settings + "[limits]\ndescriptors = 650\n", "local");
    REQUIRE(std::holds_alternative<std::vector<error>>(read));
    CHECK(std::get<std::vector<error>>(read).front().message.find("[limits] descriptors") == 0);
}

TEST_CASE("the limits of the quarantine are read, and limits out of range are rejected")
{
    const auto read = parse_settings(valid_settings + "[quarantine]\ncrashes = 2\nlifetime = 90s\n", "local");
    REQUIRE(std::holds_alternative<settings>(read));
    CHECK(std::get<settings>(read).quarantine.crashes == 2);
    CHECK(std::get<settings>(read).quarantine.lifetime == milliseconds{90'000});
    for (const char* section : {"crashes = 0", "crashes = x", "lifetime = 0ms", "lifetime = soon"}) {
        CAPTURE(std::string{section});
        const auto rejected = parse_settings(valid_settings + "[quarantine]\n" + section + "\n", "local");
        REQUIRE(std::holds_alternative<std::vector<error>>(rejected));
        CHECK(to_string(std::get<std::vector<error>>(rejected).front()).find("[quarantine] ") !=
              std::string::npos);
    }
}

TEST_CASE("a valid configuration is decoded")
{
    const auto decoded = decode_configuration(valid_configuration);
    REQUIRE(failure(decoded) == nullptr);
    const auto& read = std::get<routing_configuration>(decoded);
    CHECK(read.version == 12);
    REQUIRE(read.routes.size() == 2);
    CHECK(read.routes[0].semantics == execution_semantics::idempotent);
    CHECK(read.routes[0].backends.size() == 2);
    CHECK(read.routes[1].semantics == execution_semantics::at_most_once);
    CHECK(read.services.at("y").keyed);
    CHECK(read.services.at("x").cold_per_s == 0);
    CHECK(read.services.at("y").cold_per_s == doctest::Approx(2.5));
    CHECK(read.services.at("y").cold_start == milliseconds{4000});
    CHECK(read.limits.idle_timeout == milliseconds{15'000});
}

// Guards against downloads that are not retried although they change nothing, and against unknown kinds that
// are.
TEST_CASE("only routes of the kinds safe and download are idempotent")
{
    for (const auto& [name, semantics] : {std::pair{"download", execution_semantics::idempotent},
                                          {"safe", execution_semantics::idempotent},
                                          {"upload", execution_semantics::at_most_once},
                                          {"downloads", execution_semantics::at_most_once},
                                          {"", execution_semantics::at_most_once}}) {
        const std::string kind = name;
        CAPTURE(kind);
        const auto decoded =
            decode_configuration(replace_text(valid_configuration, R"("safe")", "\"" + kind + "\""));
        REQUIRE(failure(decoded) == nullptr);
        CHECK(std::get<routing_configuration>(decoded).routes[0].semantics == semantics);
    }
}

// Guards against a lag behind quick changes of thousands of routes, each of which cost the whole table
// (CONFIG).
TEST_CASE("a decoder of versions parses changed rows only, and returns the same as for a first version")
{
    auto document = std::get<Json::Value>(parse_json(valid_configuration, "configuration"));
    auto& rows = document["routes"]["rows"];
    const auto first_row = rows[0];
    configuration_decoder decoder;
    const auto decode = [&](std::string_view text) {
        const auto decoded = decoder.decode(text);
        const auto whole = decode_configuration(text);
        REQUIRE(failure(decoded) == nullptr);
        CHECK(std::get<routing_configuration>(decoded) == std::get<routing_configuration>(whole));
        return decoder.parsed_routes();
    };
    const auto renamed = [&](const std::string& name) {
        auto row = first_row;
        row[0] = name;
        row[2] = "/" + name + "],\"/";
        return row;
    };
    for (int route = 0; route < 50; ++route)
        rows.append(renamed("added" + std::to_string(route)));
    CHECK(decode(json_text(document)) == 52);
    rows[20] = renamed("changed");
    rows.append(renamed("last"));
    CHECK(decode(json_text(document)) == 2);
    Json::Value removed;
    rows.removeIndex(3, &removed);
    std::swap(rows[5], rows[40]);
    CHECK(decode(json_text(document)) == 0);
    CHECK(decode(" " + document.toStyledString()) == rows.size());
    document["routes"]["rows"] = Json::Value(Json::arrayValue);
    CHECK(decode(json_text(document)) == 0);
    // Names that are written with escapes are found by parsing the whole.
    CHECK(decode(replace_text(valid_configuration, "\"rows\":[[\"r1\"", "\"\\u0072ows\":[[\"r1\"")) == 2);
}

TEST_CASE("the error in a configuration names the invalid column, key, row or service")
{
    struct invalid_case {
        const char* from;
        const char* to;
        const char* expected_message;
    };
    for (const auto& invalid :
         std::initializer_list<invalid_case>{{"\"0000000c\"", "\"zz\"", "version"},
                                             {"\"/a/\"", "\"/a\"", "path-prefix"},
                                             {"\"1000ms\"", "1000", "timeout"},
                                             {"\"weight\":90", "\"weight\":-1", "backends"},
                                             {"\"service\":\"y\"", "\"service\":\"z\"", "unknown service"},
                                             {"\"rows\":[[\"r1\"", "\"rows\":[1,[\"r1\"", "not an array"},
                                             {"16384", "\"many\"", "max-header-bytes"}}) {
        INFO(std::string{invalid.from});
        const auto decoded =
            decode_configuration(replace_text(valid_configuration, invalid.from, invalid.to));
        REQUIRE(failure(decoded) != nullptr);
        CHECK(to_string(*failure(decoded)).find(invalid.expected_message) != std::string::npos);
        configuration_decoder versions;
        CHECK(failure(versions.decode(valid_configuration)) == nullptr);
        const auto later = versions.decode(replace_text(valid_configuration, invalid.from, invalid.to));
        REQUIRE(failure(later) != nullptr);
        CHECK(to_string(*failure(later)) == to_string(*failure(decoded)));
    }
}

// Guards against a statement that is read in the answers to requests and forgotten in those to orders.
TEST_CASE("a target that says in its answer to an order that it leaves is heard, and another one is not")
{
    asio::io_context io;
    std::string answering = "t1";
    http_server target(io.get_executor(), test::any_port, {},
                       [&](http_request) -> asio::awaitable<http_response> {
                           auto response = make_response(200, "");
                           response.set("X-Instance-Id", answering);
                           response.set("Server-Leaving", "1");
                           co_return response;
                       });
    http_client client(io.get_executor(), {});
    target_orders orders(client);
    grant_order order;
    order.target = {"t1", 0, "127.0.0.1:" + std::to_string(target.local_endpoint().port())};
    test::run(io, [&]() -> asio::awaitable<void> {
        CHECK((co_await orders.grant(order, milliseconds{1000})).leaving);
        answering = "t2";
        CHECK_FALSE((co_await orders.grant(order, milliseconds{1000})).leaving);
    });
}

namespace {

/// Target that takes time for an order and sends its response once more before the next response on the same
/// connection.
class repeating_target {
public:
    static constexpr milliseconds order_time{50};

    explicit repeating_target(asio::io_context& io) : acceptor_(io, test::any_port)
    {
        asio::co_spawn(io, accept(), asio::detached);
    }
    [[nodiscard]] target_incarnation incarnation() const
    {
        return {"t1", 0, "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port())};
    }

    /// Status of the responses to grants.
    unsigned grant_status = 200;

private:
    asio::awaitable<void> accept()
    {
        while (true) {
            auto [failed, socket] = co_await acceptor_.async_accept(test::as_result);
            if (failed)
                co_return;
            asio::co_spawn(acceptor_.get_executor(), serve(std::move(socket)), asio::detached);
        }
    }
    asio::awaitable<void> serve(asio::ip::tcp::socket socket)
    {
        boost::beast::flat_buffer buffer;
        std::optional<http_response> earlier;
        while (true) {
            http_request request;
            if (const auto [failed, size] =
                    co_await boost::beast::http::async_read(socket, buffer, request, test::as_result);
                failed)
                co_return;
            if (earlier)
                co_await boost::beast::http::async_write(socket, *earlier, test::as_result);
            co_await sleep_for(order_time);
            const bool releases = request.target() == "/api/release";
            earlier = make_response(releases ? 200 : grant_status, "");
            if (releases)
                earlier->set("X-Handover", "handover-" + std::to_string(++releases_));
            earlier->prepare_payload();
            co_await boost::beast::http::async_write(socket, *earlier, test::as_result);
        }
    }

    asio::ip::tcp::acceptor acceptor_;
    unsigned releases_ = 0;
};

} // namespace

// Guards against keys that go to another target while the first one still works on them (OWNER), since the
// copy of an earlier response counted as the response to their release.
TEST_CASE(
    "a repeated response to an order is not taken for the response to a release, nor a repeated conflict")
{
    asio::io_context io;
    repeating_target target(io);
    http_client client(io.get_executor(), {});
    target_orders orders(client);
    grant_order grant;
    grant.target = target.incarnation();
    release_order release;
    release.target = target.incarnation();
    test::run(io, [&]() -> asio::awaitable<void> {
        CHECK((co_await orders.grant(grant, milliseconds{1000})).status == order_status::done);
        std::set<std::string> handovers;
        for (unsigned count = 0; count < 2; ++count) {
            const auto sent_at = boot_clock::now();
            const auto released = co_await orders.release(release, milliseconds{1000});
            CHECK(released.status == order_status::done);
            CHECK(boot_clock::now() - sent_at >= repeating_target::order_time);
            CHECK(handovers.insert(released.handover).second);
            CHECK_FALSE(released.handover.empty());
        }
        target.grant_status = 409;
        CHECK((co_await orders.grant(grant, milliseconds{1000})).status == order_status::conflict);
        target.grant_status = 200;
        CHECK((co_await orders.grant(grant, milliseconds{1000})).status == order_status::done);
    });
}

TEST_CASE("a malformed registration is rejected with the id of its target")
{
    REQUIRE(failure(decode_target("i1", valid_target)) == nullptr);
    const auto entry = std::get<target_entry>(decode_target("i1", valid_target));
    CHECK(entry.cold_remaining == milliseconds{1500});
    CHECK(entry.start_unix_ms == 17);
    struct invalid_case {
        const char* from;
        const char* to;
    };
    for (const auto& invalid : std::initializer_list<invalid_case>{{"127.0.0.1:80", "somewhere"},
                                                                   {"\"ready\"", "\"asleep\""},
                                                                   {"\"slots\":4", "\"slots\":\"4\""},
                                                                   {"\"sequence\":4", "\"sequence\":null"},
                                                                   {"\"info\":{", "\"infos\":{"},
                                                                   {"\"born\":17", "\"born\":\"now\""},
                                                                   {"1500ms", "1e300s"},
                                                                   {"1500ms", "99999999999999999ms"},
                                                                   {"1500ms", "later"}}) {
        INFO(std::string{invalid.from});
        const auto decoded = decode_target("i1", replace_text(valid_target, invalid.from, invalid.to));
        REQUIRE(failure(decoded) != nullptr);
        CHECK(to_string(*failure(decoded)).find("target \"i1\"") != std::string::npos);
    }
}

TEST_CASE("a configuration or registration with a changed byte is either decoded or rejected with a message")
{
    CHECK(rc::check([](std::size_t at, char byte) {
        for (const auto* valid_text : {&valid_configuration, &valid_target}) {
            auto text = *valid_text;
            text[at % text.size()] = byte;
            const auto configuration = decode_configuration(text);
            if (const auto* problem = failure(configuration))
                RC_ASSERT(!problem->message.empty());
            const auto target = decode_target("i1", text);
            if (const auto* problem = failure(target))
                RC_ASSERT(!problem->message.empty());
        }
    }));
}

TEST_CASE("a page with two records is parsed completely, and a truncated page yields at most one record")
{
    std::string body(7, '\0');
    body += '\x09';
    body += std::string(8, '\0');
    body += encode_keyed_record("a", "one") + encode_keyed_record("bc", "");
    const auto parsed = parse_log_page(body, {0, 7});
    REQUIRE(std::holds_alternative<keyed_page>(parsed));
    const auto& page = std::get<keyed_page>(parsed);
    CHECK(page.end == log_position{0, 9});
    CHECK(page.next == log_position{0, 9});
    REQUIRE(page.records.size() == 2);
    CHECK(page.records[0] == stream_record{"a", "one", {0, 7}});
    CHECK(page.records[1] == stream_record{"bc", std::nullopt, {0, 8}});
    for (std::size_t cut = 1; cut < body.size(); ++cut) {
        const auto shorter = parse_log_page(std::string_view{body}.substr(0, cut), {0, 7});
        const auto* parsed_page = std::get_if<keyed_page>(&shorter);
        CHECK((parsed_page == nullptr || parsed_page->records.size() < 2));
    }
}

TEST_CASE("a configuration takes effect in time even if the store does not end the wait of the read early")
{
    // Upper bound of the time for the response to the read and for the distribution to the other instances.
    constexpr milliseconds response_and_distribution{500};
    for (const milliseconds apply : {milliseconds{1500}, milliseconds{2000}, milliseconds{6000}})
        CHECK(configuration_polling(apply).max_wait + response_and_distribution < apply);
}

TEST_CASE("base64 text is decoded, and malformed text is rejected")
{
    CHECK(decode_base64("aGVsbG8=") == "hello");
    CHECK(decode_base64("") == "");
    CHECK(!decode_base64("aGVs*G8="));
}

namespace {

/// Store that can come back from an older copy.
struct returning_store {
    explicit returning_store(asio::io_context& io)
        : server(io.get_executor(), test::any_port, {},
                 [this](http_request request) { return answer(std::move(request)); })
    {
    }

    asio::awaitable<http_response> answer(http_request request)
    {
        co_await sleep_for(milliseconds{20});
        const std::string target = request.target();
        const auto name_at = target.find("topic=") + 6;
        auto& topic = topics[target.substr(name_at, target.find('&') - name_at)];
        http_response response;
        if (target.starts_with("/api/log-newest")) {
            ++newest_reads;
            Json::Value page;
            page["end"] = to_json(topic.size());
            page["items"] = Json::Value(Json::arrayValue);
            for (const auto& [key, value] : topic) {
                namespace base64 = boost::beast::detail::base64;
                std::string encoded(base64::encoded_size(value.size()), ' ');
                encoded.resize(base64::encode(encoded.data(), value.data(), value.size()));
                auto& item = page["items"].append({});
                item["key"] = key;
                item["value"] = encoded;
                item["offset"] = page["items"].size() - 1;
            }
            response = make_response(200, json_text(page));
        }
        else if (target.starts_with("/api/log-append")) {
            const auto& body = request.body();
            const auto key_size = static_cast<unsigned char>(body[4]);
            response = make_response(200, "{\"offset\":" + std::to_string(topic.size()) + "}");
            topic.emplace_back(body.substr(5, key_size), body.substr(5U + key_size));
        }
        else {
            const auto from = std::stoul(target.substr(target.find("from=") + 5));
            std::string body(16, '\0');
            body[7] = static_cast<char>(topic.size());
            for (auto offset = from; offset < topic.size(); ++offset)
                body += encode_keyed_record(topic[offset].first, topic[offset].second);
            response = make_response(from > topic.size() ? 410 : 200, body);
        }
        response.set("Store-Era", std::to_string(era));
        co_return response;
    }

    std::uint64_t era = 1;
    unsigned newest_reads = 0;
    std::map<std::string, std::vector<std::pair<std::string, std::string>>> topics;
    http_server server;
};

} // namespace

// Guards against entries that change on their way to other instances, so that some instances use a target and
// others reject it, and against ids that add headers to requests.
TEST_CASE("an entry that cannot be sent and passed on unchanged is rejected")
{
    for (const auto& id : std::vector<std::string>{"i-7f3a91c2", "Z\xc3\xbcrich 1"})
        CHECK(failure(decode_target(id, valid_target)) == nullptr);
    using namespace std::string_literals;
    for (const auto& text : std::vector<std::string>{
             "", "a\r\nX-Other: 1", "a\nb", "a\0b"s, "a\tb", "\x7f", " a", "a ", "\xff", "a\xc0\xaf",
             "\xed\xa0\x80", "\xe2\x82", "\xf4\x90\x80\x80", "\xf8\x88\x80\x80\x80"}) {
        INFO(json_text(text));
        CHECK(failure(decode_target(text, valid_target)) != nullptr);
    }
    // The writer of JSON takes the quote that follows for a part of the character.
    CHECK(failure(decode_target("i1", replace_text(valid_target, "v1", "v\xe6"))) != nullptr);
    CHECK(failure(decode_target("i1", replace_text(valid_target, "v1", "v\xe6\x97\xa5"))) == nullptr);
}

// Guards the incident CONFIG: no configuration came into force after the store had come back from a copy.
TEST_CASE("when the store comes back from an older copy, what an instance knows better stays, also for its "
          "followers, what it wrote is written again, and new records take effect")
{
    std::vector<std::string> lines;
    asio::io_context io;
    returning_store store(io);
    auto& configurations = store.topics["keyed.op"];
    configurations = {{"config", valid_configuration}, {"config", valid_configuration}};
    store.topics["keyed.servers"] = {{"i1", valid_target},
                                     {"i2", replace_text(valid_target, "127.0.0.1:80", "127.0.0.2:80")}};
    settings configured;
    configured.instance = "x";
    configured.data_centre = "a";
    configured.caller_address = configured.readiness_address = "127.0.0.1:0";
    const auto peer = test::fixed_endpoint(77);
    configured.peer_address = peer.address().to_string() + ":" + std::to_string(peer.port());
    configured.store_address = "127.0.0.1:" + std::to_string(store.server.local_endpoint().port());
    // The coroutines of an instance end with the I/O context, so the instance has to outlive it.
    static const instance* const tested =
        std::make_unique<instance>(io.get_executor(), configured, 1, [&](const std::string& line) {
            lines.push_back(line);
        }).release();
    REQUIRE(tested != nullptr);
    const auto logged = [&](const std::string& first, const std::string& second) {
        return std::ranges::count_if(lines, [&](const std::string& line) {
            return line.find(first) != std::string::npos && line.find(second) != std::string::npos;
        });
    };
    const auto wait_until = [&](auto condition) -> asio::awaitable<void> {
        const auto until = boot_clock::now() + milliseconds{5000};
        while (!condition() && boot_clock::now() < until)
            co_await sleep_for(milliseconds{10});
        CHECK(condition());
    };
    test::run(io, [&]() -> asio::awaitable<void> {
        const auto& members = store.topics["keyed.members"];
        co_await wait_until([&] { return logged("target=i2", "address") == 1 && !members.empty(); });
        co_await wait_until([&] { return logged("event=configuration", "version=12") == 1; });
        co_await sleep_for(milliseconds{700});
        ++store.era;
        store.newest_reads = 0;
        configurations = {{"config", replace_text(valid_configuration, "0000000c", "0000000b")}};
        store.topics["keyed.servers"] = {{"i1", valid_target}};
        store.topics["keyed.members"].clear();
        co_await wait_until([&] { return logged("store_era ", "new=2") == 5; });
        CHECK(logged("store_era ", "stream=configuration kept=1 ") == 1);
        CHECK(logged("target_gone", "") == 0);
        co_await wait_until([&] { return logged("target_gone", "target=i2") == 1 && !members.empty(); });
        CHECK(store.newest_reads <= 10);
        http_client client(io.get_executor(), {});
        auto request = make_request(boost::beast::http::verb::post, "/feed", "[null,null,null,null,null]");
        const auto outcome =
            co_await client.exchange(peer, std::move(request), boot_clock::now() + milliseconds{1000});
        REQUIRE(std::holds_alternative<http_response>(outcome));
        CHECK(std::get<http_response>(outcome).body().find("0000000c") != std::string::npos);
        configurations.emplace_back("config", replace_text(valid_configuration, "/b/", "/n/"));
        co_await wait_until([&] { return logged("event=configuration", "version=12") == 2; });
        configurations.emplace_back("config", replace_text(valid_configuration, "0000000c", "0000000d"));
        co_await wait_until([&] { return logged("event=configuration", "version=13") == 1; });
    });
    CHECK(logged("event=configuration", "version=11") == 0);
}
