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

// The number of nodes in the discovery service's list, which this rig does not use.
constexpr std::uint32_t discovery_nodes = 222;
constexpr std::size_t max_response_bytes = 32u << 20;
constexpr Ms init_timeout{20'000}, command_timeout{20'000}, relay_start_timeout{60'000};

std::string format_address(const HostPort& address) {
    return address.host + ":" + std::to_string(address.port);
}

}  // namespace

RelayRig::RelayRig(boost::asio::io_context& context, RelayRigOptions rig_options)
    : io(context), options(std::move(rig_options)) {
    const auto ports = free_ports(2 * options.managers + 2 + options.relays());
    discovery_ = std::make_unique<HollowDiscovery>(io, ports[0], discovery_nodes,
                                                   std::vector<std::string>(1, "127.0.0.1:1"));
    control_connections_.resize(options.zones);
    responses_.resize(options.zones);
    control_listener_ = std::make_unique<LoopbackListener>(io, ports[1], [this] {
        return [this, process = std::make_shared<std::size_t>(SIZE_MAX)](Connection& connection) {
            return receive_lines(connection, process);
        };
    });
    std::string text = "fleet \"relays\" {\n lease = \"" + options.lease + "\"\n drift = \"" + options.drift +
                       "\"\n election = \"" + options.election + "\"\n changes {\n  lease = \"" +
                       options.lease + "\"\n  drift = \"" + options.drift +
                       "\"\n }\n data_nodes {\n  share = 0.2\n  least_holders = 1\n }\n routers {\n"
                       "  share = 0.1\n }\n";
    std::string manager_list;
    for (std::size_t i = 0; i < options.managers; ++i) {
        manager_addresses_.push_back({"127.0.0.1", ports[2 + 2 * i]});
        manager_list += (manager_list.empty() ? "\"" : ", \"") + format_address(manager_addresses_[i]) + "\"";
        text += " steward \"" + std::to_string(i + 1) +
                "\" {\n  raft = \"127.0.0.1:" + std::to_string(ports[3 + 2 * i]) + "\"\n  http = \"" +
                format_address(manager_addresses_[i]) + "\"\n  folder = \"" +
                directory.path("s" + std::to_string(i + 1)) + "\"\n }\n";
    }
    fleet_file_ = directory.write("fleet.hcl", text + "}\n");
    const int places = static_cast<int>(hollow_place_count(discovery_nodes));
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
        if (!until([&] { return init.ended(); }, init_timeout) || init.status() != 0)
            throw std::runtime_error("cannot create the data directory of a fleet manager:\n" +
                                     event_log.text());
        start_manager(i);
    }
    for (std::size_t i = 0; i < relays.size(); ++i) {
        relay_addresses_.push_back({"127.0.0.1", ports[2 + 2 * options.managers + i]});
        directory.write("relay" + std::to_string(i) + ".hcl",
                        "relay \"relay" + std::to_string(i) + "\" {\n zone = \"z" +
                            std::to_string(i / options.relays_per_zone) + "\"\n bind = \"" +
                            format_address(relay_addresses_[i]) + "\"\n stewards = [" + manager_list +
                            "]\n}\n");
        start_relay(i);
    }
    if (!until([this] { return run_for(Ms(100)), all_relays_hold_leases(); }, relay_start_timeout))
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
        config.first_router = first_follower(i);
        config.follower_count = first_follower(i + 1) - config.first_router;
        config.control_port = control_listener_->port();
        config.zone = "z" + std::to_string(i);
        for (std::size_t relay = 0; relay < options.relays_per_zone; ++relay)
            config.relays.push_back(relay_addresses_[i * options.relays_per_zone + relay]);
        std::vector<std::string> arguments = write_follower_arguments(config);
        arguments.insert(arguments.begin(), options.self);
        processes[i] =
            std::make_unique<Process>(io, event_log, "h" + std::to_string(i), std::move(arguments));
    }
}

bool RelayRig::all_relays_hold_leases() {
    for (std::size_t i = 0; i < relays.size(); ++i) {
        if (!relays[i] || relays[i]->ended()) continue;
        const auto reply =
            fleet_manager::query_manager(io, relay_addresses_[i], "/relay/status", "", Ms(2000));
        const Json status = reply.status == 200 ? Json::parse(reply.body, nullptr, false) : Json();
        if (!status.is_object() || status["lease_left_ms"] <= 0) return false;
    }
    return true;
}

