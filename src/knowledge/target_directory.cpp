#include <teaseltally/knowledge/target_directory.hpp>

namespace teaseltally {

bool target_directory::advance(std::string_view id, std::uint64_t position)
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

directory_change target_directory::update(target_entry entry, std::uint64_t position)
{
    if (!advance(entry.id, position))
        return directory_change::none;
    const auto found = entries_.find(entry.id);
    if (found == entries_.end()) {
        entries_.emplace(entry.id, entry);
        return directory_change::added;
    }
    if (found->second.born == entry.born && entry.sequence < found->second.sequence)
        return directory_change::none;
    if (found->second.born > entry.born && entry.born != 0)
        return directory_change::none;
    found->second = std::move(entry);
    return directory_change::updated;
}

directory_change target_directory::remove(std::string_view id, std::uint64_t position)
{
    if (!advance(id, position))
        return directory_change::none;
    const auto found = entries_.find(id);
    if (found == entries_.end())
        return directory_change::none;
    entries_.erase(found);
    return directory_change::removed;
}

const target_entry* target_directory::find(std::string_view id) const
{
    const auto found = entries_.find(id);
    return found == entries_.end() ? nullptr : &found->second;
}

} // namespace teaseltally
