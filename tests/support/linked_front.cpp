#include <arpa/inet.h>
#include <cstdlib>
#include <fstream>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <unistd.h>

/// @file
/// Linked into a `teaseltally-front` under test: lets the test cut its links to the targets. The process
/// calls this `connect` instead of that of the C library.

namespace {

/// Hosts from this number on are targets (see `front_deployment.hpp`).
constexpr std::uint32_t first_target_host = 100;
constexpr std::uint32_t host_mask = 0xff;

/// Reads how connections to targets are treated: 'o' opens them, 'r' has them refused and 'h' lets them hang.
char link_state()
{
    const char* path = std::getenv("TEASELTALLY_TEST_LINKS");
    std::ifstream file(path == nullptr ? "" : path);
    const int state = file.get();
    return file ? static_cast<char>(state) : 'o';
}

sockaddr_in address_from(const char* variable)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    const char* text = std::getenv(variable);
    const std::string endpoint = text == nullptr ? "127.0.0.1:1" : text;
    const auto colon = endpoint.rfind(':');
    ::inet_pton(AF_INET, endpoint.substr(0, colon).c_str(), &address.sin_addr);
    address.sin_port = htons(static_cast<std::uint16_t>(std::atoi(endpoint.c_str() + colon + 1)));
    return address;
}

long connect_to(int socket, const sockaddr_in& address)
{
    return ::syscall(SYS_connect, socket, &address, sizeof(address));
}

} // namespace

extern "C" int connect(int socket, const sockaddr* address, socklen_t size)
{
    if (address->sa_family != AF_INET)
        return static_cast<int>(::syscall(SYS_connect, socket, address, size));
    // Targets tell the instances apart by the addresses from which they connect.
    const auto source = address_from("TEASELTALLY_TEST_SOURCE");
    // The port is chosen for the whole connection; one reserved by bind would be lost to all other addresses.
    const int enabled = 1;
    if (::setsockopt(socket, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &enabled, sizeof(enabled)) != 0 ||
        ::bind(socket, reinterpret_cast<const sockaddr*>(&source), sizeof(source)) != 0)
        return -1;
    auto to = *reinterpret_cast<const sockaddr_in*>(address);
    if ((ntohl(to.sin_addr.s_addr) & host_mask) < first_target_host)
        return static_cast<int>(connect_to(socket, to));
    const char state = link_state();
    if (state == 'h')
        to = address_from("TEASELTALLY_TEST_SILENT");
    else if (state == 'r')
        to.sin_port = htons(1);
    return static_cast<int>(connect_to(socket, to));
}
