#include "config/block_reader.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace tealcart {
namespace {

struct Unit {
    const char* name;
    double size;
};
constexpr Unit time_units[] = {{"ns", 1}, {"us", 1e3}, {"ms", 1e6}, {"s", 1e9}, {"m", 60e9}, {"h", 3600e9}};
constexpr Unit byte_units[] = {{"B", 1}, {"KiB", 1024}, {"MiB", 1 << 20}, {"GiB", 1 << 30}};
constexpr double max_span = 365 * 24 * 3600e9, max_bytes = 1e15;

template <std::size_t N>
bool read_unit(std::string_view text, const Unit (&units)[N], double most, double& value) {
    double number = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (ec != std::errc() || !std::isfinite(number) || number < 0) return false;
    const std::string_view unit(end, static_cast<std::size_t>(text.data() + text.size() - end));
    const auto found =
        std::find_if(std::begin(units), std::end(units), [unit](const Unit& u) { return unit == u.name; });
    if (found == std::end(units)) return false;
    value = number * found->size;
    return value <= most;
}

std::string plain(double number) {
    char text[32];
    const auto [end, ec] = std::to_chars(text, text + sizeof text, number);
    return ec == std::errc() ? std::string(text, end) : "?";
}

std::string write_bytes(std::uint64_t bytes) {
    for (const Unit& u : {byte_units[3], byte_units[2], byte_units[1]})
        if (bytes > 0 && std::fmod(static_cast<double>(bytes), u.size) == 0)
            return plain(static_cast<double>(bytes) / u.size) + u.name;
    return std::to_string(bytes) + "B";
}

}  // namespace

bool read_span(std::string_view text, Nanos& span) {
    double value = 0;
    if (!read_unit(text, time_units, max_span, value)) return false;
    span = std::llround(value);
    return true;
}

bool read_bytes(std::string_view text, std::uint64_t& bytes) {
    double value = 0;
    if (!read_unit(text, byte_units, max_bytes, value)) return false;
    bytes = static_cast<std::uint64_t>(value);
    return true;
}

std::string write_span(Nanos span) {
    const auto size = static_cast<double>(span);
    const Unit* unit = &time_units[0];
    for (const Unit& u : time_units)
        if (size >= u.size && std::fmod(size, u.size) == 0) unit = &u;
    return plain(size / unit->size) + unit->name;
}

const HclAttribute* BlockReader::find(std::string_view name) {
    known_.emplace_back(name);
    for (const HclAttribute& a : block_.attributes)
        if (a.name == name) return &a;
    return nullptr;
}

Nanos BlockReader::span(std::string_view name, Nanos otherwise, Nanos least, Nanos most) {
    const HclAttribute* a = find(name);
    if (a == nullptr) return otherwise;
    const auto* text = std::get_if<std::string>(&a->value.value);
    Nanos span = 0;
    if (text == nullptr)
        wrong(a->value.at, "'" + a->name + "' is " + a->value.kind() + ", not a time such as \"250ms\"");
    else if (!read_span(*text, span))
        wrong(a->value.at, "'" + a->name + "' is no time: a number with one of ns, us, ms, s, m, h");
    else if (span < least || span > most)
        wrong(a->value.at, "'" + a->name + "' is outside " + write_span(least) + " to " + write_span(most));
    else
        return span;
    return otherwise;
}

double BlockReader::number(std::string_view name, double otherwise, double least, double most) {
    const HclAttribute* a = find(name);
    if (a == nullptr) return otherwise;
    const auto* number = std::get_if<double>(&a->value.value);
    if (number == nullptr)
        wrong(a->value.at, "'" + a->name + "' is " + a->value.kind() + ", not a number");
    else if (!(*number >= least && *number <= most))
        wrong(a->value.at, "'" + a->name + "' is outside " + plain(least) + " to " + plain(most));
    else
        return *number;
    return otherwise;
}

std::int64_t BlockReader::whole(std::string_view name, std::int64_t otherwise, std::int64_t least,
                                std::int64_t most) {
    const std::size_t before = mistakes_.size();
    const double value =
        number(name, static_cast<double>(otherwise), static_cast<double>(least), static_cast<double>(most));
    if (mistakes_.size() == before && value != std::floor(value)) {
        for (const HclAttribute& a : block_.attributes)
            if (a.name == name) wrong(a.value.at, "'" + a.name + "' is no whole number");
        return otherwise;
    }
    return static_cast<std::int64_t>(value);
}

