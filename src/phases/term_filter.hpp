// A split-block Bloom filter as the Parquet format describes it: blocks of eight 32-bit words, one bit a
// word, under the 64-bit xxHash of a term. Whoever holds a section makes it; routers look terms up. Pure
// functions on bytes.
#pragma once

#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace tealcart {

constexpr std::size_t filter_block_bytes = 32;  // bytes

std::uint64_t term_hash(std::string_view term);

// Room for so many terms at so many bits each.
std::vector<std::uint8_t> make_filter(std::size_t terms, double bits_per_term);
void add_term(std::span<std::uint8_t> filter, std::uint64_t hash);

// False: none of what was put in has this hash. A filter without a block may hold anything.
bool may_contain(std::span<const std::uint8_t> filter, std::uint64_t hash);

}  // namespace tealcart
