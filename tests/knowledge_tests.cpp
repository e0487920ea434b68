#include <teaseltally/admission/owner_queue.hpp>
#include <teaseltally/admission/retry_token_bucket.hpp>
#include <teaseltally/admission/target_load.hpp>
#include <teaseltally/knowledge/record_stream.hpp>
#include <teaseltally/knowledge/registration_expiry_tracker.hpp>
#include <teaseltally/knowledge/target_directory.hpp>
#include <teaseltally/knowledge/text_difference.hpp>
#include <teaseltally/routing/route_table.hpp>

#include <doctest/doctest.h>
#include <numeric>
#include <rapidcheck.h>

using namespace teaseltally;

namespace {

const time_point start{std::chrono::hours{1}};

route_table make_table()
{
    routing_configuration configured;
    configured.version = 4;
    for (const char* prefix : {"/", "/a/", "/a/b/"}) {
        route added;
        added.name = prefix;
        added.host = "One.example";
        added.prefix = prefix;
        configured.routes.push_back(added);
    }
    return route_table(std::move(configured));
}

} // namespace

TEST_CASE("the route of the host with the longest matching path prefix is selected")
{
    const auto table = make_table();
    REQUIRE(table.find("one.example:80", "/a/b/c") != nullptr);
    CHECK(table.find("one.example:80", "/a/b/c")->prefix == "/a/b/");
    CHECK(table.find("ONE.EXAMPLE", "/a/bc")->prefix == "/a/");
    CHECK(table.find("one.example", "/z")->prefix == "/");
    CHECK(table.find("two.example", "/a/") == nullptr);
    CHECK(table.find("one.example", "") == nullptr);
}

TEST_CASE("a retry token bucket grants at most its capacity plus the ratio times the requests")
{
    CHECK(rc::check([](const std::vector<bool>& steps) {
        retry_token_bucket bucket(0.2, 5);
        double requests = 0;
        double granted = 0;
        for (const bool request : steps) {
            if (request) {
                bucket.deposit();
                ++requests;
            }
            else if (bucket.try_withdraw())
                ++granted;
            RC_ASSERT(granted <= 5 + requests * 0.2 + 1e-9);
        }
    }));
}

TEST_CASE("malformed load reports are rejected")
{
    CHECK(parse_reported_load("3,0,8") == reported_load{3, 0, 8});
    CHECK(parse_reported_load("3,0,8,100") == reported_load{3, 0, 8});
    CHECK(parse_reported_load("3,0,8,320") == reported_load{3, 0, 8, 320});
    for (const char* bad : {"", "3", "3,0", "3,0,", "3,0,8,", "-1,0,8", "3,0,0", "a,b,c", "3, 0,8", "3,0,8,0",
                            "3,0,8,x", "3,0,8,-1", "3,0,8,1.5", "3,0,8,100,", "3,0,8,100,1"})
        CHECK(!parse_reported_load(bad));
}

// Guards against requests to a machine that is three times slower for a moment, whose targets looked idle,
// and against its answers making the target look slow after that moment.
TEST_CASE("the reported duration of work counts for a moment, and not in the service time")
{
    target_load load(2, milliseconds{110});
    target_load other(2, milliseconds{110});
    time_point now{std::chrono::hours{1}};
    const auto answer = [&](target_load& answering, milliseconds latency, unsigned percent) {
        answering.on_request_sent(now);
        now += latency;
        answering.on_load_report(now, {0, 0, 2, percent});
        answering.on_request_ended();
        return answering.on_response(now, latency, 1);
    };
    for (int request = 0; request < 40; ++request) {
        answer(load, milliseconds{110}, 100);
        answer(other, milliseconds{110}, 100);
    }
    const auto slow = answer(load, milliseconds{330}, 300);
    CHECK(slow < milliseconds{140});
    CHECK(load.service_time() < milliseconds{120});
    CHECK(load.expected_latency(now) > 2 * other.expected_latency(now));
    CHECK(load.expected_latency(now + milliseconds{500}) < milliseconds{125});
    // What a machine always reports is usual there.
    for (int request = 0; request < 200; ++request)
        answer(load, milliseconds{330}, 300);
    CHECK(load.service_time() > milliseconds{300});
    CHECK(load.expected_latency(now) < milliseconds{360});
}

