// What a fleet has agreed: its members and their leases, its data nodes, and who may be out at a time. One
// deterministic state machine: apply(command) gives effects, and the same commands in the same order give the
// same state on every replica. No I/O and no clock: the time stands in each command, as the one who proposed
// it read it. docs/design-fleet.md has the promise and its assumptions.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "fleet/effects.hpp"
#include "fleet/removal.hpp"

namespace tealcart::fleet {

using Nanos = std::int64_t;

// The most that may be out at once: a number, a share of all that are known, or both, then the lesser.
struct Limit {
    std::size_t most = SIZE_MAX;
    double share = 1;

    std::size_t of(std::size_t all) const;  // rounded down
    friend bool operator==(const Limit&, const Limit&) = default;
};

// What operators allow. Everything that is not whole counts as out, whoever took it out.
struct Budgets {
    Limit nodes, nodes_a_zone, nodes_a_kind;
    std::size_t min_holders = 1;  // whole ones, of every shard
    Limit routers, routers_a_zone;
    Nanos lease = 10'000'000'000;  // how long a member's word holds
    Nanos drift = 1'000'000'000;   // by so much more its clock may run slow, or its process may have paused
    Nanos forget = 3600'000'000'000;  // a member whose lease is over counts as out for so long
    // What is granted is "done" although a member whose lease is over may still go by an older word, which is
    // told; or it waits until that one can't any more.
    bool wait_for_lost = false;
    // Halts that come by themselves; what is not stated never comes.
    double halt_failed = 1;                 // share of the queries that all routers report as failed ...
    std::uint64_t halt_failed_least = 100;  // ... of so many at least
    double halt_lost = 1;                   // share of the routers whose lease is over without a farewell
    std::size_t halt_holders = 0;           // a shard has fewer whole holders than these
    // A node counts as out once this share of the routers that live finds it silent.
    double silent_share = 0.5;
    std::size_t max_open = 1000;          // requests not yet ended
    std::size_t max_remembered = 10'000;  // commands, so that one that comes twice is one

    friend bool operator==(const Budgets&, const Budgets&) = default;
};

enum class Role : std::uint8_t { router, control };
enum class Health : std::uint8_t { whole, draining, cold, gone, unknown };

struct Node {
    std::string zone, kind;
    std::vector<std::uint32_t> shards;  // it holds
    Health health = Health::unknown;    // by discovery and by its warmth
    Nanos started_at = 0;

    friend bool operator==(const Node&, const Node&) = default;
};

// What a member says each time, of itself.
struct MemberReport {
    std::uint64_t applied_generation = 0;   // the generation it goes by
    std::set<Target> in_flight;             // what is out and still has work of this member's
    std::set<std::string> silent;           // data nodes that it finds silent
    std::uint64_t queries = 0, failed = 0;  // of the last seconds

    friend bool operator==(const MemberReport&, const MemberReport&) = default;
};

struct Member {
    Role role = Role::router;
    std::string zone, version, digest;
    std::uint64_t incarnation = 0;  // a new, greater number at each start
    Nanos serve_on = 0;             // after its lease it may act by what it last knew for so long
    Nanos lease_until = 0;
    bool lost = false, left = false;  // its lease has certainly ended; by its own farewell
    MemberReport word;
};

// What is counted as commands change it, so that none looks through all nodes, members or requests. All of it
// follows from nodes, members, requests, what is out and the budgets, at the last command's time.
struct Counts {
    struct Share {
        std::size_t all = 0, out = 0;
        friend bool operator==(const Share&, const Share&) = default;
    };
    struct Shard {
        std::size_t holders = 0, listed = 0, whole = 0;  // nodes; times it is listed: by all, by whole nodes
        friend bool operator==(const Shard&, const Shard&) = default;
    };
    using End = std::pair<Nanos, std::string>;  // a member's, by its name

