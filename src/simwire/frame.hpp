// Reading and writing the wire's values: little-endian, unpadded.
#pragma once

#include <bit>
#include <cmath>
#include <cstdint>
#include <cstring>
#include <string>
#include <string_view>
#include <type_traits>

#include "config/router_config_reader.hpp"
#include "router/query_router.hpp"

namespace tealcart::simwire {

static_assert(std::endian::native == std::endian::little, "the wire is little-endian");

// A frame that states more is taken for a lie.
constexpr std::uint32_t max_batch = 1U << 28;

class Reader {
  public:
    explicit Reader(std::string_view bytes) : bytes_(bytes) {}

    template <typename T>
    T take() {
        static_assert(std::is_arithmetic_v<T>);
        T value;
        std::memcpy(&value, take_bytes(sizeof value).data(), sizeof value);
        return value;
    }
    std::string_view take_bytes(std::size_t n) {
        if (n > bytes_.size() - at_) throw Malformed("a record ends before its fields do");
        at_ += n;
        return bytes_.substr(at_ - n, n);
    }
    // A time in milliseconds; anything that no clock could show is malformed.
    Nanos take_time(const char* what) {
        const double value = take<double>();
        if (!std::isfinite(value) || std::abs(value) > 1e12)
            throw Malformed(std::string(what) + " is not a time");
        return std::llround(value * 1e6);
    }
    bool done() const { return at_ == bytes_.size(); }
    std::size_t at() const { return at_; }

  private:
    std::string_view bytes_;
    std::size_t at_ = 0;
};

template <typename T>
void put(std::string& out, T value) {
    static_assert(std::is_arithmetic_v<T>);
    char bytes[sizeof value];
    std::memcpy(bytes, &value, sizeof value);
    out.append(bytes, sizeof value);
}

inline double to_ms(Nanos span) { return static_cast<double>(span) / 1e6; }

}  // namespace tealcart::simwire
