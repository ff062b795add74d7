// A toy fleet to try tealcart with: `toy node PORT` is a data node that knows every shard, `toy discovery
// PORT FILE` tells routers the list of nodes in FILE, and tells it anew when the file changes. Loopback only.

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <cstdio>
#include <fstream>
#include <functional>
#include <iterator>
#include <memory>
#include <set>
#include <string>

#include "wire/bodies.hpp"
#include "wire/http.hpp"
#include "wire/node_frames.hpp"

namespace {

using boost::asio::ip::tcp;

struct Connection : std::enable_shared_from_this<Connection> {
    Connection(tcp::socket s, std::function<bool(Connection&)> t)
        : socket(std::move(s)), take(std::move(t)) {}

    // Reads on for as long as `take` can use what came in.
    void read() {
        socket.async_read_some(
            boost::asio::buffer(buffer),
            [self = shared_from_this()](const boost::system::error_code& ec, std::size_t n) {
                self->in.append(self->buffer.data(), n);
                self->open = !ec && self->take(*self);
                if (self->open) self->read();
            });
    }
    void send(const std::string& bytes) {
        boost::system::error_code ec;
        boost::asio::write(socket, boost::asio::buffer(bytes), ec);
    }

    tcp::socket socket;
    std::function<bool(Connection&)> take;
    std::string in;
    std::array<char, 4096> buffer;
    bool open = true;
};

// Accepts on loopback; `make` says what each connection does with its bytes.
void serve(tcp::acceptor& door, const std::function<std::function<bool(Connection&)>()>& make) {
    door.async_accept([&door, make](const boost::system::error_code& ec, tcp::socket socket) {
        if (!ec) std::make_shared<Connection>(std::move(socket), make())->read();
        serve(door, make);
    });
}

class Node {
  public:
    Node(boost::asio::io_context& io, std::uint16_t port) : io_(io), port_(port) {}

    bool take(Connection& c) {
        std::string_view in = c.in;
        tealcart::Frame frame;
        auto framing = tealcart::Framing::more;
        while ((framing = tealcart::take_frame(in, frame)) == tealcart::Framing::frame)
            if (frame.letter == 'R') take_calls(c, frame.rest);
        c.in.erase(0, c.in.size() - in.size());
        return framing == tealcart::Framing::more;
    }

  private:
    // Each part is a line `ID SHARD LIST LENGTH` and so many bytes of text.
    void take_calls(Connection& c, std::string_view rest) {
        for (std::size_t end; (end = rest.find('\n')) != std::string_view::npos;) {
            const std::string line(rest.substr(0, end));
            rest.remove_prefix(end + 1);
            const std::string id = line.substr(0, line.find(' '));
            const std::size_t length = std::min<std::size_t>(
                std::strtoul(line.c_str() + line.rfind(' ') + 1, nullptr, 10), rest.size());
            const std::string value =
                "node " + std::to_string(port_) + " on '" + std::string(rest.substr(0, length)) + "'";
            rest.remove_prefix(length);
            std::printf("%s\n", line.c_str());
            std::fflush(stdout);
            // Some work, then the answer, for as long as the connection stands.
            auto timer = std::make_shared<boost::asio::steady_timer>(io_, std::chrono::milliseconds(20));
            timer->async_wait(
                [timer, id, value, self = c.shared_from_this()](const boost::system::error_code&) {
                    const std::string body = id + " OK 1 -\n" + value;
                    std::string out;
                    tealcart::start_frame(out, 'Y', body.size());
                    if (self->open) self->send(out + body);
                });
        }
    }

    boost::asio::io_context& io_;
    const std::uint16_t port_;
};

class Discovery {
  public:
    Discovery(boost::asio::io_context& io, std::string file) : file_(std::move(file)), timer_(io) { look(); }

    bool take(Connection& c, tealcart::RequestReader& reader) {
        while (reader.feed(c.in) == tealcart::Reading::done) {
            // Whole lists only: a call for all is answered at once, a watch when there is news for it.
            const bool first = told_.insert(&c).second || reader.request().method != "GET";
            reader.next();
            first ? tell(c) : void(watching_.insert(c.shared_from_this()));
        }
        return true;
    }

  private:
    void tell(Connection& c) {
        const std::string body =
            "{\"generation\":" + std::to_string(generation_) + ",\"reset\":true,\"instances\":" + list_ + "}";
        c.send(tealcart::write_answer_head({200, body.size(), 0, false}) + body);
    }
    void look() {
        std::ifstream in(file_);
        const std::string list{std::istreambuf_iterator<char>(in), {}};
        const std::string as_told = "{\"generation\":1,\"reset\":true,\"instances\":" + list + "}";
        if (list != list_ && tealcart::read_targets(as_told, UINT32_MAX)) {
            list_ = list;
            ++generation_;
            std::printf("list %lu\n", static_cast<unsigned long>(generation_));
            std::fflush(stdout);
            for (const auto& c : std::exchange(watching_, {})) tell(*c);
        }
        timer_.expires_after(std::chrono::milliseconds(200));
        timer_.async_wait([this](const boost::system::error_code&) { look(); });
    }

    const std::string file_;
    boost::asio::steady_timer timer_;
    std::string list_ = "[]";
    std::uint64_t generation_ = 1;
    std::set<std::shared_ptr<Connection>> watching_;
    std::set<const Connection*> told_;
};

int usage() {
    std::fprintf(stderr, "usage: toy node PORT | toy discovery PORT FILE\n");
    return 2;
}

}  // namespace

int main(int argc, char** argv) {
    const std::string role = argc > 1 ? argv[1] : "";
    if (!(role == "node" && argc == 3) && !(role == "discovery" && argc == 4)) return usage();
    const auto at = tealcart::read_host_port(std::string("127.0.0.1:") + argv[2]);
    if (!at) return usage();
    try {
        if (role == "discovery" && !std::ifstream(argv[3])) {
            std::fprintf(stderr, "toy: the list %s can't be read\n", argv[3]);
            return 1;
        }
        boost::asio::io_context io(1);
        tcp::acceptor door(io, {boost::asio::ip::address_v4::loopback(), at->port});
        Node node(io, at->port);
        Discovery discovery(io, argc > 3 ? argv[3] : "");
        serve(door, [&]() -> std::function<bool(Connection&)> {
            if (role == "node") return [&node](Connection& c) { return node.take(c); };
            return [&discovery, reader = std::make_shared<tealcart::RequestReader>()](Connection& c) {
                return discovery.take(c, *reader);
            };
        });
        io.run();
    } catch (const std::exception& e) {
        std::fprintf(stderr, "toy: port %s: %s\n", argv[2], e.what());
        return 1;
    }
}
