#pragma once

/// @file
/// A guard that increments a counter for the duration of a scope.

namespace teaseltally {

/// Increments a counter on construction and decrements it on destruction.
template <typename Count>
class count_guard {
public:
    /// @param count counter to increment; it must outlive the guard.
    explicit count_guard(Count& count) noexcept : count_(count) { ++count_; }
    ~count_guard() { --count_; }
    count_guard(const count_guard&) = delete;
    count_guard& operator=(const count_guard&) = delete;
    count_guard(count_guard&&) = delete;
    count_guard& operator=(count_guard&&) = delete;

private:
    Count& count_;
};

} // namespace teaseltally
