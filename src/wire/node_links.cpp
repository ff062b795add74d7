#include "wire/node_links.hpp"

#include <algorithm>
#include <boost/asio/write.hpp>

#include "service/log.hpp"
#include "wire/bodies.hpp"

namespace tealcart {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr std::size_t frames_a_write = 64;
constexpr std::size_t most_queued = 4096;
constexpr Nanos ms = 1'000'000;

}  // namespace

NodeLinks::NodeLinks(boost::asio::io_context& io, Timekeeper& time, const LinkTerms& terms, LinkOwner& owner,
                     std::size_t most)
    : io_(io), time_(time), connect_timeout_(terms.connect_timeout),
      idle_(terms.idle_close - terms.idle_close / 10),  // closed before the far side does
      calls_a_link_(static_cast<std::size_t>(terms.calls_a_link)), most_(most), owner_(owner) {}

Handle NodeLinks::send(std::uint32_t node, const std::string& address, std::vector<LeafPiece> pieces,
                       std::span<const Handle> avoid) {
    if (node >= of_node_.size()) of_node_.resize(node + 1);
    Handle chosen;
    for (const Handle h : of_node_[node]) {
        if (!room(*links_.find(h)) || std::find(avoid.begin(), avoid.end(), h) != avoid.end()) continue;
        chosen = h;
        if (links_.find(h)->up) break;
    }
    Link* link = links_.find(chosen);
    if (link == nullptr) {
        chosen = open_link(node, address);
        link = links_.find(chosen);
        if (link == nullptr) return {};
    }
    if (link->up) time_.due.drop(link->due);  // not idle any more
    ++frames_;
    for (const LeafPiece& piece : pieces) link->carried.push_back({piece.call, frames_});
    link->queue.push_back({frames_, std::move(pieces), {}});
    write(chosen);
    return chosen;
}

// A frame takes one place, however many parts it holds; the calls of a frame stand side by side.
bool NodeLinks::room(const Link& link) const {
    if (link.retired || link.closed) return false;
    if (link.carried.size() < calls_a_link_) return true;
    std::size_t frames = 0;
    for (std::size_t i = 0; i < link.carried.size(); ++i)
        frames += i == 0 || link.carried[i].frame != link.carried[i - 1].frame;
    return frames < calls_a_link_;
}

Handle NodeLinks::open_link(std::uint32_t node, const std::string& address) {
    if (links_.used() >= most_) {
        Handle idle;
        links_.each([&idle](Handle h, const Link& link) {
            if (link.up && !link.closed && link.carried.empty()) idle = h;
        });
        close(idle, Outcome::reset);
        if (links_.used() >= most_) {
            log_line("%zu connections to data nodes are open: none left for a leaf call", links_.used());
            return {};
        }
    }
    const auto to = read_host_port(address);
    error_code ec;
    const auto host = boost::asio::ip::make_address(to ? to->host : "", ec);
    if (ec) return {};
    const Handle h = links_.take(io_);
    Link& link = *links_.find(h);
    link.node = node;
    link.socket.open(host.is_v6() ? tcp::v6() : tcp::v4(), ec);
    if (ec) {
        log_line("no socket for a data node: %s", ec.message().c_str());
        links_.give_back(h);
        return {};
    }
    link.socket.set_option(tcp::no_delay(true), ec);
    of_node_[node].push_back(h);
    time_.due.move(link.due, time_.now() + connect_timeout_, *this, h);
    ++link.operations;
    link.socket.async_connect({host, to->port}, [this, h](const error_code& e) { on_connected(h, e); });
    return h;
}

void NodeLinks::on_connected(Handle h, const error_code& ec) {
    Link& link = *links_.find(h);
    --link.operations;
    if (link.closed) return settle(h);
    time_.due.drop(link.due);
    if (ec) return close(h, Outcome::connect_failed);
    link.up = true;
    read(h);
    write(h);
    idle_if_empty(h);
}

