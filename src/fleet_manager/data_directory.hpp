// The marker of a data directory, which states whose it is: a fleet manager is never started on the directory
// of another, or on none by mistake.
#pragma once

#include <cstdint>
#include <string>

namespace tealcart::fleet_manager {

// Creates the directory where there is none, and its marker. Throws std::runtime_error in one line where it
// has a marker already, or can't be written.
void create_data_directory(const std::string& directory, const std::string& fleet, std::uint64_t id);
// Throws std::runtime_error in one line where the directory is not this fleet manager's.
void check_data_directory(const std::string& directory, const std::string& fleet, std::uint64_t id);

// So that `create_data_directory` can be tried again after a later step failed.
void remove_marker(const std::string& directory);

}  // namespace tealcart::fleet_manager
