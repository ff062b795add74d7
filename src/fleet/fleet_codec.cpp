// The fleet's commands and state as bytes: CBOR, with a number for the form, which goes up with every change
// that an earlier program can't read.
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

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
            b.min_holders,
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
            b.max_open,
            b.max_remembered};
}
Budgets budgets_of(const json& j) {
    Budgets b;
    b.nodes = limit_of(j.at(0)), b.nodes_a_zone = limit_of(j.at(1)), b.nodes_a_kind = limit_of(j.at(2));
    b.min_holders = j.at(3);
    b.routers = limit_of(j.at(4)), b.routers_a_zone = limit_of(j.at(5));
    b.lease = j.at(6), b.drift = j.at(7), b.forget = j.at(8), b.wait_for_lost = j.at(9);
    b.halt_failed = j.at(10), b.halt_failed_least = j.at(11), b.halt_lost = j.at(12);
    b.halt_holders = j.at(13), b.silent_share = j.at(14), b.max_open = j.at(15);
    b.max_remembered = j.at(16);
    return b;
}

json of(const Node& n) { return {n.zone, n.kind, n.shards, int(n.health), n.started_at}; }
Node node_of(const json& j) {
    return {j.at(0), j.at(1), j.at(2).get<std::vector<std::uint32_t>>(),
            static_cast<Health>(j.at(3).get<int>()), j.at(4)};
}

json of(const MemberReport& w) {
    json in_flight = json::array();
    for (const Target& t : w.in_flight) in_flight.push_back(of(t));
    return {w.applied_generation, std::move(in_flight), w.silent, w.queries, w.failed};
}
MemberReport word_of(const json& j) {
    MemberReport w{j.at(0), {}, j.at(2).get<std::set<std::string>>(), j.at(3), j.at(4)};
    for (const json& t : j.at(1)) w.in_flight.insert(target_of(t));
    return w;
}

json of(const Join& c) {
    return {c.name, int(c.role), c.zone, c.version, c.digest, c.incarnation, c.serve_on};
}
Join join_of(const json& j) {
    return {j.at(0), static_cast<Role>(j.at(1).get<int>()), j.at(2), j.at(3), j.at(4), j.at(5), j.at(6)};
}
json of(const Renew& c) { return {c.name, c.incarnation, of(c.word)}; }
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
    json operator()(const Leave& c) const { return {"leave", json{c.name, c.incarnation}}; }
    json operator()(const Forget& c) const { return {"forget", json::array({c.name})}; }
    json operator()(const EndpointsObserved& c) const {
        return {"nodes", json{of(c.nodes), c.whole, c.gone}};
    }
    json operator()(const RequestRemoval& c) const { return {"ask", json{c.asker, of(c.target)}}; }
    json operator()(const Undo& c) const { return {"undo", json::array({c.request})}; }
    json operator()(const Halt& c) const { return {"halt", json::array({c.why})}; }
    json operator()(const Resume&) const { return {"resume", json::array()}; }
    json operator()(const Tick&) const { return {"tick", json::array()}; }
    json operator()(const SetBudgets& c) const { return {"allow", of(c.budgets)}; }
    json operator()(const ReportBatch& c) const {
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
    if (word == "nodes")
        return EndpointsObserved{nodes_of(j.at(0)), j.at(1), j.at(2).get<std::set<std::string>>()};
    if (word == "ask") return RequestRemoval{j.at(0), target_of(j.at(1))};
    if (word == "undo") return Undo{j.at(0)};
    if (word == "halt") return Halt{j.at(0)};
    if (word == "resume") return Resume{};
    if (word == "tick") return Tick{};
    if (word == "allow") return SetBudgets{budgets_of(j)};
    if (word == "words") {
        ReportBatch all;
        for (const json& one : j.at(0)) all.joins.push_back(join_of(one));
        for (const json& one : j.at(1)) all.renewals.push_back(renew_of(one));
        return all;
    }
    throw std::runtime_error("a command '" + word + "' that this program does not know");
}

// CBOR as json::to_cbor writes it.
struct CborWriter {
    std::vector<std::uint8_t> bytes;

    void head(int major, std::uint64_t n) {
        const int size = n < 24 ? 0 : n <= 0xff ? 1 : n <= 0xffff ? 2 : n <= 0xffffffff ? 4 : 8;
        const std::uint64_t low = size == 0 ? n : size == 1 ? 24 : size == 2 ? 25 : size == 4 ? 26 : 27;
        bytes.push_back(static_cast<std::uint8_t>(static_cast<std::uint64_t>(major) << 5 | low));
        for (int i = size - 1; i >= 0; --i) bytes.push_back(static_cast<std::uint8_t>(n >> (8 * i)));
    }
    void number(std::uint64_t n) { head(0, n); }
    void number(std::int64_t n) {
        if (n >= 0)
            head(0, static_cast<std::uint64_t>(n));
        else
            head(1, static_cast<std::uint64_t>(-(n + 1)));
    }
    void flag(bool on) { bytes.push_back(on ? 0xf5 : 0xf4); }
    void text(const std::string& t) {
        head(3, t.size());
        bytes.insert(bytes.end(), t.begin(), t.end());
    }
    void array(std::size_t size) { head(4, size); }
    void map(std::size_t size) { head(5, size); }
};

