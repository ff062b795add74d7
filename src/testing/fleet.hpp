// A scripted fleet on loopback: data nodes and discovery, run in the caller's io_context. For tests,
// measurements and manual trials.
#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "testing/script.hpp"
#include "wire/http.hpp"
#include "wire/phase_frames.hpp"

namespace tealcart::testing {

// An accepted or outgoing connection. It reads as long as `read_handler` returns true; bytes to send are
// queued.
class Connection : public std::enable_shared_from_this<Connection> {
  public:
    using ReadHandler = std::function<bool(Connection&)>;
    using Socket = boost::asio::ip::tcp::socket;

    Connection(Socket connected, ReadHandler read_handler)
        : socket(std::move(connected)), read_handler_(std::move(read_handler)) {}

    void read();
    void send(std::string bytes);
    void close(bool reset);

    Socket socket;
    std::string received;  // bytes that are not handled yet
    bool open = true;
    bool reads = true;             // cleared by a side that reads nothing more
    std::function<void()> on_end;  // called once either side has closed it

  private:
    void write();

    ReadHandler read_handler_;
    std::array<char, 16384> buffer_;
    std::deque<std::string> outgoing_;
    bool writing_ = false;
};

// Accepts connections on loopback; `make_handler` returns the function that handles the bytes of a new
// connection.
class LoopbackListener {
  public:
    LoopbackListener(boost::asio::io_context& io, std::uint16_t port,
                     std::function<Connection::ReadHandler()> make_handler);

    std::uint16_t port() const { return acceptor_.local_endpoint().port(); }
    std::string address() const { return "127.0.0.1:" + std::to_string(port()); }
    // Stops listening and closes all accepted connections.
    void close(bool reset);
    bool is_open() const { return acceptor_.is_open(); }

  private:
    void accept();

    boost::asio::ip::tcp::acceptor acceptor_;
    std::function<Connection::ReadHandler()> make_handler_;
    std::vector<std::weak_ptr<Connection>> connections_;
};

// What a data node has done. Each answered request costs one look-up, and each row that is returned one
// record.
struct WorkCounts {
    std::uint64_t summaries = 0, rows = 0, calls = 0;  // requests P, F and R
    std::uint64_t lookups = 0, records = 0, cancellations = 0;
    std::uint64_t bytes_in = 0, bytes_out = 0;

    std::uint64_t units() const { return lookups + records; }
};

// A data node that answers from the script's contents and behaves as the script says.
class DataNode {
  public:
    DataNode(boost::asio::io_context& io, Script& script, NodeScript& node_script);

    std::string address() const { return listener_.address(); }
    void crash() { listener_.close(true); }

    WorkCounts work;
    std::function<void(char frame_type, std::uint32_t shard)> on_request;  // called before the answer

  private:
    bool handle_bytes(Connection& connection);
    bool serve_shard_requests(Connection& connection, std::string_view rest);
    bool serve_phase_requests(Connection& connection, char frame_type, std::string_view rest);
    void answer_after(Nanos delay, Connection& connection, std::string bytes);
    SearchCriteria criteria_in(std::string_view text) const;

    boost::asio::io_context& io_;
    Script& script_;
    NodeScript& node_script_;
    LoopbackListener listener_;
};

// Discovery's endpoint list, which it sends to all watches when it changes.
class Discovery {
  public:
    Discovery(boost::asio::io_context& io, std::uint16_t port);

    std::string address() const { return listener_.address(); }
    // Publishes a new list; the entries are separated by commas.
    void publish(std::string entries);

  private:
    bool handle_bytes(Connection& connection, RequestReader& reader);
    void answer(Connection& connection);

    std::string entries_;
    std::uint64_t generation_ = 1;
    std::set<std::shared_ptr<Connection>> watching_;
    std::set<const Connection*> answered_;
    LoopbackListener listener_;
};

// All data nodes and discovery. The script's changes are applied at their times after `start`, or by `apply`.
class Fleet {
  public:
    Fleet(boost::asio::io_context& io, Script script);

    void start();
    void apply(const Change& change);
    // Publishes the current endpoint list.
    void publish();
    Behaviour& behaviour(std::size_t node) { return script_.nodes[node].behaviour; }
    // Returns the entries of the endpoint list, separated by commas.
    std::string entries() const;
    WorkCounts work() const;

    Script& script() { return script_; }
    Discovery discovery;
    std::deque<DataNode> nodes;

  private:
    void schedule_next_change();

    Script script_;
    boost::asio::steady_timer timer_;
    std::chrono::steady_clock::time_point began_;
    std::size_t next_change_ = 0;
};

}  // namespace tealcart::testing
