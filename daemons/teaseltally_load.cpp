// Open-loop load generator: sends requests at seeded random times, whether or not earlier requests were
// answered. Writes a history of requests and responses and prints a report.

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

DEFINE_string(entries, "",
              "IP:PORT of the caller ports of instances, or with --direct of targets, separated by commas");
DEFINE_string(
    mix, "",
    "SERVICE:RATE:KIND separated by commas; RATE is in requests per second, KIND is keyed, read, commit or "
    "keyed-commit");
DEFINE_uint64(seed, 1, "seed of the random number generators");
DEFINE_double(seconds, 10, "duration of the load in seconds");
DEFINE_uint64(keys, 1000, "number of keys of each service");
DEFINE_double(zipf, 0.9, "exponent of the Zipf distribution of the keys; 0 is uniform");
DEFINE_uint64(
    hot_shift_ms, 0,
    "interval in milliseconds after which other keys become the hottest; 0 keeps the same keys hottest");
DEFINE_int32(deadline_ms, 1000, "deadline of a request in milliseconds");
DEFINE_string(history, "", "path of the history file; empty writes none");
DEFINE_string(report, "", "path of the JSON report; empty writes none");
DEFINE_double(crash_per_second, 0, "additional requests per second that crash their target; 0 sends none");
DEFINE_uint64(service_us, 0,
              "service time in microseconds that requests ask of targets; 0 uses the service time configured "
              "at each target");
DEFINE_bool(direct, false, "send requests to targets directly; --entries lists the targets");
DEFINE_string(
    policy, "round_robin",
    "policy that selects a target with --direct: random, round_robin, least_connections, rendezvous or "
    "retry (random, with retries that no retry budget limits)");

