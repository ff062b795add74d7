// One relay: followers' calls over HTTP/1.1 below it, one watch to the managers above. It hands changes down
// and gathers its followers' words into one word for all. Nothing durable is kept.
//
// What it grants to a follower is what is left of its own lease when it answers, so that no follower's lease
// outlives the relay's. Without the managers it hands on what it has, and grants less and less.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <string>

#include "changes/report_aggregator.hpp"
#include "relay/history.hpp"
#include "relay/relay_config.hpp"
#include "wire/change_watch.hpp"
#include "wire/http_server.hpp"

namespace tealcart::relay {

class Relay final : private RequestHandler, private ChangeObserver, private DueHandler {
  public:
    // Listens from here on. Throws boost::system::system_error where the address can't be had.
    Relay(boost::asio::io_context& io, const RelayConfig& config, std::uint64_t seed);

    // Until SIGTERM; throws std::runtime_error where another process goes by its name.
    void run();

  private:
    // A follower's call that is not answered yet.
    struct Waiting {
        Handle client;
        std::string name;
        WatchPosition position;
        Nanos until = 0;
        bool owed_grant = false;  // the managers had not heard of it when it called
    };
    struct Heard {
        std::uint64_t incarnation = 0, applied_version = 0, refused = 0;
    };

    void on_request(Handle client, Request& request, Nanos began) override;
    void on_client_disconnected(Handle client) override { waiting_.erase(client.slot); }
    LongPollObserver::Call next_call() override;
    void on_changes(Nanos sent, const ChangesAnswer& answer) override;
    void on_superseded(std::uint64_t last_incarnation) override;
    void on_due(Handle who, std::uint64_t what) override;

    void on_follower(Handle client, const std::string& body);
    void take_news(const ChangesAnswer& answer);
    void tell_waiting();
    // Nothing where the page that it wants has to wait for others.
    std::optional<ChangesAnswer> answer_for(const Waiting& w);
    bool may_page(Nanos now);
    void say_soon(Nanos after);
    void look_at_lease();
    void refuse(Handle client, int status, std::string_view words);
    std::string write_status() const;
    void set_timer(Nanos at);

    boost::asio::io_context& io_;
    boost::asio::signal_set signals_;
    const RelayConfig config_;
    EventClock time_;
    changes::Copy copy_;
    History history_;
    std::uint64_t incarnation_;
    changes::ReportAggregator gather_;
    HttpServer front_;
    ChangeWatch watch_;
    boost::asio::steady_timer timer_;
    std::map<std::uint32_t, Waiting> waiting_;  // by the client's slot
    std::map<std::string, Heard> heard_;        // as ReportAggregator knows them
    // Deltas for those that wait, by the version they have; of the latest version alone.
    std::map<std::uint64_t, std::optional<changes::Delta>> deltas_;
    std::vector<std::string> exceptions_;  // of the last word
    std::string followed_;                 // why it can't go on
    Nanos drift_ = 0, lease_ = 0, spoke_at_ = 0, timer_at_ = TimerQueue::never, stop_began_ = 0;
    Nanos pages_at_ = 0;  // when pages_left_ was counted
    double pages_left_ = 1;
    bool answered_ = false, had_lease_ = false, has_lease_ = false, news_ = false, spoilt_told_ = false;
    TimerQueue::Ticket speak_due_ = TimerQueue::none;
};

}  // namespace tealcart::relay
