// One node of the replicated log: libraft with its libuv backend, run inside an io_context. The entries are
// bytes, applied to a state machine in the order that all nodes agree on.
//
// libuv's loop has no thread of its own: the io_context waits on the loop's backend descriptor, and
// `run_ready_events` runs the loop's ready events. So a fleet manager has one thread, like a query router.
#pragma once

#include <uv.h>

extern "C" {  // libraft's headers do not declare C linkage themselves
#include <raft.h>
#include <raft/uv.h>
}

#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "router/query_router.hpp"

namespace tealcart::fleet_manager {

// A server of the group.
struct RaftServer {
    std::uint64_t id = 0;
    std::string address;  // where the other servers reach it
};

// Applies the entries of the log. Unreadable bytes throw std::runtime_error, which ends the node.
class StateMachine {
  public:
    virtual ~StateMachine() = default;
    virtual void apply(const std::uint8_t* bytes, std::size_t size) = 0;
    virtual std::vector<std::uint8_t> save() const = 0;
    virtual void load(const std::vector<std::uint8_t>& bytes) = 0;
};

// The settings of one node.
struct RaftConfig {
    std::uint64_t id = 0;
    std::string address, bind, data_directory;  // bind: where it listens if not at `address`
    Nanos election = 600'000'000;
};

// A node that proposes entries while it leads, and applies all committed entries to its state machine.
class RaftNode {
  public:
    // Throws std::runtime_error with a one-line message if the data directory is unusable or unreadable.
    RaftNode(boost::asio::io_context& io, const RaftConfig& config, StateMachine& machine);
    ~RaftNode();

    // Initializes an empty data directory with a group of these servers.
    static void bootstrap(const RaftConfig& config, const std::vector<RaftServer>& servers);

    void start();
    // Runs the ready events of libuv's loop. To be called after each turn of the io_context, and again within
    // the returned time. Throws std::runtime_error when the node cannot continue.
    Nanos run_ready_events();
    // Ends pending proposals and closes the log.
    void close();

    // Called once: true after the entry was applied here, false if it may or may not be committed later.
    using ProposalCallback = std::function<void(bool applied)>;
    // Returns false, and never calls `done`, if this node does not lead.
    bool propose(const std::vector<std::uint8_t>& bytes, ProposalCallback done);
    bool leads() const;
    std::uint64_t leader() const;   // id of the leader; 0: unknown
    std::uint64_t applied() const;  // index of the last applied entry
    std::vector<RaftServer> servers() const;
    // Called once with the reason of a failure, or an empty text. Only one change may run at a time.
    using ChangeCallback = std::function<void(std::string error)>;
    void add(const RaftServer& server, ChangeCallback changed);
    void remove(std::uint64_t id, ChangeCallback changed);

  private:
    struct Proposal;
    struct Change;

    static int append(raft_io* io, raft_io_append* request, const raft_entry entries[], unsigned n,
                      raft_io_append_cb callback);
    void open(const RaftConfig& config);

    boost::asio::io_context& io_;
    StateMachine& machine_;
    uv_loop_t loop_;
    raft_uv_transport transport_{};
    raft_io raft_io_{};
    raft_fsm fsm_{};
    raft raft_{};
    std::string failure_;                         // why the node cannot continue; empty: it can
    decltype(raft_io::append) append_ = nullptr;  // libraft's own function
    std::unordered_map<raft_io_append*, raft_io_append_cb> appending_;
    bool started_ = false, closed_ = false, raft_closed_ = false;
    std::unique_ptr<boost::asio::posix::stream_descriptor> backend_;
    bool wait_pending_ = false;
};

}  // namespace tealcart::fleet_manager
