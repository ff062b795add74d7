// Tenant quotas: which queries are over their tenant's part of this router's traffic.
#pragma once

#include <cstdint>
#include <vector>

#include "router/router_config.hpp"

namespace tealcart::router {

// A token bucket for each tenant that has a quota. A router's slice of a tenant's traffic is thin and uneven,
// so a bucket fills faster than the even share of the quota and holds at least a few queries.
class TenantQuota {
  public:
    explicit TenantQuota(const RouterConfig& config);

    // Counts a query that arrived at `now`; false where its tenant is over its quota. A tenant without a
    // quota never is.
    bool admit(std::uint32_t tenant, Nanos now);

  private:
    struct Bucket {
        double rate = 0;    // tokens a second
        double tokens = 0;  // a query takes one
        Nanos filled_at = 0;
    };
    std::vector<Bucket> buckets_;  // by tenant
};

}  // namespace tealcart::router
