#include <teaseltally/knowledge/record_stream.hpp>

#include <algorithm>

namespace teaseltally {

bool record_stream::apply_snapshot(const std::vector<stream_record>& records, std::uint64_t next_offset)
{
    if (has_snapshot_ && next_offset < next_offset_)
        return false;
    latest_records_.clear();
    changes_.clear();
    for (const auto& record : records)
        latest_records_.insert_or_assign(record.key, record);
    has_snapshot_ = true;
    next_offset_ = changes_from_ = next_offset;
    return true;
}

bool record_stream::apply(const stream_record& record, bool significant)
{
    if (!has_snapshot_ || record.offset < next_offset_)
        return false;
    next_offset_ = record.offset + 1;
    if (record.value)
        latest_records_.insert_or_assign(record.key, record);
    else
        latest_records_.erase(record.key);
    if (!significant)
        return true;
    changes_.push_back(record);
    if (changes_.size() > max_changes) {
        changes_from_ = changes_.front().offset + 1;
        changes_.pop_front();
    }
    return true;
}

void record_stream::mark_caught_up(time_point sent, std::uint64_t next_offset)
{
    next_offset_ = std::max(next_offset_, next_offset);
    last_read_sent_ = std::max(last_read_sent_, sent);
}

bool record_stream::has_changes_since(std::optional<std::uint64_t> from) const
{
    if (!has_snapshot_)
        return false;
    if (!from || *from < changes_from_)
        return true;
    return !changes_.empty() && changes_.back().offset >= *from;
}

stream_delta record_stream::delta_since(std::optional<std::uint64_t> from, time_point now) const
{
    stream_delta delta;
    delta.next_offset = next_offset_;
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
    for (const auto& record : changes_)
        if (record.offset >= *from)
            delta.records.push_back(record);
    return delta;
}

} // namespace teaseltally
