// The decisions of a query router, all of them. Interface: query_router.hpp beside this file.
//
// The caller makes one QueryRouter for each life of a router and calls round() once a round with all that
// came in: the on_... handlers only note it. Then it decides, in this order: pressure and p, answers and
// early rejections, first leaf calls, further leaf calls. The same rounds give the same decisions.
// docs/design.md says when each departure acts, docs/on-call.md explains the log lines.

#include "router/query_router.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <deque>
#include <random>
#include <utility>

#include "router/id_index.hpp"

namespace tealcart {
namespace {

constexpr Nanos ms = 1'000'000;
constexpr Nanos second = 1000 * ms;
constexpr Nanos never = INT64_MAX;
constexpr std::uint32_t none = IdIndex::none;

// The design's figures; but for the climb the page's own.
constexpr double pressure_share = 0.05;
constexpr double p_cut = 0.25;     // of k
constexpr double p_climb = 0.125;  // for each part that has ended, while nothing presses
constexpr Nanos cut_every = second;
constexpr double close_weights = 0.05;
constexpr int widened = 3;
constexpr double sum_slack = 2e-5;       // a sum of rounded weights misses its value by less
constexpr double pass_over = 1.2;        // a replica this many times as slow as the best loses its turn
constexpr double copy_after = 2.0;       // times what calls take: silence after which a part may be copied
constexpr double hang_after = 3.0;       // the same, after which a node is paused
constexpr double copy_share = 0.1;       // copies out at a time, of all leaf calls out
constexpr double usable_time = 0.65;     // of the time left, that what a query needs may be expected to take
constexpr double lesser_time = 0.35;     // of the time left, for a late query or one over its tenant's share
constexpr double at_rest = 4.0;          // times the quickest calls: what nodes without a backlog take
constexpr Nanos first_pause = 250 * ms;  // for a failing node, doubled each time
constexpr int most_doublings = 3;
constexpr double fade = 20 * second;       // what was seen so long ago counts for a third
constexpr double news_after = 6 * second;  // a sample counts for more where the last one is as old
// A slice of a tenant's traffic is thin and uneven: so much more, and so many at once, are no sign.
constexpr double slice_leeway = 1.5;
constexpr double least_share = 4;
constexpr Nanos trial_after = 5 * second;  // so soon after a break a repeat goes out part by part
constexpr double cold_use = 0.8;           // of what rule 4 leaves for a cold node

struct Vertical {
    VerticalTerms terms;
    bool partial = false;  // may be answered from less than a whole
    double p = 0, k = 0;   // parts; 0 until the first query
    Nanos full_span = 0;   // the longest that a client has waited for one try
};

struct LeafCall {
    std::uint32_t node = none;
    Nanos sent_at = 0;
    int ahead = 0;  // our leaf calls on the node when it was sent
    bool out = true, may_have_run = true;
};

struct Part {
    std::uint32_t id = 0, query = none, shard = 0;
    double weight = 0, cost = 1;  // cost against the vertical's usual
    std::vector<LeafCall> calls;
    int out = 0, spent = 0;  // spent: leaf calls of earlier legs, which count toward the cap
    Nanos held_to = 0;       // turned away unseen: asked again no sooner
    bool planned = false, in = false, lost = false, late = false, late_likely = false;
};

struct Query {
    std::uint32_t id = 0, ask = 0, vertical = 0;
    std::vector<std::uint32_t> parts;    // of the step in hand, heaviest first once planned
    std::vector<std::uint32_t> earlier;  // of the first step, once it is closed
    Nanos slo_at = 0, end_by = 0;
    Nanos answer_with = 0;                 // when a leg is answered with whatever is in; 0 for other queries
    double utility = 1;                    // of the stated: less where the tenant is over its share
    int step = 1, broken = 0;              // broken: calls that ended in a reset
    bool sound = false, on_trial = false;  // sound: a part of it has come back
    bool fresh = true, whole = false, ended = false, listed = true, late_try = false;
};

struct Recent {  // fades from the time at which it was seen
    double value = 0;
    Nanos at = 0;
};

struct TenantShare {
    double rate = 0, left = 0;
    Nanos at = 0;
};

}  // namespace

class QueryRouter::State final : public ArrivalHandler {
  public:
    State(const Terms& t, std::uint64_t seed)
        : over_share_utility_(t.over_share_utility), places_(t.places), width_(t.width),
          call_cap_(t.call_cap), parts_a_call_(t.parts_a_call), call_cost_(static_cast<double>(t.call_cost)),
          routers_(std::max(1, t.routers)), may_cancel_(t.may_cancel), copies_(t.second_copies),
          advises_(t.retry_after), marks_(t.marks_repeats), step_(t.step), margin_(2 * t.step + 3 * ms),
          max_advice_(t.max_retry_after), ask_within_(t.ask_within), cold_from_(t.cold_from),
          cold_turns_(cold_use * t.tip_multiple), cold_(t.cold), fall_(t.fall), budgeted_(t.budgeted),
          budget_free_(t.budget_free), resend_ratio_(t.resend_ratio), budget_window_(t.budget_window),
          chance_(seed), at_place_(t.places), turn_(t.shards) {
        for (const VerticalTerms& v : t.verticals)
            verticals_.push_back({v, v.floor < v.need - sum_slack, 0, 0, 0});
        for (const double rate : t.allowances)
            tenants_.push_back({slice_leeway * rate / routers_, least_share, 0});
        if (t.discovery == Discovery::ask) ask_again_at_ = 0;
        for (auto& turn : turn_) turn = static_cast<std::uint32_t>(chance_());
    }

