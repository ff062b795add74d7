#include "service/bridge.hpp"

#include <algorithm>
#include <charconv>
#include <optional>

#include "service/log.hpp"

namespace tealcart {
namespace {

constexpr Nanos ms = 1'000'000;
constexpr std::int64_t longest_deadline_ms = 24 * 3600 * 1000;
enum Due : std::uint64_t { patience = UINT64_MAX };  // else a cookie of the module's

// Ids and keys go into frames' lines as they are.
bool speakable(std::string_view text) {
    return !text.empty() && text.size() <= 128 &&
           std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c < 0x7f && c != ','; });
}

std::optional<Nanos> read_deadline(std::string_view text) {
    std::int64_t value = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (ec != std::errc() || end != text.data() + text.size() || value <= 0 || value > longest_deadline_ms)
        return std::nullopt;
    return value * ms;
}

}  // namespace

Bridge::Bridge(Timekeeper& time, const Launch& launch)
    : time_(time), step_(launch.terms.step), shards_(static_cast<std::uint32_t>(launch.terms.shards)),
      verticals_(launch.link_terms.verticals),
      most_held_(static_cast<std::size_t>(launch.link_terms.most_held)),
      parts_a_call_(static_cast<std::size_t>(launch.link_terms.parts_a_call)),
      call_cap_(launch.terms.call_cap), phases_(launch.phases),
      may_phase_(!launch.operators.member.relays.empty() ||
                 std::any_of(phases_.begin(), phases_.end(), [](const PhaseTerms& p) { return p.on; })),
      remembers_(any_remembers(phases_)),
      speakers_(launch.terms.places, launch.terms.width, launch.operators.memory.distrust),
      memory_(launch.operators.memory, shards_), chance_(launch.seed + 1),
      router_(launch.terms, launch.seed) {
    for (const VerticalTerms& v : launch.terms.verticals) {
        slo_.push_back(v.slo);
        keyed_.push_back(v.effect == Effect::deduplicated);
        repeat_window_.push_back(keyed_.back() ? v.repeat_window - v.repeat_window / 50 : 0);
    }
}

void Bridge::take_standing(StandingBy by, const MemberStanding& standing) {
    standings_[static_cast<std::size_t>(by)] = standing;
    const auto& [a, b] = standings_;
    standing_ = {a.ready && b.ready, a.admits && b.admits, std::min(a.no_calls_after, b.no_calls_after)};
}

void Bridge::refuse(Handle client, int status, std::string_view words) {
    front_->answer(client, {status, write_error(words), 0});
}

void Bridge::on_request(Handle client, Request& request, Nanos began) {
    const std::string_view path = request.path;
    if (path == "/-/ready" || path == "/-/healthy") {
        if (request.method != "GET") return front_->answer(client, {405, write_error("GET only"), 0, "GET"});
        if (!begun_ && path == "/-/ready") return refuse(client, 503, "waiting for discovery's list");
        if (stopping_ && path == "/-/ready") return refuse(client, 503, "stopping");
        if (!standing_.ready && path == "/-/ready") {
            const bool out = !standings_[static_cast<std::size_t>(StandingBy::agreement)].ready;
            return refuse(client, 503, out ? "out of the fleet" : "without a current configuration");
        }
        return front_->answer(client, {200, {}, 0});
    }
    const std::string_view name = path.substr(0, path.find('/', 1));
    const auto found = std::find_if(verticals_.begin(), verticals_.end(), [name](const std::string& v) {
        return name.size() == v.size() + 1 && name[0] == '/' && name.substr(1) == v;
    });
    if (found == verticals_.end()) return refuse(client, 404, "no such vertical");
    if (request.method != "POST") return front_->answer(client, {405, write_error("POST only"), 0, "POST"});
    const auto vertical = static_cast<std::uint16_t>(found - verticals_.begin());
    if (!speakable(request.id)) return refuse(client, 400, "X-Request-Id is missing or malformed");
    const auto deadline = read_deadline(request.deadline);
    if (!deadline) return refuse(client, 400, "X-Deadline-Ms is missing or malformed");
    if (keyed_[vertical] && !speakable(request.key))
        return refuse(client, 400, "Idempotency-Key is missing or malformed");
    std::string wrong;
    Find find;
    const PhaseTerms& phases = phases_[vertical];
    QueryBody body = read_query(request.body, shards_, wrong, phases.on ? &find : nullptr);
    if (!wrong.empty()) return refuse(client, 400, wrong);
    // Its parts could not be told from those of the query that is out.
    if (by_text_.contains(request.id)) return refuse(client, 409, "X-Request-Id is in use");
    if (held_ >= most_held_) return refuse(client, 503, "too many queries in hand");
    if (!standing_.admits) return refuse(client, 503, "cut off from the fleet");

    const Handle h = queries_.take();
    Query& q = *queries_.find(h);
    q.id = new_id();
    q.vertical = vertical;
    q.again = request.retry;
    q.client = client;
    q.give_up_at = began + *deadline;
    q.text = std::make_shared<QueryText>(std::move(request.id),
                                         keyed_[vertical] ? std::move(request.key) : std::string(),
                                         std::move(body.text));
    by_text_[q.text->id] = h;
    by_client_[client.slot] = h;
    ++held_;
    if (find.rows > 0 && find.rows <= phases.most_rows)
        return begin_phases(h, std::move(body), std::move(find), began);
    by_id_[q.id] = h;
    for (const QueryPart& stated : body.parts) add_part(h, q, stated);
    arrived_.push_back(QueryNews{h});
}

