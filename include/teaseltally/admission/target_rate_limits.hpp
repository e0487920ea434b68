#pragma once

#include <teaseltally/types.hpp>

#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

/// @file
/// Rate limits that targets name in their responses. All instances together keep to them: one instance issues
/// permits, and a request is sent to a limited target only with a permit.

namespace teaseltally {

/// What one response of a target says about the target's rate limit.
struct rate_limit_statement {
    /// Whether the response has the header.
    bool present = false;
    /// Requests per second; nothing if the header is missing or malformed.
    std::optional<double> per_s;
};

/// Parses the value of the rate limit header, a decimal number of requests per second.
/// @returns the limit, or nothing if the text is malformed, negative or too large to be a limit.
[[nodiscard]] std::optional<double> parse_rate_limit(std::string_view text) noexcept;

/// Rate limit of one target incarnation as known at some time.
struct rate_limit {
    /// Requests per second; nothing if the target does not limit them.
    std::optional<double> per_s;
    /// Time of the response that states it.
    time_point stated_at{};
};

/// Latest known rate limits by target incarnation. Of two statements the later one counts, whichever instance
/// received it.
class rate_limit_table {
public:
    /// Applies a statement.
    /// @returns whether the limit changed.
    bool apply(const std::string& incarnation, const rate_limit& stated);
    /// Returns the limit of a target; null if it is not known to limit its requests.
    [[nodiscard]] const rate_limit* find(std::string_view incarnation) const;
    /// Returns the latest statement about a target, which may be the end of a limit; null if there is none.
    [[nodiscard]] const rate_limit* latest(std::string_view incarnation) const;
    /// Forgets statements that no response has renewed for a long time.
    void remove_expired(time_point now);

private:
    std::map<std::string, rate_limit, std::less<>> limits_;
};

/// Returns the name of the permits for a target while it is cold. They are issued under a name of their own,
/// as the target's responses say nothing of this limit.
[[nodiscard]] std::string cold_permit_name(std::string_view incarnation);

/// Request for permits, sent to the instance that issues them.
struct permit_request {
    std::string incarnation;
    /// Limit that the requesting instance knows.
    rate_limit known;
    /// Number of permits; zero if the request only reports the limit.
    unsigned count = 0;
};

/// Answer to a `permit_request`.
struct permit_grant {
    std::string incarnation;
    /// Limit that the issuing instance knows.
    rate_limit known;
    /// Number of permits granted.
    unsigned granted = 0;
    /// Time until the next permit can be granted; zero if permits were granted.
    microseconds wait{0};
};

/// Issues permits for limited targets from one token bucket for each.
class permit_issuer {
public:
    /// Grants the permits that the limit of the target allows now, at most as many as requested. If the
    /// target does not limit its requests, it grants all.
    [[nodiscard]] permit_grant grant(const permit_request& request, time_point now);
    /// Grants permits for the first of several targets that allows any.
    /// @returns the answers for the targets up to that one, or for all if none allows any.
    [[nodiscard]] std::vector<permit_grant> grant_first(std::span<const permit_request> requests,
                                                        time_point now);
    /// Forgets all buckets and starts with empty ones, as another instance may have issued permits meanwhile.
    void restart() { buckets_.clear(); }
    /// Records a limit for which another instance issues the permits.
    void record_limit(const std::string& incarnation, const rate_limit& known)
    {
        limits_.apply(incarnation, known);
    }
    /// Returns the limits known to the issuer.
    [[nodiscard]] const rate_limit_table& limits() const noexcept { return limits_; }
    /// Forgets targets for which no instance has requested permits for a long time.
    void remove_expired(time_point now);

private:
    struct bucket {
        double tokens = 0;
        time_point updated_at{};
    };
    rate_limit_table limits_;
    std::map<std::string, bucket, std::less<>> buckets_;
};

/// Permits that one instance holds. While the issuing instance cannot be reached, permits accrue here at an
/// equal part of each limit.
class permit_holder {
public:
    /// Records the statement of a response.
    /// @param sent_at time when the request of the response was sent. A response without a limit ends only
    /// limits that were named before that, since responses may overtake each other.
    /// @returns whether the known limit changed.
    bool on_response(const std::string& incarnation, const rate_limit_statement& statement,
                     time_point sent_at, time_point now);
    /// Records a limit that is known from elsewhere than a response.
    void record_limit(const std::string& incarnation, const rate_limit& known)
    {
        limits_.apply(incarnation, known);
    }
    /// Sets the part of the time between two permits for a cold target by which this instance is later than
    /// others while it issues its own, so that those of all instances do not come together.
    void set_phase(double phase) noexcept { phase_ = phase; }
    /// Returns whether requests to a target need permits.
    [[nodiscard]] bool is_limited(std::string_view incarnation) const
    {
        return limits_.find(incarnation) != nullptr;
    }
    /// Returns whether a permit for a limited target is held.
    [[nodiscard]] bool has_permit(const std::string& incarnation, time_point now);
    /// Uses one permit; a target that does not limit its requests needs none.
    /// @returns whether the request may be sent.
    [[nodiscard]] bool use_permit(const std::string& incarnation, time_point now);
    /// Returns the time before which there is no point in requesting permits for a target.
    [[nodiscard]] time_point held_back_until(std::string_view incarnation) const;

