#include "control/controller.hpp"

#include <algorithm>

namespace tealcart {
namespace {

// Many that come at once are reckoned with together: limits are given anew at most so often.
constexpr Nanos share_every = 50'000'000;

std::size_t at(XdsType type) { return static_cast<std::size_t>(type); }

// Grows over a proxy's streams, one after the other.
std::uint64_t share_number(Controller::StreamId stream, std::uint64_t response) {
    return stream << 32 | response;
}

}  // namespace

Controller::Controller(const RouterConfig& config, const std::vector<std::string>& query_classes,
                       const ControlConfig& control, const ResourceEncoder& encoder, std::uint64_t seed,
                       std::uint64_t epoch)
    : control_(control), encoder_(encoder), epoch_(epoch), decider_(config, query_classes, control, seed),
      shares_(static_cast<std::size_t>(config.places)) {
    decide(0);
}

void Controller::take_list(const EndpointList& list, Nanos now) {
    now_ = std::max(now_, now);
    decider_.take(list, now_);
    decide(now_);
}

// Only what changed is encoded, once for all streams, and only those that subscribed to it are due.
void Controller::decide(Nanos now) {
    Decisions made = decider_.decide(now);
    const bool newer = made.generation != decisions_.generation;
    const auto version = [this, &made] { return write_version({made.generation, epoch_, number_}); };
    ++number_;
    const bool first = decisions_.pools.empty();
    for (std::uint32_t p = 0; p < made.pools.size(); ++p) {
        if (first) pool_names_.push_back(pool_name(p));
        const std::string& name = pool_names_[p];
        if (first || !(decisions_.pools[p] == made.pools[p])) {
            resources_[at(XdsType::endpoint)][name] = encoder_.endpoints(p, made.pools[p], version());
            ++encoded_;
            mark(XdsType::endpoint, name);
        }
        if (first || decisions_.pools[p].limit != made.pools[p].limit) {
            shares_.set_total(p, made.pools[p].limit);
            share_again_at_ =
                std::min(share_again_at_, first ? now : now + share_every);  // drains go out first
        }
        if (first) resources_[at(XdsType::cluster)][name] = nullptr;
    }
    if (first || !(decisions_.query_classes == made.query_classes))
        for (const QueryClassRoute& v : made.query_classes) {
            resources_[at(XdsType::listener)][v.name] = encoder_.listener(v, version());
            resources_[at(XdsType::route)][v.name] = encoder_.route(v, made.pools.size(), version());
            encoded_ += 2;
            mark(XdsType::listener, v.name);
            mark(XdsType::route, v.name);
        }
    decisions_ = std::move(made);
    if (newer)  // streams that waited for this list, or a later one
        for (auto& [id, stream] : streams_)
            if (stream.yields) due_.insert(id);
    if (share_again_at_ <= now) share_anew();
}

void Controller::tick(Nanos now) {
    now_ = std::max(now_, now);
    shares_.pass(now_);
    for (auto left = left_.begin(); left != left_.end();) {
        if (left->second.first > now_) {
            ++left;
            continue;
        }
        proxy_of_.erase(left->second.second);
        left = left_.erase(left);
    }
    if (decider_.next_change() <= now_) decide(now_);
    if (shares_.changes() != shared_at_) share_again_at_ = std::min(share_again_at_, now_ + share_every);
    if (share_again_at_ <= now_) share_anew();
    while (!wakes_.empty() && wakes_.begin()->first <= now_) {
        const auto [when, id] = *wakes_.begin();
        wakes_.erase(wakes_.begin());
        if (const auto found = streams_.find(id); found != streams_.end()) {
            found->second.wake_at = INT64_MAX;
            due_.insert(id);
        }
    }
}

// All proxies' limits anew. Less goes out at once; more is given as acknowledgements of less come in.
void Controller::share_anew() {
    shared_at_ = shares_.changes();
    share_again_at_ = INT64_MAX;
    ++number_;
    for (auto& [id, stream] : streams_)
        if (stream.proxy != 0) {
            const std::uint64_t before = stream.clusters_changed;
            view_clusters(stream);
            if (stream.clusters_changed != before) due_.insert(id);
        }
    // Bytes for limits that nobody has any more are dropped.
    std::erase_if(cluster_by_limit_, [](const auto& c) { return c.second.use_count() == 1; });
}

ResourcePtr Controller::cluster(std::uint32_t pool, std::uint32_t limit) {
    ResourcePtr& made = cluster_by_limit_[{pool, limit}];
    if (made == nullptr) {
        made = encoder_.cluster(pool, limit, write_version({decisions_.generation, epoch_, ++number_}));
        ++encoded_;
    }
    return made;
}

void Controller::view_clusters(Stream& stream) {
    const std::vector<std::uint32_t> due = shares_.due(stream.proxy);
    for (std::uint32_t p = 0; p < due.size(); ++p) {
        ResourcePtr& held = stream.clusters[pool_names_[p]];
        if (held != nullptr && held->limit == due[p]) continue;
        held = cluster(p, due[p]);
        ++stream.clusters_changed;
    }
}

XdsView Controller::view_of(const Stream& stream) const {
    XdsView view{{decisions_.generation, epoch_, number_}, {}};
    for (std::size_t t = 0; t < xds_types; ++t) view.of[t] = &resources_[t];
    view.changed = changed_;
    view.of[at(XdsType::cluster)] = &stream.clusters;
    view.changed[at(XdsType::cluster)] = stream.clusters_changed;
    return view;
}

void Controller::mark(XdsType type, const std::string& name) {
    ++changed_[at(type)];
    const Subscribers& s = subscribers_[at(type)];
    due_.insert(s.wildcard.begin(), s.wildcard.end());
    if (const auto found = s.by_name.find(name); found != s.by_name.end())
        due_.insert(found->second.begin(), found->second.end());
}

Controller::StreamId Controller::open(bool delta, Nanos now) {
    now_ = std::max(now_, now);
    streams_.try_emplace(++last_stream_, delta, control_.ack_wait, now_);
    return last_stream_;
}

Controller::Refusal Controller::hear(StreamId id, const std::string& node, const FromProxy& said, Nanos now) {
    now_ = std::max(now_, now);
    const auto found = streams_.find(id);
    if (found == streams_.end()) return Refusal::none;  // it is being closed
    Stream& stream = found->second;
    if (stream.node.empty()) {
        if (node.empty()) return Refusal::no_node;
        if (!by_node_.contains(node) && by_node_.size() >= static_cast<std::size_t>(control_.max_proxies))
            return Refusal::full;
        stream.node = node;
        // The same node on another stream has connected anew; the old one has not noticed yet.
        const auto [other, fresh] = by_node_.try_emplace(node, id);
        if (!fresh) {
            ended_.push_back(other->second);
            if (const auto old = streams_.find(other->second); old != streams_.end()) old->second.proxy = 0;
            other->second = id;
        }
        std::uint64_t& proxy = proxy_of_[node];
        if (proxy == 0) proxy = ++last_proxy_;
        stream.proxy = proxy;
        left_.erase(proxy);
        shares_.join(proxy);
        view_clusters(stream);
    } else if (!node.empty() && node != stream.node) {
        return Refusal::other_node;
    }
    const auto type = type_of(said.type_url);
    ProxyStream::NameChange names;
    std::uint64_t told = 0;
    switch (stream.state.hear(said, told, names)) {
        case ProxyStream::Heard::unknown_type:
            return Refusal::unknown_type;
        case ProxyStream::Heard::too_many:
            return Refusal::too_many;
        case ProxyStream::Heard::rejected:
            lines_.push_back("proxy " + stream.node + " rejects " +
                             std::string(said.type_url.substr(said.type_url.rfind('.') + 1)) + ": " +
                             stream.state.last_error());
            break;
        case ProxyStream::Heard::acknowledged:
            if (type == XdsType::cluster) {
                shares_.acknowledged(stream.proxy, share_number(id, told));
                if (shares_.changes() != shared_at_)
                    share_again_at_ = std::min(share_again_at_, now_ + share_every);
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
                              const ProxyStream::NameChange& names) {
    Subscribers& s = subscribers_[at(type)];
    for (const std::string& name : names.removed) forget_name(s, name, id);
    for (const std::string& name : names.added) s.by_name[name].insert(id);
    if (stream.state.is_wildcard(type))
        s.wildcard.insert(id);
    else
        s.wildcard.erase(id);
}

void Controller::forget_name(Subscribers& s, const std::string& name, StreamId id) {
    const auto of = s.by_name.find(name);
    if (of != s.by_name.end() && of->second.erase(id) > 0 && of->second.empty()) s.by_name.erase(of);
}

std::optional<ToProxy> Controller::next(StreamId id, Nanos now) {
    now_ = std::max(now_, now);
    const auto found = streams_.find(id);
    if (found == streams_.end() || found->second.proxy == 0) return std::nullopt;
    Stream& stream = found->second;
    const auto wake = [&](Nanos when) {
        if (when >= stream.wake_at) return;
        if (stream.wake_at != INT64_MAX) wakes_.erase({stream.wake_at, id});
        stream.wake_at = when;
        wakes_.insert({when, id});
    };
    // It has been told of a newer list by another control service: nothing older is told it, but for so long
    // alone, since discovery may count from the beginning again.
    if (stream.state.known_generation() > decisions_.generation &&
        now_ < stream.opened_at + control_.yield_after) {
        if (!stream.yields)
            lines_.push_back("proxy " + stream.node + " knows list " +
                             std::to_string(stream.state.known_generation()) + ", this is " +
                             std::to_string(decisions_.generation) + ": it waits");
        stream.yields = true;
        wake(stream.opened_at + control_.yield_after);
        return std::nullopt;
    }
    stream.yields = false;
    auto out = stream.state.next(view_of(stream), now_);
    if (out && out->type == XdsType::cluster) {
        std::vector<std::uint32_t> limits(decisions_.pools.size());
        for (const ResourcePtr& c : stream.state.clusters()) limits[c->pool] = c->limit;
        shares_.told(stream.proxy, share_number(id, out->number), limits);
    }
    if (stream.state.wake_at() != INT64_MAX) wake(stream.state.wake_at());
    return out;
}

void Controller::close(StreamId id, Nanos now) {
    now_ = std::max(now_, now);
    const auto found = streams_.find(id);
    if (found == streams_.end()) return;
    const Stream& stream = found->second;
    for (std::size_t t = 0; t < xds_types; ++t) {
        const auto type = static_cast<XdsType>(t);
        Subscribers& s = subscribers_[t];
        s.wildcard.erase(id);
        for (const std::string& name : stream.state.names(type)) forget_name(s, name, id);
    }
    if (const auto of = by_node_.find(stream.node); of != by_node_.end() && of->second == id) {
        by_node_.erase(of);
        const Nanos until = now_ + control_.leave_grace;
        shares_.leave(stream.proxy, until);
        left_[stream.proxy] = {until, stream.node};
    }
    if (stream.wake_at != INT64_MAX) wakes_.erase({stream.wake_at, id});
    due_.erase(id);
    streams_.erase(found);
}

std::vector<Controller::StreamId> Controller::take_due() {
    std::vector<StreamId> due(due_.begin(), due_.end());
    due_.clear();
    std::sort(due.begin(), due.end());
    return due;
}

std::vector<std::string> Controller::take_lines() {
    std::vector<std::string> lines = std::exchange(lines_, {});
    for (std::string& line : decider_.take_lines()) lines.push_back(std::move(line));
    return lines;
}

bool Controller::settled(StreamId id) const {
    const auto found = streams_.find(id);
    return found != streams_.end() && found->second.state.settled(view_of(found->second));
}

}  // namespace tealcart
