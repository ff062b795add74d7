// A version of the fleet's configuration laid over the operators' file that the router was started with, and
// checked as a whole. No I/O.
//
// An entry's key names a block of the file, `log` or `two_phase.NAME`, and its value is the text between the
// block's braces. It replaces the file's block of that name; without the entry that block holds again.
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
        std::string reason;  // every mistake as `KEY:LINE:COLUMN: TEXT`, cut at `max_reason` bytes
    };
    static constexpr std::size_t max_reason = 480;

    // `started`: what the file states. Documents are checked against the deployment, `config` and
    // `query_classes`.
    ConfigOverlay(Settings started, RouterConfig config, std::vector<std::string> query_classes)
        : startup_settings_(std::move(started)), config_(std::move(config)),
          query_classes_(std::move(query_classes)) {}

    // The settings by this document, or every mistake in it.
    std::variant<Settings, Rejection> read(const changes::Document& document) const;

    // The router acts on the document from now on. Returns how many entries were added, removed or changed
    // since the one before.
    std::size_t on_applied(const changes::Document& document);

  private:
    // Throws HclErrors.
    void apply(const std::string& key, const std::string& value, Settings& settings) const;

    const Settings startup_settings_;
    const RouterConfig config_;
    const std::vector<std::string> query_classes_;
    std::map<std::string, std::uint64_t> digests_;  // of the entries that the router acts on
};

}  // namespace tealcart
