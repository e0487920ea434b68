#pragma once

#include "endless_form.hpp"

#include <teaseltally/net/http.hpp>

#include <array>
#include <map>
#include <memory>
#include <optional>
#include <set>
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
    /// The calls get no answer; their connections are reset when the store answers again.
    silent,
};

/// Calls received at one of the store's endpoints.
struct store_calls {
    std::size_t reads = 0;
    std::size_t writes = 0;
    /// Number of the reads that were answered with status 410.
    std::size_t gone = 0;
    [[nodiscard]] std::size_t all() const noexcept { return reads + writes; }
};

/// Store whose topics are kept in memory. Each client gets an endpoint of its own, so that single clients can
/// be cut off. The store can go away and come back from a copy, in a new era.
class fake_store {
public:
    /// Starts listening on loopback.
    /// @param client_count number of endpoints.
    fake_store(asio::io_context& io, std::size_t client_count);

    /// Returns the address of a client's endpoint.
    [[nodiscard]] tcp_endpoint endpoint(std::size_t client) const;
    /// Sets how calls at a client's endpoint are treated from now on.
    void set_access(std::size_t client, store_access access) { access_.at(client) = access; }
    /// Answers each call of a client from now on with a header and a form without end.
    /// @param form form; nothing ends it.
    void answer_endlessly(std::size_t client, std::optional<endless_form> form)
    {
        endless_.at(client) = std::move(form);
    }
    /// Returns how many endless answers have been sent, and how many of them to their bound.
    [[nodiscard]] std::pair<std::size_t, std::size_t> endless_answers() const noexcept
    {
        return {endless_sent_, endless_taken_};
    }
    /// Makes the store refuse all calls, or leave them without an answer, until `return_from_copy`. All
    /// connections are reset.
    void go_away(store_access access = store_access::refused);
    /// Returns in the next era, without the records of the last time before the store went away. What the
    /// operator and the targets wrote since then is written again after a delay.
    /// @param age time whose records are lost.
    void return_from_copy(milliseconds age, milliseconds delay = milliseconds{300});
    /// Resets the connection of a client's next append under a condition instead of answering it.
    /// @param earliest,latest times after it between which the append is carried out, once its condition
    /// holds.
    void delay_append(std::size_t client, milliseconds earliest, milliseconds latest)
    {
        delays_[client] = {earliest, latest};
    }
    /// Returns whether an append that is to be delayed has not come yet.
    [[nodiscard]] bool awaits_append() const noexcept { return !delays_.empty(); }
    /// Returns how many delayed appends have been carried out.
    [[nodiscard]] std::size_t late_appends() const noexcept { return late_appends_; }
    /// Appends a record of the operator or of a target; while the store is away, after its return.
    /// @param value value of the key; nothing removes the key.
    void put(const std::string& topic, const std::string& key, const std::optional<std::string>& value);
    /// Removes a key of a target that has been silent. Nobody writes that again after a return.
    void expire(const std::string& topic, const std::string& key)
    {
        topics_[topic].push_back({key, "", boot_clock::now(), false});
    }
    /// Returns the number of records with a value in a topic.
    [[nodiscard]] std::size_t key_count(const std::string& topic) const;
    /// Returns the calls received from a client.
    [[nodiscard]] const store_calls& calls(std::size_t client) const { return calls_.at(client); }

private:
    struct record {
        std::string key;
        std::string value;
        time_point appended;
        /// Whether the operator or a target wrote it.
        bool is_external = false;
    };
    struct external_write {
        std::string topic;
        std::string key;
        std::string value;
    };
    struct endpoint_state {
        explicit endpoint_state(asio::io_context& io) : acceptor(io, any_endpoint()) {}
        static tcp_endpoint any_endpoint() { return {asio::ip::make_address("127.0.0.1"), 0}; }
        asio::ip::tcp::acceptor acceptor;
        std::set<std::shared_ptr<asio::ip::tcp::socket>> connections;
    };

    [[nodiscard]] store_access access_of(std::size_t client) const
    {
        return away_since_ ? away_access_ : access_.at(client);
    }
    asio::awaitable<void> accept(std::size_t client);
    asio::awaitable<void> serve(std::size_t client, std::shared_ptr<asio::ip::tcp::socket> connection);
    /// Returns the response to a call; nothing if the connection is to be reset instead.
    asio::awaitable<std::optional<http_response>> answer(std::size_t client, http_request request);
    asio::awaitable<http_response> read(std::string topic, std::uint64_t from, milliseconds wait);
    [[nodiscard]] http_response read_newest(const std::string& topic) const;
    http_response append(const std::string& topic, const http_request& request,
                         std::optional<std::uint64_t> expected_end);
    asio::awaitable<void> append_late(std::string topic, http_request request,
                                      std::optional<std::uint64_t> expected_end,
                                      std::array<milliseconds, 2> delays);
    asio::awaitable<void> write_again(milliseconds delay);
    void reset_connections();

    asio::io_context& io_;
    std::map<std::string, std::vector<record>> topics_;
    std::vector<store_access> access_;
    std::vector<endpoint_state> endpoints_;
    std::vector<store_calls> calls_;
    std::vector<std::optional<endless_form>> endless_;
    std::size_t endless_sent_ = 0;
    std::size_t endless_taken_ = 0;
    std::map<std::size_t, std::array<milliseconds, 2>> delays_;
    std::size_t late_appends_ = 0;
    std::uint64_t era_ = 1;
    std::optional<time_point> away_since_;
    store_access away_access_ = store_access::refused;
    /// What the operator and the targets will write once the store has returned.
    std::vector<external_write> unwritten_;
};

} // namespace teaseltally::test
