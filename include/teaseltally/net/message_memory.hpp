#pragma once

#include <teaseltally/types.hpp>

#include <boost/intrusive/list.hpp>

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <utility>

/// @file
/// Account of the memory that a process holds for messages.

namespace teaseltally {

/// What memory is held for.
enum class memory_purpose : std::uint8_t {
    reading_requests,
    serving_requests,
    reading_responses,
    writing_responses,
    /// Requests of other instances.
    relayed_requests,
};
inline constexpr std::size_t memory_purpose_count = 5;

/// Why a message was given up in favour of others.
enum class memory_eviction : std::uint8_t {
    /// Its sender or receiver made no progress.
    stalled,
    /// It was read or written more slowly than others.
    slow,
    /// It waited for memory behind an older message, and was the largest such one.
    waiting,
    /// No memory became free in time.
    no_room,
};
inline constexpr std::size_t memory_eviction_count = 4;

/// Span of time in which messages waited for memory.
struct memory_episode {
    time_point began{};
    time_point ended{};
    /// Bytes held by purpose when most was held.
    std::array<std::size_t, memory_purpose_count> held{};
    std::array<std::uint64_t, memory_eviction_count> evicted{};
    std::uint64_t waits = 0;
};

class message_hold;

/// Counts the bytes held for messages, bounds them, and decides which message has to make room. Messages that
/// need more than there is wait, the oldest of them first. It has no input or output. Not thread-safe.
class message_memory {
public:
    /// Limit if none is configured, unless larger messages are legal.
    static constexpr std::size_t default_limit_bytes = std::size_t{512} << 20U;
    /// Number of bytes of each message that are counted but never refused, so that small requests are served
    /// while large ones wait.
    static constexpr std::size_t small_bytes = 16U << 10U;
    /// Time without progress after which a message that is read makes room for others.
    static constexpr milliseconds stall_time{500};
    /// Time without room after which messages that make progress are given up.
    static constexpr milliseconds patience{300};
    /// Age from which a message may count as slow. A response of 1 MB takes 0.8 s at 10 Mbit/s.
    static constexpr milliseconds slow_time{3000};
    /// Maximum time that the oldest message waits.
    static constexpr milliseconds max_wait{2000};
    /// Time after which an episode without waiting messages has ended, and its maximum duration.
    static constexpr milliseconds episode_pause{2000};
    static constexpr milliseconds max_episode{30'000};

    /// @param limit_bytes maximum number of bytes held for messages that are not small; nothing chooses a
    /// limit that admits every legal message.
    explicit message_memory(std::optional<std::size_t> limit_bytes = std::nullopt)
        : is_configured_(limit_bytes.has_value()), limit_(limit_bytes.value_or(default_limit_bytes))
    {
    }
    message_memory(const message_memory&) = delete;
    message_memory& operator=(const message_memory&) = delete;
    message_memory(message_memory&&) = delete;
    message_memory& operator=(message_memory&&) = delete;
    ~message_memory() = default;

    /// Sets the size of the largest legal message, which a limit that is not configured admits.
    void set_largest_message(std::size_t bytes) noexcept
    {
        if (!is_configured_)
            limit_ = std::max(default_limit_bytes, bytes > SIZE_MAX / 4 ? SIZE_MAX : 4 * bytes);
    }
    [[nodiscard]] std::size_t limit() const noexcept { return limit_; }
    /// Returns the number of bytes held.
    [[nodiscard]] std::size_t held() const noexcept { return held_; }
    [[nodiscard]] std::size_t held(memory_purpose purpose) const noexcept
    {
        return by_purpose_.at(static_cast<std::size_t>(purpose));
    }
    /// Gives up messages if the oldest waiting one has no room. Called periodically while messages wait.
    void make_room(time_point now);
    /// Returns the episode that has ended, or has lasted for the maximum duration, and forgets it.
    [[nodiscard]] std::optional<memory_episode> take_episode(time_point now);

private:
    friend class memory_reservation;
    friend class message_hold;

    void add(memory_purpose purpose, std::size_t bytes) noexcept
    {
        by_purpose_[static_cast<std::size_t>(purpose)] += bytes;
        held_ += bytes;
    }
    void subtract(memory_purpose purpose, std::size_t bytes) noexcept
    {
        by_purpose_[static_cast<std::size_t>(purpose)] -= bytes;
        held_ -= bytes;
        if (oldest_waiting_ != nullptr && bytes > 0)
            wake_oldest();
    }
    [[nodiscard]] bool has_room(std::size_t bytes) const noexcept
    {
        return held_ <= limit_ && bytes <= limit_ - held_;
    }
    void find_oldest_waiting() noexcept;
    void wake_oldest();
    void record_pressure(time_point now);
    [[nodiscard]] message_hold* choose_victim(time_point now, memory_eviction& reason);
    void evict(message_hold& victim, memory_eviction reason, time_point now);

    bool is_configured_;
    std::size_t limit_;
    std::size_t held_ = 0;
    std::array<std::size_t, memory_purpose_count> by_purpose_{};
    /// Messages that hold more than `small_bytes`, the oldest first.
    boost::intrusive::list<message_hold, boost::intrusive::base_hook<boost::intrusive::list_base_hook<>>,
                           boost::intrusive::constant_time_size<false>>
        large_;
    message_hold* oldest_waiting_ = nullptr;
    std::optional<memory_episode> episode_;
    std::size_t peak_held_ = 0;
};

/// Bytes that one message holds; returns them when it is destroyed.
class memory_reservation {
public:
    memory_reservation() = default;
    /// @param memory account, which outlives the reservation; null counts nothing.
    memory_reservation(message_memory* memory, memory_purpose purpose) : memory_(memory), purpose_(purpose) {}
    ~memory_reservation() { set(0); }
    memory_reservation(memory_reservation&& other) noexcept
        : memory_(other.memory_), purpose_(other.purpose_), bytes_(std::exchange(other.bytes_, 0))
    {
    }
    memory_reservation& operator=(memory_reservation&& other) noexcept
    {
        set(0);
        memory_ = other.memory_;
        purpose_ = other.purpose_;
        bytes_ = std::exchange(other.bytes_, 0);
        return *this;
    }
    memory_reservation(const memory_reservation&) = delete;
    memory_reservation& operator=(const memory_reservation&) = delete;

