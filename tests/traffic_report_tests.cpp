#include <teaseltally/knowledge/traffic_report.hpp>

#include <doctest/doctest.h>
#include <random>

using namespace teaseltally;

namespace {

const time_point start{std::chrono::hours{1}};

instance_report sample_report()
{
    instance_report report;
    report.instance = "a-1";
    report.instance_count = 3;
    report.coordinator = 77;
    report.traffic.requests["ledger"] = {{5, 2}, {900, 1}};
    report.traffic.speeds["t-1"] = {4, 1, 3, microseconds{1200}};
    return report;
}

} // namespace

TEST_CASE("a report is unchanged after encoding and decoding")
{
    const auto sent = sample_report();
    const auto read = decode_report(encode(sent));
    REQUIRE(read);
    CHECK(read->instance == sent.instance);
    CHECK(read->instance_count == 3);
    CHECK(read->coordinator == 77);
    CHECK(read->traffic.requests == sent.traffic.requests);
    CHECK(read->traffic.speeds.at("t-1").unqueued_total == microseconds{1200});
    CHECK(read->traffic.speeds.at("t-1").answers == 4);
}

TEST_CASE("malformed reports are rejected, and a report with a changed byte never has an instance count of 0")
{
    for (const char* text : {"", "[]", "{}", R"({"instance":1,"instances":1,"load":{},"speed":{}})",
                             R"({"instance":"a","instances":0,"load":{},"speed":{}})",
                             R"({"instance":"a","instances":100001,"load":{},"speed":{}})",
                             R"({"instance":"a","instances":1,"load":{"s":[1]},"speed":{}})",
                             R"({"instance":"a","instances":1,"load":{"s":[65536,1]},"speed":{}})",
                             R"({"instance":"a","instances":1,"load":{"s":7},"speed":{}})",
                             R"({"instance":"a","instances":1,"load":{},"speed":{"t":[1,2,3]}})",
                             R"({"instance":"a","instances":1,"load":{},"speed":{"t":[1,2,-3,4]}})"}) {
        CAPTURE(std::string{text});
        CHECK(!decode_report(text));
    }
    std::mt19937 random(11);
    const auto text = encode(sample_report());
    for (int round = 0; round < 2000; ++round) {
        auto broken = text;
        broken[random() % broken.size()] = static_cast<char>(random());
        if (const auto read = decode_report(broken))
            CHECK(read->instance_count >= 1);
    }
}

TEST_CASE("an aggregator sums the traffic and the instance counts of reports")
{
    report_aggregator aggregator;
    CHECK(aggregator.instance_count(start) == 1);
    aggregator.add(sample_report(), start);
    aggregator.add(sample_report(), start);
    auto other = sample_report();
    other.instance = "a-2";
    other.instance_count = 1;
    aggregator.add(other, start + std::chrono::seconds{1});
    CHECK(aggregator.instance_count(start + std::chrono::seconds{2}) == 5);
    const auto sum = aggregator.extract_traffic();
    CHECK(sum.requests.at("ledger").at(5) == 6);
    CHECK(sum.speeds.at("t-1").unqueued == 9);
    CHECK(aggregator.extract_traffic().requests.empty());
    // Instances that have not reported within 15 s no longer count.
    CHECK(aggregator.instance_count(start + milliseconds{15'500}) == 2);
}

// Guards against instances that are not told that a target is leaving.
TEST_CASE("leaving targets are carried by reports and their answers, and malformed ones are rejected")
{
    auto report = sample_report();
    report.traffic.leaving = {"t@1", "u@0"};
    const auto read = decode_report(encode(report));
    REQUIRE(read);
    CHECK(read->traffic.leaving == report.traffic.leaving);
    traffic_report sum;
    sum.leaving = {"v@0"};
    sum.merge(read->traffic);
    CHECK(sum.leaving.size() == 3);
    const auto answer = decode_report_answer(encode(report_answer{7, {"t@1"}}));
    REQUIRE(answer);
    CHECK(answer->instance_count == 7U);
    CHECK(answer->leaving.contains("t@1"));
    // Earlier versions answer without leaving targets.
    CHECK(decode_report_answer("{}"));
    for (const auto* text : {"", "[]", R"({"instances":-1})", R"({"instances":"3"})", R"({"leaving":"t"})",
                             R"({"leaving":[1]})"})
        CHECK_FALSE(decode_report_answer(text));
}
