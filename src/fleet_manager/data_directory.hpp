// A manager's folder: whose it is, so that one is never started on another's, or on none by mistake.
#pragma once

#include <cstdint>
#include <string>

namespace tealcart::manager {

// Makes the folder where it is not there, and marks it. Throws std::runtime_error in one line where it is
// somebody's already, or can't be written.
void create_data_directory(const std::string& folder, const std::string& fleet, std::uint64_t id);
// Throws std::runtime_error in one line where the folder is not this manager's.
void check_data_directory(const std::string& folder, const std::string& fleet, std::uint64_t id);

}  // namespace tealcart::manager
