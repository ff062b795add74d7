// Changes of configuration against a slow plain model of the rules, by generated commands; and with relays
// and members on a virtual clock, under an observer who knows everything.
#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <random>

#include "changes/change_state.hpp"
#include "changes/report_aggregator.hpp"

using namespace tealcart::changes;

namespace {

constexpr Nanos second = 1'000'000'000;
constexpr Nanos before_all = INT64_MIN / 4;

// Everything is looked up anew each time, in lists; no index and no count is kept.
struct Plain {
    struct Has {
        std::string relay;
        bool exception;
    };
    struct Who {
        std::string name;
        std::uint64_t incarnation = 0, stated = 0, refused = 0, told = 0;
        Nanos lease_grace = 0, bound = before_all, ended = before_all;
        bool left = false;
        std::vector<Has> has;
    };
    struct Relay {
        std::string name;
        std::uint64_t incarnation = 0, number = 0, lowest = 0;
        Nanos lease = before_all;
        bool live = false;
    };
    struct Version {
        Document document;
    };

    Limits limits;
    std::vector<Document> versions{{}};  // by version; all are kept here
    std::vector<Who> members;
    std::vector<Relay> relays;
    std::uint64_t in_force = 0, tripped = 0;
    bool halted = false;
    Nanos now = 0, hold = 0;
    Effects effects;

    std::uint64_t version() const { return versions.size() - 1; }
    std::uint64_t agreed(std::uint64_t v) const { return v > version() ? 0 : v; }
    Who* member(const std::string& name) {
        for (Who& w : members)
            if (w.name == name) return &w;
        return nullptr;
    }
    Relay* relay(const std::string& name) {
        for (Relay& r : relays)
            if (r.name == name) return &r;
        return nullptr;
    }
    std::uint64_t applied_version(const Who& w) {
        std::uint64_t most = w.stated;
        for (const Has& h : w.has)
            if (!h.exception) most = std::max(most, relay(h.relay)->lowest);
        return most;
    }
    bool lives(const Who& w) const { return !w.left && (!w.has.empty() || now <= w.bound + limits.drift); }
    bool may_act(const Who& w) const {
        return !w.left && (lives(w) || now <= std::max(w.bound, w.ended) + w.lease_grace + limits.drift);
    }
    static bool named(const Who& w) {
        return std::any_of(w.has.begin(), w.has.end(), [](const Has& h) { return h.exception; });
    }
    // The relay has the member no more.
    void drop(Who& w, const std::string& r) {
        w.stated = applied_version(w);
        const std::size_t had = w.has.size();
        std::erase_if(w.has, [&](const Has& h) { return h.relay == r; });
        if (had > 0 && !w.has.empty() && !named(w)) w.refused = 0;
    }
    void drop_all(const Relay& r) {
        for (Who& w : members) {
            if (std::none_of(w.has.begin(), w.has.end(), [&](const Has& h) { return h.relay == r.name; }))
                continue;
            drop(w, r.name);
            w.bound = std::max(w.bound, r.lease);
        }
    }
    // A refusal of one that several relays have, or none, ends by itself once it acts on the version.
    void mend_refusals() {
        for (Who& w : members)
            if (lives(w) && w.has.size() != 1 && w.refused <= applied_version(w)) w.refused = 0;
    }

    void pass(Nanos at) {
        if (at <= now) return;
        const Nanos gap = at - now;
        if (now > 0 && gap > limits.lease / 4) {
            for (Relay& r : relays)
                if (r.live) r.lease += gap;
            for (Who& w : members)
                if (lives(w) && w.has.empty()) w.bound += gap;
            hold = at + limits.lease + limits.drift;
        }
        now = at;
        std::vector<Relay*> over;
        for (Relay& r : relays)
            if (r.live && now > r.lease + limits.drift) over.push_back(&r);
        std::sort(over.begin(), over.end(), [](const Relay* a, const Relay* b) {
            return std::pair(a->lease, a->name) < std::pair(b->lease, b->name);
        });
        for (Relay* r : over) {
            drop_all(*r);
            r->live = false;
            effects.push_back(RelayLeaseExpired{version(), r->name});
        }
        forget();
    }
    void forget() {
        std::erase_if(members, [&](const Who& w) {
            if (lives(w)) return false;
            const Nanos kept =
                w.left ? limits.forget_after : std::max(limits.forget_after, w.lease_grace + limits.drift);
            return now > std::max(w.bound, w.ended) + kept;
        });
        std::erase_if(relays, [&](const Relay& r) {
            return !r.live && now > r.lease + limits.forget_after + limits.drift;
        });
    }

