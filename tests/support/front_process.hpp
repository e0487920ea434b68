#pragma once

#include <teaseltally/net/http.hpp>

#include <filesystem>
#include <json/value.h>
#include <map>
#include <string>
#include <sys/types.h>

/// @file
/// A `teaseltally-front` process under test.

namespace teaseltally::test {

/// How new connections of an instance to targets are treated.
enum class target_links { open, refused, silent };

/// Process of one instance. It is killed on destruction.
class front_process {
public:
    /// Renders the settings file from the template of installations. The links to targets are open.
    /// @param folder existing folder for settings and output.
    /// @param host number of the host whose address the process uses (see `fixed_endpoint`).
    /// @param store endpoint of the store.
    /// @param silent_endpoint endpoint that leaves new connections without an answer.
    /// @param bounds bounds of the installation that differ from those of `example_fields`, by name.
    /// @param limits limits of the machine that differ from those of `example_fields`, by name.
    front_process(std::filesystem::path folder, std::uint8_t host, std::string name,
                  const std::string& data_centre, const tcp_endpoint& store,
                  const tcp_endpoint& silent_endpoint, const std::map<std::string, Json::Value>& bounds,
                  const std::map<std::string, Json::Value>& limits = {});
    ~front_process();
    front_process(const front_process&) = delete;
    front_process& operator=(const front_process&) = delete;
    front_process(front_process&&) = delete;
    front_process& operator=(front_process&&) = delete;

    /// Sets the program that is started from now on.
    void set_program(std::string program) { program_ = std::move(program); }
    /// Starts the process; it must not be running.
    void start();
    /// Returns whether the process has ended by itself since its start.
    [[nodiscard]] bool has_ended();
    /// Sends a signal to the process.
    void signal(int number) const;
    /// Sets how new connections to targets are treated from now on.
    void set_target_links(target_links links) const;
    /// Kills the process and waits for its end.
    void kill();
    /// Returns the address on which callers are served.
    [[nodiscard]] const tcp_endpoint& callers() const noexcept { return callers_; }
    /// Returns the address from which the process connects.
    [[nodiscard]] asio::ip::address address() const { return callers_.address(); }
    /// Returns the address of the readiness check.
    [[nodiscard]] const tcp_endpoint& readiness() const noexcept { return readiness_; }
    /// Returns the address of the peers' port.
    [[nodiscard]] tcp_endpoint peers() const { return peers_; }
    /// Sets the largest resident size to the present one.
    void reset_peak_memory() const;
    /// Returns the largest resident size of the process so far, in megabytes.
    [[nodiscard]] unsigned peak_memory_mb() const;
    /// Returns the number of open descriptors of the process.
    [[nodiscard]] std::size_t open_descriptors() const;
    /// Returns what the process has written so far, in all its runs.
    [[nodiscard]] std::string output() const;

private:
    std::filesystem::path folder_;
    std::string name_;
    tcp_endpoint callers_;
    tcp_endpoint readiness_;
    tcp_endpoint peers_;
    tcp_endpoint silent_endpoint_;
    std::string program_ = TEASELTALLY_FRONT;
    pid_t process_ = -1;
};

} // namespace teaseltally::test
