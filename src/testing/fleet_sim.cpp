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
constexpr int width = 3;

class Sim {
  public:
    explicit Sim(const SimPlan& plan)
        : plan_(plan), chance_(static_cast<unsigned>(plan.seed)), state_(plan.budgets) {
        for (int n = 0; n < plan_.nodes; ++n) {
            Node node{n % 2 == 0 ? "a" : "b", "m", {}, Health::healthy, 0};
            for (int j = 0; j < width; ++j)
                node.shards.push_back(static_cast<std::uint32_t>((n + plan_.nodes - j) % plan_.nodes));
            truth_["n" + std::to_string(n)] = node;
            names_.push_back("n" + std::to_string(n));
        }
        members_.resize(static_cast<std::size_t>(plan_.members));
    }

    SimVerdict run() {
        state_.apply({"", now_, EndpointsObserved{truth_, true, {}}});
        for (std::size_t i = 0; i < members_.size(); ++i) at(pick(200 * ms), [this, i] { start(i); });
        tick();
        for (int tool = 0; tool < 3; ++tool) use(tool);
        if (plan_.faults) {
            at(second, [this] { fault_managers(); });
            at(second, [this] { trouble_members(); });
            at(second, [this] { trouble_nodes(); });
        }
        const Nanos end = now_ + plan_.span;
        while (!events_.empty() && events_.top().at <= end) {
            const Event e = events_.top();
            events_.pop();
            now_ = e.at;
            e.what();
        }
        return verdict_;
    }

  private:
    struct Event {
        Nanos at;
        std::uint64_t order;
        std::function<void()> what;
        bool operator<(const Event& o) const { return at != o.at ? at > o.at : order > o.order; }
    };
    struct Member {
        std::unique_ptr<MemberLease> lease;
        std::uint64_t incarnation = 0, applied_version = 0, told = 0,
                      call = 0;  // call: the number of the one that is out
        std::set<std::string> out;
        std::map<std::string, Nanos>
            arrived;  // nodes that the last word at its socket has as out, since when
        std::map<std::string, int> in_flight;
        Nanos paused_until = 0, cut_to = 0, cut_from = 0;
        bool up = false;
    };
    struct Waiting {
        std::size_t member;
        std::uint64_t call, incarnation, knows;
        Nanos sent, until;
    };

