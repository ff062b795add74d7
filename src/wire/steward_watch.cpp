#include "wire/steward_watch.hpp"

#include "service/log.hpp"

namespace tealcart {

StewardWatch::StewardWatch(boost::asio::io_context& io, Timekeeper& time, StewardTaker& taker,
                           std::vector<HostPort> stewards, ListBound bound)
    : taker_(taker), watch_(io, time, *this, member_path, std::move(stewards), 0, 0, std::move(bound)) {}

PostTaker::Call StewardWatch::call() {
    const MemberCall call = taker_.word();
    return {write_member_call(call), call.wait};
}

bool StewardWatch::read(std::string_view body) {
    auto answer = read_member_answer(body);
    if (answer) answer_ = std::move(*answer);
    return answer.has_value();
}

// A copy: it may be dropped, and another read, while it is acted on.
void StewardWatch::answered(Nanos sent) {
    const MemberAnswer answer = std::move(answer_);
    taker_.on_agreed(sent, answer);
}

void StewardWatch::silent(const char* why) {
    log_line("no steward answers (%s); what was agreed stands", why);
}

void StewardWatch::heard_again() {
    log_line("the stewards answer again, generation %llu",
             static_cast<unsigned long long>(answer_.generation));
}

}  // namespace tealcart
