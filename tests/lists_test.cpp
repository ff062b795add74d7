// Compares the endpoint list parser and NodeTable with simple, slow reference implementations, and checks the
// cost of applying lists by counting the entries examined.
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

// Reference implementations, which are slow but simple. This read_endpoint_list parses the whole text into a
// tree.
namespace reference {

const Json* member(const Json& json, const char* key) {
    if (!json.is_object()) return nullptr;
    const auto it = json.find(key);
    return it == json.end() ? nullptr : &*it;
}

std::optional<std::string> text_of(const Json& json, const char* key) {
    const Json* value = member(json, key);
    if (value == nullptr || !value->is_string()) return std::nullopt;
    return value->get<std::string>();
}

std::optional<ListedEndpoint> read_node(const Json& json, std::uint32_t places) {
    const auto id = text_of(json, "instanceId"), address = text_of(json, "hostPort"),
               zone = text_of(json, "zone"), kind = text_of(json, "machineType"),
               lifecycle = text_of(json, "lifecycle");
    const Json* cell = member(json, "cell");
    const bool has_place =
        cell != nullptr && cell->is_number_unsigned() && cell->get<std::uint64_t>() < places;
    if (!id || id->empty() || !lifecycle) return std::nullopt;
    ListedEndpoint node{
        *id, address.value_or(""), zone.value_or(""), kind.value_or(""), 0, Lifecycle::removed, 0};
    if (has_place) node.place = cell->get<std::uint32_t>();
    if (*lifecycle == "removed") return node;
    if (*lifecycle == "draining")
        node.lifecycle = Lifecycle::draining;
    else if (*lifecycle == "up")
        node.lifecycle = Lifecycle::ready;
    else
        return std::nullopt;
    if (!has_place || !address || !parse_host_port(*address) || !zone || !kind) return std::nullopt;
    const Json* started = member(json, "startedAtMs");
    const double at = started != nullptr && started->is_number() ? started->get<double>() : -1;
    if (std::isfinite(at) && at >= 0 && at < 9e12) node.started_at = static_cast<Nanos>(at) * 1'000'000;
    return node;
}

std::optional<EndpointList> read_endpoint_list(std::string_view body, std::uint32_t places) {
    const Json json = Json::parse(body, nullptr, false);
    const Json* generation = member(json, "generation");
    const Json* full = member(json, "reset");
    const Json* instances = member(json, "instances");
    if (generation == nullptr || !generation->is_number_unsigned() || full == nullptr ||
        !full->is_boolean() || instances == nullptr || !instances->is_array())
        return std::nullopt;
    EndpointList list{generation->get<std::uint64_t>(), full->get<bool>(), {}, 0};
    for (const Json& entry : *instances) {
        if (auto node = read_node(entry, places))
            list.nodes.push_back(std::move(*node));
        else
            ++list.skipped_entries;
    }
    return list;
}

// This NodeTable keeps removed nodes in one queue and searches all nodes for each entry.
struct NodeTable {
    struct Node {
        std::string id, address;
        Lifecycle lifecycle = Lifecycle::removed;
        Nanos started_at = 0;
        bool is_listed = false;
    };
    std::map<std::uint32_t, Node> nodes;
    std::vector<std::string> groups;
    std::deque<std::uint32_t> removed;
    std::size_t max_present = 0;
    std::uint32_t next_index = 0;

    std::optional<std::uint32_t> index_of(const std::string& id) const {
        for (const auto& [index, node] : nodes)
            if (node.id == id) return index;
        return std::nullopt;
    }
    std::size_t ready() const {
        return static_cast<std::size_t>(std::count_if(nodes.begin(), nodes.end(), [](const auto& item) {
            return item.second.lifecycle == Lifecycle::ready;
        }));
    }

