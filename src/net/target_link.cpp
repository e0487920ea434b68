#include <teaseltally/json.hpp>
#include <teaseltally/log_line.hpp>
#include <teaseltally/net/target_link.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

namespace teaseltally {
namespace {

namespace http = boost::beast::http;
constexpr milliseconds probe_interval{300};
constexpr milliseconds probe_timeout{500};
constexpr int max_crash_probes = 3;
constexpr milliseconds crash_probe_interval{30};
constexpr milliseconds grant_lifetime{2000};
/// Time without an answer after which a target whose probes fail counts as down.
constexpr milliseconds down_timeout{1200};
/// Minimum number of consecutive probes with the same result before the condition of a target changes.
constexpr std::uint32_t condition_change_probes = 2;
/// Maximum number of grants requested in one renewal, including grants for slots without a request so far.
constexpr std::size_t max_prefetched_grants = 4096;

std::uint64_t to_milliseconds(microseconds duration)
{
    return static_cast<std::uint64_t>(std::max<std::int64_t>(0, duration.count() / 1000));
}

Json::Value token_json(const dispatcher_token& token)
{
    Json::Value pair{Json::arrayValue};
    pair.append(to_json(token.voter_set));
    pair.append(to_json(token.term));
    return pair;
}

/// Finishes the ticket of a dispatch at the end of its scope; the outcome counts as unknown unless
/// `mark_outcome_known` was called.
class ticket_guard {
public:
    ticket_guard(instance_context& context) : context_(context) {}
    ~ticket_guard()
    {
        if (ticket_)
            context_.local_coordinator.finish(*ticket_, outcome_known_, boot_clock::now());
    }
    ticket_guard(const ticket_guard&) = delete;
    ticket_guard& operator=(const ticket_guard&) = delete;
    ticket_guard(ticket_guard&&) = delete;
    ticket_guard& operator=(ticket_guard&&) = delete;

