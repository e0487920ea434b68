#pragma once

/// @file
/// A counter that is raised for a scope.

namespace teaseltally {

/// Raises a counter for as long as it lives.
template <typename Count>
class count_guard {
public:
    /// @param count the counter; it must outlive the guard.
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
