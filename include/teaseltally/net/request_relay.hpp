#pragma once

#include <teaseltally/net/header_names.hpp>
#include <teaseltally/net/http.hpp>
#include <teaseltally/net/peer_feed.hpp>

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

/// @file
/// Passes requests to other instances that can reach the targets.

namespace teaseltally {

/// Path of relayed requests on the peer interface.
inline constexpr std::string_view relay_path = "/relay";

/// A caller's request as it is passed to another instance.
struct relayed_request {
    /// Request of the caller; its deadline header holds the time that is left.
    http_request message;
    /// IP address of the caller.
    asio::ip::address caller;
    /// Service that the sender has chosen among the backends of the route.
    std::string service;
    /// Number of attempts that the sender has made.
    unsigned sends = 0;
    /// Number of these attempts that the target may have executed without a response.
    unsigned unknown_outcomes = 0;
    /// Body to send instead of the message's own, so that it is not copied; outlives the exchange.
    std::optional<std::span<const char>> body = std::nullopt;
};

/// What became of a relayed request.
enum class relay_status {
    /// The response is a target's own.
    answered,
    /// The other instance refused the request for all instances, for instance because of a limit; it was not
    /// executed.
    refused,
    /// The other instance reaches no target or does not know the route; the request was not executed, and
    /// another instance may be asked.
    declined,
    /// The other instance cannot reach the one target that may execute the request; it was not executed.
    target_unreachable,
    /// A target may have executed the request.
    outcome_unknown,
};

/// Result of a relayed request.
struct relay_result {
    /// Outcome of the relayed request.
    relay_status status = relay_status::declined;
    /// Response for the caller; empty if the other instance sent none.
    http_response response;
    /// Numbers of attempts and of attempts with unknown outcome, including those before the request was
    /// relayed.
    unsigned sends = 0;
    unsigned unknown_outcomes = 0;
    /// Whether the other instance responded.
    bool responded = false;
    /// Whether the other instance declined because it has just started and has no configuration yet.
    bool starting = false;
    /// Whether the other instance declined because its configuration has no route for this request.
    bool route_missing = false;
    /// Memory of the response; null if it is not counted.
    std::shared_ptr<memory_reservation> memory = nullptr;
};

/// Returns the message that carries a relayed request.
[[nodiscard]] http_request encode_relayed_request(const relayed_request& request);
/// Parses the message of a relayed request.
/// @returns the request, or nothing if the message is malformed.
[[nodiscard]] std::optional<relayed_request> decode_relayed_request(http_request message);
/// Returns the response to a message that was not read because no memory is left.
/// @param header header of the message. If it carries a relayed request, the response declines it.
[[nodiscard]] http_response make_memory_refusal(const http_request& header);
/// Returns the message that carries the result of a relayed request: its response with further headers.
[[nodiscard]] http_response encode_relay_result(relay_result result);
/// Parses the message of a result.
/// @returns the result with the outcome `outcome_unknown` if the message is malformed.
[[nodiscard]] relay_result decode_relay_result(http_response message);

/// Chooses the instances that requests are passed to. An instance that is unreachable or declines requests is
/// not asked again for a time, which is short if its process has ended or is starting. One that sends nothing
/// while requests wait there is probed with a connection; if that fails, it gets none until one succeeds.
class request_relay {
public:
    /// @param client client for relayed requests; it outlives the relay.
    /// @param instance name of this instance.
    /// @param data_centre data centre of this instance, whose instances are preferred.
    /// @param log receives a line whenever an instance is left out for a time; may be empty.
    request_relay(http_client& client, std::string instance, std::string data_centre,
                  std::function<void(const std::string&)> log = {})
        : client_(client), instance_(std::move(instance)), data_centre_(std::move(data_centre)),
          log_(std::move(log))
    {
    }

    /// Replaces the list of instances; it may include this instance.
    void set_members(std::vector<feed_member> members) { members_ = std::move(members); }
    /// Chooses an instance.
    /// @param asked names of the instances that have been asked already.
    /// @returns the instance, or nothing if all have been asked or have failed recently.
    [[nodiscard]] std::optional<feed_member> choose(const std::set<std::string>& asked, time_point now);
    /// Returns whether an instance that reached targets has ended so recently that it may be back soon.
    [[nodiscard]] bool is_return_expected(time_point now) const;
    /// Passes a request to an instance. The exchange is closed when the coroutine is cancelled, and the other
    /// instance then treats the caller as gone.
    /// @param deadline time by which the result is needed.
    [[nodiscard]] asio::awaitable<relay_result> send(feed_member to, relayed_request request,
                                                     time_point deadline);

private:
    /// State of one other instance.
    struct peer_state {
        unsigned in_flight = 0;
        unsigned failures = 0;
        time_point backoff_until{};
        /// Time of its last response or accepted probe.
        time_point responded_at{};
        /// Time since which at least one request has been in flight.
        time_point waiting_since{};
        /// Whether a probe is under way.
        bool probing = false;
        /// Whether the last probe got no answer.
        bool unreachable = false;
        /// Whether its last response showed that it reaches targets.
        bool served = false;
        /// Time until which it is expected back after its process has ended; not in use if it is past.
        time_point return_expected_until{};
    };

    /// Returns whether an instance has sent nothing for so long that it may be unreachable.
    [[nodiscard]] static bool is_suspect(const peer_state& peer, time_point now);
    /// Finds out with a connection whether an instance can be reached, unless a probe is under way.
    void start_probe(const feed_member& member);
    [[nodiscard]] asio::awaitable<void> probe(feed_member member);

    /// What the result of a relayed request says about the instance that it was passed to.
    enum class peer_condition {
        /// It reaches targets.
        serving,
        /// Its process has ended or has just started.
        restarting,
        /// It does not answer, reaches no target or is stopping.
        unavailable,
        /// Unknown: the result concerns one request only.
        unknown,
    };
    /// @param sent_at time when the request was sent.
    [[nodiscard]] static peer_condition condition_after(const peer_state& peer, time_point sent_at,
                                                        const relay_result& result,
                                                        const std::optional<http_failure>& failed);
    /// Records what a result says about an instance.
    /// @param sent_at time when the request was sent.
    /// @param reason why the instance did not serve, for the log.
    void record_condition(const std::string& instance, peer_condition condition, time_point sent_at,
                          const std::string& reason);

    http_client& client_;
    std::string instance_;
    std::string data_centre_;
    std::function<void(const std::string&)> log_;
    std::vector<feed_member> members_;
    std::map<std::string, peer_state, std::less<>> peers_;
    std::mt19937_64 random_{std::random_device{}()};
};

} // namespace teaseltally
