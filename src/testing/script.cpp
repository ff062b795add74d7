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

std::vector<std::uint32_t> numbers(const std::vector<std::string>& texts, std::uint32_t below,
                                   BlockReader& in, const HclBlock& block) {
    std::vector<std::uint32_t> read;
    for (const std::string& text : texts) {
        std::uint32_t number = 0;
        const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), number);
        if (ec != std::errc() || end != text.data() + text.size() || number >= below)
            in.add_error(block.position, "'" + text + "' is no shard of the fleet");
        else
            read.push_back(number);
    }
    return read;
}

void read_behaviour_into(BlockReader& in, const HclBlock& block, Behaviour& b) {
    b.refusal = static_cast<Refusal>(
        in.choice("refuses_phases", static_cast<std::size_t>(b.refusal), {"no", "words", "close"}));
    b.summary_delay = in.duration("word_delay", b.summary_delay, 0, hour);
    b.rows_delay = in.duration("rows_delay", b.rows_delay, 0, hour);
    b.call_delay = in.duration("call_delay", b.call_delay, 0, hour);
    b.silent = in.boolean("silent", b.silent);
    b.silent_summaries = in.boolean("silent_words", b.silent_summaries);
    b.resets = in.boolean("resets", b.resets);
    b.rejects = in.boolean("rejects", b.rejects);
    b.errs = in.boolean("errs", b.errs);
    b.garbles_summaries = in.boolean("garbles_words", b.garbles_summaries);
    b.hides_rows = in.boolean("hides_rows", b.hides_rows);
    b.bound_error = in.number("bound_error", b.bound_error, -1e9, 1e9);
    b.behind =
        static_cast<std::uint64_t>(in.integer("behind", static_cast<std::int64_t>(b.behind), 0, 1'000'000));
    b.lease = in.duration("lease", b.lease, 0, hour);
    b.starts = static_cast<std::uint64_t>(
        in.integer("starts", static_cast<std::int64_t>(b.starts), 0, 9'000'000'000'000));
    static const std::initializer_list<const char*> cycles = {"up", "draining", "removed"};
    const auto now = std::find(cycles.begin(), cycles.end(), b.lifecycle) - cycles.begin();
    b.lifecycle = *(cycles.begin() + in.choice("lifecycle", static_cast<std::size_t>(now), cycles));
    if (const auto named = in.strings("silent_on"); !named.empty())
        b.silent_on = numbers(named, UINT32_MAX, in, block);
}

Row read_row(const HclBlock& block, std::vector<HclError>& mistakes) {
    BlockReader in(block, mistakes);
    Row row;
    const std::string doc = in.label("the document's number");
    if (std::from_chars(doc.data(), doc.data() + doc.size(), row.doc).ec != std::errc())
        in.add_error(block.position, "a row's label is a number");
    row.rank = in.number("rank", 0, -1e12, 1e12);
    row.terms = in.strings("terms");
    for (const auto& [field, value] : in.numbers_by_key("fields")) row.fields[field] = value;
    in.reject_unknown();
    return row;
}

