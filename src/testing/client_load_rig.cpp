#include "testing/client_load_rig.hpp"

#include <algorithm>
#include <csignal>
#include <fstream>
#include <stdexcept>

#include "testing/fleet_rig.hpp"
#include "wire/node_frames.hpp"

namespace tealcart::testing {
namespace {

using Json = nlohmann::json;
using Ms = std::chrono::milliseconds;

constexpr int shards = 12, replicas_per_shard = 3;
constexpr int shards_per_query = 4;
constexpr std::size_t max_answer_bytes = 1 << 20;
// Clients use a connection again only if it has rested for less than this.
constexpr Ms max_rest{1500};
constexpr Ms poll_interval{5}, ready_timeout{10'000}, memory_sample_interval{20};
constexpr Ms lateness_allowed{500};  // "Up to half a second after its time it only earns nothing"

TimePoint now() { return std::chrono::steady_clock::now(); }

Ms span(TimePoint from, TimePoint to) { return std::chrono::duration_cast<Ms>(to - from); }

std::string frame_of(char type, const std::string& rest) {
    std::string out;
    append_frame_header(out, type, rest.size());
    return out + rest;
}

}  // namespace

std::string AnswerCounts::text() const {
    return std::to_string(queries) + " queries, " + std::to_string(served) + " served, " +
           std::to_string(refused) + " refused, " + std::to_string(failed) + " failed, " +
           std::to_string(late) + " late or without answer, worst " + std::to_string(worst.count()) + " ms";
}

ClientLoadRig::ClientLoadRig(boost::asio::io_context& io, ClientLoadOptions options)
    : io_(io), options_(std::move(options)), port_(free_ports(1).front()), query_timer_(io),
      pause_timer_(io) {
    measure_pauses();
    for (std::size_t i = 0; i < options_.nodes; ++i) {
        nodes_.push_back(std::make_unique<LoopbackListener>(io_, 0, [this] {
            return [this](Connection& connection) { return serve_node_bytes(connection); };
        }));
        entries_ += (i > 0 ? R"(,{"instanceId":"n)" : R"({"instanceId":"n)") + std::to_string(i) +
                    R"(","hostPort":")" + nodes_.back()->address() +
                    R"(","zone":"a","machineType":"m","cell":)" + std::to_string(i) +
                    R"(,"lifecycle":"up","weight":1.0,"startedAtMs":0})";
    }
    discovery_ = std::make_unique<Discovery>(io_, 0);
    discovery_->publish(entries_);
    write_config();
    start_router();
}

ClientLoadRig::~ClientLoadRig() {
    sends_queries_ = false;
    for (const auto& query_connection : connections_) {
        query_connection->connection->on_end = nullptr;
        query_connection->connection->close(false);
    }
}

void ClientLoadRig::write_config() {
    Json settings = platform_settings(1, options_.nodes, shards, replicas_per_shard);
    settings["limits"]["may_cancel"] = options_.may_cancel;
    settings["limits"]["most_held"] = options_.most_held;
    const Json config = {
        {"name", "n0"},
        {"listen", "127.0.0.1:" + std::to_string(port_)},
        {"discovery", discovery_->address()},
        {"seed", "8c1f30d27a5be964"},
        {"limits", {{"cores", 1.0}, {"memory_mb", options_.memory_mb}, {"sockets", options_.sockets}}},
        {"known", Json::parse(R"({"generation":2,"reset":true,"instances":[)" + entries_ + "]}")},
        {"settings", settings}};
    directory_.write("config.json", config.dump());
}

void ClientLoadRig::start_router() {
    router_.reset();
    router_ = std::make_unique<Process>(io_, event_log, "router",
                                        std::vector<std::string>{options_.programs + "/tealcart", "serve",
                                                                 "--config", directory_.path("config.json")});
    if (!until([this] { return router_->has_printed(" serves at ") || router_->ended(); }, ready_timeout) ||
        router_->ended())
        throw std::runtime_error("the router does not start:\n" + event_log.text());
}

bool ClientLoadRig::terminate_router(Ms arrivals, Ms kill_after) {
    const TimePoint stopped_at = now();
    router_->signal(SIGTERM);
    until([this] { return router_->ended(); }, arrivals);
    opens_connections_ = false;
    const bool ended = until([this] { return router_->ended(); }, kill_after - span(stopped_at, now()));
    // What is unanswered at this kill is lost, so nothing is exempt.
    if (!ended) router_->signal(SIGKILL);
    until([this] { return router_->ended(); }, ready_timeout);
    opens_connections_ = true;
    return ended && router_->status() == 0;
}

void ClientLoadRig::kill_router() {
    sample_memory();
    router_->signal(SIGKILL);
    until([this] { return router_->ended(); }, ready_timeout);
    // Also those that were sent while the process was ending.
    for (OrdinaryQuery& query : queries_) query.exempt |= query.status == 0;
}

void ClientLoadRig::run_for(Ms span) {
    until([] { return false; }, span);
}

// A timer waits behind all handlers that are ready, as the clients' answers do.
void ClientLoadRig::measure_pauses() {
    pause_timer_.expires_after(poll_interval);
    pause_timer_.async_wait([this](const auto& failure) {
        if (failure) return;
        worst_pause_ = std::max(worst_pause_, span(pause_timer_.expiry(), now()));
        measure_pauses();
    });
}

bool ClientLoadRig::until(const std::function<bool()>& holds, Ms within) {
    const TimePoint end = now() + within;
    while (!holds()) {
        if (now() > end) return false;
        io_.run_one_for(poll_interval);
        if (router_ != nullptr && now() >= sample_memory_at_) sample_memory();
    }
    return true;
}

std::size_t ClientLoadRig::peak_memory_bytes() {
    sample_memory();
    return peak_memory_bytes_;
}

// The system states the peak of a process since its start, so only the last moments before its end are
// missed.
void ClientLoadRig::sample_memory() {
    constexpr std::size_t bytes_per_kb = 1024;
    sample_memory_at_ = now() + memory_sample_interval;
    std::ifstream status("/proc/" + std::to_string(router_->pid()) + "/status");
    std::size_t kilobytes = 0;
    for (std::string word; status >> word;)
        if (word == "VmHWM:" && status >> kilobytes) break;
    peak_memory_bytes_ = std::max(peak_memory_bytes_, kilobytes * bytes_per_kb);
}

// Answers each part of a call with its text.
bool ClientLoadRig::serve_node_bytes(Connection& connection) {
    if (nodes_hang_) {
        connection.reads = false;
        hung_.push_back(connection.shared_from_this());
        return true;
    }
    std::string_view unread = connection.received;
    Frame frame;
    while (take_frame(unread, frame) == FrameStatus::complete) {
        if (frame.type == 'G') connection.send(frame_of('G', "OK"));
        std::string_view rest = frame.payload;
        while (frame.type == 'R' && !rest.empty()) {
            const std::string line(rest.substr(0, rest.find('\n')));
            const std::string part = line.substr(0, line.find(' '));
            const auto length = std::stoul(line.substr(line.rfind(' ') + 1));
            const std::string text(rest.substr(line.size() + 1, length));
            rest.remove_prefix(line.size() + 1 + length);
            attempts_[part.substr(0, part.rfind('.'))].push_back(now());
            if (nodes_are_silent_) continue;
            auto timer = std::make_shared<boost::asio::steady_timer>(io_, options_.node_delay);
            timer->async_wait([timer, answer = frame_of('Y', part + " OK 1 -\n" + text),
                               self = connection.shared_from_this()](const auto&) { self->send(answer); });
        }
    }
    connection.received.erase(0, connection.received.size() - unread.size());
    return true;
}

void ClientLoadRig::start_queries() {
    sends_queries_ = true;
    query_timer_.expires_after(options_.query_interval);
    send_next_query();
}

void ClientLoadRig::send_next_query() {
    if (!sends_queries_) return;
    const std::size_t number = queries_.size();
    OrdinaryQuery& query = queries_.emplace_back();
    query.id = "o" + std::to_string(options_.seed) + "-" + std::to_string(number);
    const bool keyed = number % 3 == 2;
    std::string body = R"({"segments":[)";
    for (int i = 0; i < shards_per_query; ++i)
        body += (i > 0 ? R"(,{"segment":)" : R"({"segment":)") +
                std::to_string((static_cast<int>(number % shards) + i) % shards) + R"(,"boost":0.25})";
    body += R"(],"text":"c41e77d0"})";
    query.bytes = std::string("POST /") + (keyed ? "adjust" : "search") +
                  " HTTP/1.1\r\nHost: x\r\nX-Request-Id: " + query.id +
                  "\r\nX-Deadline-Ms: " + std::to_string(options_.query_deadline.count()) +
                  (keyed ? "\r\nIdempotency-Key: k" + query.id : "") +
                  "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    query.sent_at = now();
    send(number, false);
    query_timer_.expires_at(std::max(query_timer_.expiry() + options_.query_interval, now()));
    query_timer_.async_wait([this](const auto& failure) {
        if (!failure) send_next_query();
    });
}

void ClientLoadRig::send(std::size_t query, bool on_new_connection) {
    std::shared_ptr<QueryConnection> chosen;
    for (const auto& candidate : connections_)
        if (!on_new_connection && candidate->query == SIZE_MAX && candidate->connection->open &&
            span(candidate->idle_since, now()) < max_rest)
            chosen = candidate;
    if (chosen == nullptr) chosen = open_connection();
    if (chosen == nullptr) {  // it was not taken on, so nothing is owed
        queries_[query].exempt = true;
        return;
    }
    chosen->query = query;
    chosen->connection->send(queries_[query].bytes);
}

std::shared_ptr<ClientLoadRig::QueryConnection> ClientLoadRig::open_connection() {
    if (!opens_connections_) return nullptr;
    boost::asio::ip::tcp::socket socket(io_);
    boost::system::error_code failure;
    socket.connect({boost::asio::ip::address_v4::loopback(), port_}, failure);
    if (failure) return nullptr;
    socket.set_option(boost::asio::ip::tcp::no_delay(true), failure);
    std::erase_if(connections_, [](const auto& each) { return !each->connection->open; });
    auto opened = std::make_shared<QueryConnection>();
    opened->reader = std::make_shared<ResponseReader>(max_answer_bytes);
    const std::weak_ptr<QueryConnection> weak = opened;
    opened->connection = std::make_shared<Connection>(std::move(socket), [this, weak](Connection&) {
        const auto self = weak.lock();
        return self != nullptr && read_answers(*self);
    });
    opened->connection->on_end = [this, weak] {
        if (const auto self = weak.lock()) on_connection_end(*self);
    };
    opened->connection->read();
    connections_.push_back(opened);
    return opened;
}

bool ClientLoadRig::read_answers(QueryConnection& query_connection) {
    std::string& received = query_connection.connection->received;
    while (!received.empty()) {
        const ParseStatus status = query_connection.reader->feed(received);
        if (status != ParseStatus::complete) return status == ParseStatus::incomplete;
        if (query_connection.query == SIZE_MAX) return false;
        OrdinaryQuery& query = queries_[query_connection.query];
        query.status = query_connection.reader->status();
        query.answered_at = now();
        const bool keep = query_connection.reader->keep_alive();
        query_connection.reader->next();
        query_connection.query = SIZE_MAX;
        query_connection.used = true;
        query_connection.idle_since = now();
        if (!keep) return false;
    }
    return true;
}

// A close that crosses a request on a connection that was used before makes the client send it once more.
void ClientLoadRig::on_connection_end(QueryConnection& query_connection) {
    if (query_connection.query == SIZE_MAX) return;
    const std::size_t number = std::exchange(query_connection.query, SIZE_MAX);
    OrdinaryQuery& query = queries_[number];
    if (!query_connection.used || query.sent_again) return;
    query.sent_again = true;
    send(number, true);
}

bool ClientLoadRig::is_open(const OrdinaryQuery& query) const {
    return query.status == 0 && !query.exempt &&
           now() - query.sent_at <= options_.query_deadline + lateness_allowed;
}

void ClientLoadRig::finish_queries() {
    sends_queries_ = false;
    query_timer_.cancel();
    until(
        [this] {
            return std::none_of(queries_.begin(), queries_.end(),
                                [this](const OrdinaryQuery& query) { return is_open(query); });
        },
        options_.query_deadline + lateness_allowed + Ms(100));
}

AnswerCounts ClientLoadRig::answers() const {
    constexpr int ok = 200, too_many = 429, unavailable = 503;
    AnswerCounts counts;
    for (const OrdinaryQuery& query : queries_) {
        if (query.exempt) continue;
        ++counts.queries;
        const bool refused = query.status == too_many || query.status == unavailable;
        ++(query.status == ok ? counts.served : refused ? counts.refused : counts.failed);
        const Ms took = span(query.sent_at, query.status != 0 ? query.answered_at : now());
        counts.late += took > options_.query_deadline + lateness_allowed;
        counts.worst = std::max(counts.worst, took);
    }
    return counts;
}

std::vector<std::string> ClientLoadRig::late_queries() const {
    std::vector<std::string> found;
    for (const OrdinaryQuery& query : queries_) {
        const Ms took = span(query.sent_at, query.status != 0 ? query.answered_at : now());
        if (query.exempt || took <= options_.query_deadline + lateness_allowed) continue;
        found.push_back(query.id + ", sent at " +
                        std::to_string(span(event_log.started_at, query.sent_at).count()) + " ms, status " +
                        std::to_string(query.status) + " after " + std::to_string(took.count()) + " ms" +
                        (query.sent_again ? ", sent again" : "") + ", attempts after");
        for (const TimePoint at : attempts_of(query.id))
            found.back() += " " + std::to_string(span(query.sent_at, at).count()) + " ms";
    }
    return found;
}

const std::vector<TimePoint>& ClientLoadRig::attempts_of(const std::string& query_id) const {
    static const std::vector<TimePoint> none;
    const auto found = attempts_.find(query_id);
    return found == attempts_.end() ? none : found->second;
}

std::vector<std::string> ClientLoadRig::attempts_after(const std::vector<Departure>& departures,
                                                       Ms allowed) const {
    std::vector<std::string> found;
    for (const Departure& departure : departures)
        for (const TimePoint at : attempts_of(departure.id))
            if (at - departure.closed_at > allowed)
                found.push_back(departure.id + " began " +
                                std::to_string(span(departure.closed_at, at).count()) +
                                " ms after its client had left");
    return found;
}

}  // namespace tealcart::testing
