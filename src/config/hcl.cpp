#include "config/hcl.hpp"

#include <algorithm>
#include <charconv>
#include <tao/pegtl.hpp>
#include <tao/pegtl/contrib/parse_tree.hpp>

namespace tealcart {
namespace {

namespace peg = tao::pegtl;

namespace grammar {

struct line_comment
    : peg::seq<peg::sor<peg::one<'#'>, peg::string<'/', '/'>>, peg::until<peg::at<peg::eolf>>> {};
struct comment_end : peg::until<peg::string<'*', '/'>> {};
struct block_comment : peg::if_must<peg::string<'/', '*'>, comment_end> {};
struct gap : peg::star<peg::sor<peg::blank, block_comment>> {};                  // within a line
struct space : peg::star<peg::sor<peg::space, line_comment, block_comment>> {};  // over lines

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

struct yes : peg::keyword<'t', 'r', 'u', 'e'> {};
struct no : peg::keyword<'f', 'a', 'l', 's', 'e'> {};
struct null : peg::keyword<'n', 'u', 'l', 'l'> {};

struct value;
struct wanted : peg::seq<value> {};  // a value that must stand here
struct comma : peg::seq<space, peg::one<','>, space> {};
struct list_end : peg::one<']'> {};
struct list : peg::if_must<peg::one<'['>, space, peg::opt<peg::list<value, comma>, peg::opt<comma>>, space,
                           list_end> {};
struct member_is : peg::sor<peg::one<'='>, peg::one<':'>> {};
struct member : peg::if_must<peg::sor<name, text>, gap, member_is, space, wanted> {};
struct member_gap : peg::sor<comma, peg::seq<gap, peg::opt<line_comment>, peg::eol, space>> {};
struct object_end : peg::one<'}'> {};
struct object
    : peg::if_must<peg::one<'{'>, space, peg::opt<peg::list<member, member_gap>, peg::opt<member_gap>>, space,
                   object_end> {};
struct value : peg::sor<text, number, yes, no, null, list, object> {};

struct item_end
    : peg::seq<gap, peg::sor<peg::at<peg::one<'}'>>, peg::seq<peg::opt<line_comment>, peg::eolf>>> {};
struct attribute : peg::seq<name, gap, peg::if_must<peg::one<'='>, gap, wanted, item_end>> {};
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

template <typename>
constexpr const char* wrong = nullptr;
template <>
constexpr auto wrong<grammar::comment_end> = "a comment that does not end";
template <>
constexpr auto wrong<grammar::digits> = "digits are missing in a number";
template <>
constexpr auto wrong<grammar::four_hex> = "\\u needs four hexadecimal digits";
template <>
constexpr auto wrong<grammar::escape_code> =
    "an escape that is not known; there are \\n \\r \\t \\\" \\\\ \\uNNNN";
template <>
constexpr auto wrong<grammar::no_template> = "templates in strings are not part of this file's language";
template <>
constexpr auto wrong<grammar::text_end> = "a string that does not end on its line";
template <>
constexpr auto wrong<grammar::list_end> = "a ',' or the list's ']' is missing";
template <>
constexpr auto wrong<grammar::member_is> = "a '=' or ':' is missing behind a key";
template <>
constexpr auto wrong<grammar::object_end> = "a ',', a new line or the object's '}' is missing";
template <>
constexpr auto wrong<grammar::wanted> =
    "a value is missing, or is none: strings, numbers, true, false, null, lists, objects";
template <>
constexpr auto wrong<grammar::item_end> = "the line goes on where it should end";
template <>
constexpr auto wrong<grammar::block_end> = "neither an attribute, a block nor the block's '}'";
template <>
constexpr auto wrong<grammar::file_end> = "neither an attribute nor a block";
template <>
constexpr auto wrong<grammar::space> = "";  // these three always match
template <>
constexpr auto wrong<grammar::gap> = "";
template <>
constexpr auto wrong<grammar::body> = "";

struct Messages {
    template <typename Rule>
    static constexpr const char* message = wrong<Rule>;
    template <typename Rule>
    static constexpr bool raise_on_failure = false;
};
template <typename Rule>
using Control = peg::must_if<Messages, peg::normal, false>::control<Rule>;

template <typename Rule>
using Kept = peg::parse_tree::selector<
    Rule,
    peg::parse_tree::store_content::on<grammar::name, grammar::number, grammar::text, grammar::yes,
                                       grammar::no, grammar::null>,
    peg::parse_tree::remove_content::on<grammar::list, grammar::object, grammar::member, grammar::attribute,
                                        grammar::label, grammar::block>>;
using Node = peg::parse_tree::node;

HclAt at_of(const Node& node) { return {node.begin().line, node.begin().column}; }

void put_utf8(std::string& out, std::uint32_t code) {
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

// The grammar has seen to it that what follows a backslash is complete.
std::string unquoted(std::string_view in) {
    std::string out;
    in = in.substr(1, in.size() - 2);
    for (std::size_t i = 0; i < in.size(); ++i) {
        if (in[i] != '\\') {
            out += in[i];
            continue;
        }
        const char code = in[++i];
        if (code == 'u') {
            std::uint32_t value = 0;
            std::from_chars(in.data() + i + 1, in.data() + i + 5, value, 16);
            put_utf8(out, value);
            i += 4;
        } else {
            out += code == 'n' ? '\n' : code == 'r' ? '\r' : code == 't' ? '\t' : code;
        }
    }
    return out;
}

std::string word_of(const Node& node) {
    return node.is_type<grammar::text>() ? unquoted(node.string_view()) : node.string();
}

class Builder {
  public:
    explicit Builder(std::string_view source) : source_(source) {}

    HclBlock block(const Node& node, bool root) {
        HclBlock made;
        if (!root) made.at = at_of(node);
        for (const auto& child : node.children) {
            if (child->is_type<grammar::attribute>()) {
                HclAttribute a{child->children[0]->string(), value(*child->children[1]), at_of(*child)};
                const auto same = [&a](const HclAttribute& other) { return other.name == a.name; };
                if (std::any_of(made.attributes.begin(), made.attributes.end(), same))
                    throw HclMistakes(source_, {{a.at, "'" + a.name + "' is given twice"}});
                made.attributes.push_back(std::move(a));
            } else if (child->is_type<grammar::block>()) {
                made.blocks.push_back(block(*child, false));
            } else if (child->is_type<grammar::label>()) {
                made.labels.push_back(word_of(*child->children[0]));
            } else {
                made.type = child->string();
            }
        }
        return made;
    }

  private:
    HclValue value(const Node& node) {
        HclValue made{{}, at_of(node)};
        if (node.is_type<grammar::text>()) made.value = unquoted(node.string_view());
        if (node.is_type<grammar::yes>()) made.value = true;
        if (node.is_type<grammar::no>()) made.value = false;
        if (node.is_type<grammar::number>()) {
            double number = 0;
            const std::string_view digits = node.string_view();
            if (std::from_chars(digits.data(), digits.data() + digits.size(), number).ec != std::errc())
                throw HclMistakes(source_, {{made.at, "a number out of range"}});
            made.value = number;
        }
        if (node.is_type<grammar::list>()) {
            auto& list = made.value.emplace<HclValue::List>();
            for (const auto& child : node.children) list.push_back(value(*child));
        }
        if (node.is_type<grammar::object>()) {
            auto& object = made.value.emplace<HclValue::Object>();
            for (const auto& child : node.children) {
                std::string key = word_of(*child->children[0]);
                for (const auto& [other, _] : object)
                    if (other == key)
                        throw HclMistakes(source_, {{at_of(*child), "'" + key + "' is given twice"}});
                object.emplace_back(std::move(key), value(*child->children[1]));
            }
        }
        return made;
    }

    std::string source_;
};

// Brackets within strings and comments are no matter: it is a bound on the parser's stack, no check.
std::optional<HclAt> too_deep(std::string_view text) {
    int depth = 0;
    HclAt at;
    for (const char c : text) {
        depth += c == '{' || c == '[';
        if (depth > deepest_hcl) return at;
        if ((c == '}' || c == ']') && depth > 0) --depth;
        ++at.column;
        if (c == '\n') ++at.line, at.column = 1;
    }
    return std::nullopt;
}

std::string lines_of(std::string_view source, const std::vector<HclMistake>& found) {
    std::string out;
    for (const HclMistake& m : found) {
        if (!out.empty()) out += '\n';
        out.append(source).append(":").append(std::to_string(m.at.line));
        out.append(":").append(std::to_string(m.at.column)).append(": ").append(m.words);
    }
    return out;
}

}  // namespace

HclMistakes::HclMistakes(std::string_view source, std::vector<HclMistake> found)
    : std::runtime_error(lines_of(source, found)), mistakes(std::move(found)) {}

const char* HclValue::kind() const {
    constexpr const char* kinds[] = {"null", "a truth value", "a number", "a string", "a list", "an object"};
    return kinds[value.index()];
}

HclBlock parse_hcl(std::string_view text, std::string_view source) {
    if (text.size() > max_hcl) throw HclMistakes(source, {{{}, "the file is over 1 MiB"}});
    if (const auto at = too_deep(text))
        throw HclMistakes(source, {{*at, "blocks, lists or objects too deep in each other"}});
    if (text.find('\0') != text.npos) throw HclMistakes(source, {{{}, "the file holds a zero byte"}});
    peg::memory_input in(text.data(), text.data() + text.size(), std::string(source));
    try {
        const auto root = peg::parse_tree::parse<grammar::file, Kept, peg::nothing, Control>(in);
        return Builder(source).block(*root, true);
    } catch (const peg::parse_error& e) {
        const auto& p = e.positions().front();
        throw HclMistakes(source, {{{p.line, p.column}, std::string(e.message())}});
    }
}

}  // namespace tealcart