void read_sections(BlockReader& in, Script& script, std::vector<HclError>& mistakes) {
    for (const HclBlock* block : in.blocks("section")) {
        BlockReader of(*block, mistakes);
        const auto named = numbers({of.label("the shard")}, script.shards, of, *block);
        Section section;
        section.version = static_cast<std::uint64_t>(of.integer("version", 1, 1, 1'000'000'000));
        for (const HclBlock* row : of.blocks("row")) section.rows.push_back(read_row(*row, mistakes));
        sort_rows(section.rows);
        of.reject_unknown();
        if (!named.empty()) script.sections[named[0]] = std::move(section);
    }
}

void read_changes(BlockReader& in, Script& script, std::vector<HclError>& mistakes) {
    for (const HclBlock* block : in.blocks("at")) {
        BlockReader of(*block, mistakes);
        Change change;
        const auto at = block->labels.size() == 2 ? parse_duration(block->labels[0]) : std::nullopt;
        if (!at) {
            of.add_error(block->position,
                         "an 'at' block has two labels, a time and a node's name or \"contents\"");
            continue;
        }
        change.at = *at;
        const std::string& who = block->labels[1];
        if (who == "contents") {
            change.shards = numbers(of.strings("shards"), script.shards, of, *block);
            change.rank_by = of.number("rank_by", 0, -1e9, 1e9);
        } else {
            change.node = who;
            change.block = *block;
            const auto known = [&who](const NodeScript& n) { return n.name == who; };
            if (std::none_of(script.nodes.begin(), script.nodes.end(), known))
                of.add_error(block->position, "no node is named '" + who + "'");
            Behaviour read;
            read_behaviour_into(of, *block, read);
        }
        of.reject_unknown();
        script.changes.push_back(std::move(change));
    }
    std::stable_sort(script.changes.begin(), script.changes.end(),
                     [](const Change& a, const Change& b) { return a.at < b.at; });
}

}  // namespace

Behaviour read_behaviour(const HclBlock& block, const Behaviour& before, std::vector<HclError>& mistakes) {
    BlockReader in(block, mistakes);
    Behaviour read = before;
    read_behaviour_into(in, block, read);
    return read;
}

Script read_script(std::string_view text, std::string_view source) {
    const HclBlock root = parse_hcl(text, source);
    std::vector<HclError> mistakes;
    BlockReader in(root, mistakes);
    Script script;
    if (const HclBlock* fleet = in.single_block("fleet")) {
        BlockReader of(*fleet, mistakes);
        of.expect_no_label();
        GeneratedContents g;
        g.shards = script.shards = static_cast<std::uint32_t>(of.integer("shards", 1, 1, 100'000));
        script.places = static_cast<std::uint32_t>(of.integer("places", 1, 1, 10'000));
        script.width = static_cast<std::uint32_t>(of.integer("width", 1, 1, 100));
        script.record = static_cast<std::size_t>(of.byte_size("record", 0, 0, 32 << 10));
        script.discovery_port = static_cast<std::uint16_t>(of.integer("discovery_port", 0, 0, 65535));
        g.rows = static_cast<int>(of.integer("rows", 0, 0, 100'000));
        g.matching = of.number("matching", 1, 0, 1);
        g.top = of.number("top", 1, 0, 1);
        g.seed = static_cast<std::uint64_t>(of.integer("seed", 1, 0, 1'000'000'000));
        of.reject_unknown();
        if (mistakes.empty()) script.sections = generate(g);
    } else {
        in.add_error(root.position, "there is no 'fleet' block");
    }
    script.sections.resize(script.shards);
    for (const HclBlock* block : in.blocks("node")) {
        BlockReader of(*block, mistakes);
        NodeScript node;
        node.name = of.label("the node's name");
        node.zone = of.string("zone", node.zone);
        node.place = static_cast<std::uint32_t>(of.integer("place", 0, 0, script.places - 1));
        node.port = static_cast<std::uint16_t>(of.integer("port", 0, 0, 65535));
        read_behaviour_into(of, *block, node.behaviour);
        of.reject_unknown();
        script.nodes.push_back(std::move(node));
    }
    read_sections(in, script, mistakes);
    read_changes(in, script, mistakes);
    in.reject_unknown();
    if (!mistakes.empty()) throw HclErrors(source, std::move(mistakes));
    return script;
}

Script read_script_file(const std::string& path) {
    std::ifstream file(path);
    const std::string text{std::istreambuf_iterator<char>(file), {}};
    if (!file) throw ConfigError("the script " + path + " can't be read");
    return read_script(text, path);
}

std::string endpoint_json(const NodeScript& node, const std::string& address) {
    return nlohmann::json{{"instanceId", node.name},
                          {"hostPort", address},
                          {"zone", node.zone},
                          {"machineType", "m"},
                          {"cell", node.place},
                          {"lifecycle", node.behaviour.lifecycle},
                          {"startedAtMs", node.behaviour.starts}}
        .dump();
}

}  // namespace tealcart::testing