    std::optional<StaleReason> fault(const RelayReport& w) {
        const Relay* r = relay(w.relay);
        if (r == nullptr) return w.full ? std::nullopt : std::optional(StaleReason::unknown_relay);
        if (w.incarnation < r->incarnation) return StaleReason::earlier_incarnation;
        if (w.incarnation == r->incarnation && w.number <= r->number) return StaleReason::overtaken;
        if (w.full) return std::nullopt;
        if (w.incarnation > r->incarnation) return StaleReason::new_incarnation;
        return r->live ? std::nullopt : std::optional(StaleReason::lease_expired);
    }
    void take(const RelayReport& w) {
        if (const auto reason = fault(w)) return effects.push_back(StaleReport{version(), w.relay, *reason});
        Relay* r = relay(w.relay);
        if (r == nullptr) r = &relays.emplace_back(Relay{w.relay, w.incarnation});
        if (w.full) drop_all(*r);
        if (!r->live || r->incarnation != w.incarnation) r->lease = before_all;
        r->incarnation = w.incarnation, r->number = w.number, r->live = true;
        r->lease = std::max(r->lease, now + limits.lease);
        for (const auto& [name, incarnation] : w.left) {
            Who* m = member(name);
            if (m == nullptr || m->incarnation != incarnation || m->left) continue;
            m->stated = applied_version(*m);
            m->has.clear();
            m->left = true, m->refused = 0, m->ended = now;
        }
        for (const auto& [name, incarnation] : w.lost) {
            Who* m = member(name);
            if (m == nullptr || m->incarnation != incarnation) continue;
            if (std::none_of(m->has.begin(), m->has.end(), [&](const Has& h) { return h.relay == w.relay; }))
                continue;
            drop(*m, w.relay);
            m->ended = std::max(m->ended, now);
        }
        r->lowest = agreed(w.lowest);
        mend_refusals();
        for (const MemberReport& j : w.joined) {
            Who* m = member(j.name);
            if (m != nullptr && j.incarnation < m->incarnation) {
                effects.push_back(StaleReport{version(), j.name, StaleReason::earlier_incarnation});
                continue;
            }
            if (m == nullptr) m = &members.emplace_back();
            if (j.incarnation > m->incarnation) *m = Who{};
            m->name = j.name, m->incarnation = j.incarnation, m->left = false, m->lease_grace = j.lease_grace;
            m->stated = std::max(m->stated, agreed(j.applied_version));
            if (std::none_of(m->has.begin(), m->has.end(), [&](const Has& h) { return h.relay == w.relay; }))
                m->has.push_back({w.relay, false});
            if (!named(*m)) m->refused = 0;
            mend_refusals();
        }
        std::set<std::string> listed;
        for (const MemberReport& e : w.exceptions) {
            Who* m = member(e.name);
            if (m == nullptr || m->incarnation != e.incarnation) continue;
            const auto has =
                std::find_if(m->has.begin(), m->has.end(), [&](const Has& h) { return h.relay == w.relay; });
            if (has == m->has.end()) continue;
            has->exception = true;
            listed.insert(e.name);
            m->stated = std::max(m->stated, agreed(e.applied_version));
            m->refused = agreed(e.refused_version) > applied_version(*m) ? e.refused_version : 0;
            if (m->refused > m->told) {
                m->told = m->refused;
                effects.push_back(MemberRefused{m->refused, e.name, e.refusal_reason});
            }
        }
        for (Who& m : members)
            for (Has& h : m.has)
                if (h.relay == w.relay && h.exception && !listed.contains(m.name)) {
                    h.exception = false;
                    if (!named(m)) m.refused = 0;
                }
        mend_refusals();
    }

