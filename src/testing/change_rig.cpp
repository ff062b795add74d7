#include "testing/change_rig.hpp"

#include "fleet_manager/manager_client.hpp"

namespace tealcart::testing {
namespace {

using Json = nlohmann::json;
using Ms = std::chrono::milliseconds;
constexpr Nanos ms = 1'000'000;
constexpr Ms timer_interval{2}, request_timeout{300};

std::uint64_t incarnation_at(const EventClock& time) { return static_cast<std::uint64_t>(time.now()); }

}  // namespace

Follower::Follower(boost::asio::io_context& io, EventClock& time, EventLog& event_log,
                   std::string follower_name, std::vector<HostPort> relays, RefusalCheck refusal_check)
    : name(std::move(follower_name)), time_(time), event_log_(event_log),
      check_refusal_(std::move(refusal_check)), incarnation_(incarnation_at(time)),
      watch_(io, time, *this, follower_path, "relay", std::move(relays), 0, incarnation_) {
    watch_.start();
}

void Follower::leave() {
    leaves_ = true;
    watch_.call_now();
}

LongPollObserver::Call Follower::next_call() {
    FollowerCall call;
    call.report = {name, incarnation_, 3600'000 * ms, applied_version, refused, refusal_reason_};
    call.zone = "a";
    call.leaving = leaves_;
    call.position = {copy.version(), copy.digest(), copy.needs_pages(), copy.next_page_after(),
                     lease_ > 0 ? lease_ / 5 : 200 * ms};
    return {write_follower_call(call), call.position.wait};
}

void Follower::on_changes(Nanos sent, const ChangesAnswer& answer) {
    if (leaves_) {
        left_ = true;
        return;
    }
    using ApplyResult = changes::DocumentCopy::ApplyResult;
    if (answer.lease > 0) lease_ = answer.lease;
    lease_until = std::max(lease_until, sent + answer.lease);
    ApplyResult result = ApplyResult::unchanged;
    if (answer.delta) result = copy.apply(*answer.delta);
    if (answer.page) {
        ++pages;
        result = copy.apply(*answer.page);
    }
    if (result == ApplyResult::applied) {
        const std::string refusal_reason = check_refusal_ ? check_refusal_(copy.document()) : "";
        if (refusal_reason.empty()) {
            version_decreased |= copy.version() < applied_version;
            applied_version = copy.version();
            applied_document = copy.document();
            refused = 0;
        } else {
            refused = copy.version();
        }
        refusal_reason_ = refusal_reason;
        event_log_.record(name, (refusal_reason.empty() ? "applies version " : "refuses version ") +
                                    std::to_string(copy.version()));
    }
    watch_.next();
}

FleetRigOptions ChangeRig::fleet_rig_options() const {
    FleetRigOptions fleet_options;
    fleet_options.programs = options.programs;
    fleet_options.routers = 1;
    fleet_options.nodes = 4;
    fleet_options.gap_ms = 500;
    fleet_options.budgets = " changes {\n  lease = \"" + options.lease + "\"\n  drift = \"" + options.drift +
                            "\"\n" + options.changes + "\n }";
    std::string relay_addresses;
    for (const std::uint16_t port : ports_)
        relay_addresses += (relay_addresses.empty() ? "\"" : ", \"") + std::string("127.0.0.1:") +
                           std::to_string(port) + "\"";
    if (options.router) fleet_options.member = " relays = [" + relay_addresses + "]\n";
    return fleet_options;
}

ChangeRig::ChangeRig(boost::asio::io_context& io, ChangeRigOptions rig_options)
    : ports_(free_ports(rig_options.relays)), options(std::move(rig_options)),
      fleet_rig(io, fleet_rig_options()), io_(io), timer_(std::make_unique<boost::asio::steady_timer>(io)) {
    relays.resize(options.relays);
    std::string managers;
    for (std::size_t i = 0; i < fleet_rig.options.managers; ++i)
        managers += (managers.empty() ? "\"" : ", \"") + fleet_rig.manager_address(i) + "\"";
    for (std::size_t i = 0; i < options.relays; ++i) {
        fleet_rig.directory.write(
            "relay" + std::to_string(i) + ".hcl",
            "relay \"relay" + std::to_string(i) + "\" {\n zone = \"a\"\n bind = \"127.0.0.1:" +
                std::to_string(ports_[i]) + "\"\n stewards = [" + managers + "]\n" + options.relay + "\n}\n");
        start_relay(i);
    }
    fire_timers();
    const bool relays_ready = until([this] {
        for (std::size_t i = 0; i < options.relays; ++i) {
            const Json status = relay_status(i);
            if (!status.is_object() || status["lease_left_ms"] <= 0) return false;
        }
        return changes().is_object();
    });
    if (!relays_ready)
        throw std::runtime_error("the relays did not become ready:\n" + fleet_rig.event_log.text());
}

// Fires the followers' timers every `timer_interval`, so each fires at most that much late.
void ChangeRig::fire_timers() {
    timer_->expires_after(timer_interval);
    timer_->async_wait([this](const boost::system::error_code& ec) {
        if (ec) return;
        time_.timers.fire_due(time_.now());
        fire_timers();
    });
}

void ChangeRig::start_relay(std::size_t i) {
    const std::string name = "relay" + std::to_string(i);
    relays[i].reset();
    relays[i] = std::make_unique<Process>(
        io_, fleet_rig.event_log, name,
        std::vector<std::string>{options.programs + "/tealcart", "relay", "serve", "--file",
                                 fleet_rig.directory.path(name + ".hcl")});
    until([&] { return relays[i]->has_printed(": followers at ") || relays[i]->ended(); });
}

Follower& ChangeRig::follow(const std::string& name, std::vector<std::size_t> relay_indexes,
                            Follower::RefusalCheck refusal_check) {
    std::vector<HostPort> addresses;
    for (const std::size_t i : relay_indexes) addresses.push_back({"127.0.0.1", ports_[i]});
    followers.push_back(std::make_unique<Follower>(io_, time_, fleet_rig.event_log, name,
                                                   std::move(addresses), std::move(refusal_check)));
    return *followers.back();
}

bool ChangeRig::until(const std::function<bool()>& holds, Ms within) {
    return fleet_rig.until(holds, within);
}

std::unique_ptr<Process> ChangeRig::start_config_command(std::vector<std::string> arguments,
                                                         std::vector<std::size_t> through) {
    arguments.insert(arguments.begin(), "config");
    return fleet_rig.command(std::move(arguments), std::move(through));
}

int ChangeRig::config(std::vector<std::string> arguments, std::vector<std::size_t> through) {
    const auto command = start_config_command(std::move(arguments), std::move(through));
    until([&] { return command->ended(); });
    return command->status();
}

std::string ChangeRig::entry(const std::string& key, const std::string& text) {
    return key + "=" + fleet_rig.directory.write("entry" + std::to_string(++files_), text);
}

Json ChangeRig::changes() const {
    for (std::size_t i = 0; i < fleet_rig.managers.size(); ++i) {
        if (!fleet_rig.managers[i] || fleet_rig.managers[i]->ended()) continue;
        Json changes_page = fleet_rig.get_json(i, "/fleet/changes");
        if (changes_page.is_object() && changes_page["leader"] == changes_page["steward"])
            return changes_page;
    }
    return {};
}

Json ChangeRig::relay_status(std::size_t i) const {
    const auto reply =
        fleet_manager::query_manager(io_, {"127.0.0.1", ports_[i]}, "/relay/status", "", request_timeout);
    return reply.status == 200 ? Json::parse(reply.body, nullptr, false) : Json();
}

bool ChangeRig::in_force(std::uint64_t version) {
    return until([&] {
        const Json changes_page = changes();
        return changes_page.is_object() && changes_page["in_force"].get<std::uint64_t>() >= version;
    });
}

// The leader's page is read first: a lease that is still valid afterwards was valid when the page was
// written.
bool ChangeRig::followers_consistent() {
    const Json changes_page = changes();
    if (!changes_page.is_object()) return true;
    const auto in_force = changes_page["in_force"].get<std::uint64_t>();
    for (const auto& follower : followers)
        if (follower->version_decreased ||
            (follower->applied_version > 0 && follower->applied_version < in_force && follower->has_lease()))
            return false;
    return true;
}

}  // namespace tealcart::testing
