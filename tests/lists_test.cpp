// Lists of data nodes as they are read and kept, beside slow plain models: the list's text read as a tree,
// the nodes looked through one by one. What a list may cost is held by counts of what was looked at.
#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <deque>
#include <nlohmann/json.hpp>

#include "config/host_port.hpp"
#include "members/endpoint_overlay.hpp"
#include "tables/node_table.hpp"
#include "wire/endpoint_list_codec.hpp"

using namespace tealcart;

namespace {

using Json = nlohmann::json;

// The model of read_endpoint_list: all of the text as a tree.
namespace plain {

const Json* member(const Json& in, const char* key) {
    if (!in.is_object()) return nullptr;
    const auto it = in.find(key);
    return it == in.end() ? nullptr : &*it;
}

std::optional<std::string> text_of(const Json& in, const char* key) {
    const Json* value = member(in, key);
    if (value == nullptr || !value->is_string()) return std::nullopt;
    return value->get<std::string>();
}

std::optional<ListedEndpoint> read_node(const Json& in, std::uint32_t places) {
    const auto id = text_of(in, "instanceId"), address = text_of(in, "hostPort"), zone = text_of(in, "zone"),
               kind = text_of(in, "machineType"), state = text_of(in, "lifecycle");
    const Json* cell = member(in, "cell");
    const bool placed = cell != nullptr && cell->is_number_unsigned() && cell->get<std::uint64_t>() < places;
    if (!id || id->empty() || !state) return std::nullopt;
    ListedEndpoint node{
        *id, address.value_or(""), zone.value_or(""), kind.value_or(""), 0, Lifecycle::removed, 0};
    if (placed) node.place = cell->get<std::uint32_t>();
    if (*state == "removed") return node;
    if (*state == "draining")
        node.lifecycle = Lifecycle::draining;
    else if (*state == "up")
        node.lifecycle = Lifecycle::ready;
    else
        return std::nullopt;
    if (!placed || !address || !parse_host_port(*address) || !zone || !kind) return std::nullopt;
    const Json* started = member(in, "startedAtMs");
    const double at = started != nullptr && started->is_number() ? started->get<double>() : -1;
    if (std::isfinite(at) && at >= 0 && at < 9e12) node.started_at = static_cast<Nanos>(at) * 1'000'000;
    return node;
}

std::optional<EndpointList> read_endpoint_list(std::string_view body, std::uint32_t places) {
    const Json in = Json::parse(body, nullptr, false);
    const Json* generation = member(in, "generation");
    const Json* whole = member(in, "reset");
    const Json* instances = member(in, "instances");
    if (generation == nullptr || !generation->is_number_unsigned() || whole == nullptr ||
        !whole->is_boolean() || instances == nullptr || !instances->is_array())
        return std::nullopt;
    EndpointList list{generation->get<std::uint64_t>(), whole->get<bool>(), {}, 0};
    for (const Json& entry : *instances) {
        if (auto node = read_node(entry, places))
            list.nodes.push_back(std::move(*node));
        else
            ++list.skipped_entries;
    }
    return list;
}

// The model of NodeList: what is gone in one line, and every node looked through.
struct NodeTable {
    struct Node {
        std::string id, address;
        Lifecycle lifecycle = Lifecycle::removed;
        Nanos started_at = 0;
        bool named = false;
    };
    std::map<std::uint32_t, Node> nodes;
    std::vector<std::string> groups;
    std::deque<std::uint32_t> gone;
    std::size_t most = 0;
    std::uint32_t next = 0;

    std::optional<std::uint32_t> number_of(const std::string& id) const {
        for (const auto& [n, node] : nodes)
            if (node.id == id) return n;
        return std::nullopt;
    }
    std::size_t ready() const {
        return static_cast<std::size_t>(std::count_if(nodes.begin(), nodes.end(), [](const auto& item) {
            return item.second.lifecycle == Lifecycle::ready;
        }));
    }

