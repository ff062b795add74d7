// Reads the attributes of a block of an operators' file by name and kind, and notes every mistake with its
// place.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <vector>

#include "config/hcl.hpp"
#include "router/query_router.hpp"

namespace tealcart {

// A time as operators write it, "250ms", "1.5s", units ns us ms s m h; none if it is no such text or beyond a
// year.
bool read_span(std::string_view text, Nanos& span);
// So many bytes: "64KiB", "4MiB", "1GiB" or "300B".
bool read_bytes(std::string_view text, std::uint64_t& bytes);
std::string write_span(Nanos span);

class BlockReader {
  public:
    BlockReader(const HclBlock& block, std::vector<HclMistake>& mistakes)
        : block_(block), mistakes_(mistakes) {}

    // Each gives `otherwise` where the attribute is absent or wrong; the ranges hold both ends.
    Nanos span(std::string_view name, Nanos otherwise, Nanos least, Nanos most);
    double number(std::string_view name, double otherwise, double least, double most);
    std::int64_t whole(std::string_view name, std::int64_t otherwise, std::int64_t least, std::int64_t most);
    std::uint64_t bytes(std::string_view name, std::uint64_t otherwise, std::uint64_t least,
                        std::uint64_t most);
    bool flag(std::string_view name, bool otherwise);
    std::string text(std::string_view name, std::string_view otherwise);
    std::vector<std::string> texts(std::string_view name);
    std::vector<std::pair<std::string, double>> numbers_by_name(std::string_view name);
    // The place of the word in `words`.
    std::size_t choice(std::string_view name, std::size_t otherwise,
                       std::initializer_list<const char*> words);

    // The one label of the block, or empty with a mistake noted.
    std::string label(const char* what);
    void no_label();
    // The blocks of this type; noted as read.
    std::vector<const HclBlock*> blocks(std::string_view type);
    // The block of this type, which may stand once.
    const HclBlock* only_block(std::string_view type);
    void wrong(HclAt at, std::string words) { mistakes_.push_back({at, std::move(words)}); }
    // Notes what was asked by none of the above.
    void finish();

  private:
    const HclAttribute* find(std::string_view name);

    const HclBlock& block_;
    std::vector<HclMistake>& mistakes_;
    std::vector<std::string> known_, known_blocks_;
};

}  // namespace tealcart
