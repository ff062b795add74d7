// The program's version, as it is told.
#pragma once

namespace tealcart {

constexpr const char* version = "0.3.0";

}  // namespace tealcart
