#include "xds/encode.hpp"

#include "cluster.pb.h"
#include "discovery.pb.h"
#include "endpoint.pb.h"
#include "http_connection_manager.pb.h"
#include "listener.pb.h"
#include "route.pb.h"
#include "router.pb.h"

namespace tealcart {
namespace {

namespace core = envoy::config::core::v3;
namespace http = envoy::extensions::filters::network::http_connection_manager::v3;

void set_span(google::protobuf::Duration* out, Nanos span) {
    out->set_seconds(span / 1'000'000'000);
    out->set_nanos(static_cast<std::int32_t>(span % 1'000'000'000));
}

void set_ads(core::ConfigSource* out) {
    out->mutable_ads();
    out->set_resource_api_version(core::V3);
}

// Encodes a resource in both forms. Each form includes its field's tag and length, so that encoded resources
// can be concatenated.
ResourcePtr encode_resource(const std::string& name, const std::string& version,
                            const google::protobuf::Message& message, std::uint32_t pool = 0,
                            std::uint32_t limit = 0) {
    auto encoded = std::make_shared<XdsResource>();
    encoded->name = name;
    encoded->version = version;
    encoded->pool = pool;
    encoded->limit = limit;
    envoy::service::discovery::v3::DiscoveryResponse state_of_world;
    state_of_world.add_resources()->PackFrom(message);
    encoded->state_of_world = state_of_world.SerializeAsString();
    envoy::service::discovery::v3::DeltaDiscoveryResponse delta;
    auto* resource = delta.add_resources();
    resource->set_name(name);
    resource->set_version(version);
    resource->mutable_resource()->PackFrom(message);
    encoded->delta = delta.SerializeAsString();
    return encoded;
}

}  // namespace

ResourcePtr XdsEncoder::cluster(std::uint32_t pool, std::uint32_t limit, const std::string& version) const {
    envoy::config::cluster::v3::Cluster cluster;
    cluster.set_name(pool_name(pool));
    cluster.set_type(envoy::config::cluster::v3::Cluster::EDS);
    set_ads(cluster.mutable_eds_cluster_config()->mutable_eds_config());
    set_span(cluster.mutable_connect_timeout(), connect_timeout_);
    cluster.set_lb_policy(envoy::config::cluster::v3::Cluster::ROUND_ROBIN);
    auto* thresholds = cluster.mutable_circuit_breakers()->add_thresholds();
    thresholds->mutable_max_requests()->set_value(limit);
    thresholds->mutable_max_pending_requests()->set_value(limit);
    thresholds->mutable_max_retries()->set_value(std::max<std::uint32_t>(limit / 10, 1));
    return encode_resource(cluster.name(), version, cluster, pool, limit);
}

ResourcePtr XdsEncoder::endpoints(std::uint32_t pool, const Pool& contents,
                                  const std::string& version) const {
    envoy::config::endpoint::v3::ClusterLoadAssignment assignment;
    assignment.set_cluster_name(pool_name(pool));
    std::map<std::string, envoy::config::endpoint::v3::LocalityLbEndpoints*> by_zone;
    for (const PoolEndpoint& pool_endpoint : contents.endpoints) {
        auto*& locality = by_zone[pool_endpoint.zone];
        if (locality == nullptr) {
            locality = assignment.add_endpoints();
            locality->mutable_locality()->set_zone(pool_endpoint.zone);
        }
        auto* endpoint = locality->add_lb_endpoints();
        auto* address = endpoint->mutable_endpoint()->mutable_address()->mutable_socket_address();
        address->set_address(pool_endpoint.host);
        address->set_port_value(pool_endpoint.port);
        endpoint->mutable_endpoint()->set_hostname(pool_endpoint.id);
        endpoint->set_health_status(pool_endpoint.state == EndpointState::draining ? core::DRAINING
                                                                                   : core::HEALTHY);
        endpoint->mutable_load_balancing_weight()->set_value(
            std::max<std::uint32_t>(pool_endpoint.weight, 1));
        if (pool_endpoint.state == EndpointState::draining) continue;
        // A locality weighs as much as its endpoints together, so that a locality with cold endpoints also
        // gets less traffic.
        auto* weight = locality->mutable_load_balancing_weight();
        weight->set_value(weight->value() + pool_endpoint.weight);
    }
    for (auto& [_, locality] : by_zone)
        if (!locality->has_load_balancing_weight()) locality->mutable_load_balancing_weight()->set_value(1);
    // Proxies keep the weights as sent, however many endpoints of the pool are healthy.
    assignment.mutable_policy()->mutable_overprovisioning_factor()->set_value(100);
    return encode_resource(assignment.cluster_name(), version, assignment, pool);
}

ResourcePtr XdsEncoder::listener(const QueryClassRoute& query_class, const std::string& version) const {
    http::HttpConnectionManager manager;
    manager.set_stat_prefix(query_class.name);
    set_ads(manager.mutable_rds()->mutable_config_source());
    manager.mutable_rds()->set_route_config_name(query_class.name);
    auto* filter = manager.add_http_filters();
    filter->set_name("router");
    filter->mutable_typed_config()->PackFrom(envoy::extensions::filters::http::router::v3::Router());
    envoy::config::listener::v3::Listener listener;
    listener.set_name(query_class.name);
    listener.mutable_api_listener()->mutable_api_listener()->PackFrom(manager);
    return encode_resource(listener.name(), version, listener);
}

// Routes a shard request to the pool of its shard's place, which the proxy's client names in a header, and a
// request without the header to the first pool. A request that may run only once has no retry policy and is
// never retried.
ResourcePtr XdsEncoder::route(const QueryClassRoute& query_class, std::size_t pools,
                              const std::string& version) const {
    envoy::config::route::v3::RouteConfiguration config;
    config.set_name(query_class.name);
    auto* host = config.add_virtual_hosts();
    host->set_name(query_class.name);
    host->add_domains("*");
    for (std::size_t pool = 0; pool <= pools; ++pool) {
        auto* route = host->add_routes();
        const bool last = pool == pools;
        route->set_name(last ? "else" : pool_name(static_cast<std::uint32_t>(pool)));
        route->mutable_match()->set_prefix("");
        if (!last) {
            auto* header = route->mutable_match()->add_headers();
            header->set_name("tealcart-place");
            header->set_exact_match(std::to_string(pool));
        }
        auto* action = route->mutable_route();
        action->set_cluster(pool_name(static_cast<std::uint32_t>(last ? 0 : pool)));
        set_span(action->mutable_timeout(), query_class.timeout);
        set_span(action->mutable_max_stream_duration()->mutable_max_stream_duration(), query_class.timeout);
        if (query_class.max_attempts <= 1) continue;
        auto* retry = action->mutable_retry_policy();
        retry->set_retry_on(query_class.retry_window > 0
                                ? "connect-failure,refused-stream,unavailable"
                                : "connect-failure,refused-stream,unavailable,reset,5xx");
        retry->mutable_num_retries()->set_value(static_cast<std::uint32_t>(query_class.max_attempts - 1));
        // An attempt starts when the previous one has ended, so all but the last must end within the window.
        if (query_class.retry_window > 0)
            set_span(retry->mutable_per_try_timeout(),
                     std::min(query_class.timeout, query_class.retry_window) / query_class.max_attempts);
    }
    return encode_resource(config.name(), version, config);
}

std::string response_head(const ProxyResponse& response, bool delta) {
    const std::string url(type_url(response.type));
    if (delta) {
        envoy::service::discovery::v3::DeltaDiscoveryResponse head;
        head.set_system_version_info(response.version);
        head.set_type_url(url);
        head.set_nonce(response.nonce);
        for (const std::string& name : response.removed) head.add_removed_resources(name);
        return head.SerializeAsString();
    }
    envoy::service::discovery::v3::DiscoveryResponse head;
    head.set_version_info(response.version);
    head.set_type_url(url);
    head.set_nonce(response.nonce);
    return head.SerializeAsString();
}

}  // namespace tealcart
