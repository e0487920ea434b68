#pragma once

#include <teaseltally/knowledge/log_position.hpp>
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
    /// Time from the reassignment by which every grant of the incarnation for the range has expired; none if
    /// the grants may have been renewed after the reassignment was sent.
    std::optional<milliseconds> grants_left = std::nullopt;
    bool operator==(const former_owner&) const = default;
};

/// A range of keys, its owner and the former owners that may still hold it.
struct owned_range {
    /// Keys of the range.
    key_range keys;
    /// Incarnation of the target that owns the range.
    target_incarnation owner;
    /// Fencing token of the assignment, which rises with the position of the record that made it; see
    /// `fence_of`.
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

    /// Coalesces adjacent ranges of the same owner that have no former owners. No key changes its owner.
    /// @param fence fencing token of the coalesced ranges. Only ranges with lower tokens are coalesced.
    /// @param may_coalesce predicate that is called at most once for each range, in the order of the keys.
    /// @returns by how much the number of ranges is reduced.
    template <typename Predicate>
    std::size_t coalesce(std::uint64_t fence, Predicate may_coalesce)
    {
        std::vector<owned_range> next;
        bool follows = false;
        for (auto& range : ranges_) {
            const bool may = range.former_owners.empty() && range.fence < fence && may_coalesce(range);
            if (may && follows && next.back().keys.last + 1 == range.keys.first &&
                next.back().owner == range.owner) {
                next.back().keys.last = range.keys.last;
                next.back().fence = fence;
            }
            else
                next.push_back(std::move(range));
            follows = may;
        }
        const auto saved = ranges_.size() - next.size();
        ranges_ = std::move(next);
        return saved;
    }

    /// Sets the `grants_left` of the former owners that lost their ranges when these were assigned.
    /// @param fence fencing token of the assignment. Equal times may be those of an earlier record, since log
    /// times of different coordinators differ.
    /// @param log_time log time of the assignment.
    /// @param grants_left_of function that is called with the keys of a range and a former owner's
    /// incarnation.
    template <typename Function>
    void set_grants_left(std::uint64_t fence, milliseconds log_time, Function grants_left_of)
    {
        for (auto& range : ranges_)
            for (auto& former : range.former_owners)
                if (range.fence == fence && former.reassigned_at == log_time)
                    former.grants_left = grants_left_of(range.keys, former.incarnation);
    }

    /// Sets the time at which all former owners lost their ranges.
    /// @param log_time log time, not before that at which any of them did.
    void restart_former_owners(milliseconds log_time);

    bool operator==(const assignment&) const = default;

private:
    std::vector<owned_range> ranges_;
};

/// An assignment with the era in which its record was written.
struct assignment_record {
    /// The assignment.
    assignment value;
    /// Era of the store that the writer knew; none in records of builds that knew no eras.
    std::optional<std::uint64_t> era;
};

/// Encodes an assignment as the value of a log record.
/// @param era era of the store that the writer knows.
[[nodiscard]] std::string encode(const assignment& value, std::optional<std::uint64_t> era = std::nullopt);
/// Decodes an assignment from the value of a log record.
/// @returns the assignment, or `message_malformed` with the reason.
[[nodiscard]] result<assignment> decode_assignment(std::string_view text);
/// Decodes an assignment and the era in which it was written from the value of a log record.
/// @returns the record, or `message_malformed` with the reason.
[[nodiscard]] result<assignment_record> decode_assignment_record(std::string_view text);

/// Number of bits of a fencing token that hold the offset of the record that made the assignment.
inline constexpr unsigned fence_offset_bits = 32;

/// Returns the fencing token that a position in the ownership log gives. Tokens rise with the position, over
/// eras too, so that a coordinator that knows nothing of an earlier era cannot give a lower one.
/// @param position position of the record that makes the assignment.
/// @param origin era in which tokens are plain offsets; see `coordinator_claim::fence_origin`.
[[nodiscard]] constexpr std::uint64_t fence_of(log_position position, std::int64_t origin) noexcept
{
    return ((position.era - static_cast<std::uint64_t>(origin)) << fence_offset_bits) + position.offset;
}

/// Safety checks that concern eras of the store, for tests that show that each is needed.
struct ownership_guards {
    /// Fencing tokens rise with the era.
    bool era_in_fences = true;
    /// Records are ordered by the era in which they were written.
    bool era_in_record_order = true;
    /// Only a coordinator that no other can have succeeded keeps its term in a new era.
    bool continuity_check = true;
    /// The first coordinator of an era excludes all targets that may hold keys unknown to it.
    bool holder_sweep = true;
    /// The first claim of an era writes all known assignments again, and assignments of an earlier era than
    /// the claim's are not relied on.
    bool assignments_rewritten = true;
    /// A coordinator renews no grants whose end it has recorded.
    bool renewals_suspended = true;
    /// A coordinator that another may have succeeded sends grants only to processes of targets that have run
    /// since before that.
    bool contested_grants_bound = true;
};

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
    /// Era of the store that the writer knew; none in claims of builds that knew no eras.
    std::optional<std::uint64_t> era = std::nullopt;
    /// Era in which fencing tokens are plain offsets, handed on from claim to claim; none in claims of builds
    /// that knew no eras.
    std::optional<std::int64_t> fence_origin = std::nullopt;
    /// Whether targets may hold keys that the log does not show, because records were lost.
    bool unsettled = false;
    /// Log time at which the coordinator's term began; none in claims of earlier builds.
    std::optional<milliseconds> began = std::nullopt;
    bool operator==(const coordinator_claim&) const = default;
};

