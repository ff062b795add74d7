// The simulator's adapter: batches on standard input, one reply for each on standard output.

#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <exception>

#include "simwire/adapter.hpp"
#include "simwire/frame.hpp"

namespace {

using tealcart::Malformed;

// Reads n bytes; false at a clean end of input before the first of them.
bool read_whole(char* to, std::size_t n) {
    for (std::size_t got = 0; got < n;) {
        const ssize_t more = ::read(STDIN_FILENO, to + got, n - got);
        if (more < 0 && errno == EINTR) continue;
        if (more < 0) throw Malformed("standard input can't be read");
        if (more == 0 && got == 0) return false;
        if (more == 0) throw Malformed("input ends inside a frame");
        got += static_cast<std::size_t>(more);
    }
    return true;
}

void write_whole(const std::string& reply) {
    for (std::size_t sent = 0; sent < reply.size();) {
        const ssize_t more = ::write(STDOUT_FILENO, reply.data() + sent, reply.size() - sent);
        if (more < 0 && errno == EINTR) continue;
        if (more <= 0) throw Malformed("standard output can't be written");
        sent += static_cast<std::size_t>(more);
    }
}

}  // namespace

int main() {
    try {
        tealcart::simwire::Adapter adapter;
        std::string batch;
        for (std::uint32_t length = 0; read_whole(reinterpret_cast<char*>(&length), sizeof length);) {
            if (length < 16 || length > tealcart::simwire::max_batch)
                throw Malformed("a frame states a length of " + std::to_string(length) + " bytes");
            batch.resize(length);
            if (!read_whole(batch.data(), length)) throw Malformed("input ends inside a frame");
            write_whole(adapter.reply_to(batch));
        }
        return 0;
    } catch (const std::exception& e) {
        std::fprintf(stderr, "tealcart_adapter: %s\n", e.what());
        return 1;
    }
}
