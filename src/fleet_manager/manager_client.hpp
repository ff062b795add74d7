// An operator's call to the managers, whichever of them leads: tried at one after the other until one answers
// or the time is up. The same call may be taken more than once; its id makes it one.
#pragma once

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "config/host_port.hpp"

namespace tealcart::manager {

struct Reply {
    int status = 0;  // 0: no manager answered in time
    std::string body;
};

// An empty body is a GET. Blocks for `within` at most. Nothing but 200, 400, 404, 405 and 409 is an answer: a
// manager that can't agree now may be able to, or another.
Reply query_managers(const std::vector<HostPort>& managers, const std::string& path, const std::string& body,
                     std::chrono::milliseconds within);

// One call to one address; status 0 where it does not answer in time. What else is the io_context's goes on
// meanwhile.
Reply query_manager(boost::asio::io_context& io, const HostPort& at, const std::string& path,
                    const std::string& body, std::chrono::milliseconds within);

}  // namespace tealcart::manager
