#include "control/proxy_stream.hpp"

#include <algorithm>
#include <charconv>
#include <iterator>

namespace tealcart {
namespace {

// Returns the number of the response with this nonce, or 0 for a malformed nonce.
std::uint64_t number_of(std::string_view nonce) {
    std::uint64_t number = 0;
    const auto [end, ec] = std::from_chars(nonce.data(), nonce.data() + nonce.size(), number);
    return ec == std::errc() && end == nonce.data() + nonce.size() ? number : 0;
}

}  // namespace

ProxyStream::RequestResult ProxyStream::on_request(const ProxyRequest& request,
                                                   std::uint64_t& acknowledged_response,
                                                   SubscriptionChange& names) {
    acknowledged_response = 0;
    const auto type = type_of(request.type_url);
    if (!type) return RequestResult::unknown_type;
    if (request.names.size() > max_names || request.subscribe.size() > max_names ||
        request.initial_versions.size() > max_names)
        return RequestResult::too_many;
    Subscription& subscription = subscriptions_[index_of(*type)];
    // Removals of these types may have waited for other types.
    subscriptions_[index_of(XdsType::cluster)].up_to_date =
        subscriptions_[index_of(XdsType::endpoint)].up_to_date = false;
    const bool first = !subscription.requested;
    // A request with a nonce answers a response on this stream; it is stale if that is not the latest of its
    // type.
    const bool is_reply = !request.nonce.empty() && !first;
    if (is_reply && number_of(request.nonce) != subscription.last_response) {
        // A stale delta request still changes subscriptions, because it states differences.
        if (delta_) apply_delta(subscription, *type, request, false, names), subscription.up_to_date = false;
        return RequestResult::stale;
    }
    RequestResult result = RequestResult::first;
    if (is_reply) {
        acknowledged_response = subscription.last_response;
        result = request.is_nack ? RequestResult::rejected : RequestResult::acknowledged;
        if (subscription.in_flight)
            request.is_nack ? reject(subscription, request.error) : acknowledge(subscription);
    }
    subscription.requested = true;
    subscription.up_to_date &= !first && !request.is_nack;
    delta_ ? apply_delta(subscription, *type, request, first, names)
           : apply_state_of_world(subscription, *type, request, first, names);
    subscription.up_to_date &= request.subscribe.empty() && request.unsubscribe.empty();
    return subscription.names.size() > max_names ? RequestResult::too_many : result;
}

void ProxyStream::apply_state_of_world(Subscription& subscription, XdsType type, const ProxyRequest& request,
                                       bool first, SubscriptionChange& change) {
    if (first) {
        if (const auto known = parse_version(request.version))
            known_generation_ = std::max(known_generation_, known->generation);
        subscription.owes_response = requires_full_state(type);
    }
    if (!first && request.names == subscription.last_names) return;
    subscription.last_names = request.names;
    subscription.up_to_date = false;
    std::set<std::string> names(request.names.begin(), request.names.end());
    const bool has_wildcard = names.erase("*") > 0;
    // An empty list of names subscribes to everything, as long as no name was ever listed.
    const bool wildcard = has_wildcard || (requires_full_state(type) && request.names.empty() &&
                                           (first || subscription.wildcard));
    if (names != subscription.names || wildcard != subscription.wildcard)
        std::erase_if(subscription.sent,
                      [&](const auto& entry) { return !wildcard && !names.contains(entry.first); });
    std::set_difference(names.begin(), names.end(), subscription.names.begin(), subscription.names.end(),
                        std::back_inserter(change.added));
    std::set_difference(subscription.names.begin(), subscription.names.end(), names.begin(), names.end(),
                        std::back_inserter(change.removed));
    subscription.names = std::move(names);
    subscription.wildcard = wildcard;
}

void ProxyStream::apply_delta(Subscription& subscription, XdsType type, const ProxyRequest& request,
                              bool first, SubscriptionChange& change) {
    if (first) {
        subscription.owes_response = true;
        subscription.wildcard = requires_full_state(type) && request.subscribe.empty();
        for (const auto& [name, version] : request.initial_versions) {
            if (const auto known = parse_version(version))
                known_generation_ = std::max(known_generation_, known->generation);
            subscription.sent[name] = subscription.acknowledged[name] = {version, nullptr};
        }
    }
    for (const std::string& name : request.subscribe) {
        if (name == "*") {
            subscription.wildcard = true;
            continue;
        }
        if (subscription.names.insert(name).second) change.added.push_back(name);
        if (!first) subscription.sent.erase(name);  // a repeated subscription is sent again
    }
    for (const std::string& name : request.unsubscribe) {
        if (name == "*") subscription.wildcard = false;
        if (subscription.names.erase(name) > 0) change.removed.push_back(name);
        subscription.sent.erase(name);
        subscription.acknowledged.erase(name);
    }
}

void ProxyStream::acknowledge(Subscription& subscription) {
    subscription.in_flight = false;
    for (const std::string& name : subscription.in_flight_names) {
        const auto sent = subscription.sent.find(name);
        if (sent == subscription.sent.end())
            subscription.acknowledged.erase(name);
        else
            subscription.acknowledged[name] = sent->second;
        subscription.rejected.erase(name);
    }
    subscription.in_flight_names.clear();
}

// A rejection doesn't state which resource is at fault. From then on they are sent one by one, so that a
// resource that the proxy can't accept doesn't hold up others. A resource that was rejected alone is not sent
// again until it changes.
void ProxyStream::reject(Subscription& subscription, const std::string& error) {
    subscription.in_flight = false;
    last_error_ = error.substr(0, 300);
    if (subscription.in_flight_names.size() == 1) {
        const std::string& name = subscription.in_flight_names.front();
        if (const auto sent = subscription.sent.find(name); sent != subscription.sent.end())
            subscription.rejected[name] = sent->second.version;
    } else {
        subscription.one_by_one = true;
    }
    for (const std::string& name : subscription.in_flight_names) {
        const auto acknowledged = subscription.acknowledged.find(name);
        if (acknowledged == subscription.acknowledged.end())
            subscription.sent.erase(name);
        else
            subscription.sent[name] = acknowledged->second;
    }
    subscription.in_flight_names.clear();
}

// Returns the newest version of a resource, or the acknowledged one if the proxy has rejected the newest.
ResourcePtr ProxyStream::wanted_resource(const Subscription& subscription, const ResourceMap& view,
                                         const std::string& name) const {
    const auto newest = view.find(name);
    if (newest == view.end()) return nullptr;
    const auto rejected = subscription.rejected.find(name);
    if (rejected == subscription.rejected.end() || rejected->second != newest->second->version)
        return newest->second;
    const auto acknowledged = subscription.acknowledged.find(name);
    return acknowledged == subscription.acknowledged.end() ? nullptr : acknowledged->second.resource;
}

// Make before break: resources that routes or listeners may refer to stay until those have been updated.
bool ProxyStream::may_remove(XdsType type, const XdsView& view) const {
    if (type == XdsType::route || type == XdsType::listener) return true;
    const Subscription& routes = subscriptions_[index_of(XdsType::route)];
    if (!routes.requested) return true;
    if (routes.in_flight) return false;
    const Change due_routes = change(XdsType::route, view);
    return due_routes.updated.empty() && due_routes.removed.empty();
}

// Finds the differences between the resources of a type that a proxy has and those it should have. Names are
// added in order, so that the sent resources can be walked in parallel.
class ProxyStream::ChangeFinder {
  public:
    ChangeFinder(const ProxyStream& stream, const Subscription& subscription, const ResourceMap& resources)
        : stream_(stream), subscription_(subscription), resources_(resources),
          sent_(subscription.sent.begin()) {}

