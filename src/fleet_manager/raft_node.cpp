#include "fleet_manager/raft_node.hpp"

#include <unistd.h>

#include <algorithm>
#include <cstring>
#include <new>
#include <span>
#include <stdexcept>

namespace tealcart::fleet_manager {
namespace {

constexpr Nanos millisecond = 1'000'000;
constexpr std::size_t segment_bytes = 1 << 20;                         // size of a log file
constexpr unsigned snapshot_threshold = 4096, trailing_entries = 512;  // log entries
constexpr unsigned connect_retry_ms = 100;
constexpr Nanos max_sleep = 50 * millisecond;

// libraft counts in words of eight bytes. An entry of any other length makes its segment look corrupt when it
// is read again, and shifts the entries after it in a message. So each entry is written with a length prefix
// and padded.
constexpr std::size_t word_bytes = 8;

raft_buffer buffer_of(const std::vector<std::uint8_t>& bytes) {
    const std::uint64_t size = bytes.size();
    const std::size_t padded_size = word_bytes + (bytes.size() + word_bytes - 1) / word_bytes * word_bytes;
    raft_buffer buffer{raft_malloc(padded_size), padded_size};
    if (buffer.base == nullptr) throw std::bad_alloc();
    std::memset(buffer.base, 0, padded_size);
    std::memcpy(buffer.base, &size, word_bytes);
    std::memcpy(static_cast<std::uint8_t*>(buffer.base) + word_bytes, bytes.data(), bytes.size());
    return buffer;
}

std::span<const std::uint8_t> bytes_of(const raft_buffer& buffer) {
    std::uint64_t size = 0;
    if (buffer.len >= word_bytes) std::memcpy(&size, buffer.base, word_bytes);
    if (buffer.len < word_bytes || size > buffer.len - word_bytes)
        throw std::runtime_error("an entry of the replicated log is truncated");
    return {static_cast<const std::uint8_t*>(buffer.base) + word_bytes, size};
}

[[noreturn]] void fail(const std::string& directory, const std::string& problem) {
    throw std::runtime_error("the data directory " + directory + ": " + problem);
}

}  // namespace

struct RaftNode::Proposal {
    struct raft_apply request {};
    ProposalCallback done;
};

struct RaftNode::Change {
    raft_change request{};
    RaftNode* node = nullptr;
    std::uint64_t promote = 0;  // id of an added server that becomes a voter next
    ChangeCallback changed;
};

RaftNode::RaftNode(boost::asio::io_context& io, const RaftConfig& config, StateMachine& machine)
    : io_(io), machine_(machine) {
    open(config);
}

// Callbacks of the C library must not throw, so their errors are stored until `run_ready_events` throws them.
void RaftNode::open(const RaftConfig& config) {
    if (const int result = uv_loop_init(&loop_); result != 0)
        throw std::runtime_error(std::string("cannot start the event loop of the replicated log: ") +
                                 uv_strerror(result));
    transport_.data = this;
    if (raft_uv_tcp_init(&transport_, &loop_) != 0) fail(config.data_directory, transport_.errmsg);
    if (!config.bind.empty() && raft_uv_tcp_set_bind_address(&transport_, config.bind.c_str()) != 0)
        fail(config.data_directory, "cannot listen at " + config.bind);
    if (const int result = raft_uv_init(&raft_io_, &loop_, config.data_directory.c_str(), &transport_);
        result != 0)
        fail(config.data_directory, raft_io_.errmsg[0] != 0 ? raft_io_.errmsg : raft_strerror(result));
    raft_uv_set_segment_size(&raft_io_, segment_bytes);
    // Unreadable files are an error and are not set aside: a fleet manager that forgot entries it had
    // acknowledged would break the consensus.
    raft_uv_set_auto_recovery(&raft_io_, false);
    raft_uv_set_connect_retry_delay(&raft_io_, connect_retry_ms);
    fsm_.version = 1;
    fsm_.data = this;
    fsm_.apply = [](raft_fsm* fsm, const raft_buffer* buffer, void**) {
        auto& self = *static_cast<RaftNode*>(fsm->data);
        try {
            const auto bytes = bytes_of(*buffer);
            if (self.failure_.empty()) self.machine_.apply(bytes.data(), bytes.size());
        } catch (const std::exception& e) {
            self.failure_ = e.what();
        }
        // Nothing is applied after an unreadable entry, as later entries would then apply to a different
        // state.
        return self.failure_.empty() ? 0 : RAFT_MALFORMED;
    };
    fsm_.snapshot = [](raft_fsm* fsm, raft_buffer* buffers[], unsigned* n) -> int {
        *buffers = static_cast<raft_buffer*>(raft_malloc(sizeof(raft_buffer)));
        if (*buffers == nullptr) return RAFT_NOMEM;
        (*buffers)[0] = buffer_of(static_cast<RaftNode*>(fsm->data)->machine_.save());
        *n = 1;
        return 0;
    };
    fsm_.restore = [](raft_fsm* fsm, raft_buffer* buffer) -> int {
        auto& self = *static_cast<RaftNode*>(fsm->data);
        try {
            const auto bytes = bytes_of(*buffer);
            self.machine_.load({bytes.begin(), bytes.end()});
        } catch (const std::exception& e) {
            self.failure_ = e.what();
            return RAFT_MALFORMED;
        }
        raft_free(buffer->base);
        return 0;
    };
    if (const int result = raft_init(&raft_, &raft_io_, &fsm_, config.id, config.address.c_str());
        result != 0)
        fail(config.data_directory,
             raft_errmsg(&raft_)[0] != 0 ? raft_errmsg(&raft_) : raft_strerror(result));
    raft_.data = this;
    append_ = std::exchange(raft_io_.append, append);
    raft_set_election_timeout(&raft_, static_cast<unsigned>(config.election / millisecond));
    raft_set_heartbeat_timeout(
        &raft_, static_cast<unsigned>(std::max<Nanos>(20, config.election / millisecond / 10)));
    raft_set_snapshot_threshold(&raft_, snapshot_threshold);
    raft_set_snapshot_trailing(&raft_, trailing_entries);
    raft_set_pre_vote(&raft_, true);
}

// Intercepts the result of each write to the log. With libraft alone, a node whose writes fail stays silently
// in the group and stores nothing, while the others count on it as one of three replicas.
int RaftNode::append(raft_io* io, raft_io_append* request, const raft_entry entries[], unsigned n,
                     raft_io_append_cb callback) {
    static std::unordered_map<raft_io_append*, RaftNode*> nodes;  // the node of each pending write
    auto& self = *static_cast<RaftNode*>(static_cast<raft*>(io->data)->data);
    static const auto fail = [](RaftNode& node, int status) {
        if (status != 0 && status != RAFT_CANCELED && node.failure_.empty())
            node.failure_ = std::string("cannot write the replicated log: ") + raft_strerror(status);
    };
    self.appending_[request] = callback;
    nodes[request] = &self;
    const int result = self.append_(io, request, entries, n, [](raft_io_append* ended, int status) {
        RaftNode& node = *nodes.at(ended);
        nodes.erase(ended);
        const auto it = node.appending_.find(ended);
        const raft_io_append_cb on_appended = it->second;
        node.appending_.erase(it);
        fail(node, status);
        on_appended(ended, status);
    });
    if (result != 0) {
        self.appending_.erase(request);
        nodes.erase(request);
        fail(self, result);
    }
    return result;
}

void RaftNode::bootstrap(const RaftConfig& config, const std::vector<RaftServer>& servers) {
    struct EmptyStateMachine final : StateMachine {
        void apply(const std::uint8_t*, std::size_t) override {}
        std::vector<std::uint8_t> save() const override { return {}; }
        void load(const std::vector<std::uint8_t>&) override {}
    } nothing;
    boost::asio::io_context io;
    RaftNode node(io, config, nothing);
    raft_configuration all;
    raft_configuration_init(&all);
    int result = 0;
    for (const RaftServer& server : servers)
        if (result == 0) result = raft_configuration_add(&all, server.id, server.address.c_str(), RAFT_VOTER);
    if (result == 0) result = raft_bootstrap(&node.raft_, &all);
    raft_configuration_close(&all);
    const std::string error = result == RAFT_CANTBOOTSTRAP
                                  ? "it contains a log already; expected an empty directory"
                                  : raft_strerror(result);
    node.close();
    if (result != 0) fail(config.data_directory, error);
}

RaftNode::~RaftNode() { close(); }

void RaftNode::start() {
    if (const int result = raft_start(&raft_); result != 0) {
        const std::string reason = !failure_.empty()             ? failure_
                                   : raft_errmsg(&raft_)[0] != 0 ? raft_errmsg(&raft_)
                                                                 : raft_strerror(result);
        throw std::runtime_error("cannot read the replicated log: " + reason);
    }
    started_ = true;
    backend_ = std::make_unique<boost::asio::posix::stream_descriptor>(io_, ::dup(uv_backend_fd(&loop_)));
    run_ready_events();
}

Nanos RaftNode::run_ready_events() {
    if (closed_) return max_sleep;
    uv_run(&loop_, UV_RUN_NOWAIT);
    if (!failure_.empty()) throw std::runtime_error(failure_);
    if (started_ && raft_state(&raft_) == RAFT_UNAVAILABLE)
        throw std::runtime_error(std::string("cannot write the replicated log: ") + raft_errmsg(&raft_));
    if (!std::exchange(wait_pending_, true))
        backend_->async_wait(boost::asio::posix::stream_descriptor::wait_read,
                             [this](const boost::system::error_code&) { wait_pending_ = false; });
    const int next = uv_backend_timeout(&loop_);
    return next < 0 ? max_sleep : std::min(max_sleep, next * millisecond);
}

void RaftNode::close() {
    if (std::exchange(closed_, true)) return;
    if (backend_) backend_->close();
    raft_close(&raft_, [](raft* r) { static_cast<RaftNode*>(r->data)->raft_closed_ = true; });
    while (!raft_closed_) uv_run(&loop_, UV_RUN_ONCE);
    raft_uv_close(&raft_io_);
    raft_uv_tcp_close(&transport_);
    // Handles that the transport closed may need further turns of the loop.
    for (int i = 0; i < 1000 && uv_loop_close(&loop_) == UV_EBUSY; ++i) uv_run(&loop_, UV_RUN_NOWAIT);
}

bool RaftNode::propose(const std::vector<std::uint8_t>& bytes, ProposalCallback done) {
    if (!leads()) return false;
    auto proposal = std::make_unique<Proposal>();
    proposal->done = std::move(done);
    proposal->request.data = proposal.get();
    raft_buffer buffer = buffer_of(bytes);
    const int result =
        raft_apply(&raft_, &proposal->request, &buffer, 1, [](struct raft_apply* request, int status, void*) {
            const std::unique_ptr<Proposal> ended(static_cast<Proposal*>(request->data));
            ended->done(status == 0);
        });
    if (result != 0) {
        raft_free(buffer.base);
        return false;
    }
    static_cast<void>(proposal.release());  // owned by the library until its callback
    return true;
}

bool RaftNode::leads() const { return started_ && !closed_ && raft_.state == RAFT_LEADER; }

std::uint64_t RaftNode::leader() const {
    raft_id id = 0;
    const char* address = nullptr;
    raft_leader(const_cast<raft*>(&raft_), &id, &address);
    return id;
}

std::uint64_t RaftNode::applied() const { return raft_.last_applied; }

std::vector<RaftServer> RaftNode::servers() const {
    std::vector<RaftServer> all;
    for (unsigned i = 0; i < raft_.configuration.n; ++i)
        all.push_back({raft_.configuration.servers[i].id, raft_.configuration.servers[i].address});
    return all;
}

void RaftNode::add(const RaftServer& server, ChangeCallback changed) {
    auto change = std::make_unique<Change>();
    change->node = this;
    change->promote = server.id;
    change->changed = std::move(changed);
    change->request.data = change.get();
    // The server first receives the log as a non-voter, and then becomes a voter.
    const int result = raft_add(
        &raft_, &change->request, server.id, server.address.c_str(), [](raft_change* request, int status) {
            std::unique_ptr<Change> added(static_cast<Change*>(request->data));
            if (status != 0) return added->changed(raft_strerror(status));
            const int next =
                raft_assign(&added->node->raft_, &added->request, added->promote, RAFT_VOTER,
                            [](raft_change* second, int ended) {
                                const std::unique_ptr<Change> done(static_cast<Change*>(second->data));
                                done->changed(ended == 0 ? "" : raft_strerror(ended));
                            });
            if (next != 0) return added->changed(raft_strerror(next));
            static_cast<void>(added.release());  // owned by the library until the second callback
        });
    if (result != 0) return change->changed(raft_strerror(result));
    static_cast<void>(change.release());  // owned by the library until its callback
}

void RaftNode::remove(std::uint64_t id, ChangeCallback changed) {
    auto change = std::make_unique<Change>();
    change->changed = std::move(changed);
    change->request.data = change.get();
    const int result = raft_remove(&raft_, &change->request, id, [](raft_change* request, int status) {
        const std::unique_ptr<Change> ended(static_cast<Change*>(request->data));
        ended->changed(status == 0 ? "" : raft_strerror(status));
    });
    if (result != 0) return change->changed(raft_strerror(result));
    static_cast<void>(change.release());  // owned by the library until its callback
}

}  // namespace tealcart::fleet_manager
