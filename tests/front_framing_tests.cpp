#include "support/endless_form.hpp"
#include "support/front_deployment.hpp"

#include <boost/asio/read.hpp>
#include <doctest/doctest.h>

using namespace teaseltally;
using namespace teaseltally::test;

namespace {

constexpr std::size_t max_single_bytes = std::size_t{64} << 20U;
constexpr std::size_t max_bytes_of_many = std::size_t{16} << 20U;
constexpr std::size_t many = 50;
/// Memory that one connection may add to a calm process, and memory of the smallest instances of the users.
constexpr unsigned max_added_mb = 32;
constexpr unsigned max_memory_mb = 160;
/// Share of the other callers' requests that may be lost to an attack.
constexpr double max_lost_share = 0.02;
constexpr milliseconds load_interval{12};
constexpr milliseconds load_duration{2000};
/// Time after which a caller has been answered; its deadline is 2 s.
constexpr milliseconds max_wait{2300};

const std::string chunked_head = "POST /work/a HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: endless\r\n"
                                 "Transfer-Encoding: chunked\r\n\r\n";

struct way_in {
    std::string name;
    tcp_endpoint endpoint;
    std::string head;
};

std::vector<way_in> ways_in(const front_process& front)
{
    auto unrouted = chunked_head;
    unrouted.replace(unrouted.find("h.example"), std::string_view{"h.example"}.size(), "other.example");
    return {{"callers", front.callers(), chunked_head},
            {"callers without a route", front.callers(), unrouted},
            {"readiness", front.readiness(), chunked_head},
            {"peers", front.peers(), chunked_head}};
}

/// What became of an endless request.
struct flood {
    std::size_t sent = 0;
    bool finished = false;
    /// Status that the sender received before the connection ended; empty if there was none.
    std::string status;
};

asio::awaitable<void> read_status(std::shared_ptr<asio::ip::tcp::socket> socket,
                                  std::shared_ptr<flood> result)
{
    constexpr std::size_t position = 9;
    constexpr std::size_t digits = 3;
    std::string text(position + digits, '\0');
    const auto [failed, size] = co_await asio::async_read(*socket, asio::buffer(text), as_result);
    if (!failed)
        result->status = text.substr(position);
}

asio::awaitable<void> flood_connection(tcp_endpoint endpoint, std::string head, endless_form form,
                                       std::size_t max_bytes, std::shared_ptr<flood> result)
{
    const auto executor = co_await asio::this_coro::executor;
    const auto socket = std::make_shared<asio::ip::tcp::socket>(executor);
    if (const auto [failed] = co_await socket->async_connect(endpoint, as_result); !failed) {
        asio::co_spawn(executor, read_status(socket, result), asio::detached);
        result->sent = co_await send_endless(*socket, std::move(head), std::move(form), max_bytes);
        co_await sleep_for(milliseconds{50});
        boost::system::error_code ignored;
        socket->close(ignored);
    }
    result->finished = true;
}

/// Sends an endless request over several connections at once.
/// @returns the results.
asio::awaitable<std::vector<std::shared_ptr<flood>>>
flood_connections(way_in way, endless_form form, std::size_t connections, std::size_t max_bytes)
{
    std::vector<std::shared_ptr<flood>> results;
    for (std::size_t index = 0; index < connections; ++index) {
        results.push_back(std::make_shared<flood>());
        asio::co_spawn(co_await asio::this_coro::executor,
                       flood_connection(way.endpoint, way.head, form, max_bytes, results.back()),
                       asio::detached);
    }
    const auto until = hang_deadline();
    while (!std::ranges::all_of(results, [](const auto& result) { return result->finished; }) &&
           boot_clock::now() < until)
        co_await sleep_for(milliseconds{5});
    co_return results;
}

/// Returns whether an instance has logged that it rejected messages on a way in.
bool logs_rejections(const front_process& front, const std::string& way)
{
    return front.output().find("event=message_rejected way=" + way + " sender=127.") != std::string::npos;
}

/// Returns the share of the requests sent in a time span that were answered with status 200.
double share_served(const deployment& site, time_point from, time_point to)
{
    double sent = 0;
    double served = 0;
    for (const auto& answer : site.load_answers)
        if (answer.sent >= from && answer.sent < to) {
            sent += 1;
            served += answer.status == 200 ? 1 : 0;
        }
    REQUIRE(sent > 0);
    return served / sent;
}

/// Returns the forms that have no header, or an endless one.
std::vector<endless_form> endless_heads()
{
    return {{"header", "POST / HTTP/1.1\r\nX-Long: ", endless_block("a")},
            {"empty lines", "", endless_block("\r\n")},
            {"request line", "POST /", endless_block("a")}};
}

/// Checks that an instance keeps its memory and serves other callers while something sends it endless bytes.
/// @param attack begins what lasts for `load_duration`.
template <typename Attack>
asio::awaitable<void> check_beside_load(deployment& site, std::string name, Attack attack)
{
    auto& front = *site.fronts[0];
    front.reset_peak_memory();
    const auto calm_mb = front.peak_memory_mb();
    site.start_load(0, load_interval);
    const auto calm_at = boot_clock::now();
    co_await sleep_for(load_duration);
    const auto began = boot_clock::now();
    co_await attack();
    const auto rest = began + load_duration - boot_clock::now();
    co_await sleep_for(std::chrono::duration_cast<microseconds>(rest));
    const auto ended = boot_clock::now();
    site.stop_load();
    co_await sleep_for(max_wait);
    INFO(name);
    REQUIRE(!front.has_ended());
    const auto calm = share_served(site, calm_at, began);
    const auto attacked = share_served(site, began, ended);
    MESSAGE(name << ": calm " << calm_mb << " MB, peak " << front.peak_memory_mb() << " MB; served " << calm
                 << " before, " << attacked << " meanwhile");
    CHECK(front.peak_memory_mb() < max_memory_mb);
    CHECK(attacked >= calm - max_lost_share);
}

} // namespace