    void refuse(const std::string& why, std::optional<std::string> name = std::nullopt) {
        effects.push_back(CommandRejected{version(), why, std::move(name)});
    }
    void make(const Document& next) {
        if (next == versions.back()) return refuse("nothing would change");
        versions.push_back(next);
        effects.push_back(VersionPublished{version()});
    }
    void on(const Publish& c) {
        if (halted) return refuse("halted: " + halted_for);
        if (c.based_on && *c.based_on != version())
            return refuse("based on version " + std::to_string(*c.based_on) + ", the latest is " +
                          std::to_string(version()));
        Document next = versions.back();
        for (const auto& [key, value] : c.set) next[key] = value;
        for (const std::string& key : c.removed) next.erase(key);
        make(next);
    }
    void on(const Rollback& c) {
        if (c.to == 0 || c.to > version() || c.to + limits.max_kept <= version())
            return refuse("version " + std::to_string(c.to) + " is not kept");
        make(Document(versions[c.to]));
    }
    void on(const Resume&) {
        halted = false;
        halted_for.clear();
        effects.push_back(PublishingResumed{version()});
    }
    void on(const ReportBatch& c) {
        for (const RelayReport& w : c.reports) take(w);
    }
    void on(const Forget& c) {
        const Who* m = member(c.name);
        if (m == nullptr) return refuse("no such member", c.name);
        if (lives(*m)) return refuse("its lease is not over", c.name);
        std::erase_if(members, [&](const Who& w) { return w.name == c.name; });
        effects.push_back(MemberForgotten{version(), c.name});
    }
    void on(const SetLimits& c) {
        limits = c.limits;
        Effects kept = effects;
        const Nanos at = now;
        now = at - 1;
        limits.lease = INT64_MAX / 8;  // no gap
        pass(at);
        limits = c.limits;
    }
    void on(const Tick&) {}

    Effects apply(const Command& c) {
        effects.clear();
        pass(c.proposed_at);
        std::visit([this](const auto& payload) { on(payload); }, c.payload);
        std::size_t live = 0, refusing = 0;
        std::uint64_t least = version();
        std::vector<std::string> names;
        for (const Who& w : members) {
            if (!lives(w)) continue;
            ++live;
            refusing += w.refused > 0 && w.refused == version();
            least = std::min(least, applied_version(w));
        }
        if (tripped != version() && refusing > 0 && refusing >= limits.halt_min_refusals &&
            static_cast<double>(refusing) > limits.halt_refused_share * static_cast<double>(live)) {
            tripped = version();
            halted = true;
            halted_for = std::to_string(refusing) + " of " + std::to_string(live) +
                         " members refuse version " + std::to_string(version());
            effects.push_back(PublishingHalted{version(), halted_for});
        }
        if (now >= hold && least > in_force) {
            in_force = least;
            for (const Who& w : members)
                if (!lives(w) && may_act(w) && w.stated < least) names.push_back(w.name);
            std::sort(names.begin(), names.end());
            effects.push_back(AppliedEverywhere{least, names});
        }
        return effects;
    }
    std::string halted_for;
};

Limits limits_of_test() {
    Limits l;
    l.lease = 12 * second, l.drift = second, l.forget_after = 30 * second;
    l.halt_refused_share = 0.2, l.halt_min_refusals = 1;
    l.max_kept = 6;
    return l;
}

using Random = std::knuth_b;
int below(Random& random, int n) { return static_cast<int>(random() % static_cast<std::uint64_t>(n)); }

// ReportBatch that no ReportAggregator would say are among them: what is stated need not fit together.
struct Generator {
    explicit Generator(std::uint64_t seed) : random(seed) {}

