#pragma once

#include <teaseltally/admission/target_rate_limits.hpp>
#include <teaseltally/knowledge/target_directory.hpp>
#include <teaseltally/ownership/balancer.hpp>
#include <teaseltally/ownership/holder_sweep.hpp>
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
    /// Time between a grant that was withheld and the next attempt, if no append succeeds meanwhile.
    milliseconds withheld_retry_delay{1000};
    /// Time for which grants must fail before a target is considered unavailable.
    milliseconds failure_timeout{1000};
    /// Time between two rebalancing rounds.
    milliseconds balance_interval{250};
    /// Time after the move of a single key during which no dominant key of the service is moved. It is about
    /// the time for which a key stays hot.
    milliseconds dominant_key_cooldown{3000};
    /// Time after which an order to a target has either arrived or been cancelled.
    milliseconds order_timeout{1000};
    /// Time without a new registration after which the keys of a service are assigned for the first time, and
    /// the maximum time for which that waits. Targets that start together register within a few reports; keys
    /// that were assigned to the first of them would have to move.
    milliseconds registration_settling{1000};
    milliseconds max_registration_wait{4000};
    /// Number of ranges of a service above which a record is written only in order to coalesce some, and the
    /// minimum time between two such records. Each range takes a grant in each renewal interval.
    std::size_t max_ranges = 1024;
    milliseconds coalescing_interval{5000};
    /// Time after the notice of a new era of the store in which targets whose registrations were lost
    /// register again.
    milliseconds registration_return{2500};
};

/// Maximum numbers of grants and of releases to one target that are under way at the same time. Further ones
/// wait until these have completed. A target accepts a limited number of connections from all instances
/// together, and a release may occupy its connection for seconds, so that grants do not wait for releases.
inline constexpr std::size_t max_grants_per_target = 4;
inline constexpr std::size_t max_releases_per_target = 8;
/// As `max_grants_per_target`, while another instance may have claimed the role: grants then use the
/// connections that are open, of which there may be only one.
inline constexpr std::size_t max_contested_grants_per_target = 1;

/// Appends records to the ownership log on condition that its end is at an expected position.
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
    /// Position at which the log must end for the append to succeed.
    log_position expected_end;
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

/// An order of the coordinator to the ownership log or to a target.
using ownership_action = std::variant<append_order, grant_order, release_order>;

/// Result of an append: `done` if the records are in the log, `stale` if the log did not end at the expected
/// position, `not_applied` if the records were not and will not be appended, `unknown` if they may have been
/// appended or may still be.
enum class append_status { done, stale, not_applied, unknown };

/// What the process at the address in the latest claim reports: that it coordinates, that it does not, or
/// that it is another process than the one that wrote the claim, which has ended.
enum class coordinator_report { coordinates, idle, ended };

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
    /// Time at which the last read that reached the end of the registrations was sent; nothing if the
    /// directory is always up to date.
    std::optional<time_point> directory_read_sent_at = std::nullopt;
    /// Incarnations of targets at whose addresses other processes respond; null if none are known.
    const std::set<std::string, std::less<>>* unconfirmed = nullptr;
    /// Data centres whose targets must get no requests; null if there are none.
    const std::set<std::string, std::less<>>* evacuated = nullptr;

    /// Returns whether a target must not own keys, because it is leaving, another process responds at its
    /// address, or its data centre is evacuated.
    [[nodiscard]] bool must_not_own(const target_entry& entry) const
    {
        const auto incarnation = incarnation_name(entry.id, entry.start_unix_ms);
        return entry.draining || (leaving != nullptr && leaving->contains(incarnation)) ||
               (unconfirmed != nullptr && unconfirmed->contains(incarnation)) ||
               (evacuated != nullptr && evacuated->contains(entry.data_centre));
    }
};

