#include "service/service.hpp"

#include <algorithm>
#include <csignal>

#include "log/log.hpp"
#include "service/memory_limits.hpp"

namespace tealcart {
namespace {

constexpr Nanos millisecond = 1'000'000;
// This many file descriptors are reserved for other uses than connections. A third of the rest is for data
// nodes.
constexpr std::size_t reserved_descriptors = 16;
constexpr std::size_t data_node_share = 3;
// The platform may open new connections for 0.4 s after SIGTERM; the rest is slack.
constexpr Nanos arrivals_after_stop = 450 * millisecond;
// A router is expected to know the list of discovery's agent from its start, and the agent answers at once.
// The first decision therefore waits for that list, but no longer than a silent first connection and its
// successor take.
constexpr Nanos first_list_timeout = 1500 * millisecond;
constexpr int max_handlers_per_turn = 4096;
// The loop wakes at least this often, so that it notices when the process has stalled.
constexpr Nanos heartbeat = 100 * millisecond;

std::size_t max_node_connections(const StartupConfig& startup) {
    return (startup.max_descriptors - reserved_descriptors) / data_node_share;
}
HttpServerLimits http_limits(const StartupConfig& startup) {
    HttpServerLimits limits;
    limits.connections = startup.max_descriptors - reserved_descriptors - max_node_connections(startup);
    limits.write_timeout = startup.connection_config.max_wait;
    limits.buffer_bytes = divide_memory(startup.memory_bytes).client_buffers;
    return limits;
}
NodeConnectionLimits node_connection_limits(const StartupConfig& startup) {
    return {max_node_connections(startup), divide_memory(startup.memory_bytes).node_queues};
}

std::unique_ptr<Membership> make_membership(boost::asio::io_context& io, EventClock& clock,
                                            const StartupConfig& startup, QueryDispatcher& dispatcher) {
    if (!startup.operator_config.member.enabled) return nullptr;
    return std::make_unique<Membership>(io, clock, startup, dispatcher);
}

std::unique_ptr<ConfigFollower> make_follower(boost::asio::io_context& io, EventClock& clock,
                                              const StartupConfig& startup, QueryDispatcher& dispatcher) {
    if (startup.operator_config.member.relays.empty()) return nullptr;
    return std::make_unique<ConfigFollower>(io, clock, startup, dispatcher);
}

}  // namespace

Service::Service(boost::asio::io_context& io, std::function<StartupConfig()> read_config)
    : io_(io), signals_(io_, SIGTERM, SIGINT, SIGHUP), read_config_(std::move(read_config)),
      startup_(read_config_()), dispatcher_(clock_, startup_),
      server_(io_, clock_, dispatcher_, http_limits(startup_)),
      connections_(io_, clock_, startup_.connection_config, dispatcher_, node_connection_limits(startup_)),
      membership_(make_membership(io_, clock_, startup_, dispatcher_)),
      follower_(make_follower(io_, clock_, startup_, dispatcher_)),
      discovery_(io_, clock_, membership_ ? static_cast<EndpointListObserver&>(*membership_) : dispatcher_,
                 startup_.discovery, startup_.config.discovery,
                 static_cast<std::uint32_t>(startup_.config.places), startup_.seed + 2,
                 startup_.endpoint_list_limit),
      load_report_(server_, dispatcher_), timer_(io_) {
    start();
}

void Service::start() {
    configure_log(startup_.operator_config.log);
    dispatcher_.connect(server_, connections_);
    dispatcher_.apply_list(startup_.cached_endpoints, ListKind::cached);
    if (membership_) membership_->apply_cached_list(startup_.cached_endpoints);
    if (membership_) membership_->start();
    if (follower_) follower_->start();
    server_.listen(startup_.listen.host, startup_.listen.port);
    discovery_.start(startup_.cached_endpoints.generation);
    first_list_deadline_ = clock_.now() + first_list_timeout;
    await_signal();
    log_line("%s serves at %s:%u with %zu data nodes of endpoint list %llu", startup_.name.c_str(),
             startup_.listen.host.c_str(), server_.port(), dispatcher_.nodes().ready(),
             static_cast<unsigned long long>(startup_.cached_endpoints.generation));
    startup_.cached_endpoints = {};
}

void Service::await_signal() {
    signals_.async_wait([this](const boost::system::error_code& failure, int signal) {
        if (failure) return;
        if (signal == SIGHUP)
            reload_config();
        else
            begin_stop();
        await_signal();
    });
}

// Reads the configuration again. Guards against ending the process at SIGHUP; if the new configuration is
// invalid, the previous one stays in force. Only discovery's address can change while the service runs. Other
// changes are logged and take effect at the next start.
void Service::reload_config() {
    try {
        const StartupConfig next = read_config_();
        log_line("SIGHUP: the configuration was read again; discovery is at %s:%u%s",
                 next.discovery.host.c_str(), next.discovery.port, changes_for_next_start(next).c_str());
        discovery_.change_address(next.discovery);
    } catch (const std::exception& e) {
        log_line("SIGHUP: the new configuration is invalid; the previous one stays in force: %s", e.what());
    }
}

std::string Service::changes_for_next_start(const StartupConfig& next) const {
    std::string changes;
    const auto add = [&changes](bool changed, const char* what) {
        if (changed)
            changes.append(changes.empty() ? "; these changes take effect at the next start: " : ", ")
                .append(what);
    };
    add(next.name != startup_.name, "name");
    add(next.listen != startup_.listen, "listen");
    add(next.max_descriptors != startup_.max_descriptors, "limits.sockets");
    add(next.settings_text != startup_.settings_text, "settings");
    add(next.operator_config.text != startup_.operator_config.text, "the operators' file");
    return changes;
}

void Service::run() {
    while (turn()) {
    }
}

bool Service::turn() {
    set_timer();
    // Guards against counting a client's time only from when its request is read if the request has waited
    // since before that.
    clock_.wake_deadline = timer_at_;
    io_.run_one();
    const Nanos woken_at = clock_.now();
    // After a stall many handlers are ready and many timers due. Received data is processed before timeouts.
    for (int i = 0; i < max_handlers_per_turn && io_.poll_one() > 0; ++i) {
    }
    clock_.timers.fire_due(clock_.now());
    if (membership_) membership_->update_serving_state();
    if (follower_) follower_->update_serving_state();
    if (!dispatcher_.begun() && (discovery_.has_list() || clock_.now() >= first_list_deadline_))
        dispatcher_.begin();
    run_due_round();
    load_report_.on_turn_end(woken_at, clock_.now());
    return !may_exit();
}

void Service::run_due_round() {
    if (dispatcher_.next_round() > clock_.now()) return;
    dispatcher_.run_round();
    if (membership_) membership_->after_round();
    if (follower_) follower_->after_round();
}

void Service::set_timer() {
    Nanos at = std::min(clock_.timers.next(), dispatcher_.next_round());
    if (membership_) at = std::min(at, membership_->next_change());
    if (follower_) at = std::min(at, follower_->next_change());
    if (stop_began_ > 0)
        at = std::min(at, std::max(clock_.now() + millisecond, stop_began_ + arrivals_after_stop));
    at = std::clamp(at, clock_.now(), clock_.now() + heartbeat);
    if (timer_at_ != TimerQueue::never && timer_at_ <= at) return;
    timer_at_ = at;
    timer_.expires_at(clock_.steady(at));
    timer_.async_wait([this](const boost::system::error_code& failure) {
        if (!failure) timer_at_ = TimerQueue::never;
    });
}

void Service::begin_stop() {
    if (stop_began_ > 0) return;
    stop_began_ = clock_.now();
    log_line("stopping: %zu queries and shard requests in progress, %zu client connections open",
             dispatcher_.unfinished_count(), server_.open());
    dispatcher_.begin_stop();
    server_.begin_stop();
}

// Returns true once no client connection is open and no more are expected.
bool Service::may_exit() {
    const Nanos now = clock_.now();
    if (stop_began_ == 0 || now - stop_began_ < arrivals_after_stop) return false;
    server_.close_idle(now - arrivals_after_stop);
    if (server_.open() > 0) return false;
    // Both leave at the same time.
    const bool member_left = !membership_ || membership_->leave();
    const bool follower_left = !follower_ || follower_->leave();
    if (!member_left || !follower_left) return false;
    if (!server_.end_listening()) return false;
    log_line("stopped after %lld ms", static_cast<long long>((now - stop_began_) / millisecond));
    close_all();
    return true;
}

void Service::close_all() {
    discovery_.stop();
    if (membership_) membership_->stop();
    if (follower_) follower_->stop();
    connections_.close_all();
    signals_.cancel();
    timer_.cancel();
    io_.poll();
}

}  // namespace tealcart
