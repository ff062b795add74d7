#include "xds/recorder.hpp"

#include <algorithm>
#include <deque>
#include <set>
#include <stdexcept>
#include <unordered_map>

#include "cluster.pb.h"
#include "discovery.grpc.pb.h"
#include "endpoint.pb.h"
#include "http_connection_manager.pb.h"
#include "listener.pb.h"
#include "route.pb.h"

namespace tealcart {
namespace {

namespace xds = envoy::service::discovery::v3;
using Ads = xds::AggregatedDiscoveryService;
using ReadEndpoints = std::shared_ptr<const std::pair<std::string, Recorder::Endpoints>>;

ReadEndpoints read_endpoints(const std::string& bytes) {
    constexpr std::size_t max_cached = 4096;
    static std::mutex mutex;
    static std::unordered_map<std::string, ReadEndpoints> cached;
    const std::lock_guard lock(mutex);
    if (cached.size() >= max_cached) cached.clear();
    ReadEndpoints& read = cached[bytes];
    if (read != nullptr) return read;
    envoy::config::endpoint::v3::ClusterLoadAssignment assignment;
    assignment.ParseFromString(bytes);
    std::vector<Recorder::Endpoints::Entry> all;
    for (const auto& locality : assignment.endpoints())
        for (const auto& endpoint : locality.lb_endpoints())
            all.push_back({endpoint.endpoint().hostname(),
                           {endpoint.health_status() == envoy::config::core::v3::DRAINING,
                            endpoint.load_balancing_weight().value()}});
    read = std::make_shared<const std::pair<std::string, Recorder::Endpoints>>(
        assignment.cluster_name(), Recorder::Endpoints(std::move(all)));
    return read;
}

}  // namespace

// The part that both protocol forms share. Its lock guards the state between the transport's threads and the
// test's.
class Recorder::Stream : public std::enable_shared_from_this<Stream> {
  public:
    Stream(std::shared_ptr<grpc::Channel> channel, Options options)
        : stub(Ads::NewStub(channel)), options_(std::move(options)) {}
    virtual ~Stream() = default;

    virtual void begin() = 0;
    void cancel() { context.TryCancel(); }
    void wait_done() {
        std::unique_lock lock(mutex);
        changed.wait(lock, [this] { return state.ended; });
    }

    std::unique_ptr<Ads::Stub> stub;
    grpc::ClientContext context;
    mutable std::mutex mutex;
    std::condition_variable changed;
    State state;
    std::map<std::string, Clock::time_point> draining_since;
    bool acknowledges = true;

  protected:
    // Applies the resources of a response, or returns false if they are rejected. The lock must be held.
    bool take(XdsType type, const std::string& version, const std::vector<google::protobuf::Any>& resources,
              bool all, const std::vector<std::string>& removed) {
        std::vector<std::function<void()>> changes;  // applied only if nothing is rejected
        std::vector<std::string> names;
        for (const auto& any : resources) {
            if (type == XdsType::cluster) {
                envoy::config::cluster::v3::Cluster cluster;
                any.UnpackTo(&cluster);
                names.push_back(cluster.name());
                changes.push_back([this, name = cluster.name(),
                                   limit = cluster.circuit_breakers().thresholds(0).max_requests().value()] {
                    state.limits[name] = limit;
                });
            } else if (type == XdsType::endpoint) {
                const auto read = read_endpoints(any.value());
                names.push_back(read->first);
                changes.push_back([this, read] { take_endpoints(read->first, read->second); });
            } else if (type == XdsType::listener) {
                envoy::config::listener::v3::Listener listener;
                any.UnpackTo(&listener);
                names.push_back(listener.name());
                changes.push_back([this, name = listener.name()] {
                    if (std::find(state.listeners.begin(), state.listeners.end(), name) ==
                        state.listeners.end())
                        state.listeners.push_back(name);
                });
            } else {
                auto config = std::make_shared<envoy::config::route::v3::RouteConfiguration>();
                any.UnpackTo(config.get());
                names.push_back(config->name());
                changes.push_back([this, config] { take_route(*config); });
            }
        }
        if (options_.rejects && options_.rejects(type, names)) return false;
        if (all && type == XdsType::cluster) state.limits.clear();
        if (all && type == XdsType::listener) state.listeners.clear();
        for (const std::string& name : removed) {
            if (type == XdsType::cluster) state.limits.erase(name);
            if (type == XdsType::endpoint) state.endpoints.erase(name);
            if (type == XdsType::route) state.routes.erase(name);
        }
        for (const auto& change : changes) change();
        const auto was = parse_version(state.version), is = parse_version(version);
        state.version_regressions += was && is && is->epoch == was->epoch &&
                                     (is->number < was->number || is->generation < was->generation);
        state.version = version;
        state.updated_at = Clock::now();
        ++state.responses;
        for (auto node = partly_draining_.begin(); node != partly_draining_.end();) {
            if (!unserved_everywhere(*node)) {
                ++node;
                continue;
            }
            draining_since.try_emplace(*node, state.updated_at);
            node = partly_draining_.erase(node);
        }
        return true;
    }

