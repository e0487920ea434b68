#pragma once

#include <teaseltally/admission/target_rate_limits.hpp>
#include <teaseltally/knowledge/target_directory.hpp>
#include <teaseltally/ownership/balancer.hpp>
#include <teaseltally/ownership/target_speed.hpp>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

/// @file
/// Coordinator of key ownership: takes over from a failed coordinator, assigns key ranges to targets, and
/// grants, renews and moves them.

namespace teaseltally {

/// Time limits and intervals of the coordinator.
struct ownership_timing {
    /// Time for which a grant is valid after its arrival at the target.
    milliseconds grant_duration{6000};
    /// Allowance for the delivery of a grant, added to its duration when its expiry is computed.
    milliseconds delivery_margin{150};
    /// Time between the successful completion of a grant and its renewal.
    milliseconds renewal_interval{2000};
    /// Time for which a coordinator may send grants, counted from the sending of its last successful append.
    milliseconds authority_duration{10'500};
    /// Time without an append after which the coordinator appends its claim again.
    milliseconds heartbeat_interval{1000};
    /// Time without a new log record after which another instance takes over the role of coordinator.
    milliseconds takeover_timeout{2500};
    /// Time between a failed grant and the next attempt.
    milliseconds order_retry_delay{300};
    /// Time between a failed release and the next attempt. It is longer than `order_retry_delay` because a
    /// target that does not respond may be the former owner of many ranges.
    milliseconds release_retry_delay{1000};
    /// Time for which grants must fail before a target is considered unavailable.
    milliseconds failure_timeout{1000};
    /// Time between two rebalancing rounds.
    milliseconds balance_interval{250};
    /// Time after the move of a single key during which no dominant key of the service is moved. It is about
    /// the time for which a key stays hot.
    milliseconds dominant_key_cooldown{3000};
    /// Time after which an order to a target has either arrived or been cancelled.
    milliseconds order_timeout{1000};
};

/// Appends records to the ownership log on condition that its end is at an expected offset.
struct append_order {
    /// Key and encoded value of a log record.
    struct record {
        /// Key of the record.
        std::string key;
        /// Encoded value of the record.
        std::string value;
    };
    /// Records to append, in order.
    std::vector<record> records;
    /// Offset at which the log must end for the append to succeed.
    std::uint64_t expected_end = 0;
};

/// Grants keys to a target, or renews the grant.
struct grant_order {
    /// Id to pass to `range_manager::on_order_completed`.
    std::uint64_t id = 0;
    /// Target that receives the grant.
    target_incarnation target;
    /// Granted keys.
    key_range keys;
    /// Fencing token of the grant.
    std::uint64_t fence = 0;
    /// Time for which the grant is valid after its arrival.
    milliseconds duration{0};
    /// Handover data that the former owner returned on release; may be empty.
    std::string handover;
};

/// Tells a target to release keys.
struct release_order {
    /// Id to pass to `range_manager::on_order_completed`.
    std::uint64_t id = 0;
    /// Target that is to release the keys.
    target_incarnation target;
    /// Keys to release.
    key_range keys;
    /// Fencing token of the range's new owner.
    std::uint64_t fence = 0;
};

/// An order of the coordinator to the ownership log or to a target.
using ownership_action = std::variant<append_order, grant_order, release_order>;

/// Result of an order to a target.
enum class order_status {
    /// The target carried out the order.
    done,
    /// The target has seen a higher fencing token.
    conflict,
    /// The incarnation of the target is known to have ended.
    terminated,
    /// The order was not sent.
    not_sent,
    /// The order was sent and no usable response was received; it may have been carried out or may still be.
    unknown,
};

/// Result of an append: `done` if the records are in the log, `stale` if the log did not end at the expected
/// offset, `not_applied` if the records were not and will not be appended, `unknown` if they may have been
/// appended or may still be.
enum class append_status { done, stale, not_applied, unknown };

/// State on which the coordinator bases its decisions.
struct ownership_view {
    /// Ownership log as far as it has been read.
    const ownership_log& log;
    /// Registered targets.
    const target_directory& directory;
    /// Names of the keyed services in the current configuration.
    const std::vector<std::string>& keyed_services;
    /// Time at which the last read that reached the end of the log was sent.
    time_point last_read_sent_at{};
    /// Whether a target that is missing from the directory has been removed. It is unknown before the first
    /// snapshot of the registrations and after registrations have expired in an outage of the store.
    bool directory_complete = false;
    /// Rate limits of targets, which bound their capacity; null if none are known.
    const rate_limit_table* rate_limits = nullptr;
    /// Incarnations of targets that are leaving although their registrations do not say so; null if none are
    /// known.
    const std::set<std::string, std::less<>>* leaving = nullptr;

