#pragma once

#include <compare>
#include <cstdint>

/// @file
/// Place in the history of a log.

namespace teaseltally {

/// Place in the history of a log of the store. The era rises each time the store comes back from an older
/// copy; offsets that the copy lacks are given out again in the new era. Positions are therefore ordered by
/// era first.
struct log_position {
    /// Era of the store; 0 if the store names none.
    std::uint64_t era = 0;
    /// Offset of a record, or of the end of the log.
    std::uint64_t offset = 0;
    auto operator<=>(const log_position&) const = default;
    /// Returns the position of a record that follows after a number of others.
    [[nodiscard]] constexpr log_position after(std::uint64_t records) const noexcept
    {
        return {era, offset + records};
    }
};

} // namespace teaseltally
