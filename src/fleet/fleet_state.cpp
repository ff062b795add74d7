#include "fleet/fleet_state.hpp"

#include <algorithm>
#include <set>

#include "fleet/budget_check.hpp"
#include "fleet/snapshot.hpp"

namespace tealcart::fleet {

Effects FleetState::apply(const Command& command) {
    if (const Effects* known = history_.find(command.id)) return *known;
    effects_.clear();
    reset_visited_count();
    advance_clock(command.proposed_at);
    std::visit([this](const auto& payload) { on(payload); }, command.payload);
    grant_and_advance();
    if (!command.id.empty()) {
        history_.record(command.id, effects_);
        history_.trim(budgets_.max_deduplicated);
    }
    return std::exchange(effects_, {});
}

// While no command was committed, nobody could renew a lease: leases that had not expired before are extended
// by that time, and nothing is granted until all members have had the time to report.
void FleetState::advance_clock(Nanos at) {
    const auto interruption = clock_.advance(at, budgets_.lease, budgets_.drift);
    members_.set_now(clock_.now());
    if (interruption.value_or(0) == 0) return;
    members_.extend_leases(*interruption);
    removals_.recount();
    for (const std::string& node : nodes_.unresponsive()) members_.reconsider_node(node);
}

template <typename RequestEffect>
void FleetState::emit_for_request(std::uint64_t id, const Request& request) {
    emit(RequestEffect{id, request.fence, request.generation, request.target.name});
}

void FleetState::emit_stale(const std::string& member, std::optional<StaleReason> reason) {
    if (reason) emit(StaleReport{generation(), member, *reason});
}

void FleetState::reject(std::string subject, std::string reason, std::uint64_t request) {
    emit(CommandRejected{request, generation(), std::move(subject), std::move(reason)});
}

void FleetState::on(const Join& command) { emit_stale(command.name, members_.join(command)); }

void FleetState::on(const Renew& command) { emit_stale(command.name, members_.renew(command, generation())); }

void FleetState::on(const Leave& command) { emit_stale(command.name, members_.leave(command)); }

void FleetState::on(const ReportBatch& command) {
    for (const Join& join : command.joins) on(join);
    for (const Renew& renew : command.renewals) on(renew);
}

void FleetState::on(const Forget& command) {
    if (const auto reason = members_.forget(command.name)) return reject(command.name, *reason);
    emit(MemberForgotten{generation(), command.name});
}

void FleetState::on(const SetBudgets& command) {
    if (budgets_ == command.budgets) return;
    budgets_ = command.budgets;
    nodes_.set_min_holders(budgets_.halt_min_holders);
    members_.set_budgets(budgets_);
    removals_.recount();
    for (const std::string& node : nodes_.unresponsive()) members_.reconsider_node(node);
}

void FleetState::on(const RequestRemoval& command) {
    const Target& target = command.target;
    if (requests().size() >= budgets_.max_open_requests)
        return reject(target.name, "too many requests are open");
    if (const auto id = removals_.open_request(target)) {
        const Request& open = *removals_.find(*id);
        return emit(RemovalAlreadyOpen{*id, open.fence, open.generation, target.name, open.stage});
    }
    BudgetCheck check(budgets_, nodes_, members_);
    const auto reason = check.permanent_refusal(target);
    visited_count_ += check.visited_count();
    if (reason) return reject(target.name, *reason);
    const std::uint64_t id = removals_.add(command.requested_by, target);
    emit(RemovalQueued{id, target.name});
}

// A queued request just ends. A granted target is returned by return_targets(), the last one granted first.
void FleetState::on(const UndoRemoval& command) {
    const Request* request = removals_.find(command.request);
    if (request == nullptr) return reject({}, "no such request is open", command.request);
    if (request->stage == Stage::queued) return end(command.request);
    removals_.begin_return(command.request);
}

void FleetState::on(const Halt& command) {
    halt_.halt(command.reason);
    emit(GrantsHalted{generation(), command.reason});
}

void FleetState::on(const Resume& command) {
    (void)command;
    halt_.resume();
    emit(GrantsResumed{generation()});
}

void FleetState::set_removed(const Target& target, bool removed) {
    if (target.router)
        members_.set_removed(target.name, removed);
    else
        nodes_.set_removed(target.name, removed);
}

void FleetState::end(std::uint64_t request) {
    emit_for_request<RequestEnded>(request, removals_.end(request));
}

void FleetState::grant_and_advance() {
    expire_leases();
    finish_acknowledged();
    return_targets();
    apply_halt_conditions();
    grant_queued();
}

void FleetState::expire_leases() {
    for (const std::string& name : members_.expire_leases()) emit(MemberLeaseExpired{generation(), name});
    for (const auto& [node, unresponsive] : members_.evaluate_nodes())
        nodes_.set_unresponsive(node, unresponsive);
}

// A removal is done once all members that it waits for have applied its generation and have nothing in flight
// at the target. Only requests whose last missing report may have arrived are checked.
void FleetState::finish_acknowledged() {
    for (const Target& target : members_.take_released_targets()) removals_.recheck_completion(target);
    for (const std::uint64_t id : removals_.take_completion_candidates(members_.lowest_applied())) {
        const Request* request = removals_.find(id);
        if (request == nullptr || request->stage != Stage::granted || members_.any_pending(*request))
            continue;
        removals_.finish(id, members_.may_lag(request->generation));
        emit_for_request<RemovalDone>(id, *request);
    }
}

// Whether a returned target exists but is not healthy yet. A target that has died in the meantime delays no
// other. A router is healthy again once it has applied the generation that returned it.
bool FleetState::is_returning(const Request& request) const {
    if (request.target.router) {
        const Member* member = members_.find(request.target.name);
        return member != nullptr && !members_.lease_expired(*member) &&
               member->report.applied_generation < request.generation;
    }
    const Node* node = nodes_.find(request.target.name);
    return node != nullptr && node->health != Health::gone && node->health != Health::healthy;
}

// Targets are returned in the reverse order of their grants, each one only after the previous one is healthy
// again. Otherwise several nodes would warm up at the same time, and the routers' limits for a cold node
// would not hold in total.
void FleetState::return_targets() {
    const RequestCounts& counts = removals_.counts();
    for (auto it = counts.returning_restored.begin(); it != counts.returning_restored.end();) {
        const std::uint64_t id = *it++;
        ++visited_count_;
        if (!is_returning(*removals_.find(id))) end(id);
    }
    while (counts.returning_restored.empty() && !counts.returning_removed.empty()) {
        const std::uint64_t id = *counts.returning_removed.rbegin();
        const Request& request = removals_.release(id);
        set_removed(request.target, false);
        emit_for_request<TargetReturned>(id, request);
        if (!is_returning(request)) end(id);
    }
}

void FleetState::apply_halt_conditions() {
    const HaltConditions conditions = halt_conditions(budgets_, nodes_.counts(), members_.counts());
    if (halt_.trip(conditions)) emit(GrantsHalted{generation(), halt_.reason()});
}

// Requests for nodes and requests for routers are each granted in order. A request that has to wait blocks
// those behind it in its queue; otherwise later requests could starve one whose shards have few holders.
void FleetState::grant_queued() {
    const auto& [nodes, routers] = removals_.counts().queued;
    if (nodes.empty() && routers.empty()) return removals_.clear_block_reason();
    const bool on_hold = halted() || clock_.holding();
    if (halted())
        removals_.block_all("halted: " + halt_reason());
    else if (on_hold)
        removals_.block_all("agreement was interrupted: members are waited for");
    else
        removals_.block_all("an earlier request waits");
    if (on_hold) return;
    bool nodes_blocked = false;
    bool routers_blocked = false;
    while (true) {
        const bool node_next = !nodes_blocked && !nodes.empty();
        const bool router_next = !routers_blocked && !routers.empty();
        if (!node_next && !router_next) return;
        const bool router = !node_next || (router_next && *routers.begin() < *nodes.begin());
        if (try_grant(router ? *routers.begin() : *nodes.begin())) continue;
        (router ? routers_blocked : nodes_blocked) = true;
    }
}

bool FleetState::try_grant(std::uint64_t id) {
    BudgetCheck check(budgets_, nodes_, members_);
    const auto limit = check.blocking_limit(removals_.find(id)->target);
    visited_count_ += check.visited_count();
    if (limit) {
        removals_.block(id, *limit);
        return false;
    }
    const Request& request = removals_.grant(id);
    set_removed(request.target, true);
    emit_for_request<RemovalGranted>(id, request);
    return true;
}

std::size_t FleetState::visited_count() const {
    return visited_count_ + nodes_.visited_count() + members_.visited_count() + removals_.visited_count();
}

void FleetState::reset_visited_count() {
    visited_count_ = 0;
    nodes_.reset_visited_count();
    members_.reset_visited_count();
    removals_.reset_visited_count();
}

std::vector<std::uint8_t> FleetState::save() const {
    return write_snapshot({budgets_,
                           members_.all(),
                           nodes_.all(),
                           removals_.requests(),
                           removals_.removed(),
                           nodes_.unresponsive(),
                           halt_.tripped(),
                           history_,
                           {removals_.generation(), removals_.last_fence(), removals_.last_request(),
                            halt_.halted(), halt_.reason(), clock_.now(), clock_.hold_until()}});
}

void FleetState::load(const std::vector<std::uint8_t>& bytes) {
    Snapshot stored = read_snapshot(bytes);
    const SnapshotScalars& scalars = stored.scalars;
    std::set<std::string> nodes_out;
    std::set<std::string> routers_out;
    for (const auto& [target, request] : stored.removed)
        (target.router ? routers_out : nodes_out).insert(target.name);
    FleetState loaded(stored.budgets);
    loaded.clock_.restore(scalars.now, scalars.hold_until);
    loaded.nodes_.restore(std::move(stored.nodes), std::move(nodes_out), std::move(stored.unresponsive));
    loaded.members_.restore(std::move(stored.members), std::move(routers_out), scalars.now);
    for (const std::string& node : loaded.nodes_.unresponsive()) loaded.members_.reconsider_node(node);
    loaded.removals_.restore(std::move(stored.requests), std::move(stored.removed), scalars.generation,
                             scalars.last_fence, scalars.last_request);
    loaded.halt_.restore(scalars.halted, scalars.halt_reason, std::move(stored.tripped));
    loaded.history_ = std::move(stored.history);
    *this = std::move(loaded);
}

}  // namespace tealcart::fleet
