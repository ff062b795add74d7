#include "config/hcl.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>
#include <tao/pegtl.hpp>
#include <tao/pegtl/contrib/parse_tree.hpp>

namespace tealcart {
namespace {

namespace peg = tao::pegtl;

// NOLINTBEGIN(readability-identifier-naming): rules have the names of the grammar, as PEGTL does
namespace grammar {

struct line_comment
    : peg::seq<peg::sor<peg::one<'#'>, peg::string<'/', '/'>>, peg::until<peg::at<peg::eolf>>> {};
struct comment_end : peg::until<peg::string<'*', '/'>> {};
struct block_comment : peg::if_must<peg::string<'/', '*'>, comment_end> {};
struct gap : peg::star<peg::sor<peg::blank, block_comment>> {};                  // within a line
struct space : peg::star<peg::sor<peg::space, line_comment, block_comment>> {};  // across lines

struct name
    : peg::seq<peg::sor<peg::alpha, peg::one<'_'>>, peg::star<peg::sor<peg::alnum, peg::one<'_', '-'>>>> {};
struct digits : peg::plus<peg::digit> {};
struct fraction : peg::if_must<peg::one<'.'>, digits> {};
struct exponent : peg::if_must<peg::one<'e', 'E'>, peg::opt<peg::one<'+', '-'>>, digits> {};
struct number : peg::seq<peg::opt<peg::one<'-'>>, digits, peg::opt<fraction>, peg::opt<exponent>,
                         peg::not_at<peg::alpha>> {};

struct four_hex : peg::rep<4, peg::xdigit> {};
struct unicode : peg::if_must<peg::one<'u'>, four_hex> {};
struct escape_code : peg::sor<peg::one<'n', 'r', 't', '"', '\\'>, unicode> {};
struct escape : peg::if_must<peg::one<'\\'>, escape_code> {};
struct no_template : peg::not_at<peg::sor<peg::string<'$', '{'>, peg::string<'%', '{'>>> {};
struct plain : peg::not_range<0, 0x1f> {};
struct text_end : peg::until<peg::one<'"'>, peg::must<no_template>, peg::sor<escape, plain>> {};
struct text : peg::if_must<peg::one<'"'>, text_end> {};

struct true_literal : peg::keyword<'t', 'r', 'u', 'e'> {};
struct false_literal : peg::keyword<'f', 'a', 'l', 's', 'e'> {};
struct null_literal : peg::keyword<'n', 'u', 'l', 'l'> {};

struct value;
struct required_value : peg::seq<value> {};
struct comma : peg::seq<space, peg::one<','>, space> {};
struct list_end : peg::one<']'> {};
struct list : peg::if_must<peg::one<'['>, space, peg::opt<peg::list<value, comma>, peg::opt<comma>>, space,
                           list_end> {};
struct member_assign : peg::sor<peg::one<'='>, peg::one<':'>> {};
struct member : peg::if_must<peg::sor<name, text>, gap, member_assign, space, required_value> {};
struct member_gap : peg::sor<comma, peg::seq<gap, peg::opt<line_comment>, peg::eol, space>> {};
struct object_end : peg::one<'}'> {};
struct object
    : peg::if_must<peg::one<'{'>, space, peg::opt<peg::list<member, member_gap>, peg::opt<member_gap>>, space,
                   object_end> {};
struct value : peg::sor<text, number, true_literal, false_literal, null_literal, list, object> {};

struct item_end
    : peg::seq<gap, peg::sor<peg::at<peg::one<'}'>>, peg::seq<peg::opt<line_comment>, peg::eolf>>> {};
struct attribute : peg::seq<name, gap, peg::if_must<peg::one<'='>, gap, required_value, item_end>> {};
struct label : peg::sor<text, name> {};
struct body;
struct block_end : peg::one<'}'> {};
struct block
    : peg::seq<name, gap, peg::star<label, gap>, peg::if_must<peg::one<'{'>, body, block_end, item_end>> {};
struct item : peg::sor<attribute, block> {};
struct body : peg::seq<space, peg::star<item, space>> {};
struct file_end : peg::eof {};
struct file : peg::must<body, file_end> {};

}  // namespace grammar
// NOLINTEND(readability-identifier-naming): end of the grammar

template <typename>
constexpr const char* error_message = nullptr;
template <>
constexpr auto error_message<grammar::comment_end> = "comment is not terminated; expected '*/'";
template <>
constexpr auto error_message<grammar::digits> =
    "number has no digits after '.' or its exponent; expected digits";
template <>
constexpr auto error_message<grammar::four_hex> =
    "\\u escape is incomplete; expected four hexadecimal digits";
template <>
constexpr auto error_message<grammar::escape_code> =
    "unknown escape sequence; expected one of \\n \\r \\t \\\" \\\\ \\uNNNN";
template <>
constexpr auto error_message<grammar::no_template> =
    "string contains a template (\"${\" or \"%{\"), which is not supported";
template <>
constexpr auto error_message<grammar::text_end> = "string is not terminated on its line; expected '\"'";
template <>
constexpr auto error_message<grammar::list_end> = "list is not terminated; expected ',' or ']'";
template <>
constexpr auto error_message<grammar::member_assign> =
    "object key has no value; expected '=' or ':' after it";
template <>
constexpr auto error_message<grammar::object_end> =
    "object is not terminated; expected ',', a new line or '}'";
template <>
constexpr auto error_message<grammar::required_value> =
    "missing or invalid value; expected a string, number, true, false, null, list or object";
template <>
constexpr auto error_message<grammar::item_end> =
    "unexpected text after a value or block; expected the end of the line";
template <>
constexpr auto error_message<grammar::block_end> =
    "unexpected text in a block; expected an attribute, a block or '}'";
template <>
constexpr auto error_message<grammar::file_end> =
    "unexpected text in the file; expected an attribute or a block";
template <>
constexpr auto error_message<grammar::space> = "";  // these three rules always match
template <>
constexpr auto error_message<grammar::gap> = "";
template <>
constexpr auto error_message<grammar::body> = "";

struct Messages {
    template <typename Rule>
    static constexpr const char* message = error_message<Rule>;
    template <typename Rule>
    static constexpr bool raise_on_failure = false;
};
template <typename Rule>
using ParseControl = peg::must_if<Messages, peg::normal, false>::control<Rule>;

// Selects the nodes of the parse tree that TreeBuilder uses.
template <typename Rule>
using TreeSelector = peg::parse_tree::selector<
    Rule,
    peg::parse_tree::store_content::on<grammar::name, grammar::number, grammar::text, grammar::true_literal,
                                       grammar::false_literal, grammar::null_literal>,
    peg::parse_tree::remove_content::on<grammar::list, grammar::object, grammar::member, grammar::attribute,
                                        grammar::label, grammar::block>>;
using Node = peg::parse_tree::node;

HclPosition position_of(const Node& node) { return {node.begin().line, node.begin().column}; }

// Appends a code point of the basic multilingual plane as UTF-8.
void append_utf8(std::string& out, std::uint32_t code) {
    if (code < 0x80) {
        out += static_cast<char>(code);
    } else if (code < 0x800) {
        out += static_cast<char>(0xc0 | code >> 6);
        out += static_cast<char>(0x80 | (code & 0x3f));
    } else {
        out += static_cast<char>(0xe0 | code >> 12);
        out += static_cast<char>(0x80 | (code >> 6 & 0x3f));
        out += static_cast<char>(0x80 | (code & 0x3f));
    }
}

char escaped_character(char code) {
    switch (code) {
        case 'n':
            return '\n';
        case 'r':
            return '\r';
        case 't':
            return '\t';
        default:
            return code;
    }
}

// Returns the content of a quoted string. The grammar guarantees that every escape sequence is complete.
std::string unquote(std::string_view quoted) {
    std::string out;
    const std::string_view in = quoted.substr(1, quoted.size() - 2);
    for (std::size_t i = 0; i < in.size(); ++i) {
        if (in[i] != '\\') {
            out += in[i];
            continue;
        }
        const char code = in[++i];
        if (code == 'u') {
            std::uint32_t value = 0;
            std::from_chars(in.data() + i + 1, in.data() + i + 5, value, 16);
            append_utf8(out, value);
            i += 4;
        } else {
            out += escaped_character(code);
        }
    }
    return out;
}

// Returns a label or key, which may be quoted.
std::string name_of(const Node& node) {
    return node.is_type<grammar::text>() ? unquote(node.string_view()) : node.string();
}

// Converts the parse tree to blocks and values.
class TreeBuilder {
  public:
    explicit TreeBuilder(std::string_view source) : source_(source) {}

