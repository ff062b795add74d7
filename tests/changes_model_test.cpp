// Compares the state of configuration changes with a slow and simple reference model over generated commands.
// Also simulates relays and members on a virtual clock, where an observer that knows the state of all of them
// checks the guarantees.
#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <random>

#include "changes/change_state.hpp"
#include "changes/report_aggregator.hpp"

using namespace tealcart::changes;

namespace {

constexpr Nanos second = 1'000'000'000;
constexpr Nanos earliest_time = INT64_MIN / 4;

// The reference model. It looks everything up in lists each time and maintains no index or count.
struct ReferenceModel {
    // A relay that reports the member; `exception`: its latest report lists the member.
    struct ModelAttachment {
        std::string relay;
        bool exception;
    };
    // A member as all relays' reports show it.
    struct ModelMember {
        std::string name;
        std::uint64_t incarnation = 0, reported_version = 0, refused_version = 0, refusal_emitted = 0;
        Nanos lease_grace = 0, lease_until = earliest_time, ended_at = earliest_time;
        bool left = false;
        std::vector<ModelAttachment> attachments;
    };
    // A relay with its latest report; `lease` is when its lease expires.
    struct Relay {
        std::string name;
        std::uint64_t incarnation = 0, number = 0, lowest = 0;
        Nanos lease = earliest_time;
        bool live = false;
    };

    Limits limits;
    std::vector<Document> versions{{}};  // by version; the model retains all of them
    std::vector<ModelMember> members;
    std::vector<Relay> relays;
    std::uint64_t applied_everywhere = 0, halted_version = 0;
    bool halted = false;
    Nanos now = 0, hold_until = 0;
    Effects effects;

    std::uint64_t version() const { return versions.size() - 1; }
    std::uint64_t agreed_or_none(std::uint64_t reported) const { return reported > version() ? 0 : reported; }
    ModelMember* find_member(const std::string& name) {
        for (ModelMember& member : members)
            if (member.name == name) return &member;
        return nullptr;
    }
    Relay* find_relay(const std::string& name) {
        for (Relay& relay : relays)
            if (relay.name == name) return &relay;
        return nullptr;
    }
    std::uint64_t applied_version(const ModelMember& member) {
        std::uint64_t highest = member.reported_version;
        for (const ModelAttachment& attachment : member.attachments)
            if (!attachment.exception) highest = std::max(highest, find_relay(attachment.relay)->lowest);
        return highest;
    }
    bool is_live(const ModelMember& member) const {
        return !member.left && (!member.attachments.empty() || now <= member.lease_until + limits.drift);
    }
    bool may_act(const ModelMember& member) const {
        return !member.left && (is_live(member) || now <= std::max(member.lease_until, member.ended_at) +
                                                              member.lease_grace + limits.drift);
    }
    static bool is_exception(const ModelMember& member) {
        return std::any_of(member.attachments.begin(), member.attachments.end(),
                           [](const ModelAttachment& attachment) { return attachment.exception; });
    }
    // The member is no longer attached to the relay.
    void detach(ModelMember& member, const std::string& relay) {
        member.reported_version = applied_version(member);
        const std::size_t previous_count = member.attachments.size();
        std::erase_if(member.attachments,
                      [&](const ModelAttachment& attachment) { return attachment.relay == relay; });
        if (previous_count > 0 && !member.attachments.empty() && !is_exception(member))
            member.refused_version = 0;
    }
    void detach_all(const Relay& relay) {
        for (ModelMember& member : members) {
            if (std::none_of(
                    member.attachments.begin(), member.attachments.end(),
                    [&](const ModelAttachment& attachment) { return attachment.relay == relay.name; }))
                continue;
            detach(member, relay.name);
            member.lease_until = std::max(member.lease_until, relay.lease);
        }
    }
    // The refusal of a member with several relays, or with none, ends once the member acts on the version.
    void clear_outdated_refusals() {
        for (ModelMember& member : members)
            if (is_live(member) && member.attachments.size() != 1 &&
                member.refused_version <= applied_version(member))
                member.refused_version = 0;
    }

