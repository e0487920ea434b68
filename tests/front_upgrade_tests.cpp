#include "support/front_deployment.hpp"
#include "support/ownership_history.hpp"

#include <csignal>
#include <cstdlib>
#include <doctest/doctest.h>

/// @file
/// Upgrades of a deployment from an earlier version, whose front is the program that the environment variable
/// TEASELTALLY_OLDER_FRONT names (see scripts/test_upgrade).

using namespace teaseltally;
using namespace teaseltally::test;

namespace {

constexpr std::size_t fronts = 6;
/// Rules LIMIT, LOST, DRAIN and CONFIG of the users' platform.
constexpr milliseconds limit_window{4000};
constexpr double tolerated_factor = 1.5;
constexpr double tolerated_requests = 5;
constexpr milliseconds stable_window{3000};
constexpr milliseconds grace{6000};
constexpr milliseconds loss_slack{200};
constexpr milliseconds config_apply{2000};
/// Time after a target has said that it leaves or asked for rest from which that instance must have stopped.
constexpr milliseconds statement_slack{500};
constexpr std::ptrdiff_t tolerated_in_rest = 2;
constexpr milliseconds rest{2000};
/// Time that the store loses when it returns from a copy, and time that it is away before.
constexpr milliseconds lost_time{3000};
constexpr milliseconds away_time{700};
/// Reads in 2 s that show that an instance reads the targets' registrations from the store itself.
constexpr std::size_t min_reads_of_reader = 4;
/// More than the number of records that a test can write.
constexpr std::uint64_t highest_offset = 100'000;
constexpr double limit_per_s = 4;
constexpr std::size_t targets_per_service = 4;
/// Interval of the requests of each caller; there is one for each instance and service.
constexpr milliseconds call_interval{100};
const std::vector<std::string> services{"keyed", "plain", "limited"};
constexpr std::size_t keyed = 0;
constexpr std::size_t plain = 1;
constexpr std::size_t limited = 2;

std::string older_front()
{
    const auto* program = std::getenv("TEASELTALLY_OLDER_FRONT");
    if (program == nullptr)
        throw std::runtime_error("TEASELTALLY_OLDER_FRONT names no program");
    return program;
}

/// Request over a connection that stays open, and what became of it.
struct upgrade_call {
    std::size_t service = 0;
    std::size_t front = 0;
    time_point sent{};
    time_point ended{};
    /// 0 if the connection ended without a complete answer.
    unsigned status = 0;
    /// Whether the test killed the instance meanwhile.
    bool killed = false;
};

/// Six instances that start with the earlier version, three services and callers that reuse connections.
class upgrade {
public:
    upgrade() : site({"unsafe", {}, fronts, 0})
    {
        for (const auto& front : site.fronts)
            front->set_program(older_front());
        configure(2, false);
        for (std::size_t index = 0; index < services.size() * targets_per_service; ++index) {
            const auto service = index / targets_per_service;
            target_behaviour behaviour;
            behaviour.keyed = service == 0;
            site.targets.push_back(
                std::make_unique<fake_target>(site.io, site.store, endpoint_of(index), services[service],
                                              index % 2 == 0 ? "a" : "b", behaviour, site.runs));
        }
    }
    [[nodiscard]] fake_target& target(std::size_t service, std::size_t index)
    {
        return *site.targets[service * targets_per_service + index];
    }
    void set_newer(std::size_t front)
    {
        newer.insert(front);
        site.fronts[front]->set_program(TEASELTALLY_FRONT);
    }
    void set_earlier(std::size_t front)
    {
        newer.erase(front);
        site.fronts[front]->set_program(older_front());
    }
    /// Publishes a version of the configuration, with one route more or without.
    void configure(unsigned version, bool with_added)
    {
        auto document = std::get<Json::Value>(parse_json(R"({
            "routes": {"columns": ["name", "host", "path-prefix", "kind", "timeout", "target-latency",
                                   "priority", "max-attempts", "service"],
                       "rows": [["k", "h.example", "/keyed/", "unsafe", "2000ms", "500ms", 1, 2, "keyed"],
                                ["p", "h.example", "/plain/", "unsafe", "2000ms", "500ms", 1, 2, "plain"],
                                ["l", "h.example", "/limited/", "unsafe", "2000ms", "500ms", 1, 2, "limited"]]},
            "services": {"columns": ["name", "health-path", "max-connections", "sharded"],
                         "rows": [["keyed", "/health", 200, true], ["plain", "/health", 200, false],
                                  ["limited", "/health", 200, false]]},
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 1048576, "header-timeout": "3000ms",
                       "idle-timeout": "15000ms"}})",
                                                         "configuration"));
        auto& routes = document["routes"]["rows"];
        if (with_added) {
            auto added = routes[1];
            added[0] = "a";
            added[2] = "/added/";
            routes.append(added);
        }
        document["version"] = "0000000" + std::to_string(version);
        site.store.put("keyed.op", "config", json_text(document));
    }
    /// Registers a target as draining, as the platform does some time after the target says that it leaves.
    void drain(std::size_t index)
    {
        auto entry = std::get<Json::Value>(parse_json(
            R"({"info": {"zone": "a", "slots": 8}, "status": {"state": "draining", "sequence": 2}})",
            "target"));
        const auto endpoint = endpoint_of(index);
        entry["address"] = endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
        entry["info"]["service"] = services[index / targets_per_service];
        site.store.put("keyed.servers", site.targets[index]->id(), json_text(entry));
    }
    /// Returns the instance that began to coordinate last; nothing if it does not run.
    [[nodiscard]] std::optional<std::size_t> coordinator() const
    {
        const std::string named = " term=";
        std::map<unsigned long, std::size_t> by_term;
        for (std::size_t front = 0; front < fronts; ++front) {
            const auto output = site.fronts[front]->output();
            const auto last = output.rfind("coordinates=1");
            if (last != std::string::npos && last > output.rfind("event=started") &&
                !stopped_.contains(front))
                by_term[std::stoul(output.substr(output.find(named, last) + named.size()))] = front;
        }
        return by_term.empty() ? std::nullopt : std::optional{by_term.rbegin()->second};
    }
    /// Waits until an instance coordinates.
    asio::awaitable<std::size_t> wait_for_coordinator()
    {
        for (const auto until = hang_deadline(); !coordinator() && boot_clock::now() < until;)
            co_await sleep_for(milliseconds{50});
        co_return coordinator().value();
    }
    void start_load()
    {
        for (std::size_t front = 0; front < fronts; ++front)
            for (std::size_t service = 0; service < services.size(); ++service)
                start_caller(front, service);
    }
    void start_caller(std::size_t front, std::size_t service)
    {
        asio::co_spawn(site.io, keep_calling(front, service), asio::detached);
    }
    asio::awaitable<void> stop_load()
    {
        load_stopped_ = true;
        co_await sleep_for(milliseconds{2500});
    }
    /// Stops an instance as the platform does and starts the newer or the earlier version in its place.
    asio::awaitable<void> replace(std::size_t front, bool by_newer = true)
    {
        auto& process = *site.fronts[front];
        stopped_.insert(front);
        process.signal(SIGTERM);
        const auto until = boot_clock::now() + grace;
        while (!process.has_ended() && boot_clock::now() < until)
            co_await sleep_for(milliseconds{20});
        overran += process.has_ended() ? 0 : 1;
        process.kill();
        if (by_newer)
            set_newer(front);
        else
            set_earlier(front);
        process.start();
        co_await site.wait_until_ready(front);
        stopped_.erase(front);
    }
    /// Kills an instance and starts it again.
    asio::awaitable<void> crash(std::size_t front)
    {
        stopped_.insert(front);
        for (auto& call : calls)
            call.killed = call.killed || (call.front == front && call.ended == time_point{});
        site.fronts[front]->kill();
        co_await sleep_for(milliseconds{1000});
        site.fronts[front]->start();
        co_await site.wait_until_ready(front);
        stopped_.erase(front);
    }
    /// Waits until lost keys must be served again, and then counts the requests of keyed and plain services.
    /// @returns how many were served, and how many were sent.
    asio::awaitable<std::pair<std::size_t, std::size_t>> served_after_recovery()
    {
        co_await sleep_for(key_recovery_time);
        const auto from = boot_clock::now();
        co_await sleep_for(milliseconds{3000});
        const auto to = boot_clock::now() - milliseconds{1000};
        std::pair<std::size_t, std::size_t> sum;
        for (const auto service : {keyed, plain}) {
            const auto [answered, sent] = served(service, from, to);
            sum.first += answered;
            sum.second += sent;
        }
        co_return sum;
    }
    /// Returns the instance of a version that reads the store most; nothing if none does.
    asio::awaitable<std::optional<std::size_t>> find_reader(bool is_newer)
    {
        std::map<std::size_t, std::size_t> reads;
        for (std::size_t front = 0; front < fronts; ++front)
            reads[front] = site.store.calls(front).reads;
        co_await sleep_for(milliseconds{2000});
        std::pair<std::size_t, std::size_t> most{min_reads_of_reader, fronts};
        for (auto& [front, count] : reads)
            if (newer.contains(front) == is_newer)
                most = std::max(most, {site.store.calls(front).reads - count, front});
        co_return most.second == fronts ? std::nullopt : std::optional{most.second};
    }
    /// Returns which instances coordinate according to their output, "e" for the earlier version.
    [[nodiscard]] std::string coordinating() const
    {
        std::string result;
        for (std::size_t front = 0; front < fronts; ++front) {
            const auto output = site.fronts[front]->output();
            const auto last = output.rfind("coordinates=");
            if (last != std::string::npos && output.substr(last).starts_with("coordinates=1") &&
                last > output.rfind("event=started") && !stopped_.contains(front))
                result += (newer.contains(front) ? "n" : "e") + std::to_string(front);
        }
        return result.empty() ? "none" : result;
    }
    /// Makes the store return from a copy while instances of both versions run, and replaces the older ones
    /// afterwards. In the time that the store loses, keys move and a route is published.
    asio::awaitable<void> return_store()
    {
        const auto calls_of = [this](std::size_t front) { return site.store.calls(front); };
        std::vector<store_calls> calls_before;
        for (std::size_t front = 0; front < fronts; ++front)
            calls_before.push_back(calls_of(front));
        co_await sleep_for(milliseconds{500});
        drain(0);
        co_await sleep_for(lost_time - milliseconds{1000});
        configure(3, true);
        co_await sleep_for(milliseconds{500});
        site.store.go_away();
        co_await sleep_for(away_time);
        site.store.return_from_copy(lost_time);
        returned_at = boot_clock::now();
        added_at_newer = co_await time_until_added(newer);
        for (const auto until = returned_at + milliseconds{8000}; boot_clock::now() < until;) {
            const auto now = coordinating();
            seconds_with_two += std::ranges::count(now, 'n') > 1 && now != "none" ? 1 : 0;
            returns += " " + now;
            co_await sleep_for(milliseconds{1000});
        }
        for (std::size_t front = 0; front < fronts; ++front)
            returns += (newer.contains(front) ? " newer " : " earlier ") +
                       std::to_string(calls_of(front).gone - calls_before[front].gone) + "/" +
                       std::to_string(calls_of(front).all() - calls_before[front].all());
        for (std::size_t front = 0; front < fronts; ++front)
            if (!newer.contains(front)) {
                co_await sleep_for(milliseconds{1500});
                co_await replace(front);
            }
        replaced_at = boot_clock::now();
        added_at_all = co_await time_until_added(all_fronts());
    }
    [[nodiscard]] static std::set<std::size_t> all_fronts()
    {
        std::set<std::size_t> all;
        for (std::size_t front = 0; front < fronts; ++front)
            all.insert(front);
        return all;
    }
    /// Returns the time after which instances serve a route that was published now.
    asio::awaitable<milliseconds> time_until_added(std::set<std::size_t> instances)
    {
        const auto from = boot_clock::now();
        while (!instances.empty() && boot_clock::now() < from + key_recovery_time) {
            caller_request added{"added-" + std::to_string(next_id_++)};
            added.path = "/added/item";
            const auto front = *instances.begin();
            const auto answer = co_await call(site.fronts[front]->callers(), std::move(added));
            if (answer.status == 200)
                instances.erase(front);
            co_await sleep_for(milliseconds{10});
        }
        co_return std::chrono::duration_cast<milliseconds>(boot_clock::now() - from);
    }
    /// Returns how many requests of a service that were sent in a span were served, and how many were sent.
    [[nodiscard]] std::pair<std::size_t, std::size_t> served(std::size_t service, time_point from,
                                                             time_point to) const
    {
        std::pair<std::size_t, std::size_t> result;
        for (const auto& call : calls)
            if (call.service == service && call.sent >= from && call.sent < to && !call.killed) {
                result.first += call.status == 200 ? 1 : 0;
                ++result.second;
            }
        return result;
    }
    [[nodiscard]] std::string shares(time_point from, time_point to) const
    {
        std::string text;
        for (std::size_t service = 0; service < services.size(); ++service) {
            const auto [answered, sent] = served(service, from, to);
            text += " " + services[service] + " " + std::to_string(answered) + "/" + std::to_string(sent);
        }
        return text;
    }
    /// Returns the share of the requests allowed by the limits that were served in a span.
    [[nodiscard]] double used_share(time_point from, time_point to) const
    {
        const double allowed = limit_per_s * static_cast<double>(targets_per_service) *
                               std::chrono::duration<double>(to - from).count();
        return static_cast<double>(served(limited, from, to).first) / allowed;
    }
    /// Makes targets limit their requests, and waits until the instances must keep to it.
    asio::awaitable<void> name_limits()
    {
        for (std::size_t index = 0; index < targets_per_service; ++index)
            target(limited, index).name_limit(limit_per_s);
        co_await sleep_for(stable_window);
        limits_from = boot_clock::now();
    }
    /// Starts instances of both versions, so that in each data centre those of one version follow one of the
    /// other. The older ones begin the log, as in an upgrade: see docs/PROTOCOL.md about an empty log.
    asio::awaitable<void> start_mixed()
    {
        for (const std::size_t front : {0, 3, 4})
            site.fronts[front]->start();
        co_await wait_for_coordinator();
        for (const std::size_t front : {1, 2, 5}) {
            set_newer(front);
            site.fronts[front]->start();
        }
        for (std::size_t front = 0; front < fronts; ++front)
            co_await site.wait_until_ready(front);
        co_await sleep_for(milliseconds{1500});
    }
    /// Starts the load, and then the limits.
    asio::awaitable<void> start_limited_load()
    {
        start_load();
        co_await sleep_for(milliseconds{1500});
        co_await name_limits();
    }
    /// Returns the most requests that a limited target got in a window.
    [[nodiscard]] std::ptrdiff_t most_in_window() const
    {
        std::map<std::string, std::vector<time_point>> arrivals;
        for (const auto& run : site.runs)
            if (run.path.starts_with("/limited/") && run.arrived >= limits_from)
                arrivals[run.target].push_back(run.arrived);
        std::ptrdiff_t most = 0;
        for (const auto& [target, times] : arrivals)
            for (auto first = times.begin(); first != times.end(); ++first)
                most = std::max(most, std::lower_bound(first, times.end(), *first + limit_window) - first);
        return most;
    }
    /// Returns how many requests newer instances sent to targets that had told them that they leave.
    [[nodiscard]] std::ptrdiff_t sent_to_leaving() const
    {
        std::map<std::pair<asio::ip::address, std::string>, time_point> told;
        for (const auto& run : site.runs)
            if (run.leaving_said)
                told.try_emplace({run.from, run.target}, *run.leaving_said);
        return std::ranges::count_if(site.runs, [&](const target_run& run) {
            const auto found = told.find({run.from, run.target});
            return is_newer(run.from) && found != told.end() && run.arrived > found->second + statement_slack;
        });
    }
    /// Returns the most requests that a newer instance sent to a target within a rest that it was asked for.
    [[nodiscard]] std::ptrdiff_t most_in_rest() const
    {
        std::ptrdiff_t most = 0;
        for (const auto& asked : site.runs)
            if (asked.rest_asked && is_newer(asked.from))
                most = std::max(most, std::ranges::count_if(site.runs, [&](const target_run& run) {
                                    return run.target == asked.target && run.from == asked.from &&
                                           run.arrived > *asked.rest_asked + statement_slack &&
                                           run.arrived < *asked.rest_asked + rest;
                                }));
        return most;
    }
    /// Checks what must hold in every upgrade and reports the figures.
    /// @param era_rises whether the store begins an era in it.
    void check(const std::string& name, bool era_rises = false) const
    {
        std::map<std::string, std::size_t> executed;
        for (const auto& run : site.runs)
            executed[run.request_id] += run.started ? 1 : 0;
        const auto twice = std::ranges::count_if(executed, [](const auto& run) { return run.second > 1; });
        std::vector<key_event> events;
        for (const auto& target : site.targets)
            events.insert(events.end(), target->key_events().begin(), target->key_events().end());
        const auto faults = check_ownership(events);
        std::uint64_t highest_fence = 0;
        for (const auto& event : events)
            highest_fence = std::max(highest_fence, event.fence);
        std::size_t lost = 0;
        std::size_t refused_after_run = 0;
        for (std::size_t index = 0; index < calls.size(); ++index) {
            const auto& call = calls[index];
            const auto found = executed.find(id_of(index));
            const bool ran = found != executed.end() && found->second > 0;
            const bool refused = call.status == 503 || call.status == 429 || call.status == 408;
            refused_after_run += ran && refused ? 1 : 0;
            lost += call.status == 0 && !call.killed && (ran || call.ended - call.sent > loss_slack) ? 1 : 0;
        }
        MESSAGE(name << ": requests " << calls.size() << ", lost " << lost << ", run twice " << twice
                     << ", refused after a run " << refused_after_run << "; orders " << events.size()
                     << ", keys at two targets " << faults.keys_at_two << ", with old fences "
                     << faults.keys_with_old_fence << ", highest " << highest_fence
                     << "; most in a window of a limit " << most_in_window() << "; sent to leaving targets "
                     << sent_to_leaving() << ", most in a rest " << most_in_rest() << "; beyond grace "
                     << overran);
        CHECK(lost == 0);
        CHECK(twice == 0);
        CHECK(refused_after_run == 0);
        CHECK(!events.empty());
        CHECK(faults.keys_at_two == 0);
        CHECK(faults.keys_with_old_fence == 0);
        for (const auto& example : faults.examples)
            MESSAGE(example);
        // An instance of the earlier version that takes over gives offsets of the log.
        CHECK((era_rises || highest_fence < highest_offset));
        CHECK(static_cast<double>(most_in_window()) <=
              tolerated_factor * limit_per_s * 4 + tolerated_requests);
        CHECK(sent_to_leaving() == 0);
        CHECK(most_in_rest() <= tolerated_in_rest);
        CHECK(overran == 0);
    }

    deployment site;
    std::set<std::size_t> newer;
    std::vector<upgrade_call> calls;
    std::size_t overran = 0;
    time_point returned_at{};
    /// Time when the last instance of the earlier version had been replaced after a return of the store.
    time_point replaced_at{};
    milliseconds added_at_newer{};
    milliseconds added_at_all{};
    /// What coordinates in each second after a return, and of each instance the reads answered with 410 and
    /// all calls to the store.
    std::string returns;
    /// Number of these seconds in which two newer instances coordinate.
    unsigned seconds_with_two = 0;
    /// Time from which the instances must keep to the limits.
    time_point limits_from{};

