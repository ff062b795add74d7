// Writes the JSON bodies of responses to clients. Pure functions without I/O.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace tealcart {

// How much of a two-phase query its response covers; it is stated beside the values.
struct SectionCoverage {
    struct Count {
        std::uint32_t sections = 0;
        double weight = 0;  // share of the query's total weight, which is 1
    };
    Count answered, pruned, missing;
    std::vector<std::uint32_t> missing_shards;
};

// Builds the body of a query's response value by value. `finish` completes it and returns it.
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

// Returns whether a value is valid UTF-8. Only such a value can be sent to a client, since JSON has no other
// strings.
bool is_utf8(std::string_view text);

// Returns the body of an error response. The message is not escaped, so it must not contain characters that
// JSON escapes.
std::string write_error(std::string_view message);

}  // namespace tealcart
