#include "testing/rig.hpp"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/asio/write.hpp>
#include <csignal>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <random>
#include <stdexcept>

#include "config/host_port.hpp"

extern char** environ;

namespace tealcart::testing {

using boost::asio::ip::tcp;
using boost::system::error_code;

void EventLog::record(const std::string& source, const std::string& message) {
    events.push_back({std::chrono::steady_clock::now(), source, message});
}

std::string EventLog::text(std::size_t max_events) const {
    std::string out;
    for (std::size_t i = events.size() > max_events ? events.size() - max_events : 0; i < events.size();
         ++i) {
        char at[32];
        std::snprintf(at, sizeof at, "%9.3f ",
                      std::chrono::duration<double>(events[i].at - started_at).count());
        out.append(at).append(events[i].source).append(": ").append(events[i].message).append("\n");
    }
    return out;
}

Process::Process(boost::asio::io_context& io, EventLog& event_log, std::string name,
                 std::vector<std::string> command, std::vector<std::string> environment)
    : event_log_(event_log), name_(std::move(name)), buffer_(std::make_shared<std::array<char, 4096>>()) {
    int ends[2];
    if (::pipe2(ends, O_CLOEXEC) != 0) throw std::runtime_error("cannot create a pipe");
    std::vector<char*> words, variables;
    for (std::string& w : command) words.push_back(w.data());
    words.push_back(nullptr);
    for (std::string& v : environment) variables.push_back(v.data());
    for (char** v = environ; *v != nullptr; ++v)
        if (std::strncmp(*v, "TEALCART_", 9) != 0 && std::strncmp(*v, "ROUTER_", 7) != 0)
            variables.push_back(*v);
    variables.push_back(nullptr);
    posix_spawn_file_actions_t files;
    posix_spawn_file_actions_init(&files);
    posix_spawn_file_actions_adddup2(&files, ends[1], 1);
    posix_spawn_file_actions_adddup2(&files, ends[1], 2);
    posix_spawn_file_actions_addclosefrom_np(&files, 3);  // the child must not inherit the test's sockets
    const int rv = ::posix_spawn(&pid_, words[0], &files, nullptr, words.data(), variables.data());
    posix_spawn_file_actions_destroy(&files);
    ::close(ends[1]);
    if (rv != 0) throw std::runtime_error("cannot start " + command[0] + ": " + std::strerror(rv));
    output_ = std::make_shared<boost::asio::posix::stream_descriptor>(io, ends[0]);
    event_log_.record(name_, "started");
    read();
}

Process::~Process() {
    if (!ended()) {
        signal(SIGKILL);
        ::waitpid(pid_, nullptr, 0);
    }
    *alive_ = false;
    error_code ec;
    output_->close(ec);
}

void Process::read() {
    output_->async_read_some(
        boost::asio::buffer(*buffer_),
        [this, alive = alive_, output = output_, bytes = buffer_](const error_code& ec, std::size_t n) {
            if (!*alive || ec == boost::asio::error::operation_aborted) return;
            partial_line_.append(bytes->data(), n);
            for (std::size_t end = 0; (end = partial_line_.find('\n')) != partial_line_.npos;
                 partial_line_.erase(0, end + 1)) {
                lines_.push_back(partial_line_.substr(0, end));
                event_log_.record(name_, lines_.back());
            }
            if (!ec) read();
        });
}

void Process::signal(int number) {
    if (ended()) return;
    event_log_.record(name_, std::string("gets SIG") + ::sigabbrev_np(number));
    ::kill(pid_, number);
}

bool Process::ended() {
    int status = 0;
    if (!ended_ && ::waitpid(pid_, &status, WNOHANG) == pid_) {
        ended_ = true;
        status_ = WIFEXITED(status) ? WEXITSTATUS(status) : 1000 + WTERMSIG(status);
        event_log_.record(name_, "ended with " + std::to_string(status_));
    }
    return ended_;
}

bool Process::has_printed(const std::string& text) const {
    for (const std::string& line : lines_)
        if (line.find(text) != line.npos) return true;
    return false;
}

struct FaultProxy::Connections {
    Connections(boost::asio::io_context& io, tcp::socket from) : sockets{std::move(from), tcp::socket(io)} {}

