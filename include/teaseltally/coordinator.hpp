#pragma once

#include <teaseltally/cluster_state.hpp>
#include <teaseltally/dispatch_ledger.hpp>
#include <teaseltally/lease.hpp>
#include <teaseltally/peer_messages.hpp>
#include <teaseltally/placement.hpp>

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

/// @file
/// The ownership protocol of one instance: membership of its voter group, dispatcher leases, moves and
/// releases of slots and hot keys. The coordinator is given events and the current time and returns actions;
/// it performs no input or output itself.

namespace teaseltally {

/// Safety checks of the ownership protocol. Tests disable them one at a time.
struct coordinator_guards {
    /// Checks of the lease protocol.
    lease_guards lease;
    /// Checks that are made when a record of the control stream is applied.
    apply_guards fold;
    /// A request is dispatched only while the lease on its target is valid.
    bool lease_at_dispatch = true;
    /// A slot or hot key is served only after its previous owner released it.
    bool released_before_serving = true;
    /// A slot or hot key is released only when the target executes no request for it.
    bool idle_before_release = true;
    /// A slot or hot key is released only after the deadlines of the requests of the previous dispatcher of
    /// its previous owner have passed.
    bool predecessor_wait_before_release = true;
    /// A slot or hot key is released only after a majority of the voters has applied the record of its move.
    bool majority_applied_before_release = true;
    /// A dispatcher serves only after it has applied every record that a voter had applied when it granted
    /// the lease.
    bool caught_up_before_serving = true;
    /// After a reset of the voter group (see `voter_reset`), only targets that check grants are served.
    bool fencing_after_reset = true;
    /// A request is dispatched only if the voter group reached the control stream within
    /// `service_settings::isolation_grace`.
    bool log_contact_before_dispatch = true;
};

/// Identity, address and lease timings of an instance.
struct coordinator_settings {
    /// Session of this run of the instance.
    session_id session{};
    /// Name of the instance.
    std::string instance;
    /// Name of the data centre that the instance runs in.
    std::string data_centre;
    /// Address at which other instances reach this one.
    std::string address;
    /// Port for messages of other instances.
    std::uint16_t peer_port = 0;
    /// Timings of dispatcher leases.
    lease_timings lease;
    /// Safety checks; all are enabled outside tests.
    coordinator_guards guards;
};

/// Sends a message to another session.
struct send_action {
    /// Session that receives the message.
    session_id to{};
    /// Message to send.
    peer_message message;
};

/// Appends an encoded record to the control stream. The embedder reports the end of the append with
/// `coordinator::append_finished`.
struct append_action {
    /// Encoded record.
    std::string record;
};

/// Makes a target that checks grants refuse requests for slots and hot keys, so that they can be released.
/// The embedder reports success with `coordinator::mark_revoked`.
struct revoke_action {
    /// Target that is to refuse the requests.
    target_id target{};
    /// Fencing token of the dispatcher that sends the revocation.
    dispatcher_token token;
    /// Slots and hot keys whose requests are to be refused.
    std::vector<release_entry> entries;
};

/// Reports that the instance became or ceased to be the dispatcher of a target.
struct dispatcher_action {
    /// Target whose dispatcher changed.
    target_id target{};
    /// Whether the instance became the dispatcher; false if it ceased to be it.
    bool held = false;
    /// Fencing token of the lease; default if `held` is false.
    dispatcher_token token;
    /// Term of the dispatcher that handed the target over to this instance, if one did.
    std::optional<term> predecessor_term;
};

/// Writes a line to the event log of the instance.
struct log_event_action {
    /// Text of the line, as `log_line` builds it.
    std::string line;
};

/// An action that the embedder performs for the coordinator.
using coordinator_action =
    std::variant<send_action, append_action, revoke_action, dispatcher_action, log_event_action>;

/// A request that is to be dispatched to a target.
struct dispatch_request {
    /// Target that is to execute the request.
    target_id target{};
    /// Service of the request.
    service_id service{};
    /// Hash of the shard key; has no meaning for a service without keys.
    key_hash key{};
    /// Position of the control stream up to which the sender had applied records when it chose the target.
    /// The request is refused until this instance has applied the records up to there.
    epoch min_position{};
    /// Time after which the target no longer executes the request.
    time_point deadline{};
    /// Whether the request carries an idempotency key, so that only one dispatcher may run it.
    bool has_idempotency_key = false;
};

/// Permission to send a request to a target now.
struct dispatch_permit {
    /// Ticket that `coordinator::finish` expects when the request has ended.
    ticket_id ticket{};
    /// Fencing token of the dispatcher.
    dispatcher_token token;
    /// Slot of the key; default for a service without keys.
    slot_ref slot;
    /// Epoch at which the target became owner of the slot or hot key; the fencing token of the owner. Default
    /// for a service without keys.
    epoch owner_epoch{};
    /// Whether the key is a hot key with an owner of its own.
    bool hot = false;
};

/// Reason why this instance must not dispatch a request.
struct dispatch_refusal {
    /// One of the `not_run` codes.
    result_code code{};
    /// Session to which the request may be forwarded instead, or `no_session`.
    session_id suggested_dispatcher{};
};

/// State machine of the ownership protocol for one instance.
///
/// All times are of the monotonic clock of the instance.
class coordinator {
public:
    /// Creates a coordinator that has applied no record.
    explicit coordinator(coordinator_settings settings);

