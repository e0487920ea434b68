#include <teaseltally/count_guard.hpp>
#include <teaseltally/net/http.hpp>
#include <teaseltally/net/message_framing.hpp>
#include <teaseltally/net/message_reader.hpp>
#include <teaseltally/net/socket_state.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/span_body.hpp>
#include <boost/beast/http/write.hpp>

#include <array>
#include <charconv>
#include <sys/socket.h>
#include <tuple>

namespace teaseltally {
namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;
constexpr std::size_t read_chunk_bytes = 4096;
/// Maximum number of bytes that are discarded of a request whose framing is too large.
constexpr std::size_t max_discarded_bytes = 256U << 10U;
constexpr auto as_result = asio::as_tuple(asio::use_awaitable);

/// Returns whether an idle connection is closed or has received unexpected bytes.
bool is_stale(asio::ip::tcp::socket& socket)
{
    char byte = 0;
    const auto count = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return !(count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK));
}

std::chrono::steady_clock::duration time_left(time_point deadline)
{
    return std::max<microseconds>(deadline - boot_clock::now(), microseconds{0});
}

http_failure make_failure(bool sent, const error_code& code)
{
    return {sent, code == beast::error::timeout, describe_read_failure(code),
            !sent && code == asio::error::connection_refused};
}

http_failure make_withheld_failure()
{
    return {false, false, "no connection may be used", false, true};
}

bool may_send_over(const connection_use& use, time_point accepted_by)
{
    return !use.may_send_over || use.may_send_over(accepted_by);
}

} // namespace

result<tcp_endpoint> parse_endpoint(std::string_view text)
{
    const auto colon = text.rfind(':');
    error_code ec;
    std::uint16_t port = 0;
    if (colon != std::string_view::npos) {
        const auto address = asio::ip::make_address(std::string{text.substr(0, colon)}, ec);
        const auto digits = text.substr(colon + 1);
        const auto [end, parse_error] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
        if (!ec && parse_error == std::errc{} && end == digits.data() + digits.size())
            return tcp_endpoint{address, port};
    }
    return error{result_code::configuration_bad_value, "address \"" + std::string{text} + "\" is not IP:PORT",
                 ""};
}

void configure_client_socket(asio::ip::tcp::socket& socket)
{
    error_code ignored;
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
}

http_client::http_client(asio::any_io_executor executor, http_client_limits limits)
    : executor_(std::move(executor)), limits_(limits)
{
}

http_client::~http_client()
{
    *alive_ = false;
}

/// Connection reserved for one exchange. Returns to the pool if it is marked reusable, and closes otherwise.
class http_client::pooled_connection {
public:
    pooled_connection(http_client& client, const tcp_endpoint& endpoint, const connection_use& use)
        : client_(client), endpoint_(endpoint), alive_(client.alive_)
    {
        auto& pool = client_.pools_[endpoint_];
        for (auto index = pool.idle.size(); !use.new_connection && index-- > 0 && !stream_;) {
            if (!may_send_over(use, pool.idle[index].accepted_by))
                continue;
            stream_ = std::move(pool.idle[index].stream);
            accepted_by_ = pool.idle[index].accepted_by;
            pool.idle.erase(pool.idle.begin() + static_cast<std::ptrdiff_t>(index));
            if (is_stale(stream_->socket())) {
                stream_.reset();
                --pool.open_connections;
            }
        }
        connected_ = stream_ != nullptr;
        withheld_ = !connected_ && !may_send_over(use, boot_clock::now());
        if (!connected_ && !withheld_ &&
            pool.open_connections < client_.limits_.max_connections_per_endpoint) {
            ++pool.open_connections;
            stream_ = std::make_unique<beast::tcp_stream>(client_.executor_);
        }
    }

    ~pooled_connection()
    {
        if (!stream_ || !*alive_)
            return;
        auto& pool = client_.pools_[endpoint_];
        if (reusable_)
            pool.idle.push_back({std::move(stream_), accepted_by_});
        else
            --pool.open_connections;
    }

    pooled_connection(const pooled_connection&) = delete;
    pooled_connection& operator=(const pooled_connection&) = delete;
    pooled_connection(pooled_connection&&) = delete;
    pooled_connection& operator=(pooled_connection&&) = delete;

    [[nodiscard]] beast::tcp_stream* stream() const { return stream_.get(); }
    [[nodiscard]] bool connected() const { return connected_; }
    /// Returns whether no connection may be used.
    [[nodiscard]] bool withheld() const { return withheld_; }
    /// Returns the time by which the server had accepted the connection.
    [[nodiscard]] time_point accepted_by() const { return accepted_by_; }
    void set_connected() { accepted_by_ = boot_clock::now(); }
    void mark_reusable() { reusable_ = true; }

private:
    http_client& client_;
    tcp_endpoint endpoint_;
    std::shared_ptr<bool> alive_;
    std::unique_ptr<beast::tcp_stream> stream_;
    time_point accepted_by_{};
    bool connected_ = false;
    bool withheld_ = false;
    bool reusable_ = false;
};

