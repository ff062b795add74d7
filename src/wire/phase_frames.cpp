#include "wire/phase_frames.hpp"

#include <bit>
#include <charconv>
#include <cmath>
#include <cstring>

#include "wire/response_body.hpp"

namespace tealcart {
namespace {

constexpr std::size_t max_extents = 64, max_name = 64, max_term = 256;

std::string_view next_token(std::string_view& line) {
    const auto space = line.find(' ');
    const std::string_view taken = line.substr(0, space);
    line.remove_prefix(space == std::string_view::npos ? line.size() : space + 1);
    return taken;
}

template <typename Number>
bool read_number(std::string_view text, Number& number) {
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), number);
    return ec == std::errc() && end == text.data() + text.size();
}

bool read_finite(std::string_view text, double& number) {
    return read_number(text, number) && std::isfinite(number);
}

// Returns the value of an option in a list `a=1,b=2`, or nullopt if the list lacks it.
std::optional<std::string_view> find_option(std::string_view list, char letter) {
    while (!list.empty()) {
        const std::string_view item = list.substr(0, list.find(','));
        list.remove_prefix(std::min(list.size(), item.size() + 1));
        if (item.size() > 2 && item[0] == letter && item[1] == '=') return item.substr(2);
    }
    return std::nullopt;
}

template <typename Number>
bool read_option(std::string_view list, char letter, Number& number) {
    const auto text = find_option(list, letter);
    return !text || read_number(*text, number);  // an absent option keeps its default
}

std::string to_text(double number) {
    char text[32];
    return {text, std::to_chars(text, text + sizeof text, number).ptr};
}

// Appends eight bytes in little-endian order.
void append_double(std::string& out, double number) {
    auto bits = std::bit_cast<std::uint64_t>(number);
    for (int i = 0; i < 8; ++i, bits >>= 8) out += static_cast<char>(bits & 0xff);
}

bool read_double(std::string_view& in, double& number) {
    if (in.size() < 8) return false;
    std::uint64_t bits = 0;
    for (int i = 7; i >= 0; --i)
        bits = bits << 8 | static_cast<unsigned char>(in[static_cast<std::size_t>(i)]);
    in.remove_prefix(8);
    number = std::bit_cast<double>(bits);
    return std::isfinite(number);
}

void append_name(std::string& out, std::string_view name) {
    out += static_cast<char>(name.size());
    out += name;
}

bool read_name(std::string_view& in, std::string& name) {
    if (in.empty()) return false;
    const auto size = static_cast<std::size_t>(static_cast<unsigned char>(in[0]));
    if (size == 0 || size > max_name || in.size() < 1 + size) return false;
    name = in.substr(1, size);
    in.remove_prefix(1 + size);
    return true;
}

bool read_ranks(std::string_view& in, std::size_t count, std::vector<double>& ranks) {
    if (count > static_cast<std::size_t>(max_summary_ranks)) return false;
    for (std::size_t i = 0; i < count; ++i) {
        double rank = 0;
        if (!read_double(in, rank) || (i > 0 && rank > ranks.back())) return false;
        ranks.push_back(rank);
    }
    return true;
}

bool read_filter(std::string_view& in, std::size_t bytes, std::size_t extents, SectionFilter& filter) {
    if (in.size() < bytes || bytes % 32 != 0 || extents > max_extents) return false;
    filter.terms.assign(in.begin(), in.begin() + static_cast<std::ptrdiff_t>(bytes));
    in.remove_prefix(bytes);
    for (std::size_t i = 0; i < extents; ++i) {
        SectionFilter::Extent& extent = filter.extents.emplace_back();
        if (!read_name(in, extent.field) || !read_double(in, extent.min) || !read_double(in, extent.max) ||
            extent.min > extent.max)
            return false;
    }
    return true;
}

