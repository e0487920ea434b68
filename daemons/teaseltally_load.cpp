// Open-loop load with a seed. Writes a history of invocations and answers and prints a report.

#include <teaseltally/json.hpp>
#include <teaseltally/net/http.hpp>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <cmath>
#include <cstdio>
#include <fstream>
#include <gflags/gflags.h>
#include <iostream>
#include <random>
#include <sstream>

DEFINE_string(entries, "", "IP:PORT of the callers' ports, separated by commas");
DEFINE_string(mix, "", "SERVICE:RATE:KIND separated by commas; KIND is keyed, read, commit or keyed-commit");
DEFINE_uint64(seed, 1, "seed");
DEFINE_double(seconds, 10, "duration");
DEFINE_uint64(keys, 1000, "keys of each service");
DEFINE_double(zipf, 0.9, "skew of the keys; 0 is uniform");
DEFINE_uint64(hot_shift_ms, 0, "time after which other keys become the hottest; 0 never");
DEFINE_int32(deadline_ms, 1000, "deadline of a request");
DEFINE_string(history, "", "file for the history");
DEFINE_string(report, "", "file for the report as JSON");
DEFINE_double(crash_per_second, 0, "requests a second that crash their target");
DEFINE_uint64(service_us, 0, "service time asked of targets in microseconds; 0 leaves theirs");
DEFINE_bool(direct, false, "the entries are targets");
DEFINE_string(
    policy, "round_robin",
    "with --direct: random, round_robin, least_connections, rendezvous or retry (random, without budget)");

namespace {

using namespace teaseltally;
namespace http = boost::beast::http;

constexpr milliseconds entry_pause{1000};
/// A balancer that checks readiness sends nothing to an instance that closes its connections.
constexpr milliseconds leaving_pause{5000};
constexpr milliseconds tail{3000};
constexpr std::uint64_t max_outstanding = 20'000;

struct service_mix {
    std::string name;
    double rate = 0;
    std::string kind;
};

/// Draws keys with a skewed distribution.
class key_source {
public:
    key_source(std::uint64_t count, double skew)
    {
        double sum = 0;
        for (std::uint64_t rank = 1; rank <= count; ++rank) {
            sum += 1.0 / std::pow(static_cast<double>(rank), skew);
            sums_.push_back(sum);
        }
    }
    std::uint64_t draw(std::mt19937_64& random, std::uint64_t shift) const
    {
        const double at = std::uniform_real_distribution<>(0, sums_.back())(random);
        const auto rank = std::ranges::lower_bound(sums_, at) - sums_.begin();
        return (static_cast<std::uint64_t>(rank) + shift * 97) % sums_.size();
    }

private:
    std::vector<double> sums_;
};

/// One request as its caller saw it.
struct attempt {
    time_point due;
    time_point finished;
    bool served = false;
};

/// Outcomes of one service.
struct service_report {
    std::map<std::string, std::uint64_t> classes;
    std::map<std::string, std::uint64_t> codes;
    std::vector<std::int64_t> latencies;
    std::map<std::string, std::vector<attempt>> attempts;
};

/// How long a place was not served.
struct outage {
    microseconds total{};
    /// The last attempt had failed.
    bool open = false;
};

/// Sums the times from a failed request to the end of the next one that was served, by when each was due.
outage outage_of(std::vector<attempt> attempts)
{
    std::ranges::sort(attempts, {}, &attempt::due);
    outage found;
    std::optional<time_point> since;
    for (const auto& each : attempts) {
        if (!each.served && !since)
            since = each.due;
        if (!each.served || !since)
            continue;
        found.total += each.finished - *since;
        since.reset();
    }
    found.open = since.has_value();
    return found;
}

class load {
public:
    explicit load(asio::io_context& io) : io_(io), client_(io.get_executor(), {4096}), random_(FLAGS_seed)
    {
        std::istringstream entries(FLAGS_entries);
        for (std::string text; std::getline(entries, text, ',');) {
            const auto parsed = parse_endpoint(text);
            if (const auto* problem = failure(parsed))
                throw std::invalid_argument(problem->message);
            entries_.push_back({std::get<tcp_endpoint>(parsed), {}, 0});
        }
        std::istringstream mixes(FLAGS_mix);
        for (std::string text; std::getline(mixes, text, ',');) {
            std::istringstream fields(text);
            service_mix mix;
            std::string rate;
            std::getline(fields, mix.name, ':');
            std::getline(fields, rate, ':');
            std::getline(fields, mix.kind, ':');
            mix.rate = std::stod(rate);
            mixes_.push_back(mix);
        }
        if (!FLAGS_history.empty())
            history_ = std::fopen(FLAGS_history.c_str(), "w");
        for (const auto& mix : mixes_)
            asio::co_spawn(io_, offer(mix, random_()), asio::detached);
        if (FLAGS_crash_per_second > 0)
            asio::co_spawn(io_, offer({mixes_.front().name, FLAGS_crash_per_second, "crash"}, random_()),
                           asio::detached);
    }

