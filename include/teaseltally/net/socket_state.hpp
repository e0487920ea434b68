#pragma once

#include <boost/asio/ip/tcp.hpp>

/// @file
/// What is known of a connection without reading from it.

namespace teaseltally {

/// Returns whether the peer has closed the connection and no received bytes are left to read.
[[nodiscard]] bool peer_has_closed(boost::asio::ip::tcp::socket& socket);

} // namespace teaseltally
