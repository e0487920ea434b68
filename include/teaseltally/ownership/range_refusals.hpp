#pragma once

#include <teaseltally/ownership/assignment.hpp>
#include <teaseltally/types.hpp>

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

/// @file
/// Ranges of keys whose owners refuse requests because they hold no grant for them.

namespace teaseltally {

/// One assignment of a range; a later assignment of the same keys has another fencing token.
struct range_assignment {
    /// Name of the service.
    std::string service;
    /// First key of the range.
    key_number first = 0;
    /// Fencing token of the assignment.
    std::uint64_t fence = 0;
    auto operator<=>(const range_assignment&) const = default;
};

/// Remembers the ranges whose owners refused requests. A request to an owner without a grant is an arrival in
/// vain and costs a retry token, and hundreds arrive in the time in which a grant is delayed. After a
/// refusal, requests for the range are held back for a pause, then one request shows whether the owner has
/// the grant.
class range_refusals {
public:
    /// Returns whether a request for the keys of a range may be sent to its owner.
    [[nodiscard]] bool may_send(const range_assignment& range, time_point now) const;
    /// Returns the time since which the owner has refused requests for the range, while none may be sent and
    /// no result is awaited; otherwise nothing.
    [[nodiscard]] std::optional<time_point> refused_since(const range_assignment& range,
                                                          time_point now) const;
    /// Records that a request is sent.
    void on_sent(const range_assignment& range, time_point now);
    /// Records that the owner refused a request because it does not hold the key.
    /// @param sent_at time when the request was sent. Requests that were sent before a pause began say no
    /// more than the one that began it.
    void on_refused(const range_assignment& range, time_point sent_at, time_point now);
    /// Records that a request ended without such a refusal.
    void on_accepted(const range_assignment& range) { refused_.erase(range); }
    /// Forgets ranges for which no request was refused for a long time.
    void remove_expired(time_point now);

private:
    struct refusal {
        time_point since{};
        time_point held_until{};
        milliseconds pause{0};
        /// Time until which the result of the request that was sent after the pause is awaited.
        time_point probing_until{};
    };
    std::map<range_assignment, refusal> refused_;
};

/// Returns the time by which the last grant of the former owners of a range has expired, if all that still
/// may hold grants are known to get no further ones; nothing if the range has no former owners, or if one may
/// release its keys before.
/// @param log log that contains the range.
[[nodiscard]] std::optional<time_point> former_grants_end(const ownership_log& log, const owned_range& range);

} // namespace teaseltally
