// CBOR (RFC 8949) in the subset that nlohmann/json writes, without a document in between: for the parts of a
// snapshot that grow with the fleet.
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
    void array(std::size_t size);  // then its values
    void map(std::size_t size);    // then its keys, each with its value

    // What was written so far; more may be appended.
    std::vector<std::uint8_t>& bytes() { return bytes_; }

  private:
    void head(unsigned major, std::uint64_t value);

    std::vector<std::uint8_t> bytes_;
};

// Reads what CborWriter writes. Each call throws CodecError (malformed) where something else comes, or the
// bytes end.
class CborReader {
  public:
    CborReader(const std::uint8_t* begin, std::size_t size) : position_(begin), end_(begin + size) {}

    const std::uint8_t* position() const { return position_; }
    std::uint64_t unsigned_number();
    std::int64_t signed_number();
    bool flag();
    std::string text();
    std::size_t array();  // its size
    void array(std::size_t size);
    std::size_t map();  // its size
    // Passes over one value, with all that it holds; also a number with a fraction.
    void skip();

  private:
    std::uint8_t peek() const;
    std::uint64_t head(unsigned major);
    // A size, of no more than there are bytes left for.
    std::uint64_t read_size(unsigned major, std::uint64_t min_bytes_each);

    const std::uint8_t* position_;
    const std::uint8_t* end_;
};

}  // namespace tealcart::replicated