    /// Applies a record of the control stream. A record that cannot be decoded is skipped and logged.
    /// @param at offset of the record, counted from 1.
    /// @param record encoded record.
    void apply_record(epoch at, std::string_view record, time_point now);
    /// Replaces the state by one with a later position; ignores any other state.
    /// @param state state to adopt, for instance from a snapshot.
    /// @returns whether the state was adopted.
    bool restore(const cluster_state& state, time_point now);
    /// Handles a message of another instance.
    void receive(const peer_message& message, time_point now);
    /// Reports that an append ended, with success or not. The record takes effect only when it is read back
    /// from the control stream.
    void append_finished(time_point now);
    /// Records that a target refuses requests for slots and hot keys from now on and executes none for them.
    /// @param entries entries of the `revoke_action` that succeeded.
    void mark_revoked(std::span<const release_entry> entries);
    /// Sends a message to every other session.
    void broadcast(const peer_message& message);
    /// Records the end of a grant that was sent to a target. A time before the recorded end is ignored.
    /// @param until time up to which the target may accept requests under the grant.
    void record_grant(target_id target, time_point until);
    /// Records the condition of a target as its dispatcher observed it.
    void record_target_condition(target_id target, target_condition condition);
    /// Starts a graceful stop: every target is handed over to another dispatcher.
    void stop(time_point now);
    /// Performs the work that is due. The embedder calls it regularly.
    void tick(time_point now);
    /// Returns the actions to perform, in order, and removes them from the coordinator.
    [[nodiscard]] std::vector<coordinator_action> take_actions();

    /// Checks whether this instance may dispatch a request.
    /// @returns the reason for a refusal, or nothing if the request may be dispatched.
    [[nodiscard]] std::optional<dispatch_refusal> check(const dispatch_request& request,
                                                        time_point now) const;
    /// Repeats `check` and records the request as dispatched. Must be called just before the write to the
    /// target, because the lease may expire in between.
    /// @returns a permit, or the reason for a refusal.
    [[nodiscard]] std::variant<dispatch_permit, dispatch_refusal> begin(const dispatch_request& request,
                                                                        time_point now);
    /// Ends a dispatched request.
    /// @param ticket ticket of the permit.
    /// @param known_ended whether the target is known to have finished the request; otherwise the request
    /// counts as running until its deadline.
    void finish(ticket_id ticket, bool known_ended, time_point now);

    /// Returns the state that results from the applied records.
    [[nodiscard]] const cluster_state& state() const noexcept { return state_; }
    /// Returns the settings that the coordinator was created with.
    [[nodiscard]] const coordinator_settings& settings() const noexcept { return settings_; }
    /// Returns the ledger of requests that this instance dispatched.
    [[nodiscard]] const dispatch_ledger& ledger() const noexcept { return ledger_; }
    /// Returns whether this instance holds a valid lease on a target.
    [[nodiscard]] bool is_dispatcher(target_id target, time_point now) const;
    /// Returns the time until which the lease on a target is valid, with the margin subtracted; zero if the
    /// lease was not granted.
    [[nodiscard]] time_point lease_expiry(target_id target) const { return holder_.valid_until(target); }
    /// Returns the fencing token of the lease on a target, or nothing if the lease was not granted.
    [[nodiscard]] std::optional<dispatcher_token> token(target_id target) const
    {
        return holder_.token(target);
    }
    /// Returns the session to query first for a target: its known dispatcher, or else the voter with the
    /// highest rank. Returns `no_session` if the voter group of the target has no voters.
    [[nodiscard]] session_id likely_dispatcher(target_id target, time_point now) const;
    /// Returns the sessions to query for a target: its known dispatcher, if any, then the other voters of the
    /// target's voter group, highest rank first.
    [[nodiscard]] std::vector<session_id> dispatcher_candidates(target_id target, time_point now) const;
    /// Returns whether a member of the voter group has sent a message within the last 1.5 s and has not
    /// announced that it leaves. For the session of this instance, returns whether it is not stopping.
    [[nodiscard]] bool is_reachable(session_id session, time_point now) const
    {
        return is_alive(session, now);
    }
    /// Returns whether a graceful stop is complete: the session holds or claims no lease and is not a voter.
    [[nodiscard]] bool stopped() const;
    /// Returns how many sessions rank before this one as proposers of placements and snapshots; zero for the
    /// first.
    [[nodiscard]] std::size_t proposer_rank() const;
    /// Returns whether this instance holds a lease but has not yet applied the records that serving requires.
    [[nodiscard]] bool is_behind() const;
    /// Returns whether the applied records contain the join of this session.
    [[nodiscard]] bool joined() const { return state_.sessions().contains(settings_.session); }
    /// Returns the last load report of each target.
    [[nodiscard]] const std::map<target_id, load_report>& loads() const noexcept { return loads_; }
    /// Returns the number of slots and hot keys of each service that moved since this instance started.
    [[nodiscard]] const std::map<service_id, std::uint64_t>& move_counts() const noexcept
    {
        return move_counts_;
    }

private:
    /// A slot or hot key: the service, whether it is a hot key, and the slot number or key hash.
    using owned_item = std::pair<service_id, std::pair<bool, std::uint64_t>>;

