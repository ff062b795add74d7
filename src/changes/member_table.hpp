// The members that follow the fleet's configuration through relays: which relays have them, until when they
// may hold a lease, and what they act on or refuse.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "changes/applied_index.hpp"
#include "changes/effects.hpp"
#include "changes/limits.hpp"
#include "changes/relay_table.hpp"
#include "changes/reports.hpp"

namespace tealcart::changes {

// A relay that has a member: it reported it as joined, and neither as left nor as lost since.
struct RelayAttachment {
    std::string relay;
    bool exception = false;  // the relay lists the member as one
};

// A router that follows the configuration, as its relays last reported it.
struct Member {
    std::uint64_t incarnation = 0;
    std::uint64_t reported_version =
        0;  // the greatest version stated of it by name, or of all while it was among them
    std::uint64_t refused_version = 0, refusal_emitted = 0;  // versions; 0: none
    std::string refusal_reason;                              // of the refusal
    Nanos lease_grace = 0;
    std::vector<RelayAttachment> attachments;
    // The end of the leases of relays that have it no longer, and did not report it as lost.
    Nanos lease_until = distant_past;
    Nanos ended_at = distant_past;  // when it was lost or left
    bool left = false;
};

// How far a version has come.
struct RolloutProgress {
    std::size_t live = 0;             // members whose lease holds
    std::size_t applied = 0;          // of these, that act on it or on a later one
    std::vector<std::string> behind;  // live ones that don't; of each list at most so many as were asked for
    std::vector<std::string> refusing;
    std::vector<std::string> unacknowledged;  // lease over, may act by an older version
};

class MemberTable {
  public:
    explicit MemberTable(const Limits& limits) : limits_(limits) {}

    std::size_t size() const { return members_.size(); }
    std::size_t live() const { return live_; }
    bool contains(const std::string& name) const { return members_.contains(name); }
    // With what has to be stored of each.
    std::map<std::string, Member> stored() const;
    std::uint64_t lowest_of(const std::string& relay) const { return index_.lowest_of(relay); }

    // Reports of a relay. `latest` is the latest agreed version: a later one counts as none, so that it shows
    // as behind.
    void set_lowest(const std::string& relay, std::uint64_t lowest, std::uint64_t latest);
    std::optional<StaleReason> join(const std::string& relay, const MemberReport& report,
                                    std::uint64_t latest);
    // By its own farewell, whichever relay heard it: the last report of an incarnation.
    void leave(const std::string& name, std::uint64_t incarnation);
    // The relay knows by its own clock that what it granted is over, and the drift after it.
    void lose(const std::string& relay, const std::string& name, std::uint64_t incarnation);
    // All that the relay names as exceptions now. Gives refusals that are new.
    std::vector<MemberRefused> set_exceptions(const std::string& relay,
                                              const std::vector<MemberReport>& reports, std::uint64_t latest);
    // The relay grants its members nothing more; they hold what it granted until its lease is over.
    void release_all(const std::string& relay, Nanos lease_until);
    void drop_relay(const std::string& relay);  // that has no members

    void set_now(Nanos now) { now_ = now; }
    void set_limits(const Limits& limits);
    // Of members that no relay has.
    void extend_leases(Nanos interruption);
    void expire_leases();
    void drop_forgotten();
    // Gives why the member can't be forgotten.
    std::optional<std::string> forget(const std::string& name);

    // What all live members act on at least; nothing: there is none.
    std::optional<std::uint64_t> lowest_applied() const { return index_.lowest(); }
    std::size_t refusing(std::uint64_t version) const;  // live members
    // Members whose lease is over, and which may act by an earlier version; in the order of their names.
    std::vector<std::string> may_lag(std::uint64_t version) const;
    RolloutProgress progress(std::uint64_t version, std::size_t max_names) const;

    // From a snapshot: members, and the lowest version of each relay.
    void restore(const std::map<std::string, Member>& members,
                 const std::map<std::string, std::uint64_t>& lowest);

    // Members and entries that were looked at since the last reset.
    std::uint64_t visited_count() const { return visited_count_; }
    void reset_visited_count() { visited_count_ = 0; }

  private:
    // Where a member is counted.
    enum class CountedAs : std::uint8_t {
        nothing,
        by_relay,    // that alone has it
        individual,  // several relays have it, or none, but it may hold a lease
        inactive     // its lease is certainly over, or it left
    };
    struct Entry {
        Member member;
        CountedAs counted_as = CountedAs::nothing;
        std::uint64_t counted_applied = 0;  // its key while it is single
        Nanos forget_at = distant_past;     // its key while it is gone
    };
    using Ends = std::set<std::pair<Nanos, std::string>>;

    // A member is taken out of the counts before it is changed, and put back after.
    void remove_from_counts(const std::string& name, Entry& entry);
    void add_to_counts(const std::string& name, Entry& entry);
    void add_inactive(const std::string& name, Entry& entry);
    void add_individual(const std::string& name, Entry& entry);
    template <typename Change>
    void change(const std::string& name, Entry& entry, Change change);
    void release(Member& member, const std::string& relay);
    std::optional<MemberRefused> set_exception(Member& member, RelayAttachment& attachment,
                                               const MemberReport& report, std::uint64_t latest);
    void clear_exceptions(const std::string& relay, const std::set<std::string>& names);
    void recount();

    bool lease_expired(Nanos until) const;
    bool may_act(const Entry& entry) const;
    std::uint64_t applied_version(const Member& member) const;

    Limits limits_;
    Nanos now_ = 0;
    std::map<std::string, Entry> members_;
    AppliedIndex index_;
    std::map<std::string, std::set<std::string>>
        shared_members_;                                       // by relay: its members that others have too
    std::map<std::string, std::set<std::string>> exceptions_;  // by relay: of its last report
    Ends lease_ends_;                                          // of members that no relay has
    Ends inactive_;                                            // by Entry::forget_at
    std::map<std::uint64_t, std::size_t> refusing_;            // live members by the version that they refuse
    std::size_t live_ = 0;
    mutable std::uint64_t visited_count_ = 0;
};

}  // namespace tealcart::changes
