#include "testing/script.hpp"

#include <algorithm>
#include <charconv>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>

#include "config/block_reader.hpp"
#include "config/router_config_reader.hpp"
#include "config/units.hpp"

namespace tealcart::testing {
namespace {

constexpr Nanos hour = 3600'000'000'000;

std::vector<std::uint32_t> read_shards(const std::vector<std::string>& texts, std::uint32_t below,
                                       BlockReader& reader, const HclBlock& block) {
    std::vector<std::uint32_t> shards;
    for (const std::string& text : texts) {
        std::uint32_t number = 0;
        const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), number);
        if (ec != std::errc() || end != text.data() + text.size() || number >= below)
            reader.add_error(
                block.position,
                "'" + text + "' is not a shard number; expected an integer below " + std::to_string(below));
        else
            shards.push_back(number);
    }
    return shards;
}

void read_behaviour_into(BlockReader& reader, const HclBlock& block, Behaviour& behaviour) {
    behaviour.refusal = static_cast<Refusal>(reader.choice(
        "refuses_phases", static_cast<std::size_t>(behaviour.refusal), {"no", "words", "close"}));
    behaviour.summary_delay = reader.duration("word_delay", behaviour.summary_delay, 0, hour);
    behaviour.rows_delay = reader.duration("rows_delay", behaviour.rows_delay, 0, hour);
    behaviour.call_delay = reader.duration("call_delay", behaviour.call_delay, 0, hour);
    behaviour.silent = reader.boolean("silent", behaviour.silent);
    behaviour.silent_summaries = reader.boolean("silent_words", behaviour.silent_summaries);
    behaviour.resets = reader.boolean("resets", behaviour.resets);
    behaviour.rejects = reader.boolean("rejects", behaviour.rejects);
    behaviour.errs = reader.boolean("errs", behaviour.errs);
    behaviour.malformed_summaries = reader.boolean("garbles_words", behaviour.malformed_summaries);
    behaviour.hides_rows = reader.boolean("hides_rows", behaviour.hides_rows);
    behaviour.bound_error = reader.number("bound_error", behaviour.bound_error, -1e9, 1e9);
    behaviour.versions_behind = static_cast<std::uint64_t>(
        reader.integer("behind", static_cast<std::int64_t>(behaviour.versions_behind), 0, 1'000'000));
    behaviour.lease = reader.duration("lease", behaviour.lease, 0, hour);
    behaviour.started_at_ms = static_cast<std::uint64_t>(
        reader.integer("starts", static_cast<std::int64_t>(behaviour.started_at_ms), 0, 9'000'000'000'000));
    static const std::initializer_list<const char*> lifecycles = {"up", "draining", "removed"};
    const auto current =
        std::find(lifecycles.begin(), lifecycles.end(), behaviour.lifecycle) - lifecycles.begin();
    behaviour.lifecycle =
        *(lifecycles.begin() + reader.choice("lifecycle", static_cast<std::size_t>(current), lifecycles));
    if (const auto shards = reader.strings("silent_on"); !shards.empty())
        behaviour.silent_on = read_shards(shards, UINT32_MAX, reader, block);
}

Row read_row(const HclBlock& block, std::vector<HclError>& errors) {
    BlockReader reader(block, errors);
    Row row;
    const std::string document_number = reader.label("the document's number");
    if (std::from_chars(document_number.data(), document_number.data() + document_number.size(), row.doc)
            .ec != std::errc())
        reader.add_error(block.position, "the label of a 'row' block is '" + document_number +
                                             "'; expected the document's number");
    row.rank = reader.number("rank", 0, -1e12, 1e12);
    row.terms = reader.strings("terms");
    for (const auto& [field, value] : reader.numbers_by_key("fields")) row.fields[field] = value;
    reader.reject_unknown();
    return row;
}

