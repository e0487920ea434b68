#include <teaseltally/ownership/assignment.hpp>

#include <algorithm>

namespace teaseltally {
namespace {

/// Number of fencing tokens whose read times are kept.
constexpr std::size_t max_read_times = 4096;

} // namespace

void ownership_log::set_position(log_position position) noexcept
{
    if (position.era > position_.era && position_.offset > 0)
        earlier_end_ = position_;
    position_ = std::max(position_, position);
}

log_position ownership_log::written_at(log_position position, std::optional<std::uint64_t> era) const noexcept
{
    if (!guards_.era_in_record_order)
        return position;
    if (era)
        return {std::min(*era, position.era), position.offset};
    // A build that knew no eras wrote the record. Where the log of the earlier era was known to have a
    // record, it is taken for that one, which came back with the copy.
    if (earlier_end_ && position.era > earlier_end_->era && position.offset < earlier_end_->offset)
        return {earlier_end_->era, position.offset};
    return position;
}

bool ownership_log::is_lost_append(log_position position, std::optional<std::uint64_t> era) const noexcept
{
    return guards_.era_in_record_order && era && earlier_end_ && *era < position.era &&
           *era == earlier_end_->era && position.offset < earlier_end_->offset;
}

bool ownership_log::accept(time_point now, std::string_view key, log_position position,
                           std::optional<std::uint64_t> era)
{
    const auto written = written_at(position, era);
    auto& history = histories_[std::string{key}];
    const auto written_end = written.after(1);
    const auto read_end = position.after(1);
    if (written_end <= history.written_end || is_lost_append(position, era)) {
        if (read_end > history.read_end) {
            history.read_end = read_end;
            history.shadowed = written_end != history.written_end;
        }
        return false;
    }
    history.written_end = written_end;
    history.shadowed = read_end < history.read_end;
    history.read_end = std::max(history.read_end, read_end);
    last_record_at_ = now;
    return true;
}

std::optional<error> ownership_log::apply(time_point now, std::string_view key, std::string_view value,
                                          log_position position)
{
    set_position(position.after(1));
    if (key == claim_key) {
        auto decoded = decode_claim(value);
        if (const auto* problem = failure(decoded)) {
            static_cast<void>(accept(now, key, position, std::nullopt));
            return *problem;
        }
        auto& claim = std::get<coordinator_claim>(decoded);
        const auto written = written_at(position, claim.era);
        if (!accept(now, key, position, claim.era))
            return std::nullopt;
        // The same process may claim the role again after it has given it up.
        if (!claim_ || claim_->resigned || claim_->session != claim.session || claim_->began != claim.began)
            term_ = written;
        claim_ = std::move(claim);
        claim_written_ = written;
        claim_read_at_ = now;
        return std::nullopt;
    }
    if (!key.starts_with(service_prefix)) {
        static_cast<void>(accept(now, key, position, position.era));
        return std::nullopt;
    }
    auto decoded = decode_assignment_record(value);
    if (const auto* problem = failure(decoded)) {
        static_cast<void>(accept(now, key, position, std::nullopt));
        return *problem;
    }
    auto& record = std::get<assignment_record>(decoded);
    if (!accept(now, key, position, record.era))
        return std::nullopt;
    for (const auto& range : record.value.ranges())
        read_times_.emplace(range.fence, now);
    while (read_times_.size() > max_read_times)
        read_times_.erase(read_times_.begin());
    services_[std::string{key.substr(service_prefix.size())}] = std::move(record.value);
    return std::nullopt;
}

bool ownership_log::has_assignment_of_earlier_era() const
{
    return std::ranges::any_of(histories_, [&](const auto& history) {
        return history.first.starts_with(service_prefix) && history.second.written_end.era < position_.era;
    });
}

bool ownership_log::is_shadowed(std::string_view service) const
{
    const auto found = histories_.find(std::string{service_prefix} + std::string{service});
    return found != histories_.end() && found->second.shadowed;
}

std::int64_t ownership_log::next_fence_origin() const
{
    if (!claim_ && services_.empty())
        return static_cast<std::int64_t>(std::min(position_.era, first_era));
    if (claim_ && claim_->fence_origin)
        return *claim_->fence_origin;
    // Builds that knew no eras gave plain offsets, and any era in the tokens is that of a claim before them.
    // The token must stay comparable with theirs until the era rises.
    std::uint64_t highest = 0;
    for (const auto& [service, value] : services_)
        for (const auto& range : value.ranges())
            highest = std::max(highest, range.fence);
    // Era 0 says that the reader of the claim knew none, as through the feed of an older build.
    const auto era = claim_ && claim_written_.era > 0 ? claim_written_.era : position_.era;
    return static_cast<std::int64_t>(era) - static_cast<std::int64_t>(highest >> fence_offset_bits);
}

time_point ownership_log::latest_reassignment_time(const owned_range& range, const former_owner& former) const
{
    const auto found = read_times_.lower_bound(range.fence);
    const auto read_at = found == read_times_.end() ? last_record_at_ : found->second;
    if (!claim_ || claim_->log_time <= former.reassigned_at)
        return read_at;
    // The log time goes back when a copy of the store returns. The difference is still a lower bound: the
    // latest claim follows from the one that the copy held, or from a later one, and the first claim of an
    // era that does not continue an earlier one sets the times of all former owners to its own log time.
    return std::min<time_point>(read_at, claim_read_at_ - (claim_->log_time - former.reassigned_at));
}

std::optional<time_point> ownership_log::latest_term_begin() const
{
    if (!claim_ || !claim_->began)
        return std::nullopt;
    return claim_read_at_ - (claim_->log_time - *claim_->began);
}

milliseconds ownership_log::log_time(time_point now) const noexcept
{
    if (!claim_)
        return milliseconds{0};
    const auto since_claim = std::chrono::duration_cast<milliseconds>(now - claim_read_at_);
    return claim_->log_time + since_claim - since_claim / clock_error_divisor;
}

const assignment* ownership_log::find(std::string_view service) const
{
    const auto found = services_.find(service);
    return found == services_.end() ? nullptr : &found->second;
}

} // namespace teaseltally
