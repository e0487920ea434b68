#include "support/run.hpp"

#include <teaseltally/net/target_node.hpp>

#include <boost/asio/detached.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

using namespace teaseltally;
using namespace teaseltally::test;

namespace {

namespace http = boost::beast::http;
using namespace std::string_literals;

const std::string status_line = "HTTP/1.1 200 OK\r\n";
const std::string known_fields = "tt-request-id: q\r\ntt-signature: s\r\n";
const std::string with_length = "Content-Length: 2\r\n\r\nab";
const std::string in_chunks = "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n";

struct message_example {
    std::string name;
    std::string bytes;
    bool has_length = true;
};

/// Returns responses with a field line in each of the places where there may be one.
std::vector<message_example> responses_with(const std::string& line)
{
    const auto head = status_line + known_fields;
    const auto field = line + "\r\n";
    return {{"before the length", head + field + with_length},
            {"after the length", head + "Content-Length: 2\r\n" + field + "\r\nab"},
            {"first", status_line + field + known_fields + with_length},
            {"without a length", head + field + "\r\nab", false},
            {"first trailer", head + in_chunks + field + "\r\n"},
            {"last trailer", head + in_chunks + "X-T: 1\r\n" + field + "\r\n"},
            {"interim response", "HTTP/1.1 103 Early\r\nX-I: 1\r\n" + field + "\r\n" + head + with_length}};
}

/// Returns field lines whose name is none.
std::vector<std::string> malformed_names()
{
    std::vector<std::string> lines{": v", "X-Odd"};
    const std::vector<std::pair<std::string, std::string>> fields{
        {"X-Odd", "v"}, {"Content-Length", "3"}, {"Transfer-Encoding", "chunked"}};
    for (const auto& [name, value] : fields) {
        for (const auto& blank : {" "s, "\t"s})
            lines.push_back(std::string{name}.append(blank).append(": ").append(value));
        for (const auto& inner : {" "s, "\0"s, "\x01"s, "\v"s, "\x7f"s, "\x1b"s, "\r"s, "\n"s})
            lines.push_back(std::string{name}.insert(3, inner).append(": ").append(value));
    }
    return lines;
}

/// Returns lines that continue the field before them (obs-fold, RFC 9112, 5.2).
std::vector<std::string> folded_lines()
{
    return {" X-Odd: v", "\tX-Odd: v", " Content-Length: 3", "\tTransfer-Encoding: chunked", " ", "\t"};
}

/// Sends a response to one request and a FIN.
/// @param part_bytes number of bytes that are sent at once.
asio::awaitable<void> respond(asio::ip::tcp::acceptor& acceptor, std::string bytes, std::size_t part_bytes)
{
    auto socket = co_await acceptor.async_accept(asio::use_awaitable);
    socket.set_option(asio::ip::tcp::no_delay(true));
    asio::streambuf received;
    co_await asio::async_read_until(socket, received, "\r\n\r\n", as_result);
    for (std::size_t sent = 0; sent < bytes.size(); sent += part_bytes)
        co_await asio::async_write(socket, asio::buffer(asio::buffer(bytes) + sent, part_bytes), as_result);
}

/// Returns how an exchange with a target ends, and the response.
exchange_result exchange_bytes(const std::string& bytes, std::size_t part_bytes)
{
    asio::io_context io{1};
    asio::ip::tcp::acceptor acceptor(io, any_port);
    const auto node = std::make_shared<target_node>(io.get_executor(), target_entry{},
                                                    acceptor.local_endpoint(), microseconds{1000});
    auto request = std::make_shared<target_request>(http::verb::get, "/", 11);
    const header_names headers;
    request->set(headers.request_id, "q");
    message_memory memory;
    exchange_result result;
    run(io, [&]() -> asio::awaitable<void> {
        asio::co_spawn(io, respond(acceptor, bytes, part_bytes), asio::detached);
        result = co_await exchange_with_target(node, request, headers, node->acquire(boot_clock::now(), 4),
                                               hang_deadline(), memory);
    });
    if (result.status == exchange_status::outcome_unknown)
        CHECK(node->open_connections() == 0);
    // The account ends here.
    result.memory = {};
    return result;
}

http_outcome receive_bytes(const std::string& bytes, std::size_t part_bytes)
{
    asio::io_context io{1};
    asio::ip::tcp::acceptor acceptor(io, any_port);
    http_outcome outcome;
    run(io, [&]() -> asio::awaitable<void> {
        asio::co_spawn(io, respond(acceptor, bytes, part_bytes), asio::detached);
        http_client client(io.get_executor(), {});
        outcome = co_await client.exchange(acceptor.local_endpoint(), make_request(http::verb::get, "/"),
                                           hang_deadline());
    });
    return outcome;
}

/// Checks that responses with a field line are rejected wherever they are read.
void check_rejected(const std::string& line, std::size_t part_bytes)
{
    for (const auto& example : responses_with(line)) {
        INFO(line << ", " << example.name);
        const auto result = exchange_bytes(example.bytes, part_bytes);
        CHECK(result.status == exchange_status::outcome_unknown);
        CHECK(result.failure == connection_failure::none);
        const auto outcome = receive_bytes(example.bytes, part_bytes);
        const auto* failed = std::get_if<http_failure>(&outcome);
        CHECK((failed != nullptr && failed->sent));
    }
}

constexpr std::size_t all_bytes = SIZE_MAX;

} // namespace

// Guards against failing targets whose field names are none, and that hide a length or a transfer coding.
TEST_CASE("a response with a malformed field name is rejected wherever it stands")
{
    for (const auto& line : malformed_names())
        check_rejected(line, all_bytes);
}

// Guards against a line that becomes part of the field before it, such as the signature of the target.
TEST_CASE("a response with a folded field line is rejected wherever it stands")
{
    for (const auto& line : folded_lines())
        for (const auto part_bytes : {all_bytes, std::size_t{1}})
            check_rejected(line, part_bytes);
}

// Guards against rejections of proper messages whose bodies look like folded lines.
TEST_CASE("a response with proper fields is accepted, whatever its body holds")
{
    const auto head = status_line + known_fields;
    const std::string body = "\r\n X-Odd: v\r\n\t";
    const auto with_body_length = head + "Content-Length: 14\r\n\r\n" + body;
    const auto to_end = head + "\r\n" + body;
    const auto in_one_chunk =
        head + "Transfer-Encoding: chunked\r\n\r\nE\r\n" + body + "\r\n0;x=\" y\"\r\nX-T: 1\r\n\r\n";
    for (const auto part_bytes : {all_bytes, std::size_t{1}}) {
        for (const auto& example : responses_with("X-Odd:\t v \t")) {
            INFO(example.name);
            const auto result = exchange_bytes(example.bytes, part_bytes);
            CHECK(result.status == exchange_status::answered);
            CHECK(result.response.body() == "ab");
            CHECK(std::holds_alternative<http_response>(receive_bytes(example.bytes, part_bytes)) ==
                  example.has_length);
        }
        for (const auto& bytes : {with_body_length, to_end, in_one_chunk}) {
            const auto result = exchange_bytes(bytes, part_bytes);
            CHECK(result.status == exchange_status::answered);
            CHECK(result.response.body() == body);
        }
    }
}
