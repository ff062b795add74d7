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
constexpr std::size_t arguments_before_managers = 11;

constexpr std::size_t router_memory_limit = 256 << 20;  // bytes, of one router

RouterConfig router_config_of(const HollowConfig& config) {
    RouterConfig router;
    router.places = static_cast<int>(config.places);
    router.replicas_per_shard = static_cast<int>(hollow_replicas);
    return router;
}

StartupConfig startup_config_of(const HollowConfig& config, std::size_t router_number) {
    StartupConfig startup;
    startup.name = "r" + std::to_string(router_number);
    startup.operator_config.member.enabled = true;
    startup.operator_config.member.zone = config.zone;
    startup.operator_config.member.managers = config.managers;
    startup.manager_response_limit =
        manager_response_size_limit(router_config_of(config), router_memory_limit);
    return startup;
}

void add_counts(TrafficCounters& sum, const TrafficCounters& more) {
    sum.requests += more.requests, sum.bytes_received += more.bytes_received,
        sum.bytes_sent += more.bytes_sent;
}

Json json_from_counters(const TrafficCounters& counters) {
    return {{"calls", counters.requests}, {"in", counters.bytes_received}, {"out", counters.bytes_sent}};
}

HostPort parse_address(const std::string& text) {
    const auto address = parse_host_port(text);
    if (!address) throw std::runtime_error("malformed address '" + text + "'; expected host:port");
    return *address;
}

std::string format_address(const HostPort& address) {
    return address.host + ":" + std::to_string(address.port);
}

}  // namespace

std::uint32_t hollow_place_count(std::uint32_t nodes) {
    return std::max(min_places, nodes / hollow_replicas);
}

ListedEndpoint hollow_data_node(std::uint32_t index, std::uint32_t places, const std::string& address) {
    return {"n" + std::to_string(index),
            address,
            "z" + std::to_string(index % hollow_zones),
            "m" + std::to_string(index % 3),
            index % places,
            Lifecycle::ready,
            0};
}

std::vector<std::string> write_hollow_arguments(const HollowConfig& config) {
    std::vector<std::string> arguments = {"--hollow",
                                          std::to_string(config.first_router),
                                          std::to_string(config.router_count),
                                          std::to_string(config.control_port),
                                          format_address(config.discovery),
                                          config.zone,
                                          config.node_address,
                                          std::to_string(config.list_generation),
                                          std::to_string(config.places),
                                          std::to_string(config.known_nodes),
                                          config.full_list ? "whole" : "deltas"};
    for (const HostPort& manager : config.managers) arguments.push_back(format_address(manager));
    return arguments;
}

HollowConfig read_hollow_arguments(const std::vector<std::string>& arguments) {
    if (arguments.size() <= arguments_before_managers)
        throw std::runtime_error("a hollow process got " + std::to_string(arguments.size()) +
                                 " arguments; expected more than " +
                                 std::to_string(arguments_before_managers));
    HollowConfig config;
    config.first_router = std::stoull(arguments[1]), config.router_count = std::stoull(arguments[2]);
    config.control_port = static_cast<std::uint16_t>(std::stoul(arguments[3]));
    config.discovery = parse_address(arguments[4]);
    config.zone = arguments[5], config.node_address = arguments[6];
    config.list_generation = std::stoull(arguments[7]);
    config.places = static_cast<std::uint32_t>(std::stoul(arguments[8]));
    config.known_nodes = static_cast<std::uint32_t>(std::stoul(arguments[9]));
    config.full_list = arguments[10] == "whole";
    for (std::size_t i = arguments_before_managers; i < arguments.size(); ++i)
        config.managers.push_back(parse_address(arguments[i]));
    return config;
}

HollowRouter::HollowRouter(boost::asio::io_context& io, EventClock& clock, const HollowConfig& config,
                           std::size_t router_number)
    : clock_(clock), start_generation_(config.full_list ? 0 : config.list_generation),
      member_(io, clock, startup_config_of(config, router_number), *this),
      watch_(io, clock, member_, config.discovery, Discovery::push, config.places, router_number,
             endpoint_list_size_limit(router_config_of(config), router_memory_limit)) {
    EndpointList known_list{config.list_generation, true, {}, 0};
    for (std::uint32_t node = 0; node < config.known_nodes; ++node)
        known_list.nodes.push_back(hollow_data_node(node, config.places, config.node_address));
    member_.on_endpoint_list(known_list);
}

void HollowRouter::start() {
    watch_.start(start_generation_);
    member_.start();
}

void HollowRouter::stop() {
    clock_.timers.cancel(round_timer_);
    watch_.stop();
    member_.stop();
}

void HollowRouter::update_serving_state() { member_.update_serving_state(); }

