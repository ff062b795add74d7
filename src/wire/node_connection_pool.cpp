#include "wire/node_connection_pool.hpp"

#include <algorithm>
#include <boost/asio/write.hpp>

#include "log/log.hpp"
#include "wire/bodies.hpp"

namespace tealcart {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr std::size_t frames_a_write = 64;
constexpr std::size_t max_queued = 4096;
constexpr std::size_t max_past = 1024;
constexpr Nanos ms = 1'000'000;
constexpr std::string_view letters = "YNGT", phase_letters = "SWNGT";  // of frames that come from data nodes

void log_spoilt(std::uint32_t node) {
    log_line("data node %u sent what can't be read; its connection is given up", node);
}

std::uint32_t mark_of(std::string_view query, std::uint32_t shard, std::uint32_t leg) {
    return static_cast<std::uint32_t>(std::hash<std::string_view>()(query)) + shard + (leg << 24);
}

std::string line_of(const AttemptMessage& piece, Nanos left) {
    const QueryText& q = *piece.query;
    std::string line;
    if (piece.letter == 'R')
        write_shard_request_line(line, {q.id, piece.shard, left / ms, q.key, q.text.size()});
    else
        write_phase_line(line, {{q.id, piece.shard, piece.leg},
                                left / ms,
                                piece.rows,
                                piece.wants_filter,
                                q.text.size(),
                                q.find.size()});
    return line;
}

}  // namespace

NodeConnectionPool::NodeConnectionPool(boost::asio::io_context& io, EventClock& time,
                                       const ConnectionConfig& config, ConnectionObserver& owner,
                                       std::size_t most)
    : io_(io), time_(time), connect_timeout_(config.connect_timeout),
      idle_(config.idle_close - config.idle_close / 10),  // closed before the far side does
      calls_a_link_(static_cast<std::size_t>(config.max_calls_per_connection)), most_(most),
      probing_(config.probing), owner_(owner) {}

Handle NodeConnectionPool::send(std::uint32_t node, const std::string& address,
                                std::vector<AttemptMessage> pieces, std::span<const Handle> avoid) {
    Handle chosen, fallback;
    int silent_links = 0;
    const bool phased = pieces.front().letter != 'R';
    for (const Handle h : of_node(node)) {
        const Link& link = *links_.find(h);
        if (link.phased != phased) continue;
        const bool is_silent = silent(link);
        silent_links += is_silent;
        if (is_silent) probe(h);
        if (!room(link) || std::find(avoid.begin(), avoid.end(), h) != avoid.end()) continue;
        (is_silent ? fallback : chosen) = h;
        if (link.up && !is_silent) break;
    }
    // Where two are silent it is the node, and a third would tell no more.
    if (chosen == Handle{} && silent_links >= 2) chosen = fallback;
    Link* link = links_.find(chosen);
    if (link == nullptr) {
        chosen = add_link(node, address, phased);
        link = links_.find(chosen);
    }
    if (link->up) time_.due.drop(link->due);  // not idle any more
    ++frames_;
    for (const AttemptMessage& piece : pieces)
        link->carried.push_back({piece.call, frames_, mark_of(piece.query->id, piece.shard, piece.leg)});
    link->queue.push_back({frames_, std::move(pieces), {}});
    write(chosen);
    const bool were_waiting = waiting_.size() > 1;
    open_waiting();
    if (!waiting_.empty() && !were_waiting)
        log_line("%zu connections to data nodes are open: leaf calls wait for one", opened_);
    return chosen;
}

std::vector<Handle> NodeConnectionPool::of_node(std::uint32_t node) const {
    const auto found = of_node_.find(node);
    return found == of_node_.end() ? std::vector<Handle>() : found->second;
}

// Guards against a connection that stays open and falls silent: all that is sent on it would be lost while
// its node is well. It takes no more while another can be had.
bool NodeConnectionPool::silent(const Link& link) const {
    return link.unheard_since > 0 && time_.now() - link.unheard_since > connect_timeout_;
}

// Asks for a sign of incarnation, once for each silence, where the settings let it. True if that is just done
// or may still be answered. Guards against taking heavy calls for a broken connection.
bool NodeConnectionPool::probe(Handle h) {
    Link& link = *links_.find(h);
    if (!probing_) return false;
    if (link.probed_at >= link.unheard_since) return time_.now() - link.probed_at <= connect_timeout_;
    link.probed_at = time_.now();
    post(h, 'G', {});
    return true;
}

// The node has just answered on another link: what is out on silent ones is called off, to be sent again.
void NodeConnectionPool::end_silent(std::uint32_t node) {
    for (const Handle h : of_node(node)) {
        const Link* link = links_.find(h);
        if (link == nullptr || !silent(*link) || probe(h)) continue;
        log_line("data node %u answers, but not on a connection silent for %lld ms: it is given up", node,
                 static_cast<long long>((time_.now() - link->unheard_since) / ms));
        close(h, Outcome::cancelled);
    }
}

