// The frames of queries in two phases, beside those of the platform: docs/wire-two-phase.md. Their shard
// requests carry the leg that they belong to, so that what comes late for one leg can't be taken for
// another's. Pure functions on bytes.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "phases/section_summary.hpp"
#include "phases/two_phase_config.hpp"
#include "wire/node_frames.hpp"

namespace tealcart {

// Letters: P asks for a summary, F for rows, U cancels an attempt; S brings a summary, W rows.
constexpr char summary_request_frame = 'P', rows_request_frame = 'F', phase_cancel_frame = 'U',
               summary_frame = 'S', rows_frame = 'W';
constexpr int max_find_conditions = 16;  // terms, and ranges, that a query may look for

struct PhaseRequestId {
    std::string_view query;
    std::uint32_t shard = 0;
    std::uint8_t leg = 0;

    friend bool operator==(const PhaseRequestId&, const PhaseRequestId&) = default;
};
void write_phase_request_id(std::string& out, const PhaseRequestId& id);
std::optional<PhaseRequestId> read_phase_request_id(std::string_view text);

// A line of P or F; so many bytes of text follow it, then so many of the find.
struct PhaseRequestLine {
    PhaseRequestId id;
    std::int64_t wait_ms = 0;
    int rows = 0;
    bool wants_filter = false;  // P: the section's filter is welcome
    std::size_t text = 0, find = 0;
};
void write_phase_request_line(std::string& out, const PhaseRequestLine& line);
std::optional<PhaseRequestLine> read_phase_request_line(std::string_view line);

// The find's own bytes, as a client states it and a data node reads it.
std::string write_find(const SearchCriteria& find);
std::optional<SearchCriteria> read_find(std::string_view bytes);

// What a data node says to a P or F.
struct PhaseAnswer {
    PhaseRequestId id;
    Outcome outcome = Outcome::error;
    bool malformed = false;  // whose shard request it is can be told, but not what was said
    SectionSummary summary;  // of S
    std::uint64_t version = 0;
    std::vector<double> ranks;  // of W: its rows', highest first
    std::string_view value;     // of W
};

// What follows a letter S or W; none if whose shard request it is can't be told. Summaries that contradict
// themselves (a row above the bound, ranks out of order, no numbers) are malformed.
std::optional<PhaseAnswer> read_phase_answer(char letter, std::string_view rest);

// The same, written; for whoever holds sections.
void write_summary_frame(std::string& out, const PhaseRequestId& id, const SectionSummary& word);
void write_rows_frame(std::string& out, const PhaseRequestId& id, std::uint64_t version,
                      const std::vector<double>& ranks, std::string_view value);
// How a shard request ended that brings nothing: "REJECTED" or "ERROR".
void write_phase_failure_frame(std::string& out, char letter, const PhaseRequestId& id, std::string_view end);

}  // namespace tealcart
