// The members of the fleet, their leases, and the generations that they have acknowledged.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "fleet/commands.hpp"
#include "fleet/effects.hpp"
#include "fleet/member.hpp"
#include "fleet/removal.hpp"
#include "fleet/tally.hpp"
#include "fleet/unresponsive_votes.hpp"

namespace tealcart::fleet {

// Derived from the members, from what is out and from the time. The counts are maintained incrementally so
// that no command has to scan all members.
struct MemberCounts {
    using End = std::pair<Nanos, std::string>;  // a time, and the member's name

    GroupCount routers;
    GroupCounts router_zones;
    std::size_t live_routers = 0;  // routers whose lease has not expired
    // Routers that have not left, and those of them whose lease has expired.
    std::size_t known_routers = 0, lost_routers = 0;
    std::uint64_t queries = 0, failed = 0;      // as reported by live routers that have not left
    std::set<End> live_leases, expired_leases;  // by Member::lease_until
    std::set<End> acting_ends;                  // members that may act, by the time until which they may
    // Members whose lease has expired and which may still act, by their applied generation.
    std::set<std::pair<std::uint64_t, std::string>> lost_acting;
    // Of the members that removals wait for, how many have applied each generation, and how many have
    // requests in flight at each target.
    std::map<std::uint64_t, std::size_t> applied;
    std::map<Target, std::size_t> in_flight;

    friend bool operator==(const MemberCounts&, const MemberCounts&) = default;
};

// Holds the members, renews and expires their leases, and keeps MemberCounts up to date.
class MemberTable {
  public:
    explicit MemberTable(const Budgets& budgets) { apply_budgets(budgets); }

    const std::map<std::string, Member>& all() const { return members_; }
    const Member* find(const std::string& name) const;
    const MemberCounts& counts() const { return counts_; }
    const VoteCounts& vote_counts() const { return votes_.counts(); }

    // Whether the member's lease has expired by any clock that deviates by less than the drift.
    bool lease_expired(const Member& member) const { return now_ > member.lease_until + drift_; }
    // Whether a router is out, for whatever reason. An unknown router counts as out.
    bool is_out(const std::string& name) const;

    // Each returns why the command was not or only partly applied, or nullopt.
    std::optional<StaleReason> join(const Join& command);
    std::optional<StaleReason> renew(const Renew& command, std::uint64_t latest_generation);
    std::optional<StaleReason> leave(const Leave& command);
    // Removes a member. Returns why that is not possible, or nullopt.
    std::optional<std::string> forget(const std::string& name);

    void set_now(Nanos now) { now_ = now; }
    // Extends all leases by the length of an interruption, except those of members that were lost or had
    // left.
    void extend_leases(Nanos interruption);
    // Marks a router as removed by agreement, or as returned.
    void set_removed(const std::string& router, bool removed);
    void set_budgets(const Budgets& budgets);

    // The members whose lease has expired since the last call, sorted by name. Also drops members that have
    // been expired for Budgets::forget_after, except those that are out by agreement.
    std::vector<std::string> expire_leases();
    // Evaluates the nodes whose votes have changed, see UnresponsiveVotes::evaluate().
    std::vector<UnresponsiveVotes::VoteResult> evaluate_nodes();
    void reconsider_node(const std::string& name) { votes_.reconsider(name); }

    // The members that a granted removal still waits for, and whether there are any.
    std::vector<std::string> pending(const Request& request) const;
    bool any_pending(const Request& request) const;
    // The lowest generation that a member has applied, of the members that removals wait for; the greatest
    // number if there is no such member.
    std::uint64_t lowest_applied() const;
    // The targets that may no longer have requests in flight, or no longer wait for their own member, since
    // the last call.
    std::set<Target> take_released_targets();
    // The members whose lease has expired and which may still act on an older generation.
    std::set<std::string> may_lag(std::uint64_t generation) const;

    // Restores the state of a snapshot.
    void restore(std::map<std::string, Member> members, std::set<std::string> removed, Nanos now);
    // Rebuilds the counts from all members and votes.
    void recount();

    // The number of members and report entries visited since the last reset.
    std::size_t visited_count() const { return visited_count_; }
    void reset_visited_count() { visited_count_ = 0; }

  private:
    void apply_budgets(const Budgets& budgets);
    bool may_act(const Member& member) const;
    Nanos acts_until(const Member& member) const;
    bool is_pending(const std::string& name, const Member& member, const Request& request) const;
    // Subtracts a member from the counts before a change, or adds it after the change.
    void count(const std::string& name, const Member& member, CountChange direction);
    void count_router(const Member& member, bool expired, bool removed, CountChange direction);
    void count_acknowledged(const Member& member, CountChange direction);
    void recount(const std::string& name);
    void drop_forgotten();

    Nanos lease_ = 0, drift_ = 0, forget_after_ = 0;
    bool wait_for_lost_ = false;
    double unresponsive_share_ = 0;
    Nanos now_ = 0;
    std::map<std::string, Member> members_;
    std::set<std::string> removed_;
    MemberCounts counts_;
    UnresponsiveVotes votes_;
    std::set<std::string> newly_expired_;
    std::set<Target> released_targets_;
    // Routers that are out, have lost their lease and may still act. Their own removal does not wait for
    // them, but all other removals do.
    std::set<std::string> self_exempt_;
    mutable std::size_t visited_count_ = 0;
};

}  // namespace tealcart::fleet
