#include "wire/discovery_watch.hpp"

#include <algorithm>
#include <boost/asio/write.hpp>
#include <utility>

#include "log/log.hpp"
#include "wire/endpoint_list_codec.hpp"

namespace tealcart {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr Nanos millisecond = 1'000'000;
// The router is expected to know a change 6 s after discovery has it, even if a silent connection delayed it.
// The longest poll with its slack, followed by two failing connections (one if lists are polled), takes less
// than that. The first poll after a failure is short, to show that its connection is alive.
constexpr Nanos max_poll_wait = 2500 * millisecond;
constexpr Nanos first_poll_wait = 100 * millisecond;
constexpr Nanos poll_slack = 500 * millisecond;  // beyond the poll's wait, before its connection is closed
constexpr Nanos connect_timeout = 1000 * millisecond;
// Doubled for each consecutive failure; half of it is jitter.
constexpr Nanos first_backoff = 100 * millisecond;
// In push mode the agent on this machine answers at once and at no cost. In poll mode one discovery service
// handles the polls of all routers in sequence, rejects those that would wait for longer than 2 s, and spends
// time on each rejection. A poll that its router abandons in that queue is still processed, to no benefit.
constexpr Nanos push_first_answer = 1000 * millisecond, poll_first_answer = 2500 * millisecond;
constexpr Nanos push_max_backoff = 400 * millisecond, poll_max_backoff = 1600 * millisecond;
// Pause after an early answer without changes. A pause of 200 ms would end the watch.
constexpr Nanos idle_pause = 100 * millisecond;
enum Due : std::uint64_t { silence, reconnect, next_poll };

}  // namespace

DiscoveryWatch::DiscoveryWatch(boost::asio::io_context& io, EventClock& clock, EndpointListObserver& observer,
                               HostPort address, Discovery mode, std::uint32_t places, std::uint64_t seed,
                               ResponseSizeLimit limit)
    : io_(io), clock_(clock), observer_(observer), address_(std::move(address)), places_(places),
      limit_(std::move(limit)),
      first_answer_timeout_(mode == Discovery::poll ? poll_first_answer : push_first_answer),
      max_backoff_(mode == Discovery::poll ? poll_max_backoff : push_max_backoff), random_(seed),
      backoff_(first_backoff) {}

void DiscoveryWatch::start(std::uint64_t generation) {
    generation_ = generation;
    connect();
}

void DiscoveryWatch::close(ConnectionPtr& connection) {
    error_code ignored;
    if (connection) connection->socket.close(ignored);
    connection.reset();
}

void DiscoveryWatch::stop() {
    clock_.timers.cancel(timer_);
    close(connection_);
    close(former_);
}

// The new address may count generations differently from the old one, so its full list is polled first.
void DiscoveryWatch::change_address(HostPort address) {
    if (address == address_) return;
    address_ = std::move(address);
    close(former_);
    if (connection_ && connection_->poll_in_flight) std::swap(former_, connection_);
    close(connection_);
    needs_full_list_ = true;
    failure_logged_ = healthy_ = false;
    backoff_ = first_backoff;
    connect();
}

void DiscoveryWatch::connect() {
    connection_ = std::make_shared<Connection>(io_, limit_.bytes);
    error_code failure;
    const auto host = boost::asio::ip::make_address(address_.host, failure);
    if (failure) return fail("its address is not an IP address");
    clock_.timers.reschedule(timer_, clock_.now() + connect_timeout, *this, Handle{}, silence);
    connection_->socket.async_connect({host, address_.port},
                                      [this, connection = connection_](const error_code& result) {
                                          if (connection != connection_) return;
                                          if (result) return lose(connection, result.message().c_str());
                                          error_code ignored;
                                          connection->socket.set_option(tcp::no_delay(true), ignored);
                                          poll();
                                      });
}

void DiscoveryWatch::poll() {
    std::string target = "/api/targets";
    poll_wait_ = healthy_ ? max_poll_wait : first_poll_wait;
    if (!needs_full_list_)
        target +=
            "?index=" + std::to_string(generation_) + "&wait=" + std::to_string(poll_wait_ / millisecond);
    polled_at_ = clock_.now();
    connection_->request = write_get_request(address_.host + ":" + std::to_string(address_.port), target);
    ++traffic_.requests;
    traffic_.bytes_sent += connection_->request.size();
    const Nanos timeout = healthy_ && !needs_full_list_ ? max_poll_wait + poll_slack : first_answer_timeout_;
    clock_.timers.reschedule(timer_, polled_at_ + timeout, *this, Handle{}, silence);
    boost::asio::async_write(connection_->socket, boost::asio::buffer(connection_->request),
                             [this, connection = connection_](const error_code& failure, std::size_t) {
                                 if (failure) lose(connection, failure.message().c_str());
                             });
    connection_->poll_in_flight = true;
    read(connection_);
}

