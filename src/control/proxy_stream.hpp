// One proxy's side of aggregated discovery, state of the world or delta, as a state machine without I/O: what
// it has subscribed to, what it was acknowledged_response, acknowledged and rejected, and what it is to be
// acknowledged_response next. Of all that changes while a proxy is slow only the newest is kept.
#pragma once

#include <array>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "control/resources.hpp"

namespace tealcart {

struct ProxyRequest {
    std::string type_url, nonce;
    std::string version;                                  // state of the world: the last that it accepted
    std::vector<std::string> names;                       // state of the world: all that it wants
    std::vector<std::string> subscribe, unsubscribe;      // delta
    std::map<std::string, std::string> initial_versions;  // delta
    bool is_nack = false;
    std::string error;
};

struct ProxyResponse {
    XdsType type = XdsType::cluster;
    std::string version, nonce;
    std::vector<ResourcePtr> resources;
    std::vector<std::string> removed;  // delta
    std::uint64_t number = 0;          // of this response on its stream
};

class ProxyStream {
  public:
    enum class RequestResult : std::uint8_t { first, acknowledged, rejected, stale, unknown_type, too_many };

    ProxyStream(bool delta, Nanos ack_wait) : delta_(delta), ack_wait_(ack_wait) {}

    struct SubscriptionChange {
        std::vector<std::string> added, removed;
    };
    // `acknowledged_response` is the number of the response that it is about, where it is about one; `names`
    // what it subscribes to from now on, or no more.
    RequestResult on_request(const ProxyRequest& request, std::uint64_t& acknowledged_response,
                             SubscriptionChange& names);

    // What goes out next, if anything may; taken for sent from then on.
    std::optional<ProxyResponse> next(const XdsView& view, Nanos now);

    // When something may go out that may not now; INT64_MAX for never.
    Nanos wake_at() const { return wake_at_; }
    // The newest list that this proxy has heard of from any control service; 0 for none.
    std::uint64_t known_generation() const { return known_generation_; }
    // The clusters that it was acknowledged_response and has not rejected.
    std::vector<ResourcePtr> clusters() const;
    bool is_wildcard(XdsType type) const { return subscriptions_[index(type)].wildcard; }
    const std::set<std::string>& names(XdsType type) const { return subscriptions_[index(type)].names; }
    // What it rejected last, for operators: empty for nothing.
    const std::string& last_error() const { return last_error_; }
    // Nothing is under way, and all that it subscribed to was acknowledged_response as `view` has it.
    bool settled(const XdsView& view) const;

    static constexpr std::size_t max_names = 20'000;  // that one proxy may name for a type

  private:
    struct SentResource {
        std::string version;   // empty: it was acknowledged_response that there is none
        ResourcePtr resource;  // null where only its version is known
    };
    struct Subscription {
        bool requested = false, wildcard = false,
             owes_response = false;  // owes: an answer, even an empty one
        bool in_flight = false, one_by_one = false;
        std::set<std::string> names;
        std::vector<std::string> last_names;  // the names as they came last: most messages only repeat them
        std::map<std::string, SentResource> sent,
            acknowledged;                             // acknowledged_response; of that, acknowledged
        std::map<std::string, std::string> rejected;  // versions, by name
        std::vector<std::string> in_flight_names;     // names that the response under way changes
        std::uint64_t last_response = 0;
        Nanos sent_at = 0;
        // Nothing was due as of this change of the view, and nothing was heard since that could make it so.
        bool up_to_date = false;
        std::uint64_t checked_at_change = 0;
    };
    struct Change {
        std::vector<std::pair<std::string, ResourcePtr>> updated;  // null: there is none
        std::vector<std::string> removed;
        bool adds_new = false;  // something that it has never held

        bool empty() const { return updated.empty() && removed.empty(); }
    };
    class ChangeFinder;

    static std::size_t index(XdsType type) { return static_cast<std::size_t>(type); }
    static bool is_sent_whole(XdsType type) { return type == XdsType::cluster || type == XdsType::listener; }
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
    // Completes resources of which only the version is known, from another stream, where `resources` has that
    // version.
    static void adopt_initial_versions(Subscription& subscription, const ResourceMap& resources);
    // Takes the removals out of `due` and out of what the proxy holds.
    static void forget_removed(Subscription& subscription, Change& due);
    // The response for `due`, which counts as sent from here on.
    ProxyResponse compose(XdsType type, const Change& due, const XdsView& view, Nanos now);

    const bool delta_;
    const Nanos ack_wait_;
    std::array<Subscription, xds_types> subscriptions_;
    std::uint64_t last_number_ = 0, known_generation_ = 0;
    Nanos wake_at_ = INT64_MAX;
    std::string last_error_;
};

}  // namespace tealcart