    /// Returns the request for the permits that this instance is likely to need next.
    [[nodiscard]] permit_request next_request(const std::string& incarnation, time_point now);
    /// Returns a request that reports the known limit and asks for no permits.
    [[nodiscard]] permit_request report(const std::string& incarnation) const;
    /// Applies the answer of the issuing instance.
    void on_grant(const permit_grant& grant, time_point now);
    /// Records that the issuing instance did not answer a request. Permits accrue here until it answers
    /// again.
    void on_issuer_unreachable(time_point now);
    /// Sets the number of instances that share the limits.
    void set_instance_count(unsigned count) noexcept { instance_count_ = count; }
    /// Forgets targets that have not been used for a long time.
    void remove_expired(time_point now);

private:
    struct held_permits {
        unsigned count = 0;
        /// Time until which the permits may be used, so that saved ones do not make a burst.
        time_point valid_until{};
        time_point held_back_until{};
        /// Part of the pause for equal use by all instances that this one makes; falls while others leave
        /// permits.
        double pause_share = 1;
        /// Permits used since `used_from`, and the rate of use in the time before.
        unsigned used = 0;
        time_point used_from{};
        double used_per_s = 0;
        /// Permits that have accrued here, and the time until which they have.
        double own_tokens = 0;
        time_point own_tokens_at{};
    };
    [[nodiscard]] double own_rate(double limit_per_s) const noexcept;
    void accrue_own_tokens(std::string_view incarnation, held_permits& held, double per_s, time_point now);

    rate_limit_table limits_;
    std::map<std::string, held_permits, std::less<>> permits_;
    /// Time of the first of the latest consecutive requests that the issuer did not answer.
    std::optional<time_point> unreachable_since_;
    /// Time before which the issuer is not asked again.
    time_point unreachable_until_{};
    /// High until the actual number is known, so that the limits are not exceeded.
    unsigned instance_count_ = 40;
    double phase_ = 0;
};

/// Encodes requests for another instance: one as a JSON array, several as an array of such arrays.
[[nodiscard]] std::string encode(std::span<const permit_request> requests, time_point now);
/// Decodes the result of `encode`.
/// @returns the requests, at least one; nothing if the text is malformed.
[[nodiscard]] std::optional<std::vector<permit_request>> decode_permit_requests(std::string_view text,
                                                                                time_point now);
/// Encodes the answers to requests like the requests.
[[nodiscard]] std::string encode(std::span<const permit_grant> grants, time_point now);
/// Decodes the result of `encode`.
/// @returns the answers, at least one; nothing if the text is malformed.
[[nodiscard]] std::optional<std::vector<permit_grant>> decode_permit_grants(std::string_view text,
                                                                            time_point now);

} // namespace teaseltally
