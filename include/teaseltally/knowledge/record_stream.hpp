#pragma once

#include <teaseltally/knowledge/log_position.hpp>
#include <teaseltally/knowledge/text_difference.hpp>
#include <teaseltally/types.hpp>

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
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
    /// Position of the record in its stream.
    log_position position;
    /// Whether the record may be out of date, as one from an older copy of the store, and is not used yet.
    bool held_back = false;
    /// How a large value came from earlier ones, oldest first; null if that is not known.
    std::shared_ptr<const std::vector<text_difference>> differences = nullptr;
    bool operator==(const stream_record&) const = default;
};

/// Update that brings another instance up to date with a stream.
struct stream_delta {
    /// Whether `records` holds the latest record of every key, so that keys not in it were removed.
    bool snapshot = false;
    /// At most one record of each key, in the order of their positions, or of their keys in a snapshot.
    std::vector<stream_record> records;
    /// Position after the last record that the update covers.
    log_position next;
    /// Time since the sender issued the read of the store that confirmed this state.
    milliseconds age{0};
    /// Time since the end of the last outage of the store; nothing if the sender has observed none.
    std::optional<milliseconds> outage_age;
};

/// What an instance knows better than a snapshot from an older copy of the store.
struct snapshot_precedence {
    /// Keys of records of the snapshot that are older than what is known. A known record of such a key stays,
    /// and without one, the key stays unknown.
    std::set<std::string, std::less<>> outdated;
    /// Whether known records of keys that the snapshot lacks stay.
    bool keeps_missing = false;
};

/// Effect of a snapshot on a stream.
struct snapshot_effect {
    /// Whether the snapshot was applied.
    bool applied = false;
    /// Number of known records that stayed, and of outdated ones that were left out.
    std::size_t kept = 0;
    /// Number of keys that were known and are not any more.
    std::size_t dropped = 0;
    explicit operator bool() const noexcept { return applied; }
};

/// Local copy of one stream. Its position never decreases; positions of a newer era of the store are higher
/// than all of an older one. Records and ends of reads count only in the era of the last snapshot.
class record_stream {
public:
    /// Maximum number of recent changes retained for other instances, the latest of each key only; one that
    /// lacks an older change receives a snapshot.
    static constexpr std::size_t max_changes = 512;
    /// Minimum size of a value of which the differences between versions are kept, in bytes.
    static constexpr std::size_t min_large_value = 4096;

    /// Returns whether a snapshot has been applied.
    [[nodiscard]] bool has_snapshot() const noexcept { return has_snapshot_; }
    /// Returns the position of the next record to apply.
    [[nodiscard]] log_position next() const noexcept { return next_; }
    /// Returns the time when the last read that reached the end of the stream was sent.
    [[nodiscard]] time_point last_read_sent() const noexcept { return last_read_sent_; }

    /// Returns the latest record of a key, or null if it has none.
    [[nodiscard]] const stream_record* find(std::string_view key) const;
    /// Returns the rests of the keys that begin with a prefix and have a record, in order.
    [[nodiscard]] std::vector<std::string> suffixes_of_keys(std::string_view prefix) const;
    /// Returns whether a snapshot has replaced one of an older era.
    [[nodiscard]] bool era_changed() const noexcept { return era_changed_; }
    /// Returns whether a record at a position would be new: it is of the era of the last snapshot and has not
    /// been passed.
    [[nodiscard]] bool expects(log_position position) const noexcept
    {
        return has_snapshot_ && position.era == next_.era && position >= next_;
    }
    /// Returns whether a snapshot up to a position would be applied.
    [[nodiscard]] bool accepts_snapshot(log_position next) const noexcept
    {
        return !has_snapshot_ || next >= next_;
    }

    /// Replaces all records by a snapshot.
    /// @param records latest record of each key.
    /// @param next position after the snapshot.
    /// @param known what stays although the snapshot says otherwise.
    /// @returns whether the snapshot was applied; an older one than the current state is ignored.
    snapshot_effect apply_snapshot(const std::vector<stream_record>& records, log_position next,
                                   const snapshot_precedence& known = {});
    /// Applies a record that follows those applied so far.
    /// @param significant whether other instances must receive the record immediately.
    /// @returns whether the record was new (see `expects`).
    bool apply(stream_record record, bool significant);
    /// Passes a record that is older than what is known of its key.
    /// @returns whether the record was new (see `expects`).
    bool skip(const stream_record& record);
    /// Makes a record that was held back one that is used, also for instances that receive it later.
    void confirm(std::string_view key);
    /// Records that a read reached the end of the stream; ignored in another era than that of the last
    /// snapshot.
    /// @param sent time when the read was sent.
    /// @param end end of the stream.
    void mark_caught_up(time_point sent, log_position end);
    /// Records that an outage of the store ended.
    void record_outage_end(time_point at) noexcept { last_outage_end_ = std::max(last_outage_end_, at); }
    /// Returns the time when the last outage of the store ended; the zero time point if none was observed.
    [[nodiscard]] time_point last_outage_end() const noexcept { return last_outage_end_; }
    /// Returns the update for another instance. It is a snapshot if the changes from that position on are no
    /// longer retained or the position is of an older era, and empty if it is of a newer one.
    /// @param from position of the first record that the other instance lacks; nothing if it has no snapshot.
    [[nodiscard]] stream_delta delta_since(std::optional<log_position> from, time_point now) const;
    /// Returns whether `delta_since` would return a snapshot or records.
    [[nodiscard]] bool has_changes_since(std::optional<log_position> from) const;
    /// Returns the digest of the stream's first large value; 0 if it has none.
    [[nodiscard]] std::uint64_t large_value_digest() const noexcept;
    /// Returns the digest of the value of a key; 0 if it has none or a small one.
    [[nodiscard]] std::uint64_t digest_of(std::string_view key) const;
    /// Returns the differences that lead from an earlier value of a key to its latest one, oldest first. They
    /// are kept until they take a quarter of the size of the value.
    /// @param digest digest of the earlier value.
    /// @returns the differences, or nothing if they are not known.
    [[nodiscard]] std::vector<const text_difference*> differences_since(std::string_view key,
                                                                        std::uint64_t digest) const;

private:
    /// Change that other instances must receive; the record is the latest one of the key.
    struct change {
        std::string key;
        log_position position;
    };
    /// How a large value came about.
    struct value_history {
        /// Digest of the latest value.
        std::uint64_t digest = 0;
        /// Differences from earlier values, each to the next one.
        std::deque<text_difference> differences;
        /// Memory that the differences take, in bytes.
        std::size_t size = 0;
    };

    /// Stores the latest record of a key.
    void store(stream_record record);
    /// Records how the value of a key changes, if it is large.
    /// @param earlier record that the key had; null if it had none.
    void record_history(const stream_record* earlier, const stream_record& record);

    bool has_snapshot_ = false;
    bool era_changed_ = false;
    log_position next_;
    /// Every change at or after this position is in `changes_`, or a later one of its key is.
    log_position changes_from_;
    time_point last_read_sent_{};
    time_point last_outage_end_{};
    std::map<std::string, stream_record, std::less<>> latest_records_;
    /// Histories of the keys with large values.
    std::map<std::string, value_history, std::less<>> histories_;
    std::deque<change> changes_;
};

} // namespace teaseltally
