#include <teaseltally/net/peer_feed.hpp>

#include <teaseltally/json.hpp>
#include <teaseltally/net/feed_messages.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

namespace teaseltally {
namespace {

/// Maximum time that a request of another instance waits for updates.
constexpr milliseconds long_poll_timeout{400};
/// Time that a response may take beyond `long_poll_timeout` before the other instance counts as unreachable.
constexpr milliseconds response_margin{300};
/// Time limit for an update of several streams, or of one whose values are small.
constexpr milliseconds max_update_wait = long_poll_timeout + response_margin;
/// Time limit for the beginning of the response to a request for one large stream, which a source with a
/// tenth of a core has to encode for several followers.
constexpr milliseconds max_transfer_start{2500};
/// Maximum time in which nothing arrives of such a response, and for the whole response: 10 MB take 8 s on a
/// link of 10 Mbit/s.
constexpr milliseconds max_transfer_pause{700};
constexpr milliseconds max_transfer_duration{8000};
/// Time before a failed request for one large stream may be repeated.
constexpr milliseconds transfer_retry_delay{250};
/// Maximum age of the streams of an instance that is followed: two read intervals for the targets, and two
/// heartbeats of the coordinator for the ownership.
constexpr milliseconds max_targets_age{1300};
constexpr milliseconds max_ownership_age{2200};
/// Time after `max_targets_age`, or after the start, that other instances get to provide the streams when the
/// followed one has failed, before this instance reads the store too. The first of them reads the store at
/// once, and its followers get the records from it in two exchanges of up to 100 ms each, the period in which
/// small instances get processor time. With `max_targets_age`, the store is read 1.65 s after the last read
/// at the latest: what it accepted meanwhile must be known 2 s after that.
constexpr milliseconds provision_time{350};
/// Time beyond `max_targets_age` in which a followed instance that follows another one itself can change its
/// source, so that its followers stay.
constexpr milliseconds recovery_time{200};
/// Time after which an instance that is reachable has answered, also if it has nothing new.
constexpr milliseconds reachable_time = long_poll_timeout + milliseconds{50};
/// Minimum time limit for an update.
constexpr milliseconds min_update_wait{100};
/// Value sent in place of the position of a stream that is not requested.
constexpr auto unrequested_position = "unwanted";
/// First era of a store. In a later one, an update that names no era may be of an earlier one.
constexpr std::uint64_t first_era = 1;
/// Header of a request with the eras of its positions, one for each, separated by commas. The positions stay
/// plain numbers because earlier versions reject any other form.
constexpr auto eras_header = "Stream-Eras";
/// Header of a request with the digests of the large values that the sender has, one for each stream, 0 for
/// none. It says that the sender takes differences (see `large_value_form`).
constexpr auto digests_header = "Stream-Digests";
/// Header of a request with the age of the sender's stream of targets in milliseconds. The response is then
/// sent as soon as the stream of the other instance is more recent. Otherwise each hop in the tree would add
/// up to `long_poll_timeout` to the age, and three hops exceed `max_targets_age`.
constexpr auto age_header = "Stream-Age";
/// Difference of two ages that counts as more recent. Ages differ by the time that messages take, also at
/// instances that get a tenth of a core in periods of 100 ms.
constexpr milliseconds min_refresh{100};
/// Age above which another instance counts as knowing nothing of the targets.
constexpr milliseconds max_known_age{60'000};
/// Number of streams that instances without the stream of crashes follow.
constexpr std::size_t min_stream_count = 4;
constexpr milliseconds reader_check_interval{1000};
constexpr milliseconds min_backoff{500};
constexpr milliseconds max_backoff{8000};
constexpr unsigned max_backoff_doublings = 4;
/// Time between attempts to follow another instance while this instance reads the store.
constexpr milliseconds reader_retry_interval{400};
/// Size from which a response is reported to the observer: several times an update of targets.
constexpr std::size_t large_response_bytes = 64U << 10U;

std::size_t index_of(stream_kind kind)
{
    return static_cast<std::size_t>(kind);
}

/// Returns numbers as the value of a header, separated by commas.
std::string encode(const std::array<std::uint64_t, stream_kind_count>& numbers)
{
    std::string text;
    for (const auto number : numbers)
        text += (text.empty() ? "" : ",") + std::to_string(number);
    return text;
}

/// Returns a request for one stream.
std::array<bool, stream_kind_count> only(stream_kind kind)
{
    std::array<bool, stream_kind_count> requested{};
    requested[index_of(kind)] = true;
    return requested;
}

/// Limit of a request whose complete response has to arrive in time.
constexpr milliseconds no_pause{0};

} // namespace

bool precedes(const feed_member& left, const feed_member& right) noexcept
{
    if (left.capacity != right.capacity)
        return left.capacity > right.capacity;
    return left.instance < right.instance;
}

std::optional<feed_member> decode_member(std::string_view instance, std::string_view text)
{
    const auto parsed = parse_json(text, "member");
    const auto* object = std::get_if<Json::Value>(&parsed);
    if (object == nullptr || !object->isObject() || !(*object)["data_centre"].isString() ||
        !(*object)["address"].isString())
        return std::nullopt;
    const auto& capacity = (*object)["capacity"];
    return feed_member{std::string{instance}, (*object)["data_centre"].asString(),
                       (*object)["address"].asString(), capacity.isUInt() ? capacity.asUInt() : 0};
}

std::string encode(const feed_member& member)
{
    Json::Value object;
    object["data_centre"] = member.data_centre;
    object["address"] = member.address;
    object["capacity"] = member.capacity;
    return json_text(object);
}

peer_feed::peer_feed(asio::any_io_executor executor, http_client& client, feed_member self,
                     const streams& local_streams, delta_handler handle_delta)
    : executor_(std::move(executor)), client_(client), self_(std::move(self)), local_streams_(local_streams),
      handle_delta_(std::move(handle_delta))
{
}

time_point peer_feed::freshness_end() const
{
    return std::min(local_streams_[index_of(stream_kind::targets)].last_read_sent() + max_targets_age,
                    local_streams_[index_of(stream_kind::ownership)].last_read_sent() + max_ownership_age);
}

bool peer_feed::streams_are_fresh(time_point now) const
{
    return now < freshness_end();
}

milliseconds peer_feed::recovery_time_of(const feed_member& source) const
{
    const bool reads_for_all =
        std::ranges::none_of(members_, [&](const feed_member& member) { return precedes(member, source); });
    return reads_for_all ? milliseconds{0} : recovery_time;
}

milliseconds peer_feed::update_wait(const feed_member& source, time_point now) const
{
    const auto until = freshness_end() + recovery_time_of(source);
    if (now >= until)
        return max_update_wait;
    return std::clamp(std::chrono::ceil<milliseconds>(until - now), min_update_wait, max_update_wait);
}

void peer_feed::limit_provision_time()
{
    if (reads_store_ || read_by_)
        return;
    // An instance that has just started has no streams yet, and others may start with it.
    read_by_ = std::max(freshness_end(), started_at_) + provision_time;
    for (auto* waiter : reader_waiters_)
        waiter->notify();
}

std::vector<feed_member> peer_feed::preferred_sources() const
{
    std::vector<feed_member> local;
    std::vector<feed_member> all;
    for (const auto& member : members_)
        if (precedes(member, self_)) {
            all.push_back(member);
            if (member.data_centre == self_.data_centre)
                local.push_back(member);
        }
    std::ranges::sort(local, precedes);
    std::ranges::sort(all, precedes);
    const auto now = boot_clock::now();
    std::vector<feed_member> sources;
    const auto add = [&](const std::vector<feed_member>& from, std::size_t index) {
        if (index >= from.size() || std::ranges::find(sources, from[index]) != sources.end())
            return;
        const auto entry = backoffs_.find(from[index].instance);
        if (entry == backoffs_.end() || entry->second.until <= now)
            sources.push_back(from[index]);
    };
    if (local.empty())
        add(all, 0);
    else
        add(local, (local.size() - 1) / fan_out);
    // If the first instance fails, the second one reads the store, and that of each data centre follows it.
    add(local, 1);
    add(all, 1);
    add(all, 0);
    for (std::size_t index = 0; index < local.size(); ++index)
        add(local, index);
    return sources;
}

std::vector<feed_member> peer_feed::fallback_sources() const
{
    const auto now = boot_clock::now();
    std::vector<feed_member> candidates;
    for (const auto& member : members_) {
        const auto entry = backoffs_.find(member.instance);
        if (member.instance != self_.instance && (entry == backoffs_.end() || entry->second.until <= now))
            candidates.push_back(member);
    }
    std::ranges::sort(candidates, [&](const feed_member& left, const feed_member& right) {
        const bool left_is_remote = left.data_centre != self_.data_centre;
        const bool right_is_remote = right.data_centre != self_.data_centre;
        return left_is_remote == right_is_remote ? precedes(left, right) : right_is_remote;
    });
    return candidates;
}

void peer_feed::record_failure(const std::string& instance, time_point now)
{
    auto& entry = backoffs_[instance];
    entry.until =
        now + std::min(min_backoff * (1U << std::min(entry.failures, max_backoff_doublings)), max_backoff);
    ++entry.failures;
}

std::string peer_feed::encode_positions(const requested_streams& requested) const
{
    Json::Value positions(Json::arrayValue);
    for (std::size_t kind = 0; kind < stream_kind_count; ++kind) {
        const auto& stream = local_streams_[kind];
        if (!requested[kind])
            positions.append(unrequested_position);
        else
            positions.append(stream.has_snapshot() ? to_json(stream.next().offset) : Json::Value{});
    }
    return json_text(positions);
}

std::string peer_feed::encode_eras() const
{
    value_digests eras{};
    std::ranges::transform(local_streams_, eras.begin(),
                           [](const record_stream& stream) { return stream.next().era; });
    return encode(eras);
}

peer_feed::value_digests peer_feed::large_value_digests() const
{
    value_digests digests{};
    for (std::size_t kind = 0; kind < stream_kind_count; ++kind)
        digests[kind] = needs_whole_[kind] ? 0 : local_streams_[kind].large_value_digest();
    return digests;
}

std::optional<std::uint64_t> peer_feed::only_era() const
{
    std::optional<std::uint64_t> era;
    for (const auto& stream : local_streams_) {
        if (!stream.has_snapshot())
            continue;
        if (stream.era_changed() || (era && *era != stream.next().era))
            return std::nullopt;
        era = stream.next().era;
    }
    if (era > first_era)
        return std::nullopt;
    return era.value_or(0);
}

asio::awaitable<bool> peer_feed::follow_once(std::string address, requested_streams requested,
                                             milliseconds max_wait, milliseconds max_pause)
{
    const auto endpoint = parse_endpoint(address);
    if (failure(endpoint) != nullptr)
        co_return false;
    auto request = make_request(boost::beast::http::verb::post, "/feed", encode_positions(requested));
    request.set(eras_header, encode_eras());
    const auto digests = large_value_digests();
    request.set(digests_header, encode(digests));
    const auto sent_at = boot_clock::now();
    const auto age = sent_at - local_streams_[index_of(stream_kind::targets)].last_read_sent();
    request.set(age_header, std::to_string(std::chrono::duration_cast<milliseconds>(age).count()));
    const exchange_limits limits{sent_at + max_wait, max_pause, sent_at + max_transfer_duration};
    auto outcome = co_await client_.exchange(std::get<tcp_endpoint>(endpoint), std::move(request), limits);
    feed_exchange ended{std::move(address), 0, {}, {}};
    if (const auto* failed = std::get_if<http_failure>(&outcome)) {
        ended.failure = failed->message;
    }
    else {
        const auto& response = std::get<http_response>(outcome);
        ended.bytes = response.body().size();
        ended.failure = response.result_int() == 200
                            ? apply_response(response.body(), requested, digests, ended.address)
                            : "status " + std::to_string(response.result_int());
    }
    ended.duration = std::chrono::duration_cast<milliseconds>(boot_clock::now() - sent_at);
    const bool applied = ended.failure.empty();
    if (observe_ && (!applied || ended.bytes >= large_response_bytes))
        observe_(ended);
    co_return applied;
}

std::string peer_feed::apply_response(std::string_view body, const requested_streams& requested,
                                      const value_digests& digests, const std::string& address)
{
    const auto parsed = parse_json(body, "peer");
    const auto* updates = std::get_if<Json::Value>(&parsed);
    if (updates == nullptr || !updates->isArray() || updates->size() != stream_kind_count)
        return "expected a JSON array with one update for each stream";
    const bool requests_several = std::ranges::count(requested, true) > 1;
    for (std::size_t kind = 0; kind < stream_kind_count; ++kind) {
        if (!requested[kind])
            continue;
        const auto update =
            decode_update((*updates)[static_cast<Json::ArrayIndex>(kind)], local_streams_[kind], only_era());
        if (const auto* problem = std::get_if<error>(&update)) {
            // The value has changed since the request was sent, as by a read of the store.
            if (digests[kind] != 0 && local_streams_[kind].large_value_digest() != digests[kind])
                continue;
            needs_whole_[kind] = true;
            return "stream " + std::to_string(kind) + ": " + to_string(*problem);
        }
        if (const auto* delta = std::get_if<stream_delta>(&update)) {
            handle_delta_(static_cast<stream_kind>(kind), *delta);
            needs_whole_[kind] = lacks_large_value_[kind] = false;
        }
        else if (requests_several) {
            start_transfer(address, static_cast<stream_kind>(kind));
        }
    }
    return {};
}

void peer_feed::start_transfer(const std::string& address, stream_kind kind)
{
    lacks_large_value_[index_of(kind)] = true;
    if (std::exchange(transfers_[index_of(kind)], true))
        return;
    asio::co_spawn(executor_, transfer(address, kind), asio::detached);
}

asio::awaitable<void> peer_feed::transfer(std::string address, stream_kind kind)
{
    const bool received = co_await follow_once(address, only(kind), max_transfer_start, max_transfer_pause);
    if (!received) {
        failed_transfer_source_ = std::move(address);
        co_await sleep_for(transfer_retry_delay);
    }
    transfers_[index_of(kind)] = false;
}

asio::awaitable<bool> peer_feed::follow_stream(std::string address, stream_kind kind)
{
    co_return co_await follow_once(std::move(address), only(kind), max_update_wait, no_pause);
}

asio::awaitable<bool> peer_feed::follow_first(std::vector<feed_member> candidates)
{
    for (const auto& member : candidates) {
        requested_streams requested{};
        for (std::size_t kind = 0; kind < stream_kind_count; ++kind)
            requested[kind] = !transfers_[kind];
        const auto sent_at = boot_clock::now();
        const auto max_wait = update_wait(member, sent_at);
        const bool answered = co_await follow_once(member.address, requested, max_wait, no_pause);
        const auto now = boot_clock::now();
        const bool completes_transfers = failed_transfer_source_ != member.address;
        if (!completes_transfers)
            failed_transfer_source_.reset();
        if (answered && completes_transfers && now < freshness_end() + recovery_time_of(member)) {
            backoffs_.erase(member.instance);
            if (member.data_centre == self_.data_centre)
                followed_address_ = member.address;
            failed_transfer_source_.reset();
            co_return true;
        }
        record_failure(member.instance, now);
        followed_address_.reset();
        // The store is read while other instances are tried if that takes long, so that the streams stay up
        // to date. If the other data centre is unreachable, the instances of this one depend on it at once.
        const bool ended_early = now - sent_at < max_wait - min_update_wait / 2;
        if (!answered && member.data_centre != self_.data_centre &&
            (ended_early || now - sent_at >= reachable_time))
            set_reads_store(true);
        else
            limit_provision_time();
    }
    co_return false;
}

asio::awaitable<void> peer_feed::run()
{
    started_ = true;
    started_at_ = boot_clock::now();
    while (true) {
        const bool followed = co_await follow_first(preferred_sources());
        if (followed) {
            set_reads_store(false);
            continue;
        }
        set_reads_store(true);
        co_await sleep_for(reader_retry_interval);
        if (!streams_are_fresh(boot_clock::now()))
            co_await follow_first(fallback_sources());
        followed_address_.reset();
    }
}

void peer_feed::set_reads_store(bool reads)
{
    reads_store_ = reads;
    read_by_.reset();
    if (reads)
        for (auto* waiter : reader_waiters_)
            waiter->notify();
}

bool peer_feed::has_preceding_readers() const
{
    return std::ranges::count_if(members_, [this](const feed_member& member) {
               return member.data_centre == self_.data_centre && precedes(member, self_);
           }) > 1;
}

asio::awaitable<void> peer_feed::wait_until_reader()
{
    notifier wake(executor_);
    const notifier_registration registration(reader_waiters_, wake);
    while (!reads_store_) {
        const auto now = boot_clock::now();
        if (read_by_ && *read_by_ <= now)
            set_reads_store(true);
        else
            static_cast<void>(co_await wake.wait_until(
                std::min(now + reader_check_interval, read_by_.value_or(time_point::max()))));
    }
}

void peer_feed::notify_followers()
{
    for (auto* waiter : feed_waiters_)
        waiter->notify();
}

asio::awaitable<http_response> peer_feed::handle_request(http_request request)
{
    const auto parsed = parse_json(request.body(), "peer");
    const auto* positions = std::get_if<Json::Value>(&parsed);
    if (positions == nullptr || !positions->isArray() || positions->size() < min_stream_count ||
        positions->size() > stream_kind_count)
        co_return make_response(400, "expected a JSON array of " + std::to_string(min_stream_count) + " to " +
                                         std::to_string(stream_kind_count) + " positions, one per stream\n");
    const std::size_t position_count = positions->size();
    std::optional<std::vector<std::uint64_t>> eras;
    std::optional<std::vector<std::uint64_t>> digests;
    for (const auto& [header, numbers] :
         {std::pair{eras_header, &eras}, std::pair{digests_header, &digests}}) {
        const auto named = request.find(header);
        if (named == request.end())
            continue;
        *numbers = parse_numbers(named->value());
        if (!*numbers || (*numbers)->size() != position_count)
            co_return make_response(400, std::string{header} + ": expected " +
                                             std::to_string(position_count) +
                                             " numbers, separated by commas\n");
    }
    std::array<std::optional<log_position>, stream_kind_count> from;
    std::array<bool, stream_kind_count> requested{};
    // An offset without an era may be one of a lost era, so that the other instance lacks what was written
    // below it since.
    std::array<bool, stream_kind_count> is_ambiguous{};
    std::array<bool, stream_kind_count> is_ahead{};
    for (std::size_t kind = 0; kind < position_count; ++kind) {
        const auto& position = (*positions)[static_cast<Json::ArrayIndex>(kind)];
        const auto next = local_streams_[kind].next();
        from[kind] = position_from(position, eras ? (*eras)[kind] : next.era);
        requested[kind] = !position.isString();
        is_ambiguous[kind] = !eras && next.era > first_era;
        is_ahead[kind] = is_ambiguous[kind] && from[kind] > next;
    }
    const auto& targets = local_streams_[index_of(stream_kind::targets)];
    // An earlier version names no age; its request is answered once the stream is more recent than now.
    auto known_read = targets.last_read_sent();
    if (const auto named = request.find(age_header); named != request.end()) {
        const auto age = parse_numbers(named->value());
        if (!age || age->size() != 1)
            co_return make_response(400, std::string{age_header} + ": expected a number\n");
        const milliseconds known_age{
            std::min<std::uint64_t>(age->front(), static_cast<std::uint64_t>(max_known_age.count()))};
        known_read = boot_clock::now() - known_age;
    }
    // In another era, the follower would not use the age and would ask again at once.
    const auto is_more_recent = [&] {
        const auto& known = from[index_of(stream_kind::targets)];
        return requested[index_of(stream_kind::targets)] && known && known->era == targets.next().era &&
               targets.last_read_sent() > known_read + min_refresh;
    };
    const auto has_changes = [&](std::size_t kind) {
        return local_streams_[kind].has_changes_since(from[kind]) ||
               (is_ahead[kind] && local_streams_[kind].next() >= from[kind]);
    };
    // An instance that has just started waits until it has every requested stream.
    const auto has_updates = [&] {
        bool updates = is_more_recent();
        for (std::size_t kind = 0; kind < stream_kind_count; ++kind) {
            if (requested[kind] && !local_streams_[kind].has_snapshot())
                return false;
            updates = updates || (requested[kind] && has_changes(kind));
        }
        return updates;
    };
    const auto until = boot_clock::now() + long_poll_timeout;
    notifier wake(executor_);
    const notifier_registration registration(feed_waiters_, wake);
    while (!has_updates() && boot_clock::now() < until)
        static_cast<void>(co_await wake.wait_until(until));
    Json::Value updates(Json::arrayValue);
    const bool requests_several = std::ranges::count(requested, true) > 1;
    for (std::size_t kind = 0; kind < position_count; ++kind) {
        if (!requested[kind]) {
            updates.append(Json::Value{});
            continue;
        }
        const bool sends_all = is_ambiguous[kind] && has_changes(kind);
        const auto delta =
            local_streams_[kind].delta_since(sends_all ? std::nullopt : from[kind], boot_clock::now());
        large_value_form form{std::nullopt, requests_several};
        if (digests)
            form.known = (*digests)[kind];
        updates.append(encode_update(local_streams_[kind], delta, form));
    }
    co_return make_response(200, json_text(updates), "application/json");
}

} // namespace teaseltally
