// Blocking HTTP/1.1 requests to the fleet managers, with retries, for commands. A request may be executed
// more than once, so requests that change something carry an id that makes them idempotent.
#pragma once

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "config/host_port.hpp"

namespace tealcart::fleet_manager {

// The answer of a fleet manager.
struct Reply {
    int status = 0;  // HTTP status; 0: no fleet manager answered in time
    std::string body;
};

// Tries the fleet managers in turn, and the leader that one of them names, until one gives a final answer:
// 200, or 400 to 409. Any other answer is retried, for at most `timeout`. An empty body sends a GET.
Reply query_managers(const std::vector<HostPort>& managers, const std::string& path, const std::string& body,
                     std::chrono::milliseconds timeout);

// Sends one request to one address, without retries. Status 0 means that no answer came in time. Other
// handlers of the io_context run meanwhile.
Reply query_manager(boost::asio::io_context& io, const HostPort& address, const std::string& path,
                    const std::string& body, std::chrono::milliseconds timeout);

}  // namespace tealcart::fleet_manager
