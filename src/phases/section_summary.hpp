// What a two-phase query searches for, and the summary that a section returns in the first phase. Plain data.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "router/query_router.hpp"

namespace tealcart {

// A closed interval of the values of a field.
struct FieldRange {
    std::string field;
    double from = 0, to = 0;  // both inclusive
};

// Selects the highest-ranked rows that have all of these terms and lie in all of these ranges.
struct SearchCriteria {
    std::vector<std::string> terms;
    std::vector<FieldRange> ranges;
    int rows = 0;  // how many rows to return; 0 if the query can't be executed in two phases
};

// Bounds what one version of a section can contain: terms by a split-block Bloom filter, field values by
// their extents. A field without an extent may have any value.
struct SectionFilter {
    // The least and the greatest value of a field in the section.
    struct Extent {
        std::string field;
        double min = 0, max = 0;
    };
    std::vector<std::uint8_t> terms;  // blocks of 32 bytes; if empty, the section may contain any term
    std::vector<Extent> extents;

    // Returns the memory that the filter's buffers take, without the struct itself.
    std::size_t bytes() const;
};

// A section's answer to the first phase of a query.
struct SectionSummary {
    std::uint64_t version = 0;
    bool no_matches = false;        // no row of the section matches
    double max_rank = 0;            // no matching row has a higher rank
    std::vector<double> top_ranks;  // ranks of matching rows, highest first
    Nanos lease = 0;  // for how long after the request this version stays the only one of the section
    bool has_filter = false;
    SectionFilter filter;
};

}  // namespace tealcart
