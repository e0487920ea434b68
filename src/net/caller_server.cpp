#include <teaseltally/count_guard.hpp>
#include <teaseltally/net/caller_server.hpp>
#include <teaseltally/net/message_framing.hpp>
#include <teaseltally/net/message_reader.hpp>
#include <teaseltally/net/socket_state.hpp>

#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/write.hpp>

#include <array>

namespace teaseltally {
namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;
constexpr auto as_result = asio::as_tuple(asio::use_awaitable);
using request_parser = http::request_parser<http::string_body>;

constexpr std::size_t read_chunk_bytes = 2048;
/// Maximum time for writing a response to a caller.
constexpr milliseconds write_timeout{10'000};
/// Maximum time for which the remaining bytes of a refused request are read and discarded. Closing the
/// connection with unread bytes would reset it before the caller has read the response.
constexpr milliseconds linger_timeout{300};
/// Maximum number of bytes that are discarded of a refused request whose body is not too large.
constexpr std::size_t max_discarded_bytes = 256U << 10U;
constexpr milliseconds accept_retry_delay{10};
/// Time told to callers of an instance that takes no requests any more; another one serves them at once.
constexpr milliseconds closed_retry_after{50};

unsigned status_for(const error_code& ec)
{
    if (ec == http::error::body_limit)
        return 413;
    if (is_framing_excess(ec))
        return 431;
    if (ec == message_memory_error)
        return 503;
    if (ec == beast::error::timeout)
        return 408;
    return 400;
}

/// Returns whether the caller violated the protocol or a limit, as opposed to having closed the connection.
bool is_caller_error(const error_code& ec)
{
    if (ec == http::error::end_of_stream || ec == http::error::partial_message)
        return false;
    return ec == beast::error::timeout || ec == message_memory_error ||
           ec.category() == http::make_error_code(http::error::bad_value).category();
}

/// Detects that a caller closes its connection while its request is being routed.
class disconnect_monitor {
public:
    /// @param owner keeps the socket alive until the wait has ended.
    /// @param request request that is notified.
    disconnect_monitor(std::shared_ptr<void> owner, asio::ip::tcp::socket& socket,
                       std::shared_ptr<routed_request> request)
    {
        socket.async_wait(
            asio::ip::tcp::socket::wait_read,
            asio::bind_cancellation_slot(signal_.slot(), [owner = std::move(owner), &socket,
                                                          request = std::move(request)](error_code ec) {
                if (ec == asio::error::operation_aborted)
                    return;
                if (ec || peer_has_closed(socket))
                    request->on_caller_disconnected();
            }));
    }
    ~disconnect_monitor() { signal_.emit(asio::cancellation_type::terminal); }
    disconnect_monitor(const disconnect_monitor&) = delete;
    disconnect_monitor& operator=(const disconnect_monitor&) = delete;
    disconnect_monitor(disconnect_monitor&&) = delete;
    disconnect_monitor& operator=(disconnect_monitor&&) = delete;

private:
    asio::cancellation_signal signal_;
};

} // namespace

struct caller_server::shared_state : std::enable_shared_from_this<shared_state> {
    struct connection {
        explicit connection(asio::ip::tcp::socket socket) : stream(std::move(socket)) {}
        beast::tcp_stream stream;
        beast::flat_buffer buffer;
    };

    shared_state(asio::any_io_executor server_executor, const tcp_endpoint& listen_endpoint,
                 std::size_t connection_limit, request_router& shared_router)
        : executor(std::move(server_executor)), acceptor(executor, listen_endpoint),
          max_connections(connection_limit), router(shared_router)
    {
    }

    asio::any_io_executor executor;
    asio::ip::tcp::acceptor acceptor;
    std::size_t max_connections;
    request_router& router;
    rejection_observer rejected;
    std::set<connection*> idle;
    std::optional<milliseconds> body_timeout;
    std::size_t open_connections = 0;
    std::size_t active_requests = 0;
    bool draining = false;
    bool closed = false;

