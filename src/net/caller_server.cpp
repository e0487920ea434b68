#include <teaseltally/count_guard.hpp>
#include <teaseltally/net/caller_server.hpp>

#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <array>
#include <sys/socket.h>

namespace teaseltally {
namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;
constexpr auto as_result = asio::as_tuple(asio::use_awaitable);
using request_parser = http::request_parser<http::string_body>;

constexpr std::size_t first_read_bytes = 2048;
/// Time within which a caller must take its answer.
constexpr milliseconds write_time{10'000};
/// Time for which a refused caller's remaining bytes are taken in, so that it can read the answer.
constexpr milliseconds linger_time{300};
constexpr milliseconds accept_retry{10};

unsigned status_of(const error_code& failed)
{
    if (failed == http::error::body_limit)
        return 413;
    if (failed == http::error::header_limit || failed == http::error::buffer_overflow)
        return 431;
    if (failed == beast::error::timeout)
        return 408;
    return 400;
}

/// @returns whether the caller broke the protocol or a limit, as opposed to having left.
bool is_callers_fault(const error_code& failed)
{
    if (failed == http::error::end_of_stream || failed == http::error::partial_message)
        return false;
    return failed == beast::error::timeout ||
           failed.category() == http::make_error_code(http::error::bad_value).category();
}

/// @returns whether the other side has closed the connection and no bytes are left to read.
bool has_left(asio::ip::tcp::socket& socket)
{
    char byte = 0;
    const auto count = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

/// Watches a caller's connection while its request is on its way.
class departure_watch {
public:
    /// @param owner keeps the socket alive until the watch has ended.
    departure_watch(std::shared_ptr<void> owner, asio::ip::tcp::socket& socket,
                    std::shared_ptr<routed_request> request)
    {
        socket.async_wait(
            asio::ip::tcp::socket::wait_read,
            asio::bind_cancellation_slot(signal_.slot(), [owner = std::move(owner), &socket,
                                                          request = std::move(request)](error_code failed) {
                if (failed == asio::error::operation_aborted)
                    return;
                if (failed || has_left(socket))
                    request->abandon();
            }));
    }
    ~departure_watch() { signal_.emit(asio::cancellation_type::terminal); }
    departure_watch(const departure_watch&) = delete;
    departure_watch& operator=(const departure_watch&) = delete;
    departure_watch(departure_watch&&) = delete;
    departure_watch& operator=(departure_watch&&) = delete;

private:
    asio::cancellation_signal signal_;
};

} // namespace

struct caller_server::shared : std::enable_shared_from_this<shared> {
    struct connection {
        explicit connection(asio::ip::tcp::socket socket) : stream(std::move(socket)) {}
        beast::tcp_stream stream;
        beast::flat_buffer buffer;
    };

    shared(asio::any_io_executor with, const tcp_endpoint& at, std::size_t most, request_router& to)
        : executor(std::move(with)), acceptor(executor, at), limit(most), router(to)
    {
    }

    asio::any_io_executor executor;
    asio::ip::tcp::acceptor acceptor;
    std::size_t limit;
    request_router& router;
    std::set<connection*> idle;
    std::size_t open = 0;
    std::size_t active = 0;
    bool draining = false;
    bool closed = false;

    [[nodiscard]] caller_limits limits() const
    {
        return router.table() ? router.table()->configured().limits : caller_limits{};
    }
    asio::awaitable<void> accept();
    asio::awaitable<void> serve(std::shared_ptr<connection> caller);
    asio::awaitable<error_code> wait_for_request(connection& caller);
    asio::awaitable<error_code> read_request(connection& caller, request_parser& parser);
    asio::awaitable<bool> answer(connection& caller, http_response response, unsigned version, bool keep,
                                 bool head);
    asio::awaitable<void> refuse(connection& caller, error_code failed);
    asio::awaitable<bool> serve_one(const std::shared_ptr<connection>& caller);
};

asio::awaitable<void> caller_server::shared::accept()
{
    const auto self = shared_from_this();
    while (!closed) {
        auto [failed, socket] = co_await acceptor.async_accept(as_result);
        if (failed == asio::error::operation_aborted || closed)
            co_return;
        if (failed) {
            co_await sleep_for(accept_retry);
            continue;
        }
        if (open >= limit)
            continue;
        error_code ignored;
        socket.set_option(asio::ip::tcp::no_delay(true), ignored);
        asio::co_spawn(executor, serve(std::make_shared<connection>(std::move(socket))), asio::detached);
    }
}

asio::awaitable<error_code> caller_server::shared::wait_for_request(connection& caller)
{
    if (caller.buffer.size() > 0)
        co_return error_code{};
    idle.insert(&caller);
    caller.stream.expires_after(limits().idle_timeout);
    const auto [failed, count] =
        co_await caller.stream.async_read_some(caller.buffer.prepare(first_read_bytes), as_result);
    idle.erase(&caller);
    caller.buffer.commit(count);
    co_return failed;
}

asio::awaitable<error_code> caller_server::shared::read_request(connection& caller, request_parser& parser)
{
    caller.stream.expires_after(limits().header_timeout);
    const auto [head_failed, head_count] =
        co_await http::async_read_header(caller.stream, caller.buffer, parser, as_result);
    if (head_failed)
        co_return head_failed;
    if (beast::iequals(parser.get()[http::field::expect], "100-continue") && !parser.is_done()) {
        http::response<http::empty_body> proceed{http::status::continue_, 11};
        const auto [write_failed, written] = co_await http::async_write(caller.stream, proceed, as_result);
        if (write_failed)
            co_return write_failed;
    }
    if (parser.is_done())
        co_return error_code{};
    caller.stream.expires_after(limits().idle_timeout);
    const auto [failed, count] = co_await http::async_read(caller.stream, caller.buffer, parser, as_result);
    co_return failed;
}

asio::awaitable<bool> caller_server::shared::answer(connection& caller, http_response response,
                                                    unsigned version, bool keep, bool head)
{
    response.version(version);
    for (const auto field : {http::field::keep_alive, http::field::proxy_connection, http::field::te,
                             http::field::trailer, http::field::upgrade})
        response.erase(field);
    response.keep_alive(keep);
    if (!head)
        response.prepare_payload();
    else
        response.body().clear();
    caller.stream.expires_after(write_time);
    http::response_serializer<http::string_body> serializer{response};
    if (head) {
        const auto [failed, written] =
            co_await http::async_write_header(caller.stream, serializer, as_result);
        co_return !failed && keep;
    }
    const auto [failed, written] = co_await http::async_write(caller.stream, serializer, as_result);
    co_return !failed && keep;
}

asio::awaitable<void> caller_server::shared::refuse(connection& caller, error_code failed)
{
    auto response = make_response(status_of(failed), failed.message() + "\n");
    co_await answer(caller, std::move(response), 11, false, false);
    error_code ignored;
    caller.stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    caller.stream.expires_after(linger_time);
    std::array<char, first_read_bytes> rest{};
    while (true) {
        const auto [read_failed, count] =
            co_await caller.stream.async_read_some(asio::buffer(rest), as_result);
        if (read_failed)
            co_return;
    }
}

asio::awaitable<bool> caller_server::shared::serve_one(const std::shared_ptr<connection>& caller)
{
    if (co_await wait_for_request(*caller))
        co_return false;
    const count_guard serving(active);
    request_parser parser;
    const auto bounds = limits();
    parser.header_limit(static_cast<std::uint32_t>(bounds.header_bytes));
    parser.body_limit(bounds.body_bytes);
    if (const auto failed = co_await read_request(*caller, parser)) {
        if (is_callers_fault(failed))
            co_await refuse(*caller, failed);
        co_return false;
    }
    // A request that was read late may have been given up meanwhile.
    if (caller->buffer.size() == 0 && has_left(caller->stream.socket()))
        co_return false;
    const bool keep_asked = parser.keep_alive();
    const bool head = parser.get().method() == http::verb::head;
    const unsigned version = parser.get().version();
    caller->stream.expires_never();
    auto request = std::make_shared<routed_request>(executor, parser.release(), boot_clock::now());
    std::optional<http_response> response;
    {
        std::optional<departure_watch> watch;
        if (caller->buffer.size() == 0)
            watch.emplace(caller, caller->stream.socket(), request);
        response = co_await router.serve(request);
    }
    if (!response)
        co_return false;
    const bool keep = keep_asked && !draining;
    co_return co_await answer(*caller, std::move(*response), version, keep, head);
}

asio::awaitable<void> caller_server::shared::serve(std::shared_ptr<connection> caller)
{
    const auto self = shared_from_this();
    const count_guard connected(open);
    while (!closed && co_await serve_one(caller))
        continue;
    error_code ignored;
    caller->stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
}

caller_server::caller_server(asio::any_io_executor executor, const tcp_endpoint& at, std::size_t connections,
                             request_router& router)
    : shared_(std::make_shared<shared>(std::move(executor), at, connections, router))
{
    asio::co_spawn(shared_->executor, shared_->accept(), asio::detached);
}

caller_server::~caller_server()
{
    close_idle();
}

tcp_endpoint caller_server::local() const
{
    return shared_->acceptor.local_endpoint();
}

void caller_server::drain()
{
    shared_->draining = true;
}

void caller_server::close_idle()
{
    shared_->draining = true;
    shared_->closed = true;
    error_code ignored;
    shared_->acceptor.close(ignored);
    for (auto* caller : shared_->idle)
        caller->stream.cancel();
}

std::size_t caller_server::active() const noexcept
{
    return shared_->active;
}

std::size_t caller_server::connections() const noexcept
{
    return shared_->open;
}

} // namespace teaseltally