    // Adds all resources, for a wildcard subscription.
    void add_all() {
        for (const auto& [name, resource] : resources_) add(name, &resource);
    }

    // Adds the names that the proxy subscribes to, without those that the wildcard covers.
    void add_named() {
        sent_ = subscription_.sent.begin();
        auto resource = resources_.begin();
        for (const std::string& name : subscription_.names) {
            while (resource != resources_.end() && resource->first < name) ++resource;
            const bool exists = resource != resources_.end() && resource->first == name;
            if (!subscription_.wildcard || !exists) add(name, exists ? &resource->second : nullptr);
        }
    }

    void add_removed() {
        auto resource = resources_.begin();
        for (const auto& [name, sent] : subscription_.sent) {
            while (resource != resources_.end() && resource->first < name) ++resource;
            const bool exists = resource != resources_.end() && resource->first == name;
            if (!sent.version.empty() && !exists) change_.removed.push_back(name);
        }
    }

    Change take() { return std::move(change_); }

  private:
    // `resource` is null if no resource has this name.
    void add(const std::string& name, const ResourcePtr* resource) {
        while (sent_ != subscription_.sent.end() && sent_->first < name) ++sent_;
        const bool is_sent = sent_ != subscription_.sent.end() && sent_->first == name;
        ResourcePtr wanted;
        if (resource != nullptr)
            wanted = subscription_.rejected.empty()
                         ? *resource
                         : stream_.wanted_resource(subscription_, resources_, name);
        if (wanted == nullptr) {
            if (!is_sent && stream_.delta_ && resource == nullptr)
                change_.updated.emplace_back(name, nullptr);
            return;
        }
        if (is_sent && sent_->second.version == wanted->version) return;
        change_.adds_new |= !is_sent || sent_->second.version.empty();
        change_.updated.emplace_back(name, std::move(wanted));
    }

