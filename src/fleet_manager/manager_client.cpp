#include "fleet_manager/manager_client.hpp"

#include <algorithm>
#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <memory>
#include <thread>

#include "wire/http.hpp"
#include "wire/member_messages.hpp"

namespace tealcart::fleet_manager {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr std::size_t max_answer = 64 * 1024 * 1024;  // bytes
constexpr milliseconds attempt_timeout{1500}, retry_pause{50};

// One request and its answer on one connection.
struct Exchange {
    explicit Exchange(boost::asio::io_context& io) : socket(io), reader(max_answer) {}

    tcp::socket socket;
    ResponseReader reader;
    std::string out, in;
    std::array<char, 16384> buffer;
    Reply reply;
    bool ended = false;
};
using ExchangePtr = std::shared_ptr<Exchange>;

void read_answer(const ExchangePtr& exchange) {
    const auto on_read = [exchange](const error_code& ec, std::size_t size) {
        exchange->in.append(exchange->buffer.data(), size);
        const ParseStatus reading = ec ? ParseStatus::malformed : exchange->reader.feed(exchange->in);
        if (reading == ParseStatus::incomplete) return read_answer(exchange);
        if (reading == ParseStatus::complete)
            exchange->reply = {exchange->reader.status(), exchange->reader.body()};
        exchange->ended = true;
    };
    exchange->socket.async_read_some(boost::asio::buffer(exchange->buffer), on_read);
}

void write_request(const ExchangePtr& exchange) {
    boost::asio::async_write(exchange->socket, boost::asio::buffer(exchange->out),
                             [exchange](const error_code& ec, std::size_t) {
                                 if (ec) return void(exchange->ended = true);
                                 read_answer(exchange);
                             });
}

std::string request_of(const std::string& host, const std::string& path, const std::string& body) {
    if (body.empty()) return write_get_request(host, path);
    return "POST " + path + " HTTP/1.1\r\nHost: " + host +
           "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Any other status means that this fleet manager cannot serve the request now; a retry may succeed.
bool is_final(int status) { return status == 200 || (status >= 400 && status < 410); }

}  // namespace

Reply query_manager(boost::asio::io_context& io, const HostPort& address, const std::string& path,
                    const std::string& body, milliseconds timeout) {
    const auto deadline = Clock::now() + timeout;
    error_code ec;
    const auto host = boost::asio::ip::make_address(address.host, ec);
    if (ec) return {};
    const auto exchange = std::make_shared<Exchange>(io);
    exchange->out = request_of(address.host, path, body);
    exchange->socket.async_connect({host, address.port}, [exchange](const error_code& failed) {
        if (failed) return void(exchange->ended = true);
        write_request(exchange);
    });
    while (!exchange->ended && Clock::now() < deadline) {
        if (io.stopped()) io.restart();
        io.run_one_until(deadline);
    }
    exchange->socket.close(ec);
    return exchange->reply;
}

Reply query_managers(const std::vector<HostPort>& managers, const std::string& path, const std::string& body,
                     milliseconds timeout) {
    const auto deadline = Clock::now() + timeout;
    boost::asio::io_context io(1);
    Reply last;
    std::optional<HostPort> leader;  // as a follower named it; it may not be among `managers`
    for (std::size_t next = 0; Clock::now() < deadline;) {
        const auto left = std::chrono::duration_cast<milliseconds>(deadline - Clock::now());
        const HostPort address = leader ? *leader : managers[next];
        if (!leader) next = (next + 1) % managers.size();
        leader.reset();
        const Reply reply = query_manager(io, address, path, body, std::min(left, attempt_timeout));
        if (is_final(reply.status)) return reply;
        if (reply.status != 0) last = reply;
        if (reply.status == 421)
            if (const auto named = read_not_leader(reply.body)) leader = parse_host_port(*named);
        if (!leader) std::this_thread::sleep_for(retry_pause);
    }
    return {0, last.body};
}

}  // namespace tealcart::fleet_manager
