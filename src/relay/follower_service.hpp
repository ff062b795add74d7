// Serves the calls of followers (query routers): long polls that report the applied version, renew leases and
// wait for the next version of the configuration.
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

// Records the followers' reports and answers their calls.
class FollowerService {
  public:
    // `on_new_report` is called when a follower reports something that the fleet managers do not know yet.
    FollowerService(EventClock& time, ResponseWriter& server, changes::ReportAggregator& reports,
                    DocumentSource& documents, std::function<void()> on_new_report)
        : time_(time), server_(server), reports_(reports), documents_(documents),
          on_new_report_(std::move(on_new_report)) {}

    void on_call(Handle client, const std::string& body);
    void on_client_disconnected(Handle client) { waiting_.erase(client.slot); }

    // Answers each follower for which there is a later version, which can be granted a lease that it lacks,
    // or whose wait has ended.
    void answer_waiting();
    // When the wait of the first follower ends; TimerQueue::never: none waits.
    Nanos next_deadline() const;
    // To be called when the relay's lease was renewed, so that followers without a lease may get one.
    void on_lease_renewed() { leases_changed_ = true; }

    // Drops an incarnation of a follower that has left or is lost, once that is reported to the fleet
    // managers.
    void forget(const std::string& name, std::uint64_t incarnation);
    void forget_all() { last_reports_.clear(); }

    std::size_t waiting() const { return waiting_.size(); }

  private:
    // A call that is not answered yet.
    struct WaitingCall {
        Handle client;
        std::string name;
        WatchPosition position;
        Nanos until = 0;
        bool lacks_lease = false;  // the fleet managers did not know the follower when it called
    };
    // The part of a follower's last report whose change is reported to the fleet managers.
    struct LastReport {
        std::uint64_t incarnation = 0, applied_version = 0, refused = 0;
    };

    void on_leave(Handle client, const changes::MemberReport& report);
    void update_last_report(const changes::MemberReport& report);
    // Ends an earlier call on another connection, as a follower has only one call at a time.
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
    bool leases_changed_ = false;                     // since the last call of `answer_waiting`
};

}  // namespace tealcart::relay
