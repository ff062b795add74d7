// Divides limits that hold for all proxies together. What was sent to a proxy counts as in use until the
// proxy acknowledges less, or until it has left and its grace period is over; so the sum in use never exceeds
// a total that doesn't change. After a total shrinks, the sum exceeds it until the proxies acknowledge. No
// I/O.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "router/query_router.hpp"

namespace tealcart {

// Limits are kept for each pool; proxies are identified by numbers that grow in the order in which they join.
class LimitAllocator {
  public:
    explicit LimitAllocator(std::size_t pools) : totals_(pools), in_use_(pools) {}

    void set_total(std::size_t pool, std::uint32_t total) { totals_[pool] = total; }

    void join(std::uint64_t proxy);
    // The proxy may use the limits that it was sent until `expires_at`.
    void leave(std::uint64_t proxy, Nanos expires_at);
    // Forgets proxies that have left and whose grace period is over.
    void expire(Nanos now);

    // Returns the limits, by pool, that the proxy may be sent now: its even share of the total. An increase
    // towards that share takes only what no other proxy may have in use.
    std::vector<std::uint32_t> allowed_limits(std::uint64_t proxy) const;
    // These limits are being sent to the proxy under this number; later limits have larger numbers.
    void on_sent(std::uint64_t proxy, std::uint64_t number, const std::vector<std::uint32_t>& limits);
    // The proxy now uses the limits that were sent under this number, and no earlier ones.
    void on_acknowledged(std::uint64_t proxy, std::uint64_t number);

    // Return the highest limit that one proxy, or all proxies together, may be using.
    std::uint32_t in_use(std::uint64_t proxy, std::size_t pool) const;
    std::uint64_t in_use(std::size_t pool) const;
    std::uint32_t total(std::size_t pool) const { return totals_[pool]; }
    std::size_t proxies() const { return connected_; }
    // Grows with each change after which the allowed limits of some proxy may differ.
    std::uint64_t change_count() const { return change_count_; }

  private:
    // Limits that were sent to a proxy, by pool, and their number.
    struct SentLimits {
        std::uint64_t number = 0;
        std::vector<std::uint32_t> limits;
    };
    struct Proxy {
        std::vector<SentLimits> sent;  // the acknowledged limits first, then those sent since
        bool connected = true;
        Nanos expires_at = 0;
        std::uint32_t rank = 0;  // among the connected proxies, in the order in which they joined
    };

    static std::uint32_t in_use(const Proxy& proxy, std::size_t pool);
    void update_ranks();

    std::vector<std::uint32_t> totals_;
    std::map<std::uint64_t, Proxy> proxies_;
    std::vector<std::uint64_t> in_use_;  // by pool
    std::size_t connected_ = 0;
    std::uint64_t change_count_ = 0;
};

}  // namespace tealcart
