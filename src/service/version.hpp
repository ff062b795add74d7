// The version of the programs.
#pragma once

namespace tealcart {

constexpr const char* version = "0.3.0";

}  // namespace tealcart
