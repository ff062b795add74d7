#include "testing/hollow_follower.hpp"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <nlohmann/json.hpp>
#include <set>
#include <stdexcept>

#include "log/log.hpp"
#include "testing/socket_bytes.hpp"

namespace tealcart::testing {
namespace {

using boost::system::error_code;
using Json = nlohmann::json;

constexpr Nanos ms = 1'000'000, max_turn = 100 * ms;
constexpr int handlers_a_turn = 4096;
constexpr std::size_t words_before_relays = 5;
// As the program's follower has them (service/follower.cpp).
constexpr int max_without_lease = 3;
constexpr Nanos min_pause = 200 * ms;

Nanos steady_now() { return std::chrono::steady_clock::now().time_since_epoch().count(); }

MemberConfig router_config_of(const FollowerConfig& config, std::size_t number) {
    MemberConfig t;
    t.on = true;
    t.name = "r" + std::to_string(number);
    t.zone = config.zone;
    t.relays = config.relays;
    t.startup_wait = t.config_startup_wait;
    return t;
}

}  // namespace

std::string numbered_value(std::uint64_t number, Nanos at, std::size_t bytes) {
    std::string value = std::to_string(number) + " " + std::to_string(at) + " ";
    value.resize(std::max(bytes, value.size()), 'x');
    return value;
}

std::vector<std::string> write_followers(const FollowerConfig& t) {
    std::vector<std::string> words = {"--followers", std::to_string(t.from), std::to_string(t.count),
                                      std::to_string(t.control), t.zone};
    for (const HostPort& r : t.relays) words.push_back(r.host + ":" + std::to_string(r.port));
    return words;
}

FollowerConfig read_followers(const std::vector<std::string>& w) {
    if (w.size() <= words_before_relays) throw std::runtime_error("too few words for a followers' process");
    FollowerConfig t;
    t.from = std::stoull(w[1]), t.count = std::stoull(w[2]);
    t.control = static_cast<std::uint16_t>(std::stoul(w[3]));
    t.zone = w[4];
    for (std::size_t i = words_before_relays; i < w.size(); ++i) {
        const auto at = parse_host_port(w[i]);
        if (!at) throw std::runtime_error(w[i] + " is no address");
        t.relays.push_back(*at);
    }
    return t;
}

HollowFollower::HollowFollower(boost::asio::io_context& io, EventClock& time, const FollowerConfig& config,
                               std::size_t number, Acted& acted)
    : time_(time), config_(router_config_of(config, number)), acted_(acted),
      lease_(config_, time.now(), static_cast<std::uint64_t>(time.now())),
      watch_(io, time, *this, follower_path, "relay", config.relays, number, number + 1) {
    watch_.start();
}

HollowFollower::~HollowFollower() {
    time_.due.drop(pause_);
    watch_.stop();
}

LongPollObserver::Call HollowFollower::next_call() {
    ++calls_;
    FollowerCall call;
    call.report = {config_.name, lease_.incarnation(), config_.lease_grace, copy_.version(), 0, ""};
    call.zone = config_.zone;
    wait_ = lease_.wait(false);
    call.position = {copy_.version(), copy_.digest(), copy_.needs_pages(), copy_.next_page_after(), wait_};
    return {write_follower_call(call), wait_};
}

// Entries are numbered in the order in which they were published: the latest of a delta is later than all
// that came before.
void HollowFollower::look_at(const changes::Delta& delta) {
    std::uint64_t latest = 0;
    for (const auto& [key, value] : delta.set)
        latest = std::max<std::uint64_t>(latest, std::strtoull(value.c_str(), nullptr, 10));
    faults_ += latest <= last_number_ && last_number_ > 0;
    last_number_ = std::max(last_number_, latest);
}

void HollowFollower::on_changes(Nanos sent, const ChangesAnswer& answer) {
    using ApplyResult = changes::DocumentCopy::ApplyResult;
    const Nanos now = time_.now(), until = lease_.lease_until();
    if (answer.lease > 0) {
        lease_.renewed(sent, answer.lease);
        lapses_ += until > 0 && now > until;
    }
    const auto before = std::tuple(copy_.version(), copy_.needs_pages(), copy_.next_page_after());
    const std::uint64_t version = copy_.version();
    ApplyResult result = ApplyResult::unchanged;
    if (answer.delta) result = copy_.apply(*answer.delta);
    if (answer.page) result = copy_.apply(*answer.page);
    refused_ += result == ApplyResult::corrupt || result == ApplyResult::gap;
    if (result == ApplyResult::applied) {
        faults_ += copy_.version() <= version;
        if (answer.delta) look_at(*answer.delta);
        const Nanos at = steady_now();
        for (std::uint64_t v = version + 1; version > 0 && v <= copy_.version(); ++v) acted_[v].push_back(at);
    }
    without_lease_ = answer.lease > 0 || now < lease_.lease_until() ? 0 : without_lease_ + 1;
    const bool further = before != std::tuple(copy_.version(), copy_.needs_pages(), copy_.next_page_after());
    const Nanos earliest = sent + std::max(wait_, min_pause);
    if (!further && time_.now() < earliest)
        time_.due.move(pause_, earliest, *this, Handle{}, 0);
    else
        go_on();
}

void HollowFollower::on_due(Handle, std::uint64_t) {
    pause_ = TimerQueue::none;
    go_on();
}

void HollowFollower::go_on() {
    if (without_lease_ < max_without_lease || config_.relays.size() == 1) return watch_.next();
    without_lease_ = 0;
    watch_.fail_over("it grants no lease");
}

FollowerProcess::FollowerProcess(boost::asio::io_context& io, FollowerConfig config)
    : io_(io), config_(std::move(config)), control_(io) {
    start_log({LogForm::text, LogLevel::error});
    for (std::size_t i = 0; i < config_.count; ++i)
        followers_.push_back(std::make_unique<HollowFollower>(io_, time_, config_, config_.from + i, acted_));
    control_.connect({boost::asio::ip::address_v4::loopback(), config_.control});
    boost::asio::write(control_, boost::asio::buffer("hello " + std::to_string(config_.from) + "\n"));
    read();
}

void FollowerProcess::run() {
    boost::asio::steady_timer timer(io_);
    Nanos set_to = TimerQueue::never;
    while (!over_) {
        // Set anew only for an earlier time: one that is put off would wake the loop for nothing.
        const Nanos at = std::max(time_.now(), std::min(time_.due.next(), time_.now() + max_turn));
        if (at < set_to) {
            set_to = at;
            timer.expires_at(time_.steady(at));
            timer.async_wait([&set_to](const error_code& ec) {
                if (!ec) set_to = TimerQueue::never;
            });
        }
        io_.run_one();
        for (int i = 0; i < handlers_a_turn && io_.poll_one() > 0; ++i) {
        }
        time_.due.fire_due(time_.now());
    }
}

void FollowerProcess::read() {
    control_.async_read_some(boost::asio::buffer(buffer_), [this](const error_code& ec, std::size_t n) {
        if (ec) return void(over_ = true);
        in_.append(buffer_.data(), n);
        for (std::size_t end = 0; (end = in_.find('\n')) != in_.npos; in_.erase(0, end + 1)) {
            error_code failed;
            boost::asio::write(control_, boost::asio::buffer(answer(in_.substr(0, end)) + "\n"), failed);
        }
        read();
    });
}

std::string FollowerProcess::answer(const std::string& line) {
    if (line == "bytes") return bytes();
    if (line.rfind("acted ", 0) != 0) return report();
    char* end = nullptr;
    const std::uint64_t from = std::strtoull(line.c_str() + 6, &end, 10);
    return acted(from, std::strtoull(end, nullptr, 10));
}

std::string FollowerProcess::report() const {
    std::size_t holding = 0;
    std::uint64_t lapses = 0, faults = 0, refused = 0, calls = 0, least = UINT64_MAX, min_held = UINT64_MAX;
    std::set<std::uint64_t> digests;
    for (const auto& f : followers_) {
        const bool holds = f->holds();
        holding += holds;
        lapses += f->lapses(), faults += f->faults(), refused += f->refused(), calls += f->calls();
        least = std::min(least, f->applied_version());
        if (holds && f->applied_version() > 0) min_held = std::min(min_held, f->applied_version());
        digests.insert(f->copy().digest());
    }
    return Json{{"followers", followers_.size()},
                {"holding", holding},
                {"lapses", lapses},
                {"faults", faults},
                {"refused", refused},
                {"calls", calls},
                {"least", least},
                {"least_held", min_held},
                {"digests", digests}}
        .dump();
}

std::string FollowerProcess::bytes() const {
    std::vector<std::uint16_t> ports;
    for (const HostPort& r : config_.relays) ports.push_back(r.port);
    std::sort(ports.begin(), ports.end());
    const SocketBytes sum = bytes_with(ports.data(), ports.size());
    return Json{{"in", sum.in}, {"out", sum.out}}.dump();
}

std::string FollowerProcess::acted(std::uint64_t from, std::uint64_t to) const {
    Json list = Json::array();
    for (std::uint64_t v = from; v <= to; ++v) {
        Json at = Json::array();
        if (const auto it = acted_.find(v); it != acted_.end())
            for (const Nanos n : it->second) at.push_back(n / 1000);
        list.push_back(std::move(at));
    }
    return list.dump();
}

}  // namespace tealcart::testing
