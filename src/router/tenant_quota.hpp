// Tenant quotas: decides which queries exceed their tenant's quota at this router.
#pragma once

#include <cstdint>
#include <vector>

#include "router/router_config.hpp"

namespace tealcart::router {

// A token bucket for each tenant that has a quota. The part of a tenant's traffic that reaches one router is
// small and uneven, so a bucket fills faster than an even share of the quota and holds at least a few
// queries.
class TenantQuota {
  public:
    explicit TenantQuota(const RouterConfig& config);

    // Counts a query that arrives at `now`. Returns false if its tenant is over its quota, which is never the
    // case for a tenant without one.
    bool admit(std::uint32_t tenant, Nanos now);

  private:
    struct Bucket {
        double rate = 0;    // tokens per second
        double tokens = 0;  // each query takes one
        Nanos filled_at = 0;
    };
    std::vector<Bucket> buckets_;  // by tenant
};

}  // namespace tealcart::router
