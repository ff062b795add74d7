// The fleet's commands and state as bytes: CBOR, with a number for the form, which goes up with every change
// that an earlier program can't read.
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "fleet/fleet_state.hpp"

namespace tealcart::fleet {
namespace {

using nlohmann::json;

constexpr int state_form = 2, command_form = 1;

json of(const Target& t) { return {t.router, t.name}; }
Target target_of(const json& j) { return {j.at(0), j.at(1)}; }

json of(const Limit& l) { return {l.most, l.share}; }
Limit limit_of(const json& j) { return {j.at(0), j.at(1)}; }

json of(const Budgets& b) {
    return {of(b.nodes),
            of(b.nodes_a_zone),
            of(b.nodes_a_kind),
            b.least_holders,
            of(b.routers),
            of(b.routers_a_zone),
            b.lease,
            b.drift,
            b.forget,
            b.wait_for_lost,
            b.halt_failed,
            b.halt_failed_least,
            b.halt_lost,
            b.halt_holders,
            b.silent_share,
            b.most_open,
            b.most_remembered};
}
Budgets budgets_of(const json& j) {
    Budgets b;
    b.nodes = limit_of(j.at(0)), b.nodes_a_zone = limit_of(j.at(1)), b.nodes_a_kind = limit_of(j.at(2));
    b.least_holders = j.at(3);
    b.routers = limit_of(j.at(4)), b.routers_a_zone = limit_of(j.at(5));
    b.lease = j.at(6), b.drift = j.at(7), b.forget = j.at(8), b.wait_for_lost = j.at(9);
    b.halt_failed = j.at(10), b.halt_failed_least = j.at(11), b.halt_lost = j.at(12);
    b.halt_holders = j.at(13), b.silent_share = j.at(14), b.most_open = j.at(15);
    b.most_remembered = j.at(16);
    return b;
}

json of(const Node& n) { return {n.zone, n.kind, n.shards, int(n.health), n.started_at}; }
Node node_of(const json& j) {
    return {j.at(0), j.at(1), j.at(2).get<std::vector<std::uint32_t>>(),
            static_cast<Health>(j.at(3).get<int>()), j.at(4)};
}

json of(const Word& w) {
    json in_hand = json::array();
    for (const Target& t : w.in_hand) in_hand.push_back(of(t));
    return {w.acts_on, std::move(in_hand), w.silent, w.queries, w.failed};
}
Word word_of(const json& j) {
    Word w{j.at(0), {}, j.at(2).get<std::set<std::string>>(), j.at(3), j.at(4)};
    for (const json& t : j.at(1)) w.in_hand.insert(target_of(t));
    return w;
}

json of(const Join& c) { return {c.name, int(c.role), c.zone, c.version, c.digest, c.life, c.serve_on}; }
Join join_of(const json& j) {
    return {j.at(0), static_cast<Role>(j.at(1).get<int>()), j.at(2), j.at(3), j.at(4), j.at(5), j.at(6)};
}
json of(const Renew& c) { return {c.name, c.life, of(c.word)}; }
Renew renew_of(const json& j) { return {j.at(0), j.at(1), word_of(j.at(2))}; }

json of(const std::map<std::string, Node>& nodes) {
    json all = json::object();
    for (const auto& [name, n] : nodes) all[name] = of(n);
    return all;
}
std::map<std::string, Node> nodes_of(const json& j) {
    std::map<std::string, Node> all;
    for (const auto& [name, n] : j.items()) all[name] = node_of(n);
    return all;
}

// Each command under a word of its own, so that none changes its meaning with the order of a list.
struct Writer {
    json operator()(const Join& c) const { return {"join", of(c)}; }
    json operator()(const Renew& c) const { return {"renew", of(c)}; }
    json operator()(const Leave& c) const { return {"leave", json{c.name, c.life}}; }
    json operator()(const Forget& c) const { return {"forget", json::array({c.name})}; }
    json operator()(const NodesSeen& c) const { return {"nodes", json{of(c.nodes), c.whole, c.gone}}; }
    json operator()(const Ask& c) const { return {"ask", json{c.asker, of(c.target)}}; }
    json operator()(const Undo& c) const { return {"undo", json::array({c.request})}; }
    json operator()(const Halt& c) const { return {"halt", json::array({c.why})}; }
    json operator()(const Resume&) const { return {"resume", json::array()}; }
    json operator()(const Tick&) const { return {"tick", json::array()}; }
    json operator()(const Allow& c) const { return {"allow", of(c.budgets)}; }
    json operator()(const Words& c) const {
        json joins = json::array(), renewals = json::array();
        for (const Join& j : c.joins) joins.push_back(of(j));
        for (const Renew& r : c.renewals) renewals.push_back(of(r));
        return {"words", json{std::move(joins), std::move(renewals)}};
    }
};

decltype(Command::what) what_of(const std::string& word, const json& j) {
    if (word == "join") return join_of(j);
    if (word == "renew") return renew_of(j);
    if (word == "leave") return Leave{j.at(0), j.at(1)};
    if (word == "forget") return Forget{j.at(0)};
    if (word == "nodes") return NodesSeen{nodes_of(j.at(0)), j.at(1), j.at(2).get<std::set<std::string>>()};
    if (word == "ask") return Ask{j.at(0), target_of(j.at(1))};
    if (word == "undo") return Undo{j.at(0)};
    if (word == "halt") return Halt{j.at(0)};
    if (word == "resume") return Resume{};
    if (word == "tick") return Tick{};
    if (word == "allow") return Allow{budgets_of(j)};
    if (word == "words") {
        Words all;
        for (const json& one : j.at(0)) all.joins.push_back(join_of(one));
        for (const json& one : j.at(1)) all.renewals.push_back(renew_of(one));
        return all;
    }
    throw std::runtime_error("a command '" + word + "' that this program does not know");
}

void check_form(const json& all, int ours, const char* what) {
    if (const int form = all.at("form").get<int>(); form != ours)
        throw std::runtime_error(std::string(what) + " of form " + std::to_string(form) +
                                 ", this program reads " + std::to_string(ours));
}

}  // namespace

std::vector<std::uint8_t> write_command(const Command& command) {
    return json::to_cbor({{"form", command_form},
                          {"id", command.id},
                          {"at", command.at},
                          {"what", std::visit(Writer{}, command.what)}});
}

Command read_command(const std::uint8_t* bytes, std::size_t size) {
    try {
        const json all = json::from_cbor(bytes, bytes + size);
        check_form(all, command_form, "a fleet's command");
        const json& what = all.at("what");
        return {all.at("id"), all.at("at"), what_of(what.at(0), what.at(1))};
    } catch (const json::exception& e) {
        throw std::runtime_error(std::string("a fleet's command that can't be read: ") + e.what());
    }
}

std::vector<std::uint8_t> FleetState::save() const {
    json members = json::object(), requests = json::array(), out = json::array(), remembered = json::array();
    for (const auto& [name, m] : members_)
        members[name] = {int(m.role), m.zone,        m.version, m.digest, m.life,
                         m.serve_on,  m.lease_until, m.lost,    m.left,   of(m.word)};
    for (const auto& [id, r] : requests_)
        requests.push_back(
            {id, r.asker, of(r.target), int(r.stage), r.fence, r.generation, r.held_by, r.unheard});
    for (const auto& [t, id] : out_) out.push_back({of(t), id});
    for (const std::string& id : came_) {
        json list = json::array();
        for (const Effect& e : remembered_.at(id))
            list.push_back({int(e.kind), e.request, e.fence, e.generation, e.about, e.why});
        remembered.push_back({id, list});
    }
    return json::to_cbor({{"form", state_form},
                          {"budgets", of(budgets_)},
                          {"members", members},
                          {"nodes", of(nodes_)},
                          {"requests", requests},
                          {"out", out},
                          {"remembered", remembered},
                          {"numbers", {generation_, fence_, last_request_}},
                          {"halted", halted_},
                          {"halted_for", halted_for_},
                          {"tripped", tripped_},
                          {"silent", found_silent_},
                          {"times", {now_, hold_until_}}});
}

void FleetState::load(const std::vector<std::uint8_t>& bytes) {
    FleetState read(budgets_);
    try {
        const json all = json::from_cbor(bytes);
        check_form(all, state_form, "a fleet's state");
        read.budgets_ = budgets_of(all.at("budgets"));
        for (const auto& [name, m] : all.at("members").items())
            read.members_[name] = {static_cast<Role>(m.at(0).get<int>()),
                                   m.at(1),
                                   m.at(2),
                                   m.at(3),
                                   m.at(4),
                                   m.at(5),
                                   m.at(6),
                                   m.at(7),
                                   m.at(8),
                                   word_of(m.at(9))};
        read.nodes_ = nodes_of(all.at("nodes"));
        for (const json& r : all.at("requests"))
            read.requests_[r.at(0)] = {r.at(1),
                                       target_of(r.at(2)),
                                       static_cast<Stage>(r.at(3).get<int>()),
                                       r.at(4),
                                       r.at(5),
                                       r.at(6),
                                       r.at(7).get<std::set<std::string>>()};
        for (const json& o : all.at("out")) read.out_[target_of(o.at(0))] = o.at(1);
        for (const json& c : all.at("remembered")) {
            std::vector<Effect> effects;
            for (const json& e : c.at(1))
                effects.push_back({static_cast<Effect::Kind>(e.at(0).get<int>()), e.at(1), e.at(2), e.at(3),
                                   e.at(4), e.at(5)});
            read.came_.push_back(c.at(0));
            read.remembered_[read.came_.back()] = std::move(effects);
        }
        read.generation_ = all.at("numbers").at(0);
        read.fence_ = all.at("numbers").at(1);
        read.last_request_ = all.at("numbers").at(2);
        read.halted_ = all.at("halted");
        read.halted_for_ = all.at("halted_for");
        read.tripped_ = all.at("tripped").get<std::set<std::string>>();
        read.found_silent_ = all.at("silent").get<std::set<std::string>>();
        read.now_ = all.at("times").at(0);
        read.hold_until_ = all.at("times").at(1);
    } catch (const json::exception& e) {
        throw std::runtime_error(std::string("a fleet's state that can't be read: ") + e.what());
    }
    read.recount();
    *this = std::move(read);
}

}  // namespace tealcart::fleet
