// Changes of configuration for a fleet, agreed in one order: versions, each a delta behind a digest, and how
// far each has come. One deterministic state machine for the managers' log, as FleetState is: apply(command)
// gives effects, and the same commands in the same order give the same state on every replica. No I/O and no
// clock: the time stands in each command. docs/design-changes.md has the promise and its assumptions.
#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "changes/document.hpp"
#include "changes/effects.hpp"
#include "changes/reports.hpp"

namespace tealcart::changes {

struct Limits {
    Nanos lease =
        10'000'000'000;  // how long a relay's word holds; its members' leases end with it at the latest
    Nanos drift = 1'000'000'000;      // by so much more clocks may run apart in one lease
    Nanos forget = 3600'000'000'000;  // a member that is lost or left is remembered for so long
    // A version that a greater share of the members that live refuses, of so many at least, halts publishing.
    double halt_refused = 0.1;
    std::size_t halt_refused_least = 1;
    std::size_t max_entries = 1000, max_entry = 16 * 1024;  // of the document; bytes of key and value
    std::size_t max_kept = 1000;  // versions whose deltas are kept, for catching up and for going back
    std::size_t max_kept_bytes = 64u << 20;  // of keys and values in these deltas, there and back
    std::size_t max_members = 100'000, max_relays = 10'000;
    std::size_t max_remembered = 10'000;  // commands, so that one that comes twice is one

    friend bool operator==(const Limits&, const Limits&) = default;
};

// Commands.
struct Publish {
    std::string asker;
    std::map<std::string, std::string> set;
    std::set<std::string> removed;
    std::optional<std::uint64_t> based_on;  // refused where another version is the latest
};
struct Rollback {  // a further version with the content of an earlier one
    std::string asker;
    std::uint64_t to = 0;
};
struct Resume {};     // after a halt by refusals
struct ReportBatch {  // what relays said in one short time
    std::vector<RelayReport> words;
};
struct Forget {  // a member that is lost, which an operator knows not to come back
    std::string name;
};
struct SetLimits {
    Limits limits;
};
struct Tick {};

struct Command {
    std::string id;  // the asker's own, tells that a command comes again; empty: not to be remembered
    Nanos at = 0;    // by the proposer's clock
    std::variant<Publish, Rollback, Resume, ReportBatch, Forget, SetLimits, Tick> what;
};

std::vector<std::uint8_t> write_command(const Command& command);
// Throws std::runtime_error on noise, and on a command that this program does not know.
Command read_command(const std::uint8_t* bytes, std::size_t size);

// How far a version has come.
struct RolloutProgress {
    std::size_t live = 0, acting = 0;  // members whose lease holds; of these, that act on it or a later one
    std::vector<std::string> behind;   // live ones that don't, at most so many as were asked for
    std::vector<std::string> refusing;
    std::vector<std::string> unacknowledged;  // lease over, may go by an older version
};

class ChangeState {
  public:
    explicit ChangeState(Limits limits) : limits_(limits) {}

    Effects apply(const Command& command);

    std::vector<std::uint8_t> save() const;
    void load(const std::vector<std::uint8_t>& bytes);  // throws std::runtime_error on another form or noise

    const Limits& limits() const { return limits_; }
    std::uint64_t version() const { return version_; }    // the latest; 0: none was published
    std::uint64_t in_force() const { return in_force_; }  // the latest of which `in_force` was told
    Nanos now() const { return now_; }
    Nanos hold_until() const { return hold_until_; }
    bool halted() const { return halted_; }
    std::uint64_t halted_version() const { return tripped_; }  // the last that halted; 0: none did
    const std::string& halted_for() const { return halted_for_; }
    const Document& document() const { return document_; }
    std::uint64_t digest() const { return digest_; }
    // What leads from a version to the latest, as one delta; none where that version is no longer kept or
    // never was: then pages.
    std::optional<Delta> since(std::uint64_t version) const;
    // The latest document in pages: entries after this key, up to so many bytes.
    Page page(const std::string& after, std::size_t max_bytes) const;
    RolloutProgress reach(std::uint64_t version, std::size_t max_names) const;
    // When and by whom each kept version was published.
    struct Published {
        std::uint64_t version = 0;
        Nanos at = 0;
        std::string asker;
        std::size_t entries = 0;  // changed
        bool in_force = false;
    };
    std::vector<Published> history(std::size_t most) const;
    std::size_t members() const { return members_.size(); }  // that are known
    // Of the last relay word that was taken of this incarnation; 0: none.
    std::uint64_t last_number(const std::string& relay, std::uint64_t incarnation) const;
    std::uint64_t last_incarnation(const std::string& relay) const;  // 0: it is not known
    bool knows_later_life(const std::string& relay, std::uint64_t incarnation) const;
    // Of the last command: how many members, relays and entries were looked at; for tests of its cost.
    std::uint64_t looked_at() const { return looked_at_; }

