#pragma once

#include <teaseltally/peer_messages.hpp>
#include <teaseltally/types.hpp>

#include <map>
#include <optional>
#include <span>
#include <vector>

/// @file
/// Leases of dispatchers. A lease is the exclusive permission to dispatch to one target; a strict majority of
/// the voters of a voter group grants it. A claim is a request for a lease or its renewal. A voter that
/// grants a claim supports the holder for the lease duration: it grants no claim of another session on the
/// target during that time, unless the holder resigns.

namespace teaseltally {

/// Durations of the lease protocol. A holder counts the duration from the time at which it sent the heartbeat
/// and a voter from the time at which it answered, so the lease expires at the holder first. The margin
/// covers different clock rates and the time between the check of the lease and the write to the socket.
struct lease_timings {
    /// Time for which a voter supports a holder after each answer.
    milliseconds duration{2000};
    /// Time before the expiry of its lease at which the holder stops dispatching.
    milliseconds margin{200};
    /// Interval between heartbeats, which request and renew leases.
    milliseconds heartbeat{400};
    /// Time after which a claim that no majority has granted is abandoned.
    milliseconds claim_timeout{500};
};

/// Safety checks of the lease protocol. Tests disable them one at a time to prove that a violation is
/// detected; all other code leaves them enabled.
struct lease_guards {
    /// A voter supports at most one holder of a target at a time.
    bool single_holder = true;
    /// A voter supports only renewals during one lease duration after it adopts a voter set.
    bool wait_after_adoption = true;
    /// Voters and holders ignore messages of another voter set.
    bool voter_set_epoch = true;
    /// A lease expires unless it is renewed.
    bool expiry = true;
};

/// Votes of one session: the holder that it supports for each target.
class lease_voter {
public:
    /// Creates a voter whose voter set has the epoch `no_epoch`.
    explicit lease_voter(lease_timings timings, lease_guards guards = {}) : timings_(timings), guards_(guards)
    {
    }

    /// Adopts a newer voter set; an older or equal one is ignored. For one lease duration the voter then
    /// supports only renewals, because leases that the previous set granted may still be valid.
    /// @param voter_set epoch of the set.
    void adopt_voter_set(epoch voter_set, time_point now);

    /// Answers the claims of a heartbeat.
    /// @returns one answer for each claim; none if the sender has adopted another voter set than this voter.
    [[nodiscard]] std::vector<lease_answer> answer(const lease_request& request, time_point now);

    /// Ends the support of a holder that has resigned, if the holder and the term of the message are the
    /// supported ones.
    void receive_resign(const lease_resign& resign);

    /// Returns the holder that this voter supports at `now`, or `no_session`.
    [[nodiscard]] session_id holder(target_id target, time_point now) const;
    /// Returns the highest term that this voter has supported for a target; zero if none.
    [[nodiscard]] term highest_term(target_id target) const;
    /// Returns the time until which the voter supports only renewals.
    [[nodiscard]] time_point renewals_only_until() const noexcept { return renewals_only_until_; }

private:
    /// Support of one target.
    struct support {
        session_id holder{};
        /// Term of the current holder.
        teaseltally::term term{};
        /// Highest term supported so far.
        teaseltally::term highest_term{};
        time_point until{};
    };

    [[nodiscard]] bool grants(const support& current, session_id from, const lease_claim& claim,
                              time_point now) const;

    lease_timings timings_;
    lease_guards guards_;
    epoch voter_set_{};
    time_point renewals_only_until_{};
    std::map<target_id, support> supports_;
};

/// Leases and claims of one session.
class lease_holder {
public:
    /// Creates a holder whose voter set has the epoch `no_epoch` and no members.
    explicit lease_holder(lease_timings timings, lease_guards guards = {})
        : timings_(timings), guards_(guards)
    {
    }

    /// Adopts a newer voter set; an older or equal one is ignored. Granted leases stay valid until the
    /// support of the previous set ends; claims that were not granted are dropped.
    /// @param voter_set epoch of the set.
    void adopt_voter_set(epoch voter_set, std::span<const session_id> members, time_point now);

    /// Starts to claim a target, replacing any lease or claim of it.
    /// @param term a term above any known one for the target.
    /// @param now current time, from which `lease_timings::claim_timeout` counts.
    void claim(target_id target, term term, time_point now);

    /// Removes a lease or claim.
    /// @returns the term of the lease or claim, or nothing if there was none.
    std::optional<term> release(target_id target);

    /// Creates the claims of the next heartbeat and records the time at which the heartbeat is sent.
    /// @param sequence number of the heartbeat.
    /// @param now time at which the heartbeat is sent.
    /// @returns one claim for each valid lease and each pending claim.
    [[nodiscard]] std::vector<lease_claim> make_claims(std::uint64_t sequence, time_point now);

    /// Records the support that a reply grants. A reply is ignored if its heartbeat is unknown or no longer
    /// remembered, if it belongs to another voter set or if its sender is not a voter.
    void receive(const lease_reply& reply, time_point now);

    /// Returns whether the lease of a target is valid at `now`, with the margin subtracted.
    [[nodiscard]] bool holds(target_id target, time_point now) const;
    /// Returns the time until which the lease is valid, with the margin subtracted; zero if it was not
    /// granted.
    [[nodiscard]] time_point valid_until(target_id target) const;
    /// Returns the fencing token of a granted lease, or nothing if it was not granted.
    [[nodiscard]] std::optional<dispatcher_token> token(target_id target) const;
    /// Returns the position of the control stream that the holder must have applied before it dispatches: the
    /// highest one that a voter reported up to the grant. Zero if there is no lease or claim.
    [[nodiscard]] epoch required_position(target_id target) const;
    /// Returns the targets whose claim has timed out or whose lease has expired.
    [[nodiscard]] std::vector<target_id> expired(time_point now) const;
    /// Returns the targets that are claimed or held.
    [[nodiscard]] std::vector<target_id> targets() const;
    /// Returns whether the lease of a target was granted; it may have expired since.
    [[nodiscard]] bool granted(target_id target) const;

private:
    /// Lease or claim of one target.
    struct lease_state {
        teaseltally::term term{};
        time_point claimed_at{};
        bool granted = false;
        dispatcher_token token;
        epoch required_position{};
        /// Time until which the support of the previous voter set lasts.
        time_point previous_set_until{};
        /// Sending time of the last heartbeat whose claim each voter granted.
        std::map<session_id, time_point> support;
    };

    [[nodiscard]] time_point supported_until(const lease_state& lease) const;
    [[nodiscard]] std::optional<time_point> sent_at(std::uint64_t sequence) const;

    lease_timings timings_;
    lease_guards guards_;
    epoch voter_set_{};
    std::vector<session_id> members_;
    std::map<target_id, lease_state> leases_;
    std::map<std::uint64_t, time_point> sent_times_;
};

} // namespace teaseltally