    void advance(Nanos time) {
        if (time <= now) return;
        const Nanos gap = time - now;
        if (now > 0 && gap > limits.lease / 4) {
            for (Relay& relay : relays)
                if (relay.live) relay.lease += gap;
            for (ModelMember& member : members)
                if (is_live(member) && member.attachments.empty()) member.lease_until += gap;
            hold_until = time + limits.lease + limits.drift;
        }
        now = time;
        std::vector<Relay*> expired;
        for (Relay& relay : relays)
            if (relay.live && now > relay.lease + limits.drift) expired.push_back(&relay);
        std::sort(expired.begin(), expired.end(), [](const Relay* a, const Relay* b) {
            return std::pair(a->lease, a->name) < std::pair(b->lease, b->name);
        });
        for (Relay* relay : expired) {
            detach_all(*relay);
            relay->live = false;
            effects.push_back(RelayLeaseExpired{version(), relay->name});
        }
        drop_forgotten();
    }
    void drop_forgotten() {
        std::erase_if(members, [&](const ModelMember& member) {
            if (is_live(member)) return false;
            const Nanos retention = member.left
                                        ? limits.forget_after
                                        : std::max(limits.forget_after, member.lease_grace + limits.drift);
            return now > std::max(member.lease_until, member.ended_at) + retention;
        });
        std::erase_if(relays, [&](const Relay& relay) {
            return !relay.live && now > relay.lease + limits.forget_after + limits.drift;
        });
    }

    std::optional<StaleReason> stale_reason(const RelayReport& report) {
        const Relay* relay = find_relay(report.relay);
        if (relay == nullptr) return report.full ? std::nullopt : std::optional(StaleReason::unknown_relay);
        if (report.incarnation < relay->incarnation) return StaleReason::earlier_incarnation;
        if (report.incarnation == relay->incarnation && report.number <= relay->number)
            return StaleReason::overtaken;
        if (report.full) return std::nullopt;
        if (report.incarnation > relay->incarnation) return StaleReason::new_incarnation;
        return relay->live ? std::nullopt : std::optional(StaleReason::lease_expired);
    }
    void apply_report(const RelayReport& report) {
        if (const auto reason = stale_reason(report))
            return effects.push_back(StaleReport{version(), report.relay, *reason});
        Relay* relay = find_relay(report.relay);
        if (relay == nullptr) relay = &relays.emplace_back(Relay{report.relay, report.incarnation});
        if (report.full) detach_all(*relay);
        if (!relay->live || relay->incarnation != report.incarnation) relay->lease = earliest_time;
        relay->incarnation = report.incarnation, relay->number = report.number, relay->live = true;
        relay->lease = std::max(relay->lease, now + limits.lease);
        for (const auto& [name, incarnation] : report.left) {
            ModelMember* member = find_member(name);
            if (member == nullptr || member->incarnation != incarnation || member->left) continue;
            member->reported_version = applied_version(*member);
            member->attachments.clear();
            member->left = true, member->refused_version = 0, member->ended_at = now;
        }
        for (const auto& [name, incarnation] : report.lost) {
            ModelMember* member = find_member(name);
            if (member == nullptr || member->incarnation != incarnation) continue;
            if (std::none_of(
                    member->attachments.begin(), member->attachments.end(),
                    [&](const ModelAttachment& attachment) { return attachment.relay == report.relay; }))
                continue;
            detach(*member, report.relay);
            member->ended_at = std::max(member->ended_at, now);
        }
        relay->lowest = agreed_or_none(report.lowest);
        clear_outdated_refusals();
        for (const MemberReport& joined : report.joined) {
            ModelMember* member = find_member(joined.name);
            if (member != nullptr && joined.incarnation < member->incarnation) {
                effects.push_back(StaleReport{version(), joined.name, StaleReason::earlier_incarnation});
                continue;
            }
            if (member == nullptr) member = &members.emplace_back();
            if (joined.incarnation > member->incarnation) *member = ModelMember{};
            member->name = joined.name, member->incarnation = joined.incarnation, member->left = false,
            member->lease_grace = joined.lease_grace;
            member->reported_version =
                std::max(member->reported_version, agreed_or_none(joined.applied_version));
            if (std::none_of(
                    member->attachments.begin(), member->attachments.end(),
                    [&](const ModelAttachment& attachment) { return attachment.relay == report.relay; }))
                member->attachments.push_back({report.relay, false});
            if (!is_exception(*member)) member->refused_version = 0;
            clear_outdated_refusals();
        }
        std::set<std::string> listed;
        for (const MemberReport& exception : report.exceptions) {
            ModelMember* member = find_member(exception.name);
            if (member == nullptr || member->incarnation != exception.incarnation) continue;
            const auto attachment = std::find_if(
                member->attachments.begin(), member->attachments.end(),
                [&](const ModelAttachment& candidate) { return candidate.relay == report.relay; });
            if (attachment == member->attachments.end()) continue;
            attachment->exception = true;
            listed.insert(exception.name);
            member->reported_version =
                std::max(member->reported_version, agreed_or_none(exception.applied_version));
            member->refused_version = agreed_or_none(exception.refused_version) > applied_version(*member)
                                          ? exception.refused_version
                                          : 0;
            if (member->refused_version > member->refusal_emitted) {
                member->refusal_emitted = member->refused_version;
                effects.push_back(
                    MemberRefused{member->refused_version, exception.name, exception.refusal_reason});
            }
        }
        for (ModelMember& member : members)
            for (ModelAttachment& attachment : member.attachments)
                if (attachment.relay == report.relay && attachment.exception &&
                    !listed.contains(member.name)) {
                    attachment.exception = false;
                    if (!is_exception(member)) member.refused_version = 0;
                }
        clear_outdated_refusals();
    }

