#pragma once

#include <teaseltally/peer_messages.hpp>
#include <teaseltally/types.hpp>

#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

/// @file
/// Requests that a dispatcher has sent to its targets, and the load that it observed.

namespace teaseltally {

/// Identifies a dispatched request within a session.
enum class ticket_id : std::uint64_t {};

/// A request that a target may be executing.
struct dispatched_request {
    /// Target of the request.
    target_id target{};
    /// Service of the request.
    service_id service{};
    /// Slot of its key.
    slot_id slot{};
    /// Hash of its key.
    key_hash key{};
    /// Time after which the target no longer executes the request.
    time_point deadline{};
    /// Time at which the request was dispatched.
    time_point started{};
    /// Whether the request ended without confirmation that the target stopped executing it. Such a request
    /// counts as running until `remove_expired` removes it.
    bool outcome_unknown = false;
};

/// Exponential moving averages of the execution time of the most loaded slots or keys. Memory is bounded by
/// the capacity.
class load_averages {
public:
    /// Creates averages without entries.
    /// @param capacity maximum number of slots or keys to keep.
    explicit load_averages(std::size_t capacity) : capacity_(capacity) {}

    /// Adds execution time to a slot or key. If the capacity is reached, a new entry replaces the least
    /// loaded one.
    /// @param slot_or_key slot number or key hash.
    /// @param busy_time execution time of a request.
    void add(std::uint64_t slot_or_key, microseconds busy_time);
    /// Updates the averages with the execution time that was added since the last call.
    /// @param elapsed time since the last call; if not positive, the call has no effect.
    void update_averages(microseconds elapsed);
    /// Returns the most loaded slots or keys in descending order of their load, which is in milliseconds per
    /// second.
    /// @param count maximum number of entries.
    [[nodiscard]] std::vector<load_entry> top(std::size_t count) const;

private:
    struct entry {
        double average = 0.0;
        microseconds recent{};
    };
    std::size_t capacity_;
    std::unordered_map<std::uint64_t, entry> entries_;
};

/// Tracks the dispatched requests of one instance and the load of their targets.
class dispatch_ledger {
public:
    /// Records a request just before it is sent to its target.
    /// @returns its ticket for `finish`.
    [[nodiscard]] ticket_id begin(const dispatched_request& request);

    /// Records the end of a request.
    /// @param known_ended whether the target is known to have stopped executing the request. Otherwise the
    /// request counts as running until `remove_expired` removes it.
    void finish(ticket_id ticket, bool known_ended, time_point now);

    /// Removes requests with an unknown outcome whose deadline passed at least `margin` ago.
    void remove_expired(time_point now, milliseconds margin);

    /// Returns whether a target may be executing any request.
    [[nodiscard]] bool is_busy(target_id target) const;
    /// Returns whether a target may be executing a request for this slot.
    [[nodiscard]] bool is_slot_busy(target_id target, slot_ref slot) const;
    /// Returns whether a target may be executing a request for this key.
    [[nodiscard]] bool is_key_busy(target_id target, service_id service, key_hash key) const;

    /// Updates the load averages of all targets.
    void update_averages(time_point now);
    /// Returns the load of a target with its most loaded slots and keys; `load_report::from` is not set.
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
