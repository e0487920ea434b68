#include <teaseltally/net/message_memory.hpp>

#include <doctest/doctest.h>

using namespace teaseltally;

namespace {

constexpr std::size_t mb = std::size_t{1} << 20U;
const time_point start{microseconds{1'000'000}};

/// Message that counts how often it was woken.
struct counted_message {
    explicit counted_message(message_memory& memory,
                             memory_purpose purpose = memory_purpose::reading_requests)
        : hold(&memory, purpose, [this] { ++wakes; })
    {
    }
    int wakes = 0;
    message_hold hold;
};

} // namespace

// Guards against bytes that stay counted, or are counted twice, when messages change hands.
TEST_CASE("the account counts each message for its purpose until it is freed")
{
    message_memory memory(10 * mb);
    {
        counted_message read(memory);
        CHECK(read.hold.try_set(2 * mb, 0, start));
        auto served = read.hold.release(mb);
        served.set_purpose(memory_purpose::serving_requests);
        CHECK(memory.held(memory_purpose::reading_requests) == 0);
        CHECK(memory.held(memory_purpose::serving_requests) == mb);
        const auto moved = std::move(served);
        CHECK(memory.held() == mb);
    }
    CHECK(memory.held() == 0);
    CHECK(!memory.take_episode(start + milliseconds{60'000}));
}

// Guards against ordinary requests that wait behind large ones.
TEST_CASE("small messages never wait")
{
    message_memory memory(mb);
    counted_message large(memory);
    counted_message waiting(memory);
    counted_message small(memory);
    CHECK(large.hold.try_set(mb, 0, start));
    CHECK(!waiting.hold.try_set(mb / 2, 0, start));
    CHECK(small.hold.try_set(message_memory::small_bytes, 0, start));
}

// Guards against uploads that all get a part of the memory, so that none ever completes.
TEST_CASE("the oldest message gets room first, and the largest waiting one is given up for it")
{
    message_memory memory(4 * mb);
    counted_message oldest(memory);
    counted_message larger(memory);
    counted_message smaller(memory);
    CHECK(oldest.hold.try_set(mb, 0, start));
    CHECK(larger.hold.try_set(2 * mb, 0, start));
    CHECK(smaller.hold.try_set(mb, 0, start));
    CHECK(!smaller.hold.try_set(2 * mb, 0, start));
    CHECK(!larger.hold.try_set(3 * mb, 0, start));
    CHECK(!oldest.hold.try_set(2 * mb, 0, start));
    memory.make_room(start + milliseconds{100});
    CHECK(!larger.hold.is_evicted());
    memory.make_room(start + message_memory::patience);
    CHECK(larger.hold.is_evicted());
    CHECK(!smaller.hold.is_evicted());
    static_cast<void>(larger.hold.release(0));
    CHECK(oldest.wakes > 0);
    CHECK(oldest.hold.try_set(2 * mb, 0, start + message_memory::patience));
    CHECK(smaller.hold.try_set(2 * mb, 0, start + message_memory::patience));
}

// Guards against unfinished uploads whose senders stop and keep all memory until their time is over.
TEST_CASE("a stalled message makes room at once, the largest first, and no more than needed")
{
    message_memory memory(4 * mb);
    counted_message large(memory);
    counted_message small(memory);
    counted_message moving(memory);
    CHECK(large.hold.try_set(2 * mb, 0, start));
    CHECK(small.hold.try_set(mb, 0, start));
    CHECK(moving.hold.try_set(mb, 0, start));
    const auto later = start + message_memory::stall_time;
    moving.hold.on_progress(later);
    counted_message added(memory);
    CHECK(!added.hold.try_set(2 * mb, 0, later));
    CHECK(large.hold.is_evicted());
    CHECK(!small.hold.is_evicted());
    CHECK(!moving.hold.is_evicted());
    memory.make_room(later);
    CHECK(!small.hold.is_evicted());
    const auto episode = memory.take_episode(later + message_memory::max_episode);
    REQUIRE(episode);
    CHECK(episode->evicted.at(static_cast<std::size_t>(memory_eviction::stalled)) == 1);
    CHECK(episode->held.at(static_cast<std::size_t>(memory_purpose::reading_requests)) == 4 * mb);
}

// Guards against requests that wait for memory that never becomes free, and against a default that refuses a
// legal request.
TEST_CASE("a message that cannot get room is given up, and the default admits every legal one")
{
    message_memory memory(4 * mb);
    counted_message too_large(memory);
    CHECK(!too_large.hold.try_set(5 * mb, 0, start));
    CHECK(too_large.hold.is_evicted());
    memory_reservation served(&memory, memory_purpose::serving_requests);
    served.set(4 * mb);
    counted_message waiting(memory);
    CHECK(!waiting.hold.try_set(mb, 0, start));
    memory.make_room(start + message_memory::max_wait / 2);
    CHECK(!waiting.hold.is_evicted());
    memory.make_room(start + message_memory::max_wait);
    CHECK(waiting.hold.is_evicted());

    message_memory unconfigured;
    unconfigured.set_largest_message(2000 * mb);
    counted_message legal(unconfigured);
    CHECK(legal.hold.try_set(2000 * mb, 2000 * mb, start));
}
