#include "service/query_dispatcher.hpp"

#include <algorithm>
#include <charconv>
#include <optional>

#include "log/log.hpp"

namespace tealcart {
namespace {

constexpr Nanos ms = 1'000'000;
constexpr std::int64_t max_deadline_ms = 24 * 3600 * 1000;
enum Due : std::uint64_t { patience = UINT64_MAX };  // else a cookie of the module's

// Ids and keys go into frames' lines as they are.
bool speakable(std::string_view text) {
    return !text.empty() && text.size() <= 128 &&
           std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c < 0x7f && c != ','; });
}

std::optional<Nanos> read_deadline(std::string_view text) {
    std::int64_t value = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (ec != std::errc() || end != text.data() + text.size() || value <= 0 || value > max_deadline_ms)
        return std::nullopt;
    return value * ms;
}

}  // namespace

QueryDispatcher::QueryDispatcher(EventClock& time, const StartupConfig& launch)
    : time_(time), step_(launch.config.round_interval),
      shards_(static_cast<std::uint32_t>(launch.config.shards)),
      query_classes_(launch.connection_config.query_classes),
      max_in_flight_(static_cast<std::size_t>(launch.connection_config.max_in_flight)),
      max_requests_per_call_(static_cast<std::size_t>(launch.connection_config.max_requests_per_call)),
      call_cap_(launch.config.max_attempts), phases_(launch.phases),
      may_phase_(!launch.operators.member.relays.empty() ||
                 std::any_of(phases_.begin(), phases_.end(), [](const TwoPhaseConfig& p) { return p.on; })),
      remembers_(any_remembers(phases_)),
      speakers_(launch.config.places, launch.config.replicas_per_shard, launch.operators.memory.distrust),
      memory_(launch.operators.memory, shards_), chance_(launch.seed + 1),
      router_(launch.config, launch.seed) {
    for (const QueryClassConfig& v : launch.config.query_classes) {
        slo_.push_back(v.latency_objective);
        keyed_.push_back(v.effect == Effect::idempotent_with_key);
        idempotency_window_.push_back(keyed_.back() ? v.idempotency_window - v.idempotency_window / 50 : 0);
    }
}

void QueryDispatcher::set_serving_state(ServingStateSource by, const MemberServingState& serving_state) {
    serving_states_[static_cast<std::size_t>(by)] = serving_state;
    const auto& [a, b] = serving_states_;
    serving_state_ = {a.ready && b.ready, a.admits && b.admits, std::min(a.attempts_until, b.attempts_until)};
}

void QueryDispatcher::refuse(Handle client, int status, std::string_view words) {
    front_->answer(client, {status, write_error(words), 0});
}