    Nanos pick(Nanos below) { return below <= 0 ? 0 : static_cast<Nanos>(chance_()) * 65'537 % below; }
    bool odds(int of) { return chance_() % static_cast<unsigned>(of) == 0; }
    Nanos way() { return 200'000 + pick(2 * ms); }
    void at(Nanos in, std::function<void()> what) { events_.push({now_ + in, ++order_, std::move(what)}); }

    // The managers as one log: what is proposed is agreed after a few ms, or, where the leader dies
    // meanwhile, is lost or agreed without a word.
    void propose(Command c, std::function<void(bool)> told = {}) {
        if (!leads_) {
            if (told) told(false);
            return;
        }
        c.proposed_at = now_ + skew_;
        const auto epoch = epoch_;
        at(2 * ms + pick(4 * ms), [this, c = std::move(c), told = std::move(told), epoch] {
            const bool same = epoch == epoch_;
            if (same || odds(2)) apply(c);
            if (told) told(same);
        });
    }

    void apply(const Command& c) {
        std::set<std::string> whole;
        for (const auto& [name, node] : state_.nodes())
            if (!state_.is_out({false, name})) whole.insert(name);
        const std::uint64_t before = state_.generation();
        for (const fleet::Effect& effect : state_.apply(c)) {
            if (const auto* granted = std::get_if<RemovalGranted>(&effect)) {
                ++verdict_.grants;
                granted_at_[granted->request] = now_;
                if (whole.contains(granted->target)) check_budget();
            }
            if (const auto* done = std::get_if<RemovalDone>(&effect)) {
                ++verdict_.dones;
                done_.insert(done->target);
                verdict_.grant_to_done.push_back(now_ - granted_at_[done->request]);
            }
            if (const auto* returned = std::get_if<TargetReturned>(&effect)) done_.erase(returned->target);
        }
        if (state_.generation() != before) answer_waiting([](const Waiting&) { return true; });
    }

    // Counted anew from what the managers see.
    void check_budget() {
        std::size_t out = 0;
        std::map<std::uint32_t, std::size_t> holders;
        for (const auto& [name, n] : state_.nodes()) {
            const bool is_out = n.health != Health::healthy || state_.is_removed({false, name});
            out += is_out;
            for (const std::uint32_t s : n.shards) holders[s] += !is_out;
        }
        verdict_.over_budget += out > plan_.budgets.nodes.allowed(state_.nodes().size());
    }

    void tick() {
        propose({"", 0, Tick{}});
        at(250 * ms, [this] { tick(); });
    }

    template <typename Which>
    void answer_waiting(Which which) {
        std::vector<Waiting> all;
        std::erase_if(waiting_, [&](const Waiting& w) {
            if (!which(w)) return false;
            all.push_back(w);
            return true;
        });
        std::set<std::string> out;
        for (const auto& [target, request] : state_.removed_targets())
            if (!target.router) out.insert(target.name);
        const auto shared = std::make_shared<const std::set<std::string>>(std::move(out));
        for (const Waiting& w : all) {
            if (members_[w.member].cut_from > now_) continue;
            at(way(), [this, w, generation = state_.generation(), shared] { hear(w, generation, *shared); });
        }
    }

    // A manager's side of a member's call.
    void take(Waiting called, Join join, Renew renew, Nanos wait_for) {
        if (!leads_) return;  // it will have been silent for too long
        batch_.joins.push_back(std::move(join));
        batch_.renewals.push_back(std::move(renew));
        batch_calls_.emplace_back(called, wait_for);
        if (batch_calls_.size() > 1) return;
        at(5 * ms, [this] {
            auto calls =
                std::make_shared<std::vector<std::pair<Waiting, Nanos>>>(std::exchange(batch_calls_, {}));
            propose({"", 0, std::exchange(batch_, {})}, [this, calls](bool agreed) {
                if (!agreed) return;
                Nanos first = INT64_MAX;
                for (auto& [w, wait] : *calls) {
                    w.until = now_ + wait;
                    first = std::min(first, wait);
                    waiting_.push_back(w);
                }
                // Some want an answer sooner than others: each is looked at when the first of them is due,
                // and again.
                std::set<Nanos> times;
                for (const auto& [w, wait] : *calls) times.insert(wait);
                for (const Nanos t : times)
                    at(t, [this] { answer_waiting([this](const Waiting& w) { return now_ >= w.until; }); });
                answer_waiting([this](const Waiting& w) { return state_.generation() > w.knows; });
            });
        });
    }

    void start(std::size_t i) {
        Member& m = members_[i];
        MemberConfig config;
        config.lease_grace = plan_.strict ? 0 : 24 * 3600 * second;
        config.stop_after_grace = plan_.strict;
        const std::uint64_t incarnation = m.incarnation + 1, call = m.call + 1;
        m = Member{};
        m.incarnation = incarnation, m.call = call, m.up = true;
        m.lease = std::make_unique<MemberLease>(config, now_, incarnation);
        call_out(i);
        leaf(i, incarnation);
    }

    bool runs(const Member& m, std::uint64_t incarnation) const {
        return m.up && m.incarnation == incarnation;
    }
    // What a paused process does, it does once it goes on.
    bool put_off(const Member& m, std::function<void()> what) {
        if (m.paused_until <= now_) return false;
        at(m.paused_until - now_, std::move(what));
        return true;
    }

    void call_out(std::size_t i) {
        Member& m = members_[i];
        const std::uint64_t number = ++m.call, incarnation = m.incarnation;
        Renew renew{"r" + std::to_string(i), incarnation, {m.applied_version, {}, {}, 0, 0}};
        for (const auto& [node, calls] : m.in_flight)
            if (calls > 0 && m.out.contains(node)) renew.report.in_flight.insert({false, node});
        const Nanos wait = m.lease->wait(!renew.report.in_flight.empty());
        Join join{renew.name,
                  Role::router,
                  i % 2 == 0 ? "a" : "b",
                  "1",
                  "d",
                  incarnation,
                  plan_.strict ? 0 : 24 * 3600 * second};
        const Waiting w{i, number, incarnation, m.told, now_, 0};
        if (m.cut_to <= now_) at(way(), [this, w, join, renew, wait] { take(w, join, renew, wait); });
        at(wait + second, [this, i, number, incarnation] { silent(i, number, incarnation); });
    }
    void silent(std::size_t i, std::uint64_t number, std::uint64_t incarnation) {
        Member& m = members_[i];
        if (!runs(m, incarnation) || m.call != number) return;
        if (put_off(m, [this, i, number, incarnation] { silent(i, number, incarnation); })) return;
        call_out(i);
    }
    void hear(const Waiting& w, std::uint64_t generation, const std::set<std::string>& out) {
        Member& m = members_[w.member];
        if (!runs(m, w.incarnation) || m.call != w.call) return;
        // The observer notes what has come to the process, whether or not it runs.
        std::map<std::string, Nanos> arrived;
        for (const std::string& node : out) {
            const auto since = m.arrived.find(node);
            arrived[node] = since == m.arrived.end() ? now_ : since->second;
        }
        m.arrived = std::move(arrived);
        if (put_off(m, [this, w, generation, out] { hear(w, generation, out); })) return;
        m.lease->renewed(w.sent, plan_.budgets.lease);
        Nanos round = 0;
        if (generation > m.told) {
            m.out = out;
            m.told = generation;
            round = 5 * ms;
        }
        at(round, [this, w] {
            Member& after = members_[w.member];
            if (!runs(after, w.incarnation) || after.call != w.call) return;
            after.applied_version = after.told;
            call_out(w.member);
        });
    }

    // One leaf call after the other, each to a node that the member may send to as far as it knows.
    void leaf(std::size_t i, std::uint64_t incarnation) {
        Member& m = members_[i];
        if (!runs(m, incarnation)) return;
        // A process that goes on reads what has come before it decides: a round comes after the reads.
        if (put_off(m, [this, i, incarnation] { at(1, [this, i, incarnation] { leaf(i, incarnation); }); }))
            return;
        at(20 * ms + pick(60 * ms), [this, i, incarnation] { leaf(i, incarnation); });
        const std::string& node = names_[static_cast<std::size_t>(pick(plan_.nodes))];
        if (m.out.contains(node) || now_ >= m.lease->attempts_until(now_)) return;
        ++verdict_.attempts;
        const bool live = m.lease->serving_state(now_) == ServingState::leased;
        if (done_.contains(node) && (plan_.strict || live)) ++verdict_.after_done;
        const auto told = m.arrived.find(node);
        if (told != m.arrived.end() && now_ - told->second > second) ++verdict_.late;
        ++m.in_flight[node];
        at(5 * ms + pick(300 * ms), [this, i, incarnation, node] {
            if (members_[i].incarnation == incarnation) --members_[i].in_flight[node];
        });
    }

    // A tool that drains some nodes and lets them back.
    void use(int tool) {
        at(200 * ms + pick(1500 * ms), [this, tool] { use(tool); });
        const std::string& node = names_[static_cast<std::size_t>(pick(plan_.nodes))];
        if (!plan_.agreed) return use_alone(tool, node);
        const std::string id = "t" + std::to_string(tool) + "-" + std::to_string(++asked_);
        if (odds(2)) {
            // Said twice now and then, as by one who got no answer.
            propose({id, 0, RequestRemoval{"t", {false, node}}});
            if (odds(3))
                at(50 * ms, [this, id, node] { propose({id, 0, RequestRemoval{"t", {false, node}}}); });
        } else if (!state_.requests().empty()) {
            const auto n = static_cast<std::ptrdiff_t>(pick(static_cast<Nanos>(state_.requests().size())));
            propose({id, 0, UndoRemoval{std::next(state_.requests().begin(), n)->first}});
        }
    }

    // The same without agreement: it looks at who is out, late, and acts on what it saw.
    void use_alone(int tool, const std::string& node) {
        if (odds(2) && !alone_out_.empty()) {
            alone_out_.erase(std::next(alone_out_.begin(), pick(static_cast<Nanos>(alone_out_.size()))));
            return;
        }
        (void)tool;
        const std::set<std::string> seen = alone_out_;
        at(50 * ms + pick(500 * ms), [this, seen, node] {
            if (seen.size() + 1 > plan_.budgets.nodes.allowed(names_.size()) || seen.contains(node)) return;
            alone_out_.insert(node);
            ++verdict_.grants;
            verdict_.over_budget += alone_out_.size() > plan_.budgets.nodes.allowed(names_.size());
        });
    }

    void fault_managers() {
        ++epoch_;
        leads_ = false;
        waiting_.clear();
        batch_ = {}, batch_calls_ = {};
        ++verdict_.new_leaders;
        // Now and then there is no majority for a while.
        at(odds(4) ? 3 * second + pick(6 * second) : 300 * ms + pick(900 * ms), [this] {
            leads_ = true;
            ++epoch_;
            skew_ = pick(4 * second) - 2 * second;
        });
        at(3 * second + pick(8 * second), [this] { fault_managers(); });
    }

    void trouble_members() {
        at(100 * ms + pick(600 * ms), [this] { trouble_members(); });
        const auto i = static_cast<std::size_t>(pick(plan_.members));
        Member& m = members_[i];
        const Nanos span = 200 * ms + pick(2 * plan_.budgets.lease);
        switch (pick(4)) {
            case 0:
                ++verdict_.deaths;
                m.up = false;
                at(span, [this, i] {
                    if (!members_[i].up) start(i);
                });
                break;
            case 1:
                ++verdict_.pauses;
                m.paused_until = now_ + span;
                break;
            case 2:
                ++verdict_.cuts;
                m.cut_to = now_ + span;
                break;
            default:
                ++verdict_.cuts;
                m.cut_from = now_ + span;
        }
    }

    void trouble_nodes() {
        at(second + pick(2 * second), [this] { trouble_nodes(); });
        const std::string node = names_[static_cast<std::size_t>(pick(plan_.nodes))];
        set_health(node, Health::gone);
        at(second + pick(3 * second), [this, node] {
            set_health(node, Health::cold);
            at(second, [this, node] { set_health(node, Health::healthy); });
        });
    }
    void set_health(const std::string& node, Health health) {
        truth_[node].health = health;
        at(200 * ms + pick(second), [this, node] { see(node); });
    }
    void see(const std::string& node) {
        propose({"", 0, EndpointsObserved{{{node, truth_[node]}}, false, {}}}, [this, node](bool agreed) {
            if (!agreed) at(200 * ms, [this, node] { see(node); });
        });
    }

    const SimPlan plan_;
    std::knuth_b chance_;
    FleetState state_;
    std::priority_queue<Event> events_;
    std::uint64_t order_ = 0, epoch_ = 0, asked_ = 0;
    Nanos now_ = 1'000'000 * second, skew_ = 0;
    bool leads_ = true;
    std::map<std::string, Node> truth_;
    std::vector<std::string> names_;
    std::vector<Member> members_;
    std::vector<Waiting> waiting_;
    ReportBatch batch_;
    std::vector<std::pair<Waiting, Nanos>> batch_calls_;
    std::map<std::uint64_t, Nanos> granted_at_;
    std::set<std::string> done_, alone_out_;
    SimVerdict verdict_;
};

}  // namespace

SimVerdict play(const SimPlan& plan) { return Sim(plan).run(); }

}  // namespace tealcart::testing
