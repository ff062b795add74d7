#include "service/membership.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <cstdio>

#include "log/log.hpp"
#include "service/version.hpp"

namespace tealcart {
namespace {

constexpr Nanos leave_timeout = 300'000'000;  // ns
const char* const serving_states[] = {"no fleet manager has answered yet",
                                      "it has a lease from the fleet managers",
                                      "its lease has expired; it continues with its last known generation",
                                      "cut off from the fleet; it is not ready for queries"};

// Returns a digest of the settings and the operators' file that the router started with.
std::string digest_of(const StartupConfig& startup) {
    const std::string all = startup.settings_text + '\n' + startup.operator_config.text;
    char text[17];
    std::snprintf(text, sizeof text, "%016llx",
                  static_cast<unsigned long long>(XXH3_64bits(all.data(), all.size())));
    return text;
}

}  // namespace

Membership::Membership(boost::asio::io_context& io, EventClock& time, const StartupConfig& startup,
                       MemberHost& host)
    : time_(time), config_(startup.operator_config.member),
      name_(config_.name.empty() ? startup.name : config_.name), digest_(digest_of(startup)), host_(host),
      lease_(config_, time.now(), static_cast<std::uint64_t>(time.now())),
      managers_(io, time, *this, config_.managers, startup.manager_response_limit) {
    host_.observe_outcomes(this);
    update_serving_state();
}

void Membership::update_host(const EndpointList& list) {
    if (!list.nodes.empty() || list.full) host_.on_endpoint_list(list);
}

void Membership::on_endpoint_list(const EndpointList& list) {
    update_host(endpoints_.apply_discovered(list));
}

// Guards against acting on an expired lease after the process has stalled.
void Membership::update_serving_state() {
    const Nanos now = time_.now();
    const ServingState state = lease_.serving_state(now);
    if (std::exchange(serving_state_, state) != state)
        log_line("member %s, incarnation %llu: %s", name_.c_str(),
                 static_cast<unsigned long long>(lease_.incarnation()),
                 serving_states[static_cast<int>(state)]);
    const bool fenced = now >= lease_.attempts_until(now);
    if (std::exchange(fenced_, fenced) != fenced) update_host(endpoints_.set_fenced(fenced));
    host_.set_serving_state(ServingStateSource::agreement,
                            {lease_.ready(now) && !drained_, lease_.admits(now), lease_.attempts_until(now)});
}

void Membership::after_round() {
    // If no further round is due, the router has processed everything that the host was given.
    if (host_.next_round() != TimerQueue::never) return;
    applied_generation_ = known_generation_;
    managers_.next();
}

std::vector<TargetName> Membership::targets_in_flight() const {
    std::vector<TargetName> targets;
    if (drained_ && host_.unfinished_count() > 0) targets.push_back({true, name_});
    for (const std::string& node : endpoints_.drained())
        if (host_.any_attempt_to([&node](const std::string& name) { return name == node; }))
            targets.push_back({false, node});
    return targets;
}

std::vector<std::string> Membership::unresponsive_nodes() const {
    std::vector<std::string> names;
    for (const std::uint32_t node : outcomes_.unresponsive(time_.now()))
        if (const std::string& name = host_.node_name(node); !name.empty()) names.push_back(name);
    return names;
}

MemberCall Membership::member_call() {
    MemberCall call;
    call.name = name_;
    call.role = "router";
    call.zone = config_.zone;
    call.version = version;
    call.digest = digest_;
    call.incarnation = lease_.incarnation();
    call.lease_grace = config_.lease_grace;
    call.applied_generation = applied_generation_;
    call.known_generation = known_generation_;
    call.in_flight = targets_in_flight();
    call.wait = lease_.long_poll_wait(!call.in_flight.empty() || applied_generation_ < known_generation_);
    call.unresponsive_nodes = unresponsive_nodes();
    const OutcomeStats::Counts counts = outcomes_.counts(time_.now());
    call.queries = counts.queries;
    call.failed = counts.failed;
    call.leaving = leaving_;
    return call;
}

void Membership::on_grant(Nanos sent, const MemberAnswer& answer) {
    if (leaving_) {
        left_ = true;
        return;
    }
    lease_.renewed(sent, answer.lease);
    // A new leader may briefly have an older generation, which is ignored.
    if (answer.generation > known_generation_ || known_generation_ == 0) apply_generation(answer);
    update_serving_state();
    after_round();
}

void Membership::apply_generation(const MemberAnswer& answer) {
    std::set<std::string> drained_nodes;
    drained_ = false;
    for (const TargetName& target : answer.drained) {
        if (!target.router)
            drained_nodes.insert(target.name);
        else if (target.name == name_)
            drained_ = true;
    }
    if (answer.generation != known_generation_)
        log_line("received fleet generation %llu: %zu data nodes are drained, %zu before%s",
                 static_cast<unsigned long long>(answer.generation), drained_nodes.size(),
                 endpoints_.drained().size(), drained_ ? "; this router is drained" : "");
    known_generation_ = answer.generation;
    update_host(endpoints_.apply_drains(std::move(drained_nodes)));
}

void Membership::on_superseded(std::uint64_t last_incarnation) {
    lease_.superseded(last_incarnation);
    update_serving_state();
}

bool Membership::leave() {
    const Nanos now = time_.now();
    if (leave_began_ == 0) {
        leave_began_ = now;
        leaving_ = true;
        if (serving_state_ != ServingState::leased) return true;
        managers_.call_now();
    }
    return left_ || now - leave_began_ > leave_timeout;
}

void Membership::on_query_end(int status) { outcomes_.record_query(time_.now(), status != 200); }

void Membership::on_attempt_end(std::uint32_t node, Outcome outcome) {
    outcomes_.record_attempt(time_.now(), node, outcome);
}

}  // namespace tealcart
