// The decisions of a query router, all of them. Interface: query_router.hpp beside this file.
//
// The caller makes one QueryRouter for each incarnation of a router and calls round() once a round with all
// that came in: the on_... handlers only note it. Then it decides, in this order: pressure and p, answers and
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
constexpr double p_climb = 0.125;  // for each shard request that has ended, while nothing presses
constexpr Nanos cut_every = second;
constexpr double close_weights = 0.05;
constexpr int widened = 3;
constexpr double sum_slack = 2e-5;  // a sum of rounded weights misses its value by less
constexpr double pass_over = 1.2;   // a replica this many times as slow as the best loses its turn
constexpr double copy_after =
    2.0;  // times what calls take: silence after which a shard request may be copied
constexpr double hang_after = 3.0;       // the same, after which a node is paused
constexpr double copy_share = 0.1;       // copies out at a time, of all leaf calls out
constexpr double usable_time = 0.65;     // of the time left, that what a query needs may be expected to take
constexpr double lesser_time = 0.35;     // of the time left, for a late query or one over its tenant's share
constexpr double at_rest = 4.0;          // times the quickest calls: what nodes without a backlog take
constexpr Nanos first_pause = 250 * ms;  // for a failing node, doubled each time
constexpr int max_doublings = 3;
constexpr double fade = 20 * second;       // what was seen so long ago counts for a third
constexpr double news_after = 6 * second;  // a sample counts for more where the last one is as old
// A slice of a tenant's traffic is thin and uneven: so much more, and so many at once, are no sign.
constexpr double slice_leeway = 1.5;
constexpr double min_share = 4;
constexpr Nanos trial_after =
    5 * second;                   // so soon after a break a repeat goes out shard request by shard request
constexpr double cold_use = 0.8;  // of what rule 4 leaves for a cold node

struct QueryClass {
    QueryClassConfig config;
    bool partial = false;  // may be answered from less than a whole
    double p = 0, k = 0;   // shard requests; 0 until the first query
    Nanos full_span = 0;   // the longest that a client has waited for one try
};

struct Attempt {
    std::uint32_t node = none;
    Nanos sent_at = 0;
    int ahead = 0;  // our leaf calls on the node when it was sent
    bool out = true, may_have_run = true;
};

struct ShardRequest {
    std::uint32_t id = 0, query = none, shard = 0;
    double weight = 0, cost = 1;  // cost against the query class's usual
    std::vector<Attempt> calls;
    int out = 0, spent = 0;  // spent: leaf calls of earlier legs, which count toward the cap
    Nanos held_to = 0;       // turned away unseen: asked again no sooner
    bool planned = false, in = false, lost = false, late = false, late_likely = false;
};

struct Query {
    std::uint32_t id = 0, ask = 0, query_class = 0;
    std::vector<std::uint32_t> shard_requests;  // of the step in hand, heaviest first once planned
    std::vector<std::uint32_t> earlier;         // of the first step, once it is closed
    Nanos slo_at = 0, end_by = 0;
    Nanos answer_by = 0;                   // when a leg is answered with whatever is in; 0 for other queries
    double utility = 1;                    // of the stated: less where the tenant is over its share
    int step = 1, broken = 0;              // broken: calls that ended in a reset
    bool sound = false, on_trial = false;  // sound: a shard request of it has come back
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

class QueryRouter::State final : public RoundEventHandler {
  public:
    State(const RouterConfig& t, std::uint64_t seed)
        : over_share_utility_(t.over_quota_weight), places_(t.places), width_(t.replicas_per_shard),
          call_cap_(t.max_attempts), max_requests_per_call_(t.max_requests_per_call),
          call_cost_(static_cast<double>(t.call_overhead)), routers_(std::max(1, t.routers)),
          may_cancel_(t.may_cancel), copies_(t.may_hedge), advises_(t.retry_after), marks_(t.retries_marked),
          step_(t.round_interval), margin_(2 * t.round_interval + 3 * ms), max_advice_(t.max_retry_after),
          ask_within_(t.max_poll_interval), cold_from_(t.slow_start_min_fraction),
          cold_turns_(cold_use * t.overload_multiple), cold_(t.slow_start_duration), fall_(t.overload_window),
          budgeted_(t.retry_budget_enabled), budget_free_(t.retry_budget_free),
          resend_ratio_(t.retry_budget_ratio), budget_window_(t.retry_budget_window), chance_(seed),
          at_place_(t.places), turn_(t.shards) {
        for (const QueryClassConfig& v : t.query_classes)
            query_classes_.push_back({v, v.min_answer_weight < v.complete_weight - sum_slack, 0, 0, 0});
        for (const double rate : t.tenant_quotas)
            tenants_.push_back({slice_leeway * rate / routers_, min_share, 0});
        if (t.discovery == Discovery::poll) ask_again_at_ = 0;
        for (auto& turn : turn_) turn = static_cast<std::uint32_t>(chance_());
    }

