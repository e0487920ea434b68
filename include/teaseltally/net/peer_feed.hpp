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
/// Replicates streams between instances, so that few of them read the store.

namespace teaseltally {

/// An instance that takes part in the replication.
struct feed_member {
    /// Identifier of the instance.
    std::string instance;
    /// Data centre of the instance.
    std::string data_centre;
    /// Address of its peer interface, "IP:PORT".
    std::string address;
    /// Processor share in thousandths of a core; 0 if unknown.
    unsigned capacity = 0;
    bool operator==(const feed_member&) const = default;
};

/// Returns whether `left` is preferred to `right` as a source: it has the higher capacity or, if the
/// capacities are equal, the identifier that sorts first.
[[nodiscard]] bool precedes(const feed_member& left, const feed_member& right) noexcept;

/// Parses the value of a member record.
/// @param instance identifier of the instance, the key of the record.
/// @param text value of the record, a JSON object.
/// @returns the member, or nothing if the value is malformed; a missing capacity counts as 0.
[[nodiscard]] std::optional<feed_member> decode_member(std::string_view instance, std::string_view text);
/// Returns the value of the record of a member.
[[nodiscard]] std::string encode(const feed_member& member);

/// One request for updates, for logs.
struct feed_exchange {
    /// Address of the instance that was asked.
    std::string address;
    /// Size of the response in bytes; 0 without a complete response.
    std::size_t bytes = 0;
    /// Time from the request to the end of the exchange.
    milliseconds duration{0};
    /// Cause of the failure; empty if the updates were applied.
    std::string failure;
};

/// Replicates the streams from another instance by long polling. The instances of a data centre form a tree
/// ordered by `precedes`, with `fan_out` children per instance. Its root follows the first instance of the
/// deployment, and only that one reads the store. Since each instance follows one that precedes it, there is
/// no cycle, also if the lists of members differ. An instance that is unreachable, or whose streams are out
/// of date, is skipped in favour of the next. The store is read if there is none, or if that takes too long;
/// so only the first of the remaining instances reads it. If an instance has to read the store but the store
/// is unavailable, it follows any other instance.
class peer_feed {
public:
    /// Maximum number of instances that follow one instance while all of them are reachable.
    static constexpr std::size_t fan_out = 24;
    /// Local copies of the streams, indexed by `stream_kind`.
    using streams = std::array<record_stream, stream_kind_count>;
    /// Applies an update received from another instance.
    using delta_handler = std::function<void(stream_kind, const stream_delta&)>;
    /// Called with each request for updates that failed or was answered with a large response.
    using exchange_observer = std::function<void(const feed_exchange&)>;

    /// Creates a feed that follows no instance until `run` is started.
    /// @param client client for requests to other instances; it outlives the feed.
    /// @param self this instance.
    /// @param local_streams streams of this instance; they outlive the feed.
    /// @param handle_delta applies updates to the local streams.
    peer_feed(asio::any_io_executor executor, http_client& client, feed_member self,
              const streams& local_streams, delta_handler handle_delta);

    /// Sets the function that is told of failed and large exchanges.
    void set_observer(exchange_observer observer) { observe_ = std::move(observer); }
    /// Replaces the list of instances; it may include this instance.
    void set_members(std::vector<feed_member> members) { members_ = std::move(members); }
    /// Follows other instances until the coroutine is cancelled. Before the first call `reads_store` returns
    /// false.
    [[nodiscard]] asio::awaitable<void> run();
    /// Returns whether `run` has been started.
    [[nodiscard]] bool started() const noexcept { return started_; }
    /// Returns the address of the preceding instance of the data centre that this instance follows; nothing
    /// if it follows none. An instance that is followed only because the store is unavailable does not count.
    [[nodiscard]] const std::optional<std::string>& followed_address() const noexcept
    {
        return followed_address_;
    }
    /// Returns the number of requests of other instances that wait for updates.
    [[nodiscard]] std::size_t pending_requests() const noexcept { return feed_waiters_.size(); }
    /// Returns whether a followed instance has a large value of a stream that has not been received yet, so
    /// that the local copy is out of date.
    [[nodiscard]] bool is_behind(stream_kind kind) const noexcept
    {
        return lacks_large_value_[static_cast<std::size_t>(kind)];
    }
    /// Returns whether this instance has to read the store itself.
    [[nodiscard]] bool reads_store() const noexcept { return reads_store_; }
    /// Returns whether several instances precede this one, so that they read the store before it does.
    [[nodiscard]] bool has_preceding_readers() const;
    /// Waits until this instance has to read the store.
    [[nodiscard]] asio::awaitable<void> wait_until_reader();
    /// Requests the updates of one stream from an instance once, and applies them.
    /// @param address address of the peer interface, "IP:PORT".
    /// @returns whether a valid response was received.
    [[nodiscard]] asio::awaitable<bool> follow_stream(std::string address, stream_kind kind);
    /// Handles the request of another instance: waits up to 400 ms for updates that the other instance lacks,
    /// and returns them.
    /// @param request JSON array with one entry per stream: the next offset, null if the other instance has
    /// no snapshot of the stream, or a string if the stream is not requested. Streams without an entry are
    /// not requested. The header `Stream-Digests` holds the digest of the large value of each stream: such a
    /// value is then sent as differences, or left out if it is very large and other streams are requested
    /// with it (see `large_value_form`). The header `Stream-Eras` holds the era of each entry; without it,
    /// from an instance of an earlier version, each is that of the local stream, and after the first era,
    /// each change of a stream is answered with a snapshot of it. The header `Stream-Age` holds the age of
    /// the other instance's targets in milliseconds: the response is sent as soon as the local ones are more
    /// recent.
    /// @returns the updates, or a response with status 400 if the request is malformed.
    [[nodiscard]] asio::awaitable<http_response> handle_request(http_request request);
    /// Wakes the requests that wait for updates; called when a local stream has changed.
    void notify_followers();

private:
    /// Whether each stream is requested, indexed by `stream_kind`.
    using requested_streams = std::array<bool, stream_kind_count>;
    /// Digest of the large value of each stream, 0 for none.
    using value_digests = std::array<std::uint64_t, stream_kind_count>;

