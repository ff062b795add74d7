#include "log/log.hpp"

#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <nlohmann/json.hpp>

namespace tealcart {
namespace {

constexpr double lines_per_second = 20, burst = 200;
constexpr const char* level_names[] = {"debug", "info", "warn", "error"};
constexpr spdlog::level::level_enum levels[] = {spdlog::level::debug, spdlog::level::info,
                                                spdlog::level::warn, spdlog::level::err};

LogFormat log_format = LogFormat::text;

// Only one thread writes, so the sink needs no lock. Each line is flushed at once.
spdlog::logger& logger() {
    static const auto instance = [] {
        auto sink = std::make_shared<spdlog::sinks::stderr_sink_st>();
        sink->set_pattern("%v");
        auto log = std::make_shared<spdlog::logger>("", std::move(sink));
        log->flush_on(spdlog::level::debug);
        return log;
    }();
    return *instance;
}

void write(LogLevel level, std::string_view query, std::string_view text) {
    const auto at = static_cast<std::size_t>(level);
    if (log_format == LogFormat::text) {
        if (query.empty()) return logger().log(levels[at], "{}", text);
        return logger().log(levels[at], "{} query={}", text, query);
    }
    using namespace std::chrono;
    nlohmann::ordered_json line;
    line["at_ms"] = duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
    line["level"] = level_names[at];
    if (!query.empty()) line["query"] = query;
    line["line"] = text;
    const auto replace = nlohmann::ordered_json::error_handler_t::replace;
    logger().log(levels[at], "{}", line.dump(-1, ' ', true, replace));
}

void log_rated(LogLevel level, std::string_view query, const char* format, std::va_list arguments) {
    if (!logger().should_log(levels[static_cast<std::size_t>(level)])) return;
    static double tokens = burst;
    static long dropped = 0;
    static auto last = std::chrono::steady_clock::now();
    const auto now = std::chrono::steady_clock::now();
    tokens = std::min(burst, tokens + std::chrono::duration<double>(now - last).count() * lines_per_second);
    last = now;
    if (tokens < 1) {
        ++dropped;
        return;
    }
    tokens -= 1;
    if (dropped > 0) write(LogLevel::info, {}, std::to_string(dropped) + " log lines dropped");
    dropped = 0;
    char line[512];
    std::vsnprintf(line, sizeof line, format, arguments);
    for (char* c = line; *c != 0; ++c)  // a line may contain control characters that a peer sent
        if (static_cast<unsigned char>(*c) < 0x20 || *c == 0x7f) *c = '?';
    write(level, query, line);
}

}  // namespace

void configure_log(const LogConfig& config) {
    log_format = config.format;
    logger().set_level(levels[static_cast<std::size_t>(config.level)]);
}

void log_line(const char* format, ...) {
    std::va_list arguments;
    va_start(arguments, format);
    log_rated(LogLevel::info, {}, format, arguments);
    va_end(arguments);
}

void log_query(LogLevel level, std::string_view query, const char* format, ...) {
    std::va_list arguments;
    va_start(arguments, format);
    log_rated(level, query, format, arguments);
    va_end(arguments);
}

}  // namespace tealcart
