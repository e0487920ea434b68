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
/// The decisions of one instance: membership of its cell, dispatcher leases, moves and releases.
/// It takes events and the time and returns actions; it has no input or output of its own.

namespace teaseltally {

/// Parts of the ownership protocol that tests switch off one at a time.
struct coordinator_guards {
    lease_guards lease;
    fold_guards fold;
    bool lease_at_dispatch = true;
    bool released_before_serving = true;
    bool idle_before_release = true;
    bool predecessor_wait_before_release = true;
    bool majority_applied_before_release = true;
    bool caught_up_before_serving = true;
    bool fencing_after_reset = true;
    bool log_contact_before_dispatch = true;
};

/// Who this instance is and how it keeps time.
struct coordinator_settings {
    session_id session{};
    std::string instance;
    std::string data_centre;
    std::string address;
    std::uint16_t peer_port = 0;
    lease_timings lease;
    coordinator_guards guards;
};

/// Send a message to another session.
struct send_action {
    session_id to{};
    peer_message message;
};

/// Append a record to the control stream; report the end with `append_finished`.
struct append_action {
    std::string record;
};

/// Make a target that checks grants refuse the items; report with `revoked`.
struct revoke_action {
    target_id target{};
    dispatcher_token token;
    std::vector<release_entry> entries;
};

/// The instance became or ceased to be the dispatcher of a target.
struct dispatcher_action {
    target_id target{};
    bool held = false;
    dispatcher_token token;
    /// Term of the dispatcher that handed over directly to this instance, if one did.
    std::optional<term> predecessor_term;
};

/// A decision for the log.
struct log_event_action {
    std::string line;
};

using coordinator_action =
    std::variant<send_action, append_action, revoke_action, dispatcher_action, log_event_action>;

/// Work that wants to be handed to a target.
struct dispatch_request {
    target_id target{};
    service_id service{};
    key_hash key{};
    /// Epoch that the sender relied on.
    epoch min_position{};
    time_point deadline{};
    /// The request carries an idempotency key, so one dispatcher alone may run it.
    bool has_idempotency_key = false;
};

/// Leave to hand work to a target now.
struct dispatch_permit {
    ticket_id ticket{};
    dispatcher_token token;
    slot_ref slot;
    /// Fencing token of the owner.
    epoch owner_epoch{};
    bool hot = false;
};

/// Why work may not be handed to a target here, and who may know better.
struct dispatch_refusal {
    result_code code{};
    session_id suggested_dispatcher{};
};

/// The decisions of one instance.
class coordinator {
public:
    explicit coordinator(coordinator_settings settings);

    /// Applies a record of the control stream.
    void apply_record(epoch at, std::string_view record, time_point now);
    /// Takes over a state that is further than the present one.
    /// @returns whether it was.
    bool restore(const cluster_state& state, time_point now);
    /// Handles a message of another instance.
    void receive(const peer_message& message, time_point now);
    /// Notes that an append ended, whatever its answer; the record counts once it is read back.
    void append_finished(time_point now);
    /// Notes that the target that held the items refuses them from now on and executes nothing for them.
    void mark_revoked(std::span<const release_entry> entries);
    /// Sends a message to every other session.
    void broadcast(const peer_message& message);
    /// Notes until when the target may accept work by its last grant.
    void record_grant(target_id target, time_point until);
    /// Notes a target's condition as its dispatcher sees it.
    void record_target_condition(target_id target, target_condition condition);
    /// Starts a graceful stop: hands every target over.
    void stop(time_point now);
    /// Does what has become due.
    void tick(time_point now);
    /// @returns what is to be done, in order.
    [[nodiscard]] std::vector<coordinator_action> take_actions();

    /// Checks whether work may be handed to a target by this instance.
    [[nodiscard]] std::optional<dispatch_refusal> check(const dispatch_request& request,
                                                        time_point now) const;
    /// Checks again and notes the work; call it just before the write to the target.
    [[nodiscard]] std::variant<dispatch_permit, dispatch_refusal> begin(const dispatch_request& request,
                                                                        time_point now);
    /// Ends dispatched work.
    /// @param certain whether the target is known to execute it no more.
    void finish(ticket_id ticket, bool certain, time_point now);

