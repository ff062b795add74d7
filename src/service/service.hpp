// One query router on sockets: start, the loop, and stop.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include "service/bridge.hpp"
#include "service/launch.hpp"

namespace tealcart {

class Service {
  public:
    // Listens from here on. Throws boost::system::system_error where the address can't be had.
    Service(boost::asio::io_context& io, const Launch& launch);

    // Serves until a SIGTERM and all that it asks for are done.
    void run();
    // One turn of the loop: waits until something is ready or due, takes in all that is ready, then judges
    // what is due, then plays a round if one is. False once the service has stopped.
    bool turn();
    void begin_stop();

    std::uint16_t port() const { return front_.port(); }

  private:
    void set_timer();
    bool may_exit();

    boost::asio::io_context& io_;
    Timekeeper time_;
    Bridge bridge_;
    ClientFront front_;
    NodeLinks links_;
    DiscoveryWatch watch_;
    boost::asio::signal_set signals_;
    boost::asio::steady_timer timer_;
    Nanos timer_at_ = Deadlines::never, stop_began_ = 0;
};

}  // namespace tealcart