    void reject(const std::string& reason, std::optional<std::string> name = std::nullopt) {
        effects.push_back(CommandRejected{version(), reason, std::move(name)});
    }
    void publish(const Document& next) {
        if (next == versions.back()) return reject("nothing would change");
        versions.push_back(next);
        effects.push_back(VersionPublished{version()});
    }
    void on(const Publish& command) {
        if (halted) return reject("halted: " + halt_reason);
        if (command.based_on && *command.based_on != version())
            return reject("based on version " + std::to_string(*command.based_on) + ", the latest is " +
                          std::to_string(version()));
        Document next = versions.back();
        for (const auto& [key, value] : command.set) next[key] = value;
        for (const std::string& key : command.removed) next.erase(key);
        publish(next);
    }
    void on(const Rollback& command) {
        if (command.to == 0 || command.to > version() || command.to + limits.max_kept <= version())
            return reject("version " + std::to_string(command.to) + " is not kept");
        publish(Document(versions[command.to]));
    }
    void on(const Resume&) {
        halted = false;
        halt_reason.clear();
        effects.push_back(PublishingResumed{version()});
    }
    void on(const ReportBatch& command) {
        for (const RelayReport& report : command.reports) apply_report(report);
    }
    void on(const Forget& command) {
        const ModelMember* member = find_member(command.name);
        if (member == nullptr) return reject("no such member", command.name);
        if (is_live(*member)) return reject("its lease is not over", command.name);
        std::erase_if(members, [&](const ModelMember& candidate) { return candidate.name == command.name; });
        effects.push_back(MemberForgotten{version(), command.name});
    }
    void on(const SetLimits& command) {
        limits = command.limits;
        const Nanos previous = now;
        now = previous - 1;
        limits.lease = INT64_MAX / 8;  // the time advances without an interruption
        advance(previous);
        limits = command.limits;
    }
    void on(const Tick&) {}