namespace {

/// Reads a response. With `exchange_limits::max_pause`, its body may take longer than its header, as long as
/// the body itself goes on.
asio::awaitable<error_code> read_response(beast::tcp_stream& stream, beast::flat_buffer& buffer,
                                          http::response_parser<http::string_body>& parser,
                                          exchange_limits limits, message_memory* memory,
                                          memory_reservation* held)
{
    parser.header_limit(max_response_header_bytes);
    framing_budget budget(max_response_header_bytes);
    message_reader<false> reader(stream, buffer, parser, budget, memory, memory_purpose::reading_responses);
    if (const auto ec = co_await reader.read_header())
        co_return ec;
    trailer_filter filter(parser);
    while (!parser.is_done()) {
        if (limits.max_pause.count() > 0)
            stream.expires_after(
                time_left(std::min(boot_clock::now() + limits.max_pause, limits.last_deadline)));
        if (const auto ec = co_await reader.read_some())
            co_return ec;
    }
    filter.remove_trailers();
    if (held != nullptr)
        *held = reader.release_memory();
    co_return error_code{};
}

} // namespace

asio::awaitable<http_outcome> http_client::exchange(tcp_endpoint endpoint, http_request request,
                                                    exchange_limits limits, write_permit permit,
                                                    connection_use use, exchange_memory memory)
{
    pooled_connection connection(*this, endpoint, use);
    if (connection.withheld())
        co_return make_withheld_failure();
    auto* stream = connection.stream();
    if (stream == nullptr)
        co_return http_failure{false, false,
                               "connection limit of the endpoint reached: " +
                                   std::to_string(limits_.max_connections_per_endpoint)};
    stream->expires_after(time_left(limits.deadline));
    if (!connection.connected()) {
        if (const auto [ec] = co_await stream->async_connect(endpoint, as_result); ec)
            co_return make_failure(false, ec);
        connection.set_connected();
        configure_client_socket(stream->socket());
    }
    if (!may_send_over(use, connection.accepted_by()))
        co_return make_withheld_failure();
    if (permit && !permit())
        co_return http_failure{false, false, "write permit denied"};
    error_code write_failed;
    if (memory.body) {
        http::request<http::span_body<const char>> viewed{std::move(request.base())};
        viewed.body() = {memory.body->data(), memory.body->size()};
        viewed.prepare_payload();
        std::tie(write_failed, std::ignore) = co_await http::async_write(*stream, viewed, as_result);
    }
    else {
        request.prepare_payload();
        std::tie(write_failed, std::ignore) = co_await http::async_write(*stream, request, as_result);
    }
    if (write_failed)
        co_return make_failure(true, write_failed);
    beast::flat_buffer buffer;
    std::optional<http::response_parser<http::string_body>> reading;
    const auto alive = alive_;
    error_code ec;
    int responses = 0;
    do {
        reading.emplace();
        reading->body_limit(limits_.max_body_bytes);
        ec = co_await read_response(*stream, buffer, *reading, limits, *alive ? memory_ : nullptr,
                                    memory.response);
    } while (!ec && is_interim_status(reading->get().result_int()) && ++responses <= max_interim_responses);
    auto& parser = *reading;
    if (!ec && is_interim_status(parser.get().result_int()))
        co_return http_failure{true, false, "too many interim responses"};
    if (ec) {
        if (is_framing_excess(ec) && *alive && rejected_)
            rejected_(endpoint, ec);
        auto failed = make_failure(true, ec);
        failed.message = describe_response_failure(ec, parser.get().result_int());
        co_return failed;
    }
    if (!parser.get().has_content_length() && !parser.get().chunked() && parser.get().need_eof())
        co_return http_failure{true, false, "response has neither content-length nor chunked encoding"};
    const bool may_reuse = !use.may_reuse_after || use.may_reuse_after(parser.get());
    if (parser.keep_alive() && buffer.size() == 0 && may_reuse)
        connection.mark_reusable();
    stream->expires_never();
    co_return parser.release();
}

asio::awaitable<std::optional<http_failure>> http_client::probe(tcp_endpoint endpoint, time_point deadline)
{
    beast::tcp_stream stream(executor_);
    stream.expires_after(time_left(deadline));
    const auto [failed] = co_await stream.async_connect(endpoint, as_result);
    co_return failed ? std::optional{make_failure(false, failed)} : std::nullopt;
}

std::size_t http_client::open_connections(const tcp_endpoint& endpoint) const
{
    const auto found = pools_.find(endpoint);
    return found == pools_.end() ? 0 : found->second.open_connections;
}

