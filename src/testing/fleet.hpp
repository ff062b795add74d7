// A scripted fleet on loopback: data nodes and discovery, in the caller's io_context. For tests, measurements
// and trying things out by hand.
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

// One connection. Reads on for as long as `take` can use what came in; what is sent is queued.
class Connection : public std::enable_shared_from_this<Connection> {
  public:
    using Take = std::function<bool(Connection&)>;
    using Socket = boost::asio::ip::tcp::socket;

    Connection(Socket s, Take take) : socket(std::move(s)), take_(std::move(take)) {}

    void read();
    void send(std::string bytes);
    void close(bool reset);

    Socket socket;
    std::string in;
    bool open = true;
    std::function<void()> on_end;  // once it is closed, by whichever side

  private:
    void write();

    Take take_;
    std::array<char, 16384> buffer_;
    std::deque<std::string> out_;
    bool writing_ = false;
};

// Accepts on loopback; `make` says what each connection does with its bytes.
class LoopbackListener {
  public:
    LoopbackListener(boost::asio::io_context& io, std::uint16_t port, std::function<Connection::Take()> make);

    std::uint16_t port() const { return acceptor_.local_endpoint().port(); }
    std::string address() const { return "127.0.0.1:" + std::to_string(port()); }
    // Closes it, and the connections it has taken with it.
    void close(bool reset);
    bool is_open() const { return acceptor_.is_open(); }

  private:
    void accept();

    boost::asio::ip::tcp::acceptor acceptor_;
    std::function<Connection::Take()> make_;
    std::vector<std::weak_ptr<Connection>> taken_;
};

// What a node has done. A look-up is what any question costs it, a record what each row that it hands out
// does.
struct WorkCounts {
    std::uint64_t summaries = 0, rows = 0, calls = 0;  // questions P, F and R
    std::uint64_t lookups = 0, records = 0, given_up = 0;
    std::uint64_t bytes_in = 0, bytes_out = 0;

    std::uint64_t units() const { return lookups + records; }
};

class DataNode {
  public:
    DataNode(boost::asio::io_context& io, Script& script, NodeScript& self);

    std::string address() const { return door_.address(); }
    void crash() { door_.close(true); }

    WorkCounts work;
    std::function<void(char letter, std::uint32_t shard)> on_question;  // before it is answered

  private:
    bool take(Connection& c);
    bool take_calls(Connection& c, std::string_view rest);
    bool take_questions(Connection& c, char letter, std::string_view rest);
    void answer_in(Nanos delay, Connection& c, std::string bytes);
    SearchCriteria find_in(std::string_view text) const;

    boost::asio::io_context& io_;
    Script& script_;
    NodeScript& self_;
    LoopbackListener door_;
};

class Discovery {
  public:
    Discovery(boost::asio::io_context& io, std::uint16_t port);

    std::string address() const { return door_.address(); }
    // Tells this list, entries separated by commas, to all that watch.
    void tell(std::string entries);

  private:
    bool take(Connection& c, RequestReader& reader);
    void answer(Connection& c);

    std::string entries_;
    std::uint64_t generation_ = 1;
    std::set<std::shared_ptr<Connection>> watching_;
    std::set<const Connection*> told_;
    LoopbackListener door_;
};

// All of it. The script's changes come at their times after `start`, or by hand.
class Fleet {
  public:
    Fleet(boost::asio::io_context& io, Script script);

    void start();
    void play(const Change& change);
    void tell();  // discovery, what holds now
    Behaviour& behaviour(std::size_t node) { return script_.nodes[node].behaviour; }
    std::string entries() const;
    WorkCounts work() const;

    Script& script() { return script_; }
    Discovery discovery;
    std::deque<DataNode> nodes;

  private:
    void next();

    Script script_;
    boost::asio::steady_timer timer_;
    std::chrono::steady_clock::time_point began_;
    std::size_t played_ = 0;
};

}  // namespace tealcart::testing
