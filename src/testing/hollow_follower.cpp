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

constexpr Nanos ms = 1'000'000, max_timer_wait = 100 * ms;
constexpr int max_handlers_per_turn = 4096;
constexpr std::size_t arguments_before_relays = 5;
// These are the values of the program's follower (service/config_follower.cpp).
constexpr int max_without_lease = 3;
constexpr Nanos min_pause = 200 * ms;

Nanos steady_now() { return std::chrono::steady_clock::now().time_since_epoch().count(); }

MemberConfig member_config_of(const FollowerConfig& config, std::size_t router_number) {
    MemberConfig member;
    member.enabled = true;
    member.name = "r" + std::to_string(router_number);
    member.zone = config.zone;
    member.relays = config.relays;
    member.startup_wait = member.config_startup_wait;
    return member;
}

}  // namespace

std::string numbered_value(std::uint64_t number, Nanos published_at, std::size_t bytes) {
    std::string value = std::to_string(number) + " " + std::to_string(published_at) + " ";
    value.resize(std::max(bytes, value.size()), 'x');
    return value;
}

std::vector<std::string> write_follower_arguments(const FollowerConfig& config) {
    std::vector<std::string> arguments = {"--followers", std::to_string(config.first_router),
                                          std::to_string(config.follower_count),
                                          std::to_string(config.control_port), config.zone};
    for (const HostPort& relay : config.relays)
        arguments.push_back(relay.host + ":" + std::to_string(relay.port));
    return arguments;
}

FollowerConfig read_follower_arguments(const std::vector<std::string>& arguments) {
    if (arguments.size() <= arguments_before_relays)
        throw std::runtime_error("a process of followers got " + std::to_string(arguments.size()) +
                                 " arguments; expected more than " + std::to_string(arguments_before_relays));
    FollowerConfig config;
    config.first_router = std::stoull(arguments[1]), config.follower_count = std::stoull(arguments[2]);
    config.control_port = static_cast<std::uint16_t>(std::stoul(arguments[3]));
    config.zone = arguments[4];
    for (std::size_t i = arguments_before_relays; i < arguments.size(); ++i) {
        const auto address = parse_host_port(arguments[i]);
        if (!address)
            throw std::runtime_error("malformed address '" + arguments[i] + "'; expected host:port");
        config.relays.push_back(*address);
    }
    return config;
}

HollowFollower::HollowFollower(boost::asio::io_context& io, EventClock& clock, const FollowerConfig& config,
                               std::size_t router_number, AppliedTimes& applied_times)
    : clock_(clock), config_(member_config_of(config, router_number)), applied_times_(applied_times),
      lease_(config_, clock.now(), static_cast<std::uint64_t>(clock.now())),
      watch_(io, clock, *this, follower_path, "relay", config.relays, router_number, router_number + 1) {
    watch_.start();
}

HollowFollower::~HollowFollower() {
    clock_.timers.cancel(pause_timer_);
    watch_.stop();
}

LongPollObserver::Call HollowFollower::next_call() {
    ++calls_;
    FollowerCall call;
    call.report = {config_.name, lease_.incarnation(), config_.lease_grace, copy_.version(), 0, ""};
    call.zone = config_.zone;
    long_poll_wait_ = lease_.long_poll_wait(false);
    call.position = {copy_.version(), copy_.digest(), copy_.needs_pages(), copy_.next_page_after(),
                     long_poll_wait_};
    return {write_follower_call(call), long_poll_wait_};
}

// Entries carry sequence numbers in the order of publishing, so the greatest number of a delta has to exceed
// all earlier ones.
void HollowFollower::check_order(const changes::Delta& delta) {
    std::uint64_t max_number = 0;
    for (const auto& [key, value] : delta.set)
        max_number = std::max<std::uint64_t>(max_number, std::strtoull(value.c_str(), nullptr, 10));
    order_violations_ += max_number <= last_sequence_number_ && last_sequence_number_ > 0;
    last_sequence_number_ = std::max(last_sequence_number_, max_number);
}

void HollowFollower::on_changes(Nanos sent, const ChangesAnswer& answer) {
    using ApplyResult = changes::DocumentCopy::ApplyResult;
    const Nanos now = clock_.now(), until = lease_.lease_until();
    if (answer.lease > 0) {
        lease_.renewed(sent, answer.lease);
        lease_lapses_ += until > 0 && now > until;
    }
    const auto progress_before = std::tuple(copy_.version(), copy_.needs_pages(), copy_.next_page_after());
    const std::uint64_t version_before = copy_.version();
    ApplyResult result = ApplyResult::unchanged;
    if (answer.delta) result = copy_.apply(*answer.delta);
    if (answer.page) result = copy_.apply(*answer.page);
    rejected_ += result == ApplyResult::corrupt || result == ApplyResult::gap;
    if (result == ApplyResult::applied) {
        order_violations_ += copy_.version() <= version_before;
        if (answer.delta) check_order(*answer.delta);
        const Nanos applied_at = steady_now();
        for (std::uint64_t version = version_before + 1; version_before > 0 && version <= copy_.version();
             ++version)
            applied_times_[version].push_back(applied_at);
    }
    without_lease_ = answer.lease > 0 || now < lease_.lease_until() ? 0 : without_lease_ + 1;
    const bool progressed =
        progress_before != std::tuple(copy_.version(), copy_.needs_pages(), copy_.next_page_after());
    const Nanos earliest = sent + std::max(long_poll_wait_, min_pause);
    if (!progressed && clock_.now() < earliest)
        clock_.timers.reschedule(pause_timer_, earliest, *this, Handle{}, 0);
    else
        send_next_call();
}