    /// Sets the number of bytes, whether or not there is room.
    void set(std::size_t bytes) noexcept
    {
        if (memory_ == nullptr || bytes == bytes_)
            return;
        const auto before = std::exchange(bytes_, bytes);
        if (bytes > before)
            memory_->add(purpose_, bytes - before);
        else
            memory_->subtract(purpose_, before - bytes);
    }
    /// Counts the bytes for another purpose from now on.
    void set_purpose(memory_purpose purpose) noexcept
    {
        if (memory_ != nullptr) {
            memory_->add(purpose, bytes_);
            memory_->subtract(purpose_, bytes_);
        }
        purpose_ = purpose;
    }
    [[nodiscard]] std::size_t bytes() const noexcept { return bytes_; }
    [[nodiscard]] message_memory* memory() const noexcept { return memory_; }
    [[nodiscard]] memory_purpose purpose() const noexcept { return purpose_; }

private:
    message_memory* memory_ = nullptr;
    memory_purpose purpose_ = memory_purpose::reading_requests;
    std::size_t bytes_ = 0;
};

/// Message that is being read or written. It may have to wait for memory, and may be given up.
class message_hold : public boost::intrusive::list_base_hook<> {
public:
    /// Called when the message has been given up or, while it waits, may find room.
    using wake_function = std::function<void()>;

    /// @param memory account, which outlives the hold; null counts nothing.
    /// @param wake must not destroy the hold.
    message_hold(message_memory* memory, memory_purpose purpose, wake_function wake)
        : reservation_(memory, purpose), wake_(std::move(wake))
    {
    }
    ~message_hold() { leave(); }
    message_hold(const message_hold&) = delete;
    message_hold& operator=(const message_hold&) = delete;
    message_hold(message_hold&&) = delete;
    message_hold& operator=(message_hold&&) = delete;

    /// Sets the number of bytes if the message is small or there is room. Otherwise the message waits from
    /// now on; it tries again whenever it is woken.
    /// @param transient_bytes number of further bytes that are needed for a moment, while a buffer is copied.
    /// @returns whether the bytes were set.
    [[nodiscard]] bool try_set(std::size_t bytes, std::size_t transient_bytes, time_point now)
    {
        if (reservation_.memory() == nullptr)
            return true;
        if (bytes <= message_memory::small_bytes) {
            reservation_.set(bytes);
            return true;
        }
        return try_set_large(bytes, transient_bytes, now);
    }
    /// Sets the number of bytes, whether or not there is room.
    void set(std::size_t bytes, time_point now);
    /// Records that bytes of the message have arrived.
    void on_progress(time_point now) noexcept { progress_at_ = now; }
    [[nodiscard]] bool is_large() const noexcept { return is_linked(); }
    [[nodiscard]] bool is_evicted() const noexcept { return evicted_; }
    [[nodiscard]] message_memory* memory() const noexcept { return reservation_.memory(); }
    /// Ends the hold.
    /// @param bytes number of bytes that the complete message holds.
    /// @returns the reservation of the message.
    [[nodiscard]] memory_reservation release(std::size_t bytes);

private:
    friend class message_memory;

    [[nodiscard]] bool try_set_large(std::size_t bytes, std::size_t transient_bytes, time_point now);
    void join(time_point now);
    void leave();

    memory_reservation reservation_;
    wake_function wake_;
    time_point began_{};
    time_point progress_at_{};
    time_point waiting_since_{};
    std::size_t needed_ = 0;
    bool waiting_ = false;
    bool evicted_ = false;
};

} // namespace teaseltally
