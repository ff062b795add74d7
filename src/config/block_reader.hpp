// Typed access to the attributes and nested blocks of one block in an operators' file. Errors are collected
// with their positions, so that all errors of a file are reported at once.
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

// Reads one block. Each getter returns `fallback` if the attribute is absent or invalid, and records an error
// if it is invalid. Ranges include both ends. `reject_unknown` has to be called last, and records an error
// for each attribute and block that no getter has read. The block and the list of errors must outlive the
// reader.
class BlockReader {
  public:
    BlockReader(const HclBlock& block, std::vector<HclError>& errors) : block_(block), errors_(errors) {}

    // Reads a duration such as "250ms".
    Nanos duration(std::string_view name, Nanos fallback, Nanos min, Nanos max);
    double number(std::string_view name, double fallback, double min, double max);
    std::int64_t integer(std::string_view name, std::int64_t fallback, std::int64_t min, std::int64_t max);
    // Reads a size in bytes such as "4MiB".
    std::uint64_t byte_size(std::string_view name, std::uint64_t fallback, std::uint64_t min,
                            std::uint64_t max);
    bool boolean(std::string_view name, bool fallback);
    std::string string(std::string_view name, std::string_view fallback);
    // Reads a list of strings, which is empty if the attribute is absent. Elements of another type are errors
    // and are skipped.
    std::vector<std::string> strings(std::string_view name);
    // Reads an object whose values are numbers, in file order.
    std::vector<std::pair<std::string, double>> numbers_by_key(std::string_view name);
    // Returns the index of the attribute's value in `words`.
    std::size_t choice(std::string_view name, std::size_t fallback, std::initializer_list<const char*> words);

    // Returns the block's only label. If the block has no label or several, returns an empty string and
    // records an error that describes the expected label as `what`.
    std::string label(const char* what);
    // Records an error if the block has a label.
    void expect_no_label();
    // Returns the nested blocks of this type in file order.
    std::vector<const HclBlock*> blocks(std::string_view type);
    // Returns the nested block of a type that may occur once, or null if there is none. Records an error for
    // each further one.
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
