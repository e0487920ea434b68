#include "support/soak_site.hpp"

#include <boost/asio/detached.hpp>

#include <csignal>
#include <fstream>
#include <gflags/gflags.h>
#include <iostream>

/// @file
/// Soak: real processes under overlapping series of disturbances, judged by what callers and targets saw.

DEFINE_string(site, "obmh-gateway", "deployment: obmh-gateway or lysing-gw");
DEFINE_uint64(first, 1, "first seed");
DEFINE_uint64(count, 1, "number of seeds");
DEFINE_uint32(seconds, 20, "length of the disturbances of one seed");
DEFINE_string(front, "", "program of the instances; default: the one that was built with the tests");
DEFINE_string(only, "", "kinds of disturbance that may come, separated by commas; default: all");
DEFINE_string(failures, "", "ways in which targets may fail, separated by commas; default: all");
DEFINE_uint32(series, 0, "number of series of disturbances; 0: 3 to 6, by the seed");
DEFINE_double(rate, 1, "factor on the rate of requests");
DEFINE_string(keep, "", "folder to which logs and findings of a seed with a broken promise are copied");
DEFINE_bool(late_bytes, false, "deliver bytes that were held although their sender has reset the connection");

namespace teaseltally::test {
namespace {

constexpr milliseconds lead_time{4000};

/// One series of disturbances: `count` times `kind`, with `gap` in between.
struct series {
    std::string kind;
    milliseconds begins{};
    unsigned count = 1;
    milliseconds gap{};
    milliseconds duration{};
};

const std::vector<std::string> kinds{
    "kill",         "herd",         "pause",        "replace",   "target_end", "target_hold",
    "target_delay", "target_reset", "target_fails", "links_cut", "store_cut",  "store_away",
    "reload",       "load",         "impatient",    "lethal",    "rest"};

struct named_failure {
    std::string name;
    target_failure failure;
};

const std::vector<named_failure> soak_failures{{"reset", target_failure::reset},
                                               {"closed", target_failure::closed},
                                               {"half_head", target_failure::half_head},
                                               {"half_body", target_failure::half_body},
                                               {"without_id", target_failure::without_id},
                                               {"silence", target_failure::silence},
                                               {"signed_503", target_failure::signed_503},
                                               {"signed_429", target_failure::signed_429},
                                               {"late_refusal", target_failure::late_refusal},
                                               {"repeated_refusal", target_failure::repeated_refusal}};

/// Returns whether a name is in a list of names separated by commas, or the list is empty.
bool is_listed(const std::string& list, const std::string& name)
{
    return list.empty() || ("," + list + ",").find("," + name + ",") != std::string::npos;
}

/// Returns the series of a seed, at least one of which begins early.
std::vector<series> plan_of(std::mt19937_64& random)
{
    std::vector<std::string> allowed;
    std::ranges::copy_if(kinds, std::back_inserter(allowed),
                         [](const std::string& kind) { return is_listed(FLAGS_only, kind); });
    constexpr unsigned min_series = 3;
    constexpr unsigned more_series = 4;
    const auto between = [&](long low, long high) {
        return milliseconds{std::uniform_int_distribution<long>(low, high)(random)};
    };
    if (allowed.empty())
        throw std::runtime_error("no kind of disturbance is named \"" + FLAGS_only + "\"");
    std::vector<series> planned;
    const auto drawn = min_series + random() % more_series;
    const auto count = FLAGS_series > 0 ? FLAGS_series : drawn;
    for (unsigned index = 0; index < count; ++index)
        planned.push_back({allowed[random() % allowed.size()],
                           index == 0 ? milliseconds{0} : between(0, FLAGS_seconds * 700L),
                           static_cast<unsigned>(1 + random() % 6), between(100, 2500), between(200, 4000)});
    return planned;
}

/// Carries out disturbances.
class disturber {
public:
    disturber(soak_site& site, std::uint64_t seed) : site_(site), random_(seed) {}

