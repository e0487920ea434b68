#pragma once

#include <teaseltally/net/request_router.hpp>

#include <memory>
#include <set>

/// @file
/// The callers' side: reads requests, has them routed and writes the answers.

namespace teaseltally {

/// Accepts callers' connections and serves one request at a time on each.
class caller_server {
public:
    /// Listens at once.
    /// @param at address and port; port zero takes one from the system.
    /// @param connections greatest number of open connections.
    caller_server(asio::any_io_executor executor, const tcp_endpoint& listen_endpoint,
                  std::size_t max_connections, request_router& router);
    ~caller_server();
    caller_server(const caller_server&) = delete;
    caller_server& operator=(const caller_server&) = delete;
    caller_server(caller_server&&) = delete;
    caller_server& operator=(caller_server&&) = delete;

    [[nodiscard]] tcp_endpoint local_endpoint() const;
    /// From now on each answer closes its connection.
    void drain();
    /// Accepts no more and closes connections that wait for a request.
    void close_idle();
    /// @returns requests that are being read or answered.
    [[nodiscard]] std::size_t active_requests() const noexcept;
    /// @returns open connections.
    [[nodiscard]] std::size_t open_connections() const noexcept;

private:
    struct shared_state;
    std::shared_ptr<shared_state> state_;
};

} // namespace teaseltally
