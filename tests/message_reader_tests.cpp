#include "support/endless_form.hpp"
#include "support/run.hpp"

#include <teaseltally/net/http.hpp>
#include <teaseltally/net/message_framing.hpp>
#include <teaseltally/net/message_reader.hpp>
#include <teaseltally/net/rejection_log.hpp>

#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

#include <array>
#include <cstdlib>
#include <random>
#include <sys/socket.h>

using namespace teaseltally;
using namespace teaseltally::test;
namespace http = boost::beast::http;

namespace {

constexpr std::size_t max_header_bytes = 1000;
constexpr std::size_t max_body_bytes = 50'000;
/// Number of seeds unless the environment variable TEASELTALLY_FUZZ_RUNS says otherwise.
constexpr unsigned default_seeds = 10'000;

/// What a reader made of a text.
struct reading {
    boost::system::error_code failed;
    std::string body;
    std::size_t read_bytes = 0;
    std::size_t buffer_bytes = 0;
    /// Bytes that were read and belong to the next message.
    std::size_t left_bytes = 0;
};

asio::awaitable<void> send_all(std::shared_ptr<asio::ip::tcp::socket> socket, std::string text)
{
    co_await asio::async_write(*socket, asio::buffer(text), as_result);
    boost::system::error_code ignored;
    socket->shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
}

/// Reads one message from a connection over which a text is sent.
reading read_text(const std::string& text)
{
    asio::io_context io{1};
    std::array<int, 2> ends{};
    REQUIRE(::socketpair(AF_UNIX, SOCK_STREAM, 0, ends.data()) == 0);
    const auto sender = std::make_shared<asio::ip::tcp::socket>(io, asio::ip::tcp::v4(), ends[0]);
    boost::beast::tcp_stream stream(asio::ip::tcp::socket(io, asio::ip::tcp::v4(), ends[1]));
    reading result;
    run(io, [&]() -> asio::awaitable<void> {
        asio::co_spawn(io, send_all(sender, text), asio::detached);
        boost::beast::flat_buffer buffer;
        http::request_parser<http::string_body> parser;
        parser.header_limit(max_header_bytes);
        parser.body_limit(max_body_bytes);
        framing_budget budget(max_header_bytes);
        message_reader<true> reader(stream, buffer, parser, budget);
        result.failed = co_await reader.read_header();
        if (!result.failed)
            result.failed = co_await reader.read_rest();
        result.body = parser.get().body();
        result.read_bytes = budget.read_bytes();
        result.buffer_bytes = buffer.capacity();
        result.left_bytes = buffer.size();
    });
    return result;
}

bool has_folded_line(std::string_view lines)
{
    return lines.find("\r\n ") != std::string_view::npos || lines.find("\r\n\t") != std::string_view::npos;
}

/// What Beast's parser reads from a text at once.
struct whole_message {
    bool is_done = false;
    std::string body;
    std::size_t bytes = 0;
    std::size_t header_bytes = 0;
    /// Error with which a reader must reject a complete message although the parser accepts it.
    boost::system::error_code rejection;
};

whole_message parse_whole(const std::string& text)
{
    http::request_parser<http::string_body> parser;
    const auto limit = framing_budget(max_header_bytes).max_buffer_bytes();
    // Beast's limit does not count the part of a header that it has parsed before, so that a header is let
    // through or not depending on how it arrives; the budget bounds it.
    parser.header_limit(static_cast<std::uint32_t>(limit));
    parser.body_limit(max_body_bytes);
    parser.eager(true);
    const char* last_chunk = nullptr;
    auto on_chunk = [&](std::uint64_t size, boost::beast::string_view extensions,
                        boost::system::error_code&) {
        if (size == 0)
            last_chunk = extensions.data();
    };
    parser.on_chunk_header(on_chunk);
    whole_message whole;
    boost::system::error_code failed;
    try {
        whole.bytes = parser.put(asio::buffer(text), failed);
    }
    catch (const std::length_error&) {
        // Without a budget, a field may be longer than the parser can store.
        REQUIRE(text.size() > limit);
    }
    whole.is_done = parser.is_done();
    whole.body = parser.get().body();
    whole.header_bytes = text.find("\r\n\r\n") + 4;
    if (!whole.is_done)
        return whole;
    const bool folded_header = has_folded_line({text.data(), whole.header_bytes});
    const bool folded_trailers =
        last_chunk != nullptr && has_folded_line({last_chunk, text.data() + whole.bytes});
    if (!folded_header && find_framing_error(parser.get(), parser.get().version()))
        whole.rejection = http::error::bad_transfer_encoding;
    else if (folded_header || folded_trailers)
        whole.rejection = http::error::bad_obs_fold;
    return whole;
}

/// Returns a chunked request whose framing is cut and repeated at random.
std::string random_text(std::mt19937_64& random)
{
    static const std::array<std::string, 16> pieces{"5;x=aaaa\r\nhello\r\n",
                                                    "1\r\nx\r\n",
                                                    "0\r\n",
                                                    "\r\n",
                                                    "X-T: 1\r\n",
                                                    "00000000",
                                                    ";x=\"a\\\"b\"",
                                                    ";a",
                                                    "5\r\nhello\r\n",
                                                    "0;x=1\r\n",
                                                    "Content-Length: 3\r\n",
                                                    "Transfer-Encoding: chunked\r\n",
                                                    "\r",
                                                    "a0\r\n",
                                                    "GET / HTTP/1.1\r\n\r\n",
                                                    "HTTP/1.1 100 Continue\r\n\r\n"};
    const auto below = [&](std::size_t limit) { return static_cast<std::size_t>(random() % limit); };
    std::string text = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
    const auto head = text.size();
    for (auto count = below(8); count > 0; --count)
        text += below(3) == 0 ? pieces.at(below(pieces.size())) : pieces.at(below(2) * 8);
    text += below(2) == 0 ? "0\r\nX-T: 1\r\n\r\n" : "0\r\n\r\n";
    constexpr std::size_t max_text_bytes = 200'000;
    for (auto count = below(4); count > 0 && !text.empty(); --count) {
        const auto first = below(8) == 0 || text.size() <= head ? 0 : head;
        const auto from = first + below(text.size() - first);
        const auto size = std::min(text.size() - from, 1 + below(30));
        auto slice = text.substr(from, size);
        if (below(3) == 0)
            slice = pieces.at(below(pieces.size()));
        std::string repeated;
        const auto repeats = std::size_t{1} << below(13);
        for (std::size_t index = 0; index < repeats && repeated.size() + text.size() < max_text_bytes;
             ++index)
            repeated += slice;
        text.replace(from, below(2) == 0 ? size : 0, repeated);
    }
    return text;
}

} // namespace

