// Discovery's list of data nodes and what the fleet has agreed on, joined before the module: the stricter
// wins. No I/O; what comes out has the form of discovery's lists.
#pragma once

#include <map>
#include <set>
#include <string>

#include "wire/bodies.hpp"

namespace tealcart {

class AgreedList {
  public:
    // News of discovery, as it is to reach the module.
    TargetList discovered(const TargetList& news);
    // These are out by agreement now, and no others: what changes for the module; no entries where nothing
    // does.
    TargetList agreed(std::set<std::string> out);
    // With `cut` nothing new may be sent to any node, until it is over.
    TargetList cut(bool cut);

    bool is_out(const std::string& node) const { return cut_ || out_.contains(node); }
    const std::set<std::string>& out() const { return out_; }

  private:
    ListedNode joined(ListedNode node) const;
    template <typename Which>
    TargetList again(Which which) const;

    std::map<std::string, ListedNode> nodes_;  // as discovery told of them; those that are gone are dropped
    std::set<std::string> out_;
    std::uint64_t generation_ = 0;  // discovery's
    bool cut_ = false;
};

}  // namespace tealcart
