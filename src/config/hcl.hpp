// Parser of the operators' files: a subset of HCL's native syntax, as a tree in which every node knows its
// line and column. docs/operator-file.md describes the subset. Pure functions on text; what a name means is
// up to the readers (BlockReader).
#pragma once

#include <stdexcept>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace tealcart {

// A place in a file, both counted from 1.
struct HclPosition {
    std::size_t line = 1;
    std::size_t column = 1;
};

struct HclMember;

// A literal: there are no expressions.
struct HclValue {
    using List = std::vector<HclValue>;
    using Object = std::vector<HclMember>;  // in the order of the file; no key occurs twice

    std::variant<std::monostate, bool, double, std::string, List, Object> value;  // monostate: null
    HclPosition position;

    // "a string", "a number" ...: for error messages.
    const char* type_name() const;
};

// A member of an object.
struct HclMember {
    std::string key;
    HclValue value;
};

struct HclAttribute {
    std::string name;
    HclValue value;
    HclPosition position;  // of the name
};

struct HclBlock {
    std::string type;  // empty for the file itself
    std::vector<std::string> labels;
    std::vector<HclAttribute> attributes;  // no name occurs twice
    std::vector<HclBlock> blocks;
    HclPosition position;
};

struct HclError {
    HclPosition position;
    std::string message;
};

// All errors of a file. `what()` has a line `SOURCE:LINE:COLUMN: MESSAGE` for each.
class HclErrors : public std::runtime_error {
  public:
    HclErrors(std::string_view source, std::vector<HclError> errors);

    const std::vector<HclError>& errors() const { return errors_; }

  private:
    std::vector<HclError> errors_;
};

// Throws HclErrors with the errors in the order of the file; returns where there are none.
void throw_if_errors(std::string_view source, std::vector<HclError> errors);

constexpr std::size_t max_hcl_bytes = 1 << 20;
constexpr int max_hcl_depth = 24;  // of blocks, lists and objects in each other

// Parses a file as one block without a type; `source` is its name in errors. Throws HclErrors with the first
// syntax error.
HclBlock parse_hcl(std::string_view text, std::string_view source);

}  // namespace tealcart
