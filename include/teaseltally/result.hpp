#pragma once

#include <string>
#include <string_view>
#include <variant>

/// @file
/// Numbered result codes and the result type of operations that can fail. docs/ERRORS.md lists the codes.

namespace teaseltally {

/// Result codes. The hundreds digit is the area; numbers are never reused.
enum class result_code {
    /// Success of an operation that is not a request.
    ok = 0,
    // 1xx: requests
    /// The target executed the request and responded.
    done = 100,
    /// No target may currently execute the request.
    not_run_no_owner = 110,
    /// The instance does not hold the dispatcher lease of the target.
    not_run_not_dispatcher = 111,
    /// The slot or key was assigned to a new owner and its previous owner has not released it.
    not_run_moving = 112,
    /// The dispatcher has not applied the control records that the request relies on, or has not collected
    /// the start marks (see `start_mark`) of its predecessors.
    not_run_behind = 113,
    /// The request was shed: its deadline cannot be met, or the queue or the idempotency table is full.
    not_run_overloaded = 114,
    /// The target or its dispatcher could not be reached.
    not_run_unreachable = 115,
    /// The target refused the request before executing it.
    not_run_target_refused = 116,
    /// The target is draining.
    not_run_draining = 117,
    /// The request could not be started before its deadline.
    not_run_deadline = 118,
    /// The slot or key now belongs to another target.
    not_run_moved = 119,
    /// The start mark of the request could not be copied to another instance.
    not_run_busy_key = 120,
    /// The connection was lost after the request may have been sent.
    unknown_connection_lost = 130,
    /// No response arrived before the deadline.
    unknown_deadline = 131,
    /// An earlier run with the same idempotency key has an unknown outcome.
    unknown_predecessor = 132,
    /// The path names no configured service.
    refused_unknown_service = 140,
    /// The service is keyed and the request has no key.
    refused_key_missing = 141,
    /// Requests with this fingerprint have crashed targets.
    refused_quarantined = 142,
    /// The idempotency key was used for a different request.
    refused_key_reuse = 143,
    /// The request body exceeds the limit of the server.
    refused_too_large = 144,
    /// A header of the request is malformed.
    refused_malformed = 145,
    // 2xx: control records
    /// The state that the record builds on has changed.
    rejected_stale_base = 200,
    /// The record was applied before.
    rejected_repeat = 201,
    /// The record contains an invalid configuration.
    rejected_malformed = 202,
    /// The record names something that does not exist or is not eligible.
    rejected_unknown_name = 203,
    /// The slot or key has not been released by its previous owner.
    rejected_moving = 204,
    /// The change lacks the acknowledgement of a majority of the voters.
    rejected_no_majority = 205,
    /// The change would exceed a limit.
    rejected_limit = 206,
    // 3xx: configuration
    /// A document is not valid INI text or cannot be read.
    configuration_unreadable = 300,
    /// A section or key is unknown.
    configuration_unknown_key = 301,
    /// A value is malformed or out of range.
    configuration_bad_value = 302,
    /// A required section or key is missing.
    configuration_missing = 303,
    /// Another configuration was published first.
    configuration_lost_race = 304,
    // 4xx: platform and network
    /// The platform could not be reached or responded with an error.
    platform_unavailable = 400,
    /// The response of the platform is malformed.
    platform_bad_answer = 402,
    /// A message or record is malformed.
    message_malformed = 411,
};

/// Class of a request's result, which tells the caller whether the request was executed.
enum class result_class {
    /// The target executed the request.
    done,
    /// The request was not executed and may be sent again.
    not_run,
    /// Whether the request was executed is unknown.
    unknown,
    /// The request was not executed, and sending it again unchanged will not help.
    refused
};

/// Returns the stable name of a result code.
/// @returns the name of the enumerator, or "unnamed" if `code` has no enumerator.
[[nodiscard]] std::string_view name_of(result_code code) noexcept;

/// Returns the class of a request's result code.
/// @param code code of the 1xx area.
[[nodiscard]] result_class class_of(result_code code) noexcept;

/// Returns the name of a result class as sent in the `tt-class` header.
/// @returns the name of the enumerator, or "unnamed" if `value` has no enumerator.
[[nodiscard]] std::string_view name_of(result_class value) noexcept;

/// An error with its origin.
struct error {
    /// Result code of the error.
    result_code code{};
    /// Description of the error, with the names and values concerned.
    std::string message;
    /// Origin of the error, such as a file and section, a stream and offset, or an address.
    std::string source;
};

/// Formats an error as one line.
/// @returns text of the form "source: message (number name)", without "source: " if the source is empty.
[[nodiscard]] std::string to_string(const error& value);

/// Result of an operation that can fail: a value or an error.
///
/// @code
/// if (auto parsed = parse_json(text, "peer"); auto* parse_error = failure(parsed)) return *parse_error;
/// @endcode
template <typename T>
using result = std::variant<T, error>;

/// Returns the error of a result.
/// @param value the result; the returned pointer refers to it.
/// @returns the error that `value` holds, or null if it holds a value.
template <typename T>
[[nodiscard]] const error* failure(const result<T>& value) noexcept
{
    return std::get_if<error>(&value);
}

} // namespace teaseltally