    Effects apply(const Command& command) {
        effects.clear();
        advance(command.proposed_at);
        std::visit([this](const auto& payload) { on(payload); }, command.payload);
        std::size_t live = 0, refusing = 0;
        std::uint64_t lowest = version();
        std::vector<std::string> names;
        for (const ModelMember& member : members) {
            if (!is_live(member)) continue;
            ++live;
            refusing += member.refused_version > 0 && member.refused_version == version();
            lowest = std::min(lowest, applied_version(member));
        }
        if (halted_version != version() && refusing > 0 && refusing >= limits.halt_min_refusals &&
            static_cast<double>(refusing) > limits.halt_refused_share * static_cast<double>(live)) {
            halted_version = version();
            halted = true;
            halt_reason = std::to_string(refusing) + " of " + std::to_string(live) +
                          " members refuse version " + std::to_string(version());
            effects.push_back(PublishingHalted{version(), halt_reason});
        }
        if (now >= hold_until && lowest > applied_everywhere) {
            applied_everywhere = lowest;
            for (const ModelMember& member : members)
                if (!is_live(member) && may_act(member) && member.reported_version < lowest)
                    names.push_back(member.name);
            std::sort(names.begin(), names.end());
            effects.push_back(AppliedEverywhere{lowest, names});
        }
        return effects;
    }
    std::string halt_reason;
};

Limits limits_of_test() {
    Limits limits;
    limits.lease = 12 * second, limits.drift = second, limits.forget_after = 30 * second;
    limits.halt_refused_share = 0.2, limits.halt_min_refusals = 1;
    limits.max_kept = 6;
    return limits;
}

using Random = std::knuth_b;
int random_below(Random& random, int n) { return static_cast<int>(random() % static_cast<std::uint64_t>(n)); }

// Generates commands. They include reports that no ReportAggregator would produce, since their parts need not
// be consistent.
struct Generator {
    explicit Generator(std::uint64_t seed) : random(seed) {}

    MemberReport random_member_report(std::uint64_t version) {
        MemberReport report{"m" + std::to_string(random_below(random, 9)),
                            1,
                            random_below(random, 4) * 10 * second,
                            0,
                            0,
                            ""};
        std::uint64_t& incarnation = member_incarnations[report.name];
        if (incarnation == 0 || random_below(random, 12) == 0) ++incarnation;
        report.incarnation = random_below(random, 10) == 0 && incarnation > 1 ? incarnation - 1 : incarnation;
        report.applied_version =
            version - std::min<std::uint64_t>(version, static_cast<std::uint64_t>(random_below(random, 4)));
        if (random_below(random, 25) == 0) report.applied_version = version + 3;
        if (random_below(random, 3) == 0) report.refused_version = version, report.refusal_reason = "no";
        return report;
    }
    RelayReport random_relay_report(std::uint64_t version) {
        RelayReport report;
        // At any time one of the relays is silent.
        report.relay = "r" + std::to_string((now / (40 * second) + 1 + random_below(random, 3)) % 4);
        report.zone = "z";
        auto& [incarnation, number, first] = relays[report.relay];
        if (incarnation == 0 || random_below(random, 25) == 0) ++incarnation, number = 0, first = true;
        report.incarnation = incarnation;
        report.number = random_below(random, 12) == 0 ? number : ++number;
        report.full = std::exchange(first, false) || random_below(random, 8) == 0;
        for (int i = random_below(random, 4); i > 0; --i)
            report.joined.push_back(random_member_report(version));
        for (int i = random_below(random, 2); i > 0; --i) {
            const MemberReport member = random_member_report(version);
            (random_below(random, 3) == 0 ? report.left : report.lost)
                .emplace_back(member.name, member.incarnation);
        }
        const auto behind = static_cast<std::uint64_t>(random_below(random, 3));
        report.lowest = version - std::min(version, behind);
        for (int i = random_below(random, 5); i > 0; --i)
            report.exceptions.push_back(random_member_report(version));
        return report;
    }
    Command next(const ChangeState& state) {
        Command command{"", now, Tick{}};
        const std::uint64_t version = state.version();
        switch (random_below(random, 24)) {
            case 0:
            case 1: {
                Publish publish{"ann", {}, {}, {}};
                publish.set["k" + std::to_string(random_below(random, 5))] =
                    std::to_string(random_below(random, 3));
                if (random_below(random, 3) == 0)
                    publish.removed.insert("l" + std::to_string(random_below(random, 3)));
                if (random_below(random, 3) == 0)
                    publish.set["l" + std::to_string(3 + random_below(random, 3))] = "x";
                if (random_below(random, 4) == 0)
                    publish.based_on =
                        version - static_cast<std::uint64_t>(version > 0 && random_below(random, 2));
                command.payload = publish;
                if (random_below(random, 2) == 0) command.id = "p" + std::to_string(random_below(random, 40));
                break;
            }
            case 2:
                command.payload = Rollback{
                    "bob", static_cast<std::uint64_t>(random_below(random, static_cast<int>(version) + 2))};
                break;
            case 3:
                command.payload = Resume{};
                break;
            case 4:
                command.payload = Forget{"m" + std::to_string(random_below(random, 9))};
                break;
            case 5: {
                if (random_below(random, 4) != 0) break;
                Limits limits = limits_of_test();
                limits.drift = (1 + random_below(random, 3)) * second;
                limits.lease = (10 + random_below(random, 4)) * second;
                limits.forget_after = (20 + random_below(random, 20)) * second;
                command.payload = SetLimits{limits};
                break;
            }
            case 6:
            case 7:
            case 8:
            case 9:
            case 10:
                now += (1 + random_below(random, 2)) * second;
                if (random_below(random, 40) == 0) now += random_below(random, 30) * second;
                if (random_below(random, 20) == 0) now -= second;
                command.proposed_at = now;
                break;
            default: {
                ReportBatch batch;
                for (int i = 1 + random_below(random, 2); i > 0; --i)
                    batch.reports.push_back(random_relay_report(version));
                command.payload = std::move(batch);
            }
        }
        return command;
    }

