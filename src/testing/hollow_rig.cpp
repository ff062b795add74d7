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
constexpr std::uint32_t shards_per_query = 4;
constexpr Ms init_timeout{20'000}, command_timeout{20'000};
constexpr std::size_t max_response_bytes = 65'536;  // of one line of a hollow process
constexpr std::size_t listener_count = 12;  // all data nodes share the addresses of this many listeners

std::string fleet_script() {
    std::string text = "fleet {\n shards = " + std::to_string(queried_shards) +
                       "\n places = " + std::to_string(min_places) +
                       "\n width = " + std::to_string(hollow_replicas) + "\n rows = 1\n}\n";
    for (std::size_t listener = 0; listener < listener_count; ++listener)
        text += "node \"l" + std::to_string(listener) + "\" {\n place = " + std::to_string(listener) +
                "\n zone = \"z0\"\n call_delay = \"2ms\"\n}\n";
    return text;
}

Json settings_of(const HollowRigOptions& options) {
    const auto places = hollow_place_count(options.nodes);
    return platform_settings(options.routers, places, static_cast<int>(places), hollow_replicas);
}

std::string local_address(std::uint16_t port) { return "127.0.0.1:" + std::to_string(port); }

}  // namespace

ProcessFigures process_figures(pid_t pid) {
    ProcessFigures figures;
    const std::string proc = "/proc/" + std::to_string(pid);
    std::ifstream stat(proc + "/stat");
    std::string text;
    std::getline(stat, text);
    const auto name_ends = text.rfind(')');
    if (name_ends == text.npos) return figures;
    std::istringstream fields(text.substr(name_ends + 2));
    double ticks = 0;
    // Fields 14 and 15 are the user and system time in clock ticks.
    for (int field = 3; field <= 15 && fields >> text; ++field)
        if (field >= 14) ticks += std::stod(text);
    figures.cpu_s = ticks / static_cast<double>(::sysconf(_SC_CLK_TCK));
    std::ifstream smaps(proc + "/smaps_rollup");
    for (std::string line; std::getline(smaps, line);) {
        if (line.rfind("Rss:", 0) == 0) figures.rss_mb = std::stod(line.substr(4)) / 1024;
        if (line.rfind("Private_Dirty:", 0) == 0) figures.dirty_mb = std::stod(line.substr(14)) / 1024;
    }
    std::ifstream io(proc + "/io");
    for (std::string line; std::getline(io, line);)
        if (line.rfind("write_bytes:", 0) == 0) figures.disk_write_bytes = std::stoull(line.substr(12));
    std::error_code ec;
    for (auto it = std::filesystem::directory_iterator(proc + "/fd", ec);
         !ec && it != std::filesystem::directory_iterator(); it.increment(ec))
        ++figures.descriptors;
    return figures;
}

