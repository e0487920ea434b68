#pragma once

#include <teaseltally/knowledge/record_stream.hpp>
#include <teaseltally/net/http.hpp>
#include <teaseltally/net/notifier.hpp>

#include <array>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// @file
/// Hands streams on between instances, so that few of them read the store.

namespace teaseltally {

/// Another instance.
struct feed_member {
    std::string instance;
    std::string data_centre;
    /// "IP:PORT" of its peer interface.
    std::string address;
    /// Processor share in thousandths of a core.
    unsigned capacity = 0;
    bool operator==(const feed_member&) const = default;
};

/// @returns whether a member is preferred to another as a reader: the larger one, then by name.
[[nodiscard]] bool precedes(const feed_member& left, const feed_member& right) noexcept;

/// Reads a member from the value of its record.
[[nodiscard]] std::optional<feed_member> decode_member(std::string_view instance, std::string_view text);
/// Writes a member as the value of its record.
[[nodiscard]] std::string encode(const feed_member& member);

/// Follows another instance of the data centre. The instances of a data centre form a tree in order of
/// `precedes`, of `fan_out` children each, whose root reads the store itself. An instance that cannot be
/// reached, or whose own knowledge is old, is passed over, and an instance that the store turns away takes
/// what it needs from any other.
class peer_feed {
public:
    /// Greatest number of instances that follow one while all of them are reachable.
    static constexpr std::size_t fan_out = 24;
    using streams = std::array<record_stream, stream_kind_count>;
    /// Takes in what another instance sent.
    using delta_handler = std::function<void(stream_kind, const stream_delta&)>;

    /// @param known streams of this instance; they outlive the feed.
    peer_feed(asio::any_io_executor executor, http_client& client, feed_member self,
              const streams& local_streams, delta_handler handle_delta);

    void set_members(std::vector<feed_member> members) { members_ = std::move(members); }
    /// Follows others for as long as the process runs. Until then it is open who reads the store.
    [[nodiscard]] asio::awaitable<void> run();
    /// @returns whether `run` has begun.
    [[nodiscard]] bool started() const noexcept { return started_; }
    /// @returns the address of the instance ahead that is followed; nothing while there is none.
    [[nodiscard]] const std::optional<std::string>& followed_address() const noexcept
    {
        return followed_address_;
    }
    /// @returns instances that wait for news.
    [[nodiscard]] std::size_t pending_requests() const noexcept { return feed_waiters_.size(); }
    /// @returns whether this instance has to read the store itself.
    [[nodiscard]] bool reads_store() const noexcept { return reads_store_; }
    /// Returns when this instance has to read the store.
    [[nodiscard]] asio::awaitable<void> wait_until_reader();
    /// Follows one stream of an instance.
    /// @returns whether it answered.
    [[nodiscard]] asio::awaitable<bool> follow_stream(std::string address, stream_kind kind);
    /// Answers another instance with what it lacks, as soon as there is something.
    [[nodiscard]] asio::awaitable<http_response> handle_request(http_request request);
    /// Wakes those who wait for news.
    void notify_followers();

private:
    struct backoff {
        unsigned failures = 0;
        time_point until{};
    };

    [[nodiscard]] bool streams_are_fresh(time_point now) const;
    [[nodiscard]] std::vector<feed_member> preferred_sources() const;
    [[nodiscard]] std::vector<feed_member> fallback_sources() const;
    [[nodiscard]] asio::awaitable<bool> follow_first(std::vector<feed_member> candidates);
    [[nodiscard]] asio::awaitable<bool> follow_once(std::string address,
                                                    std::optional<stream_kind> single_stream);
    void set_reads_store(bool reads);
    void record_failure(const std::string& instance, time_point now);
    [[nodiscard]] std::string encode_positions(std::optional<stream_kind> single_stream) const;

    asio::any_io_executor executor_;
    http_client& client_;
    feed_member self_;
    const streams& local_streams_;
    delta_handler handle_delta_;
    std::vector<feed_member> members_;
    std::map<std::string, backoff, std::less<>> backoffs_;
    std::list<notifier*> feed_waiters_;
    std::list<notifier*> reader_waiters_;
    std::optional<std::string> followed_address_;
    bool started_ = false;
    bool reads_store_ = false;
};

} // namespace teaseltally
