#include "service/query_table.hpp"

namespace tealcart {

Handle QueryTable::add(Handle client, std::shared_ptr<QueryText> text) {
    const Handle handle = queries_.emplace();
    Query& query = *queries_.find(handle);
    query.id = new_id();
    query.client = client;
    query.charge = MemoryCharge(memory_);
    text->charge = MemoryCharge(memory_, text->id.size() + text->key.size() + text->text.size());
    query.text = std::move(text);
    by_request_id_[query.text->id] = handle;
    by_client_[client.slot] = handle;
    ++active_;
    return handle;
}

void QueryTable::assign_new_id(Handle handle) {
    Query& query = *queries_.find(handle);
    query.two_phase->earlier_ids.push_back(query.id);
    query.id = new_id();
    register_id(handle);
}

void QueryTable::add_shard_request(Handle handle, const QueryShardRequest& requested) {
    Query& query = *queries_.find(handle);
    ShardRequest& shard_request = query.shard_requests.emplace_back();
    shard_request.id = new_id();
    shard_request.shard = requested.shard;
    shard_request.weight = requested.weight;
    shard_request.cost_hint = requested.hint;
    const auto index = static_cast<std::uint32_t>(query.shard_requests.size() - 1);
    shard_request_by_id_[shard_request.id] = {handle, index};
    query.charge.resize(query.charge.bytes() + bytes_per_shard_request);
    ++active_;
}

bool QueryTable::has_memory_for(std::size_t text_bytes, std::size_t shard_requests) const {
    const std::size_t needed = text_bytes + shard_requests * bytes_per_shard_request;
    const std::size_t quarter = memory_.limit() / 4;
    return memory_.used() + needed <= (text_bytes >= min_large_text_bytes ? 2 : 3) * quarter;
}

bool QueryTable::charge_value(Query& query, std::size_t bytes) {
    if (!memory_.fits(bytes)) return false;
    query.charge.resize(query.charge.bytes() + bytes);
    return true;
}

// Skips ids that are in use, since the ids of a long-running process wrap around.
std::uint32_t QueryTable::new_id() {
    do ++last_id_;
    while (by_id_.contains(last_id_) || shard_request_by_id_.contains(last_id_));
    return last_id_;
}

Query* QueryTable::find_active(std::uint32_t id) {
    const auto found = by_id_.find(id);
    Query* query = found == by_id_.end() ? nullptr : queries_.find(found->second);
    return query == nullptr || query->ended ? nullptr : query;
}

Handle QueryTable::handle_of(std::uint32_t id) const {
    const auto found = by_id_.find(id);
    return found == by_id_.end() ? Handle{} : found->second;
}

const QueryTable::ShardRequestPosition* QueryTable::find_shard_request(std::uint32_t id) const {
    const auto found = shard_request_by_id_.find(id);
    return found == shard_request_by_id_.end() ? nullptr : &found->second;
}

Handle QueryTable::find_by_request_id(std::string_view request_id) const {
    const auto found = by_request_id_.find(request_id);
    return found == by_request_id_.end() ? Handle{} : found->second;
}

Handle QueryTable::find_by_client(Handle client) const {
    const auto found = by_client_.find(client.slot);
    return found == by_client_.end() ? Handle{} : found->second;
}

void QueryTable::mark_ended(Handle handle) {
    Query& query = *queries_.find(handle);
    query.ended = true;
    by_client_.erase(query.client.slot);
    active_ -= 1 + query.shard_requests.size();
}

void QueryTable::release_if_ended(Handle handle) {
    const Query* query = queries_.find(handle);
    if (query == nullptr || !query->ended || query->in_flight > 0) return;
    for (const ShardRequest& shard_request : query->shard_requests)
        shard_request_by_id_.erase(shard_request.id);
    by_id_.erase(query->id);
    if (query->two_phase)
        for (const std::uint32_t id : query->two_phase->earlier_ids) by_id_.erase(id);
    by_request_id_.erase(query->text->id);
    queries_.release(handle);
}

}  // namespace tealcart