private:
    static tcp_endpoint endpoint_of(std::size_t target)
    {
        return fixed_endpoint(static_cast<std::uint8_t>(first_target_host + target));
    }
    [[nodiscard]] bool is_newer(const asio::ip::address& from) const
    {
        return std::ranges::any_of(newer,
                                   [&](std::size_t front) { return site.fronts[front]->address() == from; });
    }
    static std::string id_of(std::size_t call) { return "call-" + std::to_string(call); }
    asio::awaitable<void> keep_calling(std::size_t front, std::size_t service)
    {
        while (!load_stopped_) {
            boost::beast::tcp_stream stream(co_await asio::this_coro::executor);
            stream.expires_after(std::chrono::seconds{4});
            const auto [failed] = co_await stream.async_connect(site.fronts[front]->callers(), as_result);
            bool open = !failed;
            while (open && !load_stopped_) {
                open = co_await call_over(stream, front, service);
                co_await sleep_for(call_interval);
            }
            co_await sleep_for(milliseconds{50});
        }
    }
    asio::awaitable<bool> call_over(boost::beast::tcp_stream& stream, std::size_t front, std::size_t service)
    {
        const auto index = calls.size();
        calls.push_back({service, front, boot_clock::now()});
        caller_request request{id_of(index)};
        request.path = "/" + services[service] + "/item";
        request.key = static_cast<unsigned>(index * 257 % 65'536);
        const auto message = message_of(request);
        boost::beast::flat_buffer buffer;
        http_response response;
        stream.expires_after(std::chrono::seconds{4});
        const auto [unsent, written] = co_await http::async_write(stream, message, as_result);
        bool answered = !unsent;
        if (answered) {
            const auto [failed, size] = co_await http::async_read(stream, buffer, response, as_result);
            answered = !failed;
        }
        auto& call = calls[index];
        call.ended = boot_clock::now();
        call.status = answered ? response.result_int() : 0;
        const bool stays_open = answered && response.keep_alive();
        co_return stays_open;
    }

    std::set<std::size_t> stopped_;
    bool load_stopped_ = false;
    std::size_t next_id_ = 0;
};

} // namespace

