// The settings' text, as stated at start, turned into what the module and the network code go by.
#pragma once

#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "router/query_router.hpp"

namespace tealcart {

// What came in is not what its page allows; the text says what was wrong.
struct Malformed : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// What the network code goes by.
struct LinkTerms {
    std::vector<std::string> verticals;  // their names, as paths give them
    Nanos longest_wait = 0;              // of all verticals
    Nanos connect_timeout = 0;           // a connection not made by then has failed
    Nanos idle_close = 0;                // data nodes close a connection idle for so long
    int calls_a_link = 1;                // that one connection carries at once
    int parts_a_call = 1;
    bool probing = false;  // data nodes may be probed
    int most_held = 1;     // queries and parts in hand; with so many, further queries are turned away
};

// Throw Malformed where the text is broken or a required setting is missing.
Terms read_terms(std::string_view text);
LinkTerms read_link_terms(std::string_view text);

}  // namespace tealcart
