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
constexpr Nanos step = 5 * ms, heartbeat = 100 * ms;
constexpr int handlers_a_turn = 4096;

constexpr std::size_t memory = 256 << 20;  // of a router, as the plan has it

RouterConfig settled(const HollowConfig& config) {
    RouterConfig t;
    t.places = static_cast<int>(config.places);
    t.replicas_per_shard = static_cast<int>(hollow_width);
    return t;
}

StartupConfig launch_of(const HollowConfig& config, std::size_t number) {
    StartupConfig startup;
    startup.name = "r" + std::to_string(number);
    startup.operator_config.member.on = true;
    startup.operator_config.member.zone = config.zone;
    startup.operator_config.member.managers = config.managers;
    startup.manager_response_limit = manager_response_size_limit(settled(config), memory);
    return startup;
}

void add(TrafficCounters& sum, const TrafficCounters& more) {
    sum.requests += more.requests, sum.bytes_received += more.bytes_received,
        sum.bytes_sent += more.bytes_sent;
}

Json written(const TrafficCounters& c) {
    return {{"calls", c.requests}, {"in", c.bytes_received}, {"out", c.bytes_sent}};
}

HostPort address_of(const std::string& text) {
    const auto at = parse_host_port(text);
    if (!at) throw std::runtime_error(text + " is no address");
    return *at;
}

std::string text_of(const HostPort& at) { return at.host + ":" + std::to_string(at.port); }

}  // namespace

std::uint32_t hollow_places(std::uint32_t nodes) { return std::max(min_places, nodes / hollow_width); }

ListedEndpoint hollow_node(std::uint32_t n, std::uint32_t places, const std::string& address) {
    return {"n" + std::to_string(n),
            address,
            "z" + std::to_string(n % hollow_zones),
            "m" + std::to_string(n % 3),
            n % places,
            Lifecycle::ready,
            0};
}

std::vector<std::string> write_hollow(const HollowConfig& t) {
    std::vector<std::string> words = {"--hollow",
                                      std::to_string(t.from),
                                      std::to_string(t.count),
                                      std::to_string(t.control),
                                      text_of(t.discovery),
                                      t.zone,
                                      t.address,
                                      std::to_string(t.generation),
                                      std::to_string(t.places),
                                      std::to_string(t.seeded),
                                      t.whole ? "whole" : "deltas"};
    for (const HostPort& s : t.managers) words.push_back(text_of(s));
    return words;
}

HollowConfig read_hollow(const std::vector<std::string>& w) {
    if (w.size() < 12) throw std::runtime_error("too few words for a hollow process");
    HollowConfig t;
    t.from = std::stoull(w[1]), t.count = std::stoull(w[2]);
    t.control = static_cast<std::uint16_t>(std::stoul(w[3]));
    t.discovery = address_of(w[4]);
    t.zone = w[5], t.address = w[6];
    t.generation = std::stoull(w[7]);
    t.places = static_cast<std::uint32_t>(std::stoul(w[8]));
    t.seeded = static_cast<std::uint32_t>(std::stoul(w[9]));
    t.whole = w[10] == "whole";
    for (std::size_t i = 11; i < w.size(); ++i) t.managers.push_back(address_of(w[i]));
    return t;
}

HollowRouter::HollowRouter(boost::asio::io_context& io, EventClock& time, const HollowConfig& config,
                           std::size_t number)
    : time_(time), generation_(config.whole ? 0 : config.generation),
      member_(io, time, launch_of(config, number), *this),
      watch_(io, time, member_, config.discovery, Discovery::push, config.places, number,
             endpoint_list_size_limit(settled(config), memory)) {
    EndpointList seeded{config.generation, true, {}, 0};
    for (std::uint32_t n = 0; n < config.seeded; ++n)
        seeded.nodes.push_back(hollow_node(n, config.places, config.address));
    member_.on_endpoint_list(seeded);
}

void HollowRouter::start() {
    watch_.start(generation_);
    member_.start();
}

void HollowRouter::stop() {
    time_.due.drop(round_);
    watch_.stop();
    member_.stop();
}

void HollowRouter::update_serving_state() { member_.update_serving_state(); }