// Guards against a newer instance that counts an older coordinator as unreachable and keeps to its own part
// of the limits: it asked for permits of several targets in a form that the older one rejects.
TEST_CASE("a newer instance uses the limits of several targets under a coordinator of the earlier version")
{
    constexpr std::size_t newer = fronts - 1;
    constexpr std::size_t callers = 6;
    upgrade up;
    double used = 0;
    run(up.site.io, [&]() -> asio::awaitable<void> {
        co_await up.site.start(newer);
        up.set_newer(newer);
        up.site.fronts[newer]->start();
        co_await up.site.wait_until_ready(newer);
        for (std::size_t caller = 0; caller < callers; ++caller)
            up.start_caller(newer, limited);
        co_await sleep_for(milliseconds{1500});
        co_await up.name_limits();
        co_await sleep_for(milliseconds{6000});
        used = up.used_share(up.limits_from, boot_clock::now());
        REQUIRE(!up.newer.contains(co_await up.wait_for_coordinator()));
        co_await up.stop_load();
    });
    MESSAGE("share of the limits that is used: " << used);
    // Its own part of the limits is a sixth. At least half shows that the coordinator issues permits to it.
    CHECK(used >= 0.5);
}

// Guards against additions to messages and records that the earlier version would reject.
TEST_CASE("the earlier version reads messages and records with additional fields and headers")
{
    const std::string claim =
        R"({"address":"127.0.0.1:9","elapsed":5,"era":3,"fence_origin":0,"instance":"x","session":7,"unsettled":true})";
    const std::string owned =
        R"({"era":3,"fence_origin":0,"ranges":[[0,65535,1,0]],"targets":[["t",0,"127.0.0.1:9"]]})";
    upgrade up;
    up.site.store.put("keyed.ownership", "coordinator", claim);
    up.site.store.put("keyed.ownership", "service/keyed", owned);
    // The instance follows this one, as it has more capacity, and answers its requests.
    std::string last_positions;
    const std::string update = R"({"age":0,"era":3,"next":777,"records":[],"snapshot":false})";
    const std::string updates =
        "[" + update + "," + update + "," + update + "," + update + "," + update + "]";
    http_server newer(up.site.io.get_executor(), any_port, {},
                      [&](http_request request) -> asio::awaitable<http_response> {
                          last_positions = request.body();
                          co_await sleep_for(milliseconds{50});
                          co_return make_response(200, updates, "application/json");
                      });
    const auto port = std::to_string(newer.local_endpoint().port());
    auto& older = *up.site.fronts[0];
    std::vector<http_response> answers;
    run(up.site.io, [&]() -> asio::awaitable<void> {
        older.start();
        co_await up.site.wait_until_ready(0);
        http_client client(up.site.io.get_executor(), {});
        const tcp_endpoint peer{older.address(), static_cast<std::uint16_t>(older.callers().port() + 2)};
        const auto post = [&](const char* to, const char* body) -> asio::awaitable<void> {
            auto request = make_request(http::verb::post, to, body);
            request.set("Stream-Eras", "3,3,3,3,3");
            auto outcome = co_await client.exchange(peer, std::move(request), hang_deadline());
            answers.push_back(std::get<http_response>(std::move(outcome)));
        };
        co_await post("/feed", "[null,null,null,null,null]");
        co_await post("/report",
                      R"({"era":3,"instance":"x","instances":2,"leaving":["t@0"],"load":{},"speed":{}})");
        up.site.store.put("keyed.members", "front-a-0",
                          R"({"address":"127.0.0.1:)" + port +
                              R"(","capacity":99999,"data_centre":"a","era":3})");
        co_await sleep_for(milliseconds{6000});
    });
    for (const auto& answer : answers)
        CHECK(answer.result_int() == 200);
    // Values of records are passed on unchanged.
    const auto sent = std::get<Json::Value>(parse_json(answers.front().body(), "answer"));
    CHECK(sent[2]["records"][0][2] == claim);
    CHECK(sent[2]["records"][1][2] == owned);
    CHECK(last_positions == "[777,777,777,777,777]");
    CHECK(older.output().find("rejected") == std::string::npos);
}

