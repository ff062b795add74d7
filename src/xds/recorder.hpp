// A stand-in for a proxy: a client of aggregated discovery that subscribes as proxies do, acknowledges or
// rejects as it is told to, and records what came when. For tests and measurements.
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

class Recorder {
  public:
    using Clock = std::chrono::steady_clock;

    struct Options {
        std::string node;
        bool delta = false;
        bool acknowledges = true;
        // Whether a response with these resources of this type is rejected.
        std::function<bool(XdsType, const std::vector<std::string>&)> rejects = {};
        std::string known_version = {};  // that it accepted last, from any control service
    };
    struct Endpoint {
        bool draining = false;
        std::uint32_t weight = 0;

        friend bool operator==(const Endpoint&, const Endpoint&) = default;
    };
    // By node, in their order. Recorders of one process read the same bytes once and share what they read, so
    // that a measurement with a thousand of them is of the service and not of them.
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
    struct State {
        std::map<std::string, std::uint32_t> limits;             // by cluster
        std::map<std::string, Endpoints> endpoints;              // by cluster, then by node
        std::map<std::string, std::vector<std::string>> routes;  // clusters that each refers to
        std::map<std::string, std::uint32_t> max_retries;        // most, by route
        std::vector<std::string> listeners;
        std::string version;  // of the last response
        std::uint64_t responses = 0, unknown_references = 0, version_regressions = 0, bytes = 0;
        Clock::time_point updated_at;
        bool ended = false;
        int status = 0;
        std::string status_message;
    };

    Recorder(std::shared_ptr<grpc::Channel> channel, Options options);
    ~Recorder();

    State state() const;
    // Waits until it holds what is asked for; false after the time.
    bool wait_until(const std::function<bool(const State&)>& holds,
                    std::chrono::milliseconds most = std::chrono::seconds(10));
    // When an endpoint was first told to drain, or gone, in every cluster that had it.
    Clock::time_point first_seen_draining(const std::string& node) const;
    void cancel();  // ends the stream as a lost connection does

    class Stream;

  private:
    std::shared_ptr<Stream> stream_;
};

}  // namespace tealcart
