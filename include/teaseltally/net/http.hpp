#pragma once

#include <teaseltally/net/message_memory.hpp>
#include <teaseltally/net/rejection_log.hpp>
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
#include <optional>
#include <set>
#include <span>
#include <string>
#include <variant>
#include <vector>

/// @file
/// HTTP/1.1 client with a connection pool, and HTTP/1.1 server, on Boost.Asio and Boost.Beast.

namespace teaseltally {

namespace asio = boost::asio;
/// Request with a body held as a string.
using http_request = boost::beast::http::request<boost::beast::http::string_body>;
/// Response with a body held as a string.
using http_response = boost::beast::http::response<boost::beast::http::string_body>;
/// IP address and TCP port.
using tcp_endpoint = asio::ip::tcp::endpoint;

/// Failure of an exchange that returned no complete response.
struct http_failure {
    /// Whether any byte of the request may have reached the server.
    bool sent = false;
    /// Whether the deadline was exceeded.
    bool timed_out = false;
    /// Cause, for logs.
    std::string message;
    /// Whether the host of the server refused the connection.
    bool refused = false;
    /// Whether the request was not sent because `connection_use::may_send_over` allowed no connection.
    bool withheld = false;
};

/// Complete response, or the failure that prevented it.
using http_outcome = std::variant<http_response, http_failure>;

/// Maximum size of the header of a response, in bytes. Beast's default of 8 KB is less than targets may send.
inline constexpr std::uint32_t max_response_header_bytes = 64U << 10U;

/// Parses an endpoint.
/// @param text address in the form "IP:PORT"; the port is decimal, from 0 to 65535.
/// @returns the endpoint, or an error with the code `configuration_bad_value`.
[[nodiscard]] result<tcp_endpoint> parse_endpoint(std::string_view text);

/// Configures a connected client socket: disables Nagle's algorithm, and makes a close reset the connection
/// and drop unsent data, so that an abandoned request does not arrive after a network partition has healed.
/// Streams of Beast are closed by their destructor; a plain socket must be closed explicitly, because its
/// destructor clears the linger option.
void configure_client_socket(asio::ip::tcp::socket& socket);

/// Time limits of an exchange.
struct exchange_limits {
    /// Sets a limit for the complete exchange.
    exchange_limits(time_point complete_by) : deadline(complete_by) {}
    /// Sets a limit for the beginning of the response. From then on the exchange lasts as long as bytes
    /// arrive.
    /// @param begun_by time by which the header of the response must have been received.
    /// @param longest_pause maximum time in which no byte of the body arrives.
    /// @param complete_by time by which the complete response must have been received all the same.
    exchange_limits(time_point begun_by, milliseconds longest_pause, time_point complete_by)
        : deadline(begun_by), max_pause(longest_pause), last_deadline(complete_by)
    {
    }

    /// Time by which the complete response, or its header if `max_pause` is not 0, must have been received.
    time_point deadline;
    milliseconds max_pause{0};
    time_point last_deadline{};
};

/// Limits of an HTTP client.
struct http_client_limits {
    /// Maximum number of open connections to one endpoint; an exchange that needs a further connection fails.
    std::size_t max_connections_per_endpoint = 256;
    /// Maximum size of a response body, in bytes.
    std::size_t max_body_bytes = 16U << 20U;
};

/// Which connection an exchange uses, and whether later ones may use it. Restricts what a copy of an earlier
/// response may say where it is taken for the response to a request, and to which process a request may go.
struct connection_use {
    /// Whether the exchange opens a connection of its own.
    bool new_connection = false;
    /// Returns whether the connection may be used again after a complete response. An empty function allows
    /// it.
    std::function<bool(const http_response&)> may_reuse_after;
    /// Returns whether the request may be sent over a connection that the server had accepted by the given
    /// time. It is called before a connection is chosen and again immediately before the write. An empty
    /// function allows it.
    std::function<bool(time_point)> may_send_over;
};

/// Time after which a request that was refused for lack of memory may be sent again: unfinished messages have
/// made room by then.
inline constexpr milliseconds memory_retry_after{1000};

/// Memory of the messages of an exchange.
struct exchange_memory {
    /// Body to send instead of the request's own; outlives the exchange.
    std::optional<std::span<const char>> body;
    /// Receives the memory of the response; null if it is not counted after the exchange.
    memory_reservation* response = nullptr;
};

/// HTTP client with a pool of persistent connections. Each connection carries one request at a time. It
/// returns to the pool only after a complete response, so that a late response is never taken for the
/// response to another request. A server that sends a response once more can still mislead it; see
/// `connection_use`.
class http_client {
public:
    /// Creates a client without connections.
    http_client(asio::any_io_executor executor, http_client_limits limits);
    /// Closes the idle connections; exchanges in progress close theirs when they end.
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;
    http_client(http_client&&) = delete;
    http_client& operator=(http_client&&) = delete;

    /// Called immediately before a request is written; returns whether it may be written.
    using write_permit = std::function<bool()>;