void HollowRouter::on_endpoint_list(const EndpointList& list) {
    const NodeTable::Changes news = nodes_.apply(list);
    arrived_.insert(arrived_.end(), news.entries.begin(), news.entries.end());
    if (round_ == TimerQueue::none) round_ = time_.due.add(last_round_ + step, *this, Handle{});
}

Nanos HollowRouter::next_round() const {
    return round_ == TimerQueue::none ? TimerQueue::never : last_round_ + step;
}

// What the module would be told ends here.
void HollowRouter::on_due(Handle, std::uint64_t) {
    round_ = TimerQueue::none;
    member_.update_serving_state();
    time_.due.drop(round_);
    last_round_ = time_.now();
    entries_ += arrived_.size();
    arrived_.clear();
    member_.after_round();
}

// Called with each renewal, so that a lease that was over for however short a time is seen.
void HollowRouter::set_serving_state(ServingStateSource, const MemberServingState&) {
    const Nanos until = member_.lease().lease_until();
    if (until == lease_until_) return;
    lapses_ += lease_until_ > 0 && time_.now() > lease_until_;
    lease_until_ = until;
}

HollowProcess::HollowProcess(boost::asio::io_context& io, HollowConfig config)
    : io_(io), config_(std::move(config)),
      reader_(io, time_, *this, config_.discovery, Discovery::push, config_.places, config_.from,
              endpoint_list_size_limit(settled(config_), memory)),
      control_(io) {
    start_log({LogForm::text, LogLevel::error});
    routers_.resize(config_.count);
    start(0, config_.count);
    reader_.start(0);
    control_.connect({boost::asio::ip::address_v4::loopback(), config_.control});
    boost::asio::write(control_, boost::asio::buffer("hello " + std::to_string(config_.from) + "\n"));
    read();
}

void HollowProcess::start(std::size_t first, std::size_t count) {
    for (std::size_t i = first; i < std::min(first + count, routers_.size()); ++i) {
        if (routers_[i]) {
            lapses_before_ += routers_[i]->lapses();
            add(manager_before_, routers_[i]->member().traffic());
            add(discovery_before_, routers_[i]->discovery().traffic());
            routers_[i]->stop();
            ended_.push_back(std::move(routers_[i]));
        }
        routers_[i] = std::make_unique<HollowRouter>(io_, time_, config_, config_.from + i);
        routers_[i]->start();
    }
}

void HollowProcess::on_endpoint_list(const EndpointList& list) { nodes_.apply(list); }

void HollowProcess::run() {
    boost::asio::steady_timer timer(io_);
    Nanos looked = 0, set_to = TimerQueue::never;
    while (!over_) {
        // Set anew only for an earlier time: one that is put off would wake the loop for nothing.
        const Nanos at = std::max(time_.now(), std::min(time_.due.next(), looked + heartbeat));
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
        if (time_.now() - looked < heartbeat) continue;
        looked = time_.now();
        ended_.clear();
        for (const auto& r : routers_) r->update_serving_state();
    }
}

void HollowProcess::read() {
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
    std::size_t holding = 0, known = nodes_.size();
    std::uint64_t lapses = lapses_before_, entries = 0, least = UINT64_MAX, most = 0;
    TrafficCounters manager = manager_before_, discovery = discovery_before_;
    for (const auto& r : routers_) {
        holding += r->holds();
        lapses += r->lapses();
        entries += r->entries();
        least = std::min(least, r->member().applied_generation());
        most = std::max(most, r->member().applied_generation());
        add(manager, r->member().traffic());
        add(discovery, r->discovery().traffic());
    }
    rusage used{};
    ::getrusage(RUSAGE_SELF, &used);
    const auto seconds = [](const timeval& t) {
        return static_cast<double>(t.tv_sec) + static_cast<double>(t.tv_usec) / 1e6;
    };
    return Json{{"from", config_.from},
                {"routers", routers_.size()},
                {"holding", holding},
                {"lapses", lapses},
                {"entries", entries},
                {"acts_on_least", least},
                {"acts_on_most", most},
                {"reader_nodes", known},
                {"steward", written(manager)},
                {"discovery", written(discovery)},
                {"cpu_s", seconds(used.ru_utime) + seconds(used.ru_stime)}}
        .dump();
}

}  // namespace tealcart::testing
