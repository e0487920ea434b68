#pragma once

#include <teaseltally/peer_messages.hpp>
#include <teaseltally/types.hpp>

#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

/// @file
/// What a dispatcher has handed to its targets, and how much load it saw.

namespace teaseltally {

/// Names one dispatched request within a session.
enum class ticket_id : std::uint64_t {};

/// One request that a target may be executing.
struct dispatched_request {
    target_id target{};
    service_id service{};
    slot_id slot{};
    key_hash key{};
    /// Time after which the target executes it no more.
    time_point deadline{};
    time_point started{};
    /// Its end is not known; it counts until its deadline.
    bool outcome_unknown = false;
};

/// Exponentially averaged busy time of the most loaded items, in bounded memory.
class load_averages {
public:
    /// @param capacity items that are kept.
    explicit load_averages(std::size_t capacity) : capacity_(capacity) {}

    /// Adds busy time to an item; the least loaded item gives way to a new one.
    void add(std::uint64_t slot_or_key, microseconds busy_time);
    /// Folds the busy time since the last call into the averages.
    /// @param elapsed time since the last call.
    void update_averages(microseconds elapsed);
    /// @returns the most loaded items, highest first, in busy milliseconds a second.
    [[nodiscard]] std::vector<load_entry> top(std::size_t count) const;

private:
    struct entry {
        double average = 0.0;
        microseconds recent{};
    };
    std::size_t capacity_;
    std::unordered_map<std::uint64_t, entry> entries_;
};

/// Tracks dispatched work of one instance.
class dispatch_ledger {
public:
    /// Notes work just before it is handed to its target.
    [[nodiscard]] ticket_id begin(const dispatched_request& request);

    /// Ends work.
    /// @param certain whether the target is known to execute it no more; else it counts until its deadline.
    void finish(ticket_id ticket, bool known_ended, time_point now);

    /// Forgets abandoned work whose deadline is over by the margin.
    void remove_expired(time_point now, milliseconds margin);

    /// @returns whether a target may be executing anything.
    [[nodiscard]] bool is_busy(target_id target) const;
    /// @returns whether a target may be executing for a slot.
    [[nodiscard]] bool is_slot_busy(target_id target, slot_ref slot) const;
    /// @returns whether a target may be executing for a key.
    [[nodiscard]] bool is_key_busy(target_id target, service_id service, key_hash key) const;

    /// Folds load into its averages.
    void update_averages(time_point now);
    /// @returns the load of a target with its most loaded slots and keys.
    [[nodiscard]] load_report report(target_id target) const;

private:
    struct target_load {
        load_averages slots{512};
        load_averages keys{64};
        load_averages total{1};
    };

    std::uint64_t next_ticket_ = 1;
    std::map<ticket_id, dispatched_request> dispatched_;
    std::map<target_id, target_load> loads_;
    time_point averages_updated_at_{};
};

} // namespace teaseltally
