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

// One run of the simulation: a queue of events on the virtual clock, and the state of all participants.
class Simulation {
  public:
    explicit Simulation(const SimulationPlan& plan)
        : plan_(plan), random_(static_cast<unsigned>(plan.seed)), state_(plan.budgets) {
        for (int index = 0; index < plan_.nodes; ++index) {
            Node node{index % 2 == 0 ? "a" : "b", "m", {}, Health::healthy, 0};
            for (int replica = 0; replica < replicas_per_shard; ++replica)
                node.shards.push_back(
                    static_cast<std::uint32_t>((index + plan_.nodes - replica) % plan_.nodes));
            actual_nodes_["n" + std::to_string(index)] = node;
            node_names_.push_back("n" + std::to_string(index));
        }
        members_.resize(static_cast<std::size_t>(plan_.members));
    }

    SimulationResult run() {
        state_.apply({"", now_, EndpointsObserved{actual_nodes_, true, {}}});
        for (std::size_t index = 0; index < members_.size(); ++index)
            schedule(random_below(200 * ms), [this, index] { start_member(index); });
        tick();
        for (int tool = 0; tool < 3; ++tool) run_tool(tool);
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
    // An action at a virtual time. Of two events at the same time, the one scheduled first runs first.
    struct Event {
        Nanos time;
        std::uint64_t number;
        std::function<void()> action;
        bool operator<(const Event& other) const {
            return time != other.time ? time > other.time : number > other.number;
        }
    };
    // A simulated router process.
    struct Member {
        std::unique_ptr<MemberLease> lease;
        std::uint64_t incarnation = 0, applied_generation = 0, known_generation = 0;
        std::uint64_t call_number = 0;        // of the pending call
        std::set<std::string> removed_nodes;  // as the member knows, from its last applied response
        // The removed nodes in the last response that reached its socket, and when each was first received.
        std::map<std::string, Nanos> received_removals;
        std::map<std::string, int> in_flight;
        Nanos paused_until = 0, cut_off_to_managers_until = 0, cut_off_from_managers_until = 0;
        bool running = false;
    };
    // A member's call that the fleet managers have yet to answer.
    struct WaitingCall {
        std::size_t member;
        std::uint64_t call_number, incarnation, known_generation;
        Nanos sent_at, answer_by;
    };

    Nanos random_below(Nanos limit) {
        return limit <= 0 ? 0 : static_cast<Nanos>(random_()) * 65'537 % limit;
    }
    bool one_in(int count) { return random_() % static_cast<unsigned>(count) == 0; }
    Nanos network_delay() { return 200'000 + random_below(2 * ms); }
    void schedule(Nanos delay, std::function<void()> action) {
        events_.push({now_ + delay, ++last_event_number_, std::move(action)});
    }

    // Models the fleet managers as one log: a proposal is committed after a few ms. If the leader fails in
    // the meantime, the proposal is lost or committed without a response.
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
        const std::uint64_t generation_before = state_.generation();
        for (const fleet::Effect& effect : state_.apply(command)) {
            if (const auto* granted = std::get_if<RemovalGranted>(&effect)) {
                ++result_.grants;
                granted_at_[granted->request] = now_;
                if (healthy_before.contains(granted->target)) check_budget();
            }
            if (const auto* done = std::get_if<RemovalDone>(&effect)) {
                ++result_.removals_done;
                done_targets_.insert(done->target);
                result_.grant_to_done.push_back(now_ - granted_at_[done->request]);
            }
            if (const auto* returned = std::get_if<TargetReturned>(&effect))
                done_targets_.erase(returned->target);
        }
        if (state_.generation() != generation_before)
            answer_waiting_calls([](const WaitingCall&) { return true; });
    }

    // Recounts the unhealthy and removed nodes from the fleet managers' state and compares them with the
    // budget.
    void check_budget() {
        std::size_t out_count = 0;
        std::map<std::uint32_t, std::size_t> holders;
        for (const auto& [name, node] : state_.nodes()) {
            const bool is_out = node.health != Health::healthy || state_.is_removed({false, name});
            out_count += is_out;
            for (const std::uint32_t shard : node.shards) holders[shard] += !is_out;
        }
        result_.budget_violations += out_count > plan_.budgets.nodes.allowed(state_.nodes().size());
    }

    void tick() {
        propose({"", 0, Tick{}});
        schedule(250 * ms, [this] { tick(); });
    }

    template <typename Predicate>
    void answer_waiting_calls(Predicate is_selected) {
        std::vector<WaitingCall> selected;
        std::erase_if(waiting_, [&](const WaitingCall& waiting) {
            if (!is_selected(waiting)) return false;
            selected.push_back(waiting);
            return true;
        });
        std::set<std::string> removed_nodes;
        for (const auto& [target, request] : state_.removed_targets())
            if (!target.router) removed_nodes.insert(target.name);
        const auto shared_removed_nodes =
            std::make_shared<const std::set<std::string>>(std::move(removed_nodes));
        for (const WaitingCall& waiting : selected) {
            if (members_[waiting.member].cut_off_from_managers_until > now_) continue;
            schedule(network_delay(),
                     [this, waiting, generation = state_.generation(), shared_removed_nodes] {
                         receive_response(waiting, generation, *shared_removed_nodes);
                     });
        }
    }

    // Adds a member's call to the batch that the leader proposes 5 ms after its first call.
    void queue_member_call(WaitingCall waiting_call, Join join, Renew renew, Nanos long_poll_wait) {
        if (!has_leader_) return;  // the member's call will time out
        batch_.joins.push_back(std::move(join));
        batch_.renewals.push_back(std::move(renew));
        batch_calls_.emplace_back(waiting_call, long_poll_wait);
        if (batch_calls_.size() > 1) return;
        schedule(5 * ms, [this] {
            auto calls =
                std::make_shared<std::vector<std::pair<WaitingCall, Nanos>>>(std::exchange(batch_calls_, {}));
            propose({"", 0, std::exchange(batch_, {})}, [this, calls](bool committed) {
                if (!committed) return;
                Nanos shortest_wait = INT64_MAX;
                for (auto& [waiting, wait] : *calls) {
                    waiting.answer_by = now_ + wait;
                    shortest_wait = std::min(shortest_wait, wait);
                    waiting_.push_back(waiting);
                }
                // The calls have different wait times: check them whenever one of the times has passed.
                std::set<Nanos> wait_times;
                for (const auto& [waiting, wait] : *calls) wait_times.insert(wait);
                for (const Nanos delay : wait_times)
                    schedule(delay, [this] {
                        answer_waiting_calls(
                            [this](const WaitingCall& waiting) { return now_ >= waiting.answer_by; });
                    });
                answer_waiting_calls([this](const WaitingCall& waiting) {
                    return state_.generation() > waiting.known_generation;
                });
            });
        });
    }

    void start_member(std::size_t index) {
        Member& member = members_[index];
        MemberConfig config;
        config.lease_grace = plan_.stop_without_lease ? 0 : 24 * 3600 * second;
        config.stop_after_grace = plan_.stop_without_lease;
        const std::uint64_t incarnation = member.incarnation + 1, call_number = member.call_number + 1;
        member = Member{};
        member.incarnation = incarnation, member.call_number = call_number, member.running = true;
        member.lease = std::make_unique<MemberLease>(config, now_, incarnation);
        call_managers(index);
        send_attempt(index, incarnation);
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

    void call_managers(std::size_t index) {
        Member& member = members_[index];
        const std::uint64_t number = ++member.call_number, incarnation = member.incarnation;
        Renew renew{"r" + std::to_string(index), incarnation, {member.applied_generation, {}, {}, 0, 0}};
        for (const auto& [node, calls] : member.in_flight)
            if (calls > 0 && member.removed_nodes.contains(node))
                renew.report.in_flight.insert({false, node});
        const Nanos wait = member.lease->long_poll_wait(!renew.report.in_flight.empty());
        Join join{renew.name,
                  Role::router,
                  index % 2 == 0 ? "a" : "b",
                  "1",
                  "d",
                  incarnation,
                  plan_.stop_without_lease ? 0 : 24 * 3600 * second};
        const WaitingCall waiting{index, number, incarnation, member.known_generation, now_, 0};
        if (member.cut_off_to_managers_until <= now_)
            schedule(network_delay(),
                     [this, waiting, join, renew, wait] { queue_member_call(waiting, join, renew, wait); });
        schedule(wait + second,
                 [this, index, number, incarnation] { on_timeout(index, number, incarnation); });
    }
    void on_timeout(std::size_t index, std::uint64_t number, std::uint64_t incarnation) {
        Member& member = members_[index];
        if (!is_running(member, incarnation) || member.call_number != number) return;
        if (postpone(member, [this, index, number, incarnation] { on_timeout(index, number, incarnation); }))
            return;
        call_managers(index);
    }
    void receive_response(const WaitingCall& waiting, std::uint64_t generation,
                          const std::set<std::string>& removed_nodes) {
        Member& member = members_[waiting.member];
        if (!is_running(member, waiting.incarnation) || member.call_number != waiting.call_number) return;
        // Records what has reached the process's socket, whether or not the process is paused.
        std::map<std::string, Nanos> received_removals;
        for (const std::string& node : removed_nodes) {
            const auto since = member.received_removals.find(node);
            received_removals[node] = since == member.received_removals.end() ? now_ : since->second;
        }
        member.received_removals = std::move(received_removals);
        if (postpone(member, [this, waiting, generation, removed_nodes] {
                receive_response(waiting, generation, removed_nodes);
            }))
            return;
        member.lease->renewed(waiting.sent_at, plan_.budgets.lease);
        Nanos round_delay = 0;
        if (generation > member.known_generation) {
            member.removed_nodes = removed_nodes;
            member.known_generation = generation;
            round_delay = 5 * ms;
        }
        schedule(round_delay, [this, waiting] {
            Member& after = members_[waiting.member];
            if (!is_running(after, waiting.incarnation) || after.call_number != waiting.call_number) return;
            after.applied_generation = after.known_generation;
            call_managers(waiting.member);
        });
    }

    // Sends attempts one after the other, each to a node that the member may use according to what it knows.
    void send_attempt(std::size_t index, std::uint64_t incarnation) {
        Member& member = members_[index];
        if (!is_running(member, incarnation)) return;
        // A process that resumes first reads its sockets: a decision round comes after the reads.
        if (postpone(member, [this, index, incarnation] {
                schedule(1, [this, index, incarnation] { send_attempt(index, incarnation); });
            }))
            return;
        schedule(20 * ms + random_below(60 * ms),
                 [this, index, incarnation] { send_attempt(index, incarnation); });
        const std::string& node = node_names_[static_cast<std::size_t>(random_below(plan_.nodes))];
        if (member.removed_nodes.contains(node) || now_ >= member.lease->attempts_until(now_)) return;
        ++result_.attempts;
        const bool holds_lease = member.lease->serving_state(now_) == ServingState::leased;
        if (done_targets_.contains(node) && (plan_.stop_without_lease || holds_lease))
            ++result_.attempts_after_done;
        const auto received = member.received_removals.find(node);
        if (received != member.received_removals.end() && now_ - received->second > second)
            ++result_.late_attempts;
        ++member.in_flight[node];
        schedule(5 * ms + random_below(300 * ms), [this, index, incarnation, node] {
            if (members_[index].incarnation == incarnation) --members_[index].in_flight[node];
        });
    }

    // Simulates an operator's tool that drains nodes and undrains them.
    void run_tool(int tool) {
        schedule(200 * ms + random_below(1500 * ms), [this, tool] { run_tool(tool); });
        const std::string& node = node_names_[static_cast<std::size_t>(random_below(plan_.nodes))];
        if (!plan_.use_consensus) return run_tool_without_consensus(tool, node);
        const std::string id = "t" + std::to_string(tool) + "-" + std::to_string(++tool_calls_);
        if (one_in(2)) {
            // Some commands are proposed twice, like a retry after a lost response.
            propose({id, 0, RequestRemoval{"t", {false, node}}});
            if (one_in(3))
                schedule(50 * ms, [this, id, node] { propose({id, 0, RequestRemoval{"t", {false, node}}}); });
        } else if (!state_.requests().empty()) {
            const auto position =
                static_cast<std::ptrdiff_t>(random_below(static_cast<Nanos>(state_.requests().size())));
            propose({id, 0, UndoRemoval{std::next(state_.requests().begin(), position)->first}});
        }
    }

    // Simulates the tool without consensus: it reads which nodes are removed and acts later on that stale
    // view.
    void run_tool_without_consensus(int tool, const std::string& node) {
        if (one_in(2) && !uncoordinated_removals_.empty()) {
            uncoordinated_removals_.erase(
                std::next(uncoordinated_removals_.begin(),
                          random_below(static_cast<Nanos>(uncoordinated_removals_.size()))));
            return;
        }
        (void)tool;
        const std::set<std::string> known_removals = uncoordinated_removals_;
        schedule(50 * ms + random_below(500 * ms), [this, known_removals, node] {
            if (known_removals.size() + 1 > plan_.budgets.nodes.allowed(node_names_.size()) ||
                known_removals.contains(node))
                return;
            uncoordinated_removals_.insert(node);
            ++result_.grants;
            result_.budget_violations +=
                uncoordinated_removals_.size() > plan_.budgets.nodes.allowed(node_names_.size());
        });
    }

    void inject_manager_fault() {
        ++epoch_;
        has_leader_ = false;
        waiting_.clear();
        batch_ = {}, batch_calls_ = {};
        ++result_.leader_losses;
        // One leader failure in four models a loss of the quorum, which lasts longer.
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
        const auto index = static_cast<std::size_t>(random_below(plan_.members));
        Member& member = members_[index];
        const Nanos fault_duration = 200 * ms + random_below(2 * plan_.budgets.lease);
        switch (random_below(4)) {
            case 0:
                ++result_.crashes;
                member.running = false;
                schedule(fault_duration, [this, index] {
                    if (!members_[index].running) start_member(index);
                });
                break;
            case 1:
                ++result_.pauses;
                member.paused_until = now_ + fault_duration;
                break;
            case 2:
                ++result_.partitions;
                member.cut_off_to_managers_until = now_ + fault_duration;
                break;
            default:
                ++result_.partitions;
                member.cut_off_from_managers_until = now_ + fault_duration;
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
        schedule(200 * ms + random_below(second), [this, node] { propose_observed_health(node); });
    }
    void propose_observed_health(const std::string& node) {
        propose({"", 0, EndpointsObserved{{{node, actual_nodes_[node]}}, false, {}}},
                [this, node](bool committed) {
                    if (!committed) schedule(200 * ms, [this, node] { propose_observed_health(node); });
                });
    }

    const SimulationPlan plan_;
    std::knuth_b random_;
    FleetState state_;
    std::priority_queue<Event> events_;
    std::uint64_t last_event_number_ = 0, epoch_ = 0, tool_calls_ = 0;
    Nanos now_ = 1'000'000 * second, leader_clock_skew_ = 0;
    bool has_leader_ = true;
    std::map<std::string, Node> actual_nodes_;
    std::vector<std::string> node_names_;
    std::vector<Member> members_;
    std::vector<WaitingCall> waiting_;
    ReportBatch batch_;
    std::vector<std::pair<WaitingCall, Nanos>> batch_calls_;
    std::map<std::uint64_t, Nanos> granted_at_;
    std::set<std::string> done_targets_, uncoordinated_removals_;
    SimulationResult result_;
};

}  // namespace

SimulationResult run_simulation(const SimulationPlan& plan) { return Simulation(plan).run(); }

}  // namespace tealcart::testing
