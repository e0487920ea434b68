#include <teaseltally/admission.hpp>
#include <teaseltally/idempotency.hpp>
#include <teaseltally/placement.hpp>
#include <teaseltally/request_policy.hpp>
#include <teaseltally/service_window.hpp>

#include <algorithm>
#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace teaseltally;

namespace {

time_point at(std::int64_t ms)
{
    return time_point{milliseconds{1'000'000 + ms}};
}

constexpr service_id service{0};

} // namespace

// Guards against a slot that is assigned or released twice when admissions, releases and starts from the
// queue alternate.
TEST_CASE("an admission queue never runs more requests than it has slots, nor queues more than its limit")
{
    const bool property_holds = rc::check("slots", [](const std::vector<std::uint8_t>& steps) {
        admission_queue queue({3, 5, false});
        std::uint32_t running = 0;
        std::int64_t now = 0;
        for (const auto step : steps) {
            now += step % 7;
            if (step % 3 != 0) {
                const auto decision = queue.admit(
                    step % 2 ? work_priority::prompt : work_priority::late_tolerant, at(now + 500), at(now));
                running += std::holds_alternative<admitted>(decision) ? 1 : 0;
            }
            else if (running > 0) {
                --running;
                queue.release_slot(milliseconds{2}, false, at(now));
                while (queue.start_next(at(now)))
                    ++running;
            }
            RC_ASSERT(running <= 3U);
            RC_ASSERT(running == queue.running());
            RC_ASSERT(queue.waiting() <= 5U);
        }
    });
    CHECK(property_holds);
}

// A steady stream of prompt requests must not keep a late-tolerant request in the queue for ever.
TEST_CASE("queued requests start by priority and then by deadline, and prompt ones do not starve "
          "late-tolerant ones")
{
    admission_queue queue({1, 64, false});
    CHECK(std::holds_alternative<admitted>(queue.admit(work_priority::prompt, at(900), at(0))));
    const auto late_tolerant_id =
        std::get<queued>(queue.admit(work_priority::late_tolerant, at(800), at(0))).id;
    const auto second = std::get<queued>(queue.admit(work_priority::prompt, at(700), at(0))).id;
    const auto first = std::get<queued>(queue.admit(work_priority::prompt, at(600), at(0))).id;
    queue.release_slot(milliseconds{2}, false, at(1));
    CHECK(queue.start_next(at(1)) == first);
    queue.release_slot(milliseconds{2}, false, at(1));
    CHECK(queue.start_next(at(1)) == second);
    for (int round = 0; round < 20; ++round) {
        (void)queue.admit(work_priority::prompt, at(900), at(1));
        queue.release_slot(milliseconds{2}, false, at(1));
        if (queue.start_next(at(1)) == late_tolerant_id) {
            CHECK(round < 9);
            return;
        }
    }
    FAIL("the late-tolerant request was not started within 20 rounds");
}

// A request that waits in the queue although its deadline cannot be met wastes the time in which its caller
// could have retried.
TEST_CASE("a request whose deadline cannot be met is shed on arrival with a positive retry time")
{
    admission_queue queue({1, 64, false});
    (void)queue.admit(work_priority::prompt, at(1000), at(0));
    for (int round = 0; round < 40; ++round)
        queue.release_slot(milliseconds{50}, false, at(0)),
            (void)queue.admit(work_priority::prompt, at(1000), at(0));
    const auto decision = queue.admit(work_priority::prompt, at(20), at(0));
    REQUIRE(std::holds_alternative<shed>(decision));
    CHECK(std::get<shed>(decision).retry_after.count() > 0);
}

TEST_CASE("a waiting request is removed from the queue once its deadline can no longer be met")
{
    admission_queue queue({1, 64, false});
    (void)queue.admit(work_priority::prompt, at(1000), at(0));
    const auto id = std::get<queued>(queue.admit(work_priority::prompt, at(30), at(0))).id;
    CHECK(queue.remove_expired(at(5)).empty());
    CHECK(queue.remove_expired(at(31)) == std::vector{id});
    CHECK(queue.waiting() == 0);
}

