// Calls to the fleet managers by HTTP/1.1, for commands: blocking, with retries. A call may be executed more
// than once, so those that change something carry an id that makes them idempotent.
#pragma once

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "config/host_port.hpp"

namespace tealcart::fleet_manager {

// What a fleet manager answered.
struct Reply {
    int status = 0;  // of HTTP; 0: no fleet manager answered in time
    std::string body;
};

// Calls one fleet manager after the other, and the leader that one names, until one of them gives a final
// answer: 200, or 400 to 409. Others are retried, for `timeout` at most. An empty body is a GET.
Reply query_managers(const std::vector<HostPort>& managers, const std::string& path, const std::string& body,
                     std::chrono::milliseconds timeout);

// One call to one address, without a retry; status 0 where it does not answer in time. Other handlers of the
// io_context are run meanwhile.
Reply query_manager(boost::asio::io_context& io, const HostPort& address, const std::string& path,
                    const std::string& body, std::chrono::milliseconds timeout);

}  // namespace tealcart::fleet_manager
