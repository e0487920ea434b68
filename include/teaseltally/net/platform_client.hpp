#pragma once

#include <teaseltally/net/http.hpp>
#include <teaseltally/types.hpp>

#include <concepts>
#include <string>
#include <vector>

/// @file
/// Client of the platform's log service and instance list.

namespace teaseltally {

/// One record of a stream.
struct log_entry {
    epoch offset{};
    std::string text;
};

/// Records read from a stream.
struct log_page {
    /// Lowest offset that the platform still has; above the one asked for there is a gap.
    epoch first{};
    /// Offset that the next record will get.
    epoch next{};
    std::vector<log_entry> entries;
};

/// One line of the platform's list.
struct listed_instance {
    std::string name;
    std::string address;
    bool leaving = false;
};

/// What the library asks of a log service.
template <typename Log>
concept log_service = requires(Log log, std::string stream, std::string text, epoch from, milliseconds wait)
{
    {
        log.append(stream, text)
        } -> std::same_as<asio::awaitable<result<epoch>>>;
    {
        log.read(stream, from, wait)
        } -> std::same_as<asio::awaitable<result<log_page>>>;
};

/// Speaks HTTP to the platform.
class platform_client {
public:
    platform_client(http_client& client, tcp_endpoint platform)
        : client_(client), platform_(std::move(platform))
    {
    }

    /// Appends a record.
    /// @returns its offset, or an error after which the record may or may not be in the stream.
    [[nodiscard]] asio::awaitable<result<epoch>> append(std::string stream, std::string text);

    /// Reads records.
    /// @param from lowest offset wanted.
    /// @param wait how long to wait for a first record.
    [[nodiscard]] asio::awaitable<result<log_page>> read(std::string stream, epoch from, milliseconds wait);

    /// Reads the lagging list of instances.
    [[nodiscard]] asio::awaitable<result<std::vector<listed_instance>>> instances();

private:
    [[nodiscard]] asio::awaitable<result<std::string>> exchange(http_request request, milliseconds limit);

    http_client& client_;
    tcp_endpoint platform_;
};

static_assert(log_service<platform_client>);

/// Decodes a page of a stream.
/// @param text JSON as the platform sends it.
[[nodiscard]] result<log_page> decode_log_page(std::string_view text);

} // namespace teaseltally