/// State shared by the server and its connections.
struct http_server::shared_state : std::enable_shared_from_this<shared_state> {
    shared_state(asio::any_io_executor server_executor, const tcp_endpoint& listen_endpoint,
                 http_server_limits server_limits, handler response_handler)
        : executor(std::move(server_executor)), acceptor(executor, listen_endpoint), limits(server_limits),
          request_handler(std::move(response_handler))
    {
    }

    asio::any_io_executor executor;
    asio::ip::tcp::acceptor acceptor;
    http_server_limits limits;
    handler request_handler;
    rejection_observer rejected;
    message_memory* memory = nullptr;
    memory_refusal refusal;
    std::set<beast::tcp_stream*> idle;
    std::size_t open_connections = 0;
    std::size_t active_requests = 0;
    bool draining = false;
    bool closed = false;

    asio::awaitable<void> accept();
    asio::awaitable<void> close_after(milliseconds grace_period);
    void close();
    using request_parser = http::request_parser<http::string_body>;
    asio::awaitable<error_code> read_request(beast::tcp_stream& stream, beast::flat_buffer& buffer,
                                             request_parser& parser, memory_reservation& held);
    asio::awaitable<void> reject(beast::tcp_stream& stream, error_code ec, http_response response);
    asio::awaitable<void> serve(beast::tcp_stream stream);
};

namespace {

http_response make_rejection(bool has_large_body)
{
    const auto code = result_code::refused_too_large;
    auto response = make_response(has_large_body ? 413 : 431, std::string{name_of(code)} + "\n");
    response.set("tt-class", name_of(class_of(code)));
    response.set("tt-code", std::to_string(static_cast<int>(code)));
    response.keep_alive(false);
    response.prepare_payload();
    return response;
}

/// Waits until the peer has closed its connection. If bytes arrive instead, waits until it is cancelled,
/// because unread bytes hide a later close.
asio::awaitable<void> wait_until_closed(asio::ip::tcp::socket& socket)
{
    const auto [ec] = co_await socket.async_wait(asio::ip::tcp::socket::wait_read, as_result);
    char byte = 0;
    if (ec || ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) <= 0)
        co_return;
    asio::steady_timer cancellation_timer(co_await asio::this_coro::executor,
                                          asio::steady_timer::time_point::max());
    co_await cancellation_timer.async_wait(as_result);
}

} // namespace

void http_server::shared_state::close()
{
    draining = true;
    closed = true;
    error_code ignored;
    acceptor.close(ignored);
    for (auto* stream : idle)
        stream->cancel();
}

asio::awaitable<void> http_server::shared_state::close_after(milliseconds grace_period)
{
    const auto self = shared_from_this();
    co_await sleep_for(grace_period);
    close();
}

asio::awaitable<void> http_server::shared_state::accept()
{
    const auto self = shared_from_this();
    while (!closed) {
        auto [ec, socket] = co_await acceptor.async_accept(as_result);
        if (ec == asio::error::operation_aborted || closed)
            co_return;
        if (ec) {
            co_await sleep_for(milliseconds{10});
            continue;
        }
        if (open_connections >= limits.max_connections)
            continue;
        socket.set_option(asio::ip::tcp::no_delay(true));
        asio::co_spawn(executor, serve(beast::tcp_stream(std::move(socket))), asio::detached);
    }
}

/// Reads the next request, which must start within the idle time-out and be complete within the read
/// time-out.
asio::awaitable<error_code> http_server::shared_state::read_request(beast::tcp_stream& stream,
                                                                    beast::flat_buffer& buffer,
                                                                    request_parser& parser,
                                                                    memory_reservation& held)
{
    if (buffer.size() == 0) {
        idle.insert(&stream);
        stream.expires_after(limits.idle_timeout);
        const auto [ec, count] = co_await stream.async_read_some(buffer.prepare(read_chunk_bytes), as_result);
        idle.erase(&stream);
        if (ec)
            co_return ec;
        buffer.commit(count);
    }
    framing_budget budget(limits.max_header_bytes, buffer.size());
    message_reader<true> reader(stream, buffer, parser, budget, memory, memory_purpose::relayed_requests);
    stream.expires_after(limits.read_timeout);
    if (const auto ec = co_await reader.read_header())
        co_return ec;
    if (parser.is_done())
        co_return error_code{};
    trailer_filter filter(parser);
    const auto ec = co_await reader.read_rest();
    filter.remove_trailers();
    shrink_large_buffer(buffer);
    if (!ec)
        held = reader.release_memory();
    co_return ec;
}

