#include "relay/relay.hpp"

#include <algorithm>
#include <csignal>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "log/log.hpp"
#include "wire/answer_body.hpp"
#include "wire/member_messages.hpp"

namespace tealcart::relay {
namespace {

constexpr Nanos ms = 1'000'000, second = 1000 * ms;
constexpr Nanos stall = 5 * second, max_turn = 250 * ms;
// What followers say is gathered for so long, and no more than five words a second go to the managers but
// those that ask for a further page.
constexpr Nanos gathered_for = 30 * ms, between_words = 200 * ms, between_pages = 20 * ms;
constexpr Nanos first_wait = 200 * ms, min_wait = 50 * ms;
constexpr std::size_t max_exceptions = 20, max_deltas = 1000, max_delta_bytes = 8u << 20;
constexpr std::size_t max_delta = 256 * 1024;  // pages beyond it
constexpr std::size_t max_at_hand = 16;        // deltas, for followers at different versions
constexpr std::size_t spare_clients = 64;      // for operators, and followers that connect anew
constexpr int handlers_a_turn = 4096;
enum Due : std::uint64_t { speak };

std::uint64_t started_at() {
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::nanoseconds>(
                                          std::chrono::system_clock::now().time_since_epoch())
                                          .count());
}

}  // namespace

Relay::Relay(boost::asio::io_context& io, const RelayConfig& config, std::uint64_t seed)
    : io_(io), signals_(io, SIGTERM, SIGINT), config_(config), history_(max_deltas, max_delta_bytes),
      incarnation_(started_at()),
      gather_(config.name, config.zone, incarnation_, config.max_followers, max_exceptions),
      front_(io, time_, *this, config.max_followers + spare_clients, stall),
      watch_(io, time_, *this, relay_path, "steward", config.managers, 0, seed), timer_(io) {
    front_.listen(config_.bind.host, config_.bind.port);
    signals_.async_wait([this](const boost::system::error_code& ec, int) {
        if (!ec) stop_began_ = time_.now();
    });
    pages_left_ = std::max(1.0, config_.pages_a_second);
    pages_at_ = time_.now();
    watch_.start();
    log_line("relay %s of zone %s, life %llu: followers at %s:%u", config_.name.c_str(), config_.zone.c_str(),
             static_cast<unsigned long long>(incarnation_), config_.bind.host.c_str(), front_.port());
}

void Relay::run() {
    while (stop_began_ == 0 && followed_.empty()) {
        set_timer(std::min(time_.due.next(), time_.now() + max_turn));
        io_.run_one();
        for (int i = 0; i < handlers_a_turn && io_.poll_one() > 0; ++i) {
        }
        time_.due.fire_due(time_.now());
        look_at_lease();
        tell_waiting();
    }
    log_line("stopping");
    watch_.stop();
    front_.close_all();
    if (!followed_.empty()) throw std::runtime_error(followed_);
}

// Set anew only for an earlier time: one that is put off would wake the loop for nothing.
void Relay::set_timer(Nanos at) {
    const Nanos now = time_.now();
    for (const auto& [slot, w] : waiting_) at = std::min(at, w.until);
    at = std::max(at, now);
    if (timer_at_ != TimerQueue::never && timer_at_ <= at) return;
    timer_at_ = at;
    timer_.expires_at(time_.steady(at));
    timer_.async_wait([this](const boost::system::error_code& ec) {
        if (!ec) timer_at_ = TimerQueue::never;
    });
}

void Relay::refuse(Handle client, int status, std::string_view words) {
    front_.answer(client, {status, write_error(words), 0});
}

void Relay::on_request(Handle client, Request& request, Nanos) {
    if (request.path == "/-/ready" || request.path == "/relay/status") {
        if (request.method != "GET") return front_.answer(client, {405, write_error("GET only"), 0, "GET"});
        if (request.path == "/relay/status") return front_.answer(client, {200, write_status(), 0});
        return answered_ ? front_.answer(client, {200, {}, 0})
                         : refuse(client, 503, "no steward has answered yet");
    }
    if (request.path != follower_path) return refuse(client, 404, "no such path");
    if (request.method != "POST") return front_.answer(client, {405, write_error("POST only"), 0, "POST"});
    on_follower(client, request.body);
}