    asio::awaitable<void> play(series planned)
    {
        co_await sleep_for(planned.begins);
        for (unsigned turn = 0; turn < planned.count && !ended_; ++turn) {
            asio::co_spawn(site_.site.io, begin(planned), asio::detached);
            co_await sleep_for(planned.gap);
        }
    }
    /// Begins no further disturbances and waits for the end of those in progress.
    asio::awaitable<void> end()
    {
        ended_ = true;
        while (in_progress_ > 0)
            co_await sleep_for(milliseconds{50});
    }

private:
    asio::awaitable<void> begin(series planned)
    {
        const count_guard active(in_progress_);
        auto& site = site_.site;
        const auto front = site_.any_running(random_);
        const auto target = random_() % site_.target_count();
        const auto& kind = planned.kind;
        if (kind == "kill" && front)
            co_await site_.kill(*front, planned.duration / 4);
        else if (kind == "pause" && front)
            co_await site_.pause(*front, planned.duration);
        else if (kind == "replace" && front)
            co_await site_.replace(*front);
        else if (kind == "reload" && front)
            site.fronts[*front]->signal(SIGHUP);
        else if (kind == "herd")
            herd(planned);
        else if (kind == "target_end")
            site.targets[target]->end();
        else if (kind == "target_reset")
            site_.proxy(target).reset_connections();
        else if (kind == "target_fails")
            co_await fail_targets(planned.duration);
        else if (kind.starts_with("target_"))
            co_await disturb_links(kind, planned.duration);
        else if (kind == "links_cut" && front)
            co_await cut_links(*front, planned.duration);
        else if (kind == "store_cut" && front)
            co_await cut_store(*front, planned.duration);
        else if (kind == "store_away")
            co_await lose_store(planned.duration);
        else if (kind == "lethal")
            co_await repeat_lethal(planned.duration);
        else if (kind == "rest")
            co_await rest_targets(planned.duration);
        else if (kind == "load" || kind == "impatient")
            co_await press(kind, planned.duration);
    }
    void herd(const series& planned)
    {
        const bool all = random_() % 3 == 0;
        for (std::size_t front = 0; front < site_.site.fronts.size(); ++front)
            if (site_.state(front) == process_state::running && (all || random_() % 2 == 0))
                asio::co_spawn(site_.site.io, kill(front, planned.duration / 4), asio::detached);
    }
    asio::awaitable<void> kill(std::size_t front, milliseconds down)
    {
        const count_guard active(in_progress_);
        co_await site_.kill(front, down);
    }
    asio::awaitable<void> fail_targets(milliseconds duration)
    {
        std::vector<target_failure> allowed;
        for (const auto& [name, failure] : soak_failures)
            if (is_listed(FLAGS_failures, name))
                allowed.push_back(failure);
        const auto failure = allowed.at(random_() % allowed.size());
        std::vector<std::size_t> failing;
        for (std::size_t target = 0; target < site_.target_count(); ++target)
            if (random_() % 3 == 0)
                failing.push_back(target);
        const bool sheds = random_() % 2 == 0;
        for (const auto target : failing) {
            site_.site.targets[target]->set_failure(failure);
            site_.site.targets[target]->set_shedding(sheds);
        }
        co_await sleep_for(duration);
        for (const auto target : failing) {
            site_.site.targets[target]->set_failure(target_failure::none);
            site_.site.targets[target]->set_shedding(false);
        }
    }
    asio::awaitable<void> repeat_lethal(milliseconds duration)
    {
        // All series of a seed send the same request.
        constexpr std::size_t service = 0;
        const auto until = boot_clock::now() + duration;
        while (boot_clock::now() < until) {
            asio::co_spawn(site_.site.io, site_.send_lethal(service), asio::detached);
            co_await sleep_for(return_interval);
        }
    }
    asio::awaitable<void> rest_targets(milliseconds duration)
    {
        constexpr unsigned shortest_ms = 500;
        constexpr unsigned spread_ms = 3000;
        const auto rest = shortest_ms + random_() % spread_ms;
        std::vector<std::size_t> resting;
        for (std::size_t target = 0; target < site_.target_count(); ++target)
            if (random_() % 3 == 0)
                resting.push_back(target);
        for (const auto target : resting)
            site_.site.targets[target]->ask_for_rest(format_seconds(milliseconds{rest}));
        co_await sleep_for(duration);
        for (const auto target : resting)
            site_.site.targets[target]->ask_for_rest(std::nullopt);
    }
    asio::awaitable<void> disturb_links(std::string kind, milliseconds duration)
    {
        link_condition condition;
        condition.delivers_abandoned = FLAGS_late_bytes;
        if (kind == "target_delay")
            condition.delay = milliseconds{static_cast<long>(20 + random_() % 600)};
        else {
            const auto ways = random_() % 3;
            condition.holds_requests = ways != 1;
            condition.holds_responses = ways != 2;
        }
        std::vector<std::size_t> disturbed;
        for (std::size_t target = 0; target < site_.target_count(); ++target)
            if (random_() % 4 == 0)
                disturbed.push_back(target);
        for (const auto target : disturbed)
            site_.proxy(target).set_condition(condition);
        co_await sleep_for(duration);
        for (const auto target : disturbed)
            site_.proxy(target).set_condition({});
    }
    asio::awaitable<void> cut_links(std::size_t front, milliseconds duration)
    {
        std::vector<std::size_t> fronts{front};
        for (std::size_t other = 0; other < site_.site.fronts.size(); ++other)
            if (other != front && random_() % 3 == 0)
                fronts.push_back(other);
        std::vector<time_point*> ends;
        ends.reserve(fronts.size());
        for (const auto cut : fronts)
            ends.push_back(&site_.begin_disturbance(cut));
        const auto links = random_() % 2 == 0 ? target_links::refused : target_links::silent;
        site_.site.set_target_links(fronts, links,
                                    links == target_links::refused ? open_connections::reset
                                                                   : open_connections::silent);
        co_await sleep_for(duration);
        site_.site.set_target_links(fronts, target_links::open, open_connections::usable);
        for (auto* end : ends)
            *end = boot_clock::now();
    }
    asio::awaitable<void> cut_store(std::size_t front, milliseconds duration)
    {
        auto& ends_at = site_.begin_disturbance(front);
        site_.site.store.set_access(front, random_() % 2 == 0 ? store_access::refused : store_access::silent);
        co_await sleep_for(duration);
        site_.site.store.set_access(front, store_access::served);
        ends_at = boot_clock::now();
    }
    asio::awaitable<void> lose_store(milliseconds duration)
    {
        if (store_is_away_)
            co_return;
        store_is_away_ = true;
        // While the store is disturbed no instance is in touch.
        std::vector<time_point*> ends;
        ends.reserve(site_.site.fronts.size());
        for (std::size_t front = 0; front < site_.site.fronts.size(); ++front)
            ends.push_back(&site_.begin_disturbance(front));
        site_.site.store.go_away(random_() % 2 == 0 ? store_access::refused : store_access::silent);
        co_await sleep_for(duration);
        site_.site.store.return_from_copy(milliseconds{random_() % 2 == 0 ? 0 : 2000});
        store_is_away_ = false;
        for (auto* end : ends)
            *end = boot_clock::now();
    }
    asio::awaitable<void> press(std::string kind, milliseconds duration)
    {
        constexpr double factor = 2.5;
        if (kind == "load")
            site_.set_load(factor);
        else
            site_.set_impatient(true);
        co_await sleep_for(duration);
        site_.set_load(1);
        site_.set_impatient(false);
    }