    tealcart::NodeTable::Changes apply(const EndpointList& list) {
        tealcart::NodeTable::Changes changes;
        std::set<std::uint32_t> toggled;
        for (auto& [index, node] : nodes) node.is_listed = false;
        for (const ListedEndpoint& entry : list.nodes) {
            const bool is_removed = entry.lifecycle == Lifecycle::removed;
            const auto known = index_of(entry.id);
            if (is_removed && !known) continue;
            const std::uint32_t index = known ? *known : next_index++;
            Node& node = nodes[index];
            node.id = entry.id;
            if (!known) changes.added.push_back(index);
            node.is_listed = true;
            const std::string group = entry.zone + '\n' + entry.kind;
            const auto at = std::find(groups.begin(), groups.end(), group) - groups.begin();
            if (!is_removed && at == static_cast<std::ptrdiff_t>(groups.size())) groups.push_back(group);
            changes.entries.push_back(
                {index, entry.place, entry.lifecycle, entry.started_at, static_cast<std::uint32_t>(at)});
            if (is_removed != (node.lifecycle == Lifecycle::removed)) toggled.insert(index);
            if (entry.lifecycle != Lifecycle::ready && node.lifecycle == Lifecycle::ready)
                changes.leaving.push_back(index);
            else if (!is_removed && known &&
                     (entry.address != node.address || entry.started_at != node.started_at))
                changes.moved.push_back(index);
            node.lifecycle = entry.lifecycle;
            if (is_removed) continue;
            node.address = entry.address;
            node.started_at = entry.started_at;
        }
        for (auto& [index, node] : nodes) {
            if (!list.full || node.is_listed || node.lifecycle == Lifecycle::removed) continue;
            if (node.lifecycle == Lifecycle::ready) changes.leaving.push_back(index);
            node.lifecycle = Lifecycle::removed;
            toggled.insert(index);
        }
        for (const std::uint32_t index : toggled) {
            std::erase(removed, index);
            if (nodes[index].lifecycle == Lifecycle::removed) removed.push_back(index);
        }
        max_present = std::max(max_present, nodes.size() - removed.size());
        for (; removed.size() > max_present; removed.pop_front()) nodes.erase(removed.front());
        std::sort(changes.leaving.begin(), changes.leaving.end());
        return changes;
    }
};

}  // namespace reference

auto fields_of(const ListedEndpoint& node) {
    return std::tuple(node.id, node.address, node.zone, node.kind, node.place, node.lifecycle,
                      node.started_at);
}

void check_same(const std::optional<EndpointList>& actual, const std::optional<EndpointList>& expected) {
    RC_ASSERT(actual.has_value() == expected.has_value());
    if (!actual) return;
    RC_ASSERT(actual->generation == expected->generation);
    RC_ASSERT(actual->full == expected->full);
    RC_ASSERT(actual->skipped_entries == expected->skipped_entries);
    RC_ASSERT(actual->nodes.size() == expected->nodes.size());
    for (std::size_t i = 0; i < actual->nodes.size(); ++i)
        RC_ASSERT(fields_of(actual->nodes[i]) == fields_of(expected->nodes[i]));
}

std::string any_of(std::initializer_list<const char*> from) {
    return *rc::gen::elementOf(std::vector<std::string>(from.begin(), from.end()));
}
// Returns the first in about three of four cases, so that most entries are valid.
std::string usually_first_of(std::initializer_list<const char*> from) {
    return *rc::gen::inRange(0, 4) > 0 ? *from.begin() : any_of(from);
}

std::string unexpected_value() {
    return any_of({"null", "true", "0", "-0", "-3", "1.5", "2e3", "-1e-3", "18446744073709551616", R"("")",
                   R"("up")", R"("127.0.0.1:9")", "[]", "{}", R"([1,{"cell":1,"instanceId":"x"}])",
                   R"({"instanceId":"y","instances":[{}],"a":{"b":[]}})"});
}

