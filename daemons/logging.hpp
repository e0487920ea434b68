#pragma once

#include <string>

/// @file
/// Logging of the daemons with easylogging++.

namespace teaseltally {

/// Configures the process-wide logger.
/// @param level lowest level that is written: debug, info, warning or error. Any other value writes all
/// levels.
/// @param file path of the log file; if it is empty, lines are written to standard output.
void start_logging(const std::string& level, const std::string& file);

/// Writes one line at level info. The line is dropped if the configured level is warning or error.
/// @param line text of the line without time, level and line break.
void write_log_line(const std::string& line);

/// Writes the buffered lines to the log file.
void flush_log();

} // namespace teaseltally
