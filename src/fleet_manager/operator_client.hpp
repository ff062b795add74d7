// Shared by the operators' commands: common options, exit statuses, and requests to the fleet managers.
#pragma once

#include <chrono>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "config/host_port.hpp"
#include "fleet_manager/manager_client.hpp"

namespace tealcart::fleet_manager {

// Exit statuses of the commands.
enum ExitStatus : int { exit_ok = 0, exit_unreachable = 1, exit_usage = 2, exit_refused = 3 };

constexpr auto poll_interval = std::chrono::milliseconds(200);  // of commands that wait for completion

// Options that all commands share.
struct ClientOptions {
    std::vector<std::string> managers;  // addresses of the fleet managers
    std::string file;                   // used if `managers` is empty: the fleet managers' file
    std::string requested_by;           // the operator's name, as it is shown
    std::string id;                     // of the request; empty: a random one
    double timeout_s = 10;              // how long requests are retried
    bool json = false;                  // print answers as JSON

    std::chrono::milliseconds timeout() const;
    std::string call_id() const;
    // Throws ConfigError if there are none, or one is not an address.
    std::vector<HostPort> manager_addresses() const;
};

// A random id for a request, which makes its retries idempotent.
std::string new_call_id();

// The JSON object of an answer with status 200; null for any other answer.
nlohmann::ordered_json body_of(const Reply& reply);
// Prints why a request failed, and the `id` to retry it with unless that is empty. Returns the exit status.
int report_failure(const Reply& reply, const std::string& id);

// The leader's state; if no fleet manager reports that it leads, the state of any of them. Null if none
// answers.
nlohmann::ordered_json fetch_state(const std::vector<HostPort>& managers, const std::string& path);
// Whether the state was reported by the leader.
bool is_leader_state(const nlohmann::ordered_json& state);

// A number of the state, as the type that printf expects; 0 if it is missing.
unsigned long long number_of(const nlohmann::ordered_json& object, const char* key);
std::string text_of(const nlohmann::ordered_json& object, const char* key);
// Prints the JSON as one line. Returns the exit status.
int print_json(const nlohmann::ordered_json& json);

}  // namespace tealcart::fleet_manager
