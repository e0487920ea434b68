#pragma once

#include <teaseltally/admission/target_load.hpp>
#include <teaseltally/knowledge/target_directory.hpp>
#include <teaseltally/net/header_names.hpp>
#include <teaseltally/net/http.hpp>

#include <boost/beast/core/flat_buffer.hpp>

#include <memory>
#include <vector>

/// @file
/// One target with its connections, and one exchange with it.

namespace teaseltally {

/// A connection to a target.
struct target_connection {
    explicit target_connection(const asio::any_io_executor& executor) : stream(executor) {}
    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer;
    /// When the connection must not be used any more, since the target may close it.
    time_point expires_at{};
    bool reused = false;
};

/// A target as one instance sees it.
class target_node {
public:
    target_node(asio::any_io_executor executor, target_entry entry, tcp_endpoint target_endpoint,
                microseconds expected_service_time);

    [[nodiscard]] const target_entry& entry() const noexcept { return entry_; }
    /// Takes in a newer registration of the same target.
    void update(target_entry entry, time_point now);
    [[nodiscard]] target_load& load() noexcept { return load_; }
    [[nodiscard]] const tcp_endpoint& endpoint() const noexcept { return endpoint_; }

    /// Takes an idle connection, or a new one that is not connected yet.
    /// @param now the present time.
    /// @param limit greatest number of open connections.
    /// @returns the connection, or null if the limit is reached.
    [[nodiscard]] std::unique_ptr<target_connection> acquire(time_point now, unsigned limit);
    /// Gives a connection back for reuse.
    void release(std::unique_ptr<target_connection> connection);
    /// Gives a connection up.
    void discard(std::unique_ptr<target_connection> connection);
    [[nodiscard]] unsigned open_connections() const noexcept { return open_connections_; }
    /// Closes idle connections that expired, or all of them.
    void close_idle(time_point now, bool all);

private:
    asio::any_io_executor executor_;
    target_entry entry_;
    tcp_endpoint endpoint_;
    target_load load_;
    std::vector<std::unique_ptr<target_connection>> idle_connections_;
    unsigned open_connections_ = 0;
};

/// How an exchange with a target ended.
enum class exchange_status {
    /// The target's own whole answer.
    answered,
    /// The target stated that it did not execute the request, or the request was not sent.
    not_executed,
    /// The target is another one than expected.
    misdirected,
    /// The request was sent and may have been executed.
    outcome_unknown,
};

/// What an exchange brought.
struct exchange_result {
    exchange_status status = exchange_status::outcome_unknown;
    http_response response;
    /// Whether a connection could be had at all.
    bool connected = false;
    /// Whether an idle connection turned out to be closed before a byte of the answer came.
    bool stale_connection = false;
    std::optional<reported_load> load;
    /// Why, for the log.
    std::string reason;
};

/// Sends a request and reads its answer. The connection is returned to the node or discarded. An answer
/// counts for something only if it echoes the request's id.
/// @param node the target; outlives the exchange.
/// @param request the request as the target gets it.
/// @param headers names of the headers; they outlive the exchange.
/// @param connection connection that `node` gave; the caller may close its socket to cancel.
/// @param deadline when to give up.
[[nodiscard]] asio::awaitable<exchange_result>
exchange_with_target(std::shared_ptr<target_node> node, std::shared_ptr<const http_request> request,
                     const header_names& headers, std::unique_ptr<target_connection> connection,
                     time_point deadline);

} // namespace teaseltally
