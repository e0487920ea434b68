#include <teaseltally/knowledge/record_stream.hpp>

#include <algorithm>
#include <utility>

namespace teaseltally {
namespace {

/// Differences are kept until they take this part of the size of the value.
constexpr std::size_t max_history_share = 4;

} // namespace

const stream_record* record_stream::find(std::string_view key) const
{
    const auto found = latest_records_.find(key);
    return found == latest_records_.end() ? nullptr : &found->second;
}

std::vector<std::string> record_stream::suffixes_of_keys(std::string_view prefix) const
{
    std::vector<std::string> suffixes;
    for (auto record = latest_records_.lower_bound(prefix);
         record != latest_records_.end() && record->first.starts_with(prefix); ++record)
        suffixes.push_back(record->first.substr(prefix.size()));
    return suffixes;
}

snapshot_effect record_stream::apply_snapshot(const std::vector<stream_record>& records, log_position next,
                                              const snapshot_precedence& known)
{
    snapshot_effect effect;
    if (!accepts_snapshot(next))
        return effect;
    effect.applied = true;
    era_changed_ = era_changed_ || (has_snapshot_ && next.era > next_.era);
    auto previous = std::exchange(latest_records_, {});
    changes_.clear();
    for (const auto& record : records) {
        auto kept = previous.extract(record.key);
        if (!known.outdated.contains(record.key)) {
            record_history(kept.empty() ? nullptr : &kept.mapped(), record);
            store(record);
            continue;
        }
        ++effect.kept;
        if (kept.empty())
            continue;
        kept.mapped().position = record.position;
        latest_records_.insert(std::move(kept));
    }
    if (known.keeps_missing) {
        effect.kept += previous.size();
        for (auto& [key, record] : previous)
            record.position = {next.era, 0};
        latest_records_.merge(previous);
    }
    effect.dropped = previous.size();
    std::erase_if(histories_, [&](const auto& history) { return find(history.first) == nullptr; });
    has_snapshot_ = true;
    next_ = changes_from_ = next;
    return effect;
}

bool record_stream::apply(stream_record record, bool significant)
{
    if (!skip(record))
        return false;
    record_history(find(record.key), record);
    if (significant) {
        std::erase_if(changes_, [&](const change& earlier) { return earlier.key == record.key; });
        changes_.push_back({record.key, record.position});
        if (changes_.size() > max_changes) {
            changes_from_ = changes_.front().position.after(1);
            changes_.pop_front();
        }
    }
    if (record.value)
        store(std::move(record));
    else
        latest_records_.erase(record.key);
    return true;
}

void record_stream::store(stream_record record)
{
    record.differences.reset();
    auto key = record.key;
    latest_records_.insert_or_assign(std::move(key), std::move(record));
}

void record_stream::record_history(const stream_record* earlier, const stream_record& record)
{
    if (!record.value || record.value->size() < min_large_value) {
        histories_.erase(record.key);
        return;
    }
    auto& history = histories_[record.key];
    if (earlier == nullptr || !earlier->value || history.digest == 0) {
        history = {text_digest(*record.value), {}, 0};
        return;
    }
    std::vector<text_difference> differences;
    if (record.differences != nullptr)
        differences = *record.differences;
    else
        differences.push_back(difference_between(*earlier->value, *record.value));
    for (auto& difference : differences) {
        if (difference.from == difference.to)
            continue;
        // What the difference starts from is not what the history ends with if versions were left out.
        if (difference.from != history.digest)
            history = {difference.from, {}, 0};
        history.digest = difference.to;
        history.size += difference.size();
        history.differences.push_back(std::move(difference));
    }
    while (history.size > record.value->size() / max_history_share && !history.differences.empty()) {
        history.size -= history.differences.front().size();
        history.differences.pop_front();
    }
}

std::uint64_t record_stream::large_value_digest() const noexcept
{
    return histories_.empty() ? 0 : histories_.begin()->second.digest;
}

std::uint64_t record_stream::digest_of(std::string_view key) const
{
    const auto found = histories_.find(key);
    return found == histories_.end() ? 0 : found->second.digest;
}

std::vector<const text_difference*> record_stream::differences_since(std::string_view key,
                                                                     std::uint64_t digest) const
{
    std::vector<const text_difference*> differences;
    const auto found = histories_.find(key);
    if (found == histories_.end())
        return differences;
    const auto& known = found->second.differences;
    const auto first = std::ranges::find(known, digest, &text_difference::from);
    for (auto at = first; at != known.end(); ++at)
        differences.push_back(&*at);
    return differences;
}

bool record_stream::skip(const stream_record& record)
{
    if (!expects(record.position))
        return false;
    next_ = record.position.after(1);
    return true;
}

void record_stream::confirm(std::string_view key)
{
    if (const auto found = latest_records_.find(key); found != latest_records_.end())
        found->second.held_back = false;
}

void record_stream::mark_caught_up(time_point sent, log_position end)
{
    if (end.era != next_.era)
        return;
    next_ = std::max(next_, end);
    last_read_sent_ = std::max(last_read_sent_, sent);
}

bool record_stream::has_changes_since(std::optional<log_position> from) const
{
    if (!has_snapshot_)
        return false;
    if (!from || *from < changes_from_)
        return true;
    return !changes_.empty() && changes_.back().position >= *from;
}

stream_delta record_stream::delta_since(std::optional<log_position> from, time_point now) const
{
    stream_delta delta;
    delta.next = next_;
    delta.age = std::chrono::duration_cast<milliseconds>(now - last_read_sent_);
    if (last_outage_end_ != time_point{})
        delta.outage_age = std::chrono::duration_cast<milliseconds>(now - last_outage_end_);
    if (!has_snapshot_)
        return delta;
    if (!from || *from < changes_from_) {
        delta.snapshot = true;
        for (const auto& [key, record] : latest_records_)
            delta.records.push_back(record);
        return delta;
    }
    for (const auto& [key, position] : changes_) {
        if (position < *from)
            continue;
        const auto* latest = find(key);
        delta.records.push_back(latest == nullptr ? stream_record{key, std::nullopt, position} : *latest);
    }
    // The latest record of a key can be a later one that need not be received immediately.
    std::ranges::stable_sort(delta.records, {}, &stream_record::position);
    return delta;
}

} // namespace teaseltally
