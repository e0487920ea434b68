#pragma once

#include <string>

/// @file
/// Logging of the daemons.

namespace teaseltally {

/// Sets up logging.
/// @param level lowest level that is written: debug, info, warning or error.
/// @param file file to write to; empty writes to standard error.
void start_logging(const std::string& level, const std::string& file);

/// Writes one structured line at level info.
void write_log_line(const std::string& line);

/// Writes out what easylogging++ has gathered.
void flush_log();

} // namespace teaseltally
