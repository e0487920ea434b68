#include "support/link_proxy.hpp"

#include "support/run.hpp"

#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <netinet/in.h>
#include <sys/socket.h>

namespace teaseltally::test {
namespace {

constexpr std::size_t block_bytes = std::size_t{16} << 10U;
constexpr milliseconds hold_check_interval{5};

void reset(asio::ip::tcp::socket& socket)
{
    boost::system::error_code ignored;
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

/// Returns whether the peer has reset a connection, also if bytes that it sent before are unread.
bool is_reset(asio::ip::tcp::socket& socket)
{
    int code = 0;
    socklen_t size = sizeof(code);
    return !socket.is_open() ||
           ::getsockopt(socket.native_handle(), SOL_SOCKET, SO_ERROR, &code, &size) != 0 || code != 0;
}

} // namespace

struct link_proxy::link {
    link(asio::ip::tcp::socket accepted, asio::io_context& io) : client(std::move(accepted)), server(io) {}
    asio::ip::tcp::socket client;
    asio::ip::tcp::socket server;
};

link_proxy::link_proxy(asio::io_context& io, const tcp_endpoint& listen_endpoint, tcp_endpoint server)
    : io_(io), acceptor_(io), server_(std::move(server))
{
    acceptor_.open(listen_endpoint.protocol());
    acceptor_.set_option(asio::socket_base::reuse_address(true));
    acceptor_.bind(listen_endpoint);
    acceptor_.listen();
    asio::co_spawn(io_, accept(), asio::detached);
}

void link_proxy::reset_connections()
{
    for (const auto& open : links_) {
        reset(open->client);
        reset(open->server);
    }
}

asio::awaitable<void> link_proxy::accept()
{
    while (acceptor_.is_open()) {
        auto [failed, socket] = co_await acceptor_.async_accept(as_result);
        if (failed)
            co_return;
        if (condition_.refuses)
            reset(socket);
        else
            asio::co_spawn(io_, serve(std::make_shared<link>(std::move(socket), io_)), asio::detached);
    }
}

asio::awaitable<void> link_proxy::serve(std::shared_ptr<link> connection)
{
    links_.insert(connection);
    boost::system::error_code failed;
    connection->client.set_option(asio::ip::tcp::no_delay(true), failed);
    const auto client_address = connection->client.remote_endpoint(failed).address();
    if (!failed) {
        connection->server.open(server_.protocol());
        connection->server.set_option(asio::ip::tcp::no_delay(true));
        // A port that bind reserves would be lost to all other addresses.
        connection->server.set_option(
            asio::detail::socket_option::boolean<IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT>(true));
        connection->server.bind({client_address, 0}, failed);
    }
    if (!failed)
        std::tie(failed) = co_await connection->server.async_connect(server_, as_result);
    if (failed) {
        reset(connection->client);
        links_.erase(connection);
        co_return;
    }
    asio::co_spawn(io_, pump(connection, direction::to_client), asio::detached);
    co_await pump(connection, direction::to_server);
    links_.erase(connection);
}

asio::awaitable<void> link_proxy::pump(std::shared_ptr<link> connection, direction way)
{
    auto& from = way == direction::to_server ? connection->client : connection->server;
    auto& to = way == direction::to_server ? connection->server : connection->client;
    std::array<char, block_bytes> block{};
    while (true) {
        const auto [failed, count] = co_await from.async_read_some(asio::buffer(block), as_result);
        const bool was_held = holds(way);
        while (holds(way))
            co_await sleep_for(hold_check_interval);
        co_await sleep_for(condition_.delay);
        if (was_held && !condition_.delivers_abandoned && is_reset(from)) {
            reset(to);
            co_return;
        }
        if (failed == asio::error::eof) {
            boost::system::error_code ignored;
            to.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
            co_return;
        }
        if (failed) {
            reset(to);
            co_return;
        }
        if (const auto [write_failed, written] =
                co_await asio::async_write(to, asio::buffer(block.data(), count), as_result);
            write_failed) {
            reset(from);
            co_return;
        }
    }
}

} // namespace teaseltally::test
