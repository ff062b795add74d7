// Whether publishing is halted, since too many members refuse the latest version.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "changes/limits.hpp"

namespace tealcart::changes {

class PublishingHalt {
  public:
    bool halted() const { return halted_; }
    const std::string& reason() const { return reason_; }
    std::uint64_t version() const { return version_; }  // the last one that halted; 0: none

    // Each version halts once at most: one that a person has resumed over does not halt again. Gives whether
    // it has halted now.
    bool trip(std::uint64_t latest, std::size_t refusing, std::size_t live, const Limits& limits);
    void resume();

    // From a snapshot.
    void restore(bool halted, std::string reason, std::uint64_t version);

  private:
    bool halted_ = false;
    std::string reason_;
    std::uint64_t version_ = 0;
};

}  // namespace tealcart::changes
