// What a version of the fleet's configuration means to this router: its entries laid over the operators' file
// that it was started with, checked as a whole. No I/O.
//
// An entry's key names a block of the file, `log` or `two_phase.NAME`, and its value is what stands between
// the block's braces. It replaces the file's block of that name; without it that block holds again.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "changes/document.hpp"
#include "terms/operator_terms.hpp"

namespace tealcart {

class Configuration {
  public:
    // What may change while the router runs.
    struct Settings {
        LogTerms log;
        std::vector<PhaseTerms> phases;  // by vertical
    };
    struct Refusal {
        std::string why;  // every mistake as `KEY:LINE:COLUMN: WORDS`, cut at `longest_why` bytes
    };
    static constexpr std::size_t longest_why = 480;

    // `started`: what the file says. `terms`, `verticals`: the deployment, which documents are held against.
    Configuration(Settings started, Terms terms, std::vector<std::string> verticals)
        : started_(std::move(started)), terms_(std::move(terms)), verticals_(std::move(verticals)) {}

    // All of it, or why not; changes nothing here.
    std::variant<Settings, Refusal> read(const changes::Document& document) const;

    // The document is acted on from now on: how many entries came, went or changed since the one before.
    std::size_t acted_on(const changes::Document& document);

  private:
    const Settings started_;
    const Terms terms_;
    const std::vector<std::string> verticals_;
    std::map<std::string, std::uint64_t> digests_;  // of the entries that are acted on
};

}  // namespace tealcart