void QueryDispatcher::on_request(Handle client, Request& request, Nanos began) {
    const std::string_view path = request.path;
    if (path == "/-/ready" || path == "/-/healthy") {
        if (request.method != "GET") return front_->answer(client, {405, write_error("GET only"), 0, "GET"});
        if (!begun_ && path == "/-/ready") return refuse(client, 503, "waiting for discovery's list");
        if (stopping_ && path == "/-/ready") return refuse(client, 503, "stopping");
        if (!serving_state_.ready && path == "/-/ready") {
            const bool out = !serving_states_[static_cast<std::size_t>(ServingStateSource::agreement)].ready;
            return refuse(client, 503, out ? "out of the fleet" : "without a current configuration");
        }
        return front_->answer(client, {200, {}, 0});
    }
    const std::string_view name = path.substr(0, path.find('/', 1));
    const auto found =
        std::find_if(query_classes_.begin(), query_classes_.end(), [name](const std::string& v) {
            return name.size() == v.size() + 1 && name[0] == '/' && name.substr(1) == v;
        });
    if (found == query_classes_.end()) return refuse(client, 404, "no such vertical");
    if (request.method != "POST") return front_->answer(client, {405, write_error("POST only"), 0, "POST"});
    const auto query_class = static_cast<std::uint16_t>(found - query_classes_.begin());
    if (!speakable(request.id)) return refuse(client, 400, "X-Request-Id is missing or malformed");
    const auto deadline = read_deadline(request.deadline);
    if (!deadline) return refuse(client, 400, "X-Deadline-Ms is missing or malformed");
    if (keyed_[query_class] && !speakable(request.key))
        return refuse(client, 400, "Idempotency-Key is missing or malformed");
    std::string wrong;
    Find find;
    const TwoPhaseConfig& phases = phases_[query_class];
    QueryBody body = read_query(request.body, shards_, wrong, phases.on ? &find : nullptr);
    if (!wrong.empty()) return refuse(client, 400, wrong);
    // Its shard requests could not be told from those of the query that is out.
    if (by_text_.contains(request.id)) return refuse(client, 409, "X-Request-Id is in use");
    if (held_ >= max_in_flight_) return refuse(client, 503, "too many queries in hand");
    if (!serving_state_.admits) return refuse(client, 503, "cut off from the fleet");

    const Handle h = queries_.take();
    Query& q = *queries_.find(h);
    q.id = new_id();
    q.query_class = query_class;
    q.again = request.retry;
    q.client = client;
    q.deadline_at = began + *deadline;
    q.text = std::make_shared<QueryText>(std::move(request.id),
                                         keyed_[query_class] ? std::move(request.key) : std::string(),
                                         std::move(body.text));
    by_text_[q.text->id] = h;
    by_client_[client.slot] = h;
    ++held_;
    if (find.rows > 0 && find.rows <= phases.max_rows)
        return begin_phases(h, std::move(body), std::move(find), began);
    by_id_[q.id] = h;
    for (const QueryShardRequest& stated : body.shard_requests) add_shard_request(h, q, stated);
    arrived_.push_back(QueryNews{h});
}

void QueryDispatcher::add_shard_request(Handle h, Query& q, const QueryShardRequest& stated) {
    ShardRequest& shard_request = q.shard_requests.emplace_back();
    shard_request.id = new_id();
    shard_request.shard = stated.shard;
    shard_request.weight = stated.weight;
    shard_request.hint = stated.hint;
    shard_request_by_id_[shard_request.id] = {h, static_cast<std::uint32_t>(q.shard_requests.size() - 1)};
    ++held_;
}

// Never one that is in use: the ids of a long incarnation come round.
std::uint32_t QueryDispatcher::new_id() {
    do ++last_id_;
    while (by_id_.contains(last_id_) || shard_request_by_id_.contains(last_id_));
    return last_id_;
}

void QueryDispatcher::on_client_disconnected(Handle client) {
    const auto it = by_client_.find(client.slot);
    if (it == by_client_.end()) return;
    const Handle h = it->second;
    const Query& q = *queries_.find(h);
    if (q.played) arrived_.push_back(Gone{q.id});
    end_query(h);
}

void QueryDispatcher::take_list(const EndpointList& list, ListKind kind) {
    NodeTable::Changes news = nodes_.apply(list);
    if (may_phase_) tell_speakers(news, kind);
    for (const std::uint32_t n : news.added)
        log_line("node %u is %s at %s", n, nodes_.name(n).c_str(), nodes_.address(n).c_str());
    arrived_.push_back(ListNews{kind, std::move(news.entries)});
    for (const std::uint32_t n : news.moved) links_->retire(n, false);
    for (const std::uint32_t n : news.leaving) links_->retire(n, true);
}

void QueryDispatcher::on_due(Handle who, std::uint64_t what) {
    if (what != patience) return void(arrived_.push_back(Timer{what}));
    Attempt& call = *calls_.find(who);
    call.due = TimerQueue::none;
    if (links_->withdraw(call.link, who)) return call_ended(who, Outcome::not_sent);
    const Query& q = *queries_.find(call.query);
    const ShardRequest& shard_request = q.shard_requests[call.shard_request];
    links_->send_cancel(call.link, *q.text, shard_request.shard, shard_request.leg);
    call_ended(who, Outcome::timeout);
}

