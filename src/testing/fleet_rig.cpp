#include "testing/fleet_rig.hpp"

#include <csignal>

#include "fleet_manager/manager_client.hpp"

namespace tealcart::testing {
namespace {

using Json = nlohmann::json;
using Ms = std::chrono::milliseconds;

constexpr int shards = 12, width = 3;

std::string at(std::uint16_t port, const char* host = "127.0.0.1") {
    return std::string(host) + ":" + std::to_string(port);
}

std::string script_of(const RigPlan& plan) {
    std::string text = "fleet {\n shards = " + std::to_string(shards) +
                       "\n places = " + std::to_string(plan.nodes) + "\n width = " + std::to_string(width) +
                       "\n rows = 1\n}\n";
    for (std::size_t n = 0; n < plan.nodes; ++n)
        text += "node \"n" + std::to_string(n) + "\" {\n place = " + std::to_string(n) + "\n zone = \"" +
                (n % 2 == 0 ? "a" : "b") + "\"\n call_delay = \"2ms\"\n}\n";
    return text;
}

}  // namespace

Json rig_settings(std::size_t routers, std::size_t places, int ranges, int held_at) {
    return {{"balancers", routers},
            {"discovery", "push"},
            {"step", 5.0},
            {"extra",
             {{"places", places},
              {"ranges", ranges},
              {"width", held_at},
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

FleetRig::FleetRig(boost::asio::io_context& in, RigPlan p) : io(in), plan(std::move(p)) {
    fleet = std::make_unique<Fleet>(io, read_script(script_of(plan), "rig"));
    for (std::size_t n = 0; n < plan.nodes; ++n)
        fleet->nodes[n].on_question = [this, n](char, std::uint32_t) {
            calls.push_back({std::chrono::steady_clock::now(), n});
        };
    fleet->tell();
    const auto ports = free_ports(3 * plan.managers + plan.routers);
    std::string text = "fleet \"rig\" {\n lease = \"" + plan.lease + "\"\n drift = \"" + plan.drift +
                       "\"\n election = \"" + plan.election + "\"\n" + plan.budgets + "\n";
    for (std::size_t i = 0; i < plan.managers; ++i) {
        raft_.push_back(ports[3 * i]), http_.push_back(ports[3 * i + 1]),
            http_real_.push_back(ports[3 * i + 2]);
        // Reached through relays; the log's library wants the same port at both, so the relay has another
        // host.
        raft_relays_.push_back(std::make_unique<Relay>(io, at(raft_[i], "127.0.0.2"), at(raft_[i]), log_tag));
        http_relays_.push_back(std::make_unique<Relay>(io, at(http_[i]), at(http_real_[i]), member_tag));
        text += " steward \"" + std::to_string(i + 1) + "\" {\n  raft = \"" + at(raft_[i], "127.0.0.2") +
                "\"\n  bind = \"" + at(raft_[i]) + "\"\n  http = \"" + at(http_[i]) + "\"\n  http_bind = \"" +
                at(http_real_[i]) + "\"\n  folder = \"" + folder.path("s" + std::to_string(i + 1)) +
                "\"\n }\n";
    }
    fleet_file_ = folder.write("fleet.hcl", text + "}\n");
    for (std::size_t i = 0; i < plan.routers; ++i) {
        serve_.push_back(ports[3 * plan.managers + i]);
        const std::string name = "r" + std::to_string(i);
        const Json settings = rig_settings(plan.routers, plan.nodes, shards, width);
        const Json config = {{"name", name},
                             {"listen", at(serve_[i])},
                             {"discovery", fleet->discovery.address()},
                             {"seed", "8c1f30d27a5be9" + std::to_string(10 + i % 90)},
                             {"limits", {{"cores", 1.0}, {"memory_mb", 192}, {"sockets", 1024}}},
                             {"known", {{"generation", 0}, {"reset", true}, {"instances", Json::array()}}},
                             {"settings", settings}};
        folder.write(name + ".json", config.dump());
        std::string list;
        for (const std::uint16_t port : http_) list += (list.empty() ? "\"" : ", \"") + at(port) + "\"";
        folder.write(name + ".hcl", std::string("member {\n zone = \"") + (i % 2 == 0 ? "a" : "b") +
                                        "\"\n stewards = [" + list + "]\n" + plan.member + "\n}\n");
    }
    managers.resize(plan.managers);
    routers.resize(plan.routers);
    askers_.resize(plan.routers);
    for (std::size_t i = 0; i < plan.managers; ++i) {
        Process init(io, history, "init",
                     {plan.programs + "/tealcart-fleet-manager", "init", "--file", fleet_file_, "--id",
                      std::to_string(i + 1)});
        if (!until([&] { return init.ended(); }) || init.status() != 0)
            throw std::runtime_error("a steward's folder can't be made:\n" + history.text());
        start_manager(i);
    }
    for (std::size_t i = 0; i < plan.routers; ++i) start_router(i);
}

FleetRig::~FleetRig() {
    for (Asker& a : askers_) a.client.reset();
}

void FleetRig::start_manager(std::size_t i, std::vector<std::string> more, std::vector<std::string> before) {
    std::vector<std::string> words = std::move(before);
    for (const std::string& word :
         {plan.programs + "/tealcart-fleet-manager", std::string("serve"), std::string("--file"), fleet_file_,
          std::string("--id"), std::to_string(i + 1), std::string("--config"), folder.path("r0.json")})
        words.push_back(word);
    words.insert(words.end(), more.begin(), more.end());
    managers[i].reset();
    managers[i] = std::make_unique<Process>(io, history, "s" + std::to_string(i + 1), std::move(words));
}

void FleetRig::start_router(std::size_t i) {
    const std::string name = "r" + std::to_string(i);
    std::vector<std::string> words = {plan.programs + "/tealcart", "serve", "--config",
                                      folder.path(name + ".json")};
    if (plan.membership) words.insert(words.end(), {"--file", folder.path(name + ".hcl")});
    routers[i].reset();
    routers[i] = std::make_unique<Process>(io, history, name, std::move(words));
    until([&] { return routers[i]->said(" serves at ") || routers[i]->ended(); });
    ask(i);
}

// One query after the other at each router: whole ones over all shards, kept small.
void FleetRig::ask(std::size_t i) {
    Asker& a = askers_[i];
    if (!traffic_) return;
    if (!a.timer) a.timer = std::make_unique<boost::asio::steady_timer>(io);
    const auto next = [this, i](int status) {
        ++answers[status];
        if (status == 0) askers_[i].client.reset();
        askers_[i].timer->expires_after(Ms(plan.gap_ms));
        askers_[i].timer->async_wait([this, i](const boost::system::error_code& ec) {
            if (!ec) ask(i);
        });
    };
    Asking asking;
    asking.query_class = a.asked % 3 == 2 ? "adjust" : "search";
    asking.id = "q" + std::to_string(i) + "-" + std::to_string(++a.asked);
    if (asking.query_class == "adjust") asking.key = "k" + asking.id;
    for (std::uint32_t s = 0; s < 4; ++s)
        asking.shards.push_back(static_cast<std::uint32_t>(a.asked * 4 + s) % shards);
    try {
        // A client's connection that ends is told from within its own handler: the next is made after it.
        a.client = std::make_unique<Client>(io, serve_[i], [this, next](Answered got) {
            boost::asio::post(io, [next, status = got.status] { next(status); });
        });
        a.client->ask(asking);
    } catch (const boost::system::system_error&) {
        a.timer->expires_after(Ms(100));  // the router is not there: no query of its
        a.timer->async_wait([this, i](const boost::system::error_code& ec) {
            if (!ec) ask(i);
        });
    }
}

bool FleetRig::until(const std::function<bool()>& holds, Ms within) {
    const auto end = std::chrono::steady_clock::now() + within;
    while (!holds()) {
        if (std::chrono::steady_clock::now() > end) return false;
        io.run_for(Ms(5));
    }
    return true;
}

void FleetRig::run_for(Ms span) { io.run_for(span); }

// What is said between the processes goes through this one's relays, so it goes on meanwhile.
std::string FleetRig::manager_at(std::size_t i) const { return at(http_[i]); }

Json FleetRig::look(std::size_t i, const std::string& path) const {
    const auto reply = fleet_manager::query_manager(io, {"127.0.0.1", http_real_[i]}, path, "", Ms(300));
    return reply.status == 200 ? Json::parse(reply.body, nullptr, false) : Json();
}

std::size_t FleetRig::leader() const {
    for (std::size_t i = 0; i < managers.size(); ++i) {
        if (!managers[i] || managers[i]->ended()) continue;
        const Json s = status(i);
        if (s.is_object() && s["leader"] == s["steward"]) return i;
    }
    return managers.size();
}

Json FleetRig::leading() const {
    const std::size_t i = leader();
    return i < managers.size() ? status(i) : Json();
}

Json FleetRig::request_for(const std::string& node) const {
    const Json s = leading();
    if (s.is_object())
        for (const Json& r : s["requests"])
            if (r["target"][1] == node) return r;
    return {};
}

bool FleetRig::all_up() {
    const Json s = leading();
    if (!s.is_object() || s["nodes"].size() != plan.nodes) return false;
    std::size_t live = 0;
    for (const Json& m : s["members"]) live += !m["lost"].get<bool>() && !m["left"].get<bool>();
    return s["held_for_ms"] == 0 && (!plan.membership || live == plan.routers);
}

std::unique_ptr<Process> FleetRig::command(std::vector<std::string> words, std::vector<std::size_t> through) {
    std::string list;
    for (const std::size_t i : through) list += (list.empty() ? "" : ",") + at(http_[i]);
    words.insert(words.begin(), plan.programs + "/tealcart");
    const std::string name = "operator";
    return std::make_unique<Process>(io, history, name, std::move(words),
                                     std::vector<std::string>{"TEALCART_STEWARDS=" + list});
}

void FleetRig::cut_off(std::size_t i, bool inbound, bool outbound) {
    history.note("rig", "cuts off steward " + std::to_string(i + 1));
    if (inbound) raft_relays_[i]->cut("", {true, true});
    for (std::size_t other = 0; outbound && other < raft_relays_.size(); ++other)
        if (other != i) raft_relays_[other]->cut(std::to_string(i + 1), {true, true});
}

void FleetRig::deafen(const std::string& name, bool to, bool from) {
    history.note("rig", "deafens " + name);
    for (auto& relay : http_relays_) relay->cut(name, {to, from});
}

void FleetRig::heal() {
    history.note("rig", "heals");
    for (auto& relay : raft_relays_) relay->heal();
    for (auto& relay : http_relays_) relay->heal();
}

}  // namespace tealcart::testing
