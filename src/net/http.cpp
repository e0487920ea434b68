#include <teaseltally/count_guard.hpp>
#include <teaseltally/net/http.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <array>
#include <charconv>
#include <sys/socket.h>

namespace teaseltally {
namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;
constexpr std::size_t first_read_bytes = 4096;
constexpr auto as_result = asio::as_tuple(asio::use_awaitable);

/// @returns whether a kept connection is closed or holds bytes that nobody asked for.
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
    return {sent, code == beast::error::timeout, code.message()};
}

} // namespace

result<tcp_endpoint> parse_endpoint(std::string_view text)
{
    const auto colon = text.rfind(':');
    error_code problem;
    std::uint16_t port = 0;
    if (colon != std::string_view::npos) {
        const auto address = asio::ip::make_address(std::string{text.substr(0, colon)}, problem);
        const auto digits = text.substr(colon + 1);
        const auto [stop, bad] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
        if (!problem && bad == std::errc{} && stop == digits.data() + digits.size())
            return tcp_endpoint{address, port};
    }
    return error{result_code::configuration_bad_value, "address \"" + std::string{text} + "\" is not IP:PORT",
                 ""};
}

void prepare_outgoing(asio::ip::tcp::socket& socket)
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

/// Holds one connection for one exchange and returns it to the pool if it ended cleanly.
class http_client::lease {
public:
    lease(http_client& client, const tcp_endpoint& to) : client_(client), to_(to), alive_(client.alive_)
    {
        auto& pool = client_.pools_[to_];
        while (!pool.idle.empty() && !stream_) {
            stream_ = std::move(pool.idle.back());
            pool.idle.pop_back();
            if (is_stale(stream_->socket())) {
                stream_.reset();
                --pool.open;
            }
        }
        connected_ = stream_ != nullptr;
        if (!connected_ && pool.open < client_.limits_.connections_per_endpoint) {
            ++pool.open;
            stream_ = std::make_unique<beast::tcp_stream>(client_.executor_);
        }
    }

    ~lease()
    {
        if (!stream_ || !*alive_)
            return;
        auto& pool = client_.pools_[to_];
        if (keep_)
            pool.idle.push_back(std::move(stream_));
        else
            --pool.open;
    }

    lease(const lease&) = delete;
    lease& operator=(const lease&) = delete;
    lease(lease&&) = delete;
    lease& operator=(lease&&) = delete;

    [[nodiscard]] beast::tcp_stream* stream() const { return stream_.get(); }
    [[nodiscard]] bool connected() const { return connected_; }
    void keep() { keep_ = true; }

private:
    http_client& client_;
    tcp_endpoint to_;
    std::shared_ptr<bool> alive_;
    std::unique_ptr<beast::tcp_stream> stream_;
    bool connected_ = false;
    bool keep_ = false;
};

asio::awaitable<http_outcome> http_client::exchange(tcp_endpoint to, http_request request,
                                                    time_point deadline, write_permit permit)
{
    lease held(*this, to);
    auto* stream = held.stream();
    if (stream == nullptr)
        co_return http_failure{false, false, "all connections are in use"};
    stream->expires_after(time_left(deadline));
    if (!held.connected()) {
        if (const auto [failed] = co_await stream->async_connect(to, as_result); failed)
            co_return make_failure(false, failed);
        prepare_outgoing(stream->socket());
    }
    request.prepare_payload();
    if (permit && !permit())
        co_return http_failure{false, false, "not permitted"};
    if (const auto [failed, written] = co_await http::async_write(*stream, request, as_result); failed)
        co_return make_failure(true, failed);
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(limits_.body_bytes);
    if (const auto [failed, read] = co_await http::async_read(*stream, buffer, parser, as_result); failed)
        co_return make_failure(true, failed);
    if (!parser.get().has_content_length() && !parser.get().chunked() && parser.get().need_eof())
        co_return http_failure{true, false, "response without a length"};
    if (parser.keep_alive() && buffer.size() == 0)
        held.keep();
    stream->expires_never();
    co_return parser.release();
}

std::size_t http_client::connections(const tcp_endpoint& to) const
{
    const auto found = pools_.find(to);
    return found == pools_.end() ? 0 : found->second.open;
}

/// State that connections share with their server.
struct http_server::shared : std::enable_shared_from_this<shared> {
    shared(asio::any_io_executor with, const tcp_endpoint& at, http_server_limits bounds, handler answer)
        : executor(std::move(with)), acceptor(executor, at), limits(bounds), handle(std::move(answer))
    {
    }

    asio::any_io_executor executor;
    asio::ip::tcp::acceptor acceptor;
    http_server_limits limits;
    handler handle;
    std::set<beast::tcp_stream*> idle;
    std::size_t connections = 0;
    std::size_t active = 0;
    bool draining = false;
    bool closed = false;

    asio::awaitable<void> accept();
    asio::awaitable<void> close_after(milliseconds idle_time);
    void close();
    using request_parser = http::request_parser<http::string_body>;
    asio::awaitable<error_code> read_request(beast::tcp_stream& stream, beast::flat_buffer& buffer,
                                             request_parser& parser);
    asio::awaitable<void> refuse_body(beast::tcp_stream& stream);
    asio::awaitable<void> serve(beast::tcp_stream stream);
};