    Share nodes, routers;
    std::map<std::string, Share> node_zones, node_kinds, router_zones;
    std::unordered_map<std::uint32_t, Shard> shards;
    std::set<std::uint32_t> short_shards;  // under halt_holders
    std::size_t live_routers = 0;          // whose lease is not over
    // Of routers that have not left; queries and failed of those that live.
    std::size_t known_routers = 0, lost_routers = 0;
    std::uint64_t queries = 0, failed = 0;
    std::map<std::string, std::size_t> silent;                // live routers that find a node silent ...
    std::set<std::pair<std::size_t, std::string>> by_silent;  // ... by their number
    // Members by lease_until, whether they live or their lease is over; those that may act, by when that
    // ends.
    std::set<End> live_ends, over_ends, acting_ends;
    std::set<std::pair<std::uint64_t, std::string>> lost_acting;  // over but may act, by what they act on
    // Of members that a granted request waits for: how many go by a generation, have work in hand there.
    std::map<std::uint64_t, std::size_t> heard;
    std::map<Target, std::size_t> in_flight;
    std::map<Target, std::uint64_t, TargetLess> open;  // requests by target
    std::set<std::uint64_t> queued[2];                 // of nodes, of routers
    std::map<std::uint64_t, std::uint64_t> granted;    // by generation
    std::set<std::uint64_t> returning, coming;         // still out; not out but not whole yet

    friend bool operator==(const Counts&, const Counts&) = default;
};

// Commands. `id` is the asker's own, and tells that a command comes again.
struct Join {
    std::string name;
    Role role;
    std::string zone, version, digest;
    std::uint64_t incarnation;
    Nanos serve_on = 0;  // the member's own, see Member
};
struct Renew {
    std::string name;
    std::uint64_t incarnation;
    MemberReport word;
};
// What many members said in one short time, as one command: joins first.
struct ReportBatch {
    std::vector<Join> joins;
    std::vector<Renew> renewals;
};
struct Leave {
    std::string name;
    std::uint64_t incarnation;
};
// A member whose lease is over, and which an operator knows not to come back.
struct Forget {
    std::string name;
};
struct EndpointsObserved {
    std::map<std::string, Node> nodes;
    bool whole = true;                // all of them: one that is not among them is gone; else what is new ...
    std::set<std::string> gone = {};  // ... and who went
};
struct RequestRemoval {
    std::string asker;
    Target target;
};
struct Undo {
    std::uint64_t request;
};
struct Halt {
    std::string why;
};
struct Resume {};
struct Tick {};
// What operators allow, from their file. Takes nothing back; nothing more is granted until it holds.
struct SetBudgets {
    Budgets budgets;
};

struct Command {
    std::string id;  // empty: not to be remembered
    Nanos at = 0;    // by the proposer's clock
    std::variant<Join, Renew, Leave, EndpointsObserved, RequestRemoval, Undo, Halt, Resume, Tick, ReportBatch,
                 Forget, SetBudgets>
        what;
};

// A command as bytes, for the log, and back. `read_command` throws std::runtime_error on noise, and on a
// command that this program does not know.
std::vector<std::uint8_t> write_command(const Command& command);
Command read_command(const std::uint8_t* bytes, std::size_t size);

class FleetState {
  public:
    explicit FleetState(Budgets budgets) : budgets_(std::move(budgets)) {}

    Effects apply(const Command& command);

    // Whole state, with a number for its form. `load` throws std::runtime_error on another form or noise.
    std::vector<std::uint8_t> save() const;
    void load(const std::vector<std::uint8_t>& bytes);

    const Budgets& budgets() const { return budgets_; }
    std::uint64_t generation() const { return generation_; }
    Nanos now() const { return now_; }
    Nanos hold_until() const { return hold_until_; }
    const std::map<Target, std::uint64_t, TargetLess>& all_out() const { return out_; }
    bool halted() const { return halted_; }
    const std::string& halted_for() const { return halted_for_; }
    const std::map<std::string, Member>& members() const { return members_; }
    const std::map<std::string, Node>& nodes() const { return nodes_; }
    const std::map<std::uint64_t, Request>& requests() const { return requests_; }
    // Out by agreement: no new work is to go there.
    bool out(const Target& target) const { return out_.contains(target); }
    bool out(bool router, const std::string& name) const { return out_.contains(TargetView{router, name}); }
    // The limit that the target would break if it went out now; nothing: none.
    std::optional<std::string> holds_back(const Target& target) const;
    // Everything that is not whole, whoever took it out.
    bool counts_as_out(const Target& target) const { return counts_as_out(target.router, target.name); }
    bool counts_as_out(bool router, const std::string& name) const;
    // Members that a granted request still waits for.
    std::vector<std::string> waits_for(const Request& request) const;

