#pragma once

#include <teaseltally/net/http.hpp>

#include <filesystem>
#include <string>
#include <sys/types.h>

/// @file
/// A `teaseltally-front` process under test.

namespace teaseltally::test {

/// Process of one instance. It is killed on destruction.
class front_process {
public:
    /// Writes the settings file.
    /// @param folder existing folder for settings and output.
    /// @param host number of the host whose address the process uses (see `fixed_endpoint`).
    /// @param store endpoint of the store.
    front_process(std::filesystem::path folder, std::uint8_t host, std::string name,
                  const std::string& data_centre, const tcp_endpoint& store);
    ~front_process();
    front_process(const front_process&) = delete;
    front_process& operator=(const front_process&) = delete;
    front_process(front_process&&) = delete;
    front_process& operator=(front_process&&) = delete;

    /// Starts the process; it must not be running.
    void start();
    /// Sends a signal to the process.
    void signal(int number) const;
    /// Kills the process and waits for its end.
    void kill();
    /// Returns the address on which callers are served.
    [[nodiscard]] const tcp_endpoint& callers() const noexcept { return callers_; }
    /// Returns the address of the readiness check.
    [[nodiscard]] const tcp_endpoint& readiness() const noexcept { return readiness_; }
    /// Returns what the process has written so far, in all its runs.
    [[nodiscard]] std::string output() const;

private:
    std::filesystem::path folder_;
    std::string name_;
    tcp_endpoint callers_;
    tcp_endpoint readiness_;
    pid_t process_ = -1;
};

} // namespace teaseltally::test
