#include "../platform/permit_requester.hpp"

#include "support/run.hpp"

#include <teaseltally/admission/crash_quarantine.hpp>
#include <teaseltally/json.hpp>
#include <teaseltally/knowledge/traffic_report.hpp>
#include <teaseltally/net/peer_feed.hpp>

#include <algorithm>
#include <doctest/doctest.h>

/// @file
/// Messages and records exchanged with instances of an earlier version, as they are while machines are
/// replaced one after the other. Texts of the earlier version (fc1dea1) are written out.

using namespace teaseltally;
using namespace teaseltally::platform;
using namespace teaseltally::test;

namespace {

const time_point start{std::chrono::hours{1}};

/// Coordinator of the earlier version: it reads requests for one target only and answers others with 400.
struct earlier_coordinator {
    explicit earlier_coordinator(asio::io_context& io)
        : server(io.get_executor(), any_port, {},
                 [this](http_request request) { return answer(request.body()); })
    {
    }
    asio::awaitable<http_response> answer(std::string body)
    {
        ++requests;
        if (!coordinates)
            co_return make_response(409, "this instance does not coordinate\n");
        const auto parsed = parse_json(body, "permits");
        const auto* row = std::get_if<Json::Value>(&parsed);
        if (row == nullptr || !row->isArray() || row->size() != 4 || !(*row)[0].isString())
            co_return make_response(400, "the request for permits is malformed\n");
        co_return make_response(200, "[\"" + (*row)[0].asString() + "\",[4.0,1000],1,0]", "application/json");
    }
    [[nodiscard]] coordinator_claim claim(std::uint64_t session) const
    {
        return {"a-1", session, "127.0.0.1:" + std::to_string(server.local_endpoint().port())};
    }

    unsigned requests = 0;
    bool coordinates = true;
    http_server server;
};

/// Returns whether a message has every member of one of the earlier version, with the same value.
bool extends(const std::string& message, const std::string& earlier)
{
    const auto now = std::get<Json::Value>(parse_json(message, "message"));
    const auto before = std::get<Json::Value>(parse_json(earlier, "earlier message"));
    const auto members = before.getMemberNames();
    return std::ranges::all_of(members, [&](const auto& name) { return now[name] == before[name]; });
}

} // namespace

// Guards against instances that count a coordinator of the earlier version as unreachable while several
// targets limit their requests.
TEST_CASE("a coordinator of the earlier version issues permits for the preferred one of several targets")
{
    asio::io_context io(1);
    earlier_coordinator coordinator(io);
    http_client client(io.get_executor(), {});
    permit_requester requester(client);
    const auto request = [&](std::uint64_t session) {
        std::optional<std::vector<permit_grant>> answers;
        run(io, [&]() -> asio::awaitable<void> {
            const auto now = boot_clock::now();
            std::vector<permit_request> requests{{"t@0", {4, now}, 1}, {"u@0", {4, now}, 1}};
            answers = co_await requester.request(coordinator.claim(session), std::move(requests));
        });
        return answers;
    };
    constexpr unsigned repetitions = 10;
    unsigned answered = 0;
    for (unsigned repetition = 0; repetition < repetitions; ++repetition) {
        const auto answers = request(7);
        answered += answers && answers->size() == 1 && answers->front().incarnation == "t@0" &&
                            answers->front().granted == 1
                        ? 1
                        : 0;
    }
    CHECK(answered == repetitions);
    // Only the first request is sent twice.
    CHECK(coordinator.requests == repetitions + 1);
    // The next process at the address may be of this version.
    static_cast<void>(request(9));
    CHECK(coordinator.requests == repetitions + 3);
}

