#include "wire/discovery_watch.hpp"

#include <boost/asio/write.hpp>

#include "service/log.hpp"

namespace tealcart {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr Nanos ms = 1'000'000;
constexpr Nanos wait = 20'000 * ms;      // a call may wait so long for news
constexpr Nanos late = 1000 * ms;        // and be as late as this before its connection is given up
constexpr Nanos again_after = 100 * ms;  // a broken call is made anew
constexpr std::size_t longest_list = 8 * 1024 * 1024;
enum Due : std::uint64_t { silent, again, next };

}  // namespace

DiscoveryWatch::Connection::Connection(boost::asio::io_context& io) : socket(io), reader(longest_list) {}

DiscoveryWatch::DiscoveryWatch(boost::asio::io_context& io, Timekeeper& time, ListTaker& taker,
                               HostPort address, std::uint32_t places)
    : io_(io), time_(time), taker_(taker), address_(std::move(address)), places_(places) {}

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
    silent_before_ = false;
    connect();
}

void DiscoveryWatch::connect() {
    connection_ = std::make_shared<Connection>(io_);
    error_code ec;
    const auto host = boost::asio::ip::make_address(address_.host, ec);
    if (ec) return give_up("its address is no number");
    time_.due.move(due_, time_.now() + late, *this, Handle{}, silent);
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
    if (!whole_) target += "?index=" + std::to_string(generation_) + "&wait=" + std::to_string(wait / ms);
    asked_at_ = time_.now();
    connection_->out = write_get(address_.host + ":" + std::to_string(address_.port), target);
    time_.due.move(due_, time_.now() + (whole_ ? 0 : wait) + late, *this, Handle{}, silent);
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
                                     if (e) return lose(c, e.message().c_str());
                                     c->in.append(c->buffer.data(), n);
                                     take_answer(c);
                                 });
}

void DiscoveryWatch::lose(const Life& c, const char* why) {
    if (c == former_) return end(former_);
    if (c == connection_) give_up(why);
}

void DiscoveryWatch::take_answer(const Life& c) {
    AnswerReader& reader = c->reader;
    const Reading reading = reader.feed(c->in);
    if (reading == Reading::more) return read(c);
    const auto list = reading == Reading::done && reader.status() == 200
                          ? read_targets(reader.body(), places_)
                          : std::nullopt;
    if (c == former_) {  // its last word, while the new address has not spoken
        if (list) taker_.on_list(*list);
        return end(former_);
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
    silent_before_ = false;
    whole_ = false;
    generation_ = list->generation;
    end(former_);
    const bool kept = reader.keep_alive();
    taker_.on_list(*list);
    reader.next();
    c->asked = false;
    if (!kept) return connect();
    // One that answers at once and with nothing, time after time, is not asked without a pause.
    if (list->nodes.empty() && time_.now() - asked_at_ < wait / 2)
        return time_.due.move(due_, time_.now() + again_after, *this, Handle{}, next);
    ask();
}

void DiscoveryWatch::give_up(const char* why) {
    if (!silent_before_) log_line("discovery: %s; the list stands", why);
    silent_before_ = true;
    time_.due.drop(due_);
    end(connection_);
    time_.due.move(due_, time_.now() + again_after, *this, Handle{}, again);
}

void DiscoveryWatch::on_due(Handle, std::uint64_t what) {
    due_ = Deadlines::none;
    if (what == again) return connect();
    if (what == next) return ask();
    give_up("silent for longer than a call may wait");
}

}  // namespace tealcart
