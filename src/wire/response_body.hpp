// The JSON bodies of responses to clients. Pure functions on bytes.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace tealcart {

// What an answer in two phases states of its sections beside the values.
struct SectionCoverage {
    struct Count {
        std::uint32_t sections = 0;
        double weight = 0;  // of 1 over the whole query
    };
    Count answered, pruned, missing;
    std::vector<std::uint32_t> missing_shards;
};

// Writes an answer value by value; `finish` ends it.
class QueryResponseBody {
  public:
    explicit QueryResponseBody(bool complete);
    // The value must be UTF-8.
    void add(std::uint32_t shard, std::string_view value);
    std::string finish();
    std::string finish(const SectionCoverage& stated);

  private:
    void add_count(const char* opening, const SectionCoverage::Count& count);

    std::string out_;
    bool first_ = true;
};

// Whether a value can be handed on: JSON carries no other text.
bool is_utf8(std::string_view text);

// The body of an error response. The message must need no escaping.
std::string write_error(std::string_view message);

}  // namespace tealcart
