// The program tealcart_adapter reads batches from standard input and writes one reply per batch to standard
// output. It exits with status 0 when the input ends between two batches. If a batch is malformed, it writes
// one line to standard error and exits with status 1.

#include <unistd.h>

#include <cerrno>
#include <cstdint>
#include <cstdio>
#include <exception>
#include <string>
#include <system_error>

#include "simwire/adapter.hpp"

namespace {

using tealcart::simwire::WireError;

constexpr std::uint32_t min_batch_bytes = 16;  // size of an empty batch
constexpr std::uint32_t max_batch_bytes = 1U << 28;

// Reads exactly `size` bytes. Returns false if the input ends before the first of them.
bool read_all(char* to, std::size_t size) {
    std::size_t done = 0;
    while (done < size) {
        const ssize_t count = ::read(STDIN_FILENO, to + done, size - done);
        if (count < 0 && errno == EINTR) continue;
        if (count < 0)
            throw WireError("standard input can't be read: " + std::generic_category().message(errno));
        if (count == 0 && done == 0) return false;
        if (count == 0)
            throw WireError("input ends inside a frame: " + std::to_string(done) + " of " +
                            std::to_string(size) + " bytes read");
        done += static_cast<std::size_t>(count);
    }
    return true;
}

void write_all(const std::string& reply) {
    std::size_t done = 0;
    while (done < reply.size()) {
        const ssize_t count = ::write(STDOUT_FILENO, reply.data() + done, reply.size() - done);
        if (count < 0 && errno == EINTR) continue;
        if (count <= 0)
            throw WireError("standard output can't be written: " + std::generic_category().message(errno));
        done += static_cast<std::size_t>(count);
    }
}

// Reads the next batch without its length field. Returns false if the input has ended.
bool read_batch(std::string& batch) {
    std::uint32_t size = 0;
    if (!read_all(reinterpret_cast<char*>(&size), sizeof size)) return false;
    if (size < min_batch_bytes || size > max_batch_bytes)
        throw WireError("frame has a length of " + std::to_string(size) + " bytes; expected " +
                        std::to_string(min_batch_bytes) + " to " + std::to_string(max_batch_bytes));
    batch.resize(size);
    if (!read_all(batch.data(), size))
        throw WireError("input ends inside a frame: 0 of " + std::to_string(size) + " bytes read");
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
