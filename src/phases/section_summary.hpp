// What a query in two phases asks for, and what a section says of itself in the first. Plain data.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "router/query_router.hpp"

namespace tealcart {

struct FieldRange {
    std::string field;
    double from = 0, to = 0;  // both ends belong to it
};

// The rows with all of these terms, in all of these ranges, that rank highest.
struct SearchCriteria {
    std::vector<std::string> terms;
    std::vector<FieldRange> ranges;
    int rows = 0;  // so many of them; 0: the query is not one to be put in two phases
};

// What a section can hold at one version of it: terms by a split-block Bloom filter, values by their extent.
// A field without an extent may hold anything.
struct SectionFilter {
    struct Extent {
        std::string field;
        double min = 0, max = 0;
    };
    std::vector<std::uint8_t> terms;  // blocks of 32 bytes; none: any term
    std::vector<Extent> extents;

    std::size_t bytes() const;
};

// A section's word on one query.
struct SectionSummary {
    std::uint64_t version = 0;
    bool no_matches = false;        // no row matches
    double max_rank = 0;            // no matching row ranks higher
    std::vector<double> top_ranks;  // ranks of rows that match, highest first
    Nanos lease = 0;                // how long after the asking this version is the section's only one
    bool has_filter = false;
    SectionFilter filter;
};

}  // namespace tealcart