namespace {

http_response to_answer_too_large()
{
    const auto code = result_code::refused_too_large;
    auto response = make_response(413, std::string{name_of(code)} + "\n");
    response.set("tt-class", name_of(class_of(code)));
    response.set("tt-code", std::to_string(static_cast<int>(code)));
    response.keep_alive(false);
    response.prepare_payload();
    return response;
}

/// Returns when the other side has closed its connection.
asio::awaitable<void> wait_closed(asio::ip::tcp::socket& socket)
{
    const auto [failed] = co_await socket.async_wait(asio::ip::tcp::socket::wait_read, as_result);
    char byte = 0;
    if (failed || ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) <= 0)
        co_return;
    asio::steady_timer never(co_await asio::this_coro::executor, asio::steady_timer::time_point::max());
    co_await never.async_wait(as_result);
}

} // namespace

void http_server::shared::close()
{
    draining = true;
    closed = true;
    error_code ignored;
    acceptor.close(ignored);
    for (auto* stream : idle)
        stream->cancel();
}

asio::awaitable<void> http_server::shared::close_after(milliseconds idle_time)
{
    const auto self = shared_from_this();
    co_await sleep_for(idle_time);
    close();
}

asio::awaitable<void> http_server::shared::accept()
{
    const auto self = shared_from_this();
    while (!closed) {
        auto [failed, socket] = co_await acceptor.async_accept(as_result);
        if (failed == asio::error::operation_aborted || closed)
            co_return;
        if (failed) {
            co_await sleep_for(milliseconds{10});
            continue;
        }
        if (connections >= limits.connections)
            continue;
        socket.set_option(asio::ip::tcp::no_delay(true));
        asio::co_spawn(executor, serve(beast::tcp_stream(std::move(socket))), asio::detached);
    }
}

/// Waits for the next request, for the idle time, and reads it within the read time.
asio::awaitable<error_code> http_server::shared::read_request(beast::tcp_stream& stream,
                                                              beast::flat_buffer& buffer,
                                                              request_parser& parser)
{
    if (buffer.size() == 0) {
        idle.insert(&stream);
        stream.expires_after(limits.idle_time);
        const auto [failed, count] =
            co_await stream.async_read_some(buffer.prepare(first_read_bytes), as_result);
        idle.erase(&stream);
        if (failed)
            co_return failed;
        buffer.commit(count);
    }
    stream.expires_after(limits.read_time);
    const auto [failed, count] = co_await http::async_read(stream, buffer, parser, as_result);
    co_return failed;
}

/// Answers 413 and takes in what the caller still sends, so that it can read the answer.
asio::awaitable<void> http_server::shared::refuse_body(beast::tcp_stream& stream)
{
    auto response = to_answer_too_large();
    stream.expires_after(limits.write_time);
    co_await http::async_write(stream, response, as_result);
    error_code ignored;
    stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    std::array<char, 4096> rest{};
    std::size_t taken = 0;
    while (taken < limits.body_bytes + rest.size()) {
        const auto [failed, count] = co_await stream.async_read_some(asio::buffer(rest), as_result);
        if (failed)
            co_return;
        taken += count;
    }
}

asio::awaitable<void> http_server::shared::serve(beast::tcp_stream stream)
{
    using namespace asio::experimental::awaitable_operators;
    const auto self = shared_from_this();
    const count_guard connected(connections);
    beast::flat_buffer buffer;
    bool open = true;
    while (open && !closed) {
        http::request_parser<http::string_body> parser;
        parser.body_limit(limits.body_bytes);
        const auto failed = co_await read_request(stream, buffer, parser);
        if (failed == http::error::body_limit) {
            co_await refuse_body(stream);
            break;
        }
        if (failed)
            break;
        const count_guard answering(active);
        auto request = parser.release();
        const bool keep = request.keep_alive();
        const unsigned version = request.version();
        stream.expires_never();
        auto outcome = co_await (handle(std::move(request)) || wait_closed(stream.socket()));
        if (outcome.index() != 0)
            break;
        auto response = std::get<0>(std::move(outcome));
        response.version(version);
        open = keep && !draining;
        response.keep_alive(open);
        response.prepare_payload();
        stream.expires_after(limits.write_time);
        if (const auto [write_failed, written] = co_await http::async_write(stream, response, as_result);
            write_failed)
            break;
    }
    error_code ignored;
    stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
}

http_server::http_server(asio::any_io_executor executor, const tcp_endpoint& at, http_server_limits limits,
                         handler handle)
    : shared_(std::make_shared<shared>(std::move(executor), at, limits, std::move(handle)))
{
    asio::co_spawn(shared_->executor, shared_->accept(), asio::detached);
}

http_server::~http_server()
{
    shared_->close();
}

tcp_endpoint http_server::local() const
{
    return shared_->acceptor.local_endpoint();
}

void http_server::drain(milliseconds idle_time)
{
    shared_->draining = true;
    asio::co_spawn(shared_->executor, shared_->close_after(idle_time), asio::detached);
}

bool http_server::drained() const noexcept
{
    return shared_->closed;
}

std::size_t http_server::active() const noexcept
{
    return shared_->active;
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

asio::awaitable<void> sleep_for(microseconds duration)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, duration);
    co_await timer.async_wait(as_result);
}

} // namespace teaseltally
