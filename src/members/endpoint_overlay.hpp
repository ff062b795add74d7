// Discovery's list of data nodes and what the fleet has agreed on, joined before the module: the stricter
// wins. No I/O; what comes out has the form of discovery's lists.
#pragma once

#include <map>
#include <set>
#include <string>

#include "tables/endpoint_list.hpp"

namespace tealcart {

class EndpointOverlay {
  public:
    // News of discovery, as it is to reach the module.
    EndpointList discovered(const EndpointList& news);
    // These are out by agreement now, and no others: what changes for the module; no entries where nothing
    // does. Of the nodes it looks at those alone whose agreement changes.
    EndpointList agreed(std::set<std::string> out);
    // With `cut` nothing new may be sent to any node, until it is over. Looks at all nodes where it changes.
    EndpointList cut(bool cut);

    bool is_out(const std::string& node) const { return cut_ || out_.contains(node); }
    const std::set<std::string>& out() const { return out_; }
    std::uint64_t looked() const { return looked_; }  // entries and nodes looked at since the start

  private:
    ListedEndpoint joined(ListedEndpoint node) const;

    std::map<std::string, ListedEndpoint>
        nodes_;  // as discovery told of them; those that are gone are dropped
    std::set<std::string> out_;
    std::uint64_t generation_ = 0;  // discovery's
    std::uint64_t looked_ = 0;
    bool cut_ = false;
};

}  // namespace tealcart
