#pragma once

#include <teaseltally/types.hpp>

#include <boost/asio/ip/tcp.hpp>
#include <boost/system/error_code.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <string>

/// @file
/// Log of messages that were given up because their framing did not end.

namespace teaseltally {

/// Receives who sent a message that was given up because of its framing, and the error.
using rejection_observer =
    std::function<void(const boost::asio::ip::tcp::endpoint&, const boost::system::error_code&)>;

/// Counts the messages that were given up on each way in, and logs a bounded number of lines about them.
class rejection_log {
public:
    /// Shortest time between two lines about the same way in.
    static constexpr milliseconds line_interval{1000};

    /// @param log receives the lines.
    explicit rejection_log(std::function<void(const std::string&)> log) : log_(std::move(log)) {}

    /// Counts a message, and logs it unless the way in had a line shortly before.
    /// @param way way in, such as "callers".
    /// @param sender address and port of the sender.
    /// @param failed what was exceeded.
    void record(const std::string& way, const boost::asio::ip::tcp::endpoint& sender,
                const boost::system::error_code& failed, time_point now);
    /// Returns an observer that records the messages of a way in. The log must outlive it.
    [[nodiscard]] rejection_observer observer(std::string way);
    /// Returns the number of messages that were given up on a way in.
    [[nodiscard]] std::uint64_t count(const std::string& way) const;

private:
    struct way_state {
        std::uint64_t count = 0;
        std::uint64_t logged = 0;
        time_point last_line{};
    };
    std::function<void(const std::string&)> log_;
    std::map<std::string, way_state> ways_;
};

} // namespace teaseltally