// Guards against versions that do not understand each other while machines are replaced.
TEST_CASE("while machines are replaced one after the other, all guarantees hold")
{
    upgrade up;
    std::string coordinators;
    milliseconds applied{};
    time_point mixed_from{};
    time_point mixed_to{};
    time_point drained_at{};
    run(up.site.io, [&]() -> asio::awaitable<void> {
        co_await up.site.start();
        co_await up.start_limited_load();
        const auto replace_next = [&](bool coordinating) -> asio::awaitable<void> {
            const auto current = co_await up.wait_for_coordinator();
            std::vector<std::size_t> left;
            for (std::size_t front = 0; front < fronts; ++front)
                if (!up.newer.contains(front))
                    left.push_back(front);
            const auto next = std::ranges::find_if(
                left, [&](std::size_t front) { return (front == current) == coordinating; });
            co_await up.replace(next == left.end() ? left.front() : *next);
            co_await sleep_for(milliseconds{1500});
            const auto now = co_await up.wait_for_coordinator();
            coordinators += up.newer.contains(now) ? "new " : "old ";
        };
        for (const bool coordinating : {true, false, false})
            co_await replace_next(coordinating);
        mixed_from = boot_clock::now();
        up.target(plain, 0).ask_for_rest("2");
        up.target(plain, 1).say_leaving();
        up.target(keyed, 0).say_leaving();
        up.configure(3, true);
        applied = co_await up.time_until_added(up.all_fronts());
        co_await sleep_for(milliseconds{2000});
        up.target(plain, 0).ask_for_rest(std::nullopt);
        up.drain(0);
        up.drain(targets_per_service + 1);
        drained_at = boot_clock::now();
        co_await sleep_for(milliseconds{5000});
        mixed_to = boot_clock::now();
        for (const bool coordinating : {true, false, true})
            co_await replace_next(coordinating);
        co_await sleep_for(milliseconds{2000});
        co_await up.stop_load();
    });
    MESSAGE("coordinators " << coordinators << "; route in force after " << applied.count() << " ms; mixed: "
                            << up.shares(mixed_from, mixed_to) << "; from 2 s after the draining: "
                            << up.shares(drained_at + milliseconds{2000}, mixed_to) << "; limits used "
                            << up.used_share(mixed_from, mixed_to));
    up.check("replaced");
    CHECK(applied <= config_apply);
    CHECK(up.used_share(mixed_from, mixed_to) >= 0.7);
}

