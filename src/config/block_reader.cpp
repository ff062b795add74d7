#include "config/block_reader.hpp"

#include <algorithm>
#include <cmath>
#include <optional>

#include "config/units.hpp"

namespace tealcart {
namespace {

std::string quoted(std::string_view name) { return "'" + std::string(name) + "'"; }

std::string out_of_range(const HclAttribute& attribute, const std::string& value, const std::string& min,
                         const std::string& max) {
    return quoted(attribute.name) + " is " + value + "; expected " + min + " to " + max;
}

bool contains(const std::vector<std::string>& names, const std::string& name) {
    return std::find(names.begin(), names.end(), name) != names.end();
}

}  // namespace

const HclAttribute* BlockReader::find(std::string_view name) {
    known_attributes_.emplace_back(name);
    for (const HclAttribute& attribute : block_.attributes)
        if (attribute.name == name) return &attribute;
    return nullptr;
}

void BlockReader::add_type_error(const HclAttribute& attribute, std::string_view expected) {
    add_error(attribute.value.position, quoted(attribute.name) + " is " + attribute.value.type_name() +
                                            "; expected " + std::string(expected));
}

Nanos BlockReader::duration(std::string_view name, Nanos fallback, Nanos min, Nanos max) {
    const HclAttribute* attribute = find(name);
    if (attribute == nullptr) return fallback;
    const auto* text = std::get_if<std::string>(&attribute->value.value);
    if (text == nullptr) {
        add_type_error(*attribute, "a duration such as \"250ms\"");
        return fallback;
    }
    const std::optional<Nanos> duration = parse_duration(*text);
    if (!duration) {
        add_error(attribute->value.position,
                  quoted(name) + " is \"" + *text +
                      "\"; expected a duration: a number with one of ns, us, ms, s, m, h");
        return fallback;
    }
    if (*duration < min || *duration > max) {
        add_error(attribute->value.position,
                  out_of_range(*attribute, *text, format_duration(min), format_duration(max)));
        return fallback;
    }
    return *duration;
}

double BlockReader::number(std::string_view name, double fallback, double min, double max) {
    const HclAttribute* attribute = find(name);
    if (attribute == nullptr) return fallback;
    const auto* number = std::get_if<double>(&attribute->value.value);
    if (number == nullptr) {
        add_type_error(*attribute, "a number");
        return fallback;
    }
    if (!(*number >= min && *number <= max)) {
        add_error(attribute->value.position,
                  out_of_range(*attribute, format_number(*number), format_number(min), format_number(max)));
        return fallback;
    }
    return *number;
}

std::int64_t BlockReader::integer(std::string_view name, std::int64_t fallback, std::int64_t min,
                                  std::int64_t max) {
    const double value =
        number(name, static_cast<double>(fallback), static_cast<double>(min), static_cast<double>(max));
    if (value == std::floor(value)) return static_cast<std::int64_t>(value);
    add_error(find(name)->value.position,
              quoted(name) + " is " + format_number(value) + "; expected an integer");
    return fallback;
}

std::uint64_t BlockReader::byte_size(std::string_view name, std::uint64_t fallback, std::uint64_t min,
                                     std::uint64_t max) {
    const HclAttribute* attribute = find(name);
    if (attribute == nullptr) return fallback;
    const auto* text = std::get_if<std::string>(&attribute->value.value);
    const auto bytes = text != nullptr ? parse_byte_size(*text) : std::nullopt;
    if (!bytes) {
        add_error(attribute->value.position,
                  quoted(name) + " is " +
                      (text != nullptr ? "\"" + *text + "\"" : attribute->value.type_name()) +
                      "; expected a size such as \"4MiB\": a number with one of B, KiB, MiB, GiB");
        return fallback;
    }
    if (*bytes < min || *bytes > max) {
        add_error(attribute->value.position,
                  out_of_range(*attribute, *text, format_byte_size(min), format_byte_size(max)));
        return fallback;
    }
    return *bytes;
}

bool BlockReader::boolean(std::string_view name, bool fallback) {
    const HclAttribute* attribute = find(name);
    if (attribute == nullptr) return fallback;
    if (const auto* value = std::get_if<bool>(&attribute->value.value)) return *value;
    add_type_error(*attribute, "true or false");
    return fallback;
}

std::string BlockReader::string(std::string_view name, std::string_view fallback) {
    const HclAttribute* attribute = find(name);
    if (attribute == nullptr) return std::string(fallback);
    if (const auto* text = std::get_if<std::string>(&attribute->value.value)) return *text;
    add_type_error(*attribute, "a string");
    return std::string(fallback);
}

std::vector<std::string> BlockReader::strings(std::string_view name) {
    const HclAttribute* attribute = find(name);
    if (attribute == nullptr) return {};
    const auto* list = std::get_if<HclValue::List>(&attribute->value.value);
    if (list == nullptr) {
        add_type_error(*attribute, "a list of strings");
        return {};
    }
    std::vector<std::string> strings;
    for (const HclValue& element : *list) {
        if (const auto* text = std::get_if<std::string>(&element.value))
            strings.push_back(*text);
        else
            add_error(element.position,
                      "an element of " + quoted(name) + " is " + element.type_name() + "; expected a string");
    }
    return strings;
}

std::vector<std::pair<std::string, double>> BlockReader::numbers_by_key(std::string_view name) {
    const HclAttribute* attribute = find(name);
    if (attribute == nullptr) return {};
    const auto* object = std::get_if<HclValue::Object>(&attribute->value.value);
    if (object == nullptr) {
        add_type_error(*attribute, "an object of numbers");
        return {};
    }
    std::vector<std::pair<std::string, double>> numbers;
    for (const auto& [key, value] : *object) {
        if (const auto* number = std::get_if<double>(&value.value))
            numbers.emplace_back(key, *number);
        else
            add_error(value.position, "member " + quoted(key) + " of " + quoted(name) + " is " +
                                          value.type_name() + "; expected a number");
    }
    return numbers;
}

std::size_t BlockReader::choice(std::string_view name, std::size_t fallback,
                                std::initializer_list<const char*> words) {
    const HclAttribute* attribute = find(name);
    if (attribute == nullptr) return fallback;
    const auto* text = std::get_if<std::string>(&attribute->value.value);
    const auto found = std::find_if(words.begin(), words.end(),
                                    [text](const char* word) { return text != nullptr && *text == word; });
    if (found != words.end()) return static_cast<std::size_t>(found - words.begin());
    std::string all;
    for (const char* word : words) all.append(all.empty() ? "\"" : ", \"").append(word).append("\"");
    add_error(attribute->value.position,
              quoted(name) + " is " + (text != nullptr ? "\"" + *text + "\"" : attribute->value.type_name()) +
                  "; expected one of " + all);
    return fallback;
}

std::string BlockReader::label(const char* what) {
    if (block_.labels.size() == 1 && !block_.labels[0].empty()) return block_.labels[0];
    add_error(block_.position, "a " + quoted(block_.type) + " block has " +
                                   std::to_string(block_.labels.size()) + " labels; expected one, " + what);
    return {};
}

void BlockReader::expect_no_label() {
    if (!block_.labels.empty())
        add_error(block_.position, "a " + quoted(block_.type) + " block has " +
                                       std::to_string(block_.labels.size()) + " labels; expected none");
}

std::vector<const HclBlock*> BlockReader::blocks(std::string_view type) {
    known_blocks_.emplace_back(type);
    std::vector<const HclBlock*> found;
    for (const HclBlock& block : block_.blocks)
        if (block.type == type) found.push_back(&block);
    return found;
}

const HclBlock* BlockReader::single_block(std::string_view type) {
    const auto found = blocks(type);
    for (std::size_t i = 1; i < found.size(); ++i)
        add_error(found[i]->position,
                  "there is more than one " + quoted(type) + " block; expected at most one");
    return found.empty() ? nullptr : found.front();
}

void BlockReader::reject_unknown() {
    for (const HclAttribute& attribute : block_.attributes)
        if (!contains(known_attributes_, attribute.name))
            add_error(attribute.position, "attribute " + quoted(attribute.name) + " is not known here");
    for (const HclBlock& block : block_.blocks)
        if (!contains(known_blocks_, block.type))
            add_error(block.position, "block " + quoted(block.type) + " is not known here");
}

}  // namespace tealcart
