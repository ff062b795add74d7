// A query class and the properties derived from its configuration.
#pragma once

#include "router/router_config.hpp"

namespace tealcart::router {

// Upper bound of the rounding error of a sum of weights.
constexpr double weight_tolerance = 2e-5;

// The configuration of a query class and the properties derived from it.
struct QueryClass {
    explicit QueryClass(const QueryClassConfig& stated)
        : config(stated),
          allows_partial(stated.min_answer_weight < stated.complete_weight - weight_tolerance) {}

    // The least share of the weight that is needed to answer a step, which is 1 or 2.
    double needed_weight(int step) const {
        if (allows_partial) return config.min_answer_weight;
        return step == 1 ? config.complete_weight : 1;
    }

    QueryClassConfig config;
    bool allows_partial = false;  // whether an answer may leave shard requests out
};

// The margin that decisions keep to deadlines and windows, because time passes between a round and the
// effects of its decisions.
inline Nanos time_margin(const RouterConfig& config) { return 2 * config.round_interval + 3 * millisecond; }

}  // namespace tealcart::router
