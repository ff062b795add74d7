#include "testing/change_rig.hpp"

#include "fleet_manager/manager_client.hpp"

namespace tealcart::testing {
namespace {

using Json = nlohmann::json;
using Ms = std::chrono::milliseconds;
constexpr Nanos ms = 1'000'000;

std::uint64_t start_of(const EventClock& time) { return static_cast<std::uint64_t>(time.now()); }

}  // namespace

Follower::Follower(boost::asio::io_context& io, EventClock& time, History& history, std::string of,
                   std::vector<HostPort> relays, Refuses refuses)
    : name(std::move(of)), time_(time), history_(history), refuses_(std::move(refuses)),
      incarnation_(start_of(time)),
      watch_(io, time, *this, follower_path, "relay", std::move(relays), 0, incarnation_) {
    watch_.start();
}

void Follower::leave() {
    leaves_ = true;
    watch_.call_now();
}

LongPollObserver::Call Follower::next_call() {
    FollowerCall call;
    call.report = {name, incarnation_, 3600'000 * ms, applied_version, refused, why_};
    call.zone = "a";
    call.leaves = leaves_;
    call.position = {copy.version(), copy.digest(), copy.wants_pages(), copy.wants_after(),
                     lease_ > 0 ? lease_ / 5 : 200 * ms};
    return {write_follower_call(call), call.position.wait};
}

void Follower::on_changes(Nanos sent, const ChangesAnswer& answer) {
    if (leaves_) {
        left_ = true;
        return;
    }
    using Taken = changes::Copy::Taken;
    if (answer.lease > 0) lease_ = answer.lease;
    lease_until = std::max(lease_until, sent + answer.lease);
    Taken taken = Taken::known;
    if (answer.delta) taken = copy.take(*answer.delta);
    if (answer.page) {
        ++pages;
        taken = copy.take(*answer.page);
    }
    if (taken == Taken::taken) {
        const std::string why = refuses_ ? refuses_(copy.document()) : "";
        if (why.empty()) {
            went_back |= copy.version() < applied_version;
            applied_version = copy.version();
            acting = copy.document();
            refused = 0;
        } else {
            refused = copy.version();
        }
        why_ = why;
        history_.note(name, (why.empty() ? "acts on " : "refuses ") + std::to_string(copy.version()));
    }
    watch_.next();
}

RigPlan ChangeRig::rig_plan() const {
    RigPlan r;
    r.programs = plan.programs;
    r.routers = 1;
    r.nodes = 4;
    r.gap_ms = 500;
    r.budgets = " changes {\n  lease = \"" + plan.lease + "\"\n  drift = \"" + plan.drift + "\"\n" +
                plan.changes + "\n }";
    std::string list;
    for (const std::uint16_t port : ports_)
        list += (list.empty() ? "\"" : ", \"") + std::string("127.0.0.1:") + std::to_string(port) + "\"";
    if (plan.router) r.member = " relays = [" + list + "]\n";
    return r;
}

ChangeRig::ChangeRig(boost::asio::io_context& in, ChangePlan p)
    : ports_(free_ports(p.relays)), plan(std::move(p)), rig(in, rig_plan()), io_(in),
      timer_(std::make_unique<boost::asio::steady_timer>(in)) {
    relays.resize(plan.relays);
    std::string managers;
    for (std::size_t i = 0; i < rig.plan.managers; ++i)
        managers += (managers.empty() ? "\"" : ", \"") + rig.manager_at(i) + "\"";
    for (std::size_t i = 0; i < plan.relays; ++i) {
        rig.folder.write("relay" + std::to_string(i) + ".hcl",
                         "relay \"relay" + std::to_string(i) +
                             "\" {\n zone = \"a\"\n bind = \"127.0.0.1:" + std::to_string(ports_[i]) +
                             "\"\n stewards = [" + managers + "]\n" + plan.relay + "\n}\n");
        start_relay(i);
    }
    tick();
    const bool up = until([this] {
        for (std::size_t i = 0; i < plan.relays; ++i) {
            const Json status = relay_status(i);
            if (!status.is_object() || status["lease_left_ms"] <= 0) return false;
        }
        return changes().is_object();
    });
    if (!up) throw std::runtime_error("the relays don't come up:\n" + rig.history.text());
}

// The followers' deadlines; each look at it is as late as this at most.
void ChangeRig::tick() {
    timer_->expires_after(Ms(2));
    timer_->async_wait([this](const boost::system::error_code& ec) {
        if (ec) return;
        time_.due.fire_due(time_.now());
        tick();
    });
}

void ChangeRig::start_relay(std::size_t i) {
    const std::string name = "relay" + std::to_string(i);
    relays[i].reset();
    relays[i] =
        std::make_unique<Process>(io_, rig.history, name,
                                  std::vector<std::string>{plan.programs + "/tealcart", "relay", "serve",
                                                           "--file", rig.folder.path(name + ".hcl")});
    until([&] { return relays[i]->said(": followers at ") || relays[i]->ended(); });
}

Follower& ChangeRig::follow(const std::string& name, std::vector<std::size_t> at, Follower::Refuses refuses) {
    std::vector<HostPort> addresses;
    for (const std::size_t i : at) addresses.push_back({"127.0.0.1", ports_[i]});
    followers.push_back(
        std::make_unique<Follower>(io_, time_, rig.history, name, std::move(addresses), std::move(refuses)));
    return *followers.back();
}

bool ChangeRig::until(const std::function<bool()>& holds, Ms within) { return rig.until(holds, within); }

std::unique_ptr<Process> ChangeRig::config_later(std::vector<std::string> words,
                                                 std::vector<std::size_t> through) {
    words.insert(words.begin(), "config");
    return rig.command(std::move(words), std::move(through));
}

int ChangeRig::config(std::vector<std::string> words, std::vector<std::size_t> through) {
    const auto p = config_later(std::move(words), std::move(through));
    until([&] { return p->ended(); });
    return p->status();
}

std::string ChangeRig::entry(const std::string& key, const std::string& text) {
    return key + "=" + rig.folder.write("entry" + std::to_string(++files_), text);
}

Json ChangeRig::changes() const {
    for (std::size_t i = 0; i < rig.managers.size(); ++i) {
        if (!rig.managers[i] || rig.managers[i]->ended()) continue;
        Json s = rig.look(i, "/fleet/changes");
        if (s.is_object() && s["leader"] == s["steward"]) return s;
    }
    return {};
}

Json ChangeRig::relay_status(std::size_t i) const {
    const auto reply =
        fleet_manager::query_manager(io_, {"127.0.0.1", ports_[i]}, "/relay/status", "", Ms(300));
    return reply.status == 200 ? Json::parse(reply.body, nullptr, false) : Json();
}

bool ChangeRig::in_force(std::uint64_t version) {
    return until([&] {
        const Json s = changes();
        return s.is_object() && s["in_force"].get<std::uint64_t>() >= version;
    });
}

// What the leader says is read first: a lease that is over only afterwards held when it was said.
bool ChangeRig::sound() {
    const Json s = changes();
    if (!s.is_object()) return true;
    const auto in_force = s["in_force"].get<std::uint64_t>();
    for (const auto& f : followers)
        if (f->went_back || (f->applied_version > 0 && f->applied_version < in_force && f->has_lease()))
            return false;
    return true;
}

}  // namespace tealcart::testing
