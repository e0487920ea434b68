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
/// Table in which a dispatcher records requests with an idempotency key, so that a duplicate request is not
/// executed again.

namespace teaseltally {

/// Idempotency key of a caller, which is unique within a service.
struct scoped_idempotency_key {
    /// Service to which the request was sent.
    service_id service{};
    /// Key as the caller sent it.
    std::string key;
    auto operator<=>(const scoped_idempotency_key&) const = default;
};

/// Response that is replayed to duplicates.
struct stored_response {
    /// HTTP status code.
    unsigned status = 0;
    /// Value of the Content-Type header.
    std::string content_type;
    /// Response body.
    std::string body;
    bool operator==(const stored_response&) const = default;
};

/// Start mark: record that a request with an idempotency key was started.
struct start_mark {
    /// Key of the request.
    scoped_idempotency_key key;
    /// Hash of method, path and body; a duplicate must have the same hash.
    std::uint64_t fingerprint = 0;
    /// Time until the mark expires.
    milliseconds remaining{};
    /// Response of the target, if the run has ended with one.
    std::optional<stored_response> answer;
    bool operator==(const start_mark&) const = default;
};

/// Decision to run the request; it has been marked as started.
struct start_run {};
/// Decision to wait for the result of the run in progress.
struct join_run {};
/// Decision to respond with a stored response.
struct replay_response {
    /// Response to replay.
    stored_response answer;
};
/// Decision not to run the request.
struct refuse_request {
    /// `refused_key_reuse`, `unknown_predecessor` or `not_run_overloaded`.
    result_code code{};
};
/// Decision of `idempotency_table::try_start` on an arriving request.
using idempotency_decision = std::variant<start_run, join_run, replay_response, refuse_request>;

/// Limits of an idempotency table.
struct idempotency_limits {
    /// Maximum number of marks.
    std::size_t marks = 65'536;
    /// Maximum total size of the stored response bodies, in bytes.
    std::size_t response_bytes = 8U << 20U;
    /// Time for which a mark is kept from the start of its request.
    milliseconds window{60'000};
};

/// Records started requests for a time window. Marks are never evicted before they expire: when the table is
/// full, new requests with a key are refused as not run. Stored responses are evicted oldest first when they
/// exceed their limit; a duplicate then gets `unknown_predecessor`.
class idempotency_table {
public:
    /// Creates an empty table.
    explicit idempotency_table(idempotency_limits limits) : limits_(limits) {}

    /// Decides on a request, and marks it as started if it is to run.
    /// @param fingerprint hash of method, path and body.
    /// @returns `start_run` for a new key; `join_run` or `replay_response` for a duplicate; `refuse_request`
    /// with `refused_key_reuse` if the fingerprint differs, `unknown_predecessor` if the outcome of the
    /// earlier run is unknown, or `not_run_overloaded` if the table is full.
    [[nodiscard]] idempotency_decision try_start(const scoped_idempotency_key& key, std::uint64_t fingerprint,
                                                 time_point now);

    /// Stores the response of a run. Does nothing if the key has no mark.
    void record_response(const scoped_idempotency_key& key, const stored_response& answer, time_point now);

    /// Removes the mark of a run that never reached a target, so that the request may be started again.
    void cancel(const scoped_idempotency_key& key);

    /// Records that a run ended without a response. Duplicates get `unknown_predecessor`.
    void record_unknown_outcome(const scoped_idempotency_key& key);

    /// Adds a mark received from another instance. Without a response, the outcome of its run counts as
    /// unknown. If the key already has a mark, only a missing response is added to it.
    /// @param mark mark to add; its `remaining` time counts from `now`.
    void import_mark(const start_mark& mark, time_point now);

    /// Returns the marks that have not expired.
    [[nodiscard]] std::vector<start_mark> marks(time_point now) const;

    /// Returns the mark of a key, if there is one that has not expired.
    [[nodiscard]] std::optional<start_mark> find(const scoped_idempotency_key& key, time_point now) const;

    /// Returns the number of marks, which may include expired ones.
    [[nodiscard]] std::size_t size() const noexcept { return entries_.size(); }
    /// Returns the total size of the stored response bodies, in bytes.
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
