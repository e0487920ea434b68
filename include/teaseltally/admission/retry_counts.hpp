#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

/// @file
/// Counts of the requests of a service and of the attempts that repeat one, by the cause of the repetition.

namespace teaseltally {

/// Why a request is sent once more.
enum class retry_cause {
    /// The last target refused it without executing it.
    refused,
    /// The last target is not the one that it was sent to, or does not hold its key.
    misdirected,
    /// The outcome of the last attempt is unknown, and the request may run twice.
    outcome_unknown,
    /// The last attempt has not ended, and takes longer than usual.
    hedged,
    /// Another instance has not executed it, or its outcome there is unknown.
    relayed,
};

/// What happened to the requests of a service in a span of time.
struct retry_counts {
    static constexpr std::array<std::string_view, 5> cause_names{"refused", "misdirected", "outcome_unknown",
                                                                 "hedged", "relayed"};
    /// Requests that callers sent to this instance.
    std::uint64_t requests = 0;
    /// Attempts, the first ones included.
    std::uint64_t attempts = 0;
    /// First attempts at this instance for requests that another one has sent before, which has paid for
    /// them.
    std::uint64_t paid_elsewhere = 0;
    /// Attempts that were paid for with a retry token, by cause.
    std::array<std::uint64_t, cause_names.size()> retries{};
    /// Requests that were refused or failed because no retry token was left.
    std::uint64_t exhausted = 0;

    void add_retry(retry_cause cause) noexcept { ++retries.at(static_cast<std::size_t>(cause)); }
    /// Returns whether there is anything to tell beyond first attempts.
    [[nodiscard]] bool has_retries() const noexcept
    {
        std::uint64_t sum = paid_elsewhere + exhausted;
        for (const auto count : retries)
            sum += count;
        return sum > 0;
    }
};

} // namespace teaseltally