void write(CborWriter& to, const std::map<std::string, Node>& nodes) {
    to.map(nodes.size());
    for (const auto& [name, n] : nodes) {
        to.text(name);
        to.array(5);
        to.text(n.zone), to.text(n.kind);
        to.array(n.shards.size());
        for (const std::uint32_t shard : n.shards) to.number(std::uint64_t{shard});
        to.number(static_cast<std::uint64_t>(n.health)), to.number(n.started_at);
    }
}

void write(CborWriter& to, const std::map<std::string, Member>& members) {
    to.map(members.size());
    for (const auto& [name, m] : members) {
        to.text(name);
        to.array(10);
        to.number(static_cast<std::uint64_t>(m.role));
        to.text(m.zone), to.text(m.version), to.text(m.digest);
        to.number(m.incarnation), to.number(m.serve_on), to.number(m.lease_until);
        to.flag(m.lost), to.flag(m.left);
        to.array(5);
        to.number(m.word.applied_generation);
        to.array(m.word.in_flight.size());
        for (const Target& t : m.word.in_flight) to.array(2), to.flag(t.router), to.text(t.name);
        to.array(m.word.silent.size());
        for (const std::string& node : m.word.silent) to.text(node);
        to.number(m.word.queries), to.number(m.word.failed);
    }
}

// CBOR as CborWriter writes it; what is not so throws std::runtime_error.
class CborReader {
  public:
    CborReader(const std::uint8_t* at, std::size_t size) : at_(at), end_(at + size) {}

    const std::uint8_t* at() const { return at_; }
    std::uint64_t number() { return read(0); }
    std::int64_t whole() {
        if (peek() >> 5 == 0) return static_cast<std::int64_t>(read(0));
        return -1 - static_cast<std::int64_t>(read(1));
    }
    bool flag() {
        const std::uint8_t byte = peek();
        if (byte != 0xf4 && byte != 0xf5) fail();
        ++at_;
        return byte == 0xf5;
    }
    std::string text() {
        const auto size = static_cast<std::size_t>(sized(3, 1));
        const std::uint8_t* const from = std::exchange(at_, at_ + size);
        return {from, at_};
    }
    std::size_t array() { return static_cast<std::size_t>(sized(4, 1)); }
    void array(std::size_t size) {
        if (array() != size) fail();
    }
    std::size_t map() { return static_cast<std::size_t>(sized(5, 2)); }
    // Passes over one value, with what it holds.
    void skip() {
        for (std::uint64_t left = 1; left > 0; --left) {
            const int major = peek() >> 5;
            if (major == 3)
                text();
            else if (major == 4)
                left += array();
            else if (major == 5)
                left += 2 * map();
            else if (major == 7 && (peek() & 31) < 25)
                flag();
            else
                read(major);  // also numbers with a fraction
        }
    }

  private:
    [[noreturn]] static void fail() { throw std::runtime_error("its CBOR is spoilt"); }
    std::uint8_t peek() const { return at_ == end_ ? (fail(), std::uint8_t{}) : *at_; }
    std::uint64_t read(int major) {
        const std::uint8_t first = peek();
        const int low = first & 31;
        if (first >> 5 != major || low > 27) fail();
        ++at_;
        if (low < 24) return static_cast<std::uint64_t>(low);
        const std::ptrdiff_t size = std::ptrdiff_t{1} << (low - 24);
        if (end_ - at_ < size) fail();
        std::uint64_t n = 0;
        for (std::ptrdiff_t i = 0; i < size; ++i) n = n << 8 | *at_++;
        return n;
    }
    // No more than there are bytes for.
    std::uint64_t sized(int major, std::uint64_t each) {
        const std::uint64_t n = read(major);
        if (n > static_cast<std::uint64_t>(end_ - at_) / each) fail();
        return n;
    }

    const std::uint8_t* at_;
    const std::uint8_t* const end_;
};

void read(CborReader& from, std::map<std::string, Node>& nodes) {
    for (std::size_t left = from.map(); left > 0; --left) {
        const std::string name = from.text();
        from.array(5);
        Node& n = nodes.emplace_hint(nodes.end(), name, Node{})->second;
        n.zone = from.text(), n.kind = from.text();
        n.shards.resize(from.array());
        for (std::uint32_t& shard : n.shards) shard = static_cast<std::uint32_t>(from.number());
        n.health = static_cast<Health>(from.number()), n.started_at = from.whole();
    }
}

void read(CborReader& from, std::map<std::string, Member>& members) {
    for (std::size_t left = from.map(); left > 0; --left) {
        const std::string name = from.text();
        from.array(10);
        Member& m = members.emplace_hint(members.end(), name, Member{})->second;
        m.role = static_cast<Role>(from.number());
        m.zone = from.text(), m.version = from.text(), m.digest = from.text();
        m.incarnation = from.number(), m.serve_on = from.whole(), m.lease_until = from.whole();
        m.lost = from.flag(), m.left = from.flag();
        from.array(5);
        m.word.applied_generation = from.number();
        for (std::size_t targets = from.array(); targets > 0; --targets) {
            from.array(2);
            const bool router = from.flag();
            m.word.in_flight.insert({router, from.text()});
        }
        for (std::size_t silent = from.array(); silent > 0; --silent) m.word.silent.insert(from.text());
        m.word.queries = from.number(), m.word.failed = from.number();
    }
}

