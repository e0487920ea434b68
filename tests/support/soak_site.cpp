#include "support/soak_site.hpp"

#include <boost/asio/detached.hpp>

#include <algorithm>
#include <csignal>

namespace teaseltally::test {
namespace {

constexpr std::uint16_t proxy_service = 5;
/// Grace period of both deployments, after which the platform kills a process.
constexpr milliseconds grace_period{6000};
constexpr milliseconds restart_delay{400};
constexpr milliseconds balancer_interval{1000};
constexpr unsigned misses_to_leave = 2;
constexpr milliseconds connection_patience{1000};
/// Callers wait for the time that they were told, up to the time left divided by this.
constexpr int wait_divisor = 3;
constexpr double kept_connection_share = 0.7;
constexpr unsigned impatient_retries = 6;

std::string text_of(milliseconds duration)
{
    return std::to_string(duration.count()) + "ms";
}

} // namespace

const std::vector<site_plan>& soak_sites()
{
    using ms = milliseconds;
    static const std::vector<site_plan> sites{
        {"obmh-gateway",
         {"ikeja", "lekki", "apapa"},
         8,
         {0.2, 56, ms{10'000}},
         2,
         110,
         16,
         true,
         {{"site-lookup", 8, 4, ms{90}, false, false, 190, ms{300}, ms{1000}, ms{2000}, true},
          {"lease-commit", 6, 4, ms{120}, false, true, 93, ms{400}, ms{1200}, ms{2500}, false},
          {"ledger-sync", 10, 4, ms{220}, true, false, 93, ms{600}, ms{2000}, ms{4000}, true}}},
        {"lysing-gw",
         {"grandi", "laugardalur", "hlidar"},
         12,
         {0.2, 64, ms{10'000}},
         1,
         130,
         24,
         false,
         {{"drog", 15, 6, ms{160}, true, false, 284, ms{500}, ms{1200}, ms{1200}, true},
          {"skil", 9, 6, ms{210}, false, true, 130, ms{600}, ms{1500}, ms{1500}, false},
          {"safn", 12, 6, ms{400}, false, false, 94.5, ms{1200}, ms{2000}, ms{3000}, true}}}};
    return sites;
}

struct soak_site::open_connection {
    open_connection(asio::io_context& io, std::size_t to) : stream(io), front(to) {}
    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer;
    std::size_t front;
    bool is_open = false;
};

soak_site::soak_site(const site_plan& plan, const std::string& program, std::uint64_t seed)
    : site({.semantics = "unsafe",
            .behaviour = {},
            .fronts = plan.fronts,
            .targets = 0,
            .bounds = {{"budget-slack", plan.retries.slack}, {"retry-budget-ratio", plan.retries.ratio}},
            .data_centres = plan.data_centres}),
      plan_(plan), random_(seed), open_calls_(plan.fronts), states_(plan.fronts, process_state::ended),
      in_rotation_(plan.fronts, true), idle_(plan.fronts)
{
    if (!program.empty())
        for (const auto& front : site.fronts)
            front->set_program(program);
    configure();
    constexpr std::array speeds{0.7, 1.0, 1.4};
    for (const auto& service : plan_.services)
        for (std::uint8_t index = 0; index < service.targets; ++index) {
            const auto host = static_cast<std::uint8_t>(first_target_host + site.targets.size());
            target_behaviour behaviour;
            behaviour.service_time = std::chrono::duration_cast<milliseconds>(
                service.service_time * speeds.at(index % speeds.size()));
            behaviour.keyed = service.keyed;
            behaviour.slots = service.slots;
            behaviour.queue_length = plan_.queue_length;
            behaviour.resets_when_full = plan_.resets_when_full;
            behaviour.registered_endpoint = fixed_endpoint(host, proxy_service);
            proxies_.push_back(
                std::make_unique<link_proxy>(site.io, *behaviour.registered_endpoint, fixed_endpoint(host)));
            site.targets.push_back(std::make_unique<fake_target>(
                site.io, site.store, fixed_endpoint(host), service.name,
                plan_.data_centres[index % plan_.data_centres.size()], behaviour, site.runs));
            site.targets.back()->observe_arrivals(
                [this](target_arrival arrival) { arrivals_.push_back(std::move(arrival)); });
        }
}

void soak_site::configure()
{
    auto document = std::get<Json::Value>(parse_json(R"({
        "version": "00000002",
        "routes": {"columns": ["name", "host", "path-prefix", "kind", "timeout", "target-latency", "priority",
                               "max-attempts", "service"], "rows": []},
        "services": {"columns": ["name", "health-path", "max-connections", "sharded"], "rows": []},
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 67108864, "header-timeout": "3000ms",
                   "idle-timeout": "15000ms"}})",
                                                     "configuration"));
    for (const auto& service : plan_.services) {
        Json::Value route{Json::arrayValue};
        for (const auto& text : {service.name, std::string{"h.example"}, "/" + service.name + "/",
                                 std::string{service.at_most_once ? "unsafe" : "safe"},
                                 text_of(service.timeout), text_of(service.target_latency)})
            route.append(text);
        route.append(service.at_most_once ? 1 : 2);
        route.append(soak_history{}.max_attempts);
        route.append(service.name);
        document["routes"]["rows"].append(route);
        Json::Value rules{Json::arrayValue};
        rules.append(service.name);
        rules.append("/health");
        rules.append(plan_.max_connections);
        rules.append(service.keyed);
        document["services"]["rows"].append(rules);
    }
    site.store.put("keyed.op", "config", json_text(document));
}

asio::awaitable<void> soak_site::start()
{
    co_await site.start();
    std::ranges::fill(states_, process_state::running);
    for (std::size_t front = 0; front < plan_.fronts; ++front)
        asio::co_spawn(site.io, watch_readiness(front), asio::detached);
    for (std::size_t service = 0; service < plan_.services.size(); ++service)
        asio::co_spawn(site.io, send_requests(service), asio::detached);
}

asio::awaitable<void> soak_site::stop_callers()
{
    stopped_ = true;
    while (callers_ > 0)
        co_await sleep_for(milliseconds{20});
    // What was given up may still be executed.
    co_await sleep_for(milliseconds{2000});
}

asio::awaitable<void> soak_site::watch_readiness(std::size_t front)
{
    unsigned misses = 0;
    while (!stopped_) {
        http_client client(site.io.get_executor(), {});
        auto outcome = co_await client.exchange(site.fronts[front]->readiness(),
                                                make_request(http::verb::get, "/api/readiness"),
                                                boot_clock::now() + balancer_interval);
        const auto* response = std::get_if<http_response>(&outcome);
        misses = response != nullptr && response->result_int() == 200 ? 0 : misses + 1;
        in_rotation_[front] = misses < misses_to_leave;
        co_await sleep_for(balancer_interval);
    }
}

asio::awaitable<void> soak_site::send_requests(std::size_t service)
{
    while (!stopped_) {
        std::exponential_distribution<double> pause(plan_.services[service].rate * load_);
        co_await sleep_for(microseconds{static_cast<std::int64_t>(pause(random_) * 1e6)});
        if (stopped_)
            co_return;
        asio::co_spawn(site.io, serve_caller(service, random_() % plan_.data_centres.size()), asio::detached);
    }
}

std::shared_ptr<soak_site::open_connection> soak_site::choose_connection(std::size_t service,
                                                                         std::size_t data_centre, bool is_new)
{
    const auto centres = plan_.data_centres.size();
    std::vector<std::size_t> ready;
    std::vector<std::size_t> with_idle;
    for (std::size_t front = 0; front < plan_.fronts; ++front) {
        const bool is_local = front % centres == data_centre;
        if (is_local && !idle_[front].empty())
            with_idle.push_back(front);
        if (in_rotation_[front] && (is_local || is_new))
            ready.push_back(front);
    }
    if (ready.empty())
        for (std::size_t front = 0; front < plan_.fronts; ++front)
            ready.push_back(front);
    std::uniform_real_distribution<double> share(0, 1);
    const bool keeps = plan_.services[service].keeps_connections && !is_new && !with_idle.empty() &&
                       share(random_) < kept_connection_share;
    if (!keeps)
        return std::make_shared<open_connection>(site.io, ready[random_() % ready.size()]);
    auto& idle = idle_[with_idle[random_() % with_idle.size()]];
    auto chosen = idle.back();
    idle.pop_back();
    return chosen;
}

asio::awaitable<void> soak_site::serve_caller(std::size_t service, std::size_t data_centre)
{
    const count_guard caller(callers_);
    const auto& rules = plan_.services[service];
    const auto until = boot_clock::now() + rules.deadline;
    const auto key = std::to_string(random_() % 256 * 256);
    const auto retries = impatient_ ? impatient_retries : plan_.caller_retries;
    for (unsigned attempt = 0; attempt <= retries && boot_clock::now() < until; ++attempt) {
        const auto connection = choose_connection(service, data_centre, attempt > 0);
        soak_call call{rules.name + "-" + std::to_string(next_id_++), rules.name, rules.at_most_once,
                       connection->front};
        call.sent = boot_clock::now();
        call.deadline = std::chrono::duration_cast<milliseconds>(until - call.sent);
        call.process_disturbed = states_[call.front] == process_state::paused;
        open_calls_[call.front].insert(&call);
        const bool connected = connection->is_open;
        const auto retry_after = co_await exchange(connection, service, call, key, until);
        open_calls_[call.front].erase(&call);
        call.ended = boot_clock::now();
        const auto status = call.status;
        const bool refused = promises_no_execution(status);
        const bool unsent = status == 0 && !connected && !connection->is_open;
        calls_.push_back(std::move(call));
        if (status >= 200 && status < 500 && !refused)
            co_return;
        if (rules.at_most_once && !refused && !unsent)
            co_return;
        if (impatient_)
            continue;
        const auto left = until - boot_clock::now();
        const microseconds told{static_cast<std::int64_t>(std::atof(retry_after.c_str()) * 1e6)};
        co_await sleep_for(std::min<microseconds>(told, left / wait_divisor));
    }
}

asio::awaitable<std::string> soak_site::exchange(std::shared_ptr<open_connection> connection,
                                                 std::size_t service, soak_call& call, std::string key,
                                                 time_point leaves_at)
{
    const auto& rules = plan_.services[service];
    auto& stream = connection->stream;
    if (!connection->is_open) {
        stream.expires_after(connection_patience);
        if (const auto [failed] =
                co_await stream.async_connect(site.fronts[connection->front]->callers(), as_result);
            failed)
            co_return "";
        connection->is_open = true;
    }
    auto request = make_request(rules.at_most_once ? http::verb::post : http::verb::get,
                                "/" + rules.name + "/item", rules.at_most_once ? "order\n" : "");
    request.set(http::field::host, "h.example");
    request.set("X-Request-Id", call.id);
    request.set("X-Deadline-Ms", std::to_string(call.deadline.count()));
    request.set("X-Shard-Key", key);
    request.prepare_payload();
    stream.expires_after(std::max<microseconds>(leaves_at - boot_clock::now(), microseconds{0}));
    http_response response;
    boost::system::error_code failed;
    std::tie(failed, std::ignore) = co_await http::async_write(stream, request, as_result);
    if (!failed)
        std::tie(failed, std::ignore) =
            co_await http::async_read(stream, connection->buffer, response, as_result);
    if (failed) {
        call.was_cut = failed != boost::beast::error::timeout;
        boost::system::error_code ignored;
        stream.socket().close(ignored);
        co_return "";
    }
    call.status = response.result_int();
    if (response.keep_alive() && rules.keeps_connections) {
        stream.expires_never();
        idle_[connection->front].push_back(connection);
    }
    co_return std::string{response[http::field::retry_after]};
}

void soak_site::mark_disturbed(std::size_t front)
{
    for (auto* call : open_calls_[front])
        call->process_disturbed = true;
}

time_point& soak_site::begin_disturbance(std::size_t front)
{
    disturbed_.push_back({site.fronts[front]->address(), boot_clock::now(), time_point::max()});
    return disturbed_.back().to;
}

asio::awaitable<void> soak_site::send_lethal(std::size_t service)
{
    const count_guard caller(callers_);
    const auto& name = plan_.services[service].name;
    caller_request request{"lethal-" + std::to_string(next_id_++), lethal_caller, "/" + name + "/lethal",
                           lethal_key, true};
    co_await call(site.fronts[random_() % plan_.fronts]->callers(), std::move(request));
}

asio::awaitable<void> soak_site::kill(std::size_t front, milliseconds down)
{
    states_[front] = process_state::ended;
    auto& ends_at = begin_disturbance(front);
    mark_disturbed(front);
    site.fronts[front]->kill();
    idle_[front].clear();
    co_await sleep_for(down);
    site.fronts[front]->start();
    states_[front] = process_state::running;
    ends_at = boot_clock::now();
}

asio::awaitable<void> soak_site::replace(std::size_t front)
{
    states_[front] = process_state::stopping;
    auto& ends_at = begin_disturbance(front);
    auto& process = *site.fronts[front];
    process.signal(SIGTERM);
    const auto until = boot_clock::now() + grace_period;
    while (!process.has_ended() && boot_clock::now() < until)
        co_await sleep_for(milliseconds{20});
    process.kill();
    idle_[front].clear();
    co_await sleep_for(restart_delay);
    process.start();
    states_[front] = process_state::running;
    ends_at = boot_clock::now();
}

asio::awaitable<void> soak_site::pause(std::size_t front, milliseconds duration)
{
    states_[front] = process_state::paused;
    auto& ends_at = begin_disturbance(front);
    mark_disturbed(front);
    site.fronts[front]->signal(SIGSTOP);
    co_await sleep_for(duration);
    site.fronts[front]->signal(SIGCONT);
    states_[front] = process_state::running;
    ends_at = boot_clock::now();
}

std::optional<std::size_t> soak_site::any_running(std::mt19937_64& random) const
{
    std::vector<std::size_t> running;
    for (std::size_t front = 0; front < states_.size(); ++front)
        if (states_[front] == process_state::running)
            running.push_back(front);
    if (running.empty())
        return std::nullopt;
    return running[random() % running.size()];
}

soak_history soak_site::history() const
{
    return {calls_,
            site.runs,
            arrivals_,
            plan_.retries,
            soak_history{}.max_attempts,
            {disturbed_.begin(), disturbed_.end()}};
}

} // namespace teaseltally::test
