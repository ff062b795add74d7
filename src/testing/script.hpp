// The script that a fake fleet plays: its data nodes, their contents, how they behave, and when that changes.
// docs/testing.md describes its format, which is that of the operators' file (HCL).
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "config/hcl.hpp"
#include "phases/section_summary.hpp"
#include "testing/contents.hpp"

namespace tealcart::testing {

// How a data node refuses the frames of two-phase queries.
enum class Refusal : std::uint8_t { none, error_frame, close };

// How a data node behaves. Each value stays until a later block of the script changes it.
struct Behaviour {
    Refusal refusal = Refusal::none;
    Nanos summary_delay = 0, rows_delay = 0, call_delay = 0;  // before answers to frames P, F and R
    bool silent = false, silent_summaries = false;            // doesn't answer at all; doesn't answer P
    bool resets = false;                                      // resets the connection on any request
    bool rejects = false, errs = false;                       // answers REJECTED; answers ERROR
    bool malformed_summaries = false;                         // sends malformed summaries
    double bound_error = 0;             // added to the bound and the ranks of its summaries
    bool hides_rows = false;            // its summaries state that no row matches
    std::uint64_t versions_behind = 0;  // number of versions that its rows lag behind
    Nanos lease = 0;
    std::vector<std::uint32_t> silent_on;  // shards for which it doesn't answer
    std::string lifecycle = "up";          // as in the endpoint list
    std::uint64_t started_at_ms = 0;       // milliseconds since the epoch, 0 for a long time ago
};

// A data node of the script.
struct NodeScript {
    std::string name, zone = "z";
    std::uint32_t place = 0;
    std::uint16_t port = 0;  // 0 for any free port
    Behaviour behaviour;
};

// At a time after the start, changes a node's behaviour or the contents of sections.
struct Change {
    Nanos at = 0;
    std::string node;                   // empty if the contents change
    HclBlock block;                     // the node's new behaviour
    std::vector<std::uint32_t> shards;  // sections that get a new version
    double rank_by = 0;                 // added to the ranks of their rows
};

// The fleet of a script: its data nodes, their contents, and the changes over time.
struct Script {
    std::uint32_t shards = 1, places = 1, width = 1;
    std::size_t record_bytes = 0;  // bytes of each row's record in a value
    std::uint16_t discovery_port = 0;
    std::vector<Section> sections;
    std::vector<NodeScript> nodes;
    std::vector<Change> changes;  // ordered by time
};

// Throws HclErrors if the script is invalid.
Script read_script(std::string_view text, std::string_view source);
// Throws HclErrors too, and ConfigError if the file can't be read.
Script read_script_file(const std::string& path);

// Reads the attributes of a block; others keep their values of `before`.
Behaviour read_behaviour(const HclBlock& block, const Behaviour& before, std::vector<HclError>& errors);

// Returns the node's entry in discovery's endpoint list.
std::string endpoint_json(const NodeScript& node, const std::string& address);

}  // namespace tealcart::testing