// Reads the payload after the line of a frame of type S: ranks, then the filter.
bool read_summary(std::string_view list, std::string_view body, SectionSummary& summary) {
    std::size_t ranks = 0, filter = 0, extents = 0;
    std::int64_t lease_us = 0;
    summary.no_matches = !find_option(list, 'u');
    if (!read_option(list, 'u', summary.max_rank) || !std::isfinite(summary.max_rank)) return false;
    if (!read_option(list, 's', ranks) || !read_option(list, 'l', lease_us) ||
        !read_option(list, 'f', filter) || !read_option(list, 'z', extents))
        return false;
    if (lease_us < 0 || lease_us > 3'600'000'000 || (summary.no_matches && ranks > 0)) return false;
    summary.lease = lease_us * 1000;
    summary.has_filter = find_option(list, 'f') || find_option(list, 'z');
    if (!read_ranks(body, ranks, summary.top_ranks) || !read_filter(body, filter, extents, summary.filter))
        return false;
    if (!summary.top_ranks.empty() && summary.top_ranks.front() > summary.max_rank) return false;
    return body.empty();
}

void append_frame(std::string& out, char letter, const std::string& rest) {
    append_frame_header(out, letter, rest.size());
    out += rest;
}

}  // namespace

void write_phase_request_id(std::string& out, const PhaseRequestId& id) {
    write_shard_request_id(out, id.query, id.shard);
    out.append(1, '.').append(std::to_string(id.leg));
}

std::optional<PhaseRequestId> read_phase_request_id(std::string_view text) {
    PhaseRequestId id;
    const auto leg = text.rfind('.');
    if (leg == std::string_view::npos || !read_number(text.substr(leg + 1), id.leg)) return std::nullopt;
    const std::string_view shard_request = text.substr(0, leg);
    const auto shard = shard_request.rfind('.');
    if (shard == std::string_view::npos || shard == 0 ||
        !read_number(shard_request.substr(shard + 1), id.shard))
        return std::nullopt;
    id.query = shard_request.substr(0, shard);
    return id;
}

void write_phase_request_line(std::string& out, const PhaseRequestLine& line) {
    write_phase_request_id(out, line.id);
    out.append(" d=").append(std::to_string(line.wait_ms)).append(",n=").append(std::to_string(line.rows));
    if (line.wants_filter) out.append(",m=1");
    out.append(1, ' ')
        .append(std::to_string(line.text_size))
        .append(1, ' ')
        .append(std::to_string(line.criteria_size));
    out += '\n';
}

std::optional<PhaseRequestLine> read_phase_request_line(std::string_view line) {
    const auto id = read_phase_request_id(next_token(line));
    const std::string_view list = next_token(line);
    PhaseRequestLine read;
    int filter = 0;
    if (!id || !read_option(list, 'd', read.wait_ms) || !read_option(list, 'n', read.rows) ||
        !read_option(list, 'm', filter) || !read_number(next_token(line), read.text_size) ||
        !read_number(line, read.criteria_size))
        return std::nullopt;
    if (read.rows < 1 || read.rows > max_summary_ranks || read.wait_ms < 0) return std::nullopt;
    read.id = *id;
    read.wants_filter = filter == 1;
    return read;
}

// Writes one line for each condition: `t TERM` or `r FROM TO FIELD`.
std::string write_search_criteria(const SearchCriteria& criteria) {
    std::string out;
    for (const std::string& term : criteria.terms) out.append("t ").append(term).append("\n");
    for (const FieldRange& r : criteria.ranges)
        out.append("r ")
            .append(to_text(r.from))
            .append(" ")
            .append(to_text(r.to))
            .append(" ")
            .append(r.field)
            .append("\n");
    return out;
}

