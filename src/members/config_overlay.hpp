// Applies a version of the fleet's configuration on top of the operators' file that the router was started
// with, and checks the version as a whole. No I/O.
//
// The key of an entry names a block of the file, `log` or `two_phase.NAME`, and its value is the text between
// the block's braces. The entry replaces the file's block of that name; without it, the file's block applies
// again.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "changes/document.hpp"
#include "config/operator_config.hpp"

namespace tealcart {

// Validates documents against the deployment and computes the settings that result from them.
class ConfigOverlay {
  public:
    // The settings that may change while the router runs.
    struct Settings {
        LogConfig log;
        std::vector<TwoPhaseConfig> phases;  // by query class
    };
    // Why a document is rejected.
    struct Rejection {
        std::string reason;  // every mistake as `KEY:LINE:COLUMN: TEXT`, truncated to `max_reason` bytes
    };
    static constexpr std::size_t max_reason = 480;

    // `startup_settings` are those of the file. Documents are checked against the deployment:
    // `config` and `query_classes`.
    ConfigOverlay(Settings startup_settings, RouterConfig config, std::vector<std::string> query_classes)
        : startup_settings_(std::move(startup_settings)), config_(std::move(config)),
          query_classes_(std::move(query_classes)) {}

    // Returns the settings that the document results in, or every mistake in it.
    std::variant<Settings, Rejection> read(const changes::Document& document) const;

    // Records that the router acts on the document from now on. Returns how many entries were added, removed
    // or changed since the previous document.
    std::size_t on_applied(const changes::Document& document);

  private:
    // Changes the settings by one entry. Throws HclErrors with its mistakes.
    void apply(const std::string& key, const std::string& value, Settings& settings) const;

    const Settings startup_settings_;
    const RouterConfig config_;
    const std::vector<std::string> query_classes_;
    std::map<std::string, std::uint64_t> digests_;  // by key, of the entries that the router acts on
};

}  // namespace tealcart
