#include "tables/node_list.hpp"

#include <algorithm>

namespace tealcart {

NodeList::News NodeList::take(const TargetList& list) {
    News news;
    ++lists_;
    std::vector<std::uint32_t> turned;  // gone, or back
    for (const ListedNode& entry : list.nodes) {
        const bool goes = entry.availability == Availability::gone;
        if (goes && !index_.contains(entry.id)) continue;  // never met, or forgotten
        const auto [it, fresh] = index_.try_emplace(entry.id, next_);
        const std::uint32_t n = it->second;
        Node& node = nodes_[n];
        if (fresh) {
            ++next_;
            node.id = entry.id;
            news.met.push_back(n);
        }
        node.named = lists_;
        const std::string group = entry.zone + '\n' + entry.kind;
        const auto at = std::find(groups_.begin(), groups_.end(), group) - groups_.begin();
        if (!goes && at == static_cast<std::ptrdiff_t>(groups_.size())) groups_.push_back(group);
        news.entries.push_back({n, static_cast<std::uint16_t>(entry.place), entry.availability,
                                entry.started_at, static_cast<std::uint32_t>(at)});
        if (goes != (node.availability == Availability::gone)) turned.push_back(n);
        const bool leaves =
            entry.availability != Availability::ready && node.availability == Availability::ready;
        const bool moves = !goes && (entry.address != node.address || entry.started_at != node.started_at);
        if (leaves)
            news.leaving.push_back(n);
        else if (moves && !fresh)
            news.changed.push_back(n);
        node.availability = entry.availability;
        if (goes) continue;
        node.address = entry.address;
        node.started_at = entry.started_at;
    }
    for (auto& [n, node] : nodes_)
        if (list.whole && node.named != lists_ && node.availability != Availability::gone) {
            // What a whole list does not name is gone.
            if (node.availability == Availability::ready) news.leaving.push_back(n);
            node.availability = Availability::gone;
            turned.push_back(n);
        }
    std::sort(turned.begin(), turned.end());
    for (const std::uint32_t n : turned) {
        std::erase(gone_, n);
        if (nodes_[n].availability == Availability::gone) gone_.push_back(n);
    }
    most_ = std::max(most_, nodes_.size() - gone_.size());
    for (; gone_.size() > most_; gone_.pop_front()) {
        index_.erase(nodes_[gone_.front()].id);
        nodes_.erase(gone_.front());
    }
    std::sort(news.leaving.begin(), news.leaving.end());
    return news;
}

std::size_t NodeList::ready() const {
    return static_cast<std::size_t>(std::count_if(nodes_.begin(), nodes_.end(), [](const auto& item) {
        return item.second.availability == Availability::ready;
    }));
}

const NodeList::Node& NodeList::find(std::uint32_t node) const {
    static const Node gone;
    const auto it = nodes_.find(node);
    return it == nodes_.end() ? gone : it->second;
}

}  // namespace tealcart
