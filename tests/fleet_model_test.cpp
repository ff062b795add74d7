// Compares the fleet's state machine with a slow and simple reference model, over generated commands.
// RapidCheck shrinks a sequence of commands for which they differ.
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

// One generated command: its kind, the node or router it is about, and a variant of it.
struct Operation {
    int kind = 0, subject = 0, variant = 0;
};

std::ostream& operator<<(std::ostream& out, const Operation& operation) {
    return out << '{' << operation.kind << ' ' << operation.subject << ' ' << operation.variant << '}';
}

std::string node_name(int n) { return "n" + std::to_string(n % nodes); }
std::string router_name(int r) { return "r" + std::to_string(r % routers); }

Budgets model_budgets() {
    Budgets budgets;
    budgets.nodes = {2, 1};
    budgets.min_holders = 2;
    budgets.routers = {1, 1};
    budgets.lease = 20 * second, budgets.drift = second, budgets.forget_after = 40 * second;
    return budgets;
}

// The reference model. It looks everything up in lists each time and maintains no index or count.
struct ReferenceModel {
    // A request for a removal; `out`: its target is removed.
    struct ModelRequest {
        std::uint64_t id, generation;
        Target target;
        Stage stage;
        bool out;
    };
    // A router with its latest report.
    struct ModelMember {
        std::string name;
        std::uint64_t incarnation, applied_generation;
        Nanos lease_until;
        bool left;
        std::set<Target> in_flight;
    };
    std::vector<ModelRequest> requests;
    std::vector<ModelMember> members;
    std::map<std::string, Health> health;
    std::uint64_t generation = 0, last_request = 0;
    bool halted = false;
    Nanos now = 0;

    ModelMember* find_member(const std::string& name) {
        for (ModelMember& member : members)
            if (member.name == name) return &member;
        return nullptr;
    }
    bool lease_expired(const ModelMember& member) const { return now > member.lease_until + second; }
    bool is_removed(const Target& target) const {
        return std::any_of(requests.begin(), requests.end(), [&](const ModelRequest& request) {
            return request.target == target && request.out;
        });
    }
    bool is_out(const Target& target) {
        if (is_removed(target)) return true;
        if (!target.router) return health.at(target.name) != Health::healthy;
        const ModelMember* member = find_member(target.name);
        return member == nullptr || lease_expired(*member);
    }
    bool within_budgets(const Target& target) {
        const bool adds_one = !is_out(target);
        std::size_t out_count = 0;
        if (target.router) {
            for (const ModelMember& member : members) out_count += is_out({true, member.name});
            return out_count + adds_one <= 1;
        }
        for (const auto& [name, node_health] : health) out_count += is_out({false, name});
        if (out_count + adds_one > 2) return false;
        const int node_index = std::stoi(target.name.substr(1));
        for (int offset = 0; offset < width; ++offset) {
            const int shard = (node_index + nodes - offset) % nodes;
            int healthy_holders = 0;
            for (int holder_offset = 0; holder_offset < width; ++holder_offset) {
                const std::string holder = node_name(shard + holder_offset);
                healthy_holders += holder != target.name && !is_out({false, holder});
            }
            if (healthy_holders < 2) return false;
        }
        return true;
    }
    void advance() {
        std::erase_if(members, [&](const ModelMember& member) {
            return lease_expired(member) && now - member.lease_until > 40 * second &&
                   !is_removed({true, member.name});
        });
        for (ModelRequest& request : requests)
            if (request.stage == Stage::granted &&
                std::all_of(members.begin(), members.end(), [&](const ModelMember& member) {
                    return lease_expired(member) || (member.applied_generation >= request.generation &&
                                                     !member.in_flight.contains(request.target));
                }))
                request.stage = Stage::done;
        const auto is_returning = [&](const ModelRequest& request) {
            if (request.target.router) {
                const ModelMember* member = find_member(request.target.name);
                return member != nullptr && !lease_expired(*member) &&
                       member->applied_generation < request.generation;
            }
            const Health current = health.at(request.target.name);
            return current != Health::gone && current != Health::healthy;
        };
        bool return_pending = false;
        for (ModelRequest& request : requests) {
            if (request.stage != Stage::returning || request.out) continue;
            if (is_returning(request))
                return_pending = true;
            else
                request.stage = Stage::ended;
        }
        for (auto request = requests.rbegin(); request != requests.rend() && !return_pending; ++request) {
            if (request->stage != Stage::returning || !request->out) continue;
            request->out = false;
            request->generation = ++generation;
            if (is_returning(*request))
                return_pending = true;
            else
                request->stage = Stage::ended;
        }
        std::erase_if(requests, [](const ModelRequest& request) { return request.stage == Stage::ended; });
        bool blocked[2] = {halted, halted};
        for (ModelRequest& request : requests) {
            if (request.stage != Stage::queued || blocked[request.target.router]) continue;
            if (!within_budgets(request.target)) {
                blocked[request.target.router] = true;
                continue;
            }
            request.stage = Stage::granted;
            request.out = true;
            request.generation = ++generation;
        }
    }
};

