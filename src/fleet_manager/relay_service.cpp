#include "fleet_manager/relay_service.hpp"

#include <memory>

#include "fleet_manager/batching.hpp"
#include "fleet_manager/change_requests.hpp"

namespace tealcart::fleet_manager {
namespace {

// Why the relay's report was not applied, if a full report would not help; empty otherwise.
std::string permanent_refusal(const changes::Effects& effects, const std::string& relay) {
    using changes::StaleReason;
    for (const changes::Effect& effect : effects) {
        const auto* stale = std::get_if<changes::StaleReport>(&effect);
        if (stale == nullptr || stale->sender != relay) continue;
        if (stale->reason == StaleReason::malformed || stale->reason == StaleReason::too_many_members ||
            stale->reason == StaleReason::too_many_relays)
            return changes::describe(stale->reason);
    }
    return {};
}

}  // namespace

void RelayService::on_call(Handle client, const std::string& body) {
    auto call = read_relay_call(body);
    if (!call) return responder_.malformed(client, call.error());
    if (!proposer_.leads()) return responder_.not_leader(client);
    const changes::RelayReport& report = call->report;
    if (state_.changes().knows_later_incarnation(report.relay, report.incarnation))
        return responder_.superseded(client, state_.changes().last_incarnation(report.relay));
    batch_.reports.reports.push_back(report);
    batch_.calls.emplace_back(client, std::move(*call));
    if (batch_.calls.size() >= max_batch_calls) return propose_batch();
    if (batch_due_ == TimerQueue::none)
        batch_due_ = time_.timers.add(time_.now() + batch_window, *this, Handle{}, 0);
}

void RelayService::on_timer_due(Handle, std::uint64_t) {
    batch_due_ = TimerQueue::none;
    propose_batch();
}

void RelayService::propose_batch() {
    time_.timers.cancel(batch_due_);
    if (batch_.calls.empty()) return;
    const auto batch = std::make_shared<Batch>(std::exchange(batch_, {}));
    proposer_.propose(changes::Command{"", 0, std::move(batch->reports)},
                      [this, batch](bool committed, const changes::Effects& effects) {
                          for (const auto& [client, call] : batch->calls) {
                              if (committed)
                                  on_report_committed(client, call, effects);
                              else
                                  responder_.not_leader(client);
                          }
                      });
}

void RelayService::on_report_committed(Handle client, const RelayCall& call,
                                       const changes::Effects& effects) {
    const changes::ChangeState& changes = state_.changes();
    const changes::RelayReport& report = call.report;
    if (changes.knows_later_incarnation(report.relay, report.incarnation))
        return responder_.superseded(client, changes.last_incarnation(report.relay));
    if (changes.last_number(report.relay, report.incarnation) >= report.number) {
        const Nanos until = time_.now() + call.position.wait;
        waiting_[client.slot] = {client, call.position, report.number, until};
        return;
    }
    if (const std::string reason = permanent_refusal(effects, report.relay); !reason.empty())
        return responder_.error(client, 503, reason);
    // The relay's lease has expired or it is unknown, even if an earlier full report was applied before that.
    request_full_report(client);
}

void RelayService::request_full_report(Handle client) {
    ChangesAnswer answer;
    answer.version = state_.changes().version();
    answer.full_report_required = true;
    answer.drift = state_.changes().limits().drift;
    responder_.ok(client, write_changes_answer(answer));
}

void RelayService::answer(const WaitingCall& waiting) {
    ChangesAnswer answer;
    answer.lease = state_.changes().limits().lease;
    answer.acknowledged_report = waiting.report_number;
    answer.drift = state_.changes().limits().drift;
    add_document_update(state_.changes(), waiting.position, answer);
    responder_.ok(waiting.client, write_changes_answer(answer));
}

void RelayService::answer_waiting() {
    const Nanos now = time_.now();
    for (auto it = waiting_.begin(); it != waiting_.end();) {
        // A relay may know a later version from a leader that was ahead. It waits like a relay that is up to
        // date.
        if (state_.changes().version() <= it->second.position.known_version && now < it->second.until) {
            ++it;
            continue;
        }
        const WaitingCall waiting = std::move(it->second);
        it = waiting_.erase(it);
        answer(waiting);
    }
}

}  // namespace tealcart::fleet_manager