    template <typename... Figures>
    void log(const char* format, Figures... figures) {
        char line[160];
        std::snprintf(line, sizeof line, format, figures...);
        writer_->log(line);
    }

    void round(Nanos now, Arrivals& arrivals, DecisionWriter& writer) {
        if (now_ == 0) began_ = looked_at_ = moved_at_ = now;
        now_ = now;
        writer_ = &writer;
        for (const std::uint32_t n : in_call_) in_round_[n] = 0;
        in_call_.clear();
        while (!taken_at_.empty() && taken_at_.front() <= now_ - budget_window_ + step_)
            taken_at_.pop_front();
        while (!further_at_.empty() && further_at_.front() < now_ - budget_window_ - step_)
            further_at_.pop_front();
        arrivals.play(*this);
        if (now_ >= ask_again_at_) {
            writer_->listen();
            ask_again_at_ = now_ + std::max(second, ask_within_ / 4);  // unless an answer comes first
        }
        keep_pressure();
        if (now_ - listened_at_ >= 4 * step_) listen_for_silence();
        further_.clear();
        for (const std::uint32_t i : live_)
            if (!queries_[i].ended) settle(queries_[i]);
        // First leaf calls, oldest query first and its heaviest part first.
        for (const std::uint32_t i : live_) {
            Query& q = queries_[i];
            if (q.ended) continue;
            for (const std::uint32_t p : q.parts) {
                if (q.on_trial && !q.sound && any_out(q)) break;
                const Part& part = parts_[p];
                if (part.planned && part.calls.empty() && !part.in && !part.lost) send(parts_[p]);
            }
        }
        // Further leaf calls have a line of their own, served after the first ones.
        for (const std::uint32_t p : further_)
            if (budget_left() && send(parts_[p]) && budgeted_) further_at_.push_back(now_);
        std::erase_if(live_, [this](std::uint32_t i) {
            if (!queries_[i].ended) return false;
            queries_[i].listed = false;
            forget(i);
            return true;
        });
        if ((!live_.empty() || ask_again_at_ != never) && !beat_set_) {
            beat_set_ = true;
            writer_->wake(0, step_);
        }
        writer_ = nullptr;
    }

    std::uint32_t node_index(std::uint32_t id) {
        if (const std::uint32_t known = nodes_.find(id); known != none) return known;
        const std::uint32_t n = nodes_.put(id);
        const auto anew = [&](auto&... arrays) { ((arrays.resize(nodes_.size()), arrays[n] = {}), ...); };
        anew(node_id_, place_, ready_, failing_, started_at_, heard_at_, paused_until_, group_, sampled_at_,
             took_, ahead_, fails_, open_, streak_, recent_ended_, recent_bad_, cold_sent_, drawn_at_, drawn_,
             in_round_);
        node_id_[n] = id;
        place_[n] = none;
        return n;
    }

    void on_nodes(ListKind kind, std::span<const NodeEntry> entries) override {
        if (kind == ListKind::failed) return void(ask_again_at_ = now_ + second);
        if (kind != ListKind::cached) ask_again_at_ = never;  // the subscription stands
        for (std::uint32_t n = 0; kind != ListKind::delta && n < place_.size(); ++n) leave(n);
        for (const NodeEntry& e : entries) {
            const std::uint32_t n = node_index(e.node);
            // Drains are kept: from the moment it is told, nothing new goes to a node that drains or is gone.
            leave(n);
            if (e.availability == Availability::gone) continue;
            listed_ += ready_[n] = e.availability == Availability::ready;
            group_[n] = group_ids_.put(e.group);
            groups_.resize(group_ids_.size());
            if (e.started_at != started_at_[n]) {  // a new process: what was learned of the old one is void
                started_at_[n] = e.started_at;
                took_[n] = usual() / std::sqrt(warmth(n));  // slow until its calls say otherwise
                sampled_at_[n] = now_;
                ahead_[n] = 0, streak_[n] = 0, paused_until_[n] = 0;
            }
            auto& here = at_place_[place_[n] = e.place];
            const auto later = [&](auto i) { return node_id_[i] > e.node; };
            here.insert(std::find_if(here.begin(), here.end(), later), n);
        }
        // A gone node is forgotten, unless calls to it are out or count, or it is cold: ids may be ever new.
        for (std::uint32_t n = 0; n < place_.size(); ++n)
            if (place_[n] == none && open_[n] + recent_ended_[n] == 0 && warmth(n) >= 1 &&
                nodes_.find(node_id_[n]) == n)
                nodes_.drop(node_id_[n]);
    }

