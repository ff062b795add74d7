#include "wire/long_poll.hpp"

#include <algorithm>
#include <boost/asio/write.hpp>

#include "log/log.hpp"
#include "wire/member_messages.hpp"

namespace tealcart {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr Nanos millisecond = 1'000'000;
constexpr Nanos answer_slack = 1000 * millisecond;  // by which an answer may exceed its call's wait
constexpr Nanos connect_timeout = 500 * millisecond;
constexpr Nanos min_backoff = 50 * millisecond;  // doubled with each consecutive failure
constexpr Nanos max_backoff = 1600 * millisecond;
constexpr int max_doublings = 6;           // limits the backoff's doubling
constexpr int max_conflict_doublings = 5;  // after answers with status 409
enum Due : std::uint64_t { timed_out, retry };

std::string request_of(const std::string& path, const std::string& host, const std::string& body) {
    return "POST " + path + " HTTP/1.1\r\nHost: " + host +
           "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

}  // namespace

LongPoll::LongPoll(boost::asio::io_context& io, EventClock& time, LongPollObserver& observer,
                   std::string_view path, std::vector<HostPort> addresses, std::size_t first,
                   std::uint64_t jitter_seed, ResponseSizeLimit limit)
    : io_(io), time_(time), observer_(observer), path_(path), addresses_(std::move(addresses)),
      limit_(std::move(limit)), address_index_(addresses_.empty() ? 0 : first % addresses_.size()),
      random_(jitter_seed) {}

void LongPoll::disconnect() {
    error_code ignored;
    if (connection_) connection_->socket.close(ignored);
    connection_.reset();
    sent_at_ = 0;
}

void LongPoll::stop() {
    time_.timers.cancel(due_);
    disconnect();
}

void LongPoll::connect() {
    next_pending_ = false;
    disconnect();
    connection_ = std::make_shared<Connection>(io_, limit_.bytes);
    error_code ec;
    const auto host = boost::asio::ip::make_address(address().host, ec);
    if (ec) return fail("its address is not an IP address");
    time_.timers.reschedule(due_, time_.now() + connect_timeout, *this, Handle{}, timed_out);
    const auto on_connect = [this, connection = connection_](const error_code& failed) {
        if (connection != connection_) return;
        if (failed) return fail(failed.message().c_str());
        error_code ignored;
        connection->socket.set_option(tcp::no_delay(true), ignored);
        send_call();
    };
    connection_->socket.async_connect({host, address().port}, on_connect);
}

void LongPoll::send_call() {
    const LongPollObserver::Call call = observer_.next_call();
    connection_->out = request_of(path_, address().host, call.body);
    ++traffic_.requests;
    traffic_.bytes_sent += connection_->out.size();
    sent_at_ = time_.now();  // taken before the write, since the lease counts from here
    time_.timers.reschedule(due_, sent_at_ + call.wait + answer_slack, *this, Handle{}, timed_out);
    boost::asio::async_write(connection_->socket, boost::asio::buffer(connection_->out),
                             [this, connection = connection_](const error_code& failed, std::size_t) {
                                 if (failed && connection == connection_) fail(failed.message().c_str());
                             });
    read(connection_);
}

void LongPoll::read(const ConnectionPtr& connection) {
    const auto on_read = [this, connection](const error_code& failed, std::size_t size) {
        if (connection != connection_) return;
        if (failed) return fail(failed.message().c_str());
        traffic_.bytes_received += size;
        connection->in.append(connection->buffer.data(), size);
        on_bytes(connection);
    };
    connection->socket.async_read_some(boost::asio::buffer(connection->buffer), on_read);
}

void LongPoll::on_bytes(const ConnectionPtr& connection) {
    ResponseReader& reader = connection->reader;
    const ParseStatus status = reader.feed(connection->in);
    if (status == ParseStatus::incomplete) return read(connection);
    if (status == ParseStatus::malformed) return on_malformed(reader);
    switch (reader.status()) {
        case 200:
            return on_complete(reader);
        case 409:
            return on_conflict(reader.body());
        case 421:
            return on_not_leader(reader.body());
        default:
            return fail("it answered with an error status");
    }
}

void LongPoll::on_malformed(const ResponseReader& reader) {
    if (!reader.too_long()) return fail("its answer is malformed HTTP");
    const bool stated = reader.stated_length() > 0;
    if (!std::exchange(limit_logged_, true))
        log_line("%s: an answer of %s%llu bytes exceeds the limit of %zu bytes (%s)", path_.c_str(),
                 stated ? "" : "over ",
                 static_cast<unsigned long long>(stated ? reader.stated_length() : limit_.bytes),
                 limit_.bytes, limit_.reason.c_str());
    fail("its answer is too long");
}

// The redirect to a leader is followed only if the configuration names the leader's address.
void LongPoll::on_not_leader(std::string_view body) {
    const auto leader = read_not_leader(body);
    const auto address = leader ? parse_host_port(*leader) : std::nullopt;
    const auto known = std::find(addresses_.begin(), addresses_.end(), address.value_or(HostPort{}));
    if (!address || known == addresses_.end())
        return fail("it is not the leader and names no known address of one");
    const Nanos pause = failures_++ == 0 ? 0 : min_backoff;
    go_to(static_cast<std::size_t>(known - addresses_.begin()), pause);
}

void LongPoll::on_conflict(std::string_view body) {
    const auto last_incarnation = read_superseded(body);
    if (!last_incarnation) return fail("its answer with status 409 is malformed");
    observer_.on_superseded(*last_incarnation);
    go_to(address_index_, min_backoff << std::min(failures_++, max_conflict_doublings));
}

void LongPoll::on_complete(ResponseReader& reader) {
    if (!observer_.read(reader.body())) return fail("the body of its answer is malformed");
    if (std::exchange(unreachable_, false)) observer_.on_reachable_again();
    failures_ = 0;
    limit_logged_ = false;
    time_.timers.cancel(due_);
    const bool keep_alive = reader.keep_alive();
    const Nanos sent = sent_at_;
    reader.next();
    if (!keep_alive) disconnect();
    next_pending_ = true;
    observer_.on_answer(sent);
}

void LongPoll::next() {
    if (!std::exchange(next_pending_, false)) return;
    if (connection_)
        send_call();
    else
        connect();
}

Nanos LongPoll::backoff() {
    const Nanos pause = std::min(max_backoff, min_backoff << std::min(failures_, max_doublings));
    if (random_ == 0) return pause;
    // A linear congruential generator with Knuth's constants.
    random_ = random_ * 6364136223846793005u + 1442695040888963407u;
    return pause / 2 + static_cast<Nanos>((random_ >> 33) % static_cast<std::uint64_t>(pause));
}

void LongPoll::fail(const char* reason) {
    if (failures_ == static_cast<int>(addresses_.size()) && !std::exchange(unreachable_, true))
        observer_.on_unreachable(reason);
    const Nanos pause = backoff();
    ++failures_;
    go_to((address_index_ + 1) % addresses_.size(), pause);
}

void LongPoll::go_to(std::size_t address_index, Nanos pause) {
    disconnect();
    next_pending_ = false;
    address_index_ = address_index;
    time_.timers.reschedule(due_, time_.now() + pause, *this, Handle{}, retry);
}

void LongPoll::on_timer_due(Handle, std::uint64_t what) {
    due_ = TimerQueue::none;
    if (what == retry) return connect();
    fail("it was silent for longer than a call may wait");
}

}  // namespace tealcart
