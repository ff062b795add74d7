// What the operators state of queries in two phases. Times in whole nanoseconds.
#pragma once

#include <algorithm>
#include <cstddef>
#include <vector>

#include "router/query_router.hpp"

namespace tealcart {

constexpr int max_summary_ranks = 1024;  // scores in one section's word

struct TwoPhaseConfig {
    bool enabled = false;
    double first_phase_share = 0.3;         // of the remaining time, for the first phase ...
    Nanos min_first_phase = 10'000'000;     // ... but at least this, or there is no first phase ...
    Nanos max_first_phase = 1'000'000'000;  // ... and at most this
    Nanos response_reserve = 5'000'000;     // of the remaining time, kept for the answer itself
    int max_rows = 100;         // that a query may ask for in two phases; one that asks for more has one
    double audit_share = 0;     // share of prunable sections that are asked all the same
    bool cache_filters = true;  // whether sections' filters are asked for and kept between queries
};

// Whether what sections say of themselves is kept at all.
inline bool any_caches_filters(const std::vector<TwoPhaseConfig>& by_query_class) {
    return std::any_of(by_query_class.begin(), by_query_class.end(),
                       [](const TwoPhaseConfig& config) { return config.enabled && config.cache_filters; });
}

struct SectionFilterCacheConfig {
    std::size_t max_bytes = 4 << 20;           // of all that is remembered of sections
    Nanos max_lease = 10'000'000'000;          // a longer one is cut to this
    Nanos distrust_duration = 60'000'000'000;  // for so long the word of a node that was wrong is not used
};

}  // namespace tealcart
