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
    apply_guards fold;
    bool lease_at_dispatch = true;
    bool released_before_serving = true;
    bool idle_before_release = true;
    bool predecessor_wait = true;
    bool position_of_majority = true;
    bool caught_up_before_serving = true;
    bool reset_needs_fencing = true;
    bool isolation_proof = true;
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
    std::optional<term> handed_over;
};

/// A decision for the log.
struct decision_action {
    std::string line;
};

using coordinator_action =
    std::variant<send_action, append_action, revoke_action, dispatcher_action, decision_action>;

/// Work that wants to be handed to a target.
struct dispatch_request {
    target_id target{};
    service_id service{};
    key_hash key{};
    /// Epoch that the sender relied on.
    epoch relied_on{};
    time_point deadline{};
    /// The request carries an idempotency key, so one dispatcher alone may run it.
    bool marked = false;
};

/// Leave to hand work to a target now.
struct dispatch_permit {
    ticket_id ticket{};
    dispatcher_token token;
    slot_ref slot;
    /// Fencing token of the owner.
    epoch owner_since{};
    bool hot = false;
};

/// Why work may not be handed to a target here, and who may know better.
struct dispatch_refusal {
    result_code code{};
    session_id holder{};
};

/// The decisions of one instance.
class coordinator {
public:
    explicit coordinator(coordinator_settings settings);

    /// Applies a record of the control stream.
    void observe(epoch at, std::string_view record, time_point now);
    /// Takes over a state that is further than the present one.
    /// @returns whether it was.
    bool restore(const cluster_state& state, time_point now);
    /// Handles a message of another instance.
    void receive(const peer_message& message, time_point now);
    /// Notes that an append ended, whatever its answer; the record counts once it is read back.
    void append_finished(time_point now);
    /// Notes that the target that held the items refuses them from now on and executes nothing for them.
    void revoked(std::span<const release_entry> entries);
    /// Sends a message to every other session.
    void tell_all(const peer_message& message);
    /// Notes until when the target may accept work by its last grant.
    void granted_until(target_id target, time_point until);
    /// Notes a target's condition as its dispatcher sees it.
    void observe_target(target_id target, target_condition condition);
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
    [[nodiscard]] bool dispatches(target_id target, time_point now) const;
    [[nodiscard]] time_point lease_until(target_id target) const { return holder_.valid_until(target); }
    [[nodiscard]] std::optional<dispatcher_token> token(target_id target) const
    {
        return holder_.token(target);
    }
    /// @returns the session to ask first for a target: its known dispatcher or the likeliest one.
    [[nodiscard]] session_id likely_dispatcher(target_id target, time_point now) const;
    /// @returns the sessions to ask for a target, the likeliest dispatcher first.
    [[nodiscard]] std::vector<session_id> possible_dispatchers(target_id target, time_point now) const;
    /// @returns whether a member of the cell was heard lately and is not leaving.
    [[nodiscard]] bool hears(session_id session, time_point now) const { return alive(session, now); }
    /// @returns whether a graceful stop is complete.
    [[nodiscard]] bool stopped() const;
    /// @returns how many sessions rank before this one as proposers of placements and snapshots.
    [[nodiscard]] std::size_t proposer_rank() const;
    /// @returns whether a right was won that needs a later position than the present one.
    [[nodiscard]] bool behind() const;
    [[nodiscard]] bool joined() const { return state_.sessions().contains(settings_.session); }
    [[nodiscard]] const std::map<target_id, load_report>& loads() const noexcept { return loads_; }
    /// @returns slots and keys that this instance saw move since it started, for each service.
    [[nodiscard]] const std::map<service_id, std::uint64_t>& moves_seen() const noexcept
    {
        return moves_seen_;
    }

private:
    /// Service, whether it is a hot key, and slot number or key hash.
    using owned_item = std::pair<service_id, std::pair<bool, std::uint64_t>>;

    // Cell: heartbeats, elections and voter sets.
    void heartbeat(time_point now);
    void adopt_cell(time_point now);
    void list_cell_targets();
    [[nodiscard]] bool hears_majority(time_point now) const;
    void elect(time_point now);
    void settle_rights(time_point now);
    void balance_dispatchers(time_point now);
    void hand_over(target_id target, session_id successor, time_point now);
    void resign(target_id target, session_id successor, bool clean);
    void receive_request(const lease_request& request, time_point now);
    void receive_reply(const lease_reply& reply, time_point now);
    void receive_resign(const lease_resign& resign, time_point now);
    [[nodiscard]] lease_reply make_reply(const lease_request& request, time_point now);
    [[nodiscard]] const voter_group_state* cell() const;
    [[nodiscard]] bool votes() const;
    [[nodiscard]] bool alive(session_id session, time_point now) const;
    [[nodiscard]] std::vector<session_id> ranked_voters(target_id target, time_point now) const;
    [[nodiscard]] session_id known_dispatcher(target_id target, time_point now) const;
    [[nodiscard]] bool proposes_for_cell(time_point now) const;
    [[nodiscard]] std::vector<session_id> acknowledged_voters() const;
    [[nodiscard]] std::optional<record_body> voter_proposal(time_point now) const;
    [[nodiscard]] std::optional<record_body> reset_proposal(time_point now) const;
    [[nodiscard]] std::optional<record_body> beat_proposal(time_point now);
    [[nodiscard]] bool isolation_proven(service_id service, time_point now) const;
    [[nodiscard]] bool fencing_only(const voter_group_state& cell, const service_settings& service,
                                    time_point now) const;

