#include <teaseltally/count_guard.hpp>
#include <teaseltally/log_line.hpp>
#include <teaseltally/net/request_relay.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/this_coro.hpp>

#include <algorithm>
#include <array>
#include <charconv>

namespace teaseltally {
namespace {

namespace http = boost::beast::http;

constexpr auto method_header = "tt-relay-method";
constexpr auto target_header = "tt-relay-target";
constexpr auto caller_header = "tt-relay-caller";
constexpr auto service_header = "tt-relay-service";
constexpr auto body_header = "tt-relay-body";
constexpr auto sends_header = "tt-relay-sends";
constexpr auto unknown_outcomes_header = "tt-relay-unknown";
constexpr auto status_header = "tt-relay-status";
/// Set in the result of an instance that has just started; earlier versions ignore it.
constexpr auto starting_header = "tt-relay-starting";
/// Set in the result of an instance that has no route for the request; earlier versions ignore it.
constexpr auto route_missing_header = "tt-relay-route-missing";
constexpr std::array status_names{"answered", "refused", "declined", "target_unreachable", "unknown"};

constexpr milliseconds min_backoff{500};
constexpr milliseconds max_backoff{4000};
constexpr unsigned max_backoff_doublings = 3;
/// Time for which an instance is left out whose process has ended or is starting: asking costs a round trip.
constexpr milliseconds restart_backoff{100};
/// Time for which an instance is expected back after its process has ended, the time that requests wait for a
/// move of their key.
constexpr milliseconds max_return_time{1000};
/// Time without a response after which an instance is probed while requests wait there, and the time limit of
/// the probe, as for the links to targets.
constexpr milliseconds silence_limit{500};
constexpr milliseconds probe_timeout{400};
/// Number of random candidates among which the one with the fewest relayed requests is chosen.
constexpr std::size_t candidate_count = 2;

std::string text_of(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

std::optional<unsigned> parse_count(boost::beast::string_view text)
{
    unsigned value = 0;
    const auto [end, failed] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (text.empty() || failed != std::errc{} || end != text.data() + text.size())
        return std::nullopt;
    return value;
}

} // namespace

http_request encode_relayed_request(const relayed_request& request)
{
    auto message = request.message;
    const bool has_body = message.has_content_length() || message.chunked();
    message.set(method_header, message.method_string());
    message.set(target_header, message.target());
    message.set(caller_header, request.caller.to_string());
    message.set(service_header, request.service);
    message.set(sends_header, std::to_string(request.sends));
    message.set(unknown_outcomes_header, std::to_string(request.unknown_outcomes));
    message.erase(body_header);
    if (has_body)
        message.set(body_header, "1");
    message.erase(http::field::transfer_encoding);
    message.erase(http::field::expect);
    message.method(http::verb::post);
    message.target(boost::beast::string_view{relay_path.data(), relay_path.size()});
    message.version(11);
    message.keep_alive(true);
    return message;
}

std::optional<relayed_request> decode_relayed_request(http_request message)
{
    relayed_request request;
    boost::system::error_code failed;
    request.caller = asio::ip::make_address(text_of(message[caller_header]), failed);
    const auto sends = parse_count(message[sends_header]);
    const auto unknown_outcomes = parse_count(message[unknown_outcomes_header]);
    const auto method = text_of(message[method_header]);
    const auto target = text_of(message[target_header]);
    if (failed || !sends || !unknown_outcomes || method.empty() || target.empty())
        return std::nullopt;
    request.service = text_of(message[service_header]);
    request.sends = *sends;
    request.unknown_outcomes = *unknown_outcomes;
    message.method_string(method);
    message.target(target);
    if (message.find(body_header) == message.end())
        message.content_length(boost::none);
    for (const auto* name : {method_header, target_header, caller_header, service_header, body_header,
                             sends_header, unknown_outcomes_header})
        message.erase(name);
    request.message = std::move(message);
    return request;
}

http_response make_memory_refusal(const http_request& header)
{
    auto response = make_response(503, "no memory is left for the request\n");
    response.set(http::field::retry_after, format_seconds(memory_retry_after));
    if (text_of(header.target()) != relay_path)
        return response;
    relay_result result;
    result.response = std::move(response);
    result.sends = parse_count(header[sends_header]).value_or(0);
    result.unknown_outcomes = parse_count(header[unknown_outcomes_header]).value_or(0);
    return encode_relay_result(std::move(result));
}

http_response encode_relay_result(relay_result result)
{
    auto message = std::move(result.response);
    message.set(status_header, status_names.at(static_cast<std::size_t>(result.status)));
    message.set(sends_header, std::to_string(result.sends));
    message.set(unknown_outcomes_header, std::to_string(result.unknown_outcomes));
    if (result.starting)
        message.set(starting_header, "1");
    if (result.route_missing)
        message.set(route_missing_header, "1");
    return message;
}

relay_result decode_relay_result(http_response message)
{
    relay_result result;
    result.responded = true;
    const auto status = std::ranges::find(status_names, text_of(message[status_header]));
    const auto sends = parse_count(message[sends_header]);
    const auto unknown_outcomes = parse_count(message[unknown_outcomes_header]);
    if (status == status_names.end() || !sends || !unknown_outcomes) {
        result.status = relay_status::outcome_unknown;
        return result;
    }
    result.status = static_cast<relay_status>(status - status_names.begin());
    result.sends = *sends;
    result.unknown_outcomes = *unknown_outcomes;
    result.starting = message.find(starting_header) != message.end();
    result.route_missing = message.find(route_missing_header) != message.end();
    for (const auto* name :
         {status_header, sends_header, unknown_outcomes_header, starting_header, route_missing_header})
        message.erase(name);
    result.response = std::move(message);
    return result;
}

std::optional<feed_member> request_relay::choose(const std::set<std::string>& asked, time_point now)
{
    std::vector<const feed_member*> candidates;
    std::vector<const feed_member*> suspects;
    for (const auto& member : members_) {
        const auto& peer = peers_[member.instance];
        if (member.instance == instance_ || asked.contains(member.instance) || peer.backoff_until > now)
            continue;
        if (!is_suspect(peer, now)) {
            candidates.push_back(&member);
            continue;
        }
        start_probe(member);
        if (!peer.unreachable)
            suspects.push_back(&member);
    }
    if (candidates.empty())
        candidates = std::move(suspects);
    const auto has_failed = [&](const feed_member* member) { return peers_[member->instance].failures > 0; };
    // A request finds out for the others whether one instance serves again, but not for several in turn.
    if (!asked.empty() && !std::ranges::all_of(candidates, has_failed))
        std::erase_if(candidates, has_failed);
    const auto remote = std::partition(candidates.begin(), candidates.end(), [&](const feed_member* member) {
        return member->data_centre == data_centre_;
    });
    if (remote != candidates.begin())
        candidates.erase(remote, candidates.end());
    if (candidates.empty())
        return std::nullopt;
    std::ranges::shuffle(candidates, random_);
    candidates.resize(std::min(candidates.size(), candidate_count));
    return **std::ranges::min_element(
        candidates, {}, [&](const feed_member* member) { return peers_[member->instance].in_flight; });
}

bool request_relay::is_suspect(const peer_state& peer, time_point now)
{
    return peer.unreachable ||
           (peer.in_flight > 0 && now - std::max(peer.responded_at, peer.waiting_since) > silence_limit);
}

void request_relay::start_probe(const feed_member& member)
{
    auto& peer = peers_[member.instance];
    if (peer.probing)
        return;
    peer.probing = true;
    asio::co_spawn(client_.executor(), probe(member), asio::detached);
}

asio::awaitable<void> request_relay::probe(feed_member member)
{
    const auto sent_at = boot_clock::now();
    std::optional<http_failure> failed;
    if (const auto endpoint = parse_endpoint(member.address); failure(endpoint) == nullptr)
        failed = co_await client_.probe(std::get<tcp_endpoint>(endpoint), sent_at + probe_timeout);
    auto& peer = peers_[member.instance];
    peer.probing = false;
    peer.unreachable = failed && !failed->refused;
    if (failed)
        record_condition(member.instance, condition_after(peer, sent_at, {}, failed), sent_at,
                         "probe: " + failed->message);
    else
        peer.responded_at = boot_clock::now();
}

bool request_relay::is_return_expected(time_point now) const
{
    return std::ranges::any_of(peers_,
                               [now](const auto& peer) { return now < peer.second.return_expected_until; });
}

request_relay::peer_condition request_relay::condition_after(const peer_state& peer, time_point sent_at,
                                                             const relay_result& result,
                                                             const std::optional<http_failure>& failed)
{
    if (result.starting || (failed && (failed->refused || (failed->sent && !failed->timed_out))))
        return peer_condition::restarting;
    // Its configuration is older than the one of this instance, or newer.
    if (result.route_missing)
        return peer_condition::unknown;
    // It has answered others meanwhile, so only this request took too long.
    if (failed && failed->timed_out && peer.responded_at > sent_at)
        return peer_condition::unknown;
    if (failed || result.status == relay_status::declined)
        return peer_condition::unavailable;
    return peer_condition::serving;
}

void request_relay::record_condition(const std::string& instance, peer_condition condition,
                                     time_point sent_at, const std::string& reason)
{
    if (condition == peer_condition::unknown)
        return;
    auto& peer = peers_[instance];
    if (condition == peer_condition::serving) {
        peer.failures = 0;
        peer.served = true;
        peer.return_expected_until = {};
        return;
    }
    const auto now = boot_clock::now();
    const bool restarting = condition == peer_condition::restarting;
    if (!restarting)
        peer.return_expected_until = {};
    else if (peer.served)
        peer.return_expected_until = now + max_return_time;
    peer.served = false;
    // Requests that were sent together say the same of the instance, so the first of them counts.
    if (sent_at < peer.backoff_until)
        return;
    auto duration = restart_backoff;
    if (restarting)
        peer.failures = 1;
    else
        duration =
            std::min(min_backoff * (1U << std::min(peer.failures++, max_backoff_doublings)), max_backoff);
    peer.backoff_until = now + duration;
    if (log_)
        log_(log_line("relay_left_out")
                 .add("instance", instance)
                 .add("reason", reason)
                 .add("took_ms", std::chrono::duration_cast<milliseconds>(now - sent_at).count())
                 .add("for_ms", duration.count())
                 .text());
}

asio::awaitable<relay_result> request_relay::send(feed_member to, relayed_request request,
                                                  time_point deadline)
{
    auto& peer = peers_[to.instance];
    const auto sent_at = boot_clock::now();
    if (peer.in_flight == 0)
        peer.waiting_since = sent_at;
    const count_guard in_flight(peer.in_flight);
    relay_result result;
    result.sends = request.sends;
    result.unknown_outcomes = request.unknown_outcomes;
    std::optional<http_failure> failed;
    if (const auto endpoint = parse_endpoint(to.address); failure(endpoint) == nullptr) {
        auto message = encode_relayed_request(request);
        result.memory = std::make_shared<memory_reservation>();
        auto outcome = co_await client_.exchange(std::get<tcp_endpoint>(endpoint), std::move(message),
                                                 deadline, {}, {}, {request.body, result.memory.get()});
        const auto cancellation = co_await asio::this_coro::cancellation_state;
        if (cancellation.cancelled() != asio::cancellation_type::none)
            co_return result;
        if (auto* response = std::get_if<http_response>(&outcome)) {
            auto memory = std::move(result.memory);
            result = decode_relay_result(std::move(*response));
            result.memory = std::move(memory);
        }
        else
            failed = std::get<http_failure>(outcome);
        if (failed && failed->sent)
            result.status = relay_status::outcome_unknown;
        if (result.status == relay_status::outcome_unknown && result.sends == request.sends) {
            ++result.sends;
            ++result.unknown_outcomes;
        }
    }
    if (result.responded) {
        peer.responded_at = boot_clock::now();
        peer.unreachable = false;
    }
    record_condition(to.instance, condition_after(peer, sent_at, result, failed), sent_at,
                     failed ? failed->message : result.response.body());
    co_return result;
}

} // namespace teaseltally