std::string entry() {
    std::vector<std::string> fields = {
        "\"instanceId\":" + usually_first_of({R"("s1")", R"("s2")", R"("s\u00e9")", R"("")", "7"}),
        "\"hostPort\":" +
            usually_first_of({R"("127.0.0.1:9")", R"("10.0.0.1:80")", R"("127.0.0.1")", R"(":1")"}),
        "\"zone\":" + usually_first_of({R"("a")", R"("b")", "null"}),
        "\"machineType\":" + usually_first_of({R"("m")", R"("n")", "{}"}),
        "\"lifecycle\":" + usually_first_of({R"("up")", R"("draining")", R"("removed")", R"("odd")", "1"}),
        "\"cell\":" + usually_first_of({"1", "0", "2", "3", "1.0", "-1", "4294967297"}),
        "\"startedAtMs\":" + usually_first_of({"1500", "0", "12.75", "-1", "-0.0", "9e12", "1e300", "\"1\""}),
        "\"weight\":1.0"};
    const int extra_fields = *rc::gen::inRange(0, 4) > 0 ? 0 : *rc::gen::inRange(1, 4);
    for (int i = 0; i < extra_fields; ++i)  // repeated or unused keys
        fields.push_back('"' +
                         any_of({"instanceId", "hostPort", "zone", "machineType", "lifecycle", "cell",
                                 "startedAtMs", "other", "instances", "generation"}) +
                         "\":" + unexpected_value());
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
        out.append(i > 0 ? ", " : "").append(*rc::gen::inRange(0, 6) > 0 ? entry() : unexpected_value());
    return out += "]";
}

std::string list_text() {
    std::vector<std::string> fields = {"\"generation\":" + usually_first_of({"41", "0", "-1", "1.0", "null"}),
                                       "\"reset\":" + usually_first_of({"true", "false", "0"}),
                                       "\"instances\":" + instances()};
    if (*rc::gen::inRange(0, 3) == 0)
        fields.push_back("\"instances\":" +
                         (*rc::gen::inRange(0, 2) == 0 ? instances() : unexpected_value()));
    if (*rc::gen::inRange(0, 4) == 0)
        fields.push_back('"' + any_of({"generation", "reset", "other"}) + "\":" + unexpected_value());
    for (std::size_t i = fields.size(); i-- > 1;)
        std::swap(fields[i], fields[*rc::gen::inRange<std::size_t>(0, i + 1)]);
    std::string out = "{";
    for (std::size_t i = 0; i < fields.size(); ++i) out.append(i > 0 ? "," : "\n ").append(fields[i]);
    return out += "}";
}

// Changes, removes or inserts one byte, or truncates the text.
std::string corrupted(std::string text) {
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

ListedEndpoint listed(int index, Lifecycle lifecycle, int variant = 0) {
    return {"node " + std::to_string(index),
            "h:" + std::to_string(1 + variant % 2),
            "z" + std::to_string(index % 3),
            "k" + std::to_string(variant % 3),
            static_cast<std::uint32_t>(index),
            lifecycle,
            variant / 2 % 2};
}

EndpointList full_list_of(int nodes) {
    EndpointList list{1, true, {}, 0};
    for (int n = 0; n < nodes; ++n) list.nodes.push_back(listed(n, Lifecycle::ready));
    return list;
}

}  // namespace

TEST_CASE("the streaming list parser agrees with the tree parser on generated lists, valid and corrupted") {
    CHECK(rc::check([] {
        std::string text = list_text();
        const int corruptions = std::max(0, *rc::gen::inRange(0, 5) - 2);
        for (int i = 0; i < corruptions && !text.empty(); ++i) text = corrupted(text);
        RC_LOG() << text;
        RC_CLASSIFY(reference::read_endpoint_list(text, 3).has_value(), "read");
        check_same(read_endpoint_list(text, 3), reference::read_endpoint_list(text, 3));
    }));
    for (const char* text :
         {"", " ", "null", "[]", "[{}]", "{}", "\xef\xbb\xbf{}", "[[[[[[", "{\"a\":{\"a\":{"}) {
        CHECK_FALSE(read_endpoint_list(text, 3));
        CHECK_FALSE(reference::read_endpoint_list(text, 3));
    }
}

