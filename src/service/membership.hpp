// A query router's membership in a fleet. It renews the router's lease, applies the agreed drains to
// discovery's endpoint lists for its host (the query dispatcher), and reports the router's state to the fleet
// managers.
#pragma once

#include "members/endpoint_overlay.hpp"
#include "members/member_host.hpp"
#include "members/member_lease.hpp"
#include "members/outcome_stats.hpp"
#include "service/startup_config.hpp"
#include "wire/manager_watch.hpp"

namespace tealcart {

// Created only if the operators' file has a `member` block.
class Membership final : public EndpointListObserver, private ManagerObserver, private OutcomeObserver {
  public:
    Membership(boost::asio::io_context& io, EventClock& time, const StartupConfig& startup, MemberHost& host);

    void start() { managers_.start(); }
    void stop() { managers_.stop(); }
    void on_endpoint_list(const EndpointList& list) override;
    // Applies the list that the router starts with, so that agreed drains hold for its nodes too. The host
    // already has this list.
    void apply_cached_list(const EndpointList& list) { endpoints_.apply_discovered(list); }

    // Must be called before each round. Updates the serving state that depends on the time.
    void update_serving_state();
    // Must be called after each round, in which the host has applied the lists that it was given.
    void after_round();
    Nanos next_change() const { return lease_.next_change(time_.now()); }
    const MemberLease& lease() const { return lease_; }
    std::uint64_t applied_generation() const { return applied_generation_; }
    const TrafficCounters& traffic() const { return managers_.traffic(); }
    // Tells the fleet managers that the router leaves. Must be called until it returns true, which it does
    // after their answer or a timeout.
    bool leave();

  private:
    MemberCall member_call() override;
    void on_grant(Nanos sent, const MemberAnswer& answer) override;
    void on_superseded(std::uint64_t last_incarnation) override;
    void on_query_end(int status) override;
    void on_attempt_end(std::uint32_t node, Outcome outcome) override;

    void update_host(const EndpointList& list);
    void apply_generation(const MemberAnswer& answer);
    // Returns the drained targets, this router or data nodes, that still have queries or attempts in flight.
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
    // The latest agreed generation that is known, and the one that the router has applied.
    std::uint64_t known_generation_ = 0, applied_generation_ = 0;
    bool drained_ = false;  // this router is drained by agreement
    bool fenced_ = false;
    bool leaving_ = false, left_ = false;
    ServingState serving_state_ = ServingState::unregistered;
    Nanos leave_began_ = 0;  // 0 if the router is not leaving
};

}  // namespace tealcart
