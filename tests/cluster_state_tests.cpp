#include <teaseltally/cluster_state.hpp>
#include <teaseltally/snapshot.hpp>

#include <doctest/doctest.h>
#include <random>

using namespace teaseltally;

namespace {

constexpr auto base_document = "[deployment]\nname = t\nseed = 1\nhot_keys = 2\n"
                               "[data_centre.east]\nregion = r\n[data_centre.west]\nregion = r\n"
                               "[service.ledger]\nkeyed = true\nslots = 8\nisolation_grace_ms = 4000\n"
                               "[target.a]\nservice = ledger\ndata_centre = east\naddress = 127.0.0.1:1\n"
                               "[target.b]\nservice = ledger\ndata_centre = west\naddress = 127.0.0.1:2\n"
                               "[target.c]\nservice = ledger\ndata_centre = west\naddress = 127.0.0.1:3\n";

constexpr service_id ledger{0};
constexpr target_id target_a{0};
constexpr target_id target_b{1};
constexpr target_id target_c{2};

/// Log of records and the state that results from them; each appended record is applied at once.
class test_log {
public:
    test_log() { append(1, configuration_publish{0, {base_document, {}}}); }

    apply_outcome append(std::uint64_t session, record_body body)
    {
        records.push_back({session_id{session}, ++sequences_[session], std::move(body)});
        return state.apply(epoch{records.size()}, records.back());
    }

    apply_outcome move(slot_id slot, epoch from, target_id to)
    {
        return append(1, slot_move{ledger, {{slot, from, to}}});
    }

    [[nodiscard]] epoch last() const { return epoch{records.size()}; }

    cluster_state state;
    std::vector<control_record> records;

private:
    std::map<std::uint64_t, std::uint64_t> sequences_;
};

} // namespace

// Two coordinators that read the same state may both move a slot. Without the check of the base epoch, the
// second move would silently replace the first one.
TEST_CASE("of two moves of a slot with the same base epoch, only the first is accepted")
{
    test_log log;
    CHECK(log.move(slot_id{0}, no_epoch, target_a).code == result_code::ok);
    CHECK(log.move(slot_id{0}, no_epoch, target_b).code == result_code::rejected_stale_base);
    CHECK(log.state.services()[0].slots[0].owner == target_a);

    apply_guards disabled;
    disabled.base_epoch = false;
    test_log unguarded;
    unguarded.state.set_guards(disabled);
    CHECK(unguarded.move(slot_id{0}, no_epoch, target_a).code == result_code::ok);
    CHECK(unguarded.move(slot_id{0}, no_epoch, target_b).code == result_code::ok);
}

// A second move would overwrite the previous owner in the state. No release by that target would then be
// awaited although it may still execute requests.
TEST_CASE("a second move of a slot is rejected until its previous owner has released the slot")
{
    test_log log;
    log.move(slot_id{0}, no_epoch, target_a);
    const epoch first = log.last();
    CHECK(log.move(slot_id{0}, first, target_b).code == result_code::ok);
    const epoch second = log.last();
    CHECK_FALSE(log.state.services()[0].slots[0].released());
    CHECK(log.move(slot_id{0}, second, target_c).code == result_code::rejected_moving);
    apply_guards disabled;
    disabled.release_before_move = false;
    cluster_state unguarded = log.state;
    unguarded.set_guards(disabled);
    CHECK(unguarded.apply(epoch{100}, {session_id{9}, 1, slot_move{ledger, {{slot_id{0}, second, target_c}}}})
              .code == result_code::ok);
    CHECK(unguarded.services()[0].slots[0].previous_owner == target_b);
    CHECK(log.append(1, slots_released{ledger, {{slot_id{0}, first}}}).code ==
          result_code::rejected_stale_base);
    CHECK(log.append(1, slots_released{ledger, {{slot_id{0}, second}}}).code == result_code::ok);
    CHECK(log.state.unreleased().empty());
}

// If the response to an append is lost, the retry puts the record into the log a second time. A log heartbeat
// that is applied twice would make a disconnected voter group seem connected.
TEST_CASE("a record that is in the log twice is applied only once")
{
    test_log log;
    log.append(7, session_join{"i", "east", 0, "127.0.0.1", 1});
    log.append(7, voter_change{"east/0", no_epoch, session_id{7}, true, {}});
    log.append(7, log_heartbeat_record{"east/0"});
    const epoch heartbeat = log.last();
    const control_record repeat = log.records.back();
    const auto apply_again = [&](cluster_state state) {
        (void)state.apply(epoch{number(heartbeat) + 1}, repeat);
        return state.voter_groups().at("east/0").log_heartbeat_at;
    };
    CHECK(apply_again(log.state) == heartbeat);
    apply_guards disabled;
    disabled.deduplication = false;
    cluster_state unguarded = log.state;
    unguarded.set_guards(disabled);
    CHECK(apply_again(unguarded) != heartbeat);
}