    [[nodiscard]] Json::Value report() const
    {
        Json::Value out;
        for (const auto& [name, service] : reports_) {
            auto& entry = out["services"][name];
            for (const auto& [kind, count] : service.classes)
                entry["classes"][kind] = static_cast<Json::UInt64>(count);
            for (const auto& [code, count] : service.codes)
                entry["codes"][code] = static_cast<Json::UInt64>(count);
            auto sorted = service.latencies;
            std::ranges::sort(sorted);
            for (const auto& [label, share] :
                 {std::pair{"p50_us", 0.5}, std::pair{"p99_us", 0.99}, std::pair{"p999_us", 0.999}}) {
                if (!sorted.empty())
                    entry[label] = static_cast<Json::Int64>(
                        sorted[std::min(sorted.size() - 1, static_cast<std::size_t>(
                                                               share * static_cast<double>(sorted.size())))]);
            }
            std::vector<std::int64_t> gaps;
            std::uint64_t open = 0;
            for (const auto& [place, attempts] : service.attempts) {
                const auto found = outage_of(attempts);
                open += found.open ? 1 : 0;
                if (found.total.count() > 0)
                    gaps.push_back(found.total / milliseconds{1});
            }
            entry["never_served_again"] = static_cast<Json::UInt64>(open);
            std::ranges::sort(gaps);
            entry["unavailable_keys"] = static_cast<Json::UInt64>(gaps.size());
            entry["unavailable_median_ms"] =
                static_cast<Json::Int64>(gaps.empty() ? 0 : gaps[gaps.size() / 2]);
            entry["unavailable_max_ms"] = static_cast<Json::Int64>(gaps.empty() ? 0 : gaps.back());
        }
        out["broken"] = static_cast<Json::UInt64>(broken_);
        return out;
    }

private:
    struct entry_state {
        tcp_endpoint address;
        time_point avoid_until;
        std::uint32_t outstanding = 0;
    };

    asio::awaitable<void> offer(service_mix mix, std::uint64_t seed)
    {
        std::mt19937_64 random(seed);
        const key_source keys(FLAGS_keys, FLAGS_zipf);
        const auto begun = boot_clock::now();
        const auto end = begun + microseconds{static_cast<std::int64_t>(FLAGS_seconds * 1e6)};
        auto next = begun;
        std::exponential_distribution<> gap(mix.rate);
        while (next < end) {
            const auto now = boot_clock::now();
            if (next > now)
                co_await sleep_for(next - now);
            const std::uint64_t shift =
                FLAGS_hot_shift_ms == 0
                    ? 0
                    : static_cast<std::uint64_t>((next - begun) / milliseconds{FLAGS_hot_shift_ms});
            if (outstanding_ < max_outstanding)
                asio::co_spawn(io_, invoke(mix, keys.draw(random, shift), next), asio::detached);
            next += microseconds{static_cast<std::int64_t>(gap(random) * 1e6)};
        }
    }

    /// A baseline's choice among targets.
    entry_state& choose_target(const std::string& key, std::size_t tried)
    {
        if (FLAGS_policy == "least_connections")
            return *std::ranges::min_element(entries_, {}, &entry_state::outstanding);
        if (FLAGS_policy == "rendezvous") {
            return *std::ranges::max_element(
                entries_, {}, [&](const entry_state& e) { return rendezvous_rank(key, e.address.port()); });
        }
        if (FLAGS_policy == "random" || FLAGS_policy == "retry")
            return entries_[random_() % entries_.size()];
        return entries_[(turn_++ + tried) % entries_.size()];
    }

    entry_state& choose_entry()
    {
        const auto now = boot_clock::now();
        for (std::size_t tried = 0; tried < entries_.size(); ++tried) {
            auto& entry = entries_[turn_++ % entries_.size()];
            if (now >= entry.avoid_until)
                return entry;
        }
        return entries_[turn_++ % entries_.size()];
    }

    asio::awaitable<void> invoke(const service_mix& mix, std::uint64_t key_number, time_point due)
    {
        ++outstanding_;
        const std::string id = std::to_string(next_id_++);
        const std::string key = mix.kind == "crash" ? "crash" : "key-" + std::to_string(key_number);
        const bool commit = mix.kind == "commit" || mix.kind == "keyed-commit";
        auto request =
            make_request(mix.kind == "read" || mix.kind == "keyed" ? http::verb::get : http::verb::post,
                         "/" + mix.name + "/work", mix.kind == "crash" ? "crash" : id);
        request.set("tt-key", key);
        request.set("tt-deadline-ms", std::to_string(FLAGS_deadline_ms));
        request.set("x-invocation", id);
        if (commit)
            request.set("idempotency-key", id);
        if (mix.kind == "crash")
            request.set("x-crash", "1");
        if (FLAGS_service_us > 0)
            request.set("x-service-us", std::to_string(FLAGS_service_us));
        record("invoke", id, mix.name, key, mix.kind, due);
        http_outcome outcome = http_failure{};
        const std::size_t tries = FLAGS_direct && FLAGS_policy != "retry" ? 1 : entries_.size();
        for (std::size_t tried = 0; tried < tries; ++tried) {
            auto& entry = FLAGS_direct ? choose_target(key, tried) : choose_entry();
            ++entry.outstanding;
            outcome = co_await client_.exchange(entry.address, request,
                                                due + milliseconds{FLAGS_deadline_ms} + milliseconds{500});
            --entry.outstanding;
            const auto* failed = std::get_if<http_failure>(&outcome);
            const auto* response = std::get_if<http_response>(&outcome);
            if (failed != nullptr)
                entry.avoid_until = boot_clock::now() + entry_pause;
            else if (!FLAGS_direct && !response->keep_alive())
                entry.avoid_until = boot_clock::now() + leaving_pause;
            const bool repeat = FLAGS_direct && FLAGS_policy == "retry" &&
                                (response == nullptr || response->result_int() != 200);
            if (!repeat && (failed == nullptr || failed->sent || failed->timed_out))
                break;
        }
        finish(mix, id, key, due, outcome);
        --outstanding_;
    }

