#pragma once

#include <teaseltally/admission/crash_quarantine.hpp>
#include <teaseltally/admission/retry_counts.hpp>
#include <teaseltally/admission/retry_token_bucket.hpp>
#include <teaseltally/knowledge/target_reachability.hpp>
#include <teaseltally/knowledge/traffic_report.hpp>
#include <teaseltally/net/notifier.hpp>
#include <teaseltally/net/request_relay.hpp>
#include <teaseltally/net/target_node.hpp>
#include <teaseltally/ownership/assignment.hpp>
#include <teaseltally/ownership/range_refusals.hpp>
#include <teaseltally/routing/route_table.hpp>

#include <boost/asio/cancellation_signal.hpp>

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

/// @file
/// Routes requests of callers to targets, with retries and hedged requests.

namespace teaseltally {

/// Settings of the router.
struct router_settings {
    /// Data centre of this instance.
    std::string data_centre;
    /// Number of retries allowed per request, on average; at least 0.
    double retry_ratio = 0.2;
    /// Number of retries allowed beyond `retry_ratio`, for all instances together.
    double retry_burst = 50;
    /// Names of the headers exchanged with callers and targets.
    header_names headers;
};

/// One attempt to have a request executed by a target.
struct routed_attempt {
    /// Target that the request is sent to.
    std::shared_ptr<target_node> target;
    /// Connection in use, closed to cancel the attempt; null when the attempt has ended.
    boost::beast::tcp_stream* stream = nullptr;
    /// Number of the connection among those of the target.
    std::uint64_t connection = 0;
    /// Assignment by which the target owns the key of the request; nothing for services without keys.
    std::optional<range_assignment> range;
    /// Time when the attempt started.
    time_point started{};
    /// Estimated number of requests at the target when the attempt started, including itself.
    double occupancy = 0;
    /// Whether the exchange with the target has ended.
    bool ended = false;
    /// Time when the exchange ended.
    time_point ended_at{};
    /// Whether the coroutine that routes the request has handled the result.
    bool handled = false;
    /// Result of the exchange; set when it has ended.
    exchange_result result;
};

/// One attempt to have a request executed through another instance.
struct relay_attempt {
    /// Name of the instance that was asked.
    std::string instance;
    /// Cancels the exchange with the instance.
    asio::cancellation_signal cancel;
    /// Whether the exchange has ended.
    bool ended = false;
    /// Whether the coroutine that routes the request has handled the result.
    bool handled = false;
    /// Result; set when the exchange has ended.
    relay_result result;
};

/// A request of a caller and the state of its routing.
class routed_request {
public:
    /// @param caller_request request as received from the caller.
    /// @param caller_address IP address of the caller.
    /// @param arrival time when the request was received.
    routed_request(const asio::any_io_executor& executor, http_request caller_request,
                   const asio::ip::address& caller_address, time_point arrival)
        : message(std::move(caller_request)), caller(caller_address), received_at(arrival), wake(executor)
    {
    }

    /// Request as received from the caller.
    http_request message;
    /// Memory of the request.
    memory_reservation memory;
    /// IP address of the caller.
    asio::ip::address caller;
    /// Time when the request was received.
    time_point received_at;
    /// Wakes the coroutine that routes the request.
    notifier wake;
    /// Whether the caller has closed its connection.
    bool caller_disconnected = false;
    /// Cause of the latest result, for the log and for error responses.
    std::string cause;

    /// Value of the request id header.
    std::string id;
    /// Identify the requests that count as equal when targets crash.
    crash_fingerprints fingerprints;
    /// Routing configuration that applies to the request; owns `matched_route`.
    std::shared_ptr<const route_table> table;
    /// Route of the request; null until it is found.
    const route* matched_route = nullptr;
    /// Service chosen among the backends of the route.
    std::string service;
    /// Key number of a request to a keyed service; nothing for other services.
    std::optional<key_number> key;
    /// Time by which the router returns a response.
    time_point deadline{};
    /// Attempts in the order of their starts.
    std::vector<std::shared_ptr<routed_attempt>> attempts;
    /// Owner of the key for which the request waits; null if it does not.
    std::shared_ptr<target_node> awaited_owner;
    /// Number of attempts, without those that could not connect.
    unsigned sends = 0;
    /// Time from which a further attempt may start although the last one has not ended.
    time_point hedge_at = time_point::max();
    /// Number of attempts that ended without a response although the target may have executed the request.
    unsigned unknown_outcomes = 0;
    /// Names of the permits of the limited targets of which one must be granted, the preferred one first.
    std::vector<std::string> limited_targets;
    /// Whether another instance passed on the request; it is not passed on again.
    bool is_relayed = false;
    /// Number of attempts that were made before this instance received the request.
    unsigned earlier_sends = 0;
    /// Names of the instances that the request was passed to.
    std::set<std::string> asked_instances;
    /// Latest attempt through another instance; null if there was none.
    std::shared_ptr<relay_attempt> relay;
    /// How the request ended, for the instance that passed it on.
    relay_status relay_outcome = relay_status::refused;
    /// Whether the request is the trial of its quarantined fingerprint.
    bool is_trial = false;
    /// Whether a target may have executed the request, at least in part.
    bool may_have_executed = false;

