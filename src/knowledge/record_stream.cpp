#include <teaseltally/knowledge/record_stream.hpp>

#include <algorithm>

namespace teaseltally {

bool record_stream::take_snapshot(const std::vector<stream_record>& records, std::uint64_t next)
{
    if (known_ && next < next_)
        return false;
    newest_.clear();
    changes_.clear();
    for (const auto& record : records)
        newest_.insert_or_assign(record.key, record);
    known_ = true;
    next_ = complete_from_ = next;
    return true;
}

bool record_stream::take(const stream_record& record, bool significant)
{
    if (!known_ || record.offset < next_)
        return false;
    next_ = record.offset + 1;
    if (record.value)
        newest_.insert_or_assign(record.key, record);
    else
        newest_.erase(record.key);
    if (!significant)
        return true;
    changes_.push_back(record);
    if (changes_.size() > most_changes) {
        complete_from_ = changes_.front().offset + 1;
        changes_.pop_front();
    }
    return true;
}

void record_stream::caught_up(time_point sent, std::uint64_t next)
{
    next_ = std::max(next_, next);
    read_sent_ = std::max(read_sent_, sent);
}

bool record_stream::has_news(std::optional<std::uint64_t> from) const
{
    if (!known_)
        return false;
    if (!from || *from < complete_from_)
        return true;
    return !changes_.empty() && changes_.back().offset >= *from;
}

stream_delta record_stream::since(std::optional<std::uint64_t> from, time_point now) const
{
    stream_delta delta;
    delta.next = next_;
    delta.age = std::chrono::duration_cast<milliseconds>(now - read_sent_);
    if (outage_over_ != time_point{})
        delta.outage_age = std::chrono::duration_cast<milliseconds>(now - outage_over_);
    if (!known_)
        return delta;
    if (!from || *from < complete_from_) {
        delta.snapshot = true;
        for (const auto& [key, record] : newest_)
            delta.records.push_back(record);
        return delta;
    }
    for (const auto& record : changes_)
        if (record.offset >= *from)
            delta.records.push_back(record);
    return delta;
}

} // namespace teaseltally