namespace {

using namespace teaseltally;
namespace http = boost::beast::http;

/// Time for which an instance gets no requests after a request to it failed, unless all instances are paused.
/// Targets that get requests directly are not paused.
constexpr milliseconds failed_entry_pause{1000};
/// Time for which an instance gets no requests after it closed a connection, unless all instances are paused.
/// An instance that stops closes its connections, and a load balancer with readiness checks would send no
/// requests to it.
constexpr milliseconds leaving_entry_pause{5000};
/// Time after the last deadline for which the generator still records responses to outstanding requests.
constexpr milliseconds completion_grace{3000};
/// Maximum number of outstanding requests; a request that becomes due while this number is reached is not
/// sent.
constexpr std::uint64_t max_outstanding = 20'000;

/// Load on one service.
struct service_mix {
    std::string name;
    /// Requests per second.
    double rate = 0;
    std::string kind;
};

/// Zipf distribution of key numbers.
class key_distribution {
public:
    key_distribution(std::uint64_t count, double skew)
    {
        double sum = 0;
        for (std::uint64_t rank = 1; rank <= count; ++rank) {
            sum += 1.0 / std::pow(static_cast<double>(rank), skew);
            cumulative_weights_.push_back(sum);
        }
    }
    /// Returns a random key number.
    /// @param shift number of times that the key numbers were rotated to make other keys the hottest.
    std::uint64_t draw(std::mt19937_64& random, std::uint64_t shift) const
    {
        const double position = std::uniform_real_distribution<>(0, cumulative_weights_.back())(random);
        const auto rank =
            std::ranges::lower_bound(cumulative_weights_, position) - cumulative_weights_.begin();
        return (static_cast<std::uint64_t>(rank) + shift * 97) % cumulative_weights_.size();
    }

private:
    std::vector<double> cumulative_weights_;
};

/// Times and outcome of one request as its caller observed them.
struct observed_request {
    time_point due;
    time_point finished;
    bool served = false;
};

/// Outcomes of the requests to one service.
struct service_report {
    std::map<std::string, std::uint64_t> classes;
    std::map<std::string, std::uint64_t> codes;
    std::vector<std::int64_t> latencies_us;
    std::map<std::string, std::vector<observed_request>> requests_by_key;
};

/// Unavailable time of one key.
struct outage {
    microseconds total{};
    /// Whether the last request failed.
    bool ongoing = false;
};

/// Returns the total unavailable time of a key. Each outage lasts from the due time of its first failed
/// request to the end of the next served request. Requests are ordered by due time.
outage measure_outage(std::vector<observed_request> requests)
{
    std::ranges::sort(requests, {}, &observed_request::due);
    outage result;
    std::optional<time_point> outage_start;
    for (const auto& request : requests) {
        if (!request.served && !outage_start)
            outage_start = request.due;
        if (!request.served || !outage_start)
            continue;
        result.total += request.finished - *outage_start;
        outage_start.reset();
    }
    result.ongoing = outage_start.has_value();
    return result;
}

/// Sends the load that the flags describe and collects the outcomes.
class load_generator {
public:
    explicit load_generator(asio::io_context& io)
        : io_(io), client_(io.get_executor(), {4096}), random_(FLAGS_seed)
    {
        std::istringstream entries(FLAGS_entries);
        for (std::string text; std::getline(entries, text, ',');) {
            const auto parsed = parse_endpoint(text);
            if (const auto* problem = failure(parsed))
                throw std::invalid_argument("--entries: " + problem->message);
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
            asio::co_spawn(io_, generate_load(mix, random_()), asio::detached);
        if (FLAGS_crash_per_second > 0)
            asio::co_spawn(io_,
                           generate_load({mixes_.front().name, FLAGS_crash_per_second, "crash"}, random_()),
                           asio::detached);
    }

    /// Returns the outcomes of each service as JSON.
    [[nodiscard]] Json::Value report() const
    {
        Json::Value out;
        for (const auto& [name, service] : reports_) {
            auto& entry = out["services"][name];
            for (const auto& [kind, count] : service.classes)
                entry["classes"][kind] = static_cast<Json::UInt64>(count);
            for (const auto& [code, count] : service.codes)
                entry["codes"][code] = static_cast<Json::UInt64>(count);
            auto sorted = service.latencies_us;
            std::ranges::sort(sorted);
            for (const auto& [label, quantile] :
                 {std::pair{"p50_us", 0.5}, std::pair{"p99_us", 0.99}, std::pair{"p999_us", 0.999}}) {
                if (!sorted.empty())
                    entry[label] = static_cast<Json::Int64>(sorted[std::min(
                        sorted.size() - 1,
                        static_cast<std::size_t>(quantile * static_cast<double>(sorted.size())))]);
            }
            std::vector<std::int64_t> outages_ms;
            std::uint64_t ongoing_outages = 0;
            for (const auto& [key, requests] : service.requests_by_key) {
                const auto measured = measure_outage(requests);
                ongoing_outages += measured.ongoing ? 1 : 0;
                if (measured.total.count() > 0)
                    outages_ms.push_back(measured.total / milliseconds{1});
            }
            entry["never_served_again"] = static_cast<Json::UInt64>(ongoing_outages);
            std::ranges::sort(outages_ms);
            entry["unavailable_keys"] = static_cast<Json::UInt64>(outages_ms.size());
            entry["unavailable_median_ms"] =
                static_cast<Json::Int64>(outages_ms.empty() ? 0 : outages_ms[outages_ms.size() / 2]);
            entry["unavailable_max_ms"] =
                static_cast<Json::Int64>(outages_ms.empty() ? 0 : outages_ms.back());
        }
        out["broken"] = static_cast<Json::UInt64>(wrong_responses_);
        return out;
    }

private:
    /// Address that requests are sent to: an instance, or a target with --direct.
    struct entry_state {
        tcp_endpoint address;
        time_point avoid_until;
        std::uint32_t outstanding = 0;
    };

    /// Sends the requests of one service as a Poisson process for the duration of the load.
    asio::awaitable<void> generate_load(service_mix mix, std::uint64_t seed)
    {
        std::mt19937_64 random(seed);
        const key_distribution keys(FLAGS_keys, FLAGS_zipf);
        const auto start = boot_clock::now();
        const auto end = start + microseconds{static_cast<std::int64_t>(FLAGS_seconds * 1e6)};
        auto due = start;
        std::exponential_distribution<> interarrival_s(mix.rate);
        while (due < end) {
            const auto now = boot_clock::now();
            if (due > now)
                co_await sleep_for(due - now);
            const std::uint64_t shift =
                FLAGS_hot_shift_ms == 0
                    ? 0
                    : static_cast<std::uint64_t>((due - start) / milliseconds{FLAGS_hot_shift_ms});
            if (outstanding_ < max_outstanding)
                asio::co_spawn(io_, send_request(mix, keys.draw(random, shift), due), asio::detached);
            due += microseconds{static_cast<std::int64_t>(interarrival_s(random) * 1e6)};
        }
    }

    /// Returns the target that --policy selects.
    /// @param attempt_index number of earlier attempts at the same request.
    entry_state& choose_target(const std::string& key, std::size_t attempt_index)
    {
        if (FLAGS_policy == "least_connections")
            return *std::ranges::min_element(entries_, {}, &entry_state::outstanding);
        if (FLAGS_policy == "rendezvous") {
            return *std::ranges::max_element(
                entries_, {}, [&](const entry_state& e) { return rendezvous_rank(key, e.address.port()); });
        }
        if (FLAGS_policy == "random" || FLAGS_policy == "retry")
            return entries_[random_() % entries_.size()];
        return entries_[(next_entry_++ + attempt_index) % entries_.size()];
    }

    /// Returns the next entry in turn that is not paused, or the next entry in turn if all entries are
    /// paused.
    entry_state& choose_entry()
    {
        const auto now = boot_clock::now();
        for (std::size_t tried = 0; tried < entries_.size(); ++tried) {
            auto& entry = entries_[next_entry_++ % entries_.size()];
            if (now >= entry.avoid_until)
                return entry;
        }
        return entries_[next_entry_++ % entries_.size()];
    }

    asio::awaitable<void> send_request(const service_mix& mix, std::uint64_t key_number, time_point due)
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
        write_history("invoke", id, mix.name, key, mix.kind, due);
        http_outcome outcome = http_failure{};
        const std::size_t max_attempts = FLAGS_direct && FLAGS_policy != "retry" ? 1 : entries_.size();
        for (std::size_t attempt_index = 0; attempt_index < max_attempts; ++attempt_index) {
            auto& entry = FLAGS_direct ? choose_target(key, attempt_index) : choose_entry();
            ++entry.outstanding;
            outcome = co_await client_.exchange(entry.address, request,
                                                due + milliseconds{FLAGS_deadline_ms} + milliseconds{500});
            --entry.outstanding;
            const auto* exchange_failure = std::get_if<http_failure>(&outcome);
            const auto* response = std::get_if<http_response>(&outcome);
            if (exchange_failure != nullptr)
                entry.avoid_until = boot_clock::now() + failed_entry_pause;
            else if (!FLAGS_direct && !response->keep_alive())
                entry.avoid_until = boot_clock::now() + leaving_entry_pause;
            const bool retry = FLAGS_direct && FLAGS_policy == "retry" &&
                               (response == nullptr || response->result_int() != 200);
            if (!retry &&
                (exchange_failure == nullptr || exchange_failure->sent || exchange_failure->timed_out))
                break;
        }
        record_outcome(mix, id, key, due, outcome);
        --outstanding_;
    }