// Guards against instances that each fill the owner of a hot key with requests before the first response says
// how many the others have sent: hundreds arrived at a target that takes 30, and those that it never answered
// were waited for until their deadlines.
TEST_CASE("instances that know nothing of each other send the owner of a hot key about as much as it takes")
{
    constexpr unsigned slots = 6;
    for (const unsigned instances : {4U, 12U, 64U}) {
        CAPTURE(instances);
        unsigned sent = 0;
        for (unsigned instance = 0; instance < instances; ++instance) {
            target_load load(slots, milliseconds{390});
            const time_point now{std::chrono::hours{1}};
            for (int request = 0; request < 20 && load.has_room_in_share(now, instances); ++request, ++sent)
                load.on_request_sent(now);
        }
        CHECK(sent >= 2 * slots);
        CHECK(sent <= std::max(6 * slots, instances));
    }
}

TEST_CASE("the queue that an owner reports counts for as long as its execution takes")
{
    target_load load(4, milliseconds{400});
    time_point now{std::chrono::hours{1}};
    load.on_request_sent(now);
    load.on_load_report(now, {4, 20, 4});
    load.on_request_ended();
    CHECK_FALSE(load.has_room_in_share(now + milliseconds{1000}, 1));
    CHECK(load.has_room_in_share(now + milliseconds{4000}, 1));
}

TEST_CASE("an owner that refuses a request without a report counts as full for a moment")
{
    target_load load(4, milliseconds{100});
    const time_point now{std::chrono::hours{1}};
    load.on_refusal(now, true);
    CHECK_FALSE(load.has_room_in_share(now, 1));
    CHECK(load.has_room_in_share(now + milliseconds{500}, 1));
}

// Guards against a second request to a target 5 ms after its full queue has reset the first.
TEST_CASE(
    "an owner that resets connections gets the next request after a pause, and several failures count once")
{
    target_load load(4, milliseconds{100});
    const time_point now{std::chrono::hours{1}};
    for (int failure = 0; failure < 5; ++failure)
        load.on_failure(now);
    CHECK_FALSE(load.has_room_in_share(now + milliseconds{100}, 1));
    CHECK(load.has_room_in_share(now + milliseconds{200}, 1));
}

// Guards against a key with four times the requests that its owner executes, all of which were answered late.
TEST_CASE("a queue for an owner is overloaded if the wait stays too long, not while it forms or keys move")
{
    time_point now{std::chrono::hours{1}};
    constexpr milliseconds limit{400};
    constexpr milliseconds patience{1200};
    owner_queue moving;
    for (int request = 0; request < 50; ++request, now += milliseconds{50}) {
        moving.on_enqueued();
        CHECK_FALSE(moving.is_overloaded(now, limit, patience));
    }
    owner_queue hot;
    std::optional<time_point> overloaded_at;
    const auto start = now;
    for (int request = 0; request < 200 && !overloaded_at; ++request, now += milliseconds{25}) {
        if (hot.is_overloaded(now, limit, patience))
            overloaded_at = now;
        hot.on_enqueued();
        if (request % 4 == 3) {
            hot.on_sent(now);
            hot.on_dequeued();
        }
    }
    REQUIRE(overloaded_at);
    CHECK(*overloaded_at - start >= patience);
    CHECK(*overloaded_at - start <= 2 * patience);
    while (hot.expected_wait().count() > 0) {
        hot.on_sent(now);
        hot.on_dequeued();
        now += milliseconds{100};
    }
    CHECK_FALSE(hot.is_overloaded(now, limit, patience));
}

// Guards against an evacuation that does not end because a snapshot lacks its record.
TEST_CASE("the keys with a prefix are those with a record in the latest state of a stream")
{
    record_stream stream;
    stream.apply_snapshot({{"config", "1", {1, 0}}, {"evacuate/b", "", {1, 1}}, {"evacuated", "", {1, 2}}},
                          {1, 3});
    CHECK(stream.suffixes_of_keys("evacuate/") == std::vector<std::string>{"b"});
    stream.apply({"evacuate/a", "x", {1, 3}}, true);
    CHECK(stream.suffixes_of_keys("evacuate/") == std::vector<std::string>{"a", "b"});
    stream.apply({"evacuate/b", std::nullopt, {1, 4}}, true);
    CHECK(stream.suffixes_of_keys("evacuate/") == std::vector<std::string>{"a"});
    stream.apply_snapshot({{"config", "1", {1, 0}}}, {1, 9});
    CHECK(stream.suffixes_of_keys("evacuate/").empty());
}