    HclBlock file(const Node& root) const {
        HclBlock built = block(root);
        built.position = {};
        return built;
    }

  private:
    HclBlock block(const Node& node) const {
        HclBlock built;
        built.position = position_of(node);
        for (const auto& child : node.children) {
            if (child->is_type<grammar::attribute>())
                add_attribute(built, *child);
            else if (child->is_type<grammar::block>())
                built.blocks.push_back(block(*child));
            else if (child->is_type<grammar::label>())
                built.labels.push_back(name_of(*child->children[0]));
            else
                built.type = child->string();
        }
        return built;
    }

    void add_attribute(HclBlock& block, const Node& node) const {
        HclAttribute attribute{node.children[0]->string(), value(*node.children[1]), position_of(node)};
        for (const HclAttribute& other : block.attributes)
            if (other.name == attribute.name) throw duplicate(attribute.position, attribute.name);
        block.attributes.push_back(std::move(attribute));
    }

    HclValue value(const Node& node) const {
        HclValue built{{}, position_of(node)};
        if (node.is_type<grammar::text>()) built.value = unquote(node.string_view());
        if (node.is_type<grammar::true_literal>()) built.value = true;
        if (node.is_type<grammar::false_literal>()) built.value = false;
        if (node.is_type<grammar::number>()) built.value = number(node);
        if (node.is_type<grammar::list>()) built.value = list(node);
        if (node.is_type<grammar::object>()) built.value = object(node);
        return built;
    }

