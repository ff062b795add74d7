// Whether publishing is halted because too many members refuse the latest version.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "changes/limits.hpp"

namespace tealcart::changes {

// Halts and resumes publishing, and remembers the version that caused the last halt.
class PublishingHalt {
  public:
    bool halted() const { return halted_; }
    const std::string& reason() const { return reason_; }
    std::uint64_t version() const { return version_; }  // the last version that caused a halt; 0 if none

    // Halts if too many live members refuse the latest version. Each version causes at most one halt: one
    // that an operator has resumed over does not halt again. Returns whether this call has halted publishing.
    bool trip(std::uint64_t latest, std::size_t refusing, std::size_t live, const Limits& limits);
    void resume();

    // Restores the state of a snapshot.
    void restore(bool halted, std::string reason, std::uint64_t version);

  private:
    bool halted_ = false;
    std::string reason_;
    std::uint64_t version_ = 0;
};

}  // namespace tealcart::changes