struct OtherForm : std::runtime_error {
    using std::runtime_error::runtime_error;
};

void check_form(const json& all, int ours, const char* what) {
    if (const int form = all.at("form").get<int>(); form != ours)
        throw OtherForm(std::string(what) + " of form " + std::to_string(form) + ", this program reads " +
                        std::to_string(ours));
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
    json requests = json::array(), out = json::array(), remembered = json::array();
    for (const auto& [id, r] : requests_)
        requests.push_back(
            {id, r.asker, of(r.target), int(r.stage), r.fence, r.generation, r.blocked_by, r.unacknowledged});
    for (const auto& [t, id] : out_) out.push_back({of(t), id});
    for (const std::string& id : came_) {
        json list = json::array();
        for (const Effect& effect : remembered_.at(id)) {
            const EffectRecord e = record_of(effect);
            list.push_back({int(e.code), e.request, e.fence, e.generation, e.subject, e.reason});
        }
        remembered.push_back({id, list});
    }
    const json rest = {{"form", state_form},          {"budgets", of(budgets_)},
                       {"requests", requests},        {"out", out},
                       {"remembered", remembered},    {"numbers", {generation_, fence_, last_request_}},
                       {"halted", halted_},           {"halted_for", halted_for_},
                       {"tripped", tripped_},         {"silent", found_silent_},
                       {"times", {now_, hold_until_}}};
    // Members and nodes, which are nearly all of it, without a document in between. Keys stand in their
    // order.
    CborWriter cbor;
    cbor.map(rest.size() + 2);
    bool listed = false;
    for (const auto& [key, part] : rest.items()) {
        if (key > "members" && !std::exchange(listed, true)) {
            cbor.text("members");
            write(cbor, members_);
            cbor.text("nodes");
            write(cbor, nodes_);
        }
        cbor.text(key);
        json::to_cbor(part, cbor.bytes);
    }
    return std::move(cbor.bytes);
}

void FleetState::load(const std::vector<std::uint8_t>& bytes) {
    FleetState anew(budgets_);
    try {
        // Where each part stands; members and nodes are read from there without a document in between.
        std::map<std::string, std::pair<const std::uint8_t*, std::size_t>> parts;
        json all = json::object();
        CborReader cbor(bytes.data(), bytes.size());
        for (std::size_t left = cbor.map(); left > 0; --left) {
            const std::string key = cbor.text();
            const std::uint8_t* const from = cbor.at();
            cbor.skip();
            const auto size = static_cast<std::size_t>(cbor.at() - from);
            if (key == "members" || key == "nodes")
                parts[key] = {from, size};
            else
                all[key] = json::from_cbor(from, from + size);
        }
        check_form(all, state_form, "a fleet's state");
        if (parts.size() != 2 || cbor.at() != bytes.data() + bytes.size())
            throw std::runtime_error("a part is missing, or bytes are left over");
        CborReader members(parts["members"].first, parts["members"].second);
        read(members, anew.members_);
        CborReader nodes(parts["nodes"].first, parts["nodes"].second);
        read(nodes, anew.nodes_);
        anew.budgets_ = budgets_of(all.at("budgets"));
        for (const json& r : all.at("requests"))
            anew.requests_[r.at(0)] = {r.at(1),
                                       target_of(r.at(2)),
                                       static_cast<Stage>(r.at(3).get<int>()),
                                       r.at(4),
                                       r.at(5),
                                       r.at(6),
                                       r.at(7).get<std::set<std::string>>()};
        for (const json& o : all.at("out")) anew.out_[target_of(o.at(0))] = o.at(1);
        for (const json& c : all.at("remembered")) {
            Effects effects;
            for (const json& e : c.at(1))
                effects.push_back(effect_of({static_cast<EffectCode>(e.at(0).get<int>()), e.at(1), e.at(2),
                                             e.at(3), e.at(4), e.at(5)}));
            anew.came_.push_back(c.at(0));
            anew.remembered_[anew.came_.back()] = std::move(effects);
        }
        anew.generation_ = all.at("numbers").at(0);
        anew.fence_ = all.at("numbers").at(1);
        anew.last_request_ = all.at("numbers").at(2);
        anew.halted_ = all.at("halted");
        anew.halted_for_ = all.at("halted_for");
        anew.tripped_ = all.at("tripped").get<std::set<std::string>>();
        anew.found_silent_ = all.at("silent").get<std::set<std::string>>();
        anew.now_ = all.at("times").at(0);
        anew.hold_until_ = all.at("times").at(1);
    } catch (const OtherForm&) {
        throw;
    } catch (const std::exception& e) {
        throw std::runtime_error(std::string("a fleet's state that can't be read: ") + e.what());
    }
    anew.recount();
    *this = std::move(anew);
}

}  // namespace tealcart::fleet
