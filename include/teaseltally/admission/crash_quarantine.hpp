#pragma once

#include <teaseltally/types.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <initializer_list>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_set>
#include <vector>

/// @file
/// Recognises requests that crash the targets that run them.

namespace teaseltally {

/// Identifies the requests that count as equal when targets crash.
struct crash_fingerprints {
    /// The same for all requests with equal content; its lower half is zero.
    std::uint64_t content = 0;
    /// The same for requests with equal content from one caller; its upper half is that of `content`.
    std::uint64_t caller = 0;
    bool operator==(const crash_fingerprints&) const = default;
};

/// Computes the fingerprints of a request.
/// @param caller IP address of the caller.
/// @param content parts of the content, in a fixed order.
[[nodiscard]] crash_fingerprints crash_fingerprints_of(std::string_view caller,
                                                       std::initializer_list<std::string_view> content);

/// Limits of the quarantine.
struct crash_quarantine_settings {
    /// Number of crashed targets from which a request is quarantined, at least 1.
    unsigned crashes = 3;
    /// Time for which a crash is remembered after it was last reported.
    milliseconds lifetime{600'000};
};

/// Record of a crash that is shared with other instances.
struct crash_record {
    /// Key: the crashed target incarnation and the instance that reported it.
    std::string key;
    /// Encoded list of fingerprints; nothing if the record was withdrawn.
    std::optional<std::string> value;
};

/// Counts, for each request fingerprint, the target incarnations that ended while they ran a request with
/// this fingerprint, however many instances report it.
///
/// A request that was on a target when it ended is not necessarily the cause. Two observations withdraw a
/// report: the target answers a request that was sent later, so it has not ended; or a target completes a
/// request with the fingerprint, so the request does not crash targets.
///
/// An incarnation counts once for a fingerprint. For a content that is not known to have completed anywhere
/// it counts once for each caller whose attempt was lost on it: equal requests often arrive together, and all
/// of them end the next target.
///
/// Attempts count for both fingerprints of their request: a lethal request may return from any address, and
/// its content may be harmless from other callers, whose completions withdraw the content's fingerprint only.
///
/// A quarantined request is not sent, so it cannot complete any more. It gets one trial if requests with its
/// fingerprint completed before, if a request with other content ran on all targets that ended (with the same
/// key, a request runs on the same targets as a lethal one), or if several callers sent its content.
class crash_quarantine {
public:
    /// @param instance identifier of this instance; part of the keys of its records.
    crash_quarantine(std::string instance, crash_quarantine_settings settings);

    /// Records that an attempt ended without a response of the target.
    void on_attempt_lost(const std::string& incarnation, std::uint64_t fingerprint, time_point now);
    /// Records that a target incarnation has ended. Attempts lost on it shortly before become a report.
    /// @returns whether there is a report.
    bool on_target_ended(const std::string& incarnation, time_point now);
    /// Records that a target has executed a request with the fingerprint and responded.
    void on_request_completed(std::uint64_t fingerprint);
    /// Returns whether a request with the fingerprint is known to have completed.
    [[nodiscard]] bool has_completed(std::uint64_t fingerprint) const
    {
        return completed_.contains(fingerprint);
    }
    /// Returns the record that claims the trial of a quarantined request. The trial may start once the record
    /// has been appended to a log that contained no record unknown to this instance.
    /// @returns the record, or nothing if there is no trial at this time.
    [[nodiscard]] std::optional<crash_record> next_trial(std::uint64_t fingerprint, time_point now) const;
    /// Returns whether a trial of a content is kept for other callers than that of a request: for a time
    /// after the last crash, it is for callers whose requests with it are known to have completed, or else
    /// for those who have lost no attempt on a crashed target since the first trial.
    [[nodiscard]] bool is_trial_reserved(const crash_fingerprints& request, time_point now) const;
    /// Records that a target incarnation has responded to a request.
    /// @param sent_at time when the request was sent; attempts lost and ends reported before are withdrawn.
    void on_target_alive(const std::string& incarnation, time_point sent_at);
    /// Returns whether attempts were lost on a target incarnation since its last response.
    [[nodiscard]] bool has_lost_attempts(const std::string& incarnation) const;

