// The one place where log lines leave the service.
#pragma once

namespace tealcart {

// One line on standard error. Over a burst of 200 lines, twenty a second at most are written; how many were
// not is told with the next one that is.
[[gnu::format(printf, 1, 2)]] void log_line(const char* format, ...);

}  // namespace tealcart