    [[nodiscard]] caller_limits limits() const
    {
        return router.table() ? router.table()->configured().limits : caller_limits{};
    }
    asio::awaitable<void> accept();
    /// Accepts the connections that wait to be accepted, whose requests may have arrived.
    void accept_waiting();
    asio::awaitable<void> serve(std::shared_ptr<connection> caller);
    asio::awaitable<error_code> wait_for_request(connection& caller);
    asio::awaitable<error_code> read_request(connection& caller, request_parser& parser,
                                             memory_reservation& held);
    asio::awaitable<bool> write_response(connection& caller, http_response response, unsigned version,
                                         bool keep_alive, bool is_head);
    asio::awaitable<void> refuse(connection& caller, error_code ec);
    asio::awaitable<bool> serve_one(const std::shared_ptr<connection>& caller);
};

asio::awaitable<void> caller_server::shared_state::accept()
{
    const auto self = shared_from_this();
    while (!closed) {
        auto [ec, socket] = co_await acceptor.async_accept(as_result);
        if (ec == asio::error::operation_aborted || closed)
            co_return;
        if (ec) {
            co_await sleep_for(accept_retry_delay);
            continue;
        }
        if (open_connections >= max_connections)
            continue;
        error_code ignored;
        socket.set_option(asio::ip::tcp::no_delay(true), ignored);
        asio::co_spawn(executor, serve(std::make_shared<connection>(std::move(socket))), asio::detached);
    }
}

void caller_server::shared_state::accept_waiting()
{
    error_code ec;
    acceptor.non_blocking(true, ec);
    while (!ec && open_connections < max_connections) {
        asio::ip::tcp::socket socket(executor);
        acceptor.accept(socket, ec);
        if (!ec)
            asio::co_spawn(executor, serve(std::make_shared<connection>(std::move(socket))), asio::detached);
    }
}

asio::awaitable<error_code> caller_server::shared_state::wait_for_request(connection& caller)
{
    if (caller.buffer.size() > 0)
        co_return error_code{};
    if (!closed) {
        idle.insert(&caller);
        caller.stream.expires_after(limits().idle_timeout);
        const auto [ec, count] =
            co_await caller.stream.async_read_some(caller.buffer.prepare(read_chunk_bytes), as_result);
        idle.erase(&caller);
        caller.buffer.commit(count);
        if (!closed || !ec)
            co_return ec;
    }
    // A request that has arrived is answered also if the connection was closed before it was read.
    error_code ec;
    if (caller.stream.socket().available(ec) == 0)
        co_return asio::error::operation_aborted;
    const auto [read_ec, count] =
        co_await caller.stream.async_read_some(caller.buffer.prepare(read_chunk_bytes), as_result);
    caller.buffer.commit(count);
    co_return read_ec;
}

asio::awaitable<error_code> caller_server::shared_state::read_request(connection& caller,
                                                                      request_parser& parser,
                                                                      memory_reservation& held)
{
    framing_budget budget(limits().header_bytes, caller.buffer.size());
    message_reader<true> reader(caller.stream, caller.buffer, parser, budget, &router.memory());
    caller.stream.expires_after(limits().header_timeout);
    if (const auto header_ec = co_await reader.read_header())
        co_return header_ec;
    if (beast::iequals(parser.get()[http::field::expect], "100-continue") && !parser.is_done()) {
        http::response<http::empty_body> continue_response{http::status::continue_, 11};
        const auto [write_ec, written] =
            co_await http::async_write(caller.stream, continue_response, as_result);
        if (write_ec)
            co_return write_ec;
    }
    if (!parser.is_done()) {
        trailer_filter filter(parser);
        caller.stream.expires_after(body_timeout.value_or(limits().idle_timeout));
        if (const auto ec = co_await reader.read_rest())
            co_return ec;
        filter.remove_trailers();
        shrink_large_buffer(caller.buffer);
    }
    held = reader.release_memory();
    held.set_purpose(memory_purpose::serving_requests);
    co_return error_code{};
}

asio::awaitable<bool> caller_server::shared_state::write_response(connection& caller, http_response response,
                                                                  unsigned version, bool keep_alive,
                                                                  bool is_head)
{
    response.version(version);
    for (const auto field : {http::field::keep_alive, http::field::proxy_connection, http::field::te,
                             http::field::trailer, http::field::transfer_encoding, http::field::upgrade})
        response.erase(field);
    response.keep_alive(keep_alive);
    if (!is_head)
        response.prepare_payload();
    else
        response.body().clear();
    caller.stream.expires_after(write_timeout);
    message_hold hold(&router.memory(), memory_purpose::writing_responses, [&] { caller.stream.cancel(); });
    hold.set(occupied_bytes(response.body().size(), response.body().capacity()), boot_clock::now());
    http::response_serializer<http::string_body> serializer{response};
    if (is_head) {
        const auto [ec, written] = co_await http::async_write_header(caller.stream, serializer, as_result);
        co_return !ec && keep_alive;
    }
    const auto [ec, written] = co_await http::async_write(caller.stream, serializer, as_result);
    co_return !ec && keep_alive;
}

asio::awaitable<void> caller_server::shared_state::refuse(connection& caller, error_code ec)
{
    if (is_framing_excess(ec) && rejected) {
        error_code ignored;
        rejected(caller.stream.socket().remote_endpoint(ignored), ec);
    }
    const bool has_no_memory = ec == message_memory_error;
    auto response = make_response(status_for(ec), has_no_memory ? "no memory is left for the request\n"
                                                                : describe_read_failure(ec) + "\n");
    if (has_no_memory)
        response.set(http::field::retry_after, format_seconds(memory_retry_after));
    co_await write_response(caller, std::move(response), 11, false, false);
    error_code ignored;
    caller.stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    caller.stream.expires_after(linger_timeout);
    std::array<char, read_chunk_bytes> discarded{};
    std::size_t discarded_bytes = 0;
    while (ec == http::error::body_limit || discarded_bytes < max_discarded_bytes) {
        const auto [read_ec, count] =
            co_await caller.stream.async_read_some(asio::buffer(discarded), as_result);
        if (read_ec)
            co_return;
        discarded_bytes += count;
    }
}

asio::awaitable<bool> caller_server::shared_state::serve_one(const std::shared_ptr<connection>& caller)
{
    if (co_await wait_for_request(*caller))
        co_return false;
    const count_guard request_count(active_requests);
    std::optional<request_parser> reading(std::in_place);
    auto& parser = *reading;
    memory_reservation held;
    const auto request_limits = limits();
    parser.header_limit(static_cast<std::uint32_t>(request_limits.header_bytes));
    parser.body_limit(request_limits.body_bytes);
    if (const auto ec = co_await read_request(*caller, parser, held)) {
        // The bytes read so far are not kept while the rest is discarded.
        reading.reset();
        caller->buffer = {};
        if (is_caller_error(ec))
            co_await refuse(*caller, ec);
        co_return false;
    }
    // The caller may have closed its connection before its request was read.
    if (caller->buffer.size() == 0 && peer_has_closed(caller->stream.socket()))
        co_return false;
    const bool keep_alive_requested = parser.keep_alive();
    const bool is_head = parser.get().method() == http::verb::head;
    const unsigned version = parser.get().version();
    // A request that is complete only now might be cut off by the end of the process.
    if (closed) {
        auto refusal = make_response(503, "the instance is stopping\n");
        refusal.set(http::field::retry_after, format_seconds(closed_retry_after));
        co_return co_await write_response(*caller, std::move(refusal), version, false, is_head);
    }
    caller->stream.expires_never();
    error_code address_ec;
    const auto caller_address = caller->stream.socket().remote_endpoint(address_ec).address();
    auto request =
        std::make_shared<routed_request>(executor, parser.release(), caller_address, boot_clock::now());
    request->memory = std::move(held);
    std::optional<http_response> response;
    {
        std::optional<disconnect_monitor> monitor;
        if (caller->buffer.size() == 0)
            monitor.emplace(caller, caller->stream.socket(), request);
        response = co_await router.serve(request);
    }
    if (!response)
        co_return false;
    request->release_memory();
    const bool keep_alive = keep_alive_requested && !draining;
    co_return co_await write_response(*caller, std::move(*response), version, keep_alive, is_head);
}

asio::awaitable<void> caller_server::shared_state::serve(std::shared_ptr<connection> caller)
{
    const auto self = shared_from_this();
    const count_guard connection_count(open_connections);
    while (co_await serve_one(caller))
        continue;
    error_code ignored;
    caller->stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
}

caller_server::caller_server(asio::any_io_executor executor, const tcp_endpoint& listen_endpoint,
                             std::size_t max_connections, request_router& router)
    : state_(std::make_shared<shared_state>(std::move(executor), listen_endpoint, max_connections, router))
{
    asio::co_spawn(state_->executor, state_->accept(), asio::detached);
}

caller_server::~caller_server()
{
    close_idle();
}

void caller_server::set_body_timeout(milliseconds timeout)
{
    state_->body_timeout = timeout;
}

void caller_server::set_rejection_observer(rejection_observer observer)
{
    state_->rejected = std::move(observer);
}

tcp_endpoint caller_server::local_endpoint() const
{
    return state_->acceptor.local_endpoint();
}

void caller_server::drain()
{
    state_->draining = true;
}

void caller_server::close_idle()
{
    state_->draining = true;
    state_->closed = true;
    state_->accept_waiting();
    error_code ignored;
    state_->acceptor.close(ignored);
    for (auto* caller : state_->idle)
        caller->stream.cancel();
}

std::size_t caller_server::active_requests() const noexcept
{
    return state_->active_requests;
}

std::size_t caller_server::open_connections() const noexcept
{
    return state_->open_connections;
}

} // namespace teaseltally