// Guards against records and positions of the newer version that the earlier one cannot go on from.
TEST_CASE("machines are upgraded until a newer one coordinates, and rolled back: all guarantees hold")
{
    upgrade up;
    std::string figures;
    run(up.site.io, [&]() -> asio::awaitable<void> {
        co_await up.site.start();
        co_await up.start_limited_load();
        // The earlier ones must be able to go on from what newer ones wrote.
        auto coordinator = co_await up.wait_for_coordinator();
        while (!up.newer.contains(coordinator)) {
            co_await up.replace(coordinator);
            co_await sleep_for(milliseconds{1500});
            figures += up.coordinating() + " ";
            coordinator = co_await up.wait_for_coordinator();
        }
        up.configure(3, true);
        const auto applied = co_await up.time_until_added(up.all_fronts());
        CHECK(applied <= config_apply);
        up.drain(0);
        co_await sleep_for(milliseconds{3000});
        while (!up.newer.empty()) {
            auto next = co_await up.wait_for_coordinator();
            if (!up.newer.contains(next))
                next = *up.newer.begin();
            co_await up.replace(next, false);
            co_await sleep_for(milliseconds{1500});
            figures += up.coordinating() + " ";
        }
        const auto kept = co_await up.time_until_added(up.all_fronts());
        CHECK(kept <= config_apply);
        const auto [answered, sent] = co_await up.served_after_recovery();
        figures += "; route in force after " + std::to_string(applied.count()) + " ms, after the rollback " +
                   std::to_string(kept.count()) + " ms; from 5 s after the last replacement " +
                   std::to_string(answered) + "/" + std::to_string(sent);
        CHECK(sent > 0);
        CHECK(answered == sent);
        co_await up.stop_load();
    });
    MESSAGE("coordinating: " << figures);
    up.check("rolled back");
}