// Two voter sets without a common voter could each grant a lease on the same target. A repeated
// acknowledgement and the acknowledgement of a session outside the set must not count.
TEST_CASE("a voter set changes only if a strict majority of its voters has acknowledged the change")
{
    test_log log;
    for (std::uint64_t session = 10; session < 14; ++session)
        log.append(session, session_join{"i", "east", 0, "127.0.0.1", 1});
    epoch set = no_epoch;
    std::vector<session_id> all;
    for (std::uint64_t session = 10; session < 13; ++session) {
        CHECK(log.append(session, voter_change{"east/0", set, session_id{session}, true, all}).code ==
              result_code::ok);
        all.push_back(session_id{session});
        set = log.last();
    }
    const voter_change minority{"east/0", set, session_id{13}, true, {session_id{10}, session_id{10}}};
    CHECK(log.append(13, minority).code == result_code::rejected_no_majority);
    const voter_change outsider{"east/0", set, session_id{13}, true, {session_id{10}, session_id{13}}};
    CHECK(log.append(13, outsider).code == result_code::rejected_no_majority);
    apply_guards disabled;
    disabled.majority_acknowledgement = false;
    cluster_state unguarded = log.state;
    unguarded.set_guards(disabled);
    CHECK(unguarded.apply(epoch{100}, {session_id{13}, 100, minority}).code == result_code::ok);
    const voter_change agreed{"east/0", set, session_id{13}, true, {session_id{10}, session_id{12}}};
    CHECK(log.append(13, agreed).code == result_code::ok);
}

// A session that reaches the log but none of the voters could otherwise replace a voter set that still has a
// working majority.
TEST_CASE("a voter group is reset only after a challenge that no log heartbeat answered")
{
    test_log log;
    log.append(10, session_join{"i", "east", 0, "127.0.0.1", 1});
    log.append(11, session_join{"j", "east", 0, "127.0.0.1", 2});
    log.append(10, voter_change{"east/0", no_epoch, session_id{10}, true, {}});
    const epoch set = log.last();
    CHECK(log.append(11, voter_reset{"east/0", set, no_epoch, session_id{11}}).code ==
          result_code::rejected_no_majority);
    log.append(11, voter_challenge{"east/0", set});
    const epoch challenge = log.last();
    log.append(10, log_heartbeat_record{"east/0"});
    CHECK(log.append(11, voter_reset{"east/0", set, challenge, session_id{11}}).code ==
          result_code::rejected_no_majority);
    log.append(11, voter_challenge{"east/0", set});
    const epoch unanswered = log.last();
    CHECK(log.append(11, voter_reset{"east/0", set, unanswered, session_id{11}}).code == result_code::ok);
    CHECK(log.state.voter_groups().at("east/0").reset_at == log.last());
    CHECK(log.append(10, log_heartbeat_record{"east/0"}).code == result_code::rejected_unknown_name);
}

// The author of the record may not have read the latest log heartbeat of the group, which shows that the
// group is connected. A later log heartbeat ends the permission to take over its slots.
TEST_CASE("a relinquish record must name the latest log heartbeat of the group, and a later log heartbeat "
          "revokes it")
{
    test_log log;
    log.append(10, session_join{"i", "east", 0, "127.0.0.1", 1});
    log.append(10, voter_change{"east/0", no_epoch, session_id{10}, true, {}});
    log.append(10, log_heartbeat_record{"east/0"});
    const epoch seen = log.last();
    log.append(10, log_heartbeat_record{"east/0"});
    CHECK(log.append(1, voter_group_relinquish{"east/0", ledger, seen}).code ==
          result_code::rejected_stale_base);
    const epoch newest = epoch{number(seen) + 1};
    log.move(slot_id{3}, no_epoch, target_a);
    const epoch owned = log.last();
    CHECK(log.append(1, voter_group_relinquish{"east/0", ledger, newest}).code == result_code::ok);
    log.move(slot_id{3}, owned, target_b);
    CHECK(log.state.services()[0].slots[3].released());
    log.append(10, log_heartbeat_record{"east/0"});
    CHECK(log.state.relinquished().empty());
}

