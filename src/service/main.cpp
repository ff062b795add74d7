// One query router on sockets, as the platform starts it.

#include <cstdio>
#include <exception>

#include "service/service.hpp"

int main() {
    try {
        boost::asio::io_context io(1);
        tealcart::Service service(io, tealcart::read_launch_file());
        service.run();
        return 0;
    } catch (const std::exception& e) {
        std::fprintf(stderr, "tealcart: %s\n", e.what());
        return 1;
    }
}
