#pragma once

#include <teaseltally/result.hpp>
#include <teaseltally/types.hpp>

#include <array>
#include <cstdint>

/// @file
/// What a service did to its callers within the last hour.

namespace teaseltally {

/// Sums over the last hour, in buckets of a minute.
class service_window {
public:
    /// Notes an answer. A second counts as unavailable while answers are "not run" or "unknown" and none is
    /// "done".
    void note_answer(result_class answer, time_point now);
    /// Adds moved slots or keys.
    void note_moves(std::uint64_t count, time_point now);

    /// @returns seconds of the last hour in which nothing was answered "done" but something failed.
    [[nodiscard]] std::uint64_t unavailable_seconds(time_point now);
    /// @returns slots and keys moved within the last hour.
    [[nodiscard]] std::uint64_t moves(time_point now);

private:
    static constexpr std::size_t minutes = 60;
    struct minute {
        std::int64_t number = -1;
        std::uint64_t unavailable = 0;
        std::uint64_t moves = 0;
    };

    [[nodiscard]] minute& bucket(time_point now);
    void close_second(time_point now);

    std::array<minute, minutes> minutes_{};
    std::int64_t second_ = -1;
    bool failed_ = false;
    bool done_ = false;
};

} // namespace teaseltally
