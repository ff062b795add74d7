// Helpers for tests that compare the kinds of effects that a command of FleetState or ChangeState has
// returned.
#pragma once

#include <cstddef>
#include <type_traits>
#include <variant>
#include <vector>

namespace tealcart::test {

// Indexes of alternatives in an effect's variant.
using Kinds = std::vector<std::size_t>;

// The index of a kind among the alternatives of an effect.
template <typename Kind, typename First, typename... Rest>
constexpr std::size_t kind_of(const std::variant<First, Rest...>*) {
    if constexpr (std::is_same_v<Kind, First>)
        return 0;
    else
        return 1 + kind_of<Kind>(static_cast<const std::variant<Rest...>*>(nullptr));
}

// The kinds of the effects, in order.
template <typename Effect>
Kinds kinds(const std::vector<Effect>& effects) {
    Kinds all;
    for (const Effect& effect : effects) all.push_back(effect.index());
    return all;
}

// The expected kinds, in order.
template <typename Effect, typename... Expected>
Kinds kinds_of() {
    return {kind_of<Expected>(static_cast<const Effect*>(nullptr))...};
}

// The effects of one kind, in order.
template <typename Kind, typename Effect>
std::vector<Kind> of_kind(const std::vector<Effect>& effects) {
    std::vector<Kind> found;
    for (const Effect& effect : effects)
        if (const auto* match = std::get_if<Kind>(&effect)) found.push_back(*match);
    return found;
}

}  // namespace tealcart::test