    // Returns the clusters that the proxy holds, whose endpoints it subscribes to.
    std::vector<std::string> endpoint_names() const {
        std::vector<std::string> names;
        for (const auto& [name, _] : state.limits) names.push_back(name);
        return names;
    }

    const Options options_;

  private:
    void take_endpoints(const std::string& cluster, const Endpoints& now) {
        state.unknown_references += !state.limits.contains(cluster);
        const Endpoints before = std::exchange(state.endpoints[cluster], now);
        auto at = now.begin();
        for (const auto& [node, was] : before) {
            while (at != now.end() && at->first < node) ++at;
            const bool here = at != now.end() && at->first == node;
            if (!was.draining && (!here || at->second.draining)) partly_draining_.insert(node);
        }
    }
    void take_route(const envoy::config::route::v3::RouteConfiguration& config) {
        auto& clusters = state.routes[config.name()];
        clusters.clear();
        for (const auto& host : config.virtual_hosts())
            for (const auto& route : host.routes()) {
                clusters.push_back(route.route().cluster());
                state.max_retries[config.name()] = route.route().retry_policy().num_retries().value();
                state.unknown_references += !state.limits.contains(clusters.back());
            }
    }
    bool unserved_everywhere(const std::string& node) const {
        return std::none_of(state.endpoints.begin(), state.endpoints.end(), [&node](const auto& cluster) {
            const auto found = cluster.second.find(node);
            return found != cluster.second.end() && !found->second.draining;
        });
    }
    std::set<std::string> partly_draining_;  // no longer served by some cluster, but still by another
};

namespace {

template <typename Request, typename Response>
class StreamOf final : public Recorder::Stream, public grpc::ClientBidiReactor<Request, Response> {
  public:
    static constexpr bool delta = std::is_same_v<Request, xds::DeltaDiscoveryRequest>;
    using Recorder::Stream::Stream;

    void begin() override {
        if constexpr (delta)
            stub->async()->DeltaAggregatedResources(&context, this);
        else
            stub->async()->StreamAggregatedResources(&context, this);
        self_reference_ = shared_from_this();
        {
            const std::lock_guard lock(mutex);
            subscribe(XdsType::cluster, {});
            subscribe(XdsType::listener, {});
        }
        this->StartRead(&in_);
        this->StartCall();
    }

    void OnReadDone(bool ok) override {
        if (!ok) return;
        {
            const std::lock_guard lock(mutex);
            state.bytes += in_.ByteSizeLong();
            const auto type = type_of(in_.type_url());
            std::vector<std::string> removed;
            std::vector<google::protobuf::Any> resources;
            std::string version;
            if constexpr (delta) {
                removed.assign(in_.removed_resources().begin(), in_.removed_resources().end());
                for (const auto& resource : in_.resources()) resources.push_back(resource.resource());
                version = in_.system_version_info();
            } else {
                resources.assign(in_.resources().begin(), in_.resources().end());
                version = in_.version_info();
            }
            const bool taken = take(*type, version, resources, !delta, removed);
            if (acknowledges) answer(*type, taken);
            if (taken && *type == XdsType::cluster) subscribe(XdsType::endpoint, endpoint_names());
            if (taken && *type == XdsType::listener) subscribe(XdsType::route, state.listeners);
        }
        changed.notify_all();
        this->StartRead(&in_);
    }
    void OnWriteDone(bool ok) override {
        const std::lock_guard lock(mutex);
        queue_.pop_front();
        if (ok && !queue_.empty()) this->StartWrite(&queue_.front());
    }
    void OnDone(const grpc::Status& status) override {
        std::shared_ptr<Stream> self;
        {
            const std::lock_guard lock(mutex);
            state.ended = true;
            state.status = status.error_code();
            state.status_message = status.error_message();
            self = std::move(self_reference_);
            changed.notify_all();
        }
    }

