#pragma once

#include "support/fake_store.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <bitset>
#include <set>

/// @file
/// Stand-in for a target on the platform. Requests with the header `X-Lethal` end it.

namespace teaseltally::test {

/// One request that a target began to execute.
struct target_run {
    std::string target;
    std::string request_id;
    std::string path;
    bool lethal = false;
    time_point started{};
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
};

/// Target that listens on loopback and registers in a store. It runs requests concurrently, each only if it
/// holds the request's key, if there is one.
class fake_target {
public:
    /// Starts the first incarnation and registers it.
    /// @param endpoint address and port on which all incarnations listen.
    /// @param runs receives every request that the target begins to execute.
    fake_target(asio::io_context& io, fake_store& store, tcp_endpoint endpoint, std::string service,
                std::string data_centre, target_behaviour behaviour, std::vector<target_run>& runs);

    /// Returns the id of the current incarnation.
    [[nodiscard]] const std::string& id() const noexcept { return id_; }
    /// Returns how many incarnations have ended.
    [[nodiscard]] unsigned ends() const noexcept { return ends_; }
    /// Ends the process: resets all connections, stops listening and restarts later.
    void end();
    /// Resets all connections and goes on.
    void reset_connections();

private:
    struct connection;

    void start_incarnation();
    void register_incarnation();
    asio::awaitable<void> accept(unsigned incarnation);
    asio::awaitable<void> serve(std::shared_ptr<connection> caller, unsigned incarnation);
    asio::awaitable<http_response> execute(http_request request, unsigned incarnation);
    [[nodiscard]] http_response handle_order(const http_request& request);
    asio::awaitable<void> restart();

    asio::io_context& io_;
    fake_store& store_;
    std::string service_;
    std::string data_centre_;
    target_behaviour behaviour_;
    std::vector<target_run>& runs_;
    asio::ip::tcp::acceptor acceptor_;
    tcp_endpoint endpoint_;
    std::set<std::shared_ptr<connection>> connections_;
    std::bitset<65536> held_keys_;
    std::string id_;
    unsigned ends_ = 0;
};

} // namespace teaseltally::test
