#include "changes/publish_check.hpp"

#include <cstddef>
#include <utility>

#include "changes/reports.hpp"

namespace tealcart::changes {
namespace {

constexpr std::size_t max_key = 128;  // bytes

// Why the command can't be published whatever the document holds; empty if it can.
std::string fault_of(const Publish& command, const Limits& limits) {
    for (const auto& [key, value] : command.set) {
        if (!well_formed(key, max_key)) return "a malformed key";
        if (command.removed.contains(key)) return "both set and removed: " + key;
        if (key.size() + value.size() > limits.max_entry_bytes)
            return "longer than " + std::to_string(limits.max_entry_bytes) + " bytes: " + key;
    }
    for (const std::string& key : command.removed)
        if (!well_formed(key, max_key)) return "a malformed key";
    return {};
}

DocumentChange difference(const Publish& command, const Document& document) {
    DocumentChange change;
    for (const auto& [key, value] : command.set) {
        const auto current = document.find(key);
        if (current == document.end() || current->second != value) change.set.emplace(key, value);
    }
    for (const std::string& key : command.removed)
        if (document.contains(key)) change.removed.insert(key);
    return change;
}

}  // namespace

std::variant<DocumentChange, Rejection> check_publish(const Publish& command, const Document& document,
                                                      const Limits& limits) {
    if (std::string fault = fault_of(command, limits); !fault.empty()) return Rejection{std::move(fault)};
    DocumentChange change = difference(command, document);
    if (change.empty()) return Rejection{"nothing would change"};
    std::size_t entries = document.size() - change.removed.size();
    for (const auto& [key, value] : change.set)
        if (!document.contains(key)) ++entries;
    if (entries > limits.max_entries && entries > document.size())
        return Rejection{"more than " + std::to_string(limits.max_entries) + " entries"};
    return change;
}

}  // namespace tealcart::changes
