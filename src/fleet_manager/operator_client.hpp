// What the operators' commands share: their options, their exit statuses, and calls to the fleet managers.
#pragma once

#include <chrono>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "config/host_port.hpp"
#include "fleet_manager/manager_client.hpp"

namespace tealcart::fleet_manager {

enum ExitStatus : int { exit_ok = 0, exit_unreachable = 1, exit_usage = 2, exit_refused = 3 };

constexpr auto poll_interval = std::chrono::milliseconds(200);  // of commands that wait

// Options that all commands have.
struct ClientOptions {
    std::vector<std::string> managers;  // addresses
    std::string file;                   // or the fleet managers' file, which names them
    std::string asker;                  // who asks, as it is shown
    std::string id;                     // of the call; empty: a new one
    double timeout_s = 10;              // to retry for
    bool json = false;                  // print answers as they are

    std::chrono::milliseconds timeout() const;
    std::string call_id() const;
    // Throws ConfigError where none are named, or a name is no address.
    std::vector<HostPort> manager_addresses() const;
};

// A random id for a call, so that its retries are one call.
std::string new_call_id();

// The JSON object of an answer with status 200; null for any other answer.
nlohmann::ordered_json body_of(const Reply& reply);
// Prints why a call failed; `id` is what to retry it with. The status to exit with.
int report_failure(const Reply& reply, const std::string& id);

// The state as the leader has it; where none says that it leads, as any fleet manager has it. Null: none
// answers.
nlohmann::ordered_json fetch_state(const std::vector<HostPort>& managers, const std::string& path);
// Whether the state is that of the leader.
bool is_leader_state(const nlohmann::ordered_json& state);

// A number of the state, for printf; 0 where it is missing.
unsigned long long number_of(const nlohmann::ordered_json& object, const char* key);
std::string text_of(const nlohmann::ordered_json& object, const char* key);
// Prints it as one line; the status to exit with.
int print_json(const nlohmann::ordered_json& json);

}  // namespace tealcart::fleet_manager
