#pragma once

#include "support/fake_store.hpp"
#include "support/ownership_history.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <algorithm>
#include <deque>
#include <functional>
#include <optional>
#include <set>
#include <vector>

/// @file
/// Stand-in for a target on the platform. Requests with the header `X-Lethal` end it.

namespace teaseltally::test {

/// One request that reached the target that it was meant for.
struct target_run {
    std::string target;
    std::string request_id;
    /// Address of the instance that sent the request.
    asio::ip::address from;
    std::string path;
    bool lethal = false;
    /// Time when the request reached the target.
    time_point arrived{};
    /// Time when the target began to execute the request; nothing if it has not.
    std::optional<time_point> started;
    /// Time when the target sent a response that names its rate limit; nothing if it has not.
    std::optional<time_point> limit_sent;
    /// Time when the target refused the request and asked for rest; nothing if it has not.
    std::optional<time_point> rest_asked;
    /// Time for which it asked for rest.
    milliseconds rest{};
    /// Time when the target answered that it is leaving; nothing if it has not.
    std::optional<time_point> leaving_said;
};

/// One request that a target has read, whatever it answers.
struct target_arrival {
    std::string service;
    std::string target;
    std::string request_id;
    time_point at{};
    /// Time that the request says its caller still waits.
    milliseconds time_left{};
};

/// How a target fails after it has executed a request.
enum class target_failure {
    none,
    reset,
    closed,
    half_head,
    half_body,
    /// The response ends in the trailers after its chunks.
    cut_trailers,
    /// The response has no length, and its connection is reset where it would end.
    reset_end,
    /// It answers uploads before it has read them, without a length, and resets their connections before the
    /// response is complete.
    early_reset,
    without_id,
    other_id,
    unsigned_503,
    signed_503,
    signed_429,
    signed_408,
    signed_421,
    silence,
    endless_head,
    endless_body,
    endless_interim,
    endless_garbage,
    /// The response is chunked, and its framing goes on without end (see `endless_chunked_forms`).
    endless_extension,
    endless_trailers,
    endless_zeros,
    endless_small_chunks,
    /// It does not fail, but a copy of each refusal follows late, before the next response of the connection.
    late_refusal,
    /// It does not fail, but when a request that it refused comes again over the same connection and is
    /// executed, a copy of that refusal comes before the response.
    repeated_refusal,
};

/// Behaviour of a stand-in target.
struct target_behaviour {
    /// Time that a request takes.
    milliseconds service_time{20};
    /// Time from the start of a lethal request until the target ends.
    milliseconds time_to_end{5};
    /// Time from the end of a target until its next incarnation listens and is registered.
    milliseconds restart_delay{900};
    /// Time from the end of a target until the store removes its registration.
    milliseconds expiry_delay{2600};
    /// Whether the service is keyed.
    bool keyed = false;
    /// Whether the next incarnation keeps the id.
    bool keeps_id = false;
    /// Number of requests that are executed concurrently.
    unsigned slots = 8;
    /// Number of requests that wait for a slot; further ones are refused.
    unsigned queue_length = 64;
    /// Whether it resets the connections of requests that find the queue full instead of answering them.
    bool resets_when_full = false;
    /// Endpoint that is registered, if it is not the target's own.
    std::optional<tcp_endpoint> registered_endpoint = {};
};

/// Target that listens on loopback and registers in a store. It runs a request only if it holds the request's
/// key, if there is one, and also if the connection has been closed meanwhile.
class fake_target {
public:
    /// Starts the first incarnation and registers it.
    /// @param endpoint address and port on which all incarnations listen; the host is part of their ids.
    /// @param runs receives every request that reaches the target.
    fake_target(asio::io_context& io, fake_store& store, tcp_endpoint endpoint, std::string service,
                std::string data_centre, target_behaviour behaviour, std::vector<target_run>& runs);