    // Voter group: heartbeats, elections and voter sets.
    void send_heartbeat(time_point now);
    void adopt_voter_set(time_point now);
    void list_group_targets();
    [[nodiscard]] bool majority_alive(time_point now) const;
    void claim_unheld_targets(time_point now);
    void drop_expired_leases(time_point now);
    void balance_dispatchers(time_point now);
    void hand_over(target_id target, session_id successor, time_point now);
    void resign(target_id target, session_id successor, bool clean);
    void receive_request(const lease_request& request, time_point now);
    void receive_reply(const lease_reply& reply, time_point now);
    void receive_resign(const lease_resign& resign, time_point now);
    [[nodiscard]] lease_reply make_reply(const lease_request& request, time_point now);
    [[nodiscard]] const voter_group_state* voter_group() const;
    [[nodiscard]] bool is_voter() const;
    [[nodiscard]] bool is_alive(session_id session, time_point now) const;
    [[nodiscard]] std::vector<session_id> ranked_voters(target_id target, time_point now) const;
    [[nodiscard]] session_id known_dispatcher(target_id target, time_point now) const;
    [[nodiscard]] bool proposes_for_group(time_point now) const;
    [[nodiscard]] std::vector<session_id> acknowledged_voters() const;
    [[nodiscard]] std::optional<record_body> voter_set_proposal(time_point now) const;
    [[nodiscard]] std::optional<record_body> reset_proposal(time_point now) const;
    [[nodiscard]] std::optional<record_body> log_heartbeat_proposal(time_point now);
    [[nodiscard]] bool has_recent_log_contact(service_id service, time_point now) const;
    [[nodiscard]] bool requires_fencing(const voter_group_state& group, const service_settings& service,
                                        time_point now) const;

    // Ownership: releases, evacuation and placement.
    void release_idle(time_point now);
    [[nodiscard]] bool may_release(target_id previous, epoch owner_epoch, time_point now) const;
    [[nodiscard]] bool majority_applied(epoch owner_epoch) const;
    void request_voter_positions(target_id previous, epoch owner_epoch, time_point now);
    [[nodiscard]] bool is_fenced(target_id previous, const release_entry& entry, time_point now);
    [[nodiscard]] std::optional<record_body> release_proposal();
    [[nodiscard]] std::optional<record_body> target_condition_proposal(time_point now) const;
    [[nodiscard]] std::optional<record_body> evacuation_proposal(time_point now);
    [[nodiscard]] std::optional<record_body> placement_proposal(time_point now);
    [[nodiscard]] std::optional<record_body> balance_proposal(time_point now);
    [[nodiscard]] std::optional<record_body> key_demotion_proposal(service_id service) const;
    [[nodiscard]] std::optional<record_body> relinquish_proposal(time_point now);
    [[nodiscard]] std::optional<record_body> make_move(service_id service,
                                                       std::span<const placement_item> items);
    [[nodiscard]] std::vector<placement_target> accepting_targets(service_id service) const;
    [[nodiscard]] bool is_served(target_id target) const;
    [[nodiscard]] bool every_group_served(service_id service) const;
    [[nodiscard]] bool may_report_down(service_id service) const;
    [[nodiscard]] bool needs_placement(target_id owner) const;
    void report_loads(time_point now);
    void count_moves(epoch at, const record_body& body, std::size_t applied);
    [[nodiscard]] bool collect_loads(service_id service, std::vector<placement_target>& targets,
                                     std::vector<placement_item>& items, time_point now);
    [[nodiscard]] std::optional<record_body> balance_service(service_id service, const balance_limits& limits,
                                                             time_point now);
    void on_state_changed(time_point now);
    [[nodiscard]] bool is_release_obsolete(const owned_item& item, epoch owner_epoch) const;

