// Key ownership over eras of the store: what a return of the store from an older copy must not break.

#include "support/ownership_simulation.hpp"

#include <algorithm>
#include <doctest/doctest.h>

using namespace teaseltally;
using namespace teaseltally::test;

namespace {

constexpr auto service_key = "service/ledger";
const auto start = time_point{std::chrono::hours{1}};
/// Time from the loss of an owner within which its keys are served again, from docs/DEVELOPERS.md.
constexpr milliseconds key_recovery_time{5000};

assignment owned_by(const char* target, std::uint64_t fence)
{
    assignment owners;
    owners.assign({0, last_key}, {target, 0, "10.0.0.1:80"}, fence, {});
    return owners;
}

std::string claim_by(std::uint64_t session, std::optional<std::uint64_t> era, bool unsettled = false)
{
    coordinator_claim claim{"n" + std::to_string(session), session, "10.1.0.1:1"};
    claim.era = era;
    claim.unsettled = unsettled;
    return encode(claim);
}

std::string owner_in(const ownership_log& log)
{
    return log.find("ledger")->find(0)->owner.id;
}

std::string first_violation(const ownership_simulation& simulation)
{
    return simulation.violations().empty() ? "" : simulation.violations().front();
}

/// An instance that is told of everything by the test.
struct told_instance {
    std::vector<ownership_action> tick(milliseconds elapsed)
    {
        now += elapsed;
        return manager.tick(now, {log, directory, keyed, now, true});
    }
    /// Carries out an append at the end of the log.
    void carry_out(const append_order& order)
    {
        for (const auto& record : order.records)
            log.apply(now, record.key, record.value, log.position());
        manager.on_append_completed(now, append_status::done);
    }
    /// Ticks and carries out appends until the log has a claim of the instance and another record.
    void coordinate()
    {
        while (log.position().offset < 2)
            for (const auto& action : tick(milliseconds{100}))
                if (const auto* order = std::get_if<append_order>(&action))
                    carry_out(*order);
    }

    range_manager manager{
        {"n1", 1, "10.1.0.1:1"}, {.registration_settling = milliseconds{0}}, milliseconds{0}};
    ownership_log log;
    target_directory directory;
    std::vector<std::string> keyed{"ledger"};
    time_point now = start;
};

} // namespace

TEST_CASE("a record that came back with a copy of the store does not replace a later one")
{
    ownership_log log;
    log.apply(start, service_key, encode(owned_by("a", 4), 1), {1, 4});
    log.apply(start, service_key, encode(owned_by("b", 6), 1), {1, 6});
    log.apply(start, ownership_log::claim_key, claim_by(1, 1), {1, 7});
    log.apply(start, service_key, encode(owned_by("a", 4), 1), {2, 4});
    CHECK(owner_in(log) == "b");
    CHECK(log.is_shadowed("ledger"));
    CHECK(log.position() == log_position{2, 5});
    CHECK(log.begins_era());
    // What is written in the new era is newer, although its offset is lower.
    log.apply(start, service_key, encode(owned_by("c", 5), 2), {2, 5});
    CHECK(owner_in(log) == "c");
    CHECK_FALSE(log.is_shadowed("ledger"));
    log.apply(start, ownership_log::claim_key, claim_by(2, 2), {2, 6});
    CHECK(log.claim()->session == 2);
    CHECK(log.term() == log_position{2, 6});
    CHECK_FALSE(log.begins_era());
}

TEST_CASE("an append of an earlier era that is carried out late loses against what was written since")
{
    ownership_log log;
    log.apply(start, ownership_log::claim_key, claim_by(2, 2), {2, 5});
    log.apply(start, service_key, encode(owned_by("b", 6), 2), {2, 6});
    log.apply(start, ownership_log::claim_key, claim_by(1, 1), {2, 7});
    log.apply(start, service_key, encode(owned_by("a", 8), 1), {2, 8});
    CHECK(log.claim()->session == 2);
    CHECK(owner_in(log) == "b");
    CHECK(log.is_shadowed("ledger"));
    CHECK_FALSE(log.has_assignment_of_earlier_era());
    // A process that starts now reads the late record only.
    ownership_log fresh;
    fresh.apply(start, ownership_log::claim_key, claim_by(2, 2), {2, 7});
    fresh.apply(start, service_key, encode(owned_by("a", 8), 1), {2, 8});
    CHECK(fresh.has_assignment_of_earlier_era());
}