void NodeLinks::read(Handle h) {
    Link& link = *links_.find(h);
    ++link.operations;
    link.socket.async_read_some(
        boost::asio::buffer(link.buffer), [this, h](const error_code& ec, std::size_t n) {
            Link& l = *links_.find(h);
            if (!l.closed && ec) close(h, Outcome::reset);
            if (!l.closed) {
                l.in.append(l.buffer.data(), n);
                if (!take_frames(h)) close(h, Outcome::reset);
            }
            --l.operations;  // only now, so that the slot is kept while it is worked on
            if (l.closed) return settle(h);
            read(h);
        });
}

// False where the framing is lost, or the node says that it was on our side.
bool NodeLinks::take_frames(Handle h) {
    Link& link = *links_.find(h);
    std::string_view in = link.in;
    Frame frame;
    bool sound = true;
    for (;;) {
        const Framing framing = take_frame(in, frame);
        if (framing == Framing::more) break;
        if (framing == Framing::frame && (frame.letter == 'G' || frame.letter == 'T')) continue;  // a probe's
        const auto answer =
            framing == Framing::frame && frame.letter == 'Y' ? read_node_answer(frame.rest) : std::nullopt;
        if (answer) {
            owner_.on_node_answer(h, *answer);
            if (link.closed) return true;
            continue;
        }
        sound = false;
        if (framing == Framing::frame && frame.letter == 'N')
            log_line("data node %u can't use a frame: %.*s", link.node,
                     static_cast<int>(std::min<std::size_t>(frame.rest.size(), 200)), frame.rest.data());
        else
            log_line("data node %u sent what is no frame; its connection is given up", link.node);
        break;
    }
    link.in.erase(0, link.in.size() - in.size());
    return sound;
}

// Of what is not yet written, loses those pieces that `which` names, as never sent.
template <typename Which>
void NodeLinks::lose_unwritten(Link& link, Which which) {
    std::vector<Handle> lost;
    for (Outgoing& frame : link.queue)
        std::erase_if(frame.pieces, [&](const LeafPiece& piece) {
            if (!which(piece)) return false;
            lost.push_back(piece.call);
            return true;
        });
    std::erase_if(link.queue,
                  [](const Outgoing& frame) { return frame.number != 0 && frame.pieces.empty(); });
    for (const Handle call : lost) owner_.on_call_lost(call, Outcome::moot);
}

void NodeLinks::write(Handle h) {
    Link& link = *links_.find(h);
    if (!link.up || link.writing || link.closed) return;
    const Nanos now = time_.now();
    lose_unwritten(link, [now](const LeafPiece& piece) { return now > piece.send_by; });
    if (link.closed || link.queue.empty()) return;
    std::vector<boost::asio::const_buffer> buffers;
    std::size_t size = 0;
    const auto put = [&](std::string_view bytes) {
        buffers.emplace_back(bytes.data(), bytes.size());
        size += bytes.size();
    };
    for (std::size_t i = 0; i < frames_a_write && !link.queue.empty(); ++i) {
        Outgoing frame = std::move(link.queue.front());
        link.queue.pop_front();
        if (frame.number == 0) {
            put(link.heads.emplace_back(std::move(frame.bytes)));
            continue;
        }
        std::vector<std::string> lines;
        std::size_t rest = 0;
        for (const LeafPiece& piece : frame.pieces) {
            const QueryText& q = *piece.query;
            const Nanos left = std::max<Nanos>(piece.until - now, ms);
            write_part_line(lines.emplace_back(), {q.id, piece.shard, left / ms, q.key, q.text.size()});
            rest += lines.back().size() + q.text.size();
        }
        std::string& head = link.heads.emplace_back();
        start_frame(head, 'R', rest);
        put(head);
        for (std::size_t j = 0; j < lines.size(); ++j) {
            put(link.heads.emplace_back(std::move(lines[j])));
            put(link.texts.emplace_back(frame.pieces[j].query)->text);
        }
        link.ends.emplace_back(frame.number, size);
    }
    link.writing = true;
    ++link.operations;
    boost::asio::async_write(link.socket, buffers, [this, h](const error_code& ec, std::size_t n) {
        Link& l = *links_.find(h);
        --l.operations;
        l.writing = false;
        if (l.closed) return settle(h);
        if (ec) return close(h, Outcome::reset, n);
        l.heads.clear();
        l.texts.clear();
        l.ends.clear();
        write(h);
    });
}

