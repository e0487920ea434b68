#pragma once

#include <algorithm>

/// @file
/// Limits retries, that is, the attempts of a request beyond its first.

namespace teaseltally {

/// Token bucket that gains a fraction of a token with each request and spends one token on each retry. In any
/// interval it grants at most its capacity plus the ratio times the number of requests in that interval.
class retry_token_bucket {
public:
    /// Creates a bucket with one token. A process that restarts does not know how many its predecessor spent,
    /// so a full bucket at each start would exceed the limit.
    /// @param ratio number of tokens deposited by one request.
    /// @param capacity maximum number of tokens held.
    retry_token_bucket(double ratio, double capacity)
        : ratio_(ratio), capacity_(capacity), tokens_(std::min(1.0, capacity))
    {
    }

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
    double tokens_;
};

} // namespace teaseltally