/// Responds with status 413, 431 or 503 and discards bytes of the request for a while. Closing the connection
/// with unread bytes would reset it before the client has read the response.
asio::awaitable<void> http_server::shared_state::reject(beast::tcp_stream& stream, error_code ec,
                                                        http_response response)
{
    const bool has_large_body = ec == http::error::body_limit;
    if (is_framing_excess(ec) && rejected) {
        error_code ignored;
        rejected(stream.socket().remote_endpoint(ignored), ec);
    }
    stream.expires_after(limits.write_timeout);
    co_await http::async_write(stream, response, as_result);
    error_code ignored;
    stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    std::array<char, 4096> discarded{};
    std::size_t discarded_bytes = 0;
    const auto max_bytes = has_large_body ? limits.max_body_bytes + discarded.size() : max_discarded_bytes;
    while (discarded_bytes < max_bytes) {
        const auto [read_ec, count] = co_await stream.async_read_some(asio::buffer(discarded), as_result);
        if (read_ec)
            co_return;
        discarded_bytes += count;
    }
}

asio::awaitable<void> http_server::shared_state::serve(beast::tcp_stream stream)
{
    using namespace asio::experimental::awaitable_operators;
    const auto self = shared_from_this();
    const count_guard connected(open_connections);
    beast::flat_buffer buffer;
    bool open = true;
    while (open && !closed) {
        std::optional<request_parser> reading(std::in_place);
        auto& parser = *reading;
        parser.header_limit(limits.max_header_bytes);
        parser.body_limit(limits.max_body_bytes);
        memory_reservation held;
        const auto ec = co_await read_request(stream, buffer, parser, held);
        if (ec == http::error::body_limit || is_framing_excess(ec) || ec == message_memory_error) {
            auto response = ec == message_memory_error && refusal
                                ? refusal(parser.get())
                                : make_rejection(ec == http::error::body_limit);
            response.keep_alive(false);
            response.prepare_payload();
            // The bytes read so far are not kept while the rest is discarded.
            reading.reset();
            buffer = {};
            co_await reject(stream, ec, std::move(response));
            break;
        }
        if (ec)
            break;
        // The client may have given up before its request was read, and the time that it names has passed.
        if (buffer.size() == 0 && peer_has_closed(stream.socket()))
            break;
        const count_guard answering(active_requests);
        auto request = parser.release();
        const bool keep_alive = request.keep_alive();
        const unsigned version = request.version();
        stream.expires_never();
        auto outcome = co_await (request_handler(std::move(request)) || wait_until_closed(stream.socket()));
        if (outcome.index() != 0)
            break;
        auto response = std::get<0>(std::move(outcome));
        response.version(version);
        open = keep_alive && !draining;
        response.keep_alive(open);
        response.prepare_payload();
        stream.expires_after(limits.write_timeout);
        memory_reservation written_memory(memory, memory_purpose::writing_responses);
        written_memory.set(response.body().capacity());
        if (const auto [write_ec, written] = co_await http::async_write(stream, response, as_result);
            write_ec)
            break;
    }
    error_code ignored;
    stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
}

http_server::http_server(asio::any_io_executor executor, const tcp_endpoint& listen_endpoint,
                         http_server_limits limits, handler request_handler)
    : state_(std::make_shared<shared_state>(std::move(executor), listen_endpoint, limits,
                                            std::move(request_handler)))
{
    asio::co_spawn(state_->executor, state_->accept(), asio::detached);
}

http_server::~http_server()
{
    state_->close();
}

void http_server::set_memory(message_memory& memory, memory_refusal refusal)
{
    state_->memory = &memory;
    state_->refusal = std::move(refusal);
}

void http_server::set_rejection_observer(rejection_observer observer)
{
    state_->rejected = std::move(observer);
}

tcp_endpoint http_server::local_endpoint() const
{
    return state_->acceptor.local_endpoint();
}

void http_server::drain(milliseconds grace_period)
{
    state_->draining = true;
    asio::co_spawn(state_->executor, state_->close_after(grace_period), asio::detached);
}

bool http_server::drained() const noexcept
{
    return state_->closed;
}

std::size_t http_server::active_requests() const noexcept
{
    return state_->active_requests;
}

http_response make_response(unsigned status, std::string body, std::string_view content_type)
{
    http_response response{static_cast<http::status>(status), 11};
    response.set(http::field::content_type, content_type);
    response.body() = std::move(body);
    return response;
}

http_request make_request(http::verb verb, std::string_view target, std::string body)
{
    http_request request{verb, target, 11};
    request.body() = std::move(body);
    return request;
}

std::string format_seconds(milliseconds time)
{
    constexpr int ms_per_s = 1000;
    const auto fraction = std::to_string(time.count() % ms_per_s);
    return std::to_string(time.count() / ms_per_s) + "." + std::string(3 - fraction.size(), '0') + fraction;
}

asio::awaitable<void> sleep_for(microseconds duration)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, duration);
    co_await timer.async_wait(as_result);
}

} // namespace teaseltally
