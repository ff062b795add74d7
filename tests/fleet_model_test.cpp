// The fleet's state machine against a slow plain model of the design page, by generated commands that are
// made small again where they differ.
#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdlib>

#include "fleet/fleet_state.hpp"
#include "fleet_recount.hpp"

using namespace tealcart::fleet;

namespace {

constexpr Nanos second = 1'000'000'000;
constexpr int nodes = 6, routers = 4, width = 3;

struct Op {
    int what = 0, who = 0, how = 0;
};

std::ostream& operator<<(std::ostream& out, const Op& op) {
    return out << '{' << op.what << ' ' << op.who << ' ' << op.how << '}';
}

std::string node_name(int n) { return "n" + std::to_string(n % nodes); }
std::string router_name(int r) { return "r" + std::to_string(r % routers); }

Budgets budgets() {
    Budgets b;
    b.nodes = {2, 1};
    b.min_holders = 2;
    b.routers = {1, 1};
    b.lease = 20 * second, b.drift = second, b.forget_after = 40 * second;
    return b;
}

// Everything is looked up anew each time, in lists; no index, nothing kept beside what is meant.
struct Plain {
    struct Req {
        std::uint64_t id, generation;
        Target target;
        Stage stage;
        bool out;
    };
    struct Who {
        std::string name;
        std::uint64_t incarnation, applied_generation;
        Nanos lease_until;
        bool left;
        std::set<Target> in_flight;
    };
    std::vector<Req> reqs;
    std::vector<Who> members;
    std::map<std::string, Health> health;
    std::uint64_t generation = 0, last = 0;
    bool halted = false;
    Nanos now = 0;

    Who* member(const std::string& name) {
        for (Who& w : members)
            if (w.name == name) return &w;
        return nullptr;
    }
    bool over(const Who& w) const { return now > w.lease_until + second; }
    bool out(const Target& t) const {
        return std::any_of(reqs.begin(), reqs.end(), [&](const Req& r) { return r.target == t && r.out; });
    }
    bool is_out(const Target& t) {
        if (out(t)) return true;
        if (!t.router) return health.at(t.name) != Health::healthy;
        const Who* w = member(t.name);
        return w == nullptr || over(*w);
    }
    bool may_go(const Target& t) {
        const bool more = !is_out(t);
        std::size_t n = 0;
        if (t.router) {
            for (const Who& w : members) n += is_out({true, w.name});
            return n + more <= 1;
        }
        for (const auto& [name, h] : health) n += is_out({false, name});
        if (n + more > 2) return false;
        const int self = std::stoi(t.name.substr(1));
        for (int j = 0; j < width; ++j) {
            const int shard = (self + nodes - j) % nodes;
            int whole = 0;
            for (int k = 0; k < width; ++k) {
                const std::string holder = node_name(shard + k);
                whole += holder != t.name && !is_out({false, holder});
            }
            if (whole < 2) return false;
        }
        return true;
    }
    void settle() {
        std::erase_if(members, [&](const Who& w) {
            return over(w) && now - w.lease_until > 40 * second && !out({true, w.name});
        });
        for (Req& r : reqs)
            if (r.stage == Stage::granted && std::all_of(members.begin(), members.end(), [&](const Who& w) {
                    return over(w) ||
                           (w.applied_generation >= r.generation && !w.in_flight.contains(r.target));
                }))
                r.stage = Stage::done;
        const auto comes = [&](const Req& r) {
            if (r.target.router) {
                const Who* w = member(r.target.name);
                return w != nullptr && !over(*w) && w->applied_generation < r.generation;
            }
            const Health h = health.at(r.target.name);
            return h != Health::gone && h != Health::healthy;
        };
        bool waits = false;
        for (Req& r : reqs) {
            if (r.stage != Stage::returning || r.out) continue;
            if (comes(r))
                waits = true;
            else
                r.stage = Stage::ended;
        }
        for (auto r = reqs.rbegin(); r != reqs.rend() && !waits; ++r) {
            if (r->stage != Stage::returning || !r->out) continue;
            r->out = false;
            r->generation = ++generation;
            if (comes(*r))
                waits = true;
            else
                r->stage = Stage::ended;
        }
        std::erase_if(reqs, [](const Req& r) { return r.stage == Stage::ended; });
        bool stuck[2] = {halted, halted};
        for (Req& r : reqs) {
            if (r.stage != Stage::queued || stuck[r.target.router]) continue;
            if (!may_go(r.target)) {
                stuck[r.target.router] = true;
                continue;
            }
            r.stage = Stage::granted;
            r.out = true;
            r.generation = ++generation;
        }
    }
};

void compare(const FleetState& state, Plain& plain) {
    RC_ASSERT(state.generation() == plain.generation);
    RC_ASSERT(state.halted() == plain.halted);
    RC_ASSERT(state.requests().size() == plain.reqs.size());
    for (const Plain::Req& r : plain.reqs) {
        const Request& is = state.requests().at(r.id);
        RC_ASSERT(is.target == r.target);
        RC_ASSERT(int(is.stage) == int(r.stage));
        RC_ASSERT(state.is_removed(r.target) == r.out);
    }
    RC_ASSERT(state.members().size() == plain.members.size());
}

}  // namespace

