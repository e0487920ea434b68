#include <teaseltally/admission/target_rate_limits.hpp>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <numeric>

using namespace teaseltally;

namespace {

const time_point start{std::chrono::hours{1}};
const std::string target = "t@0";
/// Rule LIMIT of the users' platform.
constexpr milliseconds window{4000};
constexpr double tolerated_factor = 1.5;
constexpr double tolerated_requests = 5;

time_point at(int ms)
{
    return start + milliseconds{ms};
}

permit_holder holder_with_limit(double per_s, time_point now)
{
    permit_holder holder;
    holder.on_response(target, {true, per_s}, now, now);
    return holder;
}

/// Uses a permit if the holder has one, or can get one from an issuer that it reaches.
bool use(permit_holder& holder, permit_issuer* issuer, time_point now)
{
    if (!holder.has_permit(target, now) && now >= holder.held_back_until(target)) {
        const auto request = holder.next_request(target, now);
        if (issuer != nullptr)
            holder.on_grant(issuer->grant(request, now), now);
        else
            holder.on_issuer_unreachable(now);
    }
    return holder.use_permit(target, now);
}

} // namespace

TEST_CASE("only decimal numbers of requests per second are rate limits")
{
    CHECK(parse_rate_limit("12.3") == 12.3);
    CHECK(parse_rate_limit("0") == 0.0);
    for (const auto* text : {"", " 4", "4 ", "-1", "nan", "inf", "1e3", "4,5", "0x4", "9999999999", "four"})
        CHECK_MESSAGE(parse_rate_limit(text) == std::nullopt, text);
}

// Guards against the incident LIMIT: instances that share a limit exceeded it together.
TEST_CASE("instances that share a limit keep to it, whichever of them restart or lose the issuer")
{
    rc::check([] {
        const auto instances = *rc::gen::inRange<std::size_t>(1, 60);
        const auto limit_per_s = *rc::gen::inRange(1, 200) / 4.0;
        const auto wants_per_tick = *rc::gen::inRange(1, 12);
        permit_issuer issuer;
        std::vector<permit_holder> holders(instances, holder_with_limit(limit_per_s, start));
        for (auto& holder : holders)
            holder.set_instance_count(static_cast<unsigned>(instances));
        std::vector<time_point> sent;
        time_point issuer_lost_until{};
        constexpr int tick_ms = 20;
        for (int now_ms = 0; now_ms < 12'000; now_ms += tick_ms) {
            const auto now = at(now_ms);
            const auto event = *rc::gen::inRange(0, 400);
            if (event == 0) {
                // Another instance becomes the issuer after a takeover.
                issuer_lost_until = now + milliseconds{2500};
                issuer.restart();
            }
            if (event == 1) {
                auto& restarted = holders[static_cast<std::size_t>(now_ms) % instances];
                restarted = holder_with_limit(limit_per_s, now);
                restarted.set_instance_count(static_cast<unsigned>(instances));
            }
            for (int want = 0; want < wants_per_tick; ++want) {
                auto& holder = holders[*rc::gen::inRange<std::size_t>(0, instances)];
                if (use(holder, now < issuer_lost_until ? nullptr : &issuer, now))
                    sent.push_back(now);
            }
        }
        for (std::size_t first = 0; first < sent.size(); ++first) {
            const auto end = std::ranges::lower_bound(sent, sent[first] + window);
            const auto count = std::distance(sent.begin() + static_cast<std::ptrdiff_t>(first), end);
            RC_ASSERT(static_cast<double>(count) <= tolerated_factor * limit_per_s * 4 + tolerated_requests);
        }
        // Permits are issued as the limit allows them.
        if (issuer_lost_until == time_point{} && wants_per_tick >= 4)
            RC_ASSERT(static_cast<double>(sent.size()) >= limit_per_s * 12 * 0.5);
    });
}

// Guards against permits that no one uses because an instance pauses for others that want none.
TEST_CASE("one or two of many instances that want permits get most of them, each a good part")
{
    constexpr double limit_per_s = 4;
    constexpr int duration_ms = 60'000;
    for (const unsigned instances : {6U, 30U})
        for (const unsigned wanting : {1U, 2U}) {
            CAPTURE(instances);
            CAPTURE(wanting);
            permit_issuer issuer;
            std::vector<permit_holder> holders(wanting, holder_with_limit(limit_per_s, start));
            for (auto& holder : holders)
                holder.set_instance_count(instances);
            std::vector<int> used(wanting);
            // Each wants about five permits a second, at times of its own.
            for (int now_ms = 0; now_ms < duration_ms; ++now_ms)
                for (unsigned index = 0; index < wanting; ++index)
                    if (now_ms % (197 + static_cast<int>(index)) == 0)
                        used[index] += use(holders[index], &issuer, at(now_ms)) ? 1 : 0;
            const auto sum = std::accumulate(used.begin(), used.end(), 0);
            CHECK(sum >= limit_per_s * duration_ms / 1000 * 0.7);
            CHECK(*std::ranges::min_element(used) * 4 >= sum);
        }
}

