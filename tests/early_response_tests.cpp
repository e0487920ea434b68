#include "support/early_response.hpp"
#include "support/run.hpp"

#include <teaseltally/net/target_node.hpp>

#include <boost/asio/detached.hpp>
#include <doctest/doctest.h>

using namespace teaseltally;
using namespace teaseltally::test;

namespace {

namespace http = boost::beast::http;

/// More than the buffers of both sockets hold, so that the upload is still being written when the connection
/// ends.
constexpr std::size_t upload_bytes = std::size_t{8} << 20U;
const std::string head = "HTTP/1.1 200 OK\r\ntt-request-id: q\r\ntt-signature: s\r\n";
const std::string body(30'000, 'x');

struct partial_response {
    std::string name;
    std::string bytes;
};

/// Returns responses of which a part of the body is missing.
std::vector<partial_response> partial_responses()
{
    const auto part = body.substr(0, 9'000);
    const auto head_of_1_0 = "HTTP/1.0 200 OK" + head.substr(head.find('\r'));
    std::vector<partial_response> forms{
        {"HTTP/1.1", head + "\r\n"},
        {"HTTP/1.0", head_of_1_0 + "\r\n"},
        {"Connection: close", head + "Connection: close\r\n\r\n"},
        {"with a length", head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n"},
        {"in chunks", head + "Transfer-Encoding: chunked\r\n\r\n4000\r\n"}};
    for (auto& form : forms)
        form.bytes += part;
    forms.push_back({"no bytes of the body", head + "\r\n"});
    return forms;
}

/// Uploads to a target that responds early.
exchange_result upload_to(const early_response& response, http::verb method, std::size_t bytes = upload_bytes)
{
    asio::io_context io(1);
    asio::ip::tcp::acceptor acceptor(io, any_port);
    const auto node = std::make_shared<target_node>(io.get_executor(), target_entry{},
                                                    acceptor.local_endpoint(), microseconds{1000});
    const std::string upload(bytes, 'u');
    auto request = std::make_shared<target_request>(method, "/", 11);
    request->body() = {upload.data(), upload.size()};
    request->prepare_payload();
    const header_names headers;
    request->set(headers.request_id, "q");
    message_memory memory;
    exchange_result result;
    run(io, [&]() -> asio::awaitable<void> {
        asio::co_spawn(io, respond_early(acceptor, response), asio::detached);
        result = co_await exchange_with_target(node, request, headers, node->acquire(boot_clock::now(), 4),
                                               hang_deadline(), memory);
    });
    CHECK(node->open_connections() == 0);
    // The account ends here.
    result.memory = {};
    return result;
}

} // namespace

// Guards against a response without a length that a reset cut off while the upload was still being written:
// callers got what had arrived as the whole response (MIXED).
TEST_CASE("a response that a reset cuts off during an upload does not count as answered")
{
    for (const auto& form : partial_responses())
        for (const auto& cut : connection_resets())
            for (const auto method : {http::verb::post, http::verb::put}) {
                INFO(form.name << ", " << cut.name);
                const auto result = upload_to({form.bytes, cut.end}, method);
                CHECK(result.status == exchange_status::outcome_unknown);
                CHECK(result.failure == connection_failure::lost);
            }
}

// Guards against the same where the target closes the connection between two reads, so that the reset follows
// a FIN: the end counts only if the target has received the whole upload.
TEST_CASE("a response without a length counts as answered only if its target has received the whole upload")
{
    const auto without_length = head.substr(head.find('\r')) + "\r\n" + body.substr(0, 9'000);
    int cut_off = 0;
    for (const std::size_t bytes :
         {std::size_t{500'000}, std::size_t{2} << 20U, upload_bytes, std::size_t{30} << 20U})
        for (const auto* version : {"HTTP/1.1 200 OK", "HTTP/1.0 200 OK"})
            for (int repetition = 0; repetition < 10; ++repetition) {
                INFO(version << ", " << bytes << " bytes");
                bool read_all = false;
                const auto result =
                    upload_to({version + without_length, connection_end::close_after_part, &read_all},
                              http::verb::post, bytes);
                cut_off += read_all ? 0 : 1;
                CHECK((result.status == exchange_status::answered) == read_all);
            }
    MESSAGE(cut_off << " of 80 connections closed before the whole upload was read");
    CHECK(cut_off > 0);
}

// Guards against whole responses without a length that are given up because the upload could not be
// completed.
TEST_CASE("a whole response to an upload counts as answered, however much of the upload was read")
{
    const auto without_length = head + "\r\n" + body;
    for (const auto& orderly : orderly_ends()) {
        INFO(orderly.name);
        const auto result = upload_to({without_length, orderly.end}, http::verb::post);
        CHECK(result.status == exchange_status::answered);
        CHECK(result.response.body() == body);
    }
    const auto with_length = head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    for (const auto& cut : connection_resets()) {
        INFO("with a length, " << cut.name);
        const auto result = upload_to({with_length, cut.end}, http::verb::post);
        CHECK(result.status == exchange_status::answered);
        CHECK(result.response.body() == body);
    }
}