    // The incarnation and the latest report number of a relay; `first`: its next report is the first one.
    struct RelayNumbers {
        std::uint64_t incarnation = 0, number = 0;
        bool first = true;
    };
    Random random;
    Nanos now = 1000 * second;
    std::map<std::string, std::uint64_t> member_incarnations;
    std::map<std::string, RelayNumbers> relays;
};

void compare(const ChangeState& state, ReferenceModel& model) {
    REQUIRE(state.version() == model.version());
    REQUIRE(state.applied_everywhere() == model.applied_everywhere);
    REQUIRE(state.halted() == model.halted);
    REQUIRE(state.document() == model.versions.back());
    REQUIRE(state.digest() == digest_of(model.versions.back()));
    REQUIRE(state.members() == model.members.size());
    for (const std::uint64_t version :
         {state.version(), state.applied_everywhere(), state.applied_everywhere() + 1}) {
        RolloutProgress expected;
        for (ReferenceModel::ModelMember& member : model.members) {
            const std::uint64_t applied_version = model.applied_version(member);
            if (!model.is_live(member)) {
                if (applied_version < version && model.may_act(member))
                    expected.unacknowledged.push_back(member.name);
                continue;
            }
            ++expected.live;
            expected.applied += applied_version >= version;
            if (applied_version < version) expected.behind.push_back(member.name);
            if (member.refused_version > 0) expected.refusing.push_back(member.name);
        }
        const RolloutProgress actual = state.progress(version, 100);
        REQUIRE(actual.live == expected.live);
        REQUIRE(actual.applied == expected.applied);
        for (auto* list : {&expected.behind, &expected.refusing, &expected.unacknowledged})
            std::sort(list->begin(), list->end());
        REQUIRE(actual.behind == expected.behind);
        REQUIRE(actual.refusing == expected.refusing);
        REQUIRE(actual.unacknowledged == expected.unacknowledged);
    }
    // The delta from each version to the latest one, as far as it is retained.
    for (std::uint64_t version = 0; version <= state.version(); ++version) {
        const auto delta = state.since(version);
        REQUIRE(delta.has_value() == (version + state.limits().max_kept >= state.version()));
        if (!delta) continue;
        Document document = model.versions[version];
        for (const auto& [key, value] : delta->set) document[key] = value;
        for (const std::string& key : delta->removed) document.erase(key);
        REQUIRE(document == state.document());
        REQUIRE(delta->digest == state.digest());
    }
}

}  // namespace

