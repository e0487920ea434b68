#include <teaseltally/json.hpp>
#include <teaseltally/net/platform_client.hpp>

namespace teaseltally {
namespace {

/// Time limit for appending a record.
constexpr milliseconds append_timeout{2000};
/// Time limit for reading the list of instances.
constexpr milliseconds list_timeout{2000};
/// Time that a read may take beyond the requested wait for a record.
constexpr milliseconds read_timeout_margin{2000};

error unavailable(std::string message)
{
    return {result_code::platform_unavailable, std::move(message), "platform"};
}

} // namespace

result<log_page> decode_log_page(std::string_view text)
{
    const auto parsed = parse_json(text, "platform");
    if (const auto* cause = failure(parsed))
        return error{result_code::platform_bad_answer, cause->message, "platform"};
    json_reader reader(std::get<Json::Value>(parsed), "platform");
    log_page page;
    page.first = reader.id<epoch>("first");
    page.next = reader.id<epoch>("next");
    for (const auto& row : reader.array_at("records")) {
        if (!row.isArray() || row.size() != 2 || !row[0U].isUInt64() || !row[1U].isString())
            return error{result_code::platform_bad_answer, "malformed record: expected [offset, text]",
                         "platform"};
        page.entries.push_back({epoch{row[0U].asUInt64()}, row[1U].asString()});
    }
    if (const auto* decode_error = reader.first_error())
        return error{result_code::platform_bad_answer, decode_error->message, "platform"};
    return page;
}

asio::awaitable<result<std::string>> platform_client::exchange(http_request request, milliseconds limit)
{
    auto outcome = co_await client_.exchange(platform_, std::move(request), boot_clock::now() + limit);
    if (const auto* failed = std::get_if<http_failure>(&outcome))
        co_return unavailable(failed->message);
    auto& response = std::get<http_response>(outcome);
    if (response.result_int() != 200)
        co_return unavailable("expected status 200, got " + std::to_string(response.result_int()) + ": " +
                              response.body());
    co_return std::move(response.body());
}

asio::awaitable<result<epoch>> platform_client::append(std::string stream, std::string text)
{
    auto answer = co_await exchange(
        make_request(boost::beast::http::verb::post, "/streams/" + stream, std::move(text)), append_timeout);
    if (const auto* cause = failure(answer))
        co_return *cause;
    const auto parsed = parse_json(std::get<std::string>(answer), "platform");
    if (const auto* cause = failure(parsed))
        co_return error{result_code::platform_bad_answer, cause->message, "platform"};
    json_reader reader(std::get<Json::Value>(parsed), "platform");
    const auto offset = reader.id<epoch>("offset");
    if (const auto* decode_error = reader.first_error())
        co_return error{result_code::platform_bad_answer, decode_error->message, "platform"};
    co_return offset;
}

asio::awaitable<result<log_page>> platform_client::read(std::string stream, epoch from, milliseconds wait)
{
    const std::string target = "/streams/" + stream + "?from=" + std::to_string(number(from)) +
                               "&wait_ms=" + std::to_string(wait.count());
    auto answer =
        co_await exchange(make_request(boost::beast::http::verb::get, target), wait + read_timeout_margin);
    if (const auto* cause = failure(answer))
        co_return *cause;
    co_return decode_log_page(std::get<std::string>(answer));
}

asio::awaitable<result<std::vector<listed_instance>>> platform_client::instances()
{
    auto answer = co_await exchange(make_request(boost::beast::http::verb::get, "/instances"), list_timeout);
    if (const auto* cause = failure(answer))
        co_return *cause;
    const auto parsed = parse_json(std::get<std::string>(answer), "platform");
    if (const auto* cause = failure(parsed))
        co_return error{result_code::platform_bad_answer, cause->message, "platform"};
    json_reader reader(std::get<Json::Value>(parsed), "platform");
    std::vector<listed_instance> listed;
    for (const auto& value : reader.array_at("instances")) {
        json_reader entry(value, "platform");
        listed.push_back({entry.string_at("name"), entry.string_at("address"), entry.bool_at("leaving")});
        if (const auto* decode_error = entry.first_error())
            co_return error{result_code::platform_bad_answer, decode_error->message, "platform"};
    }
    co_return listed;
}

} // namespace teaseltally
