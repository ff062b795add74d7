// Encodes and decodes the frames of two-phase queries, an extension of the platform's protocol that
// docs/wire-two-phase.md describes. Their shard requests state the leg that they belong to, so that a late
// answer to one leg is not taken for an answer to another. Pure functions without I/O.
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

// Frame types: P requests a summary, F requests rows, U cancels an attempt, S contains a summary, W contains
// rows.
constexpr char summary_request_frame = 'P', rows_request_frame = 'F', phase_cancel_frame = 'U',
               summary_frame = 'S', rows_frame = 'W';
constexpr int max_find_conditions = 16;  // limit for the terms and for the ranges of a query

// Identifies a shard request of one leg of a query.
struct PhaseRequestId {
    std::string_view query;
    std::uint32_t shard = 0;
    std::uint8_t leg = 0;

    friend bool operator==(const PhaseRequestId&, const PhaseRequestId&) = default;
};
void write_phase_request_id(std::string& out, const PhaseRequestId& id);
std::optional<PhaseRequestId> read_phase_request_id(std::string_view text);

// The line of a shard request in a frame of type P or F. The query's text and its encoded search criteria
// follow it.
struct PhaseRequestLine {
    PhaseRequestId id;
    std::int64_t wait_ms = 0;
    int rows = 0;
    bool wants_filter = false;  // P: the router can use the section's filter
    std::size_t text_size = 0, criteria_size = 0;
};
void write_phase_request_line(std::string& out, const PhaseRequestLine& line);
std::optional<PhaseRequestLine> read_phase_request_line(std::string_view line);

// Encodes and decodes the search criteria of a query, as they are sent to data nodes.
std::string write_search_criteria(const SearchCriteria& criteria);
std::optional<SearchCriteria> read_search_criteria(std::string_view bytes);

// A data node's answer to a frame of type P or F.
struct PhaseAnswer {
    PhaseRequestId id;
    Outcome outcome = Outcome::error;
    bool malformed = false;  // the shard request is known, but the rest can't be decoded
    SectionSummary summary;  // in a frame of type S
    std::uint64_t version = 0;
    std::vector<double> ranks;  // W: the ranks of the rows, highest first
    std::string_view value;     // W: the rows
};

// Decodes the payload of a frame of type S or W. Returns nullopt if it does not identify a shard request. A
// summary is malformed if it contradicts itself: a row above the upper bound, unordered ranks, or values that
// are not finite.
std::optional<PhaseAnswer> read_phase_answer(char letter, std::string_view rest);

// Encode the answers of a data node.
void write_summary_frame(std::string& out, const PhaseRequestId& id, const SectionSummary& summary);
void write_rows_frame(std::string& out, const PhaseRequestId& id, std::uint64_t version,
                      const std::vector<double>& ranks, std::string_view value);
// Encodes the answer to a shard request that has no result: `end` is "REJECTED" or "ERROR".
void write_phase_failure_frame(std::string& out, char letter, const PhaseRequestId& id, std::string_view end);

}  // namespace tealcart
