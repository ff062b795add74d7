#include "testing/fleet.hpp"

#include <algorithm>
#include <boost/asio/write.hpp>
#include <charconv>

namespace tealcart::testing {
namespace {

constexpr std::size_t frame_header_bytes = 5;  // the length and the type

using boost::asio::ip::tcp;
using boost::system::error_code;

std::string frame_of(char frame_type, std::string_view rest) {
    std::string out;
    append_frame_header(out, frame_type, rest.size());
    return out.append(rest);
}

bool silent_on(const Behaviour& behaviour, std::uint32_t shard) {
    return behaviour.silent || std::find(behaviour.silent_on.begin(), behaviour.silent_on.end(), shard) !=
                                   behaviour.silent_on.end();
}

}  // namespace

void Connection::read() {
    socket.async_read_some(boost::asio::buffer(buffer_),
                           [self = shared_from_this()](const error_code& ec, std::size_t length) {
                               if (!self->open) return;
                               self->received.append(self->buffer_.data(), length);
                               if (ec || !self->read_handler_(*self)) return self->close(false);
                               if (self->reads) self->read();
                           });
}

void Connection::send(std::string bytes) {
    if (!open) return;
    outgoing_.push_back(std::move(bytes));
    write();
}

void Connection::write() {
    if (writing_ || outgoing_.empty() || !open) return;
    writing_ = true;
    boost::asio::async_write(socket, boost::asio::buffer(outgoing_.front()),
                             [self = shared_from_this()](const error_code& ec, std::size_t) {
                                 self->writing_ = false;
                                 self->outgoing_.pop_front();
                                 if (ec) return self->close(false);
                                 self->write();
                             });
}

void Connection::close(bool reset) {
    if (!open) return;
    open = false;
    error_code ec;
    if (reset) socket.set_option(boost::asio::socket_base::linger(true, 0), ec);
    socket.close(ec);
    if (const auto callback = std::exchange(on_end, nullptr)) callback();
}

LoopbackListener::LoopbackListener(boost::asio::io_context& io, std::uint16_t port,
                                   std::function<Connection::ReadHandler()> make_handler)
    : acceptor_(io, {boost::asio::ip::address_v4::loopback(), port}), make_handler_(std::move(make_handler)) {
    accept();
}

void LoopbackListener::accept() {
    acceptor_.async_accept([this](const error_code& ec, tcp::socket socket) {
        if (ec == boost::asio::error::operation_aborted) return;
        if (!ec) {
            error_code ignored;
            socket.set_option(tcp::no_delay(true), ignored);
            auto accepted = std::make_shared<Connection>(std::move(socket), make_handler_());
            std::erase_if(connections_, [](const auto& connection) { return connection.expired(); });
            connections_.push_back(accepted);
            accepted->read();
        }
        accept();
    });
}

void LoopbackListener::close(bool reset) {
    error_code ec;
    acceptor_.close(ec);
    for (const auto& weak_connection : connections_)
        if (const auto connection = weak_connection.lock()) connection->close(reset);
}

DataNode::DataNode(boost::asio::io_context& io, Script& script, NodeScript& node_script)
    : io_(io), script_(script), node_script_(node_script), listener_(io, node_script.port, [this] {
          return [this](Connection& connection) { return handle_bytes(connection); };
      }) {}

bool DataNode::handle_bytes(Connection& connection) {
    std::string_view unread = connection.received;
    Frame frame;
    FrameStatus frame_status = FrameStatus::incomplete;
    while ((frame_status = take_frame(unread, frame)) == FrameStatus::complete) {
        work.bytes_in += frame.payload.size() + frame_header_bytes;
        bool valid = true;
        if (frame.type == 'R')
            valid = serve_shard_requests(connection, frame.payload);
        else if (frame.type == summary_request_frame || frame.type == rows_request_frame)
            valid = serve_phase_requests(connection, frame.type, frame.payload);
        else if (frame.type == 'A' || frame.type == phase_cancel_frame)
            ++work.cancellations;
        else if (frame.type == 'G')
            connection.send(frame_of('G', "OK"));
        else
            valid = false;
        if (!valid) return false;
    }
    connection.received.erase(0, connection.received.size() - unread.size());
    return frame_status == FrameStatus::incomplete;
}

void DataNode::answer_after(Nanos delay, Connection& connection, std::string bytes) {
    work.bytes_out += bytes.size();
    if (delay <= 0) return connection.send(std::move(bytes));
    auto timer = std::make_shared<boost::asio::steady_timer>(io_, std::chrono::nanoseconds(delay));
    timer->async_wait([timer, bytes = std::move(bytes), self = connection.shared_from_this()](
                          const error_code&) mutable { self->send(std::move(bytes)); });
}

// The text of a one-phase query states the criteria as in a two-phase frame, with the number of rows on the
// first line, so that both ways of querying can be compared.
SearchCriteria DataNode::criteria_in(std::string_view text) const {
    SearchCriteria criteria;
    const auto end = text.find('\n');
    int rows = 0;
    const auto [rows_end, ec] = std::from_chars(text.data(), text.data() + std::min(end, text.size()), rows);
    if (ec == std::errc() && end != text.npos && rows_end == text.data() + end)
        if (auto parsed_criteria = read_search_criteria(text.substr(end + 1)))
            criteria = std::move(*parsed_criteria), criteria.rows = rows;
    return criteria;
}

// Each shard request is a line `ID SHARD LIST LENGTH`, followed by LENGTH bytes of text.
bool DataNode::serve_shard_requests(Connection& connection, std::string_view rest) {
    const Behaviour& behaviour = node_script_.behaviour;
    for (std::size_t end = 0; (end = rest.find('\n')) != std::string_view::npos;) {
        const std::string_view line = rest.substr(0, end);
        rest.remove_prefix(end + 1);
        const std::string id(line.substr(0, line.find(' ')));
        std::size_t length = 0;
        const std::string_view length_text = line.substr(line.rfind(' ') + 1);
        std::from_chars(length_text.data(), length_text.data() + length_text.size(), length);
        if (length > rest.size()) return false;
        const std::string text(rest.substr(0, length));
        rest.remove_prefix(length);
        std::uint32_t shard = 0;
        const auto dot = id.rfind('.');
        if (dot == id.npos) return false;
        std::from_chars(id.data() + dot + 1, id.data() + id.size(), shard);
        if (shard >= script_.shards) return false;
        ++work.calls;
        if (on_request) on_request('R', shard);
        if (behaviour.resets) return connection.close(true), false;
        if (silent_on(behaviour, shard)) continue;
        if (behaviour.rejects || behaviour.errs) {
            answer_after(behaviour.call_delay, connection,
                         frame_of('Y', id + (behaviour.rejects ? " REJECTED 0 -\n" : " ERROR 0 -\n")));
            continue;
        }
        const SearchCriteria criteria = criteria_in(text);
        const auto rows = best_rows(script_.sections[shard], criteria);
        ++work.lookups;
        work.records += rows.size();
        const std::string value = criteria.rows > 0 ? format_rows(rows, script_.record_bytes)
                                                    : node_script_.name + " on '" + text + "'";
        answer_after(behaviour.call_delay, connection, frame_of('Y', id + " OK 1 -\n" + value));
    }
    return true;
}

bool DataNode::serve_phase_requests(Connection& connection, char frame_type, std::string_view rest) {
    const Behaviour& behaviour = node_script_.behaviour;
    if (behaviour.refusal == Refusal::close) return false;
    if (behaviour.refusal == Refusal::error_frame) {
        connection.send(frame_of('N', "an unknown letter"));
        return true;  // the router closes the connection, and this side does on its next bytes
    }
    for (std::size_t end = 0; (end = rest.find('\n')) != std::string_view::npos;) {
        const auto line = read_phase_request_line(rest.substr(0, end));
        rest.remove_prefix(end + 1);
        if (!line || line->text_size > rest.size() || line->criteria_size > rest.size() - line->text_size)
            return false;
        auto criteria = read_search_criteria(rest.substr(line->text_size, line->criteria_size));
        rest.remove_prefix(line->text_size + line->criteria_size);
        if (!criteria || line->id.shard >= script_.shards) return false;
        criteria->rows = line->rows;
        const std::uint32_t shard = line->id.shard;
        ++(frame_type == summary_request_frame ? work.summaries : work.rows);
        if (on_request) on_request(frame_type, shard);
        if (behaviour.resets) return connection.close(true), false;
        if (silent_on(behaviour, shard) ||
            (frame_type == summary_request_frame && behaviour.silent_summaries))
            continue;
        const char answer_type = frame_type == summary_request_frame ? summary_frame : rows_frame;
        const Nanos delay =
            frame_type == summary_request_frame ? behaviour.summary_delay : behaviour.rows_delay;
        std::string out;
        if (behaviour.rejects || behaviour.errs) {
            write_phase_failure_frame(out, answer_type, line->id, behaviour.rejects ? "REJECTED" : "ERROR");
            answer_after(delay, connection, std::move(out));
            continue;
        }
        const Section& section = script_.sections[shard];
        ++work.lookups;
        if (frame_type == summary_request_frame) {
            SectionSummary summary = summarize(section, *criteria, behaviour.lease, line->wants_filter);
            if (behaviour.hides_rows) summary.no_matches = true, summary.top_ranks.clear();
            summary.max_rank += behaviour.bound_error;
            for (double& rank : summary.top_ranks) rank += behaviour.bound_error;
            if (behaviour.malformed_summaries) {
                std::string id;
                write_phase_request_id(id, line->id);
                out = frame_of(summary_frame, id + " OK 1 u=1,s=99,l=0\n");
            } else {
                write_summary_frame(out, line->id, summary);
            }
        } else {
            const auto rows = best_rows(section, *criteria);
            work.records += rows.size();
            std::vector<double> ranks;
            for (const Row* row : rows) ranks.push_back(row->rank);
            const std::uint64_t version =
                section.version - std::min(section.version, behaviour.versions_behind);
            write_rows_frame(out, line->id, version, ranks, format_rows(rows, script_.record_bytes));
        }
        answer_after(delay, connection, std::move(out));
    }
    return true;
}

Discovery::Discovery(boost::asio::io_context& io, std::uint16_t port)
    : listener_(io, port, [this] {
          return [this, reader = std::make_shared<RequestReader>()](Connection& connection) {
              return handle_bytes(connection, *reader);
          };
      }) {}

// Sends full lists only. The first request of a connection is answered at once, a later one when the list
// changes.
bool Discovery::handle_bytes(Connection& connection, RequestReader& reader) {
    ParseStatus parse_status = ParseStatus::incomplete;
    while ((parse_status = reader.feed(connection.received)) == ParseStatus::complete) {
        const bool first = answered_.insert(&connection).second;
        reader.next();
        if (first)
            answer(connection);
        else
            watching_.insert(connection.shared_from_this());
    }
    return parse_status == ParseStatus::incomplete;
}

void Discovery::answer(Connection& connection) {
    const std::string body = "{\"generation\":" + std::to_string(generation_) +
                             ",\"reset\":true,\"instances\":[" + entries_ + "]}";
    connection.send(write_response_head({200, body.size(), 0, false}) + body);
}

void Discovery::publish(std::string entries) {
    entries_ = std::move(entries);
    ++generation_;
    for (const auto& connection : std::exchange(watching_, {})) answer(*connection);
}

Fleet::Fleet(boost::asio::io_context& io, Script script)
    : discovery(io, script.discovery_port), script_(std::move(script)), timer_(io) {
    for (NodeScript& node : script_.nodes) nodes.emplace_back(io, script_, node);
    publish();
}

std::string Fleet::entries() const {
    std::string all;
    for (std::size_t i = 0; i < nodes.size(); ++i) {
        if (script_.nodes[i].behaviour.lifecycle == "removed") continue;
        all.append(all.empty() ? "" : ",").append(endpoint_json(script_.nodes[i], nodes[i].address()));
    }
    return all;
}

void Fleet::publish() { discovery.publish(entries()); }

WorkCounts Fleet::work() const {
    WorkCounts sum;
    for (const DataNode& node : nodes) {
        sum.summaries += node.work.summaries, sum.rows += node.work.rows, sum.calls += node.work.calls;
        sum.lookups += node.work.lookups, sum.records += node.work.records,
            sum.cancellations += node.work.cancellations;
        sum.bytes_in += node.work.bytes_in, sum.bytes_out += node.work.bytes_out;
    }
    return sum;
}

void Fleet::start() {
    began_ = std::chrono::steady_clock::now();
    schedule_next_change();
}

void Fleet::schedule_next_change() {
    if (next_change_ >= script_.changes.size()) return;
    timer_.expires_at(began_ + std::chrono::nanoseconds(script_.changes[next_change_].at));
    timer_.async_wait([this](const error_code& ec) {
        if (ec) return;
        apply(script_.changes[next_change_++]);
        schedule_next_change();
    });
}

void Fleet::apply(const Change& change) {
    for (const std::uint32_t shard : change.shards) {
        Section& section = script_.sections[shard];
        ++section.version;
        for (Row& row : section.rows) row.rank += change.rank_by;
        sort_rows(section.rows);
    }
    std::vector<HclError> ignored;  // the script has been validated already
    for (NodeScript& node : script_.nodes)
        if (node.name == change.node) node.behaviour = read_behaviour(change.block, node.behaviour, ignored);
    if (!change.node.empty()) publish();
}

}  // namespace tealcart::testing
