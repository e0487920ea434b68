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
/// Which target owns which keys, as the log holds it.

namespace teaseltally {

/// A key of a keyed service.
using key_number = std::uint16_t;
inline constexpr key_number last_key = 0xffff;

/// Consecutive keys, both ends included.
struct key_range {
    key_number first = 0;
    key_number last = last_key;
    auto operator<=>(const key_range&) const = default;
    [[nodiscard]] constexpr bool contains(key_number key) const noexcept
    {
        return first <= key && key <= last;
    }
    [[nodiscard]] constexpr bool overlaps(const key_range& other) const noexcept
    {
        return first <= other.last && other.first <= last;
    }
    [[nodiscard]] constexpr std::uint32_t size() const noexcept { return std::uint32_t{last} - first + 1; }
};

/// One start of a target.
struct target_incarnation {
    std::string id;
    /// Unix milliseconds of the start; zero if the target does not state it.
    std::int64_t start_unix_ms = 0;
    /// "IP:PORT" at which it was reached.
    std::string address;
    bool operator==(const target_incarnation&) const = default;
};

/// An owner before the present one whose grants are not known to have ended.
struct former_owner {
    target_incarnation incarnation;
    /// Time of the log (see `coordinator_claim::elapsed`) at which the range was taken from it.
    milliseconds reassigned_at{0};
    bool operator==(const former_owner&) const = default;
};

/// A range and its owner.
struct owned_range {
    key_range keys;
    target_incarnation owner;
    /// Fencing token of the assignment: the offset of the record that made it.
    std::uint64_t fence = 0;
    std::vector<former_owner> former_owners;
    bool operator==(const owned_range&) const = default;
};

/// The ranges of one service, in order of their keys and without overlap.
class assignment {
public:
    assignment() = default;
    explicit assignment(std::vector<owned_range> ranges) : ranges_(std::move(ranges)) {}

    [[nodiscard]] std::span<const owned_range> ranges() const noexcept { return ranges_; }
    [[nodiscard]] bool empty() const noexcept { return ranges_.empty(); }
    /// @returns the range that holds a key, or null.
    [[nodiscard]] const owned_range* find(key_number key) const noexcept;
    /// Gives keys to an owner; ranges that are cut keep their fence.
    /// @param keys the keys that change hands.
    /// @param owner their new owner.
    /// @param fence fencing token, above all that these keys had.
    /// @param at time of the log, which the owners before remember.
    void assign(key_range keys, const target_incarnation& owner, std::uint64_t fence, milliseconds log_time);
    /// Forgets former owners of ranges that match.
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

/// Writes an assignment as the value of a record.
[[nodiscard]] std::string encode(const assignment& value);
/// Reads an assignment from the value of a record.
/// @returns the assignment, or `message_malformed` with what is wrong.
[[nodiscard]] result<assignment> decode_assignment(std::string_view text);

/// Who coordinates the ownership of keys.
struct coordinator_claim {
    std::string instance;
    std::uint64_t session = 0;
    /// "IP:PORT" of the instance's peer interface.
    std::string address;
    /// Time of the log: the sum of what its coordinators measured between their records, never more than
    /// has passed. It tells a process that has just started how old a record is.
    milliseconds log_time{0};
    bool operator==(const coordinator_claim&) const = default;
};

[[nodiscard]] std::string encode(const coordinator_claim& value);
[[nodiscard]] result<coordinator_claim> decode_claim(std::string_view text);

/// The ownership log folded up to a position.
class ownership_log {
public:
    /// Clocks run up to one part in this many fast or slow (the platform states 2%).
    static constexpr int clock_error_divisor = 50;
    /// Key of the record that names the coordinator.
    static constexpr std::string_view claim_key = "coordinator";
    /// Prefix of the key of a service's record.
    static constexpr std::string_view service_prefix = "service/";

    /// Folds a record in. A record that cannot be read changes nothing but the position.
    /// @param now when it was read.
    /// @returns the error of an unreadable record.
    std::optional<error> apply(time_point now, std::string_view key, std::string_view value,
                               std::uint64_t offset);

    /// Offset of the next record.
    [[nodiscard]] std::uint64_t position() const noexcept { return position_; }
    void set_position(std::uint64_t position) noexcept { position_ = std::max(position_, position); }
    [[nodiscard]] const std::optional<coordinator_claim>& claim() const noexcept { return claim_; }
    /// Offset of the record with which the present coordinator began.
    [[nodiscard]] std::uint64_t term() const noexcept { return term_; }
    /// When a record was last read.
    [[nodiscard]] time_point last_record_at() const noexcept { return last_record_at_; }
    /// @returns the latest time at which the coordinator may have sent the record that took a range from a
    /// former owner: when the range's record was read first, or earlier by the time of the log.
    [[nodiscard]] time_point latest_reassignment_time(const owned_range& range,
                                                      const former_owner& former) const;
    /// @returns a time of the log that has passed now.
    [[nodiscard]] milliseconds log_time(time_point now) const noexcept;
    [[nodiscard]] const assignment* find(std::string_view service) const;
    [[nodiscard]] const std::map<std::string, assignment, std::less<>>& services() const noexcept
    {
        return services_;
    }

private:
    std::uint64_t position_ = 0;
    std::optional<coordinator_claim> claim_;
    /// When the claim was read.
    time_point claim_read_at_{};
    std::uint64_t term_ = 0;
    time_point last_record_at_{};
    std::map<std::string, assignment, std::less<>> services_;
    std::map<std::string, std::uint64_t, std::less<>> next_offsets_;
    /// When the assignments at recent offsets were read.
    std::map<std::uint64_t, time_point> read_times_;
};

} // namespace teaseltally