// Guards against one anonymous connection that takes all memory of an instance.
TEST_CASE("one connection whose framing does not end is ended, and takes little memory")
{
    deployment site({"safe", {}, 1, 1});
    run(site.io, [&]() -> asio::awaitable<void> {
        co_await site.start();
        auto& front = *site.fronts[0];
        front.reset_peak_memory();
        const auto calm_mb = front.peak_memory_mb();
        for (const auto& way : ways_in(front)) {
            auto forms = endless_chunked_forms();
            const auto chunked = forms.size();
            const auto heads = endless_heads();
            forms.insert(forms.end(), heads.begin(), heads.end());
            for (std::size_t index = 0; index < forms.size(); ++index) {
                auto sender = way;
                if (index >= chunked)
                    sender.head.clear();
                front.reset_peak_memory();
                const auto result =
                    (co_await flood_connections(sender, forms[index], 1, max_single_bytes))[0];
                INFO(way.name << ", " << forms[index].name);
                MESSAGE(way.name << ", " << forms[index].name << ": " << result->sent
                                 << " bytes sent, status " << result->status << ", calm " << calm_mb
                                 << " MB, peak " << front.peak_memory_mb() << " MB");
                CHECK(result->finished);
                CHECK(result->sent < max_single_bytes);
                CHECK(front.peak_memory_mb() - calm_mb < max_added_mb);
                CHECK((result->status.empty() || result->status == "400" || result->status == "431"));
            }
        }
        CHECK(!front.has_ended());
        for (const auto* way : {"callers", "readiness", "peers"})
            CHECK(logs_rejections(front, way));
    });
}

// Guards against many endless connections that together take the memory of an instance or the time of others.
TEST_CASE("fifty connections whose framing does not end leave memory and time for other callers")
{
    for (const auto& form : endless_chunked_forms()) {
        deployment site({"safe", {}, 1, 2});
        run(site.io, [&]() -> asio::awaitable<void> {
            co_await site.start();
            co_await check_beside_load(site, form.name, [&]() -> asio::awaitable<void> {
                for (const auto& way : ways_in(*site.fronts[0])) {
                    const auto results = co_await flood_connections(way, form, many, max_bytes_of_many);
                    for (const auto& result : results)
                        CHECK((result->finished && result->sent < max_bytes_of_many));
                }
            });
        });
    }
}

