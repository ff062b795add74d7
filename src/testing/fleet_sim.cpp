#include "testing/fleet_sim.hpp"

#include <algorithm>
#include <functional>
#include <iterator>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>

#include "members/member_lease.hpp"

namespace tealcart::testing {
namespace {

using namespace fleet;

constexpr Nanos ms = 1'000'000, second = 1000 * ms;
constexpr int replicas_per_shard = 3;

class Simulation {
  public:
    explicit Simulation(const SimulationPlan& plan)
        : plan_(plan), random_(static_cast<unsigned>(plan.seed)), state_(plan.budgets) {
        for (int n = 0; n < plan_.nodes; ++n) {
            Node node{n % 2 == 0 ? "a" : "b", "m", {}, Health::healthy, 0};
            for (int j = 0; j < replicas_per_shard; ++j)
                node.shards.push_back(static_cast<std::uint32_t>((n + plan_.nodes - j) % plan_.nodes));
            actual_nodes_["n" + std::to_string(n)] = node;
            node_names_.push_back("n" + std::to_string(n));
        }
        members_.resize(static_cast<std::size_t>(plan_.members));
    }

    SimulationResult run() {
        state_.apply({"", now_, EndpointsObserved{actual_nodes_, true, {}}});
        for (std::size_t i = 0; i < members_.size(); ++i)
            schedule(random_below(200 * ms), [this, i] { start(i); });
        tick();
        for (int tool = 0; tool < 3; ++tool) use_tool(tool);
        if (plan_.faults) {
            schedule(second, [this] { inject_manager_fault(); });
            schedule(second, [this] { inject_member_fault(); });
            schedule(second, [this] { inject_node_fault(); });
        }
        const Nanos end = now_ + plan_.span;
        while (!events_.empty() && events_.top().time <= end) {
            const Event event = events_.top();
            events_.pop();
            now_ = event.time;
            event.action();
        }
        return result_;
    }

  private:
    struct Event {
        Nanos time;
        std::uint64_t order;
        std::function<void()> action;
        bool operator<(const Event& other) const {
            return time != other.time ? time > other.time : order > other.order;
        }
    };
    struct Member {
        std::unique_ptr<MemberLease> lease;
        std::uint64_t incarnation = 0, applied_generation = 0, known_generation = 0;
        std::uint64_t call = 0;  // the number of the pending call
        std::set<std::string> out;
        // Nodes that are out according to the last response at its socket, and since when.
        std::map<std::string, Nanos> arrived;
        std::map<std::string, int> in_flight;
        Nanos paused_until = 0, cut_off_to_managers_until = 0, cut_off_from_managers_until = 0;
        bool running = false;
    };
    struct WaitingCall {
        std::size_t member;
        std::uint64_t call, incarnation, known_generation;
        Nanos sent, until;
    };