    const Counts& counts() const { return counts_; }
    // Members, nodes, their shards and requests that the last command looked at.
    std::size_t looked_at() const { return looked_at_; }

  private:
    void on(const Join& c);
    void on(const Renew& c);
    void on(const Leave& c);
    void on(const EndpointsObserved& c);
    void on(const RequestRemoval& c);
    void on(const Undo& c);
    void on(const Halt& c);
    void on(const Resume& c);
    void on(const Tick&) {}
    void on(const ReportBatch& c);
    void on(const Forget& c);
    void on(const SetBudgets& c);

    bool is_out(const std::string& name, const Node& node) const;
    bool comes_back(const Request& request) const;
    bool lease_over(const Member& member) const { return now_ > member.lease_until + budgets_.drift; }
    bool may_act(const Member& member) const;
    Nanos acts_until(const Member& member) const;
    bool holds_up(const std::string& name, const Member& member, const Request& request) const;
    std::optional<std::string> never(const Target& target) const;
    bool held_up(const Request& request) const;
    // What is changed of a node, a member, a request or of who is out is taken from the counts before, and
    // added after.
    void count(const std::string& name, const Node& node, bool in);
    void count(const std::string& name, const Member& member, bool in);
    void count(std::uint64_t id, const Request& request, bool in);
    void count_silent(const std::string& node, bool in);
    void recount();
    void recount(const std::string& member);
    void set_out(const Target& target, std::uint64_t request);  // 0: not out
    void end(std::uint64_t request);
    void look_again(const TargetView& target);
    void pass_time(Nanos at);
    void settle();
    void settle_members();
    void settle_silent();
    void settle_done();
    void settle_returns();
    void settle_halts();
    void settle_grants();
    std::map<std::string, std::string> trouble() const;
    // The effect of a request that is open, with its fence, generation and target.
    template <typename OfRequest>
    void emit_of(std::uint64_t request);
    void emit(Effect effect) { effects_.push_back(std::move(effect)); }
    void reject(std::string subject, std::string reason, std::uint64_t request = 0);

    Budgets budgets_;
    std::map<std::string, Member> members_;
    std::map<std::string, Node> nodes_;
    std::map<std::uint64_t, Request> requests_;        // not yet ended, in the order in which they were asked
    std::map<Target, std::uint64_t, TargetLess> out_;  // by which request
    std::map<std::string, Effects> remembered_;        // what came of each command of late ...
    std::deque<std::string> came_;                     // ... in the order in which they came
    std::uint64_t generation_ = 0, fence_ = 0, last_request_ = 0;
    bool halted_ = false;
    std::string halted_for_;
    std::set<std::string> tripped_;       // conditions for a halt that hold now; only a new one halts
    std::set<std::string> found_silent_;  // data nodes, by enough of the routers
    Nanos now_ = 0;                       // the latest time that a command has told: it never runs back
    Nanos hold_until_ = 0;                // nothing is granted before: members may not have been heard
    Effects effects_;
    // All below follows from what stands above.
    Counts counts_;
    std::set<std::string> newly_over_;      // members that may not have been told of
    std::set<std::string> silent_changed_;  // nodes to judge anew
    double silent_least_ = 0;               // routers that it takes
    std::set<std::uint64_t> look_at_;       // requests that may be done
    std::set<std::string> exempt_;  // members whose own drain does not wait for them though they may act
    std::uint64_t heard_to_ = 0;    // requests granted up to this generation were looked at
    std::string queue_told_;        // what holds those that are not the first; empty: unknown
    mutable std::size_t looked_at_ = 0;
};

}  // namespace tealcart::fleet
