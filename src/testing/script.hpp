// The script that a fake fleet plays: who is there, what they hold, how they behave and when that
// changes. docs/testing.md has its form, which is the operators' file's (HCL).
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "config/hcl.hpp"
#include "phases/section_summary.hpp"
#include "testing/contents.hpp"

namespace tealcart::testing {

enum class Refusal : std::uint8_t { none, error_frame, close };  // of frames in two phases

// How a data node behaves; each figure stays until a later block of the script changes it.
struct Behaviour {
    Refusal refusal = Refusal::none;
    Nanos summary_delay = 0, rows_delay = 0, call_delay = 0;  // before answers to P, F and R
    bool silent = false, silent_summaries = false;            // no answers at all; none to P
    bool resets = false;                                      // connections end with a reset when asked
    bool rejects = false, errs = false;                       // REJECTED, ERROR
    bool garbles_summaries = false;                           // words that can't be read
    double bound_error = 0;    // added to the bound of its words, and to the ranks that it tells
    bool hides_rows = false;   // says that nothing matches
    std::uint64_t behind = 0;  // versions: its rows are of so many earlier ones
    Nanos lease = 0;
    std::vector<std::uint32_t> silent_on;  // shards on which it says nothing
    std::string lifecycle = "up";          // as discovery tells it
    std::uint64_t starts = 0;              // ms since the epoch, 0 for long ago
};

struct NodeScript {
    std::string name, zone = "z";
    std::uint32_t place = 0;
    std::uint16_t port = 0;  // 0: a free one
    Behaviour behaviour;
};

// At a time after the start, a node's behaviour is what this block states, or sections hold something else.
struct Change {
    Nanos at = 0;
    std::string node;                   // empty: it is about contents
    HclBlock block;                     // of a node's behaviour
    std::vector<std::uint32_t> shards;  // whose version goes up and whose rows ...
    double rank_by = 0;                 // ... rank so much higher
};

struct Script {
    std::uint32_t shards = 1, places = 1, width = 1;
    std::size_t record = 0;  // bytes of a row's record in a value
    std::uint16_t discovery_port = 0;
    std::vector<Section> sections;
    std::vector<NodeScript> nodes;
    std::vector<Change> changes;  // by time
};

// Throws HclErrors.
Script read_script(std::string_view text, std::string_view source);
Script read_script_file(const std::string& path);  // and ConfigError where it can't be read

// `block` over what was before.
Behaviour read_behaviour(const HclBlock& block, const Behaviour& before, std::vector<HclError>& mistakes);

// The node as discovery tells it.
std::string endpoint_json(const NodeScript& node, const std::string& address);

}  // namespace tealcart::testing
