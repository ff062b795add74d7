// The contents of test data nodes and the expected result of any search over them. No I/O.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "phases/section_summary.hpp"

namespace tealcart::testing {

// A document of a section; its rank doesn't depend on the query.
struct Row {
    std::uint64_t doc = 0;
    double rank = 0;
    std::vector<std::string> terms;
    std::map<std::string, double> fields;
};

// The rows of one shard.
struct Section {
    std::uint64_t version = 1;
    std::vector<Row> rows;  // highest rank first, then lowest document number
};

bool matches(const Row& row, const SearchCriteria& criteria);
void sort_rows(std::vector<Row>& rows);
// Returns the highest-ranked rows of a section that match.
std::vector<const Row*> best_rows(const Section& section, const SearchCriteria& criteria);

// Returns the correct summary of a section, with its filter if it is wanted.
SectionSummary summarize(const Section& section, const SearchCriteria& criteria, Nanos lease,
                         bool wants_filter);

// Formats rows as in a shard's value, "DOC:RANK" separated by blanks, each with a record of this many bytes.
// `parse_rows` reads them back.
std::string format_rows(const std::vector<const Row*>& rows, std::size_t record_bytes = 0);
// The number and the rank of a row in a value.
struct RankedRow {
    std::uint64_t doc = 0;
    double rank = 0;

    friend bool operator==(const RankedRow&, const RankedRow&) = default;
};
std::vector<RankedRow> parse_rows(std::string_view value);

// Returns the highest-ranked matching rows of these sections, which every way of querying must return.
std::vector<RankedRow> expected_rows(const std::vector<Section>& sections,
                                     const std::vector<std::uint32_t>& shards,
                                     const SearchCriteria& criteria);
// Returns the `count` highest-ranked of rows that came from several sections.
std::vector<RankedRow> top_rows(std::vector<RankedRow> rows, int count);

// Parameters of generated contents. Every section holds rows with common terms; a share of the sections has
// rows with the term "wanted", and a share of those ranks above all others.
struct GeneratedContents {
    std::uint32_t shards = 1;
    int rows = 20;              // in each section
    double matching_share = 1;  // share of sections with rows that have the term "wanted"
    double top_share = 1;       // share of sections whose rows rank above the others'
    std::uint64_t seed = 1;
};
std::vector<Section> generate(const GeneratedContents& parameters);

}  // namespace tealcart::testing
