#pragma once

#include <teaseltally/net/rejection_log.hpp>
#include <teaseltally/net/request_router.hpp>

#include <memory>
#include <set>

/// @file
/// Server for callers: reads requests, passes them to the router and writes the responses.

namespace teaseltally {

/// HTTP/1.1 server for callers. Serves one request at a time on each connection. The current routing
/// configuration sets the limits on the size of requests and on the time for receiving them.
class caller_server {
public:
    /// Starts listening.
    /// @param listen_endpoint address and port; port 0 lets the system assign one.
    /// @param max_connections maximum number of open connections; further connections are closed at once.
    /// @param router routes the requests; it outlives the server and its connections.
    /// @throws boost::system::system_error if the endpoint cannot be bound.
    caller_server(asio::any_io_executor executor, const tcp_endpoint& listen_endpoint,
                  std::size_t max_connections, request_router& router);
    /// Closes the listener and the idle connections.
    ~caller_server();
    caller_server(const caller_server&) = delete;
    caller_server& operator=(const caller_server&) = delete;
    caller_server(caller_server&&) = delete;
    caller_server& operator=(caller_server&&) = delete;

    /// Sets the time by which a body must have been received, counted from the end of its header. Without it,
    /// the idle timeout of the routing configuration applies.
    void set_body_timeout(milliseconds timeout);
    /// Sets a function that is called for each request that is refused because of its framing.
    void set_rejection_observer(rejection_observer observer);
    /// Returns the address and port that the server listens on.
    [[nodiscard]] tcp_endpoint local_endpoint() const;
    /// Makes every further response close its connection.
    void drain();
    /// Closes the listener and the connections that have no request in progress.
    void close_idle();
    /// Returns the number of requests being read, routed or answered.
    [[nodiscard]] std::size_t active_requests() const noexcept;
    /// Returns the number of open connections.
    [[nodiscard]] std::size_t open_connections() const noexcept;

private:
    struct shared_state;
    std::shared_ptr<shared_state> state_;
};

} // namespace teaseltally
