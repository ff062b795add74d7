// What a connection has carried, as the kernel counts it.
#pragma once

#include <cstdint>

namespace tealcart::testing {

struct SocketBytes {
    std::uint64_t in = 0, out = 0;  // out: acknowledged
};
// Nothing where the descriptor is no TCP connection.
SocketBytes socket_bytes(int descriptor);
// Of all connections of this process to these ports of loopback, `ports` sorted.
SocketBytes bytes_with(const std::uint16_t* ports, std::size_t count);

}  // namespace tealcart::testing