// Guards against an end of a target or of an instance that reads the store, of which instances of the other
// version do not hear.
TEST_CASE("while both versions run, targets and instances that read the store end")
{
    upgrade up;
    std::string figures;
    run(up.site.io, [&]() -> asio::awaitable<void> {
        co_await up.start_mixed();
        co_await up.start_limited_load();
        const auto count = [&](const std::string& what) -> asio::awaitable<void> {
            const auto [answered, sent] = co_await up.served_after_recovery();
            figures += "; " + what + " (" + up.coordinating() + "): " + std::to_string(answered) + "/" +
                       std::to_string(sent);
            CHECK(sent > 0);
            CHECK(answered == sent);
        };
        up.target(keyed, 1).end(false);
        up.target(plain, 1).end(false);
        co_await count("two targets ended");
        up.target(keyed, 2).end();
        co_await count("one ended and came back");
        unsigned version = 3;
        for (const bool is_newer : {false, true}) {
            const auto reader = co_await up.find_reader(is_newer);
            if (!reader)
                continue;
            up.configure(version, version % 2 == 1);
            up.target(keyed, is_newer ? 2 : 3).end();
            co_await up.crash(*reader);
            ++version;
            co_await count(std::string{is_newer ? "newer" : "earlier"} + " reader " +
                           std::to_string(*reader) + " killed beside the end of a target");
        }
        figures += "; versions " + std::to_string(version - 1);
        co_await up.stop_load();
    });
    MESSAGE("served from 5 s on, while both versions run" << figures);
    up.check("ends");
}

