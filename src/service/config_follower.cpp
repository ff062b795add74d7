#include "service/config_follower.hpp"

#include <algorithm>
#include <functional>
#include <tuple>
#include <utility>

#include "log/log.hpp"

namespace tealcart {
namespace {

constexpr Nanos millisecond = 1'000'000;
constexpr Nanos leave_timeout = 300 * millisecond;
// After its lease has expired, the follower moves to another relay after this many consecutive answers
// without a lease.
constexpr int max_answers_without_lease = 3;
// Least time between calls if the relay answers at once and without an update.
constexpr Nanos min_pause = 200 * millisecond;
const char* const serving_states[] = {
    "no relay has answered yet", "it has a lease from a relay",
    "its lease has expired; it continues with its last configuration version",
    "cut off from the relays; it is not ready for queries"};

// A follower's lease differs from a member's lease only in how long the router waits for the first answer.
MemberConfig follower_lease_config(MemberConfig config) {
    config.startup_wait = config.config_startup_wait;
    return config;
}

unsigned long long printable(std::uint64_t number) { return number; }

}  // namespace

ConfigFollower::ConfigFollower(boost::asio::io_context& io, EventClock& time, const StartupConfig& startup,
                               QueryDispatcher& dispatcher)
    : time_(time), config_(follower_lease_config(startup.operator_config.member)),
      name_(config_.name.empty() ? startup.name : config_.name), dispatcher_(dispatcher),
      log_(startup.operator_config.log), overlay_({startup.operator_config.log, startup.two_phase_configs},
                                                  startup.config, startup.connection_config.query_classes),
      lease_(config_, time.now(), static_cast<std::uint64_t>(time.now())),
      relays_(io, time, *this, follower_path, "relay", config_.relays, std::hash<std::string>{}(name_),
              startup.seed | 1),
      ready_by_(time.now() + config_.startup_wait) {
    update_serving_state();
}

void ConfigFollower::stop() {
    time_.timers.cancel(pause_);
    relays_.stop();
}

void ConfigFollower::update_serving_state() {
    const Nanos now = time_.now();
    const ServingState state = lease_.serving_state(now);
    if (std::exchange(serving_state_, state) != state)
        log_line("configuration follower %s, incarnation %llu: %s", name_.c_str(),
                 printable(lease_.incarnation()), serving_states[static_cast<int>(state)]);
    const bool ready = lease_.ready(now) && (caught_up_ || now >= ready_by_);
    dispatcher_.set_serving_state(ServingStateSource::configuration,
                                  {ready, lease_.admits(now), lease_.attempts_until(now)});
}

Nanos ConfigFollower::next_change() const {
    const Nanos now = time_.now(), next = lease_.next_change(now);
    return caught_up_ || now >= ready_by_ ? next : std::min(next, ready_by_);
}

LongPollObserver::Call ConfigFollower::next_call() {
    FollowerCall call;
    call.report = {
        name_,          lease_.incarnation(), config_.lease_grace, applied_version_, refused_version_,
        refusal_reason_};
    call.zone = config_.zone;
    call.leaving = leaving_;
    call.position = {copy_.version(), copy_.digest(), copy_.needs_pages(), copy_.next_page_after(), 0};
    if (!leaving_) call.position.wait = lease_.long_poll_wait(false);
    wait_ = call.position.wait;
    return {write_follower_call(call), wait_};
}

void ConfigFollower::refuse(std::string reason) {
    refused_version_ = copy_.version();
    refusal_reason_ = std::move(reason);
    log_query(LogLevel::warn, {}, "refused configuration version %llu, version %llu stays in force: %s",
              printable(refused_version_), printable(accepted_version_), refusal_reason_.c_str());
}

// Applies the whole version in one handler. Handlers run between rounds, which guards against a version that
// is in force partly in one round and completely only in the next.
void ConfigFollower::apply_copy() {
    auto read = overlay_.read(copy_.document());
    if (auto* rejection = std::get_if<ConfigOverlay::Rejection>(&read))
        return refuse(std::move(rejection->reason));
    auto& settings = std::get<ConfigOverlay::Settings>(read);
    accepted_version_ = copy_.version();
    refused_version_ = 0;
    refusal_reason_.clear();
    // The change is logged under the more verbose one of the old and the new log level.
    const bool less_verbose = settings.log.level > log_.level;
    log_ = settings.log;
    if (!less_verbose) configure_log(log_);
    log_line("accepted configuration version %llu: %zu entries, %zu changed", printable(accepted_version_),
             copy_.document().size(), overlay_.on_applied(copy_.document()));
    if (less_verbose) configure_log(log_);
    dispatcher_.set_two_phase_config(std::move(settings.phases));
}

bool ConfigFollower::update_copy(const ChangesAnswer& answer) {
    using ApplyResult = changes::DocumentCopy::ApplyResult;
    const auto position = [this] {
        return std::tuple(copy_.version(), copy_.needs_pages(), copy_.next_page_after());
    };
    const auto before = position();
    ApplyResult result = ApplyResult::unchanged;
    if (answer.delta) result = copy_.apply(*answer.delta);
    if (answer.page) result = copy_.apply(*answer.page);
    const bool further = before != position();
    if (result == ApplyResult::applied) apply_copy();
    if (result == ApplyResult::corrupt)
        log_query(LogLevel::warn, {},
                  "the configuration from relay %s:%u does not match its digest; version %llu stays in force",
                  relays_.address().host.c_str(), relays_.address().port, printable(accepted_version_));
    return further;
}

void ConfigFollower::log_relay_behind(const ChangesAnswer& answer) {
    if (answer.version >= copy_.version()) {
        logged_relay_version_ = 0;
        return;
    }
    if (std::exchange(logged_relay_version_, answer.version) != answer.version)
        log_line("relay %s:%u has the older configuration version %llu; version %llu stays in force",
                 relays_.address().host.c_str(), relays_.address().port, printable(answer.version),
                 printable(copy_.version()));
}

void ConfigFollower::on_changes(Nanos sent, const ChangesAnswer& answer) {
    if (leaving_) {
        left_ = true;
        return;
    }
    const Nanos now = time_.now();
    if (answer.lease > 0) lease_.renewed(sent, answer.lease);
    const bool further = update_copy(answer);
    log_relay_behind(answer);
    const bool has_lease = answer.lease > 0 || now < lease_.lease_until();
    answers_without_lease_ = has_lease ? 0 : answers_without_lease_ + 1;
    caught_up_ |= answer.lease > 0 && copy_.version() >= answer.version;
    update_serving_state();
    // A relay that answers at once and without an update is not called again before a pause.
    const Nanos earliest = sent + std::max(wait_, min_pause);
    if (!further && time_.now() < earliest)
        time_.timers.reschedule(pause_, earliest, *this, Handle{});
    else
        finish_answer();
}

void ConfigFollower::on_timer_due(Handle, std::uint64_t) {
    pause_ = TimerQueue::none;
    finish_answer();
}

void ConfigFollower::finish_answer() {
    next_pending_ = true;
    if (dispatcher_.next_round() == TimerQueue::never) after_round();
}

void ConfigFollower::after_round() {
    applied_version_ = accepted_version_;
    if (!std::exchange(next_pending_, false)) return;
    if (answers_without_lease_ < max_answers_without_lease || config_.relays.size() == 1)
        return relays_.next();
    // This relay apparently reaches no fleet manager, but another relay may.
    answers_without_lease_ = 0;
    relays_.fail_over("it grants no lease");
}

void ConfigFollower::on_superseded(std::uint64_t last_incarnation) {
    lease_.superseded(last_incarnation);
    update_serving_state();
}

bool ConfigFollower::leave() {
    const Nanos now = time_.now();
    if (leave_began_ == 0) {
        leave_began_ = now;
        leaving_ = true;
        time_.timers.cancel(pause_);
        if (serving_state_ != ServingState::leased) return true;
        relays_.call_now();
    }
    return left_ || now - leave_began_ > leave_timeout;
}

}  // namespace tealcart