    /// Returns whether a target is leaving, so that it must not own keys.
    [[nodiscard]] bool is_leaving(const target_entry& entry) const
    {
        return entry.draining ||
               (leaving != nullptr && leaving->contains(incarnation_name(entry.id, entry.start_unix_ms)));
    }
};

/// Coordinates key ownership in one instance. The class performs no I/O and reads no clock: it receives
/// events and times, and returns the actions to carry out.
class range_manager {
public:
    /// Creates the manager of an instance that does not coordinate yet.
    /// @param jitter additional delay of this instance before it takes over; different delays reduce the
    /// number of instances that try to take over at the same time.
    range_manager(coordinator_claim self, ownership_timing timing, milliseconds jitter)
        : self_(std::move(self)), timing_(timing), jitter_(jitter)
    {
    }

    /// Adds requests to the load of a key.
    /// @param requests number of requests since the last report.
    void record_load(std::string_view service, key_number key, double requests);
    /// Adds an instance's report on the speed of a target.
    /// @param target id of the target.
    void record_speed_report(std::string_view target, const speed_report& report);

    /// Records whether the process at the address in the latest claim reports that it coordinates. A process
    /// that has restarted since the claim does not.
    /// @param session session in the claim from which the address was taken.
    /// @param is_coordinator whether the process reports that it coordinates.
    void record_coordinator_report(std::uint64_t session, bool is_coordinator);

    /// Sets whether this instance can reach targets. A coordinator that cannot resigns, so that another
    /// instance renews the grants, and an instance that cannot does not take over.
    void set_targets_reachable(bool reachable) noexcept { targets_reachable_ = reachable; }

    /// Returns the actions that are due.
    /// @param now time, not before that of the previous call.
    [[nodiscard]] std::vector<ownership_action> tick(time_point now, const ownership_view& view);
    /// Handles the result of the pending append. If it succeeded, its records must have been applied to the
    /// log before this call.
    void on_append_completed(time_point now, append_status status);
    /// Handles the result of an order to a target.
    /// @param handover handover data that the target returned on release; may be empty.
    void on_order_completed(time_point now, std::uint64_t id, order_status status, std::string handover);

    /// Load of one target that owns keys.
    struct owner_load {
        /// Id of the target.
        std::string target;
        /// Requests per second for the keys that the target owns.
        double requests_per_s = 0;
        /// Requests per second that the target can execute.
        double capacity = 0;
    };
    /// Returns the load of the targets of a service, for the operator's log.
    [[nodiscard]] std::vector<owner_load> owner_loads(time_point now, const ownership_view& view,
                                                      const std::string& service) const;

    /// Returns whether this instance coordinates.
    [[nodiscard]] bool is_coordinator() const noexcept { return is_coordinator_; }
    /// Returns the time until which this instance has the authority to send grants.
    [[nodiscard]] time_point authority_until() const noexcept { return authority_until_; }

private:
    /// Grant of a former owner for keys of a range; the former owner may still hold them.
    struct former_grant {
        target_incarnation incarnation;
        key_range keys;
        /// Time by which every grant that the former owner may have received has expired.
        time_point expires_by{};
        /// Id of the release order that has not completed; 0 if there is none.
        std::uint64_t pending_order = 0;
        time_point next_release_at{};
        /// Whether the former owner has released the keys or its incarnation has ended.
        bool ended = false;
    };
    /// A range with the state of its grants.
    struct managed_range {
        key_range keys;
        target_incarnation owner;
        /// Fencing token in the log, which identifies the assignment.
        std::uint64_t recorded_fence = 0;
        /// Fencing token of the grants, not less than the term.
        std::uint64_t fence = 0;
        /// Handover data of the former owner, sent with the next grant; may be empty.
        std::string handover;
        std::vector<former_grant> former_grants;
        /// Time by which every grant that the owner may have received has expired.
        time_point latest_grant_expiry{};
        /// Time until which the owner is known to hold the keys.
        time_point confirmed_until{};
        /// Id of the grant order that has not completed; 0 if there is none.
        std::uint64_t pending_order = 0;
        /// Time at which the last grant was sent.
        time_point last_grant_sent_at{};
        /// Value of `latest_grant_expiry` before the last grant was sent; restored if that grant had no
        /// effect.
        time_point previous_grant_expiry{};
        time_point next_grant_at{};
        /// Time of the first failed grant since the last successful one.
        std::optional<time_point> failing_since;
        bool owner_terminated = false;
        /// Whether the owner has seen a higher fencing token, so that the range needs a new one.
        bool fence_conflict = false;
    };
    /// A grant order that has not completed.
    struct pending_grant {
        std::string target;
        key_range keys;
    };
    using service_ranges = std::vector<managed_range>;

