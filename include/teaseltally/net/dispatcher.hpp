#pragma once

#include <teaseltally/admission.hpp>
#include <teaseltally/idempotency.hpp>
#include <teaseltally/net/context.hpp>
#include <teaseltally/net/target_link.hpp>

#include <json/value.h>
#include <map>
#include <memory>
#include <optional>

/// @file
/// Runs orders on the targets that this instance is the dispatcher of.

namespace teaseltally {

/// Admission, repeats and links of the targets that this instance dispatches to.
class dispatcher {
public:
    /// Sends an order on to another target of its service; used when the home target of an idempotency
    /// key takes no work itself.
    using fallback_handler = std::function<asio::awaitable<request_outcome>(request_task)>;

    explicit dispatcher(instance_context& context) : context_(context) {}

    void set_fallback_handler(fallback_handler handler) { fallback_handler_ = std::move(handler); }

    /// Follows the coordinator's rights.
    void start_dispatching(const dispatcher_action& lease_change);
    void stop_dispatching(target_id target);

    /// Runs an order.
    [[nodiscard]] asio::awaitable<request_outcome> run(request_task task);

    /// Makes a target refuse items.
    void revoke(const revoke_action& action);

    /// Follows changed settings and expires what waited too long.
    void tick(time_point now);

    /// Takes start marks of another dispatcher.
    void import_marks(const Json::Value& message, time_point now);
    /// @returns the marks known for a target, as `import_marks` takes them.
    [[nodiscard]] Json::Value export_marks(target_id target, time_point now) const;

    /// @returns requests that are queued or run.
    [[nodiscard]] std::size_t active_requests() const noexcept { return active_requests_; }
    /// @returns slots in use and requests waiting at a target.
    [[nodiscard]] std::pair<std::uint32_t, std::size_t> usage(target_id target) const;

private:
    struct waiter {
        explicit waiter(const asio::any_io_executor& executor)
            : timer(executor, asio::steady_timer::time_point::max())
        {
        }
        asio::steady_timer timer;
        bool admitted = false;
    };
    struct shared_run {
        explicit shared_run(const asio::any_io_executor& executor)
            : timer(executor, asio::steady_timer::time_point::max())
        {
        }
        asio::steady_timer timer;
        std::optional<request_outcome> result;
    };
    struct dispatched_target {
        explicit dispatched_target(admission_limits limits) : queue(limits) {}
        std::shared_ptr<target_link> link;
        dispatcher_token token;
        admission_queue queue;
        std::map<admission_id, std::shared_ptr<waiter>> waiters;
        /// Whether all starts of earlier dispatchers are known.
        bool marks_collected = false;
        bool marks_complete = false;
        time_point marks_uncertain_until{};
        time_point backup_search_at{};
        /// The target was up at the last tick.
        bool was_up = true;
    };
    /// Marks of a target, with the term of the dispatcher that they are complete for.
    struct mark_store {
        term mark_term{};
        bool complete = false;
        std::unique_ptr<idempotency_table> table;
    };
    class slot_guard;

    [[nodiscard]] asio::awaitable<request_outcome> run_once(request_task task);
    [[nodiscard]] asio::awaitable<request_outcome> run_admitted(const request_task& task);
    [[nodiscard]] asio::awaitable<request_outcome> run_idempotent(request_task task);
    [[nodiscard]] asio::awaitable<std::optional<request_outcome>> admit(const request_task& task);
    [[nodiscard]] asio::awaitable<void> collect_marks(dispatcher_action lease_change);
    [[nodiscard]] asio::awaitable<bool> replicate_mark(target_id target, const scoped_idempotency_key& key);
    [[nodiscard]] asio::awaitable<void> replicate_answer(target_id target, scoped_idempotency_key key);
    [[nodiscard]] asio::awaitable<void> replicate_table(target_id target);
    void admit_waiting(target_id target);
    [[nodiscard]] mark_store& mark_store_of(target_id target);
    [[nodiscard]] Json::Value mark_message(target_id target, std::span<const start_mark> marks,
                                           bool full_table) const;
    [[nodiscard]] std::vector<session_id> voter_group_peers(target_id target) const;
    [[nodiscard]] admission_limits limits_of(target_id target) const;

    instance_context& context_;
    fallback_handler fallback_handler_;
    std::map<target_id, dispatched_target> dispatched_targets_;
    std::map<target_id, mark_store> mark_stores_;
    std::map<target_id, session_id> backups_;
    std::map<std::pair<target_id, scoped_idempotency_key>, std::shared_ptr<shared_run>> shared_runs_;
    std::size_t active_requests_ = 0;
};

} // namespace teaseltally
