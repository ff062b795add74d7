// A split-block Bloom filter as the Parquet format specifies it: blocks of eight 32-bit words with one bit
// set in each word, selected by the 64-bit xxHash of the term. The data node that holds a section builds the
// filter; routers look terms up in it. Pure functions on bytes.
#pragma once

#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace tealcart {

constexpr std::size_t filter_block_bytes = 32;

std::uint64_t term_hash(std::string_view term);

// Returns an empty filter with room for this number of terms at this number of bits for each of them.
std::vector<std::uint8_t> make_filter(std::size_t terms, double bits_per_term);
// Sets the bits of a hash; does nothing if the filter has no block.
void add_term(std::span<std::uint8_t> filter, std::uint64_t hash);

// Returns false if no term with this hash was added. A filter without a block may contain any term.
bool may_contain(std::span<const std::uint8_t> filter, std::uint64_t hash);

}  // namespace tealcart