// Guards against fencing tokens that are given again (OWNER): the append of a coordinator that has been
// succeeded was carried out in the next era, at the place of its successor's claim.
TEST_CASE("an append of an earlier era that is carried out late counts for nothing where that era is known")
{
    told_instance instance;
    instance.log.apply(start, service_key, encode(owned_by("a", 0), 1), {1, 0});
    instance.log.apply(start, ownership_log::claim_key, claim_by(7, 1), {1, 1});
    for (const char* id : {"a", "b"})
        instance.directory.update({id, "ledger", "10.0.0.1:80", "a", 4, false, {}, 0, 1}, {1, 1});
    std::map<std::string, std::uint64_t> fences;
    const auto run = [&](int steps) {
        for (int step = 0; step < steps; ++step)
            for (const auto& action : instance.tick(milliseconds{100}))
                if (const auto* order = std::get_if<append_order>(&action))
                    instance.carry_out(*order);
                else if (const auto* grant = std::get_if<grant_order>(&action)) {
                    fences[grant->target.id] = grant->fence;
                    instance.manager.on_order_completed(instance.now, grant->id, order_status::done, {});
                }
                else
                    instance.manager.on_order_completed(instance.now, std::get<release_order>(action).id,
                                                        order_status::done, {});
    };
    run(250);
    REQUIRE(instance.manager.is_coordinator());
    REQUIRE(instance.log.term() == log_position{1, 2});
    REQUIRE(fences == std::map<std::string, std::uint64_t>{{"a", 2}});
    instance.log.apply(instance.now, service_key, encode(owned_by("b", 2), 1), {2, 2});
    CHECK(owner_in(instance.log) == "a");
    CHECK(instance.log.is_shadowed("ledger"));
    run(10);
    REQUIRE(instance.manager.is_continuous());
    CAPTURE(fences["b"]);
    CHECK(fences == std::map<std::string, std::uint64_t>{{"a", 2}});
}

TEST_CASE("records of builds that knew no eras count as of the era of their position, or of the copy's")
{
    ownership_log log;
    log.apply(start, ownership_log::claim_key, claim_by(1, std::nullopt), {1, 3});
    log.apply(start, service_key, encode(owned_by("a", 4)), {1, 4});
    log.apply(start, service_key, encode(owned_by("b", 6)), {1, 6});
    CHECK_FALSE(log.begins_era());
    CHECK(owner_in(log) == "b");
    log.apply(start, service_key, encode(owned_by("a", 4)), {2, 4});
    CHECK(owner_in(log) == "b");
    log.apply(start, service_key, encode(owned_by("c", 7)), {2, 7});
    CHECK(owner_in(log) == "c");
}

