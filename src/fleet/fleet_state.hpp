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
#include <utility>
#include <variant>
#include <vector>

namespace tealcart::fleet {

using Nanos = std::int64_t;

// The most that may be out at once: a number, a share of all that are known, or both, then the lesser.
struct Limit {
    std::size_t most = SIZE_MAX;
    double share = 1;

    std::size_t of(std::size_t all) const;  // rounded down
};

// What operators allow. Everything that is not whole counts as out, whoever took it out.
struct Budgets {
    Limit nodes, nodes_a_zone, nodes_a_kind;
    std::size_t least_holders = 1;  // whole ones, of every shard
    Limit routers, routers_a_zone;
    Nanos lease = 10'000'000'000;  // how long a member's word holds
    Nanos drift = 1'000'000'000;   // by so much more its clock may run slow, or its process may have paused
    std::size_t most_open = 1000;  // requests not yet ended
    std::size_t most_remembered = 10'000;  // commands, so that one that comes twice is one
};

enum class Role : std::uint8_t { router, control };
enum class Health : std::uint8_t { whole, draining, cold, gone, unknown };
enum class Stage : std::uint8_t { queued, granted, done, returning, ended };

struct Node {
    std::string zone, kind;
    std::vector<std::uint32_t> shards;  // it holds
    Health health = Health::unknown;    // by discovery and by what routers make of it
    Nanos started_at = 0;
};

struct Member {
    Role role = Role::router;
    std::string zone, version, digest;
    std::uint64_t life = 0;  // a new, greater number at each start
    Nanos lease_until = 0;
    std::uint64_t acts_on = 0;      // the generation it goes by
    std::set<std::string> in_hand;  // what is out and still has work of this member's
};

// A data node, or a query router by its member's name.
struct Target {
    bool router = false;
    std::string name;

    friend auto operator<=>(const Target&, const Target&) = default;
};

struct Request {
    std::string asker;
    Target target;
    Stage stage = Stage::queued;
    std::uint64_t fence = 0, generation = 0;  // 0 until granted
    std::string held_by;                      // the limit that a queued one waits for
};

// Commands. `id` is the asker's own, and tells that a command comes again.
struct Join {
    std::string name;
    Role role;
    std::string zone, version, digest;
    std::uint64_t life;
};
struct Renew {
    std::string name;
    std::uint64_t life, acts_on;
    std::set<std::string> in_hand;
};
struct Leave {
    std::string name;
    std::uint64_t life;
};
struct NodesSeen {
    std::map<std::string, Node> nodes;  // all of them: one that is not among them is gone
};
struct Ask {
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

struct Command {
    std::string id;  // empty: not to be remembered
    Nanos at = 0;    // by the proposer's clock
    std::variant<Join, Renew, Leave, NodesSeen, Ask, Undo, Halt, Resume, Tick> what;
};

struct Effect {
    enum Kind : std::uint8_t {
        asked,     // the request has this number
        refused,   // it can never be granted, or is wrong: `why`
        granted,   // under this fence; everyone is to be told this generation
        done,      // nothing more reaches the target
        returned,  // it may take work again
        ended,     // it is whole again, or was taken back before it was out
        halted,
        resumed,
        over,  // a member's lease has certainly ended
        stale  // the word of an earlier life, not taken
    } kind;
    std::uint64_t request = 0, fence = 0, generation = 0;
    std::string about, why;

    friend bool operator==(const Effect&, const Effect&) = default;
};

class FleetState {
  public:
    explicit FleetState(Budgets budgets) : budgets_(std::move(budgets)) {}

    std::vector<Effect> apply(const Command& command);

    // New budgets take nothing back; nothing more is granted until they hold.
    void take_budgets(Budgets budgets) { budgets_ = std::move(budgets); }

    // Whole state, with a number for its form. `load` throws std::runtime_error on another form or noise.
    std::vector<std::uint8_t> save() const;
    void load(const std::vector<std::uint8_t>& bytes);

    std::uint64_t generation() const { return generation_; }
    bool halted() const { return halted_; }
    const std::string& halted_for() const { return halted_for_; }
    const std::map<std::string, Member>& members() const { return members_; }
    const std::map<std::string, Node>& nodes() const { return nodes_; }
    const std::map<std::uint64_t, Request>& requests() const { return requests_; }
    // Out by agreement: no new work is to go there.
    bool out(const Target& target) const { return out_.contains(target); }
    // The limit that the target would break if it went out now; nothing: none.
    std::optional<std::string> holds_back(const Target& target) const;

  private:
    void on(const Join& c);
    void on(const Renew& c);
    void on(const Leave& c);
    void on(const NodesSeen& c);
    void on(const Ask& c);
    void on(const Undo& c);
    void on(const Halt& c);
    void on(const Resume& c);
    void on(const Tick&) {}

    bool counts_as_out(const Target& target) const;
    bool comes_back(const Target& target) const;
    bool lease_over(const Member& member) const;
    std::optional<std::string> never(const Target& target) const;
    void settle();
    void tell(Effect::Kind kind, std::uint64_t request, std::string why = {});

    Budgets budgets_;
    std::map<std::string, Member> members_;
    std::map<std::string, Node> nodes_;
    std::map<std::uint64_t, Request> requests_;  // not yet ended, in the order in which they were asked
    std::map<Target, std::uint64_t> out_;        // by which request
    std::map<std::string, std::vector<Effect>> remembered_;  // what came of each command of late ...
    std::deque<std::string> came_;                           // ... in the order in which they came
    std::uint64_t generation_ = 0, fence_ = 0, last_request_ = 0;
    bool halted_ = false;
    std::string halted_for_;
    Nanos now_ = 0;  // the latest time that a command has told: it never runs back
    std::vector<Effect> effects_;
};

}  // namespace tealcart::fleet
