// The requests to take targets out of service, the targets that are out because of them, and the generations
// and fences of these grants. The queue knows neither budgets nor members: the caller decides what may be
// granted.
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

using RemovedTargets = std::map<Target, std::uint64_t, TargetLess>;  // the request that removed each target

// Derived from the requests and from what is out. The indexes are maintained incrementally so that no command
// has to scan all requests.
struct RequestCounts {
    RemovedTargets open;                             // open requests by target
    std::array<std::set<std::uint64_t>, 2> queued;   // requests for nodes, and for routers
    std::map<std::uint64_t, std::uint64_t> granted;  // requests by generation
    std::set<std::uint64_t> returning_removed;       // the target is still out
    std::set<std::uint64_t> returning_restored;      // the target is no longer out, but not healthy yet

    friend bool operator==(const RequestCounts&, const RequestCounts&) = default;
};

// Holds the requests and keeps RequestCounts up to date.
class RemovalQueue {
  public:
    using Requests = std::map<std::uint64_t, Request>;

    // The requests that have not ended, in the order of their creation.
    const Requests& requests() const { return requests_; }
    const Request* find(std::uint64_t id) const;
    const RequestCounts& counts() const { return counts_; }
    // The request for the target that has not ended, if there is one.
    std::optional<std::uint64_t> open_request(const Target& target) const;

    const RemovedTargets& removed() const { return removed_; }
    bool is_removed(const TargetView& target) const { return removed_.contains(target); }

    std::uint64_t generation() const { return generation_; }  // incremented with every change of what is out
    std::uint64_t last_fence() const { return last_fence_; }
    std::uint64_t last_request() const { return last_request_; }

    std::uint64_t add(const std::string& requested_by, const Target& target);
    void begin_return(std::uint64_t id);
    // Grants a request under the next fence and the next generation. The target is out from then on.
    const Request& grant(std::uint64_t id);
    void finish(std::uint64_t id, std::set<std::string> unacknowledged);
    // Returns the target of a request under the next generation. The target is no longer out.
    const Request& release(std::uint64_t id);
    // Removes the request and returns it as it was.
    Request end(std::uint64_t id);

    // The granted requests that may be done by now: those whose generation all members have reached since the
    // last call, and those marked by recheck_completion().
    std::set<std::uint64_t> take_completion_candidates(std::uint64_t lowest_applied);
    void recheck_completion(const Target& target);

    // Sets what blocks every queued request, and requests that are added later. block() then overrides it for
    // the first request of a queue.
    void block_all(const std::string& reason);
    void block(std::uint64_t id, const std::string& reason);
    // Forgets the reason of block_all() once no queued request is left.
    void clear_block_reason() { block_reason_.clear(); }

    // Restores the state of a snapshot.
    void restore(Requests requests, RemovedTargets removed, std::uint64_t generation,
                 std::uint64_t last_fence, std::uint64_t last_request);
    // Rebuilds the counts. Every granted request is then a completion candidate.
    void recount();

    // The number of requests visited since the last reset.
    std::size_t visited_count() const { return visited_count_; }
    void reset_visited_count() { visited_count_ = 0; }

  private:
    // A request is removed from the counts before it is changed, and added again after the change.
    void remove_from_counts(std::uint64_t id, const Request& request);
    void add_to_counts(std::uint64_t id, const Request& request);
    std::set<std::uint64_t>& returning(const Request& request);

    Requests requests_;
    RemovedTargets removed_;
    std::uint64_t generation_ = 0, last_fence_ = 0, last_request_ = 0;
    RequestCounts counts_;
    std::set<std::uint64_t> completion_candidates_;
    // Requests granted up to this generation were already returned as completion candidates.
    std::uint64_t checked_generation_ = 0;
    std::string block_reason_;  // of the last block_all(); empty if unknown
    std::size_t visited_count_ = 0;
};

}  // namespace tealcart::fleet
