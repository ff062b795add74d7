// The operators' own file, deploy/tealcart.hcl by its usual name, turned into what the subsystems go by.
// docs/operator-file.md lists its blocks. Without a file everything here keeps its default, which is off.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "control/control_terms.hpp"
#include "members/member_terms.hpp"
#include "phases/phase_terms.hpp"
#include "terms/hcl.hpp"
#include "terms/terms_text.hpp"

namespace tealcart {

enum class LogForm : std::uint8_t { text, json };
enum class LogLevel : std::uint8_t { debug, info, warn, error };

struct LogTerms {
    LogForm form = LogForm::text;
    LogLevel level = LogLevel::info;
};

// What a call to a data node carries, where the operators state it in place of the platform's settings.
struct CallTerms {
    bool stated = false;
    int parts = 1;   // parts one call carries at most
    Nanos cost = 0;  // work a call costs a data node beside its parts
};

struct StatedPhases {
    std::string vertical;
    HclAt at;
    PhaseTerms terms;
};

struct OperatorTerms {
    std::string source, text;
    LogTerms log;
    MemoryTerms memory;
    ControlTerms control;
    CallTerms calls;
    MemberTerms member;
    std::vector<StatedPhases> phases;
};

// The calls block, where stated, over what the settings say; the settings are left as they are otherwise.
void follow_calls(const CallTerms& calls, Terms& terms, LinkTerms& link);

// Throws HclMistakes with all that is wrong.
OperatorTerms read_operator_terms(std::string_view text, std::string_view source);
// The same of a file's blocks; without its text.
OperatorTerms read_operator_terms(const HclBlock& root, std::string_view source);
// The same of a file; throws Malformed where it can't be read.
OperatorTerms read_operator_file(const std::string& path);

// The place of the vertical that a block names; none, and the mistake noted, where the deployment has no such
// vertical, or it may not be put in two phases.
std::optional<std::size_t> phased_vertical(const StatedPhases& stated, const Terms& terms,
                                           const std::vector<std::string>& verticals,
                                           std::vector<HclMistake>& mistakes);

// What is stated for each vertical of the deployment, by its place. Throws HclMistakes where a block names no
// vertical, or one that may not be put in two phases.
std::vector<PhaseTerms> phases_by_vertical(const OperatorTerms& stated, const Terms& terms,
                                           const std::vector<std::string>& verticals);

}  // namespace tealcart