    void leave(std::uint32_t n) {
        listed_ -= std::exchange(ready_[n], 0);
        if (place_[n] != none) std::erase(at_place_[std::exchange(place_[n], none)], n);
    }

    void on_query(const QueryArrival& a) override {
        const std::uint32_t i = by_ask_.put(a.ask);
        if (i >= queries_.size()) queries_.resize(i + 1);
        Query& q = queries_[i] = Query{};
        Vertical& v = verticals_[a.vertical];
        q.id = a.id, q.ask = a.ask, q.vertical = a.vertical;
        // A repeat for which the client waits less than for others is a late one: its first try set the
        // clock. Unmarked, no more short waits pass for late tries than were given up lately.
        const Nanos span = a.give_up_at - now_;
        v.full_span = std::max(v.full_span, span);
        const bool late = a.began == 0 && (a.again || repeats_due_ >= 1) && span < v.full_span - margin_;
        if (late && !a.again) repeats_due_ -= 1;
        q.late_try = late;
        q.on_trial = a.again && broken_at_ > 0 && now_ - broken_at_ < trial_after;
        const Nanos began = a.began > 0 ? a.began
                            : late      ? std::min(now_, a.give_up_at - v.terms.deadline)
                                        : now_;
        q.answer_with = a.answer_with;
        q.end_by = a.give_up_at - margin_;
        q.slo_at = std::min(q.end_by, began + v.terms.slo - margin_);
        if (a.tenant < tenants_.size()) {
            TenantShare& t = tenants_[a.tenant];
            t.left = std::min(std::max(least_share, 2 * t.rate), t.left + t.rate * (now_ - t.at) / second);
            t.at = now_;
            if (t.left < 1) q.utility = over_share_utility_;
            t.left -= t.left < 1 ? 0 : 1;
        }
        live_.push_back(i);
        if (budgeted_) taken_at_.push_back(now_);
    }

    void on_part(const PartArrival& a) override {
        const std::uint32_t i = by_ask_.find(a.ask);
        if (budgeted_) taken_at_.push_back(now_);
        if (i == none || queries_[i].ended) return;
        Query& q = queries_[i];
        const std::uint32_t p = part_ids_.put(a.id);
        if (p >= parts_.size()) parts_.resize(p + 1);
        Part& part = parts_[p] = Part{};
        part.id = a.id, part.query = i, part.shard = a.shard, part.weight = a.weight;
        part.spent = a.spent, part.in = a.in, part.lost = !a.in && a.spent >= call_cap_;
        if (a.hint > 0) {
            const auto hint = static_cast<double>(a.hint);
            usual_hint_ += (hint - usual_hint_) * (usual_hint_ == 0 ? 1 : 0.02);
            part.cost = std::clamp(hint / usual_hint_, 0.25, 8.0);
        }
        q.fresh = true;
        q.parts.push_back(p);
    }

    void on_timer(std::uint64_t) override { beat_set_ = false; }

    // Named by a part, it ends the sends of its whole query, which still gets its final answer.
    void on_dropped(std::uint32_t id) override {
        if (const std::uint32_t p = part_ids_.find(id); p != none) {
            for (const std::uint32_t i : queries_[parts_[p].query].parts) parts_[i].lost = !parts_[i].in;
            return;
        }
        for (const std::uint32_t i : live_)
            if (queries_[i].id == id && !queries_[i].ended) end(queries_[i]);
    }

    // A failure of any kind pauses the node, longer each time in a row; each good answer takes one step back.
    // What counts is what came of our own calls: guards against silent, slow and fast-failing nodes alike.
    void fault(std::uint32_t n) {
        if (paused_until_[n] > now_) return;  // what fails of calls sent before the pause tells nothing new
        paused_until_[n] = now_ + (first_pause << std::min(streak_[n], most_doublings));
        if (++streak_[n] < 3 || failing_[n]) return;
        failing_[n] = 1;
        log("node %u fails: %d faults, paused %lld ms", node_id_[n], streak_[n],
            (long long)((paused_until_[n] - now_) / ms));
    }

