#pragma once

#include <teaseltally/records.hpp>

#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

/// @file
/// The replicated state of a deployment. It is a pure function (a fold) of the records of the control stream,
/// so all instances that have applied the same records have the same state.

namespace teaseltally {

/// A registered session.
struct session_state {
    /// Record that registered the session.
    session_join description;
    /// Epoch of that record.
    epoch since{};
    bool operator==(const session_state&) const = default;
};

/// The voter set of a voter group: the sessions of a data centre that vote on the dispatchers of a share of
/// its targets.
struct voter_group_state {
    /// Epoch of the last change of the voter set.
    epoch since{};
    /// Sessions that currently vote.
    std::vector<session_id> voters;
    /// Epoch of the last reset (see `voter_reset`), or `no_epoch`.
    epoch reset_at{};
    /// Epoch of the last accepted log heartbeat (see `log_heartbeat_record`), or `no_epoch`.
    epoch log_heartbeat_at{};
    /// Epoch of the last challenge (see `voter_challenge`), or `no_epoch`.
    epoch challenged_at{};
    bool operator==(const voter_group_state&) const = default;
};

/// Ownership of a slot or of a hot key.
struct slot_state {
    /// Epoch of the record that assigned the current owner; it is the fencing token of that owner.
    epoch since{};
    /// Target that owns the slot or hot key, or `no_target`.
    target_id owner = no_target;
    /// Previous owner until it has released the slot or hot key; `no_target` afterwards or if there was none.
    target_id previous_owner = no_target;

    /// Returns whether no release by a previous owner is outstanding, so that the current owner may execute
    /// requests.
    [[nodiscard]] bool released() const noexcept { return previous_owner == no_target; }
    bool operator==(const slot_state&) const = default;
};

/// Identifies a hot key that has an owner other than the owner of its slot.
struct key_ref {
    /// Service of the key.
    service_id service{};
    /// Hash of the key.
    key_hash key{};
    auto operator<=>(const key_ref&) const = default;
};

/// A service and its slots.
struct service_state {
    /// Name of the service in the configuration.
    std::string name;
    /// Whether requests carry a key that selects a slot.
    bool keyed = false;
    /// Ownership of each slot; empty if the service is not keyed.
    std::vector<slot_state> slots;
    bool operator==(const service_state&) const = default;
};

/// A target as accepted configurations and reports describe it.
struct target_state {
    /// Name of the target in the configuration.
    std::string name;
    /// Service that the target provides.
    service_id service{};
    /// Name of the data centre that the target runs in.
    std::string data_centre;
    /// Epoch of the last accepted report, or `no_epoch`.
    epoch reported_at{};
    /// Condition from that report.
    target_condition condition = target_condition::up;
    /// Whether the current configuration contains the target.
    bool configured = false;
    /// Whether the operator has declared the target or its data centre lost.
    bool lost = false;
    bool operator==(const target_state&) const = default;
};

/// Result of applying a record.
struct apply_outcome {
    /// `ok` if the record was accepted, otherwise the reason for the rejection.
    result_code code = result_code::ok;
    /// Number of entries that took effect; a record that is not a batch counts as one.
    std::size_t applied = 0;
};

/// Checks made when a record is applied. Tests disable them one at a time to prove that a violation is
/// detected; all other code leaves them enabled.
struct apply_guards {
    /// A slot assignment must carry the current epoch of the slot.
    bool base_epoch = true;
    /// A change of a voter set needs the acknowledgement of a strict majority of the set.
    bool majority_acknowledgement = true;
    /// A record whose sequence number is not above its author's last one is rejected.
    bool deduplication = true;
    /// A slot is moved again only after its previous owner has released it.
    bool release_before_move = true;
};

/// Applies control records in the order of their offsets. The same records always give the same state.
///
/// @code
/// cluster_state state;
/// auto outcome = state.apply(epoch{1}, record);
/// if (outcome.code == result_code::ok) serve(state);
/// @endcode
class cluster_state {
public:
    /// Sets the checks to make; for tests only.
    void set_guards(const apply_guards& guards) noexcept { guards_ = guards; }

    /// Applies the record at an offset of the control stream.
    /// @param offset offset of the record, counted from 1; one that is not above `position` is rejected.
    /// @returns whether the record was accepted, or the reason for the rejection. A rejected record with a
    /// new offset still advances the position.
    apply_outcome apply(epoch offset, const control_record& record);

    /// Advances the position past a record that could not be decoded; nothing else changes.
    void skip(epoch offset) noexcept;