    soak_site& site_;
    std::mt19937_64 random_;
    bool ended_ = false;
    bool store_is_away_ = false;
    std::size_t in_progress_ = 0;
};

void print_plan(std::ostream& out, const std::vector<series>& planned)
{
    for (const auto& one : planned)
        out << "  " << one.kind << " from " << one.begins.count() << " ms, " << one.count << " times every "
            << one.gap.count() << " ms, for " << one.duration.count() << " ms\n";
}

void keep_logs(const soak_site& site, const soak_history& history, std::uint64_t seed)
{
    if (FLAGS_keep.empty())
        return;
    const auto folder = std::filesystem::path{FLAGS_keep} / (FLAGS_site + "-" + std::to_string(seed));
    std::filesystem::create_directories(folder);
    std::filesystem::copy(site.site.folder(), folder,
                          std::filesystem::copy_options::recursive |
                              std::filesystem::copy_options::overwrite_existing);
    const auto start = history.calls.front().sent;
    const auto ms = [&](time_point time) {
        return std::chrono::duration_cast<milliseconds>(time - start).count();
    };
    std::ofstream out(folder / "history.txt");
    for (const auto& call : history.calls)
        out << "call " << call.id << " front=" << call.front << " sent=" << ms(call.sent)
            << " ended=" << ms(call.ended) << " status=" << call.status << " cut=" << call.was_cut
            << " disturbed=" << call.process_disturbed << "\n";
    for (const auto& arrival : history.arrivals)
        out << "arrival " << arrival.request_id << " target=" << arrival.target << " at=" << ms(arrival.at)
            << " left=" << arrival.time_left.count() << "\n";
    for (const auto& run : history.runs)
        if (run.started)
            out << "run " << run.request_id << " target=" << run.target << " at=" << ms(*run.started) << "\n";
}

/// Plays one seed.
/// @returns whether all promises were kept.
bool play(const site_plan& plan, std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    const auto planned = plan_of(random);
    std::cout << plan.name << " seed " << seed << "\n";
    print_plan(std::cout, planned);
    soak_site site(plan, FLAGS_front, random());
    disturber trouble(site, random());
    run(site.site.io, [&]() -> asio::awaitable<void> {
        co_await site.start();
        co_await sleep_for(lead_time);
        for (const auto& one : planned)
            asio::co_spawn(site.site.io, trouble.play(one), asio::detached);
        co_await sleep_for(std::chrono::seconds{FLAGS_seconds});
        co_await trouble.end();
        co_await sleep_for(lead_time);
        co_await site.stop_callers();
    });
    const auto history = site.history();
    const auto findings = judge(history);
    std::map<unsigned, std::size_t> statuses;
    for (const auto& call : history.calls)
        ++statuses[call.status];
    std::cout << "  " << history.calls.size() << " requests:";
    for (const auto& [status, count] : statuses)
        std::cout << " " << status << ": " << count;
    std::cout << "\n";
    for (const auto& [service, peak] : retry_peaks(history))
        std::cout << "  " << service << ": at most " << peak.arrivals << " repeats in 10 s, " << peak.limit
                  << " allowed\n";
    for (const auto& finding : findings)
        std::cout << "  " << finding.rule << ": " << finding.text << "\n";
    std::cout << "  " << (findings.empty() ? "held" : "BROKEN") << std::endl;
    if (!findings.empty())
        keep_logs(site, history, seed);
    return findings.empty();
}

} // namespace
} // namespace teaseltally::test

int main(int argc, char** argv)
{
    using namespace teaseltally::test;
    gflags::SetUsageMessage("disturbs real processes and checks what callers and targets saw");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto& sites = soak_sites();
    const auto found = std::ranges::find(sites, FLAGS_site, &site_plan::name);
    if (found == sites.end()) {
        std::cerr << "soak: unknown deployment \"" << FLAGS_site << "\"\n";
        return 2;
    }
    auto plan = *found;
    for (auto& service : plan.services)
        service.rate *= FLAGS_rate;
    std::uint64_t broken = 0;
    for (std::uint64_t seed = FLAGS_first; seed < FLAGS_first + FLAGS_count; ++seed)
        broken += play(plan, seed) ? 0 : 1;
    std::cout << FLAGS_count << " seeds, " << broken << " with a broken promise" << std::endl;
    return broken == 0 ? 0 : 1;
}
