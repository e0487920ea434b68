#pragma once

#include <teaseltally/records.hpp>

#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

/// @file
/// The state of a deployment as a deterministic fold over the control stream.

namespace teaseltally {

/// A session that takes part.
struct session_state {
    session_join description;
    epoch since{};
    bool operator==(const session_state&) const = default;
};

/// The voter set of a cell.
struct voter_group_state {
    epoch since{};
    std::vector<session_id> voters;
    /// Epoch of the last reset, or `no_epoch`.
    epoch reset_at{};
    /// Epoch of the last accepted beat, or `no_epoch`.
    epoch log_heartbeat_at{};
    /// Epoch of the last challenge, or `no_epoch`.
    epoch challenged_at{};
    bool operator==(const voter_group_state&) const = default;
};

/// Ownership of a slot or of a hot key.
struct slot_state {
    /// Epoch of the record that made the present owner; its fencing token.
    epoch since{};
    target_id owner = no_target;
    /// The owner before, until it has released the slot.
    target_id previous_owner = no_target;

    /// @returns whether the present owner may execute.
    [[nodiscard]] bool released() const noexcept { return previous_owner == no_target; }
    bool operator==(const slot_state&) const = default;
};

/// Names a hot key with an owner of its own.
struct key_ref {
    service_id service{};
    key_hash key{};
    auto operator<=>(const key_ref&) const = default;
};

/// A service and its slots.
struct service_state {
    std::string name;
    bool keyed = false;
    std::vector<slot_state> slots;
    bool operator==(const service_state&) const = default;
};

/// A target as accepted configurations and reports describe it.
struct target_state {
    std::string name;
    service_id service{};
    std::string data_centre;
    epoch reported_at{};
    target_condition condition = target_condition::up;
    /// Whether the present configuration names it.
    bool configured = false;
    /// Whether the operator declared it or its data centre lost.
    bool lost = false;
    bool operator==(const target_state&) const = default;
};

/// What became of a record.
struct apply_outcome {
    result_code code = result_code::ok;
    /// Entries that a batch applied.
    std::size_t applied = 0;
};

/// Parts of the fold that tests switch off one at a time.
struct apply_guards {
    bool base_epoch = true;
    bool majority_acknowledgement = true;
    bool deduplication = true;
    bool release_before_move = true;
};

/// Folds control records; equal prefixes of the stream give equal states.
///
/// @code
/// cluster_state state;
/// auto outcome = state.apply(epoch{1}, record);
/// if (outcome.code == result_code::ok) serve(state);
/// @endcode
class cluster_state {
public:
    /// Switches parts off; for tests only.
    void set_guards(const apply_guards& guards) noexcept { guards_ = guards; }

    /// Applies the record at an offset of the control stream.
    /// @param at offset of the record, counted from one; a lower offset than any before is ignored.
    /// @param record the record.
    /// @returns whether the record was accepted, and why not.
    apply_outcome apply(epoch offset, const control_record& record);

    /// Notes an offset whose record could not be decoded; it changes nothing else.
    /// @param at offset of the record.
    void skip(epoch offset) noexcept;

    /// @returns the offset of the last record seen.
    [[nodiscard]] epoch position() const noexcept { return position_; }
    [[nodiscard]] const configuration& settings() const noexcept { return settings_; }
    [[nodiscard]] const configuration_documents& documents() const noexcept { return documents_; }
    /// @returns the version of the configuration in force; zero before the first.
    [[nodiscard]] std::uint64_t version() const noexcept { return version_; }
    /// @returns the epoch of the configuration in force.
    [[nodiscard]] epoch configured_at() const noexcept { return configured_at_; }
    [[nodiscard]] const std::map<session_id, session_state>& sessions() const noexcept { return sessions_; }
    [[nodiscard]] const std::map<std::string, voter_group_state>& voter_groups() const noexcept
    {
        return voter_groups_;
    }
    [[nodiscard]] std::span<const service_state> services() const noexcept { return services_; }
    [[nodiscard]] std::span<const target_state> targets() const noexcept { return targets_; }
    [[nodiscard]] const std::map<key_ref, slot_state>& hot_keys() const noexcept { return hot_keys_; }
    /// @returns the slots that an old owner has yet to release.
    [[nodiscard]] const std::set<slot_ref>& unreleased() const noexcept { return unreleased_; }
    /// @returns the cells and services that yielded, with the epoch at which they did.
    [[nodiscard]] const std::map<std::pair<std::string, service_id>, epoch>& relinquished() const noexcept
    {
        return relinquished_;
    }
    /// @returns the sequence of the session's last record, or zero.
    [[nodiscard]] std::uint64_t last_sequence(session_id session) const;

    [[nodiscard]] std::optional<service_id> find_service(std::string_view name) const noexcept;
    [[nodiscard]] std::optional<target_id> find_target(std::string_view name) const noexcept;
    /// @returns the settings of a target, or null if the configuration no longer names it.
    [[nodiscard]] const target_settings* settings_of(target_id target) const noexcept;
    /// @returns the settings of a service, or null if the configuration no longer names it.
    [[nodiscard]] const service_settings* settings_of(service_id service) const noexcept;
    /// @returns the slot of a key.
    [[nodiscard]] slot_id slot_of(service_id service, key_hash key) const noexcept;
    /// @returns the ownership that holds for a key: its exception's or its slot's.
    [[nodiscard]] const slot_state& ownership(service_id service, key_hash key) const noexcept;
    /// @returns the cell whose voters choose a target's dispatcher.
    [[nodiscard]] std::string voter_group_of(target_id target) const;
    /// @returns whether a target takes new assignments.
    [[nodiscard]] bool accepts_slots(target_id target) const noexcept;

    /// Writes the state as chunks of bounded size.
    /// @returns JSON texts; the first is the head, the others hold slots.
    [[nodiscard]] std::vector<std::string> snapshot() const;

    /// @returns how many chunks a snapshot has.
    [[nodiscard]] std::size_t snapshot_chunk_count() const noexcept;

    /// Writes one chunk, so that a large state can be written a little at a time.
    /// @param index below `snapshot_chunks`.
    [[nodiscard]] std::string snapshot_chunk(std::size_t index) const;

    /// Reads a state from the chunks of one snapshot.
    /// @param chunks the texts in order.
    /// @returns the state, or `message_malformed`.
    [[nodiscard]] static result<cluster_state> from_snapshot(std::span<const std::string> chunks);

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
    /// Sequence and offset of each session's last record.
    std::map<session_id, std::pair<std::uint64_t, epoch>> sequences_;
    std::map<std::string, target_id, std::less<>> target_ids_;
    /// Index into the settings for each target; rebuilt with the configuration.
    std::vector<const target_settings*> target_settings_;
    std::vector<const service_settings*> service_settings_;

    void index_settings();

public:
    cluster_state() = default;
    cluster_state(const cluster_state& other);
    cluster_state& operator=(const cluster_state& other);
    cluster_state(cluster_state&& other) noexcept;
    cluster_state& operator=(cluster_state&& other) noexcept;
    ~cluster_state() = default;
};

/// Returns the name of a cell.
/// @param data_centre its data centre.
/// @param index its index there.
/// @returns "data_centre/index".
[[nodiscard]] std::string voter_group_name(std::string_view data_centre, std::uint32_t index);

/// @param count size of a voter set.
/// @returns the size of its strict majority.
[[nodiscard]] constexpr std::size_t majority(std::size_t count) noexcept
{
    return count / 2 + 1;
}

} // namespace teaseltally
