// The commands `drain`, `undrain`, `halt`, `resume` and `fleet forget`.
#pragma once

#include <string>
#include <vector>

#include "fleet_manager/operator_client.hpp"

namespace tealcart::fleet_manager {

// Options of the commands that drain and return targets.
struct DrainOptions {
    std::vector<std::string> nodes, routers;
    std::string zone;    // selects all data nodes of this zone
    std::string reason;  // the reason of a halt
    std::string member;  // the member to forget
    bool wait = false;   // wait until the requests are done

    bool names_targets() const { return !nodes.empty() || !routers.empty() || !zone.empty(); }
};

// Each returns the exit status, and throws ConfigError on wrong options.
int drain(const ClientOptions& client, const DrainOptions& options);
int undrain(const ClientOptions& client, const DrainOptions& options);
int halt(const ClientOptions& client, const DrainOptions& options);
int resume(const ClientOptions& client, const DrainOptions& options);
int forget_member(const ClientOptions& client, const DrainOptions& options);

// Prints one line about a removal request of the state.
void print_request(const nlohmann::ordered_json& request);

}  // namespace tealcart::fleet_manager
