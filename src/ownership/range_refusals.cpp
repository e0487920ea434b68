#include <teaseltally/ownership/range_refusals.hpp>

#include <algorithm>

namespace teaseltally {
namespace {

/// Pause after the first refusal, the time that a grant takes to reach its target, and the longest one, after
/// which a caller that waits has had time for a return.
constexpr milliseconds min_pause{100};
constexpr milliseconds max_pause{800};
/// Time for which the result of one request is awaited before another one is sent.
constexpr milliseconds max_probe_time{1000};
/// Time after the last pause for which a refusal is remembered; a refusal after that is a first one.
constexpr milliseconds memory_time{5000};

} // namespace

bool range_refusals::may_send(const range_assignment& range, time_point now) const
{
    const auto found = refused_.find(range);
    return found == refused_.end() || (now >= found->second.held_until && now >= found->second.probing_until);
}

std::optional<time_point> range_refusals::refused_since(const range_assignment& range, time_point now) const
{
    const auto found = refused_.find(range);
    if (found == refused_.end() || now >= found->second.held_until || now < found->second.probing_until)
        return std::nullopt;
    return found->second.since;
}

void range_refusals::on_sent(const range_assignment& range, time_point now)
{
    if (const auto found = refused_.find(range); found != refused_.end())
        found->second.probing_until = now + max_probe_time;
}

void range_refusals::on_refused(const range_assignment& range, time_point sent_at, time_point now)
{
    const auto [found, is_new] = refused_.try_emplace(range);
    auto& state = found->second;
    if (is_new)
        state.since = now;
    else if (sent_at < state.held_until)
        return;
    state.pause = is_new ? min_pause : std::min(state.pause * 2, max_pause);
    state.held_until = now + state.pause;
    state.probing_until = {};
}

void range_refusals::remove_expired(time_point now)
{
    std::erase_if(refused_, [&](const auto& element) {
        return std::max(element.second.held_until, element.second.probing_until) + memory_time < now;
    });
}

std::optional<time_point> former_grants_end(const ownership_log& log, const owned_range& range)
{
    std::optional<time_point> end;
    for (const auto& former : range.former_owners) {
        if (!former.grants_left)
            return std::nullopt;
        const auto expired_at = log.latest_reassignment_time(range, former) + *former.grants_left;
        end = std::max(end.value_or(expired_at), expired_at);
    }
    return end;
}

} // namespace teaseltally
