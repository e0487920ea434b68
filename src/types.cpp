#include <teaseltally/types.hpp>

#include <ctime>
#include <xxhash.h>

namespace teaseltally {

boot_clock::time_point boot_clock::now() noexcept
{
    timespec reading{};
    clock_gettime(CLOCK_BOOTTIME, &reading);
    return time_point{std::chrono::duration_cast<duration>(std::chrono::seconds{reading.tv_sec} +
                                                           std::chrono::nanoseconds{reading.tv_nsec})};
}

key_hash hash_key(std::string_view key, std::uint64_t seed) noexcept
{
    return key_hash{XXH64(key.data(), key.size(), seed)};
}

std::uint64_t rendezvous_rank(std::string_view key, std::uint64_t candidate) noexcept
{
    return XXH64(key.data(), key.size(), candidate);
}

} // namespace teaseltally