// An answer counts for the leaf call that is out for this shard request on this very link: late ones and
// those of an earlier leaf call find none.
bool QueryDispatcher::on_node_answer(Handle link, const NodeAnswer& answer) {
    const auto it = by_text_.find(answer.query);
    if (it == by_text_.end()) return false;
    Query& q = *queries_.find(it->second);
    for (const ShardRequest& shard_request : q.shard_requests) {
        if (shard_request.shard != answer.shard) continue;
        for (const Handle h : shard_request.calls)
            if (const Attempt* call = calls_.find(h); call != nullptr && call->link == link) {
                call_ended(h, answer.outcome, answer.value);
                return true;
            }
    }
    return false;
}

void QueryDispatcher::on_attempt_lost(Handle call, Outcome outcome) { call_ended(call, outcome); }

void QueryDispatcher::call_ended(Handle h, Outcome outcome, std::string_view value) {
    Attempt* call = calls_.find(h);
    if (call == nullptr) return;
    time_.due.drop(call->due);
    const Attempt ended = *call;
    calls_.give_back(h);
    links_->complete(ended.link, h);
    if (outcomes_ != nullptr) outcomes_->on_attempt_end(ended.node, outcome);
    Query& q = *queries_.find(ended.query);
    ShardRequest& shard_request = q.shard_requests[ended.shard_request];
    if (outcome == Outcome::ok && !shard_request.in && !q.ended) {
        if (q.value_bytes + value.size() > max_body) {
            outcome = Outcome::error;  // no answer could hold it
        } else {
            q.value_bytes += value.size();
            shard_request.value = value;
            shard_request.in = true;
            if (q.phased && !shard_request.find) q.phased->machine.take_untold(shard_request.section);
        }
    }
    arrived_.push_back(
        AttemptResult{shard_request.id, ended.node, ended.attempt, outcome, time_.now() - ended.sent_at});
    --q.out;
    release(ended.query);
}

void QueryDispatcher::run_round() {
    last_round_ = time_.now();
    playing_.clear();
    std::swap(playing_, arrived_);
    router_.round(last_round_, *this, *this);
    send_calls();
}

void QueryDispatcher::play(RoundEventHandler& handler) {
    for (const Arrived& arrived : playing_) {
        if (const auto* list = std::get_if<ListNews>(&arrived)) {
            handler.on_nodes(list->kind, list->entries);
        } else if (const auto* news = std::get_if<QueryNews>(&arrived)) {
            Query* q = queries_.find(news->query);
            if (q == nullptr || q->ended) continue;  // its client left before the module heard of it
            q->played = true;
            QueryArrival arrival{q->id, q->id, q->query_class, UINT32_MAX, q->deadline_at, q->again, 0, 0};
            std::size_t i = 0;
            if (q->phased) {
                Phased& p = *q->phased;
                i = p.leg_begins;
                arrival.began_at = std::exchange(p.began, p.began > 0 ? p.began : last_round_);
                // A round ends it, so by the one before its time.
                if (p.machine.state() == TwoPhase::State::finding) arrival.answer_by = p.find_until - step_;
            }
            handler.on_query(arrival);
            for (; i < q->shard_requests.size(); ++i) {
                const ShardRequest& shard_request = q->shard_requests[i];
                handler.on_shard_request({shard_request.id, q->id, shard_request.shard, shard_request.weight,
                                          shard_request.hint, shard_request.spent, shard_request.in_before});
            }
        } else if (const auto* end = std::get_if<AttemptResult>(&arrived)) {
            handler.on_attempt_result(*end);
        } else if (const auto* gone = std::get_if<Gone>(&arrived)) {
            handler.on_query_dropped(gone->query);
        } else {
            handler.on_timer(std::get<Timer>(arrived).cookie);
        }
    }
}