HollowRig::HollowRig(boost::asio::io_context& context, HollowRigOptions rig_options)
    : io(context), options(std::move(rig_options)) {
    fleet = std::make_unique<Fleet>(io, read_script(fleet_script(), "hollow"));
    std::vector<std::string> addresses;
    for (const DataNode& node : fleet->nodes) addresses.push_back(node.address());
    const auto ports = free_ports(2 * options.managers + 2 + options.real_routers);
    discovery = std::make_unique<HollowDiscovery>(io, ports[0], options.nodes, addresses);
    control_connections_.resize(options.processes);
    responses_.resize(options.processes);
    control_listener_ = std::make_unique<LoopbackListener>(io, ports[1], [this] {
        return [this, process = std::make_shared<std::size_t>(SIZE_MAX)](Connection& connection) {
            return receive_lines(connection, process);
        };
    });
    std::string text =
        "fleet \"hollow\" {\n lease = \"" + options.lease + "\"\n drift = \"" + options.drift +
        "\"\n election = \"" + options.election +
        "\"\n data_nodes {\n  share = 0.2\n  least_holders = 1\n }\n routers {\n  share = 0.1\n }\n";
    for (std::size_t index = 0; index < options.managers; ++index) {
        manager_addresses_.push_back({"127.0.0.1", ports[2 + 2 * index]});
        text += " steward \"" + std::to_string(index + 1) + "\" {\n  raft = \"" +
                local_address(ports[3 + 2 * index]) + "\"\n  http = \"" +
                local_address(manager_addresses_[index].port) + "\"\n  folder = \"" +
                directory.path("s" + std::to_string(index + 1)) + "\"\n }\n";
    }
    fleet_file_ = directory.write("fleet.hcl", text + "}\n");
    const Json config = {{"name", "steward"},
                         {"listen", "127.0.0.1:1"},
                         {"discovery", local_address(discovery->port())},
                         {"seed", "8c1f30d27a5be910"},
                         {"limits", {{"cores", 1.0}, {"memory_mb", 192}, {"sockets", 1024}}},
                         {"known", {{"generation", 0}, {"reset", true}, {"instances", Json::array()}}},
                         {"settings", settings_of(options)}};
    config_file_ = directory.write("config.json", config.dump());
    managers.resize(options.managers);
    processes.resize(options.processes);
    for (std::size_t index = 0; index < options.managers; ++index) {
        Process init(io, event_log, "init",
                     {options.programs + "/tealcart-fleet-manager", "init", "--file", fleet_file_, "--id",
                      std::to_string(index + 1)});
        if (!until([&] { return init.ended(); }, init_timeout) || init.status() != 0)
            throw std::runtime_error("cannot create the data directory of a fleet manager:\n" +
                                     event_log.text());
        start_manager(index);
    }
    for (std::size_t index = 0; index < options.processes; ++index) start_hollow_process(index);
    for (std::size_t index = 0; index < options.real_routers; ++index)
        start_real_router(index, ports[2 * options.managers + 2 + index]);
}

HollowRig::~HollowRig() {
    for (QueryClient& client : query_clients_) client.client.reset();
}

void HollowRig::start_manager(std::size_t index) {
    managers[index].reset();
    managers[index] = std::make_unique<Process>(
        io, event_log, "s" + std::to_string(index + 1),
        std::vector<std::string>{options.programs + "/tealcart-fleet-manager", "serve", "--file", fleet_file_,
                                 "--id", std::to_string(index + 1), "--config", config_file_});
}

// Each process is one zone. The processes start with different managers, like members whose files list the
// managers in different orders.
void HollowRig::start_hollow_process(std::size_t index) {
    HollowConfig config;
    config.first_router = options.routers * index / options.processes;
    config.router_count = options.routers * (index + 1) / options.processes - config.first_router;
    config.control_port = control_listener_->port();
    config.discovery = {"127.0.0.1", discovery->port()};
    for (std::size_t manager = 0; manager < options.managers; ++manager)
        config.managers.push_back(manager_addresses_[(index + manager) % options.managers]);
    config.zone = "z" + std::to_string(index % hollow_zones);
    config.node_address = discovery->node(0).address;
    config.list_generation = discovery->generation();
    config.places = hollow_place_count(options.nodes);
    config.known_nodes = std::min(options.known_nodes, options.nodes);
    config.full_list = options.full_list;
    std::vector<std::string> arguments = write_hollow_arguments(config);
    arguments.insert(arguments.begin(), options.self);
    control_connections_[index].reset();
    processes[index].reset();
    processes[index] =
        std::make_unique<Process>(io, event_log, "h" + std::to_string(index), std::move(arguments));
}

