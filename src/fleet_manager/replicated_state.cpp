#include "fleet_manager/replicated_state.hpp"

#include "fleet_manager/change_requests.hpp"
#include "fleet_manager/log_entries.hpp"
#include "fleet_manager/operator_requests.hpp"
#include "log/log.hpp"

namespace tealcart::fleet_manager {
namespace {

void log_effect(const fleet::Effect& effect) {
    const fleet::EffectRecord record = fleet::record_of(effect);
    log_line("%s: request %llu fence %llu generation %llu %s%s%s", name_of(record.code),
             static_cast<unsigned long long>(record.request), static_cast<unsigned long long>(record.fence),
             static_cast<unsigned long long>(record.generation), record.subject.c_str(),
             record.reason.empty() ? "" : ": ", record.reason.c_str());
}

void log_effect(const changes::Effect& effect) {
    const changes::EffectRecord record = changes::record_of(effect);
    std::string names;
    for (const std::string& name : record.names) names += (names.empty() ? ": " : ", ") + name;
    log_line("changes: %s: version %llu%s%s%s", name_of(record.code),
             static_cast<unsigned long long>(record.version), names.c_str(),
             record.reason.empty() ? "" : ": ", record.reason.c_str());
}

}  // namespace

void ReplicatedState::apply(const std::uint8_t* bytes, std::size_t size) {
    const Entry entry = read_entry(bytes, size);
    if (entry.is_change)
        apply_to_changes(changes::read_command(entry.bytes, entry.size));
    else
        apply_to_fleet(fleet::read_command(entry.bytes, entry.size));
}

void ReplicatedState::apply_to_fleet(const fleet::Command& command) {
    fleet_effects_ = fleet_.apply(command);
    if (const auto* observed = std::get_if<fleet::EndpointsObserved>(&command.payload))
        endpoints_.on_committed(*observed);
    for (const fleet::Effect& effect : fleet_effects_) log_effect(effect);
}

void ReplicatedState::apply_to_changes(const changes::Command& command) {
    change_effects_ = changes_.apply(command);
    for (const changes::Effect& effect : change_effects_) log_effect(effect);
}

std::vector<std::uint8_t> ReplicatedState::save() const {
    // Without changes, the snapshot is the fleet state alone, which programs without a change state can read.
    if (!config_.takes_changes && changes_.version() == 0) return fleet_.save();
    return write_snapshot({fleet_.save(), changes_.save()});
}

void ReplicatedState::load(const std::vector<std::uint8_t>& bytes) {
    const Snapshot snapshot = read_snapshot(bytes);
    fleet_.load(snapshot.fleet);
    endpoints_.compare_all();
    if (snapshot.changes)
        changes_.load(*snapshot.changes);
    else
        changes_ = changes::ChangeState(config_.changes);
}

}  // namespace tealcart::fleet_manager
