// Which commands were applied of late and what came of each, so that a command that is proposed again under
// its id, by whichever leader, is applied once. Part of the replicated state.
#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace tealcart::replicated {

template <typename Effect>
class CommandHistory {
  public:
    using Effects = std::vector<Effect>;

    // Nothing: no command of this id is remembered.
    const Effects* find(const std::string& id) const {
        const auto known = effects_by_id_.find(id);
        return known == effects_by_id_.end() ? nullptr : &known->second;
    }

    // A command without an id is not remembered.
    void record(const std::string& id, Effects effects) {
        if (id.empty()) return;
        effects_by_id_[id] = std::move(effects);
        ids_by_age_.push_back(id);
    }

    // Drops the oldest ones.
    void trim(std::size_t max_commands) {
        while (ids_by_age_.size() > max_commands) {
            effects_by_id_.erase(ids_by_age_.front());
            ids_by_age_.pop_front();
        }
    }

    // The oldest first.
    const std::deque<std::string>& ids() const { return ids_by_age_; }

  private:
    std::map<std::string, Effects> effects_by_id_;
    std::deque<std::string> ids_by_age_;
};

}  // namespace tealcart::replicated
