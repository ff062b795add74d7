#include "relay/relay.hpp"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "log/log.hpp"
#include "wire/response_body.hpp"

namespace tealcart::relay {
namespace {

constexpr Nanos millisecond = 1'000'000, second = 1000 * millisecond;
constexpr Nanos client_stall = 5 * second;  // a client that reads nothing for this long is closed
constexpr Nanos max_sleep = 250 * millisecond;
// Followers' reports are gathered for `gather_window`, and at most five calls a second go to the fleet
// managers, except for calls that request a further page.
constexpr Nanos gather_window = 30 * millisecond;
constexpr Nanos call_interval = 200 * millisecond, page_call_interval = 20 * millisecond;
constexpr Nanos first_wait = 200 * millisecond;  // long poll wait without a lease
constexpr Nanos min_wait = 50 * millisecond;     // with a lease: a tenth of it, but at least this
constexpr std::size_t max_exceptions = 20;       // listed in a report
constexpr std::size_t spare_clients = 64;        // connections for operators and for followers that reconnect

std::uint64_t start_time() {
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::nanoseconds>(since_epoch).count());
}

unsigned long long printable(std::uint64_t number) { return number; }

}  // namespace

Relay::Relay(boost::asio::io_context& io, const RelayConfig& config, std::uint64_t seed)
    : signals_(io, SIGTERM, SIGINT), config_(config), event_loop_(io, time_), incarnation_(start_time()),
      reports_(config.name, config.zone, incarnation_, config.max_followers, max_exceptions),
      documents_(config.page_bytes, config.pages_a_second, time_.now()),
      server_(io, time_, *this, {config.max_followers + spare_clients, client_stall}),
      followers_(time_, server_, reports_, documents_, [this] { schedule_report(); }),
      managers_(io, time_, *this, relay_path, "steward", config.managers, 0, seed) {
    server_.listen(config_.bind.host, config_.bind.port);
    signals_.async_wait([this](const boost::system::error_code& ec, int) {
        if (!ec) stopping_ = true;
    });
    managers_.start();
    log_line("relay %s of zone %s, incarnation %llu: followers at %s:%u", config_.name.c_str(),
             config_.zone.c_str(), printable(incarnation_), config_.bind.host.c_str(), server_.port());
}

void Relay::run() {
    while (!stopping_ && superseded_reason_.empty()) {
        event_loop_.run_once(
            std::min({time_.timers.next(), time_.now() + max_sleep, followers_.next_deadline()}));
        observe_lease();
        followers_.answer_waiting();
    }
    log_line("stopping the relay");
    managers_.stop();
    server_.close_all();
    if (!superseded_reason_.empty()) throw std::runtime_error(superseded_reason_);
}

void Relay::on_request(Handle client, Request& request, Nanos) {
    struct Route {
        std::string_view method, path;
    };
    static constexpr Route routes[] = {
        {"GET", "/-/ready"}, {"GET", "/relay/status"}, {"POST", follower_path}};
    const auto* const route = std::find_if(std::begin(routes), std::end(routes),
                                           [&](const Route& known) { return known.path == request.path; });
    if (route == std::end(routes)) return server_.answer(client, {404, write_error("no such path"), 0});
    if (request.method != route->method) {
        const std::string reason = std::string(route->method) + " only";
        return server_.answer(client, {405, write_error(reason), 0, route->method});
    }
    if (route->path == follower_path) return followers_.on_call(client, request.body);
    if (route->path == "/-/ready") return show_ready(client);
    show_status(client);
}

void Relay::show_ready(Handle client) {
    if (managers_answered_) return server_.answer(client, {200, {}, 0});
    server_.answer(client, {503, write_error("no steward has answered yet"), 0});
}

void Relay::show_status(Handle client) {
    const changes::DocumentCopy& copy = documents_.copy();
    const HostPort& manager = managers_.address();
    const nlohmann::ordered_json status = {{"relay", config_.name},
                                           {"zone", config_.zone},
                                           {"life", incarnation_},
                                           {"version", copy.version()},
                                           {"digest", copy.digest()},
                                           {"wants_pages", copy.needs_pages()},
                                           {"members", reports_.members()},
                                           {"most_members", config_.max_followers},
                                           {"waiting", followers_.waiting()},
                                           {"lowest", reports_.lowest()},
                                           {"exceptions", exceptions_},
                                           {"lease_left_ms", reports_.lease_left(time_.now()) / millisecond},
                                           {"steward", manager.host + ":" + std::to_string(manager.port)}};
    server_.answer(client, {200, status.dump(), 0});
}