// Guards against a form of framing, known or not, that takes memory or time without a bound, and against
// limits that refuse a message within them.
TEST_CASE("framing that is cut and repeated at random stays within the budget")
{
    const char* runs = std::getenv("TEASELTALLY_FUZZ_RUNS");
    const auto seeds = runs == nullptr ? default_seeds : static_cast<unsigned>(std::atoi(runs));
    const framing_budget limits(max_header_bytes);
    unsigned complete = 0;
    unsigned exceeded = 0;
    unsigned folded = 0;
    unsigned ambiguous = 0;
    for (unsigned seed = 1; seed <= seeds; ++seed) {
        std::mt19937_64 random(seed);
        const auto text = random_text(random);
        const auto whole = parse_whole(text);
        const auto result = read_text(text);
        CAPTURE(seed);
        // A last read may exceed the budget before the check.
        REQUIRE(result.buffer_bytes <= limits.max_buffer_bytes());
        REQUIRE(result.read_bytes <= 2 * limits.max_buffer_bytes() +
                                         (1 + framing_budget::bytes_per_body_byte) * result.body.size());
        if (is_framing_excess(result.failed)) {
            ++exceeded;
            REQUIRE(result.read_bytes >= std::min(max_header_bytes, framing_budget::allowance_bytes));
        }
        else if (!result.failed) {
            ++complete;
            REQUIRE(whole.is_done);
            REQUIRE(!whole.rejection);
            REQUIRE(result.body == whole.body);
            REQUIRE(result.read_bytes - result.left_bytes == whole.bytes);
        }
        else if (whole.is_done)
            REQUIRE(result.failed == whole.rejection);
        const bool within_limits =
            whole.bytes < framing_budget::allowance_bytes && whole.header_bytes <= max_header_bytes;
        if (whole.is_done && within_limits)
            REQUIRE(result.failed == whole.rejection);
        folded += whole.rejection == http::error::bad_obs_fold ? 1 : 0;
        ambiguous += whole.rejection == http::error::bad_transfer_encoding ? 1 : 0;
    }
    MESSAGE(seeds << " seeds: " << complete << " complete, " << exceeded << " over the budget, " << folded
                  << " with folded lines, " << ambiguous << " without a certain end");
    CHECK(complete > 0);
    CHECK(exceeded > 0);
    CHECK(folded > 0);
    CHECK(ambiguous > 0);
}

