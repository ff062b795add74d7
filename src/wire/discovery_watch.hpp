// Watches discovery's list of data nodes with long polls on a persistent connection.
#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <random>
#include <string>

#include "config/host_port.hpp"
#include "tables/endpoint_list.hpp"
#include "tables/event_clock.hpp"
#include "tables/slot_map.hpp"
#include "wire/http.hpp"
#include "wire/response_size_limit.hpp"

namespace tealcart {

// Receives the endpoint lists of a watch.
class EndpointListObserver {
  public:
    virtual ~EndpointListObserver() = default;
    virtual void on_endpoint_list(const EndpointList& list) = 0;
};

// A connection that breaks, or stays silent for longer than its poll may wait, is replaced after a backoff
// with jitter. A change arrives within 6 s of the time when discovery had it and was reachable.
class DiscoveryWatch final : public TimerHandler {
  public:
    // Entries whose place is not below `places` are skipped. All references must outlive the watch.
    DiscoveryWatch(boost::asio::io_context& io, EventClock& clock, EndpointListObserver& observer,
                   HostPort address, Discovery mode, std::uint32_t places, std::uint64_t seed,
                   ResponseSizeLimit limit = {});

    // Starts to poll for lists newer than `generation`.
    void start(std::uint64_t generation);
    void stop();
    // Connects to another address at once and polls it for the full list. The poll in flight at the old
    // address may still deliver a list until the new address has answered.
    void change_address(HostPort address);
    // Returns whether discovery has answered with a list since the start.
    bool has_list() const { return has_list_; }
    const TrafficCounters& traffic() const { return traffic_; }
    void on_timer_due(Handle, std::uint64_t what) override;

  private:
    // Completions for a connection that is neither the current nor the former one are ignored.
    struct Connection {
        Connection(boost::asio::io_context& io, std::size_t max_answer) : socket(io), reader(max_answer) {}

        boost::asio::ip::tcp::socket socket;
        std::string request, received;
        std::array<char, 8192> buffer;
        ResponseReader reader;
        bool poll_in_flight = false;
    };
    using ConnectionPtr = std::shared_ptr<Connection>;

    void connect();
    void poll();
    void read(const ConnectionPtr& connection);
    void parse_answer(const ConnectionPtr& connection, bool ended);
    const char* reason_unusable(const ResponseReader& reader, ParseStatus parse_status, bool has_list);
    void apply_answer(const ConnectionPtr& connection, const EndpointList& list);
    void lose(const ConnectionPtr& connection, const char* reason);
    void fail(const char* reason);
    void log_too_long(const ResponseReader& reader);
    static void close(ConnectionPtr& connection);

    boost::asio::io_context& io_;
    EventClock& clock_;
    EndpointListObserver& observer_;
    HostPort address_;
    const std::uint32_t places_;
    const ResponseSizeLimit limit_;
    const Nanos first_answer_timeout_, max_backoff_;  // depend on the discovery mode
    std::uint64_t generation_ = 0;
    std::knuth_b random_;
    Nanos polled_at_ = 0;           // send time of the current poll
    Nanos poll_wait_ = 0;           // how long discovery may hold it
    Nanos backoff_;                 // after the next failure
    bool has_list_ = false;         // discovery has answered with a list since the start
    bool healthy_ = false;          // the last poll was answered
    bool needs_full_list_ = false;  // the next poll asks for the full list
    bool failure_logged_ = false, too_long_logged_ = false;
    TrafficCounters traffic_;
    ConnectionPtr connection_;
    ConnectionPtr former_;  // to the previous address
    TimerQueue::TimerId timer_ = TimerQueue::none;
};

}  // namespace tealcart
