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
/// Execution of requests on the targets of which this instance is the dispatcher.

namespace teaseltally {

/// Executes requests on the targets of which this instance is the dispatcher: admits them, detects duplicates
/// by their idempotency keys and keeps the connections to the targets. Not thread-safe: all calls are made on
/// the executor of the instance.
class dispatcher {
public:
    /// Routes a request to another target of its service. Used if the home target of an idempotency key does
    /// not execute requests itself.
    using fallback_handler = std::function<asio::awaitable<request_outcome>(request_task)>;

    /// @param context shared objects of the instance; they outlive the dispatcher.
    explicit dispatcher(instance_context& context) : context_(context) {}

    /// Sets the function for requests of unkeyed services with an idempotency key that the home target did
    /// not execute. Without a fallback handler, such requests end as not run.
    void set_fallback_handler(fallback_handler handler) { fallback_handler_ = std::move(handler); }

    /// Opens the connection to a target whose lease this instance acquired, and starts to collect the start
    /// marks of earlier dispatchers. Does nothing if the target is not configured or its address is invalid;
    /// an invalid address is logged.
    void start_dispatching(const dispatcher_action& lease_change);
    /// Closes the connection to a target whose lease this instance no longer holds. Requests that wait for a
    /// slot end as not run. Does nothing if this instance does not dispatch to the target.
    void stop_dispatching(target_id target);

    /// Executes a request on its target. A request with an idempotency key is executed at most once within
    /// the time window of its start mark.
    /// @param task request whose target is set.
    /// @returns the outcome. If this instance is not the dispatcher of the target, the outcome may name the
    /// session that is.
    [[nodiscard]] asio::awaitable<request_outcome> run(request_task task);

    /// Makes a target refuse requests for slots and hot keys that are to be released.
    void revoke(const revoke_action& action);

    /// Applies changed limits, removes requests whose time in the queue has expired and searches for
    /// instances that can keep copies of the start marks. To be called periodically.
    void tick(time_point now);

    /// Adds start marks that another instance sent. Ignores a malformed message.
    /// @param message target, term, completeness and marks, as `export_marks` returns them.
    void import_marks(const Json::Value& message, time_point now);
    /// Returns the known start marks of a target as a message for `import_marks`.
    [[nodiscard]] Json::Value export_marks(target_id target, time_point now) const;

    /// Returns the number of requests that wait or run. The run of a request with an idempotency key counts
    /// in addition to the requests that wait for its result.
    [[nodiscard]] std::size_t active_requests() const noexcept { return active_requests_; }
    /// Returns the number of slots in use and of waiting requests of a target; zeros if this instance does
    /// not dispatch to the target.
    [[nodiscard]] std::pair<std::uint32_t, std::size_t> usage(target_id target) const;

private:
    /// Request that waits for a slot. Its timer is cancelled when the wait ends.
    struct waiter {
        explicit waiter(const asio::any_io_executor& executor)
            : timer(executor, asio::steady_timer::time_point::max())
        {
        }
        asio::steady_timer timer;
        bool admitted = false;
    };
    /// Run of a request with an idempotency key, whose result duplicates wait for. Its timer is cancelled
    /// when the result is set.
    struct shared_run {
        explicit shared_run(const asio::any_io_executor& executor)
            : timer(executor, asio::steady_timer::time_point::max())
        {
        }
        asio::steady_timer timer;
        std::optional<request_outcome> result;
    };
    /// Target of which this instance is the dispatcher.
    struct dispatched_target {
        explicit dispatched_target(admission_limits limits) : queue(limits) {}
        std::shared_ptr<target_link> link;
        dispatcher_token token;
        admission_queue queue;
        std::map<admission_id, std::shared_ptr<waiter>> waiters;
        /// Whether the collection of the marks of earlier dispatchers has ended.
        bool marks_collected = false;
        /// Whether the marks include every request that earlier dispatchers started.
        bool marks_complete = false;
        /// Time until which a start mark that is missing from incomplete marks may still be valid.
        time_point marks_uncertain_until{};
        /// Time of the last search for an instance that keeps copies of the marks.
        time_point backup_search_at{};
        /// Whether the target was up at the last tick.
        bool was_up = true;
    };
    /// Start marks of a target.
    struct mark_store {
        /// Term of the dispatcher that `complete` refers to.
        term mark_term{};
        /// Whether the marks include every start mark that the dispatcher of `mark_term` had.
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
