#include <teaseltally/admission.hpp>

#include <algorithm>

namespace teaseltally {
namespace {

/// Prompt requests after which one late-tolerant request is taken.
constexpr std::uint32_t fair_turn = 8;
/// Weight of the newest service time in the mean.
constexpr double newest_weight = 0.1;
/// Service time, relative to the least one, above which an adaptive target gets fewer slots.
constexpr double slow_ratio = 4.0;
constexpr double shrink_factor = 0.9;
constexpr double slow_start_slots = 1.0;
constexpr milliseconds least_retry_after{5};

} // namespace

microseconds admission_queue::expected_wait(std::size_t ahead) const
{
    const auto rounds = static_cast<double>(ahead) / std::max(1.0, allowed_);
    return microseconds{static_cast<std::int64_t>(rounds * static_cast<double>(mean_.count()))};
}

admission_verdict admission_queue::arrive(work_priority priority, time_point deadline, time_point now)
{
    if (running_ < allowed() && waiting_.empty()) {
        ++running_;
        return admitted{};
    }
    const auto position = std::ranges::count_if(waiting_, [&](const auto& entry) {
        return std::pair{std::get<0>(entry.first), std::get<1>(entry.first)} <= std::pair{priority, deadline};
    });
    const auto wait = expected_wait(static_cast<std::size_t>(position) + 1);
    if (waiting_.size() >= limits_.queue || now + wait + mean_ > deadline) {
        const auto drained = std::chrono::ceil<milliseconds>(expected_wait(waiting_.size()));
        return shed{std::max(least_retry_after, drained)};
    }
    const admission_id id{next_id_++};
    waiting_.emplace(place{priority, deadline, id}, true);
    return queued{id};
}

void admission_queue::finish(microseconds service_time, bool refused, time_point)
{
    running_ -= running_ > 0 ? 1 : 0;
    if (refused) {
        allowed_ = limits_.adaptive ? std::max(1.0, allowed_ * shrink_factor) : allowed_;
        return;
    }
    const auto difference = static_cast<double>((service_time - mean_).count());
    mean_ += microseconds{static_cast<std::int64_t>(newest_weight * difference)};
    least_ = least_.count() == 0 ? service_time : std::min(least_ + least_ / 64, service_time);
    const bool slow = static_cast<double>(mean_.count()) > slow_ratio * static_cast<double>(least_.count());
    if (limits_.adaptive && slow)
        allowed_ = std::max(1.0, allowed_ * shrink_factor);
    else
        allowed_ = std::min(static_cast<double>(limits_.slots), allowed_ + 1.0 / allowed_);
}

void admission_queue::give_back()
{
    running_ -= running_ > 0 ? 1 : 0;
}

std::optional<admission_id> admission_queue::next(time_point now)
{
    if (running_ >= allowed() || waiting_.empty())
        return std::nullopt;
    auto chosen = waiting_.begin();
    const auto late = std::ranges::find_if(
        waiting_, [](const auto& e) { return std::get<0>(e.first) == work_priority::late_tolerant; });
    if (std::get<0>(chosen->first) == work_priority::prompt && prompt_in_a_row_ >= fair_turn &&
        late != waiting_.end())
        chosen = late;
    const auto [priority, deadline, id] = chosen->first;
    if (now + mean_ > deadline)
        return std::nullopt;
    prompt_in_a_row_ = priority == work_priority::prompt ? prompt_in_a_row_ + 1 : 0;
    waiting_.erase(chosen);
    ++running_;
    return id;
}

std::vector<admission_id> admission_queue::expired(time_point now)
{
    std::vector<admission_id> out;
    std::erase_if(waiting_, [&](const auto& entry) {
        const auto& [priority, deadline, id] = entry.first;
        const bool late = now + mean_ > deadline;
        if (late)
            out.push_back(id);
        return late;
    });
    return out;
}

void admission_queue::abandon(admission_id id)
{
    std::erase_if(waiting_, [&](const auto& entry) { return std::get<2>(entry.first) == id; });
}

void admission_queue::start_slowly()
{
    allowed_ = std::min(static_cast<double>(limits_.slots), slow_start_slots);
}

void admission_queue::configure(admission_limits limits)
{
    if (limits.slots != limits_.slots)
        allowed_ = limits.slots;
    limits_ = limits;
}

} // namespace teaseltally