TEST_CASE("generated commands give the same effects as the reference model of changes, on each replica") {
    std::map<std::size_t, std::size_t> effect_counts;
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        CAPTURE(seed);
        Generator generator(seed);
        ChangeState state(limits_of_test()), other(limits_of_test());
        ReferenceModel model;
        model.limits = limits_of_test();
        std::map<std::string, std::vector<Effect>> first_effects;
        for (int step = 0; step < 600; ++step) {
            CAPTURE(step);
            const Command command = generator.next(state);
            const Effects effects = state.apply(command);
            // A duplicate command is applied once, on each replica. A later command with the same id counts
            // as a duplicate.
            const auto [known, is_new] = first_effects.emplace(command.id, effects);
            if (!is_new && !command.id.empty()) {
                REQUIRE(effects == known->second);
            } else {
                const Effects expected = model.apply(command);
                REQUIRE(effects == expected);
                for (const Effect& effect : effects) ++effect_counts[effect.index()];
            }
            const auto bytes = write_command(command);
            REQUIRE(other.apply(read_command(bytes.data(), bytes.size())) == effects);
            if (step % 7 == 0) {
                ChangeState read{Limits{}};
                read.load(other.save());
                other = std::move(read);
            }
            if (step % 5 == 0) {
                REQUIRE(other.save() == state.save());
                compare(state, model);
            }
        }
    }
    // Makes sure that the runs cover all kinds of effects.
    for (std::size_t kind = 0; kind < std::variant_size_v<Effect>; ++kind) {
        CAPTURE(kind);
        CHECK(effect_counts[kind] > 50);
    }
}

namespace {

// Relays, members and fleet managers on a virtual clock. Every message may be delayed, lost or duplicated.
// Each process has its own clock, whose rate is wrong by up to 3%; over the leases used here that error stays
// below `drift`.
struct Simulation {
    static constexpr Nanos step = 100'000'000, lease = 10 * second, drift = second, lease_grace = 4 * second;
    static constexpr int all_relays = 3, all_members = 9;

    // A relay, whose clock runs at `rate`.
    struct SimulatedRelay {
        std::string name;
        std::uint64_t incarnation = 0, known_version = 0;  // the latest version that it knows of
        std::optional<ReportAggregator> aggregator;        // empty while the relay is down
        double rate = 1;
        Nanos partitioned_until = 0, next_report_at = 0;
        Nanos clock(Nanos now) const { return static_cast<Nanos>(static_cast<double>(now) * rate); }
    };
    // A member, whose clock runs at `rate`. A new `relay_epoch` makes it ignore responses to earlier calls.
    struct SimulatedMember {
        std::string name;
        bool runs = false;
        std::uint64_t incarnation = 0, applied_version = 0, refused_version = 0, relay_epoch = 0;
        int relay = 0;
        double rate = 1;
        Nanos lease_until = earliest_time, paused_until = 0, next_report_at = 0, last_response_at = 0,
              starts_at = 0;
        bool had_lease = false;
        Nanos clock(Nanos now) const { return static_cast<Nanos>(static_cast<double>(now) * rate); }
        MemberReport report() const {
            return {name,
                    incarnation,
                    lease_grace,
                    applied_version,
                    refused_version > applied_version ? refused_version : 0,
                    "no"};
        }
    };

    explicit Simulation(std::uint64_t seed)
        : random(seed), state([] {
              Limits limits;
              limits.lease = lease, limits.drift = drift, limits.forget_after = 20 * second;
              limits.halt_refused_share = 0.4;
              return limits;
          }()) {
        for (int i = 0; i < all_relays; ++i) relays.emplace_back().name = "r" + std::to_string(i);
        for (int i = 0; i < all_members; ++i) members.push_back({"m" + std::to_string(i)});
        for (SimulatedRelay& relay : relays) start(relay);
        for (SimulatedMember& member : members) member.starts_at = now + random_below(random, 40) * step;
    }

    double random_clock_rate() { return 0.97 + 0.06 * random_below(random, 1001) / 1000.0; }
    void start(SimulatedRelay& relay) {
        relay.aggregator.emplace(relay.name, "z", ++relay.incarnation, 6, 2);
        relay.rate = random_clock_rate();
        relay.known_version = 0;
    }
    void start(SimulatedMember& member) {
        member = {member.name, true, member.incarnation + 1};
        member.rate = random_clock_rate();
        member.relay = random_below(random, all_relays);
        member.relay_epoch = ++last_relay_epoch;
        member.last_response_at = now;
    }
    Nanos delay() {
        return random_below(random, 30) == 0 ? random_below(random, 60) * step
                                             : random_below(random, 5) * step;
    }
    void send(std::function<void()> action) {
        if (faults && random_below(random, 20) == 0) return;
        if (faults && random_below(random, 30) == 0) messages.emplace(now + delay(), action);
        messages.emplace(now + delay(), std::move(action));
    }