/// Coordinates key ownership in one instance. The class performs no I/O and reads no clock: it receives
/// events and times, and returns the actions to carry out.
class range_manager {
public:
    /// Creates the manager of an instance that does not coordinate yet.
    /// @param jitter additional delay of this instance before it takes over; different delays reduce the
    /// number of instances that try to take over at the same time.
    /// @param guards safety checks, disabled only by tests.
    range_manager(coordinator_claim self, ownership_timing timing, milliseconds jitter,
                  ownership_guards guards = {})
        : self_(std::move(self)), timing_(timing), jitter_(jitter), guards_(guards)
    {
    }

    /// Adds requests to the load of a key.
    /// @param requests number of requests since the last report.
    void record_load(std::string_view service, key_number key, double requests);
    /// Adds an instance's report on the speed of a target.
    /// @param target id of the target.
    void record_speed_report(std::string_view target, const speed_report& report);

    /// Records what the process at the address in the latest claim reports.
    /// @param session session in the claim from which the address was taken.
    void record_coordinator_report(std::uint64_t session, coordinator_report report);

    /// Sets whether this instance can reach targets. A coordinator that cannot resigns, so that another
    /// instance renews the grants, and an instance that cannot does not take over.
    void set_targets_reachable(bool reachable) noexcept { targets_reachable_ = reachable; }

    /// Hands the role over, because the process is about to end: a coordinator appends a claim that is marked
    /// as resigned, changes no owners from then on, and renews the grants until another instance has claimed
    /// the role. This instance does not take over again.
    void hand_over() noexcept { hands_over_ = true; }

