#include <teaseltally/net/statement_reader.hpp>

#include <charconv>

namespace teaseltally {
namespace {

namespace http = boost::beast::http;

/// Parses the parameter `timeout` of a Keep-Alive header.
std::optional<milliseconds> parse_idle_timeout(std::string_view value) noexcept
{
    constexpr std::string_view parameter = "timeout=";
    const auto position = value.find(parameter);
    if (position == std::string_view::npos)
        return std::nullopt;
    unsigned seconds = 0;
    const auto digits = value.substr(position + parameter.size());
    if (std::from_chars(digits.data(), digits.data() + digits.size(), seconds).ec != std::errc{})
        return std::nullopt;
    return std::chrono::seconds{seconds};
}

/// Returns true for "1"; nothing for other texts.
std::optional<bool> parse_leaving(std::string_view value) noexcept
{
    return value == "1" ? std::optional{true} : std::nullopt;
}

} // namespace

target_statement read_statement(const http_response& response, const header_names& headers)
{
    target_statement statement;
    const auto read = [&](const std::string& name, auto parse) -> decltype(parse(std::string_view{})) {
        const auto text = response[name];
        if (text.empty())
            return std::nullopt;
        auto value = parse(std::string_view{text.data(), text.size()});
        if (!value)
            statement.rejected.push_back({name, std::string{text}});
        return value;
    };
    statement.load = read(headers.load, parse_reported_load);
    statement.rate_limit.present = !response[headers.rate_limit].empty();
    statement.rate_limit.per_s = read(headers.rate_limit, parse_rate_limit);
    // With other statuses, the header does not concern the target as a whole.
    if (response.result() == http::status::service_unavailable)
        statement.rest = read("Retry-After", parse_rest);
    statement.leaving = read(headers.leaving, parse_leaving).has_value();
    const auto keep_alive = response["Keep-Alive"];
    statement.idle_timeout = parse_idle_timeout({keep_alive.data(), keep_alive.size()});
    return statement;
}

} // namespace teaseltally
