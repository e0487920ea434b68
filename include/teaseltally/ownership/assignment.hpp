#pragma once

#include <teaseltally/result.hpp>
#include <teaseltally/types.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

/// @file
/// Assignment of keys to targets, and the state that results from applying the ownership log.

namespace teaseltally {

/// Number of a key of a keyed service, 0 to 65535.
using key_number = std::uint16_t;
/// Maximum key number.
inline constexpr key_number last_key = 0xffff;

/// A range of consecutive keys; both ends are included and `first` is at most `last`.
struct key_range {
    /// Lowest key of the range.
    key_number first = 0;
    /// Highest key of the range.
    key_number last = last_key;
    auto operator<=>(const key_range&) const = default;
    /// Returns whether a key lies in the range.
    [[nodiscard]] constexpr bool contains(key_number key) const noexcept
    {
        return first <= key && key <= last;
    }
    /// Returns whether the two ranges have a key in common.
    [[nodiscard]] constexpr bool overlaps(const key_range& other) const noexcept
    {
        return first <= other.last && other.first <= last;
    }
    /// Returns the number of keys, 1 to 65536.
    [[nodiscard]] constexpr std::uint32_t size() const noexcept { return std::uint32_t{last} - first + 1; }
};

/// One run of a target process, identified by its id and start time.
struct target_incarnation {
    /// Id of the target.
    std::string id;
    /// Start time in Unix milliseconds; 0 if the target does not report it.
    std::int64_t start_unix_ms = 0;
    /// Address at which the target accepts requests, as "IP:PORT".
    std::string address;
    bool operator==(const target_incarnation&) const = default;
};

/// An earlier owner of a range whose grants are not yet known to have expired or been released.
struct former_owner {
    /// Incarnation of the target that owned the range.
    target_incarnation incarnation;
    /// Log time (see `coordinator_claim::log_time`) at which the range was assigned to another target.
    milliseconds reassigned_at{0};
    bool operator==(const former_owner&) const = default;
};

/// A range of keys, its owner and the former owners that may still hold it.
struct owned_range {
    /// Keys of the range.
    key_range keys;
    /// Incarnation of the target that owns the range.
    target_incarnation owner;
    /// Fencing token of the assignment: the log offset of the record that made it.
    std::uint64_t fence = 0;
    /// Former owners that may still hold grants for keys of the range.
    std::vector<former_owner> former_owners;
    bool operator==(const owned_range&) const = default;
};

/// The owned ranges of one service, sorted by key and without overlap.
class assignment {
public:
    /// Creates an assignment without ranges.
    assignment() = default;
    /// Creates an assignment of ranges that are sorted by key and do not overlap.
    explicit assignment(std::vector<owned_range> ranges) : ranges_(std::move(ranges)) {}

    /// Returns all ranges, sorted by key.
    [[nodiscard]] std::span<const owned_range> ranges() const noexcept { return ranges_; }
    /// Returns whether no key has been assigned.
    [[nodiscard]] bool empty() const noexcept { return ranges_.empty(); }
    /// Finds the range that contains a key.
    /// @returns the range, or null if the key is not assigned.
    [[nodiscard]] const owned_range* find(key_number key) const noexcept;
    /// Assigns keys to an owner. Ranges that overlap are cut; the rest of each keeps its owner and fence.
    /// The earlier owners of the keys, other than the new owner, become former owners of the new range.
    /// @param fence fencing token, greater than all earlier tokens of these keys.
    /// @param log_time log time, recorded as the time at which the current owners lost the keys.
    void assign(key_range keys, const target_incarnation& owner, std::uint64_t fence, milliseconds log_time);
    /// Removes all former owners of each range for which a predicate returns true.
    /// @param matches predicate that is called once for each range, in the order of the keys.
    template <typename Predicate>
    void clear_former_owners(Predicate matches)
    {
        for (auto& range : ranges_)
            if (matches(range))
                range.former_owners.clear();
    }

