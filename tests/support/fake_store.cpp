#include "support/fake_store.hpp"

#include "support/run.hpp"

#include <teaseltally/json.hpp>

#include <boost/beast/core/detail/base64.hpp>

#include <algorithm>

namespace teaseltally::test {
namespace {

constexpr std::size_t length_bytes = 4;
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
    : access_(client_count, store_access::served)
{
    for (std::size_t client = 0; client < client_count; ++client)
        servers_.push_back(std::make_unique<http_server>(
            io.get_executor(), any_port, http_server_limits{},
            [this, client](http_request request) { return answer(client, std::move(request)); }));
}

tcp_endpoint fake_store::endpoint(std::size_t client) const
{
    return servers_.at(client)->local_endpoint();
}

void fake_store::put(const std::string& topic, const std::string& key,
                     const std::optional<std::string>& value)
{
    topics_[topic].push_back({key, value.value_or("")});
}

std::size_t fake_store::key_count(const std::string& topic) const
{
    const auto found = topics_.find(topic);
    std::map<std::string, std::string> newest;
    if (found != topics_.end())
        for (const auto& [key, value] : found->second)
            newest[key] = value;
    return static_cast<std::size_t>(
        std::ranges::count_if(newest, [](const auto& entry) { return !entry.second.empty(); }));
}

asio::awaitable<http_response> fake_store::answer(std::size_t client, http_request request)
{
    ++calls_;
    const std::string target{request.target()};
    auto topic = query_value(target, "topic");
    if (access_.at(client) == store_access::refused)
        co_return make_response(503, "unavailable\n");
    while (access_.at(client) == store_access::silent)
        co_await sleep_for(read_check_interval);
    if (target.starts_with("/api/log-newest"))
        co_return read_newest(topic);
    if (target.starts_with("/api/log-append")) {
        const auto expected_end = query_value(target, "as-of");
        co_return append(topic, request,
                         expected_end.empty() ? std::nullopt : std::optional{std::stoull(expected_end)});
    }
    const auto from = std::stoull(query_value(target, "from"));
    const auto wait = query_value(target, "wait-ms");
    const milliseconds max_wait{wait.empty() ? 0 : std::stoll(wait)};
    co_return co_await read(std::move(topic), from, max_wait);
}

asio::awaitable<http_response> fake_store::read(std::string topic, std::uint64_t from, milliseconds wait)
{
    const auto until = boot_clock::now() + wait;
    while (topics_[topic].size() <= from && boot_clock::now() < until)
        co_await sleep_for(read_check_interval);
    const auto& records = topics_[topic];
    std::string body = big_endian(records.size(), 8) + big_endian(0, 8);
    for (auto offset = from; offset < records.size(); ++offset) {
        const auto& [key, value] = records[offset];
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
        records.push_back(
            {std::string{content.substr(1, key_length)}, std::string{content.substr(1 + key_length)}});
        rest.remove_prefix(length_bytes + length);
    }
    body["end"] = to_json(records.size());
    return json_response(body);
}

} // namespace teaseltally::test