TEST_CASE(
    "a duplicate joins the run in progress or gets its stored response; a different request with the same "
    "key is refused")
{
    idempotency_table table({});
    const scoped_idempotency_key key{service, "k"};
    CHECK(std::holds_alternative<start_run>(table.try_start(key, 1, at(0))));
    CHECK(std::holds_alternative<join_run>(table.try_start(key, 1, at(1))));
    CHECK(std::get<refuse_request>(table.try_start(key, 2, at(1))).code == result_code::refused_key_reuse);
    table.record_response(key, {201, "text/plain", "body"}, at(2));
    CHECK(std::get<replay_response>(table.try_start(key, 1, at(3))).answer.body == "body");
    CHECK(std::holds_alternative<start_run>(table.try_start(key, 1, at(60'001))));
}

// Guards against a second execution: the first run may have been executed although its response was lost, and
// a new dispatcher learns of that run only from its start mark.
TEST_CASE("a request with an unknown outcome is not started again before its start mark expires")
{
    idempotency_table table({});
    const scoped_idempotency_key key{service, "k"};
    (void)table.try_start(key, 1, at(0));
    table.record_unknown_outcome(key);
    CHECK(std::get<refuse_request>(table.try_start(key, 1, at(1))).code == result_code::unknown_predecessor);
    idempotency_table successor({});
    for (const auto& mark : table.marks(at(2)))
        successor.import_mark(mark, at(2));
    CHECK(std::get<refuse_request>(successor.try_start(key, 1, at(3))).code ==
          result_code::unknown_predecessor);
    CHECK(std::holds_alternative<start_run>(successor.try_start(key, 1, at(60'001))));
}

TEST_CASE("a request whose start mark was cancelled may be started again")
{
    idempotency_table table({});
    const scoped_idempotency_key key{service, "k"};
    (void)table.try_start(key, 1, at(0));
    table.cancel(key);
    CHECK(std::holds_alternative<start_run>(table.try_start(key, 1, at(1))));
}

// Evicting a start mark before it expires would let a duplicate request run a second time.
TEST_CASE("a full idempotency table refuses new keys and evicts the oldest responses, but no start marks")
{
    idempotency_table table({2, 10, milliseconds{60'000}});
    const scoped_idempotency_key first{service, "1"};
    const scoped_idempotency_key second{service, "2"};
    (void)table.try_start(first, 1, at(0));
    (void)table.try_start(second, 1, at(0));
    CHECK(std::get<refuse_request>(table.try_start({service, "3"}, 1, at(0))).code ==
          result_code::not_run_overloaded);
    table.record_response(first, {200, "", "12345678"}, at(0));
    table.record_response(second, {200, "", "12345678"}, at(0));
    CHECK(table.response_bytes() <= 10);
    CHECK(std::get<refuse_request>(table.try_start(first, 1, at(1))).code ==
          result_code::unknown_predecessor);
    CHECK(std::holds_alternative<replay_response>(table.try_start(second, 1, at(1))));
}

TEST_CASE("a retry budget of 10 percent allows at most one retry per ten requests")
{
    const bool property_holds = rc::check("budget", [](const std::vector<bool>& steps) {
        retry_budget budget(10);
        std::size_t requests = 0;
        std::size_t retries = 0;
        for (const bool wants_retry : steps) {
            if (wants_retry)
                retries += budget.try_withdraw() ? 1 : 0;
            else {
                ++requests;
                budget.deposit();
            }
            RC_ASSERT(retries * 10 <= requests + 1);
        }
    });
    CHECK(property_holds);
}

TEST_CASE(
    "a fingerprint is quarantined from its second crash until its lifetime ends, and at most 4096 are kept")
{
    quarantine_table table;
    table.record_crash(7, 1, at(0), milliseconds{1000});
    CHECK_FALSE(table.is_quarantined(7, 2, at(1)));
    table.record_crash(7, 1, at(2), milliseconds{1000});
    CHECK(table.is_quarantined(7, 2, at(3)));
    CHECK_FALSE(table.is_quarantined(7, 2, at(1003)));
    for (std::uint64_t fingerprint = 100; fingerprint < 10'000; ++fingerprint)
        table.record_crash(fingerprint, 1, at(4), milliseconds{1000});
    CHECK(table.list(at(5)).size() <= 4096);
}

TEST_CASE("a target is not chosen over an untried one after a failed attempt, and a slow target is chosen "
          "less often")
{
    const std::vector<target_candidate> candidates{{target_id{0}, 0, 4, 0, microseconds{20'000}, true, false},
                                                   {target_id{1}, 0, 4, 0, microseconds{2'000}, true, false},
                                                   {target_id{2}, 0, 4, 0, microseconds{2'000}, true, true}};
    std::map<std::size_t, int> chosen;
    std::uint64_t random = 1;
    for (int round = 0; round < 1000; ++round) {
        random = random * 6364136223846793005ULL + 1442695040888963407ULL;
        ++chosen[choose_target(candidates, random)];
    }
    CHECK(chosen[2] == 0);
    CHECK(chosen[1] > chosen[0]);
    CHECK(choose_target({}, 1) == 0);
}

TEST_CASE("the initial placement of 256 slots on 10 equal targets gives each of them 25 or 26 slots")
{
    std::vector<placement_target> targets;
    for (std::uint32_t index = 0; index < 10; ++index)
        targets.push_back({target_id{index}, 4.0, 0.0, 1.0});
    std::vector<placement_item> items(256);
    for (std::size_t index = 0; index < items.size(); ++index)
        items[index].slot_or_key = index;
    std::map<target_id, int> owned;
    for (const auto& move : place_items(items, targets))
        ++owned[move.to];
    for (const auto& [target, count] : owned)
        CHECK((count == 25 || count == 26));
    CHECK(place_items(items, {}).empty());
}

// Balancing must not raise the highest utilisation, exceed its limit of moves, or move slots between targets
// with almost equal load.
TEST_CASE("balancing lowers the highest utilisation within its limit of moves and leaves almost equal loads "
          "unchanged")
{
    const bool property_holds = rc::check("balance", [](const std::vector<std::uint8_t>& loads) {
        std::vector<placement_target> targets;
        for (std::uint32_t index = 0; index < 4; ++index)
            targets.push_back({target_id{index}, 1000.0, 0.0, 1.0});
        std::vector<placement_item> items;
        for (std::size_t index = 0; index < loads.size(); ++index) {
            const target_id owner{static_cast<std::uint32_t>(index % 3)};
            items.push_back({index, false, owner, epoch{1}, double(loads[index])});
            targets[index % 3].load += loads[index];
        }
        const auto highest = [](const std::vector<placement_target>& all) {
            return std::ranges::max(all, {}, &placement_target::utilisation).utilisation();
        };
        balance_limits limits;
        limits.max_moves = 8;
        const auto moves = balance_items(items, targets, limits);
        RC_ASSERT(moves.size() <= limits.max_moves);
        auto after = targets;
        for (const auto& move : moves) {
            after[number(move.item.owner)].load -= move.item.load;
            after[number(move.to)].load += move.item.load;
        }
        RC_ASSERT(highest(after) <= highest(targets) + 1e-9);
        RC_ASSERT(moves.empty() || highest(after) < highest(targets));
    });
    CHECK(property_holds);
    const std::vector<placement_target> balanced_targets{{target_id{0}, 1000, 500, 1.0},
                                                         {target_id{1}, 1000, 520, 1.0}};
    CHECK(balance_items({{1, false, target_id{1}, epoch{1}, 20}}, balanced_targets, {}).empty());
}

TEST_CASE("the service window counts the moves of the last hour and its seconds with requests of which none "
          "was served")
{
    service_window window;
    window.add_answer(result_class::not_run, at(0));
    window.add_answer(result_class::done, at(10));
    window.add_answer(result_class::not_run, at(1000));
    window.add_answer(result_class::unknown, at(2000));
    window.add_answer(result_class::refused, at(3000));
    window.add_moves(7, at(3000));
    CHECK(window.unavailable_seconds(at(4000)) == 2);
    CHECK(window.moves(at(4000)) == 7);
    CHECK(window.unavailable_seconds(at(3'700'000)) == 0);
    CHECK(window.moves(at(3'700'000)) == 0);
}