    // Sends the member's report, and the relay's response to it.
    void send_member_report(SimulatedMember& member) {
        member.next_report_at = now + (5 + random_below(random, 6)) * step;
        const Nanos sent = member.clock(now);
        const auto member_index = static_cast<std::size_t>(&member - members.data());
        const auto relay_index = static_cast<std::size_t>(member.relay);
        send([this, member_index, relay_index, report = member.report(), sent,
              relay_epoch = member.relay_epoch] {
            SimulatedRelay& relay = relays[relay_index];
            if (!relay.aggregator || !relay.aggregator->record_report(relay.clock(now), report)) return;
            const Nanos lease_grant = relay.aggregator->grant_lease(relay.clock(now), report.name);
            send([this, member_index, sent, relay_epoch, lease_grant, latest = relay.known_version] {
                SimulatedMember& receiver = members[member_index];
                if (!receiver.runs || receiver.relay_epoch != relay_epoch || receiver.paused_until > now)
                    return;
                receiver.last_response_at = now;
                if (lease_grant > 0) {
                    receiver.lease_until = std::max(receiver.lease_until, sent + lease_grant);
                    receiver.had_lease = true;
                }
                if (latest <= receiver.applied_version || receiver.refused_version == latest) return;
                if (faults && random_below(random, 25) == 0)
                    receiver.refused_version = latest;
                else if (random_below(random, 3) != 0)
                    receiver.applied_version = latest;
            });
        });
    }
    // Sends the relay's report, and the fleet managers' response to it.
    void send_relay_report(SimulatedRelay& relay) {
        relay.next_report_at = now + (5 + random_below(random, 10)) * step;
        const RelayReport report = relay.aggregator->next_report(relay.clock(now), drift);
        if (relay.partitioned_until > now) return;
        const auto relay_index = static_cast<std::size_t>(&relay - relays.data());
        send([this, relay_index, report, sent = relay.clock(now), incarnation = relay.incarnation] {
            if (no_leader_until > now) return;
            apply(ReportBatch{{report}});
            const std::uint64_t last_number = state.last_number(report.relay, incarnation);
            send([this, relay_index, incarnation, number = report.number, last_number, sent,
                  latest = state.version()] {
                SimulatedRelay& receiver = relays[relay_index];
                if (!receiver.aggregator || receiver.incarnation != incarnation ||
                    receiver.partitioned_until > now)
                    return;
                if (last_number >= number)
                    receiver.aggregator->acknowledge(number, sent, lease);
                else
                    receiver.aggregator->require_full_report();
                receiver.known_version = std::max(receiver.known_version, latest);
            });
        });
    }

    template <typename Payload>
    void apply(Payload action) {
        for (const Effect& effect : state.apply({"", now + leader_clock_offset, std::move(action)})) {
            if (std::holds_alternative<PublishingHalted>(effect)) halted = true;
            const auto* applied = std::get_if<AppliedEverywhere>(&effect);
            if (applied == nullptr) continue;
            ++applied_count, lagging_count += applied->may_lag.size();
            for (const SimulatedMember& member : members) {
                if (!member.runs || member.applied_version >= applied->version || !member.had_lease) continue;
                CAPTURE(member.name, applied->version, member.applied_version);
                REQUIRE(member.clock(now) > member.lease_until);
                const bool may_act = member.clock(now) <= member.lease_until + lease_grace;
                REQUIRE((!may_act ||
                         std::binary_search(applied->may_lag.begin(), applied->may_lag.end(), member.name)));
            }
        }
    }

