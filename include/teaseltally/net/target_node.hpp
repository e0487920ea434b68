#pragma once

#include <teaseltally/admission/crash_quarantine.hpp>
#include <teaseltally/admission/owner_queue.hpp>
#include <teaseltally/admission/target_load.hpp>
#include <teaseltally/admission/target_statements.hpp>
#include <teaseltally/knowledge/target_directory.hpp>
#include <teaseltally/net/header_names.hpp>
#include <teaseltally/net/http.hpp>
#include <teaseltally/net/message_memory.hpp>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/span_body.hpp>

#include <algorithm>
#include <cstdint>
#include <memory>
#include <span>
#include <vector>

/// @file
/// Connections to a target, and the exchange of a request and its response.

namespace teaseltally {

/// Connection to a target.
struct target_connection {
    /// @param executor executor of the exchanges over the connection.
    explicit target_connection(const asio::any_io_executor& executor) : stream(executor) {}
    /// Stream; not connected in a new connection.
    boost::beast::tcp_stream stream;
    /// Bytes received but not yet parsed.
    boost::beast::flat_buffer buffer;
    /// Number of the connection among those of its target.
    std::uint64_t number = 0;
    /// Time from which the connection must not be reused, because the target may close it.
    time_point expires_at{};
    /// Whether an earlier exchange used the connection.
    bool reused = false;
};

/// Request to a target: a header of its own, and a view of a body that it does not own.
using target_request = boost::beast::http::request<boost::beast::http::span_body<const char>>;

/// Evacuation of a data centre, whose targets get no more requests until it ends.
struct evacuation {
    /// Time when it became known.
    time_point since{};
    /// Time until which requests may still reach the owners of keys that have not moved yet.
    time_point owners_until{};
};

/// Target as known to one instance: its registration, its load and its connections. Not thread-safe.
class target_node {
public:
    /// @param executor executor of new connections.
    /// @param entry registration of the target.
    /// @param target_endpoint address and port of the target.
    /// @param expected_service_time execution time that is assumed before the first measurement.
    /// @param statements what the incarnation has said so far.
    target_node(asio::any_io_executor executor, target_entry entry, tcp_endpoint target_endpoint,
                microseconds expected_service_time,
                std::shared_ptr<target_statements> statements = std::make_shared<target_statements>());

    /// Returns the registration that was last applied.
    [[nodiscard]] const target_entry& entry() const noexcept { return entry_; }
    /// Applies a newer registration of the same target.
    void update(target_entry entry, time_point now);
    /// Returns the load of the target as estimated by this instance.
    [[nodiscard]] target_load& load() noexcept { return load_; }
    /// Returns the queue of this instance's requests for keys that only the target can execute.
    [[nodiscard]] owner_queue& queue() noexcept { return queue_; }
    /// Returns what the target has said about itself.
    [[nodiscard]] target_statements& statements() noexcept { return *statements_; }
    [[nodiscard]] const target_statements& statements() const noexcept { return *statements_; }
    /// Returns the time since which the target is known to be leaving, from its registration or from what it
    /// has said; nothing if it is not.
    [[nodiscard]] std::optional<time_point> leaving_since() const noexcept
    {
        const auto& said = statements_->leaving_since();
        return entry_.draining && said ? std::min(draining_since_, said)
                                       : (entry_.draining ? draining_since_ : said);
    }
    /// Returns whether the target is leaving, so that it gets no new requests.
    [[nodiscard]] bool is_leaving() const noexcept { return leaving_since().has_value(); }
    /// Sets the evacuation of the target's data centre; nothing ends it.
    void set_evacuation(const std::optional<evacuation>& evacuated) noexcept { evacuation_ = evacuated; }
    /// Returns whether the target's data centre is being evacuated.
    [[nodiscard]] bool is_evacuated() const noexcept { return evacuation_.has_value(); }
    /// Returns the time since which the target must get no new requests, also as the only one that can
    /// execute them, because it is leaving, another process responds at its address or the time to evacuate
    /// it is over; nothing if it may get some.
    [[nodiscard]] std::optional<time_point> unusable_since(time_point now) const noexcept
    {
        std::optional<time_point> first;
        const auto include = [&](const std::optional<time_point>& since) {
            if (since)
                first = std::min(first.value_or(*since), *since);
        };
        include(leaving_since());
        include(statements_->unconfirmed_since());
        if (evacuation_ && now >= evacuation_->owners_until)
            include(std::max(evacuation_->since, evacuation_->owners_until));
        return first;
    }
    /// Returns whether the target may get new requests for keys that it owns.
    [[nodiscard]] bool is_usable_owner(time_point now) const noexcept { return !unusable_since(now); }
    /// Returns whether the target may get new requests that others can execute too.
    [[nodiscard]] bool is_usable() const noexcept
    {
        return !is_leaving() && !statements_->unconfirmed_since() && !is_evacuated();
    }
    /// Returns the name of the target incarnation that is registered.
    [[nodiscard]] const std::string& incarnation() const noexcept { return incarnation_; }
    /// Returns the name of the permits for the incarnation while it is cold.
    [[nodiscard]] const std::string& cold_permit() const noexcept { return cold_permit_; }
    /// Returns the address and port of the target.
    [[nodiscard]] const tcp_endpoint& endpoint() const noexcept { return endpoint_; }