  private:
    static constexpr Nanos none = INT64_MIN / 4;  // a time before all

    // A relay that has a member: it said `joined`, and neither `left` nor `lost` since.
    struct Hold {
        std::string relay;
        bool exception = false;  // it lists the member as one
    };
    struct Member {
        std::uint64_t incarnation = 0;
        std::uint64_t stated =
            0;  // the greatest that was said of it by name, or of all while it was among them
        std::uint64_t refused = 0, refused_told = 0;
        std::string why;
        Nanos serve_on = 0;
        std::vector<Hold> holds;
        Nanos held_until = none;  // the leases of relays that no longer have it, and did not say `lost`
        Nanos ended = none;       // when it was lost or left
        bool left = false;
        std::uint64_t counted_as = 0;  // its key in loose_
        Nanos forget_at = none;        // its key in gone_
        enum : std::uint8_t { nowhere, sole, loose, gone } place = nowhere;
    };
    using ByVersion = std::set<std::pair<std::uint64_t, std::string>>;
    struct Relay {
        std::string zone;
        std::uint64_t incarnation = 0, number = 0, lowest = 0;
        Nanos lease_until = none;
        bool live = false;             // its lease is not over, and it has said all its members
        ByVersion plain, marked;       // members that it alone has, by what they stated; marked: exceptions
        std::set<std::string> shared;  // members that other relays have too
        std::set<std::string> exceptions;    // of the last word
        std::optional<std::uint64_t> least;  // its key in least_
    };
    struct Change {
        std::map<std::string, std::string> set;
        std::set<std::string> removed;

        void then(const Change& next);
        std::size_t bytes() const;
    };
    struct Kept {
        std::uint64_t version = 0;
        Nanos at = 0;
        std::string asker;
        Change forth, back;
        std::uint64_t digest = 0;
    };

    void on(const Publish& c);
    void on(const Rollback& c);
    void on(const Resume& c);
    void on(const ReportBatch& c);
    void on(const Forget& c);
    void on(const SetLimits& c);
    void on(const Tick&) {}

    void publish(const std::string& asker, const Change& asked);
    void take(const RelayReport& word);
    std::optional<StaleReason> stale_reason(const RelayReport& word) const;
    void take_joined(const std::string& relay, const MemberReport& word);
    void take_left(const std::string& name, std::uint64_t incarnation);
    void take_lost(const std::string& relay, const std::string& name, std::uint64_t incarnation);
    void take_exceptions(const std::string& relay, const std::vector<MemberReport>& words);
    void release(const std::string& relay, const std::string& name);  // that relay has it no more
    static void drop_refusal(Member& member);                         // unless a relay says it
    void dissolve(const std::string& relay);
    void take_out(const std::string& name, Member& member);  // of the counts, before it is changed ...
    void put_in(const std::string& name, Member& member);    // ... and back
    void refresh(const std::string& name, Relay& relay);
    void recount();

    bool lease_over(Nanos until) const;
    bool may_act(const Member& member) const;
    std::uint64_t agreed(std::uint64_t version) const { return version > version_ ? 0 : version; }
    std::uint64_t applied_version(const Member& member) const;
    Nanos end_of(const Member& member) const { return std::max(member.held_until, member.ended); }
    void pass_time(Nanos at);
    void settle_ends();
    void settle_halt();
    void settle_in_force();
    void trim_kept();
    void emit(Effect effect) { effects_.push_back(std::move(effect)); }
    void reject(std::string reason, std::optional<std::string> member = std::nullopt);
    void stale(const std::string& sender, StaleReason reason);

    Limits limits_;
    Document document_;
    std::uint64_t version_ = 0, digest_ = 0, in_force_ = 0;
    std::deque<Kept> kept_;  // the last ones, without a gap
    std::size_t kept_bytes_ = 0;
    bool halted_ = false;
    std::string halted_for_;
    std::uint64_t tripped_ = 0;  // the last version that halted: it does not halt again
    std::map<std::string, Member> members_;
    std::map<std::string, Relay> relays_;
    Nanos now_ = 0;         // the latest time that a command has told: it never runs back
    Nanos hold_until_ = 0;  // nothing is told to be in force before
    std::map<std::string, Effects> remembered_;
    std::deque<std::string> came_;

    // What follows from the above.
    ByVersion least_;  // of each relay that has members alone, the least of what they act on
    ByVersion loose_;  // members that live and that no relay has alone, by what they act on
    std::set<std::pair<Nanos, std::string>> relay_ends_, member_ends_;  // leases; members that no relay has
    std::set<std::pair<Nanos, std::string>> gone_, relays_over_;        // by when they are forgotten
    std::map<std::uint64_t, std::size_t> refusing_;  // members that live, by the version that they refuse
    std::size_t live_ = 0;
    std::uint64_t looked_at_ = 0;
    Effects effects_;
};

}  // namespace tealcart::changes
