#include "control/limit_allocator.hpp"

#include <algorithm>

namespace tealcart {

void LimitAllocator::update_ranks() {
    std::uint32_t rank = 0;
    for (auto& [_, proxy] : proxies_)
        if (proxy.connected) proxy.rank = rank++;
}

void LimitAllocator::join(std::uint64_t proxy) {
    const auto [found, is_new] = proxies_.try_emplace(proxy);
    if (!is_new && found->second.connected) return;
    found->second.connected = true;
    ++connected_;
    ++change_count_;
    // Proxies that joined earlier keep their ranks.
    if (std::next(found) == proxies_.end())
        found->second.rank = static_cast<std::uint32_t>(connected_ - 1);
    else
        update_ranks();
}

void LimitAllocator::leave(std::uint64_t proxy, Nanos expires_at) {
    const auto found = proxies_.find(proxy);
    if (found == proxies_.end() || !found->second.connected) return;
    found->second.connected = false;
    found->second.expires_at = expires_at;
    --connected_;
    ++change_count_;
    update_ranks();
}

void LimitAllocator::expire(Nanos now) {
    for (auto found = proxies_.begin(); found != proxies_.end();) {
        if (found->second.connected || found->second.expires_at > now) {
            ++found;
            continue;
        }
        for (std::size_t pool = 0; pool < in_use_.size(); ++pool)
            in_use_[pool] -= in_use(found->second, pool);
        found = proxies_.erase(found);
        ++change_count_;
    }
}

std::uint32_t LimitAllocator::in_use(const Proxy& proxy, std::size_t pool) {
    std::uint32_t max_limit = 0;
    for (const SentLimits& sent : proxy.sent) max_limit = std::max(max_limit, sent.limits[pool]);
    return max_limit;
}

std::uint32_t LimitAllocator::in_use(std::uint64_t proxy, std::size_t pool) const {
    const auto found = proxies_.find(proxy);
    return found == proxies_.end() ? 0 : in_use(found->second, pool);
}

std::uint64_t LimitAllocator::in_use(std::size_t pool) const { return in_use_[pool]; }

std::vector<std::uint32_t> LimitAllocator::allowed_limits(std::uint64_t proxy) const {
    std::vector<std::uint32_t> allowed(totals_.size());
    const auto found = proxies_.find(proxy);
    if (found == proxies_.end()) return allowed;
    const Proxy& state = found->second;
    const auto count = static_cast<std::uint32_t>(std::max<std::size_t>(connected_, 1));
    for (std::size_t pool = 0; pool < allowed.size(); ++pool) {
        const std::uint32_t even = totals_[pool] / count + (state.rank < totals_[pool] % count ? 1 : 0);
        const std::uint32_t current = state.sent.empty() ? 0 : state.sent.back().limits[pool];
        allowed[pool] = even;
        if (even <= current) continue;  // a decrease takes nothing from other proxies
        // An increase may only use what no other proxy can have in use.
        const std::uint64_t others = in_use_[pool] - in_use(state, pool);
        const std::uint64_t room = totals_[pool] > others ? totals_[pool] - others : 0;
        allowed[pool] = std::max(current, static_cast<std::uint32_t>(std::min<std::uint64_t>(even, room)));
    }
    return allowed;
}

void LimitAllocator::on_sent(std::uint64_t proxy, std::uint64_t number,
                             const std::vector<std::uint32_t>& limits) {
    Proxy& state = proxies_.at(proxy);
    for (std::size_t pool = 0; pool < limits.size(); ++pool) {
        const std::uint32_t before = in_use(state, pool);
        if (limits[pool] > before) in_use_[pool] += limits[pool] - before;
    }
    // The list stays bounded if a proxy never acknowledges: all limits between the first and the last are
    // merged into one entry.
    if (state.sent.size() >= 3) {
        for (std::size_t pool = 0; pool < limits.size(); ++pool)
            state.sent[1].limits[pool] = std::max(state.sent[1].limits[pool], state.sent[2].limits[pool]);
        state.sent[1].number = state.sent[2].number;
        state.sent.pop_back();
    }
    state.sent.push_back({number, limits});
}

void LimitAllocator::on_acknowledged(std::uint64_t proxy, std::uint64_t number) {
    const auto found = proxies_.find(proxy);
    if (found == proxies_.end()) return;
    auto& sent = found->second.sent;
    const auto from = std::find_if(sent.begin(), sent.end(),
                                   [number](const SentLimits& limits) { return limits.number >= number; });
    // The acknowledgement of limits that were merged into others is not conclusive, unless the merged entry
    // has their number.
    if (from == sent.end() || from->number != number || from == sent.begin()) return;
    std::vector<std::uint32_t> before(totals_.size());
    for (std::size_t pool = 0; pool < before.size(); ++pool) before[pool] = in_use(found->second, pool);
    sent.erase(sent.begin(), from);
    bool decreased = false;
    for (std::size_t pool = 0; pool < before.size(); ++pool) {
        const std::uint32_t now = in_use(found->second, pool);
        in_use_[pool] -= before[pool] - now;
        decreased |= now < before[pool];
    }
    change_count_ += decreased;
}

}  // namespace tealcart
