#pragma once

#include <teaseltally/types.hpp>

#include <cstdint>
#include <string>
#include <vector>

/// @file
/// Checker of the orders about keys that targets have received.

namespace teaseltally::test {

enum class key_event_kind {
    grant,
    release,
    /// The incarnation has ended.
    end,
};

/// What a target has received about keys.
struct key_event {
    key_event_kind kind = key_event_kind::grant;
    /// Name that no other incarnation has.
    std::string incarnation;
    unsigned from = 0;
    /// Last of the keys.
    unsigned to = 0;
    std::uint64_t fence = 0;
    time_point at{};
    /// Time from the arrival for which a grant is held.
    milliseconds hold{};
    bool accepted = true;
};

/// Numbers of keys on which a rule is broken, and the first case of each.
struct ownership_findings {
    std::size_t keys_at_two = 0;
    /// Keys with a grant whose fence is not above all that other incarnations had.
    std::size_t keys_with_old_fence = 0;
    std::vector<std::string> examples;
};

/// Finds keys that two incarnations held at once, and grants with fences that are not above all with which
/// other incarnations had the key.
/// @param events what all targets received, in any order.
[[nodiscard]] ownership_findings check_ownership(std::vector<key_event> events);

} // namespace teaseltally::test
