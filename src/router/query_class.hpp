// A query class with what follows from its configuration.
#pragma once

#include "router/router_config.hpp"

namespace tealcart::router {

// A sum of rounded weights misses its value by less.
constexpr double weight_tolerance = 2e-5;

// A query class as configured, with what follows from its configuration.
struct QueryClass {
    explicit QueryClass(const QueryClassConfig& stated)
        : config(stated),
          allows_partial(stated.min_answer_weight < stated.complete_weight - weight_tolerance) {}

    // The least share of the weight that makes an answer of this step, 1 or 2.
    double needed_weight(int step) const {
        if (allows_partial) return config.min_answer_weight;
        return step == 1 ? config.complete_weight : 1;
    }

    QueryClassConfig config;
    bool allows_partial = false;  // may be answered from less than a complete set
};

// What decisions keep from deadlines and windows, since time passes between a round and what it leads to.
inline Nanos time_margin(const RouterConfig& config) { return 2 * config.round_interval + 3 * millisecond; }

}  // namespace tealcart::router
