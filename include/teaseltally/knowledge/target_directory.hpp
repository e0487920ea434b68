#pragma once

#include <teaseltally/types.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

/// @file
/// What the targets last said of themselves.

namespace teaseltally {

/// One target's registration.
struct target_entry {
    /// Name of one start of the target.
    std::string id;
    std::string service;
    /// "IP:PORT".
    std::string address;
    std::string data_centre;
    unsigned slots = 1;
    bool draining = false;
    /// How long the target stays slow after its start, counted from when this was read.
    milliseconds cold_remaining{0};
    /// Start of the target in Unix milliseconds; tells two starts under one id apart. Zero if unknown.
    std::int64_t start_unix_ms = 0;
    std::uint64_t sequence = 0;
    bool operator==(const target_entry&) const = default;
};

/// What an update changed.
enum class directory_change { none, added, updated, removed };

/// Registrations by id; an update at an older position than the last is ignored.
class target_directory {
public:
    /// Takes a registration in.
    /// @param entry what the target says.
    /// @param position offset of the record.
    directory_change update(target_entry entry, std::uint64_t offset);
    /// Forgets a target.
    directory_change remove(std::string_view id, std::uint64_t offset);

    [[nodiscard]] const target_entry* find(std::string_view id) const;
    /// @returns the registrations in order of their ids.
    [[nodiscard]] const std::map<std::string, target_entry, std::less<>>& entries() const noexcept
    {
        return entries_;
    }

private:
    [[nodiscard]] bool advance_offset(std::string_view id, std::uint64_t offset);

    std::map<std::string, target_entry, std::less<>> entries_;
    std::map<std::string, std::uint64_t, std::less<>> offsets_;
};

} // namespace teaseltally