    /// Back-off from an instance after failed requests.
    struct backoff {
        /// Number of consecutive failures.
        unsigned failures = 0;
        /// Time before which the instance is not asked again.
        time_point until{};
    };

    /// Returns the time until which the streams count as up to date without a further confirmation.
    [[nodiscard]] time_point freshness_end() const;
    [[nodiscard]] bool streams_are_fresh(time_point now) const;
    /// Returns the time for which a followed instance may have streams that are out of date: one that follows
    /// another one itself changes its source meanwhile.
    [[nodiscard]] milliseconds recovery_time_of(const feed_member& source) const;
    /// Returns the time limit for an update: a followed instance is left when the streams are out of date.
    [[nodiscard]] milliseconds update_wait(const feed_member& source, time_point now) const;
    /// Sets the time from which this instance reads the store unless another one provides the streams before.
    void limit_provision_time();
    /// Returns the preceding instances that are not avoided, in the order in which they are tried: the
    /// parent, the second of the data centre, the second and the first of the deployment, the others of the
    /// data centre.
    [[nodiscard]] std::vector<feed_member> preferred_sources() const;
    [[nodiscard]] std::vector<feed_member> fallback_sources() const;
    [[nodiscard]] asio::awaitable<bool> follow_first(std::vector<feed_member> candidates);
    /// Requests updates once, and applies them.
    /// @param requested whether each stream is requested.
    /// @param max_wait time limit for the response.
    /// @param max_pause 0 if the complete response must arrive in that time; otherwise the maximum time in
    /// which nothing arrives of a response that has begun.
    /// @returns whether a valid response was received.
    [[nodiscard]] asio::awaitable<bool> follow_once(std::string address, requested_streams requested,
                                                    milliseconds max_wait, milliseconds max_pause);
    /// Requests the updates of one stream alone, unless such a request is in progress. If that fails, the
    /// instance counts as one that does not answer.
    void start_transfer(const std::string& address, stream_kind kind);
    [[nodiscard]] asio::awaitable<void> transfer(std::string address, stream_kind kind);
    /// Applies the updates of a response.
    /// @param requested whether each stream was requested.
    /// @param digests digests that the request named.
    /// @param address address of the instance that responded.
    /// @returns the cause of a failure; empty if all updates were applied.
    [[nodiscard]] std::string apply_response(std::string_view body, const requested_streams& requested,
                                             const value_digests& digests, const std::string& address);
    void set_reads_store(bool reads);
    void record_failure(const std::string& instance, time_point now);
    [[nodiscard]] std::string encode_positions(const requested_streams& requested) const;
    /// Returns the eras of all streams as the value of a header.
    [[nodiscard]] std::string encode_eras() const;
    /// Returns the digests of the large values that a request names.
    [[nodiscard]] value_digests large_value_digests() const;
    /// Returns the only era of the store that there has been, 0 if the streams know none; nothing if there
    /// may have been several, so that an update that names no era may be of any of them.
    [[nodiscard]] std::optional<std::uint64_t> only_era() const;

    asio::any_io_executor executor_;
    http_client& client_;
    feed_member self_;
    const streams& local_streams_;
    delta_handler handle_delta_;
    exchange_observer observe_;
    std::vector<feed_member> members_;
    std::map<std::string, backoff, std::less<>> backoffs_;
    std::list<notifier*> feed_waiters_;
    std::list<notifier*> reader_waiters_;
    std::optional<std::string> followed_address_;
    /// Streams that are being received alone because of a large value.
    requested_streams transfers_{};
    /// Streams of which a large value was left out and has not been received since.
    requested_streams lacks_large_value_{};
    /// Address of the instance that did not complete a large value; nothing if it has been left since.
    std::optional<std::string> failed_transfer_source_;
    /// Streams whose differences did not fit the local value.
    requested_streams needs_whole_{};
    bool started_ = false;
    time_point started_at_{};
    bool reads_store_ = false;
    /// Time from which the store is read; nothing while an instance is followed or the store is read.
    std::optional<time_point> read_by_;
};

} // namespace teaseltally
