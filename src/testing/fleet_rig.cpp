#include "testing/fleet_rig.hpp"

#include <csignal>

#include "fleet_manager/manager_client.hpp"

namespace tealcart::testing {
namespace {

using Json = nlohmann::json;
using Ms = std::chrono::milliseconds;

constexpr int shards = 12, replicas_per_shard = 3;
constexpr std::uint32_t shards_per_query = 4;
constexpr Ms poll_interval{5}, request_timeout{300}, reconnect_delay{100};

std::string address_of(std::uint16_t port, const char* host = "127.0.0.1") {
    return std::string(host) + ":" + std::to_string(port);
}

std::string script_of(const FleetRigOptions& options) {
    std::string script = "fleet {\n shards = " + std::to_string(shards) +
                         "\n places = " + std::to_string(options.nodes) +
                         "\n width = " + std::to_string(replicas_per_shard) + "\n rows = 1\n}\n";
    for (std::size_t node = 0; node < options.nodes; ++node)
        script += "node \"n" + std::to_string(node) + "\" {\n place = " + std::to_string(node) +
                  "\n zone = \"" + (node % 2 == 0 ? "a" : "b") + "\"\n call_delay = \"2ms\"\n}\n";
    return script;
}

}  // namespace

Json platform_settings(std::size_t routers, std::size_t places, int ranges, int replicas) {
    return {{"balancers", routers},
            {"discovery", "push"},
            {"step", 5.0},
            {"extra",
             {{"places", places},
              {"ranges", ranges},
              {"width", replicas},
              {"parts_a_call", 1},
              {"floor_by_class", {0.4, 1.0}},
              {"complete_from", {1.0, 1.0}},
              {"second_step", {0, 0}}}},
            {"limits",
             {{"connect_timeout", 250.0},
              {"idle_close", 30000.0},
              {"streams_per_conn", 100},
              {"most_held", 400},
              {"send_cap", 3},
              {"may_cancel", true},
              {"second_copies", true},
              {"retry_after", true},
              {"max_retry_after", 500.0}}},
            {"safety",
             {{"drain_grace", 1000.0},
              {"cold_from", 0.2},
              {"cold", 10000.0},
              {"tip_multiple", 3.0},
              {"fall", 2000.0}}},
            {"services",
             {{{"name", "search"},
               {"promise", 1000.0},
               {"deadline", 3000.0},
               {"semantics", "repeatable"},
               {"late_worth", 0.3}},
              {{"name", "adjust"},
               {"promise", 1000.0},
               {"deadline", 3000.0},
               {"semantics", "by_key"},
               {"repeat_window", 5000.0}}}}};
}

FleetRig::FleetRig(boost::asio::io_context& context, FleetRigOptions rig_options)
    : io(context), options(std::move(rig_options)) {
    fleet = std::make_unique<Fleet>(io, read_script(script_of(options), "rig"));
    for (std::size_t node = 0; node < options.nodes; ++node)
        fleet->nodes[node].on_request = [this, node](char, std::uint32_t) {
            calls.push_back({std::chrono::steady_clock::now(), node});
        };
    fleet->publish();
    const auto ports = free_ports(3 * options.managers + options.routers);
    std::string fleet_file = "fleet \"rig\" {\n lease = \"" + options.lease + "\"\n drift = \"" +
                             options.drift + "\"\n election = \"" + options.election + "\"\n" +
                             options.budgets + "\n";
    for (std::size_t i = 0; i < options.managers; ++i) {
        raft_ports_.push_back(ports[3 * i]), http_ports_.push_back(ports[3 * i + 1]),
            direct_http_ports_.push_back(ports[3 * i + 2]);
        // Fleet managers reach each other through proxies. libraft requires the same port at the advertised
        // and the bound address, so the proxy has another host.
        raft_proxies_.push_back(std::make_unique<FaultProxy>(
            io, address_of(raft_ports_[i], "127.0.0.2"), address_of(raft_ports_[i]), sender_id_in_handshake));
        http_proxies_.push_back(std::make_unique<FaultProxy>(
            io, address_of(http_ports_[i]), address_of(direct_http_ports_[i]), caller_name_in_body));
        fleet_file += " steward \"" + std::to_string(i + 1) + "\" {\n  raft = \"" +
                      address_of(raft_ports_[i], "127.0.0.2") + "\"\n  bind = \"" +
                      address_of(raft_ports_[i]) + "\"\n  http = \"" + address_of(http_ports_[i]) +
                      "\"\n  http_bind = \"" + address_of(direct_http_ports_[i]) + "\"\n  folder = \"" +
                      directory.path("s" + std::to_string(i + 1)) + "\"\n }\n";
    }
    fleet_file_ = directory.write("fleet.hcl", fleet_file + "}\n");
    for (std::size_t i = 0; i < options.routers; ++i) {
        router_ports_.push_back(ports[3 * options.managers + i]);
        const std::string name = "r" + std::to_string(i);
        const Json settings = platform_settings(options.routers, options.nodes, shards, replicas_per_shard);
        const Json config = {{"name", name},
                             {"listen", address_of(router_ports_[i])},
                             {"discovery", fleet->discovery.address()},
                             {"seed", "8c1f30d27a5be9" + std::to_string(10 + i % 90)},
                             {"limits", {{"cores", 1.0}, {"memory_mb", 192}, {"sockets", 1024}}},
                             {"known", {{"generation", 0}, {"reset", true}, {"instances", Json::array()}}},
                             {"settings", settings}};
        directory.write(name + ".json", config.dump());
        std::string manager_addresses;
        for (const std::uint16_t port : http_ports_)
            manager_addresses += (manager_addresses.empty() ? "\"" : ", \"") + address_of(port) + "\"";
        directory.write(name + ".hcl", std::string("member {\n zone = \"") + (i % 2 == 0 ? "a" : "b") +
                                           "\"\n stewards = [" + manager_addresses + "]\n" + options.member +
                                           "\n}\n");
    }
    managers.resize(options.managers);
    routers.resize(options.routers);
    clients_.resize(options.routers);
    for (std::size_t i = 0; i < options.managers; ++i) {
        Process init(io, event_log, "init",
                     {options.programs + "/tealcart-fleet-manager", "init", "--file", fleet_file_, "--id",
                      std::to_string(i + 1)});
        if (!until([&] { return init.ended(); }) || init.status() != 0)
            throw std::runtime_error("cannot create the data directory of a fleet manager:\n" +
                                     event_log.text());
        start_manager(i);
    }
    for (std::size_t i = 0; i < options.routers; ++i) start_router(i);
}

FleetRig::~FleetRig() {
    for (TrafficClient& client : clients_) client.client.reset();
}

void FleetRig::start_manager(std::size_t i, std::vector<std::string> further_arguments,
                             std::vector<std::string> wrapper_command) {
    std::vector<std::string> arguments = std::move(wrapper_command);
    for (const std::string& argument :
         {options.programs + "/tealcart-fleet-manager", std::string("serve"), std::string("--file"),
          fleet_file_, std::string("--id"), std::to_string(i + 1), std::string("--config"),
          directory.path("r0.json")})
        arguments.push_back(argument);
    arguments.insert(arguments.end(), further_arguments.begin(), further_arguments.end());
    managers[i].reset();
    managers[i] = std::make_unique<Process>(io, event_log, "s" + std::to_string(i + 1), std::move(arguments));
}

void FleetRig::start_router(std::size_t i) {
    const std::string name = "r" + std::to_string(i);
    std::vector<std::string> arguments = {options.programs + "/tealcart", "serve", "--config",
                                          directory.path(name + ".json")};
    if (options.membership) arguments.insert(arguments.end(), {"--file", directory.path(name + ".hcl")});
    routers[i].reset();
    routers[i] = std::make_unique<Process>(io, event_log, name, std::move(arguments));
    until([&] { return routers[i]->has_printed(" serves at ") || routers[i]->ended(); });
    send_query(i);
}

// Sends the next small query to the router. The next one follows after the answer.
void FleetRig::send_query(std::size_t i) {
    TrafficClient& traffic = clients_[i];
    if (!traffic_) return;
    if (!traffic.timer) traffic.timer = std::make_unique<boost::asio::steady_timer>(io);
    const auto on_answer = [this, i](int status) {
        ++answers[status];
        if (status == 0) clients_[i].client.reset();
        clients_[i].timer->expires_after(Ms(options.gap_ms));
        clients_[i].timer->async_wait([this, i](const boost::system::error_code& ec) {
            if (!ec) send_query(i);
        });
    };
    ClientQuery query;
    query.query_class = traffic.query_count % 3 == 2 ? "adjust" : "search";
    query.id = "q" + std::to_string(i) + "-" + std::to_string(++traffic.query_count);
    if (query.query_class == "adjust") query.key = "k" + query.id;
    for (std::uint32_t offset = 0; offset < shards_per_query; ++offset)
        query.shards.push_back(static_cast<std::uint32_t>(traffic.query_count * shards_per_query + offset) %
                               shards);
    try {
        // The client may call this from its own handler, so the next client is created in a later one.
        traffic.client =
            std::make_unique<Client>(io, router_ports_[i], [this, on_answer](ClientResponse answer) {
                boost::asio::post(io, [on_answer, status = answer.status] { on_answer(status); });
            });
        traffic.client->send(query);
    } catch (const boost::system::system_error&) {
        traffic.timer->expires_after(reconnect_delay);  // the router is not running, so retry later
        traffic.timer->async_wait([this, i](const boost::system::error_code& ec) {
            if (!ec) send_query(i);
        });
    }
}

bool FleetRig::until(const std::function<bool()>& holds, Ms within) {
    const auto end = std::chrono::steady_clock::now() + within;
    while (!holds()) {
        if (std::chrono::steady_clock::now() > end) return false;
        io.run_for(poll_interval);
    }
    return true;
}

void FleetRig::run_for(Ms span) { io.run_for(span); }

std::string FleetRig::manager_address(std::size_t i) const { return address_of(http_ports_[i]); }

// The proxies run in this process, so the io_context has to run during the request; query_manager does that.
Json FleetRig::get_json(std::size_t i, const std::string& path) const {
    const auto reply =
        fleet_manager::query_manager(io, {"127.0.0.1", direct_http_ports_[i]}, path, "", request_timeout);
    return reply.status == 200 ? Json::parse(reply.body, nullptr, false) : Json();
}

std::size_t FleetRig::leader() const {
    for (std::size_t i = 0; i < managers.size(); ++i) {
        if (!managers[i] || managers[i]->ended()) continue;
        const Json manager_status = status(i);
        if (manager_status.is_object() && manager_status["leader"] == manager_status["steward"]) return i;
    }
    return managers.size();
}

Json FleetRig::leader_status() const {
    const std::size_t i = leader();
    return i < managers.size() ? status(i) : Json();
}

Json FleetRig::request_for(const std::string& node) const {
    const Json agreed_state = leader_status();
    if (agreed_state.is_object())
        for (const Json& request : agreed_state["requests"])
            if (request["target"][1] == node) return request;
    return {};
}

bool FleetRig::all_ready() {
    const Json agreed_state = leader_status();
    if (!agreed_state.is_object() || agreed_state["nodes"].size() != options.nodes) return false;
    std::size_t live = 0;
    for (const Json& member : agreed_state["members"])
        live += !member["lost"].get<bool>() && !member["left"].get<bool>();
    return agreed_state["held_for_ms"] == 0 && (!options.membership || live == options.routers);
}

std::unique_ptr<Process> FleetRig::command(std::vector<std::string> arguments,
                                           std::vector<std::size_t> through) {
    std::string manager_addresses;
    for (const std::size_t i : through)
        manager_addresses += (manager_addresses.empty() ? "" : ",") + address_of(http_ports_[i]);
    arguments.insert(arguments.begin(), options.programs + "/tealcart");
    const std::string name = "operator";
    return std::make_unique<Process>(io, event_log, name, std::move(arguments),
                                     std::vector<std::string>{"TEALCART_STEWARDS=" + manager_addresses});
}

void FleetRig::cut_off(std::size_t i, bool inbound, bool outbound) {
    event_log.record("rig", "cuts off fleet manager " + std::to_string(i + 1));
    if (inbound) raft_proxies_[i]->cut("", {true, true});
    for (std::size_t other = 0; outbound && other < raft_proxies_.size(); ++other)
        if (other != i) raft_proxies_[other]->cut(std::to_string(i + 1), {true, true});
}

void FleetRig::cut_off_member(const std::string& name, bool to_managers, bool from_managers) {
    event_log.record("rig", "cuts off " + name);
    for (auto& proxy : http_proxies_) proxy->cut(name, {to_managers, from_managers});
}

void FleetRig::heal() {
    event_log.record("rig", "removes all faults");
    for (auto& proxy : raft_proxies_) proxy->heal();
    for (auto& proxy : http_proxies_) proxy->heal();
}

}  // namespace tealcart::testing
