#pragma once

#include <teaseltally/result.hpp>
#include <teaseltally/types.hpp>

#include <json/value.h>
#include <string>
#include <variant>
#include <vector>

/// @file
/// Messages between instances. They travel as JSON-RPC notifications; docs/PROTOCOL.md gives their form.

namespace teaseltally {

/// Asks a voter to support one dispatcher right.
struct lease_claim {
    target_id target{};
    teaseltally::term term{};
    /// The sender holds the right already and extends it.
    bool renewal = false;
    bool operator==(const lease_claim&) const = default;
};

/// Heartbeat of a cell member with its claims.
struct lease_request {
    session_id from{};
    std::string cell;
    /// Epoch of the voter set under which the sender counts support.
    epoch voters{};
    std::uint64_t sequence = 0;
    /// Control stream position of the sender.
    epoch position{};
    /// The sender is leaving; its claims end soon.
    bool leaving = false;
    std::vector<lease_claim> claims;
    bool operator==(const lease_request&) const = default;
};

/// A voter's answer to one claim.
struct lease_answer {
    target_id target{};
    teaseltally::term term{};
    bool granted = false;
    /// Whom the voter supports.
    session_id holder{};
    /// Highest term that the voter supported.
    teaseltally::term highest{};
    bool operator==(const lease_answer&) const = default;
};

/// A voter's answer to a heartbeat.
struct lease_reply {
    session_id from{};
    std::string cell;
    epoch voters{};
    std::uint64_t sequence = 0;
    /// Control stream position of the voter.
    epoch position{};
    /// Epoch of the cell's last beat that the voter sent itself, or `no_epoch`.
    epoch beat{};
    /// Time since that beat was sent.
    milliseconds beat_age{};
    std::vector<lease_answer> answers;
    bool operator==(const lease_reply&) const = default;
};

/// A dispatcher gives up its right with nothing in flight.
struct lease_resign {
    session_id from{};
    std::string cell;
    target_id target{};
    teaseltally::term term{};
    /// Who is to follow, or `no_session`.
    session_id successor{};
    /// Nothing that the sender dispatched can still be running.
    bool clean = false;
    bool operator==(const lease_resign&) const = default;
};

/// One released slot, or hot key if `hot`.
struct release_entry {
    service_id service{};
    /// Slot number, or the hash of the hot key.
    std::uint64_t slot_or_key = 0;
    bool hot = false;
    epoch since{};
    bool operator==(const release_entry&) const = default;
};

/// Tells the new owner's cell that the old owner executes nothing any more.
struct release_notice {
    session_id from{};
    std::vector<release_entry> entries;
    bool operator==(const release_notice&) const = default;
};

/// Observed load of one slot, or of one hot key.
struct load_entry {
    std::uint64_t slot_or_key = 0;
    /// Busy milliseconds a second.
    std::uint32_t load = 0;
    bool operator==(const load_entry&) const = default;
};

/// A dispatcher's observation of its target, sent to the proposers.
struct load_report {
    session_id from{};
    target_id target{};
    /// Busy milliseconds a second over all slots.
    std::uint32_t load = 0;
    /// The most loaded slots, highest first.
    std::vector<load_entry> slots;
    /// The most loaded keys, highest first.
    std::vector<load_entry> keys;
    bool operator==(const load_report&) const = default;
};

/// Tells that requests with a fingerprint crash targets.
struct quarantine_notice {
    session_id from{};
    std::uint64_t fingerprint = 0;
    std::uint32_t crashes = 0;
    bool operator==(const quarantine_notice&) const = default;
};

using peer_message =
    std::variant<lease_request, lease_reply, lease_resign, release_notice, load_report, quarantine_notice>;

/// Encodes a message as a JSON-RPC 2.0 notification.
/// @param message any message.
/// @returns its JSON text.
[[nodiscard]] std::string encode(const peer_message& message);

/// Decodes the parameters of a notification.
/// @param method the notification's method.
/// @param parameters its parameters by name.
/// @returns the message, or `message_malformed`.
[[nodiscard]] result<peer_message> decode_peer_message(std::string_view method,
                                                       const Json::Value& parameters);

/// Decodes a whole notification.
/// @param text JSON text as `encode` writes it.
/// @returns the message, or `message_malformed`.
[[nodiscard]] result<peer_message> decode_notification(std::string_view text);

} // namespace teaseltally
