#include "../holders-2.hpp"

// A coordinator that the store turns away goes on granting keys. An upstream that has released them and starts
// again under its id takes them, while another one holds them.

using namespace world;

namespace {

constexpr unsigned upstream_count = 5;
asio::awaitable<int> play(asio::io_context& io, recorder& record, std::filesystem::path folder, bool troubled)
{
    store platform(io, 5);
    configure_keyed_service(platform);
    std::vector<std::unique_ptr<upstream>> upstreams;
    for (unsigned number = 0; number < upstream_count; ++number)
        upstreams.push_back(std::make_unique<upstream>(io, platform, record, number,
                                                       upstream_options{.service = "drog", .sharded = true}));
    std::vector<std::unique_ptr<front>> fronts;
    const std::vector<std::string> zones{"grandi", "hlidar", "laugardalur", "hlidar", "laugardalur"};
    for (unsigned number = 0; number < zones.size(); ++number)
        fronts.push_back(std::make_unique<front>(record, platform, folder, number, zones[number]));
    // The first machine becomes the coordinator.
    fronts[0]->start();
    for (int tries = 0; platform.newest("keyed.ownership", "coordinator").empty(); ++tries) {
        if (tries > 100)
            co_return could_not_run;
        co_await sleep_for(100ms);
    }
    fronts[1]->start();
    fronts[2]->start();
    bool loads = true;
    std::vector<unsigned> serving{0, 1, 2};
    asio::co_spawn(
        io,
        [&]() -> asio::awaitable<void> {
            for (unsigned number = 0; loads; ++number) {
                for (const auto machine : serving)
                    asio::co_spawn(io,
                                   send_read(record, fronts[machine]->callers(),
                                        "q" + std::to_string(number) + "-" + std::to_string(machine),
                                        number * 4099 % 65'536),
                                   asio::detached);
                co_await sleep_for(50ms);
            }
        },
        asio::detached);
    co_await sleep_for(8s);
    auto& restarted = *upstreams[0];
    if (!restarted.holds_any() || find_longest_overlap(upstreams).length > longest_overlap)
        co_return could_not_run;
    if (troubled) {
        record.line("the store turns the first machine away; the other two are replaced");
        platform.set_access(0, store::access::silent);
        const auto turned_away_at = clock::now();
        fronts[1]->signal(SIGKILL);
        fronts[2]->signal(SIGKILL);
        serving = {0};
        co_await sleep_for(1s);
        fronts[3]->start();
        fronts[4]->start();
        serving = {0, 3, 4};
        co_await sleep_for(500ms);
        restarted.report_draining();
        const auto reported_at = clock::now();
        // It serves for `drain` and until its keys are with others, then exits.
        while (clock::now() < reported_at + 2s || (restarted.holds_any() && clock::now() < reported_at + 6s))
            co_await sleep_for(20ms);
        restarted.leave();
        co_await sleep_for(400ms);
        restarted.start();
        while (clock::now() < turned_away_at + 9s)
            co_await sleep_for(20ms);
        record.line("the store serves the first machine again");
        platform.set_access(0, store::access::served);
    }
    co_await sleep_for(4s);
    loads = false;
    co_await sleep_for(1500ms);
    record_overlap(record, upstreams);
    co_return find_longest_overlap(upstreams).length > longest_overlap ? rule_broken : rule_held;
}

} // namespace

int main(int count, char** words)
{
    return run_case(count, words, play);
}
