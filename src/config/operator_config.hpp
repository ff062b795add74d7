// The operators' file (deploy/tealcart.hcl by its usual name) read into typed configuration.
// docs/operator-file.md lists its blocks. Without a file everything here keeps its default, which is off.
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

// The `calls` block: what a call to a data node carries, in place of what the settings say.
struct CallOverheadConfig {
    bool is_set = false;     // whether there is such a block
    int shard_requests = 1;  // that one call carries at most
    Nanos cost = 0;          // work that a call costs a data node beside its shard requests
};

// A `two_phase` block.
struct TwoPhaseBlock {
    std::string query_class;  // its label
    HclPosition position;
    TwoPhaseConfig config;
};

struct OperatorConfig {
    std::string source;  // the file's name
    std::string text;    // the file, empty where it was read from blocks
    LogConfig log;
    SectionFilterCacheConfig memory;
    ControlConfig control;
    CallOverheadConfig calls;
    MemberConfig member;
    std::vector<TwoPhaseBlock> phases;
};

// Reads a `log` block, which operators' files of all programs may have.
LogConfig read_log_config(const HclBlock& block, std::vector<HclError>& errors);

// All three throw HclErrors with every error of the file. The second reads blocks that are parsed already;
// the last throws ConfigError where the file can't be read.
OperatorConfig read_operator_config(std::string_view text, std::string_view source);
OperatorConfig read_operator_config(const HclBlock& root, std::string_view source);
OperatorConfig read_operator_file(const std::string& path);

// Puts the `calls` block, where there is one, over what the settings say.
void apply_call_config(const CallOverheadConfig& calls, RouterConfig& config, ConnectionConfig& connections);

// The index of the query class that a block is for. None, with an error added, where the deployment has no
// such query class or it may not have two phases: it is not idempotent, or has a second step.
std::optional<std::size_t> two_phase_query_class(const TwoPhaseBlock& block, const RouterConfig& config,
                                                 const std::vector<std::string>& query_classes,
                                                 std::vector<HclError>& errors);

// The two-phase configuration of each query class of the deployment, by index. Throws HclErrors where a
// block's query class may not have one.
std::vector<TwoPhaseConfig> two_phase_by_query_class(const OperatorConfig& operators,
                                                     const RouterConfig& config,
                                                     const std::vector<std::string>& query_classes);

}  // namespace tealcart
