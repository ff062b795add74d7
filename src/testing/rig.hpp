// Several processes of the programs on loopback, with faults between them: they are started, killed, stopped
// for a time and started again, and what they say to each other goes through relays that cut, delay and reset
// it. Waits for events, never for a time alone. Ends only what it started.
#pragma once

#include <sys/types.h>

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace tealcart::testing {

using TimePoint = std::chrono::steady_clock::time_point;

// What happened when, in one order; written out where a check fails.
struct EventLog {
    struct Event {
        TimePoint at;
        std::string who, what;
    };
    std::vector<Event> events;
    TimePoint began = std::chrono::steady_clock::now();

    void record(const std::string& who, const std::string& what);
    std::string text(std::size_t last = 200) const;
};

class Process {
  public:
    Process(boost::asio::io_context& io, EventLog& event_log, std::string name,
            std::vector<std::string> command, std::vector<std::string> environment = {});
    ~Process();
    Process(const Process&) = delete;

    void signal(int which);
    // Has it ended? Its status then; a signal that ended it counts as 1000 and more.
    bool ended();
    int status() const { return status_; }
    bool has_printed(const std::string& words) const;
    const std::vector<std::string>& lines() const { return lines_; }
    pid_t pid() const { return pid_; }

  private:
    void read();

    EventLog& event_log_;
    const std::string name_;
    pid_t pid_ = -1;
    int status_ = -1;
    bool over_ = false;
    std::shared_ptr<boost::asio::posix::stream_descriptor> output_;
    std::shared_ptr<std::array<char, 4096>> buffer_;
    std::shared_ptr<bool> here_ =
        std::make_shared<bool>(true);  // what was read may still be on its way to it
    std::string partial_line_;
    std::vector<std::string> lines_;
};

// Between whoever connects and one process. Who that is, `tag` says of the connection's first bytes (empty:
// not known yet).
class FaultProxy {
  public:
    using IdentifyCaller = std::function<std::string(const std::string& first)>;
    struct Fault {
        bool to = false, from = false;  // what is said to the process, and by it, gets lost
    };

    FaultProxy(boost::asio::io_context& io, const std::string& listen, const std::string& target,
               IdentifyCaller tag);
    ~FaultProxy();

    // Of the connections of this tag; "" for all.
    void cut(const std::string& tag, Fault fault) { faults_[tag] = fault; }
    // What a cut has spoilt is reset.
    void heal();
    void reset_all();

  private:
    struct Connections;

    void accept();
    void pump(const std::shared_ptr<Connections>& pair, bool to);
    bool lost(Connections& pair, bool to) const;
    static void close(Connections& pair);

    boost::asio::io_context& io_;
    boost::asio::ip::tcp::acceptor acceptor_;
    const boost::asio::ip::tcp::endpoint target_;
    const IdentifyCaller identify_caller_;
    std::map<std::string, Fault> faults_;
    std::vector<std::weak_ptr<Connections>> pairs_;
};

// The member's or relay's name in a call to a manager; the manager's id in the log's handshake.
std::string caller_name_in_body(const std::string& first);
std::string sender_id_in_handshake(const std::string& first);

// So many ports that were free on loopback a moment ago.
std::vector<std::uint16_t> free_ports(std::size_t count);

// A folder that goes with its owner.
class TemporaryDirectory {
  public:
    TemporaryDirectory();
    ~TemporaryDirectory();
    std::string path(const std::string& name) const { return path_ + "/" + name; }
    std::string write(const std::string& name, const std::string& text) const;

  private:
    std::string path_;
};

}  // namespace tealcart::testing
