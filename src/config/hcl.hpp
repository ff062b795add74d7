// The operators' files: a subset of HCL's native syntax, as a tree whose every piece knows its line and
// column. Which subset: docs/operator-file.md. Pure functions on text; what a name may stand for is the
// reader's.
#pragma once

#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace tealcart {

struct HclAt {
    std::size_t line = 1, column = 1;
};

struct HclValue {
    using List = std::vector<HclValue>;
    using Object = std::vector<std::pair<std::string, HclValue>>;

    std::variant<std::monostate, bool, double, std::string, List, Object> value;  // monostate: null
    HclAt at;

    // "a string", "a number" ...: for what is told of a wrong one.
    const char* kind() const;
};

struct HclAttribute {
    std::string name;
    HclValue value;
    HclAt at;
};

struct HclBlock {
    std::string type;
    std::vector<std::string> labels;
    std::vector<HclAttribute> attributes;
    std::vector<HclBlock> blocks;
    HclAt at;
};

struct HclMistake {
    HclAt at;
    std::string words;
};

// All that is wrong with a file; what() holds a line `SOURCE:LINE:COLUMN: WORDS` for each.
struct HclMistakes : std::runtime_error {
    HclMistakes(std::string_view source, std::vector<HclMistake> found);

    std::vector<HclMistake> mistakes;
};

constexpr std::size_t max_hcl = 1 << 20;  // bytes; and blocks, lists and objects lie at most ...
constexpr int deepest_hcl = 24;           // ... so deep in each other

// The file as one block without a type. Throws HclMistakes with the first thing that can't be read.
HclBlock parse_hcl(std::string_view text, std::string_view source);

}  // namespace tealcart
