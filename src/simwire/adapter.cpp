#include "simwire/adapter.hpp"

#include <algorithm>
#include <bit>

#include "simwire/frame.hpp"

namespace tealcart::simwire {
namespace {

enum Event : std::uint8_t {
    dropped = 1,
    inbox = 2,
    init = 3,
    demand = 4,
    inventory = 5,
    sampled = 6,
    backends_changed = 7,
    headers = 8,
    kill = 9,
    attempt_end = 10,
    wakeup = 11
};

enum Action : std::uint8_t {
    reply_now = 65,
    schedule = 66,
    record = 67,
    send_attempt = 68,
    watch_endpoints = 69,
    abort_attempt = 74,
    overload_reply = 76,
    surrender = 77
};

constexpr std::size_t entry_bytes = 22;

// Bytes of a record, its code not counted. Walks the counted fields, so that a count that lies is found here.
std::size_t record_size(std::uint8_t code, Reader r) {
    switch (code) {
        case dropped:
            r.take_bytes(8);
            break;
        case inbox:
            r.take_bytes(6);
            r.take_bytes(r.take<std::uint16_t>());
            break;
        case init:
            r.take_bytes(12);
            r.take_bytes(r.take<std::uint32_t>());
            break;
        case demand:
            r.take_bytes(52);
            break;
        case inventory:
            r.take_bytes(1);
            r.take_bytes(std::size_t{r.take<std::uint32_t>()} * entry_bytes);
            break;
        case sampled:
            r.take_bytes(18);
            r.take_bytes(std::size_t{r.take<std::uint8_t>()} * 4);
            break;
        case backends_changed:
            r.take_bytes(10);
            break;
        case headers:
            r.take_bytes(21);
            break;
        case kill:
            r.take_bytes(4);
            break;
        case attempt_end:
            r.take_bytes(24);
            r.take_bytes(std::size_t{r.take<std::uint8_t>()} * 4);
            break;
        case wakeup:
            r.take_bytes(12);
            break;
        default:
            throw Malformed("unknown record code " + std::to_string(code));
    }
    return r.at();
}

std::vector<Endpoint> read_entries(Reader& r) {
    std::vector<Endpoint> entries(r.take<std::uint32_t>());
    for (Endpoint& e : entries) {
        e.node = r.take<std::uint32_t>();
        const std::uint32_t zone = r.take<std::uint16_t>();
        e.group = zone << 8 | r.take<std::uint8_t>();  // with the machine kind
        e.place = r.take<std::uint16_t>();
        const auto lifecycle = r.take<std::uint8_t>();
        if (lifecycle > 2) throw Malformed("unknown availability " + std::to_string(lifecycle));
        e.lifecycle = static_cast<Lifecycle>(lifecycle);
        r.take<float>();  // the size: own outcomes tell more
        e.started_at = r.take_time("started_at");
    }
    return entries;
}

Outcome read_outcome(Reader& r) {
    const auto code = r.take<std::uint16_t>();
    if (code > 7) throw Malformed("unknown outcome " + std::to_string(code));
    return static_cast<Outcome>(code);
}

std::uint32_t whole_number(float value, const char* what) {
    if (!(value >= 0 && value < 4e9F) || value != std::floor(value))
        throw Malformed(std::string(what) + " is not a whole number");
    return static_cast<std::uint32_t>(value);
}

}  // namespace

// The records of one instance, played as calls.
class Adapter::Played final : public RoundEvents {
  public:
    explicit Played(const Instance& instance) : instance_(instance) {}

    void play(RoundEventHandler& handler) override {
        std::size_t lists = 0;
        for (const std::string_view record : instance_.records) {
            Reader r(record.substr(1));
            r.take<std::uint32_t>();  // the router id
            switch (static_cast<std::uint8_t>(record[0])) {
                case backends_changed: {
                    const auto kind = static_cast<ListKind>(r.take<std::uint8_t>());
                    const NodeList& list = instance_.lists[lists++];
                    handler.on_nodes(kind, list ? std::span(*list) : std::span<const Endpoint>());
                    break;
                }
                case demand:
                    play_demand(r, handler);
                    break;
                case attempt_end: {
                    AttemptResult e;
                    e.shard_request = r.take<std::uint32_t>();
                    e.latency = r.take_time("rtt");
                    e.node = r.take<std::uint32_t>();
                    e.outcome = read_outcome(r);
                    r.take<std::uint8_t>();  // whether the shard request is still open: the module knows
                    e.attempt = r.take<std::uint8_t>();
                    handler.on_attempt_result(e);
                    break;
                }
                case dropped:
                    handler.on_query_dropped(r.take<std::uint32_t>());
                    break;
                case wakeup:
                    handler.on_timer(r.take<std::uint64_t>());
                    break;
                default:
                    break;  // of peers, streams and probes: this router starts none
            }
        }
    }

  private:
    void play_demand(Reader& r, RoundEventHandler& handler) const {
        const auto id = r.take<std::uint32_t>();
        const auto query_class = r.take<std::uint16_t>();
        const auto tenant = r.take<std::uint32_t>();
        r.take<std::uint64_t>();  // the key
        const Nanos deadline_at = r.take_time("give_up_at");
        const Nanos hint = r.take_time("hint");
        const auto ask = whole_number(r.take<float>(), "ask_no");
        const float slice = r.take<float>();
        const float heft = r.take<float>();
        const auto opts = r.take<std::uint16_t>();
        if (query_class >= instance_.query_classes)
            throw Malformed("a demand names a class that is not in the settings");
        if (slice < 0) return handler.on_query({id, ask, query_class, tenant, deadline_at, (opts & 2) != 0});
        const auto shard = whole_number(slice, "slice");
        if (shard >= instance_.shards) throw Malformed("a demand names a shard beyond extra.ranges");
        if (!std::isfinite(heft)) throw Malformed("heft is not a number");
        handler.on_shard_request({id, ask, shard, heft, (opts & 1) != 0 ? hint : 0});
    }

