#include <teaseltally/count_guard.hpp>
#include <teaseltally/net/entry.hpp>

#include <teaseltally/log_line.hpp>

#include <boost/asio/experimental/awaitable_operators.hpp>

#include <algorithm>
#include <charconv>

namespace teaseltally {
namespace {

namespace http = boost::beast::http;

/// Re-routes of one request before it is given up as not run.
constexpr std::size_t max_attempts = 8;
/// Pause before asking again when the answer named nobody better.
constexpr milliseconds reroute_pause{15};
/// Time for which an entry looks for an owner before it gives up.
constexpr milliseconds reroute_limit{250};
constexpr milliseconds least_retry_after{100};
constexpr double newest_weight = 0.2;
constexpr std::size_t max_header_value = 256;
/// Part of the time left that a forward keeps for the way back, at most a tenth.
constexpr milliseconds hop_allowance{5};
/// Time without any answer after which another instance is asked first.
constexpr milliseconds progress_limit{400};
constexpr milliseconds unreachable_time{500};
/// Time for which an instance that let a request time out without answering any is asked last.
constexpr milliseconds silent_time{2000};

std::optional<std::uint64_t> parse_number(std::string_view text)
{
    std::uint64_t value = 0;
    const auto [stop, problem] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (problem != std::errc{} || stop != text.data() + text.size())
        return std::nullopt;
    return value;
}

std::string_view header(const http_request& request, std::string_view name)
{
    const auto found = request.find(name);
    return found == request.end() ? std::string_view{} : std::string_view{found->value()};
}

/// Removes fields that hold for one connection only, and those that only instances may set.
template <typename Message>
void strip_hop_fields(Message& message)
{
    std::vector<std::string> named;
    for (const auto& [name, fields] :
         {std::pair{"connection", message.equal_range(http::field::connection)}}) {
        for (auto field = fields.first; field != fields.second; ++field) {
            std::string item;
            for (const char letter : std::string{field->value()} + ",") {
                if (letter == ',' && !item.empty())
                    named.push_back(std::exchange(item, {}));
                else if (letter != ' ' && letter != ',')
                    item += letter;
            }
        }
    }
    for (const auto& name : named)
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

std::optional<result_code> parse_code(std::string_view text)
{
    const auto value = parse_number(text);
    if (!value || *value < 100 || *value > 199)
        return std::nullopt;
    const auto code = static_cast<result_code>(*value);
    return name_of(code) == "unnamed" ? std::nullopt : std::optional{code};
}

} // namespace

http_response to_answer(work_result result, std::string_view request_id)
{
    http_response response;
    if (result.code == result_code::done) {
        response = std::move(result.response);
        strip_hop_fields(response);
    }
    else {
        response = make_response(status_of(result.code), std::string{name_of(result.code)} + "\n");
        if (class_of(result.code) == result_class::not_run) {
            const auto wait = std::max(result.retry_after, least_retry_after);
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
    : context_(context), local_(local), random_(seed)
{
}

/// Reads a caller's request: `/SERVICE/...` with the headers of docs/PROTOCOL.md.
std::variant<work_order, work_result> entry_router::read_order(http_request request)
{
    const auto& state = context_.decisions.state();
    const std::string_view path{request.target().data(), request.target().size()};
    const auto end = path.find_first_of("/?", 1);
    const auto name =
        path.substr(std::min<std::size_t>(1, path.size()), end == std::string_view::npos ? end : end - 1);
    const auto service = state.find_service(name);
    const auto* settings = service ? state.settings_of(*service) : nullptr;
    if (settings == nullptr)
        return work_result{result_code::refused_unknown_service, {}, {}, {}};
    work_order order;
    order.service = *service;
    const auto key = header(request, "tt-key");
    if (settings->keyed && key.empty())
        return work_result{result_code::refused_key_missing, {}, {}, {}};
    order.key = hash_key(key, state.settings().deployment.seed);
    milliseconds limit = settings->deadline;
    if (const auto asked = header(request, "tt-deadline-ms"); !asked.empty()) {
        const auto value = parse_number(asked);
        if (!value || *value == 0)
            return work_result{result_code::refused_malformed, {}, {}, {}};
        limit = std::min(milliseconds{std::min<std::uint64_t>(*value, 86'400'000)}, settings->max_deadline);
    }
    order.deadline = boot_clock::now() + limit;
    order.idempotency_key = header(request, "idempotency-key");
    if (order.idempotency_key.size() > max_header_value)
        return work_result{result_code::refused_malformed, {}, {}, {}};
    const auto rest = end == std::string_view::npos ? std::string_view{"/"} : path.substr(end);
    order.idempotent = is_safe_method(request.method()) ||
                       std::ranges::any_of(settings->idempotent_paths, [&](const std::string& prefix) {
                           return rest.starts_with(prefix);
                       });
    order.fingerprint = fingerprint_of({request.method_string().data(), request.method_string().size()}, path,
                                       request.body());
    order.request_id =
        std::to_string(number(context_.decisions.settings().session)) + "-" + std::to_string(next_request_++);
    strip_hop_fields(request);
    for (const char* own : {"tt-token", "tt-item", "tt-epoch", "tt-deadline-at", "tt-target", "tt-marked",
                            "tt-request-id", "tt-relied-on", "tt-service", "tt-hash", "tt-idempotent"})
        request.erase(own);
    order.request = std::move(request);
    return order;
}

asio::awaitable<http_response> entry_router::serve(http_request request)
{
    const auto begun = boot_clock::now();
    auto read = read_order(std::move(request));
    if (auto* refused = std::get_if<work_result>(&read)) {
        context_.measured.record_request("-", refused->code, boot_clock::now() - begun);
        co_return to_answer(std::move(*refused), "-");
    }
    auto& order = std::get<work_order>(read);
    const std::string request_id = order.request_id;
    const std::string service = context_.decisions.state().services()[number(order.service)].name;
    auto result = co_await route_hedged(order);
    context_.measured.record_request(service, result.code, boot_clock::now() - begun);
    co_return to_answer(std::move(result), request_id);
}

/// Sends a second copy of a repeatable request to another target once the first is unusually late.
asio::awaitable<work_result> entry_router::route_hedged(const work_order& order)
{
    using namespace asio::experimental::awaitable_operators;
    const auto& state = context_.decisions.state();
    const auto* settings = state.settings_of(order.service);
    const auto& service = state.services()[number(order.service)];
    const microseconds late = context_.measured.latency_p95(service.name);
    if (settings == nullptr || !settings->hedge || service.keyed || !order.idempotent || late.count() == 0)
        co_return co_await route(order);
    bool hedged = false;
    auto first_or_late = co_await (route(order) || hedge(order, late, hedged));
    auto result = first_or_late.index() == 0 ? std::get<0>(std::move(first_or_late))
                                             : std::get<1>(std::move(first_or_late));
    if (hedged && class_of(result.code) == result_class::not_run)
        result.code = result_code::unknown_connection_lost;
    co_return result;
}

/// Routes a second copy of an order after a delay, if the retry budget allows it.
asio::awaitable<work_result> entry_router::hedge(const work_order& order, microseconds delay, bool& hedged)
{
    co_await sleep_for(delay);
    if (!budgets_[order.service].try_withdraw()) {
        co_await sleep_for(std::max<microseconds>(order.deadline - boot_clock::now(), microseconds{0}));
        co_return work_result{result_code::unknown_deadline, {}, {}, {}};
    }
    hedged = true;
    context_.measured.increment("hedges_total");
    co_return co_await route(order);
}

std::optional<target_id> entry_router::choose(const work_order& order, const std::set<target_id>& tried)
{
    const auto& state = context_.decisions.state();
    const auto& service = state.services()[number(order.service)];
    if (service.keyed) {
        const auto owner = state.ownership(order.service, order.key).owner;
        return owner == no_target ? std::nullopt : std::optional{owner};
    }
    const bool homed = !order.idempotency_key.empty() && !order.marked;
    std::vector<target_candidate> views;
    std::optional<target_id> home;
    std::uint64_t home_rank = 0;
    for (std::uint32_t index = 0; index < state.targets().size(); ++index) {
        const target_id target{index};
        const auto* settings = state.settings_of(target);
        if (settings == nullptr || state.targets()[index].service != order.service ||
            state.targets()[index].lost)
            continue;
        if (homed) {
            const auto rank = rendezvous_rank(order.idempotency_key, index + 1ULL);
            if (!home || rank > home_rank) {
                home = target;
                home_rank = rank;
            }
            continue;
        }
        if (!state.accepts_slots(target))
            continue;
        const auto& record = records_[target];
        views.push_back({target, record.outstanding, settings->slots, record.reported, record.latency,
                         settings->data_centre == context_.decisions.settings().data_centre,
                         tried.contains(target)});
    }
    if (homed)
        return home;
    const auto chosen = choose_target(views, random_());
    return chosen < views.size() ? std::optional{views[chosen].target} : std::nullopt;
}

/// @returns whether an order may be sent once more after this result.
bool entry_router::may_repeat(const work_order& order, const work_result& result)
{
    switch (class_of(result.code)) {
    case result_class::done:
    case result_class::refused:
        return false;
    case result_class::not_run:
        return result.code != result_code::not_run_deadline;
    case result_class::unknown:
        return (order.idempotent || (!order.idempotency_key.empty() && !order.marked)) &&
               result.code == result_code::unknown_connection_lost && budgets_[order.service].try_withdraw();
    }
    return false;
}

/// Without progress for a while, or refused lately.
bool entry_router::is_suspect(session_id session, time_point now) const
{
    const auto found = peers_.find(session);
    if (found == peers_.end())
        return false;
    const auto& peer = found->second;
    return now < peer.unreachable_until || (peer.outstanding > 0 && now >= peer.progress + progress_limit);
}

/// @returns whom to ask: the dispatcher last named, unless it is suspect, else the likeliest not asked yet.
session_id entry_router::choose_dispatcher(target_id target, const std::set<session_id>& asked)
{
    const auto now = boot_clock::now();
    if (const auto hint = hints_.find(target); hint != hints_.end()) {
        if (context_.decisions.state().sessions().contains(hint->second) && !is_suspect(hint->second, now))
            return hint->second;
        hints_.erase(hint);
    }
    const auto possible = context_.decisions.dispatcher_candidates(target, now);
    const auto usable = [&](session_id s) { return !is_suspect(s, now) && !asked.contains(s); };
    if (const auto found = std::ranges::find_if(possible, usable); found != possible.end())
        return *found;
    return possible.empty() ? no_session : possible.front();
}

asio::awaitable<work_result> entry_router::route(work_order order)
{
    const auto begun = boot_clock::now();
    if (const auto* settings = context_.decisions.state().settings_of(order.service))
        budgets_[order.service].configure(settings->retry_percent);
    budgets_[order.service].deposit();
    const bool unkeyed = !context_.decisions.state().services()[number(order.service)].keyed;
    work_result result{result_code::not_run_no_owner, {}, {}, {}};
    std::set<target_id> tried;
    std::set<session_id> asked;
    std::size_t attempts = 0;
    bool in_doubt = false;
    session_id at = no_session;
    while (attempts < max_attempts) {
        const auto target = choose(order, tried);
        ++attempts;
        result = {result_code::not_run_no_owner, {}, {}, {}};
        if (target) {
            order.target = *target;
            order.relied_on = context_.decisions.state().position();
            at = choose_dispatcher(*target, asked);
            result = co_await attempt(order, at);
        }
        in_doubt = in_doubt || class_of(result.code) == result_class::unknown;
        if (!may_repeat(order, result))
            break;
        const auto now = boot_clock::now();
        const bool overloaded = result.code == result_code::not_run_overloaded;
        if (now + reroute_pause >= order.deadline || now >= begun + reroute_limit ||
            (overloaded && (!unkeyed || !budgets_[order.service].try_withdraw())))
            break;
        if (target && !learn(*target, at, result, asked)) {
            tried.insert(*target);
            if (unkeyed)
                continue;
        }
        else if (target && (result.holder != no_session || result.code == result_code::not_run_unreachable))
            continue;
        asked.clear();
        co_await sleep_for(reroute_pause);
    }
    // An earlier attempt may have run, whatever the last one says of itself.
    if (in_doubt && class_of(result.code) == result_class::not_run)
        result.code = result_code::unknown_connection_lost;
    log_decision(order, at, result, attempts);
    co_return result;
}

/// Learns from a "not run" whom to ask next.
/// @returns whether another instance may serve the same target.
bool entry_router::learn(target_id target, session_id at, const work_result& result,
                         std::set<session_id>& asked)
{
    asked.insert(at);
    if (result.holder != no_session && result.holder != at) {
        hints_[target] = result.holder;
        return true;
    }
    hints_.erase(target);
    const bool instance_failed =
        result.code == result_code::not_run_not_dispatcher || result.code == result_code::not_run_behind ||
        (result.code == result_code::not_run_unreachable && is_suspect(at, boot_clock::now()));
    return instance_failed;
}

asio::awaitable<work_result> entry_router::attempt(const work_order& order, session_id at)
{
    auto& record = records_[order.target];
    const count_guard counted(record.outstanding);
    const auto begun = boot_clock::now();
    work_result result{result_code::not_run_no_owner, {}, {}, {}};
    if (at == context_.decisions.settings().session)
        result = co_await local_.run(order);
    else if (at != no_session)
        result = co_await forward(order, at);
    if (class_of(result.code) == result_class::done || class_of(result.code) == result_class::unknown) {
        const auto difference = static_cast<double>((boot_clock::now() - begun - record.latency).count());
        record.latency += microseconds{static_cast<std::int64_t>(newest_weight * difference)};
    }
    co_return result;
}

asio::awaitable<work_result> entry_router::forward(const work_order& order, session_id at)
{
    const auto& state = context_.decisions.state();
    const auto address = peer_endpoint(state, at);
    if (!address)
        co_return work_result{result_code::not_run_no_owner, {}, {}, {}};
    http_request request = order.request;
    // The hop's answer must be back before this side gives up.
    const auto whole = std::chrono::floor<milliseconds>(order.deadline - boot_clock::now());
    const auto left = whole - std::min(hop_allowance, whole / 10);
    request.set("tt-service", state.services()[number(order.service)].name);
    request.set("tt-target", state.targets()[number(order.target)].name);
    request.set("tt-hash", std::to_string(number(order.key)));
    request.set("tt-request-id", order.request_id);
    request.set("tt-relied-on", std::to_string(number(order.relied_on)));
    request.set("tt-deadline-ms", std::to_string(std::max<std::int64_t>(1, left.count())));
    request.set("tt-idempotent", order.idempotent ? "1" : "0");
    if (order.marked)
        request.set("tt-marked", "1");
    context_.measured.increment("forwards_total");
    auto& peer = peers_[at];
    if (peer.outstanding == 0)
        peer.progress = boot_clock::now();
    const auto sent = boot_clock::now();
    http_outcome outcome;
    {
        const count_guard counted(peer.outstanding);
        outcome = co_await context_.client.exchange(*address, std::move(request), order.deadline);
    }
    if (const auto* failed = std::get_if<http_failure>(&outcome)) {
        if (!failed->timed_out)
            peer.unreachable_until = boot_clock::now() + unreachable_time;
        else if (peer.progress <= sent) {
            peer.unreachable_until = boot_clock::now() + silent_time;
            hints_.erase(order.target);
        }
        if (!failed->sent)
            co_return work_result{result_code::not_run_unreachable, {}, {}, {}};
        co_return work_result{failed->timed_out ? result_code::unknown_deadline
                                                : result_code::unknown_connection_lost,
                              {},
                              {},
                              {}};
    }
    peer.progress = boot_clock::now();
    peer.unreachable_until = {};
    auto& response = std::get<http_response>(outcome);
    const auto code = parse_code(response["tt-code"]);
    if (!code)
        co_return work_result{result_code::unknown_connection_lost, {}, {}, {}};
    work_result result{*code, {}, {}, {}};
    if (const auto holder = parse_number(response["tt-holder"]))
        result.holder = session_id{*holder};
    if (const auto wait = parse_number(response["tt-retry-after-ms"]))
        result.retry_after = milliseconds{*wait};
    if (const auto busy = parse_number(response["tt-busy-percent"]))
        records_[order.target].reported = static_cast<double>(*busy) / 100.0;
    for (const char* own : {"tt-holder", "tt-busy-percent", "tt-class", "tt-code"})
        response.erase(own);
    if (*code == result_code::done)
        result.response = std::move(response);
    co_return result;
}

asio::awaitable<http_response> entry_router::serve_forwarded(http_request request)
{
    const auto& state = context_.decisions.state();
    const auto refuse = [](result_code code) { return to_answer({code, {}, {}, {}}, "-"); };
    const auto service = state.find_service(header(request, "tt-service"));
    const auto target = state.find_target(header(request, "tt-target"));
    const auto hash = parse_number(header(request, "tt-hash"));
    const auto limit = parse_number(header(request, "tt-deadline-ms"));
    const auto relied_on = parse_number(header(request, "tt-relied-on"));
    if (!hash || !limit || !relied_on)
        co_return refuse(result_code::refused_malformed);
    if (!service || !target)
        co_return refuse(result_code::not_run_behind);
    work_order order;
    order.service = *service;
    order.target = *target;
    order.key = key_hash{*hash};
    order.request_id = header(request, "tt-request-id");
    order.idempotency_key = header(request, "idempotency-key");
    order.idempotent = header(request, "tt-idempotent") == "1";
    order.marked = header(request, "tt-marked") == "1";
    order.relied_on = epoch{*relied_on};
    order.deadline = boot_clock::now() + milliseconds{*limit};
    order.fingerprint = fingerprint_of({request.method_string().data(), request.method_string().size()},
                                       {request.target().data(), request.target().size()}, request.body());
    const std::string request_id = order.request_id;
    for (const char* own : {"tt-service", "tt-target", "tt-hash", "tt-relied-on", "tt-deadline-ms",
                            "tt-idempotent", "tt-marked"})
        request.erase(own);
    order.request = std::move(request);
    const auto [running, waiting] = local_.usage(*target);
    const auto* settings = state.settings_of(*target);
    const std::size_t slots = settings == nullptr ? 1 : settings->slots;
    auto result = co_await local_.run(std::move(order));
    const auto holder = result.holder;
    auto response = to_answer(std::move(result), request_id);
    if (holder != no_session)
        response.set("tt-holder", std::to_string(number(holder)));
    response.set("tt-busy-percent", std::to_string((running + waiting) * 100 / slots));
    co_return response;
}

asio::awaitable<work_result> entry_router::run_elsewhere(work_order order)
{
    order.marked = true;
    co_return co_await route(std::move(order));
}

void entry_router::log_decision(const work_order& order, session_id at, const work_result& result,
                                std::size_t attempts)
{
    const auto& state = context_.decisions.state();
    const auto& service = state.services()[number(order.service)];
    log_line line("route");
    line.add("request", order.request_id).add("service", service.name).add("key", order.key);
    if (service.keyed)
        line.add("slot", state.slot_of(order.service, order.key))
            .add("epoch", state.ownership(order.service, order.key).since);
    if (attempts > 0)
        line.add("target", state.targets()[number(order.target)].name);
    line.add("dispatcher", at).add("attempts", attempts).add("reason", name_of(result.code));
    context_.log(line.text());
}

} // namespace teaseltally
