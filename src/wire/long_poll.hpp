// Calls by POST, one after the other on a kept connection, each of which may be kept waiting for news; made
// anew, at the next of the addresses, when it breaks or stays silent for longer than it may wait. What is
// said and what is made of an answer is the owner's.
#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "config/host_port.hpp"
#include "tables/event_clock.hpp"
#include "wire/http.hpp"
#include "wire/list_bound.hpp"

namespace tealcart {

class LongPollObserver {
  public:
    struct Call {
        std::string body;
        Nanos wait = 0;  // the answer may be kept back for so long
    };

    virtual ~LongPollObserver() = default;
    // What is to be said now.
    virtual Call call() = 0;
    // A body that came with 200; false where it can't be read.
    virtual bool read(std::string_view body) = 0;
    // What was read was the answer to the call that was sent at `sent`.
    virtual void answered(Nanos sent) = 0;
    virtual void superseded(std::uint64_t last_incarnation) = 0;
    // Told once all addresses have failed in a row, and with the first answer after that, before `answered`.
    virtual void silent(const char* why) = 0;
    virtual void heard_again() = 0;
};

class LongPoll final : public DueHandler {
  public:
    // Begins at the address of this place. `seed`: of the jitter in the pauses between failures, half to one
    // and a half of each; 0 for none. An answer over `bound` is not read, which is logged once.
    LongPoll(boost::asio::io_context& io, EventClock& time, LongPollObserver& taker, std::string_view path,
             std::vector<HostPort> addresses, std::size_t first = 0, std::uint64_t seed = 0,
             ListBound bound = {});

    void start() { connect(); }
    void stop();
    // The next call, after an answer.
    void next();
    // Whatever is out is dropped, and a call made anew: something has to be said at once.
    void call_now() { go_to(at_, 0); }
    // In place of `next`: the answers are of no use, the next of the addresses is called.
    void pass_over(const char* why) { give_up(why); }
    // A call is out, and its answer is waited for.
    bool waits() const { return connection_ && sent_at_ > 0 && !owes_next_; }
    const HostPort& address() const { return addresses_[at_]; }
    const WireCount& wire() const { return wire_; }
    void on_due(Handle, std::uint64_t what) override;

  private:
    struct Connection {
        Connection(boost::asio::io_context& io, std::size_t longest);
        boost::asio::ip::tcp::socket socket;
        std::string out, in;
        std::array<char, 4096> buffer;
        AnswerReader reader;
    };
    using Life = std::shared_ptr<Connection>;

    void connect();
    void ask();
    void read(const Life& c);
    void take_answer(const Life& c);
    void give_up(const char* why);
    void go_to(std::size_t address, Nanos pause);
    void end();

    boost::asio::io_context& io_;
    EventClock& time_;
    LongPollObserver& taker_;
    const std::string path_;
    const std::vector<HostPort> addresses_;
    const ListBound bound_;
    std::size_t at_ = 0;  // of the addresses
    std::uint64_t chance_ = 0;
    int failed_ = 0;     // calls in a row
    Nanos sent_at_ = 0;  // 0: nothing was sent on this connection
    bool owes_next_ = false, told_silent_ = false, told_long_ = false;
    WireCount wire_;
    Life connection_;
    TimerQueue::Ticket due_ = TimerQueue::none;
};

}  // namespace tealcart