    void on_leaf_end(const LeafEnd& e) override {
        const std::uint32_t p = part_ids_.find(e.part);
        if (p == none || e.attempt >= parts_[p].calls.size() || !parts_[p].calls[e.attempt].out) return;
        Part& part = parts_[p];
        LeafCall& call = part.calls[e.attempt];
        const std::uint32_t n = call.node;
        call.out = false;
        if (--open_[n] == 0) std::erase(busy_, n);
        --all_open_;
        if (--part.out > 0) --copies_out_;
        using enum Outcome;
        if (e.outcome == full || e.outcome == connect_failed || e.outcome == moot) call.may_have_run = false;
        const double took = static_cast<double>(e.took);
        if (e.outcome != moot && e.outcome != cancelled) {
            heard_at_[n] = now_;
            count(n, (e.outcome == full || e.outcome == timeout) && !part.late);
        }
        if (e.outcome == ok) {
            service_ += service_ == 0 ? took : took < service_ ? (took - service_) * 0.2 : service_ * 0.01;
            sample(n, took / part.cost, call.ahead);
            if (streak_[n] > 0 && --streak_[n] == 0 && failing_[n]) {
                failing_[n] = 0;
                log("node %u answers again: %d ms", node_id_[n], static_cast<int>(e.took / ms));
            }
        } else if (e.outcome == cancelled && took > this->took(n)) {
            sample(n, took, call.ahead);  // it would have taken longer still
        }
        if (e.outcome == full) {  // the node and the part both wait out the first pause
            paused_until_[n] = std::max(paused_until_[n], now_ + first_pause);
            part.held_to = now_ + first_pause;
        }
        // Ended by us after a long wait with not a word from the node: as good as timed out, or a hung node
        // would look fresh each time.
        const bool failed = e.outcome == cancelled
                                ? heard_at_[n] <= call.sent_at && took > copy_after * usual()
                                : e.outcome != ok && e.outcome != full && e.outcome != moot;
        if (failed) fault(n);
        if (failed || e.outcome == ok)
            fails_[n] = {failure_share(n) + (failed - failure_share(n)) * news(fails_[n].at), now_};
        Query& q = queries_[part.query];
        q.sound |= e.outcome == ok;
        if (e.outcome == reset) ++q.broken, broken_at_ = now_;
        if (e.outcome == ok && !q.ended && !part.in) {
            part.in = true;
            cancel_out({p});
        }
        if (q.ended) forget(part.query);
    }

    // What was seen long ago fades: a node's figure to that of its zone and kind, theirs to the fleet's, the
    // fleet's to calls at rest. Guards a router that sees little against going by what is over.
    double faded(Recent seen, double to) const {
        if (seen.at == 0) return to;
        return to + (seen.value - to) * std::exp(-static_cast<double>(now_ - seen.at) / fade);
    }

    double usual() const { return faded(fleet_, service_); }

    double took(std::uint32_t n) const {
        return faded({took_[n], sampled_at_[n]}, faded(groups_[group_[n]], usual()));
    }

    // The less is known of a node, the more a sample counts: one heard of once in ten seconds must tell.
    double news(Nanos last) const {
        return std::max(0.2, 0.8 * (1 - std::exp(-static_cast<double>(now_ - last) / news_after)));
    }

    double failure_share(std::uint32_t n) const { return faded(fails_[n], 0); }

    void sample(std::uint32_t n, double took, int ahead) {
        const double all = usual(), group = faded(groups_[group_[n]], all);
        const double own = faded({took_[n], sampled_at_[n]}, group);
        const bool first = fleet_.at == 0;
        fleet_ = {first ? took : all + (took - all) * 0.02, now_};
        groups_[group_[n]] = {first ? took : group + (took - group) * 0.04, now_};
        took_[n] = first ? took : own + (took - own) * news(sampled_at_[n]);
        ahead_[n] += (ahead - ahead_[n]) * 0.2;
        sampled_at_[n] = now_;
    }

    // How long a leaf call sent now would take: by what calls took there lately, for each one of ours on the
    // node, and at least as long as a node that holds calls of ours has been silent.
    double expected(std::uint32_t n) const {
        const double by_line = std::max(service_, took(n) + (open_[n] - ahead_[n]) * service_);
        return open_[n] == 0 ? by_line : std::max(by_line, static_cast<double>(now_ - heard_at_[n]));
    }

    // The same where a failed call goes again: guards thin traffic against nodes that fail some calls fast.
    double until_served(std::uint32_t n) const { return expected(n) / (1 - failure_share(n)); }

    // A node that holds calls of ours and has said nothing for several times what calls take.
    bool silent(std::uint32_t n, double times) const {
        return open_[n] > 0 && now_ - heard_at_[n] > times * std::max(took(n), usual());
    }

    // Paused, or back from a pause with its first call still out: one call tries the node, others wait.
    bool suspect(std::uint32_t n) const {
        return paused_until_[n] > now_ || (streak_[n] > 0 && open_[n] > 0 && heard_at_[n] < paused_until_[n]);
    }

    // The same, with what is left of a pause.
    double outlook(std::uint32_t n) const {
        return expected(n) + static_cast<double>(std::max<Nanos>(0, paused_until_[n] - now_));
    }

    // The holder that a part of this shard would be back from first, if any, and when.
    std::pair<std::uint32_t, double> best_holder(std::uint32_t shard) const {
        std::pair<std::uint32_t, double> best{none, HUGE_VAL};
        for (int j = 0; j < width_; ++j)
            for (const std::uint32_t n : at_place_[(shard + j) % places_])
                if (const double o = ready_[n] ? outlook(n) : HUGE_VAL; o < best.second) best = {n, o};
        return best;
    }

    // The share of its capacity that a node that started a while ago has at least.
    double warmth(std::uint32_t n) const {
        if (started_at_[n] == 0 || cold_ <= 0 || now_ - started_at_[n] >= cold_) return 1;
        const double age = std::max(0.0, (now_ - started_at_[n]) / static_cast<double>(cold_));
        return cold_from_ + (1 - cold_from_) * age;
    }

