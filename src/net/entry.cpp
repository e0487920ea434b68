#include <teaseltally/count_guard.hpp>
#include <teaseltally/net/entry.hpp>

#include <teaseltally/log_line.hpp>

#include <boost/asio/experimental/awaitable_operators.hpp>

#include <algorithm>
#include <charconv>

namespace teaseltally {
namespace {

namespace http = boost::beast::http;

/// Maximum number of attempts to route one request; after the last, the request ends as not run.
constexpr std::size_t max_attempts = 8;
/// Time before the next attempt if the last result did not name another dispatcher.
constexpr milliseconds reroute_delay{15};
/// Time from the arrival of a request within which further attempts are started.
constexpr milliseconds reroute_timeout{250};
/// Minimum value of Retry-After for requests that were not run.
constexpr milliseconds min_retry_after{100};
/// Weight of the newest sample in the moving average of a target's latency.
constexpr double latency_sample_weight = 0.2;
constexpr std::size_t max_idempotency_key_bytes = 256;
/// Time reserved for the response of a forwarded request to travel back; at most a tenth of the remaining
/// time is reserved.
constexpr milliseconds hop_time_reserve{5};
/// Time without a response, while requests are outstanding, after which an instance is a suspect.
constexpr milliseconds progress_timeout{400};
/// Time for which an instance is a suspect after a request to it failed other than by a time-out.
constexpr milliseconds unreachable_period{500};
/// Time for which an instance is a suspect after a request to it timed out and it sent no other response
/// meanwhile.
constexpr milliseconds unresponsive_period{2000};

std::optional<std::uint64_t> parse_number(std::string_view text)
{
    std::uint64_t value = 0;
    const auto [end, parse_error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (parse_error != std::errc{} || end != text.data() + text.size())
        return std::nullopt;
    return value;
}

std::string_view header(const http_request& request, std::string_view name)
{
    const auto found = request.find(name);
    return found == request.end() ? std::string_view{} : std::string_view{found->value()};
}

/// Removes the header fields that apply to a single connection: those listed in Connection, and the
/// hop-by-hop fields of HTTP.
template <typename Message>
void remove_hop_by_hop_fields(Message& message)
{
    std::vector<std::string> connection_options;
    for (const auto& [name, fields] :
         {std::pair{"connection", message.equal_range(http::field::connection)}}) {
        for (auto field = fields.first; field != fields.second; ++field) {
            std::string option;
            for (const char character : std::string{field->value()} + ",") {
                if (character == ',' && !option.empty())
                    connection_options.push_back(std::exchange(option, {}));
                else if (character != ' ' && character != ',')
                    option += character;
            }
        }
    }
    for (const auto& name : connection_options)
        message.erase(name);
    for (const auto field :
         {http::field::connection, http::field::keep_alive, http::field::proxy_connection, http::field::te,
          http::field::trailer, http::field::transfer_encoding, http::field::upgrade,
          http::field::proxy_authorization, http::field::proxy_authenticate, http::field::expect})
        message.erase(field);
}

unsigned status_of(result_code code)
{
    switch (code) {
    case result_code::refused_unknown_service:
        return 404;
    case result_code::refused_key_missing:
    case result_code::refused_malformed:
        return 400;
    case result_code::refused_key_reuse:
        return 422;
    case result_code::refused_quarantined:
        return 403;
    case result_code::refused_too_large:
        return 413;
    case result_code::unknown_deadline:
        return 504;
    case result_code::unknown_connection_lost:
    case result_code::unknown_predecessor:
        return 502;
    default:
        return 503;
    }
}

bool is_safe_method(http::verb method)
{
    return method == http::verb::get || method == http::verb::head || method == http::verb::options;
}

std::optional<result_code> parse_result_code(std::string_view text)
{
    const auto value = parse_number(text);
    if (!value || *value < 100 || *value > 199)
        return std::nullopt;
    const auto code = static_cast<result_code>(*value);
    return name_of(code) == "unnamed" ? std::nullopt : std::optional{code};
}

} // namespace

http_response make_caller_response(request_outcome result, std::string_view request_id)
{
    http_response response;
    if (result.code == result_code::done) {
        response = std::move(result.response);
        remove_hop_by_hop_fields(response);
    }
    else {
        response = make_response(status_of(result.code), std::string{name_of(result.code)} + "\n");
        if (class_of(result.code) == result_class::not_run) {
            const auto wait = std::max(result.retry_after, min_retry_after);
            response.set(http::field::retry_after, std::to_string((wait.count() + 999) / 1000));
            response.set("tt-retry-after-ms", std::to_string(wait.count()));
        }
    }
    response.set("tt-class", name_of(class_of(result.code)));
    response.set("tt-code", std::to_string(static_cast<int>(result.code)));
    response.set("tt-request-id", request_id);
    return response;
}

entry_router::entry_router(instance_context& context, dispatcher& local, std::uint64_t seed)
    : context_(context), local_dispatcher_(local), random_(seed)
{
}

/// Parses a caller's request to `/SERVICE/...` with the headers of docs/PROTOCOL.md. Removes the headers that
/// only instances may set.
/// @returns the task, or the refusal of the request.
std::variant<request_task, request_outcome> entry_router::parse_request(http_request request)
{
    const auto& state = context_.local_coordinator.state();
    const std::string_view path{request.target().data(), request.target().size()};
    const auto end = path.find_first_of("/?", 1);
    const auto name =
        path.substr(std::min<std::size_t>(1, path.size()), end == std::string_view::npos ? end : end - 1);
    const auto service = state.find_service(name);
    const auto* settings = service ? state.settings_of(*service) : nullptr;
    if (settings == nullptr)
        return request_outcome{result_code::refused_unknown_service, {}, {}, {}};
    request_task task;
    task.service = *service;
    const auto key = header(request, "tt-key");
    if (settings->keyed && key.empty())
        return request_outcome{result_code::refused_key_missing, {}, {}, {}};
    task.key = hash_key(key, state.settings().deployment.seed);
    milliseconds limit = settings->deadline;
    if (const auto requested = header(request, "tt-deadline-ms"); !requested.empty()) {
        const auto value = parse_number(requested);
        if (!value || *value == 0)
            return request_outcome{result_code::refused_malformed, {}, {}, {}};
        limit = std::min(milliseconds{std::min<std::uint64_t>(*value, 86'400'000)}, settings->max_deadline);
    }
    task.deadline = boot_clock::now() + limit;
    task.idempotency_key = header(request, "idempotency-key");
    if (task.idempotency_key.size() > max_idempotency_key_bytes)
        return request_outcome{result_code::refused_malformed, {}, {}, {}};
    const auto rest = end == std::string_view::npos ? std::string_view{"/"} : path.substr(end);
    task.idempotent = is_safe_method(request.method()) ||
                      std::ranges::any_of(settings->idempotent_paths, [&](const std::string& prefix) {
                          return rest.starts_with(prefix);
                      });
    task.fingerprint = fingerprint_of({request.method_string().data(), request.method_string().size()}, path,
                                      request.body());
    task.request_id = std::to_string(number(context_.local_coordinator.settings().session)) + "-" +
                      std::to_string(next_request_number_++);
    remove_hop_by_hop_fields(request);
    for (const char* field_name :
         {"tt-token", "tt-item", "tt-epoch", "tt-deadline-at", "tt-target", "tt-marked", "tt-request-id",
          "tt-relied-on", "tt-service", "tt-hash", "tt-idempotent"})
        request.erase(field_name);
    task.request = std::move(request);
    return task;
}

asio::awaitable<http_response> entry_router::serve(http_request request)
{
    const auto started_at = boot_clock::now();
    auto parsed = parse_request(std::move(request));
    if (auto* refused = std::get_if<request_outcome>(&parsed)) {
        context_.instance_metrics.record_request("-", refused->code, boot_clock::now() - started_at);
        co_return make_caller_response(std::move(*refused), "-");
    }
    auto& task = std::get<request_task>(parsed);
    const std::string request_id = task.request_id;
    const std::string service = context_.local_coordinator.state().services()[number(task.service)].name;
    auto result = co_await route_hedged(task);
    context_.instance_metrics.record_request(service, result.code, boot_clock::now() - started_at);
    co_return make_caller_response(std::move(result), request_id);
}

/// Routes a request. If it is idempotent and its service allows hedging, sends a second copy to another
/// target once the first takes longer than the 95th percentile of the service's latency.
asio::awaitable<request_outcome> entry_router::route_hedged(const request_task& task)
{
    using namespace asio::experimental::awaitable_operators;
    const auto& state = context_.local_coordinator.state();
    const auto* settings = state.settings_of(task.service);
    const auto& service = state.services()[number(task.service)];
    const microseconds hedge_delay = context_.instance_metrics.latency_p95(service.name);
    if (settings == nullptr || !settings->hedge || service.keyed || !task.idempotent ||
        hedge_delay.count() == 0)
        co_return co_await route(task);
    bool hedged = false;
    auto first_finished = co_await (route(task) || hedge(task, hedge_delay, hedged));
    auto result = first_finished.index() == 0 ? std::get<0>(std::move(first_finished))
                                              : std::get<1>(std::move(first_finished));
    if (hedged && class_of(result.code) == result_class::not_run)
        result.code = result_code::unknown_connection_lost;
    co_return result;
}

/// Routes a second copy of a request after a delay, if the retry budget allows it.
/// @param hedged set to true when the copy is sent.
asio::awaitable<request_outcome> entry_router::hedge(const request_task& task, microseconds delay,
                                                     bool& hedged)
{
    co_await sleep_for(delay);
    if (!retry_budgets_[task.service].try_withdraw()) {
        co_await sleep_for(std::max<microseconds>(task.deadline - boot_clock::now(), microseconds{0}));
        co_return request_outcome{result_code::unknown_deadline, {}, {}, {}};
    }
    hedged = true;
    context_.instance_metrics.increment("hedges_total");
    co_return co_await route(task);
}

std::optional<target_id> entry_router::select_target(const request_task& task,
                                                     const std::set<target_id>& tried)
{
    const auto& state = context_.local_coordinator.state();
    const auto& service = state.services()[number(task.service)];
    if (service.keyed) {
        const auto owner = state.ownership(task.service, task.key).owner;
        return owner == no_target ? std::nullopt : std::optional{owner};
    }
    const bool uses_home_target = !task.idempotency_key.empty() && !task.idempotency_checked;
    std::vector<target_candidate> candidates;
    std::optional<target_id> home;
    std::uint64_t home_rank = 0;
    for (std::uint32_t index = 0; index < state.targets().size(); ++index) {
        const target_id target{index};
        const auto* settings = state.settings_of(target);
        if (settings == nullptr || state.targets()[index].service != task.service ||
            state.targets()[index].lost)
            continue;
        if (uses_home_target) {
            const auto rank = rendezvous_rank(task.idempotency_key, index + 1ULL);
            if (!home || rank > home_rank) {
                home = target;
                home_rank = rank;
            }
            continue;
        }
        if (!state.accepts_slots(target))
            continue;
        const auto& record = target_records_[target];
        candidates.push_back({target, record.outstanding, settings->slots, record.reported_load,
                              record.mean_latency,
                              settings->data_centre == context_.local_coordinator.settings().data_centre,
                              tried.contains(target)});
    }
    if (uses_home_target)
        return home;
    const auto chosen = choose_target(candidates, random_());
    return chosen < candidates.size() ? std::optional{candidates[chosen].target} : std::nullopt;
}

/// Returns whether another attempt may follow a result. Withdraws from the retry budget if the outcome of the
/// attempt is unknown.
bool entry_router::may_retry(const request_task& task, const request_outcome& result)
{
    switch (class_of(result.code)) {
    case result_class::done:
    case result_class::refused:
        return false;
    case result_class::not_run:
        return result.code != result_code::not_run_deadline;
    case result_class::unknown:
        return (task.idempotent || (!task.idempotency_key.empty() && !task.idempotency_checked)) &&
               result.code == result_code::unknown_connection_lost &&
               retry_budgets_[task.service].try_withdraw();
    }
    return false;
}

/// Returns whether an instance has not responded to outstanding requests for some time, or a request to it
/// has failed recently.
bool entry_router::is_suspect(session_id session, time_point now) const
{
    const auto found = peer_records_.find(session);
    if (found == peer_records_.end())
        return false;
    const auto& peer = found->second;
    return now < peer.unreachable_until ||
           (peer.outstanding > 0 && now >= peer.last_progress_at + progress_timeout);
}

/// Returns the session to which an attempt is sent: the dispatcher last suggested unless it is a suspect,
/// otherwise the most likely dispatcher that is not a suspect and has not been queried yet, otherwise the
/// most likely dispatcher.
session_id entry_router::select_dispatcher(target_id target, const std::set<session_id>& queried)
{
    const auto now = boot_clock::now();
    if (const auto hint = dispatcher_hints_.find(target); hint != dispatcher_hints_.end()) {
        if (context_.local_coordinator.state().sessions().contains(hint->second) &&
            !is_suspect(hint->second, now))
            return hint->second;
        dispatcher_hints_.erase(hint);
    }
    const auto candidates = context_.local_coordinator.dispatcher_candidates(target, now);
    const auto usable = [&](session_id s) { return !is_suspect(s, now) && !queried.contains(s); };
    if (const auto found = std::ranges::find_if(candidates, usable); found != candidates.end())
        return *found;
    return candidates.empty() ? no_session : candidates.front();
}

asio::awaitable<request_outcome> entry_router::route(request_task task)
{
    const auto started_at = boot_clock::now();
    if (const auto* settings = context_.local_coordinator.state().settings_of(task.service))
        retry_budgets_[task.service].configure(settings->retry_percent);
    retry_budgets_[task.service].deposit();
    const bool unkeyed = !context_.local_coordinator.state().services()[number(task.service)].keyed;
    request_outcome result{result_code::not_run_no_owner, {}, {}, {}};
    std::set<target_id> tried;
    std::set<session_id> queried;
    std::size_t attempts = 0;
    bool outcome_unknown = false;
    session_id dispatcher_session = no_session;
    while (attempts < max_attempts) {
        const auto target = select_target(task, tried);
        ++attempts;
        result = {result_code::not_run_no_owner, {}, {}, {}};
        if (target) {
            task.target = *target;
            task.min_position = context_.local_coordinator.state().position();
            dispatcher_session = select_dispatcher(*target, queried);
            result = co_await attempt(task, dispatcher_session);
        }
        outcome_unknown = outcome_unknown || class_of(result.code) == result_class::unknown;
        if (!may_retry(task, result))
            break;
        const auto now = boot_clock::now();
        const bool overloaded = result.code == result_code::not_run_overloaded;
        if (now + reroute_delay >= task.deadline || now >= started_at + reroute_timeout ||
            (overloaded && (!unkeyed || !retry_budgets_[task.service].try_withdraw())))
            break;
        if (target && !update_dispatcher_hint(*target, dispatcher_session, result, queried)) {
            tried.insert(*target);
            if (unkeyed)
                continue;
        }
        else if (target && (result.suggested_dispatcher != no_session ||
                            result.code == result_code::not_run_unreachable))
            continue;
        queried.clear();
        co_await sleep_for(reroute_delay);
    }
    // An earlier attempt may have been executed, although the last one was not.
    if (outcome_unknown && class_of(result.code) == result_class::not_run)
        result.code = result_code::unknown_connection_lost;
    log_decision(task, dispatcher_session, result, attempts);
    co_return result;
}

/// Updates the dispatcher hint of a target after a result of class "not run".
/// @returns whether another instance may be the dispatcher of the target.
bool entry_router::update_dispatcher_hint(target_id target, session_id dispatcher_session,
                                          const request_outcome& result, std::set<session_id>& queried)
{
    queried.insert(dispatcher_session);
    if (result.suggested_dispatcher != no_session && result.suggested_dispatcher != dispatcher_session) {
        dispatcher_hints_[target] = result.suggested_dispatcher;
        return true;
    }
    dispatcher_hints_.erase(target);
    const bool instance_failed = result.code == result_code::not_run_not_dispatcher ||
                                 result.code == result_code::not_run_behind ||
                                 (result.code == result_code::not_run_unreachable &&
                                  is_suspect(dispatcher_session, boot_clock::now()));
    return instance_failed;
}

asio::awaitable<request_outcome> entry_router::attempt(const request_task& task,
                                                       session_id dispatcher_session)
{
    auto& record = target_records_[task.target];
    const count_guard counted(record.outstanding);
    const auto started_at = boot_clock::now();
    request_outcome result{result_code::not_run_no_owner, {}, {}, {}};
    if (dispatcher_session == context_.local_coordinator.settings().session)
        result = co_await local_dispatcher_.run(task);
    else if (dispatcher_session != no_session)
        result = co_await forward(task, dispatcher_session);
    if (class_of(result.code) == result_class::done || class_of(result.code) == result_class::unknown) {
        const auto difference =
            static_cast<double>((boot_clock::now() - started_at - record.mean_latency).count());
        record.mean_latency += microseconds{static_cast<std::int64_t>(latency_sample_weight * difference)};
    }
    co_return result;
}

asio::awaitable<request_outcome> entry_router::forward(const request_task& task,
                                                       session_id dispatcher_session)
{
    const auto& state = context_.local_coordinator.state();
    const auto address = peer_endpoint(state, dispatcher_session);
    if (!address)
        co_return request_outcome{result_code::not_run_no_owner, {}, {}, {}};
    http_request request = task.request;
    // The response of the other instance must arrive before the exchange times out on this instance.
    const auto remaining = std::chrono::floor<milliseconds>(task.deadline - boot_clock::now());
    const auto forwarded_limit = remaining - std::min(hop_time_reserve, remaining / 10);
    request.set("tt-service", state.services()[number(task.service)].name);
    request.set("tt-target", state.targets()[number(task.target)].name);
    request.set("tt-hash", std::to_string(number(task.key)));
    request.set("tt-request-id", task.request_id);
    request.set("tt-relied-on", std::to_string(number(task.min_position)));
    request.set("tt-deadline-ms", std::to_string(std::max<std::int64_t>(1, forwarded_limit.count())));
    request.set("tt-idempotent", task.idempotent ? "1" : "0");
    if (task.idempotency_checked)
        request.set("tt-marked", "1");
    context_.instance_metrics.increment("forwards_total");
    auto& peer = peer_records_[dispatcher_session];
    if (peer.outstanding == 0)
        peer.last_progress_at = boot_clock::now();
    const auto sent_at = boot_clock::now();
    http_outcome outcome;
    {
        const count_guard counted(peer.outstanding);
        outcome = co_await context_.peer_client.exchange(*address, std::move(request), task.deadline);
    }
    if (const auto* failed = std::get_if<http_failure>(&outcome)) {
        if (!failed->timed_out)
            peer.unreachable_until = boot_clock::now() + unreachable_period;
        else if (peer.last_progress_at <= sent_at) {
            peer.unreachable_until = boot_clock::now() + unresponsive_period;
            dispatcher_hints_.erase(task.target);
        }
        if (!failed->sent)
            co_return request_outcome{result_code::not_run_unreachable, {}, {}, {}};
        co_return request_outcome{failed->timed_out ? result_code::unknown_deadline
                                                    : result_code::unknown_connection_lost,
                                  {},
                                  {},
                                  {}};
    }
    peer.last_progress_at = boot_clock::now();
    peer.unreachable_until = {};
    auto& response = std::get<http_response>(outcome);
    const auto code = parse_result_code(response["tt-code"]);
    if (!code)
        co_return request_outcome{result_code::unknown_connection_lost, {}, {}, {}};
    request_outcome result{*code, {}, {}, {}};
    if (const auto suggested = parse_number(response["tt-holder"]))
        result.suggested_dispatcher = session_id{*suggested};
    if (const auto wait = parse_number(response["tt-retry-after-ms"]))
        result.retry_after = milliseconds{*wait};
    if (const auto busy = parse_number(response["tt-busy-percent"]))
        target_records_[task.target].reported_load = static_cast<double>(*busy) / 100.0;
    for (const char* field_name : {"tt-holder", "tt-busy-percent", "tt-class", "tt-code"})
        response.erase(field_name);
    if (*code == result_code::done)
        result.response = std::move(response);
    co_return result;
}

asio::awaitable<http_response> entry_router::serve_forwarded(http_request request)
{
    const auto& state = context_.local_coordinator.state();
    const auto refuse = [](result_code code) { return make_caller_response({code, {}, {}, {}}, "-"); };
    const auto service = state.find_service(header(request, "tt-service"));
    const auto target = state.find_target(header(request, "tt-target"));
    const auto hash = parse_number(header(request, "tt-hash"));
    const auto limit = parse_number(header(request, "tt-deadline-ms"));
    const auto min_position = parse_number(header(request, "tt-relied-on"));
    if (!hash || !limit || !min_position)
        co_return refuse(result_code::refused_malformed);
    if (!service || !target)
        co_return refuse(result_code::not_run_behind);
    request_task task;
    task.service = *service;
    task.target = *target;
    task.key = key_hash{*hash};
    task.request_id = header(request, "tt-request-id");
    task.idempotency_key = header(request, "idempotency-key");
    task.idempotent = header(request, "tt-idempotent") == "1";
    task.idempotency_checked = header(request, "tt-marked") == "1";
    task.min_position = epoch{*min_position};
    task.deadline = boot_clock::now() + milliseconds{*limit};
    task.fingerprint = fingerprint_of({request.method_string().data(), request.method_string().size()},
                                      {request.target().data(), request.target().size()}, request.body());
    const std::string request_id = task.request_id;
    for (const char* field_name : {"tt-service", "tt-target", "tt-hash", "tt-relied-on", "tt-deadline-ms",
                                   "tt-idempotent", "tt-marked"})
        request.erase(field_name);
    task.request = std::move(request);
    const auto [running, waiting] = local_dispatcher_.usage(*target);
    const auto* settings = state.settings_of(*target);
    const std::size_t slots = settings == nullptr ? 1 : settings->slots;
    auto result = co_await local_dispatcher_.run(std::move(task));
    const auto suggested = result.suggested_dispatcher;
    auto response = make_caller_response(std::move(result), request_id);
    if (suggested != no_session)
        response.set("tt-holder", std::to_string(number(suggested)));
    response.set("tt-busy-percent", std::to_string((running + waiting) * 100 / slots));
    co_return response;
}

asio::awaitable<request_outcome> entry_router::run_on_other_target(request_task task)
{
    task.idempotency_checked = true;
    co_return co_await route(std::move(task));
}

void entry_router::log_decision(const request_task& task, session_id dispatcher_session,
                                const request_outcome& result, std::size_t attempts)
{
    const auto& state = context_.local_coordinator.state();
    const auto& service = state.services()[number(task.service)];
    log_line line("route");
    line.add("request", task.request_id).add("service", service.name).add("key", task.key);
    if (service.keyed)
        line.add("slot", state.slot_of(task.service, task.key))
            .add("epoch", state.ownership(task.service, task.key).since);
    if (attempts > 0)
        line.add("target", state.targets()[number(task.target)].name);
    line.add("dispatcher", dispatcher_session).add("attempts", attempts).add("reason", name_of(result.code));
    context_.log(line.text());
}

} // namespace teaseltally