void read_sections(BlockReader& reader, Script& script, std::vector<HclError>& errors) {
    for (const HclBlock* block : reader.blocks("section")) {
        BlockReader block_reader(*block, errors);
        const auto shards =
            read_shards({block_reader.label("the shard")}, script.shards, block_reader, *block);
        Section section;
        section.version = static_cast<std::uint64_t>(block_reader.integer("version", 1, 1, 1'000'000'000));
        for (const HclBlock* row : block_reader.blocks("row")) section.rows.push_back(read_row(*row, errors));
        sort_rows(section.rows);
        block_reader.reject_unknown();
        if (!shards.empty()) script.sections[shards[0]] = std::move(section);
    }
}

void read_changes(BlockReader& reader, Script& script, std::vector<HclError>& errors) {
    for (const HclBlock* block : reader.blocks("at")) {
        BlockReader block_reader(*block, errors);
        Change change;
        const auto time = block->labels.size() == 2 ? parse_duration(block->labels[0]) : std::nullopt;
        if (!time) {
            block_reader.add_error(
                block->position, "an 'at' block needs two labels: a time, and a node's name or \"contents\"");
            continue;
        }
        change.at = *time;
        const std::string& target = block->labels[1];
        if (target == "contents") {
            change.shards = read_shards(block_reader.strings("shards"), script.shards, block_reader, *block);
            change.rank_by = block_reader.number("rank_by", 0, -1e9, 1e9);
        } else {
            change.node = target;
            change.block = *block;
            const auto is_target = [&target](const NodeScript& node) { return node.name == target; };
            if (std::none_of(script.nodes.begin(), script.nodes.end(), is_target))
                block_reader.add_error(block->position, "the script has no node named '" + target + "'");
            Behaviour behaviour;
            read_behaviour_into(block_reader, *block, behaviour);
        }
        block_reader.reject_unknown();
        script.changes.push_back(std::move(change));
    }
    std::stable_sort(script.changes.begin(), script.changes.end(),
                     [](const Change& a, const Change& b) { return a.at < b.at; });
}

}  // namespace

Behaviour read_behaviour(const HclBlock& block, const Behaviour& before, std::vector<HclError>& errors) {
    BlockReader reader(block, errors);
    Behaviour behaviour = before;
    read_behaviour_into(reader, block, behaviour);
    return behaviour;
}

Script read_script(std::string_view text, std::string_view source) {
    const HclBlock root = parse_hcl(text, source);
    std::vector<HclError> errors;
    BlockReader reader(root, errors);
    Script script;
    if (const HclBlock* fleet = reader.single_block("fleet")) {
        BlockReader block_reader(*fleet, errors);
        block_reader.expect_no_label();
        GeneratedContents generated;
        generated.shards = script.shards =
            static_cast<std::uint32_t>(block_reader.integer("shards", 1, 1, 100'000));
        script.places = static_cast<std::uint32_t>(block_reader.integer("places", 1, 1, 10'000));
        script.width = static_cast<std::uint32_t>(block_reader.integer("width", 1, 1, 100));
        script.record_bytes = static_cast<std::size_t>(block_reader.byte_size("record", 0, 0, 32 << 10));
        script.discovery_port =
            static_cast<std::uint16_t>(block_reader.integer("discovery_port", 0, 0, 65535));
        generated.rows = static_cast<int>(block_reader.integer("rows", 0, 0, 100'000));
        generated.matching_share = block_reader.number("matching", 1, 0, 1);
        generated.top_share = block_reader.number("top", 1, 0, 1);
        generated.seed = static_cast<std::uint64_t>(block_reader.integer("seed", 1, 0, 1'000'000'000));
        block_reader.reject_unknown();
        if (errors.empty()) script.sections = generate(generated);
    } else {
        reader.add_error(root.position, "the 'fleet' block is missing");
    }
    script.sections.resize(script.shards);
    for (const HclBlock* block : reader.blocks("node")) {
        BlockReader block_reader(*block, errors);
        NodeScript node;
        node.name = block_reader.label("the node's name");
        node.zone = block_reader.string("zone", node.zone);
        node.place = static_cast<std::uint32_t>(block_reader.integer("place", 0, 0, script.places - 1));
        node.port = static_cast<std::uint16_t>(block_reader.integer("port", 0, 0, 65535));
        read_behaviour_into(block_reader, *block, node.behaviour);
        block_reader.reject_unknown();
        script.nodes.push_back(std::move(node));
    }
    read_sections(reader, script, errors);
    read_changes(reader, script, errors);
    reader.reject_unknown();
    if (!errors.empty()) throw HclErrors(source, std::move(errors));
    return script;
}

Script read_script_file(const std::string& path) {
    std::ifstream file(path);
    const std::string text{std::istreambuf_iterator<char>(file), {}};
    if (!file) throw ConfigError("cannot read the script " + path);
    return read_script(text, path);
}

std::string endpoint_json(const NodeScript& node, const std::string& address) {
    return nlohmann::json{{"instanceId", node.name},
                          {"hostPort", address},
                          {"zone", node.zone},
                          {"machineType", "m"},
                          {"cell", node.place},
                          {"lifecycle", node.behaviour.lifecycle},
                          {"startedAtMs", node.behaviour.started_at_ms}}
        .dump();
}

}  // namespace tealcart::testing