TEST_CASE("NodeTable agrees with its reference on generated list histories") {
    CHECK(rc::check([] {
        NodeTable nodes;
        reference::NodeTable model;
        const int node_count = *rc::gen::inRange(2, 20);
        const int lists = *rc::gen::inRange(1, 40);
        for (int i = 0; i < lists; ++i) {
            EndpointList list{static_cast<std::uint64_t>(i), *rc::gen::inRange(0, 5) == 0, {}, 0};
            const int zone = *rc::gen::inRange(0, 6);
            const auto lifecycle = static_cast<Lifecycle>(*rc::gen::inRange(0, 3));
            if (zone < 3) {  // all nodes of a zone change at once
                for (int n = zone; n < node_count; n += 3) list.nodes.push_back(listed(n, lifecycle));
            } else {
                const int entries = *rc::gen::inRange(0, 6);
                for (int j = 0; j < entries; ++j)  // may repeat a node, and adds new ones
                    list.nodes.push_back(listed(*rc::gen::inRange(0, 2 * node_count + i / 4),
                                                static_cast<Lifecycle>(*rc::gen::inRange(0, 3)),
                                                *rc::gen::inRange(0, 8)));
            }
            const auto actual = nodes.apply(list), expected = model.apply(list);
            RC_ASSERT(actual.added == expected.added);
            RC_ASSERT(actual.moved == expected.moved);
            RC_ASSERT(actual.leaving == expected.leaving);
            RC_ASSERT(actual.entries.size() == expected.entries.size());
            for (std::size_t position = 0; position < actual.entries.size(); ++position) {
                RC_ASSERT(actual.entries[position].node == expected.entries[position].node);
                RC_ASSERT(actual.entries[position].place == expected.entries[position].place);
                RC_ASSERT(actual.entries[position].lifecycle == expected.entries[position].lifecycle);
                RC_ASSERT(actual.entries[position].started_at == expected.entries[position].started_at);
                RC_ASSERT(actual.entries[position].group == expected.entries[position].group);
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

TEST_CASE("a delta costs the same with 1,000 and 81,000 nodes, in proportion to its entries") {
    std::vector<std::uint64_t> table_costs[2], overlay_costs[2];
    for (const int node_count : {1'000, 81'000}) {
        auto& table_cost = table_costs[node_count > 1'000];
        auto& overlay_cost = overlay_costs[node_count > 1'000];
        NodeTable nodes;
        EndpointOverlay overlay;
        const auto apply_to_table = [&](const EndpointList& changes) {
            const std::uint64_t before = nodes.examined();
            nodes.apply(changes);
            table_cost.push_back(nodes.examined() - before);
        };
        const auto count_overlay_cost = [&](auto change) {
            const std::uint64_t before = overlay.examined_count();
            change();
            overlay_cost.push_back(overlay.examined_count() - before);
        };
        nodes.apply(full_list_of(node_count));
        overlay.apply_discovered(full_list_of(node_count));
        for (const Lifecycle lifecycle : {Lifecycle::draining, Lifecycle::removed, Lifecycle::ready}) {
            apply_to_table({2, false, {listed(7, lifecycle)}, 0});
            count_overlay_cost([&] { overlay.apply_discovered({2, false, {listed(7, lifecycle)}, 0}); });
        }
        EndpointList zone{3, false, {}, 0};
        for (int n = 0; n < 80; ++n) zone.nodes.push_back(listed(n, Lifecycle::removed));
        apply_to_table(zone);
        for (ListedEndpoint& n : zone.nodes) n.lifecycle = Lifecycle::ready;
        apply_to_table(zone);
        count_overlay_cost([&] { overlay.apply_drains({"node 7", "node 9"}); });
        count_overlay_cost([&] { overlay.apply_drains({"node 7", "node 9", "never met"}); });
        count_overlay_cost([&] { overlay.apply_drains({"node 7", "node 9", "never met"}); });
        count_overlay_cost([&] { overlay.set_fenced(false); });
        const std::uint64_t before = nodes.examined();
        CHECK(nodes.ready() == static_cast<std::size_t>(node_count));
        CHECK(nodes.examined() == before);
    }
    CHECK(table_costs[0] == table_costs[1]);
    CHECK(table_costs[1] == std::vector<std::uint64_t>{1, 2, 2, 160, 160});
    CHECK(overlay_costs[0] == overlay_costs[1]);
    CHECK(overlay_costs[1] == std::vector<std::uint64_t>{1, 1, 1, 2, 1, 0, 0});
}