bool HollowRig::receive_lines(Connection& connection, const std::shared_ptr<std::size_t>& process) {
    for (std::size_t end = 0; (end = connection.received.find('\n')) != connection.received.npos;
         connection.received.erase(0, end + 1)) {
        const std::string line = connection.received.substr(0, end);
        if (*process != SIZE_MAX) {
            responses_[*process] = line;
            continue;
        }
        if (line.rfind("hello ", 0) != 0) return false;
        const std::size_t from = std::stoull(line.substr(6));
        for (std::size_t index = 0; index < options.processes; ++index)
            if (options.routers * index / options.processes == from) *process = index;
        if (*process == SIZE_MAX) return false;
        control_connections_[*process] = connection.weak_from_this();
    }
    return connection.received.size() < max_response_bytes;
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
    std::size_t last_leader = options.managers;
    for (const EventLog::Event& event : event_log.events) {
        const auto position = event.message.find(" leads");
        if (event.source[0] != 's' || position == event.message.npos ||
            event.message.rfind("steward ", 0) != 0)
            continue;
        last_leader = std::stoull(event.message.substr(8)) - 1;
    }
    return last_leader < options.managers && managers[last_leader] && !managers[last_leader]->ended()
               ? last_leader
               : options.managers;
}

Json HollowRig::send_command(std::size_t process, const std::string& line) {
    const auto connection = control_connections_[process].lock();
    if (!connection || !connection->open) return {};
    responses_[process].clear();
    connection->send(line + "\n");
    if (!until([&] { return !responses_[process].empty(); }, command_timeout)) return {};
    return Json::parse(responses_[process], nullptr, false);
}

std::vector<HollowFigures> HollowRig::hollow_figures() {
    std::vector<HollowFigures> figures_by_process(options.processes);
    for (std::size_t index = 0; index < options.processes; ++index) {
        if (!processes[index] || processes[index]->ended()) continue;
        const Json report = send_command(index, "report");
        if (!report.is_object()) continue;
        HollowFigures& figures = figures_by_process[index];
        figures.pid = processes[index]->pid();
        figures.routers = report["routers"], figures.lease_holders = report["holding"],
        figures.reader_nodes = report["reader_nodes"];
        figures.lease_lapses = report["lapses"], figures.list_entries = report["entries"],
        figures.cpu_s = report["cpu_s"];
        figures.min_applied_generation = report["acts_on_least"],
        figures.max_applied_generation = report["acts_on_most"];
        for (const auto& [key, counters] :
             {std::pair("steward", &figures.manager), std::pair("discovery", &figures.discovery)})
            *counters = {report[key]["calls"], report[key]["in"], report[key]["out"]};
        figures.dirty_mb = process_figures(figures.pid).dirty_mb;
    }
    return figures_by_process;
}

std::size_t HollowRig::lease_holders() {
    std::size_t sum = 0;
    for (const HollowFigures& figures : hollow_figures()) sum += figures.lease_holders;
    return sum;
}

void HollowRig::start_real_router(std::size_t index, std::uint16_t port) {
    const std::string name = "w" + std::to_string(index);
    const Json config = {{"name", name},
                         {"listen", local_address(port)},
                         {"discovery", local_address(discovery->port())},
                         {"seed", "8c1f30d27a5be9" + std::to_string(10 + index % 90)},
                         {"limits", {{"cores", 1.0}, {"memory_mb", 256}, {"sockets", 1024}}},
                         {"known", {{"generation", 0}, {"reset", true}, {"instances", Json::array()}}},
                         {"settings", settings_of(options)}};
    std::string manager_list;
    for (const HostPort& manager : manager_addresses_)
        manager_list += (manager_list.empty() ? "\"" : ", \"") + local_address(manager.port) + "\"";
    real_routers.push_back(std::make_unique<Process>(
        io, event_log, name,
        std::vector<std::string>{options.programs + "/tealcart", "serve", "--config",
                                 directory.write(name + ".json", config.dump()), "--file",
                                 directory.write(name + ".hcl", "member {\n zone = \"z0\"\n stewards = [" +
                                                                    manager_list + "]\n}\n")}));
    query_clients_.push_back({port, nullptr, std::make_unique<boost::asio::steady_timer>(io), 0});
    send_query(index);
}

