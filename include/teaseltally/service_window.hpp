#pragma once

#include <teaseltally/result.hpp>
#include <teaseltally/types.hpp>

#include <array>
#include <cstdint>

/// @file
/// Unavailable seconds and moves of a service within the last hour.

namespace teaseltally {

/// Counts over a sliding window of one hour in buckets of one minute.
class service_window {
public:
    /// Adds a response to a caller. A second counts as unavailable if it has a response of class `not_run` or
    /// `unknown` and none of class `done`.
    /// @param now time of the response.
    void add_answer(result_class answer, time_point now);
    /// Adds a number of moved slots or hot keys.
    /// @param now time of the moves.
    void add_moves(std::uint64_t count, time_point now);

    /// Returns the number of unavailable seconds within the last hour.
    [[nodiscard]] std::uint64_t unavailable_seconds(time_point now);
    /// Returns the number of slots and hot keys that moved within the last hour.
    [[nodiscard]] std::uint64_t moves(time_point now);

private:
    static constexpr std::size_t bucket_count = 60;
    struct minute_bucket {
        /// Minutes since the start of the clock, or -1 if the bucket is unused.
        std::int64_t number = -1;
        /// Unavailable seconds in that minute.
        std::uint64_t unavailable = 0;
        std::uint64_t moves = 0;
    };

    [[nodiscard]] minute_bucket& bucket(time_point now);
    void close_second(time_point now);

    std::array<minute_bucket, bucket_count> buckets_{};
    std::int64_t current_second_ = -1;
    bool has_failure_ = false;
    bool has_success_ = false;
};

} // namespace teaseltally
