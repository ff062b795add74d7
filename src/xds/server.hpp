// The aggregated discovery service over gRPC: receives proxies' requests and sends the controller's
// responses. One lock guards the controller; each stream has at most one response being written.
#pragma once

#include <memory>
#include <mutex>
#include <string>

#include "control/controller.hpp"

namespace tealcart {

// Serves proxies from `start` until `stop`. Its methods may be called from any thread.
class XdsServer {
  public:
    XdsServer(const RouterConfig& config, const std::vector<std::string>& query_classes,
              const ControlConfig& control, Nanos connect_timeout, std::uint64_t seed, std::uint64_t epoch);
    ~XdsServer();

    // Starts listening and returns the port. Throws std::runtime_error if the address can't be bound.
    int start(const std::string& address);
    void apply_list(const EndpointList& list);
    void tick();
    // Ends all streams and accepts no further ones.
    void stop();

    struct Stats {
        std::size_t streams = 0;
        std::uint64_t encoded = 0, responses = 0, bytes = 0;
        Nanos list_age = 0;
    };
    Stats stats() const;
    // Calls the function with the controller, under its lock.
    template <typename Inspect>
    auto inspect(Inspect&& inspector) const {
        const std::lock_guard lock(mutex_);
        return inspector(controller());
    }

  private:
    class Impl;
    void wake();
    const Controller& controller() const;

    mutable std::mutex mutex_;
    std::unique_ptr<Impl> impl_;
};

}  // namespace tealcart
