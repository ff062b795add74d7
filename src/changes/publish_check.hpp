// What a Publish command would change of a document, or why it is rejected.
#pragma once

#include <string>
#include <variant>

#include "changes/commands.hpp"
#include "changes/limits.hpp"
#include "changes/versioned_document.hpp"

namespace tealcart::changes {

// Why a version is not published.
struct Rejection {
    std::string reason;
};

// Only what differs from the document is a change.
std::variant<DocumentChange, Rejection> check_publish(const Publish& command, const Document& document,
                                                      const Limits& limits);

}  // namespace tealcart::changes
