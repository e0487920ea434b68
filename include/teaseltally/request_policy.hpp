#pragma once

#include <teaseltally/configuration.hpp>
#include <teaseltally/types.hpp>

#include <map>
#include <span>
#include <string_view>
#include <vector>

/// @file
/// Policies of the instance that receives a request: retry budget, quarantine and choice of a target.

namespace teaseltally {

/// Token bucket that limits retries to a share of the requests. It holds at most 10 retries.
class retry_budget {
public:
    /// Creates an empty budget.
    /// @param percent maximum number of retries per hundred requests.
    explicit retry_budget(std::uint32_t percent = 0) : percent_(percent) {}

    /// Deposits the retry share of one request. Call this for the first attempt of each request.
    void deposit() noexcept;
    /// Withdraws one retry from the budget.
    /// @returns whether the budget allowed the retry.
    [[nodiscard]] bool try_withdraw() noexcept;
    /// Changes the share of retries.
    /// @param percent maximum number of retries per hundred requests.
    void configure(std::uint32_t percent) noexcept { percent_ = percent; }

private:
    std::uint32_t percent_;
    double tokens_ = 0.0;
};

/// Counts crashes of targets by the fingerprint of the request (see `fingerprint_of`). At most 4096
/// fingerprints are kept; beyond that, a new one replaces the one that expires first.
class quarantine_table {
public:
    /// Records crashes of targets.
    /// @param fingerprint fingerprint of the request that was running during the crashes.
    /// @param crashes number of crashes to add.
    /// @param lifetime time from now for which the count is kept; each call renews it.
    /// @returns the number of crashes counted for the fingerprint.
    std::uint32_t record_crash(std::uint64_t fingerprint, std::uint32_t crashes, time_point now,
                               milliseconds lifetime);

    /// Returns whether the crashes counted for a fingerprint have reached a limit.
    [[nodiscard]] bool is_quarantined(std::uint64_t fingerprint, std::uint32_t limit, time_point now) const;

    /// Returns the fingerprints that have not expired, with their crash counts.
    [[nodiscard]] std::vector<std::pair<std::uint64_t, std::uint32_t>> list(time_point now) const;

private:
    struct entry {
        std::uint32_t crashes = 0;
        time_point expires{};
    };
    std::map<std::uint64_t, entry> entries_;
};

/// Computes the fingerprint of a request.
/// @returns a 64-bit hash of method, path and body.
[[nodiscard]] std::uint64_t fingerprint_of(std::string_view method, std::string_view path,
                                           std::string_view body);

/// State of a target of an unkeyed service, as known to the instance that chooses.
struct target_candidate {
    /// The target.
    target_id target{};
    /// Requests of this instance that the target has not responded to.
    std::uint32_t outstanding = 0;
    /// Configured slots of the target.
    std::uint32_t slots = 1;
    /// Running and waiting requests per slot, as last reported by the dispatcher; it may be out of date.
    double reported_utilisation = 0.0;
    /// Mean latency of the responses that this instance received from the target.
    microseconds mean_latency{};
    /// Whether the target is in the data centre of this instance.
    bool local = false;
    /// Whether an attempt of this request has already failed at the target.
    bool already_tried = false;
};

/// Chooses the better of two random targets by expected latency. If an attempt has already failed at both,
/// chooses the best of all targets.
/// @param random 64 random bits; each half selects one of the two targets.
/// @returns the index of the chosen target; the size of `targets` if it is empty.
[[nodiscard]] std::size_t choose_target(std::span<const target_candidate> targets, std::uint64_t random);

} // namespace teaseltally
