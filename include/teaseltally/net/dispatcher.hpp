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
    using elsewhere = std::function<asio::awaitable<work_result>(work_order)>;

    explicit dispatcher(instance_context& context) : context_(context) {}

    void set_elsewhere(elsewhere send) { elsewhere_ = std::move(send); }

    /// Follows the coordinator's rights.
    void held(const dispatcher_action& right);
    void lost(target_id target);

    /// Runs an order.
    [[nodiscard]] asio::awaitable<work_result> run(work_order order);

    /// Makes a target refuse items.
    void revoke(const revoke_action& action);

    /// Follows changed settings and expires what waited too long.
    void tick(time_point now);

    /// Takes start marks of another dispatcher.
    void keep_marks(const Json::Value& message, time_point now);
    /// @returns the marks known for a target, as `keep_marks` takes them.
    [[nodiscard]] Json::Value marks_of(target_id target, time_point now) const;

    /// @returns requests that are queued or run.
    [[nodiscard]] std::size_t at_work() const noexcept { return at_work_; }
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
    struct joined_run {
        explicit joined_run(const asio::any_io_executor& executor)
            : timer(executor, asio::steady_timer::time_point::max())
        {
        }
        asio::steady_timer timer;
        std::optional<work_result> result;
    };
    struct target_desk {
        explicit target_desk(admission_limits limits) : queue(limits) {}
        std::shared_ptr<target_link> link;
        dispatcher_token token;
        admission_queue queue;
        std::map<admission_id, std::shared_ptr<waiter>> waiters;
        /// Whether all starts of earlier dispatchers are known.
        bool marks_settled = false;
        bool marks_complete = false;
        time_point marks_doubtful_until{};
        time_point backup_sought_at{};
        /// The target was up at the last tick.
        bool was_up = true;
    };
    /// Marks of a target, with the term of the dispatcher that they are complete for.
    struct mark_book {
        term as_of{};
        bool complete = false;
        std::unique_ptr<idempotency_table> table;
    };
    class slot_guard;

    [[nodiscard]] asio::awaitable<work_result> run_once(work_order order);
    [[nodiscard]] asio::awaitable<work_result> run_admitted(const work_order& order);
    [[nodiscard]] asio::awaitable<work_result> run_keyed(work_order order);
    [[nodiscard]] asio::awaitable<std::optional<work_result>> admit(const work_order& order);
    [[nodiscard]] asio::awaitable<void> settle_marks(dispatcher_action right);
    [[nodiscard]] asio::awaitable<bool> copy_mark(target_id target, const scoped_idempotency_key& key);
    [[nodiscard]] asio::awaitable<void> copy_answer(target_id target, scoped_idempotency_key key);
    [[nodiscard]] asio::awaitable<void> find_backup(target_id target);
    void pump(target_id target);
    [[nodiscard]] mark_book& book(target_id target);
    [[nodiscard]] Json::Value mark_message(target_id target, std::span<const start_mark> marks,
                                           bool whole) const;
    [[nodiscard]] std::vector<session_id> cell_peers(target_id target) const;
    [[nodiscard]] admission_limits limits_of(target_id target) const;

    instance_context& context_;
    elsewhere elsewhere_;
    std::map<target_id, target_desk> desks_;
    std::map<target_id, mark_book> books_;
    std::map<target_id, session_id> backups_;
    std::map<std::pair<target_id, scoped_idempotency_key>, std::shared_ptr<joined_run>> runs_;
    std::size_t at_work_ = 0;
};

} // namespace teaseltally