void Bridge::add_part(Handle h, Query& q, const QueryPart& stated) {
    Part& part = q.parts.emplace_back();
    part.id = new_id();
    part.shard = stated.shard;
    part.weight = stated.weight;
    part.hint = stated.hint;
    part_by_id_[part.id] = {h, static_cast<std::uint32_t>(q.parts.size() - 1)};
    ++held_;
}

// Never one that is in use: the ids of a long life come round.
std::uint32_t Bridge::new_id() {
    do ++last_id_;
    while (by_id_.contains(last_id_) || part_by_id_.contains(last_id_));
    return last_id_;
}

void Bridge::on_client_gone(Handle client) {
    const auto it = by_client_.find(client.slot);
    if (it == by_client_.end()) return;
    const Handle h = it->second;
    const Query& q = *queries_.find(h);
    if (q.played) arrived_.push_back(Gone{q.id});
    end_query(h);
}

void Bridge::take_list(const TargetList& list, ListKind kind) {
    NodeList::News news = nodes_.take(list);
    if (may_phase_) tell_speakers(news, kind);
    for (const std::uint32_t n : news.met)
        log_line("node %u is %s at %s", n, nodes_.name(n).c_str(), nodes_.address(n).c_str());
    arrived_.push_back(ListNews{kind, std::move(news.entries)});
    for (const std::uint32_t n : news.changed) links_->retire(n, false);
    for (const std::uint32_t n : news.leaving) links_->retire(n, true);
}

void Bridge::on_due(Handle who, std::uint64_t what) {
    if (what != patience) return void(arrived_.push_back(Timer{what}));
    LeafCall& call = *calls_.find(who);
    call.due = Deadlines::none;
    if (links_->withdraw(call.link, who)) return call_ended(who, Outcome::moot);
    const Query& q = *queries_.find(call.query);
    const Part& part = q.parts[call.part];
    links_->give_up(call.link, *q.text, part.shard, part.leg);
    call_ended(who, Outcome::timeout);
}

// An answer counts for the leaf call that is out for this part on this very link: late ones and those of an
// earlier leaf call find none.
bool Bridge::on_node_answer(Handle link, const NodeAnswer& answer) {
    const auto it = by_text_.find(answer.query);
    if (it == by_text_.end()) return false;
    Query& q = *queries_.find(it->second);
    for (const Part& part : q.parts) {
        if (part.shard != answer.shard) continue;
        for (const Handle h : part.calls)
            if (const LeafCall* call = calls_.find(h); call != nullptr && call->link == link) {
                call_ended(h, answer.outcome, answer.value);
                return true;
            }
    }
    return false;
}

void Bridge::on_call_lost(Handle call, Outcome outcome) { call_ended(call, outcome); }

void Bridge::call_ended(Handle h, Outcome outcome, std::string_view value) {
    LeafCall* call = calls_.find(h);
    if (call == nullptr) return;
    time_.due.drop(call->due);
    const LeafCall ended = *call;
    calls_.give_back(h);
    links_->done(ended.link, h);
    if (outcomes_ != nullptr) outcomes_->on_call_end(ended.node, outcome);
    Query& q = *queries_.find(ended.query);
    Part& part = q.parts[ended.part];
    if (outcome == Outcome::ok && !part.in && !q.ended) {
        if (q.value_bytes + value.size() > longest_body) {
            outcome = Outcome::error;  // no answer could hold it
        } else {
            q.value_bytes += value.size();
            part.value = value;
            part.in = true;
            if (q.phased && !part.find) q.phased->machine.take_untold(part.section);
        }
    }
    arrived_.push_back(LeafEnd{part.id, ended.node, ended.attempt, outcome, time_.now() - ended.sent_at});
    --q.out;
    release(ended.query);
}

