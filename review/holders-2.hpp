#pragma once

#include "world-2.hpp"

// Judges who held keys (rule OWNER).

namespace world {

/// Longest time for which two upstreams may hold one key.
constexpr auto longest_overlap = 500ms;

struct overlap {
    hold left;
    hold right;
    milliseconds length{0};
};

/// Returns the longest time in which two upstreams held the same keys.
inline overlap find_longest_overlap(const std::vector<std::unique_ptr<upstream>>& upstreams)
{
    std::vector<hold> holds;
    for (const auto& one : upstreams)
        holds.insert(holds.end(), one->holds().begin(), one->holds().end());
    const auto id_of = [](const hold& held) { return held.life.substr(0, held.life.find('/')); };
    overlap worst;
    const auto now = clock::now();
    for (const auto& left : holds)
        for (const auto& right : holds) {
            if (left.first > right.last || right.first > left.last || id_of(left) == id_of(right))
                continue;
            const auto begin = std::max(left.from, right.from);
            const auto end = std::min({left.until, right.until, now});
            const auto length = std::chrono::duration_cast<milliseconds>(end - begin);
            if (length > worst.length)
                worst = {left, right, length};
        }
    return worst;
}

/// Returns how many requests each life of an upstream began on keys that another upstream held as well.
inline std::map<std::string, unsigned>
count_requests_on_shared_keys(const std::vector<std::unique_ptr<upstream>>& upstreams)
{
    std::map<std::string, unsigned> counts;
    for (const auto& one : upstreams)
        for (const auto& begun : one->runs())
            for (const auto& other : upstreams)
                if (other != one && std::ranges::any_of(other->holds(), [&](const hold& held) {
                        return begun.key && *begun.key >= held.first && *begun.key <= held.last &&
                               begun.began >= held.from && begun.began <= held.until;
                    }))
                    ++counts[begun.upstream];
    return counts;
}

inline void record_overlap(recorder& record, const std::vector<std::unique_ptr<upstream>>& upstreams)
{
    const auto worst = find_longest_overlap(upstreams);
    record.line("longest overlap", worst.length.count(), "ms:", worst.left.life, "fence", worst.left.fence,
                "and", worst.right.life, "fence", worst.right.fence, "keys", worst.left.first, "to",
                worst.left.last);
    for (const auto& [life, requests] : count_requests_on_shared_keys(upstreams))
        record.line("requests begun by", life, "on keys that another upstream held as well:", requests);
}

/// Sends a read of a key and records it.
inline asio::awaitable<void> send_read(recorder& record, tcp::endpoint to, std::string id, unsigned key)
{
    auto request = make_request(http::verb::get, "h.example", "/drafts/1", id, 1200);
    request.set("X-Shard-Key", std::to_string(key));
    record.line("client sends", id, "key", key);
    const auto got = co_await call(to, std::move(request), 1500ms);
    record.line("client gets", id, got.status);
}

/// Writes the configuration with one service that is divided by key.
inline void configure_keyed_service(store& platform)
{
    platform.put("keyed.op", "config",
                 configuration("00000001",
                               R"(["r-1","h.example","/drafts/","safe","1200ms","500ms",2,null,2,"drog"])",
                               R"(["drog","/health",130,"h1",false,true,"2s","direct_call"])"));
}

} // namespace world
