// Reads the operators' file (usually deploy/tealcart.hcl) into typed configuration. docs/operator-file.md
// lists its blocks. Without a file, everything here keeps its default, with all features disabled.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "config/control_config.hpp"
#include "config/hcl.hpp"
#include "config/member_config.hpp"
#include "config/router_config_reader.hpp"
#include "log/log_config.hpp"
#include "phases/two_phase_config.hpp"

namespace tealcart {

// The `calls` block, which overrides what the settings say about calls to data nodes.
struct CallOverheadConfig {
    bool is_set = false;     // whether the file has the block
    int shard_requests = 1;  // most shard requests in one call
    Nanos cost = 0;          // node time that a call takes besides its shard requests
};

// A `two_phase` block.
struct TwoPhaseBlock {
    std::string query_class;  // the block's label
    HclPosition position;
    TwoPhaseConfig config;
};

// The content of an operators' file.
struct OperatorConfig {
    std::string source;  // the file's name
    std::string text;    // the file's text; empty if it was read from blocks
    LogConfig log;
    SectionFilterCacheConfig memory;
    ControlConfig control;
    CallOverheadConfig calls;
    MemberConfig member;
    std::vector<TwoPhaseBlock> phases;
};

// Reads a `log` block, which the operators' files of all programs may have.
LogConfig read_log_config(const HclBlock& block, std::vector<HclError>& errors);

// Read an operators' file from text, from parsed blocks or from a path. All throw HclErrors with every error
// of the file, and the last throws ConfigError if the file can't be read.
OperatorConfig read_operator_config(std::string_view text, std::string_view source);
OperatorConfig read_operator_config(const HclBlock& root, std::string_view source);
OperatorConfig read_operator_file(const std::string& path);

// Overrides the settings with the `calls` block if there is one.
void apply_call_config(const CallOverheadConfig& calls, RouterConfig& config, ConnectionConfig& connections);

// Returns the index of the query class that a block is for. Returns none and adds an error if the deployment
// has no such query class, or if it can't be run in two phases because it is not idempotent or has a second
// step.
std::optional<std::size_t> two_phase_query_class(const TwoPhaseBlock& block, const RouterConfig& config,
                                                 const std::vector<std::string>& query_classes,
                                                 std::vector<HclError>& errors);

// Returns the two-phase configuration of each query class of the deployment, by index. Throws HclErrors if a
// block's query class may not have one.
std::vector<TwoPhaseConfig> two_phase_by_query_class(const OperatorConfig& operators,
                                                     const RouterConfig& config,
                                                     const std::vector<std::string>& query_classes);

}  // namespace tealcart
