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
