#include "testing/hollow_rig.hpp"

#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <random>
#include <sstream>

#include "fleet_manager/manager_client.hpp"
#include "testing/fleet_rig.hpp"

namespace tealcart::testing {
namespace {

using Json = nlohmann::json;
using Ms = std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

constexpr int asked = 74;  // shards that witnesses' clients ask for
constexpr std::size_t listeners = 12;

std::string script_text() {
    std::string text = "fleet {\n shards = " + std::to_string(asked) +
                       "\n places = " + std::to_string(min_places) +
                       "\n width = " + std::to_string(hollow_width) + "\n rows = 1\n}\n";
    for (std::size_t n = 0; n < listeners; ++n)
        text += "node \"l" + std::to_string(n) + "\" {\n place = " + std::to_string(n) +
                "\n zone = \"z0\"\n call_delay = \"2ms\"\n}\n";
    return text;
}

Json settings_of(const HollowPlan& plan) {
    const auto places = hollow_places(plan.nodes);
    return platform_settings(plan.routers, places, static_cast<int>(places), hollow_width);
}

std::string at(std::uint16_t port) { return "127.0.0.1:" + std::to_string(port); }

}  // namespace

ProcessFigures figures_of(pid_t pid) {
    ProcessFigures f;
    const std::string proc = "/proc/" + std::to_string(pid);
    std::ifstream stat(proc + "/stat");
    std::string text;
    std::getline(stat, text);
    const auto name_ends = text.rfind(')');
    if (name_ends == text.npos) return f;
    std::istringstream words(text.substr(name_ends + 2));
    double ticks = 0;
    for (int i = 3; i <= 15 && words >> text; ++i)
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

std::vector<std::uint16_t> quiet_ports(std::size_t count) {
    std::random_device chance;
    std::uint32_t next = 12'000 + chance() % 16'000;
    boost::asio::io_context io;
    std::vector<boost::asio::ip::tcp::acceptor> held;
    std::vector<std::uint16_t> ports;
    for (int tries = 0; ports.size() < count && tries < 4000; ++tries) {
        boost::asio::ip::tcp::acceptor a(io);
        boost::system::error_code ec;
        const auto port = static_cast<std::uint16_t>(next++);
        a.open(boost::asio::ip::tcp::v4(), ec);
        if (!ec) a.bind({boost::asio::ip::address_v4::any(), port}, ec);
        if (ec) continue;
        held.push_back(std::move(a));
        ports.push_back(port);
    }
    if (ports.size() < count) throw std::runtime_error("too few free ports");
    return ports;
}

HollowRig::HollowRig(boost::asio::io_context& in, HollowPlan p) : io(in), plan(std::move(p)) {
    fleet = std::make_unique<Fleet>(io, read_script(script_text(), "hollow"));
    std::vector<std::string> addresses;
    for (const DataNode& n : fleet->nodes) addresses.push_back(n.address());
    const auto ports = quiet_ports(2 * plan.managers + 2 + plan.witnesses);
    discovery = std::make_unique<HollowDiscovery>(io, ports[0], plan.nodes, addresses);
    lines_.resize(plan.processes);
    answers_.resize(plan.processes);
    control_ = std::make_unique<LoopbackListener>(io, ports[1], [this] {
        return [this, process = std::make_shared<std::size_t>(SIZE_MAX)](Connection& c) {
            return take(c, process);
        };
    });
    std::string text =
        "fleet \"hollow\" {\n lease = \"" + plan.lease + "\"\n drift = \"" + plan.drift +
        "\"\n election = \"" + plan.election +
        "\"\n data_nodes {\n  share = 0.2\n  least_holders = 1\n }\n routers {\n  share = 0.1\n }\n";
    for (std::size_t i = 0; i < plan.managers; ++i) {
        http_.push_back({"127.0.0.1", ports[2 + 2 * i]});
        text += " steward \"" + std::to_string(i + 1) + "\" {\n  raft = \"" + at(ports[3 + 2 * i]) +
                "\"\n  http = \"" + at(http_[i].port) + "\"\n  folder = \"" +
                directory.path("s" + std::to_string(i + 1)) + "\"\n }\n";
    }
    fleet_file_ = directory.write("fleet.hcl", text + "}\n");
    const Json config = {{"name", "steward"},
                         {"listen", "127.0.0.1:1"},
                         {"discovery", at(discovery->port())},
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
    for (Asker& a : askers_) a.client.reset();
}

void HollowRig::start_manager(std::size_t i) {
    managers[i].reset();
    managers[i] = std::make_unique<Process>(
        io, event_log, "s" + std::to_string(i + 1),
        std::vector<std::string>{plan.programs + "/tealcart-fleet-manager", "serve", "--file", fleet_file_,
                                 "--id", std::to_string(i + 1), "--config", config_file_});
}

// A zone each. Their calls begin at the managers in turn, as members' files would name them.
void HollowRig::start_hollow(std::size_t i) {
    HollowConfig config;
    config.from = plan.routers * i / plan.processes;
    config.count = plan.routers * (i + 1) / plan.processes - config.from;
    config.control = control_->port();
    config.discovery = {"127.0.0.1", discovery->port()};
    for (std::size_t s = 0; s < plan.managers; ++s) config.managers.push_back(http_[(i + s) % plan.managers]);
    config.zone = "z" + std::to_string(i % hollow_zones);
    config.address = discovery->node(0).address;
    config.generation = discovery->generation();
    config.places = hollow_places(plan.nodes);
    config.seeded = std::min(plan.seeded, plan.nodes);
    config.whole = plan.whole;
    std::vector<std::string> words = write_hollow(config);
    words.insert(words.begin(), plan.self);
    lines_[i].reset();
    processes[i].reset();
    processes[i] = std::make_unique<Process>(io, event_log, "h" + std::to_string(i), std::move(words));
}

bool HollowRig::take(Connection& c, const std::shared_ptr<std::size_t>& process) {
    for (std::size_t end = 0; (end = c.in.find('\n')) != c.in.npos; c.in.erase(0, end + 1)) {
        const std::string line = c.in.substr(0, end);
        if (*process != SIZE_MAX) {
            answers_[*process] = line;
            continue;
        }
        if (line.rfind("hello ", 0) != 0) return false;
        const std::size_t from = std::stoull(line.substr(6));
        for (std::size_t i = 0; i < plan.processes; ++i)
            if (plan.routers * i / plan.processes == from) *process = i;
        if (*process == SIZE_MAX) return false;
        lines_[*process] = c.weak_from_this();
    }
    return c.in.size() < 65'536;
}

bool HollowRig::until(const std::function<bool()>& holds, Ms within) {
    const auto end = Clock::now() + within;
    while (!holds()) {
        if (Clock::now() > end) return false;
        io.run_for(Ms(5));
    }
    return true;
}

void HollowRig::run_for(Ms span) { io.run_for(span); }

std::size_t HollowRig::leader() const {
    std::size_t led = plan.managers;
    for (const EventLog::Event& e : event_log.events) {
        const auto words = e.what.find(" leads");
        if (e.who[0] != 's' || words == e.what.npos || e.what.rfind("steward ", 0) != 0) continue;
        led = std::stoull(e.what.substr(8)) - 1;
    }
    return led < plan.managers && managers[led] && !managers[led]->ended() ? led : plan.managers;
}

Json HollowRig::say(std::size_t process, const std::string& line) {
    const auto c = lines_[process].lock();
    if (!c || !c->open) return {};
    answers_[process].clear();
    c->send(line + "\n");
    if (!until([&] { return !answers_[process].empty(); }, Ms(20'000))) return {};
    return Json::parse(answers_[process], nullptr, false);
}

std::vector<HollowFigures> HollowRig::hollow() {
    std::vector<HollowFigures> all(plan.processes);
    for (std::size_t i = 0; i < plan.processes; ++i) {
        if (!processes[i] || processes[i]->ended()) continue;
        const Json r = say(i, "report");
        if (!r.is_object()) continue;
        HollowFigures& f = all[i];
        f.pid = processes[i]->pid();
        f.routers = r["routers"], f.holding = r["holding"], f.reader_nodes = r["reader_nodes"];
        f.lapses = r["lapses"], f.entries = r["entries"], f.cpu_s = r["cpu_s"];
        f.acts_on_least = r["acts_on_least"], f.acts_on_most = r["acts_on_most"];
        for (const auto& [key, of] : {std::pair("steward", &f.manager), std::pair("discovery", &f.discovery)})
            *of = {r[key]["calls"], r[key]["in"], r[key]["out"]};
        f.dirty_mb = figures_of(f.pid).dirty_mb;
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
                         {"listen", at(port)},
                         {"discovery", at(discovery->port())},
                         {"seed", "8c1f30d27a5be9" + std::to_string(10 + i % 90)},
                         {"limits", {{"cores", 1.0}, {"memory_mb", 256}, {"sockets", 1024}}},
                         {"known", {{"generation", 0}, {"reset", true}, {"instances", Json::array()}}},
                         {"settings", settings_of(plan)}};
    std::string list;
    for (const HostPort& s : http_) list += (list.empty() ? "\"" : ", \"") + at(s.port) + "\"";
    witnesses.push_back(std::make_unique<Process>(
        io, event_log, name,
        std::vector<std::string>{
            plan.programs + "/tealcart", "serve", "--config", directory.write(name + ".json", config.dump()),
            "--file",
            directory.write(name + ".hcl", "member {\n zone = \"z0\"\n stewards = [" + list + "]\n}\n")}));
    askers_.push_back({port, nullptr, std::make_unique<boost::asio::steady_timer>(io), 0});
    ask(i);
}

void HollowRig::ask(std::size_t i) {
    const auto again = [this, i](int status, Ms pause) {
        if (status >= 0) ++answers[status];
        if (status <= 0) askers_[i].client.reset();
        askers_[i].timer->expires_after(pause);
        askers_[i].timer->async_wait([this, i](const boost::system::error_code& ec) {
            if (!ec) ask(i);
        });
    };
    Asker& a = askers_[i];
    ClientQuery asking;
    asking.query_class = "search";
    asking.id = "q" + std::to_string(i) + "-" + std::to_string(++a.asked);
    for (std::uint32_t s = 0; s < 4; ++s)
        asking.shards.push_back(static_cast<std::uint32_t>(a.asked * 4 + s) % asked);
    try {
        // A client's connection that ends is told from within its own handler: the next is made after it.
        if (!a.client)
            a.client = std::make_unique<Client>(io, a.port, [this, again](ClientResponse got) {
                boost::asio::post(io, [this, again, status = got.status] { again(status, Ms(plan.gap_ms)); });
            });
        a.client->ask(asking);
    } catch (const boost::system::system_error&) {
        again(-1, Ms(200));  // the router is not there: no query of its
    }
}

Json HollowRig::status(std::size_t i) {
    const auto reply = fleet_manager::query_manager(io, http_[i], "/fleet/status", "", Ms(30'000));
    return reply.status == 200 ? Json::parse(reply.body, nullptr, false) : Json();
}

Json HollowRig::operate(const std::string& what, Json body) {
    body["id"] = "scale-" + std::to_string(++asked_);
    body["asker"] = "scale";
    for (int tries = 0; tries < 20; ++tries) {
        const std::size_t i = leader();
        if (i < plan.managers) {
            const auto reply =
                fleet_manager::query_manager(io, http_[i], "/fleet/" + what, body.dump(), Ms(5000));
            if (reply.status == 200) return Json::parse(reply.body, nullptr, false);
            if (reply.status >= 400 && reply.status < 421) return {{"refused", reply.body}};
        }
        run_for(Ms(200));
    }
    return {};
}

// When a manager first said so, from this event on.
TimePoint HollowRig::said(std::size_t from, const std::string& words) const {
    for (std::size_t i = from; i < event_log.events.size(); ++i)
        if (event_log.events[i].who[0] == 's' && event_log.events[i].what.rfind(words, 0) == 0)
            return event_log.events[i].at;
    return {};
}

HollowRig::Drain HollowRig::drain(std::uint32_t node, Ms within) {
    Drain d;
    const std::size_t from = event_log.events.size();
    const Json targets = Json::array({Json::array({"node", discovery->node(node).id})});
    const Json asked = operate("ask", {{"targets", targets}});
    d.said = asked.dump();
    if (!asked.is_object() || !asked.contains("effects") || asked["effects"].empty()) return d;
    const std::string request = "request " + std::to_string(asked["effects"][0].value("request", 0)) + " ";
    d.granted = until([&] { return said(from, "granted: " + request) != TimePoint(); }, within);
    if (!d.granted) return d;
    d.done = until([&] { return said(from, "done: " + request) != TimePoint(); }, within);
    if (d.done) {
        const auto took = said(from, "done: " + request) - said(from, "granted: " + request);
        d.ms = std::chrono::duration<double, std::milli>(took).count();
    }
    operate("undo", {{"targets", targets}});
    until([&] { return said(from, "ended: " + request) != TimePoint(); }, within);
    return d;
}

}  // namespace tealcart::testing
