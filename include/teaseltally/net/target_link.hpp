#pragma once

#include <teaseltally/net/context.hpp>

#include <map>
#include <memory>
#include <set>
#include <string>

/// @file
/// A dispatcher's connection to one target: probes, grants, revocations and work.

namespace teaseltally {

/// Speaks to one target while this instance is its dispatcher.
class target_link : public std::enable_shared_from_this<target_link> {
public:
    target_link(instance_context& context, target_id target, dispatcher_token token, tcp_endpoint address);

    /// Starts to probe and to renew grants, until `stop`.
    void start();
    void stop() noexcept { stopped_ = true; }

    /// Sends work to the target.
    /// @param order the work.
    /// @param permit set to the coordinator's permit just before the write.
    /// @returns the result; its class says whether the target may have run it.
    [[nodiscard]] asio::awaitable<request_outcome> run(const request_task& order);

    /// Makes the target refuse items; the coordinator is told when it does.
    [[nodiscard]] asio::awaitable<void> revoke(std::vector<release_entry> entries);

    /// @returns whether the target has answered lately.
    [[nodiscard]] bool up() const noexcept { return up_; }

private:
    [[nodiscard]] asio::awaitable<void> probe_loop();
    [[nodiscard]] asio::awaitable<bool> probe();
    [[nodiscard]] asio::awaitable<bool> renew(std::vector<std::pair<std::string, epoch>> items);
    [[nodiscard]] asio::awaitable<bool> grant(const request_task& order);
    [[nodiscard]] std::uint64_t target_clock(time_point at) const;
    void note_probe(bool answered, bool refused);
    [[nodiscard]] http_request prepare(const request_task& order, const dispatch_permit& permit) const;
    [[nodiscard]] asio::awaitable<void> note_crash(std::uint64_t fingerprint);

    instance_context& context_;
    target_id target_;
    dispatcher_token token_;
    tcp_endpoint address_;
    bool stopped_ = false;
    bool up_ = true;
    bool clock_known_ = false;
    std::uint64_t clock_ms_ = 0;
    time_point clock_read_{};
    std::uint32_t failures_ = 0;
    std::uint32_t successes_ = 0;
    time_point answered_{};
    std::map<std::string, epoch> granted_;
};

/// Names a slot or hot key to a target.
/// @returns "s" and the slot number, or "k" and the key's hash.
[[nodiscard]] std::string item_name(bool hot, std::uint64_t item);

} // namespace teaseltally
