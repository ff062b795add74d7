// Decides which endpoints, weights, limits and retries other proxies get, from the endpoint list, the clock
// and the decision module's capacity shares. No I/O.
#pragma once

#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "config/control_config.hpp"
#include "router/query_router.hpp"
#include "tables/endpoint_list.hpp"

namespace tealcart {

// Whether proxies may send new requests to a data node.
enum class EndpointState : std::uint8_t { healthy, draining };

// A data node as a proxy sees it.
struct PoolEndpoint {
    std::string id, host, zone;
    std::uint16_t port = 0;
    EndpointState state = EndpointState::healthy;
    std::uint32_t weight = 0;  // 100 for a warm node; all proxies together send traffic in proportion to it

    friend bool operator==(const PoolEndpoint&, const PoolEndpoint&) = default;
};

// The data nodes with replicas of all shards that begin at one place, ordered by id.
struct Pool {
    std::vector<PoolEndpoint> endpoints;
    std::uint32_t limit = 0;  // requests that all proxies together may have in flight in this pool

    friend bool operator==(const Pool&, const Pool&) = default;
};

// How long a proxy may take for a shard request of a query class, and how it may retry it.
struct QueryClassRoute {
    std::string name;
    Nanos timeout = 0, latency_objective = 0;
    int max_attempts = 1;    // of one shard request
    Nanos retry_window = 0;  // a retry may start within this time; 0 for no separate bound

    friend bool operator==(const QueryClassRoute&, const QueryClassRoute&) = default;
};

// The decisions from which the resources of all proxies are derived.
struct Decisions {
    std::uint64_t generation = 0;  // of the endpoint list that they are based on
    std::vector<Pool> pools;       // by place
    std::vector<QueryClassRoute> query_classes;
};

// Keeps the listed data nodes and computes decisions from them. Not thread-safe.
class DecisionEngine {
  public:
    DecisionEngine(const RouterConfig& config, const std::vector<std::string>& query_classes,
                   const ControlConfig& control, std::uint64_t seed);

    // Applies an endpoint list from discovery. Log lines are retained until `take_log_lines`.
    void apply_list(const EndpointList& list, Nanos now);
    // Returns the decisions at this time. A `now` that is before an earlier one counts as that earlier time.
    Decisions decide(Nanos now);
    // Returns when the result of `decide` may change without a new list.
    Nanos next_change() const { return next_change_; }

    Nanos list_age(Nanos now) const { return list_received_at_ == 0 ? 0 : now - list_received_at_; }
    bool in_panic() const { return panic_until_ > 0; }
    std::vector<std::string> take_log_lines() { return std::exchange(log_lines_, {}); }

  private:
    struct Node {
        ListedEndpoint listed;
        std::uint32_t number = 0;  // the decision module's id of the node
        Nanos draining_since = 0;  // 0 if the node is not draining
        Nanos missing_since = 0;   // removed by a list whose removals are not applied; 0 if it is listed
    };

    // Returns the ids of known nodes that this list removes.
    std::vector<std::string> removed_by(const EndpointList& list) const;
    void update_node(const ListedEndpoint& entry);
    // Removes these nodes, or keeps them for `panic_hold` if too few nodes would remain compared with the
    // highest number in the window.
    void remove_or_panic(const std::vector<std::string>& removed);
    void end_expired_panic();
    void forget_missing();
    // Passes the list to the decision module, which derives from it which nodes are warming up.
    void update_module(Nanos now);
    void update_shares();
    static std::uint32_t weight_of(double share);
    // Adds a node to the pools of all shards that it has replicas of.
    void add_to_pools(const std::string& id, const Node& node, std::vector<Pool>& pools);
    std::vector<QueryClassRoute> routes() const;
    // Returns the number of data nodes that are listed as ready.
    std::size_t ready() const;

    const std::vector<std::string> query_classes_;
    const std::vector<QueryClassConfig> config_;
    const ControlConfig control_;
    const std::uint32_t places_, width_;
    const Nanos drain_grace_;
    QueryRouter router_;
    std::map<std::string, Node> nodes_;
    std::map<std::uint32_t, double> capacity_share_;  // of a warm node's load, by the decision module's id
    // Candidates for the highest count of ready nodes in the window, by time; the counts decrease.
    std::deque<std::pair<Nanos, std::size_t>> max_ready_;
    std::vector<std::string> log_lines_;
    std::uint64_t generation_ = 0;
    std::uint32_t next_number_ = 0;
    Nanos now_ = 0, list_received_at_ = 0, panic_until_ = 0, next_change_ = INT64_MAX;
};

}  // namespace tealcart
