#include "testing/bad_clients.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <string_view>

namespace tealcart::testing {
namespace {

using Ms = std::chrono::milliseconds;

constexpr std::size_t body_bytes = 65'000, large_text_bytes = 60'000;
constexpr std::size_t slow_piece_bytes = 1'500, field_piece_bytes = 300;
constexpr std::size_t endless_bytes = 20'000'000;
constexpr std::size_t queries_at_once = 400;  // of a client that leaves
constexpr std::size_t unsound_requests_at_once = 200;
constexpr Ms piece_interval{60}, reconnect_pause{20}, poll_interval{5}, stay{100};

std::string request(const std::string& path, const std::string& fields, const std::string& body) {
    return "POST " + path + " HTTP/1.1\r\nHost: x\r\n" + fields +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Returns the interval between two pieces of what the client writes; 0 if it writes without pauses.
Ms interval_of(Misbehaviour misbehaviour) {
    const bool slow =
        misbehaviour == Misbehaviour::writes_slowly || misbehaviour == Misbehaviour::sends_many_fields;
    return slow ? piece_interval : Ms(0);
}

bool reads_answers(Misbehaviour misbehaviour) { return misbehaviour != Misbehaviour::reads_no_answers; }

// Returns whether the client sends the same again once it has sent everything.
bool repeats(Misbehaviour misbehaviour) {
    return misbehaviour == Misbehaviour::sends_nested_bodies ||
           misbehaviour == Misbehaviour::sends_unsound_requests;
}

}  // namespace

bool is_malformed(Misbehaviour misbehaviour) {
    switch (misbehaviour) {
        case Misbehaviour::stops_in_body:
        case Misbehaviour::writes_slowly:
        case Misbehaviour::sends_many_fields:
        case Misbehaviour::sends_endless_trailers:
        case Misbehaviour::sends_nested_bodies:
        case Misbehaviour::sends_unsound_requests:
            return true;
        default:
            return false;
    }
}

BadClients::BadClients(std::uint16_t port, Misbehaviour misbehaviour, std::size_t count, std::uint64_t seed)
    : port_(port), misbehaviour_(misbehaviour), random_(seed), clients_(count) {
    thread_ = std::thread([this] { run(); });
}

void BadClients::stop() {
    begin_stop();
    if (thread_.joinable()) thread_.join();
}

void BadClients::run() {
    std::vector<pollfd> polled;
    while (!stopping_) {
        const TimePoint now = std::chrono::steady_clock::now();
        polled.clear();
        for (Client& client : clients_) {
            if (client.socket < 0 && client.connect_at <= now) connect(client, now);
            const bool writes = client.sent < client.outgoing.size() && client.write_at <= now;
            const int events = (reads_answers(misbehaviour_) ? POLLIN : POLLRDHUP) | (writes ? POLLOUT : 0);
            polled.push_back({client.socket, static_cast<short>(events), 0});
        }
        ::poll(polled.data(), polled.size(), static_cast<int>(poll_interval.count()));
        const TimePoint woken = std::chrono::steady_clock::now();
        for (std::size_t i = 0; i < clients_.size(); ++i) {
            Client& client = clients_[i];
            if (client.socket < 0) continue;
            if ((polled[i].revents & POLLOUT) != 0) write(client, woken);
            if (client.socket >= 0 && (polled[i].revents & POLLIN) != 0) read_answers(client, woken);
            const bool ended = (polled[i].revents & (POLLERR | POLLHUP | POLLRDHUP)) != 0;
            if (client.socket >= 0 && (ended || client.close_at <= woken)) close(client, woken);
        }
    }
    for (Client& client : clients_) close(client, std::chrono::steady_clock::now());
    stopped_ = true;
}

void BadClients::connect(Client& client, TimePoint now) {
    client.socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (client.socket < 0) return;
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port_);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const int on = 1;
    ::setsockopt(client.socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const int failed = ::connect(client.socket, reinterpret_cast<const sockaddr*>(&address), sizeof address);
    client.write_at = now;
    client.close_at = TimePoint::max();
    if (failed != 0 && errno != EINPROGRESS) return close(client, now);
    prepare(client, now);
}

std::string BadClients::next_id() {
    return std::to_string(static_cast<int>(misbehaviour_)) + "-" + std::to_string(random_()) + "-" +
           std::to_string(++last_id_);
}

std::string BadClients::valid_query(Client& client, std::size_t text_bytes) {
    const std::string id = next_id();
    client.ids.push_back(id);
    const std::string shard = std::to_string(random_() % 12);
    return request("/search", "X-Request-Id: " + id + "\r\nX-Deadline-Ms: 2000\r\n",
                   R"({"segments":[{"segment":)" + shard + R"(,"boost":1.0}],"text":")" +
                       std::string(text_bytes, 't') + "\"}");
}

// Sets what the client sends next.
void BadClients::prepare(Client& client, TimePoint now) {
    client.sent = 0;
    client.outgoing.clear();
    client.ids.clear();
    const std::string fields = "X-Request-Id: " + next_id() + "\r\nX-Deadline-Ms: 2000\r\n";
    switch (misbehaviour_) {
        case Misbehaviour::idles:
            return;
        case Misbehaviour::stops_in_body:
        case Misbehaviour::writes_slowly:
            client.outgoing = request("/search", fields, std::string(body_bytes, ' '));
            client.outgoing.resize(client.outgoing.size() - body_bytes / 10);
            return;
        case Misbehaviour::sends_many_fields:
            client.outgoing = "POST /search HTTP/1.1\r\nHost: x\r\n" + fields;
            while (client.outgoing.size() < 8'100) client.outgoing += "a:\r\n";
            return;
        case Misbehaviour::sends_endless_trailers:
            client.outgoing =
                "POST /search HTTP/1.1\r\nHost: x\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n0\r\n";
            while (client.outgoing.size() < endless_bytes) client.outgoing += "a: b\r\n";
            return;
        case Misbehaviour::reads_no_answers:
            for (int i = 0; i < 4; ++i) client.outgoing += valid_query(client, large_text_bytes);
            return;
        case Misbehaviour::sends_nested_bodies:
            client.outgoing = request("/search", fields, std::string(body_bytes, '['));
            return;
        case Misbehaviour::sends_unsound_requests:
            for (std::size_t i = 0; i < unsound_requests_at_once; ++i) {
                const std::string name = next_id();
                const char* const path = i % 2 == 0 ? "/search" : "/";
                client.outgoing += request(path + (i % 2 == 0 ? std::string() : name),
                                           "X-Request-Id: " + name + "\r\nX-Deadline-Ms: 500\r\nX-" + name +
                                               ": 1\r\nIdempotency-Key: " + name + "\r\n",
                                           "{\"" + name + "\":1}");
            }
            return;
        case Misbehaviour::asks_for_large_values:
            client.outgoing = valid_query(client, large_text_bytes);
            client.close_at = now + stay;
            return;
        case Misbehaviour::leaves_with_unread:
            for (std::size_t i = 0; i < queries_at_once; ++i) client.outgoing += valid_query(client, 16);
            return;
    }
}

void BadClients::write(Client& client, TimePoint now) {
    const Ms interval = interval_of(misbehaviour_);
    std::size_t size = client.outgoing.size() - client.sent;
    if (interval > Ms(0))
        size = std::min(size,
                        misbehaviour_ == Misbehaviour::writes_slowly ? slow_piece_bytes : field_piece_bytes);
    const ssize_t written =
        ::send(client.socket, client.outgoing.data() + client.sent, size, MSG_NOSIGNAL | MSG_DONTWAIT);
    if (written < 0) return errno == EAGAIN ? void() : close(client, now);
    client.sent += static_cast<std::size_t>(written);
    bytes_sent_ += static_cast<std::uint64_t>(written);
    client.write_at = now + interval;
    if (client.sent < client.outgoing.size()) return;
    if (repeats(misbehaviour_)) return prepare(client, now);
    if (misbehaviour_ == Misbehaviour::leaves_with_unread) close(client, now);
}

void BadClients::read_answers(Client& client, TimePoint now) {
    std::array<char, 65536> buffer;
    const ssize_t size = ::recv(client.socket, buffer.data(), buffer.size(), MSG_DONTWAIT);
    if (size == 0 || (size < 0 && errno != EAGAIN)) return close(client, now);
    constexpr std::string_view status_line = "HTTP/1.1 ";
    std::string_view rest(buffer.data(), static_cast<std::size_t>(std::max<ssize_t>(size, 0)));
    for (std::size_t at = 0; (at = rest.find(status_line)) != rest.npos;) {
        rest.remove_prefix(at + status_line.size());
        int status = 0;
        std::from_chars(rest.data(), rest.data() + rest.size(), status);
        ++answers_[status];
    }
}

void BadClients::close(Client& client, TimePoint now) {
    if (client.socket >= 0) ::close(client.socket);
    client.socket = -1;
    client.connect_at = now + reconnect_pause;
    const TimePoint closed_at = std::chrono::steady_clock::now();
    if (misbehaviour_ == Misbehaviour::leaves_with_unread)
        for (std::string& id : client.ids) departures_.push_back({std::move(id), closed_at});
    client.ids.clear();
}

}  // namespace tealcart::testing
