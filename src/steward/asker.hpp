// An operator's call to the stewards, whichever of them leads: tried at one after the other until one answers
// or the time is up. The same call may be taken more than once; its id makes it one.
#pragma once

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "terms/host_port.hpp"

namespace tealcart::steward {

struct Reply {
    int status = 0;  // 0: no steward answered in time
    std::string body;
};

// An empty body is a GET. Blocks for `within` at most. Nothing but 200, 400, 404, 405 and 409 is an answer: a
// steward that can't agree now may be able to, or another.
Reply ask_stewards(const std::vector<HostPort>& stewards, const std::string& path, const std::string& body,
                   std::chrono::milliseconds within);

// One call to one address; status 0 where it does not answer in time. What else is the io_context's goes on
// meanwhile.
Reply ask_once(boost::asio::io_context& io, const HostPort& at, const std::string& path,
               const std::string& body, std::chrono::milliseconds within);

}  // namespace tealcart::steward
