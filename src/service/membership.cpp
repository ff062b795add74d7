#include "service/membership.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <cstdio>

#include "log/log.hpp"
#include "service/version.hpp"

namespace tealcart {
namespace {

constexpr Nanos ms = 1'000'000;
constexpr Nanos farewell_within = 300 * ms;
const char* const serving_states[] = {"no steward has spoken yet", "a member",
                                      "its lease is over; it goes on by what it last knew", "cut off"};

// Of all that was stated when it started.
std::string digest_of(const StartupConfig& launch) {
    const std::string all = launch.settings + '\n' + launch.operators.text;
    char text[17];
    std::snprintf(text, sizeof text, "%016llx",
                  static_cast<unsigned long long>(XXH3_64bits(all.data(), all.size())));
    return text;
}

}  // namespace

Membership::Membership(boost::asio::io_context& io, EventClock& time, const StartupConfig& launch,
                       MemberHost& host)
    : time_(time), config_(launch.operators.member), name_(config_.name.empty() ? launch.name : config_.name),
      digest_(digest_of(launch)), host_(host),
      lease_(config_, time.now(), static_cast<std::uint64_t>(time.now())),
      watch_(io, time, *this, config_.managers, launch.agreed_bound) {
    host_.observe_outcomes(this);
    look();
}

void Membership::hand_on(const EndpointList& list) {
    if (!list.nodes.empty() || list.full) host_.on_list(list);
}

void Membership::on_list(const EndpointList& list) { hand_on(list_.discovered(list)); }

// Guards against going on, after a stall, by a lease that is over.
void Membership::look() {
    const Nanos now = time_.now();
    const ServingState serving_state = lease_.serving_state(now);
    if (serving_state != serving_state_)
        log_line("member %s, life %llu: %s", name_.c_str(),
                 static_cast<unsigned long long>(lease_.incarnation()),
                 serving_states[static_cast<int>(serving_state)]);
    serving_state_ = serving_state;
    const bool cut = now >= lease_.attempts_until(now);
    if (cut != cut_) hand_on(list_.cut(cut));
    cut_ = cut;
    host_.set_serving_state(ServingStateSource::agreement,
                            {lease_.ready(now) && !out_, lease_.admits(now), lease_.attempts_until(now)});
}

void Membership::after_round() {
    // All that the bridge was told has been played to the module by now.
    if (host_.next_round() != TimerQueue::never) return;
    acts_on_ = told_;
    watch_.next();
}

bool Membership::anything_in_hand() const {
    if (out_ && host_.held() > 0) return true;
    return host_.any_attempt_to([this](const std::string& node) { return list_.out().contains(node); });
}

MemberCall Membership::word() {
    MemberCall call;
    call.name = name_;
    call.role = "router";
    call.zone = config_.zone;
    call.version = version;
    call.digest = digest_;
    call.incarnation = lease_.incarnation();
    call.serve_on = config_.serve_on;
    call.applied_generation = acts_on_;
    call.knows = told_;
    if (out_ && host_.held() > 0) call.in_flight.push_back({true, name_});
    for (const std::string& node : list_.out())
        if (host_.any_attempt_to([&node](const std::string& at) { return at == node; }))
            call.in_flight.push_back({false, node});
    call.wait = lease_.wait(!call.in_flight.empty() || acts_on_ < told_);
    for (const std::uint32_t node : outcomes_.silent(time_.now()))
        if (const std::string& at = host_.node_name(node); !at.empty()) call.silent.push_back(at);
    const OutcomeStats::Counts counts = outcomes_.counts(time_.now());
    call.queries = counts.queries;
    call.failed = counts.failed;
    call.leaves = leaves_;
    return call;
}

void Membership::on_grant(Nanos sent, const MemberAnswer& answer) {
    if (leaves_) {
        left_ = true;
        return;
    }
    lease_.renewed(sent, answer.lease);
    // A manager that leads anew may be behind for a moment; what is known stands.
    if (answer.generation > told_ || told_ == 0) {
        std::set<std::string> out;
        out_ = false;
        for (const TargetName& t : answer.out) {
            if (!t.router)
                out.insert(t.name);
            else if (t.name == name_)
                out_ = true;
        }
        if (answer.generation != told_)
            log_line("generation %llu: %zu data nodes are out by agreement%s",
                     static_cast<unsigned long long>(answer.generation), out.size(),
                     out_ ? ", and this router" : "");
        told_ = answer.generation;
        hand_on(list_.agreed(std::move(out)));
    }
    look();
    after_round();
}

void Membership::on_superseded(std::uint64_t last_incarnation) {
    lease_.superseded(last_incarnation);
    look();
}

bool Membership::farewell() {
    const Nanos now = time_.now();
    if (farewell_began_ == 0) {
        farewell_began_ = now;
        leaves_ = true;
        if (serving_state_ != ServingState::member) return true;
        watch_.call_now();
    }
    return left_ || now - farewell_began_ > farewell_within;
}

void Membership::on_query_end(int status) { outcomes_.record_query(time_.now(), status != 200); }

void Membership::on_attempt_end(std::uint32_t node, Outcome outcome) {
    outcomes_.record_attempt(time_.now(), node, outcome);
}

}  // namespace tealcart
