// Misbehaving clients of a query router. They run in a thread of their own, so that they are not slowed down
// by the test that observes the router.
#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "testing/rig.hpp"

namespace tealcart::testing {

// What all clients of a BadClients object do. Each one connects again once its connection has ended.
enum class Misbehaviour : std::uint8_t {
    idles,                   // connects and sends nothing
    stops_in_body,           // sends most of a large request and then nothing
    writes_slowly,           // sends a large request in small pieces
    sends_many_fields,       // sends a head of very many short fields, without its end
    reads_no_answers,        // sends large valid queries and reads nothing
    sends_endless_trailers,  // sends a chunked body whose trailer never ends
    sends_nested_bodies,     // sends bodies of nested brackets without waiting for answers
    sends_unsound_requests,  // sends small malformed requests, each under a new name, without waiting
    asks_for_large_values,   // sends a valid query with a large text, and leaves soon after
    leaves_with_unread       // sends many valid queries at once and closes the connection at once
};

// Returns whether all requests of such clients are malformed or incomplete.
bool is_malformed(Misbehaviour misbehaviour);

// A query whose client has left.
struct Departure {
    std::string id;
    TimePoint closed_at;
};

class BadClients {
  public:
    // Starts `count` clients of the router at this port of loopback.
    BadClients(std::uint16_t port, Misbehaviour misbehaviour, std::size_t count, std::uint64_t seed);
    ~BadClients() { stop(); }
    BadClients(const BadClients&) = delete;

    // Begins to close all connections, which takes a while. `has_stopped` tells whether it is done.
    void begin_stop() { stopping_ = true; }
    bool has_stopped() const { return stopped_; }
    // Closes all connections and waits for that. Must be called before the results below are read.
    void stop();
    const std::vector<Departure>& departures() const { return departures_; }
    // Returns the departures, and forgets them. There may be millions.
    std::vector<Departure> take_departures() { return std::move(departures_); }
    std::uint64_t bytes_sent() const { return bytes_sent_; }
    // The number of answers with each status, but for those that arrived in pieces.
    const std::map<int, std::uint64_t>& answers() const { return answers_; }

  private:
    struct Client {
        int socket = -1;
        std::string outgoing;
        std::size_t sent = 0;
        TimePoint write_at, close_at, connect_at;
        std::vector<std::string> ids;  // of the queries in `outgoing`
    };

    void run();
    void connect(Client& client, TimePoint now);
    void prepare(Client& client, TimePoint now);
    void write(Client& client, TimePoint now);
    void read_answers(Client& client, TimePoint now);
    void close(Client& client, TimePoint now);
    std::string valid_query(Client& client, std::size_t text_bytes);
    std::string next_id();

    const std::uint16_t port_;
    const Misbehaviour misbehaviour_;
    std::mt19937_64 random_;
    std::vector<Client> clients_;
    std::vector<Departure> departures_;
    std::uint64_t last_id_ = 0, bytes_sent_ = 0;
    std::map<int, std::uint64_t> answers_;  // by status
    std::atomic<bool> stopping_ = false, stopped_ = false;
    std::thread thread_;
};

}  // namespace tealcart::testing
