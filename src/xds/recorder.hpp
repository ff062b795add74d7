// A test proxy: a client of aggregated discovery that subscribes as proxies do, acknowledges or rejects
// responses as configured, and records what it received and when. For tests and measurements.
#pragma once

#include <grpcpp/grpcpp.h>

#include <chrono>
#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "control/resources.hpp"

namespace tealcart {

// One connection of a test proxy. Its methods may be called from any thread.
class Recorder {
  public:
    using Clock = std::chrono::steady_clock;

    struct Options {
        std::string node;
        bool delta = false;
        bool acknowledges = true;
        // Returns whether a response with these resources of this type is rejected.
        std::function<bool(XdsType, const std::vector<std::string>&)> rejects = {};
        std::string known_version = {};  // the last version that it accepted from any control service
    };
    struct Endpoint {
        bool draining = false;
        std::uint32_t weight = 0;

        friend bool operator==(const Endpoint&, const Endpoint&) = default;
    };
    // The endpoints of a cluster, ordered by node. All recorders of a process parse the same bytes only once
    // and share the result, so that a measurement with a thousand of them measures the service and not the
    // recorders.
    class Endpoints {
      public:
        using Entry = std::pair<std::string, Endpoint>;

        Endpoints() = default;
        explicit Endpoints(std::vector<Entry> all);
        auto begin() const { return all_->begin(); }
        auto end() const { return all_->end(); }
        std::vector<Entry>::const_iterator find(const std::string& node) const;
        bool contains(const std::string& node) const { return find(node) != end(); }
        const Endpoint& at(const std::string& node) const;  // throws std::out_of_range
        std::size_t size() const { return all_->size(); }

      private:
        static const std::shared_ptr<const std::vector<Entry>> empty_list;
        std::shared_ptr<const std::vector<Entry>> all_ = empty_list;
    };
    // What the proxy holds, and counts of what it has received.
    struct State {
        std::map<std::string, std::uint32_t> limits;  // by cluster
        std::map<std::string, Endpoints> endpoints;   // by cluster, then by node
        // Clusters that each route configuration refers to.
        std::map<std::string, std::vector<std::string>> routes;
        std::map<std::string, std::uint32_t> max_retries;  // by route configuration
        std::vector<std::string> listeners;
        std::string version;  // of the latest response
        // Unknown references are endpoints and routes that refer to a cluster that the proxy was never sent;
        // version regressions are versions older than the one before.
        std::uint64_t responses = 0, unknown_references = 0, version_regressions = 0, bytes = 0;
        Clock::time_point updated_at;
        bool ended = false;
        int status = 0;
        std::string status_message;
    };

    Recorder(std::shared_ptr<grpc::Channel> channel, Options options);
    ~Recorder();

    State state() const;
    // Waits until the condition is true; returns false if it isn't within `timeout`.
    bool wait_until(const std::function<bool(const State&)>& condition,
                    std::chrono::milliseconds timeout = std::chrono::seconds(10));
    // Returns when the endpoint was first draining or removed in all clusters that had it, or
    // time_point::max().
    Clock::time_point first_seen_draining(const std::string& node) const;
    // Ends the stream like a lost connection.
    void cancel();

    class Stream;

  private:
    std::shared_ptr<Stream> stream_;
};

}  // namespace tealcart
