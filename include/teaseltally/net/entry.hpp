#pragma once

#include <teaseltally/net/context.hpp>
#include <teaseltally/net/dispatcher.hpp>

#include <map>
#include <random>

/// @file
/// Routing of callers' requests to the dispatchers of their targets.

namespace teaseltally {

/// Routes requests that arrive from callers, and executes requests that other instances forward. Not
/// thread-safe: all calls are made on the executor of the instance.
class entry_router {
public:
    /// @param context shared objects of the instance; they outlive the router.
    /// @param local dispatcher of this instance; it outlives the router.
    /// @param seed seed of the random choice between targets.
    entry_router(instance_context& context, dispatcher& local, std::uint64_t seed);

    /// Routes a caller's request.
    /// @param request request with a path of the form `/SERVICE/...`.
    /// @returns the response for the caller, which always states the result code and class.
    [[nodiscard]] asio::awaitable<http_response> serve(http_request request);

    /// Executes a request that another instance forwarded, if this instance is the dispatcher of its target.
    /// @param request request with the internal headers that the forwarding instance set.
    /// @returns the response for the forwarding instance. It may name the dispatcher of the target.
    [[nodiscard]] asio::awaitable<http_response> serve_forwarded(http_request request);

    /// Routes a request with an idempotency key to another target of its service, without a further check of
    /// the key. Used if the home target of the key does not execute requests itself; the dispatcher of the
    /// home target has already checked the key.
    /// @param task request whose key the dispatcher of the home target has marked as started.
    [[nodiscard]] asio::awaitable<request_outcome> run_on_other_target(request_task task);

private:
    /// State of a target as observed by this instance.
    struct target_record {
        /// Requests of this instance that the target has not answered.
        std::uint32_t outstanding = 0;
        /// Exponential moving average of the latency. Starts at 1 ms, before the first measurement.
        microseconds mean_latency{1000};
        /// Running and waiting requests per slot, as last reported by a remote dispatcher.
        double reported_load = 0.0;
    };

    /// State of another instance as observed by this instance.
    struct peer_record {
        /// Forwarded requests that the instance has not answered.
        std::uint32_t outstanding = 0;
        /// Time of its last response, or of the first request sent to it while none was outstanding.
        time_point last_progress_at{};
        /// Time until which the instance is a suspect because a request to it failed.
        time_point unreachable_until{};
    };

    [[nodiscard]] std::variant<request_task, request_outcome> parse_request(http_request request);
    [[nodiscard]] asio::awaitable<request_outcome> route(request_task task);
    [[nodiscard]] asio::awaitable<request_outcome> route_hedged(const request_task& task);
    [[nodiscard]] asio::awaitable<request_outcome> hedge(const request_task& task, microseconds delay,
                                                         bool& hedged);
    [[nodiscard]] asio::awaitable<request_outcome> attempt(const request_task& task,
                                                           session_id dispatcher_session);
    [[nodiscard]] asio::awaitable<request_outcome> forward(const request_task& task,
                                                           session_id dispatcher_session);
    [[nodiscard]] std::optional<target_id> select_target(const request_task& task,
                                                         const std::set<target_id>& tried);
    [[nodiscard]] session_id select_dispatcher(target_id target, const std::set<session_id>& queried);
    [[nodiscard]] bool update_dispatcher_hint(target_id target, session_id dispatcher_session,
                                              const request_outcome& result, std::set<session_id>& queried);
    [[nodiscard]] bool is_suspect(session_id session, time_point now) const;
    [[nodiscard]] bool may_retry(const request_task& task, const request_outcome& result);
    void log_decision(const request_task& task, session_id dispatcher_session, const request_outcome& result,
                      std::size_t attempts);

    instance_context& context_;
    dispatcher& local_dispatcher_;
    std::mt19937_64 random_;
    std::uint64_t next_request_number_ = 1;
    std::map<target_id, target_record> target_records_;
    std::map<target_id, session_id> dispatcher_hints_;
    std::map<session_id, peer_record> peer_records_;
    std::map<service_id, retry_budget> retry_budgets_;
};

/// Builds the response to a caller.
/// @param result outcome of the request.
/// @param request_id identifier of the request, or "-" if the request was refused before it got one.
/// @returns the target's response without hop-by-hop headers if the request was executed, otherwise a
/// response with the name of the result code as its body. Results of class "not run" get a Retry-After of at
/// least 100 ms, rounded up to whole seconds; `tt-retry-after-ms` has the exact value.
[[nodiscard]] http_response make_caller_response(request_outcome result, std::string_view request_id);

} // namespace teaseltally
