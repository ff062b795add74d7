#include "service/config_follower.hpp"

#include <algorithm>
#include <functional>
#include <tuple>
#include <utility>

#include "log/log.hpp"

namespace tealcart {
namespace {

constexpr Nanos ms = 1'000'000;
constexpr Nanos farewell_within = 300 * ms;
constexpr int max_without_lease = 3;   // answers in a row, after its own is over
constexpr Nanos min_pause = 200 * ms;  // between calls that bring nothing and were not kept waiting
const char* const serving_states[] = {"no relay has spoken yet", "its lease holds",
                                      "its lease is over; it goes on by the version it has", "cut off"};

MemberConfig lease_config(MemberConfig config) {
    config.startup_wait = config.config_startup_wait;
    return config;
}

unsigned long long number(std::uint64_t version) { return version; }

}  // namespace

ConfigFollower::ConfigFollower(boost::asio::io_context& io, EventClock& time, const StartupConfig& launch,
                               QueryDispatcher& dispatcher)
    : time_(time), config_(lease_config(launch.operators.member)),
      name_(config_.name.empty() ? launch.name : config_.name), dispatcher_(dispatcher),
      log_(launch.operators.log),
      overlay_({launch.operators.log, launch.phases}, launch.config, launch.connection_config.query_classes),
      lease_(config_, time.now(), static_cast<std::uint64_t>(time.now())),
      watch_(io, time, *this, follower_path, "relay", config_.relays, std::hash<std::string>{}(name_),
             launch.seed | 1),
      ready_by_(time.now() + config_.startup_wait) {
    look();
}

void ConfigFollower::stop() {
    time_.due.drop(pause_);
    watch_.stop();
}

void ConfigFollower::look() {
    const Nanos now = time_.now();
    const ServingState serving_state = lease_.serving_state(now);
    if (serving_state != serving_state_)
        log_line("configuration, as %s, life %llu: %s", name_.c_str(), number(lease_.incarnation()),
                 serving_states[static_cast<int>(serving_state)]);
    serving_state_ = serving_state;
    dispatcher_.set_serving_state(ServingStateSource::configuration,
                                  {lease_.ready(now) && (caught_up_ || now >= ready_by_), lease_.admits(now),
                                   lease_.attempts_until(now)});
}

Nanos ConfigFollower::next_change() const {
    const Nanos now = time_.now(), next = lease_.next_change(now);
    return caught_up_ || now >= ready_by_ ? next : std::min(next, ready_by_);
}

LongPollObserver::Call ConfigFollower::next_call() {
    FollowerCall call;
    call.report = {name_, lease_.incarnation(), config_.serve_on, acts_on_, refused_, why_};
    call.zone = config_.zone;
    call.leaves = leaves_;
    call.position = {copy_.version(), copy_.digest(), copy_.wants_pages(), copy_.wants_after(), 0};
    if (!leaves_) call.position.wait = lease_.wait(false);
    wait_ = call.position.wait;
    return {write_follower_call(call), wait_};
}

// Guards against a version of which a shard request would hold in one round and the rest in the next:
// handlers run between rounds, and all of it is handed over in one.
void ConfigFollower::take_over() {
    auto read = overlay_.read(copy_.document());
    if (auto* refusal = std::get_if<ConfigOverlay::Rejection>(&read)) {
        refused_ = copy_.version();
        why_ = std::move(refusal->why);
        return log_about(LogLevel::warn, {}, "configuration version %llu is refused, %llu stands: %s",
                         number(refused_), number(taken_), why_.c_str());
    }
    auto& settings = std::get<ConfigOverlay::Settings>(read);
    taken_ = copy_.version();
    refused_ = 0;
    why_.clear();
    // Told where the more talkative of both log levels would have it.
    const bool quieter = settings.log.level > log_.level;
    log_ = settings.log;
    if (!quieter) start_log(log_);
    log_line("configuration version %llu: %zu entries, %zu changed", number(taken_), copy_.document().size(),
             overlay_.on_applied(copy_.document()));
    if (quieter) start_log(log_);
    dispatcher_.take_phases(std::move(settings.phases));
}

void ConfigFollower::on_changes(Nanos sent, const ChangesAnswer& answer) {
    if (leaves_) {
        left_ = true;
        return;
    }
    using Taken = changes::Copy::Taken;
    const Nanos now = time_.now();
    if (answer.lease > 0) lease_.renewed(sent, answer.lease);
    const auto before = std::tuple(copy_.version(), copy_.wants_pages(), copy_.wants_after());
    Taken taken = Taken::known;
    if (answer.delta) taken = copy_.take(*answer.delta);
    if (answer.page) taken = copy_.take(*answer.page);
    const bool further = before != std::tuple(copy_.version(), copy_.wants_pages(), copy_.wants_after());
    if (taken == Taken::taken) take_over();
    if (taken == Taken::spoilt)
        log_about(LogLevel::warn, {}, "configuration of relay %s:%u does not fit its digest; %llu stands",
                  watch_.address().host.c_str(), watch_.address().port, number(taken_));
    if (answer.version < copy_.version() && std::exchange(told_behind_, answer.version) != answer.version)
        log_line("relay %s:%u has configuration version %llu; %llu stands", watch_.address().host.c_str(),
                 watch_.address().port, number(answer.version), number(copy_.version()));
    if (answer.version >= copy_.version()) told_behind_ = 0;
    without_lease_ = answer.lease > 0 || now < lease_.lease_until() ? 0 : without_lease_ + 1;
    caught_up_ |= answer.lease > 0 && copy_.version() >= answer.version;
    look();
    // A relay that answers at once and brings nothing is not asked again at once.
    const Nanos earliest = sent + std::max(wait_, min_pause);
    if (!further && time_.now() < earliest)
        time_.due.move(pause_, earliest, *this, Handle{});
    else
        go_on();
}

void ConfigFollower::on_due(Handle, std::uint64_t) {
    pause_ = TimerQueue::none;
    go_on();
}

void ConfigFollower::go_on() {
    owes_next_ = true;
    if (dispatcher_.next_round() == TimerQueue::never) after_round();
}

void ConfigFollower::after_round() {
    acts_on_ = taken_;
    if (!std::exchange(owes_next_, false)) return;
    if (without_lease_ < max_without_lease || config_.relays.size() == 1) return watch_.next();
    // It reaches no manager, and another may.
    without_lease_ = 0;
    watch_.pass_over("it grants no lease");
}

void ConfigFollower::on_superseded(std::uint64_t last_incarnation) {
    lease_.superseded(last_incarnation);
    look();
}

bool ConfigFollower::farewell() {
    const Nanos now = time_.now();
    if (farewell_began_ == 0) {
        farewell_began_ = now;
        leaves_ = true;
        time_.due.drop(pause_);
        if (serving_state_ != ServingState::member) return true;
        watch_.call_now();
    }
    return left_ || now - farewell_began_ > farewell_within;
}

}  // namespace tealcart