    // Ownership: releases, evacuation and placement.
    void release_idle(time_point now);
    [[nodiscard]] bool may_release(target_id previous, epoch since, time_point now) const;
    [[nodiscard]] bool majority_knows(epoch since) const;
    void hasten_release(target_id previous, epoch since, time_point now);
    [[nodiscard]] bool fenced(target_id previous, const release_entry& entry, time_point now);
    [[nodiscard]] std::optional<record_body> release_proposal();
    [[nodiscard]] std::optional<record_body> target_proposal(time_point now) const;
    [[nodiscard]] std::optional<record_body> evacuation_proposal(time_point now);
    [[nodiscard]] std::optional<record_body> placement_proposal(time_point now);
    [[nodiscard]] std::optional<record_body> balance_proposal(time_point now);
    [[nodiscard]] std::optional<record_body> cooled_key_proposal(service_id service) const;
    [[nodiscard]] std::optional<record_body> yield_proposal(time_point now);
    [[nodiscard]] std::optional<record_body> make_move(service_id service,
                                                       std::span<const placement_item> items);
    [[nodiscard]] std::vector<placement_target> accepting_targets(service_id service) const;
    [[nodiscard]] bool is_served(target_id target) const;
    [[nodiscard]] bool every_cell_served(service_id service) const;
    [[nodiscard]] bool may_eject(service_id service) const;
    [[nodiscard]] bool needs_place(target_id owner) const;
    void report_loads(time_point now);
    void note_moves(epoch at, const record_body& body, std::size_t applied);
    [[nodiscard]] bool gather_loads(service_id service, std::vector<placement_target>& targets,
                                    std::vector<placement_item>& items, time_point now);
    [[nodiscard]] std::optional<record_body> level(service_id service, const balance_limits& limits,
                                                   time_point now);
    void note_changes(time_point now);
    [[nodiscard]] bool is_settled(const owned_item& item, epoch since) const;

    // Appends.
    void propose(time_point now);
    [[nodiscard]] std::optional<record_body> next_proposal(time_point now);
    void decide(std::string line);

    struct pending_append {
        std::uint64_t sequence = 0;
        std::string record;
        time_point first_sent{};
        time_point retry_at{};
        bool in_flight = false;
        bool beat = false;
    };
    struct heard_peer {
        time_point first{};
        time_point last{};
        epoch voters{};
        epoch position{};
        /// When the member said that it leaves.
        std::optional<time_point> leaving_since;
    };
    struct beat_proof {
        epoch at{};
        time_point sent{};
    };

    coordinator_settings settings_;
    std::uint32_t cell_index_ = 0;
    std::string cell_name_;
    cluster_state state_;
    lease_voter voter_;
    lease_holder holder_;
    dispatch_ledger ledger_;
    std::vector<coordinator_action> actions_;

    std::map<session_id, heard_peer> heard_;
    epoch adopted_{};
    std::vector<target_id> cell_targets_;
    epoch cell_targets_at_{};
    std::string cell_targets_of_;
    std::uint64_t heartbeat_sequence_ = 0;
    time_point heartbeat_at_{};
    bool heartbeat_due_ = false;
    std::map<target_id, time_point> free_since_;
    std::map<target_id, time_point> claim_after_;
    std::map<target_id, term> highest_terms_;
    std::set<target_id> held_;
    std::map<target_id, lease_resign> offered_;
    std::map<target_id, session_id> dispatcher_hints_;
    time_point hand_over_at_{};
    bool stopping_ = false;

    std::map<target_id, time_point> predecessor_until_;
    std::map<target_id, time_point> granted_until_;
    std::map<target_id, target_condition> observed_;
    std::map<target_id, time_point> draining_since_;
    std::map<owned_item, epoch> direct_releases_;
    std::map<owned_item, epoch> revoked_;
    std::map<target_id, time_point> revoke_sent_;
    std::vector<release_entry> released_;
    time_point notice_at_{};

    std::optional<pending_append> append_;
    std::uint64_t sequence_ = 0;
    time_point propose_after_{};
    std::optional<beat_proof> own_beat_;
    std::optional<beat_proof> proof_;
    time_point reset_seen_{};
    epoch reset_epoch_{};
    time_point challenge_seen_{};
    epoch challenge_epoch_{};
    std::map<std::string, beat_proof> beats_seen_;
    time_point unheard_since_{};

    std::map<target_id, load_report> loads_;
    std::map<target_id, time_point> loads_at_;
    std::map<target_id, time_point> accepting_since_;
    std::deque<time_point> recent_moves_;
    std::map<service_id, time_point> unlevel_since_;
    time_point reported_at_{};
    time_point balanced_at_{};
    time_point needed_since_{};
    bool ownership_changed_ = true;
    std::map<service_id, std::uint64_t> moves_seen_;
};

} // namespace teaseltally
