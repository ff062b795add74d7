// Encodes and decodes the values of the simulator's wire format, which is little-endian without padding.
#pragma once

#include <bit>
#include <cmath>
#include <cstdint>
#include <cstring>
#include <stdexcept>
#include <string>
#include <string_view>
#include <type_traits>

#include "router/query_router.hpp"

namespace tealcart::simwire {

static_assert(std::endian::native == std::endian::little, "the wire is little-endian");

// A batch that violates the wire format. `what()` is a single line.
class WireError : public std::runtime_error {
  public:
    using std::runtime_error::runtime_error;
};

constexpr double nanos_per_ms = 1e6;  // times on the wire are fractional milliseconds

// Reads consecutive values of a record. Every read throws WireError if the record is too short.
class ByteReader {
  public:
    explicit ByteReader(std::string_view bytes) : bytes_(bytes) {}

    template <typename T>
    T take() {
        static_assert(std::is_arithmetic_v<T>);
        T value;
        std::memcpy(&value, take_bytes(sizeof value).data(), sizeof value);
        return value;
    }
    std::string_view take_bytes(std::size_t count) {
        if (count > bytes_.size() - position_)
            throw WireError("record ends before its fields: " + std::to_string(count) + " bytes expected, " +
                            std::to_string(bytes_.size() - position_) + " left");
        position_ += count;
        return bytes_.substr(position_ - count, count);
    }
    // Reads a time or duration in milliseconds. `name` is the field's name for the error that is thrown if
    // the value is not finite or too large for a clock.
    Nanos take_time(const char* name) {
        constexpr double max_ms = 1e12;
        const auto milliseconds = take<double>();
        if (!std::isfinite(milliseconds) || std::abs(milliseconds) > max_ms)
            throw WireError("field " + std::string(name) + " is " + std::to_string(milliseconds) +
                            "; expected a time of at most 1e12 ms");
        return std::llround(milliseconds * nanos_per_ms);
    }
    // The number of bytes read so far.
    std::size_t position() const { return position_; }

  private:
    std::string_view bytes_;
    std::size_t position_ = 0;
};

// Appends the bytes of `value`.
template <typename T>
void append(std::string& out, T value) {
    static_assert(std::is_arithmetic_v<T>);
    char bytes[sizeof value];
    std::memcpy(bytes, &value, sizeof value);
    out.append(bytes, sizeof value);
}

inline double to_milliseconds(Nanos duration) { return static_cast<double>(duration) / nanos_per_ms; }

}  // namespace tealcart::simwire