void Relay::on_follower(Handle client, const std::string& body) {
    const auto call = read_follower_call(body);
    if (!call) return refuse(client, 400, call.error().reason);
    const changes::MemberReport& word = call->report;
    const auto known = heard_.find(word.name);
    if (known != heard_.end() && known->second.incarnation > word.incarnation)
        return front_.answer(client, {409, write_superseded(known->second.incarnation), 0});
    const Nanos now = time_.now();
    if (call->leaves) {
        gather_.left(word.name, word.incarnation);
        heard_.erase(word.name);
        say_soon(gathered_for);
        return front_.answer(client, {200, write_changes_answer({copy_.version(), 0, 0, false, 0, {}, {}})});
    }
    if (!gather_.heard(now, word)) return refuse(client, 503, "it has as many followers as it may");
    const Heard heard{word.incarnation, word.applied_version, word.refused};
    const Heard before = known == heard_.end() ? Heard{} : known->second;
    heard_[word.name] = heard;
    if (heard.incarnation != before.incarnation || heard.applied_version > before.applied_version ||
        heard.refused != before.refused)
        say_soon(gathered_for);
    const bool owed = gather_.grant(now, word.name) == 0;
    // One call of a follower at a time: what it said before on another connection waits for nothing.
    for (auto it = waiting_.begin(); it != waiting_.end(); ++it)
        if (it->second.name == word.name) {
            front_.answer(it->second.client, {503, write_error("it has called again"), 0});
            waiting_.erase(it);
            break;
        }
    waiting_[client.slot] = {client, word.name, call->position, now + call->position.wait, owed};
    news_ = true;
}

bool Relay::may_page(Nanos now) {
    pages_left_ = std::min(std::max(1.0, config_.pages_a_second),
                           pages_left_ + static_cast<double>(now - pages_at_) * config_.pages_a_second / 1e9);
    pages_at_ = now;
    return pages_left_ >= 1;
}

std::optional<ChangesAnswer> Relay::answer_for(const Waiting& w) {
    ChangesAnswer answer;
    answer.version = copy_.version();
    if (w.position.knows >= copy_.version()) return answer;
    if (!w.position.wants_pages) {
        if (deltas_.size() >= max_at_hand) deltas_.clear();
        const auto [it, is_new] = deltas_.try_emplace(w.position.knows);
        if (is_new) it->second = history_.since(w.position.knows);
        if (it->second && bytes_of(*it->second) <= max_delta) {
            answer.delta = it->second;
            return answer;
        }
    }
    if (!may_page(time_.now())) return std::nullopt;
    pages_left_ -= 1;
    answer.page = page_of(copy_, w.position.wants_pages ? w.position.after : "", config_.page_bytes);
    return answer;
}

// A follower is answered once there is a later version than it has, once it can be granted a lease that it
// lacks, or once it has waited for as long as it may. The rate of pages holds over all followers: who has to
// wait for one keeps its lease meanwhile.
void Relay::tell_waiting() {
    const Nanos now = time_.now();
    const bool news = std::exchange(news_, false);
    for (auto it = waiting_.begin(); it != waiting_.end();) {
        const Waiting& w = it->second;
        const bool over = now >= w.until;
        const bool later = w.position.knows < copy_.version();
        if (!over && !later && !(news && w.owed_grant && gather_.grant(now, w.name) > 0)) {
            ++it;
            continue;
        }
        auto answer = answer_for(w);
        if (!answer && !over) {
            ++it;
            continue;
        }
        if (!answer) answer = ChangesAnswer{copy_.version(), 0, 0, false, 0, {}, {}};
        answer->lease = gather_.grant(now, w.name);
        const Handle client = w.client;
        it = waiting_.erase(it);
        front_.answer(client, {200, write_changes_answer(*answer), 0});
    }
}

