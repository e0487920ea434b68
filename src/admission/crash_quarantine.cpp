#include <teaseltally/admission/crash_quarantine.hpp>

#include <teaseltally/json.hpp>

#include <algorithm>
#include <charconv>
#include <utility>
#include <xxhash.h>

namespace teaseltally {
namespace {

/// Time for which a lost attempt may explain the end of its target. The store removes the registration of a
/// crashed target after three heartbeats, at most about 5 s.
constexpr milliseconds lost_attempt_lifetime{10'000};
/// Maximum number of fingerprints of lost attempts that are kept per target; the oldest are dropped first.
constexpr std::size_t max_lost_attempts = 128;
/// Maximum number of reports; the oldest is dropped first.
constexpr std::size_t max_reports = 1024;
/// Maximum number of fingerprints of completed requests; the oldest are dropped first.
constexpr std::size_t max_completed = 8192;
/// Minimum time between the claims of two trials, so that the end of a target can be attributed to one of
/// them.
constexpr milliseconds trial_interval{2000};
/// Time after the last crash for which a trial of a content is kept for the least suspected callers. It
/// exceeds the time in which the keys of a crashed owner are served again.
constexpr milliseconds trial_reservation{10'000};
/// Prefix of the keys of trials, followed by the fingerprint.
constexpr std::string_view trial_prefix = "trial|";
/// Value of the records of trials.
constexpr auto trial_value = "claimed";
/// Separates the incarnation from the instance in the key of a record.
constexpr char key_separator = '|';

/// Bits of a fingerprint that requests with equal content have in common.
constexpr std::uint64_t content_mask = ~std::uint64_t{0} << 32U;

/// Added to the fingerprint of a content in the report of an instance that knows of no completed request with
/// it. The fingerprints of callers are odd.
constexpr std::uint64_t never_completed = 2;

/// Added to the fingerprint of a content in the key of its second trial.
constexpr std::uint64_t second_trial = 2;

bool is_content(std::uint64_t fingerprint)
{
    return (fingerprint & ~content_mask) == 0;
}

bool is_caller(std::uint64_t fingerprint)
{
    return (fingerprint & 1U) != 0;
}

std::string incarnation_of(const std::string& key)
{
    return key.substr(0, key.rfind(key_separator));
}

std::string trial_key(std::uint64_t fingerprint)
{
    return std::string{trial_prefix} + std::to_string(fingerprint);
}

/// Returns the fingerprint of the key of a trial; nothing for other keys.
std::optional<std::uint64_t> fingerprint_of_trial(std::string_view key)
{
    if (!key.starts_with(trial_prefix))
        return std::nullopt;
    key.remove_prefix(trial_prefix.size());
    std::uint64_t fingerprint = 0;
    const auto [end, failed] = std::from_chars(key.data(), key.data() + key.size(), fingerprint);
    return failed == std::errc{} && end == key.data() + key.size() ? std::optional{fingerprint}
                                                                   : std::nullopt;
}

std::string encode(const std::set<std::uint64_t>& fingerprints)
{
    Json::Value values(Json::arrayValue);
    for (const auto fingerprint : fingerprints)
        values.append(to_json(fingerprint));
    return json_text(values);
}

std::optional<std::set<std::uint64_t>> decode(const std::string& text)
{
    const auto parsed = parse_json(text, "crash record");
    const auto* values = std::get_if<Json::Value>(&parsed);
    if (values == nullptr || !values->isArray())
        return std::nullopt;
    std::set<std::uint64_t> fingerprints;
    for (const auto& value : *values) {
        if (!value.isUInt64())
            return std::nullopt;
        fingerprints.insert(value.asUInt64());
    }
    return fingerprints;
}

} // namespace

crash_fingerprints crash_fingerprints_of(std::string_view caller,
                                         std::initializer_list<std::string_view> content)
{
    std::uint64_t hash = 0;
    for (const auto part : content)
        hash = XXH64(part.data(), part.size(), hash);
    const auto caller_hash = XXH64(caller.data(), caller.size(), hash);
    // The lower half of the caller's fingerprint must not be zero.
    return {hash & content_mask, (hash & content_mask) | (caller_hash & ~content_mask) | 1U};
}

std::string encode_crash_records(const std::vector<crash_record>& records)
{
    Json::Value rows(Json::arrayValue);
    for (const auto& record : records) {
        Json::Value row(Json::arrayValue);
        row.append(record.key);
        row.append(record.value ? Json::Value{*record.value} : Json::Value{});
        rows.append(row);
    }
    return json_text(rows);
}

std::optional<std::vector<crash_record>> decode_crash_records(std::string_view text)
{
    const auto parsed = parse_json(text, "crash records");
    const auto* rows = std::get_if<Json::Value>(&parsed);
    if (rows == nullptr || !rows->isArray())
        return std::nullopt;
    std::vector<crash_record> records;
    for (const auto& row : *rows) {
        if (!row.isArray() || row.size() != 2 || !row[0].isString() ||
            !(row[1].isNull() || row[1].isString()))
            return std::nullopt;
        crash_record record{row[0].asString(), std::nullopt};
        if (row[1].isString())
            record.value = row[1].asString();
        records.push_back(std::move(record));
    }
    return records;
}

crash_quarantine::crash_quarantine(std::string instance, crash_quarantine_settings settings)
    : instance_(std::move(instance)), settings_(settings)
{
}

void crash_quarantine::on_attempt_lost(const std::string& incarnation, std::uint64_t fingerprint,
                                       time_point now)
{
    auto& attempts = lost_attempts_[incarnation];
    if (attempts.size() >= max_lost_attempts)
        attempts.erase(attempts.begin());
    attempts.push_back({fingerprint, now});
}

bool crash_quarantine::has_lost_attempts(const std::string& incarnation) const
{
    return lost_attempts_.contains(incarnation);
}

bool crash_quarantine::is_reported(const std::string& incarnation) const
{
    const auto prefix = incarnation + key_separator;
    const auto found = reports_.lower_bound(prefix);
    return found != reports_.end() && found->first.starts_with(prefix);
}

bool crash_quarantine::on_target_ended(const std::string& incarnation, time_point now)
{
    const auto found = lost_attempts_.find(incarnation);
    if (found == lost_attempts_.end())
        return false;
    std::set<std::uint64_t> fingerprints;
    for (const auto& attempt : found->second)
        if (now - attempt.at < lost_attempt_lifetime)
            fingerprints.insert(attempt.fingerprint);
    lost_attempts_.erase(found);
    if (fingerprints.empty())
        return false;
    for (const auto fingerprint : std::set(fingerprints))
        if (is_content(fingerprint) && !completed_.contains(fingerprint))
            fingerprints.insert(fingerprint + never_completed);
    const auto key = incarnation + key_separator + instance_;
    if (const auto reported = reports_.find(key); reported != reports_.end())
        fingerprints.insert(reported->second.fingerprints.begin(), reported->second.fingerprints.end());
    set_report(key, std::move(fingerprints), now);
    changed_keys_.insert(key);
    return true;
}

void crash_quarantine::add_completed(std::uint64_t fingerprint)
{
    if (!completed_.insert(fingerprint).second)
        return;
    completed_order_.push_back(fingerprint);
    if (completed_order_.size() > max_completed) {
        completed_.erase(completed_order_.front());
        completed_order_.pop_front();
    }
}

bool crash_quarantine::has_other_suspect(std::uint64_t fingerprint) const
{
    const auto keys = keys_by_fingerprint_.find(fingerprint);
    if (keys == keys_by_fingerprint_.end())
        return false;
    std::map<std::uint64_t, std::set<std::string_view>> incarnations_by_fingerprint;
    for (const auto& key : keys->second) {
        const auto& reported = reports_.at(key);
        for (const auto suspect : reported.fingerprints)
            incarnations_by_fingerprint[suspect].insert(reported.incarnation);
    }
    const auto count = incarnations_by_fingerprint[fingerprint].size();
    return std::ranges::any_of(incarnations_by_fingerprint, [&](const auto& suspect) {
        const bool other_content = ((suspect.first ^ fingerprint) & content_mask) != 0;
        return other_content && suspect.second.size() == count;
    });
}

std::set<std::uint64_t> crash_quarantine::suspected_callers(std::uint64_t fingerprint) const
{
    std::set<std::uint64_t> callers;
    const auto keys = keys_by_fingerprint_.find(fingerprint);
    if (keys == keys_by_fingerprint_.end() || !is_content(fingerprint))
        return callers;
    for (const auto& key : keys->second)
        for (const auto other : reports_.at(key).fingerprints)
            if (is_caller(other) && (other & content_mask) == fingerprint)
                callers.insert(other);
    return callers;
}

std::optional<crash_record> crash_quarantine::next_trial(std::uint64_t fingerprint, time_point now) const
{
    const bool several_callers = suspected_callers(fingerprint).size() > 1;
    const bool is_second = several_callers && trials_.contains(fingerprint);
    const auto trial = is_second ? fingerprint + second_trial : fingerprint;
    if (trials_.contains(trial) || crashes(fingerprint) < settings_.crashes ||
        !(completed_.contains(fingerprint) || has_other_suspect(fingerprint) || several_callers))
        return std::nullopt;
    const bool recent =
        std::ranges::any_of(trials_, [&](const auto& other) { return now - other.second < trial_interval; });
    if (recent)
        return std::nullopt;
    return crash_record{trial_key(trial), trial_value};
}

bool crash_quarantine::is_trial_reserved(const crash_fingerprints& request, time_point now) const
{
    const auto times = crash_times(request.content);
    if (times.empty() || now - times.back() >= trial_reservation || completed_.contains(request.caller))
        return false;
    if (completed_.contains(request.content))
        return true;
    const auto first_trial = trials_.find(request.content);
    const auto keys = keys_by_fingerprint_.find(request.caller);
    return first_trial != trials_.end() && keys != keys_by_fingerprint_.end() &&
           std::ranges::any_of(keys->second, [&](const auto& key) {
               return reports_.at(key).reported_at >= first_trial->second;
           });
}

void crash_quarantine::withdraw_trial(std::uint64_t trial)
{
    if (trials_.erase(trial) > 0)
        changed_keys_.insert(trial_key(trial));
}

void crash_quarantine::on_request_completed(std::uint64_t fingerprint)
{
    add_completed(fingerprint);
    withdraw_trial(fingerprint);
    if (is_content(fingerprint))
        withdraw_trial(fingerprint + second_trial);
    const auto found = keys_by_fingerprint_.find(fingerprint);
    if (found == keys_by_fingerprint_.end())
        return;
    for (const auto& key : std::set(found->second)) {
        const auto& reported = reports_.at(key);
        auto fingerprints = reported.fingerprints;
        fingerprints.erase(fingerprint);
        if (is_content(fingerprint))
            fingerprints.erase(fingerprint + never_completed);
        set_report(key, std::move(fingerprints), reported.reported_at);
        changed_keys_.insert(key);
    }
}

void crash_quarantine::on_target_alive(const std::string& incarnation, time_point sent_at)
{
    if (const auto found = lost_attempts_.find(incarnation); found != lost_attempts_.end()) {
        std::erase_if(found->second, [&](const lost_attempt& attempt) { return attempt.at < sent_at; });
        if (found->second.empty())
            lost_attempts_.erase(found);
    }
    const auto prefix = incarnation + key_separator;
    for (auto entry = reports_.lower_bound(prefix);
         entry != reports_.end() && entry->first.starts_with(prefix);) {
        const auto current = entry++;
        if (current->second.reported_at >= sent_at)
            continue;
        const auto key = current->first;
        set_report(key, {}, sent_at);
        changed_keys_.insert(key);
    }
}

void crash_quarantine::set_report(const std::string& key, std::set<std::uint64_t> fingerprints,
                                  time_point now)
{
    if (const auto found = reports_.find(key); found != reports_.end()) {
        for (const auto fingerprint : found->second.fingerprints) {
            const auto keys = keys_by_fingerprint_.find(fingerprint);
            keys->second.erase(key);
            if (keys->second.empty())
                keys_by_fingerprint_.erase(keys);
        }
        reports_.erase(found);
    }
    if (fingerprints.empty())
        return;
    if (reports_.size() >= max_reports) {
        const auto oldest = std::ranges::min_element(
            reports_, {}, [](const auto& entry) { return entry.second.reported_at; });
        set_report(std::string{oldest->first}, {}, now);
    }
    for (const auto fingerprint : fingerprints)
        keys_by_fingerprint_[fingerprint].insert(key);
    reports_.emplace(key, report{incarnation_of(key), std::move(fingerprints), now});
}

bool crash_quarantine::apply(const crash_record& record, time_point now)
{
    if (changed_keys_.contains(record.key))
        return true;
    if (const auto fingerprint = fingerprint_of_trial(record.key)) {
        if (record.value)
            trials_.try_emplace(*fingerprint, now);
        else
            trials_.erase(*fingerprint);
        return true;
    }
    if (!record.value) {
        set_report(record.key, {}, now);
        return true;
    }
    auto fingerprints = decode(*record.value);
    if (!fingerprints)
        return false;
    const auto found = reports_.find(record.key);
    if (found == reports_.end() || found->second.fingerprints != *fingerprints)
        set_report(record.key, std::move(*fingerprints), now);
    return true;
}

void crash_quarantine::retain(const std::set<std::string, std::less<>>& keys, time_point now)
{
    std::vector<std::string> missing;
    for (const auto& [key, reported] : reports_)
        if (!keys.contains(key) && !changed_keys_.contains(key))
            missing.push_back(key);
    for (const auto& key : missing)
        set_report(key, {}, now);
    std::erase_if(trials_, [&](const auto& trial) {
        const auto key = trial_key(trial.first);
        return !keys.contains(key) && !changed_keys_.contains(key);
    });
}

void crash_quarantine::on_trial_claimed(const crash_record& record, time_point now)
{
    apply(record, now);
    if (const auto fingerprint = fingerprint_of_trial(record.key))
        claimed_trials_.insert(*fingerprint);
}

std::size_t crash_quarantine::share_missing(const std::set<std::string, std::less<>>& keys)
{
    std::set<std::string> missing;
    for (const auto& [key, reported] : reports_)
        if (key.ends_with(key_separator + instance_) && !keys.contains(key))
            missing.insert(key);
    for (const auto fingerprint : claimed_trials_)
        if (trials_.contains(fingerprint) && !keys.contains(trial_key(fingerprint)))
            missing.insert(trial_key(fingerprint));
    changed_keys_.insert(missing.begin(), missing.end());
    return missing.size();
}

std::vector<crash_record> crash_quarantine::extract_changes()
{
    std::vector<crash_record> changes;
    for (const auto& key : changed_keys_) {
        std::optional<std::string> value;
        if (const auto fingerprint = fingerprint_of_trial(key); fingerprint && trials_.contains(*fingerprint))
            value = trial_value;
        else if (const auto found = reports_.find(key); found != reports_.end())
            value = encode(found->second.fingerprints);
        changes.push_back({key, std::move(value)});
    }
    changed_keys_.clear();
    return changes;
}

void crash_quarantine::restore_changes(const std::vector<crash_record>& records)
{
    for (const auto& record : records)
        changed_keys_.insert(record.key);
}

void crash_quarantine::remove_expired(time_point now, bool withdraw)
{
    std::erase_if(lost_attempts_,
                  [&](const auto& entry) { return now - entry.second.back().at >= lost_attempt_lifetime; });
    std::vector<std::string> expired;
    std::erase_if(trials_, [&](const auto& trial) {
        const bool over = now - trial.second >= settings_.lifetime;
        if (over)
            expired.push_back(trial_key(trial.first));
        return over;
    });
    std::erase_if(claimed_trials_, [&](auto trial) { return !trials_.contains(trial); });
    for (const auto& [key, reported] : reports_)
        if (now - reported.reported_at >= settings_.lifetime)
            expired.push_back(key);
    for (const auto& key : expired) {
        set_report(key, {}, now);
        if (withdraw)
            changed_keys_.insert(key);
    }
}

std::vector<time_point> crash_quarantine::crash_times(std::uint64_t fingerprint) const
{
    const auto found = keys_by_fingerprint_.find(fingerprint);
    if (found == keys_by_fingerprint_.end())
        return {};
    struct crash {
        time_point last{};
        std::set<std::uint64_t> callers;
        bool completed = false;
    };
    std::map<std::string, crash> crashes;
    for (const auto& key : found->second) {
        const auto& reported = reports_.at(key);
        auto& entry = crashes[reported.incarnation];
        entry.last = std::max(entry.last, reported.reported_at);
        if (!is_content(fingerprint) || !reported.fingerprints.contains(fingerprint + never_completed)) {
            entry.completed = true;
            continue;
        }
        for (auto other = reported.fingerprints.upper_bound(fingerprint);
             other != reported.fingerprints.end() && (*other & content_mask) == fingerprint; ++other)
            if (is_caller(*other))
                entry.callers.insert(*other);
    }
    std::vector<time_point> sorted;
    for (const auto& [incarnation, entry] : crashes) {
        const auto count = entry.completed ? 1 : std::max<std::size_t>(entry.callers.size(), 1);
        sorted.insert(sorted.end(), std::min<std::size_t>(count, settings_.crashes), entry.last);
    }
    std::ranges::sort(sorted);
    return sorted;
}

unsigned crash_quarantine::crashes(std::uint64_t fingerprint) const
{
    return static_cast<unsigned>(crash_times(fingerprint).size());
}

milliseconds crash_quarantine::quarantine_time(std::uint64_t fingerprint, time_point now) const
{
    const auto times = crash_times(fingerprint);
    if (times.size() < settings_.crashes)
        return milliseconds{0};
    const auto last_needed = times[times.size() - settings_.crashes];
    return std::max(std::chrono::ceil<milliseconds>(last_needed + settings_.lifetime - now), milliseconds{1});
}

} // namespace teaseltally
