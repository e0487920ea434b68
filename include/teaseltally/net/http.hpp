#pragma once

#include <teaseltally/result.hpp>
#include <teaseltally/types.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <variant>
#include <vector>

/// @file
/// HTTP/1.1 over Asio: a client with kept connections and a server.

namespace teaseltally {

namespace asio = boost::asio;
using http_request = boost::beast::http::request<boost::beast::http::string_body>;
using http_response = boost::beast::http::response<boost::beast::http::string_body>;
using tcp_endpoint = asio::ip::tcp::endpoint;

/// An exchange that brought no whole response.
struct http_failure {
    /// Whether any byte of the request may have reached the other side.
    bool sent = false;
    /// Whether the time was over.
    bool timed_out = false;
    std::string message;
};

using http_outcome = std::variant<http_response, http_failure>;

/// Parses "IP:PORT".
/// @param text the address.
/// @returns the endpoint, or `configuration_bad_value`.
[[nodiscard]] result<tcp_endpoint> parse_endpoint(std::string_view text);

/// Sets a connected socket up for requests: bytes leave at once, and a close drops what has not arrived, so
/// that a request that was given up does not arrive after a partition has healed. Beast's streams close when
/// they are destroyed; a plain socket has to be closed, since its destructor takes the option back.
void configure_client_socket(asio::ip::tcp::socket& socket);

/// Limits of a client.
struct http_client_limits {
    std::size_t max_connections_per_endpoint = 256;
    std::size_t max_body_bytes = 16U << 20U;
};

/// Sends requests over kept connections. A response belongs to the request that was written last on
/// its connection; a connection that ends in doubt is never used again.
class http_client {
public:
    http_client(asio::any_io_executor executor, http_client_limits limits);
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;
    http_client(http_client&&) = delete;
    http_client& operator=(http_client&&) = delete;

    /// Called just before the first byte is written; false refuses the write.
    using write_permit = std::function<bool()>;

    /// Sends a request and waits for the whole response.
    /// @param to where to.
    /// @param request the request.
    /// @param deadline time by which the response must be whole.
    /// @param permit asked just before the write; may be empty.
    /// @returns the response or the failure.
    [[nodiscard]] asio::awaitable<http_outcome> exchange(tcp_endpoint endpoint, http_request request,
                                                         time_point deadline, write_permit permit = {});

    /// @returns open connections to an endpoint.
    [[nodiscard]] std::size_t open_connections(const tcp_endpoint& endpoint) const;

private:
    class pooled_connection;
    struct endpoint_pool {
        std::vector<std::unique_ptr<boost::beast::tcp_stream>> idle;
        std::size_t open_connections = 0;
    };

    asio::any_io_executor executor_;
    http_client_limits limits_;
    std::map<tcp_endpoint, endpoint_pool> pools_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

/// Limits of a server.
struct http_server_limits {
    std::size_t max_connections = 4096;
    std::size_t max_body_bytes = 1U << 20U;
    /// Time within which a request must have arrived whole once it began.
    milliseconds read_timeout{10'000};
    /// Time for which an idle connection is kept.
    milliseconds idle_timeout{60'000};
    /// Time within which a response must have been taken.
    milliseconds write_timeout{10'000};
};

/// Accepts connections and answers requests one at a time on each.
class http_server {
public:
    using handler = std::function<asio::awaitable<http_response>(http_request)>;

    /// Listens at once.
    /// @param at address and port; port zero takes one from the system.
    /// @param handle answers a request; it is cancelled when the caller closes its connection.
    http_server(asio::any_io_executor executor, const tcp_endpoint& listen_endpoint,
                http_server_limits limits, handler request_handler);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;
    http_server(http_server&&) = delete;
    http_server& operator=(http_server&&) = delete;

    /// @returns the address listened on.
    [[nodiscard]] tcp_endpoint local_endpoint() const;
    /// Answers what still comes and closes each connection after its response; after a while closes idle
    /// connections and accepts no more.
    /// @param idle_time how long callers may still use connections that they hold.
    void drain(milliseconds grace_period);
    /// @returns whether a drain has closed what was idle.
    [[nodiscard]] bool drained() const noexcept;
    /// @returns requests that are being answered.
    [[nodiscard]] std::size_t active_requests() const noexcept;

private:
    struct shared_state;
    std::shared_ptr<shared_state> state_;
};

/// Makes a response with a text body.
[[nodiscard]] http_response make_response(unsigned status, std::string body,
                                          std::string_view content_type = "text/plain");

/// Makes a request with a text body.
[[nodiscard]] http_request make_request(boost::beast::http::verb verb, std::string_view target,
                                        std::string body = {});

/// Waits.
/// @param duration how long.
[[nodiscard]] asio::awaitable<void> sleep_for(microseconds duration);

} // namespace teaseltally
