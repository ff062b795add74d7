// A client of long polls: POST calls one after the other on a kept connection, each of which the server may
// hold back until there is news. A call that fails, or is silent for longer than it may wait, is retried at
// the next of the addresses after a backoff.
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
#include "wire/response_size_limit.hpp"

namespace tealcart {

// What is said in a call, and what is made of its answer.
class LongPollObserver {
  public:
    struct Call {
        std::string body;
        Nanos wait = 0;  // the server may hold the answer back for so long
    };

    virtual ~LongPollObserver() = default;
    // The call to send now.
    virtual Call next_call() = 0;
    // Reads the body of an answer with status 200; false where it is malformed.
    virtual bool read(std::string_view body) = 0;
    // What was read last is the answer to the call that was sent at `sent`. LongPoll::next is to be called
    // once it has been acted on.
    virtual void on_answer(Nanos sent) = 0;
    // A later incarnation of the caller's name is known. The call is retried by itself.
    virtual void on_superseded(std::uint64_t last_incarnation) = 0;
    // Called once after all addresses have failed in a row, and with the first answer after that, before
    // `on_answer`.
    virtual void on_unreachable(const char* reason) = 0;
    virtual void on_reachable_again() = 0;
};

class LongPoll final : public DueHandler {
  public:
    // Begins at the address of index `first`. `jitter_seed`: of the backoffs, which are then 0.5 to 1.5 times
    // as long; 0: none. An answer over `bound` is not read, which is logged once.
    LongPoll(boost::asio::io_context& io, EventClock& time, LongPollObserver& observer, std::string_view path,
             std::vector<HostPort> addresses, std::size_t first = 0, std::uint64_t jitter_seed = 0,
             ResponseSizeLimit limit = {});

    void start() { connect(); }
    void stop();
    // Sends the next call, after an answer.
    void next();
    // Drops a call that is out, and sends a new one at once.
    void call_now() { go_to(address_index_, 0); }
    // In place of `next`: the answers are of no use, the next of the addresses is called.
    void fail_over(const char* reason) { fail(reason); }
    // A call is out, and its answer is awaited.
    bool call_in_flight() const { return connection_ && sent_at_ > 0 && !next_pending_; }
    const HostPort& address() const { return addresses_[address_index_]; }
    const TrafficCounters& traffic() const { return traffic_; }
    void on_due(Handle, std::uint64_t what) override;

  private:
    struct Connection {
        Connection(boost::asio::io_context& io, std::size_t max_answer) : socket(io), reader(max_answer) {}
        boost::asio::ip::tcp::socket socket;
        std::string out, in;
        std::array<char, 4096> buffer;
        ResponseReader reader;
    };
    using ConnectionPtr = std::shared_ptr<Connection>;

    void connect();
    void send_call();
    void read(const ConnectionPtr& connection);
    void on_bytes(const ConnectionPtr& connection);
    void on_malformed(const ResponseReader& reader);
    void on_complete(ResponseReader& reader);
    void on_not_leader(std::string_view body);
    void on_conflict(std::string_view body);
    // Retries at the next address after a backoff.
    void fail(const char* reason);
    void go_to(std::size_t address_index, Nanos pause);
    void disconnect();
    Nanos backoff();

    boost::asio::io_context& io_;
    EventClock& time_;
    LongPollObserver& observer_;
    const std::string path_;
    const std::vector<HostPort> addresses_;
    const ResponseSizeLimit limit_;
    std::size_t address_index_ = 0;
    std::uint64_t random_ = 0;   // state of the jitter; 0: there is none
    int failures_ = 0;           // calls in a row
    Nanos sent_at_ = 0;          // 0: nothing was sent on this connection
    bool next_pending_ = false;  // an answer was handed on, and `next` was not called yet
    bool unreachable_ = false, limit_logged_ = false;
    TrafficCounters traffic_;
    ConnectionPtr connection_;
    TimerQueue::Ticket due_ = TimerQueue::none;
};

}  // namespace tealcart