// Guards against a takeover between versions that gives keys to two targets.
TEST_CASE("while both versions run, a coordinator of either takes over from one of the other")
{
    upgrade up;
    std::map<std::string, unsigned> takeovers;
    std::string figures;
    run(up.site.io, [&]() -> asio::awaitable<void> {
        co_await up.start_mixed();
        co_await up.start_limited_load();
        constexpr unsigned max_crashes = 12;
        std::set<bool> spoken;
        for (unsigned crash = 0;
             crash < max_crashes && !(takeovers["old to new"] > 0 && takeovers["new to old"] > 0); ++crash) {
            const auto before = co_await up.wait_for_coordinator();
            const bool was_newer = up.newer.contains(before);
            if (spoken.insert(was_newer).second) {
                const auto from = boot_clock::now();
                const std::size_t index = was_newer ? 2 : 3;
                up.target(keyed, index).say_leaving();
                co_await sleep_for(milliseconds{2000});
                up.drain(index);
                co_await sleep_for(milliseconds{3000});
                figures += (was_newer ? "; newer: " : "; earlier: ") + up.shares(from, boot_clock::now());
            }
            co_await up.crash(before);
            const auto after = co_await up.wait_for_coordinator();
            const auto* from = was_newer ? "new" : "old";
            ++takeovers[std::string{from} + " to " + (up.newer.contains(after) ? "new" : "old")];
            co_await sleep_for(milliseconds{2000});
        }
        co_await up.stop_load();
    });
    for (const auto& [kind, count] : takeovers)
        figures += "; " + kind + ": " + std::to_string(count);
    MESSAGE("a keyed target leaves under a coordinator of the version" << figures);
    up.check("crashes");
    CHECK(takeovers["old to new"] > 0);
    CHECK(takeovers["new to old"] > 0);
}

