#include "members/agreed_list.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace tealcart {

ListedNode AgreedList::joined(ListedNode node) const {
    if (node.availability == Availability::ready && is_out(node.id))
        node.availability = Availability::draining;
    return node;
}

template <typename Which>
TargetList AgreedList::again(Which which) const {
    TargetList list{generation_, false, {}, 0};
    for (const auto& [name, node] : nodes_)
        if (node.availability == Availability::ready && which(name)) list.nodes.push_back(joined(node));
    return list;
}

TargetList AgreedList::discovered(const TargetList& news) {
    if (news.whole) nodes_.clear();
    generation_ = news.generation;
    TargetList list = news;
    for (ListedNode& node : list.nodes) {
        if (node.availability == Availability::gone)
            nodes_.erase(node.id);
        else
            nodes_[node.id] = node;
        node = joined(std::move(node));
    }
    return list;
}

TargetList AgreedList::agreed(std::set<std::string> out) {
    std::set<std::string> changed;
    std::set_symmetric_difference(out_.begin(), out_.end(), out.begin(), out.end(),
                                  std::inserter(changed, changed.end()));
    out_ = std::move(out);
    return again([&](const std::string& name) { return !cut_ && changed.contains(name); });
}

TargetList AgreedList::cut(bool cut) {
    const bool changes = std::exchange(cut_, cut) != cut;
    return again([&](const std::string& name) { return changes && !out_.contains(name); });
}

}  // namespace tealcart
