#include "support/run.hpp"

#include <unistd.h>

namespace teaseltally::test {

tcp_endpoint fixed_endpoint(std::uint8_t host, std::uint16_t service)
{
    constexpr std::uint32_t loopback = 127U << 24U;
    constexpr std::uint32_t process_mask = 0xffffU;
    constexpr std::uint16_t first_port = 20'000;
    const auto process = static_cast<std::uint32_t>(::getpid()) & process_mask;
    return {asio::ip::address_v4{loopback | process << 8U | host},
            static_cast<std::uint16_t>(first_port + service)};
}

} // namespace teaseltally::test
