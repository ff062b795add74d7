// One node of the replicated log: libraft on its libuv backend, run inside an io_context. The log's entries
// are bytes, applied to a state machine in the one order that all nodes agree on.
//
// libuv's loop has no thread of its own: its backend is one descriptor, which the io_context waits on, and
// `run_ready_events` lets the loop do what is ready. So a manager is one thread, as the query router is.
#pragma once

#include <uv.h>

extern "C" {  // the library's headers don't say so themselves
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

struct RaftServer {
    std::uint64_t id = 0;
    std::string address;  // where the others reach it
};

// What the log's entries are applied to. Throws std::runtime_error on what it can't read: the node then ends.
class StateMachine {
  public:
    virtual ~StateMachine() = default;
    virtual void apply(const std::uint8_t* bytes, std::size_t size) = 0;
    virtual std::vector<std::uint8_t> save() const = 0;
    virtual void load(const std::vector<std::uint8_t>& bytes) = 0;
};

struct RaftConfig {
    std::uint64_t id = 0;
    std::string address, bind, data_directory;  // bind: where it listens, if that is another address
    Nanos election = 600'000'000;
};

class RaftNode {
  public:
    // Throws std::runtime_error, in one line, where the directory can't be used or holds what can't be read.
    RaftNode(boost::asio::io_context& io, const RaftConfig& config, StateMachine& machine);
    ~RaftNode();

    // An empty data directory becomes one of these servers.
    static void bootstrap(const RaftConfig& config, const std::vector<RaftServer>& servers);

    void start();
    // To be called after each turn of the io_context, and after as long as it says at the latest. Throws
    // std::runtime_error once the node can't go on.
    Nanos run_ready_events();
    // Ends what is out; the io_context is run meanwhile.
    void close();

    // Called once: true after the entry was applied here, false where it may or may not be committed later.
    using ProposalCallback = std::function<void(bool applied)>;
    // False, and `done` is never called, where this node does not lead.
    bool propose(const std::vector<std::uint8_t>& bytes, ProposalCallback done);
    bool leads() const;
    std::uint64_t leader() const;  // 0: none is known
    std::uint64_t applied() const;
    std::vector<RaftServer> servers() const;
    // Called once with why the change failed, or empty. One change at a time.
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
    std::string failure_;                         // what ended it
    decltype(raft_io::append) append_ = nullptr;  // the library's
    std::unordered_map<raft_io_append*, raft_io_append_cb> appending_;
    bool started_ = false, closed_ = false, raft_closed_ = false;
    std::unique_ptr<boost::asio::posix::stream_descriptor> backend_;
    bool wait_pending_ = false;
};

}  // namespace tealcart::fleet_manager
