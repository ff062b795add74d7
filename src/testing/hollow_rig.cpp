#include "testing/hollow_rig.hpp"

#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "fleet_manager/manager_client.hpp"
#include "testing/fleet_rig.hpp"

namespace tealcart::testing {
namespace {

using Json = nlohmann::json;
using Ms = std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

constexpr int queried_shards = 74;  // the number of shards that the real routers' clients query
constexpr std::size_t listeners = 12;

std::string script_text() {
    std::string text = "fleet {\n shards = " + std::to_string(queried_shards) +
                       "\n places = " + std::to_string(min_places) +
                       "\n width = " + std::to_string(hollow_replicas) + "\n rows = 1\n}\n";
    for (std::size_t n = 0; n < listeners; ++n)
        text += "node \"l" + std::to_string(n) + "\" {\n place = " + std::to_string(n) +
                "\n zone = \"z0\"\n call_delay = \"2ms\"\n}\n";
    return text;
}

Json settings_of(const HollowPlan& plan) {
    const auto places = hollow_places(plan.nodes);
    return platform_settings(plan.routers, places, static_cast<int>(places), hollow_replicas);
}

std::string local_address(std::uint16_t port) { return "127.0.0.1:" + std::to_string(port); }

}  // namespace

ProcessFigures process_figures(pid_t pid) {
    ProcessFigures f;
    const std::string proc = "/proc/" + std::to_string(pid);
    std::ifstream stat(proc + "/stat");
    std::string text;
    std::getline(stat, text);
    const auto name_ends = text.rfind(')');
    if (name_ends == text.npos) return f;
    std::istringstream fields(text.substr(name_ends + 2));
    double ticks = 0;
    for (int i = 3; i <= 15 && fields >> text; ++i)
        if (i >= 14) ticks += std::stod(text);
    f.cpu_s = ticks / static_cast<double>(::sysconf(_SC_CLK_TCK));
    std::ifstream smaps(proc + "/smaps_rollup");
    for (std::string line; std::getline(smaps, line);) {
        if (line.rfind("Rss:", 0) == 0) f.rss_mb = std::stod(line.substr(4)) / 1024;
        if (line.rfind("Private_Dirty:", 0) == 0) f.dirty_mb = std::stod(line.substr(14)) / 1024;
    }
    std::ifstream io(proc + "/io");
    for (std::string line; std::getline(io, line);)
        if (line.rfind("write_bytes:", 0) == 0) f.disk = std::stoull(line.substr(12));
    std::error_code ec;
    for (auto it = std::filesystem::directory_iterator(proc + "/fd", ec);
         !ec && it != std::filesystem::directory_iterator(); it.increment(ec))
        ++f.descriptors;
    return f;
}

HollowRig::HollowRig(boost::asio::io_context& in, HollowPlan p) : io(in), plan(std::move(p)) {
    fleet = std::make_unique<Fleet>(io, read_script(script_text(), "hollow"));
    std::vector<std::string> addresses;
    for (const DataNode& n : fleet->nodes) addresses.push_back(n.address());
    const auto ports = free_ports(2 * plan.managers + 2 + plan.witnesses);
    discovery = std::make_unique<HollowDiscovery>(io, ports[0], plan.nodes, addresses);
    control_connections_.resize(plan.processes);
    responses_.resize(plan.processes);
    control_ = std::make_unique<LoopbackListener>(io, ports[1], [this] {
        return [this, process = std::make_shared<std::size_t>(SIZE_MAX)](Connection& connection) {
            return receive(connection, process);
        };
    });
    std::string text =
        "fleet \"hollow\" {\n lease = \"" + plan.lease + "\"\n drift = \"" + plan.drift +
        "\"\n election = \"" + plan.election +
        "\"\n data_nodes {\n  share = 0.2\n  least_holders = 1\n }\n routers {\n  share = 0.1\n }\n";
    for (std::size_t i = 0; i < plan.managers; ++i) {
        http_.push_back({"127.0.0.1", ports[2 + 2 * i]});
        text += " steward \"" + std::to_string(i + 1) + "\" {\n  raft = \"" +
                local_address(ports[3 + 2 * i]) + "\"\n  http = \"" + local_address(http_[i].port) +
                "\"\n  folder = \"" + directory.path("s" + std::to_string(i + 1)) + "\"\n }\n";
    }
    fleet_file_ = directory.write("fleet.hcl", text + "}\n");
    const Json config = {{"name", "steward"},
                         {"listen", "127.0.0.1:1"},
                         {"discovery", local_address(discovery->port())},
                         {"seed", "8c1f30d27a5be910"},
                         {"limits", {{"cores", 1.0}, {"memory_mb", 192}, {"sockets", 1024}}},
                         {"known", {{"generation", 0}, {"reset", true}, {"instances", Json::array()}}},
                         {"settings", settings_of(plan)}};
    config_file_ = directory.write("config.json", config.dump());
    managers.resize(plan.managers);
    processes.resize(plan.processes);
    for (std::size_t i = 0; i < plan.managers; ++i) {
        Process init(io, event_log, "init",
                     {plan.programs + "/tealcart-fleet-manager", "init", "--file", fleet_file_, "--id",
                      std::to_string(i + 1)});
        if (!until([&] { return init.ended(); }, Ms(20'000)) || init.status() != 0)
            throw std::runtime_error("a steward's folder can't be made:\n" + event_log.text());
        start_manager(i);
    }
    for (std::size_t i = 0; i < plan.processes; ++i) start_hollow(i);
    for (std::size_t i = 0; i < plan.witnesses; ++i) start_witness(i, ports[2 * plan.managers + 2 + i]);
}

HollowRig::~HollowRig() {
    for (QueryClient& client : query_clients_) client.client.reset();
}

void HollowRig::start_manager(std::size_t i) {
    managers[i].reset();
    managers[i] = std::make_unique<Process>(
        io, event_log, "s" + std::to_string(i + 1),
        std::vector<std::string>{plan.programs + "/tealcart-fleet-manager", "serve", "--file", fleet_file_,
                                 "--id", std::to_string(i + 1), "--config", config_file_});
}

// Each process is one zone. Its calls start with another manager each, as the members' files would list them.
void HollowRig::start_hollow(std::size_t i) {
    HollowConfig config;
    config.first_router = plan.routers * i / plan.processes;
    config.count = plan.routers * (i + 1) / plan.processes - config.first_router;
    config.control = control_->port();
    config.discovery = {"127.0.0.1", discovery->port()};
    for (std::size_t s = 0; s < plan.managers; ++s) config.managers.push_back(http_[(i + s) % plan.managers]);
    config.zone = "z" + std::to_string(i % hollow_zones);
    config.address = discovery->node(0).address;
    config.generation = discovery->generation();
    config.places = hollow_places(plan.nodes);
    config.known_nodes = std::min(plan.known_nodes, plan.nodes);
    config.full_list = plan.full_list;
    std::vector<std::string> arguments = write_hollow_arguments(config);
    arguments.insert(arguments.begin(), plan.self);
    control_connections_[i].reset();
    processes[i].reset();
    processes[i] = std::make_unique<Process>(io, event_log, "h" + std::to_string(i), std::move(arguments));
}

bool HollowRig::receive(Connection& connection, const std::shared_ptr<std::size_t>& process) {
    for (std::size_t end = 0; (end = connection.in.find('\n')) != connection.in.npos;
         connection.in.erase(0, end + 1)) {
        const std::string line = connection.in.substr(0, end);
        if (*process != SIZE_MAX) {
            responses_[*process] = line;
            continue;
        }
        if (line.rfind("hello ", 0) != 0) return false;
        const std::size_t from = std::stoull(line.substr(6));
        for (std::size_t i = 0; i < plan.processes; ++i)
            if (plan.routers * i / plan.processes == from) *process = i;
        if (*process == SIZE_MAX) return false;
        control_connections_[*process] = connection.weak_from_this();
    }
    return connection.in.size() < 65'536;
}

bool HollowRig::until(const std::function<bool()>& condition, Ms within) {
    const auto end = Clock::now() + within;
    while (!condition()) {
        if (Clock::now() > end) return false;
        io.run_for(Ms(5));
    }
    return true;
}

void HollowRig::run_for(Ms span) { io.run_for(span); }

std::size_t HollowRig::leader() const {
    std::size_t last_leader = plan.managers;
    for (const EventLog::Event& e : event_log.events) {
        const auto position = e.message.find(" leads");
        if (e.source[0] != 's' || position == e.message.npos || e.message.rfind("steward ", 0) != 0) continue;
        last_leader = std::stoull(e.message.substr(8)) - 1;
    }
    return last_leader < plan.managers && managers[last_leader] && !managers[last_leader]->ended()
               ? last_leader
               : plan.managers;
}

Json HollowRig::send_command(std::size_t process, const std::string& line) {
    const auto connection = control_connections_[process].lock();
    if (!connection || !connection->open) return {};
    responses_[process].clear();
    connection->send(line + "\n");
    if (!until([&] { return !responses_[process].empty(); }, Ms(20'000))) return {};
    return Json::parse(responses_[process], nullptr, false);
}

std::vector<HollowFigures> HollowRig::hollow() {
    std::vector<HollowFigures> all(plan.processes);
    for (std::size_t i = 0; i < plan.processes; ++i) {
        if (!processes[i] || processes[i]->ended()) continue;
        const Json r = send_command(i, "report");
        if (!r.is_object()) continue;
        HollowFigures& f = all[i];
        f.pid = processes[i]->pid();
        f.routers = r["routers"], f.holding = r["holding"], f.reader_nodes = r["reader_nodes"];
        f.lapses = r["lapses"], f.entries = r["entries"], f.cpu_s = r["cpu_s"];
        f.acts_on_least = r["acts_on_least"], f.acts_on_most = r["acts_on_most"];
        for (const auto& [key, of] : {std::pair("steward", &f.manager), std::pair("discovery", &f.discovery)})
            *of = {r[key]["calls"], r[key]["in"], r[key]["out"]};
        f.dirty_mb = process_figures(f.pid).dirty_mb;
    }
    return all;
}

std::size_t HollowRig::holding() {
    std::size_t sum = 0;
    for (const HollowFigures& f : hollow()) sum += f.holding;
    return sum;
}

void HollowRig::start_witness(std::size_t i, std::uint16_t port) {
    const std::string name = "w" + std::to_string(i);
    const Json config = {{"name", name},
                         {"listen", local_address(port)},
                         {"discovery", local_address(discovery->port())},
                         {"seed", "8c1f30d27a5be9" + std::to_string(10 + i % 90)},
                         {"limits", {{"cores", 1.0}, {"memory_mb", 256}, {"sockets", 1024}}},
                         {"known", {{"generation", 0}, {"reset", true}, {"instances", Json::array()}}},
                         {"settings", settings_of(plan)}};
    std::string list;
    for (const HostPort& s : http_) list += (list.empty() ? "\"" : ", \"") + local_address(s.port) + "\"";
    witnesses.push_back(std::make_unique<Process>(
        io, event_log, name,
        std::vector<std::string>{
            plan.programs + "/tealcart", "serve", "--config", directory.write(name + ".json", config.dump()),
            "--file",
            directory.write(name + ".hcl", "member {\n zone = \"z0\"\n stewards = [" + list + "]\n}\n")}));
    query_clients_.push_back({port, nullptr, std::make_unique<boost::asio::steady_timer>(io), 0});
    send_query(i);
}

void HollowRig::send_query(std::size_t i) {
    const auto again = [this, i](int status, Ms pause) {
        if (status >= 0) ++answers[status];
        if (status <= 0) query_clients_[i].client.reset();
        query_clients_[i].timer->expires_after(pause);
        query_clients_[i].timer->async_wait([this, i](const boost::system::error_code& ec) {
            if (!ec) send_query(i);
        });
    };
    QueryClient& client = query_clients_[i];
    ClientQuery query;
    query.query_class = "search";
    query.id = "q" + std::to_string(i) + "-" + std::to_string(++client.sent_queries);
    for (std::uint32_t s = 0; s < 4; ++s)
        query.shards.push_back(static_cast<std::uint32_t>(client.sent_queries * 4 + s) % queried_shards);
    try {
        // The callback may run inside a handler of a client whose connection has ended, so the next client is
        // created only after that handler has returned.
        if (!client.client)
            client.client = std::make_unique<Client>(io, client.port, [this, again](ClientResponse response) {
                boost::asio::post(
                    io, [this, again, status = response.status] { again(status, Ms(plan.query_gap_ms)); });
            });
        client.client->ask(query);
    } catch (const boost::system::system_error&) {
        again(-1, Ms(200));  // the router is not running: no query is counted
    }
}

Json HollowRig::status(std::size_t i) {
    const auto reply = fleet_manager::query_manager(io, http_[i], "/fleet/status", "", Ms(30'000));
    return reply.status == 200 ? Json::parse(reply.body, nullptr, false) : Json();
}

Json HollowRig::call_operator_api(const std::string& operation, Json body) {
    body["id"] = "scale-" + std::to_string(++operator_calls_);
    body["asker"] = "scale";
    for (int tries = 0; tries < 20; ++tries) {
        const std::size_t i = leader();
        if (i < plan.managers) {
            const auto reply =
                fleet_manager::query_manager(io, http_[i], "/fleet/" + operation, body.dump(), Ms(5000));
            if (reply.status == 200) return Json::parse(reply.body, nullptr, false);
            if (reply.status >= 400 && reply.status < 421) return {{"refused", reply.body}};
        }
        run_for(Ms(200));
    }
    return {};
}

// The time of the first event after `from` in which a manager logged this text.
TimePoint HollowRig::first_event(std::size_t from, const std::string& text) const {
    for (std::size_t i = from; i < event_log.events.size(); ++i)
        if (event_log.events[i].source[0] == 's' && event_log.events[i].message.rfind(text, 0) == 0)
            return event_log.events[i].at;
    return {};
}

HollowRig::Drain HollowRig::drain(std::uint32_t node, Ms within) {
    Drain d;
    const std::size_t from = event_log.events.size();
    const Json targets = Json::array({Json::array({"node", discovery->node(node).id})});
    const Json response = call_operator_api("ask", {{"targets", targets}});
    d.response = response.dump();
    if (!response.is_object() || !response.contains("effects") || response["effects"].empty()) return d;
    const std::string request = "request " + std::to_string(response["effects"][0].value("request", 0)) + " ";
    d.granted = until([&] { return first_event(from, "granted: " + request) != TimePoint(); }, within);
    if (!d.granted) return d;
    d.done = until([&] { return first_event(from, "done: " + request) != TimePoint(); }, within);
    if (d.done) {
        const auto took = first_event(from, "done: " + request) - first_event(from, "granted: " + request);
        d.ms = std::chrono::duration<double, std::milli>(took).count();
    }
    call_operator_api("undo", {{"targets", targets}});
    until([&] { return first_event(from, "ended: " + request) != TimePoint(); }, within);
    return d;
}

}  // namespace tealcart::testing
