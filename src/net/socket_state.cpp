#include <teaseltally/net/socket_state.hpp>

#include <cerrno>
#include <sys/socket.h>

namespace teaseltally {

bool peer_has_closed(boost::asio::ip::tcp::socket& socket)
{
    char byte = 0;
    const auto count = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

} // namespace teaseltally
