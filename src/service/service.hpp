// One query router on sockets: start, the loop, and stop.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>

#include "service/config_follower.hpp"
#include "service/membership.hpp"
#include "service/query_dispatcher.hpp"
#include "service/startup_config.hpp"

namespace tealcart {

class Service {
  public:
    // Listens from here on, as `read` tells it to; `read` is asked again at each SIGHUP. Throws what `read`
    // throws, and boost::system::system_error where the address can't be had.
    Service(boost::asio::io_context& io, std::function<StartupConfig()> read);

    // Serves until a SIGTERM and all that it asks for are done.
    void run();
    // One turn of the loop: waits until something is ready or due, takes in all that is ready, then judges
    // what is due, then plays a round if one is. False once the service has stopped.
    bool turn();
    void begin_stop();

    std::uint16_t port() const { return front_.port(); }
    const QueryDispatcher& dispatcher() const { return dispatcher_; }
    const ConfigFollower* follower() const { return follower_.get(); }  // null: none

  private:
    void await_signal();
    void follow_launch();
    void set_timer();
    bool may_exit();

    boost::asio::io_context& io_;
    boost::asio::signal_set signals_;  // taken before the configuration is read, so that no change is missed
    const std::function<StartupConfig()> read_;
    StartupConfig launch_;
    EventClock time_;
    QueryDispatcher dispatcher_;
    HttpServer front_;
    NodeConnectionPool links_;
    std::unique_ptr<Membership> member_;        // of a fleet, where the operators' file says so
    std::unique_ptr<ConfigFollower> follower_;  // of its changes of configuration, the same
    DiscoveryWatch watch_;
    boost::asio::steady_timer timer_;
    Nanos timer_at_ = TimerQueue::never, stop_began_ = 0, list_by_ = 0;
};

}  // namespace tealcart
