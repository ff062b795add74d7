// What stand-in data nodes hold, and the true answer to any find over it. No I/O.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "phases/section_summary.hpp"

namespace tealcart::testing {

struct Row {
    std::uint64_t doc = 0;
    double rank = 0;
    std::vector<std::string> terms;
    std::map<std::string, double> fields;
};

struct Section {
    std::uint64_t version = 1;
    std::vector<Row> rows;  // highest rank first, then lowest doc
};

bool matches(const Row& row, const SearchCriteria& find);
void sort_rows(std::vector<Row>& rows);
// The first rows of a section that match.
std::vector<const Row*> best_rows(const Section& section, const SearchCriteria& find);

// A section's true word, with its filter if that is wanted.
SectionSummary summarize(const Section& section, const SearchCriteria& find, Nanos lease, bool wants_filter);

// A row as it stands in a value, "DOC:RANK", with so many bytes of record behind it; and back.
std::string format_rows(const std::vector<const Row*>& rows, std::size_t record = 0);
struct RankedRow {
    std::uint64_t doc = 0;
    double rank = 0;

    friend bool operator==(const RankedRow&, const RankedRow&) = default;
};
std::vector<RankedRow> parse_rows(std::string_view value);

// The first N over these sections: what any way of asking must come to.
std::vector<RankedRow> expected_rows(const std::vector<Section>& sections,
                                     const std::vector<std::uint32_t>& asked, const SearchCriteria& find);
// The first N of values that came from sections.
std::vector<RankedRow> top_rows(std::vector<RankedRow> rows, int most);

// GeneratedContents contents: every section holds rows of common terms; a share of them rows of the term
// "wanted", of which a share ranks above all others.
struct GeneratedContents {
    std::uint32_t shards = 1;
    int rows = 20;        // of each section
    double matching = 1;  // share of sections with rows of "wanted"
    double top = 1;       // share of sections whose rows of it rank above the others'
    std::uint64_t seed = 1;
};
std::vector<Section> generate(const GeneratedContents& wanted);

}  // namespace tealcart::testing
