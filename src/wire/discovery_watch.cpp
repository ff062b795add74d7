#include "wire/discovery_watch.hpp"

#include <boost/asio/write.hpp>

#include "log/log.hpp"
#include "wire/bodies.hpp"

namespace tealcart {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr Nanos ms = 1'000'000;
// A change that a silent connection kept from us counts as told 6 s after discovery had it: the longest call
// and its slack, then two connections that fail in turn (one, where lists are asked for), stay under that.
// The first call after a failure is short, to show that its connection lives.
constexpr Nanos max_wait = 2500 * ms;
constexpr Nanos first_wait = 100 * ms;
constexpr Nanos late = 500 * ms;  // behind its wait, before its connection is given up
constexpr Nanos connected_within = 1000 * ms;
constexpr Nanos first_backoff = 100 * ms;  // doubled for each failure in a row; half of it is jitter
// Where lists are pushed, the agent on this machine answers at once and at no cost. Where they are asked for,
// one discovery serves the calls of all routers in turn, refuses what would wait for longer than 2 s, and
// pays for each refusal: a call given up in that line is served all the same, for nobody.
constexpr Nanos pushed_first_answer = 1000 * ms, asked_first_answer = 2500 * ms;
constexpr Nanos pushed_longest_backoff = 400 * ms, asked_longest_backoff = 1600 * ms;
constexpr Nanos idle_pause = 100 * ms;  // after an early answer with no news; 200 ms would end the watch
enum Due : std::uint64_t { silent, again, next };

}  // namespace

DiscoveryWatch::Connection::Connection(boost::asio::io_context& io, std::size_t longest)
    : socket(io), reader(longest) {}

DiscoveryWatch::DiscoveryWatch(boost::asio::io_context& io, EventClock& time, ListTaker& taker,
                               HostPort address, Discovery mode, std::uint32_t places, std::uint64_t seed,
                               ListBound bound)
    : io_(io), time_(time), taker_(taker), address_(std::move(address)), places_(places),
      bound_(std::move(bound)),
      first_answer_(mode == Discovery::poll ? asked_first_answer : pushed_first_answer),
      max_backoff_(mode == Discovery::poll ? asked_longest_backoff : pushed_longest_backoff), chance_(seed),
      backoff_(first_backoff) {}

void DiscoveryWatch::start(std::uint64_t generation) {
    generation_ = generation;
    connect();
}

void DiscoveryWatch::end(Life& connection) {
    error_code ec;
    if (connection) connection->socket.close(ec);
    connection.reset();
}

void DiscoveryWatch::stop() {
    time_.due.drop(due_);
    end(connection_);
    end(former_);
}

// Versions of the new address need not be those of the old one: so its whole list is asked for first.
void DiscoveryWatch::follow(HostPort address) {
    if (address == address_) return;
    address_ = std::move(address);
    end(former_);
    if (connection_ && connection_->asked) std::swap(former_, connection_);
    end(connection_);
    whole_ = true;
    silent_before_ = sound_ = false;
    backoff_ = first_backoff;
    connect();
}

void DiscoveryWatch::connect() {
    connection_ = std::make_shared<Connection>(io_, bound_.bytes);
    error_code ec;
    const auto host = boost::asio::ip::make_address(address_.host, ec);
    if (ec) return give_up("its address is no number");
    time_.due.move(due_, time_.now() + connected_within, *this, Handle{}, silent);
    connection_->socket.async_connect({host, address_.port}, [this, c = connection_](const error_code& e) {
        if (c != connection_) return;
        if (e) return lose(c, e.message().c_str());
        error_code ignored;
        c->socket.set_option(tcp::no_delay(true), ignored);
        ask();
    });
}

void DiscoveryWatch::ask() {
    std::string target = "/api/targets";
    waits_ = sound_ ? max_wait : first_wait;
    if (!whole_) target += "?index=" + std::to_string(generation_) + "&wait=" + std::to_string(waits_ / ms);
    asked_at_ = time_.now();
    connection_->out = write_get(address_.host + ":" + std::to_string(address_.port), target);
    ++wire_.calls;
    wire_.out += connection_->out.size();
    const Nanos within = sound_ && !whole_ ? max_wait + late : first_answer_;
    time_.due.move(due_, asked_at_ + within, *this, Handle{}, silent);
    boost::asio::async_write(connection_->socket, boost::asio::buffer(connection_->out),
                             [this, c = connection_](const error_code& e, std::size_t) {
                                 if (e) lose(c, e.message().c_str());
                             });
    connection_->asked = true;
    read(connection_);
}