    /// Returns the actions that are due.
    /// @param now time, not before that of the previous call.
    [[nodiscard]] std::vector<ownership_action> tick(time_point now, const ownership_view& view);
    /// Handles the result of the pending append. If it succeeded, its records must have been applied to the
    /// log before this call.
    void on_append_completed(time_point now, append_status status);
    /// Handles the result of an order to a target.
    /// @param handover handover data that the target returned on release; may be empty.
    void on_order_completed(time_point now, std::uint64_t id, order_status status, std::string handover);
    /// Returns whether a pending grant may be sent over a connection. A target's memory of fencing tokens,
    /// which protects keys from a coordinator unaware of its successor, ends with the target's process. The
    /// grant must therefore reach a process that ran before there can have been a successor.
    /// @param id id of the grant.
    /// @param accepted_by time by which the target had accepted the connection.
    [[nodiscard]] bool may_send_grant(time_point now, std::uint64_t id, time_point accepted_by) const;
    /// Returns the orders that waited for the completion of others to the same target; none if there are none
    /// or before the next call of `on_order_completed`.
    /// @param now time, not before that of the previous call.
    [[nodiscard]] std::vector<ownership_action> follow_up_orders(time_point now);

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
    /// Returns the time until which no other instance can have claimed the role since this one did; the epoch
    /// if this instance does not coordinate.
    [[nodiscard]] time_point uncontested_until() const noexcept { return uncontested_until_; }
    /// Returns the latest era of the store that this instance has noticed, or nothing before its first read.
    [[nodiscard]] std::optional<std::uint64_t> noticed_era() const noexcept { return noticed_era_; }
    /// Returns whether this instance kept its term when it noticed the latest era of the store.
    [[nodiscard]] bool is_continuous() const noexcept { return is_coordinator_ && continuous_; }
    /// Returns the number of ranges that this instance manages.
    [[nodiscard]] std::size_t range_count() const;
    /// Returns the number of grants and releases that were due when orders were last sent and waited because
    /// others to the same targets had not completed.
    [[nodiscard]] std::size_t waiting_orders() const noexcept { return waiting_orders_; }
    /// Returns by how much this instance has reduced the number of ranges by coalescing in records that it
    /// planned.
    [[nodiscard]] std::size_t coalesced_ranges() const noexcept { return coalesced_ranges_; }
    /// Returns the exclusion of targets that may hold keys unknown to this instance.
    [[nodiscard]] const holder_sweep& sweep() const noexcept { return sweep_; }

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
        /// Whether the host of the former owner refused the last order.
        bool refuses = false;
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
        /// Whether the last grant was withheld.
        bool withheld = false;
        bool owner_terminated = false;
        /// Whether the owner has seen a higher fencing token, so that the range needs a new one.
        bool fence_conflict = false;
        /// Whether the fencing token was given because the owner had seen a higher one.
        bool follows_conflict = false;
        /// Time at which the first append was sent that may be carried out and records when the owner's
        /// grants expire; they are not renewed from then on.
        std::optional<time_point> suspended_at;
    };
    /// A target of a keyed service that is or was registered.
    struct known_target {
        std::string service;
        target_incarnation incarnation;
        time_point registered_until{};
    };
    /// A claim of this instance.
    struct sent_claim {
        milliseconds log_time{0};
        time_point sent_at{};
    };
    /// A grant order that has not completed.
    struct pending_grant {
        std::string target;
        key_range keys;
        /// Fencing token of the term in which the order was given.
        std::uint64_t term_fence = 0;
    };
    /// Registration of the targets of a service that has no assignment yet.
    struct registration_progress {
        std::size_t targets = 0;
        time_point first_at{};
        time_point changed_at{};
    };
    using service_ranges = std::vector<managed_range>;

    void note_era(time_point now, const ownership_view& view);
    void note_targets(time_point now, const ownership_view& view);
    void note_claim(const ownership_log& log) noexcept;
    void watch_coordinator(time_point now, const ownership_view& view,
                           std::vector<ownership_action>& actions);
    [[nodiscard]] coordinator_claim make_claim(time_point now, const ownership_log& log) const;
    /// Adds a claim to an append that is sent now.
    void add_claim(time_point now, const coordinator_claim& claim, append_order& order);
    /// Returns the log time of a record that is sent now, not before that of others who read this instance's
    /// claim earlier than this instance learnt that it was appended.
    [[nodiscard]] milliseconds log_time(time_point now, const ownership_log& log) const;
    /// Returns whether the process named in the claim has been reported not to coordinate.
    [[nodiscard]] bool is_reported_idle(const coordinator_claim& claim) const noexcept;
    void note_reports(time_point now, const ownership_log& log);
    /// Returns the time by which the grants of all earlier coordinators have expired.
    /// @param silent_since time since which this instance knows of no record of a coordinator.
    [[nodiscard]] time_point earlier_grants_expiry(time_point silent_since, const ownership_log& log) const;
    [[nodiscard]] bool may_claim_at_once(const ownership_log& log) const;
    [[nodiscard]] bool needs_sweep(const ownership_log& log) const;
    [[nodiscard]] std::uint64_t fence_at(log_position position, std::int64_t origin) const;
    void append_assignments(const ownership_log& log, append_order& order,
                            std::optional<milliseconds> former_owners_from) const;
    /// Returns whether the owner of a range has not been granted it in this term, and has not ended.
    [[nodiscard]] bool has_ungranted_range() const;
    void plan_handover(time_point now, const ownership_view& view, append_order& order);
    void plan_rewriting(time_point now, const ownership_log& log, append_order& order);
    void plan_assignments(time_point now, const ownership_view& view, append_order& order);
    /// Returns whether an owner has refused a fencing token that was given because of an earlier refusal.
    [[nodiscard]] bool fences_are_too_low() const;
    void sweep_holders(time_point now, const ownership_view& view, std::vector<ownership_action>& actions);
    /// Excludes, while the sweep lasts, the targets that refuse connections and are registered no more, also
    /// as former owners.
    void exclude_refusing(const target_directory& directory);
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
    /// Returns the time by which the grants have expired that the owner of a range has from before it was
    /// assigned to the owner, or the epoch if there are none.
    [[nodiscard]] static time_point latest_grant_expiry_of(const service_ranges& before,
                                                           const owned_range& range);
    void plan(time_point now, const ownership_view& view, std::vector<ownership_action>& actions);
    /// Returns whether the first assignment of a service waits for further targets to register.
    /// @param targets number of registered targets.
    [[nodiscard]] bool awaits_registrations(time_point now, const std::string& service, std::size_t targets);
    [[nodiscard]] std::optional<assignment> plan_service(time_point now, const ownership_view& view,
                                                         const std::string& service, std::uint64_t fence);
    /// Returns whether a range can become part of a larger one: its owner is known to hold the keys, nothing
    /// is about to change that, and no former owner may hold one of them.
    [[nodiscard]] static bool is_settled(time_point now, const managed_range& range);
    [[nodiscard]] std::vector<balance_move> rebalance(time_point now, const std::string& service,
                                                      const assignment& current,
                                                      const std::vector<balance_target>& targets);
    [[nodiscard]] double average_service_us(const ownership_view& view, const std::string& service) const;
    /// Returns the targets that may be assigned keys.
    /// @param ignore_suspended whether failed grants count only where they are renewed.
    [[nodiscard]] std::vector<balance_target> candidates(time_point now, const ownership_view& view,
                                                         const std::string& service,
                                                         bool ignore_suspended) const;
    /// Numbers of orders to one target that have not completed.
    struct order_counts {
        std::size_t grants = 0;
        std::size_t releases = 0;
    };
    using order_count_table = std::map<std::string, order_counts, std::less<>>;
    /// Sends the orders that are due, to each target only as many as may be under way at the same time.
    /// @param to_unresponsive whether targets that did not answer the last order get the next one.
    void send_orders(time_point now, bool to_unresponsive, std::vector<ownership_action>& actions);
    void send_grant(time_point now, managed_range& range, std::vector<ownership_action>& actions);
    /// Returns the end of the time in which no other instance claims the role after an append of this
    /// coordinator, which others take as a sign of life.
    [[nodiscard]] time_point end_of_uncontested_time(time_point append_sent) const noexcept;
    /// Makes the grants that were withheld due.
    void resume_withheld(time_point now);
    [[nodiscard]] bool is_grant_due(time_point now, const std::string& service,
                                    const managed_range& range) const;
    [[nodiscard]] order_count_table count_pending_orders() const;
    /// Returns how many orders to a target may be under way: the given number, one if the target did not
    /// answer the last order, or none if it did not and must not get the next one.
    [[nodiscard]] std::size_t order_limit(const std::string& target, std::size_t limit,
                                          bool to_unresponsive) const;
    /// Notes whether a target answers, from the result of an order to it.
    void note_answer(const std::string& target, order_status status, bool is_release);
    void complete_release(time_point now, managed_range& range, std::uint64_t id, order_status status,
                          const std::string& handover) const;
    void complete_grant(time_point now, managed_range& range, order_status status) const;
    void release_former(time_point now, managed_range& range, bool to_unresponsive,
                        order_count_table& pending, std::vector<ownership_action>& actions);
    /// Returns the identifiers of the targets that are known to have ended or whose grants have failed for
    /// `failure_timeout`.
    /// @param ignore_suspended whether failed grants count only where they are renewed.
    [[nodiscard]] std::set<std::string_view> unavailable_targets(time_point now, const std::string& service,
                                                                 bool ignore_suspended) const;
    [[nodiscard]] bool is_failing(time_point now, const managed_range& range) const;
    /// Returns whether grants to the owner of a range fail, for this range or for another one. Few ranges of
    /// a target that does not answer are tried.
    [[nodiscard]] bool is_owner_failing(time_point now, const service_ranges& ranges,
                                        const managed_range& range) const;
    /// Grants keys again to owners that are registered and respond at their addresses after another process
    /// did so.
    void resume_confirmed(time_point now, const ownership_view& view);
    [[nodiscard]] bool has_pending_grant(std::string_view target, key_range keys) const;
    /// Returns whether a target that owns a range is gone or can't be reached, so that its grants for it need
    /// not be renewed until another owner is recorded.
    [[nodiscard]] bool is_lost(time_point now, const ownership_view& view, const service_ranges& ranges,
                               const managed_range& range) const;
    /// Suspends the renewal of the grants of lost owners for keys that are assigned to other targets.
    void suspend_renewals(time_point now, const ownership_view& view, service_ranges& ranges,
                          const std::vector<balance_move>& moves) const;
    /// Returns the time after which all grants of a target for keys have expired, counted from now, or
    /// nothing if they may still be renewed.
    [[nodiscard]] static std::optional<milliseconds> grants_left(time_point now, const service_ranges& ranges,
                                                                 key_range keys,
                                                                 const target_incarnation& target);
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
    ownership_guards guards_;
    bool is_coordinator_ = false;
    bool targets_reachable_ = true;
    /// Whether the process is about to end.
    bool hands_over_ = false;
    /// Whether this instance has resigned since its last successful claim.
    bool resigned_ = false;
    log_position term_;
    /// Fencing token of the term.
    std::uint64_t term_fence_ = 0;
    /// Latest era of the store that was noticed, and the time of the notice.
    std::optional<std::uint64_t> noticed_era_;
    time_point era_noticed_at_{};
    /// Whether no other instance can have claimed the role before the latest era was noticed.
    bool continuous_ = true;
    holder_sweep sweep_;
    /// Time by which the grants of all earlier coordinators have expired, also of those whose records were
    /// lost.
    time_point earlier_grants_expire_at_{};
    /// Claim that this instance last sent, and the one that the log had last.
    sent_claim last_claim_;
    sent_claim appended_claim_;
    /// Log time at which this term began.
    milliseconds term_began_{0};
    time_point authority_until_{};
    time_point uncontested_until_{};
    /// Time at which this term began.
    time_point began_at_{};
    time_point first_tick_{};
    time_point last_tick_{};
    /// Session of the coordinator that the last coordinator report concerns, and the number of consecutive
    /// reports that this session does not coordinate.
    std::uint64_t reported_session_ = 0;
    unsigned not_coordinator_reports_ = 0;
    /// Whether that session has been reported to have ended.
    bool reported_ended_ = false;
    /// Term of the claim that the reports concern, and time at which the last record before them was read.
    log_position reported_term_;
    time_point reported_record_at_{};
    /// Times since which the process named in the claim has been reported not to coordinate, and to have
    /// ended.
    std::optional<time_point> reported_idle_since_;
    std::optional<time_point> reported_ended_since_;
    bool append_pending_ = false;
    time_point append_sent_{};
    /// Time at which the last successful append of this term after its claim was sent.
    std::optional<time_point> confirmed_append_sent_;
    time_point last_append_{};
    /// If set, the next append waits until a read of the log sent after this time has completed: an earlier
    /// append did not succeed, or its outcome is unknown.
    std::optional<time_point> reread_after_;
    /// Position of the log at the last reconciliation of the managed ranges.
    log_position reconciled_position_;
    /// Whether the next reconciliation is the first of the term; it must allow for grants of earlier
    /// coordinators.
    bool first_reconcile_ = false;
    time_point next_balance_at_{};
    std::map<std::string, time_point, std::less<>> next_dominant_move_times_;
    time_point next_coalescing_at_{};
    std::size_t coalesced_ranges_ = 0;
    std::uint64_t next_order_id_ = 1;
    std::map<std::uint64_t, pending_grant> pending_grants_;
    /// Targets of the releases that have not completed, except those of the sweep, by the id of the order.
    std::map<std::uint64_t, std::string> pending_releases_;
    /// Ids of the targets that did not answer the last order.
    std::set<std::string, std::less<>> unresponsive_targets_;
    /// Ids of the targets for which orders waited when orders were last sent, and the number of these orders.
    std::set<std::string, std::less<>> waiting_targets_;
    std::size_t waiting_orders_ = 0;
    /// Whether an order to one of these targets has completed since.
    bool order_freed_ = false;
    std::map<std::string, service_ranges, std::less<>> ranges_;
    std::map<std::string, service_load, std::less<>> loads_;
    std::map<std::string, target_speed, std::less<>> speeds_;
    std::map<std::string, registration_progress, std::less<>> registrations_;
    /// Targets by the name of the incarnation, from their registration until no grant can be left that they
    /// received while they were registered.
    std::map<std::string, known_target, std::less<>> known_targets_;
    time_point targets_noted_at_{};
};

} // namespace teaseltally
