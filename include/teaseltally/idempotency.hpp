#pragma once

#include <teaseltally/result.hpp>
#include <teaseltally/types.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// @file
/// The repeat table of a dispatcher: what became of requests that carry an idempotency key.

namespace teaseltally {

/// A caller's idempotency key, scoped by service.
struct scoped_idempotency_key {
    service_id service{};
    std::string key;
    auto operator<=>(const scoped_idempotency_key&) const = default;
};

/// The answer that a repeat gets.
struct stored_response {
    unsigned status = 0;
    std::string content_type;
    std::string body;
    bool operator==(const stored_response&) const = default;
};

/// Record of a request that was started.
struct start_mark {
    scoped_idempotency_key key;
    /// Hash of method, path and body; a repeat must have the same.
    std::uint64_t fingerprint = 0;
    /// How long the mark still counts.
    milliseconds remaining{};
    /// Present once the run has ended with an answer.
    std::optional<stored_response> answer;
    bool operator==(const start_mark&) const = default;
};

/// What to do with an arriving request.
struct start_run {};
struct join_run {};
struct replay_response {
    stored_response answer;
};
struct refuse_request {
    result_code code{};
};
using idempotency_decision = std::variant<start_run, join_run, replay_response, refuse_request>;

/// Bounds of a table.
struct idempotency_limits {
    std::size_t marks = 65'536;
    std::size_t response_bytes = 8U << 20U;
    milliseconds window{60'000};
};

/// Remembers started requests for a window. Marks within the window are never dropped; at the bound new
/// requests with a key are refused as not run. Stored answers are dropped oldest first at theirs; a repeat
/// then gets `unknown`.
class idempotency_table {
public:
    explicit idempotency_table(idempotency_limits limits) : limits_(limits) {}

    /// Decides on a request and marks it as started if it is to run.
    [[nodiscard]] idempotency_decision try_start(const scoped_idempotency_key& key, std::uint64_t fingerprint,
                                                 time_point now);

    /// Notes the answer of a run.
    void record_response(const scoped_idempotency_key& key, const stored_response& answer, time_point now);

    /// Forgets a run that was never handed to a target.
    void cancel(const scoped_idempotency_key& key);

    /// Notes that a run ended without an answer; repeats get `unknown`.
    void record_unknown_outcome(const scoped_idempotency_key& key);

    /// Takes over a mark of another instance. Its run counts as ended in doubt unless it has an answer.
    void import_mark(const start_mark& mark, time_point now);

    /// @returns the marks of the window.
    [[nodiscard]] std::vector<start_mark> marks(time_point now) const;

    /// @returns the mark of a key, if there is one.
    [[nodiscard]] std::optional<start_mark> find(const scoped_idempotency_key& key, time_point now) const;

    [[nodiscard]] std::size_t size() const noexcept { return entries_.size(); }
    [[nodiscard]] std::size_t response_bytes() const noexcept { return response_bytes_; }

private:
    enum class run_state : std::uint8_t { running, answered, outcome_unknown };
    struct entry {
        std::uint64_t fingerprint = 0;
        run_state state = run_state::running;
        time_point expires{};
        stored_response answer;
    };

    void remove_expired(time_point now);
    void evict_responses();

    idempotency_limits limits_;
    std::map<scoped_idempotency_key, entry> entries_;
    std::deque<std::pair<time_point, scoped_idempotency_key>> expiry_order_;
    std::deque<scoped_idempotency_key> answered_order_;
    std::size_t response_bytes_ = 0;
};

} // namespace teaseltally
