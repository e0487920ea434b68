#include <teaseltally/log_line.hpp>
#include <teaseltally/net/framing_budget.hpp>
#include <teaseltally/net/rejection_log.hpp>

namespace teaseltally {

void rejection_log::record(const std::string& way, const boost::asio::ip::tcp::endpoint& sender,
                           const boost::system::error_code& failed, time_point now)
{
    auto& state = ways_[way];
    ++state.count;
    if (state.logged > 0 && now - state.last_line < line_interval)
        return;
    log_(log_line("message_rejected")
             .add("way", way)
             .add("sender", sender.address().to_string())
             .add("port", sender.port())
             .add("reason", describe_read_failure(failed))
             .add("since_last_line", state.count - state.logged)
             .add("total", state.count)
             .text());
    state.logged = state.count;
    state.last_line = now;
}

rejection_observer rejection_log::observer(std::string way)
{
    return [this, way = std::move(way)](const boost::asio::ip::tcp::endpoint& sender,
                                        const boost::system::error_code& failed) {
        record(way, sender, failed, boot_clock::now());
    };
}

std::uint64_t rejection_log::count(const std::string& way) const
{
    const auto found = ways_.find(way);
    return found == ways_.end() ? 0 : found->second.count;
}

} // namespace teaseltally
