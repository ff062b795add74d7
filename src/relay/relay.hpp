// One relay: followers call it over HTTP/1.1, and it calls the fleet managers. It distributes the versions of
// the document and aggregates its followers' reports into one. It stores nothing on disk.
//
// It grants a follower the rest of its own lease at the time of the answer, so that no follower's lease
// outlives the relay's. While it cannot reach the fleet managers, it serves the version that it has, with
// shorter and shorter leases.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <string>
#include <vector>

#include "changes/report_aggregator.hpp"
#include "relay/document_source.hpp"
#include "relay/follower_service.hpp"
#include "relay/relay_config.hpp"
#include "wire/change_watch.hpp"
#include "wire/event_loop.hpp"
#include "wire/http_server.hpp"

namespace tealcart::relay {

// Connects the follower service, the copy of the document and the watch on the fleet managers.
class Relay final : private RequestHandler, private ChangeObserver, private TimerHandler {
  public:
    // Starts to listen. Throws boost::system::system_error if the address cannot be bound.
    Relay(boost::asio::io_context& io, const RelayConfig& config, std::uint64_t seed);

    // Runs until SIGTERM or SIGINT. Throws std::runtime_error if another process uses the relay's name.
    void run();

  private:
    void on_request(Handle client, Request& request, Nanos began) override;
    void on_client_disconnected(Handle client) override { followers_.on_client_disconnected(client); }
    LongPollObserver::Call next_call() override;
    void on_changes(Nanos sent, const ChangesAnswer& answer) override;
    void on_superseded(std::uint64_t last_incarnation) override;
    void on_timer_due(Handle, std::uint64_t) override;

    void show_ready(Handle client);
    void show_status(Handle client);
    void apply(const ChangesAnswer& answer);
    // Schedules the next report, unless a call is about to be sent anyway.
    void schedule_report();
    void observe_lease();

    boost::asio::signal_set signals_;
    const RelayConfig config_;
    EventClock time_;
    EventLoop event_loop_;
    std::uint64_t incarnation_;
    changes::ReportAggregator reports_;
    DocumentSource documents_;
    HttpServer server_;
    FollowerService followers_;
    ChangeWatch managers_;
    TimerQueue::TimerId report_due_ = TimerQueue::none;
    std::vector<std::string> exceptions_;  // names of the followers listed as exceptions in the last report
    Nanos drift_ = 0, lease_ = 0;          // as the fleet managers last stated them
    Nanos called_at_ = 0;                  // when the fleet managers were last called
    bool stopping_ = false;
    std::string superseded_reason_;  // why the relay has to stop; empty: it does not
    bool managers_answered_ = false;
    bool has_lease_ = false, had_lease_ = false;
    bool wrong_digest_logged_ = false;  // since the last applied version
};

}  // namespace tealcart::relay
