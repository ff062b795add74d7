#include "testing/contents.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <random>
#include <set>

#include "phases/term_filter.hpp"

namespace tealcart::testing {
namespace {

constexpr double bits_a_term = 12;
constexpr double top_rank = 1000;

std::string text_of(double number) {
    char text[32];
    return {text, std::to_chars(text, text + sizeof text, number).ptr};
}

}  // namespace

bool matches(const Row& row, const SearchCriteria& find) {
    for (const std::string& term : find.terms)
        if (std::find(row.terms.begin(), row.terms.end(), term) == row.terms.end()) return false;
    for (const FieldRange& range : find.ranges) {
        const auto field = row.fields.find(range.field);
        if (field == row.fields.end() || field->second < range.from || field->second > range.to) return false;
    }
    return true;
}

void sort_rows(std::vector<Row>& rows) {
    std::sort(rows.begin(), rows.end(),
              [](const Row& a, const Row& b) { return a.rank != b.rank ? a.rank > b.rank : a.doc < b.doc; });
}

std::vector<const Row*> best_rows(const Section& section, const SearchCriteria& find) {
    std::vector<const Row*> best;
    for (const Row& row : section.rows) {
        if (best.size() >= static_cast<std::size_t>(find.rows)) break;
        if (matches(row, find)) best.push_back(&row);
    }
    return best;
}

SectionSummary summarize(const Section& section, const SearchCriteria& find, Nanos lease, bool wants_filter) {
    SectionSummary word;
    word.version = section.version;
    word.lease = lease;
    for (const Row* row : best_rows(section, find)) word.top_ranks.push_back(row->rank);
    word.no_matches = word.top_ranks.empty();
    if (!word.no_matches) word.max_rank = word.top_ranks.front();
    if (!wants_filter || lease <= 0) return word;
    word.has_filter = true;
    std::set<std::string> terms;
    std::map<std::string, SectionFilter::Extent> extents;
    for (const Row& row : section.rows) {
        terms.insert(row.terms.begin(), row.terms.end());
        for (const auto& [field, value] : row.fields) {
            auto& e = extents.try_emplace(field, SectionFilter::Extent{field, value, value}).first->second;
            e.min = std::min(e.min, value);
            e.max = std::max(e.max, value);
        }
    }
    word.filter.terms = make_filter(terms.size(), bits_a_term);
    for (const std::string& term : terms) add_term(word.filter.terms, term_hash(term));
    for (const auto& [_, extent] : extents) word.filter.extents.push_back(extent);
    return word;
}

std::string format_rows(const std::vector<const Row*>& rows, std::size_t record) {
    std::string out;
    for (const Row* row : rows) {
        if (!out.empty()) out += ' ';
        out += std::to_string(row->doc) + ":" + text_of(row->rank);
        if (record > 0) out.append(1, ';').append(record, 'x');
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

std::vector<RankedRow> top_rows(std::vector<RankedRow> rows, int most) {
    std::sort(rows.begin(), rows.end(), [](const RankedRow& a, const RankedRow& b) {
        return a.rank != b.rank ? a.rank > b.rank : a.doc < b.doc;
    });
    if (rows.size() > static_cast<std::size_t>(most)) rows.resize(static_cast<std::size_t>(most));
    return rows;
}

std::vector<RankedRow> expected_rows(const std::vector<Section>& sections,
                                     const std::vector<std::uint32_t>& asked, const SearchCriteria& find) {
    std::vector<RankedRow> all;
    for (const std::uint32_t i : asked)
        for (const Row* row : best_rows(sections[i], find)) all.push_back({row->doc, row->rank});
    return top_rows(std::move(all), find.rows);
}

std::vector<Section> generate(const GeneratedContents& wanted) {
    std::knuth_b chance(wanted.seed);
    const auto drawn = [&chance] {
        return static_cast<double>(chance() - chance.min()) /
               static_cast<double>(chance.max() - chance.min() + 1);
    };
    std::vector<std::uint32_t> order(wanted.shards);
    for (std::uint32_t i = 0; i < wanted.shards; ++i) order[i] = i;
    for (std::size_t i = order.size(); i > 1; --i)
        std::swap(order[i - 1], order[static_cast<std::size_t>(drawn() * static_cast<double>(i))]);
    const auto share = [&](double of) { return static_cast<std::uint32_t>(std::ceil(of * wanted.shards)); };
    std::vector<Section> sections(wanted.shards);
    std::uint64_t doc = 0;
    for (std::uint32_t place = 0; place < wanted.shards; ++place) {
        Section& section = sections[order[place]];
        for (int r = 0; r < wanted.rows; ++r) {
            Row row;
            row.doc = ++doc;
            row.rank = std::floor(drawn() * top_rank) / 2;
            if (place < share(wanted.top)) row.rank += top_rank;
            row.terms = {"common", "term-" + std::to_string(static_cast<int>(drawn() * 5000))};
            if (place < share(wanted.matching)) row.terms.emplace_back("wanted");
            row.fields = {{"expiry", std::floor(drawn() * 365)}};
            section.rows.push_back(std::move(row));
        }
        sort_rows(section.rows);
    }
    return sections;
}

}  // namespace tealcart::testing
