// Serves the calls of followers (query routers): long polls that report what they act on, renew their leases
// and wait for the next version of the configuration.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "changes/report_aggregator.hpp"
#include "relay/document_source.hpp"
#include "tables/event_clock.hpp"
#include "wire/http_server.hpp"

namespace tealcart::relay {

class FollowerService {
  public:
    // `on_new_report` is called where a follower says what the fleet managers don't know yet.
    FollowerService(EventClock& time, ResponseWriter& server, changes::ReportAggregator& reports,
                    DocumentSource& documents, std::function<void()> on_new_report)
        : time_(time), server_(server), reports_(reports), documents_(documents),
          on_new_report_(std::move(on_new_report)) {}

    void on_call(Handle client, const std::string& body);
    void on_client_disconnected(Handle client) { waiting_.erase(client.slot); }

    // A follower is answered once there is a later version than it has, once it can be granted a lease that
    // it lacks, or once it has waited for as long as it may.
    void answer_waiting();
    // When the first of them has waited for as long as it may; TimerQueue::never: none waits.
    Nanos next_deadline() const;
    // The relay's lease was renewed: followers without one may get one.
    void on_lease_renewed() { leases_changed_ = true; }

    // This incarnation of a follower has left or is lost, and the fleet managers are told so.
    void forget(const std::string& name, std::uint64_t incarnation);
    void forget_all() { last_reports_.clear(); }

    std::size_t waiting() const { return waiting_.size(); }

  private:
    // A follower's call that is not answered yet.
    struct WaitingCall {
        Handle client;
        std::string name;
        WatchPosition position;
        Nanos until = 0;
        bool lacks_lease = false;  // the fleet managers had not heard of it when it called
    };
    struct LastReport {
        std::uint64_t incarnation = 0, applied_version = 0, refused = 0;
    };

    void on_leave(Handle client, const changes::MemberReport& report);
    void update_last_report(const changes::MemberReport& report);
    // A follower has one call at a time: an earlier one, on another connection, is ended.
    void end_earlier_call(const std::string& name);
    bool is_due(const WaitingCall& waiting, Nanos now, bool leases_changed);
    void answer(Handle client, const ChangesAnswer& answer);
    void error(Handle client, int status, std::string_view reason);

    EventClock& time_;
    ResponseWriter& server_;
    changes::ReportAggregator& reports_;
    DocumentSource& documents_;
    const std::function<void()> on_new_report_;
    std::map<std::uint32_t, WaitingCall> waiting_;    // by the client's slot
    std::map<std::string, LastReport> last_reports_;  // by name, of the followers that `reports_` knows
    bool leases_changed_ = false;                     // since `answer_waiting` was last called
};

}  // namespace tealcart::relay
