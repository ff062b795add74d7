// One query router on sockets, as the platform starts it.

#include <csignal>
#include <cstdio>
#include <exception>

#include "service/service.hpp"

int main() {
    std::signal(SIGPIPE, SIG_IGN);  // a log that nobody reads any more ends nothing
    std::signal(SIGHUP, SIG_IGN);   // until the service takes it, which is before it reads the configuration
    try {
        boost::asio::io_context io(1);
        tealcart::Service service(io, tealcart::read_launch_file);
        service.run();
        return 0;
    } catch (const std::exception& e) {
        std::fprintf(stderr, "tealcart: %s\n", e.what());
        return 1;
    }
}
