// What the platform tells a query router at its start.
#pragma once

#include <cstdint>
#include <string>

#include "terms/operator_terms.hpp"
#include "terms/terms_text.hpp"
#include "wire/bodies.hpp"
#include "wire/list_bound.hpp"

namespace tealcart {

struct Launch {
    std::string name;
    HostPort listen, discovery;
    std::uint64_t seed = 0;
    std::size_t sockets = 0;  // file descriptors that the process may hold
    std::size_t memory = 0;   // bytes that it may have; 0 where none are stated
    std::string settings;     // as stated
    Terms terms;
    LinkTerms link_terms;
    ListBound list_bound, agreed_bound;
    TargetList known;  // the list as this query router last had it
    OperatorTerms operators;
    std::vector<PhaseTerms> phases;  // by vertical
};

// Throws Malformed with one plain line where something is missing or can't be read.
Launch read_launch(const std::string& text);

// The same from a file, which ROUTER_CONFIG names as a rule.
Launch read_launch_file(const std::string& path);

// Takes over what the operators' file states. Throws HclMistakes where it doesn't fit the settings.
void follow_operators(Launch& launch, OperatorTerms operators);

}  // namespace tealcart
