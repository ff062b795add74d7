// The server side of one proxy's aggregated discovery stream, state-of-the-world or delta, as a state machine
// without I/O. It tracks what the proxy has subscribed to, was sent, has acknowledged and has rejected, and
// decides what to send next. If several changes happen while a proxy is slow, only the newest state is sent.
#pragma once

#include <array>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "control/resources.hpp"

namespace tealcart {

// A discovery request of either form.
struct ProxyRequest {
    std::string type_url, nonce;
    std::string version;             // state of the world: the last version that the proxy accepted
    std::vector<std::string> names;  // state of the world: all names that it subscribes to
    std::vector<std::string> subscribe, unsubscribe;      // delta
    std::map<std::string, std::string> initial_versions;  // delta
    bool is_nack = false;
    std::string error;
};

// A discovery response of either form.
struct ProxyResponse {
    XdsType type = XdsType::cluster;
    std::string version, nonce;
    std::vector<ResourcePtr> resources;
    std::vector<std::string> removed;  // delta
    std::uint64_t number = 0;          // of this response on its stream
};

// The caller passes in requests with `on_request` and takes responses from `next`.
class ProxyStream {
  public:
    // What a request was about, or why it can't be accepted.
    enum class RequestResult : std::uint8_t { first, acknowledged, rejected, stale, unknown_type, too_many };

    ProxyStream(bool delta, Nanos ack_wait) : delta_(delta), ack_wait_(ack_wait) {}

    // Names of one type that a request subscribes to or unsubscribes from.
    struct SubscriptionChange {
        std::vector<std::string> added, removed;
    };
    // Applies a request. `acknowledged_response` is set to the number of the response that the request
    // acknowledges or rejects, or to 0; `names` receives the changes of the subscription.
    RequestResult on_request(const ProxyRequest& request, std::uint64_t& acknowledged_response,
                             SubscriptionChange& names);

    // Returns the next response, which counts as sent from then on, or nothing if none may be sent now.
    std::optional<ProxyResponse> next(const XdsView& view, Nanos now);

    // Returns when `next` may have a response that it may not return now; INT64_MAX for never.
    Nanos wake_at() const { return wake_at_; }
    // Returns the newest list generation that the proxy has got from any control service; 0 for none.
    std::uint64_t known_generation() const { return known_generation_; }
    // Returns the clusters that the proxy was sent and has not rejected.
    std::vector<ResourcePtr> clusters() const;
    bool is_wildcard(XdsType type) const { return subscriptions_[index_of(type)].wildcard; }
    const std::set<std::string>& names(XdsType type) const { return subscriptions_[index_of(type)].names; }
    // Returns the error of the latest rejection, or an empty string.
    const std::string& last_error() const { return last_error_; }
    // Returns whether no response is in flight and the proxy was sent all that it subscribed to as in `view`.
    bool settled(const XdsView& view) const;

    static constexpr std::size_t max_names = 20'000;  // names of one type that a proxy may subscribe to

  private:
    // The version of a resource that a proxy was sent.
    struct SentResource {
        std::string version;   // empty if the proxy was notified that the resource doesn't exist
        ResourcePtr resource;  // null if only its version is known
    };
    // A proxy's subscription to the resources of one type.
    struct Subscription {
        bool requested = false, wildcard = false;
        bool owes_response = false;  // a response is due, even an empty one
        bool in_flight = false, one_by_one = false;
        std::set<std::string> names;
        std::vector<std::string> last_names;  // of the latest request; most requests only repeat them
        std::map<std::string, SentResource> sent, acknowledged;
        std::map<std::string, std::string> rejected;  // rejected versions, by name
        std::vector<std::string> in_flight_names;     // names that the response in flight changes
        std::uint64_t last_response = 0;
        Nanos sent_at = 0;
        // Nothing was due at this change count of the view, and no request has arrived since that could
        // change this.
        bool up_to_date = false;
        std::uint64_t checked_at_change = 0;
    };
    // The difference between what a proxy has and what it should have.
    struct Change {
        std::vector<std::pair<std::string, ResourcePtr>> updated;  // null if the resource doesn't exist
        std::vector<std::string> removed;
        bool adds_new = false;  // includes a resource that the proxy has never had

        bool empty() const { return updated.empty() && removed.empty(); }
    };
    class ChangeFinder;

    static std::size_t index_of(XdsType type) { return static_cast<std::size_t>(type); }
    // Returns whether a state-of-the-world response must contain all resources of the type.
    static bool requires_full_state(XdsType type) {
        return type == XdsType::cluster || type == XdsType::listener;
    }
    void apply_state_of_world(Subscription& subscription, XdsType type, const ProxyRequest& request,
                              bool first, SubscriptionChange& names);
    void apply_delta(Subscription& subscription, XdsType type, const ProxyRequest& request, bool first,
                     SubscriptionChange& names);
    void acknowledge(Subscription& subscription);
    void reject(Subscription& subscription, const std::string& error);
    Change change(XdsType type, const XdsView& view) const;
    ResourcePtr wanted_resource(const Subscription& subscription, const ResourceMap& view,
                                const std::string& name) const;
    bool may_remove(XdsType type, const XdsView& view) const;
    // Fills in resources of which only the version is known, from an earlier stream, if `resources` has that
    // version.
    static void adopt_initial_versions(Subscription& subscription, const ResourceMap& resources);
    // Drops the removals from `due` and from what counts as sent.
    static void forget_removed(Subscription& subscription, Change& due);
    // Returns the response for `due`, which counts as sent from here on.
    ProxyResponse compose(XdsType type, const Change& due, const XdsView& view, Nanos now);

    const bool delta_;
    const Nanos ack_wait_;
    std::array<Subscription, xds_types> subscriptions_;
    std::uint64_t last_number_ = 0, known_generation_ = 0;
    Nanos wake_at_ = INT64_MAX;
    std::string last_error_;
};

}  // namespace tealcart