    /// Returns whether a target incarnation is reported to have ended.
    [[nodiscard]] bool is_reported(const std::string& incarnation) const;

    /// Applies a record of any instance. A malformed value is ignored.
    /// @returns whether the record was valid.
    bool apply(const crash_record& record, time_point now);
    /// Removes the reports whose key is not among `keys`, except for changes that were not extracted yet.
    void retain(const std::set<std::string, std::less<>>& keys, time_point now);
    /// Records that this instance has claimed a trial.
    /// @param record record that `next_trial` returned.
    void on_trial_claimed(const crash_record& record, time_point now);
    /// Adds the reports and trials of this instance that a store lacks, which came back from an older copy,
    /// to those that `extract_changes` returns.
    /// @param keys keys of the records that the store has.
    /// @returns the number of records added.
    std::size_t share_missing(const std::set<std::string, std::less<>>& keys);
    /// Removes and returns the records that this instance changed, with their current values.
    [[nodiscard]] std::vector<crash_record> extract_changes();
    /// Adds records to those that `extract_changes` returns, after they could not be shared.
    void restore_changes(const std::vector<crash_record>& records);
    /// Forgets lost attempts and reports that are too old.
    /// @param withdraw whether the removal of old reports is to be shared.
    void remove_expired(time_point now, bool withdraw);

    /// Returns the number of crashes that count for a fingerprint.
    [[nodiscard]] unsigned crashes(std::uint64_t fingerprint) const;
    /// Returns the number of crashes from which a request is quarantined.
    [[nodiscard]] unsigned crash_limit() const noexcept { return settings_.crashes; }
    /// Returns the time until enough crashes are forgotten for the fingerprint to be below the limit, zero if
    /// it is not quarantined.
    [[nodiscard]] milliseconds quarantine_time(std::uint64_t fingerprint, time_point now) const;

private:
    struct lost_attempt {
        std::uint64_t fingerprint = 0;
        time_point at{};
    };
    /// Fingerprints reported by one instance for one target incarnation.
    struct report {
        std::string incarnation;
        std::set<std::uint64_t> fingerprints;
        time_point reported_at{};
    };

    [[nodiscard]] std::vector<time_point> crash_times(std::uint64_t fingerprint) const;
    void add_completed(std::uint64_t fingerprint);
    /// Returns whether requests with other content ran on all targets whose ends count for this fingerprint.
    [[nodiscard]] bool has_other_suspect(std::uint64_t fingerprint) const;
    /// Returns the fingerprints of the callers whose attempts were lost with a content; none for other
    /// fingerprints. If there are several, the content may be lethal from one of them only.
    [[nodiscard]] std::set<std::uint64_t> suspected_callers(std::uint64_t fingerprint) const;
    void withdraw_trial(std::uint64_t trial);
    /// Sets the fingerprints of a report; none removes it.
    void set_report(const std::string& key, std::set<std::uint64_t> fingerprints, time_point now);

    std::string instance_;
    crash_quarantine_settings settings_;
    std::map<std::string, std::vector<lost_attempt>, std::less<>> lost_attempts_;
    std::map<std::string, report, std::less<>> reports_;
    /// Keys of the reports that contain a fingerprint.
    std::map<std::uint64_t, std::set<std::string>> keys_by_fingerprint_;
    /// Times of the claims of trials.
    std::map<std::uint64_t, time_point> trials_;
    /// Trials among them that this instance claimed.
    std::set<std::uint64_t> claimed_trials_;
    /// Fingerprints of completed requests, and the order in which they were added.
    std::unordered_set<std::uint64_t> completed_;
    std::deque<std::uint64_t> completed_order_;
    std::set<std::string> changed_keys_;
};

/// Encodes records for another instance as a JSON array of pairs of key and value.
[[nodiscard]] std::string encode_crash_records(const std::vector<crash_record>& records);
/// Decodes the result of `encode_crash_records`.
/// @returns the records, or nothing if the text is malformed.
[[nodiscard]] std::optional<std::vector<crash_record>> decode_crash_records(std::string_view text);

} // namespace teaseltally
