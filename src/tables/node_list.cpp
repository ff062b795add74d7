#include "tables/node_list.hpp"

#include <algorithm>

namespace tealcart {

NodeList::News NodeList::take(const TargetList& list) {
    News news;
    std::vector<char> named(nodes_.size());
    for (const ListedNode& entry : list.nodes) {
        const auto [it, fresh] = index_.try_emplace(entry.id, static_cast<std::uint32_t>(nodes_.size()));
        if (fresh) {
            nodes_.push_back({entry.id, {}, Availability::gone, 0});
            named.push_back(0);
        }
        const std::uint32_t n = it->second;
        named[n] = 1;
        Node& node = nodes_[n];
        const std::string group = entry.zone + '\n' + entry.kind;
        const auto at = std::find(groups_.begin(), groups_.end(), group) - groups_.begin();
        if (at == static_cast<std::ptrdiff_t>(groups_.size())) groups_.push_back(group);
        news.entries.push_back({n, static_cast<std::uint16_t>(entry.place), entry.availability,
                                entry.started_at, static_cast<std::uint32_t>(at)});
        const bool leaves =
            entry.availability != Availability::ready && node.availability == Availability::ready;
        const bool moves = entry.availability != Availability::gone &&
                           (entry.address != node.address || entry.started_at != node.started_at);
        if (leaves)
            news.leaving.push_back(n);
        else if (moves && !fresh)
            news.changed.push_back(n);
        node.availability = entry.availability;
        if (entry.availability == Availability::gone) continue;
        node.address = entry.address;
        node.started_at = entry.started_at;
    }
    if (!list.whole) return news;
    for (std::uint32_t n = 0; n < nodes_.size(); ++n)  // what a whole list does not name is gone
        if (!named[n] && nodes_[n].availability != Availability::gone) {
            nodes_[n].availability = Availability::gone;
            news.leaving.push_back(n);
        }
    return news;
}

std::size_t NodeList::ready() const {
    return static_cast<std::size_t>(std::count_if(nodes_.begin(), nodes_.end(), [](const Node& node) {
        return node.availability == Availability::ready;
    }));
}

}  // namespace tealcart
