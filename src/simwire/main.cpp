// The program tealcart_adapter: batches from standard input, one reply for each on standard output. Ends with
// status 0 when input ends between two batches, with one line on standard error and status 1 where a batch is
// malformed.

#include <unistd.h>

#include <cerrno>
#include <cstdint>
#include <cstdio>
#include <exception>
#include <string>

#include "simwire/adapter.hpp"

namespace {

using tealcart::simwire::WireError;

constexpr std::uint32_t min_batch_bytes = 16;  // of an empty batch
constexpr std::uint32_t max_batch_bytes = 1U << 28;

// Reads exactly `size` bytes; false at a clean end of input before the first of them.
bool read_all(char* to, std::size_t size) {
    std::size_t done = 0;
    while (done < size) {
        const ssize_t count = ::read(STDIN_FILENO, to + done, size - done);
        if (count < 0 && errno == EINTR) continue;
        if (count < 0) throw WireError("standard input can't be read");
        if (count == 0 && done == 0) return false;
        if (count == 0) throw WireError("input ends inside a frame");
        done += static_cast<std::size_t>(count);
    }
    return true;
}

void write_all(const std::string& reply) {
    std::size_t done = 0;
    while (done < reply.size()) {
        const ssize_t count = ::write(STDOUT_FILENO, reply.data() + done, reply.size() - done);
        if (count < 0 && errno == EINTR) continue;
        if (count <= 0) throw WireError("standard output can't be written");
        done += static_cast<std::size_t>(count);
    }
}

// The next batch without its length field; false when input has ended.
bool read_batch(std::string& batch) {
    std::uint32_t size = 0;
    if (!read_all(reinterpret_cast<char*>(&size), sizeof size)) return false;
    if (size < min_batch_bytes || size > max_batch_bytes)
        throw WireError("a frame states a length of " + std::to_string(size) + " bytes");
    batch.resize(size);
    if (!read_all(batch.data(), size)) throw WireError("input ends inside a frame");
    return true;
}

}  // namespace

int main() {
    try {
        tealcart::simwire::Adapter adapter;
        std::string batch;
        while (read_batch(batch)) write_all(adapter.reply_to(batch));
        return 0;
    } catch (const std::exception& error) {
        std::fprintf(stderr, "tealcart_adapter: %s\n", error.what());
        return 1;
    }
}