    // Rule 4: a cold node gets few calls at a time, and in a window our share of what may push it over at
    // most. A share of under one call is drawn once a window, so that the sum over all routers keeps to the
    // rule: against how many of them are likely to want one, told from our own traffic and the holders left;
    // all of them where it is the only one, since what waits for it adds up.
    bool cold_room(std::uint32_t n, std::ptrdiff_t turns) {
        const double warm = warmth(n);
        if (warm >= 1) return true;
        auto& sent = cold_sent_[n];
        while (!sent.empty() && sent.front() <= now_ - fall_ - step_) sent.pop_front();
        const double call = std::max(service_ > 0 ? service_ : usual_hint_, 20.0 * ms);
        const double most = cold_turns_ / routers_ * warm * fall_ / call;
        if (open_[n] >= 2 + static_cast<int>(3 * warm) || sent.size() + 1.0 > std::max(1.0, most))
            return false;
        if (now_ - drawn_at_[n] >= fall_) {
            drawn_at_[n] = now_;
            drawn_[n] = (chance_() - chance_.min()) / static_cast<double>(chance_.max());
        }
        const double seen = 1 - std::exp((began_ - now_) / static_cast<double>(fall_));
        const double wanted = turns > 0 ? offered() / seen / listed_ * width_ / turns : 1;
        return drawn_[n] < std::min(cold_turns_ * warm, most / std::min(1.0, wanted));
    }

    double offered() const {  // parts that we sent in a window, fading
        return offered_.value * std::exp((offered_.at - now_) / static_cast<double>(fall_));
    }

    // Replicas take turns. Passed over is one that is paused, unless all are, that is expected to take much
    // longer than the best, that is cold and has had enough, or that has been asked for this part already.
    std::uint32_t choose(const Part& part) {
        std::vector<std::uint32_t> holders;
        for (int j = 0; j < width_; ++j)
            for (const std::uint32_t n : at_place_[(part.shard + j) % places_])
                if (ready_[n] &&
                    std::none_of(part.calls.begin(), part.calls.end(), [n](auto& c) { return c.node == n; }))
                    holders.push_back(n);
        bool any_unpaused = false;
        double best = HUGE_VAL;
        const auto usable = [&](std::uint32_t n) { return !any_unpaused || !suspect(n); };
        const auto near = [&](std::uint32_t n) { return usable(n) && until_served(n) <= pass_over * best; };
        const auto look = [&] {
            any_unpaused = std::any_of(holders.begin(), holders.end(), [&](auto n) { return !suspect(n); });
            best = HUGE_VAL;
            for (const std::uint32_t n : holders)
                if (usable(n)) best = std::min(best, until_served(n));
        };
        look();
        const auto turns = !part.calls.empty()  ? 1
                           : holders.size() > 1 ? std::count_if(holders.begin(), holders.end(), near)
                                                : 0;
        if (std::erase_if(holders, [&](std::uint32_t n) { return !cold_room(n, turns); }) > 0) look();
        // Where a call costs the node work of its own, a holder that this round's call already goes to is
        // taken before the next in turn, unless it is slower by more than that cost.
        std::size_t first = holders.size();
        for (std::size_t j = 0; j < holders.size(); ++j) {
            const std::uint32_t n = holders[(turn_[part.shard] + j) % holders.size()];
            if (!usable(n)) continue;
            const bool joins = call_cost_ > 0 && in_round_[n] > 0 && in_round_[n] < parts_a_call_;
            if (joins && until_served(n) <= pass_over * best + call_cost_) {
                first = j;
                break;
            }
            if (first == holders.size() && near(n)) first = j;
            if (call_cost_ <= 0 && first < holders.size()) break;
        }
        if (first == holders.size()) return none;
        turn_[part.shard] += static_cast<std::uint32_t>(first) + 1;
        return holders[(turn_[part.shard] - 1) % holders.size()];
    }

    bool send(Part& part) {
        const std::uint32_t n = choose(part);
        if (n == none) return false;
        if (open_[n] == 0 && streak_[n] == 0) heard_at_[n] = now_;
        part.calls.push_back({n, now_, open_[n], true, true});
        if (part.out++ > 0) ++copies_out_;
        if (open_[n]++ == 0) busy_.push_back(n);
        if (in_round_[n]++ == 0) in_call_.push_back(n);
        ++all_open_;
        if (warmth(n) < 1) cold_sent_[n].push_back(now_);
        offered_ = {offered() + 1, now_};
        writer_->deliver(part.id, node_id_[n], queries_[part.query].end_by - now_);
        return true;
    }

    // Rule 6, with a round's margin at both ends of the window.
    bool budget_left() const {
        const double most = budget_free_ + resend_ratio_ * static_cast<double>(taken_at_.size());
        return !budgeted_ || further_at_.size() + 1.0 <= most;
    }

    // Rule 2: what may run twice, and for how long.
    bool repeat_allowed(const Query& q, const Part& part) const {
        const VerticalTerms& terms = verticals_[q.vertical].terms;
        if (terms.effect == Effect::repeatable) return true;
        for (const LeafCall& call : part.calls) {
            if (!call.may_have_run) continue;
            if (terms.effect == Effect::side_effecting || now_ > call.sent_at + terms.repeat_window - margin_)
                return false;
        }
        return true;
    }