    // Proposals to the control stream.
    void propose(time_point now);
    [[nodiscard]] std::optional<record_body> next_proposal(time_point now);
    void log_event(std::string line);

    /// A record that was proposed and has not been read back yet.
    struct pending_append {
        std::uint64_t sequence = 0;
        std::string record;
        time_point first_sent{};
        time_point retry_at{};
        bool in_flight = false;
        bool is_heartbeat = false;
    };
    /// State of a member of the voter group, as its messages report it.
    struct peer_status {
        /// Time of the first message after the last interval of at least `failure_timeout` without one.
        time_point alive_since{};
        time_point last_received{};
        epoch voters{};
        epoch position{};
        /// Time at which the member announced that it leaves.
        std::optional<time_point> leaving_since;
    };
    /// A log heartbeat of a voter group: its offset in the control stream and the time at which it was sent
    /// or, in `log_heartbeats_seen_`, first seen.
    struct log_heartbeat {
        epoch at{};
        time_point sent{};
    };

    coordinator_settings settings_;
    std::uint32_t group_index_ = 0;
    std::string group_name_;
    cluster_state state_;
    lease_voter voter_;
    lease_holder holder_;
    dispatch_ledger ledger_;
    std::vector<coordinator_action> actions_;

    std::map<session_id, peer_status> peers_;
    epoch adopted_voter_set_{};
    /// Targets whose dispatcher the voter group elects, with the epoch of the configuration and the name of
    /// the voter group that they were listed for.
    std::vector<target_id> group_targets_;
    epoch group_targets_epoch_{};
    std::string group_targets_name_;
    std::uint64_t heartbeat_sequence_ = 0;
    time_point heartbeat_sent_at_{};
    bool heartbeat_due_ = false;
    std::map<target_id, time_point> unheld_since_;
    std::map<target_id, time_point> next_claim_at_;
    std::map<target_id, term> highest_terms_;
    std::set<target_id> held_targets_;
    /// Resignations that name this session as successor; used when its claim on the target is granted.
    std::map<target_id, lease_resign> offered_leases_;
    /// Dispatchers as named in heartbeats and votes of other sessions; they may be out of date.
    std::map<target_id, session_id> dispatcher_hints_;
    time_point next_hand_over_at_{};
    bool stopping_ = false;

    /// Time after which a held target executes no more requests of its previous dispatcher.
    std::map<target_id, time_point> predecessor_deadlines_;
    std::map<target_id, time_point> grant_expiries_;
    std::map<target_id, target_condition> observed_conditions_;
    std::map<target_id, time_point> draining_since_;
    /// Releases received in a `release_notice` before the record of the release was applied, with the epoch
    /// of the assignment to the new owner.
    std::map<owned_item, epoch> direct_releases_;
    std::map<owned_item, epoch> revoked_items_;
    std::map<target_id, time_point> revoke_sent_at_;
    /// Slots and hot keys that may be released now.
    std::vector<release_entry> releasable_;
    time_point notice_sent_at_{};

    std::optional<pending_append> pending_append_;
    std::uint64_t append_sequence_ = 0;
    time_point next_proposal_at_{};
    /// Last accepted log heartbeat of which this session is the author.
    std::optional<log_heartbeat> own_log_heartbeat_;
    /// Last known log heartbeat of the voter group, with the earliest time at which it may have been sent.
    std::optional<log_heartbeat> latest_log_heartbeat_;
    time_point reset_seen_at_{};
    epoch reset_epoch_{};
    time_point challenge_seen_at_{};
    epoch challenge_epoch_{};
    std::map<std::string, log_heartbeat> log_heartbeats_seen_;
    /// Time at which the current voter set was adopted. The time without messages of a member is counted from
    /// then at the earliest, because the member may be new.
    time_point silence_counted_from_{};

    std::map<target_id, load_report> loads_;
    std::map<target_id, time_point> loads_received_at_;
    std::map<target_id, time_point> accepting_since_;
    std::deque<time_point> recent_move_times_;
    std::map<service_id, time_point> imbalanced_since_;
    time_point loads_reported_at_{};
    time_point balance_checked_at_{};
    time_point placement_needed_since_{};
    bool ownership_changed_ = true;
    std::map<service_id, std::uint64_t> move_counts_;
};

} // namespace teaseltally