    /// Returns whether an attempt has not ended.
    [[nodiscard]] bool has_running_attempt() const;
    /// Returns the numbers of the connections to a target that have carried the request.
    [[nodiscard]] std::vector<std::uint64_t> connections_used(const target_node& target) const;
    /// Returns why the next attempt repeats an earlier one; there must be one.
    [[nodiscard]] retry_cause next_retry_cause() const;
    /// Returns how the attempts ended, in the order of their starts, for the log.
    [[nodiscard]] std::string attempt_outcomes() const;
    /// Returns whether an attempt through another instance has not ended.
    [[nodiscard]] bool is_relay_running() const { return relay && !relay->ended; }
    /// Returns whether the next attempt repeats one of this instance, so that it needs a retry token.
    [[nodiscard]] bool needs_retry_token() const { return sends > earlier_sends; }
    /// Frees the body of the request unless an attempt may still send it, and the memory of the responses,
    /// which is counted elsewhere from now on.
    void release_memory();
    /// Closes the connections of attempts that have not ended.
    void cancel_attempts();
    /// Records that the caller has closed its connection, and wakes the coroutine.
    void on_caller_disconnected();
};

/// Routes requests by the routing configuration, the targets and the ownership known to this instance.
class request_router {
public:
    /// Writes one log line.
    using log_sink = std::function<void(const std::string&)>;

    /// Creates a router that answers every request with status 503 until a configuration is applied.
    /// @param log writes one line for each request that fails, for every 64th that succeeds and for each
    /// attempt whose outcome is unknown.
    /// @param memory account of messages, which outlives the router; null makes the router use its own.
    request_router(asio::any_io_executor executor, router_settings settings, log_sink log,
                   message_memory* memory = nullptr);

