// The relay's side of reporting: aggregates what its members reported into one report for all of them.
// Performs no I/O. Times are those of the relay's own steady clock, in nanoseconds.
//
// A member's lease never outlives that of its relay: a member is granted the rest of the relay's lease, which
// counts from when the acknowledged report was *sent*. So when the fleet managers know that the relay's lease
// has expired, `drift` after its end, they know the same of all its members. Nothing is granted to a member
// before the fleet managers have applied a report that lists it as joined: they would not wait for a member
// that they don't know. A member polls one relay at a time and ignores responses from a relay that it has
// left.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "changes/change_state.hpp"

namespace tealcart::changes {

// Collects the members' reports and builds the relay's report.
class ReportAggregator {
  public:
    // `max_exceptions`: how many members a report may list because they lag behind or refuse a version.
    ReportAggregator(std::string relay, std::string zone, std::uint64_t incarnation, std::size_t max_members,
                     std::size_t max_exceptions);

    // Records a member's report. Returns false if it is of an earlier incarnation than the known one, if
    // there is no room for a further member, or if the name is malformed.
    bool record_report(Nanos now, const MemberReport& report);
    // Records that a member announced its stop.
    void record_leave(const std::string& name, std::uint64_t incarnation);
    // The lease that a response sent now may grant to the member: the rest of the relay's own lease. 0 if
    // there is none, or if the fleet managers don't know this member yet.
    Nanos grant_lease(Nanos now, const std::string& name);

    // The next report to the fleet managers. It lists a member as lost if the lease granted to it ended more
    // than `drift` ago and the member has not reported for a lease plus `drift`. Until it is acknowledged,
    // the same report is returned again unless something has changed.
    RelayReport next_report(Nanos now, Nanos drift);
    // The fleet managers applied the report with this number, sent at `sent`, and granted `lease`. The lease
    // of a report that was sent twice counts from when it was first created.
    void acknowledge(std::uint64_t number, Nanos sent, Nanos lease);
    // The fleet managers don't know this incarnation (its lease expired, or it is new): the next report has
    // to be full.
    void require_full_report();

    // The rest of the relay's own lease; 0 if it has expired or there was none yet.
    Nanos lease_left(Nanos now) const { return lease_until_ > now ? lease_until_ - now : 0; }
    // The greatest version that all members except at most `max_exceptions` act on at least.
    std::uint64_t lowest() const;
    std::size_t members() const { return members_.size(); }

  private:
    struct Member {
        MemberReport report;
        Nanos heard_at = 0;
        Nanos granted_until = distant_past;
        bool acknowledged = false;  // the fleet managers know this member
        // The number of the first report that listed it as joined; 0 if none yet.
        std::uint64_t reported_since = 0;
    };
    // A member that left or was lost and whose departure the fleet managers don't know yet.
    struct Departed {
        std::uint64_t incarnation = 0;
        bool lost = false;
        // The number of the first report that listed it as left or lost; 0 if none yet.
        std::uint64_t reported_since = 0;
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
    bool full_ = true;                        // the next report has to be full
    std::uint64_t full_since_ = 0;            // the number of the first full report since then; 0 if none yet
    std::optional<RelayReport> last_report_;  // sent again until it is acknowledged
    std::map<std::uint64_t, Nanos> created_at_;  // by the number of the report
    Nanos lease_until_ = distant_past, lease_ = 0;
};

}  // namespace tealcart::changes
