#include "support/soak_judge.hpp"

#include <teaseltally/admission/retry_token_bucket.hpp>

#include <doctest/doctest.h>
#include <functional>

using namespace teaseltally;
using namespace teaseltally::test;

namespace {

const time_point start{std::chrono::hours{1}};
constexpr milliseconds step{100};
constexpr milliseconds second{1000};
/// Most sends of one request beyond its first: the attempts of a route and one after a refusal.
constexpr int max_retries = 2;
/// Time in which all tokens are saved up before any is spent.
constexpr milliseconds quiet_time{40'000};

/// A deployment of the users' pages.
struct retry_site {
    unsigned instances;
    double slack;
};

constexpr retry_site sites[]{{8, 56}, {12, 64}, {71, 182}, {87, 214}, {295, 630}};
/// Requests per second for each instance.
constexpr double rates[]{0.5, 2, 10, 40};

/// Instances that each hold a share of one limit, and what their callers and targets see.
class simulated_instances {
public:
    simulated_instances(const retry_site& site, double rate) : site_(site), rate_(rate)
    {
        history_.retries.slack = site.slack;
        for (unsigned instance = 0; instance < site.instances; ++instance)
            restart(instance);
    }
    /// Replaces an instance by one that knows nothing of its predecessor.
    void restart(unsigned instance)
    {
        buckets_.resize(site_.instances, retry_token_bucket{0, 0});
        buckets_.at(instance) = retry_token_bucket{history_.retries.ratio * retry_budget_share,
                                                   retry_budget_capacity(site_.slack, site_.instances)};
    }
    void restart_all()
    {
        for (unsigned instance = 0; instance < site_.instances; ++instance)
            restart(instance);
    }
    /// Tells an instance how many instances there are.
    void tell_count(unsigned instance, unsigned count)
    {
        buckets_.at(instance).resize(retry_budget_capacity(site_.slack, count));
    }
    void tell_all(unsigned count)
    {
        for (unsigned instance = 0; instance < site_.instances; ++instance)
            tell_count(instance, count);
    }
    /// Serves requests for a time.
    /// @param fails whether targets refuse all of them.
    void serve(milliseconds duration, bool fails)
    {
        const auto until = now_ + duration;
        for (; now_ < until; now_ += step) {
            due_ += rate_ * site_.instances * std::chrono::duration<double>(step).count();
            for (; due_ >= 1; due_ -= 1)
                serve_one(fails);
        }
    }
    [[nodiscard]] retry_peak peak() const { return retry_peaks(history_).at("s"); }

private:
    void serve_one(bool fails)
    {
        const auto id = std::to_string(history_.calls.size());
        auto& bucket = buckets_.at(history_.calls.size() % buckets_.size());
        history_.calls.push_back({.id = id, .service = "s", .sent = now_});
        history_.arrivals.push_back({"s", "t", id, now_, {}});
        bucket.deposit();
        for (int retry = 0; fails && retry < max_retries && bucket.try_withdraw(); ++retry)
            history_.arrivals.push_back({"s", "t", id, now_, {}});
    }

    retry_site site_;
    double rate_;
    std::vector<retry_token_bucket> buckets_;
    soak_history history_;
    time_point now_ = start;
    double due_ = 0;
};

/// Checks the limit on retries in all deployments at all rates.
/// @param play what happens to the instances.
template <typename Play>
void check_limit(const std::string& name, Play play)
{
    for (const auto& site : sites) {
        double closest = 0;
        for (const double rate : rates) {
            CAPTURE(site.instances);
            CAPTURE(rate);
            simulated_instances instances(site, rate);
            play(instances, site.instances);
            const auto peak = instances.peak();
            closest = std::max(closest, peak.arrivals / peak.limit);
            CHECK(peak.arrivals <= peak.limit);
        }
        MESSAGE(name << ", " << site.instances << " instances: closest peak " << closest << " of its limit");
    }
}

} // namespace

// Guards against shares of the retry limit that add up to more than the whole.
TEST_CASE("retries of all instances stay within their common limit after tokens were saved")
{
    check_limit("undisturbed", [](simulated_instances& instances, unsigned) {
        instances.serve(quiet_time, false);
        instances.serve(20 * second, true);
    });
}

// Guards against tokens that an instance gets with each start: in a series of restarts they exceeded the
// limit.
TEST_CASE("retries of all instances stay within their common limit while all restart again and again")
{
    check_limit("restarts", [](simulated_instances& instances, unsigned) {
        instances.serve(quiet_time, false);
        for (int round = 0; round < 20; ++round) {
            instances.serve(second, true);
            instances.restart_all();
        }
    });
}

// Guards against a number of instances that is too small for as long as a new coordinator waits for reports.
TEST_CASE("retries of all instances stay within their common limit if each is told for 3 s that it is alone")
{
    check_limit("alone for 3 s", [](simulated_instances& instances, unsigned count) {
        instances.serve(quiet_time, false);
        instances.tell_all(1);
        instances.serve(3 * second - step, false);
        instances.serve(step, true);
        instances.tell_all(count);
        instances.serve(20 * second, true);
    });
}
