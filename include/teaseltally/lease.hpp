#pragma once

#include <teaseltally/peer_messages.hpp>
#include <teaseltally/types.hpp>

#include <map>
#include <optional>
#include <span>
#include <vector>

/// @file
/// The dispatcher's lease: a right to one target, supported by a strict majority of a cell's voters.

namespace teaseltally {

/// Timings of leases. A holder counts from when it asked and a voter from when it answered, so that
/// the holder's right ends first; the margin covers differing clock rates and the path to the socket.
struct lease_timings {
    milliseconds duration{2000};
    milliseconds margin{200};
    milliseconds heartbeat{400};
    /// Time after which a claim without a majority is given up.
    milliseconds claim_timeout{500};
};

/// Parts of the protocol that tests switch off one at a time.
struct lease_guards {
    bool single_holder = true;
    bool wait_after_adoption = true;
    bool voter_set_epoch = true;
    bool expiry = true;
};

/// A voter: supports at most one holder for each target at a time.
class lease_voter {
public:
    explicit lease_voter(lease_timings timings, lease_guards guards = {}) : timings_(timings), guards_(guards)
    {
    }

    /// Takes over a new voter set. For one lease only renewals are supported.
    /// @param voters epoch of the set.
    /// @param now present time.
    void adopt_voter_set(epoch voter_set, time_point now);

    /// Answers the claims of a heartbeat.
    /// @param request the heartbeat.
    /// @param now present time.
    /// @returns an answer for each claim; none unless both sides are at the same voter set.
    [[nodiscard]] std::vector<lease_answer> answer(const lease_request& request, time_point now);

    /// Ends the support for a holder that gave up its right.
    void receive_resign(const lease_resign& resign);

    /// @returns whom this voter supports at present, or `no_session`.
    [[nodiscard]] session_id holder(target_id target, time_point now) const;
    /// @returns the highest term supported for a target.
    [[nodiscard]] term highest_term(target_id target) const;
    /// @returns until when only renewals are supported.
    [[nodiscard]] time_point renewals_only_until() const noexcept { return renewals_only_until_; }

private:
    struct support {
        session_id holder{};
        teaseltally::term term{};
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

/// A holder's or claimant's view of its rights.
class lease_holder {
public:
    explicit lease_holder(lease_timings timings, lease_guards guards = {})
        : timings_(timings), guards_(guards)
    {
    }

    /// Takes over a new voter set; rights that hold run on until their support of the old set ends.
    void adopt_voter_set(epoch voter_set, std::span<const session_id> members, time_point now);

    /// Starts to claim a target.
    /// @param term a term above any known one.
    void claim(target_id target, term term, time_point now);

    /// Gives up a right or claim.
    /// @returns its term, if there was one.
    std::optional<term> release(target_id target);

    /// Makes the next heartbeat's claims and notes when they were sent.
    /// @param sequence number of the heartbeat.
    [[nodiscard]] std::vector<lease_claim> make_claims(std::uint64_t sequence, time_point now);

    /// Counts the support in an answer.
    void receive(const lease_reply& reply, time_point now);

    /// @returns whether the right holds now, less the margin.
    [[nodiscard]] bool holds(target_id target, time_point now) const;
    /// @returns until when the right holds, less the margin.
    [[nodiscard]] time_point valid_until(target_id target) const;
    /// @returns the fencing token of a right that was won, if any.
    [[nodiscard]] std::optional<dispatcher_token> token(target_id target) const;
    /// @returns the position that the holder must have reached before it dispatches.
    [[nodiscard]] epoch required_position(target_id target) const;
    /// @returns targets whose claim has failed or whose right has lapsed.
    [[nodiscard]] std::vector<target_id> expired(time_point now) const;
    /// @returns targets that are claimed or held.
    [[nodiscard]] std::vector<target_id> targets() const;
    /// @returns whether a right was won, whether or not it still holds.
    [[nodiscard]] bool granted(target_id target) const;

private:
    struct lease_state {
        teaseltally::term term{};
        time_point claimed_at{};
        bool granted = false;
        dispatcher_token token;
        epoch required_position{};
        /// Time up to which support of an earlier voter set reaches.
        time_point previous_set_until{};
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
