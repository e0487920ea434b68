#include <teaseltally/knowledge/text_difference.hpp>

#include <algorithm>
#include <unordered_map>
#include <xxhash.h>

namespace teaseltally {
namespace {

/// Minimum length of a part, so that brackets which follow each other do not make parts that occur often.
constexpr std::size_t min_part_bytes = 24;
/// Number of parts that are skipped on both sides together before equal parts are searched in the whole text.
constexpr std::size_t max_lookahead = 16;

/// Splits a text after closing brackets.
std::vector<std::string_view> parts_of(std::string_view text)
{
    std::vector<std::string_view> parts;
    while (!text.empty()) {
        const auto bracket = text.find(']', std::min(min_part_bytes, text.size()));
        const auto length = bracket == std::string_view::npos ? text.size() : bracket + 1;
        parts.push_back(text.substr(0, length));
        text.remove_prefix(length);
    }
    return parts;
}

/// Finds the next equal parts of two texts.
class part_matcher {
public:
    part_matcher(const std::vector<std::string_view>& earlier, const std::vector<std::string_view>& later)
        : earlier_(earlier), later_(later)
    {
    }

    /// Returns the places of the next equal parts from the given places on, or the ends of both texts.
    std::pair<std::size_t, std::size_t> next_match(std::size_t earlier_at, std::size_t later_at)
    {
        for (std::size_t skipped = 0; skipped <= max_lookahead; ++skipped)
            for (std::size_t skipped_later = 0; skipped_later <= skipped; ++skipped_later) {
                const auto earlier = earlier_at + skipped - skipped_later;
                const auto later = later_at + skipped_later;
                if (earlier < earlier_.size() && later < later_.size() && earlier_[earlier] == later_[later])
                    return {earlier, later};
            }
        if (places_.empty())
            for (std::size_t place = earlier_.size(); place-- > 0;)
                places_[earlier_[place]] = place;
        for (std::size_t later = later_at; later < later_.size(); ++later)
            if (const auto found = places_.find(later_[later]);
                found != places_.end() && found->second >= earlier_at)
                return {found->second, later};
        return {earlier_.size(), later_.size()};
    }

private:
    const std::vector<std::string_view>& earlier_;
    const std::vector<std::string_view>& later_;
    /// First place of each part of the earlier text; filled when it is needed.
    std::unordered_map<std::string_view, std::size_t> places_;
};

} // namespace

std::size_t text_difference::size() const noexcept
{
    std::size_t sum = 0;
    for (const auto& edit : edits)
        sum += sizeof(edit) + edit.inserted.size();
    return sum;
}

std::uint64_t text_digest(std::string_view text)
{
    return std::max<std::uint64_t>(XXH3_64bits(text.data(), text.size()), 1);
}

text_difference difference_between(std::string_view from, std::string_view to)
{
    text_difference difference{text_digest(from), text_digest(to), {}};
    const auto earlier = parts_of(from);
    const auto later = parts_of(to);
    part_matcher matcher(earlier, later);
    const auto offset_of = [](std::string_view text, const std::vector<std::string_view>& parts,
                              std::size_t place) {
        return place < parts.size() ? static_cast<std::size_t>(parts[place].data() - text.data())
                                    : text.size();
    };
    std::size_t earlier_at = 0;
    std::size_t later_at = 0;
    while (earlier_at < earlier.size() || later_at < later.size()) {
        const auto [earlier_match, later_match] = matcher.next_match(earlier_at, later_at);
        if (earlier_match != earlier_at || later_match != later_at) {
            const auto offset = offset_of(from, earlier, earlier_at);
            const auto inserted = offset_of(to, later, later_at);
            difference.edits.push_back(
                {offset, offset_of(from, earlier, earlier_match) - offset,
                 std::string{to.substr(inserted, offset_of(to, later, later_match) - inserted)}});
        }
        earlier_at = earlier_match + 1;
        later_at = later_match + 1;
    }
    return difference;
}

std::optional<std::string> apply_difference(const text_difference& difference, std::string_view from)
{
    std::string text;
    text.reserve(from.size() + difference.size());
    std::size_t at = 0;
    for (const auto& edit : difference.edits) {
        if (edit.offset < at || edit.offset > from.size() || edit.removed > from.size() - edit.offset)
            return std::nullopt;
        text += from.substr(at, edit.offset - at);
        text += edit.inserted;
        at = edit.offset + edit.removed;
    }
    text += from.substr(at);
    if (text_digest(text) != difference.to)
        return std::nullopt;
    return text;
}

} // namespace teaseltally