    void finish(const service_mix& mix, const std::string& id, const std::string& key, time_point due,
                const http_outcome& outcome)
    {
        const auto now = boot_clock::now();
        auto& report = reports_[mix.kind == "crash" ? mix.name + "!crash" : mix.name];
        const std::string place = mix.kind == "keyed" || mix.kind == "keyed-commit" ? key : "any";
        std::string kind = "lost";
        std::string code = "lost";
        if (const auto* response = std::get_if<http_response>(&outcome)) {
            kind = FLAGS_direct ? (response->result_int() == 200 ? "done" : "not_run")
                                : std::string{(*response)["tt-class"]};
            code = std::string{(*response)["tt-code"]};
            if (kind == "done" && !response->body().starts_with(id + " "))
                ++broken_;
        }
        ++report.classes[kind];
        ++report.codes[code];
        record("answer", id, mix.name, key, kind, now);
        if (kind == "done")
            report.latencies.push_back((now - due).count());
        if (kind != "refused")
            report.attempts[place].push_back({due, now, kind == "done"});
    }

    void record(const char* event, const std::string& id, const std::string& service, const std::string& key,
                const std::string& what, time_point at)
    {
        if (history_ != nullptr)
            std::fprintf(history_, "%s %lld id=%s service=%s key=%s what=%s\n", event,
                         static_cast<long long>(at.time_since_epoch().count()), id.c_str(), service.c_str(),
                         key.c_str(), what.c_str());
    }

public:
    ~load()
    {
        if (history_ != nullptr)
            std::fclose(history_);
    }
    load(const load&) = delete;
    load& operator=(const load&) = delete;
    load(load&&) = delete;
    load& operator=(load&&) = delete;

private:
    asio::io_context& io_;
    http_client client_;
    std::mt19937_64 random_;
    std::vector<entry_state> entries_;
    std::vector<service_mix> mixes_;
    std::map<std::string, service_report> reports_;
    std::FILE* history_ = nullptr;
    std::size_t turn_ = 0;
    std::uint64_t next_id_ = 1;
    std::uint64_t outstanding_ = 0;
    std::uint64_t broken_ = 0;
};

void print(const Json::Value& report)
{
    std::printf("%-22s %9s %9s %9s %9s %9s %9s %9s %9s %12s\n", "service", "done", "not_run", "unknown",
                "refused", "lost", "p50 ms", "p99 ms", "p99.9 ms", "unavail ms");
    for (const auto& name : report["services"].getMemberNames()) {
        const auto& entry = report["services"][name];
        const auto count = [&](const char* kind) { return entry["classes"].get(kind, 0).asUInt64(); };
        const auto in_ms = [&](const char* label) { return entry.get(label, 0).asDouble() / 1000.0; };
        std::printf("%-22s %9lu %9lu %9lu %9lu %9lu %9.2f %9.2f %9.2f %5ld/%5ld\n", name.c_str(),
                    count("done"), count("not_run"), count("unknown"), count("refused"), count("lost"),
                    in_ms("p50_us"), in_ms("p99_us"), in_ms("p999_us"),
                    entry["unavailable_median_ms"].asInt64(), entry["unavailable_max_ms"].asInt64());
    }
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage(
        "open-loop load\n  teaseltally_load --entries=127.0.0.1:8001 --mix=drog:100:keyed");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    try {
        asio::io_context io(1);
        load offered(io);
        asio::steady_timer limit(io,
                                 std::chrono::milliseconds{static_cast<std::int64_t>(FLAGS_seconds * 1e3)} +
                                     std::chrono::milliseconds{FLAGS_deadline_ms} + tail);
        limit.async_wait([&](boost::system::error_code) { io.stop(); });
        io.run();
        const auto report = offered.report();
        print(report);
        if (!FLAGS_report.empty())
            std::ofstream(FLAGS_report) << json_text(report) << "\n";
        return report["broken"].asUInt64() == 0 ? 0 : 1;
    }
    catch (const std::exception& problem) {
        std::cerr << "teaseltally_load: " << problem.what() << "\n";
        return 2;
    }
}
