// Limits that hold for all proxies together, divided among them. What was told to a proxy counts as in use
// until it acknowledged less, or left and its grace is over; so the sum in use never passes a total that
// stood still. A total that shrinks is passed for as long as the proxies take to acknowledge. No I/O.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "router/query_router.hpp"

namespace tealcart {

class LimitAllocator {
  public:
    explicit LimitAllocator(std::size_t pools) : totals_(pools), in_use_(pools) {}

    void set_total(std::size_t pool, std::uint32_t total) { totals_[pool] = total; }

    void join(std::uint64_t proxy);
    // It may go by what it was told until `until`.
    void leave(std::uint64_t proxy, Nanos expires_at);
    void expire(Nanos now);  // forgets those whose grace is over

    // What this proxy may be told now: its even share or, where others hold more than theirs, what is
    // left of the total, but never less than it could have in use without passing anything.
    std::vector<std::uint32_t> allowed_limits(std::uint64_t proxy) const;  // by pool
    // It is being told these limits under this number; larger numbers are later.
    void on_sent(std::uint64_t proxy, std::uint64_t number, const std::vector<std::uint32_t>& limits);
    // It goes by what it was told under this number, and by nothing earlier.
    void on_acknowledged(std::uint64_t proxy, std::uint64_t number);

    // The most that one proxy, and all together, may have in use.
    std::uint32_t in_use(std::uint64_t proxy, std::size_t pool) const;
    std::uint64_t in_use(std::size_t pool) const;
    std::uint32_t total(std::size_t pool) const { return totals_[pool]; }
    std::size_t proxies() const { return connected_; }
    // Moves with each change after which some proxy's allowed may be another.
    std::uint64_t change_count() const { return change_count_; }

  private:
    struct SentLimits {
        std::uint64_t number = 0;
        std::vector<std::uint32_t> limits;
    };
    struct Proxy {
        std::vector<SentLimits> sent;  // the acknowledged one first, then what was told since
        bool connected = true;
        Nanos expires_at = 0;
        std::uint32_t rank = 0;  // of those that are here, in the order in which they came
    };

    static std::uint32_t in_use(const Proxy& proxy, std::size_t pool);
    void update_ranks();

    std::vector<std::uint32_t> totals_;
    std::map<std::uint64_t, Proxy> proxies_;
    std::vector<std::uint64_t> in_use_;  // in use, by pool
    std::size_t connected_ = 0;
    std::uint64_t change_count_ = 0;
};

}  // namespace tealcart
