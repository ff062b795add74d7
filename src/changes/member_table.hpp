// The members that follow the fleet's configuration through relays: the relays that they are attached to,
// until when they may hold a lease, and the versions that they act on or refuse.
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

// The attachment of a member to a relay. It exists from the relay's report that the member joined until its
// report that the member left or was lost.
struct RelayAttachment {
    std::string relay;
    bool exception = false;  // the relay lists the member as an exception
};

// A router that follows the configuration, as last reported by its relays.
struct Member {
    std::uint64_t incarnation = 0;
    // The greatest version reported for it by name, or for all members of a relay while it was attached to
    // that relay.
    std::uint64_t reported_version = 0;
    std::uint64_t refused_version = 0, refusal_emitted = 0;  // 0: none
    std::string refusal_reason;
    Nanos lease_grace = 0;
    std::vector<RelayAttachment> attachments;
    // The latest end of the leases of relays that it was attached to and that did not report it as lost.
    Nanos lease_until = distant_past;
    Nanos ended_at = distant_past;  // when it was lost or left
    bool left = false;
};

// The rollout progress of a version. Each list holds at most as many names as the caller asked for.
struct RolloutProgress {
    std::size_t live = 0;             // members whose lease is valid
    std::size_t applied = 0;          // live members that act on this version or a later one
    std::vector<std::string> behind;  // live members that act on an earlier version
    std::vector<std::string> refusing;
    std::vector<std::string> unacknowledged;  // expired members that may still act on an earlier version
};

// Holds the members and keeps the counts that ChangeState evaluates.
class MemberTable {
  public:
    explicit MemberTable(const Limits& limits) : limits_(limits) {}

    std::size_t size() const { return members_.size(); }
    std::size_t live() const { return live_; }
    bool contains(const std::string& name) const { return members_.contains(name); }
    // The members with everything that a snapshot has to store.
    std::map<std::string, Member> stored() const;
    std::uint64_t lowest_of(const std::string& relay) const { return index_.lowest_of(relay); }

    // The parts of a relay's report. `latest` is the latest published version. A later reported version
    // counts as none, so that the member shows as behind.
    void set_lowest(const std::string& relay, std::uint64_t lowest, std::uint64_t latest);
    std::optional<StaleReason> join(const std::string& relay, const MemberReport& report,
                                    std::uint64_t latest);
    // The member announced that it stops, to whichever relay. This is the last report of its incarnation.
    void leave(const std::string& name, std::uint64_t incarnation);
    // The relay reports that, by its own clock, the lease that it granted and the drift after it are over.
    void lose(const std::string& relay, const std::string& name, std::uint64_t incarnation);
    // Replaces the relay's exceptions. Returns the refusals that are new.
    std::vector<MemberRefused> set_exceptions(const std::string& relay,
                                              const std::vector<MemberReport>& reports, std::uint64_t latest);
    // Detaches all members of a relay that grants no more leases. They may hold their last lease until the
    // relay's lease has ended.
    void release_all(const std::string& relay, Nanos lease_until);
    // Removes a relay that has no members.
    void drop_relay(const std::string& relay);

    void set_now(Nanos now) { now_ = now; }
    void set_limits(const Limits& limits);
    // Extends the leases of members that are attached to no relay.
    void extend_leases(Nanos interruption);
    void expire_leases();
    void drop_forgotten();
    // Removes a member. Returns why that is not possible, or nullopt.
    std::optional<std::string> forget(const std::string& name);

    // The version that all live members act on at least; nullopt if there is no live member.
    std::optional<std::uint64_t> lowest_applied() const { return index_.lowest(); }
    // The number of live members that refuse this version.
    std::size_t refusing(std::uint64_t version) const;
    // The members whose lease has expired and which may still act on an earlier version, sorted by name.
    std::vector<std::string> may_lag(std::uint64_t version) const;
    RolloutProgress progress(std::uint64_t version, std::size_t max_names) const;

    // Restores a snapshot: the members, and the lowest version of each relay.
    void restore(const std::map<std::string, Member>& members,
                 const std::map<std::string, std::uint64_t>& lowest);

    // The number of members and entries visited since the last reset.
    std::uint64_t visited_count() const { return visited_count_; }
    void reset_visited_count() { visited_count_ = 0; }

  private:
    // How a member is counted.
    enum class CountedAs : std::uint8_t {
        nothing,
        by_relay,    // attached to exactly one relay; indexed under that relay
        individual,  // attached to several relays, or to none while it may hold a lease
        inactive     // its lease has expired, or it left
    };
    struct Entry {
        Member member;
        CountedAs counted_as = CountedAs::nothing;
        std::uint64_t counted_applied = 0;  // its key while it is individual
        Nanos forget_at = distant_past;     // its key while it is inactive
    };
    using Ends = std::set<std::pair<Nanos, std::string>>;

    // A member is removed from the counts before it is changed, and added again after the change.
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
    // By relay: its members that have other relays too.
    std::map<std::string, std::set<std::string>> shared_members_;
    std::map<std::string, std::set<std::string>> exceptions_;  // by relay: the exceptions of its last report
    Ends lease_ends_;                                          // of members that are attached to no relay
    Ends inactive_;                                            // inactive members by Entry::forget_at
    std::map<std::uint64_t, std::size_t> refusing_;  // number of live members by the version that they refuse
    std::size_t live_ = 0;
    mutable std::uint64_t visited_count_ = 0;
};

}  // namespace tealcart::changes
