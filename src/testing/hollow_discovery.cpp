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

constexpr std::size_t max_retained_changes = 200'000;
constexpr Nanos ms = 1'000'000;

void append_node(std::string& out, const ListedEndpoint& node) {
    static const char* const lifecycle_names[] = {"removed", "draining", "up"};
    const char* lifecycle = node.lifecycle == Lifecycle::ready      ? lifecycle_names[2]
                            : node.lifecycle == Lifecycle::draining ? lifecycle_names[1]
                                                                    : lifecycle_names[0];
    out.append("{\"instanceId\":\"").append(node.id).append("\",\"hostPort\":\"").append(node.address);
    out.append("\",\"zone\":\"").append(node.zone).append("\",\"machineType\":\"").append(node.kind);
    out.append("\",\"cell\":")
        .append(std::to_string(node.place))
        .append(",\"lifecycle\":\"")
        .append(lifecycle);
    out.append("\",\"startedAtMs\":").append(std::to_string(node.started_at / ms)).append("}");
}

// Returns the number that follows `name` in the query of a request target.
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
    explicit Connection(tcp::socket accepted) : socket(std::move(accepted)), timer(socket.get_executor()) {}

    tcp::socket socket;
    boost::asio::steady_timer timer;
    std::array<char, 2048> buffer;
    std::string received_text;
    SharedText response;
    std::uint64_t known_generation = 0;
    bool full = false;
};

HollowDiscovery::HollowDiscovery(boost::asio::io_context& io, std::uint16_t port, std::uint32_t nodes,
                                 std::vector<std::string> addresses)
    : io_(io), acceptor_(io, {boost::asio::ip::address_v4::loopback(), port}) {
    for (std::uint32_t index = 0; index < nodes; ++index)
        nodes_.push_back(
            hollow_data_node(index, hollow_place_count(nodes), addresses[index % addresses.size()]));
    accept();
}

HollowDiscovery::~HollowDiscovery() {
    error_code ec;
    acceptor_.close(ec);
    for (const auto& [key, connection] : waiting_) connection->timer.cancel();
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
        boost::asio::buffer(connection->buffer),
        [this, connection](const error_code& ec, std::size_t bytes_read) {
            if (ec || (connection->received_text.append(connection->buffer.data(), bytes_read),
                       !handle_request(connection))) {
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
    const auto end = connection->received_text.find("\r\n\r\n");
    if (end == connection->received_text.npos) return connection->received_text.size() < max_head_bytes;
    const std::string target = connection->received_text.substr(0, connection->received_text.find("\r\n"));
    connection->received_text.erase(0, end + 4);
    ++counts_.requests;
    connection->full = target.find("index=") == target.npos;
    connection->known_generation = number_in(target, "index=", 0);
    if (connection->full || connection->known_generation < generation_) {
        respond(connection);
        return true;
    }
    waiting_[connection.get()] = connection;
    connection->timer.expires_after(
        std::chrono::milliseconds(std::min<std::uint64_t>(number_in(target, "wait=", 0), 60'000)));
    connection->timer.async_wait([this, connection](const error_code& ec) {
        if (!ec && waiting_.erase(connection.get()) > 0) respond(connection);
    });
    return true;
}

HollowDiscovery::SharedText HollowDiscovery::response_text(std::uint64_t after, bool full) {
    full |= after < dropped_generation_ || after == 0;
    SharedText& cached = full ? full_text_ : deltas_[after];
    if (cached) return cached;
    std::string body = "{\"generation\":" + std::to_string(generation_) +
                       ",\"reset\":" + (full ? "true" : "false") + ",\"instances\":[";
    const std::size_t empty_size = body.size();
    const auto add = [&](const ListedEndpoint& node) {
        if (body.size() > empty_size) body += ',';
        append_node(body, node);
    };
    if (full) {
        for (const ListedEndpoint& node : nodes_)
            if (node.lifecycle != Lifecycle::removed) add(node);
    } else {
        std::set<std::uint32_t> changed;
        for (auto it = changes_.rbegin(); it != changes_.rend() && it->generation > after; ++it)
            changed.insert(it->node);
        for (const std::uint32_t index : changed) add(nodes_[index]);
    }
    body += "]}";
    cached = std::make_shared<const std::string>(write_response_head({200, body.size(), 0, false}) + body);
    return cached;
}

void HollowDiscovery::respond(const std::shared_ptr<Connection>& connection) {
    connection->response = response_text(connection->known_generation, connection->full);
    counts_.full_lists += connection->full || connection->known_generation < dropped_generation_ ||
                          connection->known_generation == 0;
    counts_.bytes += connection->response->size();
    boost::asio::async_write(
        connection->socket, boost::asio::buffer(*connection->response),
        [connection, response = connection->response](const error_code&, std::size_t) {});
}

void HollowDiscovery::set_lifecycle(std::uint32_t index, Lifecycle lifecycle, Nanos started_at) {
    nodes_[index].lifecycle = lifecycle;
    if (started_at > 0) nodes_[index].started_at = started_at;
    pending_changes_.insert(index);
}

void HollowDiscovery::publish() {
    if (pending_changes_.empty()) return;
    ++generation_;
    ++counts_.generations;
    for (const std::uint32_t index : pending_changes_) changes_.push_back({generation_, index});
    pending_changes_.clear();
    for (; changes_.size() > max_retained_changes; changes_.pop_front())
        dropped_generation_ = changes_.front().generation;
    deltas_.clear();
    full_text_.reset();
    for (const auto& [key, connection] : std::exchange(waiting_, {})) {
        connection->timer.cancel();
        respond(connection);
    }
}

std::size_t HollowDiscovery::full_list_bytes() { return response_text(0, true)->size(); }

}  // namespace tealcart::testing
