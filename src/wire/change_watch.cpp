#include "wire/change_watch.hpp"

#include "log/log.hpp"

namespace tealcart {

ChangeWatch::ChangeWatch(boost::asio::io_context& io, EventClock& time, ChangeObserver& observer,
                         std::string_view path, std::string_view server_kind, std::vector<HostPort> addresses,
                         std::size_t first, std::uint64_t jitter_seed)
    : observer_(observer), server_kind_(server_kind),
      poll_(io, time, *this, path, std::move(addresses), first, jitter_seed) {}

bool ChangeWatch::read(std::string_view body) {
    auto answer = read_changes_answer(body);
    if (!answer) return false;
    answer_ = std::move(*answer);
    return true;
}

// The answer is moved out first, since another one may be read while it is applied.
void ChangeWatch::on_answer(Nanos sent) {
    const ChangesAnswer answer = std::exchange(answer_, {});
    observer_.on_changes(sent, answer);
}

void ChangeWatch::on_unreachable(const char* reason) {
    log_line("no %s answers for changes (%s); the last configuration version stays in force",
             server_kind_.c_str(), reason);
}

void ChangeWatch::on_reachable_again() {
    log_line("a %s answers for changes again; it has configuration version %llu", server_kind_.c_str(),
             static_cast<unsigned long long>(answer_.version));
}

}  // namespace tealcart
