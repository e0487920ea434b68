// Daemon that runs one entry instance.

#include "logging.hpp"

#include <teaseltally/instance.hpp>
#include <teaseltally/log_line.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <fstream>
#include <gflags/gflags.h>
#include <iostream>
#include <random>
#include <sstream>

DEFINE_string(config, "", "path of the configuration file with the section [instance]");

namespace {

using namespace teaseltally;

constexpr int exit_usage = 2;
/// Time limit of a graceful stop. Requests that still run when it passes are abandoned.
constexpr std::chrono::seconds stop_timeout{30};
/// Interval at which buffered log lines are written to the log file.
constexpr milliseconds log_flush_interval{100};

/// Returns a random session number that is odd, and so never 0.
session_id random_session_id()
{
    std::random_device device;
    constexpr unsigned word_bits = 32;
    return session_id{(static_cast<std::uint64_t>(device()) << word_bits | device()) >> 1U | 1U};
}

int run(const instance_settings& settings)
{
    start_logging(settings.log_level, settings.log_file);
    asio::io_context io(1);
    instance daemon(io.get_executor(), settings, random_session_id(), write_log_line);
    const auto [caller_port, peer_port, operator_port] = daemon.ports();
    const auto started = log_line("started")
                             .add("instance", settings.name)
                             .add("caller_port", caller_port)
                             .add("peer_port", peer_port)
                             .add("operator_port", operator_port)
                             .text();
    std::cout << started << std::endl;
    write_log_line(started);
    timer_service timers(io.get_executor());
    const auto flush_timer = timers.every(log_flush_interval, [](time_point) { flush_log(); });
    asio::steady_timer stop_timer(io);
    asio::signal_set signals(io, SIGTERM, SIGINT);
    signals.async_wait([&](boost::system::error_code wait_error, int) {
        if (wait_error)
            return;
        write_log_line(log_line("stopping").text());
        stop_timer.expires_after(stop_timeout);
        stop_timer.async_wait([&](boost::system::error_code timer_error) {
            if (!timer_error)
                io.stop();
        });
        daemon.stop([&] { io.stop(); });
    });
    io.run();
    write_log_line(log_line("stopped").text());
    flush_log();
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("runs an entry instance of teaseltally\n  teaseltallyd --config instance.ini");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::ifstream file(FLAGS_config);
    if (!file) {
        std::cerr << "teaseltallyd: --config: cannot read file \"" << FLAGS_config << "\"\n";
        return exit_usage;
    }
    std::stringstream text;
    text << file.rdbuf();
    const auto settings = parse_instance_settings(text.str(), FLAGS_config);
    if (const auto* setting_errors = std::get_if<std::vector<error>>(&settings)) {
        for (const auto& reported_error : *setting_errors)
            std::cerr << "teaseltallyd: " << to_string(reported_error) << "\n";
        return exit_usage;
    }
    try {
        return run(std::get<instance_settings>(settings));
    }
    catch (const std::exception& exception) {
        std::cerr << "teaseltallyd: " << exception.what() << "\n";
        return 1;
    }
}
