#pragma once

#include <teaseltally/configuration.hpp>
#include <teaseltally/types.hpp>

#include <map>
#include <span>
#include <string_view>
#include <vector>

/// @file
/// Policies of the entry: retry budget, quarantine of crashing requests, and the choice of a target.

namespace teaseltally {

/// Bounds retries to a share of the requests.
class retry_budget {
public:
    /// @param percent retries allowed for each hundred requests.
    explicit retry_budget(std::uint32_t percent = 0) : percent_(percent) {}

    /// Notes a first attempt.
    void deposit() noexcept;
    /// @returns whether a retry may be made; if so it is charged.
    [[nodiscard]] bool try_withdraw() noexcept;
    void configure(std::uint32_t percent) noexcept { percent_ = percent; }

private:
    std::uint32_t percent_;
    double tokens_ = 0.0;
};

/// Remembers requests that crashed targets, by fingerprint, in bounded memory.
class quarantine_table {
public:
    /// Counts a crash.
    /// @returns the crashes counted so far.
    std::uint32_t record_crash(std::uint64_t fingerprint, std::uint32_t crashes, time_point now,
                               milliseconds lifetime);

    /// @returns whether a fingerprint has reached the limit.
    [[nodiscard]] bool is_quarantined(std::uint64_t fingerprint, std::uint32_t limit, time_point now) const;

    /// @returns the fingerprints and crashes that are remembered.
    [[nodiscard]] std::vector<std::pair<std::uint64_t, std::uint32_t>> list(time_point now) const;

private:
    struct entry {
        std::uint32_t crashes = 0;
        time_point expires{};
    };
    std::map<std::uint64_t, entry> entries_;
};

/// Fingerprint of a request.
/// @returns a hash of method, path and body.
[[nodiscard]] std::uint64_t fingerprint_of(std::string_view method, std::string_view path,
                                           std::string_view body);

/// What an entry knows of a target of an unkeyed service.
struct target_candidate {
    target_id target{};
    /// Requests that this instance has outstanding there.
    std::uint32_t outstanding = 0;
    std::uint32_t slots = 1;
    /// Busy share as its dispatcher reported it, which may be old.
    double reported_utilisation = 0.0;
    /// Mean time of the answers seen from it.
    microseconds mean_latency{};
    /// The target is in the entry's own data centre.
    bool local = false;
    /// Attempts of this request have failed there.
    bool already_tried = false;
};

/// Chooses among two random targets the one that is expected to answer first.
/// @param targets candidates.
/// @param random two random numbers in one.
/// @returns the index of the choice; the size of `targets` if there is none.
[[nodiscard]] std::size_t choose_target(std::span<const target_candidate> targets, std::uint64_t random);

} // namespace teaseltally