// The word to the managers.
LongPollObserver::Call Relay::next_call() {
    const Nanos now = time_.now();
    spoke_at_ = now;
    RelayCall call;
    call.report = gather_.word(now, drift_);
    for (const auto* gone : {&call.report.left, &call.report.lost})
        for (const auto& [name, incarnation] : *gone)
            if (const auto it = heard_.find(name);
                it != heard_.end() && it->second.incarnation <= incarnation)
                heard_.erase(it);
    exceptions_.clear();
    for (const changes::MemberReport& w : call.report.exceptions) exceptions_.push_back(w.name);
    call.position.knows = copy_.version();
    call.position.digest = copy_.digest();
    call.position.wants_pages = copy_.wants_pages();
    call.position.after = copy_.wants_after();
    call.position.wait = lease_ > 0 ? std::max(min_wait, lease_ / 10) : first_wait;
    time_.due.drop(speak_due_);
    return {write_relay_call(call), call.position.wait};
}

void Relay::on_changes(Nanos sent, const ChangesAnswer& answer) {
    answered_ = true;
    drift_ = answer.drift;
    if (answer.say_all) gather_.say_all();
    if (answer.taken > 0 && answer.lease > 0) {
        lease_ = answer.lease;
        gather_.taken(answer.taken, sent, answer.lease);
        news_ = true;
    }
    const std::uint64_t before = copy_.version();
    take_news(answer);
    look_at_lease();
    // Those that are told now will say soon that they act on it.
    const Nanos pause = copy_.wants_pages() ? between_pages : between_words;
    const Nanos at = std::max(time_.now() + (copy_.version() > before ? gathered_for : 0), spoke_at_ + pause);
    time_.due.move(speak_due_, at, *this, Handle{}, speak);
}

void Relay::take_news(const ChangesAnswer& answer) {
    using Taken = changes::Copy::Taken;
    Taken taken = Taken::known;
    if (answer.delta) {
        taken = copy_.take(*answer.delta);
        if (taken == Taken::taken) history_.took(*answer.delta);
    } else if (answer.page) {
        taken = copy_.take(*answer.page);
        if (taken == Taken::taken) history_.forget();
    }
    if (taken == Taken::taken) {
        log_line("version %llu", static_cast<unsigned long long>(copy_.version()));
        deltas_.clear();
        spoilt_told_ = false;
    } else if (taken == Taken::spoilt && !std::exchange(spoilt_told_, true)) {
        log_line("what leads to version %llu has another digest than was told; asks for pages",
                 static_cast<unsigned long long>(answer.version));
    }
}

void Relay::on_superseded(std::uint64_t last_incarnation) {
    if (had_lease_) {
        followed_ = "another process goes by the name of relay " + config_.name;
        return;
    }
    incarnation_ = std::max(incarnation_, last_incarnation) + 1;
    gather_ = changes::ReportAggregator(config_.name, config_.zone, incarnation_, config_.max_followers,
                                        max_exceptions);
    heard_.clear();
}

// At most one call more, and not more often than may be: while the watch is between two calls, or has to wait
// for a manager, the next call says it.
void Relay::say_soon(Nanos after) {
    const Nanos at = std::max(time_.now() + after, spoke_at_ + between_words);
    if (watch_.waits() && speak_due_ == TimerQueue::none)
        time_.due.move(speak_due_, at, *this, Handle{}, speak);
}

void Relay::on_due(Handle, std::uint64_t) {
    speak_due_ = TimerQueue::none;
    if (watch_.waits())
        watch_.call_now();
    else
        watch_.next();
}

void Relay::look_at_lease() {
    const bool has = gather_.lease_left(time_.now()) > 0;
    if (has == has_lease_) return;
    has_lease_ = has;
    had_lease_ |= has;
    if (has)
        log_line("the stewards know it: it grants leases");
    else
        log_line("its lease is over: it hands on version %llu and grants nothing",
                 static_cast<unsigned long long>(copy_.version()));
}

std::string Relay::write_status() const {
    return nlohmann::ordered_json{
        {"relay", config_.name},
        {"zone", config_.zone},
        {"life", incarnation_},
        {"version", copy_.version()},
        {"digest", copy_.digest()},
        {"wants_pages", copy_.wants_pages()},
        {"members", gather_.members()},
        {"most_members", config_.max_followers},
        {"waiting", waiting_.size()},
        {"lowest", gather_.lowest()},
        {"exceptions", exceptions_},
        {"lease_left_ms", gather_.lease_left(time_.now()) / ms},
        {"steward", watch_.address().host + ":" + std::to_string(watch_.address().port)}}
        .dump();
}

}  // namespace tealcart::relay
