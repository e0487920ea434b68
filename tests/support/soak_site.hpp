#pragma once

#include "support/front_deployment.hpp"
#include "support/link_proxy.hpp"
#include "support/soak_judge.hpp"

#include <teaseltally/count_guard.hpp>

#include <deque>
#include <random>

/// @file
/// A deployment of the soak: real processes, a store, targets behind proxies, callers and a balancer.

namespace teaseltally::test {

/// One service of a deployment and its requests.
struct service_plan {
    std::string name;
    std::uint8_t targets = 0;
    unsigned slots = 0;
    milliseconds service_time{};
    bool keyed = false;
    bool at_most_once = false;
    /// Requests per second.
    double rate = 0;
    milliseconds target_latency{};
    milliseconds timeout{};
    milliseconds deadline{};
    /// Whether callers keep their connections.
    bool keeps_connections = true;
};

/// A deployment of the users.
struct site_plan {
    std::string name;
    std::vector<std::string> data_centres;
    std::size_t fronts = 0;
    retry_limit retries;
    unsigned caller_retries = 0;
    unsigned max_connections = 0;
    unsigned queue_length = 0;
    bool resets_when_full = false;
    std::vector<service_plan> services;
};

/// Returns the deployments of the users by name, with the figures of their pages.
[[nodiscard]] const std::vector<site_plan>& soak_sites();

/// What happens to a process; its callers' requests are judged accordingly.
enum class process_state { running, stopping, paused, ended };

/// Processes, targets, proxies and callers of one run.
class soak_site {
public:
    /// @param program program of the instances; empty for the one under test.
    /// @param seed seed of the callers' choices.
    soak_site(const site_plan& plan, const std::string& program, std::uint64_t seed);

    /// Starts the instances, the balancer and the callers.
    asio::awaitable<void> start();
    /// Ends the callers' requests and waits for the last answers.
    asio::awaitable<void> stop_callers();
    /// Multiplies the rate of requests from now on.
    void set_load(double factor) { load_ = factor; }
    /// Makes callers repeat at once, and more often than the pages allow.
    void set_impatient(bool impatient) { impatient_ = impatient; }

    /// Kills an instance and starts it again after a time.
    asio::awaitable<void> kill(std::size_t front, milliseconds down);
    /// Stops an instance as the platform does and starts it again.
    asio::awaitable<void> replace(std::size_t front);
    /// Pauses an instance for a time.
    asio::awaitable<void> pause(std::size_t front, milliseconds duration);
    /// Returns an instance that runs undisturbed; nothing if there is none.
    [[nodiscard]] std::optional<std::size_t> any_running(std::mt19937_64& random) const;
    [[nodiscard]] process_state state(std::size_t front) const { return states_.at(front); }
    /// Makes callers' requests to an instance count as disturbed from now on.
    void mark_disturbed(std::size_t front);
    /// Records that an instance is disturbed until the returned time is set, or the run ends.
    [[nodiscard]] time_point& begin_disturbance(std::size_t front);
    /// Sends the request that ends each target that executes it, to any instance. Its caller does not come
    /// back by itself.
    asio::awaitable<void> send_lethal(std::size_t service);
    /// Returns what callers and targets have seen.
    [[nodiscard]] soak_history history() const;
    [[nodiscard]] std::size_t service_count() const noexcept { return plan_.services.size(); }
    [[nodiscard]] std::size_t target_count() const noexcept { return site.targets.size(); }
    [[nodiscard]] link_proxy& proxy(std::size_t target) { return *proxies_.at(target); }

    deployment site;

private:
    struct open_connection;

    void configure();
    asio::awaitable<void> watch_readiness(std::size_t front);
    asio::awaitable<void> send_requests(std::size_t service);
    asio::awaitable<void> serve_caller(std::size_t service, std::size_t data_centre);
    [[nodiscard]] std::shared_ptr<open_connection> choose_connection(std::size_t service,
                                                                     std::size_t data_centre, bool is_new);
    asio::awaitable<std::string> exchange(std::shared_ptr<open_connection> connection, std::size_t service,
                                          soak_call& call, std::string key, time_point leaves_at);

    site_plan plan_;
    std::mt19937_64 random_;
    std::vector<std::unique_ptr<link_proxy>> proxies_;
    std::vector<target_arrival> arrivals_;
    std::vector<soak_call> calls_;
    std::deque<disturbed_span> disturbed_;
    /// Requests that have no answer yet, by instance.
    std::vector<std::set<soak_call*>> open_calls_;
    std::vector<process_state> states_;
    std::vector<bool> in_rotation_;
    std::vector<std::vector<std::shared_ptr<open_connection>>> idle_;
    double load_ = 1;
    bool impatient_ = false;
    bool stopped_ = false;
    std::size_t callers_ = 0;
    std::uint64_t next_id_ = 0;
};

} // namespace teaseltally::test
