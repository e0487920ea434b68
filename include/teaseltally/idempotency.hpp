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
struct request_key {
    service_id service{};
    std::string key;
    auto operator<=>(const request_key&) const = default;
};

/// The answer that a repeat gets.
struct stored_answer {
    unsigned status = 0;
    std::string content_type;
    std::string body;
    bool operator==(const stored_answer&) const = default;
};

/// Record of a request that was started.
struct start_mark {
    request_key key;
    /// Hash of method, path and body; a repeat must have the same.
    std::uint64_t fingerprint = 0;
    /// How long the mark still counts.
    milliseconds remaining{};
    /// Present once the run has ended with an answer.
    std::optional<stored_answer> answer;
    bool operator==(const start_mark&) const = default;
};

/// What to do with an arriving request.
struct run_first {};
struct join_running {};
struct repeat_answer {
    stored_answer answer;
};
struct refuse_repeat {
    result_code code{};
};
using repeat_verdict = std::variant<run_first, join_running, repeat_answer, refuse_repeat>;

/// Bounds of a table.
struct repeat_limits {
    std::size_t marks = 65'536;
    std::size_t answer_bytes = 8U << 20U;
    milliseconds window{60'000};
};

/// Remembers started requests for a window. Marks within the window are never dropped; at the bound new
/// requests with a key are refused as not run. Stored answers are dropped oldest first at theirs; a repeat
/// then gets `unknown`.
class repeat_table {
public:
    explicit repeat_table(repeat_limits limits) : limits_(limits) {}

    /// Decides on a request and marks it as started if it is to run.
    [[nodiscard]] repeat_verdict arrive(const request_key& key, std::uint64_t fingerprint, time_point now);

    /// Notes the answer of a run.
    void finish(const request_key& key, const stored_answer& answer, time_point now);

    /// Forgets a run that was never handed to a target.
    void cancel(const request_key& key);

    /// Notes that a run ended without an answer; repeats get `unknown`.
    void lose(const request_key& key);

    /// Takes over a mark of another instance. Its run counts as ended in doubt unless it has an answer.
    void adopt(const start_mark& mark, time_point now);

    /// @returns the marks of the window.
    [[nodiscard]] std::vector<start_mark> marks(time_point now) const;

    /// @returns the mark of a key, if there is one.
    [[nodiscard]] std::optional<start_mark> find(const request_key& key, time_point now) const;

    [[nodiscard]] std::size_t size() const noexcept { return entries_.size(); }
    [[nodiscard]] std::size_t answer_bytes() const noexcept { return answer_bytes_; }

private:
    enum class run_state : std::uint8_t { running, answered, lost };
    struct entry {
        std::uint64_t fingerprint = 0;
        run_state state = run_state::running;
        time_point expires{};
        stored_answer answer;
    };

    void expire(time_point now);
    void shrink_answers();

    repeat_limits limits_;
    std::map<request_key, entry> entries_;
    std::deque<std::pair<time_point, request_key>> order_;
    std::deque<request_key> answered_;
    std::size_t answer_bytes_ = 0;
};

} // namespace teaseltally
