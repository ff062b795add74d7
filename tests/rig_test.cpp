// Tests of the process harness.
#include "testing/rig.hpp"

#include <catch2/catch.hpp>
#include <fstream>
#include <set>

using namespace tealcart::testing;

// Guards against a port that is taken before the process that is to listen on it starts, by an outgoing
// connection or by a second call: that process then ends with "bind: Address already in use".
TEST_CASE("free ports are never returned twice and are outside the kernel's range for outgoing connections") {
    std::uint16_t first_ephemeral = 0, last_ephemeral = 0;
    std::ifstream range("/proc/sys/net/ipv4/ip_local_port_range");
    REQUIRE(range >> first_ephemeral >> last_ephemeral);
    constexpr std::size_t calls = 20, ports_per_call = 50;
    std::set<std::uint16_t> all;
    for (std::size_t i = 0; i < calls; ++i)
        for (const auto port : free_ports(ports_per_call)) {
            all.insert(port);
            CHECK((port < first_ephemeral || port > last_ephemeral));
        }
    CHECK(all.size() == calls * ports_per_call);
}
