#include "support/ownership_history.hpp"

#include <algorithm>
#include <map>
#include <set>
#include <sstream>

namespace teaseltally::test {
namespace {

struct holder {
    time_point until{};
    std::uint64_t highest_fence = 0;
};

std::string describe(const char* fault, const key_event& event, const std::string& other,
                     std::uint64_t other_fence)
{
    std::ostringstream text;
    text << fault << ": keys " << event.from << " to " << event.to << " granted to " << event.incarnation
         << " with fence " << event.fence << ", " << other << " had " << other_fence;
    return text.str();
}

/// Checks keys that all events treat alike.
/// @param events events on these keys, in order.
/// @param count number of the keys.
void check_keys(const std::vector<const key_event*>& events, std::size_t count, ownership_findings& faults)
{
    std::map<std::string, holder> holders;
    bool at_two = false;
    bool old_fence = false;
    for (const auto* event : events) {
        auto& own = holders[event->incarnation];
        if (event->kind != key_event_kind::grant) {
            // What a grant said of the time after the release did not come to pass.
            own.until = std::min(own.until, event->at);
            continue;
        }
        if (!event->accepted)
            continue;
        for (const auto& [name, other] : holders) {
            if (name == event->incarnation || other.highest_fence == 0)
                continue;
            if (other.until > event->at) {
                if (!at_two && faults.keys_at_two == 0)
                    faults.examples.push_back(describe("two targets", *event, name, other.highest_fence));
                at_two = true;
            }
            if (other.highest_fence >= event->fence) {
                if (!old_fence && faults.keys_with_old_fence == 0)
                    faults.examples.push_back(describe("old fence", *event, name, other.highest_fence));
                old_fence = true;
            }
        }
        own.until = event->at + event->hold;
        own.highest_fence = std::max(own.highest_fence, event->fence);
    }
    faults.keys_at_two += at_two ? count : 0;
    faults.keys_with_old_fence += old_fence ? count : 0;
}

} // namespace

ownership_findings check_ownership(std::vector<key_event> events)
{
    std::ranges::stable_sort(events, {}, &key_event::at);
    std::set<unsigned> bounds;
    for (const auto& event : events)
        bounds.insert({event.from, event.to + 1});
    ownership_findings faults;
    for (auto first = bounds.begin(); first != bounds.end() && std::next(first) != bounds.end(); ++first) {
        std::vector<const key_event*> alike;
        for (const auto& event : events)
            if (event.from <= *first && *first <= event.to)
                alike.push_back(&event);
        check_keys(alike, *std::next(first) - *first, faults);
    }
    return faults;
}

} // namespace teaseltally::test
