// The bytes that a TCP connection has carried, as counted by the kernel.
#pragma once

#include <cstdint>

namespace tealcart::testing {

// Bytes that were received, and bytes sent that the peer has acknowledged.
struct SocketBytes {
    std::uint64_t in = 0, out = 0;
};
// The bytes of one connection; zero if the descriptor is not a TCP connection.
SocketBytes socket_bytes(int descriptor);
// The bytes of all connections of this process to these remote ports; `ports` must be sorted.
SocketBytes bytes_with(const std::uint16_t* ports, std::size_t count);

}  // namespace tealcart::testing
