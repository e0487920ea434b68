#pragma once

#include <teaseltally/types.hpp>

#include <algorithm>
#include <cmath>
#include <optional>

/// @file
/// Requests that wait in an instance for the only target that can execute them.

namespace teaseltally {

/// Estimates how long a request waits for the owner of its key, from the rate at which earlier requests were
/// sent there while others waited. One key cannot be divided among targets, so that a queue for a key that
/// gets more requests than its owner executes grows until each of them is answered too late.
class owner_queue {
public:
    /// Records that a request begins to wait.
    void on_enqueued() noexcept { ++waiting_; }
    /// Records that a request waits no more, whether it was sent or not.
    void on_dequeued() noexcept
    {
        if (--waiting_ == 0) {
            samples_ = 0;
            too_long_since_.reset();
        }
    }
    /// Records that a request was sent to the owner; called before `on_dequeued`.
    void on_sent(time_point now) noexcept
    {
        if (was_waited_for_) {
            const auto interval = static_cast<double>((now - last_sent_at_).count());
            ++samples_;
            interval_us_ += (interval - interval_us_) * std::max(sample_weight, 1.0 / samples_);
        }
        last_sent_at_ = now;
        was_waited_for_ = waiting_ > 0;
    }
    /// Returns the expected wait of a further request; zero while too few requests were sent since the queue
    /// was last empty, for example because the keys are moving.
    [[nodiscard]] microseconds expected_wait() const noexcept
    {
        if (samples_ < min_samples)
            return microseconds{0};
        return microseconds{std::llround(interval_us_ * waiting_)};
    }

    /// Returns whether the expected wait has been too long for some time, so that further requests are better
    /// refused. A queue that only formed for a moment is not.
    /// @param limit wait that is not too long.
    /// @param patience time for which the wait may be longer.
    [[nodiscard]] bool is_overloaded(time_point now, microseconds limit, microseconds patience) noexcept
    {
        if (expected_wait() <= limit)
            too_long_since_.reset();
        else if (!too_long_since_)
            too_long_since_ = now;
        return too_long_since_ && now - *too_long_since_ >= patience;
    }

private:
    static constexpr double sample_weight = 0.2;
    static constexpr unsigned min_samples = 3;

    unsigned waiting_ = 0;
    unsigned samples_ = 0;
    double interval_us_ = 0;
    time_point last_sent_at_{};
    std::optional<time_point> too_long_since_;
    /// Whether requests waited when the last one was sent.
    bool was_waited_for_ = false;
};

} // namespace teaseltally
