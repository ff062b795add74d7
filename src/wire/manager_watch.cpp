#include "wire/manager_watch.hpp"

#include "log/log.hpp"

namespace tealcart {

ManagerWatch::ManagerWatch(boost::asio::io_context& io, EventClock& time, ManagerObserver& observer,
                           std::vector<HostPort> managers, ResponseSizeLimit limit)
    : observer_(observer), poll_(io, time, *this, member_path, std::move(managers), 0, 0, std::move(limit)) {}

LongPollObserver::Call ManagerWatch::next_call() {
    const MemberCall call = observer_.member_call();
    return {write_member_call(call), call.wait};
}

bool ManagerWatch::read(std::string_view body) {
    auto answer = read_member_answer(body);
    if (!answer) return false;
    answer_ = std::move(*answer);
    return true;
}

// The answer is moved out first, since another one may be read while it is applied.
void ManagerWatch::on_answer(Nanos sent) {
    const MemberAnswer answer = std::exchange(answer_, {});
    observer_.on_grant(sent, answer);
}

void ManagerWatch::on_unreachable(const char* reason) {
    log_line("no fleet manager answers (%s); the last agreed generation stays in force", reason);
}

void ManagerWatch::on_reachable_again() {
    log_line("the fleet managers answer again; the generation is %llu",
             static_cast<unsigned long long>(answer_.generation));
}

}  // namespace tealcart