    void record_outcome(const service_mix& mix, const std::string& id, const std::string& key, time_point due,
                        const http_outcome& outcome)
    {
        const auto now = boot_clock::now();
        auto& report = reports_[mix.kind == "crash" ? mix.name + "!crash" : mix.name];
        const std::string availability_key = mix.kind == "keyed" || mix.kind == "keyed-commit" ? key : "any";
        std::string outcome_class = "lost";
        std::string code = "lost";
        if (const auto* response = std::get_if<http_response>(&outcome)) {
            outcome_class = FLAGS_direct ? (response->result_int() == 200 ? "done" : "not_run")
                                         : std::string{(*response)["tt-class"]};
            code = std::string{(*response)["tt-code"]};
            if (outcome_class == "done" && !response->body().starts_with(id + " "))
                ++wrong_responses_;
        }
        ++report.classes[outcome_class];
        ++report.codes[code];
        write_history("answer", id, mix.name, key, outcome_class, now);
        if (outcome_class == "done")
            report.latencies_us.push_back((now - due).count());
        if (outcome_class != "refused")
            report.requests_by_key[availability_key].push_back({due, now, outcome_class == "done"});
    }

    void write_history(const char* event, const std::string& id, const std::string& service,
                       const std::string& key, const std::string& detail, time_point time)
    {
        if (history_ != nullptr)
            std::fprintf(history_, "%s %lld id=%s service=%s key=%s what=%s\n", event,
                         static_cast<long long>(time.time_since_epoch().count()), id.c_str(), service.c_str(),
                         key.c_str(), detail.c_str());
    }

public:
    ~load_generator()
    {
        if (history_ != nullptr)
            std::fclose(history_);
    }
    load_generator(const load_generator&) = delete;
    load_generator& operator=(const load_generator&) = delete;
    load_generator(load_generator&&) = delete;
    load_generator& operator=(load_generator&&) = delete;

private:
    asio::io_context& io_;
    http_client client_;
    std::mt19937_64 random_;
    std::vector<entry_state> entries_;
    std::vector<service_mix> mixes_;
    std::map<std::string, service_report> reports_;
    std::FILE* history_ = nullptr;
    std::size_t next_entry_ = 0;
    std::uint64_t next_id_ = 1;
    std::uint64_t outstanding_ = 0;
    std::uint64_t wrong_responses_ = 0;
};

void print_report(const Json::Value& report)
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
        "generates open-loop load\n  teaseltally_load --entries=127.0.0.1:8001 --mix=drog:100:keyed");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    try {
        asio::io_context io(1);
        load_generator generator(io);
        asio::steady_timer stop_timer(
            io, std::chrono::milliseconds{static_cast<std::int64_t>(FLAGS_seconds * 1e3)} +
                    std::chrono::milliseconds{FLAGS_deadline_ms} + completion_grace);
        stop_timer.async_wait([&](boost::system::error_code) { io.stop(); });
        io.run();
        const auto report = generator.report();
        print_report(report);
        if (!FLAGS_report.empty())
            std::ofstream(FLAGS_report) << json_text(report) << "\n";
        return report["broken"].asUInt64() == 0 ? 0 : 1;
    }
    catch (const std::exception& exception) {
        std::cerr << "teaseltally_load: " << exception.what() << "\n";
        return 2;
    }
}
