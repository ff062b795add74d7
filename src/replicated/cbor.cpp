#include "replicated/cbor.hpp"

#include <utility>

#include "replicated/codec_error.hpp"

namespace tealcart::replicated {
namespace {

// Major types (the high three bits of an item's first byte) and the additional information (the low five
// bits), as RFC 8949 names them.
constexpr unsigned unsigned_type = 0, negative_type = 1, text_type = 3, array_type = 4, map_type = 5,
                   simple_type = 7;
constexpr unsigned major_shift = 5, additional_information_mask = 31;
constexpr unsigned first_length_code = 24;           // a lower number is the value itself
constexpr unsigned max_additional_information = 27;  // with 24 to 27 the value follows in 1, 2, 4 or 8 bytes
constexpr std::uint8_t false_byte = 0xf4, true_byte = 0xf5;

// The additional information for a value: the value itself if it is small, otherwise the code for the number
// of bytes that follow.
unsigned additional_information(std::uint64_t value) {
    if (value < first_length_code) return static_cast<unsigned>(value);
    if (value <= 0xff) return first_length_code;
    if (value <= 0xffff) return first_length_code + 1;
    return value <= 0xffffffff ? first_length_code + 2 : first_length_code + 3;
}

[[noreturn]] void throw_malformed() { throw CodecError(CodecError::Fault::malformed, "invalid CBOR"); }

}  // namespace

void CborWriter::head(unsigned major, std::uint64_t value) {
    const unsigned additional = additional_information(value);
    bytes_.push_back(static_cast<std::uint8_t>(major << major_shift | additional));
    if (additional < first_length_code) return;
    for (int shift = 8 * (1 << (additional - first_length_code)) - 8; shift >= 0; shift -= 8)
        bytes_.push_back(static_cast<std::uint8_t>(value >> shift));
}

void CborWriter::number(std::uint64_t value) { head(unsigned_type, value); }

void CborWriter::number(std::int64_t value) {
    if (value >= 0)
        head(unsigned_type, static_cast<std::uint64_t>(value));
    else
        head(negative_type, static_cast<std::uint64_t>(-(value + 1)));
}

void CborWriter::flag(bool on) { bytes_.push_back(on ? true_byte : false_byte); }

void CborWriter::text(const std::string& value) {
    head(text_type, value.size());
    bytes_.insert(bytes_.end(), value.begin(), value.end());
}

void CborWriter::array(std::size_t size) { head(array_type, size); }

void CborWriter::map(std::size_t size) { head(map_type, size); }

std::uint8_t CborReader::peek() const {
    if (position_ == end_) throw_malformed();
    return *position_;
}

std::uint64_t CborReader::head(unsigned major) {
    const unsigned first = peek();
    const unsigned additional = first & additional_information_mask;
    if (first >> major_shift != major || additional > max_additional_information) throw_malformed();
    ++position_;
    if (additional < first_length_code) return additional;
    const std::ptrdiff_t size = std::ptrdiff_t{1} << (additional - first_length_code);
    if (end_ - position_ < size) throw_malformed();
    std::uint64_t value = 0;
    for (std::ptrdiff_t i = 0; i < size; ++i) value = value << 8 | *position_++;
    return value;
}

std::uint64_t CborReader::read_size(unsigned major, std::uint64_t min_bytes_each) {
    const std::uint64_t size = head(major);
    if (size > static_cast<std::uint64_t>(end_ - position_) / min_bytes_each) throw_malformed();
    return size;
}

std::uint64_t CborReader::unsigned_number() { return head(unsigned_type); }

std::int64_t CborReader::signed_number() {
    if (peek() >> major_shift == unsigned_type) return static_cast<std::int64_t>(head(unsigned_type));
    return -1 - static_cast<std::int64_t>(head(negative_type));
}

bool CborReader::flag() {
    const std::uint8_t byte = peek();
    if (byte != false_byte && byte != true_byte) throw_malformed();
    ++position_;
    return byte == true_byte;
}

std::string CborReader::text() {
    const auto size = static_cast<std::ptrdiff_t>(read_size(text_type, 1));
    const std::uint8_t* const begin = std::exchange(position_, position_ + size);
    return {begin, position_};
}

std::size_t CborReader::array() { return static_cast<std::size_t>(read_size(array_type, 1)); }

void CborReader::array(std::size_t size) {
    if (array() != size) throw_malformed();
}

std::size_t CborReader::map() { return static_cast<std::size_t>(read_size(map_type, 2)); }

void CborReader::skip() {
    for (std::uint64_t left = 1; left > 0; --left) {
        const unsigned first = peek();
        const unsigned major = first >> major_shift;
        if (major == text_type)
            text();
        else if (major == array_type)
            left += array();
        else if (major == map_type)
            left += 2 * map();
        else if (major == simple_type && (first & additional_information_mask) < first_length_code + 1)
            flag();
        else
            head(major);
    }
}

}  // namespace tealcart::replicated
