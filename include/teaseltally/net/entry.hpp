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
    [[nodiscard]] asio::awaitable<work_result> run_elsewhere(work_order order);

private:
    /// What the entry has seen of a target.
    struct target_record {
        std::uint32_t outstanding = 0;
        microseconds latency{1000};
        double reported = 0.0;
    };

    /// What the entry has seen of another instance.
    struct peer_record {
        std::uint32_t outstanding = 0;
        /// When it last answered, or was first asked after a time with nothing outstanding.
        time_point progress{};
        time_point unreachable_until{};
    };

    [[nodiscard]] std::variant<work_order, work_result> read_order(http_request request);
    [[nodiscard]] asio::awaitable<work_result> route(work_order order);
    [[nodiscard]] asio::awaitable<work_result> route_hedged(const work_order& order);
    [[nodiscard]] asio::awaitable<work_result> hedge(const work_order& order, microseconds delay,
                                                     bool& hedged);
    [[nodiscard]] asio::awaitable<work_result> attempt(const work_order& order, session_id at);
    [[nodiscard]] asio::awaitable<work_result> forward(const work_order& order, session_id at);
    [[nodiscard]] std::optional<target_id> choose(const work_order& order, const std::set<target_id>& tried);
    [[nodiscard]] session_id choose_dispatcher(target_id target, const std::set<session_id>& asked);
    [[nodiscard]] bool learn(target_id target, session_id at, const work_result& result,
                             std::set<session_id>& asked);
    [[nodiscard]] bool is_suspect(session_id session, time_point now) const;
    [[nodiscard]] bool may_repeat(const work_order& order, const work_result& result);
    void log_decision(const work_order& order, session_id at, const work_result& result,
                      std::size_t attempts);

    instance_context& context_;
    dispatcher& local_;
    std::mt19937_64 random_;
    std::uint64_t next_request_ = 1;
    std::map<target_id, target_record> records_;
    std::map<target_id, session_id> hints_;
    std::map<session_id, peer_record> peers_;
    std::map<service_id, retry_budget> budgets_;
};

/// Makes the answer that a caller gets.
/// @param result the end of its order.
/// @param request_id its id.
[[nodiscard]] http_response to_answer(work_result result, std::string_view request_id);

} // namespace teaseltally
