// Discovery's JSON lists of data nodes. Pure functions on bytes.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "tables/endpoint_list.hpp"

namespace tealcart {

// Reads a list; none if it can't be read as one. Entries that can't be used are left out and counted: those
// without an id or lifecycle, at a place that is not below `places`, or not removed and without an address.
std::optional<EndpointList> read_endpoint_list(std::string_view body, std::uint32_t places);

}  // namespace tealcart
