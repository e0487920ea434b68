#include "../holders-2.hpp"

// A coordinator that the store turns away goes on granting keys until it learns of its successor from the other
// machines. An upstream that has released its keys to the successor and starts again under its id takes them.

using namespace world;

namespace {

constexpr unsigned upstream_count = 5;
constexpr unsigned front_count = 4;
/// Time from the end of the upstream's process to its next start.
constexpr auto restart_delay = 150ms;
/// Longest time for which the store turns a machine away.
constexpr auto longest_rejection = 9s;

asio::awaitable<int> play(asio::io_context& io, recorder& record, std::filesystem::path folder, bool troubled)
{
    store platform(io, front_count);
    configure_keyed_service(platform);
    std::vector<std::unique_ptr<upstream>> upstreams;
    for (unsigned number = 0; number < upstream_count; ++number)
        upstreams.push_back(std::make_unique<upstream>(io, platform, record, number,
                                                       upstream_options{.service = "drog", .sharded = true}));
    std::vector<std::unique_ptr<front>> fronts;
    const std::vector<std::string> zones{"grandi", "hlidar", "laugardalur", "grandi"};
    for (unsigned number = 0; number < front_count; ++number)
        fronts.push_back(std::make_unique<front>(record, platform, folder, number, zones[number]));
    // The first machine becomes the coordinator.
    fronts[0]->start();
    for (int tries = 0; platform.newest("keyed.ownership", "coordinator").empty(); ++tries) {
        if (tries > 100)
            co_return could_not_run;
        co_await sleep_for(100ms);
    }
    for (unsigned number = 1; number < front_count; ++number)
        fronts[number]->start();
    bool loads = true;
    asio::co_spawn(
        io,
        [&]() -> asio::awaitable<void> {
            for (unsigned number = 0; loads; ++number) {
                for (unsigned machine = 0; machine < front_count; ++machine)
                    asio::co_spawn(io,
                                   send_read(record, fronts[machine]->callers(),
                                             "q" + std::to_string(number) + "-" + std::to_string(machine),
                                             number * 4099 % 65'536),
                                   asio::detached);
                co_await sleep_for(100ms);
            }
        },
        asio::detached);
    co_await sleep_for(5s);
    auto& restarted = *upstreams[0];
    if (!restarted.holds_any() || find_longest_overlap(upstreams).length > longest_overlap)
        co_return could_not_run;
    const auto began_at = clock::now();
    if (troubled) {
        record.line("the store turns the coordinator away");
        platform.set_access(0, store::access::silent);
    }
    co_await sleep_for(300ms);
    restarted.report_draining();
    const auto reported_at = clock::now();
    // It serves for `drain` and until its keys are with others, then exits and starts again.
    while (clock::now() < reported_at + 2s || (restarted.holds_any() && clock::now() < reported_at + 6s))
        co_await sleep_for(10ms);
    restarted.leave();
    co_await sleep_for(restart_delay);
    restarted.start();
    co_await sleep_for(2500ms);
    if (troubled && clock::now() < began_at + longest_rejection) {
        record.line("the store serves all machines again");
        platform.set_access(0, store::access::served);
    }
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
