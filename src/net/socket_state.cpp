#include <teaseltally/net/socket_state.hpp>

#include <cerrno>
#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace teaseltally {

bool peer_has_closed(boost::asio::ip::tcp::socket& socket)
{
    char byte = 0;
    const auto count = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

std::optional<std::size_t> unacknowledged_bytes(boost::asio::ip::tcp::socket& socket)
{
    int count = 0;
    if (::ioctl(socket.native_handle(), SIOCOUTQ, &count) != 0)
        return std::nullopt;
    int failure = 0;
    socklen_t size = sizeof(failure);
    // A reset may also come after the last byte was acknowledged, so the failure is read last.
    if (::getsockopt(socket.native_handle(), SOL_SOCKET, SO_ERROR, &failure, &size) != 0 || failure != 0)
        return std::nullopt;
    return static_cast<std::size_t>(count);
}

} // namespace teaseltally