    // Where over a quarter of the nodes are silent, the fleet is slow; else one silent for long is paused.
    void listen_for_silence() {
        listened_at_ = now_;
        const auto is_silent = [this](auto n) { return silent(n, copy_after); };
        few_silent_ = 4 * std::count_if(busy_.begin(), busy_.end(), is_silent) <= listed_;
        for (const std::uint32_t n : busy_)
            if (few_silent_ && !suspect(n) && silent(n, hang_after)) fault(n);
    }

    void count(std::uint32_t n, bool bad) {
        ++ended_;
        if (recent_ended_[n]++ == 0) recent_.push_back(n);
        recent_bad_[n] += bad;
    }

    // Looks each second, once enough parts have ended to show such a share; what was found holds until then.
    void keep_pressure() {
        if (now_ - looked_at_ >= cut_every && ended_ * pressure_share >= 1) {
            // Bad outcomes that pile up at an eighth of the nodes asked are their trouble; one each is no
            // pile.
            std::sort(recent_.begin(), recent_.end(),
                      [this](auto a, auto b) { return recent_bad_[a] < recent_bad_[b]; });
            const int ended = std::exchange(ended_, 0);
            int bad = 0;
            for (std::size_t i = 0; i < recent_.size(); ++i) {
                const int b = recent_bad_[recent_[i]];
                bad += i + (recent_.size() + 7) / 8 < recent_.size() ? b : std::min(b, 1);
            }
            for (const std::uint32_t n : recent_) recent_ended_[n] = recent_bad_[n] = 0;
            recent_.clear();
            const bool pressed = bad > 1 && bad > pressure_share * ended;
            if (pressed != pressed_)
                moved_at_ = 0, log("pressure %s: %d bad of %d parts", pressed ? "on" : "off", bad, ended);
            pressed_ = pressed;
            looked_at_ = now_;
            repeats_due_ *= 0.8;
            for (Vertical& v : verticals_) {
                const double most = std::max(1.0, 2 * p_cut * v.k);
                if (!pressed_) v.p = std::min(v.k, v.p + std::clamp(p_climb * ended, 1.0, most));
            }
        }
        if (!pressed_ || now_ - moved_at_ < cut_every) return;
        moved_at_ = now_;
        for (Vertical& v : verticals_) v.p = std::max(1.0, v.p - p_cut * v.k);
    }

    // Picks the parts to ask, or turns the query away when what it needs can't be in in time.
    void plan(Query& q) {
        Vertical& v = verticals_[q.vertical];
        q.fresh = false;
        const int k = static_cast<int>(q.parts.size());
        std::stable_sort(q.parts.begin(), q.parts.end(),
                         [this](auto a, auto b) { return parts_[a].weight > parts_[b].weight; });
        int p = k;
        if (q.step == 1 && v.partial && k > 0) {
            if (k > v.k) v.p += k - v.k, v.k = k;
            p = std::clamp(static_cast<int>(std::lround(v.p * k / v.k)), 1, k);
            if (k >= widened && parts_[q.parts[0]].weight - parts_[q.parts[1]].weight < close_weights)
                p = std::max(p, widened);
            double sum = 0;
            for (int j = 0; j < k && (j < p || sum < v.terms.floor); ++j, p = std::max(p, j))
                sum += parts_[q.parts[j]].weight;
        }
        for (int j = 0; j < p; ++j) parts_[q.parts[j]].planned = true;
        if (q.step == 2) return;

        // One that is late or over its tenant's share is worth less and must fit in less of the time.
        const bool late = now_ >= q.slo_at;
        const Nanos left = !late                      ? q.slo_at - now_
                           : v.terms.late_utility > 0 ? std::min(q.end_by - now_, v.terms.slo)
                                                      : 0;
        const bool lesser = late || q.utility < 1;
        const double most = lesser ? lesser_time * static_cast<double>(left)
                                   : std::max(usable_time * static_cast<double>(left), at_rest * service_);
        double in_time = 0, sent = 0;
        for (int j = 0; j < k; ++j) {
            Part& part = parts_[q.parts[j]];
            const auto [n, in] = best_holder(part.shard);
            if (part.planned) sent += part.weight;
            if (part.in) in_time += part.weight;
            if (n == none || part.in || part.lost) continue;
            part.late_likely = in > most;
            if (!part.late_likely) in_time += part.weight;
        }
        if (in_time < (v.partial ? v.terms.floor : v.terms.need) - sum_slack)
            return give_up(q, max_advice_ / 2);
        for (int j = p; v.partial && q.step == 1 && j-- > 0;) {
            Part& part = parts_[q.parts[j]];
            if (!part.late_likely || sent - part.weight < v.terms.floor) continue;
            part.planned = false;
            sent -= part.weight;
        }
    }