    void set_ticket(ticket_id ticket) { ticket_ = ticket; }
    void mark_outcome_known() { outcome_known_ = true; }

private:
    instance_context& context_;
    std::optional<ticket_id> ticket_;
    bool outcome_known_ = false;
};

} // namespace

std::string slot_or_key_name(bool hot, std::uint64_t slot_or_key)
{
    return (hot ? "k" : "s") + std::to_string(slot_or_key);
}

target_link::target_link(instance_context& context, target_id target, dispatcher_token token,
                         tcp_endpoint address)
    : context_(context), target_(target), token_(token), address_(std::move(address)),
      last_answered_at_(boot_clock::now())
{
}

void target_link::start()
{
    asio::co_spawn(
        context_.executor, [self = shared_from_this()] { return self->probe_loop(); }, asio::detached);
}

asio::awaitable<void> target_link::probe_loop()
{
    const auto self = shared_from_this();
    while (!stopped_) {
        co_await probe();
        co_await sleep_for(probe_interval);
    }
}

/// Converts a time to the clock of the target, in milliseconds. The result is never later than the clock of
/// the target at that time, because the target read its clock before this instance received the answer.
std::uint64_t target_link::to_target_clock_ms(time_point at) const
{
    return target_clock_ms_ + to_milliseconds(at - target_clock_read_at_);
}

/// Renews the existing grants without requesting further ones.
asio::awaitable<bool> target_link::probe()
{
    std::vector<std::pair<std::string, epoch>> no_new_grants;
    co_return co_await renew_grants(std::move(no_new_grants));
}

asio::awaitable<bool> target_link::renew_grants(std::vector<std::pair<std::string, epoch>> requested_grants)
{
    const auto sent_at = boot_clock::now();
    Json::Value body;
    body["token"] = token_json(token_);
    // A target that is down gets no grants, so that its last grant expires and its slots can be released.
    const bool may_grant = up_ && context_.local_coordinator.is_dispatcher(target_, sent_at);
    body["expires_at_ms"] =
        to_json(target_clock_known_ && may_grant ? to_target_clock_ms(sent_at + grant_lifetime) : 0);
    body["slots"] = Json::Value{Json::arrayValue};
    for (const auto& [slot_or_key, owner_epoch] : requested_grants) {
        Json::Value pair{Json::arrayValue};
        pair.append(slot_or_key);
        pair.append(to_json(owner_epoch));
        body["slots"].append(std::move(pair));
    }
    if (target_clock_known_ && may_grant)
        context_.local_coordinator.record_grant(target_, sent_at + grant_lifetime);
    auto outcome = co_await context_.target_client.exchange(
        address_, make_request(http::verb::post, "/tt/grants", json_text(body)), sent_at + probe_timeout);
    if (const auto* failed = std::get_if<http_failure>(&outcome)) {
        record_probe(false, !failed->sent && !failed->timed_out);
        co_return false;
    }
    const auto& response = std::get<http_response>(outcome);
    const auto parsed = parse_json(response.body(), "target");
    if (failure(parsed) != nullptr) {
        record_probe(false, false);
        co_return false;
    }
    json_reader reader(std::get<Json::Value>(parsed), "target");
    target_clock_ms_ = reader.unsigned_at("clock_ms");
    target_clock_read_at_ = boot_clock::now();
    const bool first_clock_reading = !target_clock_known_;
    target_clock_known_ = reader.first_error() == nullptr;
    record_probe(target_clock_known_, false);
    if (response.result_int() != 200)
        co_return false;
    if (std::get<Json::Value>(parsed)["granted"].asUInt64() < granted_epochs_.size())
        granted_epochs_.clear();
    for (auto& [slot_or_key, owner_epoch] : requested_grants)
        granted_epochs_[slot_or_key] = owner_epoch;
    co_return target_clock_known_ && !first_clock_reading;
}

asio::awaitable<bool> target_link::ensure_granted(const request_task& task)
{
    const auto& state = context_.local_coordinator.state();
    if (!target_clock_known_)
        co_await probe();
    if (!state.services()[number(task.service)].keyed)
        co_return target_clock_known_;
    const bool hot = state.hot_keys().contains({task.service, task.key});
    const slot_id slot = state.slot_of(task.service, task.key);
    const std::string slot_or_key = slot_or_key_name(hot, hot ? number(task.key) : number(slot));
    const epoch owner_epoch = state.ownership(task.service, task.key).since;
    if (const auto granted = granted_epochs_.find(slot_or_key);
        granted != granted_epochs_.end() && granted->second == owner_epoch)
        co_return target_clock_known_;
    std::vector<std::pair<std::string, epoch>> requested_grants{{slot_or_key, owner_epoch}};
    const auto& slots = state.services()[number(task.service)].slots;
    for (std::size_t index = 0; index < slots.size() && requested_grants.size() < max_prefetched_grants;
         ++index) {
        const std::string name = slot_or_key_name(false, index);
        const auto granted = granted_epochs_.find(name);
        if (slots[index].owner == target_ && slots[index].released() && name != slot_or_key &&
            (granted == granted_epochs_.end() || granted->second != slots[index].since))
            requested_grants.emplace_back(name, slots[index].since);
    }
    co_return co_await renew_grants(std::move(requested_grants));
}

void target_link::record_probe(bool answered, bool refused)
{
    const auto now = boot_clock::now();
    if (answered) {
        last_answered_at_ = now;
        failures_ = 0;
        ++successes_;
    }
    else {
        successes_ = 0;
        ++failures_;
        if (refused)
            granted_epochs_.clear();
    }
    const bool down =
        failures_ >= condition_change_probes && (refused || now >= last_answered_at_ + down_timeout);
    if (up_ && down)
        up_ = false;
    else if (!up_ && successes_ >= condition_change_probes)
        up_ = true;
    context_.local_coordinator.record_target_condition(target_,
                                                       up_ ? target_condition::up : target_condition::down);
}

http_request target_link::build_request(const request_task& task, const dispatch_permit& permit) const
{
    http_request request = task.request;
    request.set("tt-request-id", task.request_id);
    request.set("tt-token",
                std::to_string(number(token_.voter_set)) + "." + std::to_string(number(token_.term)));
    request.set("tt-deadline-at", std::to_string(to_target_clock_ms(task.deadline)));
    if (context_.local_coordinator.state().services()[number(task.service)].keyed) {
        request.set("tt-item",
                    slot_or_key_name(permit.hot, permit.hot ? number(task.key) : number(permit.slot.slot)));
        request.set("tt-epoch", std::to_string(number(permit.owner_epoch)));
    }
    return request;
}

asio::awaitable<request_outcome> target_link::dispatch(const request_task& task)
{
    const auto self = shared_from_this();
    const auto* settings = context_.local_coordinator.state().settings_of(target_);
    if (settings == nullptr)
        co_return request_outcome{result_code::not_run_no_owner, {}, {}, {}};
    if (!up_)
        co_return request_outcome{result_code::not_run_unreachable, {}, {}, probe_interval};
    if (!target_clock_known_ || settings->checks_grants) {
        if (!co_await ensure_granted(task))
            co_return request_outcome{result_code::not_run_unreachable, {}, {}, probe_interval};
    }
    const dispatch_request candidate{target_,           task.service,  task.key,
                                     task.min_position, task.deadline, !task.idempotency_key.empty()};
    if (const auto refusal = context_.local_coordinator.check(candidate, boot_clock::now()))
        co_return request_outcome{refusal->code, {}, refusal->suggested_dispatcher, {}};

    ticket_guard ticket_scope(context_);
    std::optional<dispatch_refusal> refusal;
    dispatch_permit permit;
    permit.slot = {task.service, context_.local_coordinator.state().slot_of(task.service, task.key)};
    permit.owner_epoch = context_.local_coordinator.state().services()[number(task.service)].keyed
                             ? context_.local_coordinator.state().ownership(task.service, task.key).since
                             : no_epoch;
    permit.hot = context_.local_coordinator.state().hot_keys().contains({task.service, task.key});
    const auto authorize_write = [&] {
        auto decision = context_.local_coordinator.begin(candidate, boot_clock::now());
        if (const auto* refused = std::get_if<dispatch_refusal>(&decision)) {
            refusal = *refused;
            return false;
        }
        const auto& current_permit = std::get<dispatch_permit>(decision);
        ticket_scope.set_ticket(current_permit.ticket);
        if (current_permit.owner_epoch != permit.owner_epoch || current_permit.hot != permit.hot ||
            current_permit.token != token_) {
            refusal = dispatch_refusal{result_code::not_run_moved, no_session};
            ticket_scope.mark_outcome_known();
            return false;
        }
        return true;
    };
    auto outcome = co_await context_.target_client.exchange(address_, build_request(task, permit),
                                                            task.deadline, authorize_write);
    if (refusal)
        co_return request_outcome{refusal->code, {}, refusal->suggested_dispatcher, {}};
    if (auto* failed = std::get_if<http_failure>(&outcome)) {
        if (!failed->sent) {
            ticket_scope.mark_outcome_known();
            record_probe(false, !failed->timed_out);
            co_return request_outcome{result_code::not_run_unreachable, {}, {}, probe_interval};
        }
        if (!failed->timed_out)
            co_await record_crash_if_refused(task.fingerprint);
        co_return request_outcome{failed->timed_out ? result_code::unknown_deadline
                                                    : result_code::unknown_connection_lost,
                                  {},
                                  {},
                                  {}};
    }
    ticket_scope.mark_outcome_known();
    auto& response = std::get<http_response>(outcome);
    last_answered_at_ = boot_clock::now();
    failures_ = 0;
    if (response.find("tt-refused") != response.end()) {
        if (response["tt-refused"] == "grant")
            granted_epochs_.clear();
        co_return request_outcome{result_code::not_run_target_refused, {}, {}, milliseconds{10}};
    }
    co_return request_outcome{result_code::done, std::move(response), {}, {}};
}

/// Records a crash if the target refuses connections right after the connection of a request was lost.
asio::awaitable<void> target_link::record_crash_if_refused(std::uint64_t fingerprint)
{
    // A process that exits may close its connections before its listener, so that a probe can still connect.
    bool refused = false;
    for (int probe = 0; probe < max_crash_probes && !refused; ++probe) {
        if (probe > 0)
            co_await sleep_for(crash_probe_interval);
        auto request = make_request(http::verb::post, "/tt/grants", "{}");
        const auto deadline = boot_clock::now() + probe_timeout;
        auto outcome = co_await context_.target_client.exchange(address_, std::move(request), deadline);
        const auto* failed = std::get_if<http_failure>(&outcome);
        if (failed == nullptr || failed->timed_out)
            co_return;
        refused = !failed->sent;
    }
    if (!refused)
        co_return;
    record_probe(false, true);
    const auto& deployment = context_.local_coordinator.state().settings().deployment;
    const auto crashes =
        context_.quarantine.record_crash(fingerprint, 1, boot_clock::now(), deployment.quarantine);
    context_.log(log_line("crash").add("fingerprint", fingerprint).add("crashes", crashes).text());
    context_.local_coordinator.broadcast(
        quarantine_notice{context_.local_coordinator.settings().session, fingerprint, 1});
    context_.perform_actions();
}

asio::awaitable<void> target_link::revoke(std::vector<release_entry> entries)
{
    const auto self = shared_from_this();
    Json::Value body;
    body["token"] = token_json(token_);
    body["slots"] = Json::Value{Json::arrayValue};
    for (const auto& entry : entries) {
        Json::Value pair{Json::arrayValue};
        pair.append(slot_or_key_name(entry.hot, entry.slot_or_key));
        pair.append(to_json(entry.since));
        body["slots"].append(std::move(pair));
        granted_epochs_.erase(slot_or_key_name(entry.hot, entry.slot_or_key));
    }
    auto outcome = co_await context_.target_client.exchange(
        address_, make_request(http::verb::post, "/tt/revoke", json_text(body)),
        boot_clock::now() + probe_timeout);
    const auto* response = std::get_if<http_response>(&outcome);
    if (response == nullptr || response->result_int() != 200)
        co_return;
    context_.local_coordinator.mark_revoked(entries);
    context_.local_coordinator.tick(boot_clock::now());
    context_.perform_actions();
}

} // namespace teaseltally
