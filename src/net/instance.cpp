#include <teaseltally/instance.hpp>
#include <teaseltally/json.hpp>
#include <teaseltally/log_line.hpp>
#include <teaseltally/snapshot.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <stdexcept>

namespace teaseltally {
namespace {

namespace http = boost::beast::http;
constexpr auto control_stream = "control";
constexpr auto snapshot_stream = "snapshots";
/// Time between two calls of `tick`; the resolution of the timer service makes it 50 ms.
constexpr milliseconds tick_interval{40};
/// Time for which callers may still send requests over open connections to an instance that is stopping.
constexpr milliseconds drain_period{2000};
/// Time for which a stopping instance that is idle still serves its peers after the log has confirmed that it
/// left.
constexpr milliseconds leave_period{500};
/// Time for which a stopping instance that is idle still serves its peers if the log has not confirmed that
/// it left.
constexpr milliseconds leave_period_without_log{5000};
/// Time for which the platform waits for a record before it answers a read of the control stream.
constexpr milliseconds log_read_wait{1000};
/// Time between a failed read of the control stream and the next read.
constexpr milliseconds log_retry_interval{300};
/// Time limit for reading the cluster state from a peer.
constexpr milliseconds peer_state_timeout{1500};
/// Time between two reads of the platform's list of instances.
constexpr milliseconds list_interval{10'000};
/// Time between two checks whether a snapshot is due.
constexpr milliseconds snapshot_check_interval{1000};
/// Number of records after which a new snapshot is due if the last one is at least `min_snapshot_age` old.
constexpr std::uint64_t records_per_snapshot = 512;
/// Minimum time between two snapshots that are due because of their number of records. A writer of rank n
/// writes only if the last snapshot is at least n times as old, so that normally only the writer of rank 0
/// writes.
constexpr milliseconds min_snapshot_age{10'000};
/// Number of snapshots that are written within the time for which the platform retains records.
constexpr int snapshots_per_retention = 4;
constexpr std::size_t max_connections_per_peer = 1024;
constexpr std::size_t max_connections_per_target = 100;

std::string_view query_value(std::string_view target, std::string_view name)
{
    const auto query_start = target.find('?');
    std::string_view rest =
        query_start == std::string_view::npos ? std::string_view{} : target.substr(query_start + 1);
    while (!rest.empty()) {
        const auto pair = rest.substr(0, rest.find('&'));
        rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
        if (pair.starts_with(name) && pair.size() > name.size() && pair[name.size()] == '=')
            return pair.substr(name.size() + 1);
    }
    return {};
}

std::string_view path_of(const http_request& request)
{
    const std::string_view target{request.target().data(), request.target().size()};
    return target.substr(0, target.find('?'));
}

/// Returns the first segment of the path of a caller's request.
std::string_view service_name(const http_request& request)
{
    const auto path = path_of(request);
    return path.empty() ? path : path.substr(1, path.find('/', 1) - 1);
}

tcp_endpoint require_endpoint(std::string_view text)
{
    const auto parsed = parse_endpoint(text);
    if (const auto* problem = failure(parsed))
        throw std::invalid_argument(to_string(*problem));
    return std::get<tcp_endpoint>(parsed);
}

tcp_endpoint listen_endpoint(const instance_settings& settings, std::uint16_t port)
{
    return {asio::ip::make_address(settings.address), port};
}

coordinator_settings make_coordinator_settings(const instance_settings& settings, session_id session,
                                               std::uint16_t peer_port)
{
    coordinator_settings out;
    out.session = session;
    out.instance = settings.name;
    out.data_centre = settings.data_centre;
    out.address = settings.address;
    out.peer_port = peer_port;
    return out;
}

} // namespace

std::optional<tcp_endpoint> peer_endpoint(const cluster_state& state, session_id session)
{
    const auto found = state.sessions().find(session);
    if (found == state.sessions().end())
        return std::nullopt;
    boost::system::error_code problem;
    const auto address = asio::ip::make_address(found->second.description.address, problem);
    if (problem)
        return std::nullopt;
    return tcp_endpoint{address, found->second.description.peer_port};
}

instance::instance(asio::any_io_executor executor, instance_settings settings, session_id session,
                   log_sink log)
    : executor_(std::move(executor)), settings_(std::move(settings)), log_(std::move(log)),
      client_(executor_, {max_connections_per_peer}), target_client_(executor_, {max_connections_per_target}),
      platform_http_(executor_, {}), platform_(platform_http_, require_endpoint(settings_.platform)),
      peer_server_(std::make_unique<http_server>(
          executor_, listen_endpoint(settings_, settings_.peer_port),
          http_server_limits{.max_body_bytes = 16U << 20U},
          [this](http_request request) { return serve_peer(std::move(request)); })),
      channel_(
          std::make_unique<peer_channel>(executor_,
                                         asio::ip::udp::endpoint{asio::ip::make_address(settings_.address),
                                                                 peer_server_->local_endpoint().port()},
                                         [this](const peer_message& message) { receive(message); })),
      coordinator_(make_coordinator_settings(settings_, session, peer_server_->local_endpoint().port())),
      context_{executor_, coordinator_, client_, target_client_,
               metrics_,  quarantine_,  log_,    [this] { perform_actions(); }},
      dispatcher_(context_), entry_(context_, dispatcher_, number(session)), timers_(executor_),
      caller_server_(std::make_unique<http_server>(
          executor_, listen_endpoint(settings_, settings_.caller_port), http_server_limits{},
          [this](http_request request) { return serve_caller(std::move(request)); })),
      operator_server_(std::make_unique<http_server>(
          executor_, listen_endpoint(settings_, settings_.operator_port), http_server_limits{},
          [this](http_request request) { return serve_operator(std::move(request)); }))
{
    dispatcher_.set_fallback_handler(
        [this](request_task task) { return entry_.run_on_other_target(std::move(task)); });
    subscriptions_.push_back(timers_.every(tick_interval, [this](time_point now) { tick(now); }));
    subscriptions_.push_back(
        timers_.every(snapshot_check_interval, [this](time_point) { refresh_gauges(); }));
    asio::co_spawn(executor_, follow_log(), asio::detached);
    asio::co_spawn(executor_, write_snapshots(), asio::detached);
    asio::co_spawn(executor_, refresh_listed_instances(), asio::detached);
}

instance::~instance() = default;

std::array<std::uint16_t, 3> instance::ports() const
{
    return {caller_server_->local_endpoint().port(), peer_server_->local_endpoint().port(),
            operator_server_->local_endpoint().port()};
}

void instance::stop(std::function<void()> done)
{
    if (stopping_)
        return;
    stopping_ = true;
    on_stopped_ = std::move(done);
    caller_server_->drain(drain_period);
    coordinator_.stop(boot_clock::now());
    perform_actions();
}

void instance::tick(time_point now)
{
    coordinator_.tick(now);
    dispatcher_.tick(now);
    perform_actions();
    const bool idle = caller_server_->active_requests() == 0 && dispatcher_.active_requests() == 0 &&
                      peer_server_->active_requests() == 0;
    if (!stopping_ || !on_stopped_ || !idle || !caller_server_->drained() || !coordinator_.stopped())
        return;
    if (idle_since_ == time_point{})
        idle_since_ = now;
    // Peers send no more requests once they have read the leave record. They cannot read it while the log is
    // unreachable.
    if (now >= idle_since_ + (coordinator_.joined() ? leave_period_without_log : leave_period))
        std::exchange(on_stopped_, nullptr)();
}

void instance::perform_actions()
{
    for (const auto& action : coordinator_.take_actions()) {
        if (const auto* send = std::get_if<send_action>(&action)) {
            if (const auto to = peer_endpoint(coordinator_.state(), send->to))
                channel_->send({to->address(), to->port()}, send->message);
        }
        else if (const auto* record = std::get_if<append_action>(&action))
            asio::co_spawn(executor_, append(record->record), asio::detached);
        else if (const auto* revoke = std::get_if<revoke_action>(&action))
            dispatcher_.revoke(*revoke);
        else if (const auto* lease_change = std::get_if<dispatcher_action>(&action))
            lease_change->held ? dispatcher_.start_dispatching(*lease_change)
                               : dispatcher_.stop_dispatching(lease_change->target);
        else if (const auto* event = std::get_if<log_event_action>(&action))
            log_(event->line);
    }
}

void instance::receive(const peer_message& message)
{
    const auto now = boot_clock::now();
    if (const auto* notice = std::get_if<quarantine_notice>(&message))
        quarantine_.record_crash(notice->fingerprint, notice->crashes, now,
                                 coordinator_.state().settings().deployment.quarantine);
    coordinator_.receive(message, now);
    perform_actions();
}

asio::awaitable<void> instance::append(std::string record)
{
    const auto outcome = co_await platform_.append(control_stream, std::move(record));
    if (const auto* problem = failure(outcome))
        log_(log_line("append_failed").add("problem", to_string(*problem)).text());
    metrics_.increment("appends_total");
    coordinator_.append_finished(boot_clock::now());
    perform_actions();
}

asio::awaitable<void> instance::follow_log()
{
    bool loaded = co_await load_snapshot();
    while (true) {
        const epoch from{number(coordinator_.state().position()) + 1};
        auto answer = co_await platform_.read(control_stream, from, log_read_wait);
        if (const auto* problem = failure(answer)) {
            if (std::exchange(platform_reachable_, false))
                log_(log_line("platform_away").add("problem", to_string(*problem)).text());
            if (!coordinator_.joined() || coordinator_.is_behind())
                loaded = co_await load_from_peers() || loaded;
            co_await sleep_for(log_retry_interval);
            continue;
        }
        platform_reachable_ = true;
        last_platform_read_at_ = boot_clock::now();
        auto& page = std::get<log_page>(answer);
        if (page.first > from || !loaded) {
            loaded = co_await load_snapshot();
            const bool contiguous = number(coordinator_.state().position()) + 1 >= number(page.first);
            if (!contiguous && !co_await load_from_peers()) {
                log_(log_line("log_gap").add("wanted", from).add("first", page.first).text());
                co_await sleep_for(log_retry_interval);
                continue;
            }
            loaded = true;
            continue;
        }
        for (const auto& entry : page.entries)
            coordinator_.apply_record(entry.offset, entry.text, boot_clock::now());
        if (!page.entries.empty())
            tick(boot_clock::now());
    }
}

/// Restores the complete snapshot with the highest position that the platform has.
/// @returns whether the platform answered.
asio::awaitable<bool> instance::load_snapshot()
{
    snapshot_collector collector;
    epoch from{1};
    while (true) {
        auto answer = co_await platform_.read(snapshot_stream, from, milliseconds{0});
        if (failure(answer) != nullptr)
            co_return false;
        const auto& page = std::get<log_page>(answer);
        if (page.entries.empty())
            break;
        for (const auto& entry : page.entries)
            collector.add(entry.text);
        from = epoch{number(page.entries.back().offset) + 1};
    }
    if (const auto state = collector.newest()) {
        coordinator_.restore(*state, boot_clock::now());
        perform_actions();
    }
    co_return true;
}

/// Returns the addresses of peers that may have the cluster state: those of the settings, those of the
/// platform's list, and the sessions of the own data centre in the state.
std::vector<tcp_endpoint> instance::known_peers() const
{
    std::vector<std::string> addresses = settings_.peers;
    for (const auto& listed : listed_instances_) {
        if (!listed.leaving && listed.name != settings_.name)
            addresses.push_back(listed.address);
    }
    std::vector<tcp_endpoint> peers;
    for (const auto& text : addresses) {
        if (const auto parsed = parse_endpoint(text); failure(parsed) == nullptr)
            peers.push_back(std::get<tcp_endpoint>(parsed));
    }
    for (const auto& [session, member] : coordinator_.state().sessions()) {
        const auto address = peer_endpoint(coordinator_.state(), session);
        if (member.description.data_centre == settings_.data_centre && address &&
            session != coordinator_.settings().session)
            peers.push_back(*address);
    }
    return peers;
}

/// Reads the platform's list of instances periodically. The list lags behind and serves only as a hint.
asio::awaitable<void> instance::refresh_listed_instances()
{
    while (true) {
        auto answer = co_await platform_.instances();
        if (auto* listed = std::get_if<std::vector<listed_instance>>(&answer))
            listed_instances_ = std::move(*listed);
        co_await sleep_for(list_interval);
    }
}

/// Restores the cluster state with the highest position among the peers that answer.
/// @returns whether the position advanced.
asio::awaitable<bool> instance::load_from_peers()
{
    const auto peers = known_peers();
    bool advanced = false;
    for (const auto& peer : peers) {
        const std::string path =
            "/peer/state?above=" + std::to_string(number(coordinator_.state().position()));
        auto outcome = co_await client_.exchange(peer, make_request(http::verb::get, path),
                                                 boot_clock::now() + peer_state_timeout);
        const auto* response = std::get_if<http_response>(&outcome);
        if (response == nullptr || response->result_int() != 200)
            continue;
        const auto parsed = parse_json(response->body(), "peer state");
        if (failure(parsed) != nullptr || !std::get<Json::Value>(parsed).isArray())
            continue;
        std::vector<std::string> chunks;
        for (const auto& chunk : std::get<Json::Value>(parsed))
            chunks.push_back(chunk.isString() ? chunk.asString() : "");
        const auto state = cluster_state::from_snapshot(chunks);
        if (const auto* restored = std::get_if<cluster_state>(&state))
            advanced = coordinator_.restore(*restored, boot_clock::now()) || advanced;
    }
    perform_actions();
    co_return advanced;
}

/// Writes snapshots of the cluster state periodically, well before the platform drops the records since the
/// last one.
asio::awaitable<void> instance::write_snapshots()
{
    constexpr std::size_t max_writers = 3;
    epoch next{1};
    while (true) {
        co_await sleep_for(snapshot_check_interval);
        const auto rank = coordinator_.proposer_rank();
        if (!coordinator_.joined() || rank >= max_writers || !platform_reachable_)
            continue;
        auto snapshots_read = co_await platform_.read(snapshot_stream, next, milliseconds{0});
        if (failure(snapshots_read) != nullptr)
            continue;
        for (const auto& entry : std::get<log_page>(snapshots_read).entries) {
            next = epoch{number(entry.offset) + 1};
            const auto parsed = parse_json(entry.text, snapshot_stream);
            if (failure(parsed) != nullptr)
                continue;
            const auto position = std::get<Json::Value>(parsed)["position"];
            if (!position.isUInt64() || epoch{position.asUInt64()} < snapshot_position_)
                continue;
            snapshot_position_ = epoch{position.asUInt64()};
            snapshot_seen_at_ = boot_clock::now();
        }
        const auto now = boot_clock::now();
        const auto period = coordinator_.state().settings().deployment.retention / snapshots_per_retention;
        const auto age = now - snapshot_seen_at_;
        const auto records = number(coordinator_.state().position()) - number(snapshot_position_);
        const bool due = age >= period || (records >= records_per_snapshot && age >= min_snapshot_age);
        if (!due || age < min_snapshot_age * rank)
            continue;
        // A copy keeps the chunks consistent: records may be applied to the state while the chunks are
        // appended.
        const cluster_state state_copy = coordinator_.state();
        for (std::size_t index = 0; index < state_copy.snapshot_chunk_count(); ++index) {
            const auto offset = co_await platform_.append(
                snapshot_stream, encode_snapshot_chunk(state_copy, index, coordinator_.settings().session));
            if (failure(offset) != nullptr)
                break;
        }
        log_(log_line("snapshot")
                 .add("position", state_copy.position())
                 .add("chunks", state_copy.snapshot_chunk_count())
                 .text());
    }
}

asio::awaitable<http_response> instance::serve_caller(http_request request)
{
    const auto service = coordinator_.state().find_service(service_name(request));
    auto response = co_await entry_.serve(std::move(request));
    if (service) {
        const auto code = std::string{response["tt-code"]};
        service_windows_[*service].add_answer(class_of(static_cast<result_code>(std::atoi(code.c_str()))),
                                              boot_clock::now());
    }
    co_return response;
}

asio::awaitable<http_response> instance::serve_peer(http_request request)
{
    const auto path = path_of(request);
    const std::string_view target{request.target().data(), request.target().size()};
    if (path == "/peer/state") {
        const std::string above{query_value(target, "above")};
        if (!above.empty() && std::to_string(number(coordinator_.state().position())) == above)
            co_return make_response(204, "");
        Json::Value chunks{Json::arrayValue};
        for (const auto& chunk : coordinator_.state().snapshot())
            chunks.append(chunk);
        co_return make_response(200, json_text(chunks), "application/json");
    }
    if (path == "/peer/marks" && request.method() == http::verb::post) {
        const auto parsed = parse_json(request.body(), "marks");
        if (const auto* problem = failure(parsed))
            co_return make_response(400, to_string(*problem));
        dispatcher_.import_marks(std::get<Json::Value>(parsed), boot_clock::now());
        co_return make_response(200, "{}", "application/json");
    }
    if (path == "/peer/marks") {
        const std::string wanted{query_value(target, "target")};
        for (std::uint32_t index = 0; index < coordinator_.state().targets().size(); ++index) {
            if (std::to_string(index) == wanted)
                co_return make_response(
                    200, json_text(dispatcher_.export_marks(target_id{index}, boot_clock::now())),
                    "application/json");
        }
        co_return make_response(404, "no target with index \"" + wanted + "\"\n");
    }
    co_return co_await entry_.serve_forwarded(std::move(request));
}

asio::awaitable<http_response> instance::serve_operator(http_request request)
{
    const auto path = path_of(request);
    const std::string_view target{request.target().data(), request.target().size()};
    if (path == "/healthz")
        co_return make_response(200, "ok\n");
    if (path == "/readyz") {
        const bool ready = !stopping_ && coordinator_.state().version() > 0;
        co_return make_response(ready ? 200 : 503, ready ? "ready\n" : "not ready\n");
    }
    if (path == "/metrics")
        co_return make_response(200, metrics_.prometheus_text(), "text/plain; version=0.0.4");
    if (path == "/status")
        co_return make_response(200, status(), "application/json");
    if (path == "/explain")
        co_return make_response(200, explain(target), "application/json");
    co_return make_response(404, "unknown path; known: /healthz /readyz /metrics /status /explain\n");
}

void instance::refresh_gauges()
{
    const auto& state = coordinator_.state();
    if (state.version() != last_configuration_version_) {
        last_configuration_version_ = state.version();
        configured_at_ = boot_clock::now();
    }
    metrics_.set_gauge("log_position", static_cast<double>(number(state.position())));
    metrics_.set_gauge("configuration_version", static_cast<double>(state.version()));
    metrics_.set_gauge("platform_up", platform_reachable_ ? 1 : 0);
    metrics_.set_gauge("sessions", static_cast<double>(state.sessions().size()));
    metrics_.set_gauge("unreleased_slots", static_cast<double>(state.unreleased().size()));
    std::uint64_t moves = 0;
    for (const auto& [service, count] : coordinator_.move_counts()) {
        moves += count;
        auto& counted = counted_moves_[service];
        service_windows_[service].add_moves(count - counted, boot_clock::now());
        counted = count;
    }
    metrics_.set_gauge("moves_seen_total", static_cast<double>(moves));
    metrics_.set_gauge("peer_bytes_sent_total", static_cast<double>(channel_->bytes_sent()));
    metrics_.set_gauge("peer_malformed_total", static_cast<double>(channel_->malformed_datagrams()));
}

/// Returns the state of a target as known to this instance.
/// @param owned number of slots that the target owns.
Json::Value instance::target_status(target_id target, std::uint64_t owned, time_point now) const
{
    const auto& state = coordinator_.state();
    const auto& known = state.targets()[number(target)];
    Json::Value entry;
    entry["name"] = known.name;
    entry["service"] = state.services()[number(known.service)].name;
    entry["up"] = known.condition == target_condition::up;
    entry["accepts"] = state.accepts_slots(target);
    entry["slots_owned"] = to_json(owned);
    entry["dispatcher"] = to_json(coordinator_.likely_dispatcher(target, now));
    if (coordinator_.is_dispatcher(target, now)) {
        const auto token = coordinator_.token(target).value_or(dispatcher_token{});
        entry["lease"]["voters"] = to_json(token.voter_set);
        entry["lease"]["term"] = to_json(token.term);
        entry["lease"]["left_ms"] =
            static_cast<Json::Int64>((coordinator_.lease_expiry(target) - now) / milliseconds{1});
        const auto [running, waiting] = dispatcher_.usage(target);
        entry["running"] = running;
        entry["waiting"] = to_json(waiting);
    }
    if (const auto load = coordinator_.loads().find(target); load != coordinator_.loads().end())
        entry["busy_ms_per_s"] = load->second.load;
    return entry;
}

/// Returns the statistics of a service over the last hour. The imbalance is the highest load of a target
/// divided by the mean load; it covers only targets whose load this instance knows.
Json::Value instance::service_status(service_id service, time_point now)
{
    const auto& state = coordinator_.state();
    double sum = 0;
    double max_load = 0;
    std::size_t known = 0;
    for (const auto& [target, load] : coordinator_.loads()) {
        if (number(target) >= state.targets().size() || state.targets()[number(target)].service != service)
            continue;
        sum += load.load;
        max_load = std::max<double>(max_load, load.load);
        ++known;
    }
    Json::Value entry;
    entry["loads_known"] = to_json(known);
    if (sum > 0)
        entry["imbalance"] = max_load * static_cast<double>(known) / sum;
    entry["moves_last_hour"] = to_json(service_windows_[service].moves(now));
    entry["unavailable_seconds_last_hour"] = to_json(service_windows_[service].unavailable_seconds(now));
    return entry;
}

std::string instance::status()
{
    const auto& state = coordinator_.state();
    const auto now = boot_clock::now();
    Json::Value out;
    out["instance"] = settings_.name;
    out["session"] = to_json(coordinator_.settings().session);
    out["position"] = to_json(state.position());
    out["platform_up"] = platform_reachable_;
    out["joined"] = coordinator_.joined();
    out["configuration"]["version"] = to_json(state.version());
    out["configuration"]["age_ms"] = static_cast<Json::Int64>((now - configured_at_) / milliseconds{1});
    for (const auto& [session, member] : state.sessions()) {
        Json::Value entry;
        entry["session"] = to_json(session);
        entry["instance"] = member.description.instance;
        entry["data_centre"] = member.description.data_centre;
        out["sessions"].append(entry);
    }
    for (const auto& [name, group] : state.voter_groups()) {
        out["cells"][name]["epoch"] = to_json(group.since);
        out["cells"][name]["voters"] = to_json(group.voters.size());
        out["cells"][name]["reset_at"] = to_json(group.reset_at);
    }
    std::vector<std::uint64_t> owned(state.targets().size());
    for (const auto& service : state.services()) {
        for (const auto& slot : service.slots) {
            if (slot.owner != no_target)
                ++owned[number(slot.owner)];
        }
    }
    for (std::uint32_t index = 0; index < state.targets().size(); ++index)
        out["targets"].append(target_status(target_id{index}, owned[index], now));
    std::uint64_t moves = 0;
    for (const auto& [service, count] : coordinator_.move_counts())
        moves += count;
    for (std::uint32_t index = 0; index < state.services().size(); ++index)
        out["services"][state.services()[index].name] = service_status(service_id{index}, now);
    out["unreleased_slots"] = to_json(state.unreleased().size());
    out["hot_keys"] = to_json(state.hot_keys().size());
    out["moves_seen"] = to_json(moves);
    for (const auto& [fingerprint, crashes] : quarantine_.list(now)) {
        Json::Value entry;
        entry["fingerprint"] = to_json(fingerprint);
        entry["crashes"] = crashes;
        out["quarantined"].append(entry);
    }
    return json_text(out) + "\n";
}

std::string instance::explain(std::string_view query) const
{
    const auto& state = coordinator_.state();
    Json::Value out;
    const auto service = state.find_service(query_value(query, "service"));
    if (!service) {
        out["error"] = "service \"" + std::string{query_value(query, "service")} + "\" is not configured";
        return json_text(out) + "\n";
    }
    if (!state.services()[number(*service)].keyed) {
        out["service"] = state.services()[number(*service)].name;
        out["keyed"] = false;
        return json_text(out) + "\n";
    }
    const auto key = hash_key(query_value(query, "key"), state.settings().deployment.seed);
    const auto& owned = state.ownership(*service, key);
    out["service"] = state.services()[number(*service)].name;
    out["key_hash"] = to_json(key);
    out["slot"] = number(state.slot_of(*service, key));
    out["hot"] = state.hot_keys().contains({*service, key});
    out["epoch"] = to_json(owned.since);
    out["released"] = owned.released();
    if (owned.owner != no_target) {
        out["owner"] = state.targets()[number(owned.owner)].name;
        out["cell"] = state.voter_group_of(owned.owner);
        out["dispatcher"] = to_json(coordinator_.likely_dispatcher(owned.owner, boot_clock::now()));
    }
    if (!owned.released())
        out["previous"] = state.targets()[number(owned.previous_owner)].name;
    return json_text(out) + "\n";
}

} // namespace teaseltally
