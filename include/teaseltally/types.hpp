#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

/// @file
/// Identifiers and time types shared by every part of the library.

namespace teaseltally {

/// Clock that keeps counting while the machine is suspended.
struct boot_clock {
    using duration = std::chrono::microseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock, duration>;
    static constexpr bool is_steady = true;

    /// @returns the current reading of `CLOCK_BOOTTIME`.
    [[nodiscard]] static time_point now() noexcept;
};

using time_point = boot_clock::time_point;
using std::chrono::microseconds;
using std::chrono::milliseconds;

/// One run of an instance; a restarted instance has a new session. Zero names no session.
enum class session_id : std::uint64_t {};

/// Offset of an accepted control record, which is also the fencing token of what it assigns.
/// Zero is the epoch of state that no record has set.
enum class epoch : std::uint64_t {};

/// Dispatcher term of one target, rising with every change of dispatcher under one voter set.
enum class term : std::uint64_t {};

/// Index of a target in the order in which accepted configurations first named it.
enum class target_id : std::uint32_t {};

/// Index of a service in the order in which accepted configurations first named it.
enum class service_id : std::uint32_t {};

/// Index of a slot within its service.
enum class slot_id : std::uint32_t {};

/// Seeded 64-bit hash of a caller's key.
enum class key_hash : std::uint64_t {};

inline constexpr session_id no_session{0};
inline constexpr epoch no_epoch{0};
inline constexpr target_id no_target{0xffff'ffff};

/// Converts an identifier to its number.
/// @param id identifier of any of the enumerations above.
/// @returns the number behind it.
template <typename Id>
requires std::is_enum_v<Id>
[[nodiscard]] constexpr auto number(Id id) noexcept
{
    return static_cast<std::underlying_type_t<Id>>(id);
}

/// Fencing token of a dispatcher; tokens of successive dispatchers of one target rise.
struct dispatcher_token {
    epoch voter_set{};
    teaseltally::term term{};
    auto operator<=>(const dispatcher_token&) const = default;
};

/// Names a slot of a service.
struct slot_ref {
    service_id service{};
    slot_id slot{};
    auto operator<=>(const slot_ref&) const = default;
};

/// Hashes a key with a seed.
/// @param key the caller's key.
/// @param seed the deployment's hash seed.
/// @returns the 64-bit xxHash of the key.
[[nodiscard]] key_hash hash_key(std::string_view key, std::uint64_t seed) noexcept;

/// Ranks a candidate for an item by rendezvous hashing; the highest rank wins.
/// @param item what is to be placed.
/// @param candidate number of the candidate.
/// @returns a rank that depends on the two arguments only.
[[nodiscard]] std::uint64_t rendezvous_rank(std::string_view key, std::uint64_t candidate) noexcept;

} // namespace teaseltally
