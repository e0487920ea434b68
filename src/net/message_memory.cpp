#include <teaseltally/net/message_memory.hpp>

#include <algorithm>

namespace teaseltally {

void message_memory::find_oldest_waiting() noexcept
{
    const auto found =
        std::ranges::find_if(large_, [](const auto& hold) { return hold.waiting_ && !hold.evicted_; });
    oldest_waiting_ = found == large_.end() ? nullptr : &*found;
}

void message_memory::wake_oldest()
{
    if (has_room(oldest_waiting_->needed_))
        oldest_waiting_->wake_();
}

void message_memory::record_pressure(time_point now)
{
    if (!episode_) {
        episode_ = memory_episode{.began = now};
        peak_held_ = 0;
    }
    episode_->ended = now;
    if (held_ > peak_held_) {
        peak_held_ = held_;
        episode_->held = by_purpose_;
    }
}

std::optional<memory_episode> message_memory::take_episode(time_point now)
{
    if (!episode_)
        return std::nullopt;
    if (oldest_waiting_ != nullptr)
        episode_->ended = now;
    if (now - episode_->ended < episode_pause && now - episode_->began < max_episode)
        return std::nullopt;
    return std::exchange(episode_, std::nullopt);
}

message_hold* message_memory::choose_victim(time_point now, memory_eviction& reason)
{
    message_hold* victim = nullptr;
    double most = 0;
    const auto consider = [&](message_hold& hold, memory_eviction why, double weight) {
        const bool is_better = victim == nullptr || why < reason || (why == reason && weight >= most);
        if (!is_better || (victim != nullptr && why > reason))
            return;
        victim = &hold;
        reason = why;
        most = weight;
    };
    const bool may_wait = now - oldest_waiting_->waiting_since_ < patience;
    for (auto& hold : large_) {
        if (&hold == oldest_waiting_ || hold.evicted_)
            continue;
        const auto bytes = static_cast<double>(hold.reservation_.bytes());
        const auto idle = now - hold.progress_at_;
        const bool is_written = hold.reservation_.purpose() == memory_purpose::writing_responses;
        if (!hold.waiting_ && idle >= (is_written ? slow_time : stall_time))
            consider(hold, memory_eviction::stalled, bytes * static_cast<double>(idle.count()));
        else if (hold.waiting_ && !may_wait)
            consider(hold, memory_eviction::waiting, bytes);
        else if (!hold.waiting_ && !may_wait && now - hold.began_ >= slow_time)
            consider(hold, memory_eviction::slow, bytes * static_cast<double>((now - hold.began_).count()));
    }
    if (victim == nullptr && now - oldest_waiting_->waiting_since_ >= max_wait) {
        victim = oldest_waiting_;
        reason = memory_eviction::no_room;
    }
    return victim;
}

void message_memory::evict(message_hold& victim, memory_eviction reason, time_point now)
{
    record_pressure(now);
    ++episode_->evicted.at(static_cast<std::size_t>(reason));
    victim.evicted_ = true;
    if (&victim == oldest_waiting_)
        find_oldest_waiting();
    victim.wake_();
}

void message_memory::make_room(time_point now)
{
    // Bytes of messages that were given up but have not been freed yet.
    std::size_t expected = 0;
    for (const auto& hold : large_)
        expected += hold.evicted_ ? hold.reservation_.bytes() : 0;
    while (oldest_waiting_ != nullptr) {
        const auto needed = oldest_waiting_->needed_;
        if (needed <= expected || has_room(needed - expected)) {
            if (has_room(needed))
                oldest_waiting_->wake_();
            return;
        }
        auto reason = memory_eviction::no_room;
        auto* victim = choose_victim(now, reason);
        if (victim == nullptr)
            return;
        expected += victim->reservation_.bytes();
        evict(*victim, reason, now);
    }
}

void message_hold::join(time_point now)
{
    if (is_linked())
        return;
    began_ = progress_at_ = now;
    reservation_.memory()->large_.push_back(*this);
}

void message_hold::leave()
{
    auto* memory = reservation_.memory();
    if (!is_linked())
        return;
    memory->large_.erase(memory->large_.iterator_to(*this));
    waiting_ = false;
    if (memory->oldest_waiting_ == this)
        memory->find_oldest_waiting();
}

bool message_hold::try_set_large(std::size_t bytes, std::size_t transient_bytes, time_point now)
{
    auto& memory = *reservation_.memory();
    join(now);
    const auto held = reservation_.bytes();
    needed_ = (bytes > held ? bytes - held : 0) + transient_bytes;
    const auto* oldest = memory.oldest_waiting_;
    const bool is_first = oldest == nullptr || oldest == this || began_ < oldest->began_;
    if (!evicted_ && (bytes <= held || (is_first && memory.has_room(needed_)))) {
        // The pause was not the sender's.
        if (std::exchange(waiting_, false))
            progress_at_ = now;
        reservation_.set(bytes);
        if (memory.oldest_waiting_ == this) {
            memory.find_oldest_waiting();
            if (memory.oldest_waiting_ != nullptr)
                memory.wake_oldest();
        }
        return true;
    }
    if (!evicted_ && !waiting_) {
        waiting_ = true;
        waiting_since_ = now;
        memory.find_oldest_waiting();
        memory.record_pressure(now);
        ++memory.episode_->waits;
        // It would wait in vain.
        if (needed_ > memory.limit_ || bytes > memory.limit_)
            memory.evict(*this, memory_eviction::no_room, now);
        else
            memory.make_room(now);
    }
    return false;
}

void message_hold::set(std::size_t bytes, time_point now)
{
    if (reservation_.memory() == nullptr)
        return;
    if (bytes > message_memory::small_bytes)
        join(now);
    reservation_.set(bytes);
}

memory_reservation message_hold::release(std::size_t bytes)
{
    leave();
    reservation_.set(bytes);
    return std::move(reservation_);
}

} // namespace teaseltally
