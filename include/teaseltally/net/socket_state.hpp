#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <optional>

/// @file
/// What is known of a connection without reading from it.

namespace teaseltally {

/// Returns whether the peer has closed the connection and no received bytes are left to read.
[[nodiscard]] bool peer_has_closed(boost::asio::ip::tcp::socket& socket);

/// Returns the number of bytes that were written to a connection and that the peer has not acknowledged yet.
/// @returns the number, or nothing if the connection has failed, for instance by a reset. The failure is
/// taken from the socket and not reported again.
[[nodiscard]] std::optional<std::size_t> unacknowledged_bytes(boost::asio::ip::tcp::socket& socket);

} // namespace teaseltally
