#include "testing/contents.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <random>
#include <set>

#include "phases/term_filter.hpp"

namespace tealcart::testing {
namespace {

constexpr double bits_per_term = 12;
constexpr double top_rank = 1000;

std::string text_of(double number) {
    char buffer[32];
    return {buffer, std::to_chars(buffer, buffer + sizeof buffer, number).ptr};
}

}  // namespace

bool matches(const Row& row, const SearchCriteria& criteria) {
    for (const std::string& term : criteria.terms)
        if (std::find(row.terms.begin(), row.terms.end(), term) == row.terms.end()) return false;
    for (const FieldRange& range : criteria.ranges) {
        const auto field = row.fields.find(range.field);
        if (field == row.fields.end() || field->second < range.from || field->second > range.to) return false;
    }
    return true;
}

void sort_rows(std::vector<Row>& rows) {
    std::sort(rows.begin(), rows.end(),
              [](const Row& a, const Row& b) { return a.rank != b.rank ? a.rank > b.rank : a.doc < b.doc; });
}

std::vector<const Row*> best_rows(const Section& section, const SearchCriteria& criteria) {
    std::vector<const Row*> best;
    for (const Row& row : section.rows) {
        if (best.size() >= static_cast<std::size_t>(criteria.rows)) break;
        if (matches(row, criteria)) best.push_back(&row);
    }
    return best;
}

SectionSummary summarize(const Section& section, const SearchCriteria& criteria, Nanos lease,
                         bool wants_filter) {
    SectionSummary summary;
    summary.version = section.version;
    summary.lease = lease;
    for (const Row* row : best_rows(section, criteria)) summary.top_ranks.push_back(row->rank);
    summary.no_matches = summary.top_ranks.empty();
    if (!summary.no_matches) summary.max_rank = summary.top_ranks.front();
    if (!wants_filter || lease <= 0) return summary;
    summary.has_filter = true;
    std::set<std::string> terms;
    std::map<std::string, SectionFilter::Extent> extents;
    for (const Row& row : section.rows) {
        terms.insert(row.terms.begin(), row.terms.end());
        for (const auto& [field, value] : row.fields) {
            auto& extent =
                extents.try_emplace(field, SectionFilter::Extent{field, value, value}).first->second;
            extent.min = std::min(extent.min, value);
            extent.max = std::max(extent.max, value);
        }
    }
    summary.filter.terms = make_filter(terms.size(), bits_per_term);
    for (const std::string& term : terms) add_term(summary.filter.terms, term_hash(term));
    for (const auto& [_, extent] : extents) summary.filter.extents.push_back(extent);
    return summary;
}

std::string format_rows(const std::vector<const Row*>& rows, std::size_t record_bytes) {
    std::string out;
    for (const Row* row : rows) {
        if (!out.empty()) out += ' ';
        out += std::to_string(row->doc) + ":" + text_of(row->rank);
        if (record_bytes > 0) out.append(1, ';').append(record_bytes, 'x');
    }
    return out;
}

std::vector<RankedRow> parse_rows(std::string_view value) {
    std::vector<RankedRow> rows;
    while (!value.empty()) {
        const std::string_view item = value.substr(0, value.find(' '));
        value.remove_prefix(std::min(value.size(), item.size() + 1));
        const auto colon = item.find(':');
        const auto end = std::min(item.find(';'), item.size());
        if (colon == item.npos) continue;
        RankedRow row;
        std::from_chars(item.data(), item.data() + colon, row.doc);
        std::from_chars(item.data() + colon + 1, item.data() + end, row.rank);
        rows.push_back(row);
    }
    return rows;
}

std::vector<RankedRow> top_rows(std::vector<RankedRow> rows, int count) {
    std::sort(rows.begin(), rows.end(), [](const RankedRow& a, const RankedRow& b) {
        return a.rank != b.rank ? a.rank > b.rank : a.doc < b.doc;
    });
    if (rows.size() > static_cast<std::size_t>(count)) rows.resize(static_cast<std::size_t>(count));
    return rows;
}

std::vector<RankedRow> expected_rows(const std::vector<Section>& sections,
                                     const std::vector<std::uint32_t>& shards,
                                     const SearchCriteria& criteria) {
    std::vector<RankedRow> all;
    for (const std::uint32_t shard : shards)
        for (const Row* row : best_rows(sections[shard], criteria)) all.push_back({row->doc, row->rank});
    return top_rows(std::move(all), criteria.rows);
}

std::vector<Section> generate(const GeneratedContents& parameters) {
    std::knuth_b random(parameters.seed);
    const auto draw = [&random] {
        return static_cast<double>(random() - random.min()) /
               static_cast<double>(random.max() - random.min() + 1);
    };
    std::vector<std::uint32_t> order(parameters.shards);
    for (std::uint32_t i = 0; i < parameters.shards; ++i) order[i] = i;
    for (std::size_t i = order.size(); i > 1; --i)
        std::swap(order[i - 1], order[static_cast<std::size_t>(draw() * static_cast<double>(i))]);
    const auto section_count = [&](double share) {
        return static_cast<std::uint32_t>(std::ceil(share * parameters.shards));
    };
    std::vector<Section> sections(parameters.shards);
    std::uint64_t doc = 0;
    for (std::uint32_t place = 0; place < parameters.shards; ++place) {
        Section& section = sections[order[place]];
        for (int row_index = 0; row_index < parameters.rows; ++row_index) {
            Row row;
            row.doc = ++doc;
            row.rank = std::floor(draw() * top_rank) / 2;
            if (place < section_count(parameters.top_share)) row.rank += top_rank;
            row.terms = {"common", "term-" + std::to_string(static_cast<int>(draw() * 5000))};
            if (place < section_count(parameters.matching_share)) row.terms.emplace_back("wanted");
            row.fields = {{"expiry", std::floor(draw() * 365)}};
            section.rows.push_back(std::move(row));
        }
        sort_rows(section.rows);
    }
    return sections;
}

}  // namespace tealcart::testing