void HollowFollower::on_timer_due(Handle, std::uint64_t) {
    pause_timer_ = TimerQueue::none;
    send_next_call();
}

void HollowFollower::send_next_call() {
    if (without_lease_ < max_without_lease || config_.relays.size() == 1) return watch_.next();
    without_lease_ = 0;
    watch_.fail_over("it grants no lease");
}

FollowerProcess::FollowerProcess(boost::asio::io_context& io, FollowerConfig config)
    : io_(io), config_(std::move(config)), control_socket_(io) {
    configure_log({LogFormat::text, LogLevel::error});
    for (std::size_t i = 0; i < config_.follower_count; ++i)
        followers_.push_back(
            std::make_unique<HollowFollower>(io_, clock_, config_, config_.first_router + i, applied_times_));
    control_socket_.connect({boost::asio::ip::address_v4::loopback(), config_.control_port});
    boost::asio::write(control_socket_,
                       boost::asio::buffer("hello " + std::to_string(config_.first_router) + "\n"));
    read_commands();
}

void FollowerProcess::run() {
    boost::asio::steady_timer timer(io_);
    Nanos timer_time = TimerQueue::never;
    while (!disconnected_) {
        // The timer is set again only for an earlier time. Postponing it would wake the loop without need.
        const Nanos wake_at =
            std::max(clock_.now(), std::min(clock_.timers.next(), clock_.now() + max_timer_wait));
        if (wake_at < timer_time) {
            timer_time = wake_at;
            timer.expires_at(clock_.steady(wake_at));
            timer.async_wait([&timer_time](const error_code& ec) {
                if (!ec) timer_time = TimerQueue::never;
            });
        }
        io_.run_one();
        for (int i = 0; i < max_handlers_per_turn && io_.poll_one() > 0; ++i) {
        }
        clock_.timers.fire_due(clock_.now());
    }
}

void FollowerProcess::read_commands() {
    control_socket_.async_read_some(
        boost::asio::buffer(buffer_), [this](const error_code& ec, std::size_t bytes_read) {
            if (ec) return void(disconnected_ = true);
            received_text_.append(buffer_.data(), bytes_read);
            for (std::size_t end = 0; (end = received_text_.find('\n')) != received_text_.npos;
                 received_text_.erase(0, end + 1)) {
                error_code write_error;
                boost::asio::write(control_socket_,
                                   boost::asio::buffer(execute_command(received_text_.substr(0, end)) + "\n"),
                                   write_error);
            }
            read_commands();
        });
}

std::string FollowerProcess::execute_command(const std::string& line) {
    if (line == "bytes") return report_bytes();
    if (line.rfind("acted ", 0) != 0) return report();
    char* end = nullptr;
    const std::uint64_t from = std::strtoull(line.c_str() + 6, &end, 10);
    return report_applied_times(from, std::strtoull(end, nullptr, 10));
}

std::string FollowerProcess::report() const {
    std::size_t lease_holders = 0;
    std::uint64_t lease_lapses = 0, order_violations = 0, rejected = 0, calls = 0, min_version = UINT64_MAX,
                  min_version_of_holders = UINT64_MAX;
    std::set<std::uint64_t> digests;
    for (const auto& follower : followers_) {
        const bool holds_lease = follower->holds_lease();
        lease_holders += holds_lease;
        lease_lapses += follower->lease_lapses(), order_violations += follower->order_violations(),
            rejected += follower->rejected(), calls += follower->calls();
        min_version = std::min(min_version, follower->applied_version());
        if (holds_lease && follower->applied_version() > 0)
            min_version_of_holders = std::min(min_version_of_holders, follower->applied_version());
        digests.insert(follower->copy().digest());
    }
    return Json{{"followers", followers_.size()},
                {"holding", lease_holders},
                {"lapses", lease_lapses},
                {"faults", order_violations},
                {"refused", rejected},
                {"calls", calls},
                {"least", min_version},
                {"least_held", min_version_of_holders},
                {"digests", digests}}
        .dump();
}

std::string FollowerProcess::report_bytes() const {
    std::vector<std::uint16_t> ports;
    for (const HostPort& relay : config_.relays) ports.push_back(relay.port);
    std::sort(ports.begin(), ports.end());
    const SocketBytes sum = bytes_with(ports.data(), ports.size());
    return Json{{"in", sum.in}, {"out", sum.out}}.dump();
}

std::string FollowerProcess::report_applied_times(std::uint64_t from, std::uint64_t to) const {
    Json times_by_version = Json::array();
    for (std::uint64_t version = from; version <= to; ++version) {
        Json times = Json::array();
        if (const auto it = applied_times_.find(version); it != applied_times_.end())
            for (const Nanos time : it->second) times.push_back(time / 1000);
        times_by_version.push_back(std::move(times));
    }
    return times_by_version.dump();
}

}  // namespace tealcart::testing