TEST_CASE("permits that were not used in time do not make a burst")
{
    constexpr double limit_per_s = 4;
    permit_issuer issuer;
    auto holder = holder_with_limit(limit_per_s, start);
    static_cast<void>(use(holder, &issuer, start));
    int burst = 0;
    while (use(holder, &issuer, at(60'000)))
        ++burst;
    CHECK(burst <= limit_per_s * 0.5);
}

// Guards against permits that accrue twice, since the record of those used was removed.
TEST_CASE("an instance without the issuer uses no more than its part of each limit")
{
    constexpr double limit_per_s = 4;
    constexpr int duration_ms = 10'000;
    const std::vector<std::string> targets{"a@0", "b@0", "c@0"};
    permit_holder holder;
    holder.set_instance_count(4);
    for (const auto& name : targets)
        holder.on_response(name, {true, limit_per_s}, start, start);
    std::map<std::string, int> sent;
    for (int now_ms = 0; now_ms < duration_ms; now_ms += 20) {
        const auto now = at(now_ms);
        if (now_ms % 500 == 0)
            holder.remove_expired(now);
        for (const auto& name : targets) {
            if (!holder.has_permit(name, now) && now >= holder.held_back_until(name)) {
                static_cast<void>(holder.next_request(name, now));
                holder.on_issuer_unreachable(now);
            }
            sent[name] += holder.use_permit(name, now) ? 1 : 0;
        }
    }
    for (const auto& [name, count] : sent) {
        CHECK(count > 0);
        CHECK(count <= limit_per_s / 4 * duration_ms / 1000 + 1);
    }
}

// Guards against a limit that holds on at other instances, or is forgotten, since responses overtake each
// other.
TEST_CASE("of two statements about a limit the later one counts, whoever received it")
{
    permit_issuer issuer;
    auto first = holder_with_limit(4, start);
    auto second = holder_with_limit(4, start);
    CHECK_FALSE(first.on_response(target, {}, at(-5), at(50)));
    CHECK(first.is_limited(target));
    // A malformed limit says nothing.
    CHECK_FALSE(first.on_response(target, {true, std::nullopt}, at(60), at(90)));
    CHECK(first.is_limited(target));

    static_cast<void>(use(second, &issuer, at(100)));
    CHECK(issuer.limits().find(target) != nullptr);
    CHECK(first.on_response(target, {}, at(110), at(200)));
    CHECK(first.use_permit(target, at(200)));
    static_cast<void>(issuer.grant(first.report(target), at(200)));
    CHECK(issuer.limits().find(target) == nullptr);
    CHECK(use(second, &issuer, at(1300)));
    CHECK_FALSE(second.is_limited(target));

    CHECK(second.on_response(target, {true, 2}, at(1390), at(1400)));
    static_cast<void>(issuer.grant(second.report(target), at(1400)));
    CHECK(issuer.limits().find(target)->per_s == 2);
}

TEST_CASE("the wait after a refused permit is the time until the next one")
{
    permit_issuer issuer;
    auto holder = holder_with_limit(2, start);
    holder.set_instance_count(1);
    CHECK_FALSE(use(holder, &issuer, start));
    const auto until = holder.held_back_until(target);
    CHECK(until > start);
    CHECK_FALSE(use(holder, &issuer, until - milliseconds{5}));
    CHECK(use(holder, &issuer, until));
}

// Guards against one exchange with the issuer for each target before a request can be refused.
TEST_CASE("permits are granted for the first of several targets that allows any, and no others are used up")
{
    permit_issuer issuer;
    const auto ask = [&](time_point now) {
        std::vector<permit_request> requests;
        for (const auto* incarnation : {"a@0", "b@0", "c@0"})
            requests.push_back({incarnation, {4, start}, 1});
        return issuer.grant_first(requests, now);
    };
    auto answers = ask(at(0));
    REQUIRE(answers.size() == 3);
    for (const auto& answer : answers)
        CHECK(answer.wait > microseconds{0});
    for (const auto* expected : {"a@0", "b@0", "c@0"}) {
        answers = ask(at(300));
        CHECK(answers.back().incarnation == expected);
        CHECK(answers.back().granted == 1);
    }
    answers = ask(at(300));
    CHECK(answers.size() == 3);
    CHECK(answers.back().granted == 0);
}

TEST_CASE("messages about permits are decoded, and malformed ones are rejected")
{
    std::vector<permit_request> requests{{target, {4.5, at(-20)}, 3}};
    std::vector<permit_grant> grants{{target, {std::nullopt, start}, 0, milliseconds{250}}};
    for (const std::size_t count : {1, 3}) {
        requests.resize(count, requests.front());
        grants.resize(count, grants.front());
        const auto decoded = decode_permit_requests(encode(requests, start), start);
        REQUIRE(decoded);
        REQUIRE(decoded->size() == count);
        CHECK(decoded->back().incarnation == target);
        CHECK(decoded->back().known.per_s == 4.5);
        // A statement does not become newer on its way.
        CHECK(decoded->back().known.stated_at <= at(-20));
        CHECK(decoded->back().count == 3);
        const auto answers = decode_permit_grants(encode(grants, start), start);
        REQUIRE(answers);
        REQUIRE(answers->size() == count);
        CHECK(answers->back().known.per_s == std::nullopt);
        CHECK(answers->back().wait == milliseconds{250});
    }
    for (const auto* text : {"", "{}", "[]", R"(["t",[4,0],1])", R"([7,[4,0],1,0])", R"(["t",[-4,0],1,0])",
                             R"(["t",["4",0],1,0])", R"(["t",[4],1,0])", R"(["t",[4,0],-1,0])",
                             R"(["t",[4,0],1,"0"])", R"(["t",[1e9,0],1,0])", R"([[]])",
                             R"([["t",[4,0],1,0],7])", R"([["t",[4,0],1,0],["t",[4,0],1]])"}) {
        CHECK_MESSAGE(!decode_permit_requests(text, start), text);
        CHECK_MESSAGE(!decode_permit_grants(text, start), text);
    }
}
