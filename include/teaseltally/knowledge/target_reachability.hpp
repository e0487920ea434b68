#pragma once

#include <teaseltally/types.hpp>

#include <set>
#include <string>

/// @file
/// Detects that an instance has lost its links to all targets.

namespace teaseltally {

/// Tells from the outcomes of connections and requests whether any target can be reached. Silence and failed
/// connections only raise the suspicion, since targets may be slow or down; probes of several targets decide.
class target_reachability {
public:
    /// Records that a target accepted a connection or sent something. Ends the isolation.
    void on_contact(time_point now);
    /// Records that a target did not accept a connection or left an order unanswered.
    /// @param target id of the target.
    void on_connection_failed(std::string target);
    /// Records that a request was sent to a target.
    void on_request_sent(time_point now);
    /// Records that a request sent to a target ended, with any outcome.
    void on_request_ended();
    /// Records that none of several probed targets accepted a connection.
    /// @param sent_at time when the probes were sent.
    /// @returns whether this begins the isolation.
    bool on_probes_failed(time_point sent_at);

    /// Returns whether targets should be probed: the instance is isolated, connections to several targets
    /// have failed since the last contact, or requests wait and no target has sent anything for 500 ms.
    [[nodiscard]] bool needs_probe(time_point now) const;
    /// Returns whether no target can be reached.
    [[nodiscard]] bool is_isolated() const noexcept { return isolated_; }

private:
    std::set<std::string> failed_targets_;
    std::size_t requests_in_flight_ = 0;
    time_point last_contact_at_{};
    /// Time since which at least one request has been in flight.
    time_point waiting_since_{};
    bool isolated_ = false;
};

} // namespace teaseltally
