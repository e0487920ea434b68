#include <teaseltally/dispatch_ledger.hpp>

#include <algorithm>

namespace teaseltally {
namespace {

/// Weight of the newest measurement period in the moving averages.
constexpr double load_weight = 0.3;
/// Maximum numbers of slots and of keys in a load report.
constexpr std::size_t max_reported_slots = 48;
constexpr std::size_t max_reported_keys = 8;
/// Average load below which an entry is removed, in milliseconds per second.
constexpr double min_average_load = 0.01;

} // namespace

void load_averages::add(std::uint64_t slot_or_key, microseconds busy_time)
{
    if (!entries_.contains(slot_or_key) && entries_.size() >= capacity_) {
        const auto least_loaded = std::ranges::min_element(entries_, {}, [](const auto& element) {
            return std::pair{element.second.recent, element.second.average};
        });
        entries_.erase(least_loaded);
    }
    entries_[slot_or_key].recent += busy_time;
}

void load_averages::update_averages(microseconds elapsed)
{
    if (elapsed.count() <= 0)
        return;
    for (auto& [slot_or_key, entry] : entries_) {
        const double recent =
            static_cast<double>(entry.recent.count()) * 1e3 / static_cast<double>(elapsed.count());
        entry.average += load_weight * (recent - entry.average);
        entry.recent = {};
    }
    std::erase_if(entries_, [](const auto& element) { return element.second.average < min_average_load; });
}

std::vector<load_entry> load_averages::top(std::size_t count) const
{
    std::vector<load_entry> loads;
    for (const auto& [slot_or_key, entry] : entries_)
        loads.push_back({slot_or_key, static_cast<std::uint32_t>(entry.average)});
    std::ranges::sort(loads, [](const load_entry& left, const load_entry& right) {
        return left.load != right.load ? left.load > right.load : left.slot_or_key < right.slot_or_key;
    });
    if (loads.size() > count)
        loads.resize(count);
    return loads;
}

ticket_id dispatch_ledger::begin(const dispatched_request& request)
{
    const ticket_id ticket{next_ticket_++};
    dispatched_.emplace(ticket, request);
    return ticket;
}

void dispatch_ledger::finish(ticket_id ticket, bool known_ended, time_point now)
{
    const auto found = dispatched_.find(ticket);
    if (found == dispatched_.end())
        return;
    const auto& request = found->second;
    const microseconds busy_time = now - request.started;
    auto& load = loads_[request.target];
    load.total.add(0, busy_time);
    load.slots.add(number(request.slot), busy_time);
    load.keys.add(number(request.key), busy_time);
    if (known_ended)
        dispatched_.erase(found);
    else
        found->second.outcome_unknown = true;
}

void dispatch_ledger::remove_expired(time_point now, milliseconds margin)
{
    std::erase_if(dispatched_, [&](const auto& element) {
        return element.second.outcome_unknown && now >= element.second.deadline + margin;
    });
}

bool dispatch_ledger::is_busy(target_id target) const
{
    return std::ranges::any_of(dispatched_,
                               [&](const auto& element) { return element.second.target == target; });
}

bool dispatch_ledger::is_slot_busy(target_id target, slot_ref slot) const
{
    return std::ranges::any_of(dispatched_, [&](const auto& element) {
        const auto& request = element.second;
        return request.target == target && request.service == slot.service && request.slot == slot.slot;
    });
}

bool dispatch_ledger::is_key_busy(target_id target, service_id service, key_hash key) const
{
    return std::ranges::any_of(dispatched_, [&](const auto& element) {
        const auto& request = element.second;
        return request.target == target && request.service == service && request.key == key;
    });
}

void dispatch_ledger::update_averages(time_point now)
{
    const microseconds elapsed =
        averages_updated_at_ == time_point{} ? microseconds{} : now - averages_updated_at_;
    averages_updated_at_ = now;
    for (auto& [target, load] : loads_) {
        load.total.update_averages(elapsed);
        load.slots.update_averages(elapsed);
        load.keys.update_averages(elapsed);
    }
}

load_report dispatch_ledger::report(target_id target) const
{
    load_report report;
    report.target = target;
    const auto found = loads_.find(target);
    if (found == loads_.end())
        return report;
    if (const auto total = found->second.total.top(1); !total.empty())
        report.load = total.front().load;
    report.slots = found->second.slots.top(max_reported_slots);
    report.keys = found->second.keys.top(max_reported_keys);
    return report;
}

} // namespace teaseltally
