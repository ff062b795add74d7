// The control service without its sockets: encodes decisions as resources, keeps the streams of proxies,
// determines which streams have something to send, and divides limits over the connected proxies. The caller
// passes the time in and makes all calls from one thread at a time.
#pragma once

#include <set>
#include <unordered_map>
#include <unordered_set>
#include <utility>

#include "control/decisions.hpp"
#include "control/limit_allocator.hpp"
#include "control/proxy_stream.hpp"
#include "control/resources.hpp"

namespace tealcart {

// Ties the decision engine, the limit allocator and the proxies' streams together.
class Controller {
  public:
    using StreamId = std::uint64_t;
    // Why a stream must end after a request; `none` if it goes on.
    enum class Refusal : std::uint8_t { none, no_node, other_node, unknown_type, too_many, full };

    // `epoch` must grow from one start to the next (milliseconds since the Unix epoch).
    Controller(const RouterConfig& config, const std::vector<std::string>& query_classes,
               const ControlConfig& control, const ResourceEncoder& encoder, std::uint64_t seed,
               std::uint64_t epoch);

    void apply_list(const EndpointList& list, Nanos now);
    // Applies changes that are due to time alone: ramps, grace periods, acknowledgement timeouts.
    void tick(Nanos now);

    StreamId open(bool delta, Nanos now);
    // `node` is empty if the request names none; only the first request of a stream has to.
    Refusal on_request(StreamId id, const std::string& node, const ProxyRequest& request, Nanos now);
    // Returns the next response on a stream, which counts as sent from then on.
    std::optional<ProxyResponse> next(StreamId id, Nanos now);
    void close(StreamId id, Nanos now);
    // Returns the streams that may have something to send since the last call. A stream whose node has
    // connected again on another stream is returned by `take_ended` and must be closed.
    std::vector<StreamId> take_due();
    std::vector<StreamId> take_ended() { return std::exchange(ended_, {}); }

    std::vector<std::string> take_log_lines();
    std::size_t streams() const { return streams_.size(); }
    bool settled(StreamId id) const;
    const LimitAllocator& limits() const { return limits_; }
    const Decisions& decisions() const { return decisions_; }
    Nanos list_age(Nanos now) const { return engine_.list_age(now); }
    std::uint64_t encoded() const { return encoded_; }

  private:
    // One proxy's stream.
    struct Stream {
        Stream(bool delta, Nanos ack_wait, Nanos now) : state(delta, ack_wait), opened_at(now) {}

        ProxyStream state;
        Nanos opened_at = 0, wake_at = INT64_MAX;
        std::string node;
        std::uint64_t proxy = 0;  // 0 until its node is known
        ResourceMap clusters;     // with the proxy's own limits
        std::uint64_t clusters_changed = 0;
        bool waits_for_list = false;  // the proxy knows of a newer list than this service has
    };
    // The streams that subscribe to resources of one type.
    struct Subscribers {
        std::unordered_map<std::string, std::unordered_set<StreamId>> by_name;
        std::unordered_set<StreamId> wildcard;
    };

    void update_decisions(Nanos now);
    void reallocate_limits();
    ResourcePtr cluster(std::uint32_t pool, std::uint32_t limit);
    void update_clusters(Stream& stream);
    XdsView view_of(const Stream& stream) const;
    void mark_changed(XdsType type, const std::string& name);
    static void remove_subscriber(Subscribers& subscribers, const std::string& name, StreamId id);
    void index_stream(StreamId id, const Stream& stream, XdsType type,
                      const ProxyStream::SubscriptionChange& names);

    const ControlConfig control_;
    const ResourceEncoder& encoder_;
    const std::uint64_t epoch_;
    DecisionEngine engine_;
    Decisions decisions_;
    LimitAllocator limits_;
    // For clusters it has only the names, since each proxy has its own resources.
    std::array<ResourceMap, xds_types> resources_;
    std::array<std::uint64_t, xds_types> change_counts_{};
    std::vector<std::string> pool_names_;
    std::map<std::pair<std::uint32_t, std::uint32_t>, ResourcePtr> cluster_by_limit_;
    std::uint64_t version_number_ = 0, encoded_ = 0;
    std::uint64_t allocated_at_change_ = 0;  // the allocator's change count when limits were last allocated
    Nanos reallocate_at_ = INT64_MAX, now_ = 0;
    std::unordered_map<StreamId, Stream> streams_;
    std::unordered_map<std::string, StreamId> stream_by_node_;
    std::unordered_map<std::string, std::uint64_t> proxy_ids_;  // by node; retained in the grace period
    // The end of the grace period and the node of each proxy that has left, by its id.
    std::map<std::uint64_t, std::pair<Nanos, std::string>> departed_;
    std::array<Subscribers, xds_types> subscribers_;
    std::unordered_set<StreamId> due_;
    std::vector<StreamId> ended_;
    std::set<std::pair<Nanos, StreamId>> wake_ups_;
    std::vector<std::string> log_lines_;
    StreamId last_stream_ = 0;
    std::uint64_t last_proxy_ = 0;
};

}  // namespace tealcart
