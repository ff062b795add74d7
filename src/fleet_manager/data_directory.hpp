// The marker file of a data directory, which states the owner. It prevents a fleet manager from starting on
// the directory of another one, or on an empty directory by mistake.
#pragma once

#include <cstdint>
#include <string>

namespace tealcart::fleet_manager {

// Creates the marker, and the directory if it does not exist. Throws std::runtime_error with a one-line
// message if there is a marker already, or the directory cannot be written.
void create_data_directory(const std::string& directory, const std::string& fleet, std::uint64_t id);
// Throws std::runtime_error with a one-line message if the directory does not belong to this fleet manager.
void check_data_directory(const std::string& directory, const std::string& fleet, std::uint64_t id);

// Allows `create_data_directory` to be tried again after a later step has failed.
void remove_marker(const std::string& directory);

}  // namespace tealcart::fleet_manager