// Guards against permits that a coordinator of the earlier version and its successor both issue.
TEST_CASE("a successor of a coordinator of the earlier version lets it issue the permits until it has ended")
{
    asio::io_context io(1);
    earlier_coordinator coordinator(io);
    http_client client(io.get_executor(), {});
    permit_requester requester(client);
    earlier_issuer issuer(requester, 5);
    const auto taken_over_at = boot_clock::now();
    const auto is_answered = [&] {
        bool answered = false;
        run(io, [&]() -> asio::awaitable<void> {
            std::vector<permit_request> requests{{"t@0", {4, taken_over_at}, 1}};
            answered = (co_await issuer.request(std::move(requests))).has_value();
        });
        return answered;
    };
    auto of_this_version = coordinator.claim(7);
    of_this_version.era = 2;
    issuer.record_claim(coordinator.claim(5), taken_over_at);
    CHECK(!issuer.may_issue(taken_over_at));
    issuer.record_claim(coordinator.claim(6), taken_over_at);
    // As long as the authority of one that does not answer may last.
    CHECK(issuer.may_issue(taken_over_at + milliseconds{10'400}));
    CHECK(!issuer.may_issue(taken_over_at + milliseconds{10'500}));
    CHECK(is_answered());
    CHECK(issuer.may_issue(boot_clock::now()));
    coordinator.coordinates = false;
    CHECK(!is_answered());
    CHECK(!issuer.may_issue(boot_clock::now()));
    issuer.record_claim(coordinator.claim(6), taken_over_at);
    issuer.record_claim(of_this_version, taken_over_at);
    CHECK(!issuer.may_issue(taken_over_at));
}

TEST_CASE("requests for permits of the earlier version are read and answered in its form")
{
    const auto requests = decode_permit_requests(R"(["t@0",[4.0,20000],3,0])", start);
    REQUIRE(requests);
    REQUIRE(requests->size() == 1);
    CHECK(requests->front().incarnation == "t@0");
    CHECK(requests->front().count == 3);
    CHECK(encode(*requests, start - milliseconds{10}) == R"(["t@0",[4.0,20000],3,0])");
    permit_issuer issuer;
    const auto answers = issuer.grant_first(*requests, start);
    CHECK(encode(answers, start - milliseconds{10}).starts_with(R"(["t@0",[4.0,20000],0,)"));
}

// Guards against records and messages that one of two versions would reject or misread.
TEST_CASE("records and messages of the earlier version are read, and those of this version only add members")
{
    const std::string member = R"({"address":"127.0.0.1:3","capacity":1000,"data_centre":"a"})";
    const auto registered = decode_member("a-1", member);
    REQUIRE(registered);
    CHECK(registered->capacity == 1000);
    CHECK(extends(encode(*registered), member));

    const std::string claim =
        R"({"address":"127.0.0.1:3","elapsed":5,"instance":"a-1","resigned":true,"session":7})";
    const auto claimed = std::get<coordinator_claim>(decode_claim(claim));
    CHECK(claimed.log_time == milliseconds{5});
    CHECK(claimed.resigned);
    CHECK(extends(encode(claimed), claim));

    const std::string owned =
        R"({"ranges":[[0,9,4,0,1,250]],"targets":[["t",3,"127.0.0.1:4"],["u",0,"127.0.0.1:5"]]})";
    const auto assigned = std::get<assignment>(decode_assignment(owned));
    REQUIRE(assigned.ranges().size() == 1);
    CHECK(assigned.ranges().front().fence == 4);
    CHECK(assigned.ranges().front().former_owners.front().reassigned_at == milliseconds{250});
    CHECK(extends(encode(assigned), owned));

    const std::string report =
        R"({"coordinator":7,"instance":"a-1","instances":3,"load":{"s":[5,2]},"speed":{"t":[4,1,3,1200]}})";
    const auto reported = decode_report(report);
    REQUIRE(reported);
    CHECK(reported->traffic.requests.at("s").at(5) == 2);
    CHECK(reported->traffic.leaving.empty());
    CHECK(extends(encode(*reported), report));
    const auto answer = decode_report_answer(R"({"instances":3})");
    REQUIRE(answer);
    CHECK(answer->instance_count == 3U);
    CHECK(extends(encode(*answer), R"({"instances":3})"));

    const std::string crashes =
        R"([["t@0|a-1","[8589934592,8589934594]"],["trial|8589934592","claimed"],["u@0|a-1",null]])";
    const auto crashed = decode_crash_records(crashes);
    REQUIRE(crashed);
    CHECK(encode_crash_records(*crashed) == crashes);
    crash_quarantine quarantine("a-2", {});
    for (const auto& record : *crashed)
        CHECK(quarantine.apply(record, start));
    CHECK(quarantine.crashes(8'589'934'592) == 1);
}

// Guards against members of this version in the place of earlier ones, or in rows whose size is checked.
TEST_CASE("records and messages with all that this version adds keep what the earlier version reads")
{
    const std::string claim =
        R"({"address":"127.0.0.1:3","elapsed":5,"instance":"a-1","resigned":true,"session":7})";
    auto claimed = std::get<coordinator_claim>(decode_claim(claim));
    CHECK_FALSE(claimed.era);
    CHECK_FALSE(claimed.fence_origin);
    CHECK_FALSE(claimed.began);
    CHECK_FALSE(claimed.unsettled);
    claimed.era = 2;
    claimed.fence_origin = 1;
    claimed.unsettled = true;
    claimed.began = milliseconds{3};
    CHECK(extends(encode(claimed), claim));

    const std::string owned =
        R"({"ranges":[[0,9,4,0,1,250]],"targets":[["t",3,"127.0.0.1:4"],["u",0,"127.0.0.1:5"]]})";
    auto assigned = std::get<assignment>(decode_assignment(owned));
    CHECK_FALSE(assigned.ranges().front().former_owners.front().grants_left);
    assigned.set_grants_left(4, milliseconds{250},
                             [](key_range, const target_incarnation&) { return milliseconds{6000}; });
    const auto encoded = encode(assigned, 2);
    CHECK(encoded.find("grants_left") != std::string::npos);
    CHECK(extends(encoded, owned));

    const std::string report =
        R"({"coordinator":7,"instance":"a-1","instances":3,"load":{"s":[5,2]},"speed":{"t":[4,1,3,1200]}})";
    auto reported = *decode_report(report);
    reported.traffic.leaving.insert("t@3");
    CHECK(encode(reported).find("leaving") != std::string::npos);
    CHECK(extends(encode(reported), report));
    CHECK(extends(encode(report_answer{3, {"t@3"}}), R"({"instances":3})"));
}

// Guards against updates that instances of the earlier version reject, or targets that they use too soon.
TEST_CASE("an update has the earlier form and leaves out what the earlier version cannot hold back")
{
    asio::io_context io(1);
    http_client client(io.get_executor(), {});
    peer_feed::streams known;
    for (auto& stream : known) {
        stream.apply_snapshot({{"k", "v", {2, 3}}, {"l", "w", {2, 4}, true}}, {2, 5});
        stream.mark_caught_up(boot_clock::now(), {2, 5});
    }
    peer_feed feed(io.get_executor(), client, {"a-1", "a", ""}, known,
                   [](stream_kind, const stream_delta&) {});
    const auto first_update = [&] {
        std::optional<http_response> response;
        run(io, [&]() -> asio::awaitable<void> {
            response = co_await feed.handle_request(
                make_request(boost::beast::http::verb::post, "/feed", "[null,null,null,null,null]"));
        });
        REQUIRE(response->result_int() == 200);
        const auto updates = std::get<Json::Value>(parse_json(response->body(), "answer"));
        CHECK(updates.size() == stream_kind_count);
        return json_text(updates[0]);
    };
    CHECK(extends(first_update(), R"({"next":5,"records":[[3,"k","v"]],"snapshot":true})"));
    for (auto& stream : known)
        stream.confirm("l");
    CHECK(extends(first_update(), R"({"next":5,"records":[[3,"k","v"],[4,"l","w"]],"snapshot":true})"));
}

// Guards against a second trial that the earlier version would take for one of the same content.
TEST_CASE("the second trial of a content is a record in the earlier form, of another content")
{
    constexpr std::uint64_t content = 8'589'934'592;
    const std::string records = R"([["trial|8589934594","claimed"]])";
    const auto read = decode_crash_records(records);
    REQUIRE(read);
    CHECK(encode_crash_records(*read) == records);
    crash_quarantine quarantine("a-2", {});
    CHECK(quarantine.apply(read->front(), start));
    CHECK(quarantine.crashes(content) == 0);
    // An instance of the earlier version writes and removes the first one only.
    CHECK(quarantine.apply({"trial|8589934592", "claimed"}, start));
    CHECK(quarantine.apply({"trial|8589934592", std::nullopt}, start));
}

// Guards against callers that wait for an issuer that has none to ask.
TEST_CASE("a coordinator that cannot ask the earlier one is taken as one that does not answer")
{
    asio::io_context io(1);
    for (const unsigned status : {400U, 409U, 503U}) {
        http_server server(
            io.get_executor(), any_port, {},
            [&](http_request) -> asio::awaitable<http_response> { co_return make_response(status, ""); });
        http_client client(io.get_executor(), {});
        permit_requester requester(client);
        bool answered = true;
        run(io, [&]() -> asio::awaitable<void> {
            std::vector<permit_request> requests{{"t@0", {4, boot_clock::now()}, 1}};
            coordinator_claim issuer{"a-1", 7, "127.0.0.1:" + std::to_string(server.local_endpoint().port())};
            answered = (co_await requester.request(std::move(issuer), std::move(requests))).has_value();
        });
        CHECK_FALSE(answered);
    }
}
