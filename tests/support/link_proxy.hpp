#pragma once

#include <teaseltally/net/http.hpp>

#include <boost/asio/io_context.hpp>

#include <memory>
#include <set>

/// @file
/// Loopback proxy between the processes under test and a server.

namespace teaseltally::test {

/// Disturbances of a link; all off by default.
struct link_condition {
    /// Time by which bytes are delayed in each direction.
    milliseconds delay{0};
    /// Whether bytes to the server, or from it, are held until this is switched off.
    bool holds_requests = false;
    bool holds_responses = false;
    /// Whether new connections are reset.
    bool refuses = false;
    /// Whether held bytes are delivered although their sender has reset its connection meanwhile. Networks
    /// lose them, other proxies may not.
    bool delivers_abandoned = false;
};

/// Passes on the bytes of connections to a server. Connects from the address of the client, so that the
/// server can tell clients apart.
class link_proxy {
public:
    /// Starts listening.
    /// @param listen_endpoint address and port of the proxy.
    /// @param server endpoint to which each connection is passed on.
    link_proxy(asio::io_context& io, const tcp_endpoint& listen_endpoint, tcp_endpoint server);

    /// Sets how bytes and connections are treated from now on.
    void set_condition(const link_condition& condition) { condition_ = condition; }
    [[nodiscard]] const link_condition& condition() const noexcept { return condition_; }
    /// Resets all connections in both directions and goes on.
    void reset_connections();

private:
    struct link;
    enum class direction { to_server, to_client };

    asio::awaitable<void> accept();
    asio::awaitable<void> serve(std::shared_ptr<link> connection);
    asio::awaitable<void> pump(std::shared_ptr<link> connection, direction way);
    [[nodiscard]] bool holds(direction way) const noexcept
    {
        return way == direction::to_server ? condition_.holds_requests : condition_.holds_responses;
    }

    asio::io_context& io_;
    asio::ip::tcp::acceptor acceptor_;
    tcp_endpoint server_;
    link_condition condition_;
    std::set<std::shared_ptr<link>> links_;
};

} // namespace teaseltally::test
