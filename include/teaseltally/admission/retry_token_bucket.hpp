#pragma once

#include <algorithm>

/// @file
/// Limits retries, that is, the attempts of a request beyond its first.

namespace teaseltally {

/// Share of the retry budget that is used; the rest covers requests that are counted late.
inline constexpr double retry_budget_share = 0.75;

/// Returns the largest number of tokens of one instance.
/// @param slack number of retries that all instances may make beyond the ratio to the requests.
/// @param instance_count number of instances that share them.
[[nodiscard]] constexpr double retry_budget_capacity(double slack, unsigned instance_count) noexcept
{
    return std::max(1.0, slack * retry_budget_share / std::max(1U, instance_count));
}

/// Token bucket that gains a fraction of a token with each request and spends one token on each retry. In any
/// interval it grants at most its capacity plus the ratio times the number of requests in that interval.
class retry_token_bucket {
public:
    /// Creates an empty bucket. A process that restarts does not know how many tokens its predecessor spent,
    /// so tokens given at each start would exceed the limit in a series of restarts.
    /// @param ratio number of tokens deposited by one request.
    /// @param capacity maximum number of tokens held.
    retry_token_bucket(double ratio, double capacity) : ratio_(ratio), capacity_(capacity) {}

    /// Changes the capacity, for instance when the number of instances that share a limit changes. Tokens
    /// above the new capacity are dropped.
    void resize(double capacity) noexcept
    {
        capacity_ = capacity;
        tokens_ = std::min(tokens_, capacity_);
    }
    /// Deposits the tokens of one request; called at its first attempt.
    void deposit() noexcept { tokens_ = std::min(tokens_ + ratio_, capacity_); }
    /// Withdraws one token for a further attempt.
    /// @returns whether a whole token was available; if not, the bucket is unchanged.
    [[nodiscard]] bool try_withdraw() noexcept
    {
        if (tokens_ < 1.0)
            return false;
        tokens_ -= 1.0;
        return true;
    }
    /// Returns the number of tokens held, from 0 to the capacity.
    [[nodiscard]] double tokens() const noexcept { return tokens_; }

private:
    double ratio_;
    double capacity_;
    double tokens_ = 0;
};

} // namespace teaseltally