namespace rc {
template <>
struct Arbitrary<Op> {
    static Gen<Op> arbitrary() {
        return gen::build<Op>(gen::set(&Op::what, gen::inRange(0, 14)),
                              gen::set(&Op::who, gen::inRange(0, 24)),
                              gen::set(&Op::how, gen::inRange(0, 8)));
    }
};
}  // namespace rc

TEST_CASE("any commands give what the plain model gives") {
    ::setenv("RC_PARAMS", "seed=20 max_success=400 max_size=200", 1);  // the same runs each time
    std::size_t granted = 0, done = 0, back = 0;
    const bool held = rc::check([&](const std::vector<Op>& ops) {
        FleetState state(budgets());
        Plain plain;
        Nanos now = 1000 * second;
        std::map<std::string, Node> all;
        for (int n = 0; n < nodes; ++n) {
            Node& node = all[node_name(n)];
            node = {"a", "m", {}, Health::healthy, 0};
            for (int j = 0; j < width; ++j)
                node.shards.push_back(static_cast<std::uint32_t>((n + nodes - j) % nodes));
            plain.health[node_name(n)] = Health::healthy;
        }
        state.apply({"", now, EndpointsObserved{all}});
        plain.now = now;
        std::map<std::string, std::uint64_t> lives;
        for (const Op& op : ops) {
            const std::string router = router_name(op.who), node = node_name(op.who);
            const Target target = op.how == 0 ? Target{true, router} : Target{false, node};
            const std::uint64_t incarnation = lives[router];
            Command c{"", now, Tick{}};
            Plain::Who* who = plain.member(router);
            switch (op.what) {
                case 0:
                    c.payload = Join{router, Role::router, "a", "1", "d", ++lives[router]};
                    if (who == nullptr) who = &plain.members.emplace_back();
                    *who = {router, incarnation + 1, 0, now + 20 * second, false, {}};
                    break;
                case 1:
                case 2:
                case 3: {
                    // What it acts on: all, or one behind; with work in hand at a node, or none.
                    const std::uint64_t acts =
                        op.how % 2 == 0 || plain.generation == 0 ? plain.generation : plain.generation - 1;
                    const std::set<Target> hand =
                        op.how == 7 ? std::set<Target>{{false, node}} : std::set<Target>{};
                    c.payload = Renew{router, incarnation, {acts, hand, {}, 0, 0}};
                    if (who == nullptr || who->left) break;
                    who->lease_until = now + 20 * second;
                    if (acts >= who->applied_generation)
                        who->applied_generation = acts, who->in_flight = hand;
                    break;
                }
                case 4:
                    c.payload = Leave{router, incarnation};
                    if (who == nullptr) break;
                    who->left = true, who->in_flight.clear(), who->applied_generation = 0;
                    who->lease_until = std::min(who->lease_until, now - second - 1);
                    break;
                case 5:
                case 6:
                case 7: {
                    c.payload = RequestRemoval{"ann", target};
                    const bool open = std::any_of(plain.reqs.begin(), plain.reqs.end(),
                                                  [&](const auto& r) { return r.target == target; });
                    if (open || (target.router && who == nullptr)) break;
                    plain.reqs.push_back({++plain.last, 0, target, Stage::queued, false});
                    break;
                }
                case 8:
                case 9: {
                    if (plain.reqs.empty()) break;
                    auto& r = plain.reqs[static_cast<std::size_t>(op.who) % plain.reqs.size()];
                    c.payload = UndoRemoval{r.id};
                    r.stage = r.stage == Stage::queued ? Stage::ended : Stage::returning;
                    break;
                }
                case 10:
                case 11:
                    all[node].health = plain.health[node] = static_cast<Health>(op.how % 4);
                    c.payload = EndpointsObserved{{{node, all[node]}}, false, {}};
                    break;
                case 12:
                    now += op.how * second / 2;
                    plain.now = c.proposed_at = now;
                    break;
                default:
                    if (op.how == 0) c.payload = Halt{"a person"}, plain.halted = true;
                    if (op.how > 3) c.payload = Resume{}, plain.halted = false;
            }
            for (const tealcart::fleet::Effect& e : state.apply(c)) {
                granted += std::holds_alternative<RemovalGranted>(e);
                done += std::holds_alternative<RemovalDone>(e);
                back += std::holds_alternative<TargetReturned>(e);
            }
            plain.settle();
            compare(state, plain);
            RC_ASSERT(kept_counts(state) == recount(state));
        }
    });
    CHECK(held);
    // The runs go through all of it.
    CHECK(granted > 500);
    CHECK(done > 100);
    CHECK(back > 100);
}
