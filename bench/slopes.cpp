// Marginal costs of the core: time and bytes for each record, slot, member, heartbeat, start mark and
// snapshot chunk.

#include <teaseltally/coordinator.hpp>
#include <teaseltally/idempotency.hpp>
#include <teaseltally/placement.hpp>
#include <teaseltally/request_policy.hpp>
#include <teaseltally/snapshot.hpp>

#include <benchmark/benchmark.h>
#include <malloc.h>

namespace {

using namespace teaseltally;

/// Number of slots in a slot move record.
constexpr std::size_t moves_per_record = 256;

/// Size of a simulated deployment.
struct deployment_size {
    std::size_t data_centres = 5;
    std::size_t voter_groups_per_data_centre = 36;
    std::size_t sessions = 890;
    std::size_t targets = 2000;
    std::size_t slots = 1'000'000;
};

/// Returns the bytes in use on the heap.
double heap_bytes()
{
    return static_cast<double>(mallinfo2().uordblks);
}

/// Returns a configuration of the given size with one keyed service.
configuration_documents make_documents(const deployment_size& size)
{
    std::string base = "[deployment]\nname = bench\nseed = 1\n";
    for (std::size_t index = 0; index < size.data_centres; ++index)
        base += "[data_centre.dc" + std::to_string(index) +
                "]\nregion = r\ncells = " + std::to_string(size.voter_groups_per_data_centre) + "\n";
    base += "[service.keyed]\nkeyed = true\nslots = " + std::to_string(size.slots) + "\n";
    for (std::size_t index = 0; index < size.targets; ++index) {
        const std::string index_text = std::to_string(index);
        base += "[target.t" + index_text + "]\nservice = keyed\ndata_centre = dc" +
                std::to_string(index % size.data_centres) + "\naddress = 127.0.0.1:1\nslots = 4\n";
    }
    return {base, {}};
}

/// Returns a state of the given size in which every slot has an owner.
cluster_state make_state(const deployment_size& size)
{
    cluster_state state;
    std::uint64_t offset = 0;
    const auto apply = [&](std::uint64_t session, record_body body) {
        ++offset;
        (void)state.apply(epoch{offset}, {session_id{session}, offset, std::move(body)});
    };
    apply(1, configuration_publish{0, make_documents(size)});
    for (std::size_t index = 0; index < size.sessions; ++index) {
        const std::string data_centre = "dc" + std::to_string(index % size.data_centres);
        const auto group =
            static_cast<std::uint32_t>(index / size.data_centres % size.voter_groups_per_data_centre);
        apply(100 + index,
              session_join{"instance-" + std::to_string(index), data_centre, group, "127.0.0.1", 9});
        const std::string name = voter_group_name(data_centre, group);
        const auto found = state.voter_groups().find(name);
        apply(100 + index,
              voter_change{name, found == state.voter_groups().end() ? no_epoch : found->second.since,
                           session_id{100 + index}, true,
                           found == state.voter_groups().end() ? std::vector<session_id>{}
                                                               : found->second.voters});
    }
    for (std::size_t first = 0; first < size.slots; first += moves_per_record) {
        slot_move move{service_id{0}, {}};
        for (std::size_t slot = first; slot < std::min(first + moves_per_record, size.slots); ++slot)
            move.slots.push_back({slot_id{static_cast<std::uint32_t>(slot)}, no_epoch,
                                  target_id{static_cast<std::uint32_t>(slot % size.targets)}});
        apply(1, std::move(move));
    }
    return state;
}

/// Returns the size of a deployment of 9 sessions and 24 targets with the given number of slots.
deployment_size small_deployment(std::size_t slots)
{
    return {2, 1, 9, 24, slots};
}

/// Measures the application of a slot move record and of the record that releases the moved slots.
void apply_move_record(benchmark::State& bench)
{
    auto state = make_state(small_deployment(static_cast<std::size_t>(bench.range(0))));
    std::uint64_t offset = number(state.position());
    std::uint32_t round = 0;
    for (auto _ : bench) {
        slot_move move{service_id{0}, {}};
        slots_released released{service_id{0}, {}};
        for (std::uint32_t entry = 0; entry < moves_per_record; ++entry) {
            const slot_id slot{(round * 256 + entry) % static_cast<std::uint32_t>(bench.range(0))};
            const auto& current = state.services()[0].slots[number(slot)];
            move.slots.push_back({slot, current.since, target_id{(number(current.owner) + 1) % 24}});
        }
        ++round;
        ++offset;
        (void)state.apply(epoch{offset}, {session_id{1}, offset, move});
        for (const auto& entry : move.slots)
            released.slots.push_back({entry.slot, epoch{offset}});
        ++offset;
        (void)state.apply(epoch{offset}, {session_id{1}, offset, released});
    }
    bench.counters["ns_per_slot_moved"] =
        benchmark::Counter(static_cast<double>(moves_per_record),
                           benchmark::Counter::kIsIterationInvariantRate | benchmark::Counter::kInvert);
}
BENCHMARK(apply_move_record)->Arg(10'000)->Arg(1'000'000);

void decode_move_record(benchmark::State& bench)
{
    slot_move move{service_id{0}, {}};
    for (std::uint32_t entry = 0; entry < moves_per_record; ++entry)
        move.slots.push_back({slot_id{entry}, epoch{1'000'000 + entry}, target_id{entry}});
    const std::string text = encode({session_id{1ULL << 60U}, 1, move});
    for (auto _ : bench)
        benchmark::DoNotOptimize(decode_record(text, "bench"));
    bench.counters["bytes"] = static_cast<double>(text.size());
    bench.counters["bytes_per_slot"] =
        static_cast<double>(text.size()) / static_cast<double>(moves_per_record);
}
BENCHMARK(decode_move_record);

/// Measures the heap bytes of a cluster state for each slot.
void state_memory(benchmark::State& bench)
{
    const auto size = small_deployment(static_cast<std::size_t>(bench.range(0)));
    for (auto _ : bench) {
        const double before = heap_bytes();
        const auto state = make_state(size);
        const double used = heap_bytes() - before;
        bench.counters["bytes"] = used;
        bench.counters["bytes_per_slot"] = used / static_cast<double>(bench.range(0));
        benchmark::DoNotOptimize(state);
    }
}
BENCHMARK(state_memory)->Arg(10'000)->Arg(1'000'000)->Iterations(1);

/// Measures the heap bytes of a cluster state for each session.
void member_memory(benchmark::State& bench)
{
    const auto members = static_cast<std::size_t>(bench.range(0));
    for (auto _ : bench) {
        const double before = heap_bytes();
        const auto state = make_state({5, 36, members, 10, 1});
        const double used = heap_bytes() - before;
        bench.counters["bytes_per_member"] = used / static_cast<double>(members);
        benchmark::DoNotOptimize(state);
    }
}
BENCHMARK(member_memory)->Arg(890)->Arg(4'000)->Iterations(1);

/// Measures the heap bytes of a cluster state for each target.
void target_memory(benchmark::State& bench)
{
    const auto targets = static_cast<std::size_t>(bench.range(0));
    for (auto _ : bench) {
        const double before = heap_bytes();
        const auto state = make_state({5, 36, 9, targets, 1});
        bench.counters["bytes_per_target"] = (heap_bytes() - before) / static_cast<double>(targets);
        benchmark::DoNotOptimize(state);
    }
}
BENCHMARK(target_memory)->Arg(500)->Arg(2'000)->Iterations(1);

void apply_configuration(benchmark::State& bench)
{
    const auto size = deployment_size{5, 36, 9, static_cast<std::size_t>(bench.range(0)), 1000};
    const auto text = make_documents(size);
    auto state = make_state(size);
    std::uint64_t offset = number(state.position());
    for (auto _ : bench) {
        ++offset;
        const auto outcome =
            state.apply(epoch{offset}, {session_id{1}, offset, configuration_publish{state.version(), text}});
        if (outcome.code != result_code::ok)
            bench.SkipWithError("configuration record rejected by the cluster state");
    }
    bench.counters["bytes"] = static_cast<double>(text.base.size());
}
BENCHMARK(apply_configuration)->Arg(500)->Arg(2'000);

/// Measures writing a snapshot and restoring a cluster state from it.
void snapshot_chunk(benchmark::State& bench)
{
    constexpr double slots_in_chunk = 4096;
    const auto state = make_state(small_deployment(static_cast<std::size_t>(bench.range(0))));
    std::size_t chunks = 0;
    double bytes = 0;
    for (auto _ : bench) {
        const auto written = state.snapshot();
        chunks = written.size();
        bytes = 0;
        for (const auto& chunk : written)
            bytes += static_cast<double>(chunk.size());
        benchmark::DoNotOptimize(cluster_state::from_snapshot(written));
    }
    bench.counters["chunks"] = static_cast<double>(chunks);
    bench.counters["bytes_per_chunk"] = bytes / static_cast<double>(chunks);
    bench.counters["slots_per_chunk"] = slots_in_chunk;
}
BENCHMARK(snapshot_chunk)->Arg(10'000)->Arg(1'000'000)->Unit(benchmark::kMillisecond);

/// Measures one heartbeat and its reply: encoding, decoding, voting and counting the votes.
void heartbeat_exchange(benchmark::State& bench)
{
    const auto claims = static_cast<std::uint32_t>(bench.range(0));
    lease_voter voter{lease_timings{}};
    lease_holder holder{lease_timings{}};
    const std::vector<session_id> members{session_id{1ULL << 60U}};
    auto now = time_point{std::chrono::hours{1}};
    voter.adopt_voter_set(epoch{9}, now);
    holder.adopt_voter_set(epoch{9}, members, now);
    now += milliseconds{2500};
    for (std::uint32_t target = 0; target < claims; ++target)
        holder.claim(target_id{target}, term{1}, now);
    std::uint64_t sequence = 0;
    std::size_t bytes = 0;
    for (auto _ : bench) {
        now += milliseconds{1};
        lease_request request{members[0],
                              "dc1/17",
                              epoch{9},
                              ++sequence,
                              epoch{1'234'567},
                              false,
                              holder.make_claims(sequence, now)};
        const std::string sent_request = encode(peer_message{request});
        const auto received_request =
            std::get<lease_request>(std::get<peer_message>(decode_notification(sent_request)));
        lease_reply reply{members[0],       "dc1/17", epoch{9}, sequence,
                          epoch{1'234'567}, {},       {},       voter.answer(received_request, now)};
        const std::string sent_reply = encode(peer_message{reply});
        holder.receive(std::get<lease_reply>(std::get<peer_message>(decode_notification(sent_reply))), now);
        bytes = sent_request.size() + sent_reply.size();
    }
    if (!holder.holds(target_id{0}, now))
        bench.SkipWithError("lease on target 0 not acquired");
    bench.counters["bytes_both_ways"] = static_cast<double>(bytes);
}
BENCHMARK(heartbeat_exchange)->Arg(1)->Arg(3)->Arg(12)->Unit(benchmark::kMicrosecond);

/// Measures the start mark and the stored response of a request with an idempotency key.
void idempotency_mark(benchmark::State& bench)
{
    const auto now = time_point{std::chrono::hours{1}};
    std::uint64_t next = 0;
    const double before = heap_bytes();
    auto table = std::make_unique<idempotency_table>(
        idempotency_limits{1'000'000'000, 1U << 30U, milliseconds{60'000}});
    for (auto _ : bench) {
        const scoped_idempotency_key key{service_id{0}, "0123456789abcdef-" + std::to_string(++next)};
        benchmark::DoNotOptimize(table->try_start(key, next, now));
        table->record_response(key, {200, "text/plain", "0123456789abcdef0123456789abcdef"}, now);
    }
    bench.counters["bytes_per_mark"] = (heap_bytes() - before) / static_cast<double>(next);
}
BENCHMARK(idempotency_mark)->Iterations(200'000);

void routing_lookup(benchmark::State& bench)
{
    const auto state = make_state(small_deployment(1'000'000));
    std::uint64_t next = 0;
    for (auto _ : bench) {
        const auto key = hash_key("key-" + std::to_string(++next), 7);
        benchmark::DoNotOptimize(state.ownership(service_id{0}, key).owner);
    }
}
BENCHMARK(routing_lookup);

/// Measures one idle tick of a coordinator for the given numbers of sessions and targets.
void coordinator_tick(benchmark::State& bench)
{
    deployment_size size;
    size.sessions = static_cast<std::size_t>(bench.range(0));
    size.targets = static_cast<std::size_t>(bench.range(1));
    size.slots = 100'000;
    coordinator_settings settings;
    settings.session = session_id{100};
    settings.data_centre = "dc0";
    coordinator session_coordinator(settings);
    auto now = time_point{std::chrono::hours{1}};
    (void)session_coordinator.restore(make_state(size), now);
    for (auto _ : bench) {
        now += milliseconds{40};
        session_coordinator.tick(now);
        benchmark::DoNotOptimize(session_coordinator.take_actions());
    }
}
BENCHMARK(coordinator_tick)->Args({9, 24})->Args({890, 2000})->Unit(benchmark::kMicrosecond);

/// Measures the placement of 256 slots on the given number of targets.
void place_slots(benchmark::State& bench)
{
    std::vector<placement_item> items(256);
    std::vector<placement_target> targets;
    for (std::uint32_t index = 0; index < bench.range(0); ++index)
        targets.push_back({target_id{index}, 4.0, 0.0, 1.0});
    for (std::size_t index = 0; index < items.size(); ++index)
        items[index].slot_or_key = index;
    for (auto _ : bench)
        benchmark::DoNotOptimize(place_items(items, targets));
}
BENCHMARK(place_slots)->Arg(24)->Arg(2'000)->Unit(benchmark::kMicrosecond);

} // namespace

BENCHMARK_MAIN();
