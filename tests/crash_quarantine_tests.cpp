#include <teaseltally/admission/crash_quarantine.hpp>

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace teaseltally;

namespace {

const time_point start{std::chrono::hours{1}};
constexpr milliseconds lifetime{60'000};
constexpr std::uint64_t lethal = std::uint64_t{7} << 32U;
constexpr std::uint64_t innocent = std::uint64_t{8} << 32U;

time_point at(int ms)
{
    return start + milliseconds{ms};
}

crash_quarantine make_quarantine(const std::string& instance = "x")
{
    return {instance, {3, lifetime}};
}

/// Records that a target ended while it ran requests.
void crash(crash_quarantine& quarantine, const std::string& incarnation,
           const std::vector<std::uint64_t>& fingerprints, time_point now)
{
    for (const auto fingerprint : fingerprints)
        quarantine.on_attempt_lost(incarnation, fingerprint, now);
    CHECK(quarantine.on_target_ended(incarnation, now + milliseconds{10}));
}

void share(crash_quarantine& from, crash_quarantine& to, time_point now)
{
    for (const auto& record : from.extract_changes())
        CHECK(to.apply(record, now));
}

} // namespace

// Guards against the incident BUDGET: a request that crashed three targets was sent on.
TEST_CASE("a request is quarantined once three targets have ended while they ran it")
{
    auto quarantine = make_quarantine();
    for (int target = 0; target < 3; ++target) {
        CHECK(quarantine.quarantine_time(lethal, at(target)).count() == 0);
        const auto incarnation = "t" + std::to_string(target);
        CHECK_FALSE(quarantine.is_reported(incarnation));
        crash(quarantine, incarnation, {lethal}, at(target * 100));
        CHECK(quarantine.is_reported(incarnation));
        CHECK(quarantine.crashes(lethal) == target + 1U);
    }
    CHECK(quarantine.quarantine_time(lethal, at(300)) == lifetime - milliseconds{290});
    CHECK(quarantine.quarantine_time(innocent, at(300)).count() == 0);
}

// Guards against crashes that are forgotten when the store comes back from an older copy.
TEST_CASE("an instance shares the records of its own again that a store lacks, once, and no others")
{
    auto quarantine = make_quarantine("x");
    auto other = make_quarantine("y");
    crash(quarantine, "t", {lethal}, at(0));
    crash(quarantine, "u", {lethal}, at(0));
    crash(other, "t", {lethal}, at(0));
    share(other, quarantine, at(20));
    quarantine.on_trial_claimed({"trial|7", "claimed"}, at(20));
    quarantine.apply({"trial|8", "claimed"}, at(20));
    static_cast<void>(quarantine.extract_changes());
    CHECK(quarantine.share_missing({"u|x"}) == 2);
    std::map<std::string, std::optional<std::string>> shared;
    for (const auto& record : quarantine.extract_changes())
        shared[record.key] = record.value;
    CHECK(shared.size() == 2);
    CHECK(shared["t|x"]);
    CHECK(shared["trial|7"] == "claimed");
    CHECK(quarantine.share_missing({"t|x", "u|x", "trial|7"}) == 0);
    CHECK(quarantine.crashes(lethal) == 2);
}

// Guards against a quarantine of popular requests, of which many run on one target when it ends.
TEST_CASE("a target that ended counts once, however many requests and instances lost it")
{
    auto first = make_quarantine("x");
    auto second = make_quarantine("y");
    crash(first, "t", {innocent, innocent, innocent}, at(0));
    crash(second, "t", {innocent, innocent}, at(0));
    share(first, second, at(20));
    share(second, first, at(20));
    CHECK(first.crashes(innocent) == 1);
    CHECK(second.crashes(innocent) == 1);
}

TEST_CASE("the end of a target on which no attempt was lost is no crash")
{
    auto quarantine = make_quarantine();
    CHECK_FALSE(quarantine.on_target_ended("t", at(0)));
    quarantine.on_attempt_lost("t", innocent, at(0));
    CHECK_FALSE(quarantine.on_target_ended("t", at(10'000)));
    CHECK(quarantine.crashes(innocent) == 0);
}

TEST_CASE("a response to a request sent after a lost attempt shows that the target has not ended")
{
    auto quarantine = make_quarantine();
    quarantine.on_attempt_lost("t", innocent, at(10));
    quarantine.on_target_alive("t", at(5));
    CHECK(quarantine.has_lost_attempts("t"));
    quarantine.on_target_alive("t", at(11));
    CHECK_FALSE(quarantine.has_lost_attempts("t"));
    CHECK_FALSE(quarantine.on_target_ended("t", at(20)));
}

// Guards against a quarantine after a cut that refuses connections: the targets behind it have not ended.
TEST_CASE("a response of a target withdraws all reports of its end, also those of other instances")
{
    auto first = make_quarantine("x");
    auto second = make_quarantine("y");
    crash(first, "t", {innocent}, at(0));
    share(first, second, at(20));
    crash(second, "t", {innocent}, at(30));
    second.on_target_alive("t", at(20));
    CHECK(second.crashes(innocent) == 1);
    second.on_target_alive("t", at(50));
    CHECK(second.crashes(innocent) == 0);
    share(second, first, at(60));
    CHECK(first.crashes(innocent) == 0);
}

// Guards against a quarantine of requests that ran beside a lethal one.
TEST_CASE("a completed request withdraws its fingerprint from all reports and leaves the others")
{
    auto first = make_quarantine("x");
    auto second = make_quarantine("y");
    for (const char* target : {"t1", "t2", "t3"})
        crash(first, target, {innocent, lethal}, at(0));
    share(first, second, at(20));
    CHECK(second.crashes(innocent) == 3);
    second.on_request_completed(innocent);
    CHECK(second.crashes(innocent) == 0);
    CHECK(second.crashes(lethal) == 3);
    share(second, first, at(30));
    CHECK(first.crashes(innocent) == 0);
    CHECK(first.crashes(lethal) == 3);
}

// Guards against trials of lethal requests, each of which would end one more target.
TEST_CASE(
    "a quarantined request has a trial if it completed before or if another one ran beside it each time")
{
    auto alone = make_quarantine();
    auto beside = make_quarantine();
    auto completed = make_quarantine();
    completed.on_request_completed(lethal);
    for (const char* target : {"t1", "t2", "t3"}) {
        CHECK_FALSE(beside.next_trial(lethal, at(0)));
        crash(alone, target, {lethal}, at(0));
        crash(beside, target, {innocent, lethal}, at(0));
        crash(completed, target, {lethal}, at(0));
    }
    crash(alone, "t3", {innocent}, at(50));
    CHECK_FALSE(alone.next_trial(lethal, at(100)));
    CHECK(beside.next_trial(lethal, at(100)));
    CHECK(completed.next_trial(lethal, at(100)));
}

// Guards against a lethal request that returns from other addresses, and against a quarantine of a content
// that is lethal from one caller only.
TEST_CASE("requests with equal content share a fingerprint, and those of one caller another one")
{
    const auto first = crash_fingerprints_of("10.0.0.1", {"h", "GET", "/x", "7", ""});
    const auto second = crash_fingerprints_of("10.0.0.2", {"h", "GET", "/x", "7", ""});
    CHECK(first.content == second.content);
    CHECK(first.caller != second.caller);
    CHECK(first.caller != first.content);
    for (const auto& other : {crash_fingerprints_of("10.0.0.1", {"h", "GET", "/y", "7", ""}),
                              crash_fingerprints_of("10.0.0.1", {"h", "GET", "/x", "8", ""}),
                              crash_fingerprints_of("10.0.0.1", {"h", "GET", "/x", "7", "b"})})
        CHECK(other.content != first.content);
    auto quarantine = make_quarantine();
    for (const char* target : {"t1", "t2", "t3"})
        crash(quarantine, target, {first.content, first.caller}, at(0));
    // The two fingerprints of one request are no suspects beside each other.
    CHECK_FALSE(quarantine.next_trial(first.content, at(100)));
    CHECK_FALSE(quarantine.next_trial(first.caller, at(100)));
    quarantine.on_request_completed(second.content);
    quarantine.on_request_completed(second.caller);
    CHECK(quarantine.crashes(first.content) == 0);
    CHECK(quarantine.crashes(first.caller) == 3);
}

// Guards against equal requests that end each target together, and against a quarantine of popular requests.
TEST_CASE("a target counts once for each caller of a content that has never completed, and once otherwise")
{
    for (const bool completed : {false, true}) {
        CAPTURE(completed);
        auto first = make_quarantine("x");
        auto second = make_quarantine("y");
        if (completed)
            second.on_request_completed(lethal);
        crash(first, "t", {lethal, lethal + 1}, at(0));
        crash(second, "t", {lethal, lethal + 3, lethal + 5, lethal + 7}, at(0));
        share(first, second, at(20));
        share(second, first, at(20));
        for (const auto* instance : {&first, &second}) {
            CHECK(instance->crashes(lethal) == (completed ? 1 : 3));
            CHECK(instance->crashes(lethal + 3) == 1);
            CHECK(instance->next_trial(lethal, at(5000)).has_value() == !completed);
        }
        first.on_request_completed(lethal);
        share(first, second, at(30));
        CHECK(second.crashes(lethal) == 0);
    }
}

// Guards against the only trial of a content going to the caller whose requests crash targets.
TEST_CASE("the trial of a content is kept for a time for callers whose requests with it completed")
{
    auto quarantine = make_quarantine();
    const auto good = crash_fingerprints_of("10.0.0.1", {"content"});
    const auto bad = crash_fingerprints_of("10.0.0.2", {"content"});
    CHECK_FALSE(quarantine.is_trial_reserved(bad, at(0)));
    quarantine.on_request_completed(good.content);
    quarantine.on_request_completed(good.caller);
    for (const auto* target : {"a", "b", "c"})
        crash(quarantine, target, {good.content, good.caller, bad.caller}, at(100));
    REQUIRE(quarantine.next_trial(good.content, at(200)));
    CHECK(quarantine.is_trial_reserved(bad, at(200)));
    CHECK_FALSE(quarantine.is_trial_reserved(good, at(200)));
    CHECK(quarantine.is_trial_reserved(bad, at(10'000)));
    CHECK_FALSE(quarantine.is_trial_reserved(bad, at(10'200)));
}

// Guards against a content that is refused to all because the request that crashes targets got its trial.
TEST_CASE("a content of several callers has a second trial, for those who crashed none since the first")
{
    auto quarantine = make_quarantine();
    const auto good = crash_fingerprints_of("10.0.0.1", {"content"});
    const auto bad = crash_fingerprints_of("10.0.0.2", {"content"});
    for (const auto* target : {"a", "b"})
        crash(quarantine, target, {good.content, good.caller, bad.caller}, at(0));
    const auto first = quarantine.next_trial(good.content, at(100));
    REQUIRE(first);
    CHECK_FALSE(quarantine.is_trial_reserved(bad, at(100)));
    CHECK(quarantine.apply(*first, at(100)));
    crash(quarantine, "c", {bad.content, bad.caller}, at(200));
    CHECK_FALSE(quarantine.next_trial(good.content, at(300)));
    const auto second = quarantine.next_trial(good.content, at(5000));
    REQUIRE(second);
    CHECK(quarantine.is_trial_reserved(bad, at(5000)));
    CHECK_FALSE(quarantine.is_trial_reserved(good, at(5000)));
    CHECK(quarantine.apply(*second, at(5000)));
    CHECK_FALSE(quarantine.next_trial(good.content, at(20'000)));
    quarantine.on_request_completed(good.content);
    CHECK(quarantine.crashes(good.content) == 0);
    CHECK(quarantine.extract_changes().size() >= 2);
}

TEST_CASE("a quarantined request has one trial, and none beside another trial on any instance")
{
    auto first = make_quarantine("x");
    auto second = make_quarantine("y");
    for (const char* target : {"t1", "t2", "t3"})
        crash(first, target, {innocent, lethal}, at(0));
    share(first, second, at(10));
    const auto claim = first.next_trial(innocent, at(20));
    REQUIRE(claim);
    for (auto* instance : {&first, &second}) {
        CHECK(instance->apply(*claim, at(20)));
        CHECK_FALSE(instance->next_trial(innocent, at(5000)));
        CHECK_FALSE(instance->next_trial(lethal, at(1000)));
        CHECK(instance->next_trial(lethal, at(5000)));
    }
    first.on_request_completed(innocent);
    CHECK(first.crashes(innocent) == 0);
    share(first, second, at(6000));
    CHECK(second.crashes(innocent) == 0);
    CHECK_FALSE(second.next_trial(lethal, at(6000)));
    for (const char* target : {"t4", "t5", "t6"})
        crash(second, target, {innocent, lethal}, at(7000));
    CHECK(second.next_trial(innocent, at(7100)));
}

TEST_CASE("records that could not be shared are extracted again with their current values")
{
    auto first = make_quarantine("x");
    auto second = make_quarantine("y");
    crash(first, "t1", {lethal}, at(0));
    const auto records = first.extract_changes();
    REQUIRE(records.size() == 1);
    CHECK(first.extract_changes().empty());
    crash(first, "t1", {innocent}, at(100));
    first.restore_changes(records);
    share(first, second, at(200));
    CHECK(second.crashes(lethal) == 1);
    CHECK(second.crashes(innocent) == 1);
}

TEST_CASE("a snapshot removes the reports that it lacks, but no change that was not shared yet")
{
    auto first = make_quarantine("x");
    auto second = make_quarantine("y");
    crash(first, "t1", {lethal}, at(0));
    share(first, second, at(10));
    crash(second, "t2", {lethal}, at(20));
    second.retain({}, at(30));
    CHECK(second.crashes(lethal) == 1);
    CHECK(second.extract_changes().size() == 1);
}

// Guards against a trial that is withdrawn because a second snapshot of a new era came before it was shared
// again.
TEST_CASE("a snapshot removes no trial that is to be shared again")
{
    auto quarantine = make_quarantine();
    quarantine.on_trial_claimed({"trial|7", "claimed"}, at(0));
    CHECK(quarantine.share_missing({}) == 1);
    quarantine.retain({}, at(10));
    const auto changes = quarantine.extract_changes();
    REQUIRE(changes.size() == 1);
    CHECK(changes[0].value == "claimed");
}

TEST_CASE("reports are forgotten after their lifetime, and the removal is shared if requested")
{
    for (const bool withdraw : {false, true}) {
        auto quarantine = make_quarantine();
        crash(quarantine, "t1", {lethal}, at(0));
        static_cast<void>(quarantine.extract_changes());
        quarantine.remove_expired(at(0) + lifetime, withdraw);
        CHECK(quarantine.crashes(lethal) == 1);
        quarantine.remove_expired(at(20) + lifetime, withdraw);
        CHECK(quarantine.crashes(lethal) == 0);
        CHECK(quarantine.extract_changes().size() == (withdraw ? 1 : 0));
    }
}

TEST_CASE("a malformed record is rejected and changes nothing")
{
    auto quarantine = make_quarantine();
    crash(quarantine, "t1", {lethal}, at(0));
    static_cast<void>(quarantine.extract_changes());
    for (const char* value : {"", "{}", "7", "[-1]", "[\"7\"]", "[1"}) {
        CAPTURE(std::string{value});
        CHECK_FALSE(quarantine.apply({"t1|x", value}, at(10)));
        CHECK_FALSE(quarantine.apply({"t2|y", value}, at(10)));
    }
    CHECK(quarantine.crashes(lethal) == 1);
    for (const char* text : {"", "{}", "[1]", "[[1,2]]", "[[\"a\"]]", "[[\"a\",1]]"}) {
        CAPTURE(std::string{text});
        CHECK_FALSE(decode_crash_records(text));
    }
}

TEST_CASE("records are the same after encoding and decoding")
{
    const std::vector<crash_record> records{{"t1@0|x", "[7,18446744073709551615]"}, {"t2@5|y", std::nullopt}};
    const auto decoded = decode_crash_records(encode_crash_records(records));
    REQUIRE(decoded);
    REQUIRE(decoded->size() == records.size());
    for (std::size_t index = 0; index < records.size(); ++index) {
        CHECK((*decoded)[index].key == records[index].key);
        CHECK((*decoded)[index].value == records[index].value);
    }
}

TEST_CASE("at most 1024 reports are kept, and the oldest is dropped first")
{
    auto quarantine = make_quarantine();
    for (int target = 0; target < 1100; ++target)
        crash(quarantine, "t" + std::to_string(target), {static_cast<std::uint64_t>(target)}, at(target));
    CHECK(quarantine.crashes(75) == 0);
    CHECK(quarantine.crashes(76) == 1);
    CHECK(quarantine.crashes(1099) == 1);
}

// Guards against instances that disagree for good after records arrived in different orders.
TEST_CASE("instances that share all changes agree, whatever each observed")
{
    CHECK(rc::check([](const std::vector<std::tuple<std::uint8_t, std::uint8_t, std::uint8_t>>& steps) {
        std::vector<crash_quarantine> instances;
        for (const char* name : {"x", "y", "z"})
            instances.push_back(make_quarantine(name));
        int now = 0;
        for (const auto& [who, what, which] : steps) {
            auto& instance = instances[who % instances.size()];
            const auto incarnation = "t" + std::to_string(which % 4);
            const std::uint64_t fingerprint = which / 4 % 4;
            now += 10;
            switch (what % 4) {
            case 0:
            case 1:
                instance.on_attempt_lost(incarnation, fingerprint, at(now));
                instance.on_target_ended(incarnation, at(now + 1));
                break;
            case 2:
                instance.on_target_alive(incarnation, at(now));
                break;
            default:
                instance.on_request_completed(fingerprint);
                break;
            }
            for (const auto& record : instance.extract_changes())
                for (auto& other : instances)
                    RC_ASSERT(other.apply(record, at(now + 2)));
        }
        for (std::uint64_t fingerprint = 0; fingerprint < 4; ++fingerprint)
            for (const auto& instance : instances)
                RC_ASSERT(instance.crashes(fingerprint) == instances.front().crashes(fingerprint));
    }));
}
