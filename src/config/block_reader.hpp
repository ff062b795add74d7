// Typed access to the attributes and nested blocks of one block of an operators' file. Every error is
// recorded with its position, so that a file's errors are all reported at once.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "config/hcl.hpp"
#include "router/query_router.hpp"

namespace tealcart {

// Reads one block. Each getter returns `fallback` where the attribute is absent or wrong, and records an
// error in the latter case; ranges include both ends. `reject_unknown` is called last: it records an error
// for each attribute and block that no getter has asked for. The block and the list of errors must outlive
// the reader.
class BlockReader {
  public:
    BlockReader(const HclBlock& block, std::vector<HclError>& errors) : block_(block), errors_(errors) {}

    // A duration such as "250ms".
    Nanos duration(std::string_view name, Nanos fallback, Nanos min, Nanos max);
    double number(std::string_view name, double fallback, double min, double max);
    std::int64_t integer(std::string_view name, std::int64_t fallback, std::int64_t min, std::int64_t max);
    // A size in bytes such as "4MiB".
    std::uint64_t byte_size(std::string_view name, std::uint64_t fallback, std::uint64_t min,
                            std::uint64_t max);
    bool boolean(std::string_view name, bool fallback);
    std::string string(std::string_view name, std::string_view fallback);
    // A list of strings; empty where the attribute is absent. Elements that are no strings are left out.
    std::vector<std::string> strings(std::string_view name);
    // An object whose values are numbers, in the order of the file.
    std::vector<std::pair<std::string, double>> numbers_by_key(std::string_view name);
    // The index in `words` of the attribute's value.
    std::size_t choice(std::string_view name, std::size_t fallback, std::initializer_list<const char*> words);

    // The block's only label; empty, with an error that says `what` it should be, where it has none or
    // several.
    std::string label(const char* what);
    void expect_no_label();
    // The nested blocks of this type, in the order of the file.
    std::vector<const HclBlock*> blocks(std::string_view type);
    // The nested block of a type that may occur once; null where there is none.
    const HclBlock* single_block(std::string_view type);

    void add_error(HclPosition position, std::string message) {
        errors_.push_back({position, std::move(message)});
    }
    void reject_unknown();

  private:
    const HclAttribute* find(std::string_view name);
    void add_type_error(const HclAttribute& attribute, std::string_view expected);

    const HclBlock& block_;
    std::vector<HclError>& errors_;
    std::vector<std::string> known_attributes_;
    std::vector<std::string> known_blocks_;
};

}  // namespace tealcart
