// The most recently applied commands and their effects, by command id. A command that any leader proposes
// again under the same id is thus applied only once. The history is part of the replicated state.
#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace tealcart::replicated {

// Deduplicates commands by their id.
template <typename Effect>
class CommandHistory {
  public:
    using Effects = std::vector<Effect>;

    // The effects of the command with this id, or nullptr if it is not in the history.
    const Effects* find(const std::string& id) const {
        const auto known = effects_by_id_.find(id);
        return known == effects_by_id_.end() ? nullptr : &known->second;
    }

    // Adds a command. A command without an id is not deduplicated and is ignored here.
    void record(const std::string& id, Effects effects) {
        if (id.empty()) return;
        effects_by_id_[id] = std::move(effects);
        ids_by_age_.push_back(id);
    }

    // Drops the oldest commands until at most `max_commands` are left.
    void trim(std::size_t max_commands) {
        while (ids_by_age_.size() > max_commands) {
            effects_by_id_.erase(ids_by_age_.front());
            ids_by_age_.pop_front();
        }
    }

    // The ids of the commands, oldest first.
    const std::deque<std::string>& ids() const { return ids_by_age_; }

  private:
    std::map<std::string, Effects> effects_by_id_;
    std::deque<std::string> ids_by_age_;
};

}  // namespace tealcart::replicated
