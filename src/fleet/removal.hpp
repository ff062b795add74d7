// What can be taken out of service by agreement, and how far a request for it has come.
#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <string_view>

namespace tealcart::fleet {

// A data node by its name, or a query router by its member's name.
struct Target {
    bool router = false;
    std::string name;

    friend bool operator==(const Target&, const Target&) = default;
    friend bool operator<(const Target& a, const Target& b) {
        return a.router != b.router ? a.router < b.router : a.name < b.name;
    }
};

// Looks a target up by a name that need not be copied.
struct TargetView {
    bool router = false;
    std::string_view name;
};

// The order of Target, over both.
struct TargetLess {
    using is_transparent = void;  // NOLINT(readability-identifier-naming): the standard library looks for it
    template <typename A, typename B>
    bool operator()(const A& a, const B& b) const {
        return a.router != b.router ? a.router < b.router
                                    : std::string_view(a.name) < std::string_view(b.name);
    }
};

// Stored by number: append only.
enum class Stage : std::uint8_t {
    queued,     // waits for its budgets
    granted,    // out by agreement; members may not have acknowledged it yet
    done,       // nothing more reaches the target
    returning,  // on its way back; out until those granted after it are back
    ended
};
const char* stage_name(Stage stage);

// A request to take one target out, until the target is back.
struct Request {
    std::string requested_by;
    Target target;
    Stage stage = Stage::queued;
    std::uint64_t fence = 0, generation = 0;  // 0 until granted
    std::string blocked_by;                   // while queued: the limit that it waits for
    // When it was done: members whose lease was over, and which might still have acted by an older
    // generation.
    std::set<std::string> unacknowledged;
};

}  // namespace tealcart::fleet
