#include <teaseltally/knowledge/target_directory.hpp>

#include <algorithm>

namespace teaseltally {
namespace {

/// Returns whether an entry is of an earlier incarnation than a known one.
bool is_earlier_start(std::int64_t start_unix_ms, std::int64_t known)
{
    return start_unix_ms != 0 && start_unix_ms < known;
}

} // namespace

bool target_directory::is_outdated(const target_entry& entry, log_position position) const
{
    if (const auto found = entries_.find(entry.id); found != entries_.end()) {
        const auto& known = found->second;
        return known.start_unix_ms == entry.start_unix_ms
                   ? entry.sequence < known.sequence
                   : is_earlier_start(entry.start_unix_ms, known.start_unix_ms);
    }
    const auto found = removed_.find(entry.id);
    if (found == removed_.end() || position.era == found->second.position.era)
        return false;
    const auto& known = found->second;
    return known.start_unix_ms == entry.start_unix_ms
               ? entry.sequence <= known.sequence
               : is_earlier_start(entry.start_unix_ms, known.start_unix_ms);
}

bool target_directory::may_live(const target_entry& entry, log_position position) const
{
    const auto found = removed_.find(entry.id);
    return found != removed_.end() && is_outdated(entry, position) && !found->second.draining &&
           found->second.start_unix_ms == entry.start_unix_ms;
}

directory_change target_directory::readmit(target_entry entry, log_position position)
{
    removed_.erase(entry.id);
    return update(std::move(entry), position);
}

void target_directory::remember_removed(const target_entry& entry, log_position position)
{
    removed_.insert_or_assign(entry.id,
                              removed_entry{entry.start_unix_ms, entry.sequence, entry.draining, position});
    if (removed_.size() <= max_removed)
        return;
    const auto first =
        std::ranges::min_element(removed_, {}, [](const auto& removed) { return removed.second.position; });
    positions_.erase(first->first);
    removed_.erase(first);
}

bool target_directory::advance_position(std::string_view id, log_position position)
{
    auto found = positions_.find(id);
    if (found == positions_.end()) {
        positions_.emplace(id, position);
        return true;
    }
    if (position < found->second)
        return false;
    found->second = position;
    return true;
}

directory_change target_directory::update(target_entry entry, log_position position)
{
    if (!advance_position(entry.id, position) || is_outdated(entry, position))
        return directory_change::none;
    removed_.erase(entry.id);
    const auto found = entries_.find(entry.id);
    if (found == entries_.end()) {
        entries_.emplace(entry.id, entry);
        return directory_change::added;
    }
    found->second = std::move(entry);
    return directory_change::updated;
}

directory_change target_directory::remove(std::string_view id, log_position position)
{
    if (!advance_position(id, position))
        return directory_change::none;
    const auto found = entries_.find(id);
    if (found == entries_.end()) {
        // Removed in this era as well: a registration that follows is a new one.
        if (const auto known = removed_.find(id); known != removed_.end())
            known->second.position = position;
        return directory_change::none;
    }
    remember_removed(found->second, position);
    entries_.erase(found);
    return directory_change::removed;
}

const target_entry* target_directory::find(std::string_view id) const
{
    const auto found = entries_.find(id);
    return found == entries_.end() ? nullptr : &found->second;
}

std::string incarnation_name(std::string_view id, std::int64_t start_unix_ms)
{
    return std::string{id} + "@" + std::to_string(start_unix_ms);
}

} // namespace teaseltally