std::optional<SearchCriteria> read_search_criteria(std::string_view bytes) {
    SearchCriteria criteria;
    while (!bytes.empty()) {
        const auto end = bytes.find('\n');
        if (end == std::string_view::npos) return std::nullopt;
        std::string_view line = bytes.substr(0, end);
        bytes.remove_prefix(end + 1);
        const std::string_view kind = next_token(line);
        FieldRange range;
        if (kind == "t" && !line.empty() && line.size() <= max_term) {
            criteria.terms.emplace_back(line);
        } else if (kind == "r" && read_finite(next_token(line), range.from) &&
                   read_finite(next_token(line), range.to) && !line.empty() && line.size() <= max_name) {
            range.field = line;
            criteria.ranges.push_back(std::move(range));
        } else {
            return std::nullopt;
        }
        if (criteria.terms.size() > max_find_conditions || criteria.ranges.size() > max_find_conditions)
            return std::nullopt;
    }
    return criteria;
}

std::optional<PhaseAnswer> read_phase_answer(char letter, std::string_view rest) {
    const auto end = rest.find('\n');
    if (end == std::string_view::npos) return std::nullopt;
    std::string_view line = rest.substr(0, end), body = rest.substr(end + 1);
    const auto id = read_phase_request_id(next_token(line));
    const std::string_view status = next_token(line), version = next_token(line), list = line;
    if (!id || status.empty()) return std::nullopt;
    PhaseAnswer answer;
    answer.id = *id;
    if (status == "REJECTED" || status == "ERROR") {
        if (status == "REJECTED") answer.outcome = Outcome::overloaded;
        return answer;
    }
    std::size_t ranks = 0;
    bool good = status == "OK" && read_number(version, answer.version);
    if (letter == summary_frame) {
        good = good && read_summary(list, body, answer.summary);
        answer.summary.version = answer.version;
    } else {
        good =
            good && read_option(list, 's', ranks) && read_ranks(body, ranks, answer.ranks) && is_utf8(body);
        answer.value = body;
    }
    answer.malformed = !good;
    if (good) answer.outcome = Outcome::ok;
    return answer;
}

void write_summary_frame(std::string& out, const PhaseRequestId& id, const SectionSummary& summary) {
    std::string rest;
    write_phase_request_id(rest, id);
    rest.append(" OK ")
        .append(std::to_string(summary.version))
        .append(" l=")
        .append(std::to_string(summary.lease / 1000));
    if (!summary.no_matches)
        rest.append(",u=")
            .append(to_text(summary.max_rank))
            .append(",s=")
            .append(std::to_string(summary.top_ranks.size()));
    if (summary.has_filter)
        rest.append(",f=")
            .append(std::to_string(summary.filter.terms.size()))
            .append(",z=")
            .append(std::to_string(summary.filter.extents.size()));
    rest += '\n';
    if (!summary.no_matches)
        for (const double rank : summary.top_ranks) append_double(rest, rank);
    if (summary.has_filter) {
        rest.append(reinterpret_cast<const char*>(summary.filter.terms.data()), summary.filter.terms.size());
        for (const SectionFilter::Extent& extent : summary.filter.extents) {
            append_name(rest, extent.field);
            append_double(rest, extent.min);
            append_double(rest, extent.max);
        }
    }
    append_frame(out, summary_frame, rest);
}

void write_rows_frame(std::string& out, const PhaseRequestId& id, std::uint64_t version,
                      const std::vector<double>& ranks, std::string_view value) {
    std::string rest;
    write_phase_request_id(rest, id);
    rest.append(" OK ")
        .append(std::to_string(version))
        .append(" s=")
        .append(std::to_string(ranks.size()))
        .append("\n");
    for (const double rank : ranks) append_double(rest, rank);
    rest += value;
    append_frame(out, rows_frame, rest);
}

void write_phase_failure_frame(std::string& out, char letter, const PhaseRequestId& id,
                               std::string_view end) {
    std::string rest;
    write_phase_request_id(rest, id);
    rest.append(" ").append(end).append(" 0 -\n");
    append_frame(out, letter, rest);
}

}  // namespace tealcart
