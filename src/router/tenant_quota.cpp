#include "router/tenant_quota.hpp"

#include <algorithm>

namespace tealcart::router {
namespace {

constexpr double uneven_share_factor = 1.5;  // multiple of a router's even share of the quota
constexpr double min_burst = 4;              // queries
constexpr double burst_seconds = 2;          // bucket size as a multiple of its rate

}  // namespace

TenantQuota::TenantQuota(const RouterConfig& config) {
    const int routers = std::max(1, config.routers);
    for (const double quota : config.tenant_quotas)
        buckets_.push_back({uneven_share_factor * quota / routers, min_burst, 0});
}

bool TenantQuota::admit(std::uint32_t tenant, Nanos now) {
    if (tenant >= buckets_.size()) return true;
    Bucket& bucket = buckets_[tenant];
    const double size = std::max(min_burst, burst_seconds * bucket.rate);
    bucket.tokens = std::min(size, bucket.tokens + bucket.rate * (now - bucket.filled_at) / second);
    bucket.filled_at = now;
    if (bucket.tokens < 1) return false;
    bucket.tokens -= 1;
    return true;
}

}  // namespace tealcart::router