    void settle(Query& q) {
        if (q.fresh) plan(q);
        if (q.ended) return;
        const Vertical& v = verticals_[q.vertical];
        if (q.parts.empty()) return now_ >= q.end_by ? give_up(q, 0) : void();  // its parts are still to come
        double in = 0, coming = 0, unasked = 0;
        bool all_in = true;
        for (const std::uint32_t i : q.parts) {
            Part& part = parts_[i];
            all_in &= part.in;
            if (!part.lost) (part.in ? in : part.planned ? coming : unasked) += part.weight;
            if (part.out > 0 && !part.in && !part.late && now_ >= q.slo_at) {
                part.late = true;  // as good as timed out
                for (const LeafCall& call : part.calls)
                    if (call.out) count(call.node, true);
            }
        }
        const double needed = v.partial ? v.terms.floor : q.step == 1 ? v.terms.need : 1;
        // A leg that is to bring what it can: its end is no client's answer yet.
        if (q.answer_with > 0 && (all_in || coming <= 0 || now_ >= q.answer_with)) return answer(q, all_in);
        const bool whole = q.step == 1 ? in >= v.terms.need - sum_slack : all_in;
        const bool enough = v.partial && in >= needed - sum_slack;
        const Nanos for_second =
            q.step == 1 && v.terms.second_step > 0 ? static_cast<Nanos>(2.0 * usual()) : 0;
        if (whole) return answer(q, q.step == 1 || q.whole);
        if (enough && (coming <= 0 || now_ >= q.slo_at - for_second)) return answer(q, false);
        const bool worthless = now_ >= q.slo_at && v.terms.late_utility <= 0;
        if (now_ >= q.end_by || worthless || in + coming + unasked < needed - sum_slack)
            return give_up(q, max_advice_ / 2);
        if (in + coming < needed - sum_slack)  // parts were lost: the next heaviest take their place
            for (const std::uint32_t i : q.parts) parts_[i].planned = true;
        // Last, so that no call goes out for a query, or a step of it, that has just been ended.
        if (now_ < q.slo_at || v.terms.late_utility > 0) ask_further(q);
    }

    bool any_out(const Query& q) const {
        return std::any_of(q.parts.begin(), q.parts.end(), [this](auto i) { return parts_[i].out > 0; });
    }

    // A query of which nothing has come back while two parts broke their connections may be what brings nodes
    // down: no further calls until a part comes back; given up when none is out. One part that came back
    // clears it. A marked repeat soon after a break goes out part by part until one is back.
    void ask_further(Query& q) {
        if (!q.sound && q.broken >= (q.on_trial ? 1 : 2)) {
            if (!any_out(q)) give_up(q, max_advice_);
            return;
        }
        // Second copies, for overdue parts: from a replica at rest, while few are out and nothing presses.
        const auto is_in = [this](auto i) { return parts_[i].in; };
        const auto missing = q.parts.size() - std::count_if(q.parts.begin(), q.parts.end(), is_in);
        const bool last_few = !verticals_[q.vertical].partial && missing <= copy_share * q.parts.size();
        const double by = std::max<double>(2 * service_, last_few ? q.slo_at - now_ : 0);
        for (const std::uint32_t i : q.parts) {
            Part& part = parts_[i];
            if (part.in || part.lost || part.calls.empty()) continue;
            const bool allowed =
                part.spent + static_cast<int>(part.calls.size()) < call_cap_ && repeat_allowed(q, part);
            if (part.out == 0) {
                if (allowed && now_ >= part.held_to) further_.push_back(i);
                part.lost = !allowed;
            } else if (allowed && copies_ && part.out == 1) {
                const LeafCall& call = part.calls.back();
                const bool waits = now_ - call.sent_at > copy_after * usual();
                const bool overdue = (waits && silent(call.node, copy_after)) || !ready_[call.node];
                if (overdue && few_silent_ && (!pressed_ || last_few) &&
                    best_holder(part.shard).second < by && copies_out_ < copy_share * all_open_ + 1)
                    further_.push_back(i);
            }
        }
    }

    void answer(Query& q, bool whole) {
        writer_->answer(q.id, whole);
        if (q.step == 2 || verticals_[q.vertical].terms.second_step == 0) return end(q);
        cancel_out(q.parts);
        q.whole = whole, q.step = 2;
        q.earlier = std::exchange(q.parts, {});
    }

    // The final answer at once; a rejection only if nothing may have run of what must not run again.
    void give_up(Query& q, Nanos advice) {
        bool may_have_run = false;
        if (verticals_[q.vertical].terms.effect != Effect::repeatable)
            for (const auto* parts : {&q.earlier, &q.parts})
                for (const std::uint32_t i : *parts)
                    for (const LeafCall& call : parts_[i].calls) may_have_run |= call.may_have_run;
        if (may_have_run)
            writer_->abort(q.id);
        else
            writer_->reject(q.id, advises_ ? std::min(advice, max_advice_) : 0);
        if (!marks_ && !q.late_try) repeats_due_ += 1;
        end(q);
    }

    void end(Query& q) {
        q.ended = true;
        cancel_out(q.parts);
    }

