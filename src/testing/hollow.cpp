#include "testing/hollow.hpp"

#include <sys/resource.h>

#include <algorithm>
#include <boost/asio/write.hpp>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "log/log.hpp"

namespace tealcart::testing {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;
using Json = nlohmann::json;

constexpr Nanos ms = 1'000'000;
constexpr Nanos min_round_interval = 5 * ms, heartbeat = 100 * ms;
constexpr int max_handlers_per_turn = 4096;

constexpr std::size_t router_memory = 256 << 20;  // the memory limit of one router

RouterConfig router_config_of(const HollowConfig& config) {
    RouterConfig router;
    router.places = static_cast<int>(config.places);
    router.replicas_per_shard = static_cast<int>(hollow_replicas);
    return router;
}

StartupConfig startup_config_of(const HollowConfig& config, std::size_t number) {
    StartupConfig startup;
    startup.name = "r" + std::to_string(number);
    startup.operator_config.member.enabled = true;
    startup.operator_config.member.zone = config.zone;
    startup.operator_config.member.managers = config.managers;
    startup.manager_response_limit = manager_response_size_limit(router_config_of(config), router_memory);
    return startup;
}

void add_counts(TrafficCounters& sum, const TrafficCounters& more) {
    sum.requests += more.requests, sum.bytes_received += more.bytes_received,
        sum.bytes_sent += more.bytes_sent;
}

Json json_of(const TrafficCounters& c) {
    return {{"calls", c.requests}, {"in", c.bytes_received}, {"out", c.bytes_sent}};
}

HostPort address_of(const std::string& text) {
    const auto address = parse_host_port(text);
    if (!address) throw std::runtime_error("malformed address '" + text + "'; expected host:port");
    return *address;
}

std::string text_of(const HostPort& address) { return address.host + ":" + std::to_string(address.port); }

}  // namespace

std::uint32_t hollow_places(std::uint32_t nodes) { return std::max(min_places, nodes / hollow_replicas); }

ListedEndpoint hollow_data_node(std::uint32_t n, std::uint32_t places, const std::string& address) {
    return {"n" + std::to_string(n),
            address,
            "z" + std::to_string(n % hollow_zones),
            "m" + std::to_string(n % 3),
            n % places,
            Lifecycle::ready,
            0};
}

std::vector<std::string> write_hollow_arguments(const HollowConfig& config) {
    std::vector<std::string> arguments = {"--hollow",
                                          std::to_string(config.first_router),
                                          std::to_string(config.count),
                                          std::to_string(config.control),
                                          text_of(config.discovery),
                                          config.zone,
                                          config.address,
                                          std::to_string(config.generation),
                                          std::to_string(config.places),
                                          std::to_string(config.known_nodes),
                                          config.full_list ? "whole" : "deltas"};
    for (const HostPort& s : config.managers) arguments.push_back(text_of(s));
    return arguments;
}

HollowConfig read_hollow_arguments(const std::vector<std::string>& arguments) {
    if (arguments.size() < 12)
        throw std::runtime_error("a hollow process got " + std::to_string(arguments.size()) +
                                 " arguments; expected at least 12");
    HollowConfig config;
    config.first_router = std::stoull(arguments[1]), config.count = std::stoull(arguments[2]);
    config.control = static_cast<std::uint16_t>(std::stoul(arguments[3]));
    config.discovery = address_of(arguments[4]);
    config.zone = arguments[5], config.address = arguments[6];
    config.generation = std::stoull(arguments[7]);
    config.places = static_cast<std::uint32_t>(std::stoul(arguments[8]));
    config.known_nodes = static_cast<std::uint32_t>(std::stoul(arguments[9]));
    config.full_list = arguments[10] == "whole";
    for (std::size_t i = 11; i < arguments.size(); ++i) config.managers.push_back(address_of(arguments[i]));
    return config;
}

HollowRouter::HollowRouter(boost::asio::io_context& io, EventClock& time, const HollowConfig& config,
                           std::size_t number)
    : time_(time), generation_(config.full_list ? 0 : config.generation),
      member_(io, time, startup_config_of(config, number), *this),
      watch_(io, time, member_, config.discovery, Discovery::push, config.places, number,
             endpoint_list_size_limit(router_config_of(config), router_memory)) {
    EndpointList known_list{config.generation, true, {}, 0};
    for (std::uint32_t n = 0; n < config.known_nodes; ++n)
        known_list.nodes.push_back(hollow_data_node(n, config.places, config.address));
    member_.on_endpoint_list(known_list);
}

void HollowRouter::start() {
    watch_.start(generation_);
    member_.start();
}

void HollowRouter::stop() {
    time_.timers.cancel(round_);
    watch_.stop();
    member_.stop();
}

void HollowRouter::update_serving_state() { member_.update_serving_state(); }

void HollowRouter::on_endpoint_list(const EndpointList& list) {
    const NodeTable::Changes changes = nodes_.apply(list);
    received_.insert(received_.end(), changes.entries.begin(), changes.entries.end());
    if (round_ == TimerQueue::none)
        round_ = time_.timers.add(last_round_ + min_round_interval, *this, Handle{});
}

Nanos HollowRouter::next_round() const {
    return round_ == TimerQueue::none ? TimerQueue::never : last_round_ + min_round_interval;
}

