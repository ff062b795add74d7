#include "relay/follower_service.hpp"

#include <algorithm>
#include <utility>

#include "wire/member_messages.hpp"
#include "wire/response_body.hpp"

namespace tealcart::relay {

void FollowerService::on_call(Handle client, const std::string& body) {
    const auto call = read_follower_call(body);
    if (!call) return error(client, 400, call.error().reason);
    const changes::MemberReport& report = call->report;
    const auto last = last_reports_.find(report.name);
    if (last != last_reports_.end() && last->second.incarnation > report.incarnation)
        return server_.answer(client, {409, write_superseded(last->second.incarnation), 0});
    if (call->leaving) return on_leave(client, report);
    const Nanos now = time_.now();
    if (!reports_.record_report(now, report)) return error(client, 503, "it has as many followers as it may");
    update_last_report(report);
    const bool lacks_lease = reports_.grant_lease(now, report.name) == 0;
    end_earlier_call(report.name);
    waiting_[client.slot] = {client, report.name, call->position, now + call->position.wait, lacks_lease};
    leases_changed_ = true;
}

void FollowerService::on_leave(Handle client, const changes::MemberReport& report) {
    reports_.record_leave(report.name, report.incarnation);
    last_reports_.erase(report.name);
    on_new_report_();
    answer(client, documents_.empty_answer());
}

void FollowerService::update_last_report(const changes::MemberReport& report) {
    const LastReport current{report.incarnation, report.applied_version, report.refused_version};
    const LastReport last = std::exchange(last_reports_[report.name], current);
    if (current.incarnation != last.incarnation || current.applied_version > last.applied_version ||
        current.refused != last.refused)
        on_new_report_();
}

void FollowerService::end_earlier_call(const std::string& name) {
    const auto earlier = std::find_if(waiting_.begin(), waiting_.end(),
                                      [&](const auto& waiting) { return waiting.second.name == name; });
    if (earlier == waiting_.end()) return;
    error(earlier->second.client, 503, "it has called again");
    waiting_.erase(earlier);
}

bool FollowerService::is_due(const WaitingCall& waiting, Nanos now, bool leases_changed) {
    if (now >= waiting.until || waiting.position.known_version < documents_.copy().version()) return true;
    return leases_changed && waiting.lacks_lease && reports_.grant_lease(now, waiting.name) > 0;
}

void FollowerService::answer_waiting() {
    const Nanos now = time_.now();
    const bool leases_changed = std::exchange(leases_changed_, false);
    for (auto it = waiting_.begin(); it != waiting_.end();) {
        const WaitingCall& waiting = it->second;
        if (!is_due(waiting, now, leases_changed)) {
            ++it;
            continue;
        }
        // If the rate limit delays the page that it needs, the follower still gets its lease renewed when its
        // wait ends.
        auto update = documents_.answer_for(waiting.position, now);
        if (!update && now < waiting.until) {
            ++it;
            continue;
        }
        if (!update) update = documents_.empty_answer();
        update->lease = reports_.grant_lease(now, waiting.name);
        const Handle client = waiting.client;
        it = waiting_.erase(it);
        answer(client, *update);
    }
}

Nanos FollowerService::next_deadline() const {
    Nanos next = TimerQueue::never;
    for (const auto& [slot, waiting] : waiting_) next = std::min(next, waiting.until);
    return next;
}

void FollowerService::forget(const std::string& name, std::uint64_t incarnation) {
    const auto last = last_reports_.find(name);
    if (last != last_reports_.end() && last->second.incarnation <= incarnation) last_reports_.erase(last);
}

void FollowerService::answer(Handle client, const ChangesAnswer& answer) {
    server_.answer(client, {200, write_changes_answer(answer), 0});
}

void FollowerService::error(Handle client, int status, std::string_view reason) {
    server_.answer(client, {status, write_error(reason), 0});
}

}  // namespace tealcart::relay
