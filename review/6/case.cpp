#include "../world-2.hpp"

// A coordinator that the store turns away goes on granting keys. An upstream that has released them and starts
// again under its id takes them, while another one holds them.

using namespace world;

namespace {

constexpr unsigned upstream_count = 5;
/// Longest time that two holders of one key may overlap (rule OWNER).
constexpr auto longest_overlap = 500ms;

struct overlap {
    hold left;
    hold right;
    milliseconds length{0};
};

/// Returns the longest time in which two upstreams held the same keys.
overlap longest(const std::vector<std::unique_ptr<upstream>>& upstreams)
{
    std::vector<hold> holds;
    for (const auto& one : upstreams)
        holds.insert(holds.end(), one->holds().begin(), one->holds().end());
    overlap worst;
    const auto now = clock::now();
    for (const auto& left : holds)
        for (const auto& right : holds) {
            if (left.life.substr(0, left.life.find('/')) == right.life.substr(0, right.life.find('/')) ||
                left.first > right.last || right.first > left.last)
                continue;
            const auto begin = std::max(left.from, right.from);
            const auto end = std::min({left.until, right.until, now});
            const auto length = std::chrono::duration_cast<milliseconds>(end - begin);
            if (length > worst.length)
                worst = {left, right, length};
        }
    return worst;
}

asio::awaitable<void> send(recorder& record, tcp::endpoint to, std::string id, unsigned key)
{
    auto request = make_request(http::verb::get, "h.example", "/drafts/1", id, 1200);
    request.set("X-Shard-Key", std::to_string(key));
    record.line("client sends", id, "key", key);
    const auto got = co_await call(to, std::move(request), 1500ms);
    record.line("client gets", id, got.status);
}

asio::awaitable<int> play(asio::io_context& io, recorder& record, std::filesystem::path folder, bool troubled)
{
    store platform(io, 5);
    platform.put("keyed.op", "config",
                 configuration("00000001",
                               R"(["r-1","h.example","/drafts/","safe","1200ms","500ms",2,null,2,"drog"])",
                               R"(["drog","/health",130,"h1",false,true,"2s","direct_call"])"));
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
                                   send(record, fronts[machine]->callers(),
                                        "q" + std::to_string(number) + "-" + std::to_string(machine),
                                        number * 4099 % 65'536),
                                   asio::detached);
                co_await sleep_for(50ms);
            }
        },
        asio::detached);
    co_await sleep_for(8s);
    auto& restarted = *upstreams[0];
    if (!restarted.holds_any() || longest(upstreams).length > longest_overlap)
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
    const auto worst = longest(upstreams);
    record.line("longest overlap", worst.length.count(), "ms:", worst.left.life, "fence", worst.left.fence, "and",
                worst.right.life, "fence", worst.right.fence, "keys", worst.left.first, "to", worst.left.last);
    // Requests that an upstream began on a key that another one held as well.
    std::map<std::string, unsigned> begun_twice_held;
    for (const auto& one : upstreams)
        for (const auto& begun : one->runs())
            for (const auto& other : upstreams)
                if (other != one && std::ranges::any_of(other->holds(), [&](const hold& held) {
                        return begun.key && *begun.key >= held.first && *begun.key <= held.last &&
                               begun.began >= held.from && begun.began <= held.until;
                    }))
                    ++begun_twice_held[begun.upstream];
    for (const auto& [life, requests] : begun_twice_held)
        record.line("requests begun by", life, "on keys that another upstream held as well:", requests);
    co_return worst.length > longest_overlap ? rule_broken : rule_held;
}

} // namespace

int main(int count, char** words)
{
    return run_case(count, words, play);
}
