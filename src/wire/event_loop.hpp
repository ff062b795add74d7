// A process's event loop over an io_context and the timers of an EventClock.
#pragma once

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "tables/event_clock.hpp"

namespace tealcart {

// Runs ready handlers first and then due timers.
class EventLoop {
  public:
    EventLoop(boost::asio::io_context& io, EventClock& time) : io_(io), time_(time), timer_(io) {}

    // Waits until a handler is ready, but no longer than until `wake_at`. Then runs a limited number of ready
    // handlers and all due timers of the clock.
    void run_once(Nanos wake_at) {
        set_timer(std::max(wake_at, time_.now()));
        io_.run_one();
        for (int ran = 0; ran < max_handlers && io_.poll_one() > 0; ++ran) {
        }
        time_.timers.fire_due(time_.now());
    }

  private:
    static constexpr int max_handlers = 4096;

    // Resets the timer only to an earlier time. Postponing it would cancel the wait, which wakes the loop
    // without need.
    void set_timer(Nanos at) {
        if (timer_at_ != TimerQueue::never && timer_at_ <= at) return;
        timer_at_ = at;
        timer_.expires_at(time_.steady(at));
        timer_.async_wait([this](const boost::system::error_code& ec) {
            if (!ec) timer_at_ = TimerQueue::never;
        });
    }

    boost::asio::io_context& io_;
    EventClock& time_;
    boost::asio::steady_timer timer_;
    Nanos timer_at_ = TimerQueue::never;
};

}  // namespace tealcart