void HollowRig::send_query(std::size_t index) {
    const auto schedule_next = [this, index](int status, Ms pause) {
        if (status >= 0) ++responses_by_status[status];
        if (status <= 0) query_clients_[index].client.reset();
        query_clients_[index].timer->expires_after(pause);
        query_clients_[index].timer->async_wait([this, index](const boost::system::error_code& ec) {
            if (!ec) send_query(index);
        });
    };
    QueryClient& client = query_clients_[index];
    ClientQuery query;
    query.query_class = "search";
    query.id = "q" + std::to_string(index) + "-" + std::to_string(++client.sent_queries);
    for (std::uint32_t shard = 0; shard < shards_per_query; ++shard)
        query.shards.push_back(static_cast<std::uint32_t>(client.sent_queries * shards_per_query + shard) %
                               queried_shards);
    try {
        // The callback may run inside a handler of a client whose connection has ended, so the next client is
        // created only after that handler has returned.
        if (!client.client)
            client.client =
                std::make_unique<Client>(io, client.port, [this, schedule_next](ClientResponse response) {
                    boost::asio::post(io, [this, schedule_next, status = response.status] {
                        schedule_next(status, Ms(options.query_gap_ms));
                    });
                });
        client.client->send(query);
    } catch (const boost::system::system_error&) {
        schedule_next(-1, Ms(200));  // the router is not running: no query is counted
    }
}

Json HollowRig::status(std::size_t index) {
    const auto reply =
        fleet_manager::query_manager(io, manager_addresses_[index], "/fleet/status", "", Ms(30'000));
    return reply.status == 200 ? Json::parse(reply.body, nullptr, false) : Json();
}

Json HollowRig::call_operator_api(const std::string& operation, Json body) {
    body["id"] = "scale-" + std::to_string(++operator_calls_);
    body["asker"] = "scale";
    for (int attempt = 0; attempt < 20; ++attempt) {
        const std::size_t manager = leader();
        if (manager < options.managers) {
            const auto reply = fleet_manager::query_manager(io, manager_addresses_[manager],
                                                            "/fleet/" + operation, body.dump(), Ms(5000));
            if (reply.status == 200) return Json::parse(reply.body, nullptr, false);
            if (reply.status >= 400 && reply.status < 421) return {{"refused", reply.body}};
        }
        run_for(Ms(200));
    }
    return {};
}

// Returns the time of the first event from index `from` on whose message, logged by a manager, starts with
// this text.
TimePoint HollowRig::first_event(std::size_t from, const std::string& text) const {
    for (std::size_t index = from; index < event_log.events.size(); ++index)
        if (event_log.events[index].source[0] == 's' && event_log.events[index].message.rfind(text, 0) == 0)
            return event_log.events[index].at;
    return {};
}

HollowRig::Drain HollowRig::drain(std::uint32_t node, Ms within) {
    Drain outcome;
    const std::size_t from = event_log.events.size();
    const Json targets = Json::array({Json::array({"node", discovery->node(node).id})});
    const Json response = call_operator_api("ask", {{"targets", targets}});
    outcome.response = response.dump();
    if (!response.is_object() || !response.contains("effects") || response["effects"].empty()) return outcome;
    const std::string request = "request " + std::to_string(response["effects"][0].value("request", 0)) + " ";
    outcome.granted = until([&] { return first_event(from, "granted: " + request) != TimePoint(); }, within);
    if (!outcome.granted) return outcome;
    outcome.done = until([&] { return first_event(from, "done: " + request) != TimePoint(); }, within);
    if (outcome.done) {
        const auto duration =
            first_event(from, "done: " + request) - first_event(from, "granted: " + request);
        outcome.grant_to_done_ms = std::chrono::duration<double, std::milli>(duration).count();
    }
    call_operator_api("undo", {{"targets", targets}});
    until([&] { return first_event(from, "ended: " + request) != TimePoint(); }, within);
    return outcome;
}

}  // namespace tealcart::testing