    [[nodiscard]] const cluster_state& state() const noexcept { return state_; }
    [[nodiscard]] const coordinator_settings& settings() const noexcept { return settings_; }
    [[nodiscard]] const dispatch_ledger& ledger() const noexcept { return ledger_; }
    [[nodiscard]] bool is_dispatcher(target_id target, time_point now) const;
    [[nodiscard]] time_point lease_expiry(target_id target) const { return holder_.valid_until(target); }
    [[nodiscard]] std::optional<dispatcher_token> token(target_id target) const
    {
        return holder_.token(target);
    }
    /// @returns the session to ask first for a target: its known dispatcher or the likeliest one.
    [[nodiscard]] session_id likely_dispatcher(target_id target, time_point now) const;
    /// @returns the sessions to ask for a target, the likeliest dispatcher first.
    [[nodiscard]] std::vector<session_id> dispatcher_candidates(target_id target, time_point now) const;
    /// @returns whether a member of the cell was heard lately and is not leaving.
    [[nodiscard]] bool is_reachable(session_id session, time_point now) const
    {
        return is_alive(session, now);
    }
    /// @returns whether a graceful stop is complete.
    [[nodiscard]] bool stopped() const;
    /// @returns how many sessions rank before this one as proposers of placements and snapshots.
    [[nodiscard]] std::size_t proposer_rank() const;
    /// @returns whether a right was won that needs a later position than the present one.
    [[nodiscard]] bool is_behind() const;
    [[nodiscard]] bool joined() const { return state_.sessions().contains(settings_.session); }
    [[nodiscard]] const std::map<target_id, load_report>& loads() const noexcept { return loads_; }
    /// @returns slots and keys that this instance saw move since it started, for each service.
    [[nodiscard]] const std::map<service_id, std::uint64_t>& move_counts() const noexcept
    {
        return move_counts_;
    }

private:
    /// Service, whether it is a hot key, and slot number or key hash.
    using owned_item = std::pair<service_id, std::pair<bool, std::uint64_t>>;

    // Cell: heartbeats, elections and voter sets.
    void send_heartbeat(time_point now);
    void adopt_voter_set(time_point now);
    void list_group_targets();
    [[nodiscard]] bool majority_alive(time_point now) const;
    void claim_unheld_targets(time_point now);
    void drop_lapsed_leases(time_point now);
    void balance_dispatchers(time_point now);
    void hand_over(target_id target, session_id successor, time_point now);
    void resign(target_id target, session_id successor, bool clean);
    void receive_request(const lease_request& request, time_point now);
    void receive_reply(const lease_reply& reply, time_point now);
    void receive_resign(const lease_resign& resign, time_point now);
    [[nodiscard]] lease_reply make_reply(const lease_request& request, time_point now);
    [[nodiscard]] const cell_state* voter_group() const;
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
    [[nodiscard]] bool requires_fencing(const cell_state& group, const service_settings& service,
                                        time_point now) const;

    // Ownership: releases, evacuation and placement.
    void release_idle(time_point now);
    [[nodiscard]] bool may_release(target_id previous, epoch since, time_point now) const;
    [[nodiscard]] bool majority_applied(epoch since) const;
    void request_voter_positions(target_id previous, epoch since, time_point now);
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
    [[nodiscard]] bool is_release_obsolete(const owned_item& item, epoch since) const;

    // Appends.
    void propose(time_point now);
    [[nodiscard]] std::optional<record_body> next_proposal(time_point now);
    void log_event(std::string line);

    struct pending_append {
        std::uint64_t sequence = 0;
        std::string record;
        time_point first_sent{};
        time_point retry_at{};
        bool in_flight = false;
        bool is_heartbeat = false;
    };
    struct peer_status {
        time_point alive_since{};
        time_point last_received{};
        epoch voters{};
        epoch position{};
        /// When the member said that it leaves.
        std::optional<time_point> leaving_since;
    };
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
    std::map<target_id, lease_resign> offered_leases_;
    std::map<target_id, session_id> dispatcher_hints_;
    time_point next_hand_over_at_{};
    bool stopping_ = false;

    std::map<target_id, time_point> predecessor_deadline_;
    std::map<target_id, time_point> grant_expiry_;
    std::map<target_id, target_condition> observed_conditions_;
    std::map<target_id, time_point> draining_since_;
    std::map<owned_item, epoch> direct_releases_;
    std::map<owned_item, epoch> revoked_items_;
    std::map<target_id, time_point> revoke_sent_at_;
    std::vector<release_entry> releasable_;
    time_point notice_sent_at_{};

    std::optional<pending_append> pending_append_;
    std::uint64_t append_sequence_ = 0;
    time_point next_proposal_at_{};
    std::optional<log_heartbeat> own_log_heartbeat_;
    std::optional<log_heartbeat> latest_log_heartbeat_;
    time_point reset_seen_at_{};
    epoch reset_epoch_{};
    time_point challenge_seen_at_{};
    epoch challenge_epoch_{};
    std::map<std::string, log_heartbeat> log_heartbeats_seen_;
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
