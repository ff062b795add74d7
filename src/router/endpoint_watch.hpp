// Decides when to request the endpoint list. A router that polls requests a watch once, and again if no list
// arrives, the list could not be had, or it came from a cache without a watch behind it.
#pragma once

#include <algorithm>

#include "router/round_events.hpp"
#include "router/router_config.hpp"

namespace tealcart::router {

// Tracks when the next request for the endpoint list is due.
class EndpointWatch {
  public:
    explicit EndpointWatch(const RouterConfig& config)
        : max_poll_interval_(config.max_poll_interval),
          request_at_(config.discovery == Discovery::poll ? 0 : never) {}

    // A list arrived, or the request for it failed. Only a list from an open watch ends the requests.
    void record_list(ListKind kind, Nanos now) {
        if (kind == ListKind::failed) {
            request_at_ = now + retry_interval;
        } else if (kind != ListKind::cached) {
            request_at_ = never;
        }
    }

    // Returns true if the list is to be requested now, and schedules the next request.
    bool take_due_request(Nanos now) {
        if (now < request_at_) return false;
        request_at_ = now + std::max(second, max_poll_interval_ / 4);  // unless a list arrives first
        return true;
    }

    bool is_waiting() const { return request_at_ != never; }

  private:
    static constexpr Nanos retry_interval = second;  // after a failed request

    Nanos max_poll_interval_;
    Nanos request_at_;
};

}  // namespace tealcart::router