LongPollObserver::Call Relay::next_call() {
    called_at_ = time_.now();
    RelayCall call;
    call.report = reports_.next_report(called_at_, drift_);
    for (const auto* removed : {&call.report.left, &call.report.lost})
        for (const auto& [name, incarnation] : *removed) followers_.forget(name, incarnation);
    exceptions_.clear();
    for (const changes::MemberReport& report : call.report.exceptions) exceptions_.push_back(report.name);
    const changes::DocumentCopy& copy = documents_.copy();
    call.position.known_version = copy.version();
    call.position.digest = copy.digest();
    call.position.wants_pages = copy.needs_pages();
    call.position.after = copy.next_page_after();
    call.position.wait = lease_ > 0 ? std::max(min_wait, lease_ / 10) : first_wait;
    time_.timers.cancel(report_due_);
    return {write_relay_call(call), call.position.wait};
}

void Relay::on_changes(Nanos sent, const ChangesAnswer& answer) {
    managers_answered_ = true;
    drift_ = answer.drift;
    if (answer.full_report_required) reports_.require_full_report();
    if (answer.acknowledged_report > 0 && answer.lease > 0) {
        lease_ = answer.lease;
        reports_.acknowledge(answer.acknowledged_report, sent, answer.lease);
        followers_.on_lease_renewed();
    }
    const std::uint64_t version_before = documents_.copy().version();
    apply(answer);
    observe_lease();
    // Followers that receive a new version now will soon report that they act on it.
    const changes::DocumentCopy& copy = documents_.copy();
    const Nanos pause = copy.needs_pages() ? page_call_interval : call_interval;
    const Nanos gather_delay = copy.version() > version_before ? gather_window : 0;
    const Nanos at = std::max(time_.now() + gather_delay, called_at_ + pause);
    time_.timers.reschedule(report_due_, at, *this, Handle{}, 0);
}

void Relay::apply(const ChangesAnswer& answer) {
    switch (documents_.apply(answer)) {
        case DocumentSource::Applied::new_version:
            log_line("applied configuration version %llu", printable(documents_.copy().version()));
            wrong_digest_logged_ = false;
            break;
        case DocumentSource::Applied::wrong_digest:
            if (!std::exchange(wrong_digest_logged_, true))
                log_line(
                    "the delta or page of configuration version %llu does not match its digest; requesting "
                    "all pages",
                    printable(answer.version));
            break;
        case DocumentSource::Applied::nothing:
            break;
    }
}

void Relay::on_superseded(std::uint64_t last_incarnation) {
    if (had_lease_) {
        superseded_reason_ = "another process uses the relay's name " + config_.name;
        return;
    }
    // An earlier process of this name had a clock that was ahead, so a later incarnation is needed.
    incarnation_ = std::max(incarnation_, last_incarnation) + 1;
    reports_ = changes::ReportAggregator(config_.name, config_.zone, incarnation_, config_.max_followers,
                                         max_exceptions);
    followers_.forget_all();
}

// If the watch is between two calls, or is retrying at another fleet manager, the next call carries the
// report.
void Relay::schedule_report() {
    if (!managers_.call_in_flight() || report_due_ != TimerQueue::none) return;
    const Nanos at = std::max(time_.now() + gather_window, called_at_ + call_interval);
    time_.timers.reschedule(report_due_, at, *this, Handle{}, 0);
}

void Relay::on_timer_due(Handle, std::uint64_t) {
    report_due_ = TimerQueue::none;
    if (managers_.call_in_flight())
        managers_.call_now();
    else
        managers_.next();
}

void Relay::observe_lease() {
    const bool has_lease = reports_.lease_left(time_.now()) > 0;
    if (std::exchange(has_lease_, has_lease) == has_lease) return;
    had_lease_ |= has_lease;
    if (has_lease)
        log_line("the relay has a lease from the fleet managers and grants leases to its followers");
    else
        log_line("the relay's lease has expired; it serves configuration version %llu and grants no leases",
                 printable(documents_.copy().version()));
}

}  // namespace tealcart::relay
