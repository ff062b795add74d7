#include "wire/query_body.hpp"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "wire/json_members.hpp"

namespace tealcart {
namespace {

using Json = nlohmann::json;
using Error = std::optional<QueryBodyError>;

constexpr double weight_sum_tolerance = 1e-4;  // stated weights are rounded
constexpr std::size_t max_conditions = 16;     // limit for the terms and for the ranges of 'find'
constexpr std::size_t max_term = 256, max_field = 64;
constexpr std::uint32_t rows_limit = 1 << 20;
constexpr double max_cost_us = 1e12, nanos_per_us = 1e3;
constexpr double open_end = 1.7e308;  // the end of an open range: the largest value that frames can contain

// Parsing deeply nested text takes several times the time and memory of other text of the same size.
constexpr int max_nesting = 64;

// Returns whether arrays and objects are nested at most `max_nesting` deep. Brackets in strings don't count.
bool has_allowed_nesting(std::string_view json) {
    int depth = 0;
    bool in_string = false;
    for (std::size_t i = 0; i < json.size(); ++i) {
        const char c = json[i];
        if (in_string && c == '\\') ++i;
        if (c == '"') in_string = !in_string;
        if (in_string) continue;
        if ((c == '[' || c == '{') && ++depth > max_nesting) return false;
        if (c == ']' || c == '}') --depth;
    }
    return true;
}

// Returns whether frames can contain the text as a term or a field's name.
bool is_name(const std::string& text, std::size_t max_size) {
    return !text.empty() && text.size() <= max_size && std::none_of(text.begin(), text.end(), [](char c) {
        return static_cast<unsigned char>(c) < 0x20;
    });
}

Error read_terms(const Json& terms, SearchCriteria& criteria) {
    if (!terms.is_array() || terms.size() > max_conditions)
        return QueryBodyError{"terms", "'terms' of 'find' is no list of at most 16"};
    for (const Json& term : terms) {
        if (!term.is_string()) return QueryBodyError{"terms", "a term of 'find' is no string"};
        criteria.terms.push_back(term.get<std::string>());
        if (!is_name(criteria.terms.back(), max_term))
            return QueryBodyError{"terms", "a term of 'find' is empty, too long or holds control characters"};
    }
    return std::nullopt;
}

// Reads one end of a range. A range is open at an end that is not stated.
Error read_range_end(const Json& range, const char* key, double& end) {
    const Json* value = json_member(range, key);
    if (value != nullptr && !value->is_number())
        return QueryBodyError{key, "an end of a range of 'find' is no number"};
    end = value != nullptr ? value->get<double>() : std::copysign(open_end, end);
    if (!std::isfinite(end)) return QueryBodyError{key, "an end of a range of 'find' is out of range"};
    return std::nullopt;
}

Error read_ranges(const Json& ranges, SearchCriteria& criteria) {
    if (!ranges.is_array() || ranges.size() > max_conditions)
        return QueryBodyError{"ranges", "'ranges' of 'find' is no list of at most 16"};
    for (const Json& stated : ranges) {
        FieldRange range{json_text(stated, "field").value_or(""), -HUGE_VAL, HUGE_VAL};
        if (!is_name(range.field, max_field))
            return QueryBodyError{"field", "a range of 'find' names no field"};
        if (Error error = read_range_end(stated, "from", range.from)) return error;
        if (Error error = read_range_end(stated, "to", range.to)) return error;
        criteria.ranges.push_back(std::move(range));
    }
    return std::nullopt;
}

Error parse_criteria(const Json& stated, SearchCriteria& criteria) {
    const auto rows = json_index(stated, "rows", rows_limit);
    if (!rows || *rows == 0) return QueryBodyError{"rows", "'rows' of 'find' is missing or no count"};
    criteria.rows = static_cast<int>(*rows);
    if (const Json* terms = json_member(stated, "terms"))
        if (Error error = read_terms(*terms, criteria)) return error;
    if (const Json* ranges = json_member(stated, "ranges")) return read_ranges(*ranges, criteria);
    return std::nullopt;
}

Error read_segment(const Json& segment, std::vector<bool>& named, QueryBody& query) {
    const auto shard = json_index(segment, "segment", static_cast<std::uint32_t>(named.size()));
    const auto weight = json_amount(segment, "boost");
    if (!shard) return QueryBodyError{"segment", "a 'segment' is missing or names no shard"};
    if (named[*shard]) return QueryBodyError{"segment", "a shard is named twice"};
    if (!weight) return QueryBodyError{"boost", "a 'boost' is missing, negative or no number"};
    named[*shard] = true;
    QueryShardRequest shard_request{*shard, *weight, 0};
    if (json_member(segment, "work") != nullptr) {
        const auto cost_us = json_amount(segment, "work");
        if (!cost_us) return QueryBodyError{"work", "a 'work' is negative or no number"};
        shard_request.hint = std::llround(std::min(*cost_us, max_cost_us) * nanos_per_us);
    }
    if (json_member(segment, "affinity") != nullptr && !json_text(segment, "affinity"))
        return QueryBodyError{"affinity", "an 'affinity' is no string"};
    query.shard_requests.push_back(shard_request);
    return std::nullopt;
}

Error read_segments(const Json& in, std::uint32_t shards, QueryBody& query) {
    const Json* segments = json_member(in, "segments");
    if (segments == nullptr || !segments->is_array() || segments->empty())
        return QueryBodyError{"segments", "'segments' is missing, empty or no list"};
    std::vector<bool> named(shards);
    for (const Json& segment : *segments)
        if (Error error = read_segment(segment, named, query)) return error;
    double sum = 0;
    for (const QueryShardRequest& shard_request : query.shard_requests) sum += shard_request.weight;
    if (!(std::abs(sum - 1) <= weight_sum_tolerance))
        return QueryBodyError{"boost", "the parts' 'boost's don't sum to 1"};
    for (QueryShardRequest& shard_request : query.shard_requests) shard_request.weight /= sum;
    return std::nullopt;
}

}  // namespace

std::variant<QueryBody, QueryBodyError> read_query(std::string_view body, std::uint32_t shards,
                                                   bool with_criteria) {
    if (!has_allowed_nesting(body)) return QueryBodyError{{}, "the body is nested too deeply"};
    const Json in = Json::parse(body, nullptr, false);
    if (in.is_discarded()) return QueryBodyError{{}, "the body is not JSON"};
    auto text = json_text(in, "text");
    if (!text) return QueryBodyError{"text", "'text' is missing or no string"};
    std::variant<QueryBody, QueryBodyError> result;
    auto& query = std::get<QueryBody>(result);
    query.text = std::move(*text);
    if (const Json* criteria = with_criteria ? json_member(in, "find") : nullptr)
        if (const Error error = parse_criteria(*criteria, query.criteria)) return *error;
    if (const Error error = read_segments(in, shards, query)) return *error;
    return result;
}

}  // namespace tealcart
