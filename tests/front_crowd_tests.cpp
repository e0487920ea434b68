#include "support/front_deployment.hpp"

#include <doctest/doctest.h>

#include <charconv>

using namespace teaseltally;
using namespace teaseltally::test;

namespace {

constexpr std::size_t connection_count = 100;
constexpr std::size_t max_body_bytes = std::size_t{1} << 20U;
/// Limits of the instance's machine, which are the bounds of the tests.
constexpr unsigned memory_mb = 60;
constexpr std::size_t descriptors = 800;
constexpr std::size_t missing_bytes = 7;
constexpr std::size_t chunk_bytes = std::size_t{64} << 10U;
/// Time without progress after which the clients count as stopped by the instance.
constexpr milliseconds stall_time{1500};

/// What one client sends: the parts one after the other. Then it keeps its connection open.
using client_parts = std::vector<std::string>;

std::string head_of(const std::string& fields)
{
    return "POST /work/a HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: crowd\r\n" + fields + "\r\n\r\n";
}

std::string chunk_of(std::size_t bytes)
{
    std::array<char, 16> size{};
    const auto end = std::to_chars(size.data(), size.data() + size.size(), bytes, 16).ptr;
    return std::string(size.data(), end) + "\r\n" + std::string(bytes, 'x') + "\r\n";
}

/// Returns a body of a size in chunks, without the last chunk, which has the size 0.
client_parts chunked_parts(std::size_t body_bytes, std::size_t bytes_per_chunk)
{
    client_parts parts{head_of("Transfer-Encoding: chunked")};
    std::string part;
    const auto chunk = chunk_of(bytes_per_chunk);
    for (std::size_t sent = 0; sent + bytes_per_chunk <= body_bytes; sent += bytes_per_chunk) {
        part += chunk;
        if (part.size() >= chunk_bytes)
            parts.push_back(std::exchange(part, {}));
    }
    parts.push_back(part);
    return parts;
}

client_parts length_parts(std::size_t announced, std::size_t sent)
{
    return {head_of("Content-Length: " + std::to_string(announced)), std::string(sent, 'x')};
}

/// Clients that send at once and keep their connections open until they leave.
class crowd {
public:
    asio::awaitable<void> send(tcp_endpoint endpoint, client_parts parts)
    {
        const auto executor = co_await asio::this_coro::executor;
        const auto shared_parts = std::make_shared<client_parts>(std::move(parts));
        for (std::size_t index = 0; index < connection_count; ++index) {
            sockets_.push_back(std::make_shared<asio::ip::tcp::socket>(executor));
            asio::co_spawn(executor, send_parts(sockets_.back(), endpoint, shared_parts), asio::detached);
        }
    }
    /// Waits until all clients have sent everything, or the instance takes no more.
    asio::awaitable<void> wait_until_sent()
    {
        auto progress_at = boot_clock::now();
        auto before = sent_bytes_;
        const auto until = progress_at + std::chrono::seconds{90};
        while (finished_ < connection_count && boot_clock::now() - progress_at < stall_time &&
               boot_clock::now() < until) {
            co_await sleep_for(milliseconds{20});
            if (sent_bytes_ != before)
                progress_at = boot_clock::now();
            before = sent_bytes_;
        }
    }
    void leave()
    {
        boost::system::error_code ignored;
        for (const auto& socket : sockets_)
            socket->close(ignored);
    }
    [[nodiscard]] std::size_t sent_bytes() const noexcept { return sent_bytes_; }

private:
    asio::awaitable<void> send_parts(std::shared_ptr<asio::ip::tcp::socket> socket, tcp_endpoint endpoint,
                                     std::shared_ptr<const client_parts> parts)
    {
        auto [failed] = co_await socket->async_connect(endpoint, as_result);
        for (const auto& part : *parts)
            for (std::size_t sent = 0; sent < part.size() && !failed;) {
                const auto [ec, count] =
                    co_await socket->async_write_some(asio::buffer(part) + sent, as_result);
                failed = ec;
                sent += count;
                sent_bytes_ += count;
            }
        ++finished_;
    }

