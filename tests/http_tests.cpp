#include "support/run.hpp"

#include <teaseltally/net/http.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

using namespace teaseltally;
using teaseltally::test::any_port;
using teaseltally::test::as_result;
using teaseltally::test::run;
namespace http = boost::beast::http;

namespace {

time_point deadline_in(milliseconds limit = milliseconds{5000})
{
    return boot_clock::now() + limit;
}

/// Sends fixed bytes after the first request on each connection, then closes it.
asio::awaitable<void> serve_fixed_response(asio::ip::tcp::acceptor& acceptor, std::string bytes)
{
    while (true) {
        auto [failed, socket] = co_await acceptor.async_accept(as_result);
        if (failed)
            co_return;
        asio::streambuf buffer;
        co_await asio::async_read_until(socket, buffer, "\r\n\r\n", as_result);
        co_await asio::async_write(socket, asio::buffer(bytes), as_result);
    }
}

/// Bytes that a target sends, and whether the client accepts them as a complete response.
struct response_case {
    const char* name;
    const char* bytes;
    bool complete;
};

const std::vector<response_case> response_cases{
    {"complete response", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab", true},
    {"complete response that closes the connection",
     "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nab", true},
    {"complete chunked response", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
     true},
    {"response truncated in its body", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab", false},
    {"response truncated in a chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab", false},
    {"response truncated in its header", "HTTP/1.1 200 OK\r\nContent-Le", false},
    {"response without a length", "HTTP/1.1 200 OK\r\n\r\nab", false},
    {"no response", "", false},
    {"bytes that are not HTTP", "hello there\r\n\r\n", false},
};

} // namespace

// Guards against passing on a truncated body as a success when the connection closes early.
TEST_CASE("an exchange reports a truncated, malformed or missing response as a failure after sending")
{
    for (const auto& example : response_cases) {
        asio::io_context io(1);
        asio::ip::tcp::acceptor acceptor(io, any_port);
        asio::co_spawn(io, serve_fixed_response(acceptor, example.bytes), asio::detached);
        http_client client(io.get_executor(), {});
        run(io, [&]() -> asio::awaitable<void> {
            auto request = make_request(http::verb::get, "/");
            const auto outcome =
                co_await client.exchange(acceptor.local_endpoint(), std::move(request), deadline_in());
            CHECK_MESSAGE(std::holds_alternative<http_response>(outcome) == example.complete, example.name);
            if (const auto* failed = std::get_if<http_failure>(&outcome))
                CHECK_MESSAGE(failed->sent, example.name);
            else
                CHECK(std::get<http_response>(outcome).body() == "ab");
        });
    }
}

// Guards against reusing a connection whose request timed out: its late response would be taken for the
// response to the next request.
TEST_CASE("the late response to a timed-out request is not returned for the next request")
{
    asio::io_context io(1);
    http_server server(io.get_executor(), any_port, {},
                       [](http_request request) -> asio::awaitable<http_response> {
                           if (request.target() == "/slow")
                               co_await sleep_for(milliseconds{300});
                           co_return make_response(200, std::string{request.target()});
                       });
    http_client client(io.get_executor(), {});
    run(io, [&]() -> asio::awaitable<void> {
        auto slow = make_request(http::verb::get, "/slow");
        const auto late =
            co_await client.exchange(server.local_endpoint(), std::move(slow), deadline_in(milliseconds{20}));
        REQUIRE(std::holds_alternative<http_failure>(late));
        CHECK(std::get<http_failure>(late).timed_out);
        CHECK(std::get<http_failure>(late).sent);
        for (int round = 0; round < 80; ++round) {
            auto quick = make_request(http::verb::get, "/quick");
            const auto outcome =
                co_await client.exchange(server.local_endpoint(), std::move(quick), deadline_in());
            REQUIRE(std::holds_alternative<http_response>(outcome));
            CHECK(std::get<http_response>(outcome).body() == "/quick");
            co_await sleep_for(milliseconds{5});
        }
        CHECK(client.open_connections(server.local_endpoint()) == 1);
    });
}

// A failure before the write must be reported as not sent, since only then may the request be sent again.
// Guards against large responses on slow links that are given up and requested anew without end (CONFIG).
TEST_CASE("with a limit for pauses, a response that goes on arriving is received after the deadline")
{
    asio::io_context io(1);
    asio::ip::tcp::acceptor acceptor(io, any_port);
    const auto serve_slowly = [&](std::size_t pieces) -> asio::awaitable<void> {
        while (true) {
            auto [failed, socket] = co_await acceptor.async_accept(as_result);
            asio::streambuf buffer;
            co_await asio::async_read_until(socket, buffer, "\r\n\r\n", as_result);
            const std::string header = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n";
            co_await asio::async_write(socket, asio::buffer(header), as_result);
            for (std::size_t piece = 0; piece < pieces; ++piece) {
                co_await sleep_for(milliseconds{60});
                co_await asio::async_write(socket, asio::buffer("x", 1), as_result);
            }
            co_await sleep_for(milliseconds{400});
        }
    };
    const auto is_received = [&](std::size_t pieces, milliseconds max_pause, milliseconds longest) {
        asio::co_spawn(io, serve_slowly(pieces), asio::detached);
        bool received = false;
        run(io, [&]() -> asio::awaitable<void> {
            http_client client(io.get_executor(), {});
            const exchange_limits limits{deadline_in(milliseconds{150}), max_pause, deadline_in(longest)};
            const auto outcome = co_await client.exchange(acceptor.local_endpoint(),
                                                          make_request(http::verb::get, "/"), limits);
            received = std::holds_alternative<http_response>(outcome);
        });
        return received;
    };
    CHECK(!is_received(5, milliseconds{0}, milliseconds{5000}));
    CHECK(is_received(5, milliseconds{200}, milliseconds{5000}));
    CHECK(!is_received(4, milliseconds{200}, milliseconds{5000}));
    CHECK(!is_received(5, milliseconds{200}, milliseconds{200}));
}

TEST_CASE("an exchange with a denied write permit or a refused connection is reported as not sent")
{
    asio::io_context io(1);
    std::size_t served = 0;
    http_server server(io.get_executor(), any_port, {}, [&](http_request) -> asio::awaitable<http_response> {
        ++served;
        co_return make_response(200, "");
    });
    tcp_endpoint closed;
    {
        const asio::ip::tcp::acceptor acceptor(io, any_port);
        closed = acceptor.local_endpoint();
    }
    http_client client(io.get_executor(), {});
    run(io, [&]() -> asio::awaitable<void> {
        auto denied = make_request(http::verb::get, "/");
        http_client::write_permit deny = [] { return false; };
        const auto outcome = co_await client.exchange(server.local_endpoint(), std::move(denied),
                                                      deadline_in(), std::move(deny));
        CHECK_FALSE(std::get<http_failure>(outcome).sent);
        auto unsent = make_request(http::verb::get, "/");
        const auto refused = co_await client.exchange(closed, std::move(unsent), deadline_in());
        CHECK_FALSE(std::get<http_failure>(refused).sent);
        CHECK(served == 0);
    });
}

// Guards against unbounded bodies, clients that send slowly, and handlers that continue to run after the
// client has disconnected.
TEST_CASE("a server limits body size and read time, and cancels requests of disconnected clients")
{
    asio::io_context io(1);
    http_server_limits limits;
    limits.max_body_bytes = 10;
    limits.read_timeout = milliseconds{50};
    bool cancelled = false;
    http_server server(io.get_executor(), any_port, limits,
                       [&](http_request) -> asio::awaitable<http_response> {
                           try {
                               co_await sleep_for(milliseconds{3000});
                               co_await sleep_for(milliseconds{1});
                           }
                           catch (const boost::system::system_error&) {
                               cancelled = true;
                               throw;
                           }
                           co_return make_response(200, "");
                       });
    http_client client(io.get_executor(), {});
    run(io, [&]() -> asio::awaitable<void> {
        auto large = make_request(http::verb::post, "/", "12345678901");
        const auto outcome =
            co_await client.exchange(server.local_endpoint(), std::move(large), deadline_in());
        REQUIRE(std::holds_alternative<http_response>(outcome));
        CHECK(std::get<http_response>(outcome).result_int() == 413);
        asio::ip::tcp::socket slow(io);
        co_await slow.async_connect(server.local_endpoint(), as_result);
        co_await asio::async_write(slow, asio::buffer("POST / HTTP/1.1\r\nContent-Le", 27), as_result);
        char byte = 0;
        const auto [read_error, count] = co_await slow.async_read_some(asio::buffer(&byte, 1), as_result);
        CHECK(read_error);
        auto abandoned = make_request(http::verb::get, "/");
        (void)co_await client.exchange(server.local_endpoint(), std::move(abandoned),
                                       deadline_in(milliseconds{30}));
        while (!cancelled || server.active_requests() != 0)
            co_await sleep_for(milliseconds{5});
        CHECK(cancelled);
    });
}

// Guards against requests that run although their sender has given them up while the server was frozen
// (GONE).
TEST_CASE("a server does not handle a request whose sender has closed the connection before it was read")
{
    for (const bool resets : {false, true}) {
        INFO(resets);
        asio::io_context io(1);
        std::size_t handled = 0;
        http_server server(io.get_executor(), any_port, {},
                           [&](http_request) -> asio::awaitable<http_response> {
                               ++handled;
                               co_return make_response(200, "");
                           });
        run(io, [&]() -> asio::awaitable<void> {
            const std::string bytes = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
            asio::ip::tcp::socket socket(io);
            co_await socket.async_connect(server.local_endpoint(), as_result);
            co_await asio::async_write(socket, asio::buffer(bytes), as_result);
            asio::streambuf buffer;
            co_await asio::async_read_until(socket, buffer, "\r\n\r\n", as_result);
            REQUIRE(handled == 1);
            // The server cannot run before this coroutine waits.
            asio::write(socket, asio::buffer(bytes));
            socket.set_option(asio::socket_base::linger(resets, 0));
            socket.close();
            co_await sleep_for(milliseconds{20});
            while (server.active_requests() != 0)
                co_await sleep_for(milliseconds{5});
        });
        CHECK(handled == 1);
    }
}

TEST_CASE("a draining server answers further requests and closes their connections")
{
    asio::io_context io(1);
    http_server server(io.get_executor(), any_port, {}, [](http_request) -> asio::awaitable<http_response> {
        co_return make_response(200, "served");
    });
    http_client client(io.get_executor(), {});
    run(io, [&]() -> asio::awaitable<void> {
        auto before = make_request(http::verb::get, "/");
        (void)co_await client.exchange(server.local_endpoint(), std::move(before), deadline_in());
        server.drain(milliseconds{100});
        auto during = make_request(http::verb::get, "/");
        const auto outcome =
            co_await client.exchange(server.local_endpoint(), std::move(during), deadline_in());
        REQUIRE(std::holds_alternative<http_response>(outcome));
        CHECK(std::get<http_response>(outcome).body() == "served");
        CHECK_FALSE(std::get<http_response>(outcome).keep_alive());
        while (!server.drained())
            co_await sleep_for(milliseconds{5});
        CHECK(server.drained());
    });
}
