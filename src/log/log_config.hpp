// Settings of the log: the format of lines and the lowest level that is written.
#pragma once

#include <cstdint>

namespace tealcart {

// The format of a log line: plain text, or one JSON object with time, level and query id.
enum class LogFormat : std::uint8_t { text, json };

// Severity of a log line, lowest first.
enum class LogLevel : std::uint8_t { debug, info, warn, error };

// The `log` block of an operator's file.
struct LogConfig {
    LogFormat format = LogFormat::text;
    LogLevel level = LogLevel::info;
};

}  // namespace tealcart