void HollowRouter::on_endpoint_list(const EndpointList& list) {
    const NodeTable::Changes changes = nodes_.apply(list);
    pending_entries_.insert(pending_entries_.end(), changes.entries.begin(), changes.entries.end());
    if (round_timer_ == TimerQueue::none)
        round_timer_ = clock_.timers.add(last_round_ + min_round_interval, *this, Handle{});
}

Nanos HollowRouter::next_round() const {
    return round_timer_ == TimerQueue::none ? TimerQueue::never : last_round_ + min_round_interval;
}

// Discards the entries that a router would pass to its decision module.
void HollowRouter::on_timer_due(Handle, std::uint64_t) {
    round_timer_ = TimerQueue::none;
    member_.update_serving_state();
    clock_.timers.cancel(round_timer_);
    last_round_ = clock_.now();
    list_entries_ += pending_entries_.size();
    pending_entries_.clear();
    member_.after_round();
}

// The membership calls this with each renewal, so that even a lease that lapsed for a very short time is
// counted.
void HollowRouter::set_serving_state(ServingStateSource, const MemberServingState&) {
    const Nanos until = member_.lease().lease_until();
    if (until == lease_until_) return;
    lease_lapses_ += lease_until_ > 0 && clock_.now() > lease_until_;
    lease_until_ = until;
}

HollowProcess::HollowProcess(boost::asio::io_context& io, HollowConfig config)
    : io_(io), config_(std::move(config)),
      list_reader_(io, clock_, *this, config_.discovery, Discovery::push, config_.places,
                   config_.first_router,
                   endpoint_list_size_limit(router_config_of(config_), router_memory_limit)),
      control_socket_(io) {
    configure_log({LogFormat::text, LogLevel::error});
    routers_.resize(config_.router_count);
    start_routers(0, config_.router_count);
    list_reader_.start(0);
    control_socket_.connect({boost::asio::ip::address_v4::loopback(), config_.control_port});
    boost::asio::write(control_socket_,
                       boost::asio::buffer("hello " + std::to_string(config_.first_router) + "\n"));
    read_commands();
}

void HollowProcess::start_routers(std::size_t first, std::size_t count) {
    for (std::size_t i = first; i < std::min(first + count, routers_.size()); ++i) {
        if (routers_[i]) {
            replaced_lease_lapses_ += routers_[i]->lease_lapses();
            add_counts(replaced_manager_traffic_, routers_[i]->member().traffic());
            add_counts(replaced_discovery_traffic_, routers_[i]->discovery().traffic());
            routers_[i]->stop();
            stopped_routers_.push_back(std::move(routers_[i]));
        }
        routers_[i] = std::make_unique<HollowRouter>(io_, clock_, config_, config_.first_router + i);
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
            std::max(clock_.now(), std::min(clock_.timers.next(), last_heartbeat + heartbeat));
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
        if (clock_.now() - last_heartbeat < heartbeat) continue;
        last_heartbeat = clock_.now();
        stopped_routers_.clear();
        for (const auto& router : routers_) router->update_serving_state();
    }
}

void HollowProcess::read_commands() {
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

std::string HollowProcess::execute_command(const std::string& line) {
    if (line == "cut") {
        list_reader_.stop();
        for (const auto& router : routers_) router->stop();
    } else if (line == "heal") {
        list_reader_.start(0);
        for (const auto& router : routers_) router->start();
    } else if (line.rfind("restart ", 0) == 0) {
        start_routers(0, std::stoull(line.substr(8)));
    } else {
        return report();
    }
    return "{}";
}

std::string HollowProcess::report() const {
    std::size_t lease_holders = 0, reader_nodes = nodes_.size();
    std::uint64_t lease_lapses = replaced_lease_lapses_, list_entries = 0, min_generation = UINT64_MAX,
                  max_generation = 0;
    TrafficCounters manager = replaced_manager_traffic_, discovery = replaced_discovery_traffic_;
    for (const auto& router : routers_) {
        lease_holders += router->holds_lease();
        lease_lapses += router->lease_lapses();
        list_entries += router->list_entries();
        min_generation = std::min(min_generation, router->member().applied_generation());
        max_generation = std::max(max_generation, router->member().applied_generation());
        add_counts(manager, router->member().traffic());
        add_counts(discovery, router->discovery().traffic());
    }
    rusage usage{};
    ::getrusage(RUSAGE_SELF, &usage);
    const auto seconds = [](const timeval& time) {
        return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) / 1e6;
    };
    return Json{{"from", config_.first_router},
                {"routers", routers_.size()},
                {"holding", lease_holders},
                {"lapses", lease_lapses},
                {"entries", list_entries},
                {"acts_on_least", min_generation},
                {"acts_on_most", max_generation},
                {"reader_nodes", reader_nodes},
                {"steward", json_from_counters(manager)},
                {"discovery", json_from_counters(discovery)},
                {"cpu_s", seconds(usage.ru_utime) + seconds(usage.ru_stime)}}
        .dump();
}

}  // namespace tealcart::testing