void Bridge::run_round() {
    last_round_ = time_.now();
    playing_.clear();
    std::swap(playing_, arrived_);
    router_.round(last_round_, *this, *this);
    send_calls();
}

void Bridge::play(ArrivalHandler& handler) {
    for (const Arrived& arrived : playing_) {
        if (const auto* list = std::get_if<ListNews>(&arrived)) {
            handler.on_nodes(list->kind, list->entries);
        } else if (const auto* news = std::get_if<QueryNews>(&arrived)) {
            Query* q = queries_.find(news->query);
            if (q == nullptr || q->ended) continue;  // its client left before the module heard of it
            q->played = true;
            QueryArrival arrival{q->id, q->id, q->vertical, UINT32_MAX, q->give_up_at, q->again, 0, 0};
            std::size_t i = 0;
            if (q->phased) {
                Phased& p = *q->phased;
                i = p.leg_begins;
                arrival.began = std::exchange(p.began, p.began > 0 ? p.began : last_round_);
                // A round ends it, so by the one before its time.
                if (p.machine.state() == TwoPhase::State::finding) arrival.answer_with = p.find_until - step_;
            }
            handler.on_query(arrival);
            for (; i < q->parts.size(); ++i) {
                const Part& part = q->parts[i];
                handler.on_part(
                    {part.id, q->id, part.shard, part.weight, part.hint, part.spent, part.in_before});
            }
        } else if (const auto* end = std::get_if<LeafEnd>(&arrived)) {
            handler.on_leaf_end(*end);
        } else if (const auto* gone = std::get_if<Gone>(&arrived)) {
            handler.on_dropped(gone->query);
        } else {
            handler.on_timer(std::get<Timer>(arrived).cookie);
        }
    }
}

void Bridge::deliver(std::uint32_t id, std::uint32_t node, Nanos wait) {
    const auto at = part_by_id_.find(id);
    if (at == part_by_id_.end()) return log_line("a leaf call for part %u, which is not known", id);
    Query& q = *queries_.find(at->second.query);
    Part& part = q.parts[at->second.part];
    const Handle h = calls_.take();
    LeafCall& call = *calls_.find(h);
    call.query = at->second.query;
    call.part = at->second.part;
    call.node = node;
    call.attempt = static_cast<std::uint8_t>(part.calls.size());
    call.sent_at = last_round_;
    call.until = wait > 0 ? std::min(q.give_up_at, last_round_ + wait) : q.give_up_at;
    if (part.calls.empty()) part.first_sent_at = last_round_;
    part.calls.push_back(h);
    ++q.out;
    if (q.phased) {
        q.phased->machine.spend(part.section);
        call.letter = letter_for(q, part, node);
        if (call.letter == 0) return call_ended(h, Outcome::moot);  // it would not be understood there
    }
    outbox_.push_back(h);
}

// What a round sends to the same node travels together, as far as the deployment allows.
void Bridge::send_calls() {
    for (std::size_t i = 0; i < outbox_.size(); ++i) {
        const LeafCall* first = calls_.find(outbox_[i]);
        if (first == nullptr || first->due != Deadlines::none)
            continue;  // ended, or sent with an earlier one
        const std::uint32_t node = first->node;
        std::vector<LeafPiece> pieces;
        std::vector<Handle> avoid;
        for (std::size_t j = i; j < outbox_.size() && pieces.size() < parts_a_call_; ++j) {
            LeafCall* call = calls_.find(outbox_[j]);
            if (call == nullptr || call->node != node || call->due != Deadlines::none) continue;
            if (!pieces.empty() && pieces.front().letter != call->letter) continue;
            const Query& q = *queries_.find(call->query);
            const Part& part = q.parts[call->part];
            LeafPiece piece{outbox_[j], q.text, part.shard, call->until, send_by(q, part, *call)};
            if (call->letter != 'R') {
                piece.letter = call->letter;
                piece.leg = part.leg;
                piece.rows = static_cast<std::uint16_t>(q.phased->find.rows);
                piece.wants_filter = q.phased->machine.terms().remember;
            }
            pieces.push_back(std::move(piece));
            // A second leaf call on the same connection could not be told from the first.
            avoid.insert(avoid.end(), part.links.begin(), part.links.end());
            call->due = time_.due.add(call->until, *this, outbox_[j], patience);
        }
        std::vector<Handle> sent;
        for (const LeafPiece& piece : pieces) sent.push_back(piece.call);
        const Handle link = links_->send(node, nodes_.address(node), std::move(pieces), avoid);
        for (const Handle h : sent) {
            LeafCall* call = calls_.find(h);
            if (call == nullptr) continue;
            call->link = link;
            queries_.find(call->query)->parts[call->part].links.push_back(link);
        }
    }
    outbox_.clear();
}

