#pragma once

#include <teaseltally/net/http.hpp>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/// @file
/// Stand-in for the platform's store: keyed topics with one partition each, over HTTP.

namespace teaseltally::test {

/// How the store treats the calls that arrive at one of its endpoints.
enum class store_access {
    /// The calls are carried out.
    served,
    /// The calls are answered with status 503.
    refused,
    /// The calls get no answer.
    silent,
};

/// Store whose topics are kept in memory. Each client gets an endpoint of its own, so that single clients can
/// be cut off.
class fake_store {
public:
    /// Starts listening on loopback.
    /// @param client_count number of endpoints.
    fake_store(asio::io_context& io, std::size_t client_count);

    /// Returns the address of a client's endpoint.
    [[nodiscard]] tcp_endpoint endpoint(std::size_t client) const;
    /// Sets how calls at a client's endpoint are treated from now on.
    void set_access(std::size_t client, store_access access) { access_.at(client) = access; }
    /// Appends a record.
    /// @param value value of the key; nothing removes the key.
    void put(const std::string& topic, const std::string& key, const std::optional<std::string>& value);
    /// Returns the number of records with a value in a topic.
    [[nodiscard]] std::size_t key_count(const std::string& topic) const;
    /// Returns the number of calls received.
    [[nodiscard]] std::size_t calls() const noexcept { return calls_; }

private:
    struct record {
        std::string key;
        std::string value;
    };

    asio::awaitable<http_response> answer(std::size_t client, http_request request);
    asio::awaitable<http_response> read(std::string topic, std::uint64_t from, milliseconds wait);
    [[nodiscard]] http_response read_newest(const std::string& topic) const;
    http_response append(const std::string& topic, const http_request& request,
                         std::optional<std::uint64_t> expected_end);

    std::map<std::string, std::vector<record>> topics_;
    std::vector<store_access> access_;
    std::vector<std::unique_ptr<http_server>> servers_;
    std::size_t calls_ = 0;
};

} // namespace teaseltally::test
