#include "service/log.hpp"

#include <algorithm>
#include <chrono>
#include <cstdarg>
#include <cstdio>

namespace tealcart {
namespace {

constexpr double lines_a_second = 20, burst = 200;

}  // namespace

void log_line(const char* format, ...) {
    static double left = burst;
    static long unwritten = 0;
    static auto last = std::chrono::steady_clock::now();
    const auto now = std::chrono::steady_clock::now();
    left = std::min(burst, left + std::chrono::duration<double>(now - last).count() * lines_a_second);
    last = now;
    if (left < 1) {
        ++unwritten;
        return;
    }
    left -= 1;
    if (unwritten > 0) std::fprintf(stderr, "%ld lines left out\n", unwritten);
    unwritten = 0;
    char line[512];
    std::va_list arguments;
    va_start(arguments, format);
    std::vsnprintf(line, sizeof line, format, arguments);
    va_end(arguments);
    for (char* c = line; *c != 0; ++c)  // what a peer sent may be in it
        if (static_cast<unsigned char>(*c) < 0x20 || *c == 0x7f) *c = '?';
    std::fprintf(stderr, "%s\n", line);
}

}  // namespace tealcart