void QueryDispatcher::send_attempt(std::uint32_t id, std::uint32_t node, Nanos wait) {
    const auto at = shard_request_by_id_.find(id);
    if (at == shard_request_by_id_.end()) return log_line("a leaf call for part %u, which is not known", id);
    Query& q = *queries_.find(at->second.query);
    ShardRequest& shard_request = q.shard_requests[at->second.shard_request];
    const Handle h = calls_.take();
    Attempt& call = *calls_.find(h);
    call.query = at->second.query;
    call.shard_request = at->second.shard_request;
    call.node = node;
    call.attempt = static_cast<std::uint8_t>(shard_request.calls.size());
    call.sent_at = last_round_;
    call.until = wait > 0 ? std::min(q.deadline_at, last_round_ + wait) : q.deadline_at;
    if (shard_request.calls.empty()) shard_request.first_sent_at = last_round_;
    shard_request.calls.push_back(h);
    ++q.out;
    if (q.phased) {
        q.phased->machine.spend(shard_request.section);
        call.letter = letter_for(q, shard_request, node);
        if (call.letter == 0) return call_ended(h, Outcome::not_sent);  // it would not be understood there
    }
    outbox_.push_back(h);
}

// What a round sends to the same node travels together, as far as the deployment allows.
void QueryDispatcher::send_calls() {
    for (std::size_t i = 0; i < outbox_.size(); ++i) {
        const Attempt* first = calls_.find(outbox_[i]);
        if (first == nullptr || first->due != TimerQueue::none)
            continue;  // ended, or sent with an earlier one
        const std::uint32_t node = first->node;
        std::vector<AttemptMessage> pieces;
        std::vector<Handle> avoid;
        for (std::size_t j = i; j < outbox_.size() && pieces.size() < max_requests_per_call_; ++j) {
            Attempt* call = calls_.find(outbox_[j]);
            if (call == nullptr || call->node != node || call->due != TimerQueue::none) continue;
            if (!pieces.empty() && pieces.front().letter != call->letter) continue;
            const Query& q = *queries_.find(call->query);
            const ShardRequest& shard_request = q.shard_requests[call->shard_request];
            AttemptMessage piece{outbox_[j], q.text, shard_request.shard, call->until,
                                 send_by(q, shard_request, *call)};
            if (call->letter != 'R') {
                piece.letter = call->letter;
                piece.leg = shard_request.leg;
                piece.rows = static_cast<std::uint16_t>(q.phased->find.rows);
                piece.wants_filter = q.phased->machine.config().remember;
            }
            pieces.push_back(std::move(piece));
            // A second leaf call on the same connection could not be told from the first.
            avoid.insert(avoid.end(), shard_request.links.begin(), shard_request.links.end());
            call->due = time_.due.add(call->until, *this, outbox_[j], patience);
        }
        std::vector<Handle> sent;
        for (const AttemptMessage& piece : pieces) sent.push_back(piece.attempt);
        const Handle link = links_->send(node, nodes_.address(node), std::move(pieces), avoid);
        for (const Handle h : sent) {
            Attempt* call = calls_.find(h);
            if (call == nullptr) continue;
            call->link = link;
            queries_.find(call->query)->shard_requests[call->shard_request].links.push_back(link);
        }
    }
    outbox_.clear();
}

// A further leaf call of a idempotent_with_key shard request must not wait for a connection until its repeat
// would run: the window counts from the first one's send, with a little left for the way.
Nanos QueryDispatcher::send_by(const Query& q, const ShardRequest& shard_request, const Attempt& call) const {
    if (!keyed_[q.query_class] || call.attempt == 0) return serving_state_.attempts_until;
    return std::min(serving_state_.attempts_until,
                    shard_request.first_sent_at + idempotency_window_[q.query_class]);
}

