#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

/// @file
/// Identifiers, time types and hash functions that all parts of the library use.

namespace teaseltally {

/// Steady clock that also advances while the machine is suspended, so that leases expire during a
/// suspension. Its resolution is one microsecond.
struct boot_clock {
    using duration = std::chrono::microseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock, duration>;
    static constexpr bool is_steady = true;

    /// Returns the time since the machine was booted (`CLOCK_BOOTTIME`).
    [[nodiscard]] static time_point now() noexcept;
};

/// Point in time of `boot_clock`; comparable only within one boot of one machine.
using time_point = boot_clock::time_point;
using std::chrono::microseconds;
using std::chrono::milliseconds;

/// Identifies one run of an instance; an instance that restarts gets a new session. Zero identifies no
/// session.
enum class session_id : std::uint64_t {};

/// Offset of a control record, counted from 1. The offset of an accepted record is also the fencing token of
/// the ownership that the record assigns. Zero is the epoch of state that no record has set.
enum class epoch : std::uint64_t {};

/// Dispatcher term of one target; it increases with every change of dispatcher under one voter set.
enum class term : std::uint64_t {};

/// Index of a target in the order in which accepted configurations first named it.
enum class target_id : std::uint32_t {};

/// Index of a service in the order in which accepted configurations first named it.
enum class service_id : std::uint32_t {};

/// Index of a slot within its service.
enum class slot_id : std::uint32_t {};

/// Seeded 64-bit hash of a caller's key.
enum class key_hash : std::uint64_t {};

/// Value that identifies no session.
inline constexpr session_id no_session{0};
/// Epoch of state that no record has set.
inline constexpr epoch no_epoch{0};
/// Value that identifies no target.
inline constexpr target_id no_target{0xffff'ffff};

/// Returns the underlying integer of an identifier.
template <typename Id>
requires std::is_enum_v<Id>
[[nodiscard]] constexpr auto number(Id id) noexcept
{
    return static_cast<std::underlying_type_t<Id>>(id);
}

/// Fencing token of a dispatcher. Tokens of successive dispatchers of one target increase; the epoch of the
/// voter set is compared before the term.
struct dispatcher_token {
    /// Epoch of the voter set that granted the lease.
    epoch voter_set{};
    /// Term of the dispatcher under that voter set.
    teaseltally::term term{};
    auto operator<=>(const dispatcher_token&) const = default;
};

/// Identifies a slot across services.
struct slot_ref {
    /// Service that the slot belongs to.
    service_id service{};
    /// Index of the slot.
    slot_id slot{};
    auto operator<=>(const slot_ref&) const = default;
};

/// Hashes the key of a request.
/// @param key the caller's key; any bytes.
/// @param seed the hash seed of the deployment; the same on all instances.
/// @returns the 64-bit xxHash of the key.
[[nodiscard]] key_hash hash_key(std::string_view key, std::uint64_t seed) noexcept;

/// Computes the rank of a candidate for a key by rendezvous hashing; the candidate with the highest rank is
/// chosen.
/// @param key name of the object to place.
/// @param candidate number that identifies the candidate.
/// @returns the 64-bit xxHash of the key with the candidate as the seed. It depends only on the two
/// arguments, so that all instances choose the same candidate.
[[nodiscard]] std::uint64_t rendezvous_rank(std::string_view key, std::uint64_t candidate) noexcept;

} // namespace teaseltally