/// Encodes a claim as the value of a log record.
[[nodiscard]] std::string encode(const coordinator_claim& value);
/// Decodes a claim from the value of a log record.
/// @returns the claim, or `message_malformed` with the reason.
[[nodiscard]] result<coordinator_claim> decode_claim(std::string_view text);

/// State of key ownership after the records of the ownership log up to a position have been applied.
///
/// The record of each key that was written last is kept. Records are ordered by the era in which they were
/// written and the offset, not by the position at which they were read: a record that came back with a copy
/// of the store, or an append of an earlier era that was carried out late, is not newer than what was written
/// since.
class ownership_log {
public:
    /// Reciprocal of the maximum relative clock error, which the platform specifies as 2% fast or slow.
    static constexpr int clock_error_divisor = 50;
    /// Key of the record that names the coordinator.
    static constexpr std::string_view claim_key = "coordinator";
    /// Prefix of the key of a service's record.
    static constexpr std::string_view service_prefix = "service/";
    /// First era of a store. No earlier one can have had records.
    static constexpr std::uint64_t first_era = 1;

    /// Creates the state of an empty log.
    explicit ownership_log(ownership_guards guards = {}) : guards_(guards) {}

    /// Applies a record. A record that cannot be decoded changes only the position and the time of the last
    /// record. A record that was not written after the applied record of the same key is ignored.
    /// @param now time at which the record was read.
    /// @param position position at which the record was read.
    /// @returns the decoding error, or nothing if the record was applied or ignored.
    std::optional<error> apply(time_point now, std::string_view key, std::string_view value,
                               log_position position);

    /// Returns the position of the next record to apply.
    [[nodiscard]] log_position position() const noexcept { return position_; }
    /// Advances the position; a smaller position than the current one is ignored.
    /// @param position position of the next record to apply.
    void set_position(log_position position) noexcept;
    /// Returns whether positions of an earlier era than the current one have been applied.
    [[nodiscard]] bool knows_earlier_era() const noexcept { return earlier_end_.has_value(); }
    /// Returns the latest claim, or nothing if the log has none.
    [[nodiscard]] const std::optional<coordinator_claim>& claim() const noexcept { return claim_; }
    /// Returns the term of the current coordinator: where the first record of its claim was written.
    [[nodiscard]] log_position term() const noexcept { return term_; }
    /// Returns whether records of an earlier era may be unknown: there may have been one, and no claim of a
    /// build that knows eras was written in the current one. Claims of builds that knew none don't count, as
    /// these ask no target for keys that it was given in lost records.
    [[nodiscard]] bool begins_era() const noexcept
    {
        return (claim_ && claim_written_.era < position_.era) ||
               ((!claim_ || !claim_->era) && position_.era > first_era);
    }
    /// Returns whether a known assignment was not written in the current era.
    [[nodiscard]] bool has_assignment_of_earlier_era() const;
    /// Returns whether the store's newest record of a service is not the one that was written last.
    [[nodiscard]] bool is_shadowed(std::string_view service) const;
    /// Returns the `fence_origin` of the next claim.
    [[nodiscard]] std::int64_t next_fence_origin() const;
    /// Returns an upper bound of the time at which the term of the latest claim began, or nothing if the
    /// claim does not say so.
    [[nodiscard]] std::optional<time_point> latest_term_begin() const;
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
    /// Latest record of a record key.
    struct key_history {
        /// Position after the place where the record was written.
        log_position written_end;
        /// Position after the newest place at which a record of the key was read.
        log_position read_end;
        /// Whether the record read there is not the one that was written last.
        bool shadowed = false;
    };

    [[nodiscard]] log_position written_at(log_position position,
                                          std::optional<std::uint64_t> era) const noexcept;
    /// Returns whether a record that was read at a position was never in the log of the earlier era that it
    /// names, if it isn't known from there: all records of that log are known up to the end that was read.
    /// Its append was sent for this place, lost against another one, and was carried out late.
    [[nodiscard]] bool is_lost_append(log_position position, std::optional<std::uint64_t> era) const noexcept;
    /// Notes that a record was read and returns whether it was written after the known one of its key.
    /// @param era era that the record names.
    [[nodiscard]] bool accept(time_point now, std::string_view key, log_position position,
                              std::optional<std::uint64_t> era);

    ownership_guards guards_;
    log_position position_;
    /// End of the log in the last earlier era, as far as it was read.
    std::optional<log_position> earlier_end_;
    std::optional<coordinator_claim> claim_;
    /// Time at which the latest claim was read.
    time_point claim_read_at_{};
    log_position claim_written_;
    log_position term_;
    time_point last_record_at_{};
    std::map<std::string, assignment, std::less<>> services_;
    std::map<std::string, key_history, std::less<>> histories_;
    /// Times at which assignments were first read, by fencing token; the lowest tokens are dropped when the
    /// map is full.
    std::map<std::uint64_t, time_point> read_times_;
};

} // namespace teaseltally
