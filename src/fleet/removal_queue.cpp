#include "fleet/removal_queue.hpp"

#include <utility>

namespace tealcart::fleet {

const Request* RemovalQueue::find(std::uint64_t id) const {
    const auto it = requests_.find(id);
    return it == requests_.end() ? nullptr : &it->second;
}

std::optional<std::uint64_t> RemovalQueue::open_request(const Target& target) const {
    const auto it = counts_.open.find(target);
    if (it == counts_.open.end()) return std::nullopt;
    return it->second;
}

std::uint64_t RemovalQueue::add(const std::string& requested_by, const Target& target) {
    Request& request = requests_[++last_request_];
    request = {requested_by, target, Stage::queued, 0, 0, block_reason_, {}};
    add_to_counts(last_request_, request);
    return last_request_;
}

void RemovalQueue::begin_return(std::uint64_t id) {
    Request& request = requests_.at(id);
    remove_from_counts(id, request);
    request.stage = Stage::returning;
    add_to_counts(id, request);
}

const Request& RemovalQueue::grant(std::uint64_t id) {
    Request& request = requests_.at(id);
    remove_from_counts(id, request);
    request.stage = Stage::granted;
    request.fence = ++last_fence_;
    request.generation = ++generation_;
    request.blocked_by.clear();
    removed_[request.target] = id;
    add_to_counts(id, request);
    return request;
}

void RemovalQueue::finish(std::uint64_t id, std::set<std::string> unacknowledged) {
    Request& request = requests_.at(id);
    remove_from_counts(id, request);
    request.stage = Stage::done;
    request.unacknowledged = std::move(unacknowledged);
    add_to_counts(id, request);
}

const Request& RemovalQueue::release(std::uint64_t id) {
    Request& request = requests_.at(id);
    remove_from_counts(id, request);
    removed_.erase(request.target);
    request.generation = ++generation_;
    add_to_counts(id, request);
    return request;
}

Request RemovalQueue::end(std::uint64_t id) {
    const auto it = requests_.find(id);
    remove_from_counts(id, it->second);
    Request request = std::move(it->second);
    requests_.erase(it);
    return request;
}

std::set<std::uint64_t> RemovalQueue::take_completion_candidates(std::uint64_t lowest_applied) {
    std::set<std::uint64_t> ids = std::exchange(completion_candidates_, {});
    auto it = counts_.granted.upper_bound(checked_generation_);
    for (; it != counts_.granted.end() && it->first <= lowest_applied; ++it) ids.insert(it->second);
    checked_generation_ = lowest_applied;
    return ids;
}

void RemovalQueue::recheck_completion(const Target& target) {
    if (const auto id = open_request(target)) completion_candidates_.insert(*id);
}

void RemovalQueue::block_all(const std::string& reason) {
    if (reason == block_reason_) return;
    block_reason_ = reason;
    for (const auto& ids : counts_.queued)
        for (const std::uint64_t id : ids) block(id, reason);
}

void RemovalQueue::block(std::uint64_t id, const std::string& reason) {
    ++visited_count_;
    requests_.at(id).blocked_by = reason;
}

void RemovalQueue::restore(Requests requests, RemovedTargets removed, std::uint64_t generation,
                           std::uint64_t last_fence, std::uint64_t last_request) {
    requests_ = std::move(requests);
    removed_ = std::move(removed);
    generation_ = generation;
    last_fence_ = last_fence;
    last_request_ = last_request;
    recount();
}

void RemovalQueue::recount() {
    counts_ = {};
    completion_candidates_.clear();
    checked_generation_ = 0;
    block_reason_.clear();
    for (const auto& [id, request] : requests_) add_to_counts(id, request);
}

std::set<std::uint64_t>& RemovalQueue::returning(const Request& request) {
    return removed_.contains(request.target) ? counts_.returning_removed : counts_.returning_restored;
}

void RemovalQueue::remove_from_counts(std::uint64_t id, const Request& request) {
    ++visited_count_;
    const auto open = counts_.open.find(request.target);
    if (open != counts_.open.end() && open->second == id) counts_.open.erase(open);
    if (request.stage == Stage::queued) counts_.queued[request.target.router ? 1 : 0].erase(id);
    if (request.stage == Stage::returning) returning(request).erase(id);
    if (request.stage == Stage::granted) counts_.granted.erase(request.generation);
}

void RemovalQueue::add_to_counts(std::uint64_t id, const Request& request) {
    ++visited_count_;
    counts_.open.emplace(request.target, id);
    if (request.stage == Stage::queued) counts_.queued[request.target.router ? 1 : 0].insert(id);
    if (request.stage == Stage::returning) returning(request).insert(id);
    if (request.stage != Stage::granted) return;
    counts_.granted[request.generation] = id;
    completion_candidates_.insert(id);
}

}  // namespace tealcart::fleet