// Discards what the decision module would be given.
void HollowRouter::on_timer_due(Handle, std::uint64_t) {
    round_ = TimerQueue::none;
    member_.update_serving_state();
    time_.timers.cancel(round_);
    last_round_ = time_.now();
    entries_ += received_.size();
    received_.clear();
    member_.after_round();
}

// Called with each renewal, so that even a lease that lapsed for a very short time is counted.
void HollowRouter::set_serving_state(ServingStateSource, const MemberServingState&) {
    const Nanos until = member_.lease().lease_until();
    if (until == lease_until_) return;
    lease_lapses_ += lease_until_ > 0 && time_.now() > lease_until_;
    lease_until_ = until;
}

HollowProcess::HollowProcess(boost::asio::io_context& io, HollowConfig config)
    : io_(io), config_(std::move(config)),
      reader_(io, time_, *this, config_.discovery, Discovery::push, config_.places, config_.first_router,
              endpoint_list_size_limit(router_config_of(config_), router_memory)),
      control_(io) {
    configure_log({LogFormat::text, LogLevel::error});
    routers_.resize(config_.count);
    start(0, config_.count);
    reader_.start(0);
    control_.connect({boost::asio::ip::address_v4::loopback(), config_.control});
    boost::asio::write(control_, boost::asio::buffer("hello " + std::to_string(config_.first_router) + "\n"));
    read();
}

void HollowProcess::start(std::size_t first, std::size_t count) {
    for (std::size_t i = first; i < std::min(first + count, routers_.size()); ++i) {
        if (routers_[i]) {
            lease_lapses_before_ += routers_[i]->lease_lapses();
            add_counts(manager_before_, routers_[i]->member().traffic());
            add_counts(discovery_before_, routers_[i]->discovery().traffic());
            routers_[i]->stop();
            stopped_.push_back(std::move(routers_[i]));
        }
        routers_[i] = std::make_unique<HollowRouter>(io_, time_, config_, config_.first_router + i);
        routers_[i]->start();
    }
}

void HollowProcess::on_endpoint_list(const EndpointList& list) { nodes_.apply(list); }

void HollowProcess::run() {
    boost::asio::steady_timer timer(io_);
    Nanos last_heartbeat = 0, timer_time = TimerQueue::never;
    while (!disconnected_) {
        // The timer is set again only for an earlier time. Postponing it would wake the loop without need.
        const Nanos wake_at =
            std::max(time_.now(), std::min(time_.timers.next(), last_heartbeat + heartbeat));
        if (wake_at < timer_time) {
            timer_time = wake_at;
            timer.expires_at(time_.steady(wake_at));
            timer.async_wait([&timer_time](const error_code& ec) {
                if (!ec) timer_time = TimerQueue::never;
            });
        }
        io_.run_one();
        for (int i = 0; i < max_handlers_per_turn && io_.poll_one() > 0; ++i) {
        }
        time_.timers.fire_due(time_.now());
        if (time_.now() - last_heartbeat < heartbeat) continue;
        last_heartbeat = time_.now();
        stopped_.clear();
        for (const auto& r : routers_) r->update_serving_state();
    }
}

void HollowProcess::read() {
    control_.async_read_some(boost::asio::buffer(buffer_), [this](const error_code& ec, std::size_t n) {
        if (ec) return void(disconnected_ = true);
        received_text_.append(buffer_.data(), n);
        for (std::size_t end = 0; (end = received_text_.find('\n')) != received_text_.npos;
             received_text_.erase(0, end + 1)) {
            error_code failed;
            boost::asio::write(control_, boost::asio::buffer(answer(received_text_.substr(0, end)) + "\n"),
                               failed);
        }
        read();
    });
}

std::string HollowProcess::answer(const std::string& line) {
    if (line == "cut") {
        reader_.stop();
        for (const auto& r : routers_) r->stop();
    } else if (line == "heal") {
        reader_.start(0);
        for (const auto& r : routers_) r->start();
    } else if (line.rfind("restart ", 0) == 0) {
        start(0, std::stoull(line.substr(8)));
    } else {
        return report();
    }
    return "{}";
}

std::string HollowProcess::report() const {
    std::size_t holding = 0, reader_nodes = nodes_.size();
    std::uint64_t lease_lapses = lease_lapses_before_, entries = 0, min_generation = UINT64_MAX,
                  max_generation = 0;
    TrafficCounters manager = manager_before_, discovery = discovery_before_;
    for (const auto& r : routers_) {
        holding += r->holds_lease();
        lease_lapses += r->lease_lapses();
        entries += r->entries();
        min_generation = std::min(min_generation, r->member().applied_generation());
        max_generation = std::max(max_generation, r->member().applied_generation());
        add_counts(manager, r->member().traffic());
        add_counts(discovery, r->discovery().traffic());
    }
    rusage usage{};
    ::getrusage(RUSAGE_SELF, &usage);
    const auto seconds = [](const timeval& t) {
        return static_cast<double>(t.tv_sec) + static_cast<double>(t.tv_usec) / 1e6;
    };
    return Json{{"from", config_.first_router},
                {"routers", routers_.size()},
                {"holding", holding},
                {"lapses", lease_lapses},
                {"entries", entries},
                {"acts_on_least", min_generation},
                {"acts_on_most", max_generation},
                {"reader_nodes", reader_nodes},
                {"steward", json_of(manager)},
                {"discovery", json_of(discovery)},
                {"cpu_s", seconds(usage.ru_utime) + seconds(usage.ru_stime)}}
        .dump();
}

}  // namespace tealcart::testing