// If stalled targets were usable, a target that accepts requests but never responds would keep receiving
// them.
TEST_CASE("a stalled target is not usable until it responds")
{
    target_load load(4, microseconds{100'000});
    load.on_request_sent(start);
    CHECK(load.usable(start + milliseconds{300}));
    CHECK(load.stalled(start + milliseconds{700}));
    load.on_response(start + milliseconds{800}, milliseconds{800}, 1);
    load.on_request_ended();
    CHECK(load.usable(start + milliseconds{801}));
}

TEST_CASE("the reported load of other instances decays with its age")
{
    target_load load(4, microseconds{100'000});
    load.on_load_report(start, {4, 6, 4});
    CHECK(load.occupancy(start) == doctest::Approx(10));
    CHECK(load.occupancy(start + milliseconds{2000}) < 1);
    CHECK(load.expected_latency(start) > load.expected_latency(start + milliseconds{2000}));
}

// A late or repeated record must not undo a newer one, such as the start of draining or a restart.
TEST_CASE("a stale registration does not replace a newer one")
{
    target_directory directory;
    const target_entry ready{"i1", "s", "10.0.0.1:80", "a", 4, false, {}, 0, 7};
    auto leaving = ready;
    leaving.draining = true;
    leaving.sequence = 9;
    CHECK(directory.update(ready, {0, 10}) == directory_change::added);
    CHECK(directory.update(leaving, {0, 12}) == directory_change::updated);
    CHECK(directory.update(ready, {0, 11}) == directory_change::none);
    CHECK(directory.update(ready, {0, 13}) == directory_change::none);
    CHECK(directory.find("i1")->draining);
    auto restarted = ready;
    restarted.start_unix_ms = 1000;
    restarted.sequence = 1;
    CHECK(directory.update(restarted, {0, 14}) == directory_change::updated);
    CHECK(!directory.find("i1")->draining);
    CHECK(directory.remove("i1", {0, 13}) == directory_change::none);
    CHECK(directory.remove("i1", {0, 15}) == directory_change::removed);
}

TEST_CASE("a follower that applies the updates of a stream has the same records as the source")
{
    CHECK(rc::check([](const std::vector<std::pair<std::uint8_t, bool>>& writes, std::uint8_t every) {
        record_stream source;
        record_stream follower;
        std::map<std::string, std::optional<std::string>> expected;
        std::map<std::string, std::optional<std::string>> actual;
        source.apply_snapshot({}, {});
        std::uint64_t offset = 0;
        const auto follow = [&] {
            const auto delta = source.delta_since(
                follower.has_snapshot() ? std::optional{follower.next()} : std::nullopt, start);
            if (delta.snapshot && follower.apply_snapshot(delta.records, delta.next))
                actual.clear();
            for (const auto& record : delta.records)
                if (delta.snapshot || follower.apply(record, true))
                    actual[record.key] = record.value;
            follower.mark_caught_up(start, delta.next);
        };
        for (const auto& [key, dropped] : writes) {
            stream_record record{std::to_string(key % 5), std::nullopt, {0, offset++}};
            if (!dropped)
                record.value = std::to_string(offset);
            source.apply(record, true);
            expected[record.key] = record.value;
            if (offset % (every % 7 + 1) == 0)
                follow();
        }
        follow();
        std::erase_if(expected, [](const auto& item) { return !item.second; });
        std::erase_if(actual, [](const auto& item) { return !item.second; });
        RC_ASSERT(expected == actual);
        RC_ASSERT((follower.next() == log_position{0, offset}));
    }));
}

// Guards against followers that apply superseded configurations in turn and never reach the newest (CONFIG).
TEST_CASE("an update holds one record of each key, the newest, however many changes a follower lacks")
{
    record_stream stream;
    stream.apply_snapshot({}, {0, 1});
    for (std::uint64_t offset = 1; offset < 1 + 2 * record_stream::max_changes; ++offset)
        stream.apply({offset % 2 == 0 ? "a" : "b", std::to_string(offset), {0, offset}}, true);
    const auto update = stream.delta_since(log_position{0, 1}, start);
    CHECK(!update.snapshot);
    CHECK(update.records == std::vector<stream_record>{{"b", "1023", {0, 1023}}, {"a", "1024", {0, 1024}}});
    CHECK(stream.delta_since(log_position{0, 1024}, start).records.size() == 1);
}

TEST_CASE("a difference leads from one text to the other, costs what differs, and fits no other text")
{
    const auto row = [](unsigned name) {
        return "[\"r" + std::to_string(name) + "\",\"host.example\",\"/p/\"],";
    };
    CHECK(rc::check([&](const std::vector<std::pair<std::uint8_t, std::uint8_t>>& changes) {
        std::vector<unsigned> rows(200);
        std::iota(rows.begin(), rows.end(), 1000U);
        const auto text_of = [&] {
            std::string text = "{\"version\":" + std::to_string(rows.size()) + ",\"rows\":[";
            for (const auto name : rows)
                text += row(name);
            return text + "]}";
        };
        const auto from = text_of();
        for (const auto& [at, what] : changes) {
            const auto place = rows.begin() + at % static_cast<std::ptrdiff_t>(rows.size());
            if (what % 3 == 0 && rows.size() > 1)
                rows.erase(place);
            else if (what % 3 == 1)
                rows.insert(place, what);
            else
                *place = what;
        }
        const auto to = text_of();
        const auto difference = difference_between(from, to);
        RC_ASSERT(apply_difference(difference, from) == std::optional{to});
        RC_ASSERT(difference.size() <= (changes.size() + 1) * 4 * (row(1).size() + sizeof(text_edit)));
        RC_ASSERT(from == to || !apply_difference(difference, to + from));
        RC_ASSERT(!apply_difference({1, 2, {{to.size(), 2 * to.size(), "x"}}}, from));
    }));
    for (const auto* other : {"", "]", "]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]", "no bracket"})
        for (const auto* text : {"", "]", "[\"a\",\"b\"],[\"c\",\"d\"],[\"e\",\"f\"]", "no bracket"}) {
            CHECK(apply_difference(difference_between(text, other), text) ==
                  std::optional<std::string>{other});
            CHECK(apply_difference(difference_between(other, text), other) ==
                  std::optional<std::string>{text});
        }
}

TEST_CASE("the position of a stream never decreases")
{
    record_stream stream;
    CHECK(stream.apply_snapshot({{"a", "1", {0, 4}}}, {0, 9}));
    CHECK(!stream.apply_snapshot({}, {0, 8}));
    CHECK(!stream.apply({"a", "0", {0, 8}}, true));
    stream.mark_caught_up(start, {0, 7});
    CHECK(stream.next() == log_position{0, 9});
}

// During an outage of the store, registrations expire although the targets still run. Such targets must be
// retained until they have had time to register again.
TEST_CASE("a target is retained if its registration is removed during an outage or within 1 s after it, and "
          "dropped otherwise")
{
    registration_expiry_tracker tracker;
    const time_point never{};
    CHECK(tracker.on_removal("calm", start, never));
    tracker.on_call_failure(start);
    CHECK(tracker.on_removal("short", start + milliseconds{1000}, never));
    CHECK(!tracker.on_removal("outage", start + milliseconds{1500}, never));
    const auto recovered = start + milliseconds{9000};
    CHECK(tracker.extract_expired(recovered).empty());
    CHECK(tracker.on_read_success(recovered, recovered));
    CHECK(!tracker.on_removal("shadow", recovered + milliseconds{900}, recovered));
    CHECK(tracker.on_removal("later", recovered + milliseconds{1100}, recovered));
    tracker.on_registration("shadow");
    CHECK(tracker.extract_expired(recovered + milliseconds{100}) == std::vector<std::string>{"outage"});
    CHECK(tracker.empty());
}

// If the store rejects only this instance, its failing calls are no outage. It must not retain targets that
// have deregistered.
TEST_CASE(
    "an instance whose calls the store rejects is not in an outage if a peer has read the store recently")
{
    registration_expiry_tracker tracker;
    tracker.on_call_failure(start);
    CHECK(tracker.in_outage(start + milliseconds{5000}));
    tracker.on_peer_read(milliseconds{300}, start + milliseconds{5000});
    CHECK(tracker.on_removal("left", start + milliseconds{5000}, time_point{}));
}

// While its calls fail, an instance hears of the reads of others only every 2 s: it asks them once its
// streams are 1.3 s old, one after the other. If the time in between counted as an outage, a target that
// leaves when the store accepts the instance again would be retained for longer than it serves.
TEST_CASE("an instance that the store has rejected sees no outage while others can read it")
{
    constexpr milliseconds peer_read_interval{2000};
    constexpr milliseconds age{600};
    constexpr milliseconds step{100};
    registration_expiry_tracker tracker;
    tracker.on_call_failure(start);
    milliseconds elapsed{0};
    for (; elapsed < 5 * peer_read_interval + peer_read_interval / 2; elapsed += step) {
        const auto now = start + elapsed;
        if ((elapsed + peer_read_interval / 2).count() % peer_read_interval.count() == 0)
            tracker.on_peer_read(age, now);
        tracker.on_call_failure(now);
        INFO(elapsed.count());
        CHECK(!tracker.in_outage(now));
    }
    const auto accepted = start + elapsed - step;
    CHECK(!tracker.on_read_success(accepted, accepted + milliseconds{1}));
    CHECK(tracker.on_removal("left", accepted + milliseconds{500}, time_point{}));
}

TEST_CASE("an outage of the store that follows reads of other instances is noticed")
{
    SUBCASE("as soon by one whose last read was earlier than theirs")
    {
        registration_expiry_tracker tracker;
        tracker.on_call_failure(start);
        tracker.on_peer_read(milliseconds{300}, start + milliseconds{200});
        tracker.on_call_failure(start + milliseconds{500});
        // The others are asked again, and their last reads are too old to count.
        tracker.on_peer_read(milliseconds{1700}, start + milliseconds{1600});
        CHECK(tracker.in_outage(start + milliseconds{1710}));
        CHECK(!tracker.on_removal("lapsed", start + milliseconds{1710}, time_point{}));
        CHECK(tracker.on_read_success(start + milliseconds{1800}, start + milliseconds{1800}));
    }
    SUBCASE("later by one that the store rejects meanwhile")
    {
        registration_expiry_tracker tracker;
        tracker.on_call_failure(start);
        tracker.on_peer_read(milliseconds{300}, start + milliseconds{800});
        tracker.on_call_failure(start + milliseconds{900});
        CHECK(!tracker.in_outage(start + milliseconds{3400}));
        CHECK(tracker.in_outage(start + milliseconds{3410}));
    }
    SUBCASE("as soon by one that followed another")
    {
        registration_expiry_tracker tracker;
        tracker.on_peer_read(milliseconds{100}, start);
        tracker.on_call_failure(start + milliseconds{1300});
        CHECK(!tracker.in_outage(start + milliseconds{2500}));
        CHECK(tracker.in_outage(start + milliseconds{2510}));
    }
    SUBCASE("as soon by one that the store rejected before")
    {
        registration_expiry_tracker tracker;
        tracker.on_call_failure(start);
        tracker.on_peer_read(milliseconds{100}, start + milliseconds{500});
        CHECK(!tracker.on_read_success(start + milliseconds{600}, start + milliseconds{600}));
        tracker.on_call_failure(start + milliseconds{700});
        CHECK(tracker.in_outage(start + milliseconds{1910}));
    }
}

TEST_CASE("a removed target can register again")
{
    target_directory directory;
    const target_entry entry{"i1", "s", "10.0.0.1:80", "a", 4, false, {}, 0, 7};
    directory.update(entry, {0, 10});
    CHECK(directory.remove("i1", {0, 12}) == directory_change::removed);
    auto again = entry;
    again.sequence = 9;
    CHECK(directory.update(again, {0, 12}) == directory_change::added);
}

// After a return of the store from an older copy, its end is lower, and offsets are given out again.
TEST_CASE("records count only in the era of the last snapshot, and a snapshot of a newer era replaces")
{
    record_stream stream;
    stream.apply_snapshot({{"a", "1", {0, 4}}, {"b", "1", {0, 5}}}, {0, 9});
    stream.mark_caught_up(start, {0, 9});
    CHECK(!stream.apply({"a", "2", {1, 12}}, true));
    stream.mark_caught_up(start + milliseconds{1}, {1, 13});
    CHECK(stream.next() == log_position{0, 9});
    CHECK(stream.last_read_sent() == start);
    CHECK(stream.find("a")->value == "1");
    CHECK(!stream.era_changed());
    const auto effect = stream.apply_snapshot({{"a", "3", {1, 2}}}, {1, 3});
    CHECK(effect.applied);
    CHECK(effect.dropped == 1);
    CHECK(stream.era_changed());
    CHECK(stream.find("a")->value == "3");
    CHECK(stream.find("b") == nullptr);
    CHECK(!stream.apply_snapshot({}, {0, 20}));
    CHECK(!stream.apply({"a", "4", {0, 20}}, true));
    stream.mark_caught_up(start + milliseconds{2}, {0, 20});
    CHECK(stream.last_read_sent() == start);
    CHECK(stream.apply({"a", "5", {1, 3}}, true));
    // A follower of the older era gets a snapshot, and one of a newer era nothing.
    CHECK(stream.has_changes_since(log_position{0, 20}));
    CHECK(stream.delta_since(log_position{0, 20}, start).snapshot);
    CHECK(!stream.has_changes_since(log_position{2, 0}));
    CHECK(stream.delta_since(log_position{2, 0}, start).records.empty());
}

// Guards against a configuration that is undone by an older copy of the store, also at followers.
TEST_CASE("known records stay where a snapshot is outdated or, if asked for, lacks them")
{
    record_stream stream;
    stream.apply_snapshot({{"a", "2", {0, 4}}, {"b", "2", {0, 5}}, {"c", "2", {0, 6}}}, {0, 9});
    CHECK(stream.skip({"a", "1", {0, 9}}));
    CHECK(stream.find("a")->value == "2");
    auto other = stream;
    const std::vector<stream_record> copy{{"a", "1", {1, 2}}, {"b", "3", {1, 3}}, {"gone", "1", {1, 1}}};
    CHECK(stream.apply_snapshot(copy, {1, 4}, {{"a", "gone"}, true}).kept == 3);
    CHECK(*stream.find("a") == stream_record{"a", "2", {1, 2}});
    CHECK(stream.find("b")->value == "3");
    CHECK(stream.find("c")->position < stream.next());
    CHECK(stream.delta_since(std::nullopt, start).records.size() == 3);
    CHECK(other.apply_snapshot(copy, {1, 4}, {{"a", "gone"}, false}).dropped == 1);
    CHECK(other.find("c") == nullptr);
}

// Guards against requests to a target that has left, whose entry an older copy of the store still has.
TEST_CASE("an entry of a newer era brings a removed target back only if it has registered again")
{
    target_directory directory;
    const target_entry left{"i1", "s", "10.0.0.1:80", "a", 4, false, {}, 1000, 7};
    directory.update(left, {0, 10});
    directory.remove("i1", {0, 12});
    auto copied = left;
    copied.sequence = 6;
    for (const auto& outdated : {left, copied}) {
        CHECK(directory.is_outdated(outdated, {1, 3}));
        CHECK(directory.update(outdated, {1, 3}) == directory_change::none);
        CHECK(directory.may_live(outdated, {1, 3}));
        auto other = directory;
        CHECK(other.readmit(outdated, {1, 3}) == directory_change::added);
    }
    auto removed_again = directory;
    CHECK(removed_again.remove("i1", {1, 4}) == directory_change::none);
    CHECK(removed_again.update(left, {1, 5}) == directory_change::added);
    auto earlier = left;
    earlier.start_unix_ms = 500;
    CHECK(!directory.may_live(earlier, {1, 3}));
    auto leaving = left;
    leaving.draining = true;
    target_directory other;
    other.update(leaving, {0, 10});
    other.remove("i1", {0, 12});
    CHECK(other.is_outdated(left, {1, 3}));
    CHECK(!other.may_live(left, {1, 3}));
    auto again = left;
    again.sequence = 8;
    auto restarted = copied;
    restarted.start_unix_ms = 2000;
    for (const auto& newer : {again, restarted}) {
        auto known = directory;
        CHECK(!known.is_outdated(newer, {1, 3}));
        CHECK(known.update(newer, {1, 3}) == directory_change::added);
    }
    for (std::size_t other = 0; other < target_directory::max_removed; ++other) {
        auto entry = left;
        entry.id = "other" + std::to_string(other);
        directory.update(entry, {0, 20 + other});
        directory.remove(entry.id, {0, 20 + other});
    }
    CHECK(!directory.is_outdated(left, {1, 3}));
}