    /// Applies a routing configuration unless its version is lower than the current one or it is equal to it.
    /// A version that the store has lost may be published again with other content.
    /// @returns whether the configuration was applied.
    bool configure(routing_configuration configured);
    /// Returns the current routing configuration; null until one is applied.
    [[nodiscard]] const std::shared_ptr<const route_table>& table() const noexcept { return table_; }
    /// Adds a target or updates it. A target that registered again with another address, start time or
    /// service replaces the earlier one. Entries with a malformed address are ignored.
    void update_target(const target_entry& entry);
    /// Removes a target and closes its idle connections; unknown identifiers are ignored.
    void remove_target(const std::string& id);
    /// Sets the log from which the owners of keys are read.
    /// @param log ownership log; it outlives the router.
    void set_ownership(const ownership_log& log) { ownership_ = &log; }
    /// Claims the trial of a quarantined request; returns whether the request may be sent once.
    using trial_claim = std::function<asio::awaitable<bool>(std::uint64_t fingerprint)>;
    /// Sets the quarantine, which receives the ends of targets and decides which requests are refused.
    /// Without one, no request is refused because of crashes.
    /// @param quarantine outlives the router.
    /// @param claim claims trials; none are claimed if it is empty.
    void set_quarantine(crash_quarantine& quarantine, trial_claim claim)
    {
        quarantine_ = &quarantine;
        claim_trial_ = std::move(claim);
    }
    /// Requests permits for the first of several limited targets that has any. Afterwards the holder has
    /// them, or knows for each until when it is held back.
    using permit_source = std::function<asio::awaitable<void>(std::vector<std::string> incarnations)>;
    /// Tells other instances that the known limit of a target has changed.
    using limit_report = std::function<void(const std::string& incarnation)>;
    /// Sets the permits for targets that limit their requests. Without them, no limit is kept to.
    /// @param permits outlives the router.
    void set_permits(permit_holder& permits, permit_source request_permits, limit_report report)
    {
        permits_ = &permits;
        request_permits_ = std::move(request_permits);
        report_limit_ = std::move(report);
    }
    /// Sets the relay, which passes requests to other instances when this one cannot reach the targets.
    /// Without one, such requests are refused.
    /// @param relay outlives the router.
    void set_relay(request_relay& relay) { relay_ = &relay; }
    /// Sets the function that returns whether a newer configuration may be in force than the one that is
    /// known. While it is so, requests without a route are refused with status 503 instead of 404, as the
    /// newer one may have a route for them. Without a function, the known one counts as the newest.
    void set_outdated_check(std::function<bool()> is_outdated) { is_outdated_ = std::move(is_outdated); }
    /// Probes targets if the links to them may be lost; called periodically.
    void check_links();
    /// Returns whether this instance can reach none of the targets.
    [[nodiscard]] bool is_isolated() const noexcept { return reachability_.is_isolated(); }
    /// Records that an order to a target was answered, or that it was not.
    void record_order_outcome(const std::string& target, bool answered);
    /// Routes a request that another instance passed on.
    /// @returns the message of its result.
    [[nodiscard]] asio::awaitable<http_response> serve_relayed(relayed_request received);
    /// Declines the requests that other instances pass on from now on, so that they ask another instance.
    void decline_relayed() noexcept { declines_relayed_ = true; }
    /// Answers each request by a time at the latest, because the process ends then: those in progress and
    /// later ones.
    void answer_all_by(time_point time);
    /// Returns the number of requests passed on by other instances that have no response yet.
    [[nodiscard]] unsigned relayed_in_progress() const noexcept { return relayed_in_progress_; }
    /// Records that a target has said that it is leaving, to this instance or to another one. Ignored if its
    /// incarnation is not registered.
    void record_leaving(const std::string& incarnation);
    /// Returns the incarnations of targets that have said that they are leaving although their registrations
    /// do not say so.
    [[nodiscard]] const std::set<std::string, std::less<>>& leaving_targets() const noexcept
    {
        return leaving_targets_;
    }
    /// Sets the data centres that are being evacuated. Their targets get no requests, but for those that own
    /// keys which have not moved yet.
    void set_evacuations(std::map<std::string, evacuation, std::less<>> evacuations);
    /// Records that another process than a target responds at its address. Ignored if the incarnation is not
    /// registered.
    void record_other_process(const std::string& incarnation);
    /// Returns the incarnations of registered targets at whose addresses other processes respond.
    [[nodiscard]] const std::set<std::string, std::less<>>& unconfirmed_targets() const noexcept
    {
        return unconfirmed_targets_;
    }
    /// Returns the account of the memory for messages.
    [[nodiscard]] message_memory& memory() noexcept { return memory_; }
    /// Wakes the requests that wait for the owner of their key.
    void on_ownership_changed();
    /// Sets the number of instances that share the limits on retries and connections; zero counts as one.
    void set_instance_count(unsigned instance_count);
    /// Writes one log line for each service with retries since the last call: what caused them, and what was
    /// left to pay for them; called periodically.
    void log_retries();
    /// Closes the idle connections to targets that have expired; called periodically.
    void close_expired_connections();

    /// Routes a request and retries it as its route allows.
    /// @returns the response for the caller; nothing if the caller has closed its connection.
    [[nodiscard]] asio::awaitable<std::optional<http_response>>
    serve(std::shared_ptr<routed_request> request);

    /// Returns the time when the last request of a caller was received.
    [[nodiscard]] time_point last_request_at() const noexcept { return last_request_at_; }

    /// Removes and returns the traffic observed since the last call.
    [[nodiscard]] traffic_report extract_traffic();

private:
    /// Number of instances assumed until the actual number is known; high, so that the shared limits are not
    /// exceeded.
    static constexpr unsigned assumed_instance_count = 40;
    /// Retry budget, waiting requests and averages of one service.
    struct service_state {
        explicit service_state(retry_token_bucket initial_budget) : retry_budget(initial_budget) {}
        retry_token_bucket retry_budget;
        /// Counted since the last call of `log_retries`.
        retry_counts counts;
        /// Requests that wait for a target, by priority and then by arrival.
        std::list<routed_request*> waiting;
        /// Moving average of the service time of the targets.
        microseconds service_time{100'000};
        /// Moving average of the time between ends of attempts while requests wait, in microseconds.
        double drain_interval_us = 20'000;
        time_point last_attempt_ended_at{};
        std::vector<std::shared_ptr<target_node>> targets;
    };