// Guards against senders that hold a connection for ever because each byte comes within the idle time.
TEST_CASE("a slow sender without end is cut off, and a slow upload that goes on is not")
{
    constexpr milliseconds byte_interval{200};
    constexpr milliseconds header_timeout{1000};
    constexpr milliseconds idle_timeout{4000};
    constexpr milliseconds server_timeout{10'000};
    constexpr milliseconds margin{1500};
    constexpr std::size_t upload_bytes = 15;
    struct slow_sender {
        std::string name;
        tcp_endpoint endpoint;
        std::string head;
        milliseconds limit;
        milliseconds lasted{0};
    };
    deployment site({"safe", {}, 1, 1});
    site.change_configuration([&](Json::Value& changed) {
        changed["limits"]["header-timeout"] = std::to_string(header_timeout.count()) + "ms";
        changed["limits"]["idle-timeout"] = std::to_string(idle_timeout.count()) + "ms";
    });
    std::vector<slow_sender> senders;
    std::string upload_answer(12, '\0');
    run(site.io, [&]() -> asio::awaitable<void> {
        co_await site.start();
        for (const auto& way : ways_in(*site.fronts[0])) {
            const bool is_caller = way.endpoint == site.fronts[0]->callers();
            senders.push_back({way.name + ", header", way.endpoint,
                               "POST /work/a HTTP/1.1\r\nX: ", is_caller ? header_timeout : server_timeout});
            for (const auto& form : endless_chunked_forms())
                senders.push_back({way.name + ", " + form.name, way.endpoint,
                                   way.head + form.start + form.block.substr(0, 5),
                                   is_caller ? header_timeout + idle_timeout : server_timeout});
        }
        const auto send_slowly = [&](slow_sender& sender) -> asio::awaitable<void> {
            asio::ip::tcp::socket socket(site.io);
            co_await socket.async_connect(sender.endpoint, asio::use_awaitable);
            co_await asio::async_write(socket, asio::buffer(sender.head), asio::use_awaitable);
            const auto began = boot_clock::now();
            std::array<char, 1> byte{'a'};
            boost::system::error_code closed;
            while (!closed && boot_clock::now() - began < server_timeout + margin) {
                if (const auto [failed, size] =
                        co_await asio::async_write(socket, asio::buffer(byte), as_result);
                    failed)
                    break;
                co_await sleep_for(byte_interval);
                socket.non_blocking(true);
                std::array<char, 1> received{};
                socket.receive(asio::buffer(received), 0, closed);
                if (closed == asio::error::would_block)
                    closed.clear();
                else
                    break;
            }
            sender.lasted = std::chrono::duration_cast<milliseconds>(boot_clock::now() - began);
        };
        for (auto& sender : senders)
            asio::co_spawn(site.io, send_slowly(sender), asio::detached);
        asio::ip::tcp::socket upload(site.io);
        co_await upload.async_connect(site.fronts[0]->callers(), asio::use_awaitable);
        auto head = chunked_head;
        head.insert(head.find("Transfer"), "X-Deadline-Ms: 2000\r\n");
        co_await asio::async_write(upload, asio::buffer(head), asio::use_awaitable);
        for (std::size_t index = 0; index < upload_bytes; ++index) {
            co_await asio::async_write(upload, asio::buffer("1\r\nx\r\n", 6), asio::use_awaitable);
            co_await sleep_for(byte_interval);
        }
        co_await asio::async_write(upload, asio::buffer("0\r\n\r\n", 5), asio::use_awaitable);
        co_await asio::async_read(upload, asio::buffer(upload_answer), asio::use_awaitable);
        co_await sleep_for(server_timeout);
    });
    CHECK(upload_answer == "HTTP/1.1 200");
    for (const auto& sender : senders) {
        INFO(sender.name << " lasted " << sender.lasted.count() << " ms");
        CHECK(sender.lasted > milliseconds{0});
        CHECK(sender.lasted < sender.limit + margin);
    }
}

// Guards against targets that take the memory of an instance with responses, or with replies to orders.
TEST_CASE("responses and replies of targets whose framing does not end are given up")
{
    const auto forms = endless_chunked_forms();
    for (const bool replies : {false, true})
        for (std::size_t form = 0; form < forms.size(); ++form) {
            target_behaviour behaviour;
            behaviour.keyed = replies;
            deployment site({"safe", behaviour, 1, 4});
            const auto failure = static_cast<target_failure>(
                static_cast<std::size_t>(target_failure::endless_extension) + form);
            INFO(forms[form].name << (replies ? ", replies" : ", responses"));
            run(site.io, [&]() -> asio::awaitable<void> {
                co_await site.start();
                auto& front = *site.fronts[0];
                front.reset_peak_memory();
                const auto calm_mb = front.peak_memory_mb();
                site.start_load(0, load_interval);
                // Another id at an address makes the instance ask who responds there.
                if (replies)
                    site.targets[0]->register_as("other");
                for (const auto& target : site.targets)
                    replies ? target->set_reply_failure(failure) : target->set_failure(failure);
                co_await sleep_for(load_duration);
                site.stop_load();
                co_await sleep_for(max_wait);
                std::size_t sent = 0;
                std::size_t taken = 0;
                for (const auto& target : site.targets) {
                    sent += target->endless_responses().first;
                    taken += target->endless_responses().second;
                }
                MESSAGE(forms[form].name << std::string(replies ? ", replies: " : ", responses: ") << sent
                                         << " sent, " << taken << " taken whole, calm " << calm_mb
                                         << " MB, peak " << front.peak_memory_mb() << " MB");
                CHECK(sent > 0);
                CHECK(taken == 0);
                if (replies)
                    CHECK(logs_rejections(front, "orders"));
                else
                    CHECK(front.output().find("the framing of the message is too large") !=
                          std::string::npos);
                CHECK(front.peak_memory_mb() - calm_mb < max_added_mb);
            });
        }
}

// Guards against a store, or something at its address, that takes the memory of an instance.
TEST_CASE("answers of the store whose framing does not end are given up, and callers are served")
{
    for (const auto& form : endless_chunked_forms()) {
        deployment site({"safe", {}, 1, 2});
        run(site.io, [&]() -> asio::awaitable<void> {
            co_await site.start();
            co_await check_beside_load(site, form.name, [&]() -> asio::awaitable<void> {
                site.store.answer_endlessly(0, form);
                co_await sleep_for(load_duration);
                site.store.answer_endlessly(0, std::nullopt);
                const auto [sent, taken] = site.store.endless_answers();
                CHECK(sent > 0);
                CHECK(taken == 0);
                CHECK(logs_rejections(*site.fronts[0], "store"));
            });
        });
    }
}

// Guards against limits so low that proper requests with some framing are refused.
TEST_CASE("proper requests with extensions, trailers and small chunks are served")
{
    const std::string some(700, 'a');
    std::string small_chunks;
    for (int index = 0; index < 50'000; ++index)
        small_chunks += "1\r\nx\r\n";
    const std::vector<std::string> bodies{
        "5;x=" + some + "\r\nhello\r\n0\r\n\r\n",
        "5\r\nhello\r\n0;x=" + some + "\r\nX-T: " + some + "\r\nX-U: 1\r\n\r\n",
        std::string(200, '0') + "5\r\nhello\r\n00000\r\n\r\n", small_chunks + "0\r\n\r\n"};
    deployment site({"safe", {}, 1, 1});
    run(site.io, [&]() -> asio::awaitable<void> {
        co_await site.start();
        auto head = chunked_head;
        head.insert(head.find("Transfer"), "X-Deadline-Ms: 2000\r\n");
        boost::beast::tcp_stream stream(site.io);
        stream.expires_after(std::chrono::seconds{10});
        co_await stream.async_connect(site.fronts[0]->callers(), asio::use_awaitable);
        boost::beast::flat_buffer buffer;
        for (std::size_t index = 0; index < bodies.size(); ++index) {
            co_await asio::async_write(stream, asio::buffer(head + bodies[index]), asio::use_awaitable);
            http_response response;
            co_await http::async_read(stream, buffer, response, asio::use_awaitable);
            INFO("body " << index);
            CHECK(response.result_int() == 200);
            CHECK(response.keep_alive());
        }
    });
}