    tealcart::NodeTable::Changes take(const EndpointList& list) {
        tealcart::NodeTable::Changes news;
        std::set<std::uint32_t> turned;
        for (auto& [n, node] : nodes) node.named = false;
        for (const ListedEndpoint& entry : list.nodes) {
            const bool goes = entry.lifecycle == Lifecycle::removed;
            const auto known = number_of(entry.id);
            if (goes && !known) continue;
            const std::uint32_t n = known ? *known : next++;
            Node& node = nodes[n];
            node.id = entry.id;
            if (!known) news.added.push_back(n);
            node.named = true;
            const std::string group = entry.zone + '\n' + entry.kind;
            const auto at = std::find(groups.begin(), groups.end(), group) - groups.begin();
            if (!goes && at == static_cast<std::ptrdiff_t>(groups.size())) groups.push_back(group);
            news.entries.push_back(
                {n, entry.place, entry.lifecycle, entry.started_at, static_cast<std::uint32_t>(at)});
            if (goes != (node.lifecycle == Lifecycle::removed)) turned.insert(n);
            if (entry.lifecycle != Lifecycle::ready && node.lifecycle == Lifecycle::ready)
                news.leaving.push_back(n);
            else if (!goes && known && (entry.address != node.address || entry.started_at != node.started_at))
                news.moved.push_back(n);
            node.lifecycle = entry.lifecycle;
            if (goes) continue;
            node.address = entry.address;
            node.started_at = entry.started_at;
        }
        for (auto& [n, node] : nodes) {
            if (!list.full || node.named || node.lifecycle == Lifecycle::removed) continue;
            if (node.lifecycle == Lifecycle::ready) news.leaving.push_back(n);
            node.lifecycle = Lifecycle::removed;
            turned.insert(n);
        }
        for (const std::uint32_t n : turned) {
            std::erase(gone, n);
            if (nodes[n].lifecycle == Lifecycle::removed) gone.push_back(n);
        }
        most = std::max(most, nodes.size() - gone.size());
        for (; gone.size() > most; gone.pop_front()) nodes.erase(gone.front());
        std::sort(news.leaving.begin(), news.leaving.end());
        return news;
    }
};

}  // namespace plain

auto of(const ListedEndpoint& n) {
    return std::tuple(n.id, n.address, n.zone, n.kind, n.place, n.lifecycle, n.started_at);
}

void check_same(const std::optional<EndpointList>& got, const std::optional<EndpointList>& want) {
    RC_ASSERT(got.has_value() == want.has_value());
    if (!got) return;
    RC_ASSERT(got->generation == want->generation);
    RC_ASSERT(got->full == want->full);
    RC_ASSERT(got->skipped_entries == want->skipped_entries);
    RC_ASSERT(got->nodes.size() == want->nodes.size());
    for (std::size_t i = 0; i < got->nodes.size(); ++i) RC_ASSERT(of(got->nodes[i]) == of(want->nodes[i]));
}

std::string pick(std::initializer_list<const char*> from) {
    return *rc::gen::elementOf(std::vector<std::string>(from.begin(), from.end()));
}
// Mostly the first of them, so that most entries are good.
std::string mostly(std::initializer_list<const char*> from) {
    return *rc::gen::inRange(0, 4) > 0 ? *from.begin() : pick(from);
}

std::string odd_value() {
    return pick({"null", "true", "0", "-0", "-3", "1.5", "2e3", "-1e-3", "18446744073709551616", R"("")",
                 R"("up")", R"("127.0.0.1:9")", "[]", "{}", R"([1,{"cell":1,"instanceId":"x"}])",
                 R"({"instanceId":"y","instances":[{}],"a":{"b":[]}})"});
}

std::string entry() {
    std::vector<std::string> fields = {
        "\"instanceId\":" + mostly({R"("s1")", R"("s2")", R"("s\u00e9")", R"("")", "7"}),
        "\"hostPort\":" + mostly({R"("127.0.0.1:9")", R"("10.0.0.1:80")", R"("127.0.0.1")", R"(":1")"}),
        "\"zone\":" + mostly({R"("a")", R"("b")", "null"}),
        "\"machineType\":" + mostly({R"("m")", R"("n")", "{}"}),
        "\"lifecycle\":" + mostly({R"("up")", R"("draining")", R"("removed")", R"("odd")", "1"}),
        "\"cell\":" + mostly({"1", "0", "2", "3", "1.0", "-1", "4294967297"}),
        "\"startedAtMs\":" + mostly({"1500", "0", "12.75", "-1", "-0.0", "9e12", "1e300", "\"1\""}),
        "\"weight\":1.0"};
    const int further = *rc::gen::inRange(0, 4) > 0 ? 0 : *rc::gen::inRange(1, 4);
    for (int i = 0; i < further; ++i)  // keys that come twice, or are of no use
        fields.push_back('"' +
                         pick({"instanceId", "hostPort", "zone", "machineType", "lifecycle", "cell",
                               "startedAtMs", "other", "instances", "generation"}) +
                         "\":" + odd_value());
    std::string out = "{";
    const std::size_t without = *rc::gen::inRange<std::size_t>(0, 4 * fields.size());
    for (std::size_t i = 0; i < fields.size(); ++i)
        if (i != without) out.append(out.size() > 1 ? "," : "").append(fields[i]);
    return out += "}";
}

std::string instances() {
    std::string out = "[";
    const int n = *rc::gen::inRange(0, 5);
    for (int i = 0; i < n; ++i)
        out.append(i > 0 ? ", " : "").append(*rc::gen::inRange(0, 6) > 0 ? entry() : odd_value());
    return out += "]";
}

std::string list_text() {
    std::vector<std::string> fields = {"\"generation\":" + mostly({"41", "0", "-1", "1.0", "null"}),
                                       "\"reset\":" + mostly({"true", "false", "0"}),
                                       "\"instances\":" + instances()};
    if (*rc::gen::inRange(0, 3) == 0)
        fields.push_back("\"instances\":" + (*rc::gen::inRange(0, 2) == 0 ? instances() : odd_value()));
    if (*rc::gen::inRange(0, 4) == 0)
        fields.push_back('"' + pick({"generation", "reset", "other"}) + "\":" + odd_value());
    for (std::size_t i = fields.size(); i-- > 1;)
        std::swap(fields[i], fields[*rc::gen::inRange<std::size_t>(0, i + 1)]);
    std::string out = "{";
    for (std::size_t i = 0; i < fields.size(); ++i) out.append(i > 0 ? "," : "\n ").append(fields[i]);
    return out += "}";
}

// One byte changed, left out or put in, or an end cut off.
std::string spoilt(std::string text) {
    const std::size_t at = *rc::gen::inRange<std::size_t>(0, text.size());
    const char byte = static_cast<char>(
        *rc::gen::elementOf(std::vector<int>{'{', '}', '[', ']', '"', ',', ':', '0', 'e', '\\', 0xc3, 0}));
    switch (*rc::gen::inRange(0, 4)) {
        case 0:
            text[at] = byte;
            break;
        case 1:
            text.erase(at, 1);
            break;
        case 2:
            text.insert(at, 1, byte);
            break;
        default:
            text.resize(at);
    }
    return text;
}

ListedEndpoint listed(int n, Lifecycle a, int how = 0) {
    return {"node " + std::to_string(n),
            "h:" + std::to_string(1 + how % 2),
            "z" + std::to_string(n % 3),
            "k" + std::to_string(how % 3),
            static_cast<std::uint32_t>(n),
            a,
            how / 2 % 2};
}

EndpointList everything(int nodes) {
    EndpointList list{1, true, {}, 0};
    for (int n = 0; n < nodes; ++n) list.nodes.push_back(listed(n, Lifecycle::ready));
    return list;
}

}  // namespace