    MemberReport member_word(std::uint64_t version) {
        MemberReport w{"m" + std::to_string(below(random, 9)), 1, below(random, 4) * 10 * second, 0, 0, ""};
        std::uint64_t& incarnation = lives[w.name];
        if (incarnation == 0 || below(random, 12) == 0) ++incarnation;
        w.incarnation = below(random, 10) == 0 && incarnation > 1 ? incarnation - 1 : incarnation;
        w.applied_version =
            version - std::min<std::uint64_t>(version, static_cast<std::uint64_t>(below(random, 4)));
        if (below(random, 25) == 0) w.applied_version = version + 3;
        if (below(random, 3) == 0) w.refused_version = version, w.refusal_reason = "no";
        return w;
    }
    RelayReport relay_word(std::uint64_t version) {
        RelayReport w;
        // At any time one of them is silent.
        w.relay = "r" + std::to_string((now / (40 * second) + 1 + below(random, 3)) % 4);
        w.zone = "z";
        auto& [incarnation, number, first] = relays[w.relay];
        if (incarnation == 0 || below(random, 25) == 0) ++incarnation, number = 0, first = true;
        w.incarnation = incarnation;
        w.number = below(random, 12) == 0 ? number : ++number;
        w.full = std::exchange(first, false) || below(random, 8) == 0;
        for (int i = below(random, 4); i > 0; --i) w.joined.push_back(member_word(version));
        for (int i = below(random, 2); i > 0; --i) {
            const MemberReport m = member_word(version);
            (below(random, 3) == 0 ? w.left : w.lost).emplace_back(m.name, m.incarnation);
        }
        const auto behind = static_cast<std::uint64_t>(below(random, 3));
        w.lowest = version - std::min(version, behind);
        for (int i = below(random, 5); i > 0; --i) w.exceptions.push_back(member_word(version));
        return w;
    }
    Command next(const ChangeState& state) {
        Command c{"", now, Tick{}};
        const std::uint64_t v = state.version();
        switch (below(random, 24)) {
            case 0:
            case 1: {
                Publish p{"ann", {}, {}, {}};
                p.set["k" + std::to_string(below(random, 5))] = std::to_string(below(random, 3));
                if (below(random, 3) == 0) p.removed.insert("l" + std::to_string(below(random, 3)));
                if (below(random, 3) == 0) p.set["l" + std::to_string(3 + below(random, 3))] = "x";
                if (below(random, 4) == 0)
                    p.based_on = v - static_cast<std::uint64_t>(v > 0 && below(random, 2));
                c.payload = p;
                if (below(random, 2) == 0) c.id = "p" + std::to_string(below(random, 40));
                break;
            }
            case 2:
                c.payload =
                    Rollback{"bob", static_cast<std::uint64_t>(below(random, static_cast<int>(v) + 2))};
                break;
            case 3:
                c.payload = Resume{};
                break;
            case 4:
                c.payload = Forget{"m" + std::to_string(below(random, 9))};
                break;
            case 5: {
                if (below(random, 4) != 0) break;
                Limits l = limits_of_test();
                l.drift = (1 + below(random, 3)) * second;
                l.lease = (10 + below(random, 4)) * second;
                l.forget_after = (20 + below(random, 20)) * second;
                c.payload = SetLimits{l};
                break;
            }
            case 6:
            case 7:
            case 8:
            case 9:
            case 10:
                now += (1 + below(random, 2)) * second;
                if (below(random, 40) == 0) now += below(random, 30) * second;
                if (below(random, 20) == 0) now -= second;
                c.proposed_at = now;
                break;
            default: {
                ReportBatch words;
                for (int i = 1 + below(random, 2); i > 0; --i) words.reports.push_back(relay_word(v));
                c.payload = std::move(words);
            }
        }
        return c;
    }

