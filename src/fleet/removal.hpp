// The targets that can be taken out of service by agreement, and the stages of a request to do so.
#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <string_view>

namespace tealcart::fleet {

// A data node, or a query router by its name as a member.
struct Target {
    bool router = false;
    std::string name;

    friend bool operator==(const Target&, const Target&) = default;
    friend bool operator<(const Target& a, const Target& b) {
        return a.router != b.router ? a.router < b.router : a.name < b.name;
    }
};

// A non-owning key to look up a target without copying its name.
struct TargetView {
    bool router = false;
    std::string_view name;
};

// The order of Target, for Target and TargetView alike.
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
    queued,     // waits until the budgets allow it
    granted,    // removed by agreement; members may not have acknowledged it yet
    done,       // no member sends work to the target any more
    returning,  // to be returned; stays out until all targets granted after it are back
    ended
};
const char* stage_name(Stage stage);

// A request to take one target out of service. It stays open until the target is back.
struct Request {
    std::string requested_by;
    Target target;
    Stage stage = Stage::queued;
    std::uint64_t fence = 0, generation = 0;  // 0 until granted
    std::string blocked_by;                   // while queued: the limit that blocks it
    // Members whose lease had expired when the removal was done and which might still have acted on an older
    // generation.
    std::set<std::string> unacknowledged;
};

}  // namespace tealcart::fleet