// Guards against answers of other instances, of targets and of the store that take memory, or that hold an
// exchange with framing that trickles in.
TEST_CASE("a client gives up a response whose framing does not end, fast or slow")
{
    constexpr std::size_t max_bytes = std::size_t{64} << 20U;
    constexpr milliseconds pause{200};
    constexpr milliseconds byte_interval{20};
    constexpr std::size_t field_bytes = 70'000;
    const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    auto forms = endless_chunked_forms();
    // The parser throws instead of storing such a field.
    forms.push_back(
        {"long field name", "0\r\n" + std::string(field_bytes, 'a') + ": 1\r\n\r\n", endless_block("a")});
    for (const auto& form : forms) {
        INFO(form.name);
        asio::io_context io{1};
        asio::ip::tcp::acceptor acceptor(io, any_port);
        http_client client(io.get_executor(), {});
        std::vector<std::string> causes;
        client.set_rejection_observer([&](const tcp_endpoint&, const boost::system::error_code& failed) {
            causes.push_back(describe_read_failure(failed));
        });
        std::size_t sent = 0;
        const auto serve = [&](bool slow) -> asio::awaitable<void> {
            auto [failed, socket] = co_await acceptor.async_accept(as_result);
            if (!slow)
                sent = co_await send_endless(socket, head, form, max_bytes);
            const auto text = head + "1\r\nx\r\n1;x=";
            co_await asio::async_write(socket, asio::buffer(text), as_result);
            for (bool open = slow; open; co_await sleep_for(byte_interval)) {
                const auto [closed, size] =
                    co_await asio::async_write(socket, asio::buffer("a", 1), as_result);
                open = !closed;
            }
        };
        run(io, [&]() -> asio::awaitable<void> {
            for (const bool slow : {false, true}) {
                asio::co_spawn(io, serve(slow), asio::detached);
                const auto began = boot_clock::now();
                const auto outcome =
                    co_await client.exchange(acceptor.local_endpoint(), make_request(http::verb::get, "/"),
                                             {began + std::chrono::seconds{8}, pause, hang_deadline()});
                const auto* failed = std::get_if<http_failure>(&outcome);
                REQUIRE(failed != nullptr);
                CHECK(failed->sent);
                CHECK(failed->timed_out == slow);
                if (slow)
                    CHECK(boot_clock::now() - began < 5 * pause);
            }
        });
        CHECK(sent < max_bytes);
        CHECK(causes == std::vector<std::string>{"the framing of the message is too large"});
    }
}

// Guards against a log that grows with each message of an attack.
TEST_CASE("rejected messages are all counted, and a bounded number is logged for each way in")
{
    std::vector<std::string> lines;
    rejection_log log([&](const std::string& line) { lines.push_back(line); });
    const tcp_endpoint sender{asio::ip::make_address("127.0.0.9"), 7};
    const auto start = boot_clock::now();
    for (int index = 0; index < 1500; ++index)
        log.record("callers", sender, framing_limit_error, start + milliseconds{index});
    log.record("peers", sender, http::error::header_limit, start);
    CHECK(log.count("callers") == 1500);
    CHECK(log.count("peers") == 1);
    CHECK(log.count("store") == 0);
    REQUIRE(lines.size() == 3);
    CHECK(lines[1].find("sender=127.0.0.9") != std::string::npos);
    CHECK(lines[1].find("since_last_line=1000 total=1001") != std::string::npos);
}
