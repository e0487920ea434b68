#pragma once

#include <string>
#include <string_view>
#include <variant>

/// @file
/// Numbered result codes and the result type of fallible operations. docs/ERRORS.md has the table.

namespace teaseltally {

/// Result codes; the hundreds digit is the area. Numbers are never reused.
enum class result_code {
    ok = 0,
    // 1xx: requests
    done = 100,
    not_run_no_owner = 110,
    not_run_not_dispatcher = 111,
    not_run_moving = 112,
    not_run_behind = 113,
    not_run_overloaded = 114,
    not_run_unreachable = 115,
    not_run_target_refused = 116,
    not_run_draining = 117,
    not_run_deadline = 118,
    not_run_moved = 119,
    not_run_busy_key = 120,
    unknown_connection_lost = 130,
    unknown_deadline = 131,
    unknown_predecessor = 132,
    refused_unknown_service = 140,
    refused_key_missing = 141,
    refused_quarantined = 142,
    refused_key_reuse = 143,
    refused_too_large = 144,
    refused_malformed = 145,
    // 2xx: control records
    rejected_stale_base = 200,
    rejected_repeat = 201,
    rejected_malformed = 202,
    rejected_unknown_name = 203,
    rejected_moving = 204,
    rejected_no_majority = 205,
    rejected_limit = 206,
    // 3xx: configuration
    configuration_unreadable = 300,
    configuration_unknown_key = 301,
    configuration_bad_value = 302,
    configuration_missing = 303,
    configuration_lost_race = 304,
    // 4xx: platform and network
    platform_unavailable = 400,
    platform_bad_answer = 402,
    message_malformed = 411,
};

/// What a caller may conclude from an answer.
enum class result_class { done, not_run, unknown, refused };

/// Returns the stable name of a code.
/// @param code any result code.
/// @returns its name as in docs/ERRORS.md.
[[nodiscard]] std::string_view name_of(result_code code) noexcept;

/// Returns the class of a request's result code.
/// @param code a code of the 1xx area.
/// @returns its class.
[[nodiscard]] result_class class_of(result_code code) noexcept;

/// Returns the name of a class as it stands in the `tt-class` header.
/// @param value the class.
/// @returns its name.
[[nodiscard]] std::string_view name_of(result_class value) noexcept;

/// An error with the place it came from.
struct error {
    result_code code{};
    /// What is wrong, with the names and values concerned.
    std::string message;
    /// Where it came from, such as a file and section, a stream and offset, or an address.
    std::string source;
};

/// Formats an error on one line.
/// @param value the error.
/// @returns "source: message (number name)".
[[nodiscard]] std::string to_string(const error& value);

/// A value or an error.
///
/// @code
/// if (auto parsed = parse_json(text); auto* problem = failure(parsed)) return *problem;
/// @endcode
template <typename T>
using result = std::variant<T, error>;

/// @param value a result.
/// @returns the error it holds, or null.
template <typename T>
[[nodiscard]] const error* failure(const result<T>& value) noexcept
{
    return std::get_if<error>(&value);
}

} // namespace teaseltally
