// Requests to take targets out of service, what is out by them, and the generations and fences under which
// that was agreed. Knows no budgets and no members: whoever calls it decides what may go.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "fleet/removal.hpp"

namespace tealcart::fleet {

using RemovedTargets = std::map<Target, std::uint64_t, TargetLess>;  // by which request

// Follows from the requests and from what is out; kept so that no command looks through all requests.
struct RequestCounts {
    RemovedTargets open;                                            // requests by target
    std::array<std::set<std::uint64_t>, 2> queued;                  // of nodes, of routers
    std::map<std::uint64_t, std::uint64_t> granted;                 // by generation
    std::set<std::uint64_t> returning_removed, returning_restored;  // still out; not out, but not healthy yet

    friend bool operator==(const RequestCounts&, const RequestCounts&) = default;
};

class RemovalQueue {
  public:
    using Requests = std::map<std::uint64_t, Request>;

    // Requests that have not ended, in the order in which they were made.
    const Requests& requests() const { return requests_; }
    const Request* find(std::uint64_t id) const;
    const RequestCounts& counts() const { return counts_; }
    // The request for the target that has not ended.
    std::optional<std::uint64_t> open_request(const Target& target) const;

    const RemovedTargets& removed() const { return removed_; }
    bool is_removed(const TargetView& target) const { return removed_.contains(target); }

    std::uint64_t generation() const { return generation_; }  // goes up with every change of what is out
    std::uint64_t last_fence() const { return last_fence_; }
    std::uint64_t last_request() const { return last_request_; }

    std::uint64_t add(const std::string& requested_by, const Target& target);
    void begin_return(std::uint64_t id);
    // Under the next fence and the next generation. The target is out.
    const Request& grant(std::uint64_t id);
    void finish(std::uint64_t id, std::set<std::string> unacknowledged);
    // Under the next generation. The target is out no more.
    const Request& release(std::uint64_t id);
    // Gives the request as it was.
    Request end(std::uint64_t id);

    // Granted requests that may be done: those whose generation has come to be the lowest that all have
    // applied, or lower, and those that were to be reconsidered.
    std::set<std::uint64_t> take_completion_candidates(std::uint64_t lowest_applied);
    void recheck_completion(const Target& target);

    // What blocks each queued request that is not the first of its sort; remembered for those that come
    // later.
    void block_all(const std::string& reason);
    void block(std::uint64_t id, const std::string& reason);
    // No queued request is left that the reason of block_all would hold for.
    void clear_block_reason() { block_reason_.clear(); }

    // From a snapshot.
    void restore(Requests requests, RemovedTargets removed, std::uint64_t generation,
                 std::uint64_t last_fence, std::uint64_t last_request);
    // All that is kept as counts anew; every granted request may be done.
    void recount();

    // Requests that were looked at since the last reset.
    std::size_t visited_count() const { return visited_count_; }
    void reset_visited_count() { visited_count_ = 0; }

  private:
    // A request is taken out of the counts before it is changed, and put back after.
    void remove_from_counts(std::uint64_t id, const Request& request);
    void add_to_counts(std::uint64_t id, const Request& request);
    std::set<std::uint64_t>& returning(const Request& request);

    Requests requests_;
    RemovedTargets removed_;
    std::uint64_t generation_ = 0, last_fence_ = 0, last_request_ = 0;
    RequestCounts counts_;
    std::set<std::uint64_t> completion_candidates_;
    std::uint64_t checked_generation_ =
        0;  // requests that were granted up to this generation were given as possibly done
    std::string block_reason_;  // of the last block_all; empty: unknown
    std::size_t visited_count_ = 0;
};

}  // namespace tealcart::fleet