// A further leaf call of a deduplicated part must not wait for a connection until its repeat would run: the
// window counts from the first one's send, with a little left for the way.
Nanos Bridge::send_by(const Query& q, const Part& part, const LeafCall& call) const {
    if (!keyed_[q.vertical] || call.attempt == 0) return standing_.no_calls_after;
    return std::min(standing_.no_calls_after, part.first_sent_at + repeat_window_[q.vertical]);
}

void Bridge::cancel(std::uint32_t id, std::uint8_t attempt) {
    const auto at = part_by_id_.find(id);
    if (at == part_by_id_.end()) return;
    const Query& q = *queries_.find(at->second.query);
    const Part& part = q.parts[at->second.part];
    if (attempt >= part.calls.size()) return;
    const Handle h = part.calls[attempt];
    const LeafCall* call = calls_.find(h);
    if (call == nullptr) return;
    if (call->due == Deadlines::none || links_->withdraw(call->link, h)) return call_ended(h, Outcome::moot);
    links_->give_up(call->link, *q.text, part.shard, part.leg);
    call_ended(h, Outcome::cancelled);
}

void Bridge::answer(std::uint32_t id, bool whole) {
    const Query* q = query_of(id);
    if (q == nullptr) return;
    if (q->phased) return end_leg(id, Verdict::answer, 0);
    AnswerBody body(whole);
    for (const Part& part : q->parts)
        if (part.in) body.add(part.shard, part.value);
    give_answer(id, body.finish());
}

void Bridge::give_answer(std::uint32_t id, std::string text) {
    if (text.size() > longest_body) {
        log_about(LogLevel::warn, query_of(id)->text->id, "an answer of %zu bytes is too long to be given",
                  text.size());
        return finish(id, {500, write_error("the answer is too long"), 0});
    }
    finish(id, {200, std::move(text), 0});
}

void Bridge::reject(std::uint32_t id, Nanos not_before) {
    if (const Query* q = query_of(id); q != nullptr && q->phased)
        return end_leg(id, Verdict::reject, not_before);
    finish(id, {503, write_error("rejected"), not_before});
}

void Bridge::abort(std::uint32_t id) {
    if (const Query* q = query_of(id); q != nullptr && q->phased) return end_leg(id, Verdict::abort, 0);
    finish(id, {504, write_error("aborted"), 0});
}

void Bridge::finish(std::uint32_t id, Answer answer) {
    const Query* q = query_of(id);
    if (q == nullptr) return;
    if (outcomes_ != nullptr) outcomes_->on_query_end(answer.status);
    front_->answer(q->client, std::move(answer));
    end_query(by_id_.at(id));
}

void Bridge::wake(std::uint64_t cookie, Nanos wait) { time_.due.add(last_round_ + wait, *this, {}, cookie); }

void Bridge::log(const std::string& line) { log_line("%s", line.c_str()); }

Bridge::Query* Bridge::query_of(std::uint32_t id) {
    const auto it = by_id_.find(id);
    Query* q = it == by_id_.end() ? nullptr : queries_.find(it->second);
    return q == nullptr || q->ended ? nullptr : q;
}

// From here on nothing of it is sent: what waits for a connection is taken back.
void Bridge::end_query(Handle h) {
    Query& q = *queries_.find(h);
    q.ended = true;
    by_client_.erase(q.client.slot);
    held_ -= 1 + q.parts.size();
    ++q.out;  // keeps the slot while its calls end
    take_back(q, 0);
    --q.out;
    release(h);
}

void Bridge::take_back(Query& q, std::size_t from) {
    for (std::size_t i = from; i < q.parts.size(); ++i)
        for (const Handle c : std::vector<Handle>(q.parts[i].calls))
            if (const LeafCall* call = calls_.find(c);
                call != nullptr && (call->due == Deadlines::none || links_->withdraw(call->link, c)))
                call_ended(c, Outcome::moot);
}

void Bridge::release(Handle h) {
    const Query* q = queries_.find(h);
    if (q == nullptr || !q->ended || q->out > 0) return;
    for (const Part& part : q->parts) part_by_id_.erase(part.id);
    by_id_.erase(q->id);
    if (q->phased)
        for (const std::uint32_t id : q->phased->earlier_ids) by_id_.erase(id);
    by_text_.erase(q->text->id);
    queries_.give_back(h);
}

}  // namespace tealcart