  private:
    void send(Request request) {
        queue_.push_back(std::move(request));
        if (queue_.size() == 1) this->StartWrite(&queue_.front());
    }
    Request request_for(XdsType type) {
        Request request;
        if (first_) request.mutable_node()->set_id(options_.node);
        first_ = false;
        request.set_type_url(std::string(type_url(type)));
        return request;
    }
    void subscribe(XdsType type, const std::vector<std::string>& names) {
        auto& subscription = subscriptions_[static_cast<std::size_t>(type)];
        const std::set<std::string> wanted(names.begin(), names.end());
        if (subscription.requested && wanted == subscription.names) return;
        if (subscription.requested && delta && type == XdsType::cluster) return;
        Request request = request_for(type);
        if constexpr (delta) {
            for (const std::string& name : names)
                if (!subscription.names.contains(name)) request.add_resource_names_subscribe(name);
        } else {
            for (const std::string& name : names) request.add_resource_names(name);
            if (subscription.requested)
                request.set_response_nonce(subscription.nonce),
                    request.set_version_info(subscription.version);
            else
                request.set_version_info(options_.known_version);
        }
        subscription.names = wanted;
        subscription.requested = true;
        send(std::move(request));
    }
    void answer(XdsType type, bool taken) {
        auto& subscription = subscriptions_[static_cast<std::size_t>(type)];
        subscription.nonce = in_.nonce();
        Request request = request_for(type);
        request.set_response_nonce(in_.nonce());
        if constexpr (!delta) {
            if (taken) subscription.version = in_.version_info();
            request.set_version_info(subscription.version);
            for (const std::string& name : subscription.names) request.add_resource_names(name);
        }
        if (!taken) {
            request.mutable_error_detail()->set_code(3);
            request.mutable_error_detail()->set_message("rejected by the recorder");
        }
        send(std::move(request));
    }

    struct Subscription {
        bool requested = false;
        std::set<std::string> names;
        std::string nonce, version;
    };
    std::array<Subscription, xds_types> subscriptions_;
    std::deque<Request> queue_;
    Response in_;
    bool first_ = true;
    std::shared_ptr<Stream> self_reference_;  // keeps the stream alive while the transport may call it
};

}  // namespace

const std::shared_ptr<const std::vector<Recorder::Endpoints::Entry>> Recorder::Endpoints::empty_list =
    std::make_shared<const std::vector<Entry>>();

Recorder::Endpoints::Endpoints(std::vector<Entry> all) {
    std::sort(all.begin(), all.end(), [](const Entry& a, const Entry& b) { return a.first < b.first; });
    all_ = std::make_shared<const std::vector<Entry>>(std::move(all));
}

std::vector<Recorder::Endpoints::Entry>::const_iterator Recorder::Endpoints::find(
    const std::string& node) const {
    const auto at =
        std::lower_bound(all_->begin(), all_->end(), node,
                         [](const Entry& entry, const std::string& name) { return entry.first < name; });
    return at != all_->end() && at->first == node ? at : all_->end();
}

const Recorder::Endpoint& Recorder::Endpoints::at(const std::string& node) const {
    const auto found = find(node);
    if (found == end()) throw std::out_of_range(node);
    return found->second;
}

Recorder::Recorder(std::shared_ptr<grpc::Channel> channel, Options options) {
    const bool acknowledges = options.acknowledges;
    if (options.delta)
        stream_ = std::make_shared<StreamOf<xds::DeltaDiscoveryRequest, xds::DeltaDiscoveryResponse>>(
            channel, std::move(options));
    else
        stream_ = std::make_shared<StreamOf<xds::DiscoveryRequest, xds::DiscoveryResponse>>(
            channel, std::move(options));
    stream_->acknowledges = acknowledges;
    stream_->begin();
}

Recorder::~Recorder() {
    stream_->cancel();
    stream_->wait_done();
}

Recorder::State Recorder::state() const {
    const std::lock_guard lock(stream_->mutex);
    return stream_->state;
}

bool Recorder::wait_until(const std::function<bool(const State&)>& condition,
                          std::chrono::milliseconds timeout) {
    std::unique_lock lock(stream_->mutex);
    return stream_->changed.wait_for(lock, timeout, [&] { return condition(stream_->state); });
}

Recorder::Clock::time_point Recorder::first_seen_draining(const std::string& node) const {
    const std::lock_guard lock(stream_->mutex);
    const auto at = stream_->draining_since.find(node);
    return at == stream_->draining_since.end() ? Clock::time_point::max() : at->second;
}

void Recorder::cancel() { stream_->cancel(); }

}  // namespace tealcart
