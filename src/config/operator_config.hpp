// The operators' own file, deploy/tealcart.hcl by its usual name, turned into what the subsystems go by.
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

// What a call to a data node carries, where the operators state it in place of the platform's settings.
struct CallConfig {
    bool stated = false;
    int shard_requests = 1;  // shard requests one call carries at most
    Nanos cost = 0;          // work a call costs a data node beside its shard requests
};

struct StatedPhases {
    std::string query_class;
    HclAt at;
    TwoPhaseConfig config;
};

struct OperatorConfig {
    std::string source, text;
    LogConfig log;
    SectionMemoryConfig memory;
    ControlConfig control;
    CallConfig calls;
    MemberConfig member;
    std::vector<StatedPhases> phases;
};

// The calls block, where stated, over what the settings say; the settings are left as they are otherwise.
void follow_calls(const CallConfig& calls, RouterConfig& config, ConnectionConfig& link);

// Throws HclMistakes with all that is wrong.
OperatorConfig read_operator_config(std::string_view text, std::string_view source);
// The same of a file's blocks; without its text.
OperatorConfig read_operator_config(const HclBlock& root, std::string_view source);
// The same of a file; throws Malformed where it can't be read.
OperatorConfig read_operator_file(const std::string& path);

// The place of the query class that a block names; none, and the mistake noted, where the deployment has no
// such query class, or it may not be put in two phases.
std::optional<std::size_t> two_phase_query_class(const StatedPhases& stated, const RouterConfig& config,
                                                 const std::vector<std::string>& query_classes,
                                                 std::vector<HclMistake>& mistakes);

// What is stated for each query class of the deployment, by its place. Throws HclMistakes where a block names
// no query class, or one that may not be put in two phases.
std::vector<TwoPhaseConfig> two_phase_by_query_class(const OperatorConfig& stated, const RouterConfig& config,
                                                     const std::vector<std::string>& query_classes);

}  // namespace tealcart
