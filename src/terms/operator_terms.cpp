#include "terms/operator_terms.hpp"

#include <algorithm>
#include <fstream>
#include <iterator>

#include "terms/block_reader.hpp"
#include "terms/host_port.hpp"

namespace tealcart {
namespace {

constexpr Nanos ms = 1'000'000, second = 1000 * ms;

StatedPhases read_phases(const HclBlock& block, std::vector<HclMistake>& mistakes) {
    BlockReader in(block, mistakes);
    StatedPhases stated;
    stated.at = block.at;
    stated.vertical = in.label("the vertical's name");
    PhaseTerms& t = stated.terms;
    t.on = true;
    t.share = in.number("share", t.share, 0.01, 0.9);
    t.least = in.span("least", t.least, ms, 3600 * second);
    t.most = in.span("most", t.most, ms, 3600 * second);
    t.keep = in.span("keep", t.keep, 0, 3600 * second);
    t.most_rows = static_cast<int>(in.whole("most_rows", t.most_rows, 1, most_words_rows));
    t.audit = in.number("audit", t.audit, 0, 1);
    t.remember = in.flag("remember", t.remember);
    if (t.least > t.most) in.wrong(block.at, "'least' is over 'most'");
    in.finish();
    return stated;
}

ControlTerms read_control(const HclBlock& block, std::vector<HclMistake>& mistakes) {
    BlockReader in(block, mistakes);
    in.no_label();
    ControlTerms t;
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
    t.most_proxies = static_cast<int>(in.whole("most_proxies", t.most_proxies, 1, 1'000'000));
    in.finish();
    return t;
}

MemberTerms read_member(const HclBlock& block, std::vector<HclMistake>& mistakes) {
    BlockReader in(block, mistakes);
    in.no_label();
    MemberTerms t;
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
    t.stewards = addresses("stewards", "steward");
    t.relays = addresses("relays", "relay");
    t.on = !t.stewards.empty();
    if (t.stewards.empty() && t.relays.empty()) in.wrong(block.at, "'stewards' and 'relays' name none");
    t.serve_on = in.span("serve_on", t.serve_on, 0, 365 * 24 * 3600 * second);
    t.then_stop = in.choice("then", 0, {"leave", "stop"}) == 1;
    t.first_word = in.span("first_word", t.first_word, 0, 3600 * second);
    t.config_first_word = in.span("config_first_word", t.config_first_word, 0, 3600 * second);
    in.finish();
    return t;
}

}  // namespace

OperatorTerms read_operator_terms(std::string_view text, std::string_view source) {
    OperatorTerms terms = read_operator_terms(parse_hcl(text, source), source);
    terms.text = text;
    return terms;
}

OperatorTerms read_operator_terms(const HclBlock& root, std::string_view source) {
    std::vector<HclMistake> mistakes;
    OperatorTerms terms;
    terms.source = source;
    BlockReader in(root, mistakes);
    if (const HclBlock* log = in.only_block("log")) {
        BlockReader of(*log, mistakes);
        of.no_label();
        terms.log.form = static_cast<LogForm>(of.choice("format", 0, {"text", "json"}));
        terms.log.level = static_cast<LogLevel>(of.choice("level", 1, {"debug", "info", "warn", "error"}));
        of.finish();
    }
    if (const HclBlock* memory = in.only_block("section_memory")) {
        BlockReader of(*memory, mistakes);
        of.no_label();
        MemoryTerms& m = terms.memory;
        m.bytes = of.bytes("bytes", m.bytes, 4096, 1ULL << 30);
        m.longest_lease = of.span("longest_lease", m.longest_lease, ms, 3600 * second);
        m.distrust = of.span("distrust", m.distrust, second, 24 * 3600 * second);
        of.finish();
    }
    if (const HclBlock* control = in.only_block("control")) terms.control = read_control(*control, mistakes);
    if (const HclBlock* member = in.only_block("member")) terms.member = read_member(*member, mistakes);
    if (const HclBlock* calls = in.only_block("calls")) {
        BlockReader of(*calls, mistakes);
        of.no_label();
        CallTerms& c = terms.calls;
        c.stated = true;
        c.parts = static_cast<int>(of.whole("parts", c.parts, 1, 1024));
        c.cost = of.span("cost", c.cost, 0, 60 * second);
        of.finish();
    }
    for (const HclBlock* block : in.blocks("two_phase")) {
        StatedPhases stated = read_phases(*block, mistakes);
        for (const StatedPhases& other : terms.phases)
            if (other.vertical == stated.vertical && !stated.vertical.empty())
                in.wrong(block->at, "a second 'two_phase' block for '" + stated.vertical + "'");
        terms.phases.push_back(std::move(stated));
    }
    in.finish();
    if (mistakes.empty()) return terms;
    std::stable_sort(mistakes.begin(), mistakes.end(), [](const HclMistake& a, const HclMistake& b) {
        return std::pair(a.at.line, a.at.column) < std::pair(b.at.line, b.at.column);
    });
    throw HclMistakes(source, std::move(mistakes));
}

void follow_calls(const CallTerms& calls, Terms& terms, LinkTerms& link) {
    if (!calls.stated) return;
    terms.parts_a_call = link.parts_a_call = calls.parts;
    terms.call_cost = calls.cost;
}

OperatorTerms read_operator_file(const std::string& path) {
    std::ifstream file(path);
    std::string text{std::istreambuf_iterator<char>(file), {}};
    if (!file) throw Malformed("the operators' file " + path + " can't be read");
    return read_operator_terms(text, path);
}

std::optional<std::size_t> phased_vertical(const StatedPhases& stated, const Terms& terms,
                                           const std::vector<std::string>& verticals,
                                           std::vector<HclMistake>& mistakes) {
    const auto found = std::find(verticals.begin(), verticals.end(), stated.vertical);
    const auto v = static_cast<std::size_t>(found - verticals.begin());
    const std::size_t before = mistakes.size();
    if (found == verticals.end())
        mistakes.push_back({stated.at, "the settings name no vertical '" + stated.vertical + "'"});
    else if (terms.verticals[v].effect != Effect::repeatable)
        mistakes.push_back(
            {stated.at, "'" + stated.vertical + "' is not repeatable and can't be put in two phases"});
    else if (terms.verticals[v].second_step > 0)
        mistakes.push_back(
            {stated.at, "'" + stated.vertical + "' has a second step and can't be put in two phases"});
    return mistakes.size() == before ? std::optional(v) : std::nullopt;
}

std::vector<PhaseTerms> phases_by_vertical(const OperatorTerms& stated, const Terms& terms,
                                           const std::vector<std::string>& verticals) {
    std::vector<PhaseTerms> by_vertical(verticals.size());
    std::vector<HclMistake> mistakes;
    for (const StatedPhases& s : stated.phases)
        if (const auto v = phased_vertical(s, terms, verticals, mistakes)) by_vertical[*v] = s.terms;
    if (!mistakes.empty()) throw HclMistakes(stated.source, std::move(mistakes));
    return by_vertical;
}

}  // namespace tealcart
