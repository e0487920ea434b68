#pragma once

#include <algorithm>

/// @file
/// A bound on sends beyond the first of each request.

namespace teaseltally {

/// Token bucket that earns a fraction of a token with each request. In any span of time it grants at most
/// its capacity plus the ratio times the requests of that span.
class retry_token_bucket {
public:
    /// @param ratio tokens earned by one request.
    /// @param capacity greatest number of tokens held.
    retry_token_bucket(double ratio, double capacity) : ratio_(ratio), capacity_(capacity), tokens_(capacity)
    {
    }

    /// Changes the capacity, such as when the number of instances that share a bound changes.
    void resize(double capacity) noexcept
    {
        capacity_ = capacity;
        tokens_ = std::min(tokens_, capacity_);
    }
    /// Notes the first send of a request.
    void deposit() noexcept { tokens_ = std::min(tokens_ + ratio_, capacity_); }
    /// Takes a token for one more send.
    /// @returns whether there was one.
    [[nodiscard]] bool try_withdraw() noexcept
    {
        if (tokens_ < 1.0)
            return false;
        tokens_ -= 1.0;
        return true;
    }
    /// @returns the tokens held.
    [[nodiscard]] double tokens() const noexcept { return tokens_; }

private:
    double ratio_;
    double capacity_;
    double tokens_;
};

} // namespace teaseltally
