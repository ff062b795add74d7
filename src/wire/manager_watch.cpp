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

// Moved out first: another answer may be read while this one is acted on.
void ManagerWatch::on_answer(Nanos sent) {
    const MemberAnswer answer = std::exchange(answer_, {});
    observer_.on_grant(sent, answer);
}

void ManagerWatch::on_unreachable(const char* reason) {
    log_line("no steward answers (%s); what was agreed stands", reason);
}

void ManagerWatch::on_reachable_again() {
    log_line("the stewards answer again, generation %llu",
             static_cast<unsigned long long>(answer_.generation));
}

}  // namespace tealcart