    /// Acquires an idle connection, or a new one that is not connected yet. Idle connections that have
    /// expired, were closed by the target or have unread bytes are discarded. If the limit is reached and all
    /// idle connections are excluded, one of them is replaced.
    /// @param limit maximum number of open connections.
    /// @param excluded numbers of the connections that have carried the request before: a copy of the
    /// response from then would be taken for the next one, however late it comes.
    /// @returns the connection, or null if the limit is reached.
    [[nodiscard]] std::unique_ptr<target_connection> acquire(time_point now, unsigned limit,
                                                             std::span<const std::uint64_t> excluded = {});
    /// Returns whether a connection may be acquired: one is idle, or fewer than the limit are open.
    /// @param limit maximum number of open connections.
    [[nodiscard]] bool may_acquire(unsigned limit) const noexcept
    {
        return open_connections_ < limit || has_idle_connection();
    }
    /// Adds a connection to the idle connections, for reuse.
    void release(std::unique_ptr<target_connection> connection);
    /// Closes a connection.
    void discard(std::unique_ptr<target_connection> connection);
    /// Returns whether a connection is idle, that is, whether a request may need no new one.
    [[nodiscard]] bool has_idle_connection() const noexcept { return !idle_connections_.empty(); }
    /// Records whether a new connection was established.
    /// @param at time when it was established or failed.
    void record_connection(bool established, time_point at) noexcept
    {
        connection_failed_at_ = established ? time_point{} : at;
    }
    /// Returns the time of the last failure to connect if no connection was established since.
    [[nodiscard]] time_point connection_failed_at() const noexcept { return connection_failed_at_; }
    /// Returns the number of connections that are idle or in use.
    [[nodiscard]] unsigned open_connections() const noexcept { return open_connections_; }
    /// Closes idle connections.
    /// @param all whether to close also the connections that have not expired.
    void close_idle(time_point now, bool all);

private:
    asio::any_io_executor executor_;
    target_entry entry_;
    std::string incarnation_;
    std::string cold_permit_;
    tcp_endpoint endpoint_;
    target_load load_;
    owner_queue queue_;
    /// Time since which the registration says that the target is leaving, if it says so.
    std::optional<time_point> draining_since_;
    std::optional<evacuation> evacuation_;
    std::shared_ptr<target_statements> statements_;
    std::vector<std::unique_ptr<target_connection>> idle_connections_;
    unsigned open_connections_ = 0;
    std::uint64_t last_connection_number_ = 0;
    time_point connection_failed_at_{};
};

/// Result of an exchange with a target.
enum class exchange_status {
    /// A complete response of the target itself was received.
    answered,
    /// The target reported that it did not execute the request, or the request was not sent.
    not_executed,
    /// The process at the address is another target than the expected one, or does not hold the key.
    misdirected,
    /// The request was sent and may have been executed, but no valid response was received.
    outcome_unknown,
};

/// How the connection to a target failed.
enum class connection_failure {
    /// It did not fail, or the target sent something else than a valid response.
    none,
    /// This process closed it before the response was complete.
    abandoned,
    /// No process listens at the address.
    refused,
    /// It was closed or reset before the response was complete.
    lost,
    /// The response was not complete by the deadline.
    timed_out,
};

/// Outcome of an exchange with a target.
struct exchange_result {
    /// Result of the exchange.
    exchange_status status = exchange_status::outcome_unknown;
    /// Last response that was read; complete if `status` is `answered`.
    http_response response;
    /// Memory of the response.
    memory_reservation memory;
    /// Whether a connection to the target was established.
    bool connected = false;
    /// How the connection failed.
    connection_failure failure = connection_failure::none;
    /// Whether a reused connection failed before a byte of the response was received.
    bool stale_connection = false;
    /// Whether the request was not sent because the target asked for rest, or became known to be leaving or
    /// not to respond at its address, or was evacuated, while a connection was established.
    bool held_back = false;
    /// What the target said about itself in its response.
    target_statement statement;
    /// Cause of a failure, for the log.
    std::string reason;
};

/// Sends a request to a target and reads the response. The connection is released to the node or discarded. A
/// response is accepted only if it repeats the identifier of the request.
/// @param node target of the request; the exchange keeps it alive.
/// @param request request as it is sent to the target; its body outlives the exchange.
/// @param headers names of the headers; they outlive the exchange.
/// @param connection connection that was acquired from `node`. Its socket may be closed to cancel the
/// exchange.
/// @param deadline time at which the exchange is abandoned.
/// @param memory account of the response, which waits or is given up when there is no room; it outlives the
/// result.
/// @returns the outcome; errors are reported in it.
[[nodiscard]] asio::awaitable<exchange_result>
exchange_with_target(std::shared_ptr<target_node> node, std::shared_ptr<const target_request> request,
                     const header_names& headers, std::unique_ptr<target_connection> connection,
                     time_point deadline, message_memory& memory);

} // namespace teaseltally
