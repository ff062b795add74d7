// Which effects a command of the fleet's or the changes' state has given, by their kinds in order.
#pragma once

#include <cstddef>
#include <type_traits>
#include <variant>
#include <vector>

namespace tealcart::test {

using Kinds = std::vector<std::size_t>;

// The place of a kind among the alternatives of an effect.
template <typename Kind, typename First, typename... Rest>
constexpr std::size_t kind_of(const std::variant<First, Rest...>*) {
    if constexpr (std::is_same_v<Kind, First>)
        return 0;
    else
        return 1 + kind_of<Kind>(static_cast<const std::variant<Rest...>*>(nullptr));
}

template <typename Effect>
Kinds kinds(const std::vector<Effect>& effects) {
    Kinds all;
    for (const Effect& effect : effects) all.push_back(effect.index());
    return all;
}

template <typename Effect, typename... Expected>
Kinds kinds_of() {
    return {kind_of<Expected>(static_cast<const Effect*>(nullptr))...};
}

// Those of one kind, in order.
template <typename Kind, typename Effect>
std::vector<Kind> of_kind(const std::vector<Effect>& effects) {
    std::vector<Kind> found;
    for (const Effect& effect : effects)
        if (const auto* one = std::get_if<Kind>(&effect)) found.push_back(*one);
    return found;
}

}  // namespace tealcart::test