void compare(const FleetState& state, ReferenceModel& model) {
    RC_ASSERT(state.generation() == model.generation);
    RC_ASSERT(state.halted() == model.halted);
    RC_ASSERT(state.requests().size() == model.requests.size());
    for (const ReferenceModel::ModelRequest& expected : model.requests) {
        const Request& request = state.requests().at(expected.id);
        RC_ASSERT(request.target == expected.target);
        RC_ASSERT(int(request.stage) == int(expected.stage));
        RC_ASSERT(state.is_removed(expected.target) == expected.out);
    }
    RC_ASSERT(state.members().size() == model.members.size());
}

}  // namespace

namespace rc {
template <>
struct Arbitrary<Operation> {
    static Gen<Operation> arbitrary() {
        return gen::build<Operation>(gen::set(&Operation::kind, gen::inRange(0, 14)),
                                     gen::set(&Operation::subject, gen::inRange(0, 24)),
                                     gen::set(&Operation::variant, gen::inRange(0, 8)));
    }
};
}  // namespace rc

TEST_CASE("generated commands give the same state as the reference model") {
    // A fixed seed, so that every run is the same.
    ::setenv("RC_PARAMS", "seed=20 max_success=400 max_size=200", 1);
    std::size_t granted = 0, done = 0, returned = 0;
    const bool passed = rc::check([&](const std::vector<Operation>& operations) {
        FleetState state(model_budgets());
        ReferenceModel model;
        Nanos now = 1000 * second;
        std::map<std::string, Node> node_list;
        for (int n = 0; n < nodes; ++n) {
            Node& node = node_list[node_name(n)];
            node = {"a", "m", {}, Health::healthy, 0};
            for (int offset = 0; offset < width; ++offset)
                node.shards.push_back(static_cast<std::uint32_t>((n + nodes - offset) % nodes));
            model.health[node_name(n)] = Health::healthy;
        }
        state.apply({"", now, EndpointsObserved{node_list}});
        model.now = now;
        std::map<std::string, std::uint64_t> incarnations;
        for (const Operation& operation : operations) {
            const std::string router = router_name(operation.subject), node = node_name(operation.subject);
            const Target target = operation.variant == 0 ? Target{true, router} : Target{false, node};
            const std::uint64_t incarnation = incarnations[router];
            Command command{"", now, Tick{}};
            ReferenceModel::ModelMember* member = model.find_member(router);
            switch (operation.kind) {
                case 0:
                    command.payload = Join{router, Role::router, "a", "1", "d", ++incarnations[router]};
                    if (member == nullptr) member = &model.members.emplace_back();
                    *member = {router, incarnation + 1, 0, now + 20 * second, false, {}};
                    break;
                case 1:
                case 2:
                case 3: {
                    // It has applied the latest generation or the one before, with or without requests in
                    // flight at a node.
                    const std::uint64_t applied_generation =
                        operation.variant % 2 == 0 || model.generation == 0 ? model.generation
                                                                            : model.generation - 1;
                    const std::set<Target> in_flight =
                        operation.variant == 7 ? std::set<Target>{{false, node}} : std::set<Target>{};
                    command.payload = Renew{router, incarnation, {applied_generation, in_flight, {}, 0, 0}};
                    if (member == nullptr || member->left) break;
                    member->lease_until = now + 20 * second;
                    if (applied_generation >= member->applied_generation)
                        member->applied_generation = applied_generation, member->in_flight = in_flight;
                    break;
                }
                case 4:
                    command.payload = Leave{router, incarnation};
                    if (member == nullptr) break;
                    member->left = true, member->in_flight.clear(), member->applied_generation = 0;
                    member->lease_until = std::min(member->lease_until, now - second - 1);
                    break;
                case 5:
                case 6:
                case 7: {
                    command.payload = RequestRemoval{"ann", target};
                    const bool open =
                        std::any_of(model.requests.begin(), model.requests.end(),
                                    [&](const auto& request) { return request.target == target; });
                    if (open || (target.router && member == nullptr)) break;
                    model.requests.push_back({++model.last_request, 0, target, Stage::queued, false});
                    break;
                }
                case 8:
                case 9: {
                    if (model.requests.empty()) break;
                    auto& request =
                        model.requests[static_cast<std::size_t>(operation.subject) % model.requests.size()];
                    command.payload = UndoRemoval{request.id};
                    request.stage = request.stage == Stage::queued ? Stage::ended : Stage::returning;
                    break;
                }
                case 10:
                case 11:
                    node_list[node].health = model.health[node] = static_cast<Health>(operation.variant % 4);
                    command.payload = EndpointsObserved{{{node, node_list[node]}}, false, {}};
                    break;
                case 12:
                    now += operation.variant * second / 2;
                    model.now = command.proposed_at = now;
                    break;
                default:
                    if (operation.variant == 0) command.payload = Halt{"a person"}, model.halted = true;
                    if (operation.variant > 3) command.payload = Resume{}, model.halted = false;
            }
            for (const tealcart::fleet::Effect& effect : state.apply(command)) {
                granted += std::holds_alternative<RemovalGranted>(effect);
                done += std::holds_alternative<RemovalDone>(effect);
                returned += std::holds_alternative<TargetReturned>(effect);
            }
            model.advance();
            compare(state, model);
            RC_ASSERT(maintained_counts(state) == recount(state));
        }
    });
    CHECK(passed);
    // Makes sure that the runs cover grants, completed removals and returns.
    CHECK(granted > 500);
    CHECK(done > 100);
    CHECK(returned > 100);
}
