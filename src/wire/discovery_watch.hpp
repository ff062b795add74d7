// The watch on discovery's list of data nodes: one long poll after the other on a kept connection, made anew
// with backoff and jitter when it breaks or stays silent for longer than the call may wait. Whatever happens,
// a change is heard within 6 s of when discovery had it and could be reached. Once told of another address it
// goes there at once; the call that is out at the old one may still bring news until the new one has spoken.
#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <random>
#include <string>

#include "config/host_port.hpp"
#include "tables/endpoint_list.hpp"
#include "tables/event_clock.hpp"
#include "tables/slot_map.hpp"
#include "wire/http.hpp"
#include "wire/list_bound.hpp"

namespace tealcart {

class ListTaker {
  public:
    virtual ~ListTaker() = default;
    virtual void on_list(const EndpointList& list) = 0;
};

class DiscoveryWatch final : public DueHandler {
  public:
    DiscoveryWatch(boost::asio::io_context& io, EventClock& time, ListTaker& taker, HostPort address,
                   Discovery mode, std::uint32_t places, std::uint64_t seed, ListBound bound = {});

    // Watches for what is newer than `generation`.
    void start(std::uint64_t generation);
    void stop();
    void follow(HostPort address);
    // Whether discovery has told the list since the start.
    bool told() const { return told_; }
    const WireCount& wire() const { return wire_; }
    void on_due(Handle, std::uint64_t what) override;

  private:
    struct Connection;
    using Life = std::shared_ptr<Connection>;

    void connect();
    void ask();
    void read(const Life& c);
    void take_answer(const Life& c, bool ended);
    void lose(const Life& c, const char* why);
    static void end(Life& connection);
    void tell_long(const AnswerReader& reader);
    void give_up(const char* why);

    boost::asio::io_context& io_;
    EventClock& time_;
    ListTaker& taker_;
    HostPort address_;
    const std::uint32_t places_;
    const ListBound bound_;
    const Nanos first_answer_, max_backoff_;  // as discovery is asked
    std::uint64_t generation_ = 0;
    std::knuth_b chance_;
    Nanos asked_at_ = 0, waits_ = 0;     // the call that is out, and for how long it may wait for news
    Nanos backoff_;                      // after the next failure
    bool told_ = false, sound_ = false;  // sound: the last call was answered
    bool whole_ = false;                 // the next call asks for the whole list
    bool silent_before_ = false;         // told in the log
    bool told_long_ = false;             // and that a list is over its bound
    // Each connection has a life of its own: what completes for an earlier one is void.
    struct Connection {
        Connection(boost::asio::io_context& io, std::size_t longest);
        boost::asio::ip::tcp::socket socket;
        std::string out, in;
        std::array<char, 8192> buffer;
        AnswerReader reader;
        bool asked = false;  // a call is out on it
    };
    WireCount wire_;
    Life connection_, former_;  // former_: at the address before
    TimerQueue::Ticket due_ = TimerQueue::none;
};

}  // namespace tealcart