    std::array<tcp::socket, 2> sockets;  // the caller, and the process
    std::array<std::array<char, 16384>, 2> buffers;
    std::string first_bytes, caller;
    bool lost_bytes = false, closed = false;
};

namespace {

tcp::endpoint endpoint_of(const std::string& text) {
    const auto at = parse_host_port(text);
    if (!at) throw std::runtime_error("'" + text + "' is not an address with a port");
    return {boost::asio::ip::make_address(at->host), at->port};
}

}  // namespace

FaultProxy::FaultProxy(boost::asio::io_context& io, const std::string& listen, const std::string& target,
                       IdentifyCaller tag)
    : io_(io), acceptor_(io, endpoint_of(listen)), target_(endpoint_of(target)),
      identify_caller_(std::move(tag)) {
    accept();
}

FaultProxy::~FaultProxy() { reset_all(); }

void FaultProxy::accept() {
    acceptor_.async_accept([this](const error_code& ec, tcp::socket socket) {
        if (ec == boost::asio::error::operation_aborted) return;
        if (!ec) {
            auto pair = std::make_shared<Connections>(io_, std::move(socket));
            std::erase_if(pairs_, [](const auto& p) { return p.expired(); });
            pairs_.push_back(pair);
            pair->sockets[1].async_connect(target_, [this, pair](const error_code& failed) {
                if (failed || pair->closed) return close(*pair);
                error_code ignored;
                for (tcp::socket& s : pair->sockets) s.set_option(tcp::no_delay(true), ignored);
                pump(pair, true);
                pump(pair, false);
            });
        }
        accept();
    });
}

bool FaultProxy::drops(Connections& pair, bool to) const {
    for (const std::string& caller : {pair.caller, std::string()}) {
        const auto it = faults_.find(caller);
        if (it != faults_.end() && (to ? it->second.to : it->second.from)) return true;
    }
    return false;
}

void FaultProxy::pump(const std::shared_ptr<Connections>& pair, bool to) {
    tcp::socket& source = pair->sockets[to ? 0 : 1];
    source.async_read_some(
        boost::asio::buffer(pair->buffers[to ? 0 : 1]),
        [this, pair, to](const error_code& ec, std::size_t n) {
            if (ec || pair->closed) return close(*pair);
            if (to && pair->caller.empty()) {
                pair->first_bytes.append(pair->buffers[0].data(), n);
                pair->caller = identify_caller_(pair->first_bytes);
            }
            if (drops(*pair, to)) {
                pair->lost_bytes = true;  // later bytes would not fit the ones before the gap
                return pump(pair, to);
            }
            if (pair->lost_bytes) return pump(pair, to);
            boost::asio::async_write(pair->sockets[to ? 1 : 0],
                                     boost::asio::buffer(pair->buffers[to ? 0 : 1].data(), n),
                                     [this, pair, to](const error_code& failed, std::size_t) {
                                         if (failed) return close(*pair);
                                         pump(pair, to);
                                     });
        });
}

void FaultProxy::close(Connections& pair) {
    if (std::exchange(pair.closed, true)) return;
    error_code ec;
    for (tcp::socket& s : pair.sockets) s.close(ec);
}

void FaultProxy::heal() {
    faults_.clear();
    for (const auto& weak_pair : pairs_)
        if (const auto pair = weak_pair.lock(); pair && pair->lost_bytes) close(*pair);
}

void FaultProxy::reset_all() {
    for (const auto& weak_pair : pairs_)
        if (const auto pair = weak_pair.lock()) close(*pair);
}

std::string caller_name_in_body(const std::string& first_bytes) {
    const std::string_view key =
        first_bytes.rfind("POST /fleet/relay ", 0) == 0 ? "\"relay\":\"" : "\"name\":\"";
    const auto at = first_bytes.find(key);
    const auto end = at == first_bytes.npos ? at : first_bytes.find('"', at + key.size());
    return end == first_bytes.npos ? std::string()
                                   : first_bytes.substr(at + key.size(), end - at - key.size());
}

// The handshake begins with two little-endian numbers of eight bytes: the protocol version and the sender's
// id.
std::string sender_id_in_handshake(const std::string& first_bytes) {
    if (first_bytes.size() < 16) return {};
    std::uint64_t id = 0;
    for (int i = 7; i >= 0; --i)
        id = id << 8 | static_cast<unsigned char>(first_bytes[8 + static_cast<std::size_t>(i)]);
    return std::to_string(id);
}

std::vector<std::uint16_t> free_ports(std::size_t count) {
    constexpr std::uint32_t lowest_port = 12'000, highest_port = 32'000;
    constexpr std::uint32_t range = highest_port - lowest_port;
    // The search starts at a random port, so that processes that run at the same time rarely try the same
    // ones. It goes on from call to call, since an earlier call's ports may not be in use yet.
    static std::uint32_t next_offset = std::random_device()() % range;
    boost::asio::io_context io;
    std::vector<tcp::acceptor> reserved;
    std::vector<std::uint16_t> ports;
    for (std::uint32_t attempts = 0; ports.size() < count && attempts < range; ++attempts) {
        tcp::acceptor candidate(io);
        error_code ec;
        const auto port = static_cast<std::uint16_t>(lowest_port + next_offset++ % range);
        candidate.open(tcp::v4(), ec);
        if (!ec) candidate.bind({boost::asio::ip::address_v4::any(), port}, ec);
        if (ec) continue;
        reserved.push_back(std::move(candidate));
        ports.push_back(port);
    }
    if (ports.size() < count)
        throw std::runtime_error("only " + std::to_string(ports.size()) + " free ports found; expected " +
                                 std::to_string(count));
    return ports;
}

TemporaryDirectory::TemporaryDirectory() {
    std::string name = (std::filesystem::temp_directory_path() / "tealcart-XXXXXX").string();
    if (::mkdtemp(name.data()) == nullptr) throw std::runtime_error("cannot create a temporary directory");
    path_ = name;
}

TemporaryDirectory::~TemporaryDirectory() {
    std::error_code ec;
    std::filesystem::remove_all(path_, ec);
}

std::string TemporaryDirectory::write(const std::string& name, const std::string& text) const {
    std::ofstream(path(name)) << text;
    return path(name);
}

}  // namespace tealcart::testing
