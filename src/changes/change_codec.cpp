// The commands and the state of changes as bytes: CBOR, with a number for the form, which goes up with every
// change that an earlier program can't read.
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "changes/change_state.hpp"

namespace tealcart::changes {
namespace {

using nlohmann::json;

constexpr int state_form = 1, command_form = 1;

json of(const Limits& l) {
    return {l.lease,       l.drift,         l.forget,   l.halt_refused,   l.halt_refused_least,
            l.max_entries, l.max_entry,     l.max_kept, l.max_kept_bytes, l.max_members,
            l.max_relays,  l.max_remembered};
}
Limits limits_of(const json& j) {
    Limits l;
    l.lease = j.at(0), l.drift = j.at(1), l.forget = j.at(2);
    l.halt_refused = j.at(3), l.halt_refused_least = j.at(4);
    l.max_entries = j.at(5), l.max_entry = j.at(6);
    l.max_kept = j.at(7), l.max_kept_bytes = j.at(8);
    l.max_members = j.at(9), l.max_relays = j.at(10), l.max_remembered = j.at(11);
    return l;
}

json of(const std::vector<MemberReport>& words) {
    json list = json::array();
    for (const MemberReport& w : words)
        list.push_back({w.name, w.incarnation, w.serve_on, w.applied_version, w.refused, w.why});
    return list;
}
std::vector<MemberReport> member_words_of(const json& j) {
    std::vector<MemberReport> words;
    for (const json& w : j) words.push_back({w.at(0), w.at(1), w.at(2), w.at(3), w.at(4), w.at(5)});
    return words;
}

using Lives = std::vector<std::pair<std::string, std::uint64_t>>;
json of(const Lives& lives) {
    json list = json::array();
    for (const auto& [name, incarnation] : lives) list.push_back(json::array({name, incarnation}));
    return list;
}
Lives lives_of(const json& j) {
    Lives lives;
    for (const json& l : j) lives.emplace_back(l.at(0), l.at(1));
    return lives;
}

json of(const RelayReport& w) {
    return json::array({w.relay, w.zone, w.incarnation, w.number, w.whole, of(w.joined), of(w.left),
                        of(w.lost), w.lowest, of(w.exceptions)});
}
RelayReport relay_word_of(const json& j) {
    return {j.at(0),           j.at(1),
            j.at(2),           j.at(3),
            j.at(4),           member_words_of(j.at(5)),
            lives_of(j.at(6)), lives_of(j.at(7)),
            j.at(8),           member_words_of(j.at(9))};
}

json entries(const std::map<std::string, std::string>& map) {
    json all = json::object();
    for (const auto& [key, value] : map) all[key] = value;
    return all;
}
std::map<std::string, std::string> entries_of(const json& j) {
    std::map<std::string, std::string> map;
    for (const auto& [key, value] : j.items()) map.emplace(key, value);
    return map;
}
using Keys = std::set<std::string>;

// Each command under a word of its own, so that none changes its meaning with the order of a list.
struct Writer {
    json operator()(const Publish& c) const {
        return {"publish", json::array({c.asker, entries(c.set), Keys(c.removed),
                                        c.based_on ? json(*c.based_on) : json(nullptr)})};
    }
    json operator()(const Rollback& c) const { return {"go_back", json::array({c.asker, c.to})}; }
    json operator()(const Resume&) const { return {"resume", json::array()}; }
    json operator()(const ReportBatch& c) const {
        json list = json::array();
        for (const RelayReport& w : c.words) list.push_back(of(w));
        return {"words", std::move(list)};
    }
    json operator()(const Forget& c) const { return {"forget", json::array({c.name})}; }
    json operator()(const SetLimits& c) const { return {"allow", of(c.limits)}; }
    json operator()(const Tick&) const { return {"tick", json::array()}; }
};

decltype(Command::what) what_of(const std::string& word, const json& j) {
    if (word == "publish") {
        Publish c{j.at(0), entries_of(j.at(1)), j.at(2).get<Keys>(), {}};
        if (!j.at(3).is_null()) c.based_on = j.at(3).get<std::uint64_t>();
        return c;
    }
    if (word == "go_back") return Rollback{j.at(0), j.at(1)};
    if (word == "resume") return Resume{};
    if (word == "words") {
        ReportBatch c;
        for (const json& w : j) c.words.push_back(relay_word_of(w));
        return c;
    }
    if (word == "forget") return Forget{j.at(0)};
    if (word == "allow") return SetLimits{limits_of(j)};
    if (word == "tick") return Tick{};
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
        check_form(all, command_form, "a command of changes");
        const json& what = all.at("what");
        return {all.at("id"), all.at("at"), what_of(what.at(0), what.at(1))};
    } catch (const json::exception& e) {
        throw std::runtime_error(std::string("a command of changes that can't be read: ") + e.what());
    }
}

std::vector<std::uint8_t> ChangeState::save() const {
    json kept = json::array(), members = json::object(), relays = json::object(), remembered = json::array();
    const auto change = [](const Change& c) { return json::array({entries(c.set), Keys(c.removed)}); };
    for (const Kept& k : kept_)
        kept.push_back({k.version, k.at, k.asker, change(k.forth), change(k.back), k.digest});
    for (const auto& [name, m] : members_) {
        json holds = json::array();
        for (const Hold& h : m.holds) holds.push_back(json::array({h.relay, h.exception}));
        members[name] = {m.incarnation, m.stated,         m.refused,    m.refused_told, m.why,
                         m.serve_on,    std::move(holds), m.held_until, m.ended,        m.left};
    }
    for (const auto& [name, r] : relays_)
        relays[name] = {r.zone, r.incarnation, r.number, r.lowest, r.lease_until, r.live};
    for (const std::string& id : came_) {
        json list = json::array();
        for (const Effect& effect : remembered_.at(id)) {
            const EffectRecord e = record_of(effect);
            list.push_back({int(e.code), e.version, e.reason, json(e.names)});
        }
        remembered.push_back({id, std::move(list)});
    }
    return json::to_cbor({{"form", state_form},
                          {"limits", of(limits_)},
                          {"document", entries(document_)},
                          {"versions", {version_, in_force_, tripped_}},
                          {"kept", std::move(kept)},
                          {"halted", halted_},
                          {"halted_for", halted_for_},
                          {"members", std::move(members)},
                          {"relays", std::move(relays)},
                          {"remembered", std::move(remembered)},
                          {"times", {now_, hold_until_}}});
}

void ChangeState::load(const std::vector<std::uint8_t>& bytes) {
    ChangeState read(limits_);
    const auto change_of = [](const json& j) { return Change{entries_of(j.at(0)), j.at(1).get<Keys>()}; };
    try {
        const json all = json::from_cbor(bytes);
        check_form(all, state_form, "a state of changes");
        read.limits_ = limits_of(all.at("limits"));
        read.document_ = entries_of(all.at("document"));
        read.digest_ = digest_of(read.document_);
        read.version_ = all.at("versions").at(0);
        read.in_force_ = all.at("versions").at(1);
        read.tripped_ = all.at("versions").at(2);
        for (const json& k : all.at("kept")) {
            read.kept_.push_back(
                {k.at(0), k.at(1), k.at(2), change_of(k.at(3)), change_of(k.at(4)), k.at(5)});
            read.kept_bytes_ += read.kept_.back().forth.bytes() + read.kept_.back().back.bytes();
        }
        read.halted_ = all.at("halted");
        read.halted_for_ = all.at("halted_for");
        for (const auto& [name, r] : all.at("relays").items()) {
            Relay& relay = read.relays_[name];
            relay.zone = r.at(0), relay.incarnation = r.at(1), relay.number = r.at(2), relay.lowest = r.at(3);
            relay.lease_until = r.at(4), relay.live = r.at(5);
        }
        for (const auto& [name, m] : all.at("members").items()) {
            Member& member = read.members_[name];
            member.incarnation = m.at(0), member.stated = m.at(1), member.refused = m.at(2);
            member.refused_told = m.at(3), member.why = m.at(4), member.serve_on = m.at(5);
            for (const json& h : m.at(6)) {
                member.holds.push_back({h.at(0), h.at(1)});
                if (!read.relays_.contains(member.holds.back().relay))
                    throw std::runtime_error("a state of changes with a relay that is not there");
            }
            member.held_until = m.at(7), member.ended = m.at(8), member.left = m.at(9);
        }
        for (const json& c : all.at("remembered")) {
            Effects effects;
            for (const json& e : c.at(1))
                effects.push_back(effect_of({static_cast<EffectCode>(e.at(0).get<int>()), e.at(1), e.at(2),
                                             e.at(3).get<std::vector<std::string>>()}));
            read.came_.push_back(c.at(0));
            read.remembered_[read.came_.back()] = std::move(effects);
        }
        read.now_ = all.at("times").at(0);
        read.hold_until_ = all.at("times").at(1);
    } catch (const json::exception& e) {
        throw std::runtime_error(std::string("a state of changes that can't be read: ") + e.what());
    }
    read.recount();
    *this = std::move(read);
}

}  // namespace tealcart::changes