std::uint64_t BlockReader::bytes(std::string_view name, std::uint64_t otherwise, std::uint64_t least,
                                 std::uint64_t most) {
    const HclAttribute* a = find(name);
    if (a == nullptr) return otherwise;
    const auto* text = std::get_if<std::string>(&a->value.value);
    std::uint64_t bytes = 0;
    if (text == nullptr || !read_bytes(*text, bytes))
        wrong(a->value.at,
              "'" + a->name + "' is no size such as \"4MiB\": a number with one of B, KiB, MiB, GiB");
    else if (bytes < least || bytes > most)
        wrong(a->value.at, "'" + a->name + "' is outside " + write_bytes(least) + " to " + write_bytes(most));
    else
        return bytes;
    return otherwise;
}

bool BlockReader::flag(std::string_view name, bool otherwise) {
    const HclAttribute* a = find(name);
    if (a == nullptr) return otherwise;
    if (const auto* flag = std::get_if<bool>(&a->value.value)) return *flag;
    wrong(a->value.at, "'" + a->name + "' is " + a->value.kind() + ", not true or false");
    return otherwise;
}

std::string BlockReader::text(std::string_view name, std::string_view otherwise) {
    const HclAttribute* a = find(name);
    if (a == nullptr) return std::string(otherwise);
    if (const auto* text = std::get_if<std::string>(&a->value.value)) return *text;
    wrong(a->value.at, "'" + a->name + "' is " + a->value.kind() + ", not a string");
    return std::string(otherwise);
}

std::vector<std::string> BlockReader::texts(std::string_view name) {
    std::vector<std::string> read;
    const HclAttribute* a = find(name);
    if (a == nullptr) return read;
    const auto* list = std::get_if<HclValue::List>(&a->value.value);
    if (list == nullptr)
        wrong(a->value.at, "'" + a->name + "' is " + a->value.kind() + ", not a list of strings");
    for (std::size_t i = 0; list != nullptr && i < list->size(); ++i) {
        const HclValue& v = (*list)[i];
        if (const auto* text = std::get_if<std::string>(&v.value))
            read.push_back(*text);
        else
            wrong(v.at, "in '" + a->name + "' stands " + v.kind() + ", not a string");
    }
    return read;
}

std::vector<std::pair<std::string, double>> BlockReader::numbers_by_name(std::string_view name) {
    std::vector<std::pair<std::string, double>> read;
    const HclAttribute* a = find(name);
    if (a == nullptr) return read;
    const auto* object = std::get_if<HclValue::Object>(&a->value.value);
    if (object == nullptr)
        wrong(a->value.at, "'" + a->name + "' is " + a->value.kind() + ", not an object of numbers");
    for (std::size_t i = 0; object != nullptr && i < object->size(); ++i) {
        const auto& [key, v] = (*object)[i];
        if (const auto* number = std::get_if<double>(&v.value))
            read.emplace_back(key, *number);
        else
            wrong(v.at, "in '" + a->name + "' stands " + v.kind() + ", not a number");
    }
    return read;
}

std::size_t BlockReader::choice(std::string_view name, std::size_t otherwise,
                                std::initializer_list<const char*> words) {
    const HclAttribute* a = find(name);
    if (a == nullptr) return otherwise;
    const auto* text = std::get_if<std::string>(&a->value.value);
    const auto found = std::find_if(words.begin(), words.end(),
                                    [text](const char* w) { return text != nullptr && *text == w; });
    if (found != words.end()) return static_cast<std::size_t>(found - words.begin());
    std::string all;
    for (const char* w : words) all.append(all.empty() ? "\"" : ", \"").append(w).append("\"");
    wrong(a->value.at, "'" + a->name + "' is none of " + all);
    return otherwise;
}

std::string BlockReader::label(const char* what) {
    if (block_.labels.size() == 1 && !block_.labels[0].empty()) return block_.labels[0];
    wrong(block_.at, "a '" + block_.type + "' block has one label, " + what);
    return {};
}

void BlockReader::no_label() {
    if (!block_.labels.empty()) wrong(block_.at, "a '" + block_.type + "' block has no label");
}

std::vector<const HclBlock*> BlockReader::blocks(std::string_view type) {
    known_blocks_.emplace_back(type);
    std::vector<const HclBlock*> found;
    for (const HclBlock& b : block_.blocks)
        if (b.type == type) found.push_back(&b);
    return found;
}

const HclBlock* BlockReader::only_block(std::string_view type) {
    const auto found = blocks(type);
    for (std::size_t i = 1; i < found.size(); ++i)
        wrong(found[i]->at, "a second '" + std::string(type) + "' block");
    return found.empty() ? nullptr : found.front();
}

void BlockReader::finish() {
    const auto in = [](const std::vector<std::string>& known, const std::string& name) {
        return std::find(known.begin(), known.end(), name) != known.end();
    };
    for (const HclAttribute& a : block_.attributes)
        if (!in(known_, a.name)) wrong(a.at, "'" + a.name + "' is not known here");
    for (const HclBlock& b : block_.blocks)
        if (!in(known_blocks_, b.type)) wrong(b.at, "a block '" + b.type + "' is not known here");
}

}  // namespace tealcart