    std::vector<std::shared_ptr<asio::ip::tcp::socket>> sockets_;
    std::size_t sent_bytes_ = 0;
    std::size_t finished_ = 0;
};

/// Returns the largest number of descriptors that a calm instance has open.
asio::awaitable<std::size_t> calm_descriptors(const front_process& front)
{
    std::size_t most = 0;
    for (int sample = 0; sample < 30; ++sample) {
        most = std::max(most, front.open_descriptors());
        co_await sleep_for(milliseconds{50});
    }
    co_return most;
}

/// Sends an ordinary request.
/// @returns the status; 0 if there was no answer.
asio::awaitable<unsigned> ordinary_status(const front_process& front, std::string id)
{
    caller_request request{std::move(id)};
    request.patience = milliseconds{20'000};
    co_return (co_await call(front.callers(), std::move(request))).status;
}

/// Checks that an instance outlives a crowd of clients within the memory and the descriptors of its machine,
/// and serves an ordinary request afterwards.
/// @param parts what each client sends.
/// @param failure how the targets fail meanwhile.
void check_crowd(const client_parts& parts, target_failure failure = target_failure::none)
{
    deployment_options options{"safe", {}, 1, 3};
    options.limits = {{"memory-mb", memory_mb}, {"max-fds", descriptors}};
    deployment site(options);
    site.change_configuration(
        [](Json::Value& changed) { changed["limits"]["max-body-bytes"] = max_body_bytes; });
    run(site.io, [&]() -> asio::awaitable<void> {
        co_await site.start();
        auto& front = *site.fronts[0];
        const auto calm = co_await calm_descriptors(front);
        const auto calm_mb = front.peak_memory_mb();
        for (const auto& target : site.targets)
            target->set_failure(failure);
        crowd clients;
        co_await clients.send(front.callers(), parts);
        co_await clients.wait_until_sent();
        REQUIRE(!front.has_ended());
        CHECK(front.open_descriptors() < descriptors);
        CHECK(co_await ordinary_status(front, "meanwhile") != 0);
        clients.leave();
        for (const auto& target : site.targets)
            target->set_failure(target_failure::none);
        unsigned status = 0;
        std::size_t attempts = 0;
        for (const auto until = hang_deadline(); status != 200 && boot_clock::now() < until;)
            status = co_await ordinary_status(front, "afterwards-" + std::to_string(++attempts));
        CHECK(status == 200);
        REQUIRE(!front.has_ended());
        auto open = front.open_descriptors();
        for (const auto until = hang_deadline(); open > calm && boot_clock::now() < until;) {
            co_await sleep_for(milliseconds{50});
            open = front.open_descriptors();
        }
        CHECK(open <= calm);
        MESSAGE("sent " << clients.sent_bytes() << " bytes; calm " << calm_mb << " MB and " << calm
                        << " descriptors, peak " << front.peak_memory_mb() << " MB");
        CHECK(front.peak_memory_mb() < memory_mb);
    });
}

} // namespace

// Guards against clients whose unfinished requests of legal size take more memory than the machine has.
TEST_CASE("many requests with an announced length that stop short leave the instance in its memory")
{
    check_crowd(length_parts(max_body_bytes, max_body_bytes - missing_bytes));
}

// Guards against complete requests that are copied for each attempt while the targets are busy.
TEST_CASE("many whole bodies leave the instance in its memory")
{
    check_crowd(length_parts(max_body_bytes, max_body_bytes));
}

// Guards against chunked requests, whose buffers grow beyond the bytes that they hold.
TEST_CASE("many chunks of 64 KB that stop short leave the instance in its memory")
{
    check_crowd(chunked_parts(max_body_bytes - chunk_bytes, chunk_bytes));
}

// Guards against refused requests whose buffers are kept while the rest is discarded.
TEST_CASE("many bodies in chunks far over the limit leave the instance in its memory")
{
    check_crowd(chunked_parts(3 * max_body_bytes, chunk_bytes));
}

// Guards against memory for framing: a chunk of one byte takes six.
TEST_CASE("many chunks of one byte leave the instance in its memory")
{
    check_crowd(chunked_parts(chunk_bytes, 1));
}

// Guards against targets whose responses grow until their connections close.
TEST_CASE("many responses without end leave the instance in its memory")
{
    check_crowd({"GET /work/a HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: crowd\r\n\r\n"},
                target_failure::endless_body);
}

// Guards against an account that refuses a legal request although nothing else needs memory.
TEST_CASE("one request of the largest legal size is served by an instance with little memory")
{
    constexpr std::size_t large_bytes = std::size_t{64} << 20U;
    constexpr unsigned small_memory_mb = 120;
    deployment_options options{"safe", {}, 1, 1};
    options.limits = {{"memory-mb", small_memory_mb}};
    options.route_timeout = "20000ms";
    deployment site(options);
    site.change_configuration([](Json::Value& changed) {
        changed["limits"]["max-body-bytes"] = large_bytes;
        changed["limits"]["idle-timeout"] = "60000ms";
    });
    auto chunked = chunked_parts(large_bytes, chunk_bytes);
    chunked.push_back("0\r\n\r\n");
    run(site.io, [&]() -> asio::awaitable<void> {
        co_await site.start();
        for (const auto& parts : {length_parts(large_bytes, large_bytes), chunked}) {
            boost::beast::tcp_stream stream(site.io);
            stream.expires_after(std::chrono::seconds{60});
            co_await stream.async_connect(site.fronts[0]->callers(), asio::use_awaitable);
            for (const auto& part : parts)
                co_await asio::async_write(stream, asio::buffer(part), as_result);
            boost::beast::flat_buffer buffer;
            http_response response;
            const auto [failed, size] = co_await http::async_read(stream, buffer, response, as_result);
            CHECK(!failed);
            CHECK(response.result_int() == 200);
        }
        REQUIRE(!site.fronts[0]->has_ended());
        MESSAGE("peak " << site.fronts[0]->peak_memory_mb() << " MB");
        CHECK(site.fronts[0]->peak_memory_mb() < small_memory_mb);
    });
}
