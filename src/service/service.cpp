#include "service/service.hpp"

#include <algorithm>
#include <csignal>

#include "log/log.hpp"

namespace tealcart {
namespace {

constexpr Nanos ms = 1'000'000;
// Of the descriptors, so many are for what is no connection, and a third of the rest for data nodes.
constexpr std::size_t other_descriptors = 16;
// So long after SIGTERM new connections may still come, as the platform's page has it (0.4 s, and its slack).
constexpr Nanos arrivals_after_stop = 450 * ms;
// What discovery's agent has counts as told from the first moment, and it answers at once: so its word is
// waited for before the first decision, but no longer than a first silent connection and its successor take.
constexpr Nanos list_within = 1500 * ms;
constexpr int handlers_a_turn = 4096;
// The loop wakes at least so often, to know of a stall.
constexpr Nanos heartbeat = 100 * ms;

std::size_t links_of(const StartupConfig& launch) { return (launch.sockets - other_descriptors) / 3; }
std::size_t clients_of(const StartupConfig& launch) {
    return launch.sockets - other_descriptors - links_of(launch);
}

}  // namespace

Service::Service(boost::asio::io_context& io, std::function<StartupConfig()> read)
    : io_(io), signals_(io_, SIGTERM, SIGINT, SIGHUP), read_(std::move(read)), launch_(read_()),
      dispatcher_(time_, launch_),
      front_(io_, time_, dispatcher_, clients_of(launch_), launch_.connection_config.max_wait),
      links_(io_, time_, launch_.connection_config, dispatcher_, links_of(launch_)),
      member_(launch_.operators.member.on ? std::make_unique<Membership>(io_, time_, launch_, dispatcher_)
                                          : nullptr),
      follower_(launch_.operators.member.relays.empty()
                    ? nullptr
                    : std::make_unique<ConfigFollower>(io_, time_, launch_, dispatcher_)),
      watch_(io_, time_, member_ ? static_cast<ListTaker&>(*member_) : dispatcher_, launch_.discovery,
             launch_.config.discovery, static_cast<std::uint32_t>(launch_.config.places), launch_.seed + 2,
             launch_.list_bound),
      timer_(io_) {
    start_log(launch_.operators.log);
    dispatcher_.connect(front_, links_);
    dispatcher_.take_list(launch_.known, ListKind::cached);
    if (member_) member_->know(launch_.known);
    if (member_) member_->start();
    if (follower_) follower_->start();
    front_.listen(launch_.listen.host, launch_.listen.port);
    watch_.start(launch_.known.generation);
    list_by_ = time_.now() + list_within;
    await_signal();
    log_line("%s serves at %s:%u with %zu data nodes of list %llu", launch_.name.c_str(),
             launch_.listen.host.c_str(), front_.port(), dispatcher_.nodes().ready(),
             static_cast<unsigned long long>(launch_.known.generation));
    launch_.known = {};
}

void Service::await_signal() {
    signals_.async_wait([this](const boost::system::error_code& ec, int signal) {
        if (ec) return;
        signal == SIGHUP ? follow_launch() : begin_stop();
        await_signal();
    });
}

// Guards against ending on a new configuration, and against one that can't be read: the old one stands then.
// Of the rest only discovery's address can change under way; what can't is told, and holds at the next start.
void Service::follow_launch() {
    try {
        const StartupConfig next = read_();
        std::string later;
        const auto differs = [&later](bool changed, const char* what) {
            if (changed) later.append(later.empty() ? "; only at the next start: " : ", ").append(what);
        };
        differs(next.name != launch_.name, "name");
        differs(next.listen != launch_.listen, "listen");
        differs(next.sockets != launch_.sockets, "limits.sockets");
        differs(next.settings != launch_.settings, "settings");
        differs(next.operators.text != launch_.operators.text, "the operators' file");
        log_line("SIGHUP: discovery at %s:%u%s", next.discovery.host.c_str(), next.discovery.port,
                 later.c_str());
        watch_.follow(next.discovery);
    } catch (const std::exception& e) {
        log_line("SIGHUP: %s; the configuration stands", e.what());
    }
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
    if (member_) member_->look();
    if (follower_) follower_->look();
    if (!dispatcher_.begun() && (watch_.told() || time_.now() >= list_by_)) dispatcher_.begin();
    if (dispatcher_.next_round() <= time_.now()) {
        dispatcher_.run_round();
        if (member_) member_->after_round();
        if (follower_) follower_->after_round();
    }
    return !may_exit();
}

void Service::set_timer() {
    Nanos at = std::min(time_.due.next(), dispatcher_.next_round());
    if (member_) at = std::min(at, member_->next_change());
    if (follower_) at = std::min(at, follower_->next_change());
    if (stop_began_ > 0) at = std::min(at, std::max(time_.now() + ms, stop_began_ + arrivals_after_stop));
    at = std::clamp(at, time_.now(), time_.now() + heartbeat);
    if (timer_at_ != TimerQueue::never && timer_at_ <= at) return;
    timer_at_ = at;
    timer_.expires_at(time_.steady(at));
    timer_.async_wait([this](const boost::system::error_code& ec) {
        if (!ec) timer_at_ = TimerQueue::never;
    });
}

void Service::begin_stop() {
    if (stop_began_ > 0) return;
    stop_began_ = time_.now();
    log_line("stopping: %zu queries and parts in hand, %zu connections of clients", dispatcher_.held(),
             front_.open());
    dispatcher_.begin_stop();
    front_.begin_stop();
}

// Once no new connections come any more and none is open.
bool Service::may_exit() {
    const Nanos now = time_.now();
    if (stop_began_ == 0 || now - stop_began_ < arrivals_after_stop) return false;
    front_.close_idle(now - arrivals_after_stop);
    if (front_.open() > 0) return false;
    // Both at once.
    const bool left = !member_ || member_->farewell();
    if ((follower_ && !follower_->farewell()) || !left) return false;
    if (!front_.end_listening()) return false;
    log_line("stopped after %lld ms", static_cast<long long>((now - stop_began_) / ms));
    watch_.stop();
    if (member_) member_->stop();
    if (follower_) follower_->stop();
    links_.close_all();
    signals_.cancel();
    timer_.cancel();
    io_.poll();
    return true;
}

}  // namespace tealcart
