// Runs a query router on sockets: start, event loop and graceful shutdown.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>

#include "service/config_follower.hpp"
#include "service/load_report.hpp"
#include "service/membership.hpp"
#include "service/query_dispatcher.hpp"
#include "service/startup_config.hpp"
#include "tables/event_clock.hpp"
#include "wire/discovery_watch.hpp"
#include "wire/http_server.hpp"
#include "wire/node_connection_pool.hpp"

namespace tealcart {

// Owns all parts of the process and runs them in one thread.
class Service {
  public:
    // Starts to listen at the configured address. `read_config` is called again at each SIGHUP. Throws the
    // exceptions of `read_config`, and boost::system::system_error if the address can't be bound.
    Service(boost::asio::io_context& io, std::function<StartupConfig()> read_config);

    // Serves until SIGTERM or SIGINT, and then until all queries in progress have ended.
    void run();
    // Runs the event loop once: waits until a handler is ready or a timer is due, runs the ready handlers,
    // then the due timers, then a round if one is due. Returns false once the service has stopped.
    bool turn();
    // Begins a graceful shutdown. Does nothing if one has begun.
    void begin_stop();

    std::uint16_t port() const { return server_.port(); }
    const QueryDispatcher& dispatcher() const { return dispatcher_; }
    const ConfigFollower* follower() const { return follower_.get(); }  // null if there is none

  private:
    void start();
    void await_signal();
    void reload_config();
    std::string changes_for_next_start(const StartupConfig& next) const;
    void run_due_round();
    void set_timer();
    bool may_exit();
    void close_all();

    boost::asio::io_context& io_;
    // Registered before the configuration is read, so that no SIGHUP is missed.
    boost::asio::signal_set signals_;
    const std::function<StartupConfig()> read_config_;
    StartupConfig startup_;
    EventClock clock_;
    QueryDispatcher dispatcher_;
    HttpServer server_;
    NodeConnectionPool connections_;
    std::unique_ptr<Membership> membership_;    // null if the operators' file has no `member` block
    std::unique_ptr<ConfigFollower> follower_;  // null if that block names no relays
    DiscoveryWatch discovery_;
    LoadReport load_report_;
    boost::asio::steady_timer timer_;
    Nanos timer_at_ = TimerQueue::never;
    Nanos stop_began_ = 0;           // 0 if the service is not stopping
    Nanos first_list_deadline_ = 0;  // the service waits for discovery's first list until then
};

}  // namespace tealcart
