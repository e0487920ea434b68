#include <teaseltally/dispatch_ledger.hpp>

#include <algorithm>

namespace teaseltally {
namespace {

/// Weight of the newest second in the averages.
constexpr double newest_weight = 0.3;
constexpr std::size_t reported_slots = 48;
constexpr std::size_t reported_keys = 8;
/// Averages below this many busy milliseconds a second are forgotten.
constexpr double negligible_load = 0.01;

} // namespace

void load_meter::add(std::uint64_t item, microseconds busy)
{
    if (!entries_.contains(item) && entries_.size() >= capacity_) {
        const auto least = std::ranges::min_element(entries_, {}, [](const auto& e) {
            return std::pair{e.second.recent, e.second.average};
        });
        entries_.erase(least);
    }
    entries_[item].recent += busy;
}

void load_meter::roll(microseconds elapsed)
{
    if (elapsed.count() <= 0)
        return;
    for (auto& [item, entry] : entries_) {
        const double recent =
            static_cast<double>(entry.recent.count()) * 1e3 / static_cast<double>(elapsed.count());
        entry.average += newest_weight * (recent - entry.average);
        entry.recent = {};
    }
    std::erase_if(entries_, [](const auto& e) { return e.second.average < negligible_load; });
}

std::vector<item_load> load_meter::top(std::size_t count) const
{
    std::vector<item_load> items;
    for (const auto& [item, entry] : entries_)
        items.push_back({item, static_cast<std::uint32_t>(entry.average)});
    std::ranges::sort(items, [](const item_load& left, const item_load& right) {
        return left.load != right.load ? left.load > right.load : left.item < right.item;
    });
    if (items.size() > count)
        items.resize(count);
    return items;
}

ticket_id dispatch_ledger::begin(const dispatched_work& work)
{
    const ticket_id ticket{next_ticket_++};
    work_.emplace(ticket, work);
    return ticket;
}

void dispatch_ledger::finish(ticket_id ticket, bool certain, time_point now)
{
    const auto found = work_.find(ticket);
    if (found == work_.end())
        return;
    const auto& work = found->second;
    const microseconds busy = now - work.started;
    auto& load = loads_[work.target];
    load.total.add(0, busy);
    load.slots.add(number(work.slot), busy);
    load.keys.add(number(work.key), busy);
    if (certain)
        work_.erase(found);
    else
        found->second.abandoned = true;
}

void dispatch_ledger::expire(time_point now, milliseconds margin)
{
    std::erase_if(work_, [&](const auto& entry) {
        return entry.second.abandoned && now >= entry.second.deadline + margin;
    });
}

bool dispatch_ledger::busy(target_id target) const
{
    return std::ranges::any_of(work_, [&](const auto& entry) { return entry.second.target == target; });
}

bool dispatch_ledger::busy_slot(target_id target, slot_ref slot) const
{
    return std::ranges::any_of(work_, [&](const auto& entry) {
        const auto& work = entry.second;
        return work.target == target && work.service == slot.service && work.slot == slot.slot;
    });
}

bool dispatch_ledger::busy_key(target_id target, service_id service, key_hash key) const
{
    return std::ranges::any_of(work_, [&](const auto& entry) {
        const auto& work = entry.second;
        return work.target == target && work.service == service && work.key == key;
    });
}

void dispatch_ledger::roll(time_point now)
{
    const microseconds elapsed = rolled_at_ == time_point{} ? microseconds{} : now - rolled_at_;
    rolled_at_ = now;
    for (auto& [target, load] : loads_) {
        load.total.roll(elapsed);
        load.slots.roll(elapsed);
        load.keys.roll(elapsed);
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
    report.slots = found->second.slots.top(reported_slots);
    report.keys = found->second.keys.top(reported_keys);
    return report;
}

} // namespace teaseltally
