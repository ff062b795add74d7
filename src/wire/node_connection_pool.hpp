// Connections to data nodes: opened at need, shared by leaf calls, closed before the far side would. Owns the
// sockets; a link's slot is given back in `settle`, once no operation on it is under way.
#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <deque>
#include <memory>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "config/router_config_reader.hpp"
#include "router/query_router.hpp"
#include "tables/event_clock.hpp"
#include "tables/slot_map.hpp"
#include "wire/node_frames.hpp"
#include "wire/phase_frames.hpp"

namespace tealcart {

// What frames hold of a query; shared, since a write may outlive the query.
struct QueryText {
    std::string id, key, text;
    std::string find;  // of a query in two phases
};

// A leaf call as it goes into a frame.
struct AttemptMessage {
    Handle call;
    std::shared_ptr<const QueryText> query;
    std::uint32_t shard = 0;
    Nanos until = 0;                    // when we stop waiting for it
    Nanos send_by = TimerQueue::never;  // it is not to be written later than this
    // Of a query in two phases; the pieces of one frame have one letter.
    char letter = 'R';
    std::uint8_t leg = 0;
    std::uint16_t rows = 0;
    bool wants_filter = false;
};

// Whoever sends leaf calls is told what becomes of them.
class ConnectionObserver {
  public:
    virtual ~ConnectionObserver() = default;
    // False if it belongs to no leaf call that is out on this link.
    virtual bool on_node_answer(Handle link, const NodeAnswer& answer) = 0;
    virtual bool on_phase_answer(Handle link, const PhaseAnswer& answer) = 0;
    // A node met its first frames in two phases with refusal or the end of the connection. True: it is taken
    // for one that doesn't speak them, and none of these calls has run.
    virtual bool on_phases_refused(std::uint32_t node) = 0;
    virtual void on_call_lost(Handle call, Outcome outcome) = 0;
};

// Where leaf calls go.
class AttemptSender {
  public:
    virtual ~AttemptSender() = default;
    // Queues one frame for a node, on a connection other than those to avoid; a new one if none has room.
    // Where no descriptor is free it waits for one.
    virtual Handle send(std::uint32_t node, const std::string& address, std::vector<AttemptMessage> pieces,
                        std::span<const Handle> avoid) = 0;
    // Takes a leaf call back whose frame has not begun to be written. False: it may have run.
    virtual bool withdraw(Handle link, Handle call) = 0;
    // Tells the node that a shard request is given up.
    virtual void give_up(Handle link, const QueryText& query, std::uint32_t shard, std::uint8_t leg) = 0;
    // The leaf call has got its outcome and takes no place on the link any more.
    virtual void done(Handle link, Handle call) = 0;
    // The links to a node take no further calls and close once they carry none. With `leaving`, what is not
    // yet written is lost as well, so that nothing new reaches a node that drains or is gone.
    virtual void retire(std::uint32_t node, bool leaving) = 0;
};

class NodeConnectionPool final : public AttemptSender, public DueHandler {
  public:
    // At most so many connections at a time.
    NodeConnectionPool(boost::asio::io_context& io, EventClock& time, const ConnectionConfig& config,
                       ConnectionObserver& owner, std::size_t most);

    Handle send(std::uint32_t node, const std::string& address, std::vector<AttemptMessage> pieces,
                std::span<const Handle> avoid) override;
    bool withdraw(Handle link, Handle call) override;
    void give_up(Handle link, const QueryText& query, std::uint32_t shard, std::uint8_t leg) override;
    void done(Handle link, Handle call) override;
    void retire(std::uint32_t node, bool leaving) override;
    void close_all();

    std::size_t open() const { return opened_; }
    std::size_t waiting() const { return waiting_.size(); }
    void on_due(Handle link, std::uint64_t what) override;

  private:
    struct Outgoing {
        std::uint64_t number = 0;  // of frames with calls; 0 for others
        std::vector<AttemptMessage> pieces;
        std::string bytes;  // of a frame without calls
    };
    struct InFlightAttempt {
        Handle call;
        std::uint64_t frame = 0;
        std::uint32_t mark = 0;  // of the shard request's id
    };
    struct Link {
        explicit Link(boost::asio::io_context& io) : socket(io) {}

        boost::asio::ip::tcp::socket socket;
        std::uint32_t node = 0;
        std::string address;
        // Frames in two phases have links of their own: a node that doesn't speak them may close one on them,
        // and no other call is to be lost with it. Heard: an answer in two phases has come on it.
        bool phased = false, heard = false;
        bool up = false, retired = false, closed = false, writing = false;
        int operations = 0;  // under way on the socket
        std::deque<Outgoing> queue;
        std::vector<InFlightAttempt> carried;
        std::vector<std::pair<std::uint64_t, std::size_t>> ends;  // frames being written, and where they end
        std::deque<std::string> heads;                            // their bytes, beside the queries' texts
        std::vector<std::shared_ptr<const QueryText>> texts;
        // Calls were written, or are still out, and nothing has come since then; 0 for none.
        Nanos unheard_since = 0, probed_at = 0;
        std::string in;
        std::array<char, 8192> buffer;
        std::vector<std::uint32_t> past;  // marks of shard requests whose calls have ended, of the last ones
        std::size_t past_at = 0;
        // While it is made: its time-out; while idle: its end; while a frame is in part there: that one's.
        TimerQueue::Ticket due = TimerQueue::none;
    };

    Handle add_link(std::uint32_t node, std::string address, bool phased);
    void open_waiting();
    bool open(Handle h);
    std::vector<Handle> of_node(std::uint32_t node) const;
    bool room(const Link& link) const;
    bool silent(const Link& link) const;
    bool probe(Handle h);
    void end_silent(std::uint32_t node);
    void on_connected(Handle h, const boost::system::error_code& ec);
    void read(Handle h);
    void write(Handle h);
    void post(Handle h, char letter, std::string_view rest);
    bool take_frames(Handle h);
    std::optional<bool> take_answer(Handle h, const Frame& frame);
    bool refused_phases(const Link& link);
    bool written(const Link& link, const InFlightAttempt& carried,
                 std::size_t bytes_written = SIZE_MAX) const;
    void spoil(Handle h, bool told);
    template <typename Which>
    void lose_unwritten(Link& link, Which which);
    void idle_if_empty(Handle h);
    void close(Handle h, Outcome outcome, std::size_t bytes_written = SIZE_MAX);
    void settle(Handle h);

    boost::asio::io_context& io_;
    EventClock& time_;
    const Nanos connect_timeout_, idle_;
    const std::size_t calls_a_link_, most_;
    const bool probing_;
    ConnectionObserver& owner_;
    SlotMap<Link> links_;
    std::unordered_map<std::uint32_t, std::vector<Handle>> of_node_;  // of nodes that have any
    std::deque<Handle> waiting_;  // for a descriptor; each carries a leaf call
    std::size_t opened_ = 0;      // sockets
    bool opening_ = false;
    std::uint64_t frames_ = 0;
};

}  // namespace tealcart
