#include "testing/hollow_discovery.hpp"

#include <array>
#include <boost/asio/write.hpp>
#include <charconv>

#include "testing/hollow.hpp"
#include "wire/http.hpp"

namespace tealcart::testing {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr std::size_t max_changes = 200'000;
constexpr Nanos ms = 1'000'000;

void append_node(std::string& out, const ListedEndpoint& n) {
    static const char* const lifecycle_names[] = {"removed", "draining", "up"};
    const char* lifecycle = n.lifecycle == Lifecycle::ready      ? lifecycle_names[2]
                            : n.lifecycle == Lifecycle::draining ? lifecycle_names[1]
                                                                 : lifecycle_names[0];
    out.append("{\"instanceId\":\"").append(n.id).append("\",\"hostPort\":\"").append(n.address);
    out.append("\",\"zone\":\"").append(n.zone).append("\",\"machineType\":\"").append(n.kind);
    out.append("\",\"cell\":").append(std::to_string(n.place)).append(",\"lifecycle\":\"").append(lifecycle);
    out.append("\",\"startedAtMs\":").append(std::to_string(n.started_at / ms)).append("}");
}

// The number that follows `name` in the query of a request target.
std::uint64_t number_in(std::string_view target, std::string_view name, std::uint64_t default_value) {
    const auto position = target.find(name);
    if (position == target.npos) return default_value;
    std::uint64_t value = default_value;
    const char* from = target.data() + position + name.size();
    std::from_chars(from, target.data() + target.size(), value);
    return value;
}

}  // namespace

struct HollowDiscovery::Connection {
    explicit Connection(tcp::socket s) : socket(std::move(s)), timer(socket.get_executor()) {}

    tcp::socket socket;
    boost::asio::steady_timer timer;
    std::array<char, 2048> buffer;
    std::string in;
    Text out;
    std::uint64_t known_generation = 0;
    bool full = false;
};

HollowDiscovery::HollowDiscovery(boost::asio::io_context& io, std::uint16_t port, std::uint32_t nodes,
                                 std::vector<std::string> addresses)
    : io_(io), acceptor_(io, {boost::asio::ip::address_v4::loopback(), port}) {
    for (std::uint32_t n = 0; n < nodes; ++n)
        nodes_.push_back(hollow_data_node(n, hollow_places(nodes), addresses[n % addresses.size()]));
    accept();
}

HollowDiscovery::~HollowDiscovery() {
    error_code ec;
    acceptor_.close(ec);
    for (const auto& [raw, connection] : waiting_) connection->timer.cancel();
}

void HollowDiscovery::accept() {
    acceptor_.async_accept([this](const error_code& ec, tcp::socket socket) {
        if (ec == boost::asio::error::operation_aborted) return;
        if (!ec) {
            error_code ignored;
            socket.set_option(tcp::no_delay(true), ignored);
            read(std::make_shared<Connection>(std::move(socket)));
        }
        accept();
    });
}

void HollowDiscovery::read(const std::shared_ptr<Connection>& connection) {
    connection->socket.async_read_some(
        boost::asio::buffer(connection->buffer), [this, connection](const error_code& ec, std::size_t n) {
            if (ec || (connection->in.append(connection->buffer.data(), n), !handle_request(connection))) {
                waiting_.erase(connection.get());
                connection->timer.cancel();
                error_code ignored;
                connection->socket.close(ignored);
                return;
            }
            read(connection);
        });
}

// A client sends its next request only after it has received the response.
bool HollowDiscovery::handle_request(const std::shared_ptr<Connection>& connection) {
    const auto end = connection->in.find("\r\n\r\n");
    if (end == connection->in.npos) return connection->in.size() < max_head_bytes;
    const std::string target = connection->in.substr(0, connection->in.find("\r\n"));
    connection->in.erase(0, end + 4);
    ++counts_.calls;
    connection->full = target.find("index=") == target.npos;
    connection->known_generation = number_in(target, "index=", 0);
    if (connection->full || connection->known_generation < generation_) {
        answer(connection);
        return true;
    }
    waiting_[connection.get()] = connection;
    connection->timer.expires_after(
        std::chrono::milliseconds(std::min<std::uint64_t>(number_in(target, "wait=", 0), 60'000)));
    connection->timer.async_wait([this, connection](const error_code& ec) {
        if (!ec && waiting_.erase(connection.get()) > 0) answer(connection);
    });
    return true;
}

HollowDiscovery::Text HollowDiscovery::text(std::uint64_t after, bool full) {
    full |= after < dropped_generation_ || after == 0;
    Text& cached = full ? full_text_ : deltas_[after];
    if (cached) return cached;
    std::string body = "{\"generation\":" + std::to_string(generation_) +
                       ",\"reset\":" + (full ? "true" : "false") + ",\"instances\":[";
    const std::size_t empty = body.size();
    const auto add = [&](const ListedEndpoint& n) {
        if (body.size() > empty) body += ',';
        append_node(body, n);
    };
    if (full) {
        for (const ListedEndpoint& n : nodes_)
            if (n.lifecycle != Lifecycle::removed) add(n);
    } else {
        std::set<std::uint32_t> changed;
        for (auto it = changes_.rbegin(); it != changes_.rend() && it->generation > after; ++it)
            changed.insert(it->node);
        for (const std::uint32_t n : changed) add(nodes_[n]);
    }
    body += "]}";
    cached = std::make_shared<const std::string>(write_response_head({200, body.size(), 0, false}) + body);
    return cached;
}

void HollowDiscovery::answer(const std::shared_ptr<Connection>& connection) {
    connection->out = text(connection->known_generation, connection->full);
    counts_.full_lists += connection->full || connection->known_generation < dropped_generation_ ||
                          connection->known_generation == 0;
    counts_.bytes += connection->out->size();
    boost::asio::async_write(connection->socket, boost::asio::buffer(*connection->out),
                             [connection, text = connection->out](const error_code&, std::size_t) {});
}

void HollowDiscovery::set_lifecycle(std::uint32_t node, Lifecycle lifecycle, Nanos started_at) {
    nodes_[node].lifecycle = lifecycle;
    if (started_at > 0) nodes_[node].started_at = started_at;
    pending_changes_.insert(node);
}

void HollowDiscovery::publish() {
    if (pending_changes_.empty()) return;
    ++generation_;
    ++counts_.generations;
    for (const std::uint32_t n : pending_changes_) changes_.push_back({generation_, n});
    pending_changes_.clear();
    for (; changes_.size() > max_changes; changes_.pop_front())
        dropped_generation_ = changes_.front().generation;
    deltas_.clear();
    full_text_.reset();
    for (const auto& [raw, connection] : std::exchange(waiting_, {})) {
        connection->timer.cancel();
        answer(connection);
    }
}

std::size_t HollowDiscovery::full_list_bytes() { return text(0, true)->size(); }

}  // namespace tealcart::testing