// Two operators who start from the same version would otherwise overwrite each other's configuration
// unnoticed.
TEST_CASE("of two configurations with the same expected version, only the first is accepted")
{
    test_log log;
    const std::string extended = std::string{base_document} + "[data_centre.north]\nregion = r\n";
    CHECK(log.append(2, configuration_publish{1, {extended, {}}}).code == result_code::ok);
    CHECK(log.append(3, configuration_publish{1, {base_document, {}}}).code ==
          result_code::configuration_lost_race);
    CHECK(log.state.version() == 2);
    CHECK(log.state.settings().find_data_centre("north") != nullptr);
}

// A change of these settings would invalidate existing ownership, since slots, voter groups and owners derive
// from them.
TEST_CASE("a configuration cannot change settings that slot ownership depends on")
{
    test_log log;
    const auto publish = [&](std::string text, const std::string& from, const std::string& to) {
        text.replace(text.find(from), from.size(), to);
        return log.append(2, configuration_publish{log.state.version(), {text, {}}}).code;
    };
    CHECK(publish(base_document, "slots = 8", "slots = 16") == result_code::rejected_limit);
    CHECK(publish(base_document, "keyed = true", "keyed = false") == result_code::rejected_limit);
    CHECK(publish(base_document, "data_centre = east", "data_centre = west") == result_code::rejected_limit);
    CHECK(publish(base_document, "[data_centre.east]\n", "[data_centre.east]\ncells = 2\n") ==
          result_code::rejected_limit);
    log.move(slot_id{0}, no_epoch, target_c);
    CHECK(publish(base_document, "[target.c]\nservice = ledger\ndata_centre = west\naddress = 127.0.0.1:3\n",
                  "") == result_code::rejected_limit);
    CHECK(publish(base_document, "127.0.0.1:3", "127.0.0.1:4") == result_code::ok);
}

// When a hot key returns to its slot, a late request to the owner of the override must not carry the higher
// fencing token.
TEST_CASE("a hot key moves independently of its slot, and its fencing token never decreases")
{
    test_log log;
    const key_hash key{11};
    const slot_id slot = log.state.slot_of(ledger, key);
    log.move(slot, no_epoch, target_a);
    const epoch owned = log.last();
    CHECK(log.append(1, key_move{ledger, key, owned, target_b}).code == result_code::ok);
    const epoch moved = log.last();
    CHECK(log.state.ownership(ledger, key).owner == target_b);
    CHECK(log.state.ownership(ledger, key_hash{number(key) + 8}).owner == target_a);
    CHECK_FALSE(log.state.ownership(ledger, key).released());
    CHECK(log.append(1, key_released{ledger, key, moved}).code == result_code::ok);
    CHECK(log.append(1, key_move{ledger, key, moved, target_a}).code == result_code::ok);
    const epoch back = log.last();
    CHECK(log.append(1, key_released{ledger, key, back}).code == result_code::ok);
    CHECK(log.state.hot_keys().empty());
    CHECK(log.state.ownership(ledger, key).since > back);
}

// The limit `hot_keys` of the deployment bounds the size of the state.
TEST_CASE("a move that would exceed the limit of hot keys is rejected")
{
    test_log log;
    for (std::uint32_t slot = 0; slot < 8; ++slot)
        log.move(slot_id{slot}, no_epoch, target_a);
    const auto move_key = [&](std::uint64_t key) {
        const auto since = log.state.ownership(ledger, key_hash{key}).since;
        return log.append(1, key_move{ledger, key_hash{key}, since, target_b}).code;
    };
    CHECK(move_key(1) == result_code::ok);
    CHECK(move_key(2) == result_code::ok);
    CHECK(move_key(3) == result_code::rejected_limit);
}

// A lost target is never released by a dispatcher, so its slots would otherwise stay blocked.
TEST_CASE("declaring a target lost releases the slots that await its release")
{
    test_log log;
    log.move(slot_id{0}, no_epoch, target_a);
    log.move(slot_id{0}, log.last(), target_b);
    CHECK_FALSE(log.state.services()[0].slots[0].released());
    std::string text = base_document;
    text.replace(text.find("[target.a]\n"), 11, "[target.a]\nlost = true\n");
    CHECK(log.append(2, configuration_publish{1, {text, {}}}).code == result_code::ok);
    CHECK(log.state.services()[0].slots[0].released());
    CHECK(log.state.unreleased().empty());
}

