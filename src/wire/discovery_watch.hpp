// The watch on discovery's list of data nodes: one long poll after the other on a kept connection.
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

// Receives the lists that a watch brings.
class EndpointListObserver {
  public:
    virtual ~EndpointListObserver() = default;
    virtual void on_endpoint_list(const EndpointList& list) = 0;
};

// A connection that breaks, or stays silent for longer than the poll may wait, is replaced after a backoff
// with jitter: a change is heard within 6 s of when discovery had it and could be reached.
class DiscoveryWatch final : public DueHandler {
  public:
    // Entries at a place that is not below `places` are left out. All references must outlive the watch.
    DiscoveryWatch(boost::asio::io_context& io, EventClock& clock, EndpointListObserver& observer,
                   HostPort address, Discovery mode, std::uint32_t places, std::uint64_t seed,
                   ResponseSizeLimit limit = {});

    // Watches for what is newer than `generation`.
    void start(std::uint64_t generation);
    void stop();
    // Goes to another address at once and polls its full list. The poll that is in flight at the old one may
    // still bring a list until the new one has answered.
    void change_address(HostPort address);
    // Whether discovery has answered with a list since the start.
    bool has_list() const { return has_list_; }
    const TrafficCounters& traffic() const { return traffic_; }
    void on_due(Handle, std::uint64_t what) override;

  private:
    // What completes for a connection that is neither the current nor the former one is void.
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
    const char* reason_unusable(const ResponseReader& reader, ParseStatus reading, bool has_list);
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
    const Nanos first_answer_timeout_, max_backoff_;  // by the mode of discovery
    std::uint64_t generation_ = 0;
    std::knuth_b random_;
    Nanos polled_at_ = 0;           // when the current poll was sent
    Nanos poll_wait_ = 0;           // for how long discovery may hold it
    Nanos backoff_;                 // after the next failure
    bool has_list_ = false;         // discovery has answered with a list
    bool healthy_ = false;          // the last poll was answered
    bool needs_full_list_ = false;  // the next poll asks for it
    bool failure_logged_ = false, too_long_logged_ = false;
    TrafficCounters traffic_;
    ConnectionPtr connection_;
    ConnectionPtr former_;  // at the address before
    TimerQueue::Ticket timer_ = TimerQueue::none;
};

}  // namespace tealcart
