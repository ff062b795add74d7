// A query router's shard request in the fleet: discovery's list and what was agreed go to its host, the
// bridge, as one, the lease is kept, and what the router does is told. Made only where the operators' file
// has a `member` block.
#pragma once

#include "members/endpoint_overlay.hpp"
#include "members/member_host.hpp"
#include "members/member_lease.hpp"
#include "members/outcome_stats.hpp"
#include "service/startup_config.hpp"
#include "wire/manager_watch.hpp"

namespace tealcart {

class Membership final : public ListTaker, private ManagerObserver, private OutcomeObserver {
  public:
    Membership(boost::asio::io_context& io, EventClock& time, const StartupConfig& launch, MemberHost& host);

    void start() { watch_.start(); }
    void stop() { watch_.stop(); }
    void on_list(const EndpointList& list) override;
    // The list that the router starts with, which the host has already: agreement holds for its nodes too.
    void know(const EndpointList& list) { list_.discovered(list); }

    // To be called before each round: what the clock alone has changed goes before what the round decides.
    void look();
    // And after it: what the bridge was told is acted on.
    void after_round();
    Nanos next_change() const { return lease_.next_change(time_.now()); }
    const MemberLease& lease() const { return lease_; }
    std::uint64_t applied_generation() const { return acts_on_; }
    const WireCount& wire() const { return watch_.wire(); }
    // Says farewell; true once it was heard, or has been waited for long enough.
    bool farewell();

  private:
    MemberCall word() override;
    void on_grant(Nanos sent, const MemberAnswer& answer) override;
    void on_superseded(std::uint64_t last_incarnation) override;
    void on_query_end(int status) override;
    void on_attempt_end(std::uint32_t node, Outcome outcome) override;
    void hand_on(const EndpointList& list);
    bool anything_in_hand() const;

    EventClock& time_;
    const MemberConfig config_;
    const std::string name_, digest_;
    MemberHost& host_;
    MemberLease lease_;
    EndpointOverlay list_;
    OutcomeStats outcomes_;
    ManagerWatch watch_;
    std::uint64_t told_ = 0, acts_on_ = 0;  // generations
    bool out_ = false, cut_ = false, leaves_ = false, left_ = false;
    ServingState serving_state_ = ServingState::unheard;
    Nanos farewell_began_ = 0;
};

}  // namespace tealcart
