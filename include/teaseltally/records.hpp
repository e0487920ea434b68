#pragma once

#include <teaseltally/configuration.hpp>
#include <teaseltally/types.hpp>

#include <string>
#include <variant>
#include <vector>

/// @file
/// Records of the control stream. `docs/PROTOCOL.md` describes their JSON form.
///
/// Most records carry a base epoch: the epoch of the state that the author had read. The record is accepted
/// only if the state still has that epoch, so of two concurrent records with one base only the first takes
/// effect.

namespace teaseltally {

/// Registers a new session, that is, one run of an instance. The author of the record is the session that is
/// registered.
struct session_join {
    /// Name of the instance.
    std::string instance;
    /// Name of the data centre that the instance runs in.
    std::string data_centre;
    /// Index of the voter group within the data centre, from 0.
    std::uint32_t voter_group = 0;
    /// Address at which other instances reach this one.
    std::string address;
    /// TCP port for messages of other instances.
    std::uint16_t peer_port = 0;
    bool operator==(const session_join&) const = default;
};

/// Removes a session. A session that is still a voter cannot be removed.
struct session_leave {
    /// Session that is removed.
    session_id session{};
    bool operator==(const session_leave&) const = default;
};

/// Adds or removes one voter of a voter group.
struct voter_change {
    /// Name of the group, as `voter_group_name` returns it.
    std::string voter_group;
    /// Epoch of the voter set that the change applies to.
    epoch base{};
    /// Voter that is added or removed.
    session_id session{};
    /// Whether the voter is added.
    bool add = false;
    /// Voters of the previous set that have acknowledged the change; a strict majority of that set is
    /// required.
    std::vector<session_id> acknowledged;
    bool operator==(const voter_change&) const = default;
};

/// Requests a log heartbeat from the voters of a voter group, because the author receives no messages from a
/// majority of them.
struct voter_challenge {
    /// Name of the group, as `voter_group_name` returns it.
    std::string voter_group;
    /// Epoch of the voter set that is challenged.
    epoch base{};
    bool operator==(const voter_challenge&) const = default;
};

/// Replaces the voter set of a voter group by a single voter after a challenge that no voter answered.
struct voter_reset {
    /// Name of the group, as `voter_group_name` returns it.
    std::string voter_group;
    /// Epoch of the voter set that is replaced.
    epoch base{};
    /// Epoch of the unanswered challenge.
    epoch challenge{};
    /// The single voter of the new set.
    session_id session{};
    bool operator==(const voter_reset&) const = default;
};

/// Replaces the configuration of the deployment.
struct configuration_publish {
    /// Version of the configuration that is replaced; zero for the first one.
    std::uint64_t expected_version = 0;
    /// Texts of the new configuration.
    configuration_documents documents;
    bool operator==(const configuration_publish&) const = default;
};

/// Assigns one slot to a new owner.
struct slot_assignment {
    /// Slot that is assigned.
    slot_id slot{};
    /// Epoch of the ownership that is replaced.
    epoch base{};
    /// New owner.
    target_id to{};
    bool operator==(const slot_assignment&) const = default;
};

/// Assigns slots of one service; each assignment is accepted or rejected independently of the others.
struct slot_move {
    /// Service of the slots.
    service_id service{};
    /// Assignments, one for each slot.
    std::vector<slot_assignment> slots;
    bool operator==(const slot_move&) const = default;
};

/// Assigns one hot key an owner that overrides the owner of its slot. A move to the owner of the slot ends
/// the override once both the key and the slot are released.
struct key_move {
    /// Service of the key.
    service_id service{};
    /// Hash of the key.
    key_hash key{};
    /// Epoch of the ownership that is replaced: of the override if there is one, otherwise of the slot.
    epoch base{};
    /// New owner.
    target_id to{};
    bool operator==(const key_move&) const = default;
};

/// A slot that its previous owner has released: that target executes no more requests for it.
struct slot_release {
    /// Slot that was released.
    slot_id slot{};
    /// Epoch at which the current owner was assigned.
    epoch since{};
    bool operator==(const slot_release&) const = default;
};

/// Reports that slots of one service were released by their previous owners.
struct slots_released {
    /// Service of the slots.
    service_id service{};
    /// Released slots.
    std::vector<slot_release> slots;
    bool operator==(const slots_released&) const = default;
};

/// Reports that one hot key was released by its previous owner.
struct key_released {
    /// Service of the key.
    service_id service{};
    /// Hash of the key.
    key_hash key{};
    /// Epoch at which the current owner was assigned.
    epoch since{};
    bool operator==(const key_released&) const = default;
};

/// Condition of a target as its dispatcher observes it.
enum class target_condition : std::uint8_t { up, down };

/// Reports a changed condition of a target.
struct target_report {
    /// Target that is reported.
    target_id target{};
    /// Epoch of the last accepted report on the target, or `no_epoch` if there is none.
    epoch base{};
    /// New condition of the target.
    target_condition condition{};
    bool operator==(const target_report&) const = default;
};

/// Proves that a voter of a voter group can append to the log. Its type in JSON is `cell_beat`.
struct log_heartbeat_record {
    /// Name of the group, as `voter_group_name` returns it.
    std::string voter_group;
    bool operator==(const log_heartbeat_record&) const = default;
};

/// Allows other data centres to take over the slots of a service from a voter group whose last log heartbeat
/// is older than the isolation grace of the service. Its type in JSON is `cell_yield`.
struct voter_group_relinquish {
    /// Name of the group, as `voter_group_name` returns it.
    std::string voter_group;
    /// Service whose slots may be taken over.
    service_id service{};
    /// Epoch of the last log heartbeat of the group that the author has seen.
    epoch base{};
    bool operator==(const voter_group_relinquish&) const = default;
};

/// Content of a control record.
using record_body = std::variant<session_join, session_leave, voter_change, voter_challenge, voter_reset,
                                 configuration_publish, slot_move, key_move, slots_released, key_released,
                                 target_report, log_heartbeat_record, voter_group_relinquish>;

/// A control record with its author and sequence number, which identify it together. `cluster_state::apply`
/// rejects a record whose sequence number is not above the author's last one, such as a repeated append.
struct control_record {
    /// Author of the record.
    session_id session{};
    /// Sequence number of the record among those of its author, from 1.
    std::uint64_t sequence = 0;
    /// Content of the record.
    record_body body;
    bool operator==(const control_record&) const = default;
};

/// Encodes a record for the control stream.
/// @returns the JSON text of the record on one line.
[[nodiscard]] std::string encode(const control_record& record);

/// Decodes a record of the control stream.
/// @param source origin of the text, which the error names.
/// @returns the record, or an error with code `message_malformed` if the text is not JSON, the type is
/// unknown or a field is missing or has the wrong type.
[[nodiscard]] result<control_record> decode_record(std::string_view text, std::string_view source);

} // namespace teaseltally
