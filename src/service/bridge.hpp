// Between the sockets and the decisions: keeps queries, parts and leaf calls, plays what came in to the
// module once a round and carries out what it decides. A query's slot is given back in `release`, a leaf
// call's in `call_ended`. Holds no decisions.
#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

#include "router/query_router.hpp"
#include "tables/node_list.hpp"
#include "tables/slots.hpp"
#include "tables/timekeeper.hpp"
#include "terms/terms_text.hpp"
#include "wire/client_front.hpp"
#include "wire/discovery_watch.hpp"
#include "wire/node_links.hpp"

namespace tealcart {

class Bridge final : public RequestTaker,
                     public LinkOwner,
                     public ListTaker,
                     public DueHandler,
                     private Arrivals,
                     private DecisionWriter {
  public:
    Bridge(Timekeeper& time, const Terms& terms, const LinkTerms& link_terms, std::uint64_t seed);
    void connect(AnswerGiver& front, CallSender& links) { front_ = &front, links_ = &links; }

    void on_request(Handle client, Request& request, Nanos began) override;
    void on_client_gone(Handle client) override;
    bool on_node_answer(Handle link, const NodeAnswer& answer) override;
    void on_call_lost(Handle call, Outcome outcome) override;
    void on_list(const TargetList& list) override {
        take_list(list, list.whole ? ListKind::full : ListKind::delta);
    }
    void take_list(const TargetList& list, ListKind kind);
    void on_due(Handle who, std::uint64_t what) override;

    // When the next round is due; never while nothing has come in.
    Nanos next_round() const { return arrived_.empty() ? Deadlines::never : last_round_ + step_; }
    void run_round();

    void begin_stop() { stopping_ = true; }
    std::size_t held() const { return held_; }
    std::size_t calls_out() const { return calls_.used(); }
    const NodeList& nodes() const { return nodes_; }

  private:
    struct Part {
        std::uint32_t id = 0, shard = 0;
        double weight = 0;
        Nanos hint = 0;
        bool in = false;
        Nanos first_sent_at = 0;
        std::string value;
        std::vector<Handle> calls;  // by attempt
        std::vector<Handle> links;  // they were sent on
    };
    struct Query {
        std::uint32_t id = 0;
        std::uint16_t vertical = 0;
        bool again = false, played = false, ended = false;
        Handle client;
        Nanos give_up_at = 0;
        std::shared_ptr<QueryText> text;
        std::vector<Part> parts;
        std::size_t value_bytes = 0;
        int out = 0;
    };
    struct LeafCall {
        Handle query, link;
        std::uint32_t part = 0, node = 0;  // part: its place in the query
        std::uint8_t attempt = 0;
        Nanos sent_at = 0, until = 0;
        Deadlines::Ticket due = Deadlines::none;
    };
    struct PartAt {
        Handle query;
        std::uint32_t part = 0;
    };
    struct ListNews {
        ListKind kind;
        std::vector<NodeEntry> entries;
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
    using Arrived = std::variant<ListNews, QueryNews, LeafEnd, Gone, Timer>;

    // Arrivals
    void play(ArrivalHandler& handler) override;
    // DecisionWriter
    void deliver(std::uint32_t part, std::uint32_t node, Nanos patience) override;
    void cancel(std::uint32_t part, std::uint8_t attempt) override;
    void answer(std::uint32_t query, bool whole) override;
    void reject(std::uint32_t query, Nanos not_before) override;
    void abort(std::uint32_t query) override;
    void wake(std::uint64_t cookie, Nanos wait) override;
    void listen() override {}  // the watch always stands
    void log(const std::string& line) override;

    Query* query_of(std::uint32_t id);
    std::uint32_t new_id();
    void refuse(Handle client, int status, std::string_view words);
    void finish(std::uint32_t id, Answer answer);
    void end_query(Handle h);
    void call_ended(Handle h, Outcome outcome, std::string_view value = {});
    void release(Handle h);
    void send_calls();
    Nanos send_by(const Query& q, const Part& part, const LeafCall& call) const;

    Timekeeper& time_;
    AnswerGiver* front_ = nullptr;
    CallSender* links_ = nullptr;
    const Nanos step_;
    const std::uint32_t shards_;
    std::vector<std::string> verticals_;
    std::vector<bool> keyed_;
    std::vector<Nanos> repeat_window_;
    const std::size_t most_held_, parts_a_call_;
    bool stopping_ = false;

    QueryRouter router_;
    NodeList nodes_;
    Slots<Query> queries_;
    Slots<LeafCall> calls_;
    std::unordered_map<std::uint32_t, Handle> by_id_;       // the module's ids of queries
    std::unordered_map<std::uint32_t, PartAt> part_by_id_;  // and of parts
    struct TextHash : std::hash<std::string_view> {
        using is_transparent = void;
    };
    std::unordered_map<std::string, Handle, TextHash, std::equal_to<>> by_text_;  // the clients' ids
    std::unordered_map<std::uint32_t, Handle> by_client_;  // the query that a client's slot waits for
    std::size_t held_ = 0;                                 // queries and parts not yet ended
    std::uint32_t last_id_ = 0;
    Nanos last_round_ = 0;
    std::vector<Arrived> arrived_, playing_;
    std::vector<Handle> outbox_;  // leaf calls of the round in hand
};

}  // namespace tealcart
