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
    void add_answer(result_class answer, time_point now);
    /// Adds moved slots or keys.
    void add_moves(std::uint64_t count, time_point now);

    /// @returns seconds of the last hour in which nothing was answered "done" but something failed.
    [[nodiscard]] std::uint64_t unavailable_seconds(time_point now);
    /// @returns slots and keys moved within the last hour.
    [[nodiscard]] std::uint64_t moves(time_point now);

private:
    static constexpr std::size_t bucket_count = 60;
    struct minute_bucket {
        std::int64_t number = -1;
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
