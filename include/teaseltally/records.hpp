#pragma once

#include <teaseltally/configuration.hpp>
#include <teaseltally/types.hpp>

#include <string>
#include <variant>
#include <vector>

/// @file
/// Records of the control stream. docs/PROTOCOL.md gives their JSON form.

namespace teaseltally {

/// A new run of an instance takes part.
struct session_join {
    std::string instance;
    std::string data_centre;
    std::uint32_t voter_group = 0;
    std::string address;
    std::uint16_t peer_port = 0;
    bool operator==(const session_join&) const = default;
};

/// A session takes part no more.
struct session_leave {
    session_id session{};
    bool operator==(const session_leave&) const = default;
};

/// Adds or removes one voter of a cell.
struct voter_change {
    std::string voter_group;
    epoch base{};
    session_id session{};
    bool add = false;
    /// Voters of the old set that know it and answer for the new one.
    std::vector<session_id> acknowledged;
    bool operator==(const voter_change&) const = default;
};

/// Asks the voters of a cell for a beat, because its author hears no majority of them.
struct voter_challenge {
    std::string voter_group;
    epoch base{};
    bool operator==(const voter_challenge&) const = default;
};

/// Starts a cell anew after a challenge that no voter answered.
struct voter_reset {
    std::string voter_group;
    epoch base{};
    /// Epoch of the challenge that it builds on.
    epoch challenge{};
    session_id session{};
    bool operator==(const voter_reset&) const = default;
};

/// Publishes a whole configuration.
struct configuration_publish {
    std::uint64_t expected_version = 0;
    configuration_documents documents;
    bool operator==(const configuration_publish&) const = default;
};

/// One slot's new owner.
struct slot_assignment {
    slot_id slot{};
    epoch base{};
    target_id to{};
    bool operator==(const slot_assignment&) const = default;
};

/// Moves slots of one service.
struct slot_move {
    service_id service{};
    std::vector<slot_assignment> slots;
    bool operator==(const slot_move&) const = default;
};

/// Moves one hot key away from its slot, or back when `to` is `no_target`.
struct key_move {
    service_id service{};
    key_hash key{};
    epoch base{};
    target_id to{};
    bool operator==(const key_move&) const = default;
};

/// One slot whose old owner executes nothing for it any more.
struct slot_release {
    slot_id slot{};
    epoch since{};
    bool operator==(const slot_release&) const = default;
};

/// Releases slots of one service.
struct slots_released {
    service_id service{};
    std::vector<slot_release> slots;
    bool operator==(const slots_released&) const = default;
};

/// Releases one hot key.
struct key_released {
    service_id service{};
    key_hash key{};
    epoch since{};
    bool operator==(const key_released&) const = default;
};

/// Condition of a target as its dispatcher sees it.
enum class target_condition : std::uint8_t { up, down };

/// Reports a target's new condition.
struct target_report {
    target_id target{};
    epoch base{};
    target_condition condition{};
    bool operator==(const target_report&) const = default;
};

/// Proves that a cell of a data centre reaches the log.
struct log_heartbeat_record {
    std::string voter_group;
    bool operator==(const log_heartbeat_record&) const = default;
};

/// Lets other data centres take over a service's slots from a cell whose last beat is too old.
struct voter_group_relinquish {
    std::string voter_group;
    service_id service{};
    /// Epoch of the last beat that was seen.
    epoch base{};
    bool operator==(const voter_group_relinquish&) const = default;
};

using record_body = std::variant<session_join, session_leave, voter_change, voter_challenge, voter_reset,
                                 configuration_publish, slot_move, key_move, slots_released, key_released,
                                 target_report, log_heartbeat_record, voter_group_relinquish>;

/// A record with its unique id; the fold drops repeats of an id.
struct control_record {
    session_id session{};
    std::uint64_t sequence = 0;
    record_body body;
    bool operator==(const control_record&) const = default;
};

/// Encodes a record.
/// @param record any record.
/// @returns its JSON text.
[[nodiscard]] std::string encode(const control_record& record);

/// Decodes a record.
/// @param text JSON text.
/// @param source where it came from, for the error.
/// @returns the record, or `message_malformed`.
[[nodiscard]] result<control_record> decode_record(std::string_view text, std::string_view source);

} // namespace teaseltally
