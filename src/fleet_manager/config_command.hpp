// The commands `config set`, `config show`, `config back` and `config resume`.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "fleet_manager/operator_client.hpp"

namespace tealcart::fleet_manager {

// Options of the `config` commands.
struct ConfigOptions {
    std::vector<std::string> entries;  // each KEY=FILE
    std::vector<std::string> removed;  // keys
    std::optional<std::uint64_t> based_on;
    std::uint64_t version = 0;  // the version to roll back to
    std::string key;            // the entry to show; empty: all of them
    bool wait = false;          // wait until the version is applied everywhere
};

// Each returns the exit status, and throws ConfigError on wrong options.
int set_entries(const ClientOptions& client, const ConfigOptions& options);
int show_changes(const ClientOptions& client, const ConfigOptions& options);
int roll_back(const ClientOptions& client, const ConfigOptions& options);
int resume_publishing(const ClientOptions& client, const ConfigOptions& options);

}  // namespace tealcart::fleet_manager
