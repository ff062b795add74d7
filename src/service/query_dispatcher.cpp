#include "service/query_dispatcher.hpp"

#include <algorithm>
#include <utility>

#include "log/log.hpp"
#include "service/memory_limits.hpp"

namespace tealcart {
namespace {

constexpr std::string_view ready_path = "/-/ready", healthy_path = "/-/healthy";

}  // namespace

QueryDispatcher::QueryDispatcher(EventClock& clock, const StartupConfig& startup)
    : clock_(clock), parser_(startup.config, startup.connection_config.query_classes),
      round_interval_(startup.config.round_interval),
      max_active_(static_cast<std::size_t>(startup.connection_config.max_in_flight)),
      queries_(divide_memory(startup.memory_bytes).queries), events_(queries_, round_interval_),
      attempts_(clock, queries_, events_, startup), completion_(queries_, attempts_),
      two_phase_(clock, queries_, events_, attempts_, completion_, startup),
      executor_(clock, queries_, events_, attempts_, completion_, two_phase_),
      router_(startup.config, startup.seed) {}

void QueryDispatcher::connect(ResponseWriter& writer, AttemptSender& sender) {
    writer_ = &writer;
    sender_ = &sender;
    attempts_.connect(sender);
    completion_.connect(writer);
}

void QueryDispatcher::set_serving_state(ServingStateSource source, const MemberServingState& state) {
    serving_states_[static_cast<std::size_t>(source)] = state;
    const auto& [agreement, configuration] = serving_states_;
    serving_state_ = {agreement.ready && configuration.ready, agreement.admits && configuration.admits,
                      std::min(agreement.attempts_until, configuration.attempts_until)};
}

void QueryDispatcher::observe_outcomes(OutcomeObserver* observer) {
    attempts_.set_observer(observer);
    completion_.set_observer(observer);
}

void QueryDispatcher::on_request(Handle client, Request& request, Nanos began) {
    if (request.path == ready_path || request.path == healthy_path)
        return writer_->answer(client, health_response(request));
    auto parsed = parser_.parse(
        request, [this](std::size_t query_class) { return two_phase_.config(query_class).enabled; });
    if (auto* error = std::get_if<Response>(&parsed)) {
        ++refusals_.invalid;
        return writer_->answer(client, std::move(*error));
    }
    auto& query_request = std::get<QueryRequest>(parsed);
    if (const auto refusal = refusal_of(request, query_request.body)) {
        log_query(LogLevel::debug, request.id, "refused with status %d: %s", refusal->status,
                  refusal->reason);
        return writer_->answer(client, RequestParser::error(refusal->status, refusal->reason));
    }
    begin_query(client, request, std::move(query_request), began);
}

std::optional<QueryDispatcher::Refusal> QueryDispatcher::refusal_of(const Request& request,
                                                                    const QueryBody& body) {
    constexpr int conflict = 409, unavailable = 503;
    const auto refuse = [](std::uint64_t& counter, int status, const char* reason) {
        ++counter;
        return Refusal{status, reason};
    };
    // Its shard requests would be indistinguishable from those of the query in progress.
    if (queries_.find_by_request_id(request.id) != Handle{})
        return refuse(refusals_.id_in_use, conflict, "X-Request-Id is in use");
    if (queries_.active() >= max_active_)
        return refuse(refusals_.too_many, unavailable, "too many queries in hand");
    if (!queries_.has_memory_for(body.text.size(), body.shard_requests.size()))
        return refuse(refusals_.no_memory, unavailable, "no memory for a further query");
    if (writer_->is_crowded())
        return refuse(refusals_.crowded, unavailable, "no connection for a further query");
    if (!serving_state_.admits) return refuse(refusals_.cut_off, unavailable, "cut off from the fleet");
    return std::nullopt;
}

Response QueryDispatcher::health_response(const Request& request) const {
    if (request.method != "GET") return RequestParser::method_not_allowed("GET only", "GET");
    if (request.path == healthy_path) return {200, {}, 0};
    if (!begun_) return RequestParser::error(503, "waiting for discovery's list");
    if (stopping_) return RequestParser::error(503, "stopping");
    if (serving_state_.ready) return {200, {}, 0};
    const bool removed = !serving_states_[static_cast<std::size_t>(ServingStateSource::agreement)].ready;
    return RequestParser::error(503, removed ? "out of the fleet" : "without a current configuration");
}

void QueryDispatcher::begin_query(Handle client, Request& request, QueryRequest query_request, Nanos began) {
    const bool needs_key = parser_.needs_key(query_request.query_class);
    auto text = std::make_shared<QueryText>(QueryText{std::move(request.id),
                                                      needs_key ? std::move(request.key) : std::string(),
                                                      std::move(query_request.body.text), std::string()});
    const Handle handle = queries_.add(client, std::move(text));
    Query& query = *queries_.find(handle);
    query.query_class = query_request.query_class;
    query.is_retry = request.retry;
    query.deadline_at = began + query_request.time_to_live;
    if (two_phase_.applies(query.query_class, query_request.body.criteria))
        return two_phase_.begin(handle, std::move(query_request.body), began);
    queries_.register_id(handle);
    for (const QueryShardRequest& shard_request : query_request.body.shard_requests)
        queries_.add_shard_request(handle, shard_request);
    events_.push(QueryArrived{handle});
}

void QueryDispatcher::on_client_disconnected(Handle client) {
    const Handle handle = queries_.find_by_client(client);
    const Query* query = queries_.find(handle);
    if (query == nullptr) return;
    ++refusals_.clients_left;
    log_query(LogLevel::debug, query->text->id, "the client has left, %d attempts are in flight",
              query->in_flight);
    if (query->announced) events_.push(ClientDisconnected{query->id});
    completion_.end(handle);
}

void QueryDispatcher::on_endpoint_list(const EndpointList& list) {
    apply_list(list, list.full ? ListKind::full : ListKind::delta);
}

void QueryDispatcher::apply_list(const EndpointList& list, ListKind kind) {
    NodeTable::Changes changes = nodes_.apply(list);
    two_phase_.on_endpoints(changes, kind);
    for (const std::uint32_t node : changes.added)
        log_line("added data node %u: %s at %s", node, nodes_.name(node).c_str(),
                 nodes_.address(node).c_str());
    events_.push(EndpointsChanged{kind, std::move(changes.entries)});
    for (const std::uint32_t node : changes.moved) sender_->retire(node, false);
    for (const std::uint32_t node : changes.leaving) sender_->retire(node, true);
}

// An answer belongs to the attempt that is in flight for its shard request on the same connection.
bool QueryDispatcher::on_node_answer(Handle connection, const NodeAnswer& answer) {
    const Query* query = queries_.find(queries_.find_by_request_id(answer.query));
    if (query == nullptr) return false;
    for (const ShardRequest& shard_request : query->shard_requests) {
        if (shard_request.shard != answer.shard) continue;
        const Handle attempt = attempts_.find_in_flight(shard_request, connection);
        if (attempts_.find(attempt) == nullptr) continue;
        attempts_.end(attempt, answer.outcome, answer.value);
        return true;
    }
    return false;
}

bool QueryDispatcher::on_phase_answer(Handle connection, const PhaseAnswer& answer) {
    return two_phase_.on_answer(connection, answer);
}

bool QueryDispatcher::on_two_phase_refused(std::uint32_t node) { return two_phase_.on_refused(node); }

void QueryDispatcher::on_attempt_lost(Handle attempt, Outcome outcome) { attempts_.end(attempt, outcome); }

bool QueryDispatcher::any_attempt_to(const std::function<bool(const std::string&)>& matches) const {
    return attempts_.any_in_flight_to([&](std::uint32_t node) { return matches(nodes_.name(node)); });
}

void QueryDispatcher::set_two_phase_config(std::vector<TwoPhaseConfig> by_query_class) {
    two_phase_.set_config(std::move(by_query_class));
}

Nanos QueryDispatcher::next_round() const {
    return events_.empty() || !begun_ ? TimerQueue::never : events_.round_began_at() + round_interval_;
}

void QueryDispatcher::run_round() {
    events_.begin_round(clock_.now());
    router_.round(events_.round_began_at(), events_, executor_);
    attempts_.send_queued(nodes_, serving_state_.attempts_until);
}

}  // namespace tealcart
