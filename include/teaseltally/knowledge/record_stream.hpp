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
/// State of a stream of keyed records that instances replicate: the latest record of each key and recent
/// changes.

namespace teaseltally {

/// Streams that every instance follows.
enum class stream_kind { configuration, targets, ownership, members, crashes };
/// Number of values of `stream_kind`.
inline constexpr std::size_t stream_kind_count = 5;

/// One record of a stream.
struct stream_record {
    /// Key; a later record of the same key supersedes an earlier one.
    std::string key;
    /// Value of the key; nothing if the key was removed.
    std::optional<std::string> value;
    /// Offset of the record in its stream.
    std::uint64_t offset = 0;
    bool operator==(const stream_record&) const = default;
};

/// Update that brings another instance up to date with a stream.
struct stream_delta {
    /// Whether `records` holds the latest record of every key, so that keys not in it were removed.
    bool snapshot = false;
    /// Records in the order of their offsets, or of their keys in a snapshot.
    std::vector<stream_record> records;
    /// Offset of the record after the last one that the update covers.
    std::uint64_t next_offset = 0;
    /// Time since the sender issued the read of the store that confirmed this state.
    milliseconds age{0};
    /// Time since the end of the last outage of the store; nothing if the sender has observed none.
    std::optional<milliseconds> outage_age;
};

/// Local copy of one stream. Its offset never decreases.
class record_stream {
public:
    /// Maximum number of recent changes retained for other instances; one that lacks an older change receives
    /// a snapshot.
    static constexpr std::size_t max_changes = 512;

    /// Returns whether a snapshot has been applied.
    [[nodiscard]] bool has_snapshot() const noexcept { return has_snapshot_; }
    /// Returns the offset of the next record to apply.
    [[nodiscard]] std::uint64_t next_offset() const noexcept { return next_offset_; }
    /// Returns the time when the last read that reached the end of the stream was sent.
    [[nodiscard]] time_point last_read_sent() const noexcept { return last_read_sent_; }

    /// Replaces all records by a snapshot.
    /// @param records latest record of each key.
    /// @param next_offset offset of the record after the snapshot.
    /// @returns whether the snapshot was applied; an older one than the current state is ignored.
    bool apply_snapshot(const std::vector<stream_record>& records, std::uint64_t next_offset);
    /// Applies a record that follows those applied so far.
    /// @param significant whether other instances must receive the record immediately.
    /// @returns whether the record was new; records before the first snapshot are ignored.
    bool apply(const stream_record& record, bool significant);
    /// Records that a read reached the end of the stream.
    /// @param sent time when the read was sent.
    /// @param next_offset offset of the end of the stream.
    void mark_caught_up(time_point sent, std::uint64_t next_offset);
    /// Records that an outage of the store ended.
    void record_outage_end(time_point at) noexcept { last_outage_end_ = std::max(last_outage_end_, at); }
    /// Returns the time when the last outage of the store ended; the zero time point if none was observed.
    [[nodiscard]] time_point last_outage_end() const noexcept { return last_outage_end_; }
    /// Returns the update for another instance. It is a snapshot if the changes from that offset on are no
    /// longer retained.
    /// @param from offset of the first record that the other instance lacks; nothing if it has no snapshot.
    [[nodiscard]] stream_delta delta_since(std::optional<std::uint64_t> from, time_point now) const;
    /// Returns whether `delta_since` would return a snapshot or records.
    [[nodiscard]] bool has_changes_since(std::optional<std::uint64_t> from) const;

private:
    bool has_snapshot_ = false;
    std::uint64_t next_offset_ = 0;
    /// Every change at or after this offset is in `changes_`.
    std::uint64_t changes_from_ = 0;
    time_point last_read_sent_{};
    time_point last_outage_end_{};
    std::map<std::string, stream_record, std::less<>> latest_records_;
    std::deque<stream_record> changes_;
};

} // namespace teaseltally
