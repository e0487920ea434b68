#include <teaseltally/admission/cold_targets.hpp>

#include <algorithm>
#include <doctest/doctest.h>
#include <random>

using namespace teaseltally;

namespace {

constexpr cold_bounds bounds{1.5, 8};
const time_point start{std::chrono::hours{1}};

std::string incarnation_of(std::size_t target)
{
    return "t" + std::to_string(target) + "@1";
}

/// Load of a simulation: instances of which some cannot reach the issuer of permits, and cold targets.
struct cold_load {
    unsigned instances = 81;
    unsigned cut_off = 0;
    unsigned targets = 35;
    double per_s = 4;
    double requests_per_s = 2300;
    /// Whether all requests are for one target.
    bool one_target = false;
};

struct cold_outcome {
    /// Largest number of requests that one target got within one second.
    std::size_t most_in_second = 0;
    /// Requests per second and target of the instances that reach the issuer.
    double issued_per_s = 0;
};

/// Lets a data centre return cold at once, for 30 s. Each instance asks for permits as the router does.
cold_outcome simulate(const cold_load& load, unsigned seed)
{
    constexpr milliseconds duration{30'000};
    constexpr milliseconds step{5};
    std::mt19937_64 random{seed};
    cold_targets cold(bounds);
    for (std::size_t target = 0; target < load.targets; ++target)
        cold.on_start(incarnation_of(target), "s", start);
    const auto limits = cold.update(start, [&](std::string_view) {
        return cold_service{std::chrono::hours{1}, load.per_s};
    });
    permit_issuer issuer;
    std::vector<permit_holder> holders(load.instances);
    for (auto& holder : holders) {
        holder.set_instance_count(load.instances);
        holder.set_phase(std::uniform_real_distribution<double>(0, 1)(random));
        for (const auto& [permit, limit] : limits)
            holder.record_limit(permit, limit);
    }
    std::vector<std::vector<time_point>> arrivals(load.targets);
    std::size_t issued = 0;
    std::poisson_distribution<unsigned> requests(load.requests_per_s * static_cast<double>(step.count()) /
                                                 1000);
    for (auto now = start + step; now < start + duration; now += step)
        for (auto count = requests(random); count > 0; --count) {
            const auto instance = random() % load.instances;
            const auto target = load.one_target ? 0 : random() % load.targets;
            auto& holder = holders[instance];
            const auto permit = cold_permit_name(incarnation_of(target));
            if (!holder.has_permit(permit, now) && now >= holder.held_back_until(permit)) {
                if (instance < load.cut_off)
                    holder.on_issuer_unreachable(now);
                else
                    holder.on_grant(issuer.grant(holder.next_request(permit, now), now), now);
            }
            if (!holder.use_permit(permit, now))
                continue;
            arrivals[target].push_back(now);
            issued += instance < load.cut_off ? 0 : 1;
        }
    cold_outcome outcome;
    outcome.issued_per_s = static_cast<double>(issued) / std::chrono::duration<double>(duration).count() /
                           (load.one_target ? 1 : load.targets);
    for (const auto& times : arrivals)
        for (auto first = times.begin(); first != times.end(); ++first) {
            const auto end = std::upper_bound(first, times.end(), *first + std::chrono::seconds{1});
            outcome.most_in_second = std::max(outcome.most_in_second, static_cast<std::size_t>(end - first));
        }
    return outcome;
}

} // namespace

// Guards against the crowd that a data centre got which returned cold: each instance sent its targets
// requests as if they were warm, and one that is cut off cannot know how many the others send.
TEST_CASE("81 instances keep to the bound of a data centre that returns cold, and use it")
{
    for (const auto& load : {cold_load{}, cold_load{.one_target = true}, cold_load{.cut_off = 20},
                             cold_load{.cut_off = 81}, cold_load{.cut_off = 81, .one_target = true},
                             cold_load{.cut_off = 20, .per_s = 40}, cold_load{.per_s = 1}}) {
        CAPTURE(load.cut_off);
        CAPTURE(load.per_s);
        CAPTURE(load.one_target);
        const auto allowed = static_cast<std::size_t>(load.per_s * bounds.overage + bounds.slack);
        for (unsigned seed = 1; seed <= 3; ++seed) {
            const auto outcome = simulate(load, seed);
            CHECK(outcome.most_in_second <= allowed);
            if (load.cut_off == 0)
                CHECK(outcome.issued_per_s >= std::min(load.per_s, 20.0) / 2);
        }
    }
}

TEST_CASE("a target is paced from its start, or for as long as it says, and only if there are bounds")
{
    const auto service = [](std::string_view name) {
        return name == "s" ? cold_service{milliseconds{5000}, 4} : cold_service{milliseconds{5000}, 0};
    };
    cold_targets cold(bounds);
    cold.on_start("a@1", "s", start);
    cold.on_statement("b@1", "s", start + milliseconds{700});
    cold.on_start("c@1", "without rate", start);
    const auto begun = cold.update(start, service);
    REQUIRE(begun.size() == 2);
    CHECK(begun[0].permit == cold_permit_name("a@1"));
    CHECK(begun[0].limit.per_s == 4);
    CHECK(cold.update(start + milliseconds{600}, service).empty());
    const auto ended = cold.update(start + milliseconds{700}, service);
    REQUIRE(ended.size() == 1);
    CHECK(ended[0].permit == cold_permit_name("b@1"));
    CHECK_FALSE(ended[0].limit.per_s);
    // It has become cold again.
    cold.on_statement("a@1", "s", start + milliseconds{9000});
    CHECK(cold.update(start + milliseconds{5000}, service).empty());
    CHECK(cold.paced_count() == 1);
    CHECK(cold.update(start + milliseconds{9000}, service).size() == 1);
    CHECK(cold.paced_count() == 0);
    cold_targets unbounded(cold_bounds{});
    unbounded.on_start("a@1", "s", start);
    CHECK(unbounded.update(start, service).empty());
}

TEST_CASE("the rate of a cold target is that of its service unless the bound is too low for it")
{
    CHECK(paced_rate(4, bounds) == doctest::Approx(4));
    CHECK(paced_rate(100, bounds) < 50);
    CHECK(paced_rate(100, {10, 0}) == doctest::Approx(100));
}