    /// Sends a request and reads the complete response.
    /// @param endpoint address and port of the server.
    /// @param request request to send; its payload headers are set here.
    /// @param limits time limits.
    /// @param permit called immediately before the write; if it returns false, nothing is sent. An empty
    /// function permits the write.
    /// @param use restricts the reuse of connections.
    /// @param memory memory of the messages.
    /// @returns the response, whatever its status, or the failure.
    [[nodiscard]] asio::awaitable<http_outcome> exchange(tcp_endpoint endpoint, http_request request,
                                                         exchange_limits limits, write_permit permit = {},
                                                         connection_use use = {},
                                                         exchange_memory memory = {});

    /// Connects to a server and closes the connection at once.
    /// @param deadline time by which the server must have accepted it.
    /// @returns the failure, or nothing if the server accepted the connection.
    [[nodiscard]] asio::awaitable<std::optional<http_failure>> probe(tcp_endpoint endpoint,
                                                                     time_point deadline);
    /// Sets a function that is called for each response that is given up because of its framing.
    void set_rejection_observer(rejection_observer observer) { rejected_ = std::move(observer); }
    /// Counts the responses that are read from now on.
    /// @param memory account, which outlives the client.
    void set_memory(message_memory& memory) { memory_ = &memory; }
    /// Returns the executor of the connections.
    [[nodiscard]] const asio::any_io_executor& executor() const noexcept { return executor_; }

    /// Returns the number of open connections to an endpoint, both idle and in use.
    [[nodiscard]] std::size_t open_connections(const tcp_endpoint& endpoint) const;

private:
    class pooled_connection;
    struct idle_connection {
        std::unique_ptr<boost::beast::tcp_stream> stream;
        /// Time by which the server had accepted the connection.
        time_point accepted_by;
    };
    struct endpoint_pool {
        std::vector<idle_connection> idle;
        std::size_t open_connections = 0;
    };

    asio::any_io_executor executor_;
    http_client_limits limits_;
    std::map<tcp_endpoint, endpoint_pool> pools_;
    rejection_observer rejected_;
    message_memory* memory_ = nullptr;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

/// Limits of an HTTP server.
struct http_server_limits {
    /// Maximum number of open connections; further connections are closed at once.
    std::size_t max_connections = 4096;
    /// Maximum size of a request body, in bytes; larger requests are answered with status 413.
    std::size_t max_body_bytes = 1U << 20U;
    /// Maximum size of a request's header, in bytes; larger requests are answered with status 431.
    std::uint32_t max_header_bytes = 8U << 10U;
    /// Maximum time from the first byte of a request until it is complete.
    milliseconds read_timeout{10'000};
    /// Maximum time that a connection stays open without a request.
    milliseconds idle_timeout{60'000};
    /// Maximum time for writing a response.
    milliseconds write_timeout{10'000};
};

/// HTTP server. Handles one request at a time on each connection.
class http_server {
public:
    /// Coroutine that returns the response to a request.
    using handler = std::function<asio::awaitable<http_response>(http_request)>;

    /// Starts listening.
    /// @param listen_endpoint address and port; port 0 lets the system assign one.
    /// @param request_handler returns the response to a request; it is not called if the client has closed
    /// its connection before, and cancelled when the client closes it.
    /// @throws boost::system::system_error if the endpoint cannot be bound.
    http_server(asio::any_io_executor executor, const tcp_endpoint& listen_endpoint,
                http_server_limits limits, handler request_handler);
    /// Closes the listener and the idle connections.
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;
    http_server(http_server&&) = delete;
    http_server& operator=(http_server&&) = delete;

    /// Sets a function that is called for each request that is rejected because of its framing.
    void set_rejection_observer(rejection_observer observer);
    /// Returns the response to a request that was not read because no memory is left.
    using memory_refusal = std::function<http_response(const http_request& header)>;
    /// Counts the messages from now on, and refuses requests for which there is no room.
    /// @param memory account, which outlives the server and its connections.
    void set_memory(message_memory& memory, memory_refusal refusal);
    /// Returns the address and port that the server listens on.
    [[nodiscard]] tcp_endpoint local_endpoint() const;
    /// Makes every further response close its connection, and after a grace period closes the listener and
    /// the idle connections.
    /// @param grace_period time for which clients may still send requests.
    void drain(milliseconds grace_period);
    /// Returns whether the listener and the idle connections have been closed.
    [[nodiscard]] bool drained() const noexcept;
    /// Returns the number of requests being handled or answered.
    [[nodiscard]] std::size_t active_requests() const noexcept;

private:
    struct shared_state;
    std::shared_ptr<shared_state> state_;
};

/// Returns an HTTP/1.1 response.
/// @param status status code, from 100 to 599.
/// @param content_type value of the content-type header.
[[nodiscard]] http_response make_response(unsigned status, std::string body,
                                          std::string_view content_type = "text/plain");

/// Returns an HTTP/1.1 request.
/// @param target path with an optional query.
[[nodiscard]] http_request make_request(boost::beast::http::verb verb, std::string_view target,
                                        std::string body = {});

/// Formats a time in seconds with three decimals, as a value of the Retry-After header.
[[nodiscard]] std::string format_seconds(milliseconds time);

/// Suspends the coroutine for a duration. Returns at once if the duration is zero or negative.
[[nodiscard]] asio::awaitable<void> sleep_for(microseconds duration);

} // namespace teaseltally
