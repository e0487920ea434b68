#include <teaseltally/admission.hpp>

#include <algorithm>

namespace teaseltally {
namespace {

/// Prompt requests in a row after which one late-tolerant request is started.
constexpr std::uint32_t max_consecutive_prompt = 8;
/// Weight of the newest service time in the moving average.
constexpr double service_time_weight = 0.1;
/// Ratio of mean to minimum service time above which the usable slots of an adaptive target are reduced.
constexpr double slow_service_ratio = 4.0;
/// Factor by which the usable slots are multiplied when a target is slow or refuses a request.
constexpr double slot_decrease_factor = 0.9;
/// Usable slots of a target that has just started.
constexpr double slow_start_slots = 1.0;
constexpr milliseconds min_retry_after{5};

} // namespace

microseconds admission_queue::expected_wait(std::size_t ahead) const
{
    const auto rounds = static_cast<double>(ahead) / std::max(1.0, usable_slots_);
    return microseconds{static_cast<std::int64_t>(rounds * static_cast<double>(mean_service_time_.count()))};
}

admission_decision admission_queue::admit(work_priority priority, time_point deadline, time_point now)
{
    if (running_ < usable_slots() && waiting_.empty()) {
        ++running_;
        return admitted{};
    }
    const auto requests_ahead = std::ranges::count_if(waiting_, [&](const auto& entry) {
        return std::pair{std::get<0>(entry.first), std::get<1>(entry.first)} <= std::pair{priority, deadline};
    });
    const auto wait = expected_wait(static_cast<std::size_t>(requests_ahead) + 1);
    if (waiting_.size() >= limits_.queue || now + wait + mean_service_time_ > deadline) {
        const auto drain_time = std::chrono::ceil<milliseconds>(expected_wait(waiting_.size()));
        return shed{std::max(min_retry_after, drain_time)};
    }
    const admission_id id{next_id_++};
    waiting_.emplace(queue_position{priority, deadline, id}, true);
    return queued{id};
}

void admission_queue::release_slot(microseconds service_time, bool target_refused, time_point)
{
    running_ -= running_ > 0 ? 1 : 0;
    if (target_refused) {
        usable_slots_ =
            limits_.adaptive ? std::max(1.0, usable_slots_ * slot_decrease_factor) : usable_slots_;
        return;
    }
    const auto difference = static_cast<double>((service_time - mean_service_time_).count());
    mean_service_time_ += microseconds{static_cast<std::int64_t>(service_time_weight * difference)};
    // The minimum may rise by 1/64 per request, so that it follows a target that has become slower.
    min_service_time_ = min_service_time_.count() == 0
                            ? service_time
                            : std::min(min_service_time_ + min_service_time_ / 64, service_time);
    const bool slow = static_cast<double>(mean_service_time_.count()) >
                      slow_service_ratio * static_cast<double>(min_service_time_.count());
    if (limits_.adaptive && slow)
        usable_slots_ = std::max(1.0, usable_slots_ * slot_decrease_factor);
    else
        usable_slots_ = std::min(static_cast<double>(limits_.slots), usable_slots_ + 1.0 / usable_slots_);
}

void admission_queue::release_unused_slot()
{
    running_ -= running_ > 0 ? 1 : 0;
}

std::optional<admission_id> admission_queue::start_next(time_point now)
{
    if (running_ >= usable_slots() || waiting_.empty())
        return std::nullopt;
    auto chosen = waiting_.begin();
    const auto first_late_tolerant = std::ranges::find_if(
        waiting_, [](const auto& entry) { return std::get<0>(entry.first) == work_priority::late_tolerant; });
    if (std::get<0>(chosen->first) == work_priority::prompt &&
        consecutive_prompt_ >= max_consecutive_prompt && first_late_tolerant != waiting_.end())
        chosen = first_late_tolerant;
    const auto [priority, deadline, id] = chosen->first;
    if (now + mean_service_time_ > deadline)
        return std::nullopt;
    consecutive_prompt_ = priority == work_priority::prompt ? consecutive_prompt_ + 1 : 0;
    waiting_.erase(chosen);
    ++running_;
    return id;
}

std::vector<admission_id> admission_queue::remove_expired(time_point now)
{
    std::vector<admission_id> out;
    std::erase_if(waiting_, [&](const auto& entry) {
        const auto& [priority, deadline, id] = entry.first;
        const bool expired = now + mean_service_time_ > deadline;
        if (expired)
            out.push_back(id);
        return expired;
    });
    return out;
}

void admission_queue::cancel(admission_id id)
{
    std::erase_if(waiting_, [&](const auto& entry) { return std::get<2>(entry.first) == id; });
}

void admission_queue::slow_start()
{
    usable_slots_ = std::min(static_cast<double>(limits_.slots), slow_start_slots);
}

void admission_queue::set_limits(admission_limits limits)
{
    if (limits.slots != limits_.slots)
        usable_slots_ = limits.slots;
    limits_ = limits;
}

} // namespace teaseltally
