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
#include "config/operator_config.hpp"

namespace tealcart {

class ConfigOverlay {
  public:
    // What may change while the router runs.
    struct Settings {
        LogConfig log;
        std::vector<TwoPhaseConfig> phases;  // by query class
    };
    struct Rejection {
        std::string why;  // every mistake as `KEY:LINE:COLUMN: WORDS`, cut at `max_why` bytes
    };
    static constexpr std::size_t max_why = 480;

    // `started`: what the file says. `config`, `query classes`: the deployment, which documents are held
    // against.
    ConfigOverlay(Settings started, RouterConfig config, std::vector<std::string> query_classes)
        : started_(std::move(started)), config_(std::move(config)), query_classes_(std::move(query_classes)) {
    }

    // All of it, or why not; changes nothing here.
    std::variant<Settings, Rejection> read(const changes::Document& document) const;

    // The document is acted on from now on: how many entries came, went or changed since the one before.
    std::size_t on_applied(const changes::Document& document);

  private:
    const Settings started_;
    const RouterConfig config_;
    const std::vector<std::string> query_classes_;
    std::map<std::string, std::uint64_t> digests_;  // of the entries that are acted on
};

}  // namespace tealcart
