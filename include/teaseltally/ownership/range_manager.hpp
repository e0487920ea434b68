#pragma once

#include <teaseltally/knowledge/target_directory.hpp>
#include <teaseltally/ownership/balancer.hpp>
#include <teaseltally/ownership/target_speed.hpp>

#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// @file
/// The coordinator of key ownership: takes over, assigns ranges, grants, renews and moves them.

namespace teaseltally {

/// Times of the coordinator.
struct ownership_timing {
    /// How long a grant lasts from its arrival at the target.
    milliseconds grant_duration{6000};
    /// Time beyond the hold for delivery.
    milliseconds delivery_margin{150};
    milliseconds renewal_interval{2000};
    /// How long a coordinator may send grants after the log last accepted a record of its term.
    milliseconds authority_duration{10'500};
    milliseconds heartbeat_interval{1000};
    /// Silence of the coordinator after which another takes over.
    milliseconds takeover_timeout{2500};
    milliseconds order_retry_delay{300};
    /// Time between two releases of keys at a target that does not answer; there may be many such ranges.
    milliseconds release_retry_delay{1000};
    /// Time for which grants must fail before a target is taken for lost.
    milliseconds failure_timeout{1000};
    milliseconds balance_interval{250};
    /// Time after a single key moved before another one may: about as long as a key stays hot.
    milliseconds dominant_key_cooldown{3000};
    /// Greatest time that an order needs to arrive at a target, or to be given up.
    milliseconds order_timeout{1000};
};

/// Appends records if the log still ends where the coordinator believes.
struct append_order {
    struct record {
        std::string key;
        std::string value;
    };
    std::vector<record> records;
    std::uint64_t expected_end = 0;
};

/// Grants keys to a target or renews the grant.
struct grant_order {
    std::uint64_t id = 0;
    target_incarnation target;
    key_range keys;
    std::uint64_t fence = 0;
    milliseconds duration{0};
    std::string handover;
};

/// Takes keys back from a target.
struct release_order {
    std::uint64_t id = 0;
    target_incarnation target;
    key_range keys;
    std::uint64_t fence = 0;
};

using ownership_action = std::variant<append_order, grant_order, release_order>;

/// How an order to a target ended.
enum class order_status {
    done,
    /// The target has seen a higher fencing token.
    conflict,
    /// The target is proved to have ended.
    terminated,
    /// The order was not sent.
    not_sent,
    /// The order was sent and may be carried out, also later.
    unknown,
};

/// How an append ended.
enum class append_status { done, stale, not_applied, unknown };

/// What the coordinator decides on.
struct ownership_view {
    const ownership_log& log;
    const target_directory& directory;
    /// Names of the keyed services in force.
    const std::vector<std::string>& keyed_services;
    /// When the last read that reached the end of the log was sent.
    time_point last_read_sent_at{};
    /// Whether the directory is complete, as opposed to lapsed while the store was away.
    bool directory_complete = false;
};

/// Decides on ownership in one instance. Pure: events and time in, actions out.
class range_manager {
public:
    /// @param self this instance's claim.
    /// @param timing times.
    /// @param jitter delay of this instance before it takes over, so that few race.
    range_manager(coordinator_claim self, ownership_timing timing, milliseconds jitter)
        : self_(std::move(self)), timing_(timing), jitter_(jitter)
    {
    }

    /// Adds requests seen for a key.
    void record_load(std::string_view service, key_number key, double requests);
    /// Takes in what an instance saw of a target.
    void record_speed_report(std::string_view target, const speed_report& report);

    /// Notes what the process at the coordinator's address says of itself.
    /// @param session session of the coordinator that was asked.
    /// @param coordinates whether it coordinates.
    void record_coordinator_report(std::uint64_t session, bool is_coordinator);

    /// Decides what is due.
    [[nodiscard]] std::vector<ownership_action> tick(time_point now, const ownership_view& view);
    /// Takes in the end of the append; its records are folded into the log first.
    void on_append_completed(time_point now, append_status status);
    /// Takes in the end of an order.
    void on_order_completed(time_point now, std::uint64_t id, order_status status, std::string handover);

