#include "support/run.hpp"

#include <teaseltally/net/http.hpp>
#include <teaseltally/net/message_framing.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/parser.hpp>
#include <doctest/doctest.h>

#include <array>

using namespace teaseltally;
using namespace teaseltally::test;
namespace http = boost::beast::http;

namespace {

/// Returns whether the header of a request passes Beast's parser and the rules on framing.
bool is_accepted(const std::string& fields, const std::string& version = "1.1")
{
    http::request_parser<http::string_body> parser;
    boost::system::error_code failed;
    const auto text = "POST / HTTP/" + version + "\r\n" + fields + "\r\n";
    parser.put(asio::buffer(text), failed);
    return !failed && parser.is_header_done() &&
           !find_framing_error(parser.get(), parser.get().version()).has_value();
}

/// Returns whether a server closes the connection of a request without a response.
bool closes_unanswered(asio::io_context& io, const http_server& server, const std::string& bytes)
{
    bool closed = false;
    run(io, [&]() -> asio::awaitable<void> {
        boost::beast::tcp_stream stream(io);
        stream.expires_after(std::chrono::seconds{5});
        co_await stream.async_connect(server.local_endpoint(), as_result);
        co_await asio::async_write(stream, asio::buffer(bytes), as_result);
        std::array<char, 100> buffer{};
        const auto [failed, count] = co_await stream.async_read_some(asio::buffer(buffer), as_result);
        closed = failed && failed != boost::beast::error::timeout;
    });
    return closed;
}

/// Server that counts the requests that it handles.
struct counting_server {
    asio::io_context io{1};
    std::size_t handled = 0;
    http_server server{
        io.get_executor(), any_port, {}, [this](http_request) -> asio::awaitable<http_response> {
            ++handled;
            co_return make_response(200, "");
        }};
};

} // namespace

TEST_CASE("a message is accepted if its end is certain")
{
    CHECK(is_accepted("Content-Length: 5\r\n"));
    CHECK(is_accepted("Content-Length: 5, 5\r\n"));
    CHECK(is_accepted("Content-Length: 0\r\n"));
    CHECK(is_accepted("Transfer-Encoding: chunked\r\n"));
    CHECK(is_accepted("TRANSFER-ENCODING:\tChunked\t\r\n"));
    CHECK(is_accepted(""));
    CHECK(is_accepted("", "1.0"));
}

TEST_CASE("a message with another transfer coding, or one of HTTP/1.0, is rejected")
{
    CHECK(!is_accepted("Transfer-Encoding: xchunked\r\n"));
    CHECK(!is_accepted("Transfer-Encoding: gzip, chunked\r\n"));
    CHECK(!is_accepted("Transfer-Encoding: chunked, gzip\r\n"));
    CHECK(!is_accepted("Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n"));
    CHECK(!is_accepted("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n"));
    CHECK(!is_accepted("Transfer-Encoding: gzip\r\nContent-Length: 5\r\n"));
    CHECK(!is_accepted("Content-Length: 5\r\nTransfer-Encoding: chunked\r\n"));
    CHECK(!is_accepted("Transfer-Encoding: chunked\r\n", "1.0"));
    CHECK(!is_accepted("Transfer-Encoding:\r\n"));
    CHECK(!is_accepted("Transfer-Encoding : chunked\r\n"));
}

// Guards against smuggling (UNASKED) between instances: the body of a relayed message is taken for another
// one.
TEST_CASE("a server closes the connection of a request whose end is ambiguous, and handles nothing of it")
{
    counting_server counting;
    for (const std::string fields : {"Transfer-Encoding: xchunked", "Transfer-Encoding: chunked, identity"}) {
        CAPTURE(fields);
        CHECK(closes_unanswered(counting.io, counting.server,
                                "POST / HTTP/1.1\r\n" + fields +
                                    "\r\n\r\nPOST /hidden HTTP/1.1\r\nContent-Length: 0\r\n\r\n"));
    }
    CHECK(counting.handled == 0);
}

// Guards messages between instances: a folded line is part of another field to the next reader.
TEST_CASE("a server closes the connection of a request with a folded field line, and handles nothing of it")
{
    counting_server counting;
    const std::string head = "POST / HTTP/1.1\r\nX: 1\r\n";
    const auto chunks = head + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\nX-T: 1\r\n";
    for (const std::string line :
         {" X-Odd: v", "\tX-Odd: v", " Content-Length: 3", "\tTransfer-Encoding: chunked", " ", "\t"}) {
        CAPTURE(line);
        const auto in_header = head + line + "\r\nContent-Length: 0\r\n\r\n";
        const auto in_trailers = chunks + line + "\r\n\r\n";
        CHECK(closes_unanswered(counting.io, counting.server, in_header));
        CHECK(closes_unanswered(counting.io, counting.server, in_trailers));
    }
    CHECK(counting.handled == 0);
}