// An instance that starts from a snapshot and applies the later records, some of them twice, must not differ
// from one that replayed the complete log.
TEST_CASE("restoring a snapshot and applying the later records gives the same state as a full replay")
{
    std::mt19937_64 random(5);
    for (int round = 0; round < 20; ++round) {
        test_log log;
        for (int step = 0; step < 60; ++step) {
            const slot_id slot{static_cast<std::uint32_t>(random() % 8)};
            const auto& current = log.state.services()[0].slots[number(slot)];
            if (random() % 3 == 0)
                log.append(1, slots_released{ledger, {{slot, current.since}}});
            else if (random() % 5 == 0)
                log.append(1, key_move{ledger, key_hash{random() % 24}, current.since,
                                       target_id{static_cast<std::uint32_t>(random() % 3)}});
            else if (random() % 7 == 0)
                log.append(20 + random() % 3, session_join{"i", "east", 0, "127.0.0.1", 9});
            else
                log.move(slot, random() % 4 == 0 ? no_epoch : current.since,
                         target_id{static_cast<std::uint32_t>(random() % 3)});
        }
        const std::size_t prefix_size = random() % log.records.size();
        cluster_state prefix;
        for (std::size_t index = 0; index < prefix_size; ++index)
            (void)prefix.apply(epoch{index + 1}, log.records[index]);
        snapshot_collector collector;
        for (std::size_t index = 0; index < prefix.snapshot_chunk_count(); ++index)
            collector.add(encode_snapshot_chunk(prefix, index, session_id{1}));
        auto restored = collector.newest();
        REQUIRE(restored.has_value());
        CHECK(*restored == prefix);
        const cluster_state copy = *restored;
        CHECK(copy.find_target("c") == prefix.find_target("c"));
        CHECK((copy.settings_of(target_c) != nullptr) == (prefix.settings_of(target_c) != nullptr));
        for (std::size_t index = prefix_size > 3 ? prefix_size - 3 : 0; index < log.records.size(); ++index)
            (void)restored->apply(epoch{index + 1}, log.records[index]);
        CHECK(*restored == log.state);
    }
}

// A truncated or incomplete snapshot must give an error instead of a state that lacks slots.
TEST_CASE("a snapshot that lacks a chunk or is malformed is rejected")
{
    test_log log;
    auto chunks = log.state.snapshot();
    const auto is_refused = [](std::span<const std::string> texts) {
        return failure(cluster_state::from_snapshot(texts)) != nullptr;
    };
    CHECK_FALSE(is_refused(chunks));
    CHECK(is_refused(std::span{chunks}.first(1)));
    CHECK(is_refused({}));
    std::mt19937_64 random(3);
    for (int round = 0; round < 300; ++round) {
        auto broken = chunks;
        auto& text = broken[random() % broken.size()];
        text.resize(random() % text.size());
        CHECK(is_refused(broken));
    }
}

// A record of every type must be equal after encoding and decoding. A truncated text must give an error, not
// a record that lacks fields.
TEST_CASE("records are equal after encoding and decoding, and malformed ones give an error")
{
    test_log log;
    const std::vector<record_body> bodies{
        session_join{"i", "east", 1, "127.0.0.1", 9},
        session_leave{session_id{4}},
        voter_change{"east/0", epoch{3}, session_id{9}, true, {session_id{1}, session_id{2}}},
        voter_challenge{"east/0", epoch{3}},
        voter_reset{"east/0", epoch{3}, epoch{4}, session_id{9}},
        configuration_publish{4, {"base", {{"x.ini", "text"}}}},
        slot_move{ledger, {{slot_id{1}, epoch{2}, target_b}}},
        key_move{ledger, key_hash{~0ULL}, epoch{2}, target_b},
        slots_released{ledger, {{slot_id{1}, epoch{2}}}},
        key_released{ledger, key_hash{7}, epoch{2}},
        target_report{target_b, epoch{2}, target_condition::down},
        log_heartbeat_record{"east/0"},
        voter_group_relinquish{"east/0", ledger, epoch{8}}};
    std::mt19937_64 random(11);
    for (const auto& body : bodies) {
        const control_record record{session_id{5}, 6, body};
        const std::string text = encode(record);
        const auto decoded = decode_record(text, "test");
        REQUIRE(failure(decoded) == nullptr);
        CHECK(std::get<control_record>(decoded) == record);
        for (int round = 0; round < 50; ++round) {
            const std::string truncated = text.substr(0, random() % text.size());
            const auto outcome = decode_record(truncated, "test");
            REQUIRE(failure(outcome) != nullptr);
            CHECK(failure(outcome)->code == result_code::message_malformed);
        }
    }
}
