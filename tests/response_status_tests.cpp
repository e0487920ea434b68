#include "support/run.hpp"

#include <teaseltally/net/target_node.hpp>

#include <boost/asio/detached.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace teaseltally;
using namespace teaseltally::test;

namespace {

namespace http = boost::beast::http;

std::string status_text(unsigned status)
{
    const auto text = std::to_string(status);
    return std::string(3 - text.size(), '0') + text;
}

/// Answers one request with a status, and a second time with status 200 if the first response is an interim
/// one. The connection stays open.
asio::awaitable<void> answer(asio::ip::tcp::acceptor& acceptor, unsigned status, bool interim,
                             asio::ip::tcp::socket& socket)
{
    socket = co_await acceptor.async_accept(asio::use_awaitable);
    asio::streambuf received;
    co_await asio::async_read_until(socket, received, "\r\n\r\n", as_result);
    const std::string fields = " X\r\ntt-request-id: q\r\ntt-signature: s\r\nContent-Length: 0\r\n\r\n";
    auto text = "HTTP/1.1 " + status_text(status) + fields;
    if (interim)
        text += "HTTP/1.1 200" + fields;
    co_await asio::async_write(socket, asio::buffer(text), as_result);
}

/// Runs an exchange with a server that answers with a status.
template <typename Exchange>
void exchange_status_text(unsigned status, Exchange exchange)
{
    asio::io_context io{1};
    asio::ip::tcp::acceptor acceptor(io, any_port);
    asio::ip::tcp::socket socket(io);
    const bool interim = status == 100 || status == 102 || status == 103;
    run(io, [&]() -> asio::awaitable<void> {
        asio::co_spawn(io, answer(acceptor, status, interim, socket), asio::detached);
        co_await exchange(io, acceptor.local_endpoint());
    });
}

/// Returns the status that a status read from a connection amounts to; nothing if it is invalid.
std::optional<unsigned> expected_status(unsigned status)
{
    if (status == 100 || status == 102 || status == 103)
        return 200;
    return status >= 200 && status < 600 ? std::optional{status} : std::nullopt;
}

} // namespace

// Guards against a failing target whose status is none: callers got it as an answer, or waited for another
// response until their deadline.
TEST_CASE("a response of a target counts only with a valid status")
{
    CHECK(rc::check("three digits", [] {
        const auto status = *rc::gen::inRange(0U, 1000U);
        exchange_result result;
        message_memory memory;
        std::size_t open = 0;
        exchange_status_text(status, [&](auto& io, tcp_endpoint endpoint) -> asio::awaitable<void> {
            const auto node = std::make_shared<target_node>(io.get_executor(), target_entry{}, endpoint,
                                                            microseconds{1000});
            auto request = std::make_shared<target_request>(http::verb::get, "/", 11);
            const header_names headers;
            request->set(headers.request_id, "q");
            result = co_await exchange_with_target(
                node, request, headers, node->acquire(boot_clock::now(), 4), hang_deadline(), memory);
            open = node->open_connections();
        });
        if (const auto expected = expected_status(status)) {
            RC_ASSERT(result.status == exchange_status::answered);
            RC_ASSERT(result.response.result_int() == *expected);
        }
        else {
            RC_ASSERT(result.status == exchange_status::outcome_unknown);
            RC_ASSERT(result.reason == "invalid status " + status_text(status));
            RC_ASSERT(result.failure == connection_failure::none);
            RC_ASSERT(open == 0U);
        }
    }));
}

// Guards the other readers of responses: health and identity probes, replies to orders, peers and the store.
TEST_CASE("a response that the client reads counts only with a valid status")
{
    CHECK(rc::check("three digits", [] {
        const auto status = *rc::gen::inRange(0U, 1000U);
        http_outcome outcome;
        std::size_t open = 0;
        exchange_status_text(status, [&](auto& io, tcp_endpoint endpoint) -> asio::awaitable<void> {
            http_client client(io.get_executor(), {});
            outcome = co_await client.exchange(endpoint, make_request(http::verb::get, "/"), hang_deadline());
            open = client.open_connections(endpoint);
        });
        if (const auto expected = expected_status(status)) {
            RC_ASSERT(std::get<http_response>(outcome).result_int() == *expected);
        }
        else {
            const auto& failed = std::get<http_failure>(outcome);
            RC_ASSERT(failed.sent && !failed.timed_out);
            RC_ASSERT(failed.message == "invalid status " + status_text(status));
            RC_ASSERT(open == 0U);
        }
    }));
}
