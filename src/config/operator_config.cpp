#include "config/operator_config.hpp"

#include <algorithm>
#include <fstream>
#include <iterator>

#include "config/block_reader.hpp"
#include "config/host_port.hpp"

namespace tealcart {
namespace {

constexpr Nanos ms = 1'000'000, second = 1000 * ms;

StatedPhases read_phases(const HclBlock& block, std::vector<HclMistake>& mistakes) {
    BlockReader in(block, mistakes);
    StatedPhases stated;
    stated.at = block.at;
    stated.query_class = in.label("the vertical's name");
    TwoPhaseConfig& t = stated.config;
    t.on = true;
    t.share = in.number("share", t.share, 0.01, 0.9);
    t.least = in.span("least", t.least, ms, 3600 * second);
    t.most = in.span("most", t.most, ms, 3600 * second);
    t.keep = in.span("keep", t.keep, 0, 3600 * second);
    t.max_rows = static_cast<int>(in.whole("most_rows", t.max_rows, 1, max_words_rows));
    t.audit = in.number("audit", t.audit, 0, 1);
    t.remember = in.flag("remember", t.remember);
    if (t.least > t.most) in.wrong(block.at, "'least' is over 'most'");
    in.finish();
    return stated;
}

ControlConfig read_control(const HclBlock& block, std::vector<HclMistake>& mistakes) {
    BlockReader in(block, mistakes);
    in.no_label();
    ControlConfig t;
    t.on = true;
    t.listen = in.text("listen", t.listen);
    if (!read_host_port(t.listen)) in.wrong(block.at, "'listen' is no address with a port");
    t.node_limit = static_cast<int>(in.whole("node_limit", t.node_limit, 1, 1'000'000));
    t.panic = in.number("panic", t.panic, 0, 1);
    t.panic_window = in.span("panic_window", t.panic_window, second, 3600 * second);
    t.panic_hold = in.span("panic_hold", t.panic_hold, second, 24 * 3600 * second);
    t.ramp_step = in.span("ramp_step", t.ramp_step, 10 * ms, 60 * second);
    t.ack_wait = in.span("ack_wait", t.ack_wait, 10 * ms, 60 * second);
    t.leave_grace = in.span("leave_grace", t.leave_grace, 0, 3600 * second);
    t.yield_after = in.span("yield_after", t.yield_after, 0, 3600 * second);
    t.max_proxies = static_cast<int>(in.whole("most_proxies", t.max_proxies, 1, 1'000'000));
    in.finish();
    return t;
}

MemberConfig read_member(const HclBlock& block, std::vector<HclMistake>& mistakes) {
    BlockReader in(block, mistakes);
    in.no_label();
    MemberConfig t;
    const auto name = [&](const char* attribute) {
        std::string text = in.text(attribute, "");
        if (text.size() > 128 ||
            !std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c < 0x7f; }))
            in.wrong(block.at,
                     std::string("'") + attribute + "' is no name of up to 128 letters without blanks");
        return text;
    };
    t.name = name("name");
    t.zone = name("zone");
    const auto addresses = [&](const char* attribute, const char* what) {
        std::vector<HostPort> read;
        for (const std::string& text : in.texts(attribute)) {
            if (const auto address = read_host_port(text))
                read.push_back(*address);
            else
                in.wrong(block.at, std::string("the ") + what + " '" + text + "' is no address with a port");
        }
        return read;
    };
    t.managers = addresses("stewards", "steward");
    t.relays = addresses("relays", "relay");
    t.on = !t.managers.empty();
    if (t.managers.empty() && t.relays.empty()) in.wrong(block.at, "'stewards' and 'relays' name none");
    t.serve_on = in.span("serve_on", t.serve_on, 0, 365 * 24 * 3600 * second);
    t.then_stop = in.choice("then", 0, {"leave", "stop"}) == 1;
    t.startup_wait = in.span("first_word", t.startup_wait, 0, 3600 * second);
    t.config_startup_wait = in.span("config_first_word", t.config_startup_wait, 0, 3600 * second);
    in.finish();
    return t;
}

}  // namespace

OperatorConfig read_operator_config(std::string_view text, std::string_view source) {
    OperatorConfig config = read_operator_config(parse_hcl(text, source), source);
    config.text = text;
    return config;
}