// A frame takes one place, however many shard requests it holds; the calls of a frame stand side by side. A
// link on which a frame is in part there takes no more: it may never end.
bool NodeConnectionPool::room(const Link& link) const {
    if (link.retired || link.closed || !link.in.empty()) return false;
    if (link.carried.size() < calls_a_link_) return true;
    std::size_t frames = 0;
    for (std::size_t i = 0; i < link.carried.size(); ++i)
        frames += i == 0 || link.carried[i].frame != link.carried[i - 1].frame;
    return frames < calls_a_link_;
}

// A link to be opened once one of the descriptors is free for it, in the order in which they are asked for.
// Until then what it carries waits unwritten, as on one that is being made. Guards against blaming nodes, and
// using up leaf calls, for want of a descriptor of our own.
Handle NodeConnectionPool::add_link(std::uint32_t node, std::string address, bool phased) {
    const Handle h = links_.take(io_);
    Link& link = *links_.find(h);
    link.node = node;
    link.address = std::move(address);
    link.phased = phased;
    of_node_[node].push_back(h);
    waiting_.push_back(h);
    return h;
}

// Opens waiting links while there are descriptors, at need those of idle ones.
void NodeConnectionPool::open_waiting() {
    if (opening_) return;  // a link that is closed here leaves its descriptor to the loop below
    opening_ = true;
    while (!waiting_.empty()) {
        if (opened_ >= most_) {
            Handle idle;
            links_.each([&idle](Handle h, const Link& link) {
                if (link.up && !link.closed && link.carried.empty()) idle = h;
            });
            close(idle, Outcome::reset);
            if (opened_ >= most_) break;
        }
        const Handle h = waiting_.front();
        waiting_.pop_front();
        if (!open(h)) close(h, Outcome::connect_failed);
    }
    opening_ = false;
}

bool NodeConnectionPool::open(Handle h) {
    Link& link = *links_.find(h);
    const auto to = parse_host_port(link.address);
    error_code ec;
    const auto host = boost::asio::ip::make_address(to ? to->host : "", ec);
    if (ec) return false;
    link.socket.open(host.is_v6() ? tcp::v6() : tcp::v4(), ec);
    if (ec) {
        log_line("no socket for a data node: %s", ec.message().c_str());
        return false;
    }
    ++opened_;
    link.socket.set_option(tcp::no_delay(true), ec);
    time_.due.move(link.due, time_.now() + connect_timeout_, *this, h);
    ++link.operations;
    link.socket.async_connect({host, to->port}, [this, h](const error_code& e) { on_connected(h, e); });
    return true;
}

