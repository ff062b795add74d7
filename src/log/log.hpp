// Writes log lines to standard error. All log lines of the programs go through these functions.
#pragma once

#include <string_view>

#include "log/log_config.hpp"

namespace tealcart {

// Sets the lowest level and the format of the lines: text, which is the default, or JSON with time, level and
// query.
void configure_log(const LogConfig& config);

// Writes one line at level info. Beyond a burst of 200 lines, at most 20 lines a second are written; the
// number of dropped lines is written before the next line.
[[gnu::format(printf, 1, 2)]] void log_line(const char* format, ...);
// Writes one line at the given level. `query` is the id of the query that the line is about; empty for none.
[[gnu::format(printf, 3, 4)]] void log_query(LogLevel level, std::string_view query, const char* format, ...);

}  // namespace tealcart
