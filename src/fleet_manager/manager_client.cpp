#include "fleet_manager/manager_client.hpp"

#include <algorithm>
#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <memory>
#include <thread>

#include "wire/http.hpp"
#include "wire/member_messages.hpp"

namespace tealcart::manager {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;
using Clock = std::chrono::steady_clock;

constexpr std::size_t max_answer = 64 * 1024 * 1024;
constexpr auto one_try = std::chrono::milliseconds(1500), pause = std::chrono::milliseconds(50);

struct Asking {
    explicit Asking(boost::asio::io_context& io) : socket(io), reader(max_answer) {}

    tcp::socket socket;
    AnswerReader reader;
    std::string out, in;
    std::array<char, 16384> buffer;
    Reply reply;
    bool ended = false;
};

void read(const std::shared_ptr<Asking>& a) {
    a->socket.async_read_some(boost::asio::buffer(a->buffer), [a](const error_code& ec, std::size_t n) {
        a->in.append(a->buffer.data(), n);
        const Reading reading = ec ? Reading::bad : a->reader.feed(a->in);
        if (reading == Reading::more) return read(a);
        if (reading == Reading::done) a->reply = {a->reader.status(), a->reader.body()};
        a->ended = true;
    });
}

}  // namespace

Reply query_manager(boost::asio::io_context& io, const HostPort& at, const std::string& path,
                    const std::string& body, std::chrono::milliseconds within) {
    const auto until = Clock::now() + within;
    const auto a = std::make_shared<Asking>(io);
    a->out = body.empty() ? write_get(at.host, path)
                          : "POST " + path + " HTTP/1.1\r\nHost: " + at.host +
                                "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    error_code ec;
    const auto host = boost::asio::ip::make_address(at.host, ec);
    if (ec) return {};
    a->socket.async_connect({host, at.port}, [a](const error_code& failed) {
        if (failed) return void(a->ended = true);
        boost::asio::async_write(a->socket, boost::asio::buffer(a->out),
                                 [a](const error_code& e, std::size_t) {
                                     if (e) return void(a->ended = true);
                                     read(a);
                                 });
    });
    while (!a->ended && Clock::now() < until) {
        if (io.stopped()) io.restart();
        io.run_one_until(until);
    }
    a->socket.close(ec);
    return a->reply;
}

Reply query_managers(const std::vector<HostPort>& managers, const std::string& path, const std::string& body,
                     std::chrono::milliseconds within) {
    const auto until = Clock::now() + within;
    boost::asio::io_context io(1);
    Reply last;
    std::optional<HostPort> leader;  // named by one that follows, in the list or not
    for (std::size_t at = 0; Clock::now() < until;) {
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(until - Clock::now());
        const HostPort to = leader ? *leader : managers[at];
        if (!leader) at = (at + 1) % managers.size();
        leader.reset();
        const Reply reply = query_manager(io, to, path, body, std::min(left, one_try));
        if (reply.status == 200 || (reply.status >= 400 && reply.status < 410)) return reply;
        if (reply.status != 0) last = reply;
        if (reply.status == 421)
            if (const auto named = read_not_leader(reply.body)) leader = parse_host_port(*named);
        if (!leader) std::this_thread::sleep_for(pause);
    }
    return {0, last.body};
}

}  // namespace tealcart::manager
