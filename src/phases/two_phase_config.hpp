// The operators' settings for two-phase queries. Times are in whole nanoseconds.
#pragma once

#include <algorithm>
#include <cstddef>
#include <vector>

#include "router/query_router.hpp"

namespace tealcart {

constexpr int max_summary_ranks = 1024;  // ranks in one section's summary

// The settings of one query class.
struct TwoPhaseConfig {
    bool enabled = false;
    double first_phase_share = 0.3;  // of the remaining time
    // Lower bound of the first phase, which is skipped if that doesn't fit.
    Nanos min_first_phase = 10'000'000;
    Nanos max_first_phase = 1'000'000'000;  // upper bound of the first phase
    Nanos response_reserve = 5'000'000;     // of the remaining time, set aside for sending the response
    int max_rows = 100;                     // a query that asks for more rows is executed in one phase
    double audit_share = 0;     // share of prunable sections that are queried anyway, to verify summaries
    bool cache_filters = true;  // request sections' filters and cache them between queries
};

// Returns whether any query class caches sections' filters.
inline bool any_caches_filters(const std::vector<TwoPhaseConfig>& by_query_class) {
    return std::any_of(by_query_class.begin(), by_query_class.end(),
                       [](const TwoPhaseConfig& config) { return config.enabled && config.cache_filters; });
}

// The settings of the filter cache, which all query classes share.
struct SectionFilterCacheConfig {
    std::size_t max_bytes = 4 << 20;           // of all cached filters together
    Nanos max_lease = 10'000'000'000;          // longer leases are cut to this
    Nanos distrust_duration = 60'000'000'000;  // how long a node's summaries are ignored after a wrong one
};

}  // namespace tealcart
