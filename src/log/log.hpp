// The one place where log lines leave the service.
#pragma once

#include <string_view>

#include "log/log_config.hpp"

namespace tealcart {

// How lines are written from here on: as text, which is how it begins, or as JSON with time, level and query.
void configure_log(const LogConfig& config);

// One line on standard error, at level info. Over a burst of 200 lines, twenty a second at most are written;
// how many were not is told with the next one that is.
[[gnu::format(printf, 1, 2)]] void log_line(const char* format, ...);
// The same at another level, for a line about a query: its id stands in the line. Empty for none.
[[gnu::format(printf, 3, 4)]] void log_query(LogLevel level, std::string_view query, const char* format, ...);

}  // namespace tealcart
