// Parses discovery's JSON lists of data nodes. Pure functions without I/O.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "tables/endpoint_list.hpp"

namespace tealcart {

// Parses a list; returns nullopt if the body is not one. Unusable entries are skipped and counted: those
// without an id or a lifecycle, those whose place is not below `places`, and those that are not removed but
// lack an address.
std::optional<EndpointList> read_endpoint_list(std::string_view body, std::uint32_t places);

}  // namespace tealcart
