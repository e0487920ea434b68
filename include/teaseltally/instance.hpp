#pragma once

#include <teaseltally/configuration.hpp>
#include <teaseltally/net/context.hpp>
#include <teaseltally/net/dispatcher.hpp>
#include <teaseltally/net/entry.hpp>
#include <teaseltally/net/peer_channel.hpp>
#include <teaseltally/net/platform_client.hpp>
#include <teaseltally/net/timer_service.hpp>
#include <teaseltally/service_window.hpp>

#include <memory>
#include <vector>

/// @file
/// An instance of teaseltally, which runs on an executor with one thread.

namespace teaseltally {

/// An instance: serves callers, peers and operators, follows the control stream and dispatches requests.
///
/// @code
/// boost::asio::io_context io(1);
/// teaseltally::instance instance(io.get_executor(), settings, session, print_line);
/// io.run();
/// @endcode
class instance {
public:
    /// Binds the ports and starts the instance.
    /// @param executor executor with one thread on which the instance runs.
    /// @param session identifies this run; no other run of any instance may have the same.
    /// @param log function that receives each log line.
    instance(asio::any_io_executor executor, instance_settings settings, session_id session, log_sink log);
    ~instance();
    instance(const instance&) = delete;
    instance& operator=(const instance&) = delete;
    instance(instance&&) = delete;
    instance& operator=(instance&&) = delete;

    /// Starts a graceful stop. Further calls have no effect.
    /// @param done called once all leases are handed over and no request is in flight.
    void stop(std::function<void()> done);

    /// Returns the ports on which the instance listens for callers, peers and operators, in this order.
    [[nodiscard]] std::array<std::uint16_t, 3> ports() const;

private:
    [[nodiscard]] asio::awaitable<void> follow_log();
    [[nodiscard]] asio::awaitable<bool> load_snapshot();
    [[nodiscard]] asio::awaitable<bool> load_from_peers();
    [[nodiscard]] asio::awaitable<void> write_snapshots();
    [[nodiscard]] asio::awaitable<void> refresh_listed_instances();
    [[nodiscard]] std::vector<tcp_endpoint> known_peers() const;
    [[nodiscard]] asio::awaitable<void> append(std::string record);
    [[nodiscard]] asio::awaitable<http_response> serve_caller(http_request request);
    [[nodiscard]] asio::awaitable<http_response> serve_peer(http_request request);
    [[nodiscard]] asio::awaitable<http_response> serve_operator(http_request request);
    [[nodiscard]] std::string status();
    [[nodiscard]] Json::Value target_status(target_id target, std::uint64_t owned, time_point now) const;
    [[nodiscard]] Json::Value service_status(service_id service, time_point now);
    [[nodiscard]] std::string explain(std::string_view query) const;
    void tick(time_point now);
    void perform_actions();
    void receive(const peer_message& message);
    void refresh_gauges();

    asio::any_io_executor executor_;
    instance_settings settings_;
    log_sink log_;
    metrics metrics_;
    quarantine_table quarantine_;
    http_client client_;
    http_client target_client_;
    http_client platform_http_;
    platform_client platform_;
    std::unique_ptr<http_server> peer_server_;
    std::unique_ptr<peer_channel> channel_;
    coordinator coordinator_;
    instance_context context_;
    dispatcher dispatcher_;
    entry_router entry_;
    timer_service timers_;
    std::vector<timer_service::subscription> subscriptions_;
    std::unique_ptr<http_server> caller_server_;
    std::unique_ptr<http_server> operator_server_;
    std::function<void()> on_stopped_;
    bool stopping_ = false;
    time_point idle_since_{};
    bool platform_reachable_ = false;
    time_point last_platform_read_at_{};
    time_point configured_at_{};
    std::uint64_t last_configuration_version_ = 0;
    std::map<service_id, service_window> service_windows_;
    std::map<service_id, std::uint64_t> counted_moves_;
    std::vector<listed_instance> listed_instances_;
    epoch snapshot_position_{};
    time_point snapshot_seen_at_{};
};

} // namespace teaseltally
