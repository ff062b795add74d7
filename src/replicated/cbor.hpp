// A streaming CBOR (RFC 8949) writer and reader for the subset that nlohmann/json writes. They build no JSON
// document in memory, and serve the parts of a snapshot that grow with the fleet.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace tealcart::replicated {

// Appends CBOR items to a buffer.
class CborWriter {
  public:
    void number(std::uint64_t value);
    void number(std::int64_t value);
    void flag(bool on);
    void text(const std::string& value);
    void array(std::size_t size);  // write this many values next
    void map(std::size_t size);    // write this many keys next, each followed by its value

    // The bytes written so far. The caller may append further items to them.
    std::vector<std::uint8_t>& bytes() { return bytes_; }

  private:
    void head(unsigned major, std::uint64_t value);

    std::vector<std::uint8_t> bytes_;
};

// Reads what CborWriter writes. Each call throws CodecError (malformed) if the next item has another type or
// the bytes end.
class CborReader {
  public:
    CborReader(const std::uint8_t* begin, std::size_t size) : position_(begin), end_(begin + size) {}

    const std::uint8_t* position() const { return position_; }
    std::uint64_t unsigned_number();
    std::int64_t signed_number();
    bool flag();
    std::string text();
    std::size_t array();           // returns the number of values
    void array(std::size_t size);  // throws unless the array has this size
    std::size_t map();             // returns the number of keys
    // Skips one value with everything nested in it. Floating-point numbers are skipped too.
    void skip();

  private:
    std::uint8_t peek() const;
    std::uint64_t head(unsigned major);
    // Reads a size and rejects one that the remaining bytes can't hold, so that a corrupt size never causes a
    // large allocation.
    std::uint64_t read_size(unsigned major, std::uint64_t min_bytes_each);

    const std::uint8_t* position_;
    const std::uint8_t* end_;
};

}  // namespace tealcart::replicated