TEST_CASE("a list read entry by entry says what its tree would: generated lists, good and spoilt") {
    CHECK(rc::check([] {
        std::string text = list_text();
        const int spoils = std::max(0, *rc::gen::inRange(0, 5) - 2);
        for (int i = 0; i < spoils && !text.empty(); ++i) text = spoilt(text);
        RC_LOG() << text;
        RC_CLASSIFY(plain::read_endpoint_list(text, 3).has_value(), "read");
        check_same(read_endpoint_list(text, 3), plain::read_endpoint_list(text, 3));
    }));
    for (const char* text :
         {"", " ", "null", "[]", "[{}]", "{}", "\xef\xbb\xbf{}", "[[[[[[", "{\"a\":{\"a\":{"}) {
        CHECK_FALSE(read_endpoint_list(text, 3));
        CHECK_FALSE(plain::read_endpoint_list(text, 3));
    }
}

TEST_CASE("the list of nodes over generated histories: zones gone and back, nodes forgotten, whole lists") {
    CHECK(rc::check([] {
        NodeTable nodes;
        plain::NodeTable model;
        const int most = *rc::gen::inRange(2, 20);
        const int lists = *rc::gen::inRange(1, 40);
        for (int i = 0; i < lists; ++i) {
            EndpointList list{static_cast<std::uint64_t>(i), *rc::gen::inRange(0, 5) == 0, {}, 0};
            const int zone = *rc::gen::inRange(0, 6);
            const auto turn = static_cast<Lifecycle>(*rc::gen::inRange(0, 3));
            if (zone < 3) {  // all of a zone turn at once
                for (int n = zone; n < most; n += 3) list.nodes.push_back(listed(n, turn));
            } else {
                const int named = *rc::gen::inRange(0, 6);
                for (int j = 0; j < named; ++j)  // also one twice, and ever new ones
                    list.nodes.push_back(listed(*rc::gen::inRange(0, 2 * most + i / 4),
                                                static_cast<Lifecycle>(*rc::gen::inRange(0, 3)),
                                                *rc::gen::inRange(0, 8)));
            }
            const auto got = nodes.apply(list), want = model.take(list);
            RC_ASSERT(got.added == want.added);
            RC_ASSERT(got.moved == want.moved);
            RC_ASSERT(got.leaving == want.leaving);
            RC_ASSERT(got.entries.size() == want.entries.size());
            for (std::size_t e = 0; e < got.entries.size(); ++e) {
                RC_ASSERT(got.entries[e].node == want.entries[e].node);
                RC_ASSERT(got.entries[e].place == want.entries[e].place);
                RC_ASSERT(got.entries[e].lifecycle == want.entries[e].lifecycle);
                RC_ASSERT(got.entries[e].started_at == want.entries[e].started_at);
                RC_ASSERT(got.entries[e].group == want.entries[e].group);
            }
            RC_ASSERT(nodes.size() == model.nodes.size());
            RC_ASSERT(nodes.ready() == model.ready());
            for (const auto& [n, node] : model.nodes) {
                RC_ASSERT(nodes.name(n) == node.id);
                RC_ASSERT(nodes.address(n) == node.address);
            }
        }
    }));
}

