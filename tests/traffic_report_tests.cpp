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
    report.instances = 3;
    report.coordinator = 77;
    report.traffic.requests["ledger"] = {{5, 2}, {900, 1}};
    report.traffic.speeds["t-1"] = {4, 1, 3, microseconds{1200}};
    return report;
}

} // namespace

TEST_CASE("a report survives its message")
{
    const auto sent = sample_report();
    const auto read = decode_report(encode(sent));
    REQUIRE(read);
    CHECK(read->instance == sent.instance);
    CHECK(read->instances == 3);
    CHECK(read->coordinator == 77);
    CHECK(read->traffic.requests == sent.traffic.requests);
    CHECK(read->traffic.speeds.at("t-1").unqueued_total == microseconds{1200});
    CHECK(read->traffic.speeds.at("t-1").answers == 4);
}

TEST_CASE("reports that are malformed are refused whole")
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
            CHECK(read->instances >= 1);
    }
}

TEST_CASE("reports are summed on the way, and so is the number of instances")
{
    report_collector collector;
    CHECK(collector.instances(start) == 1);
    collector.take(sample_report(), start);
    collector.take(sample_report(), start);
    auto other = sample_report();
    other.instance = "a-2";
    other.instances = 1;
    collector.take(other, start + std::chrono::seconds{1});
    CHECK(collector.instances(start + std::chrono::seconds{2}) == 5);
    const auto sum = collector.take_traffic();
    CHECK(sum.requests.at("ledger").at(5) == 6);
    CHECK(sum.speeds.at("t-1").unqueued == 9);
    CHECK(collector.take_traffic().requests.empty());
    // Instances that fell silent do not count for ever.
    CHECK(collector.instances(start + milliseconds{15'500}) == 2);
}