void DiscoveryWatch::read(const Life& life) {
    life->socket.async_read_some(boost::asio::buffer(life->buffer),
                                 [this, c = life](const error_code& e, std::size_t n) {
                                     if (c != connection_ && c != former_) return;
                                     const bool ended = e == boost::asio::error::eof;
                                     if (e && !ended) return lose(c, e.message().c_str());
                                     wire_.in += n;
                                     c->in.append(c->buffer.data(), n);
                                     take_answer(c, ended);
                                 });
}

void DiscoveryWatch::lose(const Life& c, const char* why) {
    if (c == former_) return end(former_);
    if (c == connection_) give_up(why);
}

// An answer without a length ends with its stream, where that ends cleanly: a reset is no end.
void DiscoveryWatch::take_answer(const Life& c, bool ended) {
    AnswerReader& reader = c->reader;
    const Reading reading = ended ? reader.end() : reader.feed(c->in);
    if (reading == Reading::more) return ended ? lose(c, "End of file") : read(c);
    const auto list = reading == Reading::done && reader.status() == 200
                          ? read_endpoint_list(reader.body(), places_)
                          : std::nullopt;
    if (c == former_) {  // its last word, while the new address has not spoken
        if (list) taker_.on_list(*list);
        return end(former_);
    }
    if (reading == Reading::bad && reader.too_long()) {
        whole_ = true;
        tell_long(reader);
        return give_up("its list is too long");
    }
    if (reading == Reading::bad) return give_up("its answer can't be read");
    if (reader.status() != 200) return give_up("its answer is not 200");
    if (!list) {
        whole_ = true;  // the last good list stands until a whole one comes
        return give_up("its list can't be read");
    }
    if (list->left_out > 0)
        log_line("discovery: %d entries of list %llu can't be used", list->left_out,
                 static_cast<unsigned long long>(list->generation));
    if (silent_before_)
        log_line("discovery answers again, list %llu", static_cast<unsigned long long>(list->generation));
    silent_before_ = told_long_ = false;
    whole_ = false;
    told_ = sound_ = true;
    backoff_ = first_backoff;
    generation_ = list->generation;
    end(former_);
    const bool kept = reader.keep_alive();
    taker_.on_list(*list);
    reader.next();
    c->asked = false;
    if (!kept) return connect();
    // One that answers at once and with nothing, time after time, is not asked without a pause.
    if (list->nodes.empty() && time_.now() - asked_at_ < waits_ / 2)
        return time_.due.move(due_, time_.now() + idle_pause, *this, Handle{}, next);
    ask();
}

void DiscoveryWatch::tell_long(const AnswerReader& reader) {
    if (std::exchange(told_long_, true)) return;
    const bool stated = reader.stated_length() > 0;
    log_line("discovery: a list of %s%llu bytes is over its bound of %zu: %s", stated ? "" : "over ",
             static_cast<unsigned long long>(stated ? reader.stated_length() : bound_.bytes), bound_.bytes,
             bound_.why.c_str());
}

void DiscoveryWatch::give_up(const char* why) {
    if (!silent_before_) log_line("discovery: %s; the list stands", why);
    silent_before_ = true;
    sound_ = false;
    time_.due.drop(due_);
    end(connection_);
    std::uniform_int_distribution<Nanos> jitter(backoff_ / 2, backoff_);
    time_.due.move(due_, time_.now() + jitter(chance_), *this, Handle{}, again);
    backoff_ = std::min(2 * backoff_, max_backoff_);
}

void DiscoveryWatch::on_due(Handle, std::uint64_t what) {
    due_ = TimerQueue::none;
    if (what == again) return connect();
    if (what == next) return ask();
    give_up("silent for longer than a call may wait");
}

}  // namespace tealcart
