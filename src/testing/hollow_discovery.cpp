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

void append(std::string& out, const ListedEndpoint& n) {
    static const char* const words[] = {"removed", "draining", "up"};
    const char* word = n.lifecycle == Lifecycle::ready      ? words[2]
                       : n.lifecycle == Lifecycle::draining ? words[1]
                                                            : words[0];
    out.append("{\"instanceId\":\"").append(n.id).append("\",\"hostPort\":\"").append(n.address);
    out.append("\",\"zone\":\"").append(n.zone).append("\",\"machineType\":\"").append(n.kind);
    out.append("\",\"cell\":").append(std::to_string(n.place)).append(",\"lifecycle\":\"").append(word);
    out.append("\",\"startedAtMs\":").append(std::to_string(n.started_at / ms)).append("}");
}

// The number behind `name=` in a target's query.
std::uint64_t number_in(std::string_view target, std::string_view name, std::uint64_t otherwise) {
    const auto at = target.find(name);
    if (at == target.npos) return otherwise;
    std::uint64_t value = otherwise;
    const char* from = target.data() + at + name.size();
    std::from_chars(from, target.data() + target.size(), value);
    return value;
}

}  // namespace

struct HollowDiscovery::Caller {
    explicit Caller(tcp::socket s) : socket(std::move(s)), timer(socket.get_executor()) {}

    tcp::socket socket;
    boost::asio::steady_timer timer;
    std::array<char, 2048> buffer;
    std::string in;
    Text out;
    std::uint64_t knows = 0;
    bool whole = false;
};

HollowDiscovery::HollowDiscovery(boost::asio::io_context& io, std::uint16_t port, std::uint32_t nodes,
                                 std::vector<std::string> addresses)
    : io_(io), acceptor_(io, {boost::asio::ip::address_v4::loopback(), port}) {
    for (std::uint32_t n = 0; n < nodes; ++n)
        nodes_.push_back(hollow_node(n, hollow_places(nodes), addresses[n % addresses.size()]));
    accept();
}

HollowDiscovery::~HollowDiscovery() {
    error_code ec;
    acceptor_.close(ec);
    for (const auto& [raw, c] : waiting_) c->timer.cancel();
}

void HollowDiscovery::accept() {
    acceptor_.async_accept([this](const error_code& ec, tcp::socket socket) {
        if (ec == boost::asio::error::operation_aborted) return;
        if (!ec) {
            error_code ignored;
            socket.set_option(tcp::no_delay(true), ignored);
            read(std::make_shared<Caller>(std::move(socket)));
        }
        accept();
    });
}

void HollowDiscovery::read(const std::shared_ptr<Caller>& c) {
    c->socket.async_read_some(boost::asio::buffer(c->buffer), [this, c](const error_code& ec, std::size_t n) {
        if (ec || (c->in.append(c->buffer.data(), n), !take(c))) {
            waiting_.erase(c.get());
            c->timer.cancel();
            error_code ignored;
            c->socket.close(ignored);
            return;
        }
        read(c);
    });
}

// A caller asks anew only once it was answered.
bool HollowDiscovery::take(const std::shared_ptr<Caller>& c) {
    const auto end = c->in.find("\r\n\r\n");
    if (end == c->in.npos) return c->in.size() < max_head_bytes;
    const std::string target = c->in.substr(0, c->in.find("\r\n"));
    c->in.erase(0, end + 4);
    ++counts_.calls;
    c->whole = target.find("index=") == target.npos;
    c->knows = number_in(target, "index=", 0);
    if (c->whole || c->knows < generation_) {
        answer(c);
        return true;
    }
    waiting_[c.get()] = c;
    c->timer.expires_after(
        std::chrono::milliseconds(std::min<std::uint64_t>(number_in(target, "wait=", 0), 60'000)));
    c->timer.async_wait([this, c](const error_code& ec) {
        if (!ec && waiting_.erase(c.get()) > 0) answer(c);
    });
    return true;
}

HollowDiscovery::Text HollowDiscovery::text(std::uint64_t after, bool whole) {
    whole |= after < forgotten_ || after == 0;
    Text& kept = whole ? whole_ : deltas_[after];
    if (kept) return kept;
    std::string body = "{\"generation\":" + std::to_string(generation_) +
                       ",\"reset\":" + (whole ? "true" : "false") + ",\"instances\":[";
    const std::size_t empty = body.size();
    const auto add = [&](const ListedEndpoint& n) {
        if (body.size() > empty) body += ',';
        append(body, n);
    };
    if (whole) {
        for (const ListedEndpoint& n : nodes_)
            if (n.lifecycle != Lifecycle::removed) add(n);
    } else {
        std::set<std::uint32_t> changed;
        for (auto it = changes_.rbegin(); it != changes_.rend() && it->generation > after; ++it)
            changed.insert(it->node);
        for (const std::uint32_t n : changed) add(nodes_[n]);
    }
    body += "]}";
    kept = std::make_shared<const std::string>(write_response_head({200, body.size(), 0, false}) + body);
    return kept;
}

void HollowDiscovery::answer(const std::shared_ptr<Caller>& c) {
    c->out = text(c->knows, c->whole);
    counts_.whole += c->whole || c->knows < forgotten_ || c->knows == 0;
    counts_.bytes += c->out->size();
    boost::asio::async_write(c->socket, boost::asio::buffer(*c->out),
                             [c, text = c->out](const error_code&, std::size_t) {});
}

void HollowDiscovery::set(std::uint32_t node, Lifecycle lifecycle, Nanos started_at) {
    nodes_[node].lifecycle = lifecycle;
    if (started_at > 0) nodes_[node].started_at = started_at;
    changing_.insert(node);
}

void HollowDiscovery::tell() {
    if (changing_.empty()) return;
    ++generation_;
    ++counts_.told;
    for (const std::uint32_t n : changing_) changes_.push_back({generation_, n});
    changing_.clear();
    for (; changes_.size() > max_changes; changes_.pop_front()) forgotten_ = changes_.front().generation;
    deltas_.clear();
    whole_.reset();
    for (const auto& [raw, c] : std::exchange(waiting_, {})) {
        c->timer.cancel();
        answer(c);
    }
}

std::size_t HollowDiscovery::whole_bytes() { return text(0, true)->size(); }

}  // namespace tealcart::testing
