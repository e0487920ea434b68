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
    [[nodiscard]] asio::awaitable<request_outcome> dispatch(const request_task& order);

    /// Makes the target refuse items; the coordinator is told when it does.
    [[nodiscard]] asio::awaitable<void> revoke(std::vector<release_entry> entries);

    /// @returns whether the target has answered lately.
    [[nodiscard]] bool is_up() const noexcept { return up_; }

private:
    [[nodiscard]] asio::awaitable<void> probe_loop();
    [[nodiscard]] asio::awaitable<bool> probe();
    [[nodiscard]] asio::awaitable<bool>
    renew_grants(std::vector<std::pair<std::string, epoch>> requested_grants);
    [[nodiscard]] asio::awaitable<bool> ensure_granted(const request_task& order);
    [[nodiscard]] std::uint64_t to_target_clock_ms(time_point at) const;
    void record_probe(bool answered, bool refused);
    [[nodiscard]] http_request build_request(const request_task& order, const dispatch_permit& permit) const;
    [[nodiscard]] asio::awaitable<void> record_crash_if_refused(std::uint64_t fingerprint);

    instance_context& context_;
    target_id target_;
    dispatcher_token token_;
    tcp_endpoint address_;
    bool stopped_ = false;
    bool up_ = true;
    bool target_clock_known_ = false;
    std::uint64_t target_clock_ms_ = 0;
    time_point target_clock_read_at_{};
    std::uint32_t failures_ = 0;
    std::uint32_t successes_ = 0;
    time_point last_answered_at_{};
    std::map<std::string, epoch> granted_epochs_;
};

/// Names a slot or hot key to a target.
/// @returns "s" and the slot number, or "k" and the key's hash.
[[nodiscard]] std::string slot_or_key_name(bool hot, std::uint64_t slot_or_key);

} // namespace teaseltally
