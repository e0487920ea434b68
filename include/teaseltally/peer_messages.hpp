#pragma once

#include <teaseltally/result.hpp>
#include <teaseltally/types.hpp>

#include <json/value.h>
#include <string>
#include <variant>
#include <vector>

/// @file
/// Messages between instances. They are sent as JSON-RPC 2.0 notifications; docs/PROTOCOL.md specifies their
/// form.

namespace teaseltally {

/// Claim to the dispatcher lease of one target.
struct lease_claim {
    /// Target whose lease is claimed.
    target_id target{};
    /// Dispatcher term under which the lease is claimed.
    teaseltally::term term{};
    /// Whether the sender already holds the lease and extends it.
    bool renewal = false;
    bool operator==(const lease_claim&) const = default;
};

/// Heartbeat of a member of a voter group, with its lease claims.
struct lease_request {
    /// Session of the sender.
    session_id from{};
    /// Name of the sender's voter group.
    std::string cell;
    /// Epoch of the voter set whose grants the sender counts.
    epoch voters{};
    /// Sequence number of the heartbeat within the session; the reply repeats it.
    std::uint64_t sequence = 0;
    /// Position of the sender in the control stream.
    epoch position{};
    /// Whether the sender is shutting down and is about to resign its leases.
    bool leaving = false;
    /// Leases that the sender claims or renews.
    std::vector<lease_claim> claims;
    bool operator==(const lease_request&) const = default;
};

/// Answer of a voter to one claim.
struct lease_answer {
    /// Target of the claim.
    target_id target{};
    /// Term of the claim.
    teaseltally::term term{};
    /// Whether the voter grants the claim.
    bool granted = false;
    /// Session that currently holds the voter's grant, or `no_session`.
    session_id holder{};
    /// Highest term for this target that the voter has granted.
    teaseltally::term highest{};
    bool operator==(const lease_answer&) const = default;
};

/// Reply to a heartbeat.
struct lease_reply {
    /// Session of the voter.
    session_id from{};
    /// Name of the voter group.
    std::string cell;
    /// Epoch of the voter set that the voter has adopted.
    epoch voters{};
    /// Sequence number of the heartbeat that this reply answers.
    std::uint64_t sequence = 0;
    /// Position of the voter in the control stream.
    epoch position{};
    /// Epoch of the last log heartbeat of the voter group that this voter appended to the control stream
    /// itself, or `no_epoch`.
    epoch beat{};
    /// Time since that log heartbeat was sent.
    milliseconds beat_age{};
    /// Answers to the claims of the heartbeat.
    std::vector<lease_answer> answers;
    bool operator==(const lease_reply&) const = default;
};

/// Resignation of a dispatcher from the lease of one target.
struct lease_resign {
    /// Session of the dispatcher that resigns.
    session_id from{};
    /// Name of its voter group.
    std::string cell;
    /// Target whose lease ends.
    target_id target{};
    /// Term of the lease.
    teaseltally::term term{};
    /// Session that is to claim the lease next, or `no_session`.
    session_id successor{};
    /// Whether all requests that the sender and its predecessor dispatched are certain to have ended.
    bool clean = false;
    bool operator==(const lease_resign&) const = default;
};

/// A released slot or hot key.
struct release_entry {
    /// Service of the slot or key.
    service_id service{};
    /// Slot number, or the hash of the key if `hot`.
    std::uint64_t slot_or_key = 0;
    /// Whether the entry names a hot key.
    bool hot = false;
    /// Epoch of the assignment of the slot or key to the new owner.
    epoch since{};
    bool operator==(const release_entry&) const = default;
};

/// Notifies the voter group of the new owner that the previous owner no longer executes requests for the
/// released slots and hot keys.
struct release_notice {
    /// Session of the sender.
    session_id from{};
    /// Released slots and hot keys.
    std::vector<release_entry> entries;
    bool operator==(const release_notice&) const = default;
};

/// Observed load of one slot or key.
struct load_entry {
    /// Slot number or key hash.
    std::uint64_t slot_or_key = 0;
    /// Moving average of the execution time, in milliseconds per second.
    std::uint32_t load = 0;
    bool operator==(const load_entry&) const = default;
};

/// Load of a target as observed by its dispatcher, which sends it to the sessions that propose moves.
struct load_report {
    /// Session of the dispatcher.
    session_id from{};
    /// Observed target.
    target_id target{};
    /// Moving average of the execution time over all slots, in milliseconds per second.
    std::uint32_t load = 0;
    /// Slots with the highest load, in descending order of load.
    std::vector<load_entry> slots;
    /// Keys with the highest load, in descending order of load.
    std::vector<load_entry> keys;
    bool operator==(const load_report&) const = default;
};

/// Notifies other instances of target crashes caused by requests with the same fingerprint.
struct quarantine_notice {
    /// Session that observed the crashes.
    session_id from{};
    /// Fingerprint of the requests, see `fingerprint_of`.
    std::uint64_t fingerprint = 0;
    /// Crashes to add to the receiver's count.
    std::uint32_t crashes = 0;
    bool operator==(const quarantine_notice&) const = default;
};

/// Any message between instances.
using peer_message =
    std::variant<lease_request, lease_reply, lease_resign, release_notice, load_report, quarantine_notice>;

/// Encodes a message as a JSON-RPC 2.0 notification.
/// @returns the JSON text of the notification.
[[nodiscard]] std::string encode(const peer_message& message);

/// Decodes the parameters of a notification.
/// @param method method of the notification, such as `lease_request`.
/// @param parameters parameters by name.
/// @returns the message, or an error with code `message_malformed`.
[[nodiscard]] result<peer_message> decode_peer_message(std::string_view method,
                                                       const Json::Value& parameters);

/// Decodes a notification.
/// @param text JSON text as written by `encode`.
/// @returns the message, or an error with code `message_malformed`.
[[nodiscard]] result<peer_message> decode_notification(std::string_view text);

} // namespace teaseltally
