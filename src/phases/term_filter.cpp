#include "phases/term_filter.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <cstring>

namespace tealcart {
namespace {

// The salts that the Parquet format prescribes.
constexpr std::uint32_t salts[8] = {0x47b6137bU, 0x44974d91U, 0x8824ad5bU, 0xa2b7289dU,
                                    0x705495c7U, 0x2df1424bU, 0x9efc4947U, 0x5c6bfb31U};

std::size_t block_offset(std::size_t bytes, std::uint64_t hash) {
    return static_cast<std::size_t>(((hash >> 32) * (bytes / filter_block_bytes)) >> 32) * filter_block_bytes;
}

int bit_index(std::size_t word, std::uint64_t hash) {
    return static_cast<int>((static_cast<std::uint32_t>(hash) * salts[word]) >> 27);
}

}  // namespace

std::uint64_t term_hash(std::string_view term) { return XXH64(term.data(), term.size(), 0); }

std::vector<std::uint8_t> make_filter(std::size_t terms, double bits_per_term) {
    const auto bits = std::ceil(static_cast<double>(std::max<std::size_t>(terms, 1)) * bits_per_term);
    const auto blocks = static_cast<std::size_t>(std::ceil(bits / (8 * filter_block_bytes)));
    return std::vector<std::uint8_t>(std::max<std::size_t>(blocks, 1) * filter_block_bytes);
}

// Words are little-endian: bit b of a word is bit b % 8 of its byte b / 8.
void add_term(std::span<std::uint8_t> filter, std::uint64_t hash) {
    if (filter.size() < filter_block_bytes) return;
    std::uint8_t* block = filter.data() + block_offset(filter.size(), hash);
    for (std::size_t word = 0; word < 8; ++word) {
        const int bit = bit_index(word, hash);
        block[4 * word + static_cast<std::size_t>(bit / 8)] |= static_cast<std::uint8_t>(1 << (bit % 8));
    }
}

bool may_contain(std::span<const std::uint8_t> filter, std::uint64_t hash) {
    if (filter.size() < filter_block_bytes) return true;
    const std::uint8_t* block = filter.data() + block_offset(filter.size(), hash);
    for (std::size_t word = 0; word < 8; ++word) {
        const int bit = bit_index(word, hash);
        if ((block[4 * word + static_cast<std::size_t>(bit / 8)] >> (bit % 8) & 1) == 0) return false;
    }
    return true;
}

}  // namespace tealcart
