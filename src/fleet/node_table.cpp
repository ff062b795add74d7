#include "fleet/node_table.hpp"

#include <algorithm>
#include <functional>
#include <utility>

namespace tealcart::fleet {
namespace {

void insert_or_erase(std::set<std::string>& names, const std::string& name, bool insert) {
    if (insert)
        names.insert(name);
    else
        names.erase(name);
}

}  // namespace

const Node* NodeTable::find(const std::string& name) const {
    const auto it = nodes_.find(name);
    return it == nodes_.end() ? nullptr : &it->second;
}

bool NodeTable::is_out(const std::string& name) const {
    const Node* node = find(name);
    return node == nullptr || is_out(name, *node);
}

bool NodeTable::is_out(const std::string& name, const Node& node) const {
    return node.health != Health::healthy || unresponsive_.contains(name) || removed_.contains(name);
}

void NodeTable::observe(const EndpointsObserved& seen) {
    if (seen.full) {
        for (auto it = nodes_.begin(); it != nodes_.end();) {
            const std::string& name = (it++)->first;
            if (!seen.nodes.contains(name)) drop(name);
        }
    } else {
        for (const std::string& name : seen.removed) drop(name);
    }
    for (const auto& [name, node] : seen.nodes) {
        const auto [it, is_new] = nodes_.try_emplace(name);
        if (!is_new && it->second == node) continue;
        if (!is_new) count(name, it->second, CountChange::decrement);
        it->second = node;
        count(name, node, CountChange::increment);
    }
}

void NodeTable::drop(const std::string& name) {
    const auto it = nodes_.find(name);
    if (it == nodes_.end()) return;
    count(name, it->second, CountChange::decrement);
    if (!removed_.contains(name)) {
        nodes_.erase(it);
        return;
    }
    it->second.health = Health::gone;
    count(name, it->second, CountChange::increment);
}

template <typename Change>
void NodeTable::change(const std::string& name, Change change) {
    const Node* node = find(name);
    if (node != nullptr) count(name, *node, CountChange::decrement);
    change();
    if (node != nullptr) count(name, *node, CountChange::increment);
}

void NodeTable::set_removed(const std::string& name, bool removed) {
    change(name, [&] { insert_or_erase(removed_, name, removed); });
}

void NodeTable::set_unresponsive(const std::string& name, bool unresponsive) {
    ++visited_count_;
    if (unresponsive == unresponsive_.contains(name)) return;
    change(name, [&] { insert_or_erase(unresponsive_, name, unresponsive); });
}

void NodeTable::set_min_holders(std::size_t min_holders) {
    min_holders_ = min_holders;
    recount();
}

void NodeTable::restore(std::map<std::string, Node> nodes, std::set<std::string> removed,
                        std::set<std::string> unresponsive) {
    nodes_ = std::move(nodes);
    removed_ = std::move(removed);
    unresponsive_ = std::move(unresponsive);
    recount();
}

void NodeTable::count(const std::string& name, const Node& node, CountChange direction) {
    visited_count_ += 1 + node.shards.size();
    const bool out = is_out(name, node);
    tally(counts_.nodes, direction, out);
    tally(counts_.zones, node.zone, direction, out);
    tally(counts_.kinds, node.kind, direction, out);
    count_shards(node, out, direction);
}

void NodeTable::count_shards(const Node& node, bool is_out, CountChange direction) {
    const auto& shards = node.shards;
    const bool ascending =
        std::adjacent_find(shards.begin(), shards.end(), std::greater_equal<>()) == shards.end();
    for (auto at = shards.begin(); at != shards.end(); ++at) {
        ShardCount& shard = counts_.shards[*at];
        const bool listed_first = ascending || std::find(shards.begin(), at, *at) == at;
        if (listed_first) tally(shard.holders, direction);
        tally(shard.listed, direction);
        if (!is_out) tally(shard.healthy, direction);
        if (shard.listed > 0 && shard.healthy < min_holders_)
            counts_.short_shards.insert(*at);
        else if (!counts_.short_shards.empty())
            counts_.short_shards.erase(*at);
        if (shard.listed == 0) counts_.shards.erase(*at);
    }
}

void NodeTable::recount() {
    counts_ = {};
    for (const auto& [name, node] : nodes_) count(name, node, CountChange::increment);
}

}  // namespace tealcart::fleet