// Guards against a return of the store that instances of the two versions see differently: earlier ones know
// no eras.
TEST_CASE("the store returns from an older copy while both versions run")
{
    // The last one follows an earlier instance, which passes nothing of the new era on.
    const std::vector<std::set<std::size_t>> coordinators{{0, 3, 4}, {1, 2, 5}, {2}};
    for (const auto& coordinators_at_return : coordinators) {
        upgrade up;
        std::string figures;
        run(up.site.io, [&]() -> asio::awaitable<void> {
            co_await up.start_mixed();
            constexpr unsigned max_crashes = 30;
            for (unsigned crash = 0; crash < max_crashes; ++crash) {
                const auto current = co_await up.wait_for_coordinator();
                if (coordinators_at_return.contains(current))
                    break;
                co_await up.crash(current);
            }
            REQUIRE(coordinators_at_return.contains(co_await up.wait_for_coordinator()));
            co_await up.start_limited_load();
            co_await up.return_store();
            co_await sleep_for(up.replaced_at + key_recovery_time - boot_clock::now());
            const auto from = boot_clock::now();
            co_await sleep_for(milliseconds{4000});
            const auto to = boot_clock::now();
            co_await up.stop_load();
            figures = "mixed: " + up.shares(up.returned_at, up.returned_at + milliseconds{8000}) +
                      "; from 5 s after the last replacement: " + up.shares(from, to);
            for (const auto service : {keyed, plain}) {
                const auto [answered, sent] = up.served(service, from, to);
                CHECK(sent > 0);
                CHECK(answered == sent);
            }
        });
        const std::string name = coordinators_at_return.contains(0)   ? "an earlier instance coordinates"
                                 : coordinators_at_return.contains(1) ? "a newer one coordinates"
                                                                      : "one that follows an earlier one";
        MESSAGE(name << "; " << figures << "; route in force at newer ones " << up.added_at_newer.count()
                     << " ms after the return, at all " << up.added_at_all.count()
                     << " ms after the last replacement; coordinating, reads with 410 and calls:"
                     << up.returns);
        up.check(name, true);
        CHECK(up.added_at_all < key_recovery_time);
        // A takeover may fall on one of them.
        CHECK(up.seconds_with_two <= 1);
    }
}