void DiscoveryWatch::read(const ConnectionPtr& current) {
    current->socket.async_read_some(
        boost::asio::buffer(current->buffer),
        [this, connection = current](const error_code& failure, std::size_t size) {
            if (connection != connection_ && connection != former_) return;
            const bool ended = failure == boost::asio::error::eof;
            if (failure && !ended) return lose(connection, failure.message().c_str());
            traffic_.bytes_received += size;
            connection->received.append(connection->buffer.data(), size);
            parse_answer(connection, ended);
        });
}

void DiscoveryWatch::lose(const ConnectionPtr& connection, const char* reason) {
    if (connection == former_) return close(former_);
    if (connection == connection_) fail(reason);
}

// A response without a stated length ends with its stream, but only if the stream ends cleanly. A reset does
// not complete it.
void DiscoveryWatch::parse_answer(const ConnectionPtr& connection, bool ended) {
    ResponseReader& reader = connection->reader;
    const ParseStatus parse_status = ended ? reader.end() : reader.feed(connection->received);
    if (parse_status == ParseStatus::incomplete)
        return ended ? lose(connection, "End of file") : read(connection);
    const auto list = parse_status == ParseStatus::complete && reader.status() == 200
                          ? read_endpoint_list(reader.body(), places_)
                          : std::nullopt;
    if (connection == former_) {  // the old address' last list counts until the new address has answered
        if (list) observer_.on_endpoint_list(*list);
        return close(former_);
    }
    if (const char* reason = reason_unusable(reader, parse_status, list.has_value())) return fail(reason);
    apply_answer(connection, *list);
}

// Returns null if the response holds a list. Otherwise the last good list stays in force until a full one
// arrives.
const char* DiscoveryWatch::reason_unusable(const ResponseReader& reader, ParseStatus parse_status,
                                            bool has_list) {
    if (parse_status == ParseStatus::malformed && reader.too_long()) {
        needs_full_list_ = true;
        log_too_long(reader);
        return "its list is too long";
    }
    if (parse_status == ParseStatus::malformed) return "its response is malformed";
    if (reader.status() != 200) return "its response status is not 200";
    if (has_list) return nullptr;
    needs_full_list_ = true;
    return "its list is malformed";
}

void DiscoveryWatch::apply_answer(const ConnectionPtr& connection, const EndpointList& list) {
    const auto generation = static_cast<unsigned long long>(list.generation);
    if (list.skipped_entries > 0)
        log_line("discovery: %d unusable entries of list %llu are skipped", list.skipped_entries, generation);
    if (failure_logged_) log_line("discovery answers again with list %llu", generation);
    failure_logged_ = too_long_logged_ = false;
    needs_full_list_ = false;
    has_list_ = healthy_ = true;
    backoff_ = first_backoff;
    generation_ = list.generation;
    close(former_);
    const bool keep_alive = connection->reader.keep_alive();
    observer_.on_endpoint_list(list);
    connection->reader.next();
    connection->poll_in_flight = false;
    if (!keep_alive) return connect();
    // A pause keeps a server that answers at once and without changes from being polled in a busy loop.
    if (list.nodes.empty() && clock_.now() - polled_at_ < poll_wait_ / 2)
        return clock_.timers.reschedule(timer_, clock_.now() + idle_pause, *this, Handle{}, next_poll);
    poll();
}

void DiscoveryWatch::log_too_long(const ResponseReader& reader) {
    if (std::exchange(too_long_logged_, true)) return;
    const bool stated = reader.stated_length() > 0;
    log_line("discovery: a list of %s%llu bytes exceeds the limit of %zu bytes (%s)", stated ? "" : "over ",
             static_cast<unsigned long long>(stated ? reader.stated_length() : limit_.bytes), limit_.bytes,
             limit_.reason.c_str());
}

void DiscoveryWatch::fail(const char* reason) {
    if (!failure_logged_)
        log_line("discovery poll failed: %s; the last endpoint list stays in force", reason);
    failure_logged_ = true;
    healthy_ = false;
    clock_.timers.cancel(timer_);
    close(connection_);
    std::uniform_int_distribution<Nanos> jitter(backoff_ / 2, backoff_);
    clock_.timers.reschedule(timer_, clock_.now() + jitter(random_), *this, Handle{}, reconnect);
    backoff_ = std::min(2 * backoff_, max_backoff_);
}

void DiscoveryWatch::on_timer_due(Handle, std::uint64_t what) {
    timer_ = TimerQueue::none;
    if (what == reconnect) return connect();
    if (what == next_poll) return poll();
    fail("it was silent for longer than a poll may wait");
}

}  // namespace tealcart
