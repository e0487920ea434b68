#pragma once

#include <teaseltally/net/context.hpp>
#include <teaseltally/net/dispatcher.hpp>

#include <map>
#include <random>

/// @file
/// Takes callers' requests to the dispatcher of their target.

namespace teaseltally {

/// Routes requests of callers, and of peers that forward them.
class entry_router {
public:
    entry_router(instance_context& context, dispatcher& local, std::uint64_t seed);

    /// Answers a caller's request.
    [[nodiscard]] asio::awaitable<http_response> serve(http_request request);

    /// Runs a request that another instance forwarded.
    [[nodiscard]] asio::awaitable<http_response> serve_forwarded(http_request request);

    /// Sends an order to other targets of its service than the one it names.
    [[nodiscard]] asio::awaitable<request_outcome> run_on_other_target(request_task task);

private:
    /// What the entry has seen of a target.
    struct target_record {
        std::uint32_t outstanding = 0;
        microseconds mean_latency{1000};
        double reported_load = 0.0;
    };

    /// What the entry has seen of another instance.
    struct peer_record {
        std::uint32_t outstanding = 0;
        /// When it last answered, or was first asked after a time with nothing outstanding.
        time_point last_progress_at{};
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

/// Makes the answer that a caller gets.
/// @param result the end of its order.
/// @param request_id its id.
[[nodiscard]] http_response make_caller_response(request_outcome result, std::string_view request_id);

} // namespace teaseltally