    double number(const Node& node) const {
        double number = 0;
        const std::string_view digits = node.string_view();
        if (std::from_chars(digits.data(), digits.data() + digits.size(), number).ec != std::errc())
            throw HclErrors(source_,
                            {{position_of(node), "number " + std::string(digits) + " is out of range"}});
        return number;
    }

    HclValue::List list(const Node& node) const {
        HclValue::List list;
        for (const auto& child : node.children) list.push_back(value(*child));
        return list;
    }

    HclValue::Object object(const Node& node) const {
        HclValue::Object object;
        for (const auto& child : node.children) {
            std::string key = name_of(*child->children[0]);
            for (const auto& [other, _] : object)
                if (other == key) throw duplicate(position_of(*child), key);
            object.push_back({std::move(key), value(*child->children[1])});
        }
        return object;
    }

    HclErrors duplicate(HclPosition position, const std::string& name) const {
        return {source_, {{position, "'" + name + "' occurs twice; expected once"}}};
    }

    std::string source_;
};

// Returns the position at which brackets nest deeper than `max_hcl_depth`, if any. This bounds the parser's
// stack, so that it may count brackets within strings and comments too.
std::optional<HclPosition> find_too_deep(std::string_view text) {
    int depth = 0;
    HclPosition position;
    for (const char c : text) {
        if (c == '{' || c == '[') ++depth;
        if (depth > max_hcl_depth) return position;
        if ((c == '}' || c == ']') && depth > 0) --depth;
        ++position.column;
        if (c == '\n') position = {position.line + 1, 1};
    }
    return std::nullopt;
}

std::string error_lines(std::string_view source, const std::vector<HclError>& errors) {
    std::string out;
    for (const HclError& error : errors) {
        if (!out.empty()) out += '\n';
        out.append(source).append(":").append(std::to_string(error.position.line));
        out.append(":").append(std::to_string(error.position.column)).append(": ").append(error.message);
    }
    return out;
}

}  // namespace

HclErrors::HclErrors(std::string_view source, std::vector<HclError> errors)
    : std::runtime_error(error_lines(source, errors)), errors_(std::move(errors)) {}

const char* HclValue::type_name() const {
    constexpr std::array names = {"null", "a boolean", "a number", "a string", "a list", "an object"};
    return names.at(value.index());
}

void throw_if_errors(std::string_view source, std::vector<HclError> errors) {
    if (errors.empty()) return;
    std::stable_sort(errors.begin(), errors.end(), [](const HclError& first, const HclError& second) {
        return std::pair(first.position.line, first.position.column) <
               std::pair(second.position.line, second.position.column);
    });
    throw HclErrors(source, std::move(errors));
}

HclBlock parse_hcl(std::string_view text, std::string_view source) {
    if (text.size() > max_hcl_bytes)
        throw HclErrors(source,
                        {{{}, "file has " + std::to_string(text.size()) + " bytes; expected at most 1 MiB"}});
    if (const auto position = find_too_deep(text))
        throw HclErrors(source,
                        {{*position, "blocks, lists or objects are nested too deep; expected at most " +
                                         std::to_string(max_hcl_depth) + " levels"}});
    if (text.find('\0') != text.npos)
        throw HclErrors(source, {{{}, "file contains a zero byte; expected text"}});
    peg::memory_input in(text.data(), text.data() + text.size(), std::string(source));
    try {
        const auto root = peg::parse_tree::parse<grammar::file, TreeSelector, peg::nothing, ParseControl>(in);
        return TreeBuilder(source).file(*root);
    } catch (const peg::parse_error& error) {
        const auto& position = error.positions().front();
        throw HclErrors(source, {{{position.line, position.column}, std::string(error.message())}});
    }
}

}  // namespace tealcart
