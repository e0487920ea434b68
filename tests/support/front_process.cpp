#include "support/front_process.hpp"

#include "support/run.hpp"
#include "support/settings_template.hpp"

#include <array>
#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <spawn.h>
#include <sstream>
#include <stdexcept>
#include <sys/wait.h>

namespace teaseltally::test {
namespace {

std::string text_of(const tcp_endpoint& endpoint)
{
    return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

} // namespace

front_process::front_process(std::filesystem::path folder, std::uint8_t host, std::string name,
                             const std::string& data_centre, const tcp_endpoint& store,
                             const tcp_endpoint& silent_endpoint,
                             const std::map<std::string, Json::Value>& bounds,
                             const std::map<std::string, Json::Value>& limits)
    : folder_(std::move(folder)), name_(std::move(name)), callers_(fixed_endpoint(host, 1)),
      readiness_(fixed_endpoint(host, 2)), peers_(fixed_endpoint(host, 3)), silent_endpoint_(silent_endpoint)
{
    set_target_links(target_links::open);
    auto fields = example_fields();
    fields["node-name"] = name_;
    fields["zone"] = data_centre;
    fields["listen"]["front"] = text_of(callers_);
    fields["listen"]["ready"] = text_of(readiness_);
    fields["ip"] = peers_.address().to_string();
    fields["internal-port-range"][0] = peers_.port();
    fields["provider"]["address"] = text_of(store);
    for (const auto& [name, bound] : bounds)
        fields["bounds"][name] = bound;
    for (const auto& [name, limit] : limits)
        fields["limits"][name] = limit;
    std::ofstream(folder_ / (name_ + ".ini")) << render_settings(fields);
}

void front_process::set_target_links(target_links links) const
{
    // Renamed into place, so that the process never reads an empty file.
    const auto path = folder_ / (name_ + ".links");
    const auto written = folder_ / (name_ + ".links.new");
    std::ofstream(written) << "ohr"[links == target_links::open ? 0 : links == target_links::silent ? 1 : 2];
    std::filesystem::rename(written, path);
}

front_process::~front_process()
{
    kill();
}

void front_process::start()
{
    const std::string settings = (folder_ / (name_ + ".ini")).string();
    const std::string output = (folder_ / (name_ + ".log")).string();
    posix_spawn_file_actions_t files{};
    posix_spawn_file_actions_init(&files);
    constexpr mode_t mode = 0644;
    posix_spawn_file_actions_addopen(&files, STDOUT_FILENO, output.c_str(), O_WRONLY | O_CREAT | O_APPEND,
                                     mode);
    posix_spawn_file_actions_adddup2(&files, STDOUT_FILENO, STDERR_FILENO);
    // The sockets of this process must not stay open in the instance when they are closed here.
    posix_spawn_file_actions_addclosefrom_np(&files, STDERR_FILENO + 1);
    std::string option = "--config=" + settings;
    std::array<char*, 3> arguments{program_.data(), option.data(), nullptr};
    std::string links = "TEASELTALLY_TEST_LINKS=" + (folder_ / (name_ + ".links")).string();
    std::string source = "TEASELTALLY_TEST_SOURCE=" + address().to_string() + ":0";
    std::string silent = "TEASELTALLY_TEST_SILENT=" + text_of(silent_endpoint_);
    std::array<char*, 4> environment{links.data(), source.data(), silent.data(), nullptr};
    const int failed =
        posix_spawn(&process_, program_.c_str(), &files, nullptr, arguments.data(), environment.data());
    posix_spawn_file_actions_destroy(&files);
    if (failed != 0)
        throw std::runtime_error("cannot start " + program_);
}

void front_process::signal(int number) const
{
    if (process_ > 0)
        ::kill(process_, number);
}

void front_process::kill()
{
    if (process_ <= 0)
        return;
    signal(SIGKILL);
    ::waitpid(process_, nullptr, 0);
    process_ = -1;
}

bool front_process::has_ended()
{
    if (process_ > 0 && ::waitpid(process_, nullptr, WNOHANG) == process_)
        process_ = -1;
    return process_ <= 0;
}

void front_process::reset_peak_memory() const
{
    std::ofstream control("/proc/" + std::to_string(process_) + "/clear_refs");
    if (!(control << "5" << std::flush))
        throw std::runtime_error("the peak memory cannot be reset");
}

unsigned front_process::peak_memory_mb() const
{
    std::ifstream status("/proc/" + std::to_string(process_) + "/status");
    constexpr unsigned kb_per_mb = 1024;
    for (std::string line; std::getline(status, line);)
        if (constexpr std::string_view name = "VmHWM:"; line.starts_with(name))
            return static_cast<unsigned>(std::stoul(line.substr(name.size()))) / kb_per_mb;
    throw std::runtime_error("the process does not run");
}

std::size_t front_process::open_descriptors() const
{
    const std::filesystem::directory_iterator files("/proc/" + std::to_string(process_) + "/fd");
    return static_cast<std::size_t>(std::distance(begin(files), end(files)));
}

std::string front_process::output() const
{
    const std::ifstream file(folder_ / (name_ + ".log"));
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace teaseltally::test
