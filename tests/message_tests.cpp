#include <teaseltally/net/peer_channel.hpp>
#include <teaseltally/net/platform_client.hpp>

#include <doctest/doctest.h>
#include <random>

using namespace teaseltally;

namespace {

const std::vector<peer_message> messages{
    lease_request{
        session_id{1ULL << 63U}, "east/0", epoch{4}, 9, epoch{77}, true, {{target_id{3}, term{2}, true}}},
    lease_reply{session_id{2},
                "east/0",
                epoch{4},
                9,
                epoch{77},
                epoch{70},
                milliseconds{12},
                {{target_id{3}, term{2}, true, session_id{5}, term{6}}}},
    lease_resign{session_id{2}, "east/0", target_id{3}, term{2}, session_id{5}, true},
    release_notice{session_id{2},
                   {{service_id{1}, 7, false, epoch{9}}, {service_id{1}, ~0ULL, true, epoch{10}}}},
    load_report{session_id{2}, target_id{3}, 900, {{1, 400}}, {{~0ULL, 300}}},
    quarantine_notice{session_id{2}, 99, 2}};

} // namespace

// Guards against a field that encoder and decoder treat differently, and against a difference between
// `notification_codec`, which decodes through the JSON-RPC handler, and `decode_notification`.
TEST_CASE("peer messages are unchanged after encoding and decoding with either decoder")
{
    notification_codec codec;
    for (const auto& message : messages) {
        const auto decoded = codec.decode(encode(message));
        REQUIRE(failure(decoded) == nullptr);
        CHECK(std::get<peer_message>(decoded) == message);
        const auto direct = decode_notification(encode(message));
        REQUIRE(failure(direct) == nullptr);
        CHECK(std::get<peer_message>(direct) == message);
    }
}

// Any host can send datagrams to the peer port. Truncated datagrams and datagrams of other programs must give
// an error. Datagrams with an altered byte may decode to another message but must not crash a decoder.
TEST_CASE("truncated and foreign datagrams give an error, and altered datagrams do not crash a decoder")
{
    notification_codec codec;
    std::mt19937_64 random(17);
    for (const auto& message : messages) {
        const std::string text = encode(message);
        for (int round = 0; round < 100; ++round) {
            CHECK(failure(codec.decode(text.substr(0, random() % text.size()))) != nullptr);
            std::string altered = text;
            altered[random() % altered.size()] = static_cast<char>(random());
            (void)codec.decode(altered);
            (void)decode_notification(altered);
        }
    }
    for (const char* foreign :
         {"", "{}", "[]", "null", "{\"jsonrpc\":\"2.0\",\"method\":\"stop\",\"params\":{}}",
          "{\"jsonrpc\":\"2.0\",\"method\":\"lease_request\",\"params\":{\"from\":-1}}",
          "{\"jsonrpc\":\"2.0\",\"method\":\"lease_request\",\"params\":[1]}"})
        CHECK(failure(codec.decode(foreign)) != nullptr);
}

// An instance that accepted the valid part of a malformed page would skip its other records.
TEST_CASE("decoding a malformed page of a stream gives an error and no records")
{
    const auto page = decode_log_page("{\"first\":3,\"next\":6,\"records\":[[4,\"a\"],[5,\"b\"]]}");
    REQUIRE(failure(page) == nullptr);
    CHECK(std::get<log_page>(page).entries.size() == 2);
    for (const char* malformed_page :
         {"", "{}", "{\"first\":3}", "{\"first\":3,\"next\":6,\"records\":[[4]]}",
          "{\"first\":3,\"next\":6,\"records\":[[\"4\",\"a\"]]}", "{\"first\":3,\"next\":6,\"records\":{}}",
          "{\"first\":3,\"next\":6,\"records\":[[4,\"a\"]"}) {
        const auto decoded = decode_log_page(malformed_page);
        REQUIRE(failure(decoded) != nullptr);
        CHECK(failure(decoded)->code == result_code::platform_bad_answer);
    }
}