void QueryDispatcher::cancel(std::uint32_t id, std::uint8_t attempt) {
    const auto at = shard_request_by_id_.find(id);
    if (at == shard_request_by_id_.end()) return;
    const Query& q = *queries_.find(at->second.query);
    const ShardRequest& shard_request = q.shard_requests[at->second.shard_request];
    if (attempt >= shard_request.calls.size()) return;
    const Handle h = shard_request.calls[attempt];
    const Attempt* call = calls_.find(h);
    if (call == nullptr) return;
    if (call->due == TimerQueue::none || links_->withdraw(call->link, h))
        return call_ended(h, Outcome::not_sent);
    links_->send_cancel(call->link, *q.text, shard_request.shard, shard_request.leg);
    call_ended(h, Outcome::cancelled);
}

void QueryDispatcher::answer(std::uint32_t id, bool whole) {
    const Query* q = query_of(id);
    if (q == nullptr) return;
    if (q->phased) return end_leg(id, Verdict::answer, 0);
    AnswerBody body(whole);
    for (const ShardRequest& shard_request : q->shard_requests)
        if (shard_request.in) body.add(shard_request.shard, shard_request.value);
    give_answer(id, body.finish());
}

void QueryDispatcher::give_answer(std::uint32_t id, std::string text) {
    if (text.size() > max_body) {
        log_about(LogLevel::warn, query_of(id)->text->id, "an answer of %zu bytes is too long to be given",
                  text.size());
        return finish(id, {500, write_error("the answer is too long"), 0});
    }
    finish(id, {200, std::move(text), 0});
}

void QueryDispatcher::reject(std::uint32_t id, Nanos not_before) {
    if (const Query* q = query_of(id); q != nullptr && q->phased)
        return end_leg(id, Verdict::reject, not_before);
    finish(id, {503, write_error("rejected"), not_before});
}

void QueryDispatcher::fail_query(std::uint32_t id) {
    if (const Query* q = query_of(id); q != nullptr && q->phased) return end_leg(id, Verdict::fail_query, 0);
    finish(id, {504, write_error("aborted"), 0});
}

void QueryDispatcher::finish(std::uint32_t id, Answer answer) {
    const Query* q = query_of(id);
    if (q == nullptr) return;
    if (outcomes_ != nullptr) outcomes_->on_query_end(answer.status);
    front_->answer(q->client, std::move(answer));
    end_query(by_id_.at(id));
}

void QueryDispatcher::set_timer(std::uint64_t cookie, Nanos wait) {
    time_.due.add(last_round_ + wait, *this, {}, cookie);
}

void QueryDispatcher::log(const std::string& line) { log_line("%s", line.c_str()); }

QueryDispatcher::Query* QueryDispatcher::query_of(std::uint32_t id) {
    const auto it = by_id_.find(id);
    Query* q = it == by_id_.end() ? nullptr : queries_.find(it->second);
    return q == nullptr || q->ended ? nullptr : q;
}

// From here on nothing of it is sent: what waits for a connection is taken back.
void QueryDispatcher::end_query(Handle h) {
    Query& q = *queries_.find(h);
    q.ended = true;
    by_client_.erase(q.client.slot);
    held_ -= 1 + q.shard_requests.size();
    ++q.out;  // keeps the slot while its calls end
    take_back(q, 0);
    --q.out;
    release(h);
}

void QueryDispatcher::take_back(Query& q, std::size_t from) {
    for (std::size_t i = from; i < q.shard_requests.size(); ++i)
        for (const Handle c : std::vector<Handle>(q.shard_requests[i].calls))
            if (const Attempt* call = calls_.find(c);
                call != nullptr && (call->due == TimerQueue::none || links_->withdraw(call->link, c)))
                call_ended(c, Outcome::not_sent);
}

void QueryDispatcher::release(Handle h) {
    const Query* q = queries_.find(h);
    if (q == nullptr || !q->ended || q->out > 0) return;
    for (const ShardRequest& shard_request : q->shard_requests) shard_request_by_id_.erase(shard_request.id);
    by_id_.erase(q->id);
    if (q->phased)
        for (const std::uint32_t id : q->phased->earlier_ids) by_id_.erase(id);
    by_text_.erase(q->text->id);
    queries_.give_back(h);
}

}  // namespace tealcart
