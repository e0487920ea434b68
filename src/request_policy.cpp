#include <teaseltally/request_policy.hpp>

#include <algorithm>
#include <xxhash.h>

namespace teaseltally {
namespace {

/// Maximum number of retries that a budget accumulates; limits a burst of retries.
constexpr double max_tokens = 10.0;
constexpr double percent_divisor = 100.0;
constexpr std::size_t max_fingerprints = 4096;
/// Additional cost of a target in another data centre, in mean latencies.
constexpr double remote_data_centre_cost = 0.5;

/// Returns the expected latency of a request at a target, in microseconds. A penalty is added if an attempt
/// has already failed at the target, so that it costs more than any untried target.
double cost_of(const target_candidate& candidate)
{
    const double load = (candidate.outstanding + 1.0) / std::max(1U, candidate.slots);
    const double mean_latency = std::max<double>(1.0, static_cast<double>(candidate.mean_latency.count()));
    return (load + candidate.reported_utilisation + (candidate.local ? 0.0 : remote_data_centre_cost)) *
               mean_latency +
           (candidate.already_tried ? 1e12 : 0.0);
}

} // namespace

void retry_budget::deposit() noexcept
{
    tokens_ = std::min(max_tokens, tokens_ + percent_ / percent_divisor);
}

bool retry_budget::try_withdraw() noexcept
{
    if (tokens_ < 1.0)
        return false;
    tokens_ -= 1.0;
    return true;
}

std::uint32_t quarantine_table::record_crash(std::uint64_t fingerprint, std::uint32_t crashes, time_point now,
                                             milliseconds lifetime)
{
    std::erase_if(entries_, [&](const auto& element) { return element.second.expires <= now; });
    if (!entries_.contains(fingerprint) && entries_.size() >= max_fingerprints) {
        const auto oldest = std::ranges::min_element(
            entries_, {}, [](const auto& element) { return element.second.expires; });
        entries_.erase(oldest);
    }
    entry& crash_entry = entries_[fingerprint];
    crash_entry.crashes += crashes;
    crash_entry.expires = now + lifetime;
    return crash_entry.crashes;
}

bool quarantine_table::is_quarantined(std::uint64_t fingerprint, std::uint32_t limit, time_point now) const
{
    const auto found = entries_.find(fingerprint);
    return found != entries_.end() && found->second.expires > now && found->second.crashes >= limit;
}

std::vector<std::pair<std::uint64_t, std::uint32_t>> quarantine_table::list(time_point now) const
{
    std::vector<std::pair<std::uint64_t, std::uint32_t>> out;
    for (const auto& [fingerprint, entry] : entries_) {
        if (entry.expires > now)
            out.emplace_back(fingerprint, entry.crashes);
    }
    return out;
}

std::uint64_t fingerprint_of(std::string_view method, std::string_view path, std::string_view body)
{
    std::uint64_t hash = XXH64(method.data(), method.size(), 0);
    hash = XXH64(path.data(), path.size(), hash);
    return XXH64(body.data(), body.size(), hash);
}

std::size_t choose_target(std::span<const target_candidate> targets, std::uint64_t random)
{
    if (targets.empty())
        return 0;
    const std::size_t first = (random & 0xffff'ffffU) % targets.size();
    if (targets.size() == 1)
        return first;
    std::size_t second = (random >> 32U) % (targets.size() - 1);
    second += second >= first ? 1 : 0;
    const bool any_untried = !targets[first].already_tried || !targets[second].already_tried;
    if (!any_untried) {
        const auto lowest_cost = std::ranges::min_element(targets, {}, cost_of);
        return static_cast<std::size_t>(lowest_cost - targets.begin());
    }
    return cost_of(targets[first]) <= cost_of(targets[second]) ? first : second;
}

} // namespace teaseltally
