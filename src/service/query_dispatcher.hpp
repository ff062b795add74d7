// Between the sockets and the decisions: keeps queries, shard requests and leaf calls, plays what came in to
// the module once a round and carries out what it decides. A query's slot is given back in `release`, a leaf
// call's in `call_ended`. Holds no decisions.
#pragma once

#include <array>
#include <memory>
#include <random>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

#include "config/router_config_reader.hpp"
#include "members/member_host.hpp"
#include "phases/section_memory.hpp"
#include "phases/two_phase.hpp"
#include "phases/two_phase_capability.hpp"
#include "router/query_router.hpp"
#include "service/startup_config.hpp"
#include "tables/event_clock.hpp"
#include "tables/node_table.hpp"
#include "tables/slot_map.hpp"
#include "wire/bodies.hpp"
#include "wire/http_server.hpp"
#include "wire/node_connection_pool.hpp"

namespace tealcart {

// What came of queries in two phases since the start.
struct PhaseCounts {
    std::uint64_t queries = 0, first_phases = 0, kept_budget = 0;
    std::uint64_t sections = 0, remembered = 0, pruned = 0;
    std::uint64_t rechecked = 0, wrong_words = 0, stale_rows = 0;
    Nanos worst_overrun = 0;
};

class QueryDispatcher final : public RequestHandler,
                              public ConnectionObserver,
                              public MemberHost,
                              public DueHandler,
                              private RoundEvents,
                              private DecisionSink {
  public:
    QueryDispatcher(EventClock& time, const StartupConfig& launch);
    void connect(ResponseWriter& front, AttemptSender& links) { front_ = &front, links_ = &links; }

    void on_request(Handle client, Request& request, Nanos began) override;
    void on_client_disconnected(Handle client) override;
    bool on_node_answer(Handle link, const NodeAnswer& answer) override;
    bool on_phase_answer(Handle link, const PhaseAnswer& answer) override;
    bool on_two_phase_refused(std::uint32_t node) override;
    void on_attempt_lost(Handle call, Outcome outcome) override;
    void on_list(const EndpointList& list) override {
        take_list(list, list.full ? ListKind::full : ListKind::delta);
    }
    void take_list(const EndpointList& list, ListKind kind);
    void on_due(Handle who, std::uint64_t what) override;

    // When the next round is due; never while nothing has come in, or before `begin`.
    Nanos next_round() const override {
        return arrived_.empty() || !begun_ ? TimerQueue::never : last_round_ + step_;
    }
    void run_round();

    // From here on it is ready and decides; what has come in before waits till then.
    void begin() { begun_ = true; }
    bool begun() const { return begun_; }
    void begin_stop() { stopping_ = true; }
    // Of members of a fleet alone.
    void observe_outcomes(OutcomeObserver* taker) override { outcomes_ = taker; }
    void set_serving_state(ServingStateSource by, const MemberServingState& serving_state) override;
    // From here on queries begin by these, one for each query class; those in hand end by the config they
    // began with. To be called between two rounds.
    void take_phases(std::vector<TwoPhaseConfig> phases);
    bool any_attempt_to(const std::function<bool(const std::string&)>& which) const override {
        bool any = false;
        calls_.each([&](Handle, const Attempt& call) { any |= which(nodes_.name(call.node)); });
        return any;
    }
    const std::string& node_name(std::uint32_t node) const override { return nodes_.name(node); }
    std::size_t held() const override { return held_; }
    std::size_t attempts_in_flight() const { return calls_.used(); }
    const NodeTable& nodes() const { return nodes_; }
    const PhaseCounts& phase_counts() const { return phase_counts_; }
    const Speakers& speakers() const { return speakers_; }
    const SectionMemory& section_memory() const { return memory_; }

  private:
    struct ShardRequest {
        std::uint32_t id = 0, shard = 0;
        double weight = 0;
        Nanos hint = 0;
        bool in = false;
        // Of a query in two phases: the leg it is of, its section, and how it stood when the leg began.
        std::uint8_t leg = 0;
        bool find = false, in_before = false;
        std::uint32_t section = 0;
        int spent = 0;
        Nanos first_sent_at = 0;
        std::string value;
        std::vector<Handle> calls;  // by attempt
        std::vector<Handle> links;  // they were sent on
    };
    struct Phased {
        Phased(Find f, const TwoPhaseConfig& config, int max_attempts, const std::vector<double>& weights)
            : find(std::move(f)), keys(find), machine(config, find.rows, max_attempts, weights) {}

        const Find find;
        const FindKeys keys;
        TwoPhase machine;
        std::vector<QueryShardRequest> sections;
        std::uint8_t leg = 0;
        std::size_t leg_begins = 0;  // among the query's shard requests
        Nanos began = 0, find_until = 0;
        std::vector<std::uint32_t> earlier_ids;  // of legs that have ended
        Nanos not_before = 0;
    };
    struct Query {
        std::uint32_t id = 0;
        std::uint16_t query_class = 0;
        bool again = false, played = false, ended = false;
        Handle client;
        Nanos deadline_at = 0;
        std::shared_ptr<QueryText> text;
        std::vector<ShardRequest> shard_requests;
        std::size_t value_bytes = 0;
        int out = 0;
        std::unique_ptr<Phased> phased;
    };
    struct Attempt {
        Handle query, link;
        std::uint32_t shard_request = 0, node = 0;  // shard request: its place in the query
        std::uint8_t attempt = 0;
        char letter = 'R';
        Nanos sent_at = 0, until = 0;
        TimerQueue::Ticket due = TimerQueue::none;
    };
    struct PartAt {
        Handle query;
        std::uint32_t shard_request = 0;
    };
    struct ListNews {
        ListKind kind;
        std::vector<Endpoint> entries;
    };
    struct QueryNews {
        Handle query;
    };
    struct Gone {
        std::uint32_t query = 0;
    };
    struct Timer {
        std::uint64_t cookie = 0;
    };
    using Arrived = std::variant<ListNews, QueryNews, AttemptResult, Gone, Timer>;

    // RoundEvents
    void play(RoundEventHandler& handler) override;
    // DecisionSink
    void send_attempt(std::uint32_t shard_request, std::uint32_t node, Nanos patience) override;
    void cancel(std::uint32_t shard_request, std::uint8_t attempt) override;
    void answer(std::uint32_t query, bool whole) override;
    void reject(std::uint32_t query, Nanos not_before) override;
    void fail_query(std::uint32_t query) override;
    void set_timer(std::uint64_t cookie, Nanos wait) override;
    void watch_endpoints() override {}  // the watch always stands
    void log(const std::string& line) override;

    Query* query_of(std::uint32_t id);
    std::uint32_t new_id();
    void refuse(Handle client, int status, std::string_view words);
    void finish(std::uint32_t id, Answer answer);
    void give_answer(std::uint32_t id, std::string text);
    void add_shard_request(Handle h, Query& q, const QueryShardRequest& stated);
    void take_back(Query& q, std::size_t from);
    // In bridge_phases.cpp:
    void begin_phases(Handle h, QueryBody body, Find find, Nanos began);
    void begin_leg(Handle h, const Leg& leg);
    void end_leg(std::uint32_t id, Verdict verdict, Nanos not_before);
    void conclude(Query& q);
    void tell_speakers(const NodeTable::Changes& news, ListKind kind);
    void doubt_words(const Query& q);
    char letter_for(const Query& q, const ShardRequest& shard_request, std::uint32_t node) const;
    bool audited(double share);
    void end_query(Handle h);
    void call_ended(Handle h, Outcome outcome, std::string_view value = {});
    void release(Handle h);
    void send_calls();
    Nanos send_by(const Query& q, const ShardRequest& shard_request, const Attempt& call) const;

    EventClock& time_;
    ResponseWriter* front_ = nullptr;
    AttemptSender* links_ = nullptr;
    const Nanos step_;
    const std::uint32_t shards_;
    std::vector<std::string> query_classes_;
    std::vector<bool> keyed_;
    std::vector<Nanos> idempotency_window_;
    const std::size_t max_in_flight_, max_requests_per_call_;
    const int call_cap_;
    std::vector<Nanos> slo_;
    std::vector<TwoPhaseConfig> phases_;  // by query class
    // Some query class is in two phases, or may come to be: what data nodes speak is kept.
    const bool may_phase_;
    bool remembers_;  // some query class that is in two phases does
    bool begun_ = false, stopping_ = false;

    Speakers speakers_;
    SectionMemory memory_;
    PhaseCounts phase_counts_;
    std::knuth_b chance_;
    QueryRouter router_;
    NodeTable nodes_;
    SlotMap<Query> queries_;
    SlotMap<Attempt> calls_;
    std::unordered_map<std::uint32_t, Handle> by_id_;                // the module's ids of queries
    std::unordered_map<std::uint32_t, PartAt> shard_request_by_id_;  // and of shard requests
    struct TextHash : std::hash<std::string_view> {
        using is_transparent = void;
    };
    std::unordered_map<std::string, Handle, TextHash, std::equal_to<>> by_text_;  // the clients' ids
    std::unordered_map<std::uint32_t, Handle> by_client_;  // the query that a client's slot waits for
    std::array<MemberServingState, 2> serving_states_;     // by ServingStateSource
    MemberServingState serving_state_;                     // the stricter of them
    OutcomeObserver* outcomes_ = nullptr;
    std::size_t held_ = 0;  // queries and shard requests not yet ended
    std::uint32_t last_id_ = 0;
    Nanos last_round_ = 0;
    std::vector<Arrived> arrived_, playing_;
    std::vector<Handle> outbox_;  // leaf calls of the round in hand
};

}  // namespace tealcart
