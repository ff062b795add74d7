// Validates a Publish command.
#pragma once

#include <string>
#include <variant>

#include "changes/commands.hpp"
#include "changes/limits.hpp"
#include "changes/versioned_document.hpp"

namespace tealcart::changes {

// The reason why a version is not published.
struct Rejection {
    std::string reason;
};

// The change that the command makes to the document, without entries that it leaves as they are; or the
// reason why it is rejected.
std::variant<DocumentChange, Rejection> check_publish(const Publish& command, const Document& document,
                                                      const Limits& limits);

}  // namespace tealcart::changes