bool RelayRig::receive_lines(Connection& connection, const std::shared_ptr<std::size_t>& process) {
    for (std::size_t end = 0; (end = connection.received.find('\n')) != connection.received.npos;
         connection.received.erase(0, end + 1)) {
        const std::string line = connection.received.substr(0, end);
        if (*process != SIZE_MAX) {
            responses_[*process] = line;
            continue;
        }
        if (line.rfind("hello ", 0) != 0) return false;
        const std::size_t from = std::stoull(line.substr(6));
        for (std::size_t i = 0; i < options.zones; ++i)
            if (first_follower(i) == from) *process = i;
        if (*process == SIZE_MAX) return false;
        control_connections_[*process] = connection.weak_from_this();
    }
    return connection.received.size() < max_response_bytes;
}

bool RelayRig::until(const std::function<bool()>& condition, Ms within) {
    const auto end = Clock::now() + within;
    while (!condition()) {
        if (Clock::now() > end) return false;
        io.run_for(Ms(5));
    }
    return true;
}

void RelayRig::run_for(Ms span) { io.run_for(span); }

std::size_t RelayRig::leader() const {
    for (auto event = event_log.events.rbegin(); event != event_log.events.rend(); ++event) {
        if (event->source[0] != 's' || event->message.rfind("steward ", 0) != 0 ||
            event->message.find(" leads") == event->message.npos)
            continue;
        const std::size_t leader_index = std::stoull(event->message.substr(8)) - 1;
        return leader_index < options.managers && managers[leader_index] && !managers[leader_index]->ended()
                   ? leader_index
                   : options.managers;
    }
    return options.managers;
}

Json RelayRig::changes(std::size_t manager) {
    if (!managers[manager] || managers[manager]->ended()) return {};
    const auto reply =
        fleet_manager::query_manager(io, manager_addresses_[manager], "/fleet/changes", "", Ms(5000));
    return reply.status == 200 ? Json::parse(reply.body, nullptr, false) : Json();
}

Json RelayRig::changes() {
    const std::size_t leader_index = leader();
    Json page = leader_index < options.managers ? changes(leader_index) : Json();
    return page.is_object() && page["leader"] == page["steward"] ? page : Json();
}

std::vector<Json> RelayRig::broadcast_command(const std::string& line) {
    for (std::string& response : responses_) response.clear();
    for (const auto& weak_connection : control_connections_)
        if (const auto connection = weak_connection.lock(); connection && connection->open)
            connection->send(line + "\n");
    until(
        [this] {
            return std::none_of(responses_.begin(), responses_.end(),
                                [](auto& response) { return response.empty(); });
        },
        command_timeout);
    std::vector<Json> parsed;
    for (const std::string& response : responses_)
        parsed.push_back(response.empty() ? Json() : Json::parse(response, nullptr, false));
    return parsed;
}

FollowerFigures RelayRig::followers() {
    FollowerFigures sum;
    for (const Json& report : broadcast_command("report")) {
        if (!report.is_object()) {
            sum.min_version = 0;  // unknown, as the process did not respond
            continue;
        }
        sum.followers += report["followers"].get<std::size_t>(),
            sum.lease_holders += report["holding"].get<std::size_t>();
        sum.lease_lapses += report["lapses"].get<std::uint64_t>(),
            sum.order_violations += report["faults"].get<std::uint64_t>();
        sum.rejected += report["refused"].get<std::uint64_t>();
        sum.calls += report["calls"].get<std::uint64_t>();
        sum.min_version = std::min(sum.min_version, report["least"].get<std::uint64_t>());
        sum.min_version_of_holders =
            std::min(sum.min_version_of_holders, report["least_held"].get<std::uint64_t>());
        for (const Json& digest : report["digests"])
            if (std::find(sum.digests.begin(), sum.digests.end(), digest) == sum.digests.end())
                sum.digests.push_back(digest.get<std::uint64_t>());
    }
    return sum;
}

RelayRig::PublishResult RelayRig::publish(const std::string& id,
                                          const std::map<std::string, std::string>& entries, Ms within) {
    const std::string body = Json{{"id", id}, {"asker", "measure"}, {"set", entries}}.dump();
    PublishResult result;
    result.requested_at = Clock::now();
    while (Clock::now() - result.requested_at < within) {
        if (const std::size_t leader_index = leader(); result.calls == 0 && leader_index < options.managers)
            publish_manager_ = leader_index;
        ++result.calls;
        const auto reply = fleet_manager::query_manager(io, manager_addresses_[publish_manager_],
                                                        "/fleet/publish", body, Ms(2000));
        result.answered_at = Clock::now();
        if (reply.status == 200) {
            const Json answer = Json::parse(reply.body, nullptr, false);
            for (const Json& effect : answer.value("effects", Json::array()))
                if (effect.value("what", "") == "published")
                    result.version = effect.value("version", std::uint64_t{0});
            return result;
        }
        if (reply.status == 400 || reply.status == 404) return result;
        publish_manager_ = (publish_manager_ + 1) % options.managers;
        run_for(Ms(50));
    }
    return result;
}

}  // namespace tealcart::testing