    Nanos random_below(Nanos limit) {
        return limit <= 0 ? 0 : static_cast<Nanos>(random_()) * 65'537 % limit;
    }
    bool one_in(int n) { return random_() % static_cast<unsigned>(n) == 0; }
    Nanos network_delay() { return 200'000 + random_below(2 * ms); }
    void schedule(Nanos delay, std::function<void()> action) {
        events_.push({now_ + delay, ++order_, std::move(action)});
    }

    // Models the fleet managers as one log: a proposal is committed after a few ms. If the leader dies in the
    // meantime, it is lost, or committed without a response.
    void propose(Command command, std::function<void(bool)> on_committed = {}) {
        if (!has_leader_) {
            if (on_committed) on_committed(false);
            return;
        }
        command.proposed_at = now_ + leader_clock_skew_;
        const auto epoch = epoch_;
        schedule(2 * ms + random_below(4 * ms),
                 [this, command = std::move(command), on_committed = std::move(on_committed), epoch] {
                     const bool same_leader = epoch == epoch_;
                     if (same_leader || one_in(2)) apply(command);
                     if (on_committed) on_committed(same_leader);
                 });
    }

    void apply(const Command& command) {
        std::set<std::string> healthy_before;
        for (const auto& [name, node] : state_.nodes())
            if (!state_.is_out({false, name})) healthy_before.insert(name);
        const std::uint64_t before = state_.generation();
        for (const fleet::Effect& effect : state_.apply(command)) {
            if (const auto* granted = std::get_if<RemovalGranted>(&effect)) {
                ++result_.grants;
                granted_at_[granted->request] = now_;
                if (healthy_before.contains(granted->target)) check_budget();
            }
            if (const auto* done = std::get_if<RemovalDone>(&effect)) {
                ++result_.dones;
                done_.insert(done->target);
                result_.grant_to_done.push_back(now_ - granted_at_[done->request]);
            }
            if (const auto* returned = std::get_if<TargetReturned>(&effect)) done_.erase(returned->target);
        }
        if (state_.generation() != before) answer_waiting([](const WaitingCall&) { return true; });
    }

    // Recounts what is out from the fleet managers' state.
    void check_budget() {
        std::size_t out = 0;
        std::map<std::uint32_t, std::size_t> holders;
        for (const auto& [name, n] : state_.nodes()) {
            const bool is_out = n.health != Health::healthy || state_.is_removed({false, name});
            out += is_out;
            for (const std::uint32_t s : n.shards) holders[s] += !is_out;
        }
        result_.over_budget += out > plan_.budgets.nodes.allowed(state_.nodes().size());
    }

    void tick() {
        propose({"", 0, Tick{}});
        schedule(250 * ms, [this] { tick(); });
    }

    template <typename Which>
    void answer_waiting(Which which) {
        std::vector<WaitingCall> all;
        std::erase_if(waiting_, [&](const WaitingCall& waiting) {
            if (!which(waiting)) return false;
            all.push_back(waiting);
            return true;
        });
        std::set<std::string> out;
        for (const auto& [target, request] : state_.removed_targets())
            if (!target.router) out.insert(target.name);
        const auto shared = std::make_shared<const std::set<std::string>>(std::move(out));
        for (const WaitingCall& waiting : all) {
            if (members_[waiting.member].cut_off_from_managers_until > now_) continue;
            schedule(network_delay(), [this, waiting, generation = state_.generation(), shared] {
                receive_response(waiting, generation, *shared);
            });
        }
    }

    // Handles a member's call at the fleet managers.
    void handle_call(WaitingCall called, Join join, Renew renew, Nanos wait_for) {
        if (!has_leader_) return;  // the member's call will time out
        batch_.joins.push_back(std::move(join));
        batch_.renewals.push_back(std::move(renew));
        batch_calls_.emplace_back(called, wait_for);
        if (batch_calls_.size() > 1) return;
        schedule(5 * ms, [this] {
            auto calls =
                std::make_shared<std::vector<std::pair<WaitingCall, Nanos>>>(std::exchange(batch_calls_, {}));
            propose({"", 0, std::exchange(batch_, {})}, [this, calls](bool committed) {
                if (!committed) return;
                Nanos first = INT64_MAX;
                for (auto& [waiting, wait] : *calls) {
                    waiting.until = now_ + wait;
                    first = std::min(first, wait);
                    waiting_.push_back(waiting);
                }
                // The calls have different wait times: check them whenever one of the times has passed.
                std::set<Nanos> times;
                for (const auto& [waiting, wait] : *calls) times.insert(wait);
                for (const Nanos t : times)
                    schedule(t, [this] {
                        answer_waiting([this](const WaitingCall& waiting) { return now_ >= waiting.until; });
                    });
                answer_waiting([this](const WaitingCall& waiting) {
                    return state_.generation() > waiting.known_generation;
                });
            });
        });
    }

    void start(std::size_t i) {
        Member& member = members_[i];
        MemberConfig config;
        config.lease_grace = plan_.strict ? 0 : 24 * 3600 * second;
        config.stop_after_grace = plan_.strict;
        const std::uint64_t incarnation = member.incarnation + 1, call = member.call + 1;
        member = Member{};
        member.incarnation = incarnation, member.call = call, member.running = true;
        member.lease = std::make_unique<MemberLease>(config, now_, incarnation);
        call_managers(i);
        send_request(i, incarnation);
    }

    bool is_running(const Member& member, std::uint64_t incarnation) const {
        return member.running && member.incarnation == incarnation;
    }
    // Postpones an action of a paused process until the process resumes.
    bool postpone(const Member& member, std::function<void()> action) {
        if (member.paused_until <= now_) return false;
        schedule(member.paused_until - now_, std::move(action));
        return true;
    }

    void call_managers(std::size_t i) {
        Member& member = members_[i];
        const std::uint64_t number = ++member.call, incarnation = member.incarnation;
        Renew renew{"r" + std::to_string(i), incarnation, {member.applied_generation, {}, {}, 0, 0}};
        for (const auto& [node, calls] : member.in_flight)
            if (calls > 0 && member.out.contains(node)) renew.report.in_flight.insert({false, node});
        const Nanos wait = member.lease->long_poll_wait(!renew.report.in_flight.empty());
        Join join{renew.name,
                  Role::router,
                  i % 2 == 0 ? "a" : "b",
                  "1",
                  "d",
                  incarnation,
                  plan_.strict ? 0 : 24 * 3600 * second};
        const WaitingCall waiting{i, number, incarnation, member.known_generation, now_, 0};
        if (member.cut_off_to_managers_until <= now_)
            schedule(network_delay(),
                     [this, waiting, join, renew, wait] { handle_call(waiting, join, renew, wait); });
        schedule(wait + second, [this, i, number, incarnation] { on_timeout(i, number, incarnation); });
    }
    void on_timeout(std::size_t i, std::uint64_t number, std::uint64_t incarnation) {
        Member& member = members_[i];
        if (!is_running(member, incarnation) || member.call != number) return;
        if (postpone(member, [this, i, number, incarnation] { on_timeout(i, number, incarnation); })) return;
        call_managers(i);
    }
    void receive_response(const WaitingCall& waiting, std::uint64_t generation,
                          const std::set<std::string>& out) {
        Member& member = members_[waiting.member];
        if (!is_running(member, waiting.incarnation) || member.call != waiting.call) return;
        // Records what has reached the process's socket, whether or not the process is paused.
        std::map<std::string, Nanos> arrived;
        for (const std::string& node : out) {
            const auto since = member.arrived.find(node);
            arrived[node] = since == member.arrived.end() ? now_ : since->second;
        }
        member.arrived = std::move(arrived);
        if (postpone(member,
                     [this, waiting, generation, out] { receive_response(waiting, generation, out); }))
            return;
        member.lease->renewed(waiting.sent, plan_.budgets.lease);
        Nanos round_delay = 0;
        if (generation > member.known_generation) {
            member.out = out;
            member.known_generation = generation;
            round_delay = 5 * ms;
        }
        schedule(round_delay, [this, waiting] {
            Member& after = members_[waiting.member];
            if (!is_running(after, waiting.incarnation) || after.call != waiting.call) return;
            after.applied_generation = after.known_generation;
            call_managers(waiting.member);
        });
    }

    // Sends requests one after the other, each to a node that the member believes it may use.
    void send_request(std::size_t i, std::uint64_t incarnation) {
        Member& member = members_[i];
        if (!is_running(member, incarnation)) return;
        // A process that resumes first reads its sockets: a decision round comes after the reads.
        if (postpone(member, [this, i, incarnation] {
                schedule(1, [this, i, incarnation] { send_request(i, incarnation); });
            }))
            return;
        schedule(20 * ms + random_below(60 * ms), [this, i, incarnation] { send_request(i, incarnation); });
        const std::string& node = node_names_[static_cast<std::size_t>(random_below(plan_.nodes))];
        if (member.out.contains(node) || now_ >= member.lease->attempts_until(now_)) return;
        ++result_.attempts;
        const bool live = member.lease->serving_state(now_) == ServingState::leased;
        if (done_.contains(node) && (plan_.strict || live)) ++result_.after_done;
        const auto arrival = member.arrived.find(node);
        if (arrival != member.arrived.end() && now_ - arrival->second > second) ++result_.late;
        ++member.in_flight[node];
        schedule(5 * ms + random_below(300 * ms), [this, i, incarnation, node] {
            if (members_[i].incarnation == incarnation) --members_[i].in_flight[node];
        });
    }

    // An operator's tool that drains nodes and lets them back.
    void use_tool(int tool) {
        schedule(200 * ms + random_below(1500 * ms), [this, tool] { use_tool(tool); });
        const std::string& node = node_names_[static_cast<std::size_t>(random_below(plan_.nodes))];
        if (!plan_.agreed) return use_tool_without_consensus(tool, node);
        const std::string id = "t" + std::to_string(tool) + "-" + std::to_string(++tool_calls_);
        if (one_in(2)) {
            // Sometimes sent twice, like a retry after a lost response.
            propose({id, 0, RequestRemoval{"t", {false, node}}});
            if (one_in(3))
                schedule(50 * ms, [this, id, node] { propose({id, 0, RequestRemoval{"t", {false, node}}}); });
        } else if (!state_.requests().empty()) {
            const auto n =
                static_cast<std::ptrdiff_t>(random_below(static_cast<Nanos>(state_.requests().size())));
            propose({id, 0, UndoRemoval{std::next(state_.requests().begin(), n)->first}});
        }
    }

    // The same without consensus: the tool reads what is out and acts on that stale view.
    void use_tool_without_consensus(int tool, const std::string& node) {
        if (one_in(2) && !uncoordinated_out_.empty()) {
            uncoordinated_out_.erase(std::next(uncoordinated_out_.begin(),
                                               random_below(static_cast<Nanos>(uncoordinated_out_.size()))));
            return;
        }
        (void)tool;
        const std::set<std::string> seen = uncoordinated_out_;
        schedule(50 * ms + random_below(500 * ms), [this, seen, node] {
            if (seen.size() + 1 > plan_.budgets.nodes.allowed(node_names_.size()) || seen.contains(node))
                return;
            uncoordinated_out_.insert(node);
            ++result_.grants;
            result_.over_budget +=
                uncoordinated_out_.size() > plan_.budgets.nodes.allowed(node_names_.size());
        });
    }

    void inject_manager_fault() {
        ++epoch_;
        has_leader_ = false;
        waiting_.clear();
        batch_ = {}, batch_calls_ = {};
        ++result_.new_leaders;
        // Sometimes there is no quorum for a while.
        schedule(one_in(4) ? 3 * second + random_below(6 * second) : 300 * ms + random_below(900 * ms),
                 [this] {
                     has_leader_ = true;
                     ++epoch_;
                     leader_clock_skew_ = random_below(4 * second) - 2 * second;
                 });
        schedule(3 * second + random_below(8 * second), [this] { inject_manager_fault(); });
    }

    void inject_member_fault() {
        schedule(100 * ms + random_below(600 * ms), [this] { inject_member_fault(); });
        const auto i = static_cast<std::size_t>(random_below(plan_.members));
        Member& member = members_[i];
        const Nanos span = 200 * ms + random_below(2 * plan_.budgets.lease);
        switch (random_below(4)) {
            case 0:
                ++result_.deaths;
                member.running = false;
                schedule(span, [this, i] {
                    if (!members_[i].running) start(i);
                });
                break;
            case 1:
                ++result_.pauses;
                member.paused_until = now_ + span;
                break;
            case 2:
                ++result_.cuts;
                member.cut_off_to_managers_until = now_ + span;
                break;
            default:
                ++result_.cuts;
                member.cut_off_from_managers_until = now_ + span;
        }
    }

    void inject_node_fault() {
        schedule(second + random_below(2 * second), [this] { inject_node_fault(); });
        const std::string node = node_names_[static_cast<std::size_t>(random_below(plan_.nodes))];
        set_health(node, Health::gone);
        schedule(second + random_below(3 * second), [this, node] {
            set_health(node, Health::cold);
            schedule(second, [this, node] { set_health(node, Health::healthy); });
        });
    }
    void set_health(const std::string& node, Health health) {
        actual_nodes_[node].health = health;
        schedule(200 * ms + random_below(second), [this, node] { observe(node); });
    }
    void observe(const std::string& node) {
        propose({"", 0, EndpointsObserved{{{node, actual_nodes_[node]}}, false, {}}},
                [this, node](bool committed) {
                    if (!committed) schedule(200 * ms, [this, node] { observe(node); });
                });
    }

    const SimulationPlan plan_;
    std::knuth_b random_;
    FleetState state_;
    std::priority_queue<Event> events_;
    std::uint64_t order_ = 0, epoch_ = 0, tool_calls_ = 0;
    Nanos now_ = 1'000'000 * second, leader_clock_skew_ = 0;
    bool has_leader_ = true;
    std::map<std::string, Node> actual_nodes_;
    std::vector<std::string> node_names_;
    std::vector<Member> members_;
    std::vector<WaitingCall> waiting_;
    ReportBatch batch_;
    std::vector<std::pair<WaitingCall, Nanos>> batch_calls_;
    std::map<std::uint64_t, Nanos> granted_at_;
    std::set<std::string> done_, uncoordinated_out_;
    SimulationResult result_;
};

}  // namespace

SimulationResult run_simulation(const SimulationPlan& plan) { return Simulation(plan).run(); }

}  // namespace tealcart::testing
