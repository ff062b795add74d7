// One relay: followers call it over HTTP/1.1, and it calls the fleet managers. It hands the document's
// versions down, and aggregates its followers' reports into one for all. Nothing is kept on disk.
//
// What it grants to a follower is what is left of its own lease when it answers, so that no follower's lease
// outlives the relay's. Without the fleet managers it serves the version that it has, and grants less and
// less.
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

class Relay final : private RequestHandler, private ChangeObserver, private DueHandler {
  public:
    // Listens from here on. Throws boost::system::system_error where the address can't be had.
    Relay(boost::asio::io_context& io, const RelayConfig& config, std::uint64_t seed);

    // Until SIGTERM; throws std::runtime_error where another process goes by its name.
    void run();

  private:
    void on_request(Handle client, Request& request, Nanos began) override;
    void on_client_disconnected(Handle client) override { followers_.on_client_disconnected(client); }
    LongPollObserver::Call next_call() override;
    void on_changes(Nanos sent, const ChangesAnswer& answer) override;
    void on_superseded(std::uint64_t last_incarnation) override;
    void on_due(Handle, std::uint64_t) override;

    void show_ready(Handle client);
    void show_status(Handle client);
    void apply(const ChangesAnswer& answer);
    // Has the next report sent soon, where no call is about to be sent anyway.
    void schedule_report();
    void observe_lease();

    boost::asio::signal_set signals_;
    const RelayConfig config_;
    EventClock time_;
    EventLoop turn_;
    std::uint64_t incarnation_;
    changes::ReportAggregator reports_;
    DocumentSource documents_;
    HttpServer server_;
    FollowerService followers_;
    ChangeWatch managers_;
    TimerQueue::Ticket report_due_ = TimerQueue::none;
    std::vector<std::string> exceptions_;  // names in the last report
    Nanos drift_ = 0, lease_ = 0;          // as the fleet managers stated them last
    Nanos called_at_ = 0;                  // when the last call to them was made
    bool stopping_ = false;
    std::string superseded_reason_;  // why it can't go on; empty: it can
    bool managers_answered_ = false;
    bool has_lease_ = false, had_lease_ = false;
    bool wrong_digest_logged_ = false;  // since the last version
};

}  // namespace tealcart::relay