bool NodeLinks::withdraw(Handle h, Handle call) {
    Link* link = links_.find(h);
    if (link == nullptr || link->closed) return false;
    for (auto frame = link->queue.begin(); frame != link->queue.end(); ++frame) {
        if (std::erase_if(frame->pieces, [call](const LeafPiece& p) { return p.call == call; }) == 0)
            continue;
        if (frame->pieces.empty()) link->queue.erase(frame);
        return true;
    }
    return false;
}

void NodeLinks::give_up(Handle h, const QueryText& query, std::uint32_t shard) {
    Link* link = links_.find(h);
    if (link == nullptr || link->closed) return;
    if (link->queue.size() >= most_queued) return close(h, Outcome::reset);  // it has long taken nothing
    std::string id;
    write_part_id(id, query.id, shard);
    Outgoing frame;
    start_frame(frame.bytes, 'A', id.size());
    frame.bytes += id;
    link->queue.push_back(std::move(frame));
    write(h);
}

void NodeLinks::done(Handle h, Handle call) {
    Link* link = links_.find(h);
    if (link == nullptr || link->closed) return;
    std::erase_if(link->carried, [call](const Carried& c) { return c.call == call; });
    idle_if_empty(h);
}

void NodeLinks::idle_if_empty(Handle h) {
    Link& link = *links_.find(h);
    if (!link.up || link.closed || !link.carried.empty()) return;
    if (link.retired && !link.writing && link.queue.empty()) return close(h, Outcome::reset);
    time_.due.move(link.due, link.retired ? time_.now() : time_.now() + idle_, *this, h);
}

void NodeLinks::on_due(Handle h, std::uint64_t) {
    Link& link = *links_.find(h);
    link.due = Deadlines::none;
    close(h, Outcome::connect_failed);  // it is idle, or was not made in time
}

void NodeLinks::retire(std::uint32_t node, bool leaving) {
    if (node >= of_node_.size()) return;
    for (const Handle h : std::vector<Handle>(of_node_[node])) {
        Link& link = *links_.find(h);
        link.retired = true;
        if (leaving) lose_unwritten(link, [](const LeafPiece&) { return true; });
        if (!link.closed && link.carried.empty()) link.up ? idle_if_empty(h) : close(h, Outcome::moot);
    }
}

void NodeLinks::close_all() {
    links_.each([this](Handle h, Link&) { close(h, Outcome::reset); });
}

// Ends a link and all leaf calls on it. What was written may have run: that ends as `written` says; what was
// not never has.
void NodeLinks::close(Handle h, Outcome written, std::size_t bytes_written) {
    Link* link = links_.find(h);
    if (link == nullptr || link->closed) return;
    link->closed = true;
    time_.due.drop(link->due);
    error_code ec;
    link->socket.close(ec);
    std::erase(of_node_[link->node], h);
    const auto carried = std::exchange(link->carried, {});
    for (const Carried& c : carried) {
        bool unwritten = std::any_of(link->queue.begin(), link->queue.end(),
                                     [&c](const Outgoing& frame) { return frame.number == c.frame; });
        for (const auto& [frame, end] : link->ends) unwritten |= frame == c.frame && bytes_written < end;
        owner_.on_call_lost(c.call, unwritten ? Outcome::connect_failed : written);
    }
    link->queue.clear();
    settle(h);
}

void NodeLinks::settle(Handle h) {
    Link* link = links_.find(h);
    if (link != nullptr && link->closed && link->operations == 0) links_.give_back(h);
}

}  // namespace tealcart