    class routing_guard;
    class waiting_guard;
    class attempts_guard;
    /// Time for which requests wait until the keys of a leaving target have moved.
    static constexpr milliseconds max_handover_time{1000};
    /// Time after the reassignment of a range from which requests are sent to its new owner even if the grant
    /// to the new owner has not been observed. A release is answered when the work in progress has ended.
    static constexpr milliseconds max_grant_delay{2000};
    /// Interval between probes of the links while no target can be reached.
    static constexpr milliseconds link_probe_interval{500};

    [[nodiscard]] service_state& state_of(const std::string& service);
    /// Finds the route and the service of a request.
    [[nodiscard]] std::optional<http_response> prepare(routed_request& request);
    [[nodiscard]] std::string choose_backend(const routed_request& request);
    [[nodiscard]] std::shared_ptr<target_node> choose_target(const routed_request& request,
                                                             service_state& state);
    /// Returns the target that owns the key of a request; null if there is none.
    /// @param granted whether a target counts only once the range has been granted to it.
    [[nodiscard]] std::shared_ptr<target_node> owner_of(const routed_request& request,
                                                        bool granted = true) const;
    /// Returns the target in the log as the owner of the key of a request, also if it is leaving; null if it
    /// is not registered.
    [[nodiscard]] std::shared_ptr<target_node> recorded_owner_of(const routed_request& request,
                                                                 bool granted) const;
    /// Returns the range of the key of a request; null if there is none.
    [[nodiscard]] const owned_range* range_of(const routed_request& request) const;
    /// Returns whether the owner of a range is taken to have the grant for it.
    [[nodiscard]] bool is_granted(const std::string& service, const owned_range& range, time_point now) const;
    [[nodiscard]] bool may_send_to_owner(const routed_request& request, const target_node& owner) const;
    [[nodiscard]] bool has_capacity(target_node& node, bool keyed) const;
    /// Returns whether a request is to be passed to another instance instead of being sent to a target.
    [[nodiscard]] bool should_relay(const routed_request& request, service_state& state);
    /// Returns the name under which failures to reach the targets of a request through others are remembered.
    [[nodiscard]] std::string relay_backoff_name(const routed_request& request) const;
    /// Passes a request to another instance.
    /// @returns false if there is none to ask.
    bool start_relay(const std::shared_ptr<routed_request>& request);
    [[nodiscard]] asio::awaitable<void> run_relay(std::shared_ptr<routed_request> request,
                                                  std::shared_ptr<relay_attempt> attempt, feed_member to);
    [[nodiscard]] std::optional<http_response> handle_relay_result(routed_request& request);
    /// Records the end of the isolation, or that a target was reached.
    void record_contact();
    /// Probes several targets and records whether any of them can be reached.
    [[nodiscard]] asio::awaitable<void> probe_links();
    [[nodiscard]] asio::awaitable<void> probe_link(tcp_endpoint endpoint);
    void begin_isolation();
    /// Returns the response to a relayed request if this instance cannot reach its target.
    [[nodiscard]] std::optional<http_response> decline(routed_request& request) const;
    [[nodiscard]] bool should_start_attempt(const routed_request& request, time_point now) const;
    /// Returns whether the route allows no further attempt at a request.
    [[nodiscard]] bool has_used_attempts(const routed_request& request) const;
    enum class attempt_start { started, blocked, permit_needed };
    /// Starts an attempt at the target that `choose_target` returns.
    /// @returns whether it started, or whether it may after permits for `request.limited_targets` were
    /// requested.
    [[nodiscard]] attempt_start try_start_attempt(const std::shared_ptr<routed_request>& request,
                                                  service_state& state);
    /// Returns whether a request may be sent to a target now, perhaps after permits were requested. While an
    /// attempt is running, no permits are requested, as its response must not wait for them.
    [[nodiscard]] bool may_get_permit(const routed_request& request, const target_node& target,
                                      time_point now) const;
    /// Returns the name of the permits for a target that a request lacks; null if it lacks none. A cold
    /// target that limits its requests takes two.
    [[nodiscard]] const std::string* lacking_permit(const target_node& target, time_point now) const;
    [[nodiscard]] bool is_cold(const target_node& target) const
    {
        return permits_ != nullptr && permits_->is_limited(target.cold_permit());
    }
    /// Returns the names of the permits of the limited targets that a request may be sent to after permits
    /// were requested.
    /// @param preferred target that comes first in the result.
    [[nodiscard]] std::vector<std::string>
    limited_targets(const routed_request& request, const service_state& state, const target_node& preferred);
    /// Returns whether the limit of a target allows no request now and requesting permits is of no use.
    [[nodiscard]] bool is_held_back(const target_node& target, time_point now) const;
    /// Until when statements of targets keep a request from being sent.
    struct hold_back {
        microseconds wait{0};
        /// Time over which the returns of callers are spread after `wait`.
        microseconds spread{0};
        std::string_view cause;
    };
    /// Returns what keeps a request from being sent because the owner of its key has no grant yet and will
    /// not get it in time.
    [[nodiscard]] std::optional<hold_back>
    hold_back_of_grant(const routed_request& request, const service_state& state, time_point now) const;
    /// Returns what keeps a request from being sent while its owner is leaving and its key has not moved.
    [[nodiscard]] std::optional<hold_back> hold_back_of_move(const routed_request& request,
                                                             time_point now) const;
    /// Returns what keeps a target from getting a request now; nothing if it may take one or will soon.
    [[nodiscard]] std::optional<hold_back> hold_back_of(const target_node& target, time_point now) const;
    /// Returns the hold-back that ends first if all targets that could take the request have one.
    [[nodiscard]] std::optional<hold_back> hold_back_of(const routed_request& request,
                                                        const service_state& state) const;
    [[nodiscard]] http_response make_hold_back_response(routed_request& request, const hold_back& held);
    [[nodiscard]] microseconds expected_wait(const routed_request& request, service_state& state) const;
    void start_attempt(const std::shared_ptr<routed_request>& request, std::shared_ptr<target_node> target,
                       std::unique_ptr<target_connection> connection);
    [[nodiscard]] asio::awaitable<void> run_attempt(std::shared_ptr<routed_request> request,
                                                    std::shared_ptr<routed_attempt> attempt,
                                                    std::unique_ptr<target_connection> connection);
    [[nodiscard]] std::shared_ptr<const target_request> build_target_request(const routed_request& request,
                                                                             const target_node& target) const;
    void record_speed_sample(const routed_attempt& attempt, microseconds service_time);
    void record_attempt_end(const routed_request& request, routed_attempt& attempt);
    /// Closes the idle connections to a target that has said that it is leaving, and tells other instances
    /// unless its registration does.
    void publish_leaving(target_node& target);
    /// Records what a response says about its target.
    void record_statement(const routed_request& request, const routed_attempt& attempt);
    void record_rate_limit(const routed_attempt& attempt);
    /// Records what a refusal says of the process at the address of its target: that it is another one,
    /// unless it may be the target, which does not hold the key.
    void record_misdirection(const routed_request& request, const routed_attempt& attempt);
    /// Records that the process at an address is the target with an identifier, and not any other that is
    /// registered there.
    /// @param asked_at time when the request was sent that the process has answered.
    void record_responder(const std::string& address, std::string_view id, time_point asked_at);
    /// Sends a target no requests until it is confirmed, and checks from time to time who responds at its
    /// address.
    /// @param asked_at time when the request was sent that another process has answered.
    /// @param answering identifier of that process; may be empty.
    void leave_alone(const std::shared_ptr<target_node>& target, time_point asked_at,
                     std::string_view answering);
    void confirm(target_node& target, time_point asked_at);
    /// Begins to check who responds at the address of a target.
    /// @param delay time before the first check.
    void start_identity_checks(const std::shared_ptr<target_node>& target, milliseconds delay);
    [[nodiscard]] asio::awaitable<void> check_identity(std::shared_ptr<target_node> target,
                                                       milliseconds delay);
    /// Asks the process at the address of a target for its identifier.
    /// @returns the identifier, empty if the process names none; nothing without a response.
    [[nodiscard]] asio::awaitable<std::optional<std::string>>
    query_identity(std::shared_ptr<const target_node> target);
    [[nodiscard]] bool is_registered(const target_node& target) const;
    void log_lost_attempt(const routed_request& request, const routed_attempt& attempt) const;
    /// Passes what the end of an attempt says about its target and its request to the quarantine.
    void record_crash_evidence(const routed_request& request, const routed_attempt& attempt);
    void record_target_end(const target_node& target);
    /// Finds out whether a target has ended after a connection to it was lost.
    [[nodiscard]] asio::awaitable<void> probe_target(std::shared_ptr<target_node> target);
    /// Returns the quarantined fingerprint of a request; nothing if it has none.
    [[nodiscard]] std::optional<std::uint64_t> quarantined_fingerprint(const routed_request& request) const;
    /// Returns whether targets have crashed and one more crash would quarantine the request.
    [[nodiscard]] bool is_last_crash_tolerated(const routed_request& request) const;
    /// Claims the trial of a quarantined request if a target could run it now.
    [[nodiscard]] asio::awaitable<bool> claim_trial(const std::shared_ptr<routed_request>& request,
                                                    service_state& state);
    [[nodiscard]] http_response make_quarantine_response(routed_request& request) const;
    [[nodiscard]] std::optional<http_response> handle_result(routed_request& request,
                                                             routed_attempt& attempt);
    [[nodiscard]] asio::awaitable<std::optional<http_response>>
    run_attempts(std::shared_ptr<routed_request> request);
    [[nodiscard]] http_response make_failure_response(routed_request& request, std::string cause,
                                                      milliseconds retry_after) const;
    [[nodiscard]] time_point next_hedge_time(const routed_request& request, service_state& state) const;
    /// Counts a send of a request, and spends a retry token if it repeats an earlier one.
    static void pay_for_send(const routed_request& request, service_state& state);
    [[nodiscard]] unsigned connection_limit(const std::string& service) const;
    void wake_waiting(service_state& state);
    void enqueue(routed_request& request, service_state& state);
    /// Sets the owner for which a request waits.
    static void await_owner(routed_request& request, std::shared_ptr<target_node> owner);
    /// Returns whether the owner of a request's key is overloaded, so that the answer would be late.
    [[nodiscard]] bool comes_too_late(const routed_request& request) const;
    static void dequeue(routed_request& request, service_state& state);

