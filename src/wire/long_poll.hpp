// A client for long polls: it sends consecutive POST calls on a persistent connection, and the server may
// delay each answer until there is news. A call that fails, or stays unanswered for longer than it may wait,
// is retried at the next address after a backoff.
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

// Provides the calls of a LongPoll and processes their answers.
class LongPollObserver {
  public:
    // A call's body and its wait.
    struct Call {
        std::string body;
        Nanos wait = 0;  // how long the server may delay the answer
    };

    virtual ~LongPollObserver() = default;
    // Returns the call to send next.
    virtual Call next_call() = 0;
    // Reads the body of an answer with status 200. Returns false if it is malformed.
    virtual bool read(std::string_view body) = 0;
    // The body that was read last is the answer to the call sent at `sent`. Call LongPoll::next once the
    // answer has been applied.
    virtual void on_answer(Nanos sent) = 0;
    // A later incarnation of the caller's name is known. LongPoll retries the call.
    virtual void on_superseded(std::uint64_t last_incarnation) = 0;
    // on_unreachable is called once after all addresses have failed in a row. on_reachable_again is called
    // with the first answer after that, before `on_answer`.
    virtual void on_unreachable(const char* reason) = 0;
    virtual void on_reachable_again() = 0;
};

// Sends the calls of its observer, one at a time.
class LongPoll final : public TimerHandler {
  public:
    // Starts at the address with index `first`. A `jitter_seed` other than 0 multiplies each backoff by a
    // random factor from 0.5 to 1.5. An answer over `limit` is not read, which is logged once.
    LongPoll(boost::asio::io_context& io, EventClock& time, LongPollObserver& observer, std::string_view path,
             std::vector<HostPort> addresses, std::size_t first = 0, std::uint64_t jitter_seed = 0,
             ResponseSizeLimit limit = {});

    void start() { connect(); }
    void stop();
    // Sends the next call. Must be called after each answer.
    void next();
    // Abandons a call in flight and sends a new one at once.
    void call_now() { go_to(address_index_, 0); }
    // Called instead of `next` if the answers of this server are not usable: continues with the next address.
    void fail_over(const char* reason) { fail(reason); }
    // Returns whether a call awaits its answer.
    bool call_in_flight() const { return connection_ && sent_at_ > 0 && !next_pending_; }
    const HostPort& address() const { return addresses_[address_index_]; }
    const TrafficCounters& traffic() const { return traffic_; }
    void on_timer_due(Handle, std::uint64_t what) override;

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
    std::uint64_t random_ = 0;   // state of the jitter's generator; 0 for no jitter
    int failures_ = 0;           // failed calls in a row
    Nanos sent_at_ = 0;          // 0 if no call was sent on this connection
    bool next_pending_ = false;  // an answer was passed on, and `next` has not been called yet
    bool unreachable_ = false, limit_logged_ = false;
    TrafficCounters traffic_;
    ConnectionPtr connection_;
    TimerQueue::TimerId due_ = TimerQueue::none;
};

}  // namespace tealcart