    struct Of {
        std::uint64_t incarnation = 0, number = 0;
        bool first = true;
    };
    Random random;
    Nanos now = 1000 * second;
    std::map<std::string, std::uint64_t> lives;
    std::map<std::string, Of> relays;
};

void compare(const ChangeState& state, Plain& plain) {
    REQUIRE(state.version() == plain.version());
    REQUIRE(state.applied_everywhere() == plain.in_force);
    REQUIRE(state.halted() == plain.halted);
    REQUIRE(state.document() == plain.versions.back());
    REQUIRE(state.digest() == digest_of(plain.versions.back()));
    REQUIRE(state.members() == plain.members.size());
    for (const std::uint64_t v :
         {state.version(), state.applied_everywhere(), state.applied_everywhere() + 1}) {
        RolloutProgress want;
        for (Plain::Who& w : plain.members) {
            const std::uint64_t acts = plain.applied_version(w);
            if (!plain.lives(w)) {
                if (acts < v && plain.may_act(w)) want.unacknowledged.push_back(w.name);
                continue;
            }
            ++want.live;
            want.applied += acts >= v;
            if (acts < v) want.behind.push_back(w.name);
            if (w.refused > 0) want.refusing.push_back(w.name);
        }
        const RolloutProgress is = state.progress(v, 100);
        REQUIRE(is.live == want.live);
        REQUIRE(is.applied == want.applied);
        for (auto* list : {&want.behind, &want.refusing, &want.unacknowledged})
            std::sort(list->begin(), list->end());
        REQUIRE(is.behind == want.behind);
        REQUIRE(is.refusing == want.refusing);
        REQUIRE(is.unacknowledged == want.unacknowledged);
    }
    // What leads from each version to the latest, as far as it is kept.
    for (std::uint64_t v = 0; v <= state.version(); ++v) {
        const auto delta = state.since(v);
        REQUIRE(delta.has_value() == (v + state.limits().max_kept >= state.version()));
        if (!delta) continue;
        Document document = plain.versions[v];
        for (const auto& [key, value] : delta->set) document[key] = value;
        for (const std::string& key : delta->removed) document.erase(key);
        REQUIRE(document == state.document());
        REQUIRE(delta->digest == state.digest());
    }
}

}  // namespace

TEST_CASE("generated commands give what the plain model of changes gives, on each replica") {
    std::map<std::size_t, std::size_t> told;
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        CAPTURE(seed);
        Generator generator(seed);
        ChangeState state(limits_of_test()), other(limits_of_test());
        Plain plain;
        plain.limits = limits_of_test();
        std::map<std::string, std::vector<Effect>> came;
        for (int step = 0; step < 600; ++step) {
            CAPTURE(step);
            const Command c = generator.next(state);
            const Effects effects = state.apply(c);
            // One that comes twice is one, on whichever replica; a later one with its id is taken for it.
            const auto [known, is_new] = came.emplace(c.id, effects);
            if (!is_new && !c.id.empty()) {
                REQUIRE(effects == known->second);
            } else {
                const Effects want = plain.apply(c);
                REQUIRE(effects == want);
                for (const Effect& e : effects) ++told[e.index()];
            }
            const auto bytes = write_command(c);
            REQUIRE(other.apply(read_command(bytes.data(), bytes.size())) == effects);
            if (step % 7 == 0) {
                ChangeState read{Limits{}};
                read.load(other.save());
                other = std::move(read);
            }
            if (step % 5 == 0) {
                REQUIRE(other.save() == state.save());
                compare(state, plain);
            }
        }
    }
    // The runs go through all of it.
    for (std::size_t kind = 0; kind < std::variant_size_v<Effect>; ++kind) {
        CAPTURE(kind);
        CHECK(told[kind] > 50);
    }
}

namespace {

// Relays, members and managers on a virtual clock. Every message may be late, lost, or come twice; each
// process has a clock of its own that runs up to 3% wrong, which with the leases here stays below `drift`.
struct World {
    static constexpr Nanos step = 100'000'000, lease = 10 * second, drift = second, lease_grace = 4 * second;
    static constexpr int all_relays = 3, all_members = 9;

    struct RelayAt {
        std::string name;
        std::uint64_t incarnation = 0, knows = 0;  // the version
        std::optional<ReportAggregator> gather;    // none: it is down
        double rate = 1;
        Nanos cut_until = 0, says_at = 0;
        Nanos clock(Nanos now) const { return static_cast<Nanos>(static_cast<double>(now) * rate); }
    };
    struct MemberAt {
        std::string name;
        bool runs = false;
        std::uint64_t incarnation = 0, applied_version = 0, refused = 0, turn = 0;
        int relay = 0;
        double rate = 1;
        Nanos lease_until = before_all, paused_until = 0, says_at = 0, heard_at = 0, comes_at = 0;
        bool had_lease = false;
        Nanos clock(Nanos now) const { return static_cast<Nanos>(static_cast<double>(now) * rate); }
        MemberReport word() const {
            return {name, incarnation, lease_grace, applied_version, refused > applied_version ? refused : 0,
                    "no"};
        }
    };

