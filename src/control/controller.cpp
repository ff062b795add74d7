#include "control/controller.hpp"

#include <algorithm>

#include "config/units.hpp"

namespace tealcart {
namespace {

// Limits are reallocated at most once in this interval, so that proxies that connect at the same time are
// counted together.
constexpr Nanos reallocation_interval = 50'000'000;

std::size_t index_of(XdsType type) { return static_cast<std::size_t>(type); }

// Returns a number that grows over successive streams of a proxy.
std::uint64_t response_order(Controller::StreamId stream, std::uint64_t response) {
    return stream << 32 | response;
}

}  // namespace

Controller::Controller(const RouterConfig& config, const std::vector<std::string>& query_classes,
                       const ControlConfig& control, const ResourceEncoder& encoder, std::uint64_t seed,
                       std::uint64_t epoch)
    : control_(control), encoder_(encoder), epoch_(epoch), engine_(config, query_classes, control, seed),
      limits_(static_cast<std::size_t>(config.places)) {
    update_decisions(0);
}

void Controller::apply_list(const EndpointList& list, Nanos now) {
    now_ = std::max(now_, now);
    engine_.apply_list(list, now_);
    update_decisions(now_);
}

// Only resources that changed are encoded, once for all streams, and only streams that subscribe to them
// become due.
void Controller::update_decisions(Nanos now) {
    Decisions decisions = engine_.decide(now);
    const bool newer = decisions.generation != decisions_.generation;
    const auto version = [this, &decisions] {
        return format_version({decisions.generation, epoch_, version_number_});
    };
    ++version_number_;
    const bool first = decisions_.pools.empty();
    for (std::uint32_t pool = 0; pool < decisions.pools.size(); ++pool) {
        if (first) pool_names_.push_back(pool_name(pool));
        const std::string& name = pool_names_[pool];
        if (first || !(decisions_.pools[pool] == decisions.pools[pool])) {
            resources_[index_of(XdsType::endpoint)][name] =
                encoder_.endpoints(pool, decisions.pools[pool], version());
            ++encoded_;
            mark_changed(XdsType::endpoint, name);
        }
        if (first || decisions_.pools[pool].limit != decisions.pools[pool].limit) {
            limits_.set_total(pool, decisions.pools[pool].limit);
            reallocate_at_ =
                std::min(reallocate_at_, first ? now : now + reallocation_interval);  // drains are sent first
        }
        if (first) resources_[index_of(XdsType::cluster)][name] = nullptr;
    }
    if (first || !(decisions_.query_classes == decisions.query_classes))
        for (const QueryClassRoute& route : decisions.query_classes) {
            resources_[index_of(XdsType::listener)][route.name] = encoder_.listener(route, version());
            resources_[index_of(XdsType::route)][route.name] =
                encoder_.route(route, decisions.pools.size(), version());
            encoded_ += 2;
            mark_changed(XdsType::listener, route.name);
            mark_changed(XdsType::route, route.name);
        }
    decisions_ = std::move(decisions);
    if (newer)  // streams may have waited for this list
        for (auto& [id, stream] : streams_)
            if (stream.waits_for_list) due_.insert(id);
    if (reallocate_at_ <= now) reallocate_limits();
}

void Controller::tick(Nanos now) {
    now_ = std::max(now_, now);
    limits_.expire(now_);
    for (auto entry = departed_.begin(); entry != departed_.end();) {
        if (entry->second.first > now_) {
            ++entry;
            continue;
        }
        proxy_ids_.erase(entry->second.second);
        entry = departed_.erase(entry);
    }
    if (engine_.next_change() <= now_) update_decisions(now_);
    if (limits_.change_count() != allocated_at_change_)
        reallocate_at_ = std::min(reallocate_at_, now_ + reallocation_interval);
    if (reallocate_at_ <= now_) reallocate_limits();
    while (!wake_ups_.empty() && wake_ups_.begin()->first <= now_) {
        const auto [when, id] = *wake_ups_.begin();
        wake_ups_.erase(wake_ups_.begin());
        if (const auto found = streams_.find(id); found != streams_.end()) {
            found->second.wake_at = INT64_MAX;
            due_.insert(id);
        }
    }
}

// Reallocates the limits of all proxies. Decreases are sent at once; increases follow as decreases are
// acknowledged.
void Controller::reallocate_limits() {
    allocated_at_change_ = limits_.change_count();
    reallocate_at_ = INT64_MAX;
    ++version_number_;
    for (auto& [id, stream] : streams_)
        if (stream.proxy != 0) {
            const std::uint64_t before = stream.clusters_changed;
            update_clusters(stream);
            if (stream.clusters_changed != before) due_.insert(id);
        }
    // Drops encoded clusters that no stream uses any more.
    std::erase_if(cluster_by_limit_, [](const auto& entry) { return entry.second.use_count() == 1; });
}

ResourcePtr Controller::cluster(std::uint32_t pool, std::uint32_t limit) {
    ResourcePtr& encoded = cluster_by_limit_[{pool, limit}];
    if (encoded == nullptr) {
        encoded =
            encoder_.cluster(pool, limit, format_version({decisions_.generation, epoch_, ++version_number_}));
        ++encoded_;
    }
    return encoded;
}

void Controller::update_clusters(Stream& stream) {
    const std::vector<std::uint32_t> allowed = limits_.allowed_limits(stream.proxy);
    for (std::uint32_t pool = 0; pool < allowed.size(); ++pool) {
        ResourcePtr& sent = stream.clusters[pool_names_[pool]];
        if (sent != nullptr && sent->limit == allowed[pool]) continue;
        sent = cluster(pool, allowed[pool]);
        ++stream.clusters_changed;
    }
}

XdsView Controller::view_of(const Stream& stream) const {
    XdsView view{{decisions_.generation, epoch_, version_number_}, {}};
    for (std::size_t type = 0; type < xds_types; ++type) view.resources[type] = &resources_[type];
    view.change_counts = change_counts_;
    view.resources[index_of(XdsType::cluster)] = &stream.clusters;
    view.change_counts[index_of(XdsType::cluster)] = stream.clusters_changed;
    return view;
}

void Controller::mark_changed(XdsType type, const std::string& name) {
    ++change_counts_[index_of(type)];
    const Subscribers& subscribers = subscribers_[index_of(type)];
    due_.insert(subscribers.wildcard.begin(), subscribers.wildcard.end());
    if (const auto found = subscribers.by_name.find(name); found != subscribers.by_name.end())
        due_.insert(found->second.begin(), found->second.end());
}

Controller::StreamId Controller::open(bool delta, Nanos now) {
    now_ = std::max(now_, now);
    streams_.try_emplace(++last_stream_, delta, control_.ack_wait, now_);
    return last_stream_;
}

Controller::Refusal Controller::on_request(StreamId id, const std::string& node, const ProxyRequest& request,
                                           Nanos now) {
    now_ = std::max(now_, now);
    const auto found = streams_.find(id);
    if (found == streams_.end()) return Refusal::none;  // the stream is being closed
    Stream& stream = found->second;
    if (stream.node.empty()) {
        if (node.empty()) return Refusal::no_node;
        if (!stream_by_node_.contains(node) &&
            stream_by_node_.size() >= static_cast<std::size_t>(control_.max_proxies))
            return Refusal::full;
        stream.node = node;
        // If the node is known on another stream, it has reconnected before the old stream's end was noticed.
        const auto [other, is_new] = stream_by_node_.try_emplace(node, id);
        if (!is_new) {
            ended_.push_back(other->second);
            if (const auto old = streams_.find(other->second); old != streams_.end()) old->second.proxy = 0;
            other->second = id;
        }
        std::uint64_t& proxy = proxy_ids_[node];
        if (proxy == 0) proxy = ++last_proxy_;
        stream.proxy = proxy;
        departed_.erase(proxy);
        limits_.join(proxy);
        update_clusters(stream);
    } else if (!node.empty() && node != stream.node) {
        return Refusal::other_node;
    }
    const auto type = type_of(request.type_url);
    ProxyStream::SubscriptionChange names;
    std::uint64_t acknowledged_response = 0;
    switch (stream.state.on_request(request, acknowledged_response, names)) {
        case ProxyStream::RequestResult::unknown_type:
            return Refusal::unknown_type;
        case ProxyStream::RequestResult::too_many:
            return Refusal::too_many;
        case ProxyStream::RequestResult::rejected:
            log_lines_.push_back("proxy " + stream.node + " rejects " +
                                 std::string(request.type_url.substr(request.type_url.rfind('.') + 1)) +
                                 ": " + stream.state.last_error());
            break;
        case ProxyStream::RequestResult::acknowledged:
            if (type == XdsType::cluster) {
                limits_.on_acknowledged(stream.proxy, response_order(id, acknowledged_response));
                if (limits_.change_count() != allocated_at_change_)
                    reallocate_at_ = std::min(reallocate_at_, now_ + reallocation_interval);
            }
            break;
        default:
            break;
    }
    index_stream(id, stream, *type, names);
    due_.insert(id);
    return Refusal::none;
}

void Controller::index_stream(StreamId id, const Stream& stream, XdsType type,
                              const ProxyStream::SubscriptionChange& names) {
    Subscribers& subscribers = subscribers_[index_of(type)];
    for (const std::string& name : names.removed) remove_subscriber(subscribers, name, id);
    for (const std::string& name : names.added) subscribers.by_name[name].insert(id);
    if (stream.state.is_wildcard(type))
        subscribers.wildcard.insert(id);
    else
        subscribers.wildcard.erase(id);
}

void Controller::remove_subscriber(Subscribers& subscribers, const std::string& name, StreamId id) {
    const auto entry = subscribers.by_name.find(name);
    if (entry != subscribers.by_name.end() && entry->second.erase(id) > 0 && entry->second.empty())
        subscribers.by_name.erase(entry);
}

std::optional<ProxyResponse> Controller::next(StreamId id, Nanos now) {
    now_ = std::max(now_, now);
    const auto found = streams_.find(id);
    if (found == streams_.end() || found->second.proxy == 0) return std::nullopt;
    Stream& stream = found->second;
    const auto wake = [&](Nanos when) {
        if (when >= stream.wake_at) return;
        if (stream.wake_at != INT64_MAX) wake_ups_.erase({stream.wake_at, id});
        stream.wake_at = when;
        wake_ups_.insert({when, id});
    };
    // Another control service has sent the proxy a newer list: nothing older is sent to it, but only for a
    // limited time, since discovery may have restarted its numbering.
    if (stream.state.known_generation() > decisions_.generation &&
        now_ < stream.opened_at + control_.yield_after) {
        if (!stream.waits_for_list)
            log_lines_.push_back("proxy " + stream.node + " has endpoint list " +
                                 std::to_string(stream.state.known_generation()) + ", newer than list " +
                                 std::to_string(decisions_.generation) +
                                 " of this service; it is sent no older decisions for up to " +
                                 format_duration(control_.yield_after));
        stream.waits_for_list = true;
        wake(stream.opened_at + control_.yield_after);
        return std::nullopt;
    }
    stream.waits_for_list = false;
    auto out = stream.state.next(view_of(stream), now_);
    if (out && out->type == XdsType::cluster) {
        std::vector<std::uint32_t> limits(decisions_.pools.size());
        for (const ResourcePtr& cluster : stream.state.clusters()) limits[cluster->pool] = cluster->limit;
        limits_.on_sent(stream.proxy, response_order(id, out->number), limits);
    }
    if (stream.state.wake_at() != INT64_MAX) wake(stream.state.wake_at());
    return out;
}

void Controller::close(StreamId id, Nanos now) {
    now_ = std::max(now_, now);
    const auto found = streams_.find(id);
    if (found == streams_.end()) return;
    const Stream& stream = found->second;
    for (std::size_t index = 0; index < xds_types; ++index) {
        const auto type = static_cast<XdsType>(index);
        Subscribers& subscribers = subscribers_[index];
        subscribers.wildcard.erase(id);
        for (const std::string& name : stream.state.names(type)) remove_subscriber(subscribers, name, id);
    }
    if (const auto entry = stream_by_node_.find(stream.node);
        entry != stream_by_node_.end() && entry->second == id) {
        stream_by_node_.erase(entry);
        const Nanos until = now_ + control_.leave_grace;
        limits_.leave(stream.proxy, until);
        departed_[stream.proxy] = {until, stream.node};
    }
    if (stream.wake_at != INT64_MAX) wake_ups_.erase({stream.wake_at, id});
    due_.erase(id);
    streams_.erase(found);
}

std::vector<Controller::StreamId> Controller::take_due() {
    std::vector<StreamId> due(due_.begin(), due_.end());
    due_.clear();
    std::sort(due.begin(), due.end());
    return due;
}

std::vector<std::string> Controller::take_log_lines() {
    std::vector<std::string> lines = std::exchange(log_lines_, {});
    for (std::string& line : engine_.take_log_lines()) lines.push_back(std::move(line));
    return lines;
}

bool Controller::settled(StreamId id) const {
    const auto found = streams_.find(id);
    return found != streams_.end() && found->second.state.settled(view_of(found->second));
}

}  // namespace tealcart
