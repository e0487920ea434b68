#pragma once

#include <teaseltally/net/context.hpp>

#include <map>
#include <memory>
#include <set>
#include <string>

/// @file
/// Link of a dispatcher to one target: health probes, grants, revocations and requests.

namespace teaseltally {

/// Client of one target, used while this instance is the dispatcher of that target. It probes the target,
/// renews its grants and sends it requests.
class target_link : public std::enable_shared_from_this<target_link> {
public:
    /// Creates a link that considers the target healthy until probes fail.
    /// @param context shared state of the instance; it outlives the link.
    /// @param token proves to the target that this instance is its dispatcher.
    /// @param address endpoint of the target.
    target_link(instance_context& context, target_id target, dispatcher_token token, tcp_endpoint address);

    /// Starts probing the target and renewing its grants, with a pause of 300 ms between probes, until
    /// `stop`.
    void start();
    /// Ends the probes after the one in progress.
    void stop() noexcept { stopped_ = true; }

    /// Sends a request to the target. The coordinator is queried again immediately before the write; without
    /// its permission, nothing is sent.
    /// @param task request to send, with its deadline and the stream position it was routed by.
    /// @returns the result; the class of its code tells whether the target may have executed the request.
    [[nodiscard]] asio::awaitable<request_outcome> dispatch(const request_task& task);

    /// Revokes grants, so that the target refuses requests for their slots and hot keys. Reports the
    /// revocation to the coordinator once the target has confirmed it; without a confirmation nothing is
    /// reported.
    /// @param entries slots and hot keys to revoke, with the epochs of their ownership.
    [[nodiscard]] asio::awaitable<void> revoke(std::vector<release_entry> entries);

    /// Returns whether the target is considered healthy by its recent probes.
    [[nodiscard]] bool is_up() const noexcept { return up_; }

private:
    [[nodiscard]] asio::awaitable<void> probe_loop();
    [[nodiscard]] asio::awaitable<bool> probe();
    [[nodiscard]] asio::awaitable<bool>
    renew_grants(std::vector<std::pair<std::string, epoch>> requested_grants);
    [[nodiscard]] asio::awaitable<bool> ensure_granted(const request_task& task);
    [[nodiscard]] std::uint64_t to_target_clock_ms(time_point at) const;
    void record_probe(bool answered, bool refused);
    [[nodiscard]] http_request build_request(const request_task& task, const dispatch_permit& permit) const;
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

/// Returns the name of a slot or hot key in messages to a target: "s" and the slot number, or "k" and the
/// hash of the key.
/// @param hot whether the name is that of a hot key.
/// @param slot_or_key slot number, or hash of the key.
[[nodiscard]] std::string slot_or_key_name(bool hot, std::uint64_t slot_or_key);

} // namespace teaseltally
