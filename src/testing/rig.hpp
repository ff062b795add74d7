// Helpers that run the programs as processes on loopback, with faults between them: processes are started,
// killed, stopped and restarted, and their connections pass through proxies that drop or reset them. Tests
// wait for events and never for a time alone. Only processes that were started here are ended.
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

// The events of a test in order of time, to be printed when a check fails.
struct EventLog {
    // One line of the log.
    struct Event {
        TimePoint at;
        std::string source, message;
    };
    std::vector<Event> events;
    TimePoint started_at = std::chrono::steady_clock::now();

    void record(const std::string& source, const std::string& message);
    // The last `max_events` events as lines.
    std::string text(std::size_t max_events = 200) const;
};

// A child process whose output lines are recorded. The destructor kills it.
class Process {
  public:
    Process(boost::asio::io_context& io, EventLog& event_log, std::string name,
            std::vector<std::string> command, std::vector<std::string> environment = {});
    ~Process();
    Process(const Process&) = delete;

    void signal(int number);
    // Whether the process has ended. Then `status` is its exit status, or 1000 plus the signal that ended it.
    bool ended();
    int status() const { return status_; }
    // Whether a line of the output contains the text.
    bool has_printed(const std::string& text) const;
    const std::vector<std::string>& lines() const { return lines_; }
    pid_t pid() const { return pid_; }

  private:
    void read();

    EventLog& event_log_;
    const std::string name_;
    pid_t pid_ = -1;
    int status_ = -1;
    bool ended_ = false;
    std::shared_ptr<boost::asio::posix::stream_descriptor> output_;
    std::shared_ptr<std::array<char, 4096>> buffer_;
    // Outlives the object: a read handler that runs after the destructor must not use the object.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    std::string partial_line_;
    std::vector<std::string> lines_;
};

// A TCP proxy in front of one process, which can drop or reset connections of chosen callers.
// `identify_caller` derives the caller from the first bytes of a connection; it returns an empty text until
// there are enough of them.
class FaultProxy {
  public:
    using IdentifyCaller = std::function<std::string(const std::string& first_bytes)>;
    // The direction of dropped bytes: to the process, from the process, or both.
    struct Fault {
        bool to_process = false, from_process = false;
    };

    FaultProxy(boost::asio::io_context& io, const std::string& listen, const std::string& target,
               IdentifyCaller identify_caller);
    ~FaultProxy();

    // Drops bytes of the connections of this caller; "" for all callers.
    void cut(const std::string& caller, Fault fault) { faults_[caller] = fault; }
    // Removes all faults, and resets connections that have lost bytes.
    void heal();
    void reset_all();

  private:
    struct ProxiedConnection;

    void accept();
    void pump(const std::shared_ptr<ProxiedConnection>& connection, bool to_process);
    bool drops(ProxiedConnection& connection, bool to_process) const;
    static void close(ProxiedConnection& connection);

    boost::asio::io_context& io_;
    boost::asio::ip::tcp::acceptor acceptor_;
    const boost::asio::ip::tcp::endpoint target_;
    const IdentifyCaller identify_caller_;
    std::map<std::string, Fault> faults_;
    std::vector<std::weak_ptr<ProxiedConnection>> connections_;
};

// Identify callers for FaultProxy: by the member's or relay's name in an HTTP call to a fleet manager, and by
// the fleet manager's id in the handshake of the replicated log.
std::string caller_name_in_body(const std::string& first_bytes);
std::string sender_id_in_handshake(const std::string& first_bytes);

// Returns `count` ports that are free at present and were not returned before. They are below the range that
// Linux assigns to outgoing connections, so that no connection takes one before the process that is to listen
// on it starts. Throws std::runtime_error if there are not enough.
std::vector<std::uint16_t> free_ports(std::size_t count);

// A temporary directory that the destructor removes.
class TemporaryDirectory {
  public:
    TemporaryDirectory();
    ~TemporaryDirectory();
    std::string path(const std::string& name) const { return path_ + "/" + name; }
    // Writes a file and returns its path.
    std::string write(const std::string& name, const std::string& text) const;

  private:
    std::string path_;
};

}  // namespace tealcart::testing
