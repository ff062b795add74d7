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
        char timestamp[32];
        std::snprintf(timestamp, sizeof timestamp, "%9.3f ",
                      std::chrono::duration<double>(events[i].at - started_at).count());
        out.append(timestamp).append(events[i].source).append(": ").append(events[i].message).append("\n");
    }
    return out;
}

Process::Process(boost::asio::io_context& io, EventLog& event_log, std::string name,
                 std::vector<std::string> command, std::vector<std::string> environment)
    : event_log_(event_log), name_(std::move(name)), buffer_(std::make_shared<std::array<char, 4096>>()) {
    int pipe_ends[2];
    if (::pipe2(pipe_ends, O_CLOEXEC) != 0)
        throw std::runtime_error("cannot create the pipe for the output of " + name_);
    std::vector<char*> arguments, variables;
    for (std::string& argument : command) arguments.push_back(argument.data());
    arguments.push_back(nullptr);
    for (std::string& variable : environment) variables.push_back(variable.data());
    for (char** variable = environ; *variable != nullptr; ++variable)
        if (std::strncmp(*variable, "TEALCART_", 9) != 0 && std::strncmp(*variable, "ROUTER_", 7) != 0)
            variables.push_back(*variable);
    variables.push_back(nullptr);
    posix_spawn_file_actions_t files;
    posix_spawn_file_actions_init(&files);
    posix_spawn_file_actions_adddup2(&files, pipe_ends[1], 1);
    posix_spawn_file_actions_adddup2(&files, pipe_ends[1], 2);
    posix_spawn_file_actions_addclosefrom_np(&files, 3);  // the child must not inherit the test's sockets
    const int spawn_error =
        ::posix_spawn(&pid_, arguments[0], &files, nullptr, arguments.data(), variables.data());
    posix_spawn_file_actions_destroy(&files);
    ::close(pipe_ends[1]);
    if (spawn_error != 0)
        throw std::runtime_error("cannot start " + command[0] + ": " + std::strerror(spawn_error));
    output_ = std::make_shared<boost::asio::posix::stream_descriptor>(io, pipe_ends[0]);
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
        [this, alive = alive_, output = output_, bytes = buffer_](const error_code& ec, std::size_t length) {
            if (!*alive || ec == boost::asio::error::operation_aborted) return;
            partial_line_.append(bytes->data(), length);
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

// A caller's connection and the one that the proxy opened to the process for it.
struct FaultProxy::ProxiedConnection {
    ProxiedConnection(boost::asio::io_context& io, tcp::socket from)
        : sockets{std::move(from), tcp::socket(io)} {}

    std::array<tcp::socket, 2> sockets;  // the caller, and the process
    std::array<std::array<char, 16384>, 2> buffers;
    std::string first_bytes, caller;
    bool lost_bytes = false, closed = false;
};

namespace {

tcp::endpoint endpoint_of(const std::string& text) {
    const auto address = parse_host_port(text);
    if (!address) throw std::runtime_error("'" + text + "' is not an address; expected HOST:PORT");
    return {boost::asio::ip::make_address(address->host), address->port};
}

}  // namespace

FaultProxy::FaultProxy(boost::asio::io_context& io, const std::string& listen, const std::string& target,
                       IdentifyCaller identify_caller)
    : io_(io), acceptor_(io, endpoint_of(listen)), target_(endpoint_of(target)),
      identify_caller_(std::move(identify_caller)) {
    accept();
}

FaultProxy::~FaultProxy() { reset_all(); }

void FaultProxy::accept() {
    acceptor_.async_accept([this](const error_code& ec, tcp::socket socket) {
        if (ec == boost::asio::error::operation_aborted) return;
        if (!ec) {
            auto connection = std::make_shared<ProxiedConnection>(io_, std::move(socket));
            std::erase_if(connections_, [](const auto& candidate) { return candidate.expired(); });
            connections_.push_back(connection);
            connection->sockets[1].async_connect(target_, [this, connection](const error_code& failed) {
                if (failed || connection->closed) return close(*connection);
                error_code ignored;
                for (tcp::socket& end_socket : connection->sockets)
                    end_socket.set_option(tcp::no_delay(true), ignored);
                pump(connection, true);
                pump(connection, false);
            });
        }
        accept();
    });
}

bool FaultProxy::drops(ProxiedConnection& connection, bool to_process) const {
    for (const std::string& caller : {connection.caller, std::string()}) {
        const auto it = faults_.find(caller);
        if (it != faults_.end() && (to_process ? it->second.to_process : it->second.from_process))
            return true;
    }
    return false;
}

void FaultProxy::pump(const std::shared_ptr<ProxiedConnection>& connection, bool to_process) {
    tcp::socket& source = connection->sockets[to_process ? 0 : 1];
    source.async_read_some(
        boost::asio::buffer(connection->buffers[to_process ? 0 : 1]),
        [this, connection, to_process](const error_code& ec, std::size_t length) {
            if (ec || connection->closed) return close(*connection);
            if (to_process && connection->caller.empty()) {
                connection->first_bytes.append(connection->buffers[0].data(), length);
                connection->caller = identify_caller_(connection->first_bytes);
            }
            if (drops(*connection, to_process)) {
                connection->lost_bytes = true;  // later bytes would not fit the ones before the gap
                return pump(connection, to_process);
            }
            if (connection->lost_bytes) return pump(connection, to_process);
            boost::asio::async_write(
                connection->sockets[to_process ? 1 : 0],
                boost::asio::buffer(connection->buffers[to_process ? 0 : 1].data(), length),
                [this, connection, to_process](const error_code& failed, std::size_t) {
                    if (failed) return close(*connection);
                    pump(connection, to_process);
                });
        });
}

void FaultProxy::close(ProxiedConnection& connection) {
    if (std::exchange(connection.closed, true)) return;
    error_code ec;
    for (tcp::socket& end_socket : connection.sockets) end_socket.close(ec);
}

void FaultProxy::heal() {
    faults_.clear();
    for (const auto& weak_connection : connections_)
        if (const auto connection = weak_connection.lock(); connection && connection->lost_bytes)
            close(*connection);
}

void FaultProxy::reset_all() {
    for (const auto& weak_connection : connections_)
        if (const auto connection = weak_connection.lock()) close(*connection);
}

std::string caller_name_in_body(const std::string& first_bytes) {
    const std::string_view key =
        first_bytes.rfind("POST /fleet/relay ", 0) == 0 ? "\"relay\":\"" : "\"name\":\"";
    const auto position = first_bytes.find(key);
    const auto end = position == first_bytes.npos ? position : first_bytes.find('"', position + key.size());
    return end == first_bytes.npos ? std::string()
                                   : first_bytes.substr(position + key.size(), end - position - key.size());
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
    if (::mkdtemp(name.data()) == nullptr)
        throw std::runtime_error("cannot create a temporary directory " + name);
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
