#include "service/service.hpp"

#include <algorithm>
#include <csignal>

#include "service/log.hpp"

namespace tealcart {
namespace {

constexpr Nanos ms = 1'000'000;
// Of the descriptors, so many are for what is no connection, and a third of the rest for data nodes.
constexpr std::size_t other_descriptors = 16;
// So long after SIGTERM new connections may still come, as the platform's page has it (0.4 s, and its slack).
constexpr Nanos arrivals_after_stop = 450 * ms;
constexpr int handlers_a_turn = 4096;
// The loop wakes at least so often, to know of a stall.
constexpr Nanos heartbeat = 100 * ms;

std::size_t links_of(const Launch& launch) { return (launch.sockets - other_descriptors) / 3; }
std::size_t clients_of(const Launch& launch) { return launch.sockets - other_descriptors - links_of(launch); }

}  // namespace

Service::Service(boost::asio::io_context& io, const Launch& launch)
    : io_(io), bridge_(time_, launch.terms, launch.link_terms, launch.seed),
      front_(io_, time_, bridge_, clients_of(launch), launch.link_terms.longest_wait),
      links_(io_, time_, launch.link_terms, bridge_, links_of(launch)),
      watch_(io_, time_, bridge_, launch.discovery, static_cast<std::uint32_t>(launch.terms.places)),
      signals_(io_, SIGTERM, SIGINT), timer_(io_) {
    bridge_.connect(front_, links_);
    bridge_.take_list(launch.known, ListKind::cached);
    front_.listen(launch.listen.host, launch.listen.port);
    watch_.start(launch.known.generation);
    signals_.async_wait([this](const boost::system::error_code& ec, int) {
        if (!ec) begin_stop();
    });
    log_line("%s serves at %s:%u with %zu data nodes of list %llu", launch.name.c_str(),
             launch.listen.host.c_str(), front_.port(), bridge_.nodes().ready(),
             static_cast<unsigned long long>(launch.known.generation));
}

void Service::run() {
    while (turn()) {
    }
}

bool Service::turn() {
    set_timer();
    // Guards against taking a client's time to begin when its request is read, where it has waited for
    // longer.
    time_.awake_by = timer_at_;
    io_.run_one();
    // After a stall much is ready and due at once: what came in is taken in before time-outs are judged.
    for (int i = 0; i < handlers_a_turn && io_.poll_one() > 0; ++i) {
    }
    time_.due.tell(time_.now());
    if (bridge_.next_round() <= time_.now()) bridge_.run_round();
    return !may_exit();
}

void Service::set_timer() {
    Nanos at = std::min(time_.due.next(), bridge_.next_round());
    if (stop_began_ > 0) at = std::min(at, std::max(time_.now() + ms, stop_began_ + arrivals_after_stop));
    at = std::clamp(at, time_.now(), time_.now() + heartbeat);
    if (timer_at_ != Deadlines::never && timer_at_ <= at) return;
    timer_at_ = at;
    timer_.expires_at(time_.steady(at));
    timer_.async_wait([this](const boost::system::error_code& ec) {
        if (!ec) timer_at_ = Deadlines::never;
    });
}

void Service::begin_stop() {
    if (stop_began_ > 0) return;
    stop_began_ = time_.now();
    log_line("stopping: %zu queries and parts in hand, %zu connections of clients", bridge_.held(),
             front_.open());
    bridge_.begin_stop();
    front_.begin_stop();
}

// Once no new connections come any more and none is open.
bool Service::may_exit() {
    const Nanos now = time_.now();
    if (stop_began_ == 0 || now - stop_began_ < arrivals_after_stop) return false;
    front_.close_idle(now - arrivals_after_stop);
    if (front_.open() > 0) return false;
    if (!front_.end_listening()) return false;
    log_line("stopped after %lld ms", static_cast<long long>((now - stop_began_) / ms));
    watch_.stop();
    links_.close_all();
    signals_.cancel();
    timer_.cancel();
    io_.poll();
    return true;
}

}  // namespace tealcart
