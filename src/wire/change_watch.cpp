#include "wire/change_watch.hpp"

#include "log/log.hpp"

namespace tealcart {

ChangeWatch::ChangeWatch(boost::asio::io_context& io, EventClock& time, ChangeObserver& taker,
                         std::string_view path, std::string_view whom, std::vector<HostPort> addresses,
                         std::size_t first, std::uint64_t seed)
    : taker_(taker), whom_(whom), watch_(io, time, *this, path, std::move(addresses), first, seed) {}

bool ChangeWatch::read(std::string_view body) {
    auto answer = read_changes_answer(body);
    if (answer) answer_ = std::move(*answer);
    return static_cast<bool>(answer);
}

// A copy: it may be dropped, and another read, while it is acted on.
void ChangeWatch::answered(Nanos sent) {
    const ChangesAnswer answer = std::exchange(answer_, {});
    taker_.on_changes(sent, answer);
}

void ChangeWatch::silent(const char* why) {
    log_line("no %s answers for changes (%s); the last version stands", whom_.c_str(), why);
}

void ChangeWatch::heard_again() {
    log_line("a %s answers for changes again, version %llu", whom_.c_str(),
             static_cast<unsigned long long>(answer_.version));
}

}  // namespace tealcart
