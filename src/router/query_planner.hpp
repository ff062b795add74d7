// Which shard requests of a query are sent, once they have come in: fan-out first, then admission.
#pragma once

#include "router/admission.hpp"
#include "router/fan_out.hpp"
#include "router/node_tracker.hpp"
#include "router/query_class.hpp"
#include "router/query_table.hpp"
#include "router/router_config.hpp"

namespace tealcart::router {

class QueryPlanner {
  public:
    // The references outlive the planner.
    QueryPlanner(const RouterConfig& config, const NodeTracker& nodes, QueryTable& queries)
        : queries_(queries), fan_out_(config.query_classes.size()),
          admission_(nodes.latency(), nodes.selector()) {}

    // Selects among the query's shard requests. False where it is to be rejected.
    bool plan(Query& query, const QueryClass& query_class, Nanos now);

    FanOut& fan_out() { return fan_out_; }

  private:
    int width_of(const Query& query, const QueryClass& query_class);

    QueryTable& queries_;
    FanOut fan_out_;
    Admission admission_;
};

}  // namespace tealcart::router