void NodeConnectionPool::on_connected(Handle h, const error_code& ec) {
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

void NodeConnectionPool::read(Handle h) {
    Link& link = *links_.find(h);
    ++link.operations;
    link.socket.async_read_some(
        boost::asio::buffer(link.buffer), [this, h](const error_code& ec, std::size_t n) {
            Link& l = *links_.find(h);
            if (!l.closed && ec) close(h, refused_phases(l) ? Outcome::not_sent : Outcome::reset);
            if (!l.closed) {
                l.in.append(l.buffer.data(), n);
                l.unheard_since = time_.now();
                if (!take_frames(h)) spoil(h, false);
            }
            --l.operations;  // only now, so that the slot is kept while it is worked on
            if (l.closed) return settle(h);
            read(h);
        });
}

// Where the far side ends or refuses a link on which it has never answered in two phases.
bool NodeConnectionPool::refused_phases(const Link& link) {
    return link.phased && !link.heard && link.unheard_since > 0 && owner_.on_phases_refused(link.node);
}

// Whether a frame is an answer that belongs here; true: it was good, or is passed over as a late answer or
// second copy; false: it was ours and spoilt.
std::optional<bool> NodeConnectionPool::take_answer(Handle h, const Frame& frame) {
    Link& link = *links_.find(h);
    bool ours = false, spoilt = false;
    std::uint32_t mark = 0;
    Outcome outcome = Outcome::error;
    if (!link.phased && frame.letter == 'Y') {
        const auto answer = read_node_answer(frame.rest);
        if (!answer) return std::nullopt;
        ours = owner_.on_node_answer(h, *answer);
        spoilt = answer->spoilt, outcome = answer->outcome;
        mark = mark_of(answer->query, answer->shard, 0);
    } else if (link.phased && (frame.letter == brings_word || frame.letter == brings_rows)) {
        const auto answer = read_phase_answer(frame.letter, frame.rest);
        if (!answer) return std::nullopt;
        link.heard = true;
        ours = owner_.on_phase_answer(h, *answer);
        spoilt = answer->spoilt, outcome = answer->outcome;
        mark = mark_of(answer->id.query, answer->id.shard, answer->id.leg);
    } else {
        return std::nullopt;
    }
    if (link.closed) return true;
    if (ours && outcome == Outcome::ok) end_silent(link.node);
    const bool known = ours || std::find(link.past.begin(), link.past.end(), mark) != link.past.end();
    if (known && !spoilt) return true;
    if (ours) return false;
    return std::nullopt;
}

// False where the framing is lost, what comes answers no call of ours, or the node says that it was on our
// side.
bool NodeConnectionPool::take_frames(Handle h) {
    Link& link = *links_.find(h);
    const std::string bytes = std::exchange(link.in, {});
    const std::string_view known = link.phased ? phase_letters : letters;
    std::string_view in = bytes;
    Frame frame;
    for (;;) {
        const Framing framing = take_frame(in, frame);
        if (framing == Framing::more && (in.size() < 5 || known.find(in[4]) != known.npos)) break;
        if (framing == Framing::frame && (frame.letter == 'G' || frame.letter == 'T')) continue;  // a probe's
        const auto good = framing == Framing::frame ? take_answer(h, frame) : std::nullopt;
        if (link.closed) return true;
        if (good && *good) continue;
        if (good) {
            log_spoilt(link.node);
            spoil(h, true);
            return true;
        }
        const bool refused = framing == Framing::frame && frame.letter == 'N';
        if (refused && refused_phases(link)) {
            close(h, Outcome::not_sent);
            return true;
        }
        if (refused)
            log_line("data node %u can't use a frame: %.*s", link.node,
                     static_cast<int>(std::min<std::size_t>(frame.rest.size(), 200)), frame.rest.data());
        else
            log_spoilt(link.node);
        return false;
    }
    link.in = in;
    // Half a frame: with no call out it is none of ours; else it has as long as a connection has to be made.
    if (link.carried.empty()) return link.in.empty();
    if (link.in.empty())
        time_.due.drop(link.due);
    else if (link.due == TimerQueue::none)
        time_.due.move(link.due, time_.now() + connect_timeout_, *this, h);
    return true;
}

// Ends a link on which comes what can't be read. That was the answer to one leaf call: to the oldest that was
// written, unless it has been `told`. The others are called off, since nothing more comes here. Guards
// against blaming a node many times for one spoilt answer.
void NodeConnectionPool::spoil(Handle h, bool told) {
    Link& link = *links_.find(h);
    const auto first = std::find_if(link.carried.begin(), link.carried.end(),
                                    [&](const InFlightAttempt& c) { return written(link, c); });
    if (!told && first != link.carried.end()) owner_.on_call_lost(Handle(first->call), Outcome::error);
    close(h, Outcome::cancelled);
}

// Of what is not yet written, loses those pieces that `which` names, as never sent.
template <typename Which>
void NodeConnectionPool::lose_unwritten(Link& link, Which which) {
    std::vector<Handle> lost;
    for (Outgoing& frame : link.queue)
        std::erase_if(frame.pieces, [&](const AttemptMessage& piece) {
            if (!which(piece)) return false;
            lost.push_back(piece.call);
            return true;
        });
    std::erase_if(link.queue,
                  [](const Outgoing& frame) { return frame.number != 0 && frame.pieces.empty(); });
    for (const Handle call : lost) owner_.on_call_lost(call, Outcome::not_sent);
}

void NodeConnectionPool::write(Handle h) {
    Link& link = *links_.find(h);
    if (!link.up || link.writing || link.closed) return;
    const Nanos now = time_.now();
    lose_unwritten(link, [now](const AttemptMessage& piece) { return now > piece.send_by; });
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
        for (const AttemptMessage& piece : frame.pieces) {
            lines.push_back(line_of(piece, std::max<Nanos>(piece.until - now, ms)));
            rest += lines.back().size() + piece.query->text.size();
            if (piece.letter != 'R') rest += piece.query->find.size();
        }
        std::string& head = link.heads.emplace_back();
        start_frame(head, frame.pieces.front().letter, rest);
        put(head);
        for (std::size_t j = 0; j < lines.size(); ++j) {
            put(link.heads.emplace_back(std::move(lines[j])));
            const QueryText& q = *link.texts.emplace_back(frame.pieces[j].query);
            put(q.text);
            if (frame.pieces[j].letter != 'R') put(q.find);
        }
        link.ends.emplace_back(frame.number, size);
        if (link.unheard_since == 0) link.unheard_since = now;
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

bool NodeConnectionPool::withdraw(Handle h, Handle call) {
    Link* link = links_.find(h);
    if (link == nullptr || link->closed) return false;
    for (auto frame = link->queue.begin(); frame != link->queue.end(); ++frame) {
        if (std::erase_if(frame->pieces, [call](const AttemptMessage& p) { return p.call == call; }) == 0)
            continue;
        if (frame->pieces.empty()) link->queue.erase(frame);
        return true;
    }
    return false;
}

void NodeConnectionPool::give_up(Handle h, const QueryText& query, std::uint32_t shard, std::uint8_t leg) {
    Link* link = links_.find(h);
    if (link == nullptr || link->closed) return;
    if (link->queue.size() >= max_queued) return close(h, Outcome::reset);  // it has long taken nothing
    std::string id;
    if (link->phased)
        write_phase_id(id, {query.id, shard, leg});
    else
        write_shard_request_id(id, query.id, shard);
    post(h, link->phased ? gives_up_phase : 'A', id);
}

// Queues a frame that holds no calls.
void NodeConnectionPool::post(Handle h, char letter, std::string_view rest) {
    std::string& bytes = links_.find(h)->queue.emplace_back().bytes;
    start_frame(bytes, letter, rest.size());
    bytes += rest;
    write(h);
}

void NodeConnectionPool::done(Handle h, Handle call) {
    Link* link = links_.find(h);
    if (link == nullptr || link->closed) return;
    const auto ended =
        std::find_if(link->carried.begin(), link->carried.end(), [call](auto& c) { return c.call == call; });
    if (ended != link->carried.end()) {
        if (link->past.size() < max_past)
            link->past.push_back(ended->mark);
        else
            link->past[link->past_at++ % max_past] = ended->mark;
        link->carried.erase(ended);
    }
    idle_if_empty(h);
}

void NodeConnectionPool::idle_if_empty(Handle h) {
    Link& link = *links_.find(h);
    if (link.closed || !link.carried.empty()) return;
    if (!link.up) {
        if (std::find(waiting_.begin(), waiting_.end(), h) != waiting_.end()) close(h, Outcome::not_sent);
        return;
    }
    if (!link.in.empty() || silent(link) || (link.retired && !link.writing && link.queue.empty()))
        return close(h, Outcome::reset);
    link.unheard_since = 0;
    time_.due.move(link.due, link.retired ? time_.now() : time_.now() + idle_, *this, h);
    open_waiting();
}

void NodeConnectionPool::on_due(Handle h, std::uint64_t) {
    Link& link = *links_.find(h);
    link.due = TimerQueue::none;
    if (!link.in.empty()) {
        log_spoilt(link.node);
        return spoil(h, false);
    }
    close(h, Outcome::connect_failed);  // it is idle, or was not made in time
}

void NodeConnectionPool::retire(std::uint32_t node, bool leaving) {
    for (const Handle h : of_node(node)) {
        Link& link = *links_.find(h);
        link.retired = true;
        if (leaving) lose_unwritten(link, [](const AttemptMessage&) { return true; });
        if (links_.find(h) == nullptr) continue;  // it waited, and for nothing now
        if (!link.closed && link.carried.empty()) link.up ? idle_if_empty(h) : close(h, Outcome::not_sent);
    }
}

void NodeConnectionPool::close_all() {
    opening_ = true;  // none after these
    links_.each([this](Handle h, Link&) { close(h, Outcome::reset); });
}

bool NodeConnectionPool::written(const Link& link, const InFlightAttempt& c,
                                 std::size_t bytes_written) const {
    for (const Outgoing& frame : link.queue)
        if (frame.number == c.frame) return false;
    for (const auto& [frame, end] : link.ends)
        if (frame == c.frame && bytes_written < end) return false;
    return true;
}

// Ends a link and all leaf calls on it. What was written may have run: that ends as `outcome` says; what was
// not never has.
void NodeConnectionPool::close(Handle h, Outcome outcome, std::size_t bytes_written) {
    Link* link = links_.find(h);
    if (link == nullptr || link->closed) return;
    link->closed = true;
    time_.due.drop(link->due);
    error_code ec;
    opened_ -= link->socket.is_open();
    link->socket.close(ec);
    std::erase(waiting_, h);
    if (const auto of = of_node_.find(link->node); std::erase(of->second, h) > 0 && of->second.empty())
        of_node_.erase(of);
    const auto carried = std::exchange(link->carried, {});
    for (const InFlightAttempt& c : carried)
        owner_.on_call_lost(c.call, written(*link, c, bytes_written) ? outcome : Outcome::connect_failed);
    link->queue.clear();
    settle(h);
    open_waiting();
}

void NodeConnectionPool::settle(Handle h) {
    Link* link = links_.find(h);
    if (link != nullptr && link->closed && link->operations == 0) links_.give_back(h);
}

}  // namespace tealcart