    explicit World(std::uint64_t seed)
        : random(seed), state([] {
              Limits l;
              l.lease = lease, l.drift = drift, l.forget_after = 20 * second;
              l.halt_refused_share = 0.4;
              return l;
          }()) {
        for (int i = 0; i < all_relays; ++i) relays.emplace_back().name = "r" + std::to_string(i);
        for (int i = 0; i < all_members; ++i) members.push_back({"m" + std::to_string(i)});
        for (RelayAt& r : relays) start(r);
        for (MemberAt& m : members) m.comes_at = now + below(random, 40) * step;
    }

    double some_rate() { return 0.97 + 0.06 * below(random, 1001) / 1000.0; }
    void start(RelayAt& r) {
        r.gather.emplace(r.name, "z", ++r.incarnation, 6, 2);
        r.rate = some_rate();
        r.knows = 0;
    }
    void start(MemberAt& m) {
        m = {m.name, true, m.incarnation + 1};
        m.rate = some_rate();
        m.relay = below(random, all_relays);
        m.turn = ++turns;
        m.heard_at = now;
    }
    Nanos delay() { return below(random, 30) == 0 ? below(random, 60) * step : below(random, 5) * step; }
    void send(std::function<void()> what) {
        if (faults && below(random, 20) == 0) return;
        if (faults && below(random, 30) == 0) messages.emplace(now + delay(), what);
        messages.emplace(now + delay(), std::move(what));
    }

    // The member's call, and the relay's answer.
    void member_says(MemberAt& m) {
        m.says_at = now + (5 + below(random, 6)) * step;
        const Nanos sent = m.clock(now);
        const auto who = static_cast<std::size_t>(&m - members.data());
        const auto at = static_cast<std::size_t>(m.relay);
        send([this, who, at, word = m.word(), sent, turn = m.turn] {
            RelayAt& r = relays[at];
            if (!r.gather || !r.gather->record_report(r.clock(now), word)) return;
            const Nanos grant = r.gather->grant_lease(r.clock(now), word.name);
            send([this, who, sent, turn, grant, latest = r.knows] {
                MemberAt& to = members[who];
                if (!to.runs || to.turn != turn || to.paused_until > now) return;
                to.heard_at = now;
                if (grant > 0) {
                    to.lease_until = std::max(to.lease_until, sent + grant);
                    to.had_lease = true;
                }
                if (latest <= to.applied_version || to.refused == latest) return;
                if (faults && below(random, 25) == 0)
                    to.refused = latest;
                else if (below(random, 3) != 0)
                    to.applied_version = latest;
            });
        });
    }
    void relay_says(RelayAt& r) {
        r.says_at = now + (5 + below(random, 10)) * step;
        const RelayReport word = r.gather->next_report(r.clock(now), drift);
        if (r.cut_until > now) return;
        const auto at = static_cast<std::size_t>(&r - relays.data());
        send([this, at, word, sent = r.clock(now), incarnation = r.incarnation] {
            if (no_leader_until > now) return;
            apply(ReportBatch{{word}});
            const std::uint64_t last = state.last_number(word.relay, incarnation);
            send([this, at, incarnation, number = word.number, last, sent, latest = state.version()] {
                RelayAt& to = relays[at];
                if (!to.gather || to.incarnation != incarnation || to.cut_until > now) return;
                if (last >= number)
                    to.gather->acknowledge(number, sent, lease);
                else
                    to.gather->require_full_report();
                to.knows = std::max(to.knows, latest);
            });
        });
    }

    template <typename What>
    void apply(What what) {
        for (const Effect& e : state.apply({"", now + offset, std::move(what)})) {
            if (std::holds_alternative<PublishingHalted>(e)) halted = true;
            const auto* applied = std::get_if<AppliedEverywhere>(&e);
            if (applied == nullptr) continue;
            ++in_force, named += applied->may_lag.size();
            for (const MemberAt& m : members) {
                if (!m.runs || m.applied_version >= applied->version || !m.had_lease) continue;
                CAPTURE(m.name, applied->version, m.applied_version);
                REQUIRE(m.clock(now) > m.lease_until);
                const bool may_act = m.clock(now) <= m.lease_until + lease_grace;
                REQUIRE((!may_act ||
                         std::binary_search(applied->may_lag.begin(), applied->may_lag.end(), m.name)));
            }
        }
    }

