#include "testing/relay_rig.hpp"

#include <algorithm>
#include <stdexcept>

#include "fleet_manager/manager_client.hpp"
#include "testing/fleet_rig.hpp"
#include "testing/hollow_follower.hpp"
#include "testing/hollow_rig.hpp"

namespace tealcart::testing {
namespace {

using Json = nlohmann::json;
using Ms = std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

constexpr std::uint32_t nodes = 222;  // nodes of discovery's list, which this rig does not use
constexpr std::size_t max_answer = 32u << 20;

std::string text_of(const HostPort& at) { return at.host + ":" + std::to_string(at.port); }

}  // namespace

RelayRig::RelayRig(boost::asio::io_context& context, RelayRigOptions rig_options)
    : io(context), options(std::move(rig_options)) {
    const auto ports = free_ports(2 * options.managers + 2 + options.relays());
    discovery_ =
        std::make_unique<HollowDiscovery>(io, ports[0], nodes, std::vector<std::string>(1, "127.0.0.1:1"));
    lines_.resize(options.zones);
    answers_.resize(options.zones);
    control_ = std::make_unique<LoopbackListener>(io, ports[1], [this] {
        return [this, process = std::make_shared<std::size_t>(SIZE_MAX)](Connection& c) {
            return take(c, process);
        };
    });
    std::string text = "fleet \"relays\" {\n lease = \"" + options.lease + "\"\n drift = \"" + options.drift +
                       "\"\n election = \"" + options.election + "\"\n changes {\n  lease = \"" +
                       options.lease + "\"\n  drift = \"" + options.drift +
                       "\"\n }\n data_nodes {\n  share = 0.2\n  least_holders = 1\n }\n routers {\n"
                       "  share = 0.1\n }\n";
    std::string list;
    for (std::size_t i = 0; i < options.managers; ++i) {
        http_.push_back({"127.0.0.1", ports[2 + 2 * i]});
        list += (list.empty() ? "\"" : ", \"") + text_of(http_[i]) + "\"";
        text += " steward \"" + std::to_string(i + 1) +
                "\" {\n  raft = \"127.0.0.1:" + std::to_string(ports[3 + 2 * i]) + "\"\n  http = \"" +
                text_of(http_[i]) + "\"\n  folder = \"" + directory.path("s" + std::to_string(i + 1)) +
                "\"\n }\n";
    }
    fleet_file_ = directory.write("fleet.hcl", text + "}\n");
    const int places = static_cast<int>(hollow_place_count(nodes));
    const Json config = {{"name", "steward"},
                         {"listen", "127.0.0.1:1"},
                         {"discovery", "127.0.0.1:" + std::to_string(discovery_->port())},
                         {"seed", "8c1f30d27a5be910"},
                         {"limits", {{"cores", 1.0}, {"memory_mb", 192}, {"sockets", 1024}}},
                         {"known", {{"generation", 0}, {"reset", true}, {"instances", Json::array()}}},
                         {"settings", platform_settings(options.followers, static_cast<std::size_t>(places),
                                                        places, static_cast<int>(hollow_replicas))}};
    config_file_ = directory.write("config.json", config.dump());
    managers.resize(options.managers);
    relays.resize(options.relays());
    processes.resize(options.zones);
    for (std::size_t i = 0; i < options.managers; ++i) {
        Process init(io, event_log, "init",
                     {options.programs + "/tealcart-fleet-manager", "init", "--file", fleet_file_, "--id",
                      std::to_string(i + 1)});
        if (!until([&] { return init.ended(); }, Ms(20'000)) || init.status() != 0)
            throw std::runtime_error("cannot create the data directory of a fleet manager:\n" +
                                     event_log.text());
        start_manager(i);
    }
    for (std::size_t i = 0; i < relays.size(); ++i) {
        relay_at_.push_back({"127.0.0.1", ports[2 + 2 * options.managers + i]});
        directory.write("relay" + std::to_string(i) + ".hcl",
                        "relay \"relay" + std::to_string(i) + "\" {\n zone = \"z" +
                            std::to_string(i / options.relays_a_zone) + "\"\n bind = \"" +
                            text_of(relay_at_[i]) + "\"\n stewards = [" + list + "]\n}\n");
        start_relay(i);
    }
    if (!until([this] { return run_for(Ms(100)), relays_up(); }, Ms(60'000)))
        throw std::runtime_error("the relays did not become ready:\n" + event_log.text());
}

void RelayRig::start_manager(std::size_t i) {
    managers[i].reset();
    managers[i] = std::make_unique<Process>(
        io, event_log, "s" + std::to_string(i + 1),
        std::vector<std::string>{options.programs + "/tealcart-fleet-manager", "serve", "--file", fleet_file_,
                                 "--id", std::to_string(i + 1), "--config", config_file_});
}

void RelayRig::start_relay(std::size_t i) {
    const std::string name = "relay" + std::to_string(i);
    relays[i].reset();
    relays[i] =
        std::make_unique<Process>(io, event_log, name,
                                  std::vector<std::string>{options.programs + "/tealcart-relay", "serve",
                                                           "--file", directory.path(name + ".hcl")});
}

void RelayRig::start_followers() {
    for (std::size_t i = 0; i < options.zones; ++i) {
        if (processes[i]) continue;
        FollowerConfig config;
        config.first_router = first_of(i);
        config.count = first_of(i + 1) - config.first_router;
        config.control = control_->port();
        config.zone = "z" + std::to_string(i);
        for (std::size_t r = 0; r < options.relays_a_zone; ++r)
            config.relays.push_back(relay_at_[i * options.relays_a_zone + r]);
        std::vector<std::string> words = write_follower_arguments(config);
        words.insert(words.begin(), options.self);
        processes[i] = std::make_unique<Process>(io, event_log, "h" + std::to_string(i), std::move(words));
    }
}

bool RelayRig::relays_up() {
    for (std::size_t i = 0; i < relays.size(); ++i) {
        if (!relays[i] || relays[i]->ended()) continue;
        const auto reply = fleet_manager::query_manager(io, relay_at_[i], "/relay/status", "", Ms(2000));
        const Json s = reply.status == 200 ? Json::parse(reply.body, nullptr, false) : Json();
        if (!s.is_object() || s["lease_left_ms"] <= 0) return false;
    }
    return true;
}

bool RelayRig::take(Connection& c, const std::shared_ptr<std::size_t>& process) {
    for (std::size_t end = 0; (end = c.in.find('\n')) != c.in.npos; c.in.erase(0, end + 1)) {
        const std::string line = c.in.substr(0, end);
        if (*process != SIZE_MAX) {
            answers_[*process] = line;
            continue;
        }
        if (line.rfind("hello ", 0) != 0) return false;
        const std::size_t from = std::stoull(line.substr(6));
        for (std::size_t i = 0; i < options.zones; ++i)
            if (first_of(i) == from) *process = i;
        if (*process == SIZE_MAX) return false;
        lines_[*process] = c.weak_from_this();
    }
    return c.in.size() < max_answer;
}

bool RelayRig::until(const std::function<bool()>& holds, Ms within) {
    const auto end = Clock::now() + within;
    while (!holds()) {
        if (Clock::now() > end) return false;
        io.run_for(Ms(5));
    }
    return true;
}

void RelayRig::run_for(Ms span) { io.run_for(span); }

std::size_t RelayRig::leader() const {
    for (auto e = event_log.events.rbegin(); e != event_log.events.rend(); ++e) {
        if (e->source[0] != 's' || e->message.rfind("steward ", 0) != 0 ||
            e->message.find(" leads") == e->message.npos)
            continue;
        const std::size_t leading = std::stoull(e->message.substr(8)) - 1;
        return leading < options.managers && managers[leading] && !managers[leading]->ended()
                   ? leading
                   : options.managers;
    }
    return options.managers;
}

Json RelayRig::changes(std::size_t manager) {
    if (!managers[manager] || managers[manager]->ended()) return {};
    const auto reply = fleet_manager::query_manager(io, http_[manager], "/fleet/changes", "", Ms(5000));
    return reply.status == 200 ? Json::parse(reply.body, nullptr, false) : Json();
}

Json RelayRig::changes() {
    const std::size_t leading = leader();
    Json s = leading < options.managers ? changes(leading) : Json();
    return s.is_object() && s["leader"] == s["steward"] ? s : Json();
}

std::vector<Json> RelayRig::ask(const std::string& line) {
    for (std::string& a : answers_) a.clear();
    for (const auto& weak_connection : lines_)
        if (const auto c = weak_connection.lock(); c && c->open) c->send(line + "\n");
    until(
        [this] { return std::none_of(answers_.begin(), answers_.end(), [](auto& a) { return a.empty(); }); },
        Ms(20'000));
    std::vector<Json> all;
    for (const std::string& a : answers_) all.push_back(a.empty() ? Json() : Json::parse(a, nullptr, false));
    return all;
}

FollowerFigures RelayRig::followers() {
    FollowerFigures sum;
    for (const Json& s : ask("report")) {
        if (!s.is_object()) {
            sum.least = 0;  // unknown, as the process did not answer
            continue;
        }
        sum.followers += s["followers"].get<std::size_t>(), sum.holding += s["holding"].get<std::size_t>();
        sum.lapses += s["lapses"].get<std::uint64_t>(), sum.faults += s["faults"].get<std::uint64_t>();
        sum.refused += s["refused"].get<std::uint64_t>();
        sum.calls += s["calls"].get<std::uint64_t>();
        sum.least = std::min(sum.least, s["least"].get<std::uint64_t>());
        sum.min_held = std::min(sum.min_held, s["least_held"].get<std::uint64_t>());
        for (const Json& d : s["digests"])
            if (std::find(sum.digests.begin(), sum.digests.end(), d) == sum.digests.end())
                sum.digests.push_back(d.get<std::uint64_t>());
    }
    return sum;
}

RelayRig::Published RelayRig::publish(const std::string& id,
                                      const std::map<std::string, std::string>& entries, Ms within) {
    const std::string body = Json{{"id", id}, {"asker", "measure"}, {"set", entries}}.dump();
    Published p;
    p.asked = Clock::now();
    while (Clock::now() - p.asked < within) {
        if (const std::size_t leading = leader(); p.calls == 0 && leading < options.managers)
            publish_manager_ = leading;
        ++p.calls;
        const auto reply =
            fleet_manager::query_manager(io, http_[publish_manager_], "/fleet/publish", body, Ms(2000));
        p.answered = Clock::now();
        if (reply.status == 200) {
            const Json answer = Json::parse(reply.body, nullptr, false);
            for (const Json& e : answer.value("effects", Json::array()))
                if (e.value("what", "") == "published") p.version = e.value("version", std::uint64_t{0});
            return p;
        }
        if (reply.status == 400 || reply.status == 404) return p;
        publish_manager_ = (publish_manager_ + 1) % options.managers;
        run_for(Ms(50));
    }
    return p;
}

}  // namespace tealcart::testing
