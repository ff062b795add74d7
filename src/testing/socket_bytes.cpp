#include "testing/socket_bytes.hpp"

#include <arpa/inet.h>
#include <dirent.h>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>
#include <cstdlib>

namespace tealcart::testing {

SocketBytes socket_bytes(int descriptor) {
    tcp_info info{};
    socklen_t length = sizeof info;
    if (::getsockopt(descriptor, IPPROTO_TCP, TCP_INFO, &info, &length) != 0) return {};
    return {info.tcpi_bytes_received, info.tcpi_bytes_acked};
}

SocketBytes bytes_with(const std::uint16_t* ports, std::size_t count) {
    SocketBytes sum;
    DIR* directory = ::opendir("/proc/self/fd");
    if (directory == nullptr) return sum;
    while (const dirent* entry = ::readdir(directory)) {
        const int fd = std::atoi(entry->d_name);
        sockaddr_in peer{};
        socklen_t length = sizeof peer;
        if (::getpeername(fd, reinterpret_cast<sockaddr*>(&peer), &length) != 0) continue;
        if (peer.sin_family != AF_INET || !std::binary_search(ports, ports + count, ntohs(peer.sin_port)))
            continue;
        const SocketBytes bytes = socket_bytes(fd);
        sum.in += bytes.in, sum.out += bytes.out;
    }
    ::closedir(directory);
    return sum;
}

}  // namespace tealcart::testing