    void turn() {
        now += step;
        while (!messages.empty() && messages.begin()->first <= now) {
            const auto what = std::move(messages.begin()->second);
            messages.erase(messages.begin());
            what();
        }
        if (faults) play_faults();
        for (RelayAt& r : relays)
            if (r.gather && r.says_at <= now) relay_says(r);
        for (MemberAt& m : members) {
            if (!m.runs && m.comes_at <= now) start(m);
            if (!m.runs || m.paused_until > now) continue;
            if (now - m.heard_at > 4 * second) {
                m.relay = below(random, all_relays);
                m.turn = ++turns;
                m.heard_at = now;
            }
            if (m.says_at <= now) member_says(m);
        }
        if (no_leader_until <= now) {
            if (std::exchange(halted, false) && state.halted()) apply(Resume{});
            if (publishes && below(random, 25) == 0)
                apply(Publish{"ann", {{"k", std::to_string(++published)}}, {}, {}});
            else
                apply(Tick{});
        }
        // Who holds a lease by its own clock lives, as the managers see it.
        const RolloutProgress progress = state.progress(UINT64_MAX, 1000);
        for (const MemberAt& m : members) {
            if (!m.runs || m.clock(now) > m.lease_until) continue;
            CAPTURE(m.name);
            REQUIRE(std::binary_search(progress.behind.begin(), progress.behind.end(), m.name));
        }
    }

    void play_faults() {
        for (RelayAt& r : relays) {
            if (!r.gather) {
                if (below(random, 40) == 0) start(r);
            } else if (below(random, 400) == 0) {
                r.gather.reset();
                if (below(random, 2) == 0) start(r);
            } else if (below(random, 500) == 0) {
                r.cut_until = now + below(random, 200) * step;
            }
        }
        for (MemberAt& m : members) {
            if (!m.runs) continue;
            const int what = below(random, 3000);
            if (what < 8) {
                m.paused_until = now + below(random, 200) * step;
            } else if (what < 14) {
                m.relay = below(random, all_relays);
                m.turn = ++turns;
            } else if (what < 18) {
                m.runs = false;
                m.comes_at = now + below(random, 100) * step;
                if (below(random, 2) == 0)
                    send([this, at = static_cast<std::size_t>(m.relay), name = m.name,
                          incarnation = m.incarnation] {
                        if (relays[at].gather) relays[at].gather->record_leave(name, incarnation);
                    });
            }
        }
        if (no_leader_until <= now && below(random, 600) == 0) {
            no_leader_until = now + below(random, 150) * step;
            offset -= below(random, 4) * step;
        }
    }

    Random random;
    ChangeState state;
    Nanos now = 1000 * second, offset = 0, no_leader_until = 0;
    std::vector<RelayAt> relays;
    std::vector<MemberAt> members;
    std::multimap<Nanos, std::function<void()>> messages;
    std::uint64_t turns = 0, published = 0;
    std::size_t in_force = 0, named = 0;
    bool faults = true, publishes = true, halted = false;
};

}  // namespace

TEST_CASE("no version is told in force while a member whose lease holds acts on an earlier one") {
    std::size_t in_force = 0, named = 0, published = 0;
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        CAPTURE(seed);
        World world(seed);
        for (int i = 0; i < 3000; ++i) world.turn();
        // Without faults all that is published comes through.
        world.faults = false;
        for (auto& relay : world.relays)
            if (!relay.gather) world.start(relay);
        for (int i = 0; i < 200; ++i) world.turn();
        world.apply(Publish{"ann", {{"last", "1"}}, {}, {}});
        world.publishes = false;
        for (int i = 0; i < 300; ++i) world.turn();
        CHECK(world.state.applied_everywhere() == world.state.version());
        in_force += world.in_force, named += world.named, published += world.state.version();
    }
    CHECK(in_force > 1000);
    CHECK(named > 100);
    CHECK(published > 5000);
}