    void watch_coordinator(time_point now, const ownership_view& view,
                           std::vector<ownership_action>& actions);
    [[nodiscard]] append_order::record claim_record(time_point now, const ownership_log& log,
                                                    bool resigned = false) const;
    void begin_term(time_point now, const ownership_view& view);
    void step_down();
    void resign(time_point now, const ownership_view& view, std::vector<ownership_action>& actions);
    void reconcile(time_point now, const ownership_view& view);
    [[nodiscard]] service_ranges reconcile_service(time_point now, const ownership_log& log,
                                                   const assignment& committed, const service_ranges& before,
                                                   bool first_reconcile) const;
    [[nodiscard]] std::vector<former_grant> former_grants_of(const ownership_log& log,
                                                             const owned_range& range,
                                                             const service_ranges& before,
                                                             bool first_reconcile) const;
    void plan(time_point now, const ownership_view& view, std::vector<ownership_action>& actions);
    [[nodiscard]] std::optional<assignment> plan_service(time_point now, const ownership_view& view,
                                                         const std::string& service, std::uint64_t fence);
    [[nodiscard]] std::vector<balance_move> rebalance(time_point now, const std::string& service,
                                                      const assignment& current,
                                                      const std::vector<balance_target>& targets);
    [[nodiscard]] double average_service_us(const ownership_view& view, const std::string& service) const;
    [[nodiscard]] std::vector<balance_target> candidates(time_point now, const ownership_view& view,
                                                         const std::string& service) const;
    void send_orders(time_point now, std::vector<ownership_action>& actions);
    void complete_release(time_point now, managed_range& range, std::uint64_t id, order_status status,
                          const std::string& handover) const;
    void complete_grant(time_point now, managed_range& range, order_status status) const;
    void release_former(time_point now, managed_range& range, std::vector<ownership_action>& actions);
    /// Returns whether a target is known to have ended or its grants have failed for `failure_timeout`.
    [[nodiscard]] bool is_unavailable(time_point now, const std::string& service,
                                      std::string_view target) const;
    [[nodiscard]] bool is_failing(time_point now, const managed_range& range) const;
    [[nodiscard]] bool has_pending_grant(std::string_view target, key_range keys) const;
    /// Returns the maximum time from the append of a record until every grant has expired that was sent by a
    /// coordinator unaware of the record.
    [[nodiscard]] milliseconds max_stale_authority() const noexcept;
    /// Returns the maximum time from the sending of a grant to its expiry at a target with the slowest
    /// permitted clock, if delivery takes at most `delivery_margin`.
    [[nodiscard]] milliseconds max_grant_lifetime() const noexcept
    {
        return timing_.grant_duration + timing_.grant_duration / ownership_log::clock_error_divisor +
               timing_.delivery_margin;
    }

    coordinator_claim self_;
    ownership_timing timing_;
    milliseconds jitter_;
    bool is_coordinator_ = false;
    bool targets_reachable_ = true;
    /// Whether this instance has resigned since its last successful claim.
    bool resigned_ = false;
    std::uint64_t term_ = 0;
    /// Time at which the last record before this term was read.
    time_point predecessor_last_record_at_{};
    /// Time by which the grants of all earlier coordinators have expired.
    time_point predecessor_grants_expire_at_{};
    time_point authority_until_{};
    time_point first_tick_{};
    time_point last_tick_{};
    /// Session of the coordinator that the last coordinator report concerns, and the number of consecutive
    /// reports that this session does not coordinate.
    std::uint64_t reported_session_ = 0;
    unsigned not_coordinator_reports_ = 0;
    bool append_pending_ = false;
    time_point append_sent_{};
    time_point last_append_{};
    /// If set, the next append waits until a read of the log sent after this time has completed: an earlier
    /// append did not succeed, or its outcome is unknown.
    std::optional<time_point> reread_after_;
    /// Position of the log at the last reconciliation of the managed ranges.
    std::uint64_t reconciled_position_ = 0;
    /// Whether the next reconciliation is the first of the term; it must allow for grants of earlier
    /// coordinators.
    bool first_reconcile_ = false;
    time_point next_balance_at_{};
    std::map<std::string, time_point, std::less<>> next_dominant_move_times_;
    std::uint64_t next_order_id_ = 1;
    std::map<std::uint64_t, pending_grant> pending_grants_;
    std::map<std::string, service_ranges, std::less<>> ranges_;
    std::map<std::string, service_load, std::less<>> loads_;
    std::map<std::string, target_speed, std::less<>> speeds_;
};

} // namespace teaseltally