    /// Returns the id of the current incarnation.
    [[nodiscard]] const std::string& id() const noexcept { return id_; }
    /// Returns how many incarnations have ended.
    [[nodiscard]] unsigned ends() const noexcept { return ends_; }
    /// Sets the rate limit that the responses name from now on.
    /// @param per_s requests per second; nothing ends the limit.
    void name_limit(std::optional<double> per_s) { limits_.emplace_back(boot_clock::now(), per_s); }
    /// Returns the rate limits named so far, each with the time from which it was named.
    [[nodiscard]] const std::vector<std::pair<time_point, std::optional<double>>>& limits() const noexcept
    {
        return limits_;
    }
    /// Makes the target refuse all requests from now on and ask for rest.
    /// @param retry_after value of the `Retry-After` header; nothing ends it.
    void ask_for_rest(std::optional<std::string> retry_after) { retry_after_ = std::move(retry_after); }
    /// Makes all responses say from now on that the target is leaving; its registration does not.
    void say_leaving() { leaving_ = true; }
    /// Sets how the target fails from now on, with every second request that it executes.
    void set_failure(target_failure failure) { failure_ = failure; }
    /// Sets how many requests wait for a slot from now on; further ones are refused.
    void set_queue_length(unsigned length) { behaviour_.queue_length = length; }
    /// Sets how the target fails from now on with orders, health checks and requests that it does not
    /// execute.
    void set_reply_failure(target_failure failure) { reply_failure_ = failure; }
    /// Returns how many endless responses have been sent, and how many of them to their bound.
    [[nodiscard]] std::pair<std::size_t, std::size_t> endless_responses() const noexcept
    {
        return {endless_sent_, endless_taken_};
    }
    /// Sets a function that is called for each request that the target reads.
    void observe_arrivals(std::function<void(target_arrival)> observer) { observer_ = std::move(observer); }
    /// Makes the target refuse every third request from now on although it has room.
    void set_shedding(bool sheds) { sheds_ = sheds; }
    /// Ends the process: resets all connections, stops listening and restarts later.
    /// @param restarts whether there is a next incarnation.
    void end(bool restarts = true);
    /// Loses the registration and registers again after a time, without ending.
    asio::awaitable<void> lose_registration(milliseconds duration);
    /// Returns whether the target holds a key.
    [[nodiscard]] bool holds(unsigned key) const { return held_until_.at(key) > boot_clock::now(); }
    /// Writes the registration of the current incarnation.
    /// @param sequence sequence number of the registration.
    void write_registration(unsigned sequence);
    /// Registers as draining until the incarnation ends.
    void report_draining();
    /// Returns whether the target holds any key.
    [[nodiscard]] bool holds_any() const
    {
        return std::ranges::any_of(held_until_,
                                   [now = boot_clock::now()](time_point until) { return until > now; });
    }
    /// Returns the times at which requests and orders for another target arrived.
    [[nodiscard]] const std::vector<time_point>& misdirected() const noexcept { return misdirected_; }
    /// Writes a registration at this target's address under another id.
    void register_as(const std::string& id);
    /// Returns the orders about keys that have arrived, and the ends of incarnations.
    [[nodiscard]] const std::vector<key_event>& key_events() const noexcept { return key_events_; }
    /// Resets all connections and goes on.
    void reset_connections();
    /// Resets the connections from an address and goes on.
    void reset_connections_from(const asio::ip::address& caller);
    /// Sets from which addresses open connections are silent: nothing is read from them, and nothing is
    /// written.
    void set_silent(std::set<asio::ip::address> callers) { silent_ = std::move(callers); }

private:
    static constexpr std::size_t key_count = 65'536;
    struct connection;

    void start_incarnation();
    asio::awaitable<void> accept(unsigned incarnation);
    /// Begins the response to a request whose body has not been read, and resets the connection.
    asio::awaitable<void> respond_early(std::shared_ptr<connection> caller, std::string request_id);
    /// Sends the response to an executed request, or what the target sends instead of it.
    /// @returns whether the connection stays open.
    asio::awaitable<bool> respond(std::shared_ptr<connection> caller, http_response response);
    asio::awaitable<void> serve(std::shared_ptr<connection> caller, unsigned incarnation);
    asio::awaitable<http_response> execute(http_request request, asio::ip::address from,
                                           unsigned incarnation);
    /// Waits while a connection is silent.
    /// @returns whether the connection is still open.
    asio::awaitable<bool> wait_for_link(std::shared_ptr<connection> caller);
    asio::awaitable<http_response> handle_order(http_request request, unsigned incarnation);
    [[nodiscard]] bool is_working_on(unsigned from, unsigned to) const
    {
        const auto first = work_.lower_bound(from);
        return first != work_.end() && *first <= to;
    }
    void end_work_on(unsigned key) { work_.erase(work_.find(key)); }
    [[nodiscard]] std::string incarnation_name() const { return id_ + "#" + std::to_string(ends_); }
    asio::awaitable<void> restart(bool restarts);
    /// Waits for a slot in the order of the calls.
    /// @returns false if the incarnation has ended meanwhile.
    asio::awaitable<bool> wait_for_slot(unsigned incarnation);

    asio::io_context& io_;
    fake_store& store_;
    std::string service_;
    std::string data_centre_;
    target_behaviour behaviour_;
    std::vector<target_run>& runs_;
    asio::ip::tcp::acceptor acceptor_;
    tcp_endpoint endpoint_;
    std::set<std::shared_ptr<connection>> connections_;
    std::set<asio::ip::address> silent_;
    /// Times until which the keys are held.
    std::vector<time_point> held_until_ = std::vector<time_point>(key_count);
    /// Highest fences that the incarnation has seen on the keys.
    std::vector<std::uint64_t> fences_ = std::vector<std::uint64_t>(key_count);
    /// Keys of the requests that run or wait for a slot.
    std::multiset<unsigned> work_;
    std::vector<key_event> key_events_;
    std::string id_;
    unsigned ends_ = 0;
    unsigned running_ = 0;
    target_failure failure_ = target_failure::none;
    target_failure reply_failure_ = target_failure::none;
    std::size_t endless_sent_ = 0;
    std::size_t endless_taken_ = 0;
    std::size_t executed_ = 0;
    std::deque<std::uint64_t> queue_;
    std::uint64_t next_ticket_ = 0;
    std::vector<std::pair<time_point, std::optional<double>>> limits_;
    std::optional<std::string> retry_after_;
    bool leaving_ = false;
    bool draining_ = false;
    bool sheds_ = false;
    std::size_t sheddable_ = 0;
    std::vector<time_point> misdirected_;
    std::function<void(target_arrival)> observer_;
};

} // namespace teaseltally::test
