// A client's connection as the HttpServer keeps it.
#pragma once

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <string>
#include <utility>

#include "tables/memory_budget.hpp"
#include "tables/timer_queue.hpp"
#include "wire/http.hpp"

namespace tealcart {

// The state of one connection; contains no policy.
struct HttpConnection {
    // A connection reads a request, queues it until its turn comes, waits for the handler's response, writes
    // it, or lingers half-closed.
    enum class State : std::uint8_t { reading, queued, waiting, writing, lingering, closed };

    // What every connection may hold without a charge, which suffices for an ordinary request. The sum of it
    // is bounded by the number of connections.
    static constexpr std::size_t uncharged_bytes = 2048;

    HttpConnection(boost::asio::ip::tcp::socket accepted, std::size_t max_request_body, MemoryBudget& memory)
        : socket(std::move(accepted)), reader(max_request_body), charge(memory) {}

    // The bytes of the request, of what was received behind it, and of the response.
    std::size_t held_bytes() const {
        return unread.capacity() + reader.buffered_bytes() + head.capacity() + body.capacity();
    }
    void update_charge() { charge.resize(held_bytes() - std::min(held_bytes(), uncharged_bytes)); }
    // Returns whether a request is in progress: what is received now belongs to further ones.
    bool has_request() const {
        return state == State::queued || state == State::waiting || state == State::writing;
    }
    // Returns whether a request was passed on whose response its client has not received.
    bool awaits_response() const { return state == State::waiting || state == State::writing; }
    // Frees the buffers of requests, of what was received behind one, and of the response.
    void drop_requests() {
        drop_unread();
        reader.next();
    }
    void drop_unread() { std::string().swap(unread); }  // an assignment would keep the buffer
    void drop_response() {
        std::string().swap(head);
        std::string().swap(body);
    }

    boost::asio::ip::tcp::socket socket;
    State state = State::reading;
    bool malformed = false;  // the queued request is
    bool in_queue = false;   // its turn is awaited; otherwise what stands behind it is still being read
    bool is_drained = true;  // at the last read, the socket had no more bytes
    bool is_last = false;    // no further request is served on it
    bool peer_ended = false;
    bool wait_pending = false, write_pending = false;
    RequestReader reader;
    std::string unread;      // received, but not yet parsed
    std::string head, body;  // of the response that is being written
    MemoryCharge charge;
    bool served = false;           // at least one request was served
    bool writes_continue = false;  // "100 Continue" is being written
    std::size_t discarded = 0;     // bytes received while lingering
    std::size_t dropped = 0;       // bytes received behind the current request that were not kept
    Nanos idle_since = 0;
    Nanos progress_at = 0;  // it was accepted, bytes of a request were received, or of the response written
    Nanos request_began = 0;
    Nanos next_request_began = 0;  // while one is in progress; 0 if no byte of a next one has arrived
    TimerQueue::TimerId timer = TimerQueue::none;       // the timeout of the current state
    TimerQueue::TimerId turn_timer = TimerQueue::none;  // fires in the next turn of the event loop
};

}  // namespace tealcart
