#pragma once

#include <teaseltally/knowledge/log_position.hpp>
#include <teaseltally/types.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

/// @file
/// Latest registration of each target.

namespace teaseltally {

/// Registration of one target.
struct target_entry {
    /// Identifier of one incarnation of the target.
    std::string id;
    /// Name of the service that the target provides.
    std::string service;
    /// Address in the form "IP:PORT".
    std::string address;
    /// Name of the data centre that the target runs in.
    std::string data_centre;
    /// Number of requests that the target executes concurrently.
    unsigned slots = 1;
    /// Whether the target is shutting down, so that it is sent no new requests.
    bool draining = false;
    /// Remaining time for which the target is slow after its start, from the time when the entry was read.
    milliseconds cold_remaining{0};
    /// Start time of the target in Unix milliseconds; distinguishes two incarnations with the same id. Zero
    /// if unknown.
    std::int64_t start_unix_ms = 0;
    /// Sequence number of the registration; it does not decrease within an incarnation.
    std::uint64_t sequence = 0;
    bool operator==(const target_entry&) const = default;
};

/// Effect of an update on the directory.
enum class directory_change { none, added, updated, removed };

/// Registrations by id. An update at a lower position than the last one for the same id is ignored.
///
/// A store that comes back from an older copy also has entries of targets that have left since. What the
/// directory knows of removed incarnations tells them from targets that register again.
class target_directory {
public:
    /// Maximum number of removed targets that are remembered; the one removed first is forgotten. It is more
    /// than ten times the number of targets in the largest deployment.
    static constexpr std::size_t max_removed = 4096;

    /// Returns whether a registration is older than what is known of its target: its incarnation or sequence
    /// number is lower, or it was removed in an older era of the store with at least this sequence number.
    /// @param position position of the record in its stream.
    [[nodiscard]] bool is_outdated(const target_entry& entry, log_position position) const;
    /// Returns whether an outdated registration may be of a target that lives: the store removed it in an
    /// older era although it had not said that it leaves, and no later incarnation is known. What the copy
    /// has of such a target does not change while it only goes on reporting.
    /// @param position position of the record in its stream.
    [[nodiscard]] bool may_live(const target_entry& entry, log_position position) const;
    /// Applies a registration of a target that was removed in an older era and turned out to live.
    /// @returns whether the target was added.
    directory_change readmit(target_entry entry, log_position position);
    /// Applies a registration. It is ignored if it is outdated.
    /// @param entry registration as the target reported it.
    /// @param position position of the record in its stream.
    /// @returns whether the target was added, updated or left unchanged.
    directory_change update(target_entry entry, log_position position);
    /// Removes the registration of a target.
    /// @param position position of the record in its stream.
    /// @returns whether the target was removed or was not registered.
    directory_change remove(std::string_view id, log_position position);

    /// Returns the registration of a target, or null if it has none.
    [[nodiscard]] const target_entry* find(std::string_view id) const;
    /// Returns the registrations in the order of their ids.
    [[nodiscard]] const std::map<std::string, target_entry, std::less<>>& entries() const noexcept
    {
        return entries_;
    }

private:
    /// Sets the last position of an id unless the new one is lower.
    /// @returns false if the position is lower than the last one.
    [[nodiscard]] bool advance_position(std::string_view id, log_position position);
    void remember_removed(const target_entry& entry, log_position position);

    /// Last registration of a removed target.
    struct removed_entry {
        std::int64_t start_unix_ms = 0;
        std::uint64_t sequence = 0;
        bool draining = false;
        /// Position of the removal.
        log_position position;
    };

    std::map<std::string, target_entry, std::less<>> entries_;
    std::map<std::string, removed_entry, std::less<>> removed_;
    /// Position of the last record of each id, including removed ones, so that stale records are recognised.
    std::map<std::string, log_position, std::less<>> positions_;
};

/// Returns the name of one incarnation of a target.
/// @param id identifier of the target.
/// @param start_unix_ms start time of the target; distinguishes incarnations with the same identifier.
[[nodiscard]] std::string incarnation_name(std::string_view id, std::int64_t start_unix_ms);

} // namespace teaseltally