    /// Load of one target that owns keys.
    struct owner_load {
        std::string target;
        double requests_per_s = 0;
        double capacity = 0;
    };
    /// @returns the load of the targets of a service, for the log.
    [[nodiscard]] std::vector<owner_load> owner_loads(time_point now, const ownership_view& view,
                                                      const std::string& service) const;

    /// @returns whether this instance coordinates.
    [[nodiscard]] bool is_coordinator() const noexcept { return is_coordinator_; }
    /// @returns when the right to send grants ends.
    [[nodiscard]] time_point authority_until() const noexcept { return authority_until_; }

private:
    /// An earlier owner that may still hold keys of a range.
    struct former_grant {
        target_incarnation incarnation;
        key_range keys;
        /// When its last possible grant has run out.
        time_point expires_by{};
        std::uint64_t pending_order = 0;
        time_point next_release_at{};
        bool ended = false;
    };
    struct managed_range {
        key_range keys;
        target_incarnation owner;
        /// Fence in the log, which identifies the assignment.
        std::uint64_t recorded_fence = 0;
        /// Fence of the grants: at least the term.
        std::uint64_t fence = 0;
        std::string handover;
        std::vector<former_grant> former_grants;
        /// When the last possible grant to the owner has run out.
        time_point latest_grant_expiry{};
        /// Until when the owner surely holds the keys.
        time_point confirmed_until{};
        std::uint64_t pending_order = 0;
        time_point pending_since{};
        /// `hold_until` before the open order.
        time_point previous_grant_expiry{};
        time_point next_grant_at{};
        /// When the first of the grants failed that have failed since the last success.
        std::optional<time_point> failing_since;
        bool owner_terminated = false;
        /// The owner has seen a higher fence; the range needs a new one.
        bool fence_conflict = false;
    };
    /// A grant that has not ended.
    struct pending_grant {
        std::string target;
        key_range keys;
    };
    using service_ranges = std::vector<managed_range>;

    void watch_coordinator(time_point now, const ownership_view& view,
                           std::vector<ownership_action>& actions);
    [[nodiscard]] append_order::record claim_record(time_point now, const ownership_log& log) const;
    void begin_term(time_point now, const ownership_view& view);
    void step_down();
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
    /// @returns whether grants to a target do not get through.
    [[nodiscard]] bool is_unavailable(time_point now, const std::string& service,
                                      std::string_view target) const;
    [[nodiscard]] bool is_failing(time_point now, const managed_range& range) const;
    [[nodiscard]] bool has_pending_grant(std::string_view target, key_range keys) const;
    /// @returns time from a record to the end of the last grant by a coordinator that did not know it.
    [[nodiscard]] milliseconds max_stale_authority() const noexcept;
    /// @returns time from the sending of a grant that arrives at once to its end by the slowest clock.
    [[nodiscard]] milliseconds max_grant_lifetime() const noexcept
    {
        return timing_.grant_duration + timing_.grant_duration / ownership_log::clock_error_divisor +
               timing_.delivery_margin;
    }

    coordinator_claim self_;
    ownership_timing timing_;
    milliseconds jitter_;
    bool is_coordinator_ = false;
    std::uint64_t term_ = 0;
    /// When the last record before this term was read.
    time_point predecessor_last_record_at_{};
    /// When grants of all earlier coordinators have run out.
    time_point predecessor_grants_expire_at_{};
    time_point authority_until_{};
    time_point first_tick_{};
    time_point last_tick_{};
    /// Session of a coordinator that denied to be one, and how often in a row.
    std::uint64_t reported_session_ = 0;
    unsigned not_coordinator_reports_ = 0;
    bool append_pending_ = false;
    time_point append_sent_{};
    time_point last_append_{};
    /// The log must be read once more from after this time before anything is appended.
    std::optional<time_point> reread_after_;
    std::uint64_t reconciled_position_ = 0;
    bool first_reconcile_ = false;
    time_point next_balance_at_{};
    std::map<std::string, time_point, std::less<>> next_dominant_move_at_;
    std::uint64_t next_order_ = 1;
    std::map<std::uint64_t, pending_grant> pending_grants_;
    std::map<std::string, service_ranges, std::less<>> ranges_;
    std::map<std::string, service_load, std::less<>> loads_;
    std::map<std::string, target_speed, std::less<>> speeds_;
};

} // namespace teaseltally