    const ProxyStream& stream_;
    const Subscription& subscription_;
    const ResourceMap& resources_;
    std::map<std::string, SentResource>::const_iterator sent_;
    Change change_;
};

ProxyStream::Change ProxyStream::change(XdsType type, const XdsView& view) const {
    const Subscription& subscription = subscriptions_[index_of(type)];
    ChangeFinder finder(*this, subscription, *view.resources[index_of(type)]);
    if (subscription.wildcard) finder.add_all();
    finder.add_named();
    finder.add_removed();
    Change change = finder.take();
    if (subscription.one_by_one && change.updated.size() > 1) change.updated.resize(1);
    return change;
}

void ProxyStream::adopt_initial_versions(Subscription& subscription, const ResourceMap& resources) {
    for (auto& [name, sent] : subscription.sent) {
        if (sent.resource != nullptr || sent.version.empty()) continue;
        const auto found = resources.find(name);
        if (found == resources.end() || found->second->version != sent.version) continue;
        sent.resource = found->second;
        subscription.acknowledged[name].resource = found->second;
    }
}

std::optional<ProxyResponse> ProxyStream::next(const XdsView& view, Nanos now) {
    wake_at_ = INT64_MAX;
    // Endpoints are sent before clusters if no cluster is new, so that a drain doesn't wait for limits.
    constexpr std::array order = {XdsType::cluster, XdsType::endpoint, XdsType::listener, XdsType::route};
    std::optional<Change> limits;
    for (const XdsType type : order) {
        Subscription& subscription = subscriptions_[index_of(type)];
        const std::uint64_t changed = view.change_counts[index_of(type)];
        if (!subscription.requested ||
            (subscription.up_to_date && subscription.checked_at_change == changed &&
             !subscription.owes_response))
            continue;
        adopt_initial_versions(subscription, *view.resources[index_of(type)]);
        Change due = change(type, view);
        const bool held_back = !due.removed.empty() && !may_remove(type, view);
        if (held_back) due.removed.clear();
        // A state-of-the-world stream can't remove single resources of these types, so they are only
        // forgotten.
        if (!delta_ && !requires_full_state(type) && due.updated.empty()) forget_removed(subscription, due);
        if (due.empty() && !subscription.owes_response) {
            subscription.up_to_date = !held_back;
            subscription.checked_at_change = changed;
            continue;
        }
        if (subscription.in_flight && now < subscription.sent_at + ack_wait_) {
            wake_at_ = std::min(wake_at_, subscription.sent_at + ack_wait_);
            if (due.adds_new) break;  // resources that refer to it must wait
            continue;
        }
        if (type == XdsType::cluster && !due.adds_new && due.removed.empty() && !subscription.owes_response) {
            limits = std::move(due);
            continue;
        }
        subscription.up_to_date = !held_back && !subscription.one_by_one;
        subscription.checked_at_change = changed;
        return compose(type, due, view, now);
    }
    if (limits) return compose(XdsType::cluster, *limits, view, now);
    return std::nullopt;
}

void ProxyStream::forget_removed(Subscription& subscription, Change& due) {
    for (const std::string& name : due.removed) {
        subscription.sent.erase(name);
        subscription.acknowledged.erase(name);
    }
    due.removed.clear();
}

ProxyResponse ProxyStream::compose(XdsType type, const Change& due, const XdsView& view, Nanos now) {
    Subscription& subscription = subscriptions_[index_of(type)];
    ProxyResponse out;
    out.type = type;
    out.number = subscription.last_response = ++last_number_;
    out.nonce = std::to_string(out.number);
    out.version = format_version(view.version);
    subscription.owes_response = false;
    subscription.sent_at = now;
    // If the previous response was never acknowledged, the proxy may have any of its resources.
    if (!subscription.in_flight) subscription.in_flight_names.clear();
    subscription.in_flight = true;
    for (const auto& [name, resource] : due.updated) {
        subscription.sent[name] =
            resource == nullptr ? SentResource{} : SentResource{resource->version, resource};
        subscription.in_flight_names.push_back(name);
        if (resource == nullptr)
            out.removed.push_back(name);
        else if (delta_ || !requires_full_state(type))
            out.resources.push_back(resource);
    }
    for (const std::string& name : due.removed) {
        subscription.sent.erase(name);
        subscription.in_flight_names.push_back(name);
        out.removed.push_back(name);
    }
    std::sort(subscription.in_flight_names.begin(), subscription.in_flight_names.end());
    subscription.in_flight_names.erase(
        std::unique(subscription.in_flight_names.begin(), subscription.in_flight_names.end()),
        subscription.in_flight_names.end());
    if (!delta_ && requires_full_state(type)) {
        out.removed.clear();
        for (const auto& [name, sent] : subscription.sent)
            if (sent.resource != nullptr) out.resources.push_back(sent.resource);
    }
    return out;
}

std::vector<ResourcePtr> ProxyStream::clusters() const {
    std::vector<ResourcePtr> all;
    for (const auto& [_, sent] : subscriptions_[index_of(XdsType::cluster)].sent)
        if (sent.resource != nullptr) all.push_back(sent.resource);
    return all;
}

bool ProxyStream::settled(const XdsView& view) const {
    for (std::size_t type = 0; type < xds_types; ++type) {
        const Change due = change(static_cast<XdsType>(type), view);
        if (subscriptions_[type].requested &&
            (subscriptions_[type].in_flight || subscriptions_[type].owes_response || !due.empty()))
            return false;
    }
    return true;
}

}  // namespace tealcart
