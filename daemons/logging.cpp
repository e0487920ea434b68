#include "logging.hpp"

#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP

namespace teaseltally {
namespace {

/// Maximum number of lines that easylogging++ buffers before it writes them to the file.
constexpr auto max_buffered_lines = "1000";

} // namespace

void start_logging(const std::string& level, const std::string& file)
{
    el::Configurations settings;
    settings.setToDefault();
    settings.setGlobally(el::ConfigurationType::Format,
                         "time=%datetime{%Y-%M-%dT%H:%m:%s.%g} level=%level %msg");
    settings.setGlobally(el::ConfigurationType::ToFile, file.empty() ? "false" : "true");
    settings.setGlobally(el::ConfigurationType::ToStandardOutput, file.empty() ? "true" : "false");
    settings.setGlobally(el::ConfigurationType::LogFlushThreshold, max_buffered_lines);
    if (!file.empty())
        settings.setGlobally(el::ConfigurationType::Filename, file);
    if (level == "warning" || level == "error")
        settings.set(el::Level::Info, el::ConfigurationType::Enabled, "false");
    if (level == "error")
        settings.set(el::Level::Warning, el::ConfigurationType::Enabled, "false");
    el::Loggers::reconfigureLogger("default", settings);
}

void write_log_line(const std::string& line)
{
    LOG(INFO) << line;
}

void flush_log()
{
    el::Loggers::flushAll();
}

} // namespace teaseltally
