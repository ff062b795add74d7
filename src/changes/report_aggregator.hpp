// A relay's side: what its members said, gathered into one word for all of them. No I/O; times are of the
// relay's own steady clock.
//
// A member's lease never outlives the relay's own: what is granted to it is what is left of the relay's,
// which counts from when the relay's answered word was *sent*. So the managers, who know the relay's lease to
// be over `drift` after its end, know that of all its members. Nothing is granted to a member before the
// managers took a word that names it as joined: one that they don't know would be waited for by nobody. A
// member asks one relay at a time, and takes no answer of one that it has turned away from.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "changes/change_state.hpp"

namespace tealcart::changes {

class ReportAggregator {
  public:
    ReportAggregator(std::string relay, std::string zone, std::uint64_t incarnation, std::size_t max_members,
                     std::size_t max_exceptions);

    // A member spoke. False: an earlier incarnation than the one that is known, no room, or a name that none
    // can have.
    bool heard(Nanos now, const MemberReport& word);
    void left(const std::string& name, std::uint64_t incarnation);
    // What is granted to a member that is answered now: what is left of the relay's own lease; 0: none, or
    // the managers don't know of this member yet.
    Nanos grant(Nanos now, const std::string& name);

    // The next word to the managers, with the members as lost whose granted lease is over by now (and
    // `drift`), and which were not heard for a lease (and `drift`). The same until `taken`, but for what is
    // new.
    RelayReport word(Nanos now, Nanos drift);
    // The managers took the word of this number, which was sent then, for so long. One that was sent twice
    // counts from when it was first made.
    void taken(std::uint64_t number, Nanos sent, Nanos lease);
    // The managers know nothing of this incarnation (they lost it, or it is new to them): all is said again.
    void say_all();

    // Of the relay's own lease; 0: it is over, or there was none yet.
    Nanos lease_left(Nanos now) const { return lease_until_ > now ? lease_until_ - now : 0; }
    std::uint64_t lowest() const;
    std::size_t members() const { return members_.size(); }

  private:
    struct Known {
        MemberReport word;
        Nanos heard = 0, granted_until = INT64_MIN / 4;
        bool said = false;        // the managers know
        std::uint64_t since = 0;  // the first word that named it as joined; 0: none yet
    };
    struct Gone {
        std::uint64_t incarnation = 0;
        bool lost = false;
        std::uint64_t since = 0;
    };
    void gone(const std::string& name, std::uint64_t incarnation, bool lost);

    std::string relay_, zone_;
    std::uint64_t incarnation_;
    std::size_t max_members_, max_exceptions_;
    std::map<std::string, Known> members_;
    std::map<std::string, Gone> gone_;  // not yet taken
    std::uint64_t number_ = 0;
    std::uint64_t whole_since_ = 0;  // the first word since all is to be said; 0: none yet
    bool whole_ = true;
    std::optional<RelayReport> last_;      // the same again until it is taken
    std::map<std::uint64_t, Nanos> made_;  // when each number was made
    Nanos lease_until_ = INT64_MIN / 4, lease_ = 0;
};

}  // namespace tealcart::changes
