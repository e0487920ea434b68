#pragma once

#include <teaseltally/admission/target_load.hpp>
#include <teaseltally/admission/target_rate_limits.hpp>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

/// @file
/// What targets say about themselves in their responses, and for how long it counts.

namespace teaseltally {

/// Header of a response whose value is malformed and therefore ignored.
struct rejected_header {
    std::string name;
    std::string value;
};

/// What one response of a target says about the target.
struct target_statement {
    /// Load of the target.
    std::optional<reported_load> load;
    /// Rate limit that all instances together keep to.
    rate_limit_statement rate_limit;
    /// Time from the response during which the target wants no requests from this instance.
    std::optional<milliseconds> rest;
    /// Whether the target is leaving.
    bool leaving = false;
    /// Time for which the connection may stay idle.
    std::optional<milliseconds> idle_timeout;
    /// Headers that were ignored.
    std::vector<rejected_header> rejected;
};

/// Parses the time for which a target asks for rest, a decimal number of seconds.
/// @returns the time, at most ten minutes; nothing if the text is malformed or negative.
[[nodiscard]] std::optional<milliseconds> parse_rest(std::string_view text) noexcept;

/// Statements of one target incarnation that decide whether this instance may send it a request. After a
/// rest, one request at a time is sent until a response shows that the target does not ask for rest again.
class target_statements {
public:
    /// Applies a response.
    /// @param sent_at time when the request of the response was sent.
    void apply(const target_statement& statement, time_point sent_at, time_point now);
    /// Records that the target has said that it is leaving, perhaps to another instance.
    void mark_leaving(time_point now) noexcept;
    /// Returns the time since which the target is known to be leaving; nothing if it is not. An incarnation
    /// that leaves does not come back.
    [[nodiscard]] const std::optional<time_point>& leaving_since() const noexcept { return leaving_since_; }
    /// Records that another process than the target responds at the address of its registration, or may do
    /// so. Ignored if the request was sent before the one that was answered by the target itself.
    /// @param address address that is registered.
    /// @param asked_at time when the request was sent that the process has answered.
    /// @returns whether this is news.
    bool mark_unconfirmed(const std::string& address, time_point asked_at, time_point now);
    /// Records that the target itself responds at its address. Ignored if the request was sent before the one
    /// that was answered by another process.
    /// @param asked_at time when the request was sent that the target has answered.
    /// @returns whether this is news.
    bool confirm(time_point asked_at) noexcept;
    /// Records the address of a registration. What responds at another one does not count for it.
    void on_registered(const std::string& address) noexcept;
    /// Returns the time since which another process than the target is taken to respond at its address;
    /// nothing if none is.
    [[nodiscard]] const std::optional<time_point>& unconfirmed_since() const noexcept
    {
        return unconfirmed_since_;
    }
    /// Returns the time to wait before the next check who responds at the address. It doubles with each call
    /// until the target executes a request.
    [[nodiscard]] milliseconds next_check_delay() noexcept;
    /// Records that the target has executed a request.
    void on_executed() noexcept { check_delay_ = min_check_delay; }
    /// Records that a request was sent.
    void on_request_sent(time_point now) noexcept;
    /// Records that a request ended, with any outcome; called before the response is applied.
    /// @param sent_at time when the request was sent.
    void on_request_ended(time_point sent_at) noexcept;

    /// Returns whether the target has asked for rest that is not over.
    [[nodiscard]] bool is_resting(time_point now) const noexcept { return now < rest_until_; }
    /// Returns the end of the latest rest.
    [[nodiscard]] time_point rest_until() const noexcept { return rest_until_; }
    /// Returns the length of the latest rest.
    [[nodiscard]] milliseconds rest_length() const noexcept { return rest_length_; }
    /// Returns whether a request may be sent now.
    [[nodiscard]] bool may_send(time_point now) const noexcept
    {
        return !leaving_since_ && !unconfirmed_since_ && !is_resting(now) && !(returning_ && trial_sent_at_);
    }
    /// Records a header that was ignored.
    /// @returns whether it is the first one with this name, that is, whether to log it.
    [[nodiscard]] bool record_rejected(const std::string& header) { return rejected_.insert(header).second; }
    /// Returns whether the statements no longer decide anything.
    [[nodiscard]] bool is_outdated(time_point now) const noexcept;

private:
    /// Time from the first response of another process until it is checked who responds at the address.
    static constexpr milliseconds min_check_delay{500};

    std::optional<time_point> leaving_since_;
    std::optional<time_point> unconfirmed_since_;
    /// Address at which another process responded.
    std::string unconfirmed_address_;
    /// Time when the request was sent whose response decided last who responds at the address.
    time_point asked_at_{};
    milliseconds check_delay_{min_check_delay};
    time_point rest_until_{};
    milliseconds rest_length_{0};
    /// Whether no response since the rest has shown that the target takes requests again.
    bool returning_ = false;
    /// Time when the only request after the rest was sent; nothing if none is under way.
    std::optional<time_point> trial_sent_at_;
    std::set<std::string> rejected_;
};

/// Statements by target incarnation. They outlast the registration of the target, which may lapse and come
/// back.
class target_statement_table {
public:
    /// Returns the statements of an incarnation, which are empty at first.
    [[nodiscard]] std::shared_ptr<target_statements> of(const std::string& incarnation);
    /// Forgets incarnations that are not in use and whose statements no longer decide anything.
    void remove_expired(time_point now);

private:
    std::map<std::string, std::shared_ptr<target_statements>, std::less<>> statements_;
};

} // namespace teaseltally