OperatorConfig read_operator_config(const HclBlock& root, std::string_view source) {
    std::vector<HclMistake> mistakes;
    OperatorConfig config;
    config.source = source;
    BlockReader in(root, mistakes);
    if (const HclBlock* log = in.only_block("log")) {
        BlockReader of(*log, mistakes);
        of.no_label();
        config.log.form = static_cast<LogForm>(of.choice("format", 0, {"text", "json"}));
        config.log.level = static_cast<LogLevel>(of.choice("level", 1, {"debug", "info", "warn", "error"}));
        of.finish();
    }
    if (const HclBlock* memory = in.only_block("section_memory")) {
        BlockReader of(*memory, mistakes);
        of.no_label();
        SectionMemoryConfig& m = config.memory;
        m.bytes = of.bytes("bytes", m.bytes, 4096, 1ULL << 30);
        m.max_lease = of.span("longest_lease", m.max_lease, ms, 3600 * second);
        m.distrust = of.span("distrust", m.distrust, second, 24 * 3600 * second);
        of.finish();
    }
    if (const HclBlock* control = in.only_block("control")) config.control = read_control(*control, mistakes);
    if (const HclBlock* member = in.only_block("member")) config.member = read_member(*member, mistakes);
    if (const HclBlock* calls = in.only_block("calls")) {
        BlockReader of(*calls, mistakes);
        of.no_label();
        CallConfig& c = config.calls;
        c.stated = true;
        c.shard_requests = static_cast<int>(of.whole("parts", c.shard_requests, 1, 1024));
        c.cost = of.span("cost", c.cost, 0, 60 * second);
        of.finish();
    }
    for (const HclBlock* block : in.blocks("two_phase")) {
        StatedPhases stated = read_phases(*block, mistakes);
        for (const StatedPhases& other : config.phases)
            if (other.query_class == stated.query_class && !stated.query_class.empty())
                in.wrong(block->at, "a second 'two_phase' block for '" + stated.query_class + "'");
        config.phases.push_back(std::move(stated));
    }
    in.finish();
    if (mistakes.empty()) return config;
    std::stable_sort(mistakes.begin(), mistakes.end(), [](const HclMistake& a, const HclMistake& b) {
        return std::pair(a.at.line, a.at.column) < std::pair(b.at.line, b.at.column);
    });
    throw HclMistakes(source, std::move(mistakes));
}

void follow_calls(const CallConfig& calls, RouterConfig& config, ConnectionConfig& link) {
    if (!calls.stated) return;
    config.max_requests_per_call = link.max_requests_per_call = calls.shard_requests;
    config.call_overhead = calls.cost;
}

OperatorConfig read_operator_file(const std::string& path) {
    std::ifstream file(path);
    std::string text{std::istreambuf_iterator<char>(file), {}};
    if (!file) throw Malformed("the operators' file " + path + " can't be read");
    return read_operator_config(text, path);
}

std::optional<std::size_t> two_phase_query_class(const StatedPhases& stated, const RouterConfig& config,
                                                 const std::vector<std::string>& query_classes,
                                                 std::vector<HclMistake>& mistakes) {
    const auto found = std::find(query_classes.begin(), query_classes.end(), stated.query_class);
    const auto v = static_cast<std::size_t>(found - query_classes.begin());
    const std::size_t before = mistakes.size();
    if (found == query_classes.end())
        mistakes.push_back({stated.at, "the settings name no vertical '" + stated.query_class + "'"});
    else if (config.query_classes[v].effect != Effect::idempotent)
        mistakes.push_back(
            {stated.at, "'" + stated.query_class + "' is not repeatable and can't be put in two phases"});
    else if (config.query_classes[v].second_step_requests > 0)
        mistakes.push_back(
            {stated.at, "'" + stated.query_class + "' has a second step and can't be put in two phases"});
    return mistakes.size() == before ? std::optional(v) : std::nullopt;
}

std::vector<TwoPhaseConfig> two_phase_by_query_class(const OperatorConfig& stated, const RouterConfig& config,
                                                     const std::vector<std::string>& query_classes) {
    std::vector<TwoPhaseConfig> by_query_class(query_classes.size());
    std::vector<HclMistake> mistakes;
    for (const StatedPhases& s : stated.phases)
        if (const auto v = two_phase_query_class(s, config, query_classes, mistakes))
            by_query_class[*v] = s.config;
    if (!mistakes.empty()) throw HclMistakes(stated.source, std::move(mistakes));
    return by_query_class;
}

}  // namespace tealcart