TEST_CASE("fencing tokens rise over eras, whoever gives them, and are plain offsets in a log of older builds")
{
    CHECK(fence_of({1, 100}, 0) < fence_of({1, 101}, 0));
    CHECK(fence_of({1, 100}, 0) < fence_of({2, 5}, 0));
    CHECK(fence_of({2, 5}, 1) < fence_of({2, 5}, 0));
    CHECK(fence_of({3, 77}, 3) == 77);
    ownership_log empty;
    empty.set_position({3, 0});
    CHECK(empty.next_fence_origin() == 1);
    // An older build may take over from this one, also where this one began the log.
    ownership_log first;
    first.set_position({1, 0});
    CHECK(fence_of({1, 7}, first.next_fence_origin()) == 7);
    CHECK(fence_of({3, 0}, empty.next_fence_origin()) > fence_of({2, 1'000}, first.next_fence_origin()));
    ownership_log older;
    older.apply(start, ownership_log::claim_key, claim_by(1, std::nullopt), {3, 76});
    older.apply(start, service_key, encode(owned_by("a", 77)), {3, 77});
    CHECK(fence_of({3, 78}, older.next_fence_origin()) == 78);
    ownership_log fed;
    fed.apply(start, ownership_log::claim_key, claim_by(1, std::nullopt), {0, 76});
    fed.set_position({3, 77});
    CHECK(fence_of({3, 78}, fed.next_fence_origin()) == 78);
    // The next era's tokens are above those that were lost.
    older.set_position({4, 50});
    CHECK(fence_of({4, 50}, older.next_fence_origin()) > 1000);
    // An older build's claim between those of newer ones does not hand the origin on.
    ownership_log mixed;
    mixed.apply(start, service_key, encode(owned_by("a", fence_of({4, 50}, 3)), 4), {4, 50});
    mixed.apply(start, ownership_log::claim_key, claim_by(1, std::nullopt), {4, 51});
    CHECK(mixed.next_fence_origin() == 3);
}

TEST_CASE("claims and assignments with a malformed era are rejected")
{
    const std::string claim = R"({"instance":"n1","session":1,"address":"10.1.0.1:1","elapsed":0)";
    CHECK(failure(decode_claim(claim + R"(,"era":2,"fence_origin":-1,"unsettled":true})")) == nullptr);
    CHECK(failure(decode_claim(claim + R"(,"era":-2})")) != nullptr);
    CHECK(failure(decode_claim(claim + R"(,"fence_origin":"x"})")) != nullptr);
    CHECK(failure(decode_claim(claim + R"(,"began":0})")) == nullptr);
    for (const char* began : {"-1", "1", "\"x\""})
        CHECK(failure(decode_claim(claim + R"(,"began":)" + began + "}")) != nullptr);
    const auto decoded = decode_claim(claim_by(1, 2, true));
    REQUIRE(failure(decoded) == nullptr);
    CHECK(std::get<coordinator_claim>(decoded).era == 2);
    CHECK(std::get<coordinator_claim>(decoded).unsettled);
    CHECK(failure(decode_assignment(R"({"targets":[],"ranges":[],"era":1.5})")) != nullptr);
    const auto record = decode_assignment_record(encode(owned_by("a", 1), 7));
    CHECK(std::get<assignment_record>(record).era == 7);
}

// Guards against keys that nobody serves and against tokens that run backwards.
TEST_CASE("when the store returns from a copy and nobody has ended, no key moves and all stay held")
{
    for (std::uint64_t seed = 1; seed <= 6; ++seed) {
        CAPTURE(seed);
        ownership_simulation simulation(seed, {}, 3, 6);
        simulation.run(milliseconds{8000 + 137 * static_cast<int>(seed)});
        for (int count = 0; count < 3; ++count) {
            std::vector<std::string> holders;
            for (std::uint32_t key = 0; key <= last_key; key += 331)
                holders.push_back(simulation.holder(static_cast<key_number>(key)));
            simulation.return_store(milliseconds{3000}, milliseconds{300});
            for (int step = 0; step < 90; ++step) {
                simulation.run(milliseconds{100});
                CHECK(simulation.held_key_fraction() == 1.0);
            }
            std::size_t index = 0;
            for (std::uint32_t key = 0; key <= last_key; key += 331)
                CHECK(simulation.holder(static_cast<key_number>(key)) == holders[index++]);
        }
        CHECK(first_violation(simulation) == "");
    }
}

TEST_CASE("after the store returned and all instances started anew, all keys are held and none by two")
{
    for (std::uint64_t seed = 1; seed <= 8; ++seed) {
        CAPTURE(seed);
        ownership_simulation simulation(seed, {}, 3, 6);
        simulation.run(milliseconds{5000});
        // The keys move to other targets in the seconds that are lost.
        simulation.start_drain(simulation.holder(700));
        simulation.run(milliseconds{1500});
        simulation.return_store(milliseconds{3500}, milliseconds{400});
        simulation.kill_all_instances();
        simulation.run(milliseconds{8000});
        CHECK(simulation.held_key_fraction() == 1.0);
        CHECK(first_violation(simulation) == "");
    }
}

// A target that does not answer may hold any key after such a takeover. It must not keep all keys unheld for
// as long as an earlier coordinator may have had authority, if that one is known to have ended.
TEST_CASE(
    "after a return with new instances and a target that has ended, the others' keys are soon held again")
{
    for (std::uint64_t seed = 1; seed <= 6; ++seed) {
        CAPTURE(seed);
        ownership_simulation simulation(seed, {.coordinator_reports = true}, 3, 6);
        simulation.run(milliseconds{5000});
        simulation.fail_target(simulation.holder(700));
        simulation.run(milliseconds{500});
        simulation.return_store(milliseconds{2500}, milliseconds{400});
        simulation.kill_all_instances();
        simulation.run(milliseconds{11'000});
        CHECK(simulation.held_key_fraction() > 0.8);
        simulation.run(milliseconds{12'000});
        CHECK(simulation.held_key_fraction() == 1.0);
        CHECK(first_violation(simulation) == "");
    }
}

// Guards against keys that lose their holder because a coordinator forgets, with its term, whose grants have
// expired.
TEST_CASE("keys that were granted again in an outage stay held if the store returns and the term ends")
{
    for (std::uint64_t seed = 1; seed <= 8; ++seed) {
        CAPTURE(seed);
        ownership_simulation simulation(seed, {}, 3, 6);
        simulation.run(milliseconds{4000});
        simulation.fail_target(simulation.holder(700), true);
        simulation.run(milliseconds{4000});
        // The grants of the failed target expire, and the keys are granted to the next owner, in the outage.
        simulation.disconnect_log(milliseconds{3000});
        simulation.run(milliseconds{2900});
        simulation.return_store(milliseconds{500}, milliseconds{100});
        REQUIRE(simulation.held_key_fraction() == 1.0);
        double least_held = 1;
        for (int step = 0; step < 40; ++step) {
            simulation.run(milliseconds{500});
            least_held = std::min(least_held, simulation.held_key_fraction());
        }
        CHECK(first_violation(simulation) == "");
        CHECK(least_held == 1.0);
    }
}

// Guards against keys that nobody serves because each new coordinator waits anew for the grants of a target
// that has ended.
TEST_CASE("a new coordinator waits for the grants of an ended target only as long as they can last")
{
    for (std::uint64_t seed = 1; seed <= 6; ++seed) {
        CAPTURE(seed);
        ownership_simulation simulation(seed, {}, 3, 6);
        simulation.run(milliseconds{4000});
        simulation.fail_target(simulation.holder(700), true);
        simulation.run(milliseconds{1000});
        simulation.kill_coordinator();
        simulation.run(key_recovery_time);
        CHECK(simulation.held_key_fraction() == 1.0);
        CHECK(first_violation(simulation) == "");
    }
}

// Guards against two targets that hold a key (OWNER): a coordinator that learnt late that its claim was
// appended recorded a time for a move that was before that of the move for those who had read the claim
// early.
TEST_CASE("the time of a move is not too early for others if its coordinator gets a late answer to a claim")
{
    told_instance instance;
    ownership_log other;
    for (const char* id : {"a", "b"})
        instance.directory.update({id, "ledger", "10.0.0.1:80", "a", 4, false, {}, 0, 1}, {1, 1});
    const auto read_by_other = [&](const append_order& order) {
        for (const auto& record : order.records)
            other.apply(instance.now, record.key, record.value, other.position());
    };
    for (auto* log : {&instance.log, &other})
        log->set_position({1, 0});
    bool answered_late = false;
    for (int step = 0; step < 100 && !answered_late; ++step)
        for (const auto& action : instance.tick(milliseconds{100}))
            if (const auto* order = std::get_if<append_order>(&action)) {
                read_by_other(*order);
                answered_late = instance.log.position().offset > 2 &&
                                order->records.front().key == ownership_log::claim_key;
                if (answered_late)
                    instance.now += milliseconds{2000};
                instance.carry_out(*order);
            }
    REQUIRE(answered_late);
    instance.directory.remove("a", {1, 2});
    for (const auto& action : instance.tick(milliseconds{100}))
        if (const auto* order = std::get_if<append_order>(&action))
            read_by_other(*order);
    const auto moved_at = instance.now;
    instance.now += milliseconds{3000};
    coordinator_claim claim{"n2", 2, "10.1.0.2:1", other.log_time(instance.now)};
    claim.era = 1;
    other.apply(instance.now, ownership_log::claim_key, encode(claim), other.position());
    bool moved = false;
    for (const auto& range : other.find("ledger")->ranges())
        for (const auto& former : range.former_owners) {
            moved = true;
            CHECK(other.latest_reassignment_time(range, former) >= moved_at);
        }
    CHECK(moved);
}

TEST_CASE("a coordinator that can have been succeeded unseen does not keep its term in a new era")
{
    for (const bool late : {false, true}) {
        CAPTURE(late);
        told_instance instance;
        instance.log.set_position({1, 0});
        instance.coordinate();
        REQUIRE(instance.manager.is_coordinator());
        const auto claimed = instance.log.position();
        instance.now += milliseconds{late ? 2600 : 2000};
        instance.log.set_position({2, claimed.offset - 1});
        const auto actions = instance.tick(milliseconds{0});
        CHECK(instance.manager.is_coordinator() == !late);
        CHECK(instance.manager.is_continuous() == !late);
        // A coordinator that keeps its term says so at once, on condition that nobody else has.
        REQUIRE(actions.size() == (late ? 0 : 1));
        if (!late)
            CHECK(std::get<append_order>(actions.front()).expected_end ==
                  log_position{2, claimed.offset - 1});
    }
}

// Guards against two targets that hold a key (OWNER): another instance may have taken over at once, and moved
// keys, in the records that were lost.
TEST_CASE("a coordinator that is handing the role over does not keep its term in a new era")
{
    for (const bool appended : {true, false}) {
        CAPTURE(appended);
        told_instance instance;
        instance.log.set_position({1, 0});
        instance.coordinate();
        REQUIRE(instance.manager.is_coordinator());
        instance.manager.hand_over();
        const auto handover = instance.tick(milliseconds{100});
        REQUIRE(handover.size() == 1);
        const auto& order = std::get<append_order>(handover.front());
        // Without an answer, others may have read the claim all the same.
        if (appended)
            instance.carry_out(order);
        else
            instance.manager.on_append_completed(instance.now, append_status::unknown);
        CHECK(instance.log.claim()->resigned == appended);
        instance.log.set_position({2, instance.log.position().offset});
        CHECK(instance.tick(milliseconds{500}).empty());
        CHECK_FALSE(instance.manager.is_continuous());
        CHECK_FALSE(instance.manager.is_coordinator());
        // Its successor excludes all targets that may hold keys.
        CHECK(instance.log.begins_era());
    }
}

// Guards against fencing tokens of a lost era that are given again (OWNER): the process had coordinated
// before, and its new claim counted as a continuation of its earlier term.
TEST_CASE("a coordinator that steps down in a new era and claims the role again begins a new term")
{
    told_instance instance;
    instance.directory.update({"a", "ledger", "10.0.0.1:80", "a", 4, false, {}, 0, 1}, {1, 1});
    instance.log.set_position({1, 0});
    instance.coordinate();
    REQUIRE(instance.manager.is_coordinator());
    const auto earlier_term = instance.log.term();
    // Another instance may have coordinated in the records that were lost.
    instance.now += milliseconds{4000};
    instance.log.set_position({2, instance.log.position().offset - 1});
    static_cast<void>(instance.tick(milliseconds{0}));
    REQUIRE_FALSE(instance.manager.is_coordinator());
    std::vector<std::uint64_t> fences;
    for (int step = 0; step < 100 && fences.empty(); ++step)
        for (const auto& action : instance.tick(milliseconds{100})) {
            if (const auto* order = std::get_if<append_order>(&action))
                instance.carry_out(*order);
            else if (const auto* grant = std::get_if<grant_order>(&action))
                fences.push_back(grant->fence);
        }
    CHECK(instance.manager.is_coordinator());
    CHECK(earlier_term == log_position{1, 0});
    CHECK(instance.log.term().era == 2);
    REQUIRE_FALSE(fences.empty());
    CHECK(*std::ranges::min_element(fences) >= fence_of({2, 0}, 1));
}

// Guards against two targets that hold a key (OWNER): a target whose registration had lapsed when the store
// returned was not asked to release the keys that it had been given in the lost records.
TEST_CASE("after a return a target that was registered shortly before is asked to release keys")
{
    for (const bool long_ago : {false, true}) {
        CAPTURE(long_ago);
        told_instance instance;
        bool asked = false;
        const auto run = [&](int steps) {
            for (int step = 0; step < steps; ++step)
                for (const auto& action : instance.tick(milliseconds{100}))
                    if (const auto* order = std::get_if<append_order>(&action))
                        instance.carry_out(*order);
                    else if (const auto* release = std::get_if<release_order>(&action))
                        asked = asked || release->target.id == "b";
        };
        instance.directory.update({"a", "ledger", "10.0.0.1:80", "a", 4, false, {}, 0, 1}, {1, 1});
        instance.log.set_position({1, 0});
        instance.coordinate();
        instance.directory.update({"b", "ledger", "10.0.0.2:80", "a", 4, false, {}, 0, 1}, {1, 2});
        run(12);
        instance.directory.remove("b", {1, 3});
        instance.now += milliseconds{long_ago ? 20'000 : 4000};
        REQUIRE_FALSE(asked);
        instance.log.set_position({2, instance.log.position().offset - 1});
        run(100);
        CHECK(asked == !long_ago);
    }
}

TEST_CASE("the first claim of an era waits for the living coordinator, is marked and writes the assignments")
{
    for (const bool marked_before : {false, true}) {
        CAPTURE(marked_before);
        told_instance instance;
        for (const char* target : {"a", "b", "c"})
            instance.directory.update({target, "ledger", "10.0.0.1:80", "a", 4, false, {}, 0, 1}, {1, 1});
        const assignment owners(
            {{{0, 99}, {"a", 0, "10.0.0.1:80"}, 2, {}}, {{100, last_key}, {"c", 0, "10.0.0.1:80"}, 1, {}}});
        const std::uint64_t era = marked_before ? 2 : 1;
        instance.log.apply(start, service_key, encode(owners, era), {2, 2});
        // The claim has been given up; in an unmarked log, that may be undone by what was lost.
        coordinator_claim claim{"n7", 7, "10.1.0.7:1"};
        claim.era = era;
        claim.unsettled = marked_before;
        claim.resigned = true;
        instance.log.apply(start, ownership_log::claim_key, encode(claim), {2, 3});
        auto actions = instance.tick(milliseconds{0});
        if (!marked_before) {
            CHECK(actions.empty());
            CHECK(instance.tick(milliseconds{2400}).empty());
            actions = instance.tick(milliseconds{200});
        }
        REQUIRE(actions.size() == 1);
        const auto order = std::get<append_order>(actions.front());
        const auto written = decode_claim(order.records.front().value);
        CHECK(std::get<coordinator_claim>(written).unsettled);
        CHECK(order.records.size() == (marked_before ? 1 : 2));
        instance.carry_out(order);
        CHECK_FALSE(instance.log.has_assignment_of_earlier_era());
        // Each target releases what it does not own; nothing is granted until all have answered.
        std::vector<release_order> releases;
        for (int step = 0; step < 30; ++step)
            for (const auto& action : instance.tick(milliseconds{100})) {
                REQUIRE(!std::holds_alternative<grant_order>(action));
                if (const auto* release = std::get_if<release_order>(&action))
                    releases.push_back(*release);
                else
                    instance.carry_out(std::get<append_order>(action));
            }
        REQUIRE(releases.size() == 3);
        std::ranges::sort(releases, {}, [](const release_order& release) { return release.target.id; });
        CHECK(releases[0].keys == key_range{100, last_key});
        CHECK(releases[1].keys == key_range{0, last_key});
        CHECK(releases[2].keys == key_range{0, 99});
        CHECK(instance.log.claim()->unsettled);
        for (const auto& release : releases)
            instance.manager.on_order_completed(instance.now, release.id, order_status::done, {});
        // A target may register later still, so the mark stays until the last grant has expired.
        unsigned grants = 0;
        for (int step = 0; step < 160; ++step) {
            for (const auto& action : instance.tick(milliseconds{100})) {
                if (const auto* grant = std::get_if<grant_order>(&action)) {
                    CHECK(grant->fence >= releases.front().fence);
                    ++grants;
                }
                else if (const auto* append = std::get_if<append_order>(&action))
                    instance.carry_out(*append);
            }
            if (step == 20) {
                CHECK(grants > 0);
                CHECK(instance.log.claim()->unsettled);
            }
        }
        CHECK_FALSE(instance.log.claim()->unsettled);
        CHECK(instance.log.claim()->fence_origin.has_value());
    }
}

// Guards against a takeover from an earlier build that relies on what the store's copy says of the owners.
TEST_CASE("a claim of a build that knew no eras shows in no later era that lost records are accounted for")
{
    for (const std::uint64_t era : {1, 2})
        for (const bool knows_earlier_era : {false, true})
            for (const bool follows_sweep : {false, true}) {
                if ((knows_earlier_era || follows_sweep) && era == ownership_log::first_era)
                    continue;
                CAPTURE(era);
                CAPTURE(knows_earlier_era);
                CAPTURE(follows_sweep);
                const bool may_lack_records = era > ownership_log::first_era;
                told_instance instance;
                for (const char* target : {"a", "b"})
                    instance.directory.update({target, "ledger", "10.0.0.1:80", "a", 4, false, {}, 0, 1},
                                              {1, 1});
                if (knows_earlier_era)
                    instance.log.apply(start, service_key, encode(owned_by("a", 1)), {1, 1});
                // A newer build that ended before it had asked all targets.
                if (follows_sweep)
                    instance.log.apply(start, ownership_log::claim_key, claim_by(6, era, true), {era, 7});
                instance.log.apply(start, service_key, encode(owned_by("a", 8)), {era, 8});
                coordinator_claim claim{"n7", 7, "10.1.0.7:1"};
                claim.resigned = true;
                instance.log.apply(start, ownership_log::claim_key, encode(claim), {era, 9});
                CHECK(instance.log.begins_era() == may_lack_records);
                // The copy may lack the claim of another coordinator, which lives.
                const bool waits = may_lack_records && !instance.log.knows_earlier_era();
                auto actions = instance.tick(milliseconds{0});
                CHECK(actions.empty() == waits);
                if (actions.empty())
                    actions = instance.tick(milliseconds{2600});
                REQUIRE(actions.size() == 1);
                const auto order = std::get<append_order>(actions.front());
                instance.carry_out(order);
                CHECK(instance.log.claim()->unsettled == may_lack_records);
                CHECK_FALSE(instance.log.begins_era());
                CHECK_FALSE(instance.log.has_assignment_of_earlier_era());
                // The other target may have been given keys in the lost records.
                bool asked = false;
                bool granted_first = false;
                for (int step = 0; step < 30; ++step)
                    for (const auto& action : instance.tick(milliseconds{100})) {
                        if (const auto* release = std::get_if<release_order>(&action))
                            asked = asked || (release->target.id == "b" && release->keys == key_range{});
                        else if (std::holds_alternative<grant_order>(action))
                            granted_first = granted_first || !asked;
                        else
                            instance.carry_out(std::get<append_order>(action));
                    }
                CHECK(asked == may_lack_records);
                CHECK(granted_first != may_lack_records);
            }
}

TEST_CASE("only in an era that may follow another the first claim in an empty log waits and is marked")
{
    for (const std::uint64_t era : {0, 1, 2}) {
        CAPTURE(era);
        const bool follows = era > ownership_log::first_era;
        told_instance instance;
        instance.log.set_position({era, 0});
        auto actions = instance.tick(milliseconds{0});
        CHECK(actions.empty() == follows);
        if (follows)
            actions = instance.tick(milliseconds{2600});
        REQUIRE(actions.size() == 1);
        const auto claim = decode_claim(std::get<append_order>(actions.front()).records.front().value);
        CHECK(std::get<coordinator_claim>(claim).unsettled == follows);
    }
}

TEST_CASE("a sweep frees keys once each other target has released them or its grants have expired")
{
    const target_incarnation a{"a", 0, "10.0.0.1:80"};
    const target_incarnation b{"b", 0, "10.0.0.2:80"};
    const auto owners = owned_by("a", 1);
    holder_sweep sweep;
    CHECK(sweep.is_free(start, "s", a, {}));
    sweep.begin(start + milliseconds{5000}, 9);
    sweep.add_target("s", a, &owners);
    sweep.add_target("s", b, &owners);
    std::uint64_t next_id = 1;
    const auto orders = sweep.due_orders(start, "s", &owners, next_id);
    REQUIRE(orders.size() == 1);
    CHECK(orders.front().target == b);
    CHECK(orders.front().keys == key_range{});
    CHECK(orders.front().fence == 9);
    CHECK(sweep.due_orders(start, "s", &owners, next_id).empty());
    const auto later = start + milliseconds{200};
    CHECK_FALSE(sweep.is_free(later, "s", a, {0, 9}));
    // No answer: the release is repeated after a while.
    sweep.on_order_completed(orders.front().id, order_status::unknown, later + milliseconds{100});
    CHECK(sweep.due_orders(later, "s", &owners, next_id).empty());
    // Keys that were assigned to the target since are not released.
    auto moved = owners;
    moved.assign({0, 99}, b, 2, milliseconds{0});
    const auto repeated = sweep.due_orders(later + milliseconds{100}, "s", &moved, next_id);
    REQUIRE(repeated.size() == 1);
    CHECK(repeated.front().keys == key_range{100, last_key});
    sweep.on_order_completed(repeated.front().id, order_status::done, {});
    CHECK_FALSE(sweep.is_free(later, "s", a, {100, 200}));
    sweep.set_directory_current(true);
    CHECK(sweep.is_free(later, "s", a, {100, 200}));
    CHECK(sweep.is_free(later, "s", b, {0, 99}));
    CHECK_FALSE(sweep.is_free(later, "s", a, {0, 99}));
    CHECK_FALSE(sweep.is_complete(later));
    // A target that registers late is swept as well.
    sweep.add_target("s", {"late", 0, "10.0.0.3:80"}, &owners);
    CHECK_FALSE(sweep.is_free(later, "s", a, {100, 200}));
    CHECK(sweep.is_free(start + milliseconds{5001}, "s", a, {0, 99}));
    CHECK(sweep.is_complete(start + milliseconds{5001}));
}

// Guards against a stop of all keys after a return because a target that has ended answers no release.
TEST_CASE("a sweep doesn't wait for a target that refuses connections and is registered no more")
{
    const target_incarnation a{"a", 0, "10.0.0.1:80"};
    const target_incarnation b{"b", 0, "10.0.0.2:80"};
    const auto owners = owned_by("a", 1);
    for (const auto status : {order_status::refused, order_status::not_sent, order_status::unknown})
        for (const bool registered : {true, false}) {
            holder_sweep sweep;
            sweep.begin(start + milliseconds{5000}, 9);
            sweep.add_target("s", b, &owners);
            std::uint64_t next_id = 1;
            const auto orders = sweep.due_orders(start, "s", &owners, next_id);
            REQUIRE(orders.size() == 1);
            sweep.on_order_completed(orders.front().id, status, start + milliseconds{1000});
            sweep.exclude_refusing([&](const target_incarnation&) { return registered; });
            CHECK_FALSE(sweep.is_free(start + milliseconds{100}, "s", a, {}));
            sweep.set_directory_current(true);
            sweep.exclude_refusing([&](const target_incarnation&) { return registered; });
            CHECK(sweep.is_free(start + milliseconds{100}, "s", a, {}) ==
                  (status == order_status::refused && !registered));
        }
}

// Guards against keys of a target that has ended which nobody serves until the last possible grants of a lost
// coordinator expire, although no target answers at the address of their owner in the copy.
TEST_CASE("a sweep doesn't wait for a former owner that refuses connections and is registered no more")
{
    for (const auto status : {order_status::refused, order_status::not_sent, order_status::unknown})
        for (const bool registered : {true, false}) {
            CAPTURE(registered);
            told_instance instance;
            instance.log.apply(start, service_key, encode(owned_by("a", 0), 1), {2, 0});
            instance.log.apply(start, ownership_log::claim_key, claim_by(7, 1), {2, 1});
            for (const char* id : {"a", "b"})
                if (registered || *id == 'b')
                    instance.directory.update({id, "ledger", "10.0.0.1:80", "a", 4, false, {}, 0, 1}, {2, 0});
            bool granted = false;
            for (auto elapsed = milliseconds{0}; elapsed < key_recovery_time; elapsed += milliseconds{100})
                for (const auto& action : instance.tick(milliseconds{100})) {
                    if (const auto* order = std::get_if<append_order>(&action))
                        instance.carry_out(*order);
                    else if (const auto* release = std::get_if<release_order>(&action))
                        instance.manager.on_order_completed(
                            instance.now, release->id,
                            release->target.id == "a" ? status : order_status::done, {});
                    else {
                        const auto& grant = std::get<grant_order>(action);
                        const bool to_ended = grant.target.id == "a";
                        granted = granted || !to_ended;
                        instance.manager.on_order_completed(instance.now, grant.id,
                                                            to_ended ? status : order_status::done, {});
                    }
                }
            CHECK(granted == (status == order_status::refused && !registered));
        }
}
