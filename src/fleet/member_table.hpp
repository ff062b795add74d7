// The fleet's members, their leases, and what they have acknowledged.
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

// Follows from the members, from who is out and from the time; kept so that no command looks through all
// members.
struct MemberCounts {
    using End = std::pair<Nanos, std::string>;  // a time, and the member's name

    GroupCount routers;
    GroupCounts router_zones;
    std::size_t live_routers = 0;                     // whose lease is not over
    std::size_t known_routers = 0, lost_routers = 0;  // of those that have not left
    std::uint64_t queries = 0, failed = 0;            // reported by routers that live and have not left
    std::set<End> live_leases, expired_leases;        // by Member::lease_until
    std::set<End> acting_ends;                        // of members that may act, until when
    std::set<std::pair<std::uint64_t, std::string>>
        lost_acting;  // lease over, may act; by applied generation
    // Of members that removals wait for: how many have applied a generation, or have work in flight at a
    // target.
    std::map<std::uint64_t, std::size_t> applied;
    std::map<Target, std::size_t> in_flight;

    friend bool operator==(const MemberCounts&, const MemberCounts&) = default;
};

class MemberTable {
  public:
    explicit MemberTable(const Budgets& budgets) { apply_budgets(budgets); }

    const std::map<std::string, Member>& all() const { return members_; }
    const Member* find(const std::string& name) const;
    const MemberCounts& counts() const { return counts_; }
    const VoteCounts& vote_counts() const { return votes_.counts(); }

    // Its lease has certainly ended, for all clocks that run apart by less than the drift.
    bool lease_expired(const Member& member) const { return now_ > member.lease_until + drift_; }
    // Whether a router is out, for whatever reason. One that is not known counts as out.
    bool is_out(const std::string& name) const;

    // Each gives why the command was not applied as a whole.
    std::optional<StaleReason> join(const Join& command);
    std::optional<StaleReason> renew(const Renew& command, std::uint64_t latest_generation);
    std::optional<StaleReason> leave(const Leave& command);
    // Gives why the member can't be forgotten.
    std::optional<std::string> forget(const std::string& name);

    void set_now(Nanos now) { now_ = now; }
    // What was not lost or left before an interruption gets that time back.
    void extend_leases(Nanos interruption);
    void set_removed(const std::string& router, bool removed);  // by agreement
    void set_budgets(const Budgets& budgets);

    // Members whose lease has ended since the last call, in the order of their names. Drops members that are
    // to be forgotten, but for those that are out by agreement.
    std::vector<std::string> expire_leases();
    std::vector<UnresponsiveVotes::VoteResult> evaluate_nodes();
    void reconsider_node(const std::string& name) { votes_.reconsider(name); }

    // Members that a granted removal still waits for: by name, and whether there are any.
    std::vector<std::string> pending(const Request& request) const;
    bool any_pending(const Request& request) const;
    // What all members that removals wait for have applied; the greatest number where there is no such
    // member.
    std::uint64_t lowest_applied() const;
    // Targets that may have become free of work or of their own member since the last call.
    std::set<Target> take_released_targets();
    // Members whose lease is over, and which may act by an older generation.
    std::set<std::string> may_lag(std::uint64_t generation) const;

    // From a snapshot.
    void restore(std::map<std::string, Member> members, std::set<std::string> removed, Nanos now);
    // All that is kept as counts anew; every vote and every member is looked at.
    void recount();

    // Members, with what they report, that were looked at since the last reset.
    std::size_t visited_count() const { return visited_count_; }
    void reset_visited_count() { visited_count_ = 0; }

  private:
    void apply_budgets(const Budgets& budgets);
    bool may_act(const Member& member) const;
    Nanos acts_until(const Member& member) const;
    bool is_pending(const std::string& name, const Member& member, const Request& request) const;
    // A member is taken out of the counts before it or what is known of it is changed, and put back after.
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
    // Routers that are out, lost and may act: their own removal does not wait for them, though all others do.
    std::set<std::string> self_exempt_;
    mutable std::size_t visited_count_ = 0;
};

}  // namespace tealcart::fleet