    /// Returns the highest offset that was passed to `apply` or `skip`, or `no_epoch` before the first.
    [[nodiscard]] epoch position() const noexcept { return position_; }
    /// Returns the current configuration; default values before the first one is published.
    [[nodiscard]] const configuration& settings() const noexcept { return settings_; }
    /// Returns the documents from which the current configuration was parsed.
    [[nodiscard]] const configuration_documents& documents() const noexcept { return documents_; }
    /// Returns the version of the current configuration; zero before the first one is published.
    [[nodiscard]] std::uint64_t version() const noexcept { return version_; }
    /// Returns the epoch of the record that published the current configuration.
    [[nodiscard]] epoch configured_at() const noexcept { return configured_at_; }
    /// Returns the registered sessions.
    [[nodiscard]] const std::map<session_id, session_state>& sessions() const noexcept { return sessions_; }
    /// Returns the voter groups by name, as `voter_group_name` returns it.
    [[nodiscard]] const std::map<std::string, voter_group_state>& voter_groups() const noexcept
    {
        return voter_groups_;
    }
    /// Returns the services by `service_id`, including those that the configuration no longer contains.
    [[nodiscard]] std::span<const service_state> services() const noexcept { return services_; }
    /// Returns the targets by `target_id`, including those that the configuration no longer contains.
    [[nodiscard]] std::span<const target_state> targets() const noexcept { return targets_; }
    /// Returns the hot keys whose owner overrides that of their slot.
    [[nodiscard]] const std::map<key_ref, slot_state>& hot_keys() const noexcept { return hot_keys_; }
    /// Returns the slots that a previous owner has not released yet.
    [[nodiscard]] const std::set<slot_ref>& unreleased() const noexcept { return unreleased_; }
    /// Returns the pairs of voter group and service whose slots other data centres may take over, with the
    /// epoch of the record that allowed it.
    [[nodiscard]] const std::map<std::pair<std::string, service_id>, epoch>& relinquished() const noexcept
    {
        return relinquished_;
    }
    /// Returns the sequence number of the last record of a session, or zero if it has none.
    [[nodiscard]] std::uint64_t last_sequence(session_id session) const;

    /// Returns the service with a name, or nothing.
    [[nodiscard]] std::optional<service_id> find_service(std::string_view name) const noexcept;
    /// Returns the target with a name, or nothing.
    [[nodiscard]] std::optional<target_id> find_target(std::string_view name) const noexcept;
    /// Returns the settings of a target, or null if the configuration does not contain it.
    [[nodiscard]] const target_settings* settings_of(target_id target) const noexcept;
    /// Returns the settings of a service, or null if the configuration does not contain it.
    [[nodiscard]] const service_settings* settings_of(service_id service) const noexcept;
    /// Returns the slot of a key: the hash modulo the number of slots; slot 0 if the service has none.
    [[nodiscard]] slot_id slot_of(service_id service, key_hash key) const noexcept;
    /// Returns the ownership that applies to a key: its override if it is a hot key, otherwise that of its
    /// slot. The service must have slots.
    [[nodiscard]] const slot_state& ownership(service_id service, key_hash key) const noexcept;
    /// Returns the name of the voter group that grants the dispatcher lease of a target.
    [[nodiscard]] std::string voter_group_of(target_id target) const;
    /// Returns whether slots may be assigned to a target: it is configured, up, not draining and not lost.
    [[nodiscard]] bool accepts_slots(target_id target) const noexcept;

    /// Encodes the state as chunks of bounded size.
    /// @returns JSON texts; the first contains everything except slots, the others contain the slots.
    [[nodiscard]] std::vector<std::string> snapshot() const;

    /// Returns the number of chunks of a snapshot, at least 1.
    [[nodiscard]] std::size_t snapshot_chunk_count() const noexcept;

    /// Encodes one chunk, so that a large state can be written incrementally.
    /// @param index number of the chunk, from 0 and below `snapshot_chunk_count`.
    /// @returns the JSON text of the chunk; empty if `index` is out of range.
    [[nodiscard]] std::string snapshot_chunk(std::size_t index) const;

    /// Decodes a state from the chunks of one snapshot.
    /// @param chunks the JSON texts in the order of their numbers.
    /// @returns the state, or an error with code `message_malformed` if a chunk is missing or malformed.
    [[nodiscard]] static result<cluster_state> from_snapshot(std::span<const std::string> chunks);

    /// Compares everything that the records determine; the guards and the pointers into the settings are not
    /// compared.
    bool operator==(const cluster_state& other) const;

private:
    friend class record_applier;
    friend class snapshot_writer;
    friend class snapshot_reader;

    apply_guards guards_;
    epoch position_{};
    std::uint64_t version_ = 0;
    epoch configured_at_{};
    configuration_documents documents_;
    configuration settings_;
    std::map<session_id, session_state> sessions_;
    std::map<std::string, voter_group_state> voter_groups_;
    std::vector<service_state> services_;
    std::vector<target_state> targets_;
    std::map<key_ref, slot_state> hot_keys_;
    std::set<slot_ref> unreleased_;
    std::map<std::pair<std::string, service_id>, epoch> relinquished_;
    /// Sequence number and offset of the last record of each session.
    std::map<session_id, std::pair<std::uint64_t, epoch>> sequences_;
    std::map<std::string, target_id, std::less<>> target_ids_;
    /// Settings of each target by `target_id`, or null; rebuilt with the configuration.
    std::vector<const target_settings*> target_settings_;
    /// Settings of each service by `service_id`, or null; rebuilt with the configuration.
    std::vector<const service_settings*> service_settings_;

    /// Rebuilds the pointers into `settings_`.
    void index_settings();

public:
    /// Creates the state before the first record.
    cluster_state() = default;
    /// Copies a state. The pointers into the settings are rebuilt for the copy.
    cluster_state(const cluster_state& other);
    cluster_state& operator=(const cluster_state& other);
    cluster_state(cluster_state&& other) noexcept;
    cluster_state& operator=(cluster_state&& other) noexcept;
    ~cluster_state() = default;
};

/// Returns the name of a voter group.
/// @param index index of the group within the data centre, from 0.
/// @returns "data_centre/index".
[[nodiscard]] std::string voter_group_name(std::string_view data_centre, std::uint32_t index);

/// Returns the size of a strict majority.
/// @param count size of a voter set.
/// @returns the smallest number of voters that is more than half of `count`.
[[nodiscard]] constexpr std::size_t majority(std::size_t count) noexcept
{
    return count / 2 + 1;
}

} // namespace teaseltally
