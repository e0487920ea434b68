#pragma once

#include <teaseltally/net/http.hpp>
#include <teaseltally/peer_messages.hpp>

#include <boost/asio/ip/udp.hpp>

#include <array>
#include <functional>
#include <memory>
#include <optional>

/// @file
/// Peer messages over UDP, as JSON-RPC notifications.

namespace teaseltally {

/// Decodes JSON-RPC notifications with libjsonrpccpp's protocol handler.
class notification_codec {
public:
    notification_codec();
    ~notification_codec();
    notification_codec(const notification_codec&) = delete;
    notification_codec& operator=(const notification_codec&) = delete;
    notification_codec(notification_codec&&) = delete;
    notification_codec& operator=(notification_codec&&) = delete;

    /// @param text one datagram.
    /// @returns the message, or `message_malformed`.
    [[nodiscard]] result<peer_message> decode(std::string_view text);

private:
    class server;
    std::unique_ptr<server> server_;
};

/// Sends and receives peer messages on one UDP port.
class peer_channel {
public:
    using handler = std::function<void(const peer_message&)>;

    /// Binds and starts to receive.
    /// @param local address and port.
    /// @param handle called for each well-formed message.
    peer_channel(const asio::any_io_executor& executor, const asio::ip::udp::endpoint& local, handler handle);
    ~peer_channel();
    peer_channel(const peer_channel&) = delete;
    peer_channel& operator=(const peer_channel&) = delete;
    peer_channel(peer_channel&&) = delete;
    peer_channel& operator=(peer_channel&&) = delete;

    /// Sends a message; it may be lost.
    void send(const asio::ip::udp::endpoint& to, const peer_message& message);

    /// @returns bytes sent so far.
    [[nodiscard]] std::uint64_t bytes_sent() const noexcept { return bytes_sent_; }
    /// @returns datagrams that were not well-formed.
    [[nodiscard]] std::uint64_t malformed_datagrams() const noexcept { return malformed_datagrams_; }

private:
    static constexpr std::size_t max_datagram_bytes = 65'536;
    void receive();

    asio::ip::udp::socket socket_;
    handler handle_;
    notification_codec codec_;
    asio::ip::udp::endpoint sender_;
    std::array<char, max_datagram_bytes> buffer_{};
    std::uint64_t bytes_sent_ = 0;
    std::uint64_t malformed_datagrams_ = 0;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace teaseltally
