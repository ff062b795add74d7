// One query router on sockets: start, the event loop, and graceful shutdown.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>

#include "service/config_follower.hpp"
#include "service/membership.hpp"
#include "service/query_dispatcher.hpp"
#include "service/startup_config.hpp"
#include "tables/event_clock.hpp"
#include "wire/discovery_watch.hpp"
#include "wire/http_server.hpp"
#include "wire/node_connection_pool.hpp"

namespace tealcart {

class Service {
  public:
    // Listens from here on, as the configuration says; `read_config` is called again at each SIGHUP. Throws
    // what it throws, and boost::system::system_error where the address can't be bound.
    Service(boost::asio::io_context& io, std::function<StartupConfig()> read_config);

    // Serves until a SIGTERM or SIGINT, and all that is in progress then, is done with.
    void run();
    // One turn of the loop: waits until something is ready or due, takes in all that is ready, then fires
    // what is due, then runs a round if one is due. False once the service has stopped.
    bool turn();
    // Begins a graceful shutdown; does nothing where one has begun.
    void begin_stop();

    std::uint16_t port() const { return server_.port(); }
    const QueryDispatcher& dispatcher() const { return dispatcher_; }
    const ConfigFollower* follower() const { return follower_.get(); }  // null: none

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
    boost::asio::signal_set signals_;  // taken before the configuration is read, so that no SIGHUP is missed
    const std::function<StartupConfig()> read_config_;
    StartupConfig startup_;
    EventClock clock_;
    QueryDispatcher dispatcher_;
    HttpServer server_;
    NodeConnectionPool connections_;
    std::unique_ptr<Membership> membership_;    // of a fleet, where the operators' file says so
    std::unique_ptr<ConfigFollower> follower_;  // of its changes of configuration, the same
    DiscoveryWatch discovery_;
    boost::asio::steady_timer timer_;
    Nanos timer_at_ = TimerQueue::never;
    Nanos stop_began_ = 0;           // 0: it has not
    Nanos first_list_deadline_ = 0;  // until then discovery's first list is waited for
};

}  // namespace tealcart
