#pragma once

#include <teaseltally/net/http.hpp>
#include <teaseltally/peer_messages.hpp>

#include <boost/asio/ip/udp.hpp>

#include <array>
#include <functional>
#include <memory>
#include <optional>

/// @file
/// Exchange of peer messages over UDP as JSON-RPC 2.0 notifications.

namespace teaseltally {

/// Decodes JSON-RPC 2.0 notifications with the protocol handler of libjsonrpccpp.
class notification_codec {
public:
    notification_codec();
    ~notification_codec();
    notification_codec(const notification_codec&) = delete;
    notification_codec& operator=(const notification_codec&) = delete;
    notification_codec(notification_codec&&) = delete;
    notification_codec& operator=(notification_codec&&) = delete;

    /// Decodes a notification.
    /// @param text content of one datagram.
    /// @returns the message, or `message_malformed` if it is not a notification of a known method with valid
    /// parameters.
    [[nodiscard]] result<peer_message> decode(std::string_view text);

private:
    class server;
    std::unique_ptr<server> server_;
};

/// Sends and receives peer messages on one UDP port. Not thread-safe.
class peer_channel {
public:
    /// Function that receives each decoded message.
    using handler = std::function<void(const peer_message&)>;

    /// Binds the port and starts to receive.
    /// @param executor executor on which messages are received.
    /// @param local address and port to bind.
    /// @param handle function that is called with each well-formed message.
    /// @throws boost::system::system_error if the port cannot be bound.
    peer_channel(const asio::any_io_executor& executor, const asio::ip::udp::endpoint& local, handler handle);
    /// Closes the port. `handle` is not called any more.
    ~peer_channel();
    peer_channel(const peer_channel&) = delete;
    peer_channel& operator=(const peer_channel&) = delete;
    peer_channel(peer_channel&&) = delete;
    peer_channel& operator=(peer_channel&&) = delete;

    /// Sends a message without blocking. Errors are ignored and the message may be lost.
    void send(const asio::ip::udp::endpoint& to, const peer_message& message);

    /// Returns the number of bytes sent, without headers of UDP and IP.
    [[nodiscard]] std::uint64_t bytes_sent() const noexcept { return bytes_sent_; }
    /// Returns the number of received datagrams that could not be decoded.
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
