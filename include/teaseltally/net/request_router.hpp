#pragma once

#include <teaseltally/admission/retry_token_bucket.hpp>
#include <teaseltally/knowledge/traffic_report.hpp>
#include <teaseltally/net/notifier.hpp>
#include <teaseltally/net/target_node.hpp>
#include <teaseltally/ownership/assignment.hpp>
#include <teaseltally/routing/route_table.hpp>

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

/// @file
/// Takes one request from its caller to a target and the answer back.

namespace teaseltally {

/// Settings of the router.
struct router_settings {
    std::string data_centre;
    double retry_ratio = 0.2;
    double retry_slack = 50;
    header_names headers;
};

/// One attempt to have a request executed.
struct routed_attempt {
    std::shared_ptr<target_node> target;
    /// The connection in use, to cancel the attempt.
    boost::beast::tcp_stream* stream = nullptr;
    time_point started{};
    double occupancy = 0;
    bool ended = false;
    time_point ended_at{};
    bool handled = false;
    exchange_result result;
};

/// A request on its way.
class routed_request {
public:
    routed_request(const asio::any_io_executor& executor, http_request caller_request, time_point arrival)
        : message(std::move(caller_request)), received_at(arrival), wake(executor)
    {
    }

    http_request message;
    time_point received_at;
    notifier wake;
    bool caller_disconnected = false;
    /// Outcome for the log.
    std::string cause;

    std::string id;
    std::shared_ptr<const route_table> table;
    const route* matched_route = nullptr;
    std::string service;
    std::optional<key_number> key;
    /// When the caller has its final answer at the latest.
    time_point deadline{};
    std::vector<std::shared_ptr<routed_attempt>> attempts;
    unsigned sends = 0;
    /// Sends after which a target may have executed the request without an answer.
    unsigned unknown_outcomes = 0;
    /// Whether a target may have begun to execute the request.
    bool may_have_executed = false;

    /// Closes the connections of attempts that have not ended.
    void cancel_attempts();
    /// Tells that the caller has closed its connection.
    void on_caller_disconnected();
};

/// Routes requests by what this instance knows.
class request_router {
public:
    using log_sink = std::function<void(const std::string&)>;

    request_router(asio::any_io_executor executor, router_settings settings, log_sink log);

    /// Puts a configuration in force unless a newer one is.
    /// @returns whether it was put in force.
    bool configure(routing_configuration configured);
    [[nodiscard]] const std::shared_ptr<const route_table>& table() const noexcept { return table_; }
    void update_target(const target_entry& entry);
    void remove_target(const std::string& id);
    /// Uses the owners in a log, which outlives the router.
    void set_ownership(const ownership_log& log) { ownership_ = &log; }
    /// Tells that owners have changed.
    void on_ownership_changed();
    /// Sets the number of instances that share limits.
    void set_instance_count(unsigned instance_count);
    /// Closes connections that were idle for long.
    void close_expired_connections();

    /// Routes a request.
    /// @returns the answer for the caller; nothing if the caller has left.
    [[nodiscard]] asio::awaitable<std::optional<http_response>>
    serve(std::shared_ptr<routed_request> request);

    /// @returns what was seen since the last call.
    [[nodiscard]] traffic_report extract_traffic();

private:
    /// Number of instances assumed before it is known: large, so that shared limits hold.
    static constexpr unsigned assumed_instance_count = 40;
    struct service_state {
        explicit service_state(retry_token_bucket initial_budget) : retry_budget(initial_budget) {}
        retry_token_bucket retry_budget;
        std::list<routed_request*> waiting;
        microseconds service_time{100'000};
        /// Time between ends of requests while others wait.
        double drain_interval_us = 20'000;
        time_point last_attempt_ended_at{};
        std::vector<std::shared_ptr<target_node>> targets;
    };

    class waiting_guard;

    [[nodiscard]] service_state& state_of(const std::string& service);
    [[nodiscard]] std::optional<http_response> prepare(routed_request& request);
    [[nodiscard]] std::string choose_backend(const routed_request& request);
    [[nodiscard]] std::shared_ptr<target_node> choose_target(const routed_request& request,
                                                             service_state& state);
    [[nodiscard]] std::shared_ptr<target_node> owner_of(const routed_request& request) const;
    [[nodiscard]] bool may_send_to_owner(const routed_request& request, const target_node& owner) const;
    [[nodiscard]] bool has_capacity(target_node& node, bool keyed) const;
    [[nodiscard]] bool should_start_attempt(const routed_request& request, time_point now,
                                            time_point hedge_at) const;
    [[nodiscard]] bool try_start_attempt(const std::shared_ptr<routed_request>& request,
                                         service_state& state);
    [[nodiscard]] microseconds expected_wait(const routed_request& request, service_state& state) const;
    void start_attempt(const std::shared_ptr<routed_request>& request, std::shared_ptr<target_node> target,
                       std::unique_ptr<target_connection> connection);
    [[nodiscard]] asio::awaitable<void> run_attempt(std::shared_ptr<routed_request> request,
                                                    std::shared_ptr<routed_attempt> attempt,
                                                    std::unique_ptr<target_connection> connection);
    [[nodiscard]] std::shared_ptr<const http_request> build_target_request(const routed_request& request,
                                                                           const target_node& target) const;
    void record_speed_sample(const routed_attempt& attempt, microseconds service_time);
    void record_attempt_end(const routed_request& request, routed_attempt& attempt);
    [[nodiscard]] std::optional<http_response> handle_result(routed_request& request,
                                                             routed_attempt& attempt);
    [[nodiscard]] asio::awaitable<std::optional<http_response>>
    run_attempts(std::shared_ptr<routed_request> request);
    [[nodiscard]] http_response make_failure_response(routed_request& request, std::string cause,
                                                      milliseconds retry_after) const;
    [[nodiscard]] time_point next_hedge_time(const routed_request& request, service_state& state) const;
    [[nodiscard]] double retry_budget_capacity() const noexcept;
    [[nodiscard]] unsigned connection_limit(const std::string& service) const;
    void wake_waiting(service_state& state);
    void enqueue(routed_request& request, service_state& state);
    static void dequeue(routed_request& request, service_state& state);

    asio::any_io_executor executor_;
    router_settings settings_;
    log_sink log_;
    std::shared_ptr<const route_table> table_;
    std::map<std::string, std::shared_ptr<target_node>, std::less<>> targets_;
    std::map<std::string, service_state, std::less<>> services_;
    const ownership_log* ownership_ = nullptr;
    traffic_report traffic_;
    /// Credit of each part of a route, for the smooth weighted choice.
    std::map<std::string, std::vector<double>, std::less<>> backend_credits_;
    unsigned instance_count_ = assumed_instance_count;
    std::mt19937_64 random_{std::random_device{}()};
    std::uint64_t logged_ = 0;
};

} // namespace teaseltally
