// A relay's side: what its members reported, aggregated into one report for all of them. No I/O; times are of
// the relay's own steady clock, in nanoseconds.
//
// A member's lease never outlives the relay's own: what is granted to it is what is left of the relay's,
// which counts from when the relay's answered report was *sent*. So the managers, who know the relay's lease
// to be over `drift` after its end, know that of all its members. Nothing is granted to a member before the
// managers applied a report that names it as joined: nobody would wait for one that they don't know. A member
// polls one relay at a time, and applies no answer of one that it has turned away from.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "changes/change_state.hpp"

namespace tealcart::changes {

class ReportAggregator {
  public:
    // `max_exceptions`: members that a report names since they are behind or refuse.
    ReportAggregator(std::string relay, std::string zone, std::uint64_t incarnation, std::size_t max_members,
                     std::size_t max_exceptions);

    // A member reported. False: an earlier incarnation than the one that is known, no room, or a malformed
    // name.
    bool record_report(Nanos now, const MemberReport& report);
    // By its own farewell.
    void record_leave(const std::string& name, std::uint64_t incarnation);
    // The lease that is granted to a member that is answered now: what is left of the relay's own; 0: none,
    // or the managers don't know of this member yet.
    Nanos grant_lease(Nanos now, const std::string& name);

    // The next report to the managers. Members are lost in it whose granted lease is over by now (and
    // `drift`), and which were not heard for a lease (and `drift`). The same report until `taken`, but for
    // what is new.
    RelayReport next_report(Nanos now, Nanos drift);
    // The managers applied the report of this number, which was sent then, for so long. One that was sent
    // twice counts from when it was first made.
    void acknowledge(std::uint64_t number, Nanos sent, Nanos lease);
    // The managers know nothing of this incarnation (they lost it, or it is new to them): the next report is
    // full.
    void require_full_report();

    // Of the relay's own lease; 0: it is over, or there was none yet.
    Nanos lease_left(Nanos now) const { return lease_until_ > now ? lease_until_ - now : 0; }
    // The greatest version that all members but `max_exceptions` act on at least.
    std::uint64_t lowest() const;
    std::size_t members() const { return members_.size(); }

  private:
    struct Member {
        MemberReport report;
        Nanos heard_at = 0;
        Nanos granted_until = distant_past;
        bool acknowledged = false;  // the managers know of it
        std::uint64_t reported_since =
            0;  // the number of the first report that named it as joined; 0: none yet
    };
    // One that left or was lost, which the managers don't know yet.
    struct Departed {
        std::uint64_t incarnation = 0;
        bool lost = false;
        std::uint64_t reported_since = 0;  // as above
    };

    void depart(const std::string& name, std::uint64_t incarnation, bool lost);
    void depart_lost(Nanos now, Nanos drift);
    RelayReport current_report() const;
    std::vector<MemberReport> exceptions(std::uint64_t lowest) const;
    void number_report(Nanos now);

    std::string relay_, zone_;
    std::uint64_t incarnation_;
    std::size_t max_members_, max_exceptions_;
    std::map<std::string, Member> members_;
    std::map<std::string, Departed> departed_;
    std::uint64_t number_ = 0;                // of the last report
    bool full_ = true;                        // the next report has to be
    std::uint64_t full_since_ = 0;            // the number of the first full report since; 0: none yet
    std::optional<RelayReport> last_report_;  // made again until it is acknowledged
    std::map<std::uint64_t, Nanos> made_at_;  // by the number of a report
    Nanos lease_until_ = distant_past, lease_ = 0;
};

}  // namespace tealcart::changes
