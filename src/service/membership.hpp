// A query router's membership in a fleet: it keeps the lease, lays the agreed drains over discovery's
// endpoints for its host, the query dispatcher, and reports what the router acts on. Made only where the
// operators' file has a `member` block.
#pragma once

#include "members/endpoint_overlay.hpp"
#include "members/member_host.hpp"
#include "members/member_lease.hpp"
#include "members/outcome_stats.hpp"
#include "service/startup_config.hpp"
#include "wire/manager_watch.hpp"

namespace tealcart {

class Membership final : public EndpointListObserver, private ManagerObserver, private OutcomeObserver {
  public:
    Membership(boost::asio::io_context& io, EventClock& time, const StartupConfig& startup, MemberHost& host);

    void start() { managers_.start(); }
    void stop() { managers_.stop(); }
    void on_endpoint_list(const EndpointList& list) override;
    // The list that the router starts with, which the host has already: agreed drains hold for its nodes too.
    void apply_cached_list(const EndpointList& list) { endpoints_.apply_discovered(list); }

    // To be called before each round: applies what the clock alone has changed.
    void update_serving_state();
    // And after it: the host has acted on what it was told.
    void after_round();
    Nanos next_change() const { return lease_.next_change(time_.now()); }
    const MemberLease& lease() const { return lease_; }
    std::uint64_t applied_generation() const { return applied_generation_; }
    const TrafficCounters& traffic() const { return managers_.traffic(); }
    // Tells the managers that the router leaves; true once they have answered, or after a time-out. To be
    // called until then.
    bool leave();

  private:
    MemberCall member_call() override;
    void on_grant(Nanos sent, const MemberAnswer& answer) override;
    void on_superseded(std::uint64_t last_incarnation) override;
    void on_query_end(int status) override;
    void on_attempt_end(std::uint32_t node, Outcome outcome) override;

    void update_host(const EndpointList& list);
    void apply_generation(const MemberAnswer& answer);
    // Drained targets with work in flight: this router, and data nodes.
    std::vector<TargetName> targets_in_flight() const;
    std::vector<std::string> unresponsive_nodes() const;

    EventClock& time_;
    const MemberConfig config_;
    const std::string name_, digest_;
    MemberHost& host_;
    MemberLease lease_;
    EndpointOverlay endpoints_;
    OutcomeStats outcomes_;
    ManagerWatch managers_;
    // The latest agreed generation that is known, and the one that the router acts on.
    std::uint64_t known_generation_ = 0, applied_generation_ = 0;
    bool drained_ = false;  // this router, by agreement
    bool fenced_ = false;
    bool leaving_ = false, left_ = false;
    ServingState serving_state_ = ServingState::unregistered;
    Nanos leave_began_ = 0;  // 0: not yet
};

}  // namespace tealcart