    asio::any_io_executor executor_;
    router_settings settings_;
    log_sink log_;
    message_memory own_memory_;
    message_memory& memory_;
    std::shared_ptr<const route_table> table_;
    std::function<bool()> is_outdated_;
    target_statement_table statements_;
    std::set<std::string, std::less<>> leaving_targets_;
    std::set<std::string, std::less<>> unconfirmed_targets_;
    /// Evacuations by data centre.
    std::map<std::string, evacuation, std::less<>> evacuations_;
    std::map<std::string, std::shared_ptr<target_node>, std::less<>> targets_;
    std::map<std::string, service_state, std::less<>> services_;
    const ownership_log* ownership_ = nullptr;
    range_refusals range_refusals_;
    crash_quarantine* quarantine_ = nullptr;
    trial_claim claim_trial_;
    /// Incarnations of targets that are being probed.
    std::set<std::string> probed_incarnations_;
    request_relay* relay_ = nullptr;
    bool declines_relayed_ = false;
    unsigned relayed_in_progress_ = 0;
    /// Requests that have no answer yet. Their coroutines may outlive the router.
    std::shared_ptr<std::set<routed_request*>> routed_ = std::make_shared<std::set<routed_request*>>();
    /// Time by which each request is answered.
    time_point last_answer_at_ = time_point::max();
    target_reachability reachability_;
    bool probing_links_ = false;
    time_point next_link_probe_at_{};
    /// Times before which requests are not passed on, because the other instances cannot reach a target or
    /// the targets of a service either.
    std::map<std::string, time_point, std::less<>> relay_backoffs_;
    permit_holder* permits_ = nullptr;
    permit_source request_permits_;
    limit_report report_limit_;
    traffic_report traffic_;
    time_point last_request_at_{};
    /// Current weight of each backend by route, for smooth weighted round robin.
    std::map<std::string, std::vector<double>, std::less<>> backend_credits_;
    unsigned instance_count_ = assumed_instance_count;
    std::mt19937_64 random_{std::random_device{}()};
    /// Number of responses with status 200, for the sampling of the log.
    std::uint64_t logged_ = 0;
};

} // namespace teaseltally
