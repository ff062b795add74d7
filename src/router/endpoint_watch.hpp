// When the endpoint list is asked for: once, where it is polled, and again where no answer or none that
// lasts has come.
#pragma once

#include <algorithm>

#include "router/round_events.hpp"
#include "router/router_config.hpp"

namespace tealcart::router {

class EndpointWatch {
  public:
    explicit EndpointWatch(const RouterConfig& config)
        : max_poll_interval_(config.max_poll_interval),
          request_at_(config.discovery == Discovery::poll ? 0 : never) {}

    // A list came, or could not be had: only a list of a standing watch ends the asking.
    void record_list(ListKind kind, Nanos now) {
        if (kind == ListKind::failed) {
            request_at_ = now + retry_interval;
        } else if (kind != ListKind::cached) {
            request_at_ = never;
        }
    }

    // True where the list is to be asked for now.
    bool take_due_request(Nanos now) {
        if (now < request_at_) return false;
        request_at_ = now + std::max(second, max_poll_interval_ / 4);  // unless an answer comes first
        return true;
    }

    bool is_waiting() const { return request_at_ != never; }

  private:
    static constexpr Nanos retry_interval = second;  // after a list that could not be had

    Nanos max_poll_interval_;
    Nanos request_at_;
};

}  // namespace tealcart::router