    void cancel_out(const std::vector<std::uint32_t>& parts) {
        if (!may_cancel_) return;
        for (const std::uint32_t i : parts)
            for (std::size_t a = 0; a < parts_[i].calls.size(); ++a)
                if (parts_[i].calls[a].out) writer_->cancel(parts_[i].id, static_cast<std::uint8_t>(a));
    }

    // A query that has ended is kept until the last of its leaf calls is heard of.
    void forget(std::uint32_t i) {
        Query& q = queries_[i];
        if (q.listed) return;
        for (const auto* parts : {&q.earlier, &q.parts})
            for (const std::uint32_t p : *parts)
                if (parts_[p].out > 0) return;
        for (const auto* parts : {&q.earlier, &q.parts})
            for (const std::uint32_t p : *parts) part_ids_.drop(parts_[p].id);
        by_ask_.drop(q.ask);
    }

    // For others who send to these nodes: the whole of rule 4, which routers share among themselves.
    std::vector<NodeJudgement> judge(Nanos now) {
        now_ = now;
        std::vector<NodeJudgement> all;
        for (std::uint32_t n = 0; n < ready_.size(); ++n)
            if (ready_[n]) all.push_back({node_id_[n], warmth(n) < 1 ? cold_use * warmth(n) : 1});
        return all;
    }

    RepeatTerms repeats(std::uint16_t vertical) const {
        const VerticalTerms& terms = verticals_[vertical].terms;
        if (terms.effect == Effect::side_effecting) return {};
        return {call_cap_, terms.effect == Effect::deduplicated ? terms.repeat_window - margin_ : 0};
    }

  private:
    // Derived from what was handed over at start.
    std::vector<Vertical> verticals_;
    std::vector<TenantShare> tenants_;
    double over_share_utility_;
    int places_, width_, call_cap_, parts_a_call_;
    double call_cost_;
    int routers_;
    bool may_cancel_, copies_, advises_, marks_;
    Nanos step_, margin_, max_advice_, ask_within_;
    double cold_from_, cold_turns_;
    Nanos cold_, fall_;
    bool budgeted_;
    double budget_free_, resend_ratio_;
    Nanos budget_window_;
    std::knuth_b chance_;

    Nanos now_ = 0;
    DecisionWriter* writer_ = nullptr;
    bool beat_set_ = false;
    Nanos ask_again_at_ = never;

    // Nodes, in parallel arrays under the index of their id.
    IdIndex nodes_, group_ids_;
    std::vector<std::uint32_t> node_id_, place_, group_;
    std::vector<char> ready_, failing_;  // failing: logged as such
    std::vector<Nanos> started_at_, heard_at_, paused_until_, sampled_at_;
    std::vector<Recent> fails_;         // the share of its calls that failed
    std::vector<double> took_, ahead_;  // what a call took at sampled_at_, with so many of ours ahead of it
    std::vector<int> open_, streak_, in_round_;   // in_round: parts sent this round, in one call
    std::vector<std::uint32_t> in_call_;          // nodes with a call this round
    std::vector<int> recent_ended_, recent_bad_;  // since the last look at pressure, at the nodes of ...
    std::vector<std::uint32_t> recent_, busy_;    // ... this; busy: with calls of ours out
    std::vector<std::deque<Nanos>> cold_sent_;
    std::vector<Nanos> drawn_at_;
    std::vector<double> drawn_;  // by chance for each window: the less, the sooner a cold node gets a call
    Recent offered_;
    std::vector<std::vector<std::uint32_t>> at_place_;
    std::vector<std::uint32_t> turn_;  // per shard
    std::vector<Recent> groups_;       // per zone and machine kind: what leaf calls took there
    Recent fleet_;                     // and everywhere
    double service_ = 0, usual_hint_ = 0;
    int all_open_ = 0, copies_out_ = 0, listed_ = 0;
    double repeats_due_ = 0;  // tries given up lately that may come again unmarked

    IdIndex by_ask_, part_ids_;  // queries go under the number that ties their parts to them
    std::vector<Query> queries_;
    std::vector<Part> parts_;
    std::vector<std::uint32_t> live_;  // queries in hand, in the order in which they came
    std::vector<std::uint32_t> further_;
    std::deque<Nanos> taken_at_, further_at_;

    Nanos began_ = 0, looked_at_ = 0, moved_at_ = 0, listened_at_ = 0, broken_at_ = 0;
    bool pressed_ = false, few_silent_ = true;
    int ended_ = 0;  // parts, since the last look
};

QueryRouter::QueryRouter(const Terms& terms, std::uint64_t seed)
    : state_(std::make_unique<State>(terms, seed)) {}
QueryRouter::~QueryRouter() = default;
QueryRouter::QueryRouter(QueryRouter&&) noexcept = default;

void QueryRouter::round(Nanos now, Arrivals& arrivals, DecisionWriter& writer) {
    state_->round(now, arrivals, writer);
}

std::vector<NodeJudgement> QueryRouter::judge(Nanos now) { return state_->judge(now); }

RepeatTerms QueryRouter::repeats(std::uint16_t vertical) const { return state_->repeats(vertical); }

}  // namespace tealcart
