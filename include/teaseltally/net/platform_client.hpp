#pragma once

#include <teaseltally/net/http.hpp>
#include <teaseltally/types.hpp>

#include <concepts>
#include <string>
#include <vector>

/// @file
/// Client for the log service and the instance list of the platform.

namespace teaseltally {

/// Record of a stream.
struct log_entry {
    /// Position in the stream, from 1.
    epoch offset{};
    /// Content of the record.
    std::string text;
};

/// Records read from a stream.
struct log_page {
    /// Lowest offset that the platform still stores. If it is above the requested offset, the records between
    /// them have been dropped.
    epoch first{};
    /// Offset that the next appended record gets.
    epoch next{};
    /// Records in the order of their offsets.
    std::vector<log_entry> entries;
};

/// Entry of the platform's list of instances.
struct listed_instance {
    /// Name of the instance.
    std::string name;
    /// Address and port for peers, as "IP:PORT".
    std::string address;
    /// Whether the instance is about to stop.
    bool leaving = false;
};

/// Requirements on a log service: appends records to named streams and reads them by offset.
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

/// Client of the platform over HTTP. Requests that fail or get another status than 200 return
/// `platform_unavailable`; responses that cannot be decoded return `platform_bad_answer`.
class platform_client {
public:
    /// @param client HTTP client; it outlives this object.
    /// @param platform address and port of the platform.
    platform_client(http_client& client, tcp_endpoint platform)
        : client_(client), platform_(std::move(platform))
    {
    }

    /// Appends a record to a stream, with a time limit of 2 s.
    /// @returns the offset of the record, or an error. After an error the record may or may not be in the
    /// stream.
    [[nodiscard]] asio::awaitable<result<epoch>> append(std::string stream, std::string text);

    /// Reads records of a stream.
    /// @param from lowest offset to return.
    /// @param wait time for which the platform waits for a first record before it answers without any. The
    /// time limit of the request is 2 s longer.
    [[nodiscard]] asio::awaitable<result<log_page>> read(std::string stream, epoch from, milliseconds wait);

    /// Reads the list of instances, which lags behind their starts and stops. The time limit is 2 s.
    [[nodiscard]] asio::awaitable<result<std::vector<listed_instance>>> instances();

private:
    [[nodiscard]] asio::awaitable<result<std::string>> exchange(http_request request, milliseconds limit);

    http_client& client_;
    tcp_endpoint platform_;
};

static_assert(log_service<platform_client>);

/// Decodes the response to a read of a stream.
/// @param text response body in JSON.
/// @returns the records, or `platform_bad_answer` if the text is malformed.
[[nodiscard]] result<log_page> decode_log_page(std::string_view text);

} // namespace teaseltally
