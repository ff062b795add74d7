// Parser for operators' files, which are written in a subset of HCL's native syntax (docs/operator-file.md).
// It produces a tree in which every node has its line and column. The meaning of names is left to the readers
// (BlockReader).
#pragma once

#include <stdexcept>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace tealcart {

// A position in a file. Lines and columns are counted from 1.
struct HclPosition {
    std::size_t line = 1;
    std::size_t column = 1;
};

struct HclMember;

// A literal value. The subset has no expressions.
struct HclValue {
    using List = std::vector<HclValue>;
    using Object = std::vector<HclMember>;  // in file order; keys are unique

    std::variant<std::monostate, bool, double, std::string, List, Object> value;  // monostate: null
    HclPosition position;

    // The name of the type for error messages, such as "a string".
    const char* type_name() const;
};

// A member of an object.
struct HclMember {
    std::string key;
    HclValue value;
};

// An attribute of a block.
struct HclAttribute {
    std::string name;
    HclValue value;
    HclPosition position;  // of the name
};

// A block with its labels, attributes and nested blocks.
struct HclBlock {
    std::string type;  // empty for the file itself
    std::vector<std::string> labels;
    std::vector<HclAttribute> attributes;  // names are unique
    std::vector<HclBlock> blocks;
    HclPosition position;
};

// An error and its position in the file.
struct HclError {
    HclPosition position;
    std::string message;
};

// The errors of a file. `what()` has a line `SOURCE:LINE:COLUMN: MESSAGE` for each of them.
class HclErrors : public std::runtime_error {
  public:
    HclErrors(std::string_view source, std::vector<HclError> errors);

    const std::vector<HclError>& errors() const { return errors_; }

  private:
    std::vector<HclError> errors_;
};

// Throws HclErrors with the errors in file order. Does nothing if there are none.
void throw_if_errors(std::string_view source, std::vector<HclError> errors);

constexpr std::size_t max_hcl_bytes = 1 << 20;
constexpr int max_hcl_depth = 24;  // nesting of blocks, lists and objects

// Parses a file as one block without a type; `source` is its name in errors. Throws HclErrors with the first
// syntax error.
HclBlock parse_hcl(std::string_view text, std::string_view source);

}  // namespace tealcart
