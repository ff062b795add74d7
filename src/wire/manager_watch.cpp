#include "wire/manager_watch.hpp"

#include "log/log.hpp"

namespace tealcart {

ManagerWatch::ManagerWatch(boost::asio::io_context& io, EventClock& time, ManagerObserver& taker,
                           std::vector<HostPort> managers, ListBound bound)
    : taker_(taker), watch_(io, time, *this, member_path, std::move(managers), 0, 0, std::move(bound)) {}

LongPollObserver::Call ManagerWatch::call() {
    const MemberCall call = taker_.word();
    return {write_member_call(call), call.wait};
}

bool ManagerWatch::read(std::string_view body) {
    auto answer = read_member_answer(body);
    if (answer) answer_ = std::move(*answer);
    return static_cast<bool>(answer);
}

// A copy: it may be dropped, and another read, while it is acted on.
void ManagerWatch::answered(Nanos sent) {
    const MemberAnswer answer = std::move(answer_);
    taker_.on_grant(sent, answer);
}

void ManagerWatch::silent(const char* why) {
    log_line("no steward answers (%s); what was agreed stands", why);
}

void ManagerWatch::heard_again() {
    log_line("the stewards answer again, generation %llu",
             static_cast<unsigned long long>(answer_.generation));
}

}  // namespace tealcart