    const Instance& instance_;
};

// The decisions of one instance, written as records.
class Adapter::Written final : public DecisionSink {
  public:
    Written(std::uint32_t router, std::string& out, std::uint32_t& count)
        : router_(router), out_(out), count_(count) {}

    void send_attempt(std::uint32_t shard_request, std::uint32_t node, Nanos patience) override {
        start(Action::send_attempt, shard_request);
        put(out_, node);
        put(out_, to_ms(patience));
    }
    void cancel(std::uint32_t shard_request, std::uint8_t attempt) override {
        start(abort_attempt, shard_request);
        put(out_, attempt);
    }
    void answer(std::uint32_t query, bool whole) override {
        start(reply_now, query);
        put(out_, static_cast<std::uint8_t>(whole));
    }
    void reject(std::uint32_t query, Nanos not_before) override {
        start(overload_reply, query);
        put(out_, to_ms(not_before));
    }
    void fail_query(std::uint32_t query) override { start(surrender, query); }
    void set_timer(std::uint64_t cookie, Nanos wait) override {
        start(schedule);
        put(out_, cookie);
        put(out_, to_ms(wait));
    }
    void watch_endpoints() override {
        start(Action::watch_endpoints);
        put(out_, std::uint8_t{1});
    }
    void log(const std::string& line) override {
        start(record);
        put(out_, static_cast<std::uint16_t>(line.size()));
        out_ += line;
    }

  private:
    void start(Action action) {
        ++count_;
        put(out_, static_cast<std::uint8_t>(action));
        put(out_, router_);
    }
    void start(Action action, std::uint32_t id) {
        start(action);
        put(out_, id);
    }

    const std::uint32_t router_;
    std::string& out_;
    std::uint32_t& count_;
};

// Puts a record with its instance. A list page is bound here, where it stands, since a later one may take its
// number.
void Adapter::sort_record(std::uint8_t code, std::string_view bytes, std::vector<std::uint32_t>& order) {
    Reader r(bytes.substr(1));
    if (code == inventory) {
        const auto page = r.take<std::uint8_t>();
        if (page >= pages_.size())
            throw Malformed("list page " + std::to_string(page) + " is beyond the last");
        pages_[page] = std::make_shared<const std::vector<Endpoint>>(read_entries(r));
        return;
    }
    const auto id = r.take<std::uint32_t>();
    if (code == kill) {
        instances_.erase(id);
        std::erase(order, id);
        return;
    }
    if (code == init) {
        const auto seed = r.take<std::uint64_t>();
        const RouterConfig config = read_router_config(r.take_bytes(r.take<std::uint32_t>()));
        std::erase(order, id);
        Instance& fresh = instances_[id] = Instance{};
        fresh.router = std::make_unique<QueryRouter>(config, seed);
        fresh.places = static_cast<std::size_t>(config.places);
        fresh.query_classes = config.query_classes.size();
        fresh.shards = static_cast<std::size_t>(config.shards);
    }
    const auto found = instances_.find(id);
    if (found == instances_.end())
        throw Malformed("a record for router " + std::to_string(id) + ", which has not been started");
    Instance& instance = found->second;
    if (std::find(order.begin(), order.end(), id) == order.end()) order.push_back(id);
    if (code == init) return;
    instance.records.push_back(bytes);
    if (code != backends_changed) return;
    const auto kind = r.take<std::uint8_t>();
    const auto page = r.take<std::uint8_t>();
    if (kind > 3) throw Malformed("unknown kind of list " + std::to_string(kind));
    NodeList list;
    if (kind != static_cast<std::uint8_t>(ListKind::failed)) {
        if (page >= pages_.size() || !pages_[page])
            throw Malformed("list page " + std::to_string(page) + " was never sent");
        list = pages_[page];
        for (const Endpoint& e : *list)
            if (e.place >= instance.places) throw Malformed("a list entry names a place beyond extra.places");
    }
    instance.lists.push_back(std::move(list));
}

std::string Adapter::reply_to(std::string_view batch) {
    Reader r(batch);
    const Nanos now = r.take_time("the clock");
    const auto count = r.take<std::uint32_t>();
    const auto number = r.take<std::uint32_t>();
    std::vector<std::uint32_t> order;
    std::string_view rest = batch.substr(r.at());
    for (std::uint32_t i = 0; i < count; ++i) {
        if (rest.empty()) throw Malformed("a batch ends before its records do");
        const auto code = static_cast<std::uint8_t>(rest[0]);
        const std::size_t size = 1 + record_size(code, Reader(rest.substr(1)));
        sort_record(code, rest.substr(0, size), order);
        rest.remove_prefix(size);
    }
    if (!rest.empty()) throw Malformed("a batch goes on behind its last record");

    std::string records;
    std::uint32_t written = 0;
    for (const std::uint32_t id : order) {
        Instance& instance = instances_.at(id);
        Played played(instance);
        Written writer(id, records, written);
        instance.router->round(now, played, writer);
        instance.records.clear();
        instance.lists.clear();
    }
    std::string reply;
    put(reply, written);
    put(reply, static_cast<std::uint32_t>(records.size() + 4));
    put(reply, number);
    return reply + records;
}

}  // namespace tealcart::simwire
