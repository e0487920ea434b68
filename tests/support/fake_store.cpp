#include "support/fake_store.hpp"

#include "support/run.hpp"

#include <teaseltally/json.hpp>

#include <boost/asio/detached.hpp>
#include <boost/beast/core/detail/base64.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>

namespace teaseltally::test {
namespace {

constexpr std::size_t length_bytes = 4;
constexpr unsigned ok_status = 200;
/// Time between two checks of a waiting read for new records.
constexpr milliseconds read_check_interval{5};

std::string big_endian(std::uint64_t value, std::size_t bytes)
{
    std::string text;
    while (bytes-- > 0)
        text += static_cast<char>(value >> (8 * bytes) & 0xffU);
    return text;
}

std::uint64_t parse_big_endian(std::string_view bytes)
{
    std::uint64_t value = 0;
    for (const char byte : bytes)
        value = value << 8U | static_cast<unsigned char>(byte);
    return value;
}

std::string encode_base64(const std::string& bytes)
{
    namespace base64 = boost::beast::detail::base64;
    std::string text(base64::encoded_size(bytes.size()), '\0');
    text.resize(base64::encode(text.data(), bytes.data(), bytes.size()));
    return text;
}

http_response json_response(const Json::Value& body)
{
    return make_response(200, json_text(body), "application/json");
}

/// Returns the value of a query parameter; empty if it is missing.
std::string query_value(std::string_view target, const std::string& name)
{
    auto query = target.substr(std::min(target.find('?'), target.size()));
    while (!query.empty()) {
        query.remove_prefix(1);
        const auto pair = query.substr(0, query.find('&'));
        if (pair.starts_with(name + "="))
            return std::string{pair.substr(name.size() + 1)};
        query.remove_prefix(pair.size());
    }
    return {};
}

} // namespace

fake_store::fake_store(asio::io_context& io, std::size_t client_count)
    : io_(io), access_(client_count, store_access::served), calls_(client_count), endless_(client_count)
{
    for (std::size_t client = 0; client < client_count; ++client)
        endpoints_.emplace_back(io);
    for (std::size_t client = 0; client < client_count; ++client)
        asio::co_spawn(io, accept(client), asio::detached);
}

tcp_endpoint fake_store::endpoint(std::size_t client) const
{
    return endpoints_.at(client).acceptor.local_endpoint();
}

void fake_store::put(const std::string& topic, const std::string& key,
                     const std::optional<std::string>& value)
{
    std::erase_if(unwritten_, [&](const auto& old) { return old.topic == topic && old.key == key; });
    if (away_since_)
        unwritten_.push_back({topic, key, value.value_or("")});
    else
        topics_[topic].push_back({key, value.value_or(""), boot_clock::now(), true});
}

void fake_store::reset_connections()
{
    boost::system::error_code ignored;
    for (auto& endpoint : endpoints_)
        for (const auto& connection : std::exchange(endpoint.connections, {})) {
            connection->set_option(asio::socket_base::linger(true, 0), ignored);
            connection->close(ignored);
        }
}

void fake_store::go_away(store_access access)
{
    away_since_ = boot_clock::now();
    away_access_ = access;
    reset_connections();
}

void fake_store::return_from_copy(milliseconds age, milliseconds delay)
{
    const auto copied_at = away_since_.value_or(boot_clock::now()) - age;
    for (auto& topic : topics_) {
        auto& records = topic.second;
        const auto lost = std::ranges::find_if(
            records, [&](const record& written) { return written.appended >= copied_at; });
        for (auto it = lost; it != records.end(); ++it) {
            const auto is_later = [&](const auto& other) { return other.key == it->key; };
            const auto is_unwritten = [&](const external_write& other) {
                return other.topic == topic.first && other.key == it->key;
            };
            if (it->is_external && std::none_of(it + 1, records.end(), is_later) &&
                std::ranges::none_of(unwritten_, is_unwritten))
                unwritten_.push_back({topic.first, it->key, it->value});
        }
        records.erase(lost, records.end());
    }
    ++era_;
    away_since_.reset();
    reset_connections();
    asio::co_spawn(io_, write_again(delay), asio::detached);
}

asio::awaitable<void> fake_store::write_again(milliseconds delay)
{
    const auto era = era_;
    co_await sleep_for(delay);
    if (era == era_ && !away_since_)
        for (auto& [topic, key, value] : std::exchange(unwritten_, {}))
            topics_[topic].push_back({key, value, boot_clock::now(), true});
}

asio::awaitable<void> fake_store::append_late(std::string topic, http_request request,
                                              std::optional<std::uint64_t> expected_end,
                                              std::array<milliseconds, 2> delays)
{
    const auto sent_at = boot_clock::now();
    co_await sleep_for(delays[0]);
    while (boot_clock::now() < sent_at + delays[1]) {
        if (!away_since_ && append(topic, request, expected_end).result_int() == ok_status) {
            ++late_appends_;
            co_return;
        }
        co_await sleep_for(read_check_interval);
    }
}

asio::awaitable<void> fake_store::accept(std::size_t client)
{
    auto& endpoint = endpoints_[client];
    while (true) {
        auto [failed, socket] = co_await endpoint.acceptor.async_accept(as_result);
        if (failed)
            co_return;
        auto connection = std::make_shared<asio::ip::tcp::socket>(std::move(socket));
        connection->set_option(asio::ip::tcp::no_delay(true));
        endpoint.connections.insert(connection);
        asio::co_spawn(io_, serve(client, std::move(connection)), asio::detached);
    }
}

asio::awaitable<void> fake_store::serve(std::size_t client, std::shared_ptr<asio::ip::tcp::socket> connection)
{
    namespace http = boost::beast::http;
    boost::beast::flat_buffer buffer;
    while (connection->is_open()) {
        http_request request;
        if (const auto [failed, size] = co_await http::async_read(*connection, buffer, request, as_result);
            failed)
            break;
        if (endless_[client]) {
            constexpr std::size_t max_endless_bytes = std::size_t{64} << 20U;
            const auto sent = co_await send_endless(*connection,
                                                    "HTTP/1.1 200 OK\r\nStore-Era: " + std::to_string(era_) +
                                                        "\r\nTransfer-Encoding: chunked\r\n\r\n",
                                                    *endless_[client], max_endless_bytes);
            ++endless_sent_;
            endless_taken_ += sent >= max_endless_bytes ? 1 : 0;
            break;
        }
        auto response = co_await answer(client, std::move(request));
        if (!response || !connection->is_open())
            break;
        calls_[client].gone += response->result() == http::status::gone ? 1 : 0;
        response->set("Store-Era", std::to_string(era_));
        response->prepare_payload();
        if (const auto [failed, size] = co_await http::async_write(*connection, *response, as_result); failed)
            break;
    }
    boost::system::error_code ignored;
    connection->close(ignored);
    endpoints_[client].connections.erase(connection);
}

std::size_t fake_store::key_count(const std::string& topic) const
{
    const auto found = topics_.find(topic);
    std::map<std::string, std::string> newest;
    if (found != topics_.end())
        for (const auto& written : found->second)
            newest[written.key] = written.value;
    return static_cast<std::size_t>(
        std::ranges::count_if(newest, [](const auto& entry) { return !entry.second.empty(); }));
}

asio::awaitable<std::optional<http_response>> fake_store::answer(std::size_t client, http_request request)
{
    const std::string target{request.target()};
    auto topic = query_value(target, "topic");
    const bool writes = target.starts_with("/api/log-append");
    ++(writes ? calls_[client].writes : calls_[client].reads);
    if (access_of(client) == store_access::refused)
        co_return make_response(503, "unavailable\n");
    if (access_of(client) == store_access::silent) {
        while (access_of(client) == store_access::silent)
            co_await sleep_for(read_check_interval);
        co_return std::nullopt;
    }
    if (target.starts_with("/api/log-newest"))
        co_return read_newest(topic);
    if (writes) {
        const auto as_of = query_value(target, "as-of");
        const auto expected_end = as_of.empty() ? std::nullopt : std::optional{std::stoull(as_of)};
        if (const auto delay = expected_end ? delays_.extract(client) : decltype(delays_)::node_type{}) {
            asio::co_spawn(io_,
                           append_late(std::move(topic), std::move(request), expected_end, delay.mapped()),
                           asio::detached);
            co_return std::nullopt;
        }
        co_return append(topic, request, expected_end);
    }
    const auto from = std::stoull(query_value(target, "from"));
    const auto wait = query_value(target, "wait-ms");
    const milliseconds max_wait{wait.empty() ? 0 : std::stoll(wait)};
    co_return co_await read(std::move(topic), from, max_wait);
}

asio::awaitable<http_response> fake_store::read(std::string topic, std::uint64_t from, milliseconds wait)
{
    const auto until = boot_clock::now() + wait;
    while (topics_[topic].size() == from && boot_clock::now() < until)
        co_await sleep_for(read_check_interval);
    const auto& records = topics_[topic];
    if (records.size() < from)
        co_return make_response(410, R"({"first":0})", "application/json");
    std::string body = big_endian(records.size(), 8) + big_endian(0, 8);
    for (auto offset = from; offset < records.size(); ++offset) {
        const auto& [key, value, appended, is_external] = records[offset];
        body += big_endian(1 + key.size() + value.size(), length_bytes);
        body += static_cast<char>(key.size());
        body += key + value;
    }
    co_return make_response(200, body, "application/octet-stream");
}

http_response fake_store::read_newest(const std::string& topic) const
{
    std::map<std::string, std::uint64_t> newest;
    const auto found = topics_.find(topic);
    const std::vector<record> none;
    const auto& records = found == topics_.end() ? none : found->second;
    for (std::uint64_t offset = 0; offset < records.size(); ++offset)
        newest[records[offset].key] = offset;
    Json::Value body;
    body["items"] = Json::Value(Json::arrayValue);
    for (const auto& [key, offset] : newest) {
        if (records[offset].value.empty())
            continue;
        Json::Value item;
        item["key"] = key;
        item["value"] = encode_base64(records[offset].value);
        item["offset"] = to_json(offset);
        body["items"].append(item);
    }
    body["more"] = false;
    body["end"] = to_json(records.size());
    return json_response(body);
}

http_response fake_store::append(const std::string& topic, const http_request& request,
                                 std::optional<std::uint64_t> expected_end)
{
    auto& records = topics_[topic];
    Json::Value body;
    if (expected_end && *expected_end != records.size()) {
        body["end"] = to_json(records.size());
        return make_response(412, json_text(body), "application/json");
    }
    body["offset"] = to_json(records.size());
    std::string_view rest = request.body();
    while (rest.size() > length_bytes) {
        const auto length = parse_big_endian(rest.substr(0, length_bytes));
        const auto content = rest.substr(length_bytes, length);
        const auto key_length = static_cast<unsigned char>(content.front());
        records.push_back({std::string{content.substr(1, key_length)},
                           std::string{content.substr(1 + key_length)}, boot_clock::now()});
        rest.remove_prefix(length_bytes + length);
    }
    body["end"] = to_json(records.size());
    return json_response(body);
}

} // namespace teaseltally::test
