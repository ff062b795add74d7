// Selects the shard requests of a query to send when they arrive: by fan-out first, then by admission
// control.
#pragma once

#include "router/admission.hpp"
#include "router/fan_out.hpp"
#include "router/node_tracker.hpp"
#include "router/query_class.hpp"
#include "router/query_table.hpp"
#include "router/router_config.hpp"

namespace tealcart::router {

// Combines fan-out and admission control.
class QueryPlanner {
  public:
    // The referenced objects must outlive the planner.
    QueryPlanner(const RouterConfig& config, const NodeTracker& nodes, QueryTable& queries)
        : queries_(queries), fan_out_(config.query_classes.size()),
          admission_(nodes.latency(), nodes.selector()) {}

    // Selects among the query's shard requests. Returns false if the query is to be rejected.
    bool plan(Query& query, const QueryClass& query_class, Nanos now);

    FanOut& fan_out() { return fan_out_; }

  private:
    int width_of(const Query& query, const QueryClass& query_class);

    QueryTable& queries_;
    FanOut fan_out_;
    Admission admission_;
};

}  // namespace tealcart::router
