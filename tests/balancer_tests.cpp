#include <teaseltally/ownership/balancer.hpp>
#include <teaseltally/ownership/target_speed.hpp>

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace teaseltally;

namespace {

std::vector<balance_target> make_targets(std::initializer_list<double> capacities)
{
    std::vector<balance_target> targets;
    for (const double capacity : capacities)
        targets.push_back({{"t" + std::to_string(targets.size()), 0, "10.0.0.1:80"}, capacity});
    return targets;
}

assignment assigned(const std::vector<balance_move>& moves)
{
    assignment made;
    for (const auto& move : moves)
        made.give(move.keys, move.to, 1, {});
    made.settle([](const owned_range&) { return true; });
    return made;
}

double rate_of(const assignment& owners, std::string_view target, const key_load& load)
{
    double rate = 0;
    for (const auto& range : owners.ranges())
        if (range.owner.id == target)
            rate += load.rate(range.keys);
    return rate;
}

} // namespace

TEST_CASE("the first spread covers all keys and gives neighbours different owners")
{
    const auto made = assigned(spread_evenly(make_targets({10, 10, 20})));
    std::uint32_t covered = 0;
    for (const auto& range : made.ranges())
        covered += range.keys.size();
    CHECK(covered == std::uint32_t{last_key} + 1);
    CHECK(made.ranges().size() == 18);
    CHECK(made.ranges()[0].owner.id != made.ranges()[1].owner.id);
}

TEST_CASE("a key that dominates its owner goes to a target that is much faster")
{
    const auto targets = make_targets({20, 20, 60});
    auto made = assigned(spread_evenly(targets));
    made.give({100, 100}, targets[0].life, 2, {});
    made.settle([](const owned_range&) { return true; });
    key_load load;
    load.add(100, 40);
    const auto moves = level_load(made, targets, load, {});
    REQUIRE(!moves.empty());
    CHECK(moves.front().keys == key_range{100, 100});
    CHECK(moves.front().to.id == "t2");
    level_limits resting;
    resting.move_dominant = false;
    for (const auto& move : level_load(made, targets, load, resting))
        CHECK(!move.keys.contains(100));
}

TEST_CASE("a load many times too large for its owner goes to many targets in one round")
{
    std::vector<balance_target> targets(40);
    for (std::size_t index = 0; index < targets.size(); ++index)
        targets[index] = {{"t" + std::to_string(index), 0, "10.0.0.1:80"}, 20};
    const auto made = assigned(spread_evenly(targets));
    key_load load;
    const auto hot = made.ranges().front().keys;
    for (key_number step = 0; step < 120; ++step)
        load.add(static_cast<key_number>(hot.first + step), 2);
    level_limits limits;
    limits.moves = 20;
    const auto moves = level_load(made, targets, load, limits);
    CHECK(moves.size() == 20);
    auto next = made;
    for (const auto& move : moves)
        next.give(move.keys, move.to, 2, {});
    for (const auto& target : targets)
        if (target.life.id != made.ranges().front().owner.id)
            CHECK(rate_of(next, target.life.id, load) <= 0.7 * target.capacity);
}

TEST_CASE("a target whose load is spread over many ranges is relieved")
{
    const auto targets = make_targets({20, 60, 60});
    const auto made = assigned(spread_evenly(targets));
    key_load load;
    for (const auto& range : made.ranges())
        if (range.owner.id == "t0")
            for (key_number step = 0; step < 10; ++step)
                load.add(static_cast<key_number>(range.keys.first + step * 100), 1);
    CHECK(rate_of(made, "t0", load) > 50);
    auto planned = made;
    for (const auto& move : level_load(made, targets, load, {}))
        planned.give(move.keys, move.to, 2, {});
    CHECK(rate_of(planned, "t0", load) < 30);
}

TEST_CASE("ranges of a target that is gone go to the others")
{
    const auto targets = make_targets({20, 20, 20});
    const auto made = assigned(spread_evenly(targets));
    const std::vector<balance_target> left{targets[1], targets[2]};
    auto planned = made;
    const auto gone = [](const owned_range& range) { return range.owner.id == "t0"; };
    for (const auto& move : place_vacated(made, left, key_load{}, gone))
        planned.give(move.keys, move.to, 2, {});
    for (const auto& range : planned.ranges())
        CHECK(range.owner.id != "t0");
}

TEST_CASE("an assignment keeps every key once, and encoding keeps the assignment")
{
    CHECK(rc::check([](const std::vector<std::tuple<key_number, key_number, std::uint8_t>>& gifts) {
        assignment made;
        std::uint64_t fence = 0;
        std::vector<int> owners(std::size_t{last_key} + 1, -1);
        for (const auto& [one, other, owner] : gifts) {
            const key_range keys{std::min(one, other), std::max(one, other)};
            made.give(keys, {"t" + std::to_string(owner), 0, "10.0.0.1:80"}, ++fence, {});
            std::fill(owners.begin() + keys.first, owners.begin() + keys.last + 1, owner);
        }
        std::uint32_t next = 0;
        for (const auto& range : made.ranges()) {
            RC_ASSERT(range.keys.first >= next);
            next = range.keys.last + 1U;
        }
        for (std::uint32_t key = 0; key <= last_key; key += 97) {
            const auto* range = made.find(static_cast<key_number>(key));
            RC_ASSERT((range == nullptr) == (owners[key] < 0));
            if (range != nullptr)
                RC_ASSERT(range->owner.id == "t" + std::to_string(owners[key]));
        }
        const auto decoded = decode_assignment(encode(made));
        RC_ASSERT(failure(decoded) == nullptr);
        RC_ASSERT(std::get<assignment>(decoded) == made);
    }));
}

TEST_CASE("an assignment that cannot be read changes nothing and says why")
{
    ownership_log log;
    const auto now = time_point{std::chrono::hours{1}};
    assignment made;
    made.give({0, last_key}, {"t1", 0, "10.0.0.1:80"}, 1, {});
    CHECK(!log.apply(now, "service/a", encode(made), 0));
    const std::string targets = R"({"targets":[["a",0,"b"]],"ranges":)";
    for (const auto& bad :
         {std::string{}, std::string{"{"}, std::string{"[]"}, std::string{R"({"ranges":[]})"},
          targets + "[[1]]}", targets + "[[5,1,1,0]]}", targets + "[[0,70000,1,0]]}",
          targets + "[[0,9,1,1]]}", targets + "[[0,9,1,0],[9,10,1,0]]}"}) {
        CAPTURE(bad);
        const auto problem = log.apply(now, "service/a", bad, log.position());
        REQUIRE(problem);
        CHECK(!problem->message.empty());
        REQUIRE(log.find("a") != nullptr);
        CHECK(*log.find("a") == made);
    }
}

TEST_CASE("the rate of answers of a saturated target tells its speed")
{
    target_speed speed;
    auto now = time_point{std::chrono::hours{1}};
    speed.tick(now, 4);
    for (int second = 0; second < 10; ++second) {
        speed.add({20, 20, 0, {}});
        now += std::chrono::seconds{1};
        speed.tick(now, 4);
    }
    REQUIRE(speed.service_time());
    CHECK(speed.service_time()->count() == doctest::Approx(200'000).epsilon(0.05));
}