TEST_CASE("one change costs the same at 1,000 nodes and at 81,000, a zone what it names") {
    std::vector<std::uint64_t> looked[2], agreed[2];
    for (const int most : {1'000, 81'000}) {
        auto& counts = looked[most > 1'000];
        auto& of_agreed = agreed[most > 1'000];
        NodeTable nodes;
        EndpointOverlay list;
        const auto take = [&](const EndpointList& news) {
            const std::uint64_t before = nodes.examined();
            nodes.apply(news);
            counts.push_back(nodes.examined() - before);
        };
        const auto count = [&](auto change) {
            const std::uint64_t before = list.examined_count();
            change();
            of_agreed.push_back(list.examined_count() - before);
        };
        nodes.apply(everything(most));
        list.apply_discovered(everything(most));
        for (const Lifecycle a : {Lifecycle::draining, Lifecycle::removed, Lifecycle::ready}) {
            take({2, false, {listed(7, a)}, 0});
            count([&] { list.apply_discovered({2, false, {listed(7, a)}, 0}); });
        }
        EndpointList zone{3, false, {}, 0};
        for (int n = 0; n < 80; ++n) zone.nodes.push_back(listed(n, Lifecycle::removed));
        take(zone);
        for (ListedEndpoint& n : zone.nodes) n.lifecycle = Lifecycle::ready;
        take(zone);
        count([&] { list.apply_drains({"node 7", "node 9"}); });
        count([&] { list.apply_drains({"node 7", "node 9", "never met"}); });
        count([&] { list.apply_drains({"node 7", "node 9", "never met"}); });
        count([&] { list.set_fenced(false); });
        const std::uint64_t before = nodes.examined();
        CHECK(nodes.ready() == static_cast<std::size_t>(most));
        CHECK(nodes.examined() == before);
    }
    CHECK(looked[0] == looked[1]);
    CHECK(looked[1] == std::vector<std::uint64_t>{1, 2, 2, 160, 160});
    CHECK(agreed[0] == agreed[1]);
    CHECK(agreed[1] == std::vector<std::uint64_t>{1, 1, 1, 2, 1, 0, 0});
}
