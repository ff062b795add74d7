#include "wire/long_poll.hpp"

#include <algorithm>
#include <boost/asio/write.hpp>

#include "log/log.hpp"
#include "wire/member_messages.hpp"

namespace tealcart {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr Nanos ms = 1'000'000;
constexpr Nanos late = 1000 * ms;  // an answer may be as late as this before its connection is given up
constexpr Nanos connect_within = 500 * ms;
constexpr Nanos again_after = 50 * ms;   // the first time; twice as long after each further failure ...
constexpr Nanos again_most = 1600 * ms;  // ... up to this
enum Due : std::uint64_t { silent, again };

}  // namespace

LongPoll::Connection::Connection(boost::asio::io_context& io, std::size_t longest)
    : socket(io), reader(longest) {}

LongPoll::LongPoll(boost::asio::io_context& io, EventClock& time, LongPollObserver& taker,
                   std::string_view path, std::vector<HostPort> addresses, std::size_t first,
                   std::uint64_t seed, ListBound bound)
    : io_(io), time_(time), taker_(taker), path_(path), addresses_(std::move(addresses)),
      bound_(std::move(bound)), at_(addresses_.empty() ? 0 : first % addresses_.size()), chance_(seed) {}

void LongPoll::end() {
    error_code ec;
    if (connection_) connection_->socket.close(ec);
    connection_.reset();
    sent_at_ = 0;
}

void LongPoll::stop() {
    time_.due.drop(due_);
    end();
}

void LongPoll::connect() {
    owes_next_ = false;
    end();
    connection_ = std::make_shared<Connection>(io_, bound_.bytes);
    error_code ec;
    const auto host = boost::asio::ip::make_address(addresses_[at_].host, ec);
    if (ec) return give_up("its address is no number");
    time_.due.move(due_, time_.now() + connect_within, *this, Handle{}, silent);
    connection_->socket.async_connect({host, addresses_[at_].port},
                                      [this, c = connection_](const error_code& e) {
                                          if (c != connection_) return;
                                          if (e) return give_up(e.message().c_str());
                                          error_code ignored;
                                          c->socket.set_option(tcp::no_delay(true), ignored);
                                          ask();
                                      });
}

void LongPoll::ask() {
    const LongPollObserver::Call call = taker_.call();
    connection_->out =
        "POST " + path_ + " HTTP/1.1\r\nHost: " + addresses_[at_].host +
        "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(call.body.size()) +
        "\r\n\r\n" + call.body;
    ++wire_.calls;
    wire_.out += connection_->out.size();
    sent_at_ = time_.now();  // before it is written: the lease counts from here
    time_.due.move(due_, sent_at_ + call.wait + late, *this, Handle{}, silent);
    boost::asio::async_write(connection_->socket, boost::asio::buffer(connection_->out),
                             [this, c = connection_](const error_code& e, std::size_t) {
                                 if (e && c == connection_) give_up(e.message().c_str());
                             });
    read(connection_);
}

void LongPoll::read(const Life& life) {
    life->socket.async_read_some(boost::asio::buffer(life->buffer),
                                 [this, c = life](const error_code& e, std::size_t n) {
                                     if (c != connection_) return;
                                     if (e) return give_up(e.message().c_str());
                                     wire_.in += n;
                                     c->in.append(c->buffer.data(), n);
                                     take_answer(c);
                                 });
}

void LongPoll::take_answer(const Life& c) {
    AnswerReader& reader = c->reader;
    const Reading reading = reader.feed(c->in);
    if (reading == Reading::more) return read(c);
    if (reading == Reading::bad && reader.too_long()) {
        if (!std::exchange(told_long_, true))
            log_line("%s: an answer of %s%llu bytes is over its bound of %zu: %s", path_.c_str(),
                     reader.stated_length() > 0 ? "" : "over ",
                     static_cast<unsigned long long>(reader.stated_length() > 0 ? reader.stated_length()
                                                                                : bound_.bytes),
                     bound_.bytes, bound_.why.c_str());
        return give_up("its answer is too long");
    }
    if (reading == Reading::bad) return give_up("its answer can't be read");
    if (reader.status() == 421) {
        // Only to one that the operators' file names.
        const auto leader = read_not_leader(reader.body());
        const auto address = leader ? read_host_port(*leader) : std::nullopt;
        const auto found = std::find(addresses_.begin(), addresses_.end(), address.value_or(HostPort{}));
        if (!address || found == addresses_.end()) return give_up("it does not lead, and names nobody known");
        const Nanos pause = failed_++ == 0 ? 0 : again_after;
        return go_to(static_cast<std::size_t>(found - addresses_.begin()), pause);
    }
    if (reader.status() == 409) {
        const auto life = read_superseded(reader.body());
        if (!life) return give_up("its answer can't be read");
        taker_.superseded(*life);
        return go_to(at_, again_after << std::min(failed_++, 5));
    }
    if (reader.status() != 200) return give_up("it can't agree now");
    if (!taker_.read(reader.body())) return give_up("its answer can't be read");
    if (std::exchange(told_silent_, false)) taker_.heard_again();
    failed_ = 0;
    told_long_ = false;
    time_.due.drop(due_);
    const bool kept = reader.keep_alive();
    const Nanos sent = sent_at_;
    reader.next();
    if (!kept) end();
    owes_next_ = true;
    taker_.answered(sent);
}

void LongPoll::next() {
    if (!std::exchange(owes_next_, false)) return;
    if (connection_)
        ask();
    else
        connect();
}

void LongPoll::give_up(const char* why) {
    if (failed_ == static_cast<int>(addresses_.size()) && !std::exchange(told_silent_, true))
        taker_.silent(why);
    Nanos pause = std::min(again_most, again_after << std::min(failed_, 6));
    if (chance_ != 0) {
        chance_ = chance_ * 6364136223846793005u + 1442695040888963407u;
        pause = pause / 2 + static_cast<Nanos>((chance_ >> 33) % static_cast<std::uint64_t>(pause));
    }
    ++failed_;
    go_to((at_ + 1) % addresses_.size(), pause);
}

void LongPoll::go_to(std::size_t address, Nanos pause) {
    end();
    owes_next_ = false;
    at_ = address;
    time_.due.move(due_, time_.now() + pause, *this, Handle{}, again);
}

void LongPoll::on_due(Handle, std::uint64_t what) {
    due_ = TimerQueue::none;
    if (what == again) return connect();
    give_up("silent for longer than a call may wait");
}

}  // namespace tealcart