    void advance() {
        now += step;
        while (!messages.empty() && messages.begin()->first <= now) {
            const auto deliver = std::move(messages.begin()->second);
            messages.erase(messages.begin());
            deliver();
        }
        if (faults) inject_faults();
        for (SimulatedRelay& relay : relays)
            if (relay.aggregator && relay.next_report_at <= now) send_relay_report(relay);
        for (SimulatedMember& member : members) {
            if (!member.runs && member.starts_at <= now) start(member);
            if (!member.runs || member.paused_until > now) continue;
            if (now - member.last_response_at > 4 * second) {
                member.relay = random_below(random, all_relays);
                member.relay_epoch = ++last_relay_epoch;
                member.last_response_at = now;
            }
            if (member.next_report_at <= now) send_member_report(member);
        }
        if (no_leader_until <= now) {
            if (std::exchange(halted, false) && state.halted()) apply(Resume{});
            if (publishes && random_below(random, 25) == 0)
                apply(Publish{"ann", {{"k", std::to_string(++published)}}, {}, {}});
            else
                apply(Tick{});
        }
        // A member that holds a lease by its own clock must be live in the fleet managers' state.
        const RolloutProgress progress = state.progress(UINT64_MAX, 1000);
        for (const SimulatedMember& member : members) {
            if (!member.runs || member.clock(now) > member.lease_until) continue;
            CAPTURE(member.name);
            REQUIRE(std::binary_search(progress.behind.begin(), progress.behind.end(), member.name));
        }
    }

    void inject_faults() {
        for (SimulatedRelay& relay : relays) {
            if (!relay.aggregator) {
                if (random_below(random, 40) == 0) start(relay);
            } else if (random_below(random, 400) == 0) {
                relay.aggregator.reset();
                if (random_below(random, 2) == 0) start(relay);
            } else if (random_below(random, 500) == 0) {
                relay.partitioned_until = now + random_below(random, 200) * step;
            }
        }
        for (SimulatedMember& member : members) {
            if (!member.runs) continue;
            const int action = random_below(random, 3000);
            if (action < 8) {
                member.paused_until = now + random_below(random, 200) * step;
            } else if (action < 14) {
                member.relay = random_below(random, all_relays);
                member.relay_epoch = ++last_relay_epoch;
            } else if (action < 18) {
                member.runs = false;
                member.starts_at = now + random_below(random, 100) * step;
                if (random_below(random, 2) == 0)
                    send([this, relay_index = static_cast<std::size_t>(member.relay), name = member.name,
                          incarnation = member.incarnation] {
                        if (relays[relay_index].aggregator)
                            relays[relay_index].aggregator->record_leave(name, incarnation);
                    });
            }
        }
        if (no_leader_until <= now && random_below(random, 600) == 0) {
            no_leader_until = now + random_below(random, 150) * step;
            leader_clock_offset -= random_below(random, 4) * step;
        }
    }

    Random random;
    ChangeState state;
    Nanos now = 1000 * second, leader_clock_offset = 0, no_leader_until = 0;
    std::vector<SimulatedRelay> relays;
    std::vector<SimulatedMember> members;
    std::multimap<Nanos, std::function<void()>> messages;
    std::uint64_t last_relay_epoch = 0, published = 0;
    std::size_t applied_count = 0, lagging_count = 0;
    bool faults = true, publishes = true, halted = false;
};

}  // namespace

TEST_CASE(
    "no version counts as applied everywhere while a member with a valid lease acts on an earlier one") {
    std::size_t applied_count = 0, lagging_count = 0, published = 0;
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        CAPTURE(seed);
        Simulation simulation(seed);
        for (int i = 0; i < 3000; ++i) simulation.advance();
        // Without faults everything that is published is applied everywhere.
        simulation.faults = false;
        for (auto& relay : simulation.relays)
            if (!relay.aggregator) simulation.start(relay);
        for (int i = 0; i < 200; ++i) simulation.advance();
        simulation.apply(Publish{"ann", {{"last", "1"}}, {}, {}});
        simulation.publishes = false;
        for (int i = 0; i < 300; ++i) simulation.advance();
        CHECK(simulation.state.applied_everywhere() == simulation.state.version());
        applied_count += simulation.applied_count, lagging_count += simulation.lagging_count,
            published += simulation.state.version();
    }
    CHECK(applied_count > 1000);
    CHECK(lagging_count > 100);
    CHECK(published > 5000);
}
