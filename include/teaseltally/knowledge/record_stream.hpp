#pragma once

#include <teaseltally/types.hpp>

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// @file
/// What instances share of a stream of keyed records: the newest of each key, and recent changes.

namespace teaseltally {

/// The streams that every instance follows.
enum class stream_kind { configuration, targets, ownership, members };
inline constexpr std::size_t stream_kind_count = 4;

/// One record. No value means that the key was dropped.
struct stream_record {
    std::string key;
    std::optional<std::string> value;
    std::uint64_t offset = 0;
    bool operator==(const stream_record&) const = default;
};

/// What another instance lacks.
struct stream_delta {
    /// The records are the newest of every key; keys that are missing were dropped.
    bool snapshot = false;
    std::vector<stream_record> records;
    /// Offset after the last record that was taken into account.
    std::uint64_t next_offset = 0;
    /// Time since the read that confirmed this was sent to the store.
    milliseconds age{0};
    /// Time since the end of the store's last outage; nothing if none was seen.
    std::optional<milliseconds> outage_age;
};

/// One stream as far as this instance knows it. Positions never go back.
class record_stream {
public:
    /// Greatest number of recent changes kept for others.
    static constexpr std::size_t max_changes = 512;

    /// @returns whether the newest records were read once.
    [[nodiscard]] bool has_snapshot() const noexcept { return has_snapshot_; }
    /// @returns offset of the next record.
    [[nodiscard]] std::uint64_t next_offset() const noexcept { return next_offset_; }
    /// @returns when the last read that reached the end was sent.
    [[nodiscard]] time_point last_read_sent() const noexcept { return last_read_sent_; }

    /// Replaces everything by the newest record of each key.
    /// @returns whether it was taken in; not if it is older than what is known.
    bool apply_snapshot(const std::vector<stream_record>& records, std::uint64_t next_offset);
    /// Takes in the next record.
    /// @param significant whether others have to hear of it at once.
    /// @returns whether it was new.
    bool apply(const stream_record& record, bool significant);
    /// Notes that a read reached the end.
    void mark_caught_up(time_point sent, std::uint64_t next_offset);
    /// Notes that the store is back after an outage.
    void record_outage_end(time_point at) noexcept { last_outage_end_ = std::max(last_outage_end_, at); }
    /// @returns when the last outage ended; the epoch if none was seen.
    [[nodiscard]] time_point last_outage_end() const noexcept { return last_outage_end_; }
    /// Collects what an instance lacks.
    /// @param from offset of the first record that it lacks; nothing if it knows none.
    [[nodiscard]] stream_delta delta_since(std::optional<std::uint64_t> from, time_point now) const;
    /// @returns whether `since` would hold records.
    [[nodiscard]] bool has_changes_since(std::optional<std::uint64_t> from) const;

private:
    bool has_snapshot_ = false;
    std::uint64_t next_offset_ = 0;
    /// Every change at or after this offset is in `changes_`.
    std::uint64_t changes_from_ = 0;
    time_point last_read_sent_{};
    time_point last_outage_end_{};
    std::map<std::string, stream_record, std::less<>> latest_;
    std::deque<stream_record> changes_;
};

} // namespace teaseltally