    bool operator==(const assignment&) const = default;

private:
    std::vector<owned_range> ranges_;
};

/// Encodes an assignment as the value of a log record.
[[nodiscard]] std::string encode(const assignment& value);
/// Decodes an assignment from the value of a log record.
/// @returns the assignment, or `message_malformed` with the reason.
[[nodiscard]] result<assignment> decode_assignment(std::string_view text);

/// Record with which an instance claims the role of coordinator of key ownership.
struct coordinator_claim {
    /// Name of the instance.
    std::string instance;
    /// Number that identifies one run of the instance's process.
    std::uint64_t session = 0;
    /// Address of the instance's peer interface, as "IP:PORT".
    std::string address;
    /// Log time: the sum of the times that successive coordinators measured between their records. It never
    /// advances faster than real time, so the difference of two log times is a lower bound of the time
    /// between them. A process that has just started computes the minimum age of older records from it.
    milliseconds log_time{0};
    /// Whether the instance gives up the role, so that another one takes over at once.
    bool resigned = false;
    bool operator==(const coordinator_claim&) const = default;
};

/// Encodes a claim as the value of a log record.
[[nodiscard]] std::string encode(const coordinator_claim& value);
/// Decodes a claim from the value of a log record.
/// @returns the claim, or `message_malformed` with the reason.
[[nodiscard]] result<coordinator_claim> decode_claim(std::string_view text);

/// State of key ownership after the records of the ownership log up to a position have been applied.
class ownership_log {
public:
    /// Reciprocal of the maximum relative clock error, which the platform specifies as 2% fast or slow.
    static constexpr int clock_error_divisor = 50;
    /// Key of the record that names the coordinator.
    static constexpr std::string_view claim_key = "coordinator";
    /// Prefix of the key of a service's record.
    static constexpr std::string_view service_prefix = "service/";

    /// Applies a record. A record that cannot be decoded changes only the position and the time of the last
    /// record. A record whose offset is not higher than that of an applied record of the same key is ignored.
    /// @param now time at which the record was read.
    /// @param offset offset of the record in the log.
    /// @returns the decoding error, or nothing if the record was applied or ignored.
    std::optional<error> apply(time_point now, std::string_view key, std::string_view value,
                               std::uint64_t offset);

    /// Returns the offset of the next record to apply.
    [[nodiscard]] std::uint64_t position() const noexcept { return position_; }
    /// Advances the position; a smaller position than the current one is ignored.
    /// @param position offset of the next record to apply.
    void set_position(std::uint64_t position) noexcept { position_ = std::max(position_, position); }
    /// Returns the latest claim, or nothing if the log has none.
    [[nodiscard]] const std::optional<coordinator_claim>& claim() const noexcept { return claim_; }
    /// Returns the term of the current coordinator: the offset of the first record of its claim.
    [[nodiscard]] std::uint64_t term() const noexcept { return term_; }
    /// Returns the time at which the last new record was read.
    [[nodiscard]] time_point last_record_at() const noexcept { return last_record_at_; }
    /// Returns an upper bound of the time at which the coordinator sent the record that assigned a range of a
    /// former owner to another target. The bound is the time at which the record of the range was first read,
    /// or an earlier time if the log time shows that the record is older.
    /// @param range range of an assignment of this log.
    /// @param former one of the former owners of the range.
    [[nodiscard]] time_point latest_reassignment_time(const owned_range& range,
                                                      const former_owner& former) const;
    /// Returns a lower bound of the current log time: the log time of the latest claim plus the local time
    /// since it was read, reduced by the maximum clock error. Returns 0 ms if the log has no claim.
    [[nodiscard]] milliseconds log_time(time_point now) const noexcept;
    /// Returns the assignment of a service, or null if the log has none.
    [[nodiscard]] const assignment* find(std::string_view service) const;
    /// Returns the assignments of all services by service name.
    [[nodiscard]] const std::map<std::string, assignment, std::less<>>& services() const noexcept
    {
        return services_;
    }

private:
    std::uint64_t position_ = 0;
    std::optional<coordinator_claim> claim_;
    /// Time at which the latest claim was read.
    time_point claim_read_at_{};
    std::uint64_t term_ = 0;
    time_point last_record_at_{};
    std::map<std::string, assignment, std::less<>> services_;
    /// Offset of the latest record of each record key, plus 1.
    std::map<std::string, std::uint64_t, std::less<>> next_offsets_;
    /// Times at which assignment records were first read, by record offset; the lowest offsets are dropped
    /// when the map is full.
    std::map<std::uint64_t, time_point> read_times_;
};

} // namespace teaseltally