    template <typename... Figures>
    void log(const char* format, Figures... figures) {
        char line[160];
        std::snprintf(line, sizeof line, format, figures...);
        writer_->log(line);
    }

    void round(Nanos now, RoundEvents& arrivals, DecisionSink& writer) {
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
            writer_->watch_endpoints();
            ask_again_at_ = now_ + std::max(second, ask_within_ / 4);  // unless an answer comes first
        }
        keep_pressure();
        if (now_ - listened_at_ >= 4 * step_) listen_for_silence();
        further_.clear();
        for (const std::uint32_t i : live_)
            if (!queries_[i].ended) settle(queries_[i]);
        // First leaf calls, oldest query first and its heaviest shard request first.
        for (const std::uint32_t i : live_) {
            Query& q = queries_[i];
            if (q.ended) continue;
            for (const std::uint32_t p : q.shard_requests) {
                if (q.on_trial && !q.sound && any_out(q)) break;
                const ShardRequest& shard_request = shard_requests_[p];
                if (shard_request.planned && shard_request.calls.empty() && !shard_request.in &&
                    !shard_request.lost)
                    send(shard_requests_[p]);
            }
        }
        // Further leaf calls have a line of their own, served after the first ones.
        for (const std::uint32_t p : further_)
            if (budget_left() && send(shard_requests_[p]) && budgeted_) further_at_.push_back(now_);
        std::erase_if(live_, [this](std::uint32_t i) {
            if (!queries_[i].ended) return false;
            queries_[i].listed = false;
            forget(i);
            return true;
        });
        if ((!live_.empty() || ask_again_at_ != never) && !beat_set_) {
            beat_set_ = true;
            writer_->set_timer(0, step_);
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

    void on_nodes(ListKind kind, std::span<const Endpoint> entries) override {
        if (kind == ListKind::failed) return void(ask_again_at_ = now_ + second);
        if (kind != ListKind::cached) ask_again_at_ = never;  // the subscription stands
        for (std::uint32_t n = 0; kind != ListKind::delta && n < place_.size(); ++n) leave(n);
        for (const Endpoint& e : entries) {
            const std::uint32_t n = node_index(e.node);
            // Drains are kept: from the moment it is told, nothing new goes to a node that drains or is gone.
            leave(n);
            if (e.lifecycle == Lifecycle::removed) continue;
            listed_ += ready_[n] = e.lifecycle == Lifecycle::ready;
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
        const std::uint32_t i = by_ask_.put(a.correlation_id);
        if (i >= queries_.size()) queries_.resize(i + 1);
        Query& q = queries_[i] = Query{};
        QueryClass& v = query_classes_[a.query_class];
        q.id = a.id, q.ask = a.correlation_id, q.query_class = a.query_class;
        // A repeat for which the client waits less than for others is a late one: its first try set the
        // clock. Unmarked, no more short waits pass for late tries than were given up lately.
        const Nanos span = a.deadline_at - now_;
        v.full_span = std::max(v.full_span, span);
        const bool late =
            a.began_at == 0 && (a.is_retry || repeats_due_ >= 1) && span < v.full_span - margin_;
        if (late && !a.is_retry) repeats_due_ -= 1;
        q.late_try = late;
        q.on_trial = a.is_retry && broken_at_ > 0 && now_ - broken_at_ < trial_after;
        const Nanos began = a.began_at > 0 ? a.began_at
                            : late         ? std::min(now_, a.deadline_at - v.config.deadline)
                                           : now_;
        q.answer_by = a.answer_by;
        q.end_by = a.deadline_at - margin_;
        q.slo_at = std::min(q.end_by, began + v.config.latency_objective - margin_);
        if (a.tenant < tenants_.size()) {
            TenantShare& t = tenants_[a.tenant];
            t.left = std::min(std::max(min_share, 2 * t.rate), t.left + t.rate * (now_ - t.at) / second);
            t.at = now_;
            if (t.left < 1) q.utility = over_share_utility_;
            t.left -= t.left < 1 ? 0 : 1;
        }
        live_.push_back(i);
        if (budgeted_) taken_at_.push_back(now_);
    }

    void on_shard_request(const ShardRequestArrival& a) override {
        const std::uint32_t i = by_ask_.find(a.correlation_id);
        if (budgeted_) taken_at_.push_back(now_);
        if (i == none || queries_[i].ended) return;
        Query& q = queries_[i];
        const std::uint32_t p = shard_request_ids_.put(a.id);
        if (p >= shard_requests_.size()) shard_requests_.resize(p + 1);
        ShardRequest& shard_request = shard_requests_[p] = ShardRequest{};
        shard_request.id = a.id, shard_request.query = i, shard_request.shard = a.shard,
        shard_request.weight = a.weight;
        shard_request.spent = a.attempts_used, shard_request.in = a.answered,
        shard_request.lost = !a.answered && a.attempts_used >= call_cap_;
        if (a.cost_hint > 0) {
            const auto hint = static_cast<double>(a.cost_hint);
            usual_hint_ += (hint - usual_hint_) * (usual_hint_ == 0 ? 1 : 0.02);
            shard_request.cost = std::clamp(hint / usual_hint_, 0.25, 8.0);
        }
        q.fresh = true;
        q.shard_requests.push_back(p);
    }

    void on_timer(std::uint64_t) override { beat_set_ = false; }

    // Named by a shard request, it ends the sends of its whole query, which still gets its final answer.
    void on_query_dropped(std::uint32_t id) override {
        if (const std::uint32_t p = shard_request_ids_.find(id); p != none) {
            for (const std::uint32_t i : queries_[shard_requests_[p].query].shard_requests)
                shard_requests_[i].lost = !shard_requests_[i].in;
            return;
        }
        for (const std::uint32_t i : live_)
            if (queries_[i].id == id && !queries_[i].ended) end(queries_[i]);
    }

    // A failure of any kind pauses the node, longer each time in a row; each good answer takes one step back.
    // What counts is what came of our own calls: guards against silent, slow and fast-failing nodes alike.
    void fault(std::uint32_t n) {
        if (paused_until_[n] > now_) return;  // what fails of calls sent before the pause tells nothing new
        paused_until_[n] = now_ + (first_pause << std::min(streak_[n], max_doublings));
        if (++streak_[n] < 3 || failing_[n]) return;
        failing_[n] = 1;
        log("node %u fails: %d faults, paused %lld ms", node_id_[n], streak_[n],
            (long long)((paused_until_[n] - now_) / ms));
    }

    void on_attempt_result(const AttemptResult& e) override {
        const std::uint32_t p = shard_request_ids_.find(e.shard_request);
        if (p == none || e.attempt >= shard_requests_[p].calls.size() ||
            !shard_requests_[p].calls[e.attempt].out)
            return;
        ShardRequest& shard_request = shard_requests_[p];
        Attempt& call = shard_request.calls[e.attempt];
        const std::uint32_t n = call.node;
        call.out = false;
        if (--open_[n] == 0) std::erase(busy_, n);
        --all_open_;
        if (--shard_request.out > 0) --copies_out_;
        using enum Outcome;
        if (e.outcome == overloaded || e.outcome == connect_failed || e.outcome == not_sent)
            call.may_have_run = false;
        const double took = static_cast<double>(e.latency);
        if (e.outcome != not_sent && e.outcome != cancelled) {
            heard_at_[n] = now_;
            count(n, (e.outcome == overloaded || e.outcome == timeout) && !shard_request.late);
        }
        if (e.outcome == ok) {
            service_ += service_ == 0 ? took : took < service_ ? (took - service_) * 0.2 : service_ * 0.01;
            sample(n, took / shard_request.cost, call.ahead);
            if (streak_[n] > 0 && --streak_[n] == 0 && failing_[n]) {
                failing_[n] = 0;
                log("node %u answers again: %d ms", node_id_[n], static_cast<int>(e.latency / ms));
            }
        } else if (e.outcome == cancelled && took > this->took(n)) {
            sample(n, took, call.ahead);  // it would have taken longer still
        }
        if (e.outcome == overloaded) {  // the node and the shard request both wait out the first pause
            paused_until_[n] = std::max(paused_until_[n], now_ + first_pause);
            shard_request.held_to = now_ + first_pause;
        }
        // Ended by us after a long wait with not a word from the node: as good as timed out, or a hung node
        // would look fresh each time.
        const bool failed = e.outcome == cancelled
                                ? heard_at_[n] <= call.sent_at && took > copy_after * usual()
                                : e.outcome != ok && e.outcome != overloaded && e.outcome != not_sent;
        if (failed) fault(n);
        if (failed || e.outcome == ok)
            fails_[n] = {failure_share(n) + (failed - failure_share(n)) * news(fails_[n].at), now_};
        Query& q = queries_[shard_request.query];
        q.sound |= e.outcome == ok;
        if (e.outcome == reset) ++q.broken, broken_at_ = now_;
        if (e.outcome == ok && !q.ended && !shard_request.in) {
            shard_request.in = true;
            cancel_out({p});
        }
        if (q.ended) forget(shard_request.query);
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

    // The holder that a shard request of this shard would be back from first, if any, and when.
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

    double offered() const {  // shard requests that we sent in a window, fading
        return offered_.value * std::exp((offered_.at - now_) / static_cast<double>(fall_));
    }

    // Replicas take turns. Passed over is one that is paused, unless all are, that is expected to take much
    // longer than the best, that is cold and has had enough, or that has been asked for this shard request
    // already.
    std::uint32_t choose(const ShardRequest& shard_request) {
        std::vector<std::uint32_t> holders;
        for (int j = 0; j < width_; ++j)
            for (const std::uint32_t n : at_place_[(shard_request.shard + j) % places_])
                if (ready_[n] && std::none_of(shard_request.calls.begin(), shard_request.calls.end(),
                                              [n](auto& c) { return c.node == n; }))
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
        const auto turns = !shard_request.calls.empty() ? 1
                           : holders.size() > 1         ? std::count_if(holders.begin(), holders.end(), near)
                                                        : 0;
        if (std::erase_if(holders, [&](std::uint32_t n) { return !cold_room(n, turns); }) > 0) look();
        // Where a call costs the node work of its own, a holder that this round's call already goes to is
        // taken before the next in turn, unless it is slower by more than that cost.
        std::size_t first = holders.size();
        for (std::size_t j = 0; j < holders.size(); ++j) {
            const std::uint32_t n = holders[(turn_[shard_request.shard] + j) % holders.size()];
            if (!usable(n)) continue;
            const bool joins = call_cost_ > 0 && in_round_[n] > 0 && in_round_[n] < max_requests_per_call_;
            if (joins && until_served(n) <= pass_over * best + call_cost_) {
                first = j;
                break;
            }
            if (first == holders.size() && near(n)) first = j;
            if (call_cost_ <= 0 && first < holders.size()) break;
        }
        if (first == holders.size()) return none;
        turn_[shard_request.shard] += static_cast<std::uint32_t>(first) + 1;
        return holders[(turn_[shard_request.shard] - 1) % holders.size()];
    }

    bool send(ShardRequest& shard_request) {
        const std::uint32_t n = choose(shard_request);
        if (n == none) return false;
        if (open_[n] == 0 && streak_[n] == 0) heard_at_[n] = now_;
        shard_request.calls.push_back({n, now_, open_[n], true, true});
        if (shard_request.out++ > 0) ++copies_out_;
        if (open_[n]++ == 0) busy_.push_back(n);
        if (in_round_[n]++ == 0) in_call_.push_back(n);
        ++all_open_;
        if (warmth(n) < 1) cold_sent_[n].push_back(now_);
        offered_ = {offered() + 1, now_};
        writer_->send_attempt(shard_request.id, node_id_[n], queries_[shard_request.query].end_by - now_);
        return true;
    }

    // Rule 6, with a round's margin at both ends of the window.
    bool budget_left() const {
        const double most = budget_free_ + resend_ratio_ * static_cast<double>(taken_at_.size());
        return !budgeted_ || further_at_.size() + 1.0 <= most;
    }

    // Rule 2: what may run twice, and for how long.
    bool repeat_allowed(const Query& q, const ShardRequest& shard_request) const {
        const QueryClassConfig& config = query_classes_[q.query_class].config;
        if (config.effect == Effect::idempotent) return true;
        for (const Attempt& call : shard_request.calls) {
            if (!call.may_have_run) continue;
            if (config.effect == Effect::not_idempotent ||
                now_ > call.sent_at + config.idempotency_window - margin_)
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

    // Looks each second, once enough shard requests have ended to show such a share; what was found holds
    // until then.
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
            for (QueryClass& v : query_classes_) {
                const double most = std::max(1.0, 2 * p_cut * v.k);
                if (!pressed_) v.p = std::min(v.k, v.p + std::clamp(p_climb * ended, 1.0, most));
            }
        }
        if (!pressed_ || now_ - moved_at_ < cut_every) return;
        moved_at_ = now_;
        for (QueryClass& v : query_classes_) v.p = std::max(1.0, v.p - p_cut * v.k);
    }

    // Picks the shard requests to ask, or turns the query away when what it needs can't be in in time.
    void plan(Query& q) {
        QueryClass& v = query_classes_[q.query_class];
        q.fresh = false;
        const int k = static_cast<int>(q.shard_requests.size());
        std::stable_sort(q.shard_requests.begin(), q.shard_requests.end(), [this](auto a, auto b) {
            return shard_requests_[a].weight > shard_requests_[b].weight;
        });
        int p = k;
        if (q.step == 1 && v.partial && k > 0) {
            if (k > v.k) v.p += k - v.k, v.k = k;
            p = std::clamp(static_cast<int>(std::lround(v.p * k / v.k)), 1, k);
            if (k >= widened &&
                shard_requests_[q.shard_requests[0]].weight - shard_requests_[q.shard_requests[1]].weight <
                    close_weights)
                p = std::max(p, widened);
            double sum = 0;
            for (int j = 0; j < k && (j < p || sum < v.config.min_answer_weight); ++j, p = std::max(p, j))
                sum += shard_requests_[q.shard_requests[j]].weight;
        }
        for (int j = 0; j < p; ++j) shard_requests_[q.shard_requests[j]].planned = true;
        if (q.step == 2) return;

        // One that is late or over its tenant's share is worth less and must fit in less of the time.
        const bool late = now_ >= q.slo_at;
        const Nanos left = !late                      ? q.slo_at - now_
                           : v.config.late_weight > 0 ? std::min(q.end_by - now_, v.config.latency_objective)
                                                      : 0;
        const bool lesser = late || q.utility < 1;
        const double most = lesser ? lesser_time * static_cast<double>(left)
                                   : std::max(usable_time * static_cast<double>(left), at_rest * service_);
        double in_time = 0, sent = 0;
        for (int j = 0; j < k; ++j) {
            ShardRequest& shard_request = shard_requests_[q.shard_requests[j]];
            const auto [n, in] = best_holder(shard_request.shard);
            if (shard_request.planned) sent += shard_request.weight;
            if (shard_request.in) in_time += shard_request.weight;
            if (n == none || shard_request.in || shard_request.lost) continue;
            shard_request.late_likely = in > most;
            if (!shard_request.late_likely) in_time += shard_request.weight;
        }
        if (in_time < (v.partial ? v.config.min_answer_weight : v.config.complete_weight) - sum_slack)
            return give_up(q, max_advice_ / 2);
        for (int j = p; v.partial && q.step == 1 && j-- > 0;) {
            ShardRequest& shard_request = shard_requests_[q.shard_requests[j]];
            if (!shard_request.late_likely || sent - shard_request.weight < v.config.min_answer_weight)
                continue;
            shard_request.planned = false;
            sent -= shard_request.weight;
        }
    }

    void settle(Query& q) {
        if (q.fresh) plan(q);
        if (q.ended) return;
        const QueryClass& v = query_classes_[q.query_class];
        if (q.shard_requests.empty())
            return now_ >= q.end_by ? give_up(q, 0) : void();  // its shard requests are still to come
        double in = 0, coming = 0, unasked = 0;
        bool all_in = true;
        for (const std::uint32_t i : q.shard_requests) {
            ShardRequest& shard_request = shard_requests_[i];
            all_in &= shard_request.in;
            if (!shard_request.lost)
                (shard_request.in ? in : shard_request.planned ? coming : unasked) += shard_request.weight;
            if (shard_request.out > 0 && !shard_request.in && !shard_request.late && now_ >= q.slo_at) {
                shard_request.late = true;  // as good as timed out
                for (const Attempt& call : shard_request.calls)
                    if (call.out) count(call.node, true);
            }
        }
        const double needed = v.partial     ? v.config.min_answer_weight
                              : q.step == 1 ? v.config.complete_weight
                                            : 1;
        // A leg that is to bring what it can: its end is no client's answer yet.
        if (q.answer_by > 0 && (all_in || coming <= 0 || now_ >= q.answer_by)) return answer(q, all_in);
        const bool whole = q.step == 1 ? in >= v.config.complete_weight - sum_slack : all_in;
        const bool enough = v.partial && in >= needed - sum_slack;
        const Nanos for_second =
            q.step == 1 && v.config.second_step_requests > 0 ? static_cast<Nanos>(2.0 * usual()) : 0;
        if (whole) return answer(q, q.step == 1 || q.whole);
        if (enough && (coming <= 0 || now_ >= q.slo_at - for_second)) return answer(q, false);
        const bool worthless = now_ >= q.slo_at && v.config.late_weight <= 0;
        if (now_ >= q.end_by || worthless || in + coming + unasked < needed - sum_slack)
            return give_up(q, max_advice_ / 2);
        if (in + coming < needed - sum_slack)  // shard requests were lost: the next heaviest take their place
            for (const std::uint32_t i : q.shard_requests) shard_requests_[i].planned = true;
        // Last, so that no call goes out for a query, or a step of it, that has just been ended.
        if (now_ < q.slo_at || v.config.late_weight > 0) ask_further(q);
    }

    bool any_out(const Query& q) const {
        return std::any_of(q.shard_requests.begin(), q.shard_requests.end(),
                           [this](auto i) { return shard_requests_[i].out > 0; });
    }

    // A query of which nothing has come back while two shard requests broke their connections may be what
    // brings nodes down: no further calls until a shard request comes back; given up when none is out. One
    // shard request that came back clears it. A marked repeat soon after a break goes out shard request by
    // shard request until one is back.
    void ask_further(Query& q) {
        if (!q.sound && q.broken >= (q.on_trial ? 1 : 2)) {
            if (!any_out(q)) give_up(q, max_advice_);
            return;
        }
        // Second copies, for overdue shard requests: from a replica at rest, while few are out and nothing
        // presses.
        const auto is_in = [this](auto i) { return shard_requests_[i].in; };
        const auto missing =
            q.shard_requests.size() - std::count_if(q.shard_requests.begin(), q.shard_requests.end(), is_in);
        const bool last_few =
            !query_classes_[q.query_class].partial && missing <= copy_share * q.shard_requests.size();
        const double by = std::max<double>(2 * service_, last_few ? q.slo_at - now_ : 0);
        for (const std::uint32_t i : q.shard_requests) {
            ShardRequest& shard_request = shard_requests_[i];
            if (shard_request.in || shard_request.lost || shard_request.calls.empty()) continue;
            const bool allowed =
                shard_request.spent + static_cast<int>(shard_request.calls.size()) < call_cap_ &&
                repeat_allowed(q, shard_request);
            if (shard_request.out == 0) {
                if (allowed && now_ >= shard_request.held_to) further_.push_back(i);
                shard_request.lost = !allowed;
            } else if (allowed && copies_ && shard_request.out == 1) {
                const Attempt& call = shard_request.calls.back();
                const bool waits = now_ - call.sent_at > copy_after * usual();
                const bool overdue = (waits && silent(call.node, copy_after)) || !ready_[call.node];
                if (overdue && few_silent_ && (!pressed_ || last_few) &&
                    best_holder(shard_request.shard).second < by && copies_out_ < copy_share * all_open_ + 1)
                    further_.push_back(i);
            }
        }
    }

    void answer(Query& q, bool whole) {
        writer_->answer(q.id, whole);
        if (q.step == 2 || query_classes_[q.query_class].config.second_step_requests == 0) return end(q);
        cancel_out(q.shard_requests);
        q.whole = whole, q.step = 2;
        q.earlier = std::exchange(q.shard_requests, {});
    }

    // The final answer at once; a rejection only if nothing may have run of what must not run again.
    void give_up(Query& q, Nanos advice) {
        bool may_have_run = false;
        if (query_classes_[q.query_class].config.effect != Effect::idempotent)
            for (const auto* shard_requests : {&q.earlier, &q.shard_requests})
                for (const std::uint32_t i : *shard_requests)
                    for (const Attempt& call : shard_requests_[i].calls) may_have_run |= call.may_have_run;
        if (may_have_run)
            writer_->fail_query(q.id);
        else
            writer_->reject(q.id, advises_ ? std::min(advice, max_advice_) : 0);
        if (!marks_ && !q.late_try) repeats_due_ += 1;
        end(q);
    }

    void end(Query& q) {
        q.ended = true;
        cancel_out(q.shard_requests);
    }

    void cancel_out(const std::vector<std::uint32_t>& shard_requests) {
        if (!may_cancel_) return;
        for (const std::uint32_t i : shard_requests)
            for (std::size_t a = 0; a < shard_requests_[i].calls.size(); ++a)
                if (shard_requests_[i].calls[a].out)
                    writer_->cancel(shard_requests_[i].id, static_cast<std::uint8_t>(a));
    }

    // A query that has ended is kept until the last of its leaf calls is heard of.
    void forget(std::uint32_t i) {
        Query& q = queries_[i];
        if (q.listed) return;
        for (const auto* shard_requests : {&q.earlier, &q.shard_requests})
            for (const std::uint32_t p : *shard_requests)
                if (shard_requests_[p].out > 0) return;
        for (const auto* shard_requests : {&q.earlier, &q.shard_requests})
            for (const std::uint32_t p : *shard_requests) shard_request_ids_.drop(shard_requests_[p].id);
        by_ask_.drop(q.ask);
    }

    // For others who send to these nodes: the whole of rule 4, which routers share among themselves.
    std::vector<NodeCapacityShare> capacity_shares(Nanos now) {
        now_ = now;
        std::vector<NodeCapacityShare> all;
        for (std::uint32_t n = 0; n < ready_.size(); ++n)
            if (ready_[n]) all.push_back({node_id_[n], warmth(n) < 1 ? cold_use * warmth(n) : 1});
        return all;
    }

    RetryLimits retry_limits(std::uint16_t query_class) const {
        const QueryClassConfig& config = query_classes_[query_class].config;
        if (config.effect == Effect::not_idempotent) return {};
        return {call_cap_,
                config.effect == Effect::idempotent_with_key ? config.idempotency_window - margin_ : 0};
    }

  private:
    // Derived from what was handed over at start.
    std::vector<QueryClass> query_classes_;
    std::vector<TenantShare> tenants_;
    double over_share_utility_;
    int places_, width_, call_cap_, max_requests_per_call_;
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
    DecisionSink* writer_ = nullptr;
    bool beat_set_ = false;
    Nanos ask_again_at_ = never;

    // Nodes, in parallel arrays under the index of their id.
    IdIndex nodes_, group_ids_;
    std::vector<std::uint32_t> node_id_, place_, group_;
    std::vector<char> ready_, failing_;  // failing: logged as such
    std::vector<Nanos> started_at_, heard_at_, paused_until_, sampled_at_;
    std::vector<Recent> fails_;         // the share of its calls that failed
    std::vector<double> took_, ahead_;  // what a call took at sampled_at_, with so many of ours ahead of it
    std::vector<int> open_, streak_, in_round_;   // in_round: shard requests sent this round, in one call
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

    IdIndex by_ask_,
        shard_request_ids_;  // queries go under the number that ties their shard requests to them
    std::vector<Query> queries_;
    std::vector<ShardRequest> shard_requests_;
    std::vector<std::uint32_t> live_;  // queries in hand, in the order in which they came
    std::vector<std::uint32_t> further_;
    std::deque<Nanos> taken_at_, further_at_;

    Nanos began_ = 0, looked_at_ = 0, moved_at_ = 0, listened_at_ = 0, broken_at_ = 0;
    bool pressed_ = false, few_silent_ = true;
    int ended_ = 0;  // shard requests, since the last look
};

QueryRouter::QueryRouter(const RouterConfig& config, std::uint64_t seed)
    : state_(std::make_unique<State>(config, seed)) {}
QueryRouter::~QueryRouter() = default;
QueryRouter::QueryRouter(QueryRouter&&) noexcept = default;

void QueryRouter::round(Nanos now, RoundEvents& arrivals, DecisionSink& writer) {
    state_->round(now, arrivals, writer);
}

std::vector<NodeCapacityShare> QueryRouter::capacity_shares(Nanos now) {
    return state_->capacity_shares(now);
}

RetryLimits QueryRouter::retry_limits(std::uint16_t query_class) const {
    return state_->retry_limits(query_class);
}

}  // namespace tealcart
